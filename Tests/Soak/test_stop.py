"""Tests of a relay's stop with real processes."""

import asyncio
import os
import random
import signal
import sys
import tempfile
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

import fleet
import wire
from endpoints import Endpoint
from invariants import InvariantChecker, Request
from operator_api import Operator
from store import Store

STOP_LIMIT_S = 4
STREAMS = 20
SHUTDOWN_INCOMPLETE = 1
LATE_STOP_LIMIT_S = 6
# The daemon has told the balancer by then, and refuses what may not be answered in time.
LATE_AFTER_S = 3
ORDER_INTERVAL_S = 0.05
IDLE_CONNECTIONS = 20
STREAM_DEADLINE_MS = 4_800
SHORT_DEADLINE_MS = 300
LONG_DEADLINE_MS = 5_000
# The users' bound on how long a request that was read may take to be cut off.
LOSS_SLACK_S = 0.2


async def start_stream(port, request_id, deadline_ms=9_000):
    """Sends a request for a stream and returns the connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    headers = {"Host": wire.HOST, wire.ATTEMPT_ID: request_id, wire.DEADLINE: str(deadline_ms), "X-Token-Counts": "50,200", "Authorization": "Bearer key-w-0", "Content-Length": "0"}
    writer.write(("POST %sx HTTP/1.1\r\n%s\r\n" % (wire.STREAM_PATH, "".join("%s: %s\r\n" % header for header in headers.items()))).encode())
    await writer.drain()
    return reader, writer


async def send_order(connection, request_id, deadline_ms, outcomes):
    """Sends an order and records its time limit, the answer, and how long it took."""
    reader, writer = connection
    headers = {"Host": wire.HOST, wire.ATTEMPT_ID: request_id, wire.DEADLINE: str(deadline_ms), "Authorization": "Bearer key-w-0", "Content-Length": "0"}
    sent = time.monotonic()
    answer = b""
    try:
        writer.write(("POST %sx HTTP/1.1\r\n%s\r\n" % (wire.ORDER_PATH, "".join("%s: %s\r\n" % header for header in headers.items()))).encode())
        await writer.drain()
        answer = await reader.read(65_536)
    except OSError:
        pass
    outcomes.append((deadline_ms, answer, time.monotonic() - sent))


class Stop(unittest.IsolatedAsyncioTestCase):
    # Guards against a process that crashes or hangs at the end of a stop with streams in progress: it was killed at the end of its time
    # to stop, its last log lines were lost, and its successor started late.
    async def test_process_exits_in_time_with_streams_in_progress(self):
        fleet.STOP_LIMIT_S = STOP_LIMIT_S
        checker = InvariantChecker(True)
        store = Store(random.Random(1))
        await store.start()
        operator = Operator(store, checker, {"w": 1_000_000})
        await operator.write()
        engine = Endpoint("engine", "engines", "zone-a", 64, store, checker, random.Random(2))
        engine.hanging = True
        await engine.start()
        with tempfile.TemporaryDirectory() as folder:
            daemons = fleet.Fleet(1, os.environ["JUJUBERELAYD"], folder, store.port, checker)
            try:
                await daemons.start()
                daemon = daemons.daemons[0]
                for number in range(STREAMS):
                    request_id = "%016x" % number
                    checker.requests[request_id] = Request(request_id, wire.STREAM_PATH + "x", "key-w-0", "w", 50, 200, "", daemon.name)
                streams = [await start_stream(daemon.caller_port, "%016x" % number) for number in range(STREAMS)]
                await asyncio.sleep(1)
                self.assertEqual(engine.active, len(streams))
                started = time.monotonic()
                daemon.exit_expected = True
                daemon.signal(signal.SIGTERM)
                status = await asyncio.wait_for(daemon.process.wait(), STOP_LIMIT_S + 2)
                self.assertEqual(status, SHUTDOWN_INCOMPLETE)
                self.assertLess(time.monotonic() - started, STOP_LIMIT_S)
                with open(os.path.join(folder, daemon.name + ".log")) as log:
                    self.assertIn("relay_stopped: requests_cut_off=%d" % len(streams), log.read())
                for reader, writer in streams:
                    # No answer may look complete.
                    self.assertNotIn(b"\r\n0\r\n\r\n", await reader.read())
                    writer.close()
            finally:
                engine.hanging = False
                await daemons.stop()
                await engine.stop()
                await store.stop()

    # Guards against taking requests late in the time to stop that cannot be answered before its end: they were cut off without an answer,
    # among them orders, which may not be repeated. New and kept connections, orders that may last longer and orders with little time.
    async def test_late_requests_are_answered_before_the_end(self):
        fleet.STOP_LIMIT_S = LATE_STOP_LIMIT_S
        checker = InvariantChecker(True)
        store = Store(random.Random(1))
        await store.start()
        await Operator(store, checker, {"w": 1_000_000}).write()
        endpoints = [Endpoint("desk", "desk", "zone-a", 1_000, store, checker, random.Random(2)), Endpoint("engine", "engines", "zone-a", 64, store, checker, random.Random(3))]
        for endpoint in endpoints:
            endpoint.hanging = True
            await endpoint.start()
        with tempfile.TemporaryDirectory() as folder:
            daemons = fleet.Fleet(1, os.environ["JUJUBERELAYD"], folder, store.port, checker)
            try:
                await daemons.start()
                daemon = daemons.daemons[0]
                idle = [await asyncio.open_connection("127.0.0.1", daemon.caller_port) for _ in range(IDLE_CONNECTIONS)]
                # Keeps the daemon from exiting early, and ends before its time to stop does.
                stream_id = "%016x" % 0
                checker.requests[stream_id] = Request(stream_id, wire.STREAM_PATH + "x", "key-w-0", "w", 50, 200, "", daemon.name)
                stream = await start_stream(daemon.caller_port, stream_id, STREAM_DEADLINE_MS)
                await asyncio.sleep(0.2)
                daemon.exit_expected = True
                daemon.signal(signal.SIGTERM)
                await asyncio.sleep(LATE_AFTER_S)
                outcomes = []
                orders = []
                while daemon.process.returncode is None:
                    number = len(orders) + 1
                    deadline_ms = SHORT_DEADLINE_MS if number % 3 == 0 else LONG_DEADLINE_MS
                    request_id = "%016x" % number
                    checker.requests[request_id] = Request(request_id, wire.ORDER_PATH + "x", "key-w-0", "w", 0, 0, "", daemon.name)
                    try:
                        connection = idle.pop() if number % 2 == 0 and idle else await asyncio.open_connection("127.0.0.1", daemon.caller_port)
                    except OSError:
                        break
                    orders.append(asyncio.create_task(send_order(connection, request_id, deadline_ms, outcomes)))
                    await asyncio.sleep(ORDER_INTERVAL_S)
                self.assertEqual((await stream[0].read(65_536))[9:12], b"504")
                await asyncio.gather(*orders)
                await asyncio.wait_for(daemon.process.wait(), LATE_STOP_LIMIT_S)
                self.assertGreater(len(outcomes), 20)
                # A connection that ends before the request was read tells the caller that it has not run.
                cut = [outcome for outcome in outcomes if outcome[1] == b"" and outcome[2] > LOSS_SLACK_S]
                self.assertEqual(cut, [])
                answered = [outcome for outcome in outcomes if outcome[1]]
                self.assertTrue(all(b"\r\n\r\n" in outcome[1] for outcome in answered))
                long_ones = [outcome for outcome in answered if outcome[0] == LONG_DEADLINE_MS]
                self.assertTrue(long_ones)
                self.assertEqual({outcome[1][9:12] for outcome in long_ones}, {b"503"})
                self.assertEqual({outcome[1][9:12] for outcome in answered if outcome[0] == SHORT_DEADLINE_MS} - {b"503", b"504"}, set())
                with open(os.path.join(folder, daemon.name + ".log")) as log:
                    self.assertIn("relay_stopped: requests_cut_off=0", log.read())
            finally:
                for endpoint in endpoints:
                    endpoint.hanging = False
                await daemons.stop()
                for endpoint in endpoints:
                    await endpoint.stop()
                await store.stop()


if __name__ == "__main__":
    unittest.main()
