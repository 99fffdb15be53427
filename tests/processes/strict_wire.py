"""Reads and writes messages of the line protocol as its page says: they end at CR LF and nowhere else.

Messages are text of one character a byte (Latin-1), so that any byte but the CR LF of the end may be part of a field.
"""

import asyncio
import socket

from wire_stand_ins import Connection, Record

LINE_END = "\r\n"
READ_LIMIT = 4 << 20  # Bytes of one message, well above the protocol's limit, so that only the proxy applies its own.
PIECE_PAUSE = 0.001  # Seconds between the two halves of a line end that is sent in two packets.


def encode(text):
    return text.encode("latin-1")


def decode(data):
    return data.decode("latin-1")


def escape(text):
    """Returns the text on one line of ASCII."""
    return text.encode("unicode_escape").decode("ascii")


async def read_message(reader):
    return decode(await reader.readuntil(encode(LINE_END)))[:-len(LINE_END)]


class EscapingRecord(Record):
    def add(self, text):
        super().add(escape(text))


class MessageStream:
    """A caller's connection."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, host, port):
        reader, writer = await asyncio.open_connection(host, port, limit=READ_LIMIT)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return cls(reader, writer)

    async def read(self):
        return await read_message(self.reader)

    def send(self, *messages):
        self.writer.write(encode("".join(each + LINE_END for each in messages)))

    async def send_by_bytes(self, message):
        for each in encode(message + LINE_END):
            if self.writer.is_closing():
                return  # Answers to earlier requests may still be read.
            self.writer.write(bytes((each,)))
            await asyncio.sleep(0)

    async def send_with_split_end(self, message):
        self.writer.write(encode(message + LINE_END[0]))
        await asyncio.sleep(PIECE_PAUSE)
        self.writer.write(encode(LINE_END[1]))

    def close(self):
        self.writer.close()


class StrictConnection(Connection):
    """Connection to a member that reads and writes its messages strictly. Subclasses have `rules`."""

    async def run(self):
        message = await read_message(self.reader)
        start = message.split(" ")
        if start[0] != "START" or len(start) not in (3, 4):
            self.rules.break_rule("UNASKED", "%s gets %s instead of START" % (self.name, message))
            return
        expected = start[3] if len(start) > 3 else self.member.identity
        if start[1] != self.member.group.name or expected != self.member.identity:
            self.send("ERROR WRONGNODE %s\r\n" % self.member.identity)
            return
        self.tenant = start[2]
        await asyncio.sleep(0.005)
        self.ready()
        while True:
            message = await read_message(self.reader)
            if message == "BYE":
                return
            fields = message.split(" ", 2)
            if fields[0] != "QUERY" or len(fields) != 3:
                self.rules.break_rule("UNASKED", "%s gets %s, which is no message to a member" % (self.name, message))
                return
            await self.query(fields[1], fields[2])
            await self.writer.drain()

    def send(self, text):
        self.writer.write(encode(text))
