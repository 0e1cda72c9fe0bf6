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


async def start_stream(port, request_id):
    """Sends a request for a stream and returns the connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    headers = {"Host": wire.HOST, wire.ATTEMPT_ID: request_id, wire.DEADLINE: "9000", "X-Token-Counts": "50,200", "Authorization": "Bearer key-w-0", "Content-Length": "0"}
    writer.write(("POST %sx HTTP/1.1\r\n%s\r\n" % (wire.STREAM_PATH, "".join("%s: %s\r\n" % header for header in headers.items()))).encode())
    await writer.drain()
    return reader, writer


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


if __name__ == "__main__":
    unittest.main()
