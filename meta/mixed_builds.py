"""Checks that two builds of the daemon serve one fleet together and read what the other one wrote."""

import json
import subprocess
import os
import sys
import time

from local_fleet import Fleet

SCHEMA = "create table bookings (id integer primary key, pond text not null, flags integer not null) strict"
RATE = 20
BURST = 40
CONFIGURATION = """\
databases:
  ledger-1: {}
classes:
  bookings: {access: write, databases: [ledger-1], repeatable: false, delay: 5s}
  stock: {access: read, databases: [ledger-1], delay: %dms}
client_accounts:
  rink: {rate: 10000, burst: 10000}
  limited: {rate: %d, burst: %d}
"""
failures = []


class MixedFleet(Fleet):
    """A fleet in which each daemon runs from a build folder of its own."""

    def __init__(self, builds, **options):
        self.builds = builds
        self.vms = []
        super().__init__(builds[0], daemons=len(builds), **options)

    def _start_daemon(self, vm):
        if vm not in self.vms:
            self.vms.append(vm)
        self.build = self.builds[self.vms.index(vm)]
        try:
            return super()._start_daemon(vm)
        finally:
            self.build = self.builds[0]

    def restart_with(self, builds):
        """Stops all daemons and starts them again under their names, each from the given build."""
        self.builds = builds
        for daemon in self.daemons:
            daemon["process"].terminate()
            daemon["process"].wait(timeout=20)
        self.daemons = [self._start_daemon(vm) for vm in self.vms]


def expect(is_right, what, detail=""):
    print("  %s %s%s" % ("ok  " if is_right else "FAIL", what, "" if is_right else ": %s" % (detail,)))
    if not is_right:
        failures.append(what)


def book(fleet, daemon, key, number):
    return fleet.call(daemon, "execute", {
        "class": "bookings", "request_id": "b%d" % number, "statement": {
            "sql": "insert into bookings values ($1, 'north', 1)", "parameters": [number]}}, key)


def read(fleet, daemon, key, number, session=""):
    return fleet.call(daemon, "execute", {"class": "stock", "session": session, "statement": {
        "sql": "select id from bookings where id = $1", "parameters": [number]}}, key)


def rows_of(answer):
    return answer.get("result", {}).get("results", [{}])[0].get("rows")


def version_at(fleet, daemon):
    return fleet.operator("status", daemon=daemon).get("configuration_version")


def check_sessions(fleet, key, first_number):
    for offset, (writer, reader) in enumerate(((0, 1), (1, 0))):
        number = first_number + offset
        booked = book(fleet, writer, key, number)
        expect("result" in booked, "vm-%d writes" % (writer + 1), booked)
        found = read(fleet, reader, key, number, booked.get("result", {}).get("session", ""))
        expect(rows_of(found) == [[number]], "vm-%d reads with the session token of vm-%d" % (reader + 1, writer + 1), found)
        repeated = book(fleet, reader, key, number)
        expect(repeated.get("result", {}).get("repeated") is True,
               "vm-%d finds the outcome record of vm-%d" % (reader + 1, writer + 1), repeated)


def check_configuration(fleet, delay_ms):
    for writer, reader in ((0, 1), (1, 0)):
        applied = fleet.apply_configuration(CONFIGURATION % (delay_ms + writer, RATE, BURST), daemon=writer)
        fleet.wait_until(lambda: version_at(fleet, reader) == applied["version"], what="the configuration")
        expect(True, "a configuration applied at vm-%d is active at vm-%d" % (writer + 1, reader + 1))
    shown = [fleet.operator("config", "show", daemon=daemon) for daemon in (0, 1)]
    expect(shown[0]["digest"] == shown[1]["digest"], "both show the same snapshot", shown)
    histories = [fleet.operator("config", "history", daemon=daemon) for daemon in (0, 1)]
    expect(histories[0] == histories[1], "both walk the same history", histories)


def check_limit(fleet, key):
    start = time.monotonic()
    admitted = 0
    seconds = 6
    while time.monotonic() - start < seconds:
        for daemon in (0, 1):
            admitted += "result" in read(fleet, daemon, key, 1)
    elapsed = time.monotonic() - start
    most = RATE * elapsed + BURST
    expect(admitted <= most, "the fleet admits at most the rate", "%d of %.0f" % (admitted, most))
    expect(admitted >= RATE * elapsed / 2, "the fleet admits at least half of the rate", "%d of %.0f" % (admitted, most))
    print("       %d admitted in %.1f s, at most %.0f allowed" % (admitted, elapsed, most))


def check_failover(fleet, key, number, killed):
    fleet.switch(killed, killed=True)
    for daemon in (0, 1):
        fleet.wait_until(lambda: "result" in book(fleet, daemon, key, number + daemon), what="a write after the failover")
        expect(True, "vm-%d writes after the primary was killed" % (daemon + 1))
    states = [fleet.operator("status", daemon=daemon)["databases"][0] for daemon in (0, 1)]
    expect(states[0]["primary"] == states[1]["primary"] and states[0]["term"] == states[1]["term"],
           "both agree on term and primary", states)


def check_settings(fleet, builds):
    for build in builds:
        result = subprocess.run([os.path.join(build, "services", "greengagehitchd"), "--settings",
                                 fleet.daemons[0]["settings"], "--check-settings"], capture_output=True, text=True)
        expect(result.returncode == 0, "settings are valid", result.stderr)


def play(builds):
    print("vm-1 from %s, vm-2 from %s" % tuple(builds))
    fleet = MixedFleet(builds, schema=SCHEMA)
    try:
        check_settings(fleet, builds)
        fleet.apply_configuration(CONFIGURATION % (2000, RATE, BURST))
        given = fleet.operator("key", "give", "rink", daemon=0)
        limited = fleet.operator("key", "give", "limited", daemon=1)
        fleet.wait_until(lambda: version_at(fleet, 0) == version_at(fleet, 1) == limited["version"], what="the keys")
        fleet.wait_until(lambda: all(rows_of(read(fleet, vm, given["key"], 0)) == [] for vm in (0, 1)), what="reads")
        check_sessions(fleet, given["key"], 10)
        check_configuration(fleet, 2100)
        time.sleep(2)
        check_limit(fleet, limited["key"])
        check_failover(fleet, given["key"], 20, killed=0)
        print("  both daemons stop; each name is started again from the other build")
        token = book(fleet, 0, given["key"], 30)["result"]["session"]
        fleet.restart_with(builds[::-1])
        fleet.wait_until(lambda: all(rows_of(read(fleet, vm, given["key"], 30, token)) == [[30]] for vm in (0, 1)),
                         what="reads after the restart")
        expect(True, "keys, configuration and session tokens of the other build are read")
        repeated = book(fleet, 0, given["key"], 30)
        expect(repeated.get("result", {}).get("repeated") is True, "the outcome record is found", repeated)
        check_sessions(fleet, given["key"], 40)
        check_configuration(fleet, 2200)
    finally:
        fleet.stop()


def main():
    first, second = sys.argv[1:3]
    play([first, second])
    play([second, first])
    print("%d checks failed" % len(failures) if failures else "all checks passed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
