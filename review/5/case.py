"""A planned stop, with callers that keep their sessions busy."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

from fleet import BOUNDS, run_case  # noqa: E402
from wire_stand_ins import Caller  # noqa: E402

CALLERS = 4  # Of each kind.
READ_WORK = 0.055  # Seconds at a member, the mean of stock-checks in the users' table.
WRITE_WORK = 0.033  # The mean of pond-status.


async def case(fleet, has_trouble):
    await fleet.start_platform()
    stock = await fleet.add_group("stock")
    ponds = await fleet.add_group("ponds")
    for group, work in ((stock, READ_WORK), (ponds, WRITE_WORK)):
        for member in group.members:
            member.work = work
    fleet.add_route("stock", "stock", kind="bounded_staleness", timeout=3000, target=800)
    fleet.add_route("ponds", "ponds", kind="read_your_writes", timeout=1000, target=400)
    fleet.add_tenant("village", "key-1")
    fleet.publish_configuration()
    fleet.start_heartbeats()
    await fleet.start_vms()
    await fleet.wait_ready()
    await asyncio.sleep(4)
    vm = fleet.vm_of_zone("north")
    sent = {}

    async def call(name, database, text):
        """Sends one statement after the other in one session, until it is closed or 12 s have passed."""
        caller = await Caller(name, fleet.record).open(vm.host, vm.callers_port, database, "key-1")
        end = time.monotonic() + 12
        number = 0
        while time.monotonic() < end:
            number += 1
            identity = "%s-%d" % (name, number)
            sent[identity] = time.monotonic()
            if (await caller.query(identity, text))[0] in ("CLOSED", "NONE"):
                return

    calls = []
    for index in range(CALLERS):
        calls.append(asyncio.ensure_future(call("reader%d" % (index + 1), "stock", "READ x")))
        calls.append(asyncio.ensure_future(call("writer%d" % (index + 1), "ponds", "WRITE p%d open" % index)))
    await asyncio.sleep(1)
    stopped_at = time.monotonic()
    if has_trouble:
        vm.signal(signal.SIGTERM)
    await asyncio.gather(*calls)
    ended_at = time.monotonic()

    broken = []
    run_at = {run["id"]: run["at"] for run in fleet.record.runs}
    for identity, result in fleet.record.answers.items():
        after = sent[identity] - stopped_at
        # Requests that were sent within 3 s of the SIGTERM are excused if the member is still at work on them in
        # the last sixth of grace-period-s.
        if result in ("CLOSED", "NONE") and identity in run_at and 3 < after < BOUNDS["grace-period-s"] + 1:
            broken.append("LOST: %s was sent %.2f s after the SIGTERM, was passed on to a member, and got no answer"
                          % (identity, after))
    fleet.record.add("the last session ended %.2f s after the SIGTERM" % (ended_at - stopped_at))
    return broken


if __name__ == "__main__":
    run_case(FOLDER, case)
