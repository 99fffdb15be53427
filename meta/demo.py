"""Writes a booking through one daemon and reads it through the other; then shows a wrong key, a failover and a
withdrawn key."""

import json
import sys
import time

from local_fleet import Fleet

SCHEMA = "create table bookings (id integer primary key, pond text not null, flags integer not null) strict"
CONFIGURATION = """\
databases:
  ledger-1: {}
classes:
  bookings: {access: write, databases: [ledger-1], repeatable: false, delay: 2s, acceptable_refusals: 0.1%}
  stock: {access: read, databases: [ledger-1], freshness: read_your_writes, delay: 500ms}
client_accounts:
  nyamirambo-rink: {rate: 200, burst: 400}
"""
failures = []


def expect(is_met, expectation):
    print("  %s %s" % ("ok  " if is_met else "FAIL", expectation))
    if not is_met:
        failures.append(expectation)


def show(title, answer):
    print("%s\n  %s" % (title, json.dumps(answer)))


def book(fleet, daemon, key, number):
    return fleet.call(daemon, "execute", {
        "class": "bookings", "request_id": "booking-%d" % number,
        "statement": {"sql": "insert into bookings (id, pond, flags) values ($1, $2, $3) returning id",
                      "parameters": [number, "north pond", 4]}}, key)


def read(fleet, daemon, key, number, session):
    return fleet.call(daemon, "execute", {
        "class": "stock", "session": session,
        "statement": {"sql": "select id, pond, flags from bookings where id = $1", "parameters": [number]}}, key)


def rows_of(answer):
    return answer.get("result", {}).get("results", [{}])[0].get("rows")


def show_booking(fleet, key):
    booked = book(fleet, 0, key, 1)
    show("Booking through vm-1:", booked)
    expect(rows_of(booked) == [[1]], "vm-1 wrote the booking")
    session = booked.get("result", {}).get("session", "")
    read_back = read(fleet, 1, key, 1, session)
    show("Read back through vm-2 with the session token:", read_back)
    expect(rows_of(read_back) == [[1, "north pond", 4]], "the session reads its own write through the other daemon")
    repeated = book(fleet, 1, key, 1)
    show("The same booking again, under the same request id, through vm-2:", repeated)
    expect(repeated.get("result", {}).get("repeated") is True,
           "a repeated request id does not execute the statement again")
    refused = read(fleet, 0, "ggh_wrong_key", 1, "")
    show("A request with a wrong key:", refused)
    expect(refused.get("error", {}).get("data", {}).get("outcome") == "not_run",
           "a request with a wrong key is not executed")
    return session


def show_failover(fleet, key):
    fleet.switch(0, killed=True)
    start = time.monotonic()
    booked = book(fleet, 1, key, 2)
    gap = (time.monotonic() - start) * 1000
    show("The primary was killed; the next booking through vm-2 took %.0f ms:" % gap, booked)
    expect(rows_of(booked) == [[2]], "a booking succeeds after the failover")
    session = booked.get("result", {}).get("session", "")
    expect(rows_of(read(fleet, 0, key, 1, session)) == [[1, "north pond", 4]],
           "the booking made before the failover can still be read")
    status = fleet.operator("status", daemon=1)["databases"][0]
    print("  %s: term %d, primary %s" % (status["database"], status["term"], status["primary"]))


def withdraw_key(fleet, key_id, key):
    fleet.operator("key", "withdraw", key_id)
    fleet.wait_until(lambda: "error" in read(fleet, 1, key, 1, ""), what="the withdrawal of the key")
    show("A request after the key was withdrawn:", read(fleet, 1, key, 1, ""))
    expect("error" in read(fleet, 0, key, 1, ""), "both daemons refuse the withdrawn key")


def main():
    fleet = Fleet(sys.argv[1], daemons=2, schema=SCHEMA)
    try:
        fleet.apply_configuration(CONFIGURATION)
        created = fleet.operator("key", "give", "nyamirambo-rink")
        fleet.wait_until(lambda: fleet.operator("status", daemon=1)["configuration_version"] == created["version"],
                         what="the configuration at vm-2")
        fleet.wait_until(lambda: rows_of(read(fleet, 1, created["key"], 0, "")) == [], what="the first read")
        show_booking(fleet, created["key"])
        show_failover(fleet, created["key"])
        withdraw_key(fleet, created["id"], created["key"])
    finally:
        fleet.stop()
    print("%d checks failed" % len(failures) if failures else "all checks passed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
