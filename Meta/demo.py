#!/usr/bin/env python3
"""Runs an example session against a local fleet and stops it. The last line of a successful run is "demo: ok".

usage: demo.py demo|run <folder with the binaries>
  demo: applies a release note, streams a request, sends an order twice with one key, prints bills and the budget
  run:  prints the addresses and keeps the fleet running until interrupted
"""

import json
import sys
import time

from fleet import CALLER_KEY, Fleet, chat, order


def print_section(title, text):
    print("--- " + title)
    print(text.strip())


def run_until_interrupted(fleet):
    for number in fleet.daemon_numbers:
        print("entry-%d: callers http://%s operators %s" % (number, fleet.caller(number), fleet.operator(number)))
    print("platform: http://%s" % fleet.platform())
    print("operator key file: %s" % fleet.operator_key_file)
    body = {"model": "quote", "stream": True, "max_tokens": 8, "messages": [{"role": "user", "content": "A quotation for twelve satchels"}]}
    print("try: curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '%s'" % (fleet.caller(1), CALLER_KEY, json.dumps(body)))
    print("stop with Ctrl-C", flush=True)
    try:
        while True:
            time.sleep(1)
    except KeyboardInterrupt:
        print("stopping")


def stop_daemons(fleet):
    for number in fleet.daemon_numbers:
        status = fleet.daemon(number).stop()
        print("entry-%d stopped with exit status %d" % (number, status))
        if status != 0:
            raise SystemExit("entry-%d exited with status %d on SIGTERM, expected 0" % (number, status))


def run_demo(fleet):
    status, answer = chat(fleet.caller(1), max_tokens=4, stream=True)
    print_section("a streamed answer from entry-1 (status %d)" % status, answer)
    assert answer.endswith("data: [DONE]\n\n")
    status, answer = chat(fleet.caller(2), prompt="A summary of last year", max_tokens=4)
    print_section("a whole answer from entry-2 (status %d)" % status, answer)
    assert status == 200
    answers = [order(fleet.caller(number), "order-4711") for number in (1, 3)]
    print_section("the same order sent to entry-1 and entry-3", "\n".join("%d %s" % answer for answer in answers))
    assert answers[0] == answers[1] and answers[0][0] == 200
    for arguments in (["state"], ["status"], ["audit"]):
        status, output, errors = fleet.command(*arguments)
        print_section("jujuberelay " + " ".join(arguments), output + errors)
        assert status == 0
    stop_daemons(fleet)
    status, report = fleet.audit()
    print_section("independent audit of ledger, engines and services", json.dumps(report, indent=1))
    assert status == 0 and report["service_runs"] == 1


def main(mode, binaries):
    with Fleet(binaries) as fleet:
        fleet.configure()
        if mode == "run":
            run_until_interrupted(fleet)
            return
        run_demo(fleet)
    print("demo: ok")


if __name__ == "__main__":
    if len(sys.argv) != 3 or sys.argv[1] not in ("demo", "run"):
        sys.exit(__doc__)
    main(sys.argv[1], sys.argv[2])
