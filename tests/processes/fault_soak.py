"""Random faults against real processes of greengagehitch-platformd, with stand-ins for everything around them.

Usage: fault_soak.py BUILD SEED [SECONDS OF FAULTS [REPEATED SHARE [CUT SHARE]]]. Exit code: 0 all checks held, 1 one was
broken. KEEP=1 keeps the logs. The shares, 0 if absent, are those of the answers of members, store and failover call that
arrive twice or end in the middle (see repeated_answers.py); 0.02 is 2 %.

Planned work (SIGTERM, SIGHUP, changes of the configuration) and faults (SIGKILL, SIGSTOP, crashes of members, members
that stand still with their connections open, replicas that receive nothing) come in series and overlap. Callers use
their sessions until the process is gone.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "review", "standins"))
sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

import fleet as fleet_stand_in  # noqa: E402
from odd_fields import ODD_NAMES, ODD_SHAPES, OddFields  # noqa: E402
from repeated_answers import AnswerFaults, FaultyHttpServer  # noqa: E402
from second_tries import check_served  # noqa: E402
from soak_member import SoakMember  # noqa: E402
from statement_rules import PROMISES, CallerSession, StatementRules  # noqa: E402
from strict_wire import EscapingRecord, MessageStream, escape  # noqa: E402
from wire_stand_ins import Group, Store  # noqa: E402

ZONES = ("north", "south", "east")
DATABASES = {"stock": "bounded_staleness", "ponds": "read_your_writes", "ledger": "primary"}
TENANTS = {"key-1": "village", "key-2": "town"}
PREPARED_NAMES = ("s1", "s2")  # The names of all callers collide.
SHAPES = (("READ", "q1"), ("WRITE", "q1"), ("WRITE", "q2"))
SESSION_VALUES = ("zone", "mode")
GRACE_PERIOD = fleet_stand_in.BOUNDS["grace-period-s"]
# A request whose connection ends this soon after it was sent was on its way to a VM that had closed the connection.
LOSS_SLACK = fleet_stand_in.BOUNDS["loss-slack-ms"] / 1000
CALLERS = 12
CALLERS_WITHOUT_TROUBLE = 4  # Below a member's capacity, so that no statement has to be refused.
ANSWER_TIMEOUT = 10  # Far above the time limits of statements, so that a missing answer shows.
NO_ANSWER = ("CLOSED", "NONE")
LONG_PAUSE = 1  # Seconds, above the shorter of the limits on idle transactions that the operator sets.
MEMBER_WORK = 0.02  # Seconds that a statement takes at a member.
STANDSTILL_PAUSE = 0.05  # Seconds between two looks at a member that stands still.
SETTLE_TIME = fleet_stand_in.BOUNDS["recovery-s"]  # Seconds without faults at the end.
ODD_SHARE = 0.4  # Share of fields that hold line ends and the like (see odd_fields.py).
LAST_CHECK_TIME = 3  # Each VM has to serve a statement within this time after the end.


class SoakGroup(Group):
    def __init__(self, name, record, rules, faults, fields):
        super().__init__(name, record)
        self.rules, self.faults, self.fields = rules, faults, fields
        self.preset_rows = fields.preset_rows()
        self.run_ids = set()
        self.writes = {}  # Results that callers received by written value.

    def finish_promotion(self, chosen, holder):
        if not chosen.is_running or chosen.role == "primary":
            return
        self.check_promotion(chosen)
        super().finish_promotion(chosen, holder)
        for member in self.members:
            member.stopped_at = 0  # A promotion ends a PAUSE.
            member.catch_up() if member is not chosen else member.rebuild()

    def check_promotion(self, chosen):
        """LOST: the promoted member has all commits that were acknowledged."""
        logs = {member.identity: {value for commit in member.log for _, value in commit[2]} for member in self.members}
        for value, result in self.writes.items():
            holders = [identity for identity, log in logs.items() if value in log]
            if result == "DONE" and holders and chosen.identity not in holders:
                self.rules.break_rule("LOST", "%s is promoted without acknowledged write %s, which %s have" % (
                    chosen.identity, value, holders))


class SoakStore(Store):
    """Remembers which VM wrote last under a condition."""

    last_writer = None

    def __init__(self, record, faults):
        super().__init__(record)
        self.http = FaultyHttpServer(self.handle, faults, record, "store")

    def transact(self, call):
        if call.get("expected"):
            for write in call.get("writes", []):
                text = base64.b64decode(write["value"]).decode("latin-1")
                named = re.search(r"edge-[a-z]+-\d+", text)
                self.last_writer = named.group(0) if named else self.last_writer
        return super().transact(call)


class SoakVm(fleet_stand_in.Vm):
    """VM whose process the platform starts again whenever it ends."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.disturbed = []  # Intervals of kills and stops.
        self.termed_at = None

    def disturb(self):
        """Returns the interval, whose end the caller sets. A kill lasts until the process has ended."""
        self.disturbed.append([time.monotonic(), float("inf")])
        return self.disturbed[-1]

    def was_disturbed(self, start, end):
        return any(first <= end and last >= start for first, last in self.disturbed)

    async def supervise(self, broken):
        while True:
            self.start()
            self.termed_at = None
            while self.process.poll() is None:
                await asyncio.sleep(0.02)
                if self.termed_at is not None and time.monotonic() > self.termed_at + GRACE_PERIOD:
                    if not self.was_disturbed(self.termed_at, time.monotonic()):
                        broken.append("%s was still running at the end of the grace period" % self.name)
                    self.kill_now()
            self.fleet.record.add("%s ends with %d" % (self.name, self.process.returncode))
            # Before its start, a process has no callers, so a signal to stop may end it at once.
            if self.process.returncode not in (0, -signal.SIGKILL, -signal.SIGTERM):
                broken.append("%s ended with %d" % (self.name, self.process.returncode))
            for interval in self.disturbed:
                interval[1] = min(interval[1], time.monotonic())
            await asyncio.sleep(0.3)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def blocks_signals(self):
        """Returns whether the program has begun. Before, SIGHUP has the default effect, which no program can change."""
        with open("/proc/%d/status" % self.process.pid) as status:
            blocked = int(re.search(r"^SigBlk:\s*([0-9a-f]+)", status.read(), re.M).group(1), 16)
        return bool(blocked & 1 << (signal.SIGHUP - 1))

    def kill_now(self):
        self.disturb()
        self.signal(signal.SIGKILL)


class SoakFleet(fleet_stand_in.Fleet):
    def __init__(self, folder, build, seed, faults, odd_share=0):  # pylint: disable=super-init-not-called
        self.folder = folder
        self.record = EscapingRecord(os.path.join(folder, "record.txt"))
        self.role = {"run": os.path.join(build, "platform", "greengagehitch-platformd"),
                     "template": os.path.join("platform", "settings.yaml.template")}
        self.faults, self.rules = faults, StatementRules(self.record)
        self.fields = OddFields(random.Random(seed), odd_share)
        self.store = SoakStore(self.record, faults)
        self.orders = FaultyHttpServer(self.handle_order, faults, self.record, "platform")
        self.groups, self.zones, self.tasks = {}, ZONES, []
        self.holders = {}  # Holder of the duty by fence number.
        ports = fleet_stand_in.free_ports(4)
        # Each seed has its own addresses, so that several can run at a time.
        self.vms = [SoakVm(self, "edge-%s-1" % zone, zone, "127.%d.%d.1" % (1 + seed % 250, 10 + index), ports)
                    for index, zone in enumerate(ZONES)]
        self.configuration = {"version": 7, "routes": [], "services": [], "tenants": [],
                              "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                                         "header-timeout-ms": 3000, "idle-timeout-ms": 15000, "tx-idle-ms": 3000}}

    async def handle_order(self, method, target, headers, body):
        """ONE: no two holders of the duty send the same fence number."""
        fence, holder = headers.get("x-fencing-token"), headers.get("x-duty-holder")
        if self.holders.setdefault(fence, holder) != holder:
            self.rules.break_rule("ONE", "%s and %s send orders with fence %s" % (self.holders[fence], holder, fence))
        return await super().handle_order(method, target, headers, body)

    async def start(self, broken):
        await self.start_platform()
        group = SoakGroup("bookings", self.record, self.rules, self.faults, self.fields)
        self.groups["bookings"] = group
        for index, zone in enumerate(ZONES):
            await SoakMember(group, "i-%d" % (index + 1), zone, role="replica" if index else "primary",
                             work=MEMBER_WORK).start("127.0.0.1")
        self.configuration["services"].append({"name": "bookings", "health-check-path": "/health",
                                               "max-connections": 34, "sync-replicas": 1})
        for database, kind in DATABASES.items():
            self.add_route(database, "bookings", kind=kind, timeout=1500, target=400)
        for key, tenant in TENANTS.items():
            self.add_tenant(tenant, key, rate=5000)
        self.publish_configuration()
        self.tasks = [asyncio.ensure_future(self.beat(member)) for member in group.members]
        self.tasks += [asyncio.ensure_future(vm.supervise(broken)) for vm in self.vms]
        await asyncio.sleep(0.1)
        await self.wait_ready()

    def end(self):
        for task in self.tasks:
            task.cancel()
        for vm in self.vms:
            if vm.is_running():
                vm.process.kill()
                vm.process.wait()

    async def beat(self, member):
        """Reports the member at its rate and at each change of its role, and lets its entry expire with it."""
        while True:
            if not member.is_running or member.is_still:
                await asyncio.sleep(STANDSTILL_PAUSE)
                continue
            role, end = member.role, time.monotonic() + fleet_stand_in.HEARTBEAT
            self.store.put_json("servers", member.identity, member.entry())
            while member.is_running and member.role == role and time.monotonic() < end:
                await asyncio.sleep(0.05)


class SoakCaller:
    """Opens sessions and uses them until they end. All requests and writes are noted with their results."""

    def __init__(self, name, fleet, rng, requests, writes, broken):
        self.name, self.fleet, self.rng = name, fleet, rng
        self.requests, self.writes, self.broken = requests, writes, broken
        self.number, self.sessions = 0, 0
        self.fields = OddFields(rng, fleet.fields.share)
        self.data = {}  # Data by text of a write.
        self.end = float("inf")

    async def run(self):
        while time.monotonic() < self.end:
            await self.try_session(self.rng.choice(self.fleet.vms))
            await asyncio.sleep(self.rng.uniform(0.01, 0.1))

    async def serves(self, vm):
        self.end = time.monotonic() + LAST_CHECK_TIME
        while time.monotonic() < self.end:
            await self.try_session(vm, 1)
            if self.requests[-1]["vm"] is vm and self.requests[-1]["result"] == "DONE":
                return True
            await asyncio.sleep(0.05)
        return False

    async def try_session(self, vm, operations=None):
        try:
            await self.use_session(vm, operations or self.rng.choice((1, 5, 1000)))
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError, OSError):
            pass

    async def use_session(self, vm, operations):
        self.vm, self.own = vm, []
        self.sessions += 1
        key = self.rng.choice(list(TENANTS))
        self.session = CallerSession("%s/%d" % (self.name, self.sessions), TENANTS[key])
        self.item, self.reads = self.fields.word("x%s.%d" % (self.name, self.number)), set()
        database = self.rng.choice(list(DATABASES))
        try:
            if not await self.open(database, key):
                return
            rests, looks = self.rng.random() < 0.3, self.rng.random() < 0.7
            for _ in range(operations):
                if time.monotonic() >= self.end or not await self.run_operation(database):
                    return
                await asyncio.sleep(self.rng.uniform(0, 0.5) if rests else 0)
                if looks and await self.receives_message():
                    return  # As the protocol asks, of which some callers take no notice.
            self.stream.send("BYE")
        finally:
            self.stream.close()

    async def open(self, database, key):
        self.stream = await MessageStream.open(self.vm.host, self.vm.callers_port)
        self.stream.send("START %s %s" % (database, key))
        return (await asyncio.wait_for(self.stream.read(), 2)).startswith("READY")

    async def receives_message(self):
        """Returns whether a message or the end of the connection arrives, though no answer is outstanding."""
        try:
            await asyncio.wait_for(self.stream.read(), 0.001)
            return True
        except asyncio.TimeoutError:
            return False

    async def run_operation(self, database):
        """Returns whether the session can be used further."""
        kind = self.rng.choice(("read", "write", "pipeline", "transaction", "transaction", "setting"))
        if kind == "transaction":
            return await self.run_transaction()
        if kind == "setting":
            return await self.change_session()
        count = self.rng.randint(2, 6) if kind == "pipeline" else 1
        texts = [self.write_text() if kind == "write" or self.rng.random() < 0.5 else self.read_text()
                 for _ in range(count)]
        if self.rng.random() < 0.02:
            return self.leave([], texts)
        requests = await self.request(texts)
        for each in requests:
            if each["value"]:
                self.note_writes([each["value"]], each["result"])
            elif each["result"] == "DONE" and database != "stock" and each["text"] in self.reads:
                self.check_own_write(each)
        return requests[-1]["result"] not in NO_ANSWER

    async def change_session(self):
        """Sets a value, or prepares or drops a statement. A caller closes its session after an error."""
        name = self.fields.choice(PREPARED_NAMES, ODD_NAMES)
        if self.rng.random() < 0.4:
            name = self.fields.choice(SESSION_VALUES, ODD_NAMES)
            value = self.fields.text("%s-%d" % (self.session.name, self.number))
            if (await self.request(["SET %s %s" % (name, value)]))[0]["result"] != "DONE":
                return False
            self.session.values[name] = value
        elif name in self.session.prepared:
            if (await self.request(["DEALLOC " + name]))[0]["result"] != "DONE":
                return False
            del self.session.prepared[name]
        else:
            access, shape = self.fields.choice(SHAPES, ODD_SHAPES)
            if (await self.request(["PREPARE %s %s %s" % (name, access, shape)]))[0]["result"] != "DONE":
                return False
            self.session.prepared[name] = (access, shape)
        return True

    async def run_transaction(self):
        is_read_only = self.rng.random() < 0.2
        self.session.begin()
        last, values = (await self.request(["BEGIN READ" if is_read_only else "BEGIN"]))[0], []
        for _ in range(self.rng.randint(1, 4)):
            if last["result"] != "DONE":
                break
            await asyncio.sleep(self.rng.choice((0, self.rng.uniform(0, 0.1), self.rng.uniform(0, 0.4))))
            if self.rng.random() < 0.03:
                await asyncio.sleep(LONG_PAUSE)
            if self.rng.random() < 0.1 and not await self.change_session():
                return self.leave(values)
            if self.rng.random() < 0.05:
                return self.leave(values)
            reads = is_read_only or self.rng.random() < 0.3
            last = (await self.request([self.read_text() if reads else self.write_text()]))[0]
            values += [last["value"]] if last["value"] else []
        # No caller asks for the commit after an error, so nothing may be kept.
        result = "ABORTED"
        if last["result"] not in NO_ANSWER:
            commits = last["result"] == "DONE" and self.rng.random() < 0.85
            last = (await self.request(["COMMIT" if commits else "ROLLBACK"]))[0]
            result = last["result"] if commits else result
        self.session.transaction = None
        self.note_writes(values, result)
        return last["result"] not in NO_ANSWER

    def leave(self, values, texts=()):
        """Ends the session, in the middle of a transaction or with statements for whose answers nobody waits."""
        if self.session.transaction is not None:
            texts = [self.write_text()] if self.rng.random() < 0.5 else []
        for text in texts:
            request = self.note_request(text)
            request["result"] = self.fleet.rules.ended[request["id"]] = "LEFT"
            request["end"] = request["sent"]
            self.stream.send("QUERY %s %s" % (request["id"], text))
            if request["value"]:
                self.note_writes([request["value"]], "ABORTED" if self.session.transaction else "LEFT")
        if self.rng.random() < 0.5:
            self.stream.send("BYE")
        self.note_writes(values, "ABORTED")
        return False

    def find_prepared(self, access):
        names = [name for name, (own, _) in self.session.prepared.items() if own == access]
        return self.rng.choice(names) if names and self.rng.random() < 0.7 else None

    def read_text(self):
        name = self.find_prepared("READ")
        preset = self.fields.choose_preset()
        text = ("EXECUTE %s %s" % (name, preset or self.item) if name else "READ " + (preset or self.item))
        text += self.fields.trailer()
        if not preset:
            self.reads.add(text)
        return text

    def write_text(self):
        self.number += 1
        name = self.find_prepared("WRITE")
        data = self.fields.text("%s-%d" % (self.name, self.number))
        text = "%s %s %s" % ("EXECUTE " + name if name else "WRITE", self.item, data)
        self.data[text] = data
        return text

    def note_writes(self, values, result):
        for value in values:
            self.writes[value] = result
            self.own.append((value, result))

    def check_own_write(self, request):
        """A session reads its last acknowledged write, or one whose outcome is unknown."""
        acknowledged = [value for value, result in self.own if result == "DONE"]
        known = set(acknowledged[-1:] or ["none"])
        known |= {value for value, result in self.own if result != "DONE" and result not in PROMISES}
        found = request["rows"][0] if request["rows"] else None
        if found not in known:
            self.broken.append("STALE: %s read %s instead of %s" % (request["id"], found, sorted(known)))

    def note_request(self, text):
        self.number += 1
        noted = {"id": "%s-%d" % (self.name, self.number), "text": text, "vm": self.vm, "sent": time.monotonic(),
                 "result": "CLOSED", "rows": [], "value": self.data.get(text), "whole": float("inf")}
        self.requests.append(noted)
        self.fleet.rules.note_sent(noted["id"], self.session, text)
        return noted

    async def request(self, texts):
        """Sends statements at once and notes the result of each."""
        noted = [self.note_request(text) for text in texts]
        try:
            await self.fields.send(self.stream, noted)
            for each in noted:
                await asyncio.wait_for(self.read_answer(each), ANSWER_TIMEOUT)
        except asyncio.TimeoutError:
            each["result"] = "NONE"
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        for each in noted:
            each["end"] = time.monotonic()
            self.fleet.rules.ended[each["id"]] = each["result"]
            if each["result"] != "DONE":
                self.fleet.record.add("%s at %s: %s ends with %s after %.3f s" % (
                    each["id"], self.vm.name, each["text"], each["result"], each["end"] - each["sent"]))
        return noted

    async def read_answer(self, request):
        result, proof = None, "-"
        while True:
            message = await self.stream.read()
            word, _, rest = message.partition(" ")
            self.fleet.rules.check_message(request, message, word in (
                ("READY",) if result else ("ROW", "DONE", "ERROR")))
            if word == "ROW":
                request["rows"].append(rest)
            elif word in ("DONE", "ERROR"):
                result, proof = ("DONE", rest) if word == "DONE" else (rest.split(" ")[0], "-")
            elif word == "READY":
                request["result"] = result
                if result == "DONE":
                    self.fleet.rules.check_success(request, proof)
                return


class Trouble:
    """Disturbs the fleet at random."""

    def __init__(self, fleet, rng):
        self.fleet, self.rng = fleet, rng
        self.group = fleet.groups["bookings"]
        self.down = None  # Member that has crashed; one at a time.
        self.tasks = []

    async def run(self, end):
        actions = (self.stop_by_plan,) * 6 + (self.reload,) * 3 + (self.change_configuration,) * 4 + (
            self.kill, self.kill_last_writer, self.freeze, self.freeze, self.crash_member, self.crash_member,
            self.deafen_member, self.hold_member, self.hold_member, self.slow_members)
        while time.monotonic() < end:
            for _ in range(self.rng.choice((1, 1, 2, 4))):  # Some come in series.
                self.tasks.append(asyncio.ensure_future(self.rng.choice(actions)(self.rng.choice(self.fleet.vms))))
                await asyncio.sleep(self.rng.uniform(0, 0.4))
            await asyncio.sleep(self.rng.uniform(0.2, 2.5))
        await asyncio.gather(*self.tasks)

    async def stop_by_plan(self, vm):
        if vm.is_running():
            vm.signal(signal.SIGTERM)
            vm.termed_at = vm.termed_at or time.monotonic()

    async def reload(self, vm):
        if vm.is_running() and vm.blocks_signals():
            vm.signal(signal.SIGHUP)

    async def change_configuration(self, _):
        configuration = self.fleet.configuration
        for _ in range(self.rng.choice((1, 1, 5))):
            configuration["version"] += self.rng.randint(1, 3)
            for route in configuration["routes"]:
                route["timeout-ms"] = self.rng.choice((900, 1500, 3000))
            configuration["limits"]["tx-idle-ms"] = self.rng.choice((800, 3000))
            configuration["routes"] = [each for each in configuration["routes"] if each["database"] in DATABASES]
            if self.rng.random() < 0.5:
                self.fleet.add_route("more%d" % configuration["version"], "bookings")
            self.fleet.publish_configuration()
            await asyncio.sleep(self.rng.uniform(0.02, 0.3))

    async def kill(self, vm):
        if vm.is_running():
            vm.kill_now()

    async def kill_last_writer(self, _):
        for vm in self.fleet.vms:
            if vm.name == self.fleet.store.last_writer:
                await self.kill(vm)

    async def freeze(self, vm):
        if not vm.is_running():
            return
        process = vm.process
        interval = vm.disturb()
        vm.signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.1, 3))
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
        interval[1] = time.monotonic()

    async def crash_member(self, _):
        if self.down is not None:
            return
        self.down = member = self.rng.choice(self.group.members)
        self.fleet.record.add("%s crashes" % member.identity)
        member.crash()
        await asyncio.sleep(self.rng.uniform(0.5, 5))
        await member.restart()
        self.fleet.record.add("%s is back as %s" % (member.identity, member.role))
        await asyncio.sleep(2)
        self.down = None

    async def deafen_member(self, _):
        member = self.rng.choice(self.group.members)
        self.fleet.record.add("%s receives nothing" % member.identity)
        member.is_deaf = True
        await asyncio.sleep(self.rng.uniform(0.5, 3))
        member.is_deaf = False
        if member.role == "replica":
            member.catch_up()

    async def hold_member(self, _):
        member = self.rng.choice(self.group.members)
        if not member.is_running or member.is_still:
            return
        self.fleet.record.add("%s, the %s, stands still" % (member.identity, member.role))
        member.stand_still()
        await asyncio.sleep(self.rng.uniform(0.1, 3))
        self.fleet.record.add("%s goes on" % member.identity)
        member.go_on()

    async def slow_members(self, _):
        for member in self.group.members:
            member.work = self.rng.choice((0.02, 0.1, 0.5))
        await asyncio.sleep(self.rng.uniform(0.5, 3))
        for member in self.group.members:
            member.work = MEMBER_WORK


def check_answers(requests, run_ids, broken):
    """LOST: around planned work, each request that was read whole gets a complete answer."""
    late = 0
    for each in requests:
        if each["result"] not in NO_ANSWER or each["vm"].was_disturbed(each["sent"], each.get("end", each["sent"]) + 0.1):
            continue
        time_taken = each["end"] - each["whole"]
        if each["id"] in run_ids or time_taken > LOSS_SLACK:
            broken.append("LOST: %s (%s) at %s ended with %s after %.3f s, %s to a member" % (
                each["id"], each["text"], each["vm"].name, each["result"], time_taken,
                "passed on" if each["id"] in run_ids else "not passed on"))
        else:
            late += 1
    return late


def check_log(writes, log, broken):
    """LOST, TWICE, REFUSED: what the log of the last primary holds of each write."""
    counts = {}
    for commit in log:
        for _, value in commit[2]:
            counts[value] = counts.get(value, 0) + 1
    for value, result in writes.items():
        count = counts.get(value, 0)
        if result == "DONE" and count == 0:
            broken.append("LOST: acknowledged write %s is not in the log" % value)
        elif result in PROMISES and count != 0:
            broken.append("REFUSED: write %s was answered %s, but is in the log" % (value, result))
        elif count > 1:
            broken.append("TWICE: write %s is in the log %d times" % (value, count))


async def soak(folder, build, seed, seconds, faults, has_trouble):
    """Returns the broken rules and a summary."""
    rng, requests = random.Random(seed), []
    fleet = SoakFleet(folder, build, seed, faults, ODD_SHARE)
    broken = fleet.rules.broken
    try:
        await fleet.start(broken)
        writes = fleet.groups["bookings"].writes
        trouble = Trouble(fleet, random.Random(rng.random()))
        callers = [SoakCaller("c%d" % index, fleet, random.Random(rng.random()), requests, writes, broken)
                   for index in range(CALLERS if has_trouble else CALLERS_WITHOUT_TROUBLE)]
        tasks = [asyncio.ensure_future(each.run()) for each in callers]
        await (trouble.run(time.monotonic() + seconds) if has_trouble else asyncio.sleep(seconds))
        end = time.monotonic() + (SETTLE_TIME if has_trouble else 0)
        for caller in callers:
            caller.end = end
        await asyncio.gather(*tasks)
        faults.stop()
        if not has_trouble:
            for caller in callers:
                await check_served(caller)
        for vm in fleet.vms:
            if not await callers[0].serves(vm):
                broken.append("RECOVER: %s serves nothing at the end" % vm.name)
    finally:
        fleet.end()
    run_ids = {run["id"] for run in fleet.record.runs}
    late = check_answers(requests, run_ids, broken)
    leader = fleet.groups["bookings"].primary()
    if leader is None:
        broken.append("RECOVER: no member leads at the end")
    log = leader.log if leader else max((each.log for each in fleet.groups["bookings"].members), key=len)
    check_log(writes, log, broken)
    answered = sum(each["result"] == "DONE" for each in requests)
    unanswered = sum(each["result"] in NO_ANSWER for each in requests)
    for each in broken:
        fleet.record.add("BROKEN " + each)
    summary = "%d requests, %d with success, %d without an answer, %d of them to connections just closed" % (
        len(requests), answered, unanswered, late)
    for counts in (faults.counts, fleet.rules.counts()):
        summary += "".join("; %d %s" % (count, name) for name, count in sorted(counts.items()))
    return broken, summary


def run(build, seed, seconds, folder, repeated_share=0.0, cut_share=0.0, has_trouble=True):
    faults = AnswerFaults(seed, repeated_share, cut_share)
    if not has_trouble:
        faults.busy_share = faults.failed_share = 0.0
    return asyncio.run(soak(folder, os.path.abspath(build), seed, seconds, faults, has_trouble))


def main():
    build, seed = sys.argv[1], int(sys.argv[2])
    seconds, repeated_share, cut_share = [float(each) for each in sys.argv[3:6]] + [25, 0, 0][len(sys.argv[3:6]):]
    folder = tempfile.mkdtemp(prefix="fault-soak-%d-" % seed)
    broken, summary = run(build, seed, seconds, folder, repeated_share, cut_share)
    print("seed %d: %s; %d checks broken" % (seed, summary, len(broken)))
    for each in broken:
        print("  " + escape(each))
    if broken or os.environ.get("KEEP"):
        print("  logs are in " + folder)
    else:
        shutil.rmtree(folder)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
