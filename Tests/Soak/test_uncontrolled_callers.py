"""Tests that callers which don't keep to the documented limits neither end a real relay nor take its memory and descriptors.

The checks don't depend on the machine's speed: the process lives, its memory and open descriptors stay under a bound, and an ordinary
request is answered while the other callers' connections are still open."""

import asyncio
import os
import random
import resource
import sys
import tempfile
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

import aiohttp

import fleet
import operator_api
import wire
from crowd import Crowd
from endpoints import Endpoint
from invariants import InvariantChecker, Request
from operator_api import LIMITS, Operator
from store import Store

CALLERS = 100
# Memory of the daemon's machine, which is the bound of the process.
MEMORY_MB = 64
DESCRIPTORS = 256
# Callers that hold connections, more than there are descriptors.
CONNECTIONS = 400
# Of the descriptors, those that are kept for endpoints, the store, other daemons and operators.
KEPT_DESCRIPTORS = DESCRIPTORS // 8
BODY_BYTES = LIMITS["max-body-bytes"]
HEAD_BYTES = LIMITS["max-header-bytes"]
LARGE_ANSWER_BYTES = 2_000_000
WAVES = 3
# Time for the daemon to read what was sent; not a bound.
READ_LIMIT_S = 15
# Unfinished requests stay open for the whole test.
HEADER_TIMEOUT_MS = 120_000
# Only a daemon that hangs reaches it.
WATCHDOG_S = 60


class LargeAnswers:
    """A registered server that answers each request with a large body, or never."""

    def __init__(self, name, service, store, answers=True):
        self.name = name
        self.answers = answers
        self.service = service
        self.store = store
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        await self.store.put("servers", self.name, {"service": self.service, "address": "127.0.0.1:%d" % port, "zone": "zone-a", "version": 1, "slots": 64,
                                                    "state": "ready", "cold-left-ms": 0, "seq": 1, "born": 1})

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                while not self.answers:
                    if not await reader.read(65536):
                        return
                attempt = next((line.partition(":")[2].strip() for line in head.split("\r\n") if line.lower().startswith("x-attempt-id:")), "")
                writer.write(("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s-%s\r\nContent-Length: %d\r\n\r\n" % (
                    wire.ATTEMPT_ID, attempt, wire.SEAL, attempt, LARGE_ANSWER_BYTES)).encode() + b"a" * LARGE_ANSWER_BYTES)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def stop(self):
        self.server.close()


class UncontrolledCallers(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.checker = InvariantChecker(True)
        self.store = Store(random.Random(1))
        await self.store.start()
        operator_api.LIMITS = dict(LIMITS, **{"header-timeout-ms": HEADER_TIMEOUT_MS})
        self.addCleanup(setattr, operator_api, "LIMITS", LIMITS)
        await Operator(self.store, self.checker, {"w": 1_000_000_000}).write()
        self.folder = tempfile.TemporaryDirectory()
        self.servers = [Endpoint("engines-%d" % number, "engines", "zone-a", 64, self.store, self.checker, random.Random(number)) for number in range(2)]
        self.fleet = fleet.Fleet(1, os.environ["JUJUBERELAYD"], self.folder.name, self.store.port, self.checker)
        self.daemon = self.fleet.daemons[0]
        self.daemon.more_settings = "memory_mb: %d\n" % MEMORY_MB
        self.daemon.before_exec = lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))
        self.requests = 0
        self.crowds = []

    async def asyncTearDown(self):
        for crowd in self.crowds:
            crowd.close()
        await self.fleet.stop()
        for server in self.servers:
            await server.stop()
        await self.store.stop()
        self.folder.cleanup()

    async def start(self, desk=None):
        self.servers.append(desk or Endpoint("desk", "desk", "zone-a", 64, self.store, self.checker, random.Random(5)))
        for server in self.servers:
            await server.start()
        await self.fleet.start()
        await self.check_ordinary_request()

    def crowd(self, port=None):
        head = "POST %sx HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer key-w-0\r\n%s: 60000\r\n%s: {}\r\n" % (wire.LOOKUP_PATH, wire.HOST, wire.DEADLINE, wire.ATTEMPT_ID)
        self.crowds.append(Crowd(port or self.daemon.caller_port, head, lambda request_id: self.register(request_id, wire.LOOKUP_PATH)))
        return self.crowds[-1]

    def register(self, request_id, path):
        self.checker.requests[request_id] = Request(request_id, path + "x", "key-w-0", "w", 0, 0, "", "host-0")

    async def call(self):
        """Sends an ordinary request on a new connection; true if its whole answer arrives."""
        self.requests += 1
        request_id = "%016x" % self.requests
        self.register(request_id, wire.STREAM_PATH)
        headers = {"Host": wire.HOST, wire.ATTEMPT_ID: request_id, wire.DEADLINE: "9000", "Authorization": "Bearer key-w-0",
                   wire.MODEL: "m", wire.TOKEN_COUNTS: "10,10", wire.PROMPT_PREFIX: "a:5,%s:5" % request_id}
        try:
            async with aiohttp.ClientSession() as session:
                async with session.post("http://127.0.0.1:%d%sx" % (self.daemon.caller_port, wire.STREAM_PATH), headers=headers,
                                        timeout=aiohttp.ClientTimeout(total=10)) as response:
                    await response.read()
                    return response.status == 200
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
            return False

    async def check_ordinary_request(self):
        end = time.monotonic() + WATCHDOG_S
        while not await self.call():
            self.assertTrue(self.daemon.is_running, "the daemon has ended")
            self.assertLess(time.monotonic(), end, "no ordinary request was answered")
            await asyncio.sleep(0.1)

    def queued_bytes(self):
        """What the system holds for the daemon's callers: (bytes that they have not read, bytes that the daemon has not read)."""
        ports = {"%04X" % port for port in (self.daemon.caller_port, self.daemon.ready_port, self.daemon.metrics_port)}
        with open("/proc/net/tcp", encoding="utf-8") as table:
            rows = [line.split() for line in table][1:]
        established = "01"
        queues = [row[4].split(":") for row in rows if row[1].split(":")[1] in ports and row[3] == established]
        return sum(int(sent, 16) for sent, _ in queues), sum(int(received, 16) for _, received in queues)

    async def wait_until_read(self):
        """Waits until the daemon has read or refused what was sent. Requests that it answers meanwhile may keep some bytes unread."""
        end = time.monotonic() + READ_LIMIT_S
        while self.daemon.is_running and self.queued_bytes()[1] > 0 and time.monotonic() < end:
            await asyncio.sleep(0.1)

    async def check(self):
        # Part of the machine's memory too.
        queued_mb = sum(self.queued_bytes()) / 1e6
        await self.wait_until_read()
        self.assertTrue(self.daemon.is_running, "the daemon has ended")
        descriptors = len(os.listdir("/proc/%d/fd" % self.daemon.process.pid))
        with open("/proc/%d/status" % self.daemon.process.pid, encoding="utf-8") as status:
            memory_mb = next(int(line.split()[1]) for line in status if line.startswith("VmHWM")) * 1024 / 1e6
        print("%s: %.0f MB, %.0f MB queued, %d descriptors" % (self.id().split(".")[-1], memory_mb, queued_mb, descriptors), flush=True)
        with self.subTest("memory"):
            self.assertLess(memory_mb, MEMORY_MB)
        with self.subTest("queues"):
            self.assertLess(queued_mb, MEMORY_MB)
        with self.subTest("descriptors"):
            self.assertLessEqual(descriptors, DESCRIPTORS - KEPT_DESCRIPTORS)
        with self.subTest("ordinary request"):
            await self.check_ordinary_request()
        self.assertTrue(self.daemon.is_running, "the daemon has ended")

    async def play(self, make_request, callers=CALLERS, port=None):
        await self.start()
        crowd = self.crowd(port)
        await crowd.start([make_request(crowd) for _ in range(callers)])
        await self.check()

    # Guards against memory taken for bodies that are announced far over the limit.
    async def test_announced_over_the_limit(self):
        await self.play(lambda crowd: crowd.announced(100 * BODY_BYTES, 8 * BODY_BYTES))

    # Guards against memory taken for chunked bodies that pass the limit.
    async def test_sent_over_the_limit(self):
        await self.play(lambda crowd: crowd.chunked(8 * BODY_BYTES, 65536))

    # Guards against the sum of bodies of legal size, whole and just short of their end, exceeding the memory.
    async def test_whole_bodies(self):
        await self.play(lambda crowd: [b"".join(crowd.announced(BODY_BYTES, BODY_BYTES - 1))])

    # The same for complete bodies, whose requests wait for their endpoint.
    async def test_complete_bodies(self):
        await self.start(LargeAnswers("desk", "desk", self.store, answers=False))
        crowd = self.crowd()
        await crowd.start([crowd.announced(BODY_BYTES, BODY_BYTES) for _ in range(CALLERS)])
        await self.check()

    # The same for bodies that arrive piece by piece.
    async def test_bodies_in_pieces(self):
        await self.play(lambda crowd: crowd.announced(BODY_BYTES, BODY_BYTES - 1, 4096))

    # The same for chunked bodies.
    async def test_large_chunks(self):
        await self.play(lambda crowd: crowd.chunked(BODY_BYTES, 65536))

    # The same for chunks of one byte, whose framing is larger than the body.
    async def test_one_byte_chunks(self):
        await self.play(lambda crowd: crowd.chunked(BODY_BYTES, 1))

    # Guards against buffers for chunk extensions, which the limit of the body does not cover.
    async def test_chunk_extensions(self):
        await self.play(lambda crowd: crowd.extension(BODY_BYTES - 10))

    # The same for trailers after a body.
    async def test_trailers(self):
        await self.play(lambda crowd: crowd.trailer(BODY_BYTES, BODY_BYTES))

    # Guards against unfinished heads that take all descriptors, so that neither endpoints nor ordinary callers can connect.
    async def test_unfinished_heads(self):
        await self.play(lambda crowd: crowd.unfinished_head(HEAD_BYTES), CONNECTIONS)

    # The same for connections that send nothing.
    async def test_idle_connections(self):
        await self.play(lambda crowd: [], CONNECTIONS)

    # Guards against buffering what is sent after a request has been answered.
    async def test_bodies_after_the_answer(self):
        await self.play(lambda crowd: crowd.after_answer(8 * BODY_BYTES))

    # Guards against answers that are kept for callers which don't read them.
    async def test_unread_answers(self):
        await self.start(LargeAnswers("desk", "desk", self.store))
        crowd = self.crowd()
        # The answers are requested one after the other, so that the budget for reading responses does not refuse them.
        for _ in range(CALLERS):
            await crowd.start([crowd.unread(1)])
            await asyncio.sleep(0.02)
        await self.check()

    # All kinds at once, in waves whose connections stay open.
    async def test_mixed_waves(self):
        await self.start(LargeAnswers("desk", "desk", self.store))
        for _ in range(WAVES):
            crowd = self.crowd()
            await crowd.start([request for _ in range(CALLERS // 8) for request in (
                crowd.announced(100 * BODY_BYTES, 8 * BODY_BYTES), crowd.announced(BODY_BYTES, BODY_BYTES - 1), crowd.announced(BODY_BYTES, BODY_BYTES - 1, 4096),
                crowd.chunked(BODY_BYTES, 65536), crowd.chunked(BODY_BYTES // 4, 1), crowd.extension(BODY_BYTES - 10), crowd.unfinished_head(HEAD_BYTES),
                crowd.unread(1), crowd.after_answer(BODY_BYTES))])
        await self.check()

    # Guards against connections to the balancer's address that take the descriptors or the memory.
    async def test_readiness_address(self):
        await self.play(lambda crowd: crowd.announced(BODY_BYTES, BODY_BYTES - 1), CALLERS, self.daemon.ready_port)

    # The same for the address of metrics.
    async def test_metrics_address(self):
        await self.play(lambda crowd: crowd.announced(BODY_BYTES, BODY_BYTES - 1), CONNECTIONS, self.daemon.metrics_port)


if __name__ == "__main__":
    unittest.main()
