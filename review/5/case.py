"""The whole system starts for the first time while the platform's store is slow."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

from fleet import BOUNDS, run_case  # noqa: E402
from wire_stand_ins import Caller  # noqa: E402

RATE, BURST = 20, 20  # Of the tenant, for the whole fleet.
CALLERS = 6  # Two at each machine.
READ_TIME = 0.004  # Seconds of the store for an answer, and for a transaction, as in the settings.
TRANSACTION_TIME = 0.008
SLOWNESS = 50  # The store's answers take this many times as long,
SLOW_TIME = 4.5  # for this many seconds from the start of the machines.


async def case(fleet, has_trouble):
    answer = fleet.store.http.handler
    slow_until = time.monotonic() + SLOW_TIME

    async def answer_later(method, target, headers, body):
        factor = SLOWNESS if has_trouble and time.monotonic() < slow_until else 1
        if target.startswith("/rows-tx"):
            await asyncio.sleep(TRANSACTION_TIME * factor)
            return await answer(method, target, headers, body)
        await asyncio.sleep(READ_TIME * factor / 2)
        result = await answer(method, target, headers, body)
        await asyncio.sleep(READ_TIME * factor / 2)
        return result

    fleet.store.http.handler = answer_later
    await fleet.start_platform()
    await fleet.add_group("ledger")
    fleet.add_route("stock", "ledger", kind="bounded_staleness", timeout=1000, target=400)
    fleet.add_tenant("village", "key-1", rate=RATE)
    fleet.publish_configuration()
    fleet.start_heartbeats()
    await fleet.start_vms()
    await fleet.wait_ready()
    await asyncio.sleep(10)  # "Traffic starts 10 s after the machines do."
    end = time.monotonic() + 10

    async def call(name, vm):
        session = await Caller(name, fleet.record).open(vm.host, vm.callers_port, "stock", "key-1")
        number = 0
        while time.monotonic() < end:
            number += 1
            await session.query("%s-%d" % (name, number), "READ x")
            await asyncio.sleep(0.02)

    await asyncio.gather(*[call("c%d" % (index + 1), fleet.vms[index % len(fleet.vms)]) for index in range(CALLERS)])
    run_at = {}
    for run in fleet.record.runs:
        run_at.setdefault(run["id"], run["at"])
    window = BOUNDS["quota-window-s"]
    times = sorted(run_at.values())
    most = max(sum(first <= each < first + window for each in times) for first in times)
    allowed = (RATE * window + BURST) * (1 + BOUNDS["quota-overage"]) + BOUNDS["quota-slack"]
    fleet.record.add("at most %d requests of the tenant were run in %d s; allowed %d" % (most, window, allowed))
    return ["QUOTA: %d requests in %d s, allowed %d" % (most, window, allowed)] if most > allowed else []


if __name__ == "__main__":
    run_case(FOLDER, case)
