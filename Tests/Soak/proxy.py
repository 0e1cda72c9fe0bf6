"""Loopback TCP proxy that can delay, reset or refuse connections, or block them in one or both directions."""

import asyncio


class Proxy:
    def __init__(self, target_port):
        self.target_port = target_port
        self.port = None
        self.delay_s = 0.0
        self.blocked_directions = set()  # Any of "up" (towards the target) and "down"; no data passes in these directions.
        self.refuse_connections = False
        self.connections = set()
        self.server = None

    @property
    def faulty(self):
        return bool(self.delay_s or self.blocked_directions or self.refuse_connections)

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        self.server.close()
        self.reset_all()

    def reset_all(self):
        for writer in list(self.connections):
            writer.transport.abort()

    def clear_faults(self):
        """Ends all faults. Connections blocked meanwhile never resume, as after a middlebox lost its state, and are reset."""
        if self.blocked_directions:
            self.reset_all()
        self.delay_s = 0.0
        self.blocked_directions = set()
        self.refuse_connections = False

    async def accept(self, reader, writer):
        if self.refuse_connections:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            writer.transport.abort()
            return
        self.connections |= {writer, target_writer}
        await asyncio.gather(self.forward(reader, target_writer, "up"), self.forward(target_reader, writer, "down"))
        self.connections -= {writer, target_writer}
        for end in (writer, target_writer):
            end.transport.abort()

    async def forward(self, reader, writer, direction):
        try:
            while data := await reader.read(65536):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if direction in self.blocked_directions:
                    await asyncio.sleep(3600)
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except (OSError, RuntimeError):
            writer.transport.abort()
