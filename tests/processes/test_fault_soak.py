"""Runs the soak with random faults on a fixed seed, for a short time. fault_soak.py runs others by hand."""

import os
import sys
import tempfile
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

import fault_soak  # noqa: E402

BUILD = sys.argv.pop() if len(sys.argv) > 1 else "build/release"
SEED = 7
SECONDS = 15
REPEATED_SHARE = 0.1
SECONDS_WITH_REPETITIONS = 12


class FaultSoakTest(unittest.TestCase):
    def test_no_rule_is_broken_while_processes_stop_and_fail(self):
        """Guards against requests that get no answer around planned work, and against lost, repeated or unseen writes."""
        with tempfile.TemporaryDirectory() as folder:
            broken, summary = fault_soak.run(BUILD, SEED, SECONDS, folder)
        print(summary)
        self.assertEqual(broken, [])

    def test_no_rule_is_broken_while_answers_arrive_twice(self):
        """Guards against an answer of a member, the store or the platform that is taken for the one to a later request."""
        with tempfile.TemporaryDirectory() as folder:
            broken, summary = fault_soak.run(BUILD, SEED, SECONDS_WITH_REPETITIONS, folder, REPEATED_SHARE)
        print(summary)
        self.assertEqual(broken, [])


if __name__ == "__main__":
    unittest.main()
