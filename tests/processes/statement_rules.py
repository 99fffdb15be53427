"""The users' rules on statements, checked with what callers sent and received and with what members ran and answered."""

COUNTED_RULES = ("MIXED", "UNASKED")  # Counted in each summary, also when no statement broke them.
# Errors by which nothing of the statement is kept, so that its caller may send it again.
PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY")
WITH_PROOF = ("READ", "WRITE", "EXECUTE", "COMMIT")
WITH_PREPARED_NAME = ("EXECUTE", "PREPARE", "DEALLOC")
# Statements that the system may issue itself, with the id "-".
OWN_STATEMENTS = ("STATUS", "PAUSE", "RESUME", "DEMOTE", "RESET", "SET", "PREPARE", "DEALLOC", "BEGIN", "ROLLBACK")


def without_prepared_name(text):
    """Returns the parts of a statement's text before and after the prepared name, which the system may rename."""
    verb, blank, rest = text.partition(" ")
    if verb not in WITH_PREPARED_NAME:
        return text, None
    name, end, rest = rest.partition(" ")
    return verb + blank, bool(name), end + rest


def without_position(text):
    """Returns whether a position is in front of a statement's text, and the text without it."""
    if not text.startswith("AFTER "):
        return False, text
    return True, text.partition(" ")[2].partition(" ")[2]


class CallerSession:
    """What one caller's session has been promised."""

    def __init__(self, name, tenant):
        self.name, self.tenant = name, tenant
        self.values = {}  # Acknowledged values by name.
        self.prepared = {}  # Acknowledged (access, shape) by prepared name.
        self.transactions = 0
        self.transaction = None  # (session, number) of the transaction that runs now.

    def begin(self):
        self.transactions += 1
        self.transaction = (self.name, self.transactions)

    def apply(self, text):
        """Notes the acknowledged values and prepared names."""
        verb, _, rest = text.partition(" ")
        name, _, rest = rest.partition(" ")
        if verb == "SET":
            self.values[name] = rest
        elif verb == "PREPARE":
            access, _, shape = rest.partition(" ")
            self.prepared[name] = (access, shape)
        elif verb == "DEALLOC":
            self.prepared.pop(name, None)


class StatementRules:
    """Knows each statement of a caller and what members answered to it."""

    def __init__(self, record):
        self.record = record
        self.broken = []
        self.notes = {}  # Counts of what breaks no rule by itself.
        self.sent = {}  # (session, text, transaction) by id.
        self.settings = {}  # Acknowledged values and prepared names as each statement was sent, by id.
        self.answers = {}  # (proof, rows) of members' successes by id.
        self.owners = {}  # Id by proof.
        self.places = {}  # Member connection and transaction by callers' transaction.
        self.ended = {}  # What callers received, by id.

    def counts(self):
        """Counts of breaks of the rules on messages, then of what breaks no rule by itself."""
        rules = {name: sum(each.startswith(name + ": ") for each in self.broken) for name in COUNTED_RULES}
        return {**rules, **self.notes}

    def break_rule(self, rule, text):
        self.broken.append("%s: %s" % (rule, text))
        self.record.add("BROKEN %s: %s" % (rule, text))

    def note(self, text):
        self.notes[text] = self.notes.get(text, 0) + 1

    def note_sent(self, identity, session, text):
        self.sent[identity] = (session, text, session.transaction)
        # A statement that is held up runs with the values of its time, also if its caller has set others since.
        self.settings[identity] = (dict(session.values), dict(session.prepared))

    def find_attempt(self, identity):
        """Returns the session of a statement, the texts that its transaction had sent up to it, and the values and
        prepared names before the first of them."""
        session, _, transaction = self.sent[identity]
        ids = [identity]
        if transaction is not None:
            ids = [each for each, (_, _, own) in self.sent.items() if own == transaction]
            ids = ids[:ids.index(identity) + 1]
        return (session, [self.sent[each][1] for each in ids], *self.settings[ids[0]])

    def note_answer(self, identity, answer):
        """Notes a member's answer to a caller's id."""
        lines = answer.split("\r\n")
        rows = [line[4:] for line in lines if line.startswith("ROW ")]
        for line in lines:
            if line.startswith("DONE "):
                self.answers.setdefault(identity, []).append((line[5:], rows))
                self.owners[line[5:]] = identity
            elif line.startswith("ERROR NOSTMT"):
                self.note("members do not know a prepared name")

    def check_served(self, request):
        """Where nothing else goes wrong, every statement whose caller waits for the answer is served."""
        if request["result"] not in ("DONE", "LEFT"):
            self.break_rule("UNSERVED", "%s (%s) got %s" % (request["id"], request["text"], request["result"]))

    def check_message(self, request, message, is_expected):
        """MIXED: between a request and the end of its answer, a caller gets the messages of that answer only."""
        if not is_expected:
            self.break_rule("MIXED", "%s (%s) got the message %s, which has no place in its answer" % (
                request["id"], request["text"], message))

    def check_success(self, request, proof):
        """MIXED: a caller's success carries the proof and the rows that a member gave to this statement."""
        verb = request["text"].split(" ")[0]
        if verb not in WITH_PROOF or (proof, request["rows"]) in self.answers.get(request["id"], []):
            return
        truth = "members answered %s" % self.answers[request["id"]] if request["id"] in self.answers else (
            "members gave no success")
        self.break_rule("MIXED", "%s (%s) got DONE %s %s, which belongs to %s; %s" % (
            request["id"], request["text"], proof, request["rows"], self.owners.get(proof, "no proved statement"), truth))

    def check_arrival(self, connection, identity, text):
        """UNASKED: a statement arrives at a member with an id and a text of a caller, or is the system's own."""
        is_after, text = without_position(text)
        words = text.split(" ")
        if is_after and (words[0] not in ("READ", "BEGIN", "EXECUTE") or (
                words[0] == "EXECUTE" and connection.prepared.get(words[1], ("READ",))[0] != "READ")):
            self.break_rule("UNASKED", "%s gets %s with a position in front" % (connection.name, text))
        if identity == "-":
            if words[0] not in OWN_STATEMENTS:
                self.break_rule("UNASKED", "%s gets %s with the id -" % (connection.name, text))
            return
        if identity not in self.sent:
            self.break_rule("UNASKED", "%s gets id %s (%s), which no caller sent" % (connection.name, identity, text))
            return
        session, sent, _ = self.sent[identity]
        if without_prepared_name(text) != without_prepared_name(sent):
            self.break_rule("UNASKED", "%s gets id %s with the text %s instead of %s" % (
                connection.name, identity, text, sent))
        if session.tenant != connection.tenant:
            self.break_rule("UNASKED", "%s gets id %s for tenant %s instead of %s" % (
                connection.name, identity, connection.tenant, session.tenant))

    def note_begin(self, connection, identity):
        """A member's transaction that a caller's BEGIN opens belongs to that caller's transaction from its start."""
        if connection.state == "T" and not connection.statements and identity in self.sent:
            connection.owner = self.sent[identity][2]

    def check_run(self, connection, identity, text):
        """PINNED and UNASKED: a statement runs in its caller's transaction, values and prepared names."""
        if identity not in self.sent:
            return
        _, sent, transaction = self.sent[identity]
        where = "%s runs %s (%s)" % (connection.name, identity, sent)
        if identity in connection.member.group.run_ids:
            self.note("ids that members run more than once")
            self.record.add("again: " + where)
        connection.member.group.run_ids.add(identity)
        if identity in self.ended:
            self.note("ids that members run after their caller was answered or had left")
            self.record.add("late: %s, whose caller got %s" % (where, self.ended[identity]))
        if connection.state != "T":
            if transaction is not None:
                self.break_rule("PINNED", "%s outside its transaction %s" % (where, transaction))
        else:
            self.check_transaction(connection, identity, transaction, where, text == "COMMIT")
        values, prepared = self.settings[identity]
        if connection.values != values:
            self.break_rule("PINNED", "%s with the values %s instead of %s" % (where, connection.values, values))
        words = text.split(" ")
        if words[0] == "EXECUTE":
            shape, own = connection.prepared.get(words[1]), prepared.get(sent.split(" ")[1])
            if shape != own:
                self.break_rule("PINNED", "%s in the shape %s instead of %s" % (where, shape, own))

    def check_transaction(self, connection, identity, transaction, where, is_commit):
        """The system may open a transaction of its own round a single read, which nothing else may use."""
        words = self.sent[identity][1].split(" ")
        is_read = words[0] == "READ" or (
            words[0] == "EXECUTE" and self.settings[identity][1].get(words[1], ("unknown",))[0] == "READ")
        owner = transaction or (("read", identity) if is_read else "a caller's transaction")
        if connection.owner is None:
            connection.owner = owner
        if connection.owner != owner or owner == "a caller's transaction" or (
                transaction is None and connection.statements):
            self.break_rule("PINNED", "%s of transaction %s inside that of %s, beside %s" % (
                where, transaction, connection.owner, connection.statements))
        if transaction is not None:
            place = (connection.name, connection.transactions)
            if self.places.setdefault(transaction, place) != place:
                self.break_rule("PINNED", "%s of transaction %s at %s, which began at %s" % (
                    where, transaction, place, self.places[transaction]))
        if is_commit:
            strangers = [each for each in connection.statements if self.sent[each][2] != transaction]
            if strangers:
                self.break_rule("UNASKED", "%s, which commits %s of other transactions" % (where, strangers))
        connection.statements.append(identity)
