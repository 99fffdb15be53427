"""Runs callers and members whose fields hold line ends and texts of messages, without other trouble, on fixed seeds."""

import asyncio
import os
import sys
import tempfile
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

import fault_soak  # noqa: E402
from repeated_answers import AnswerFaults  # noqa: E402
from strict_wire import MessageStream  # noqa: E402

BUILD = sys.argv.pop() if len(sys.argv) > 1 else "build/release"
SEED = 54
SECONDS = 10
REPEATED_SHARE = 0.05
ANSWERS = {  # First two words of the answer by fields of START.
    "ledger key-1": "READY I", "ledger key-1\nx": "ERROR NOAUTH", "ledger key-1\r": "ERROR NOAUTH",
    "ledger key-1\nQUERY f00d WRITE z stolen": "ERROR NOAUTH", "ledger key-1\0": "ERROR NOAUTH",
    "ledger key-1 ": "ERROR NOAUTH", "ledger\nx key-1": "ERROR NODB", "ledger\xff key-1": "ERROR NODB"}


async def open_sessions(build, folder):
    """Returns the first two words of the answer to each START, and the broken rules."""
    faults, answers = AnswerFaults(SEED), {}
    faults.stop()
    fleet = fault_soak.SoakFleet(folder, os.path.abspath(build), SEED, faults)
    try:
        await fleet.start(fleet.rules.broken)
        for fields in ANSWERS:
            stream = await MessageStream.open(fleet.vms[0].host, fleet.vms[0].callers_port)
            stream.send("START " + fields)
            answers[fields] = " ".join((await stream.read()).split(" ")[:2])
            stream.close()
    finally:
        fleet.end()
    return answers, fleet.rules.broken


class LineEndsTest(unittest.TestCase):
    def run_without_trouble(self, seed, repeated_share):
        with tempfile.TemporaryDirectory() as folder:
            broken, summary = fault_soak.run(BUILD, seed, SECONDS, folder, repeated_share, has_trouble=False)
        print(summary)
        self.assertEqual(broken, [])

    def test_key_that_goes_on_after_a_line_end_is_another_key(self):
        """Guards against a key that is cut at a lone LF, so that a session is opened with the key of another caller."""
        with tempfile.TemporaryDirectory() as folder:
            answers, broken = asyncio.run(open_sessions(BUILD, folder))
        self.assertEqual(answers, ANSWERS)
        self.assertEqual(broken, [])

    def test_fields_with_line_ends_reach_members_and_callers_whole(self):
        """Guards against messages that end at a lone LF, so that a field is cut and its rest is read as a message."""
        self.run_without_trouble(SEED, 0)

    def test_fields_with_line_ends_reach_members_and_callers_whole_while_answers_arrive_twice(self):
        """Guards against the same where the rest of a cut row could also be taken for the repetition of an answer."""
        self.run_without_trouble(SEED + 1, REPEATED_SHARE)


if __name__ == "__main__":
    unittest.main()
