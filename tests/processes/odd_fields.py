"""Fields that hold line ends, control characters, bytes that are no UTF-8, several blanks, and texts of messages."""

import time

BYTES = ("\n", "\r", "\r\r", "\n\n", "\n\r", "\t", "\0", "\x0b", "\x1c", "\x7f", "\x80", "\x85", "\xa0", "\xc3", "\xff")
MESSAGES = ("\nQUERY f00d WRITE z stolen", "\nQUERY f00d COMMIT", "\nDONE 9.forged\nREADY I 99.99", "\nROW x",
            "\nERROR BUSY", "\rBYE", "\nBYE", "READY I -", "\nREADY I -", "\rQUERY f00d WRITE z stolen",
            "\nSTART ledger key-2")
BLANKS = ("  ", " ", " AFTER 1.2 ")
WORDS = ("\nQUERY", "\nDONE", "\nROW", "\nERROR", "\nBYE", "\rBYE", "\nREADY", "\nSTART")
PRESET_ITEMS = 40
ODD_NAMES = ("s\n1", "s1\r", "\rBYE", "\nBYE", "s\t\0\xff", "s\r\r", "s\n")
ODD_SHAPES = (("READ", "q1\nBYE"), ("WRITE", "q\r\r"), ("READ", "q\xff\0\t"), ("READ", "q2  of \n item "),
              ("WRITE", "q2\nQUERY f00d WRITE z stolen"), ("WRITE", "\nREADY I 99.99"), ("READ", "q\nDONE 9.forged"))
BY_BYTES_SHARE, SPLIT_END_SHARE = 0.05, 0.1  # Shares of requests that arrive in several packets.


def join(parts):
    """Returns a field of these parts. CR LF is the one sequence that no field holds."""
    return "".join(parts).replace("\r\n", "\r\t\n")


class OddFields:
    """Draws fields, of which a share is odd. Each holds its tag, by which fields differ."""

    def __init__(self, rng, share):
        self.rng, self.share = rng, share

    def is_odd(self):
        return self.share > 0 and self.rng.random() < self.share

    def draw(self, tag, choices):
        if not self.is_odd():
            return tag
        parts = [self.rng.choice(choices) for _ in range(self.rng.randint(1, 3))]
        parts.insert(self.rng.randint(0, len(parts)), "(%s)" % tag)
        return join(parts)

    def word(self, tag):
        """A field that others may follow, which ends at a blank."""
        return self.draw(tag, BYTES + WORDS)

    def text(self, tag):
        """A last field."""
        return self.draw(tag, BYTES + MESSAGES + BLANKS)

    def choice(self, plain, odd):
        return self.rng.choice(odd if self.is_odd() else plain)

    def choose_preset(self):
        """Returns a preset item or None."""
        is_preset = self.share > 0 and self.rng.random() < self.share / 2
        return "preset%d" % self.rng.randrange(PRESET_ITEMS) if is_preset else None

    def trailer(self):
        """What may follow the item of a read: members look for the item up to the first blank."""
        return " " + self.text("more") if self.share > 0 and self.rng.random() < self.share / 4 else ""

    def preset_rows(self):
        """Rows by item that members hold from the start, so that rows are odd also where no odd write arrives."""
        if not self.share:
            return {}
        return {"preset%d" % index: tuple(self.text("row%d.%d" % (index, row)) for row in range(index % 3 + 1))
                for index in range(PRESET_ITEMS)}

    async def send(self, stream, requests):
        """Sends the requests at once or each in several packets, and notes when each was sent whole."""
        messages = ["QUERY %s %s" % (each["id"], each["text"]) for each in requests]
        draw = self.rng.random() if self.share else 1
        if draw >= BY_BYTES_SHARE + SPLIT_END_SHARE:
            stream.send(*messages)
        for request, message in zip(requests, messages):
            if draw < BY_BYTES_SHARE:
                await stream.send_by_bytes(message)
            elif draw < BY_BYTES_SHARE + SPLIT_END_SHARE:
                await stream.send_with_split_end(message)
            request["whole"] = time.monotonic()
