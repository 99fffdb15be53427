"""An order to promote gets no answer and is carried out late. Meanwhile the leader and the other replica return.

Three processes of greengagehitch-platformd, with the stand-ins of tests/processes for the store, the members, the
failover call and the callers. Rule LOST: the member that is promoted has all acknowledged commits. Exit code as in run.sh.
"""

import asyncio
import os
import shutil
import signal
import sys
import tempfile
import time
import traceback

FOLDER = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(FOLDER))
sys.path.insert(0, os.path.join(ROOT, "tests", "processes"))

import fault_soak  # noqa: E402
from repeated_answers import AnswerFaults  # noqa: E402
from statement_rules import CallerSession  # noqa: E402
from strict_wire import MessageStream  # noqa: E402

BUILD = os.path.join(ROOT, "target")
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = os.getpid()  # Only chooses the loopback addresses of the VMs.
CALLERS = 6
PACE = 0.03  # Seconds between two operations of a caller.
QUIET_TIME = 3  # Seconds before the primary crashes.
LATENESS = float(os.environ.get("LATENESS", "3"))  # An order is carried out 2 to 12 s late.
# Seconds after the order:
KILL_TIME = 1.2  # The VM that gave the order is killed.
REPLICA_TIME = 0.4  # The replica that the order does not name crashes ...
REPLICA_RETURN = 1.6  # ... and returns.
PRIMARY_RETURN = 1.6  # The primary returns. It crashed about half a second before the order.
DOWN_TIME = 3.5  # Seconds until that VM is started again.
JUDGED_TIME = 10  # Seconds after the order until the end.


class CaseGroup(fault_soak.SoakGroup):
    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.acknowledged, self.lost = set(), []

    def finish_promotion(self, chosen, holder):
        if chosen.is_running and chosen.role != "primary":
            held = {value for commit in chosen.log for _, value in commit[2]}
            missing = sorted(self.acknowledged - held)
            self.record.add("%s is promoted by order of %s with a log of %d commits; %d acknowledged writes are not in "
                            "it %s" % (chosen.identity, holder, len(chosen.log), len(missing), missing[:5]))
            self.lost += missing
        super().finish_promotion(chosen, holder)
        # PAUSE stops a replica from receiving until RESUME, a promote or its restart.
        for member in self.members:
            member.stopped_at = 0
            if member is not chosen:
                member.catch_up()


class CaseVm(fault_soak.SoakVm):
    """The VM's process stays down for a while after a kill."""

    down_until = 0

    async def supervise(self, broken):
        while True:
            self.start()
            while self.process.poll() is None:
                await asyncio.sleep(0.02)
            self.fleet.record.add("%s ends with %d" % (self.name, self.process.returncode))
            await asyncio.sleep(max(0.3, self.down_until - time.monotonic()))


class CaseFleet(fault_soak.SoakFleet):
    """The first order gets no answer and is carried out late, unless a newer fence has been seen by then."""

    first_order = None
    holder = None  # VM that gave the first order.
    newest_fence = 0

    async def handle_order(self, method, target, headers, body):
        fence = int(headers.get("x-fencing-token"))
        self.newest_fence = max(self.newest_fence, fence)
        self.record.add("order with fence %d of %s arrives: %s" % (fence, headers.get("x-duty-holder"), body))
        if self.first_order is not None or not HAS_TROUBLE:
            self.first_order = self.first_order or (time.monotonic(), body)
            return await super().handle_order(method, target, headers, body)
        self.first_order = (time.monotonic(), body)
        self.holder = headers.get("x-duty-holder")
        asyncio.ensure_future(self.carry_out_late(fence, (method, target, headers, body)))
        await asyncio.sleep(60)

    async def carry_out_late(self, fence, call):
        await asyncio.sleep(LATENESS)
        if fence < self.newest_fence:
            self.record.add("order with fence %d is refused, since fence %d has been seen" % (fence, self.newest_fence))
            return
        self.record.add("order with fence %d is carried out" % fence)
        await super().handle_order(*call)


async def call(fleet, group, index, end):
    """Sends one write after the other, each in a session of its own, to the VMs in turn."""
    number = 0
    while time.monotonic() < end():
        number += 1
        vm, session = fleet.vms[(index + number) % len(fleet.vms)], CallerSession("c%d" % index, "village")
        query, value, stream = "q%d-%d" % (index, number), "v%d-%d" % (index, number), None
        text = "WRITE x%d %s" % (index, value)
        fleet.rules.note_sent(query, session, text)
        try:
            stream = await MessageStream.open(vm.host, vm.callers_port)
            stream.send("START ledger key-1")
            result = await asyncio.wait_for(stream.read(), 2)
            if result.startswith("READY"):
                stream.send("QUERY %s %s" % (query, text))
                result = await asyncio.wait_for(stream.read(), 5)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            result = type(error).__name__
        finally:
            if stream:
                stream.close()
        if result.startswith("DONE"):
            group.acknowledged.add(value)
        fleet.rules.ended[query] = "DONE" if result.startswith("DONE") else "LEFT"
        fleet.record.add("caller sent %s (%s) to %s and got: %s" % (query, text, vm.name, result))
        await asyncio.sleep(PACE)


async def disturb(fleet, group):
    """Returns whether an order was given."""
    primary = group.primary()
    primary.crash()
    fleet.record.add("%s, the primary, crashes" % primary.identity)
    crashed = time.monotonic()
    while fleet.first_order is None:
        if time.monotonic() > crashed + 5:
            return False
        await asyncio.sleep(0.01)
    ordered, body = fleet.first_order

    async def until(seconds):
        await asyncio.sleep(max(0, ordered + seconds - time.monotonic()))

    if HAS_TROUBLE:
        other = next(each for each in group.members if each is not primary and each.identity not in str(body))
        await until(REPLICA_TIME)
        other.crash()
        fleet.record.add("%s, a replica, crashes" % other.identity)
        await until(KILL_TIME)
        vm = next(each for each in fleet.vms if each.name == fleet.holder)
        vm.down_until = time.monotonic() + DOWN_TIME
        vm.signal(signal.SIGKILL)
        fleet.record.add("%s, which gave the order, is killed" % vm.name)
        await until(REPLICA_RETURN)
        await other.restart()
        fleet.record.add("%s is back with a log of %d commits" % (other.identity, len(other.log)))
    await until(PRIMARY_RETURN)
    await primary.restart()
    fleet.record.add("%s is back as %s with a log of %d commits, after %.1f s" % (
        primary.identity, primary.role, len(primary.log), time.monotonic() - crashed))
    return True


async def run(folder):
    faults = AnswerFaults(SEED, 0, 0)
    faults.stop()
    faults.busy_share = faults.failed_share = 0.0
    fault_soak.SoakGroup, fault_soak.SoakVm = CaseGroup, CaseVm
    fleet, broken = CaseFleet(folder, BUILD, SEED, faults), []
    try:
        await fleet.start(broken)
        group = fleet.groups["bookings"]
        ends = [time.monotonic() + 60]
        callers = [asyncio.ensure_future(call(fleet, group, index, lambda: ends[0])) for index in range(CALLERS)]
        await asyncio.sleep(QUIET_TIME)
        before = len(group.acknowledged)
        is_ordered = await disturb(fleet, group)
        ends[0] = (fleet.first_order or (time.monotonic(),))[0] + JUDGED_TIME
        await asyncio.gather(*callers)
        leader = group.primary()
    finally:
        fleet.end()
    summary = "%d writes acknowledged, %d of them before the crash; %s leads at the end; %d acknowledged writes lost" % (
        len(group.acknowledged), before, leader.identity if leader else "no member", len(set(group.lost)))
    fleet.record.add(summary)
    print(summary)
    if not is_ordered or before == 0 or leader is None:
        print("could not run")
        return 2
    return 1 if group.lost else 0


def main():
    folder = tempfile.mkdtemp(prefix="case-6-")
    try:
        code = asyncio.run(run(folder))
    except Exception:  # pylint: disable=broad-except
        traceback.print_exc()
        code = 2
    finally:
        record = os.path.join(folder, "record.txt")
        if os.path.exists(record):
            shutil.copy(record, os.path.join(FOLDER, "record.txt"))
        if os.environ.get("KEEP"):
            print(folder)
        else:
            shutil.rmtree(folder)
    return code


if __name__ == "__main__":
    sys.exit(main())
