"""A transaction outlives its broker's process, and the next process gives its number to another one."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

from checks import check_pinned, check_tenants  # noqa: E402
from fleet import run_case  # noqa: E402
from wire_stand_ins import Caller  # noqa: E402


async def case(fleet, has_trouble):
    await fleet.start_platform()
    group = await fleet.add_group("ledger", primary_zone="south")
    fleet.add_route("bookings", "ledger")
    fleet.add_tenant("village", "key-1")
    fleet.add_tenant("school", "key-2")
    fleet.publish_configuration()
    fleet.start_heartbeats()
    await fleet.start_vms()
    await fleet.wait_ready()
    await asyncio.sleep(4)
    entry, broker = fleet.vm_of_zone("north"), fleet.vm_of_zone("south")
    one = await Caller("one", fleet.record).open(entry.host, entry.callers_port, "bookings", "key-1")
    two = await Caller("two", fleet.record).open(entry.host, entry.callers_port, "bookings", "key-2")

    await one.query("one-1", "BEGIN")
    await one.query("one-2", "WRITE a 1")
    if has_trouble:
        broker.kill()
        await asyncio.sleep(0.2)
        broker.start()
    # Longer than the restart, and well below the 3 s of tx-idle-ms.
    await asyncio.sleep(1.6)
    await two.query("two-1", "BEGIN")
    await two.query("two-2", "WRITE b 2")
    commit = (await one.query("one-3", "COMMIT"))[0]
    rollback = (await two.query("two-3", "ROLLBACK"))[0]
    await asyncio.sleep(0.3)

    data = group.primary().data
    fleet.record.add("the primary holds %s" % data)
    broken = check_pinned(fleet.record)
    broken += check_tenants(fleet.record, {"one": "village", "two": "school"})
    if data.get("b") == "2":
        broken.append("UNASKED: client two's transaction was committed; it asked for ROLLBACK, answered %s" % rollback)
    if commit == "DONE" and data.get("a") != "1":
        broken.append("MIXED: client one's COMMIT was answered DONE, and its write a=1 is in no log")
    return broken


if __name__ == "__main__":
    run_case(FOLDER, case)
