"""Tests of evacuations of failure domains, with real relays, the store and endpoints of two failure domains."""

import asyncio
import os
import random
import signal
import sys
import tempfile
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

import aiohttp
from aiohttp import web

import endpoints
import fleet
import wire
from endpoints import Endpoint
from invariants import InvariantChecker, Request
from operator_api import Operator
from store import Store

DAEMONS = 3
# A daemon that was suspended is excused for this time after it resumes.
EXCUSED_S = 4.0
# The users' limit from the store's acknowledgement of an evacuation to the last request that an endpoint may get.
LIMIT_S = 5.0
REQUESTS_PER_S = 60
OBSERVED_S = 3.0
# The stream lasts longer than the limit, and less long than its route allows.
STREAM_EVENTS = 30
STREAM_INTERVAL_S = 0.3


class Evacuations(unittest.IsolatedAsyncioTestCase):
    more_settings = "evacuate_limit_ms: 5000\n"

    async def asyncSetUp(self):
        self.checker = InvariantChecker(True)
        self.store = Store(random.Random(1))
        await self.store.start()
        await Operator(self.store, self.checker, {"w": 1_000_000}).write()
        self.endpoints = []
        for number, zone in enumerate(("zone-a", "zone-a", "zone-b", "zone-b")):
            self.endpoints.append(Endpoint("desk-%d" % number, "desk", zone, 64, self.store, self.checker, random.Random(2)))
        self.engines = [Endpoint("engine-%s" % zone, "engines", zone, 64, self.store, self.checker, random.Random(3)) for zone in ("zone-a", "zone-b")]
        for endpoint in self.endpoints + self.engines:
            endpoint.last_arrival = 0.0
            endpoint.handle = self.recording(endpoint, endpoint.handle)
            await endpoint.start()
        self.folder = tempfile.TemporaryDirectory()
        self.fleet = fleet.Fleet(DAEMONS, os.environ["JUJUBERELAYD"], self.folder.name, self.store.port, self.checker)
        for daemon in self.fleet.daemons:
            daemon.more_settings = self.more_settings
        self.store_reads = []
        self.failing_kinds = set()
        read = self.store.read

        async def recorded_read(request, kind, name):
            self.store_reads.append(kind)
            if kind in self.failing_kinds:
                return web.json_response({}, status=503)
            return await read(request, kind, name)
        self.store.read = recorded_read
        self.session = aiohttp.ClientSession()
        self.requests = 0
        self.statuses = []
        self.load = None

    async def asyncTearDown(self):
        if self.load:
            self.load.cancel()
            await asyncio.gather(self.load, return_exceptions=True)
        await self.session.close()
        for daemon in self.fleet.daemons:
            daemon.signal(signal.SIGCONT)
        await self.fleet.stop()
        for endpoint in self.endpoints + self.engines:
            await endpoint.stop()
        await self.store.stop()
        self.folder.cleanup()
        self.assertEqual(self.checker.broken, [])

    @staticmethod
    def recording(endpoint, handle):
        """Records when a request of any kind, also for the status, arrives at the endpoint."""
        async def handler(request):
            endpoint.last_arrival = time.monotonic()
            return await handle(request)
        return handler

    def in_zone(self, zone):
        return [endpoint for endpoint in self.endpoints + self.engines if endpoint.zone == zone]

    def log(self, number):
        with open(os.path.join(self.folder.name, "host-%d.log" % number)) as log:
            return log.read()

    def new_request(self, path, daemon, prompt_tokens=0, max_output_tokens=0):
        self.requests += 1
        request_id = "%016x" % self.requests
        request = Request(request_id, path + "x", "key-w-0", "w", prompt_tokens, max_output_tokens, "", daemon.name)
        self.checker.requests[request_id] = request
        headers = {"Host": wire.HOST, wire.ATTEMPT_ID: request_id, wire.DEADLINE: "3000", "Authorization": "Bearer key-w-0"}
        return request, headers

    async def call(self, daemon):
        """Sends an order. Returns the status and the Retry-After."""
        request, headers = self.new_request(wire.ORDER_PATH, daemon)
        async with self.session.post("http://127.0.0.1:%d%s" % (daemon.caller_port, request.path), headers=headers) as response:
            await response.read()
            return response.status, response.headers.get("Retry-After")

    async def run_load(self):
        """Sends orders to all running daemons in turn."""
        async def send(daemon):
            try:
                self.statuses.append((await self.call(daemon))[0])
            except (aiohttp.ClientError, OSError):
                self.statuses.append(None)
        tasks = set()
        number = 0
        try:
            while True:
                number += 1
                daemon = self.fleet.daemons[number % DAEMONS]
                if daemon.is_running and not daemon.paused:
                    task = asyncio.create_task(send(daemon))
                    tasks.add(task)
                    task.add_done_callback(tasks.discard)
                await asyncio.sleep(1 / REQUESTS_PER_S)
        finally:
            # The requests in progress end before the session is closed.
            await asyncio.gather(*tasks, return_exceptions=True)

    async def open_stream(self, daemon):
        """Runs a stream to its end. Returns the number of events."""
        request, headers = self.new_request(wire.STREAM_PATH, daemon, 50, 2_000)
        headers[wire.TOKEN_COUNTS] = "50,2000"
        headers[wire.DEADLINE] = "60000"
        async with self.session.post("http://127.0.0.1:%d%s" % (daemon.caller_port, request.path), headers=headers) as response:
            self.assertEqual(response.status, 200)
            return (await response.text()).count("id: ")

    async def expect_nothing(self, zone, since, limit_s=LIMIT_S):
        """Waits until the limit has passed, and checks that no request arrives in the failure domain from then on."""
        await asyncio.sleep(max(0.0, since + limit_s + OBSERVED_S - time.monotonic()))
        for endpoint in self.in_zone(zone):
            self.assertLess(endpoint.last_arrival, since + limit_s, endpoint.id)

    async def expect_arrivals(self, zone):
        """Waits until a request has arrived at each plain service of the failure domain."""
        since = time.monotonic()
        while any(endpoint.last_arrival < since for endpoint in self.endpoints if endpoint.zone == zone):
            self.assertLess(time.monotonic(), since + 20, "no request arrives in " + zone)
            await asyncio.sleep(0.1)

    async def evacuate(self, zone):
        await self.store.put("evacuations", zone, {})
        return time.monotonic()


class FollowedEvacuations(Evacuations):
    # Guards against requests in an evacuated failure domain later than the limit, at daemons of any failure domain and one that starts
    # during the evacuation, against cutting or moving a stream that runs there, and against avoiding the endpoints afterwards.
    async def test_evacuated_domain_gets_nothing_more_while_a_stream_runs_on(self):
        interval, count = endpoints.EVENT_INTERVAL_S, endpoints.expected_event_count
        endpoints.EVENT_INTERVAL_S, endpoints.expected_event_count = STREAM_INTERVAL_S, lambda _: STREAM_EVENTS
        try:
            await self.fleet.start()
            self.load = asyncio.create_task(self.run_load())
            stream = asyncio.create_task(self.open_stream(self.fleet.daemons[0]))
            while not any(engine.active for engine in self.engines):
                await asyncio.sleep(0.05)
            await self.expect_arrivals("zone-a")
            await self.expect_arrivals("zone-b")
            engine = next(engine for engine in self.engines if engine.active)
            zone, other = engine.zone, "zone-b" if engine.zone == "zone-a" else "zone-a"
            acknowledged = await self.evacuate(zone)
            restart = asyncio.create_task(self.fleet.kill(self.fleet.daemons[1], 0.5))
            await asyncio.sleep(LIMIT_S)
            self.assertEqual(engine.active, 1)
            await self.expect_nothing(zone, acknowledged)
            await restart
            self.assertEqual(await stream, STREAM_EVENTS)
            self.assertEqual(sum(engine.arrivals for engine in self.engines), 1)
            await self.expect_arrivals(other)
            self.assertEqual(set(self.statuses) - {200, 503, None}, set())
            self.assertGreater(self.statuses.count(200), len(self.statuses) // 2)
            self.assertRegex(self.log(0), r"E1745 evacuation_adopted: failure_domain=%s endpoints=3 requests=[1-9]" % zone)
            async with self.session.get("http://127.0.0.1:%d/metrics" % self.fleet.daemons[0].metrics_port) as response:
                self.assertIn('jujuberelay_relay_evacuated{failure_domain="%s"} 1' % zone, await response.text())
            await self.store.delete("evacuations", zone)
            await self.expect_arrivals(zone)
            self.assertRegex(self.log(0), r"E1746 evacuation_lifted: failure_domain=%s " % zone)
        finally:
            endpoints.EVENT_INTERVAL_S, endpoints.expected_event_count = interval, count

    # Guards against requests later than the limit if a daemon's connections to the store go silent, and later than the time for which a
    # daemon is excused that was suspended and resumes with what it knew before.
    async def test_silent_connections_and_suspended_daemon(self):
        await self.fleet.start()
        self.load = asyncio.create_task(self.run_load())
        await self.expect_arrivals("zone-a")
        suspended = self.fleet.daemons[1]
        suspended.paused = True
        suspended.signal(signal.SIGSTOP)
        # The connections on which the store reports the evacuation stay silent; later ones work.
        for daemon in self.fleet.daemons:
            daemon.store_proxy.blocked_directions = {"down"}
        acknowledged = await self.evacuate("zone-a")
        await asyncio.sleep(0.2)
        for daemon in self.fleet.daemons:
            daemon.store_proxy.blocked_directions = set()
        await self.expect_nothing("zone-a", acknowledged)
        waiting = [asyncio.create_task(self.call(suspended)) for _ in range(40)]
        await asyncio.sleep(0.2)
        resumed = time.monotonic()
        suspended.signal(signal.SIGCONT)
        suspended.paused = False
        statuses = [status for status, _ in await asyncio.gather(*waiting)]
        self.assertEqual(set(statuses) - {200, 503}, set())
        await self.expect_nothing("zone-a", resumed, EXCUSED_S)

    # Guards against holding requests while all failure domains are evacuated, and against lifting evacuations in an outage of the store.
    async def test_all_domains_evacuated_and_store_away(self):
        await self.fleet.start()
        self.assertEqual((await self.call(self.fleet.daemons[0]))[0], 200)
        await self.evacuate("zone-a")
        await self.evacuate("zone-b")
        await asyncio.sleep(LIMIT_S)
        arrivals = sum(endpoint.arrivals for endpoint in self.endpoints)
        for is_store_away in (False, True):
            self.store.fault.status = 503 if is_store_away else None
            await asyncio.sleep(LIMIT_S if is_store_away else 0)
            for daemon in self.fleet.daemons:
                status, retry_after = await asyncio.wait_for(self.call(daemon), 1)
                self.assertEqual(status, 503)
                self.assertGreater(float(retry_after), 0)
        self.assertEqual(sum(endpoint.arrivals for endpoint in self.endpoints), arrivals)
        self.store.fault.status = None
        await self.store.delete("evacuations", "zone-a")
        self.load = asyncio.create_task(self.run_load())
        await self.expect_arrivals("zone-a")


class LostEvacuations(Evacuations):
    more_settings = "evacuate_limit_ms: 5000\noutage_limit_ms: 6000\n"

    # Guards against serving without end by a list of evacuations that the store does not confirm, though it confirms the configuration,
    # and against a metric that two failure domains whose names look the same share, but that shows only one of them.
    async def test_unconfirmed_list_is_used_no_longer_than_the_outage_limit(self):
        await self.fleet.start()
        daemon = self.fleet.daemons[0]
        for name in ("zone\tx", "zone\nx"):
            await self.evacuate(name)
        await asyncio.sleep(LIMIT_S)
        self.assertEqual((await self.call(daemon))[0], 200)
        # The shared metric stays 1 until both are lifted.
        for name, value in (("zone\nx", "1"), ("zone\tx", "0")):
            await self.store.delete("evacuations", name)
            await asyncio.sleep(LIMIT_S)
            async with self.session.get("http://127.0.0.1:%d/metrics" % daemon.metrics_port) as response:
                samples = [line for line in (await response.text()).splitlines() if line.startswith("jujuberelay_relay_evacuated{")]
            self.assertEqual(samples, ['jujuberelay_relay_evacuated{failure_domain="zone?x"} ' + value])
        self.failing_kinds.add("evacuations")
        await asyncio.sleep(3)
        self.assertEqual((await self.call(daemon))[0], 200)
        await asyncio.sleep(6)
        self.assertEqual((await self.call(daemon))[0], 503)
        self.failing_kinds.clear()
        await asyncio.sleep(2)
        self.assertEqual((await self.call(daemon))[0], 200)


class UnfollowedEvacuations(Evacuations):
    more_settings = "evacuate_limit_ms:\n"

    # Guards against following evacuations, and against calling the store for them, where the deployment has no limit for them.
    async def test_evacuations_are_ignored_without_the_setting(self):
        await self.fleet.start()
        self.load = asyncio.create_task(self.run_load())
        await self.evacuate("zone-a")
        await asyncio.sleep(LIMIT_S)
        await self.expect_arrivals("zone-a")
        self.assertIn("config", self.store_reads)
        self.assertNotIn("evacuations", self.store_reads)


if __name__ == "__main__":
    unittest.main()
