"""Tests of requests to cold endpoints, with real relays."""

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
from operator_api import SERVICES, Operator
from store import Store

DAEMONS = 3
COLD_PER_S = 8.9
# The daemons' defaults, as the platform sets them.
COLD_OVERAGE = 1.5
COLD_EXTRA = 5
# Time after which a daemon that has announced itself issues permits.
SETTLING_S = 7
# Time within which the relay adopts a change of the store.
PROPAGATION_S = 1.5
COLD_S = 7
LOAD_S = 4
CALLERS_PER_DAEMON = 5


class ColdEndpoints(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.checker = InvariantChecker(True)
        self.store = Store(random.Random(1))
        await self.store.start()
        services = [dict(service, **{"cold-per-s": COLD_PER_S, "cold-s": COLD_S}) for service in SERVICES]
        await Operator(self.store, self.checker, {"w": 1_000_000}, services).write()
        self.desks = [Endpoint("desk-%d" % number, "desk", "zone-a", 64, self.store, self.checker, random.Random(2)) for number in range(2)]
        for desk in self.desks:
            await desk.start()
        self.folder = tempfile.TemporaryDirectory()
        self.fleet = fleet.Fleet(DAEMONS, os.environ["JUJUBERELAYD"], self.folder.name, self.store.port, self.checker)
        await self.fleet.start()
        self.session = aiohttp.ClientSession()
        self.requests = 0
        await asyncio.sleep(SETTLING_S)

    async def asyncTearDown(self):
        await self.session.close()
        await self.fleet.stop()
        for desk in self.desks:
            await desk.stop()
        await self.store.stop()
        self.folder.cleanup()
        self.assertEqual(self.checker.broken, [])

    def log(self, daemon):
        with open(os.path.join(self.folder.name, daemon.name + ".log")) as log:
            return log.read()

    async def call(self, daemon):
        self.requests += 1
        request_id = "%016x" % self.requests
        self.checker.requests[request_id] = Request(request_id, wire.ORDER_PATH + "x", "key-w-0", "w", 0, 0, "", daemon.name)
        headers = {"Host": wire.HOST, wire.ATTEMPT_ID: request_id, wire.DEADLINE: "3000", "Authorization": "Bearer key-w-0"}
        async with self.session.post("http://127.0.0.1:%d%sx" % (daemon.caller_port, wire.ORDER_PATH), headers=headers) as response:
            await response.read()
            return response.status

    async def load(self, seconds):
        """Calls all daemons for the time. Returns the statuses of the answers."""
        statuses = []
        end = time.monotonic() + seconds

        async def run(daemon):
            while time.monotonic() < end:
                statuses.append(await self.call(daemon))
                await asyncio.sleep(0.02)

        await asyncio.gather(*[run(daemon) for daemon in self.fleet.daemons for _ in range(CALLERS_PER_DAEMON)])
        return statuses

    # Guards against daemons that together send a cold endpoint more requests in one second than it tolerates, and against holding or
    # losing the requests that it does not take.
    async def test_cold_endpoints_get_no_more_than_they_tolerate(self):
        for desk in self.desks:
            await desk.become_cold(COLD_S)
        await asyncio.sleep(PROPAGATION_S)
        for desk in self.desks:
            desk.arrival_times.clear()
        statuses = await self.load(LOAD_S)
        self.assertLessEqual(set(statuses), {200, 503})
        self.assertIn(200, statuses)
        for desk in self.desks:
            self.assertLess(time.monotonic(), desk.cold_until)
            times = desk.arrival_times
            most = max(sum(1 for other in times if at <= other < at + 1) for at in times)
            print("%s: %d arrivals in %d s, %d at most in one second" % (desk.id, len(times), LOAD_S, most))
            self.assertLessEqual(most, COLD_PER_S * COLD_OVERAGE + COLD_EXTRA)
        for daemon in self.fleet.daemons:
            self.assertRegex(self.log(daemon), r"E1761 endpoint_cold: endpoint=desk-\S+ service=desk source=entry")

    # Guards against prompts and requests at a cold endpoint while a warm one has room, and against limits on warm endpoints.
    async def test_warm_endpoint_serves_what_a_cold_one_need_not(self):
        await self.desks[0].become_cold(COLD_S)
        await asyncio.sleep(PROPAGATION_S)
        before = [desk.arrivals for desk in self.desks]
        self.assertEqual(set(await self.load(LOAD_S)), {200})
        self.assertEqual(self.desks[0].arrivals, before[0])
        self.assertGreater(self.desks[1].arrivals, before[1])


if __name__ == "__main__":
    unittest.main()
