"""Runs prepared statements whose shapes hold blanks against real processes with the stand-ins of the soak."""

import asyncio
import os
import sys
import tempfile
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

import fault_soak  # noqa: E402
from repeated_answers import AnswerFaults  # noqa: E402
from statement_rules import CallerSession  # noqa: E402
from strict_wire import MessageStream  # noqa: E402

BUILD = sys.argv.pop() if len(sys.argv) > 1 else "build/release"
ADDRESSES = 201  # Selects the loopback addresses, which differ from those of the soak.
SHAPES = (("READ", "q2 of item"), ("WRITE", "q2 of item"), ("READ", "q2  of item"), ("READ", "q2 AFTER 1.2 x"))


async def run_statement(caller, session, text):
    """Returns the result of a statement of the session."""
    caller.session = session
    return (await caller.request([text]))[0]["result"]


async def run_prepared(build, folder):
    """Prepares and runs each shape in a session of its own. Returns the results and the broken rules."""
    faults, results = AnswerFaults(ADDRESSES), []
    faults.stop()
    fleet = fault_soak.SoakFleet(folder, os.path.abspath(build), ADDRESSES, faults)
    try:
        await fleet.start(fleet.rules.broken)
        caller = fault_soak.SoakCaller("c", fleet, None, [], {}, fleet.rules.broken)
        for access, shape in SHAPES:
            caller.vm = fleet.vms[0]
            caller.stream = await MessageStream.open(caller.vm.host, caller.vm.callers_port)
            caller.stream.send("START ledger key-1")
            await caller.stream.read()
            session = CallerSession("c/" + shape, "village")
            result = await run_statement(caller, session, "PREPARE s1 %s %s" % (access, shape))
            session.prepared["s1"] = (access, shape)
            data = " data" if access == "WRITE" else ""
            results += [result, await run_statement(caller, session, "EXECUTE s1 item" + data)]
            caller.stream.close()
    finally:
        fleet.end()
    return results, fleet.rules.broken


class PreparedShapesTest(unittest.TestCase):
    def test_shape_with_blanks_is_executed_with_its_own_text(self):
        """Guards against names at the member that hold a shape's blanks, since a name ends at its first blank."""
        with tempfile.TemporaryDirectory() as folder:
            results, broken = asyncio.run(run_prepared(BUILD, folder))
        self.assertEqual(broken, [])
        self.assertEqual(results, ["DONE"] * 2 * len(SHAPES))


if __name__ == "__main__":
    unittest.main()
