"""End-to-end tests of budgets and billing under faults, with real processes. Each test ends with the independent audit.

Each test injects the fault in its name under load and guards against overspend, duplicate or missing bills, truncated or
mixed-up answers, and requests reported as not run although they ran.
"""

import http.client
import os
import sys
import threading
import time
import unittest

TOP = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path[:0] = [os.path.join(TOP, "Meta"), os.path.dirname(os.path.abspath(__file__))]

from callers import LoadGenerator, send_chat  # noqa: E402
from fleet import Fleet, chat, order  # noqa: E402

BINARIES = os.environ.get("JUJUBERELAY_BIN", os.path.join(TOP, "Build", "release", "bin"))
ENGINE_FLAGS = ["--time_per_token_us=4000"]


def new_fleet(**options):
    settings = {"isolated_limit_ms": 3000, "grant_idle_ms": 2000, **options.pop("settings", {})}
    return Fleet(BINARIES, engine_flags=ENGINE_FLAGS, settings=settings, **options)


class MoneyTest(unittest.TestCase):
    def stop_and_audit(self, fleet, answers=None):
        """Stops all daemons gracefully and checks the audit."""
        for number in fleet.daemon_numbers:
            self.assertEqual(fleet.daemon(number).stop(60), 0, "entry-%d: exit status after SIGTERM" % number)
        self.check_audit(fleet, answers)

    def check_audit(self, fleet, answers=None):
        extra = []
        if answers:
            path = os.path.join(fleet.folder, "answers.jsonl")
            answers.write(path)
            extra = ["--answers=" + path]
            self.assertEqual(answers.mismatches, [])
        status, report = fleet.audit(*extra)
        print("%s: %s; answers %s; refusals %s" % (
            self.id().split(".")[-1], {key: value for key, value in report.items() if key != "violations"},
            {outcome: answers.count(outcome) for outcome in ("complete", "not_run", "unknown")} if answers else "-",
            answers.refusals if answers else "-"))
        self.assertEqual(report["violations"], [])
        self.assertEqual(status, 0)
        return report

    def wait_for_clean_audit(self, fleet, answers, timeout=40):
        """Waits until the remaining daemons have settled the attempts of a killed daemon."""
        answers_path = os.path.join(fleet.folder, "answers.jsonl")
        answers.write(answers_path)
        fleet.wait_for(lambda: fleet.audit("--answers=" + answers_path)[0] == 0, "an audit without violations", timeout)

    def test_load_without_faults(self):
        with new_fleet() as fleet:
            fleet.configure()
            with LoadGenerator(fleet, seed=1, requests=20) as load:
                for thread in load.threads:
                    thread.join()
            self.assertEqual(load.answers.count("complete"), load.sent)
            self.stop_and_audit(fleet, load.answers)

    def test_last_tokens_of_a_budget(self):
        with new_fleet() as fleet:
            fleet.configure(tokens=1500)
            with LoadGenerator(fleet, seed=2, requests=30, max_attempts=1) as load:
                for thread in load.threads:
                    thread.join()
            self.assertGreater(load.answers.refusals.get("budget_exhausted", 0), 0)
            self.stop_and_audit(fleet, load.answers)

    def test_daemon_killed_in_mid_stream(self):
        with new_fleet() as fleet:
            fleet.configure()
            with LoadGenerator(fleet, seed=3) as load:
                time.sleep(1.5)
                fleet.daemon(2).kill()
                time.sleep(1)
                fleet.start_daemon(2)
                fleet.wait_until_ready(2)
                time.sleep(2)
            self.wait_for_clean_audit(fleet, load.answers)
            self.stop_and_audit(fleet, load.answers)

    def test_retry_joins_the_stream_of_a_killed_daemon(self):
        with new_fleet() as fleet:
            fleet.configure()
            reference = chat(fleet.caller(1), prompt="long", max_tokens=200)
            first_attempt = []
            thread = threading.Thread(target=lambda: first_attempt.append(send_chat(fleet.caller(2), "long", "key", True, 200)))
            thread.start()
            time.sleep(0.3)
            fleet.daemon(2).kill()
            thread.join()
            self.assertEqual(first_attempt[0][0], "unknown")
            outcome, _, code, answer = send_chat(fleet.caller(3), "long", "key", True, 200)
            self.assertEqual((outcome, code), ("complete", None))
            self.assertIn(answer[0], reference[1])
            for number in (1, 3):
                fleet.daemon(number).stop(60)
            report = self.check_audit(fleet)
            self.assertEqual(report["streams"], 2)

    def test_daemon_frozen_and_woken(self):
        with new_fleet() as fleet:
            fleet.configure()
            with LoadGenerator(fleet, seed=4) as load:
                time.sleep(1)
                fleet.daemon(1).freeze()
                time.sleep(8)
                fleet.daemon(1).resume()
                time.sleep(2)
            self.stop_and_audit(fleet, load.answers)

    def test_daemon_cut_from_peers(self):
        with new_fleet() as fleet:
            fleet.configure()
            with LoadGenerator(fleet, seed=5) as load:
                time.sleep(1)
                fleet.block_peers(1, ["entry-2", "entry-3"])
                time.sleep(7)
                fleet.block_peers(1, [])
                time.sleep(2)
            self.stop_and_audit(fleet, load.answers)

    def test_daemon_cut_from_the_platform(self):
        with new_fleet() as fleet:
            fleet.configure()
            with LoadGenerator(fleet, seed=6) as load:
                time.sleep(1)
                fleet.platform_faults(blocked_clients=["entry-1"])
                time.sleep(7)
                fleet.platform_faults(blocked_clients=[])
                time.sleep(1)
            self.stop_and_audit(fleet, load.answers)

    def test_daemon_cut_from_both_refuses_before_long(self):
        with new_fleet() as fleet:
            fleet.configure()
            with LoadGenerator(fleet, seed=7) as load:
                time.sleep(1)
                fleet.platform_faults(blocked_clients=["entry-1"])
                fleet.block_peers(1, ["entry-2", "entry-3"])
                time.sleep(6)
                status, body = chat(fleet.caller(1))
                self.assertEqual(status, 503)
                self.assertIn("stale_intent", body)
                fleet.platform_faults(blocked_clients=[])
                fleet.block_peers(1, [])
                time.sleep(3)
                self.assertEqual(chat(fleet.caller(1))[0], 200)
            self.stop_and_audit(fleet, load.answers)

    def test_platform_down_with_top_up(self):
        with new_fleet() as fleet:
            fleet.configure(tokens=4000)
            with LoadGenerator(fleet, seed=8) as load:
                time.sleep(1)
                fleet.platform_faults(outage_ms=6000)
                time.sleep(2)
                status, body = order(fleet.caller(1), "order-in-outage")
                self.assertIn("not_run", body)
                status, _, _ = fleet.apply(top_up_note(1, "purchase-2", 3000))
                self.assertNotEqual(status, 0)
                time.sleep(5)
                fleet.wait_for(lambda: fleet.apply(top_up_note(1, "purchase-2", 3000))[0] == 0, "the top-up to be accepted")
                time.sleep(2)
            self.stop_and_audit(fleet, load.answers)

    def test_platform_slow_and_losing_replies(self):
        with new_fleet() as fleet:
            fleet.configure()
            with LoadGenerator(fleet, seed=9) as load:
                time.sleep(0.5)
                fleet.platform_faults(delay_ms=150, lose_reply_probability=0.3, seed=9)
                for number in range(12):
                    order(fleet.caller(number % 3 + 1), "order-%d" % (number // 2))
                time.sleep(3)
                fleet.platform_faults(delay_ms=0, lose_reply_probability=0)
            self.stop_and_audit(fleet, load.answers)

    def test_kill_during_platform_outage(self):
        with new_fleet() as fleet:
            fleet.configure()
            with LoadGenerator(fleet, seed=10) as load:
                time.sleep(1)
                fleet.platform_faults(outage_ms=5000)
                time.sleep(0.5)
                fleet.daemon(3).kill()
                time.sleep(5)
                fleet.start_daemon(3)
                fleet.wait_until_ready(3)
                time.sleep(2)
            self.wait_for_clean_audit(fleet, load.answers)
            self.stop_and_audit(fleet, load.answers)

    def test_freeze_and_cut_at_once(self):
        with new_fleet() as fleet:
            fleet.configure(tokens=6000)
            with LoadGenerator(fleet, seed=11) as load:
                time.sleep(1)
                fleet.daemon(1).freeze()
                fleet.block_peers(2, ["entry-3"])
                time.sleep(7)
                fleet.daemon(1).resume()
                fleet.block_peers(2, [])
                time.sleep(2)
            self.stop_and_audit(fleet, load.answers)

    def test_orders_run_once_under_kills_and_retries(self):
        with new_fleet(services=2) as fleet:
            fleet.configure()
            answers = {}

            def send(number, key):
                try:
                    answers.setdefault(key, []).append(order(fleet.caller(number), key, timeout=10)[1])
                except (OSError, http.client.HTTPException):
                    pass

            threads = [threading.Thread(target=send, args=(number % 3 + 1, "order-%d" % (number // 3))) for number in range(60)]
            for index, thread in enumerate(threads):
                thread.start()
                if index == 30:
                    fleet.daemon(2).kill()
                time.sleep(0.03)
            for thread in threads:
                thread.join()
            fleet.start_daemon(2)
            fleet.wait_until_ready(2)
            for bodies in answers.values():
                complete = {body for body in bodies if '"run"' in body}
                self.assertLessEqual(len(complete), 1)
            self.stop_and_audit(fleet)


def top_up_note(generation, identity, tokens):
    return "\n".join([
        "note:", "  from_generation: %d" % generation, "  author: demo", "  reason: more tokens", "added:", "  top_ups:",
        "    - id: " + identity, "      workspace: satchel-orders", "      budget: default", "      tokens: %d" % tokens, ""])


if __name__ == "__main__":
    unittest.main(verbosity=2)
