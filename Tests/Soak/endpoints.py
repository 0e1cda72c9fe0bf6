"""Emulated model engines and a plain HTTP service. Each reports every run to the invariant checker."""

import asyncio
import hashlib
import time

from aiohttp import web

import wire

HEARTBEAT_INTERVAL_S = 1.2
EVENT_INTERVAL_S = 0.015
TOKENS_PER_EVENT = 5


def expected_body(request_id):
    return hashlib.sha256(request_id.encode()).hexdigest() * 4


def format_event(stream_id, number, version):
    """An event names the stream by the client attempt that began it, and the software version that wrote the event."""
    return "id: %d\ndata: %s-%d@%s\n\n" % (number, stream_id, number, version)


def expected_event_count(stream_id):
    """Returns the number of events in a complete stream."""
    return 4 + int(hashlib.sha256(stream_id.encode()).hexdigest()[:2], 16) % 30


class Endpoint:
    def __init__(self, name, service, zone, slots, store, checker, random, version="v1"):
        self.name = name
        self.id = name
        self.service = service
        self.zone = zone
        self.version = version  # Of its software.
        self.slots = slots
        self.store = store
        self.checker = checker
        self.random = random
        self.active = 0
        self.failure_probability = 0.0  # Probability that a run's response is lost or truncated.
        self.hanging = False
        self.announces_leaving = False  # Says in its answers that it is leaving, though the store may list it as ready.
        self.pause_s = None  # Refuses all requests and asks for a pause of this length.
        self.arrivals = 0  # Requests that were meant for this endpoint.
        self.arrival_times = []
        self.cold_until = 0.0
        self.state = "ready"
        self.sequence = 0
        self.starts = 0
        self.runner = None
        self.address = None
        self.heartbeat = None
        self.connections = set()

    async def start(self):
        self.starts += 1
        self.id = "%s-%d" % (self.name, self.starts)
        self.started_at_ms = int(time.time() * 1000)
        self.state = "ready"
        self.active = 0
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self.handle)
        self.runner = web.AppRunner(app, access_log=None, keepalive_timeout=5)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0, shutdown_timeout=0.1).start()
        self.address = "127.0.0.1:%d" % self.runner.addresses[0][1]
        self.heartbeat = asyncio.get_running_loop().create_task(self.run_heartbeat())

    async def run_heartbeat(self):
        while True:
            await self.register()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def become_cold(self, seconds):
        """Is cold for the time, which the store reports to all watches."""
        self.cold_until = time.monotonic() + seconds
        await self.register(is_reported=True)

    async def register(self, is_reported=False):
        before = self.store.kinds.get("servers", {}).get(self.id)
        self.sequence += 1
        spec = {"service": self.service, "address": self.address, "zone": self.zone, "version": self.version, "slots": self.slots,
                "state": self.state, "cold-left-ms": max(0, int((self.cold_until - time.monotonic()) * 1000)), "seq": self.sequence, "born": self.started_at_ms}
        # Watches do not report a heartbeat that leaves the state unchanged.
        if before and before["spec"]["state"] == self.state and not is_reported:
            before["spec"] = spec
            return
        await self.store.put("servers", self.id, spec)

    async def drain(self):
        """Shuts down as planned: announces the draining state, then keeps serving for the 2 s that daemons may still send requests, plus a margin."""
        self.state = "draining"
        await self.register()
        self.checker.endpoint_leaving(self.id)
        await asyncio.sleep(3)
        await self.stop()
        await self.store.delete("servers", self.id)

    async def stop(self):
        self.heartbeat.cancel()
        for transport in list(self.connections):
            transport.abort()
        await self.runner.cleanup()

    async def crash(self):
        name = self.id
        await self.stop()
        await asyncio.sleep(3 * HEARTBEAT_INTERVAL_S)
        await self.store.delete("servers", name)

    async def handle(self, request):
        self.connections.add(request.transport)
        request_id = request.headers.get(wire.ATTEMPT_ID, "")
        headers = {wire.ATTEMPT_ID: request_id, wire.INSTANCE: self.id}
        body = await request.text()
        if request.headers.get(wire.EXPECTED_INSTANCE) != self.id:
            return web.Response(status=421, headers=headers)
        self.arrivals += 1
        self.arrival_times.append(time.monotonic())
        if self.announces_leaving or self.state == "draining":
            headers[wire.LEAVING] = "1"
        if self.pause_s is not None:
            return web.Response(status=503, headers={**headers, wire.NOT_RUN: "1", wire.PAUSE: str(self.pause_s)})
        if self.active >= self.slots:
            return web.Response(status=503, headers={**headers, wire.NOT_RUN: "1"})
        self.active += 1
        try:
            self.checker.run_started(request_id, self, request, body)
            if request.path.startswith(wire.STREAM_PATH):
                return await self.respond_stream(request, request_id, headers)
            return await self.respond_whole(request, request_id, headers)
        except ConnectionResetError:
            # The daemon cancelled the run.
            return web.Response()
        finally:
            self.active -= 1

    async def respond_whole(self, request, request_id, headers):
        await asyncio.sleep(self.random.uniform(0.005, 0.05))
        await self.wait_while_hanging()
        if self.random.random() < self.failure_probability:
            return self.abort_connection(request)
        return web.Response(text=expected_body(request_id), headers={**headers, wire.SEAL: "s-" + request_id})

    async def respond_stream(self, request, request_id, headers):
        response = web.StreamResponse(headers={**headers, wire.SEAL: "s-" + request_id, "Content-Type": "text/event-stream"})
        version = self.version
        first = int(request.headers.get(wire.LAST_EVENT, 0)) + 1
        stream_id = request.headers.get(wire.RESUMES, request_id)
        last = expected_event_count(stream_id)
        break_at_event = self.random.randint(first, last) if self.random.random() < self.failure_probability else None
        await asyncio.sleep(EVENT_INTERVAL_S * 2)
        await response.prepare(request)
        for number in range(first, last + 1):
            await self.wait_while_hanging()
            if number == break_at_event:
                event = format_event(stream_id, number, version)
                await response.write(event[:len(event) // 2].encode())
                return self.abort_connection(request)
            await response.write(format_event(stream_id, number, version).encode())
            await asyncio.sleep(EVENT_INTERVAL_S)
        await response.write_eof()
        return response

    async def wait_while_hanging(self):
        while self.hanging:
            await asyncio.sleep(0.05)

    @staticmethod
    def abort_connection(request):
        if request.transport:
            request.transport.abort()
        return web.Response()
