"""End-to-end tests of operator notes, membership and graceful stops under faults, with real processes."""

import json
import os
import sys
import threading
import time
import unittest

TOP = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path[:0] = [os.path.join(TOP, "Meta"), os.path.dirname(os.path.abspath(__file__))]

from callers import LoadGenerator  # noqa: E402
from fleet import Fleet, chat, request  # noqa: E402
from test_money import BINARIES, ENGINE_FLAGS, new_fleet, top_up_note  # noqa: E402


def note(generation, *lines):
    return "\n".join(["note:", "  from_generation: %d" % generation, "  author: test", "  reason: test", *lines, ""])


def generation_of(fleet, number):
    _, output, _ = fleet.command("state", "--output=json", daemon=number)
    return json.loads(output)["generation"]


def engine_streams(fleet, name):
    _, _, body = request(fleet.processes[name].address(), "GET", "/control/counters")
    return len(json.loads(body)["streams"])


class IntentTest(unittest.TestCase):
    def test_racing_operators(self):
        """Guards against lost updates: of concurrent notes on one generation, only one is accepted and the others see it."""
        with new_fleet() as fleet:
            fleet.configure()
            results = {}

            def apply(number):
                path = os.path.join(fleet.folder, "race-%d.yaml" % number)
                with open(path, "w") as file:
                    file.write(top_up_note(1, "race-%d" % number, 100 + number))
                results[number] = fleet.command("note", "apply", path, daemon=number)

            threads = [threading.Thread(target=apply, args=(number,)) for number in (1, 2, 3)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            self.assertEqual(sorted(status for status, _, _ in results.values()), [0, 3, 3])
            winner = next(number for number, result in results.items() if result[0] == 0)
            for number, (status, output, errors) in results.items():
                if status == 3:
                    self.assertIn("race-%d" % winner, output + errors)
            self.assertEqual([generation_of(fleet, number) for number in (1, 2, 3)], [2, 2, 2])

    def test_withdrawn_endpoint_gets_no_new_work(self):
        """Guards against new requests to a withdrawn endpoint, and against aborting the streams that it still serves."""
        with new_fleet() as fleet:
            fleet.configure()
            with LoadGenerator(fleet, seed=20) as load:
                time.sleep(1)
                status, output, errors = fleet.apply(note(1, "withdrawn:", "  endpoints: [engine-1]"))
                self.assertEqual(status, 0, output + errors)
                before = engine_streams(fleet, "engine-1")
                time.sleep(2)
                self.assertEqual(engine_streams(fleet, "engine-1"), before)
            self.assertEqual(load.answers.mismatches, [])
            self.assertEqual(load.answers.refusals, {})
            self.assertEqual(load.answers.count("complete"), load.sent)

    def test_frozen_daemon_delays_acceptance_and_dispatches_nothing_stale(self):
        """Guards against reporting a note as in force while a daemon may still act on the previous generation."""
        with new_fleet() as fleet:
            fleet.configure()
            fleet.daemon(3).freeze()
            time.sleep(0.5)
            status, output, errors = fleet.apply(note(1, "withdrawn:", "  endpoints: [engine-1]"))
            self.assertEqual(status, 5, output + errors)
            self.assertIn("entry-3", output + errors)
            before = engine_streams(fleet, "engine-1")
            fleet.daemon(3).resume()
            for index in range(20):
                chat(fleet.caller(3), prompt="prompt %d" % index, max_tokens=2)
            self.assertEqual(engine_streams(fleet, "engine-1"), before)
            fleet.wait_for(lambda: generation_of(fleet, 3) == 2, "entry-3 to catch up")

    def test_lost_replies_apply_a_note_once(self):
        """Guards against a note that, after a lost reply, is reported as failed although applied, or is applied twice."""
        with new_fleet() as fleet:
            fleet.configure()
            fleet.platform_faults(lose_replies=1)
            status, output, errors = fleet.apply(top_up_note(1, "purchase-2", 500))
            self.assertEqual(status, 0, output + errors)
            status, output, _ = fleet.command("history", "--output=json")
            self.assertEqual(len(json.loads(output)["notes"]), 2)

    def test_restart_in_platform_outage_does_not_revert(self):
        """Guards against a daemon that, restarted during a platform outage, serves an older generation or none."""
        with new_fleet() as fleet:
            fleet.configure()
            self.assertEqual(fleet.apply(top_up_note(1, "purchase-2", 500))[0], 0)
            self.assertEqual(chat(fleet.caller(3))[0], 200)
            fleet.settings["seed_peers"] = "[%s]" % fleet.daemon(1).address("peer")
            fleet.platform_faults(outage_ms=60000)
            fleet.daemon(2).kill()
            fleet.start_daemon(2)
            fleet.wait_until_ready(2)
            self.assertEqual(generation_of(fleet, 2), 2)

    def test_rolling_restart_under_load(self):
        """Guards against requests that are aborted or refused during a rolling restart."""
        with new_fleet(settings={"readiness_delay_ms": 2000}) as fleet:
            fleet.configure()
            balancer = LoadBalancer(fleet)
            with balancer, LoadGenerator(balancer, seed=21) as load:
                time.sleep(1)
                for number in fleet.daemon_numbers:
                    balancer.restarting = number
                    self.assertEqual(fleet.daemon(number).stop(60), 0)
                    fleet.start_daemon(number)
                    fleet.wait_until_ready(number)
                    balancer.restarting = None
                    time.sleep(1)
            self.assertEqual(load.answers.refusals, {})
            self.assertEqual(load.answers.mismatches, [])
            self.assertEqual(load.answers.count("complete"), load.sent)


class LoadBalancer:
    """Models the platform's load balancer: polls /readyz every 100 ms and sends to daemons that last returned 200."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.ready = list(fleet.daemon_numbers)
        self.restarting = None
        self.stop_requested = threading.Event()
        self.thread = threading.Thread(target=self.poll_readiness)

    def __enter__(self):
        self.thread.start()

    def __exit__(self, *_):
        self.stop_requested.set()
        self.thread.join()

    @property
    def daemon_numbers(self):
        return self.ready

    def caller(self, number):
        return self.fleet.caller(number)

    def is_ready(self, number):
        try:
            return request(self.fleet.caller(number), "GET", "/readyz", timeout=1)[0] == 200
        except OSError:
            return False

    def poll_readiness(self):
        while not self.stop_requested.wait(0.1):
            self.ready = [number for number in self.fleet.daemon_numbers if self.is_ready(number)] or self.ready


if __name__ == "__main__":
    unittest.main(verbosity=2)
