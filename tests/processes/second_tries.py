"""Checks that every statement is served where nothing goes wrong, if need be when its caller sends it again."""

import asyncio
import time

from statement_rules import PROMISES, CallerSession

LONGEST_WAIT = 3  # Seconds in which a statement that was refused has to be served.
PAUSE = 0.05  # Seconds between two tries.


async def check_served(caller):
    """Callers may send a statement again that was refused with a promise. All others are served at once."""
    previous = None
    for each in [each for each in caller.requests if each["id"].startswith(caller.name + "-")]:
        was_begin_refused = previous and previous["text"].startswith("BEGIN") and previous["result"] in PROMISES
        previous = each
        if was_begin_refused and each["text"] == "ROLLBACK" and each["result"] == "MALFORMED":
            continue  # There is no transaction to end.
        if each["result"] in PROMISES:
            caller.fleet.rules.note("statements refused with a promise")
        last, end = each, time.monotonic() + LONGEST_WAIT
        while last["result"] in PROMISES and time.monotonic() < end:
            await asyncio.sleep(PAUSE)
            last = await try_again(caller, each)
        caller.fleet.rules.check_served(last)


async def try_again(caller, refused):
    """Sends a statement, with what its transaction had sent before, in a session with the same values and names.
    Returns the statement, or the one that stopped it."""
    session, texts, values, prepared = caller.fleet.rules.find_attempt(refused["id"])
    caller.vm, caller.own, caller.session = refused["vm"], [], CallerSession(refused["id"] + "/again", session.tenant)
    key = next(each["api-keys"][0] for each in caller.fleet.configuration["tenants"] if each["name"] == session.tenant)
    settings = ["SET %s %s" % each for each in values.items()]
    settings += ["PREPARE %s %s %s" % (name, *shape) for name, shape in prepared.items()]
    try:
        if not await caller.open("ledger", key):
            return refused
        for each in settings + texts:
            if each.startswith("BEGIN"):
                caller.session.begin()
            last = (await caller.request([each]))[0]
            if last["result"] != "DONE":
                break
            caller.session.apply(each)
        result = "ABORTED" if caller.session.transaction and texts[-1] != "COMMIT" else last["result"]
        caller.note_writes([caller.data[each] for each in texts if each in caller.data], result)
        return last
    finally:
        caller.stream.close()
