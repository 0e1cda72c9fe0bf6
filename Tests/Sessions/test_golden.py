"""Compares an example session with a golden file: calls, answers, operator commands, log events and the ledger.

Guards against unintended changes of the caller and operator interfaces. After an intended change, run
`UPDATE_GOLDEN=1 python3 Tests/Sessions/test_golden.py` and review the diff before committing it.
"""

import json
import os
import re
import sys
import unittest

TOP = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path[:0] = [os.path.join(TOP, "Meta"), os.path.dirname(os.path.abspath(__file__))]

from fleet import CALLER_KEY, Fleet, chat, order, request  # noqa: E402
from test_money import BINARIES, top_up_note  # noqa: E402

GOLDEN = os.path.join(os.path.dirname(os.path.abspath(__file__)), "golden", "first-session.txt")


def normalise(text):
    """Replaces values that differ between runs: identities, ports, times, incarnations."""
    text = re.sub(r"[0-9a-f]{32}\.[0-9a-f]{16}\.[0-9a-f]{16}", "<attempt>", text)
    text = re.sub(r"127\.0\.0\.1:\d+", "<address>", text)
    text = re.sub(r"/\S*jujuberelay-\w+/", "<folder>/", text)
    text = re.sub(r"\d+ ms ago", "<age>", text)
    text = re.sub(r"#?\b1[789]\d{14}\b", "<incarnation>", text)
    return text


class SessionTranscript:
    def __init__(self):
        self.lines = []

    def write(self, title, *texts):
        self.lines.append("## " + title)
        for text in texts:
            self.lines += [line.rstrip() for line in normalise(str(text)).strip().split("\n")]

    def text(self):
        return "\n".join(self.lines) + "\n"


def log_events(fleet, number):
    """Returns, in order and without their texts, the log events of a daemon that are deterministic in this session."""
    deterministic = {"E2001", "E2002", "E2003", "E2004", "E2005", "E2007", "E2008"}
    with open(os.path.join(fleet.folder, "entry-%d.log" % number)) as log:
        found = re.findall(r"(E\d{4}) (\w+):", log.read())
    return "\n".join("%s %s" % event for event in found if event[0] in deterministic and event != ("E2002", "intent_adopted"))


def run_session():
    transcript = SessionTranscript()
    with Fleet(BINARIES, engines=1) as fleet:
        transcript.write("first note", *fleet.apply(fleet.initial_note(2000)))
        transcript.write("streamed answer", *chat(fleet.caller(1), max_tokens=3, stream=True))
        transcript.write("whole answer, then a retry with its key at another daemon", chat(fleet.caller(1), max_tokens=3, key="k"), chat(fleet.caller(2), max_tokens=3, key="k"))
        transcript.write("key reused for another request", chat(fleet.caller(3), prompt="Another", max_tokens=3, key="k"))
        transcript.write("order, repeated at another daemon", order(fleet.caller(1), "o-1"), order(fleet.caller(2), "o-1"))
        transcript.write("order without a key", request(fleet.caller(1), "POST", "/services/orders/confirm", "{}", {"Authorization": "Bearer " + CALLER_KEY})[2].decode())
        transcript.write("unknown bearer key", chat(fleet.caller(1), caller_key="none"))
        transcript.write("malformed body", request(fleet.caller(1), "POST", "/v1/chat/completions", "{", {"Authorization": "Bearer " + CALLER_KEY})[2].decode())
        transcript.write("more tokens than the budget has", chat(fleet.caller(2), prompt="x" * 8000, max_tokens=3))
        transcript.write("note with errors", *fleet.apply("note:\n  from_generation: 1\n  author: a\n  reason: b\nadded:\n  budgets:\n    - workspace: none\n      name: x\n  colours: []\n"))
        transcript.write("top-up, then a note from the older generation", *fleet.apply(top_up_note(1, "p-2", 500)), *fleet.apply(top_up_note(1, "p-3", 500)))
        transcript.write("models", request(fleet.caller(3), "GET", "/v1/models")[2].decode())
        stops = [fleet.daemon(number).stop() for number in fleet.daemon_numbers]
        transcript.write("graceful stops", stops)
        transcript.write("events of entry-1", log_events(fleet, 1))
        status, report = fleet.audit()
        transcript.write("independent audit", status, json.dumps(report, sort_keys=True, indent=1))
    return transcript.text()


class GoldenTest(unittest.TestCase):
    maxDiff = None

    def test_first_session(self):
        text = run_session()
        if os.environ.get("UPDATE_GOLDEN"):
            os.makedirs(os.path.dirname(GOLDEN), exist_ok=True)
            with open(GOLDEN, "w") as golden:
                golden.write(text)
        with open(GOLDEN) as golden:
            self.assertEqual(golden.read(), text)


if __name__ == "__main__":
    unittest.main(verbosity=2)
