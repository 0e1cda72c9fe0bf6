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
import wire
from endpoints import HEARTBEAT_INTERVAL_S, Endpoint, format_event
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
        writer.write("".join(format_event(request_id, number) for number in range(1, EVENTS + 1)).encode())
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
                    await reader.readuntil(b"-%d\n\n" % EVENTS)
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


if __name__ == "__main__":
    unittest.main()
