"""The leader stands still with writes in flight and goes on after the order to replace it; see standing_leader.py."""

import os
import sys
import tempfile
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

import standing_leader  # noqa: E402

BUILD = sys.argv.pop() if len(sys.argv) > 1 else "build/release"
SEED = 11
TRIES = 3  # Without an order while writes are in flight, the case is set up again.


class StandingLeaderTest(unittest.TestCase):
    def test_writes_in_flight_at_a_standing_leader_that_a_restarted_replica_confirms_are_not_acknowledged(self):
        """Guards against a success that a VM passes on after its leader is ordered away, and the next one lacks."""
        for seed in range(SEED, SEED + TRIES):
            with tempfile.TemporaryDirectory() as folder:
                could_run, broken, summary = standing_leader.run_case(folder, BUILD, seed, standing_leader.Case())
            print(summary)
            self.assertEqual(broken, [])
            if could_run:
                return
        self.fail("could not run: no order was given while writes were in flight")


if __name__ == "__main__":
    unittest.main()
