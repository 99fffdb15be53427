"""The leader stands still with writes in flight, is to be replaced, and goes on once a replica has restarted.

Usage: standing_leader.py BUILD SEED [FIELD=SECONDS ...], with the fields of Case. Exit code: 0 held, 1 broken, 2 could
not run. KEEP=1 keeps the logs.
"""

import asyncio
import dataclasses
import os
import random
import shutil
import signal
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

import fault_soak  # noqa: E402
from repeated_answers import AnswerFaults  # noqa: E402
from statement_rules import PROMISES, CallerSession  # noqa: E402
from strict_wire import MessageStream  # noqa: E402

CALLERS = 24
PACE = 0.03  # Seconds between two operations of a caller.
QUIET_TIME = 3  # Seconds before the leader stands still.
ORDER_TIME = 5  # Seconds until an order has to be given.
RECOVERY_TIME = fault_soak.SETTLE_TIME  # Seconds from the end of the trouble until each VM has to serve a write.


@dataclasses.dataclass
class Case:
    """Times in seconds; those of the trouble count from the order's arrival."""

    lateness: float = 0  # The first order gets no answer and is carried out late. 0 is prompt, with an answer.
    shortest_promotion: float = 0.3
    longest_promotion: float = 0.6
    replica_crash: float = 0.02  # The replica that the order does not name crashes ...
    replica_return: float = 0.12  # ... and is back.
    leader_return: float = 0.13  # The leader goes on.
    vm_kill: float = 0  # The VM that gave the order is killed; 0 is never.
    vm_down: float = 3.5  # Seconds until that VM is started again.
    time_limit: float = 3  # Of one statement; above the time until the order, so that callers still wait.


class CaseGroup(fault_soak.SoakGroup):
    """Knows the acknowledged writes, and those that a promoted member lacks."""

    case, rng = None, None

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.acknowledged, self.refused, self.lost = set(), set(), set()
        self.promotions = 0

    def finish_promotion(self, chosen, holder):
        shortest = 0.3  # Seconds until the stand-in calls this.
        rest = self.rng.uniform(self.case.shortest_promotion, self.case.longest_promotion) - shortest
        asyncio.get_running_loop().call_later(rest, self.promote_now, chosen, holder)

    def promote_now(self, chosen, holder):
        if chosen.is_running and chosen.role != "primary":
            self.promotions += 1
            self.note_lost(chosen)
        super().finish_promotion(chosen, holder)

    def note_lost(self, leader):
        held = {value for commit in leader.log for _, value in commit[2]}
        self.lost |= self.acknowledged - held
        self.record.add("%s has a log of %d commits; %d acknowledged writes are not in it: %s" % (
            leader.identity, len(leader.log), len(self.acknowledged - held), sorted(self.acknowledged - held)))


class CaseVm(fault_soak.SoakVm):
    """The VM's process stays down for a while after a kill."""

    down_until = 0

    async def supervise(self, broken):
        while True:
            self.start()
            while self.process.poll() is None:
                await asyncio.sleep(0.02)
            await asyncio.sleep(max(0.3, self.down_until - time.monotonic()))


class CaseFleet(fault_soak.SoakFleet):
    case = None
    first_order = None  # Its time, holder and body.

    async def handle_order(self, method, target, headers, body):
        self.record.add("order with fence %s of %s arrives: %s" % (
            headers.get("x-fencing-token"), headers.get("x-duty-holder"), body))
        is_first = self.first_order is None
        if is_first:
            self.first_order = (time.monotonic(), headers.get("x-duty-holder"), str(body))
        if is_first and self.case.lateness:
            self.tasks.append(asyncio.ensure_future(self.carry_out_late(method, target, headers, body)))
            await asyncio.sleep(60)
        return await super().handle_order(method, target, headers, body)

    def add_route(self, database, group, **options):
        super().add_route(database, group, **{**options, "timeout": int(1000 * self.case.time_limit)})

    async def carry_out_late(self, *call):
        await asyncio.sleep(self.case.lateness)
        status, _ = await super().handle_order(*call)
        self.record.add("the late order gets %d" % status)


class Play:
    """One play of a case."""

    def __init__(self, fleet, case):
        self.fleet, self.case = fleet, case
        self.group = fleet.groups["bookings"]
        self.is_over = False
        self.waiting = set()  # Ids of the writes whose callers wait.
        self.counts = {}  # Results of callers.
        self.served = {}  # Time at which a VM's last write that was acknowledged was sent, by name.
        self.in_flight = 0  # Writes that the leader has begun, and whose callers wait, as it goes on.
        self.recovery = None  # Seconds until all VMs serve again.
        self.longest_gap = 0  # Seconds in which the machine did not let this process run.

    async def call(self, index):
        """Sends one write after the other, each in a session of its own, to the VMs in turn."""
        number = 0
        while not self.is_over:
            number += 1
            vm = self.fleet.vms[(index + number) % len(self.fleet.vms)]
            identity, value = "q%d-%d" % (index, number), "v%d-%d" % (index, number)
            text, sent = "WRITE x%d %s" % (index, value), time.monotonic()
            self.fleet.rules.note_sent(identity, CallerSession("c%d" % index, "village"), text)
            self.waiting.add(identity)
            result = await self.write(vm, identity, text)
            self.waiting.discard(identity)
            if result == "DONE":
                self.group.acknowledged.add(value)
                self.served[vm.name] = max(sent, self.served.get(vm.name, 0))
            elif result in PROMISES:
                self.group.refused.add(value)
            self.counts[result] = self.counts.get(result, 0) + 1
            self.fleet.record.add("%s at %s gets %s after %.3f s" % (value, vm.name, result, time.monotonic() - sent))
            await asyncio.sleep(PACE)

    async def write(self, vm, identity, text):
        stream = None
        try:
            stream = await MessageStream.open(vm.host, vm.callers_port)
            stream.send("START ledger key-1")
            answer = await asyncio.wait_for(stream.read(), 2)
            if answer.startswith("READY"):
                stream.send("QUERY %s %s" % (identity, text))
                answer = await asyncio.wait_for(stream.read(), fault_soak.ANSWER_TIMEOUT)
            return answer.split(" ")[answer.startswith("ERROR ")]
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            return type(error).__name__
        finally:
            if stream:
                stream.close()

    async def watch_gaps(self):
        while not self.is_over:
            start = time.monotonic()
            await asyncio.sleep(0.02)
            self.longest_gap = max(self.longest_gap, time.monotonic() - start - 0.02)

    async def disturb(self):
        """Returns whether an order was given."""
        leader = self.group.primary()
        leader.stand_still()
        self.fleet.record.add("%s, the leader, stands still" % leader.identity)
        end = time.monotonic() + ORDER_TIME
        while self.fleet.first_order is None:
            if time.monotonic() > end:
                return False
            await asyncio.sleep(0.005)
        _, holder, body = self.fleet.first_order
        replica = next(each for each in self.group.members if each is not leader and each.identity not in body)
        vm = next(each for each in self.fleet.vms if each.name == holder)
        steps = [(self.case.replica_crash, self.crash, replica), (self.case.replica_return, self.restart, replica),
                 (self.case.leader_return, self.go_on, leader)]
        steps += [(self.case.vm_kill, self.kill, vm)] if self.case.vm_kill else []
        for seconds, step, subject in sorted(steps, key=lambda each: each[0]):
            await self.wait_until(seconds)
            await step(subject)
        # A late order ends the trouble if it was not replaced by a newer one.
        await self.wait_until(self.case.lateness + self.case.longest_promotion)
        return True

    async def wait_until(self, seconds):
        await asyncio.sleep(max(0, self.fleet.first_order[0] + seconds - time.monotonic()))

    async def crash(self, member):
        member.crash()
        self.fleet.record.add("%s, a replica, crashes" % member.identity)

    async def restart(self, member):
        await member.restart()
        self.fleet.record.add("%s is back with a log of %d commits" % (member.identity, len(member.log)))

    async def go_on(self, leader):
        self.in_flight = len(self.waiting & self.group.run_ids)
        self.fleet.record.add("%s goes on with %d writes in flight" % (leader.identity, self.in_flight))
        leader.go_on()

    async def kill(self, vm):
        vm.down_until = time.monotonic() + self.case.vm_down
        vm.signal(signal.SIGKILL)

    async def wait_served(self):
        """Waits until each VM has served a write that was sent after the trouble, for the recovery time at most."""
        start = time.monotonic()
        while time.monotonic() < start + RECOVERY_TIME:
            if all(self.served.get(vm.name, 0) > start for vm in self.fleet.vms):
                self.recovery = time.monotonic() - start
                return
            await asyncio.sleep(0.02)


async def play(folder, build, seed, case):
    """Returns whether the case could run, the broken rules and a summary."""
    faults = AnswerFaults(seed)
    faults.stop()
    CaseGroup.case, CaseGroup.rng, CaseFleet.case = case, random.Random(seed), case
    fault_soak.SoakGroup, fault_soak.SoakVm = CaseGroup, CaseVm
    fleet = CaseFleet(folder, os.path.abspath(build), seed, faults)
    broken = []
    try:
        await fleet.start(broken)
        run = Play(fleet, case)
        tasks = [asyncio.ensure_future(each) for each in [run.watch_gaps()] + [run.call(i) for i in range(CALLERS)]]
        await asyncio.sleep(QUIET_TIME)
        is_ordered = await run.disturb()
        if is_ordered:
            await run.wait_served()
        run.is_over = True
        await asyncio.gather(*tasks)
    finally:
        fleet.end()
    group, leader = run.group, run.group.primary()
    if leader:
        group.note_lost(leader)
    if group.lost:
        broken.append("LOST: acknowledged writes %s" % sorted(group.lost))
    refused = group.refused & {value for commit in leader.log for _, value in commit[2]} if leader else ()
    if refused:
        broken.append("REFUSED: writes %s were answered with a promise, but are in the log" % sorted(refused))
    if is_ordered and run.recovery is None:
        broken.append("RECOVER: writes are not served again at all VMs within %d s" % RECOVERY_TIME)
    broken += fleet.rules.broken
    summary = "%d writes in flight, %d promotions, %d acknowledged writes lost, served after %s s, gaps %.2f s; %s" % (
        run.in_flight, group.promotions, len(group.lost), run.recovery and round(run.recovery, 2), run.longest_gap,
        ", ".join("%d %s" % (count, result) for result, count in sorted(run.counts.items())))
    fleet.record.add(summary)
    return is_ordered and run.in_flight > 0, broken, summary


def run_case(folder, build, seed, case):
    return asyncio.run(play(folder, build, seed, case))


def main():
    build, seed = sys.argv[1], int(sys.argv[2])
    case = Case(**{name: float(value) for name, value in (each.split("=") for each in sys.argv[3:])})
    folder = tempfile.mkdtemp(prefix="standing-leader-%d-" % seed)
    could_run, broken, summary = run_case(folder, build, seed, case)
    print("seed %d: %s%s" % (seed, summary, "" if could_run else "; could not run"))
    for each in broken:
        print("  " + each)
    if broken or os.environ.get("KEEP"):
        print("  logs are in " + folder)
    else:
        shutil.rmtree(folder)
    return 1 if broken else 0 if could_run else 2


if __name__ == "__main__":
    sys.exit(main())
