"""Starts stand-ins and one daemon on loopback and measures the daemon with benchmarks/measure-daemon."""

import os
import resource
import subprocess
import sys

from local_fleet import Fleet

SCHEMA = "create table bookings (id integer primary key, pond text not null, flags integer not null) strict"
CONFIGURATION = """\
databases:
  ledger-1: {}
classes:
  stock: {access: read, databases: [ledger-1], delay: 1s}
  bookings: {access: write, databases: [ledger-1], repeatable: true, delay: 1s}
client_accounts:
  load: {rate: 1000000, burst: 1000000}
"""


def main():
    file_limit = 16384  # The measurement and the daemon each hold 4000 idle connections.
    resource.setrlimit(resource.RLIMIT_NOFILE, (file_limit, resource.getrlimit(resource.RLIMIT_NOFILE)[1]))
    fleet = Fleet(sys.argv[1], daemons=1, schema=SCHEMA, slots=35)
    try:
        fleet.apply_configuration(CONFIGURATION)
        key = fleet.operator("key", "give", "load")["key"]

        def book():
            return fleet.call(0, "execute", {"class": "bookings", "statement": {
                "sql": "insert into bookings (id, pond, flags) values (7, 'north pond', 4)"}}, key)
        fleet.wait_until(lambda: "result" in book(), what="the first booking to succeed")
        command = [os.path.join(sys.argv[1], "benchmarks", "measure-daemon"),
                   "--callers", fleet.daemons[0]["callers"].removeprefix("http://"),
                   "--database-port", str(fleet.database["ports"][1]), "--key", key,
                   "--pid", str(fleet.daemons[0]["process"].pid)]
        return subprocess.run(command, timeout=60).returncode
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(main())
