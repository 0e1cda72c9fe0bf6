"""Tests with real processes that a stream reaches its callers in order and never looks complete before its last event."""

import asyncio
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

import fleet
import stream_engine
import wire
from endpoints import HEARTBEAT_INTERVAL_S, Endpoint, expected_event_count, format_event
from invariants import InvariantChecker
from operator_api import SERVICES, Operator
from store import Store

# More than the daemon takes from the kernel at once.
STREAMS = 300
EVENTS = 3
# Times around the moment at which the daemon asks whether an engine has survived an answer, after that answer.
FREEZE_AFTER_S = 0.9
FREEZE_S = 0.6
REST_LIMIT_S = 5
SEEDS = (1, 2)
ENGINES = 4
DAEMONS = 3
CALLERS = 24
MIX_S = 6
TRIES = 6


class RawEngine(Endpoint):
    """Sends streams without a length, which end with their connection."""

    async def start(self):
        self.starts += 1
        self.id = "%s-%d" % (self.name, self.starts)
        self.started_at_ms = int(time.time() * 1000)
        self.streams = []
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=2 * STREAMS)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.heartbeat = asyncio.get_running_loop().create_task(self.run_heartbeat())

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
            return
        headers = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
        request_id = headers.get(wire.ATTEMPT_ID, "")
        if wire.STREAM_PATH not in head.split("\r\n")[0]:
            writer.close()
            return
        writer.write(("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s-%s\r\n%s: %s\r\nContent-Type: text/event-stream\r\n\r\n" % (
            wire.ATTEMPT_ID, request_id, wire.SEAL, request_id, wire.INSTANCE, self.id)).encode())
        writer.write("".join(format_event(request_id, number, stream_engine.VERSION) for number in range(1, EVENTS + 1)).encode())
        await writer.drain()
        if "/short" in head.split("\r\n")[0]:
            writer.close()
        else:
            self.streams.append(writer)

    def reset_streams(self):
        """Resets all connections at once, as the kernel does for a process that is killed before it has read all that arrived."""
        for writer in self.streams:
            connection = writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        self.streams = []

    async def stop(self):
        self.heartbeat.cancel()
        self.server.close()
        self.reset_streams()


async def start_stream(port, request_id, path):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    headers = {"Host": wire.HOST, wire.ATTEMPT_ID: request_id, wire.DEADLINE: "9000", wire.TOKEN_COUNTS: "50,200", wire.MODEL: "m",
               wire.PROMPT_PREFIX: "abc:10,%s:5" % request_id, "Authorization": "Bearer key-w-0", "Content-Length": "0"}
    writer.write(("POST %s%s HTTP/1.1\r\n%s\r\n" % (wire.STREAM_PATH, path, "".join("%s: %s\r\n" % header for header in headers.items()))).encode())
    await writer.drain()
    return reader, writer


async def read_rest(reader):
    """Returns what follows on the connection, which the daemon keeps open after a complete answer."""
    try:
        return await asyncio.wait_for(reader.readuntil(b"\r\n0\r\n\r\n"), REST_LIMIT_S)
    except asyncio.IncompleteReadError as error:
        return error.partial


class EngineProcess:
    """A model engine as a process, with its entry in the store."""

    def __init__(self, number, store, random):
        self.number = number
        self.store = store
        self.random = random
        self.starts = 0
        self.removals = []

    async def start(self):
        self.starts += 1
        self.id = "engine-%d-%d" % (self.number, self.starts)
        self.port, = fleet.free_ports(1)
        self.born = int(time.time() * 1000)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, stream_engine.__file__, str(self.port), self.id, str(self.random.getrandbits(32)), stdout=asyncio.subprocess.PIPE)
        await self.process.stdout.readline()
        self.heartbeat = asyncio.get_running_loop().create_task(self.run_heartbeat())

    async def run_heartbeat(self):
        sequence = 0
        while True:
            sequence += 1
            await self.store.put("servers", self.id, {"service": "engines", "address": "127.0.0.1:%d" % self.port, "zone": fleet.ZONES[self.number % 2],
                                                      "version": stream_engine.VERSION, "slots": 64, "state": "ready", "cold-left-ms": 0, "seq": sequence, "born": self.born})
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def kill(self):
        self.heartbeat.cancel()
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        self.removals.append(asyncio.create_task(self.remove_entry(self.id)))

    async def remove_entry(self, engine_id):
        """Removes the entry of an engine that is silent, as the platform does."""
        await asyncio.sleep(3 * HEARTBEAT_INTERVAL_S)
        await self.store.delete("servers", engine_id)


class StreamCaller:
    """Asks for streams, takes broken ones up at other daemons and checks each event."""

    def __init__(self, number, daemons, random):
        self.number = number
        self.daemons = daemons
        self.random = random
        self.stopping = False
        self.broken = []
        self.complete = 0
        self.taken_up = 0

    async def run(self):
        while not self.stopping:
            await self.call()

    async def call(self):
        stream_id = "%016x" % self.random.getrandbits(64)
        last = 0
        began_at = None  # The attempt that brought the first event.
        for _ in range(TRIES):
            attempt_id = "%016x" % self.random.getrandbits(64)
            headers = {"Host": wire.HOST, wire.ATTEMPT_ID: attempt_id, wire.DEADLINE: "5000", wire.TOKEN_COUNTS: "50,200", wire.MODEL: "m",
                       wire.PROMPT_PREFIX: "abc:10,%s:5" % stream_id, "Authorization": "Bearer key-w-0", "X-Stream-Id": stream_id, "Content-Length": "0"}
            if last:
                headers[wire.LAST_EVENT] = str(last)
                headers["Resumes"] = began_at
                self.taken_up += 1
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.random.choice(self.daemons).caller_port)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            try:
                writer.write(("POST %sx HTTP/1.1\r\n%s\r\n" % (wire.STREAM_PATH, "".join("%s: %s\r\n" % header for header in headers.items()))).encode())
                head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 6)
                if head[9:12] != b"200":
                    await asyncio.sleep(0.1)
                    continue
                pending = b""
                while True:
                    size = int(await asyncio.wait_for(reader.readuntil(b"\r\n"), 6), 16)
                    data = (await asyncio.wait_for(reader.readexactly(size + 2), 6))[:-2]
                    if size == 0:
                        break
                    pending += data
                    while b"\n\n" in pending:
                        event, pending = pending.split(b"\n\n", 1)
                        if event + b"\n\n" != format_event(stream_id, last + 1, stream_engine.VERSION).encode():
                            self.broken.append("%s, attempt %s (%s): got %s after event %d" % (stream_id, attempt_id, stream_engine.framing_of(attempt_id), event, last))
                            return
                        last += 1
                        began_at = began_at or attempt_id
                if last == expected_event_count(stream_id):
                    self.complete += 1
                else:
                    self.broken.append("%s, attempt %s (%s): complete after %d of %d events" % (
                        stream_id, attempt_id, stream_engine.framing_of(attempt_id), last, expected_event_count(stream_id)))
                return
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            finally:
                writer.close()


class StreamOrder(unittest.IsolatedAsyncioTestCase):
    # Guards against streams that end as complete before their last event when an engine resets its connections while the daemon does not
    # run: the check whether the engine had survived an earlier answer took the resets, and the streams appeared to end.
    async def test_reset_streams_are_not_complete_after_a_pause(self):
        checker = InvariantChecker(True)
        store = Store(random.Random(1))
        await store.start()
        services = [dict(service, **({"max-conns": 2 * STREAMS, "engine": dict(service["engine"], slots=2 * STREAMS, **{"kv-capacity": 10_000_000})} if "engine" in service else {})) for service in SERVICES]
        await Operator(store, checker, {"w": 10_000_000}, services).write()
        engine = RawEngine("engine", "engines", "zone-a", 2 * STREAMS, store, checker, random.Random(2))
        await engine.start()
        with tempfile.TemporaryDirectory() as folder:
            daemons = fleet.Fleet(1, os.environ["JUJUBERELAYD"], folder, store.port, checker)
            try:
                await daemons.start()
                daemon = daemons.daemons[0]
                streams = [await start_stream(daemon.caller_port, "%016x" % number, "long") for number in range(STREAMS)]
                for reader, writer in streams:
                    await reader.readuntil(("-%d@%s\n\n" % (EVENTS, stream_engine.VERSION)).encode())
                self.assertEqual(len(engine.streams), STREAMS)
                reader, writer = await start_stream(daemon.caller_port, "%016x" % STREAMS, "short")
                await reader.readuntil(b"\r\n0\r\n\r\n")
                await asyncio.sleep(FREEZE_AFTER_S)
                daemon.signal(signal.SIGSTOP)
                await asyncio.sleep(FREEZE_S)
                engine.reset_streams()
                await asyncio.sleep(0.1)
                daemon.signal(signal.SIGCONT)
                rests = await asyncio.gather(*[read_rest(reader) for reader, writer in streams])
                complete = [rest for rest in rests if rest.endswith(b"0\r\n\r\n")]
                self.assertEqual(len(complete), 0, "%d of %d streams look complete" % (len(complete), STREAMS))
            finally:
                await daemons.stop()
                await engine.stop()
                await store.stop()

    # Guards against streams that reach their callers with an event missing, twice or out of order, or complete before their last event,
    # while engines break the protocol, engines and daemons are killed, and daemons do not run for a while.
    async def test_streams_stay_in_order_under_faults(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                await self.run_mix(seed)

    async def run_mix(self, seed):
        source = random.Random(seed)
        checker = InvariantChecker(True)
        store = Store(random.Random(seed))
        await store.start()
        await Operator(store, checker, {"w": 100_000_000}).write()
        engines = [EngineProcess(number, store, random.Random(source.getrandbits(32))) for number in range(ENGINES)]
        for engine in engines:
            await engine.start()
        with tempfile.TemporaryDirectory() as folder:
            daemons = fleet.Fleet(DAEMONS, os.environ["JUJUBERELAYD"], folder, store.port, checker)
            try:
                await daemons.start()
                callers = [StreamCaller(number, daemons.daemons, random.Random(source.getrandbits(32))) for number in range(CALLERS)]
                tasks = [asyncio.create_task(caller.run()) for caller in callers]
                end = time.monotonic() + MIX_S
                while time.monotonic() < end:
                    await asyncio.sleep(source.uniform(0.2, 0.6))
                    fault = source.choice(("engine", "engine", "daemon", "freeze"))
                    if fault == "engine":
                        engine = source.choice(engines)
                        await engine.kill()
                        await engine.start()
                    elif fault == "daemon":
                        await daemons.kill(source.choice(daemons.daemons), 0.1)
                    else:
                        daemon = source.choice(daemons.daemons)
                        daemon.signal(signal.SIGSTOP)
                        await asyncio.sleep(source.uniform(0.2, 1.2))
                        daemon.signal(signal.SIGCONT)
                for caller in callers:
                    caller.stopping = True
                await asyncio.gather(*tasks)
                counts = [sum(getattr(caller, name) for caller in callers) for name in ("complete", "taken_up")]
                print("seed %d: %d streams complete, %d take-ups" % (seed, *counts), flush=True)
                self.assertEqual([text for caller in callers for text in caller.broken], [])
                self.assertGreater(counts[0], 50)
                self.assertGreater(counts[1], 10)
            finally:
                await daemons.stop()
                for engine in engines:
                    await engine.kill()
                    for removal in engine.removals:
                        removal.cancel()
                await store.stop()


if __name__ == "__main__":
    unittest.main()
