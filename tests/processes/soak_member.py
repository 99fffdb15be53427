"""Member whose process can crash, return with its log, receive nothing for a while, or stand still."""

import asyncio
import time
import types

from repeated_answers import FaultyConnection
from strict_wire import READ_LIMIT
from wire_stand_ins import Member


@types.coroutine
def run_in_steps(member, coroutine):
    """Runs a coroutine of the member's process. No step of it is made while the process stands still, and a crash ends
    it where it waits."""
    start, make_step, argument = member.starts, coroutine.send, None
    try:
        while True:
            yield from member.going.wait()
            if member.starts != start:
                make_step, argument = coroutine.throw, ConnectionAbortedError("the process has crashed")
            try:
                awaited = make_step(argument)
            except StopIteration as end:
                return end.value
            make_step, argument = coroutine.send, None
            try:
                yield awaited
            except BaseException as error:  # pylint: disable=broad-except
                make_step, argument = coroutine.throw, error  # It belongs to the coroutine, which may handle it.
    finally:
        coroutine.close()


class SoakMember(Member):
    """A replica holds the beginning of the primary's log."""

    is_deaf = False

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.starts = 1  # Starts of its process.
        self.going = asyncio.Event()
        self.going.set()

    @property
    def is_still(self):
        return not self.going.is_set()

    async def start(self, host):
        self.host, self.port = host, 0
        await self.listen()
        self.port = self.server.sockets[0].getsockname()[1]
        self.rebuild()

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, limit=READ_LIMIT)

    def proof(self):
        return self.group.fields.text(super().proof())

    async def serve(self, reader, writer):
        self.next_connection += 1
        connection = FaultyConnection(self, reader, writer, "%s#%d" % (self.identity, self.next_connection))
        self.writers.add(writer)
        try:
            await run_in_steps(self, connection.run())
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            connection.roll_back("connection closed")
            writer.close()

    async def commit(self, writes):
        # A member that was replaced while the statement ran adds nothing to its log.
        return self.role == "primary" and await super().commit(writes)

    def receive(self, commit):
        """Receives the primary's log up to its end, in its order. A primary that stands still sends nothing."""
        primary = self.group.primary()
        if self.is_deaf or self.is_still or primary is None or primary.is_still:
            return False
        for each in primary.log[len(self.log):]:
            if not super().receive(each):
                return False
        return commit in self.log

    def catch_up(self):
        """Takes over the primary's log, as a replica that receives again does."""
        primary = self.group.primary()
        receives = self.is_running and not self.is_deaf and not self.is_still and not self.stopped_at
        if receives and primary not in (None, self) and not primary.is_still:
            self.role, self.term = "replica", primary.term
            self.log = list(primary.log)
        self.rebuild()

    def rebuild(self):
        self.data = {item: item for item in self.group.preset_rows}
        self.data.update((item, data) for commit in self.log for item, data in commit[2])
        self.applied = len(self.log)

    def stand_still(self):
        """All its connections stay open, also new ones, and nothing is read, run, received or answered until it goes
        on or crashes."""
        self.going.clear()

    def go_on(self):
        """Goes on with what it has read; replicas receive what waited."""
        if self.is_still:
            self.going.set()
            for member in self.group.members if self.role == "primary" else [self]:
                if member.role == "replica":
                    member.catch_up()

    def crash(self):
        self.is_running = False
        self.starts += 1
        self.going.set()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def restart(self):
        await self.listen()
        self.is_running = True
        self.stopped_at = 0
        self.born = int(time.time() * 1000)
        self.catch_up()
