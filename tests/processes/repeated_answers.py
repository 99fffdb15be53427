"""Stand-ins whose answers arrive twice, the second time late, or end in the middle.

A repeated answer is sent whole and unchanged on the connection of the first one, between other answers, never inside one.
A connection on which an answer was cut short delivers nothing further, whether it is closed or stays open.
"""

import asyncio
import json
import random

from strict_wire import StrictConnection, decode, encode
from wire_stand_ins import HttpServer


BUSY_SHARE = 0.03  # Share of statements with a slot that a member does not run.
FAILED_SHARE = 0.005  # Share of reads and writes that fail while they run.
WITH_SLOT = ("READ", "WRITE", "EXECUTE", "COMMIT", "STATUS")


class AnswerFaults:
    """Decides for each answer of one run whether it is repeated or cut short, and counts both."""

    def __init__(self, seed, repeated_share=0.0, cut_share=0.0, longest_delay=0.3):
        self.rng = random.Random(seed)
        self.repeated_share, self.cut_share = repeated_share, cut_share
        self.longest_delay = longest_delay  # Seconds between an answer and its repetition.
        self.busy_share, self.failed_share = BUSY_SHARE, FAILED_SHARE
        self.counts = {}

    def stop(self):
        self.repeated_share = self.cut_share = self.busy_share = self.failed_share = 0.0

    def draw(self, share):
        return self.rng.random() < share

    def count(self, fault, kind):
        name = "%s %s" % (fault, kind)
        self.counts[name] = self.counts.get(name, 0) + 1

    def send(self, writer, answer, kind, note):
        """Sends a whole answer. Returns whether the connection delivers further answers."""
        draw = self.rng.random()
        if draw < self.cut_share:
            self.cut(writer, answer, kind, note)
            return False
        writer.write(answer)
        if draw < self.cut_share + self.repeated_share:
            delay = self.rng.uniform(0, self.longest_delay)
            asyncio.get_running_loop().call_later(delay, self.repeat, writer, answer, kind, note, delay)
        return True

    def repeat(self, writer, answer, kind, note, delay):
        if writer.is_closing() or getattr(writer, "is_silent", False):
            return
        self.count("repeated", kind)
        note("repeats after %.3f s: %s" % (delay, decode(answer).replace("\r\n", " | ")))
        writer.write(answer)

    def cut(self, writer, answer, kind, note):
        end = self.rng.randrange(len(answer))
        writer.write(answer[:end])
        writer.is_silent = True
        is_closed = self.rng.random() < 0.5
        self.count("cut and closed" if is_closed else "cut", kind)
        note("cuts off at byte %d%s: %s" % (end, " and closes" if is_closed else "",
                                           decode(answer).replace("\r\n", " | ")))
        if is_closed:
            writer.close()


class FaultyConnection(StrictConnection):
    """Connection to a member that sends each answer through the faults and reports to the rules what it runs."""

    def __init__(self, member, reader, writer, name):
        super().__init__(member, reader, writer, name)
        self.faults, self.rules = member.group.faults, member.group.rules
        self.identity, self.text, self.kind = "-", "", "handshake"
        self.owner = None  # What the member's transaction belongs to: a caller's transaction, or one read.
        self.statements = []  # Ids that ran in the member's transaction.
        self.parts, self.is_silent = [], False

    def send(self, text):
        self.parts.append(text)
        if text.startswith("ERROR WRONGNODE"):
            self.flush()

    def ready(self):
        super().ready()
        self.flush()

    def fail(self, code, text=""):
        super().fail(code, text or self.member.group.fields.text(self.member.identity))

    def done(self, proof="-", rows=()):
        super().done(proof, self.member.group.preset_rows.get(rows[0], rows) if rows else rows)

    def flush(self):
        answer, self.parts = "".join(self.parts), []
        if self.identity != "-":
            self.rules.note_answer(self.identity, answer)
        if not self.is_silent:
            self.is_silent = not self.faults.send(self.writer, encode(answer), "member " + self.kind, self.note)

    async def query(self, identity, text):
        self.identity, self.text = identity, text
        words = text.split(" ")
        self.kind = words[2] if words[0] == "AFTER" else words[0]
        self.rules.check_arrival(self, identity, text)
        if self.kind in WITH_SLOT and self.state != "E" and self.faults.draw(self.faults.busy_share):
            self.note("is busy for id=%s %s" % (identity, text))
            self.faults.count("busy", self.kind)
            self.fail("BUSY")
            return
        await super().query(identity, text)

    async def run_statement(self, identity, text, words):
        if words[0] != "EXECUTE" and self.faults.draw(self.faults.failed_share):
            self.note_run(identity, text, text + " and fails")
            self.faults.count("failed", self.kind)
            self.fail("FAILED")
            return
        await super().run_statement(identity, text, words)

    async def begin(self, identity, words):
        await super().begin(identity, words)
        self.rules.note_begin(self, identity)

    def reset_transaction(self):
        super().reset_transaction()
        self.owner, self.statements = None, []

    def note_run(self, identity, text, description):
        super().note_run(identity, text, description)
        self.rules.check_run(self, identity, text)


class FaultyHttpServer(HttpServer):
    """HTTP server that sends each answer through the faults."""

    def __init__(self, handler, faults, record, name):
        super().__init__(handler)
        self.faults, self.record, self.name = faults, record, name

    def note(self, text):
        self.record.add("%s %s" % (self.name, text))

    async def serve(self, reader, writer):
        self.writers.add(writer)
        is_silent = False
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ")
                fields = (line.split(":", 1) for line in head[1:] if ":" in line)
                headers = {name.strip().lower(): value.strip() for name, value in fields}
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                answer = await self.handler(method, target, headers, body)
                if answer is None:
                    break
                content = json.dumps(answer[1]).encode()
                head = b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (
                    answer[0], len(content))
                if not is_silent:
                    is_silent = not self.faults.send(writer, head + content, self.name + target.partition("?")[0],
                                                     self.note)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()
