"""Callers that send large, unfinished or chunked requests, or don't read answers, over plain sockets.

A request is given as an iterable of pieces. Each caller sends its pieces and keeps its connection open until close()."""

import asyncio
import itertools
import socket

PIECE = b"x" * 65536
RECEIVE_BUFFER_BYTES = 4096


def blocks(size, piece_bytes=len(PIECE)):
    """Yields size bytes of a body."""
    while size > 0:
        yield PIECE[:min(size, piece_bytes)]
        size -= min(size, piece_bytes)


class Crowd:
    def __init__(self, port, head, request_made=lambda request_id: None):
        """The head is the request line and the headers of a sound request, without the empty line. {} stands for the request's id,
        with which request_made is called."""
        self.port = port
        self.head_template = head
        self.request_made = request_made
        self.sockets = []

    # Distinct over all crowds of the process.
    ids = itertools.count(1 << 40)

    @property
    def head(self):
        request_id = "%016x" % next(self.ids)
        self.request_made(request_id)
        return self.head_template.replace("{}", request_id).encode()

    def announced(self, announced_bytes, sent_bytes, piece_bytes=len(PIECE)):
        yield self.head + b"Content-Length: %d\r\n\r\n" % announced_bytes
        yield from blocks(sent_bytes, piece_bytes)

    def chunked(self, sent_bytes, chunk_bytes, end=b"", extension=b""):
        yield self.head + b"Transfer-Encoding: chunked\r\n\r\n"
        one = b"%x%s\r\n" % (chunk_bytes, extension) + PIECE[:chunk_bytes] + b"\r\n"
        # Small chunks are sent in larger pieces.
        count = max(1, len(PIECE) // len(one))
        for _ in range(sent_bytes // (chunk_bytes * count)):
            yield one * count
        if end:
            yield end

    def extension(self, extension_bytes):
        yield from self.chunked(0, 1, b"1;" + b"e" * extension_bytes)

    def trailer(self, body_bytes, trailer_bytes):
        yield from self.chunked(body_bytes, 65536, b"0\r\nA: " + b"t" * trailer_bytes)

    def unfinished_head(self, size):
        head = self.head
        yield head + b"A: " + b"h" * (size - len(head) - 4)

    def after_answer(self, sent_bytes):
        yield self.head + b"Content-Length: 0\r\n\r\n"
        yield from blocks(sent_bytes)

    def unread(self, requests):
        for _ in range(requests):
            yield self.head + b"Content-Length: 0\r\n\r\n"

    async def send(self, pieces):
        loop = asyncio.get_running_loop()
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        connection.setblocking(False)
        self.sockets.append(connection)
        try:
            await loop.sock_connect(connection, ("127.0.0.1", self.port))
            for piece in pieces:
                await loop.sock_sendall(connection, piece)
                await asyncio.sleep(0)
        except OSError:
            # The daemon may refuse the request and close the connection.
            pass

    async def start(self, requests, limit_s=60):
        """Sends all requests at once. Returns once each is sent, refused or stuck for the limit."""
        tasks = [asyncio.create_task(self.send(request)) for request in requests]
        _, stuck = await asyncio.wait(tasks, timeout=limit_s)
        for task in stuck:
            task.cancel()
        await asyncio.gather(*stuck, return_exceptions=True)

    def close(self):
        for connection in self.sockets:
            connection.close()
        self.sockets.clear()
