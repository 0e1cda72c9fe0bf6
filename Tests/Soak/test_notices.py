"""Tests of what endpoints say about themselves in their answers, with a real relay."""

import asyncio
import os
import random
import sys
import tempfile
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

import aiohttp

import fleet
import wire
from endpoints import Endpoint
from invariants import InvariantChecker, Request
from operator_api import Operator
from store import Store

REQUESTS = 20
PAUSE_S = 2.5
# Retry-After is given in milliseconds.
ROUNDING_S = 0.002
# Time within which the relay adopts a change of the store.
PROPAGATION_S = 1.5


class Notices(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.checker = InvariantChecker(True)
        self.store = Store(random.Random(1))
        await self.store.start()
        await Operator(self.store, self.checker, {"w": 1_000_000}).write()
        self.desks = [Endpoint("desk-%d" % number, "desk", "zone-a", 64, self.store, self.checker, random.Random(2)) for number in range(2)]
        for desk in self.desks:
            await desk.start()
        self.folder = tempfile.TemporaryDirectory()
        self.fleet = fleet.Fleet(1, os.environ["JUJUBERELAYD"], self.folder.name, self.store.port, self.checker)
        await self.fleet.start()
        self.session = aiohttp.ClientSession()
        self.requests = 0

    async def asyncTearDown(self):
        await self.session.close()
        await self.fleet.stop()
        for desk in self.desks:
            await desk.stop()
        await self.store.stop()
        self.folder.cleanup()
        self.assertEqual(self.checker.broken, [])

    def log(self):
        with open(os.path.join(self.folder.name, "host-0.log")) as log:
            return log.read()

    async def call(self):
        """Sends an order. Returns the status and the Retry-After in seconds, if any."""
        self.requests += 1
        request_id = "%016x" % self.requests
        request = Request(request_id, wire.ORDER_PATH + "x", "key-w-0", "w", 0, 0, "", "host-0")
        self.checker.requests[request_id] = request
        headers = {"Host": wire.HOST, wire.ATTEMPT_ID: request_id, wire.DEADLINE: "3000", "Authorization": "Bearer key-w-0"}
        async with self.session.post("http://127.0.0.1:%d%s" % (self.fleet.daemons[0].caller_port, request.path), headers=headers) as response:
            await response.read()
            pause = response.headers.get("Retry-After")
            return response.status, float(pause) if pause else None

    async def arrivals_during_requests(self, desk):
        before = desk.arrivals
        for _ in range(REQUESTS):
            self.assertEqual((await self.call())[0], 200)
        return desk.arrivals - before

    async def register_again(self, desk):
        await self.store.delete("servers", desk.id)
        await asyncio.sleep(PROPAGATION_S)
        await desk.register()
        await asyncio.sleep(PROPAGATION_S)

    # Guards against sending requests to an endpoint that has said that it is leaving while the store lists it as ready, also after it
    # was registered again, and against avoiding the process that follows under its id.
    async def test_leaving_endpoint_gets_no_request_until_a_later_process_registers(self):
        leaving = self.desks[0]
        leaving.announces_leaving = True
        # Idle endpoints are chosen at random.
        self.assertEqual(await self.arrivals_during_requests(leaving), 1)
        self.assertRegex(self.log(), r"E1710 endpoint_leaving: endpoint=%s .*source=answer" % leaving.id)
        await self.register_again(leaving)
        self.assertEqual(await self.arrivals_during_requests(leaving), 0)
        leaving.announces_leaving = False
        leaving.started_at_ms += 1
        await self.register_again(leaving)
        self.assertGreater(await self.arrivals_during_requests(leaving), 0)

    # Guards against sending requests to endpoints that have asked for a pause, and against holding requests that none of them takes.
    async def test_paused_endpoints_get_no_request_and_callers_are_refused_at_once(self):
        for desk in self.desks:
            desk.pause_s = PAUSE_S
        started = time.monotonic()
        self.assertEqual((await self.call())[0], 503)
        refused = time.monotonic()
        for _ in range(REQUESTS):
            sent = time.monotonic()
            status, retry_after = await self.call()
            now = time.monotonic()
            self.assertEqual(status, 503)
            if now - started < PAUSE_S:
                self.assertGreaterEqual(retry_after, PAUSE_S - (now - started) - ROUNDING_S)
                self.assertLessEqual(retry_after, PAUSE_S - (sent - refused) + ROUNDING_S)
                self.assertEqual([desk.arrivals for desk in self.desks], [1, 1])
        self.assertRegex(self.log(), r"E1718 endpoint_paused: endpoint=desk-\S+ service=desk pause_ms=2\d\d\d ")
        for desk in self.desks:
            desk.pause_s = None
        await asyncio.sleep(PAUSE_S)
        self.assertEqual((await self.call())[0], 200)


if __name__ == "__main__":
    unittest.main()
