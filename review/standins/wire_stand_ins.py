"""Stand-ins for the platform's store, its orders, the members and the callers, after the users' pages.

All of them run in one asyncio loop. They behave like sound servers; a case adds the disruption itself.
"""

import asyncio
import base64
import json
import time
import urllib.parse


def now_ms():
    return int(time.monotonic() * 1000)


class Record:
    """What was sent, answered and run, in order of time."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.started = time.monotonic()
        self.runs = []  # Statements that members ran, with their connection and transaction.
        self.answers = {}  # Results that clients received, keyed by statement id.

    def add(self, text):
        self.file.write("%9.3f s  %s\n" % (time.monotonic() - self.started, text))
        self.file.flush()


class HttpServer:
    """HTTP/1.1 with keep-alive. A handler returns (status, JSON value), or None for no answer and a close."""

    def __init__(self, handler):
        self.handler = handler
        self.writers = set()

    async def start(self, host, port=0):
        self.server = await asyncio.start_server(self.serve, host, port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ")
                headers = {}
                for line in head[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                answer = await self.handler(method, target, headers, body)
                if answer is None:
                    break
                status, value = answer
                content = json.dumps(value).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(content)) + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's metadata store with its tables."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 100
        self.changes = []
        self.changed = asyncio.Event()
        self.http = HttpServer(self.handle)

    def put(self, table, key, value, part=""):
        self.version += 1
        self.rows[(table, part, key)] = (self.version, value)
        self.notify({"table": table, "part": part, "key": key, "value": value, "row-version": self.version})

    def drop(self, table, key, part=""):
        if self.rows.pop((table, part, key), None):
            self.version += 1
            self.notify({"table": table, "part": part, "key": key, "deleted": True,
                         "row-version": self.version})

    def put_json(self, table, key, value):
        self.put(table, key, base64.b64encode(json.dumps(value).encode()).decode())

    def notify(self, change):
        self.changes.append(change)
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, target, headers, body):
        path, _, query = target.partition("?")
        fields = {name: values[0] for name, values in
                  urllib.parse.parse_qs(query, keep_blank_values=True).items()}
        if path == "/rows-get":
            return self.get(fields)
        if path == "/rows-feed":
            return await self.feed(fields)
        if path == "/rows-tx" and method == "POST":
            return self.transact(json.loads(body))
        return 404, {}

    def get(self, fields):
        limit = min(int(fields.get("limit", "500")), 500)
        keys = sorted(key for table, part, key in self.rows
                      if table == fields["table"] and part == fields.get("part", "")
                      and key >= fields.get("from", "") and ("target" not in fields or key < fields["target"]))
        rows = []
        for key in keys[:limit]:
            version, value = self.rows[(fields["table"], fields.get("part", ""), key)]
            rows.append({"table": fields["table"], "part": fields.get("part", ""), "key": key, "value": value,
                         "row-version": version})
        return 200, {"rows": rows, "has-more": len(keys) > limit, "row-version": self.version,
                     "now-ms": now_ms()}

    async def feed(self, fields):
        after = int(fields["after"])
        end = time.monotonic() + min(int(fields.get("wait-ms", "0")), 30000) / 1000
        while True:
            rows = [each for each in self.changes
                    if each["table"] == fields["table"] and each["row-version"] > after]
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows, "row-version": self.version, "now-ms": now_ms()}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, call):
        known_rows = []
        holds = True
        for each in call.get("expected", []):
            known = self.rows.get((each["table"], each.get("part", ""), each["key"]))
            version = known[0] if known else 0
            holds = holds and version == each["row-version"]
            if known:
                known_rows.append({"table": each["table"], "part": each.get("part", ""), "key": each["key"],
                                   "value": known[1], "row-version": version})
        if not holds:
            return 412, {"rows": known_rows, "row-version": self.version, "now-ms": now_ms()}
        changed = call.get("writes", []) + call.get("deletes", [])
        if any(each["table"] in ("op", "servers") for each in changed):
            return 403, {}
        for each in call.get("writes", []):
            self.put(each["table"], each["key"], each["value"], each.get("part", ""))
        for each in call.get("deletes", []):
            self.drop(each["table"], each["key"], each.get("part", ""))
        return 200, {"row-version": self.version, "now-ms": now_ms()}


class Group:
    """One service: a primary, its replicas, and the time that commits take to reach them."""

    def __init__(self, name, record, synchronous=1, delay=0.002, lag=0.02):
        self.name = name
        self.record = record
        self.synchronous = synchronous
        self.delay = delay
        self.lag = lag
        self.members = []
        self.newest_term = 1
        self.fence = -1
        self.commits = []

    def primary(self):
        for member in self.members:
            if member.role == "primary" and member.is_running:
                return member
        return None

    def promote(self, identity, fence, holder):
        """POST /failover."""
        chosen = next((each for each in self.members if each.identity == identity), None)
        if fence < self.fence or chosen is None or not chosen.is_running:
            self.record.add("order of %s with fence %d to promote %s was refused" % (holder, fence, identity))
            return 409
        self.fence = fence
        if chosen.role != "primary":
            asyncio.get_running_loop().call_later(0.3, self.finish_promotion, chosen, holder)
        return 200

    def finish_promotion(self, chosen, holder):
        if not chosen.is_running or chosen.role == "primary":
            return
        self.newest_term += 1
        for member in self.members:
            if member is not chosen:
                member.role = "replica"
                member.log = [each for each in member.log if each in chosen.log]
        chosen.role = "primary"
        chosen.term = self.newest_term
        chosen.stopped_at = 0
        self.record.add("%s leads term %d at %s, by order of %s" % (chosen.identity, chosen.term,
                                                                   chosen.position(), holder))


class Member:
    """A database server that speaks the wire protocol."""

    def __init__(self, group, identity, zone, capacity=5, role="replica", work=0.004):
        self.group = group
        self.record = group.record
        self.identity = identity
        self.zone = zone
        self.capacity = capacity
        self.role = role
        self.work = work
        self.term = 1
        self.stopped_at = 0
        self.log = []
        self.applied = 0
        self.data = {}
        self.sequence = 0
        self.is_running = True
        self.connections = 0
        self.proofs = 0
        self.next_connection = 0
        self.writers = set()
        self.born = int(time.time() * 1000)
        group.members.append(self)

    def position(self):
        return "%d.%d" % self.log[-1][:2] if self.log else "%d.0" % self.term

    def applied_position(self):
        if self.role == "primary":
            return self.last_of(len(self.log))
        return self.last_of(self.applied)

    def last_of(self, count):
        return self.log[count - 1][:2] if count else (1, 0)

    async def start(self, host):
        self.host = host
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, state="ready"):
        self.sequence += 1
        return {"service": self.group.name, "address": "%s:%d" % (self.host, self.port), "zone": self.zone,
                "version": "v1", "capacity": self.capacity, "state": state, "cold-remaining-ms": 0,
                "db-role": self.role, "sequence": self.sequence, "born": self.born}

    async def serve(self, reader, writer):
        self.next_connection += 1
        connection = Connection(self, reader, writer, "%s#%d" % (self.identity, self.next_connection))
        self.writers.add(writer)
        try:
            await connection.run()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            connection.roll_back("connection closed")
            writer.close()

    def receive(self, commit):
        """Called on a replica when a commit arrives from the primary."""
        if not self.is_running or self.role != "replica" or self.stopped_at:
            return False
        self.log.append(commit)
        self.term = max(self.term, commit[0])
        asyncio.get_running_loop().call_later(self.group.lag, self.apply)
        return True

    def apply(self):
        if self.applied < len(self.log):
            for item, data in self.log[self.applied][2]:
                self.data[item] = data
            self.applied += 1

    async def commit(self, writes):
        """Appends a commit to the log, and returns once the synchronous replicas have received it."""
        number = self.log[-1][1] + 1 if self.log else 1
        commit = (self.term, number, tuple(writes))
        self.log.append(commit)
        self.applied = len(self.log)
        for item, data in writes:
            self.data[item] = data
        received = 0
        while received < self.group.synchronous:
            await asyncio.sleep(self.group.delay)
            if self.role != "primary":
                return False
            received = 0
            for member in self.group.members:
                if member is not self and (commit in member.log or member.receive(commit)):
                    received += 1
        return True

    def proof(self):
        self.proofs += 1
        return "p.%s.%d" % (self.identity, self.proofs)


class Connection:
    """A connection to a member, with its values, prepared names and transaction."""

    def __init__(self, member, reader, writer, name):
        self.member = member
        self.reader = reader
        self.writer = writer
        self.name = name
        self.tenant = "?"
        self.values = {}
        self.prepared = {}
        self.transactions = 0
        self.reset_transaction()

    def reset_transaction(self):
        self.state = "I"
        self.is_read_only = False
        self.transaction = []

    def note(self, text):
        self.member.record.add("member %s %s" % (self.name, text))

    def note_run(self, identity, text, description):
        """Records a statement of a client; `transaction` is None outside a transaction."""
        self.note("runs id=%s %s for tenant %s" % (identity, description, self.tenant))
        transaction = (self.name, self.transactions) if self.state == "T" else None
        self.member.record.runs.append({"id": identity, "text": text, "tenant": self.tenant,
                                        "transaction": transaction, "at": time.monotonic(),
                                        "member": self.member.identity})

    def send(self, text):
        self.writer.write(text.encode())

    def ready(self):
        position = "%d.%d" % self.member.applied_position()
        self.send("READY %s %s\r\n" % (self.state, position))

    def roll_back(self, reason):
        if self.state != "I":
            self.note("rolls its transaction back: %s" % reason)
        self.reset_transaction()

    async def run(self):
        start = (await self.reader.readuntil(b"\n")).decode().strip("\r\n").split(" ")
        expected = start[3] if len(start) > 3 else self.member.identity
        if start[0] != "START" or start[1] != self.member.group.name or expected != self.member.identity:
            self.send("ERROR WRONGNODE %s\r\n" % self.member.identity)
            return
        self.tenant = start[2]
        await asyncio.sleep(0.005)
        self.ready()
        while True:
            line = (await self.reader.readuntil(b"\n")).decode().strip("\r\n")
            if line == "BYE":
                return
            word, identity, text = line.split(" ", 2)
            if word != "QUERY":
                return
            await self.query(identity, text)
            await self.writer.drain()

    def fail(self, code, text=""):
        if self.state == "T" and code not in ("BUSY", "NOSTMT"):
            self.state = "E"
        self.send("ERROR %s %s\r\n" % (code, text or self.member.identity))
        self.ready()

    def done(self, proof="-", rows=()):
        for row in rows:
            self.send("ROW %s\r\n" % row)
        self.send("DONE %s\r\n" % proof)
        self.ready()

    async def query(self, identity, text):
        member = self.member
        minimum = None
        if text.startswith("AFTER "):
            _, minimum, text = text.split(" ", 2)
            minimum = tuple(int(each) for each in minimum.split("."))
        words = text.split(" ")
        verb = words[0]
        if verb == "STATUS" or verb in ("PAUSE", "RESUME", "DEMOTE"):
            self.control(verb, words)
            self.done(rows=["%s %d %s %d 0 0 %d" % (member.role, member.term, member.position(),
                                                   member.stopped_at, len(member.writers))])
            return
        if verb == "SET":
            self.values[words[1]] = " ".join(words[2:])
            self.done()
            return
        if verb == "RESET":
            self.values = {}
            self.prepared = {}
            self.done()
            return
        if verb == "PREPARE":
            self.prepared[words[1]] = (words[2], " ".join(words[3:]))
            self.done()
            return
        if verb == "DEALLOC":
            self.prepared.pop(words[1], None)
            self.done()
            return
        if self.state == "E" and verb not in ("ROLLBACK", "COMMIT"):
            self.fail("MALFORMED")
            return
        if minimum and member.applied_position() < minimum:
            self.fail("LAGGING")
            return
        if verb == "BEGIN":
            await self.begin(identity, words)
        elif verb == "ROLLBACK":
            self.roll_back("ROLLBACK id=%s" % identity)
            self.done()
        elif verb == "COMMIT":
            await self.commit(identity)
        else:
            await self.run_statement(identity, text, words)

    def control(self, verb, words):
        member = self.member
        if verb == "PAUSE" and int(words[1]) > member.group.newest_term and member.role == "replica":
            member.stopped_at = int(words[1])
        elif verb == "RESUME":
            member.stopped_at = 0
        elif verb == "DEMOTE" and member.role == "primary" and member.term < int(words[1]):
            member.role = "replica"

    async def begin(self, identity, words):
        if self.state != "I":
            self.fail("MALFORMED")
            return
        is_read_only = len(words) > 1
        if not is_read_only and self.member.role != "primary":
            self.fail("READONLY")
            return
        self.state = "T"
        self.transactions += 1
        self.is_read_only = is_read_only
        self.done()

    async def commit(self, identity):
        member = self.member
        if self.state != "T":
            self.roll_back("COMMIT of a failed transaction")
            self.fail("ABORTED" if self.state == "E" else "MALFORMED")
            return
        writes = list(self.transaction)
        if writes and member.role != "primary":
            self.roll_back("COMMIT at a member that does not lead")
            self.fail("READONLY")
            return
        statements = ["%s=%s" % each for each in writes]
        self.note_run(identity, "COMMIT", "COMMIT of [%s]" % ", ".join(statements))
        await asyncio.sleep(member.work)
        self.reset_transaction()
        if writes and not await member.commit(writes):
            self.writer.close()
            return
        self.done(member.proof())

    async def run_statement(self, identity, text, words):
        member = self.member
        verb, arguments = words[0], words[1:]
        if verb == "EXECUTE":
            shape = self.prepared.get(words[1])
            if shape is None:
                self.fail("NOSTMT")
                return
            verb, arguments = shape[0], words[2:]
        if verb not in ("READ", "WRITE"):
            self.fail("MALFORMED")
            return
        if verb == "WRITE" and (member.role != "primary" or self.is_read_only):
            self.fail("READONLY")
            return
        if self.state == "T" and not self.is_read_only and member.role != "primary":
            self.fail("READONLY")
            return
        self.note_run(identity, text, text + (" in its transaction" if self.state == "T" else ""))
        await asyncio.sleep(member.work)
        if verb == "READ":
            own = dict(self.transaction)
            self.done(member.proof(), [own.get(arguments[0], member.data.get(arguments[0], "none"))])
            return
        write = (arguments[0], " ".join(arguments[1:]))
        if self.state == "T":
            self.transaction.append(write)
        elif not await member.commit([write]):
            self.writer.close()
            return
        self.done(member.proof())


class Caller:
    """A client with one session."""

    def __init__(self, name, record):
        self.name = name
        self.record = record

    async def open(self, host, port, database, key):
        self.reader, self.writer = await asyncio.open_connection(host, port)
        self.writer.write(("START %s %s\r\n" % (database, key)).encode())
        line = (await asyncio.wait_for(self.reader.readuntil(b"\n"), 3)).decode().strip()
        if not line.startswith("READY"):
            raise ConnectionError(line)
        return self

    async def query(self, identity, text, timeout=4):
        """Returns (result, rows, state); the result is DONE or an error's code, or CLOSED or NONE."""
        self.record.add("client %s sends id=%s %s" % (self.name, identity, text))
        rows, result = [], "NONE"
        try:
            self.writer.write(("QUERY %s %s\r\n" % (identity, text)).encode())
            end = time.monotonic() + timeout
            while True:
                line = (await asyncio.wait_for(self.reader.readuntil(b"\n"), max(0.001, end - time.monotonic()))
                        ).decode().strip("\r\n")
                word, _, rest = line.partition(" ")
                if word == "ROW":
                    rows.append(rest)
                elif word == "DONE":
                    result = "DONE"
                elif word == "ERROR":
                    result = rest.split(" ")[0]
                elif word == "READY":
                    self.record.answers[identity] = result
                    self.record.add("client %s is answered id=%s %s %s state %s" % (
                        self.name, identity, result, rows, rest))
                    return result, rows, rest.split(" ")[0]
        except asyncio.TimeoutError:
            result = "NONE"
        except (asyncio.IncompleteReadError, ConnectionError):
            result = "CLOSED"
        self.record.answers[identity] = result
        self.record.add("client %s gets %s for id=%s" % (self.name, result, identity))
        return result, rows, "?"

    def close(self):
        self.writer.close()
