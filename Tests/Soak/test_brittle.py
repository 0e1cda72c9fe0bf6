"""Tests of requests to endpoints that fall over if they have to reject too many, with real relays."""

import asyncio
import os
import random
import sys
import tempfile
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

import aiohttp
from aiohttp import web

import fleet
import wire
from endpoints import Endpoint
from invariants import InvariantChecker, Request
from operator_api import Operator
from store import Store

# Shares of the callers that the daemons get.
SHARES = (0.5, 0.25, 0.15, 0.1)
ENDPOINTS = 6
PLACES = 4
WAITING = 2
WORK_S = 0.2
# Load, as a multiple of what the endpoints carry.
LOAD = 1.6
MAX_REJECTIONS_PER_S = 5
DOWN_S = 2.5
# The rule LIMIT applies from this time after an endpoint first said that it is brittle.
CONTACT_S = 3
LOAD_S = 13
SETTLING_S = 7
DEADLINE_MS = 3_000
BRITTLE = "Server-Brittle"


class BrittleEndpoint(Endpoint):
    """Serves PLACES requests, lets WAITING others wait, and falls over if it has to reject more than MAX_REJECTIONS_PER_S in a second."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.places = asyncio.Semaphore(PLACES)
        self.taken = 0
        self.rejections = []
        self.falls = []
        self.served = 0
        self.fall = None

    async def handle(self, request):
        self.connections.add(request.transport)
        headers = {wire.ATTEMPT_ID: request.headers.get(wire.ATTEMPT_ID, ""), wire.INSTANCE: self.id, BRITTLE: str(MAX_REJECTIONS_PER_S)}
        await request.read()
        if request.headers.get(wire.EXPECTED_INSTANCE) != self.id:
            return web.Response(status=421, headers=headers)
        if self.taken >= PLACES + WAITING:
            self.reject()
            return web.Response(status=503, headers={**headers, wire.NOT_RUN: "1"})
        self.taken += 1
        try:
            async with self.places:
                await asyncio.sleep(WORK_S)
        finally:
            self.taken -= 1
        self.served += 1
        return web.Response(text="ok", headers={**headers, wire.SEAL: "s"})

    def reject(self):
        now = time.monotonic()
        self.rejections = [at for at in self.rejections if now - at < 1] + [now]
        if len(self.rejections) > MAX_REJECTIONS_PER_S and self.fall is None:
            self.falls.append(now)
            self.fall = asyncio.get_running_loop().create_task(self.restart())

    async def restart(self):
        name = self.id
        await self.stop()
        await asyncio.sleep(DOWN_S)
        await self.store.delete("servers", name)
        self.rejections = []
        await self.start()
        self.fall = None


class BrittleEndpoints(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        self.checker = InvariantChecker(True)
        self.store = Store(random.Random(1))
        await self.store.start()
        await Operator(self.store, self.checker, {"w": 1_000_000}).write()
        self.desks = [BrittleEndpoint("desk-%d" % number, "desk", "zone-a", PLACES, self.store, self.checker, random.Random(2)) for number in range(ENDPOINTS)]
        for desk in self.desks:
            await desk.start()
        self.folder = tempfile.TemporaryDirectory()
        self.fleet = fleet.Fleet(len(SHARES), os.environ["JUJUBERELAYD"], self.folder.name, self.store.port, self.checker)
        await self.fleet.start()
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self.requests = 0
        self.statuses = []
        await asyncio.sleep(SETTLING_S)

    async def asyncTearDown(self):
        await self.session.close()
        for desk in self.desks:
            if desk.fall:
                await desk.fall
        await self.fleet.stop()
        for desk in self.desks:
            await desk.stop()
        await self.store.stop()
        self.folder.cleanup()

    async def call(self, daemon):
        self.requests += 1
        request_id = "%016x" % self.requests
        headers = {"Host": wire.HOST, wire.ATTEMPT_ID: request_id, wire.DEADLINE: str(DEADLINE_MS), "Authorization": "Bearer key-w-0"}
        try:
            async with self.session.post("http://127.0.0.1:%d%sx" % (daemon.caller_port, wire.ORDER_PATH), headers=headers) as response:
                await response.read()
                self.statuses.append(response.status)
        except (aiohttp.ClientError, OSError):
            self.statuses.append(0)

    # Guards against daemons that together make one endpoint after the other fall over, each with the load of those that fell before.
    async def test_overload_does_not_make_endpoints_fall(self):
        rate = LOAD * ENDPOINTS * PLACES / WORK_S
        source = random.Random(3)
        start = time.monotonic()
        calls = []
        while time.monotonic() < start + LOAD_S:
            daemon = source.choices(self.fleet.daemons, SHARES)[0]
            calls.append(asyncio.get_running_loop().create_task(self.call(daemon)))
            await asyncio.sleep(max(0, start + len(calls) / rate - time.monotonic()))
        await asyncio.gather(*calls)
        falls = [at - start for desk in self.desks for at in desk.falls if at - start > CONTACT_S]
        served = sum(desk.served for desk in self.desks)
        print("%d requests, %s; %d falls, %d of them after %d s; served %.2f of what the endpoints carry" % (
            len(calls), {status: self.statuses.count(status) for status in sorted(set(self.statuses))}, sum(len(desk.falls) for desk in self.desks),
            len(falls), CONTACT_S, served / (ENDPOINTS * PLACES / WORK_S * LOAD_S)))
        self.assertLessEqual(len(falls), 2 + ENDPOINTS / 10)
        self.assertIn(200, self.statuses)


if __name__ == "__main__":
    unittest.main()
