"""An emulated model engine as a process of its own. Usage: stream_engine.py <port> <id> <seed>

Frames its streams in all ways that the protocol allows, and breaks some of them: by the seed and the request's id.
"""

import asyncio
import hashlib
import random
import socket
import struct
import sys

import wire
from endpoints import expected_event_count, format_event

EVENT_INTERVAL_S = 0.02
VERSION = "v1"  # Of the software of all engines.
FRAMINGS = ("chunked", "length", "connection")
FAULTS = ("late start", "late copy", "wrong start", "repeated event", "missing event", "within an event", "reset", "two events of an earlier answer")
FAULT_PROBABILITY = 0.3


def framing_of(request_id):
    return FRAMINGS[hashlib.sha256(b"framing" + request_id.encode()).digest()[0] % len(FRAMINGS)]


class Engine:
    def __init__(self, engine_id, seed):
        self.id = engine_id
        self.random = random.Random(seed)

    async def serve(self, reader, writer):
        previous = b""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                headers = {line.split(": ", 1)[0].lower(): line.split(": ", 1)[1] for line in head.split("\r\n")[1:] if line}
                await reader.readexactly(int(headers.get("content-length", 0)))
                if wire.STREAM_PATH not in head.split("\r\n")[0]:
                    writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                    continue
                if headers.get(wire.EXPECTED_INSTANCE.lower()) != self.id:
                    writer.write(("HTTP/1.1 421 Misdirected\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n" % (
                        wire.ATTEMPT_ID, headers[wire.ATTEMPT_ID.lower()], wire.NOT_RUN)).encode())
                    continue
                previous = await self.stream(writer, headers, previous)
                if previous is None:
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def head(self, request_id, framing, length):
        head = "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s-%s\r\n%s: %s\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=5\r\n" % (
            wire.ATTEMPT_ID, request_id, wire.SEAL, request_id, wire.INSTANCE, self.id)
        return (head + {"chunked": "Transfer-Encoding: chunked\r\n", "length": "Content-Length: %d\r\n" % length, "connection": ""}[framing] + "\r\n").encode()

    async def stream(self, writer, headers, previous):
        """Sends a stream and returns its bytes, or None if the connection ends."""
        request_id = headers[wire.ATTEMPT_ID.lower()]
        text_id = headers.get("x-stream-id", request_id)
        framing = framing_of(request_id)
        fault = self.random.choice(FAULTS) if self.random.random() < FAULT_PROBABILITY else None
        last = expected_event_count(text_id)
        numbers = list(range(int(headers.get(wire.LAST_EVENT.lower(), 0)) + 1, last + 1))
        middle = self.random.randrange(len(numbers)) if numbers else 0
        if fault == "wrong start" and numbers:
            numbers = numbers[1:] or numbers
        elif fault == "repeated event" and numbers:
            numbers.insert(middle, numbers[middle])
        elif fault == "missing event" and 0 < middle < len(numbers) - 1:
            numbers.pop(middle)
        elif fault == "two events of an earlier answer" and numbers:
            numbers[middle:middle] = [max(1, numbers[middle] - 2), max(1, numbers[middle] - 1)]
        if fault == "late start":
            await asyncio.sleep(0.5)
        events = [format_event(text_id, number, VERSION).encode() for number in numbers]
        sent = self.head(request_id, framing, sum(map(len, events)))
        writer.write((previous if fault == "late copy" else b"") + sent)
        for index, event in enumerate(events):
            if index == middle and fault == "within an event":
                event = event[:-5]
                writer.write(b"%x\r\n%s\r\n" % (len(event), event) if framing == "chunked" else event)
                return None
            if index == middle and fault == "reset":
                writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                writer.transport.abort()
                return None
            piece = b"%x\r\n%s\r\n" % (len(event), event) if framing == "chunked" else event
            writer.write(piece)
            sent += piece
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S * self.random.random() * 2)
        end = b"0\r\n\r\n" if framing == "chunked" else b""
        writer.write(end)
        return None if framing == "connection" else sent + end


async def main():
    engine = Engine(sys.argv[2], int(sys.argv[3]))
    server = await asyncio.start_server(engine.serve, "127.0.0.1", int(sys.argv[1]), backlog=512)
    print("ready", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
