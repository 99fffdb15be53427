"""Checks of the users' rules on what the members ran and the clients received.

Statement ids begin with the name of their client: one-3 is the third statement of client one.
"""


def client_of(identity):
    return identity.split("-")[0]


def check_pinned(record):
    """PINNED: a statement runs on a member connection inside another client's transaction."""
    owners, broken = {}, []
    for run in record.runs:
        if run["transaction"] is None:
            continue
        owner = owners.setdefault(run["transaction"], client_of(run["id"]))
        if owner != client_of(run["id"]):
            broken.append("PINNED: %s (%s) of client %s ran in the transaction of client %s" % (
                run["id"], run["text"], client_of(run["id"]), owner))
    return broken


def check_tenants(record, tenants):
    """UNASKED: a member runs a statement for a tenant that does not hold the client's key."""
    return ["UNASKED: %s (%s) of tenant %s ran for tenant %s" % (
        run["id"], run["text"], tenants[client_of(run["id"])], run["tenant"])
        for run in record.runs if run["tenant"] != tenants[client_of(run["id"])]]
