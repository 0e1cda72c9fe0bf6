#!/usr/bin/env python3
"""Audits a fleet: reconciles the counters of engines and services with the ledger commits on the platform.

Shares no code with the daemons, so that it does not repeat their faults. Reads all ledger commits from the change history of
the platform emulator, evaluates them with a separate implementation of the ledger rules, and compares the result with the
counters of the emulated endpoints. Lists the violations and exits with 6 if there are any.

usage: audit.py --platform=IP:PORT [--engine=IP:PORT ...] [--service=IP:PORT ...] [--answers=FILE] [--json]
  --answers: JSON lines {"request_id": ..., "outcome": "complete"|"not_run"|"unknown"} as received by callers
"""

import collections
import json
import struct
import sys
import urllib.request

TOP_UP, GRANT, RETURN, USAGE, OPEN, CLAIM, OUTCOME, VOID, CLOSE = range(1, 10)


class CborReader:
    """Decodes the subset of CBOR that the platform's API and the ledger use."""

    def __init__(self, data):
        self.data = data
        self.position = 0

    def take(self, count):
        piece = self.data[self.position:self.position + count]
        if len(piece) != count:
            raise ValueError("truncated CBOR")
        self.position += count
        return piece

    def read(self):
        first = self.take(1)[0]
        major, minor = first >> 5, first & 31
        if major == 7:
            if minor in (20, 21):
                return minor == 21
            if minor == 22:
                return None
            if minor == 27:
                return struct.unpack(">d", self.take(8))[0]
            raise ValueError("unexpected simple value %d" % minor)
        if minor < 24:
            number = minor
        elif minor <= 27:
            number = int.from_bytes(self.take(1 << (minor - 24)), "big")
        else:
            raise ValueError("unexpected length code %d" % minor)
        if major == 0:
            return number
        if major == 1:
            return -1 - number
        if major == 2:
            return self.take(number)
        if major == 3:
            return self.take(number).decode()
        if major == 4:
            return [self.read() for _ in range(number)]
        if major == 5:
            return {self.read(): self.read() for _ in range(number)}
        raise ValueError("unexpected CBOR major type %d" % major)


def fetch(address, path):
    with urllib.request.urlopen("http://%s%s" % (address, path), timeout=20) as response:
        return response.read()


def read_commits(platform):
    """Returns the entries of all ledger commits in write order."""
    changes = CborReader(fetch(platform, "/v1/watch?prefix=ledger/&since=0&timeout_ms=1")).read()
    seen = set()
    entries = []
    for event in changes["events"]:
        if event.get("deleted") or "/slot-" not in event["name"]:
            continue
        commit = CborReader(event["value"]).read()
        shard = event["name"].split("/")[1]
        if (shard, commit[1]) in seen:
            raise ValueError("shard %s has two commits with sequence %d" % (shard, commit[1]))
        seen.add((shard, commit[1]))
        entries.extend(commit[7])
    return entries


class Ledger:
    """Ledger state rebuilt from the entries. The first top-up, usage or claim of an identity counts."""

    def __init__(self, entries):
        self.top_ups = {}
        self.usages = {}
        self.claims = {}
        self.outcomes = {}
        self.voided = set()
        for entry in entries:
            self.apply(entry)

    def apply(self, entry):
        tag, workspace = entry[0], entry[1]
        if tag == TOP_UP:
            self.top_ups.setdefault(entry[3], (workspace, entry[2], entry[4]))
        elif tag == USAGE:
            self.usages.setdefault(entry[6], {"workspace": workspace, "budget": entry[2], "tokens": entry[5], "request": entry[7], "kind": entry[8]})
        elif tag == CLAIM:
            if entry[7] not in self.voided:
                self.claims.setdefault(entry[6], {"workspace": workspace, "budget": entry[2], "price": entry[5], "nonce": entry[7]})
        elif tag == VOID:
            self.voided.add(entry[4])
            claim = self.claims.get(entry[3])
            if claim and claim["nonce"] == entry[4]:
                del self.claims[entry[3]]
        elif tag == OUTCOME:
            claim = self.claims.get(entry[3])
            if claim and claim["nonce"] == entry[4]:
                self.outcomes.setdefault(entry[3], entry[5])


def main(arguments):
    options = collections.defaultdict(list)
    for argument in arguments:
        name, _, value = argument.removeprefix("--").partition("=")
        options[name].append(value)
    unknown = set(options) - {"platform", "engine", "service", "answers", "json"}
    if unknown or len(options["platform"]) != 1:
        print(__doc__)
        return 2

    ledger = Ledger(read_commits(options["platform"][0]))
    violations = []
    generated = collections.Counter()
    streams = collections.Counter()
    runs = collections.Counter()
    for address in options["engine"]:
        counters = json.loads(fetch(address, "/control/counters"))
        for stream, count in counters["streams"].items():
            streams[stream] += count["prompt_tokens"] + count["completion_tokens"]
            runs[stream] += count["runs"]
            generated[count["workspace"]] += count["prompt_tokens"] + count["completion_tokens"]

    paid = collections.Counter()
    for workspace, _, tokens in ledger.top_ups.values():
        paid[workspace] += tokens
    billed = collections.Counter()
    bills_of_request = collections.Counter()
    for attempt, usage in ledger.usages.items():
        billed[usage["workspace"]] += usage["tokens"]
        # The first usage of a request is its bill. A second complete run (kind 0) would charge for two answers.
        bills_of_request[usage["request"]] += 1 if usage["kind"] == 0 else 0
        if attempt in streams and streams[attempt] != usage["tokens"]:
            violations.append("attempt %s: engines counted %d tokens, the ledger %d" % (attempt, streams[attempt], usage["tokens"]))
        if attempt not in streams and usage["tokens"] and options["engine"] and not usage["request"] in ledger.claims:
            violations.append("attempt %s: billed %d tokens, but no engine knows it" % (attempt, usage["tokens"]))
    for claim in ledger.claims.values():
        billed[claim["workspace"]] += claim["price"]
    for stream, tokens in streams.items():
        if stream not in ledger.usages and tokens:
            violations.append("attempt %s: engines counted %d tokens, no bill" % (stream, tokens))
        if runs[stream] > 1:
            violations.append("attempt %s: ran %d times" % (stream, runs[stream]))
    for request, count in bills_of_request.items():
        if count > 1:
            violations.append("request %s: charged for %d complete answers" % (request, count))
    overspend = {}
    for workspace in set(generated) | set(billed):
        excess = max(generated[workspace], billed[workspace]) - paid[workspace]
        if excess > 0:
            overspend[workspace] = excess
            violations.append("workspace %s: overspent by %d tokens" % (workspace, excess))
    service_runs = 0
    for address in options["service"]:
        for call in json.loads(fetch(address, "/control/counters"))["calls"]:
            service_runs += call["runs"]
            if call["idempotency_key"] and call["runs"] > 1:
                violations.append("call %s %s: ran %d times" % (call["path"], call["idempotency_key"], call["runs"]))
    if options["service"] and service_runs > len(ledger.claims):
        violations.append("services ran %d calls, the ledger has %d claims" % (service_runs, len(ledger.claims)))
    for name in options["answers"]:
        check_answers(name, ledger, streams, violations)

    report = {
        "paid": sum(paid.values()), "generated": sum(generated.values()), "billed": sum(billed.values()),
        "overspend": sum(overspend.values()), "bills": len({usage["request"] for usage in ledger.usages.values()}) + len(ledger.claims), "streams": len(streams),
        "service_runs": service_runs, "claims": len(ledger.claims), "violations": violations,
    }
    if options["json"]:
        print(json.dumps(report))
    else:
        for key, value in report.items():
            if key != "violations":
                print("audit: %-13s %d" % (key, value))
        for violation in violations:
            print("audit: VIOLATION " + violation)
    return 6 if violations else 0


def check_answers(name, ledger, streams, violations):
    """Checks that each complete answer is billed and that no request reported as not run was executed by an engine."""
    bills = {usage["request"]: usage for usage in ledger.usages.values()}
    requests_run = {stream.split(".")[0] for stream, tokens in streams.items() if tokens}
    with open(name) as answers:
        for line in answers:
            answer = json.loads(line)
            request, outcome = answer["request_id"], answer["outcome"]
            if outcome == "complete" and request not in bills and request not in ledger.claims:
                violations.append("request %s: answered, but not billed" % request)
            if outcome == "not_run" and request in requests_run:
                violations.append("request %s: refused as not run, but it ran" % request)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
