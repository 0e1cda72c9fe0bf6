"""Callers that keep using their connections, whatever happens to the daemons."""

import asyncio

import aiohttp

import wire
from promises import Request

MOST_OUTPUT = 200  # Tokens; the longest stream has 33 events of 5 tokens.
DEADLINE_S = 4.0


class Caller:
    """One caller with connections of its own to one daemon; after a failure it turns to another."""

    def __init__(self, number, fleet, promises, random):
        self.number = number
        self.fleet = fleet
        self.promises = promises
        self.random = random
        self.session = None
        self.daemon = None
        self.stopping = False

    async def run(self):
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=1, force_close=False)) as self.session:
            while not self.stopping:
                await self.call()
                await asyncio.sleep(self.random.uniform(0.005, 0.08))

    async def call(self, workspace=None):
        if self.daemon is None or self.random.random() < 0.02:
            self.daemon = self.random.choice(self.fleet.serving())
        workspace = workspace or self.random.choice(list(self.promises.budgets))
        path = self.random.choices([wire.STREAM_PATH, wire.ORDER_PATH, wire.LOOKUP_PATH], [5, 3, 2])[0]
        request_id = "%016x" % self.random.getrandbits(64)
        request = Request(request_id, path + "x", self.random.choice(self.promises.keys[workspace]), workspace, self.random.randint(20, 400),
                          MOST_OUTPUT, "body of " + request_id, self.daemon.name)
        if path != wire.STREAM_PATH:
            request.prompt = 0
        self.promises.requests[request_id] = request
        leaves_after = self.random.uniform(0.01, 0.3) if self.random.random() < 0.03 else None
        try:
            await asyncio.wait_for(self.exchange(request), leaves_after or DEADLINE_S + 1)
        except asyncio.TimeoutError:
            self.promises.closed(request, "left" if leaves_after else "unanswered")
        except (aiohttp.ClientError, OSError, asyncio.IncompleteReadError) as error:
            if request.status is None:
                self.promises.closed(request, "closed")
                self.fleet.request_cut(request, type(error).__name__)
            else:
                self.promises.answered(request, request.status, {}, "", False)
                self.fleet.request_cut(request, type(error).__name__)
            self.daemon = None
        return request

    async def exchange(self, request):
        headers = {wire.ATTEMPT: request.id, wire.DEADLINE: str(int(DEADLINE_S * 1000)), "Authorization": "Bearer " + request.key, "Host": wire.HOST,
                   # What only a daemon may set; it must not reach an endpoint.
                   wire.WORKSPACE: "forged", "X-Hold": "forged"}
        if request.path.startswith(wire.STREAM_PATH):
            headers[wire.TOKENS] = "%d,%d" % (request.prompt, request.most_output)
            headers[wire.PARTS] = "abc:10,%x:5" % (self.number % 7)
            headers[wire.MODEL] = "m"
        url = "http://127.0.0.1:%d%s" % (self.daemon.caller_proxy.port, request.path)
        async with self.session.post(url, data=request.body, headers=headers) as response:
            request.status = response.status
            if response.headers.get("Content-Type", "").startswith("text/event-stream"):
                await self.read_events(request, response)
                body = ""
            else:
                body = await response.text()
            self.promises.answered(request, response.status, response.headers, body, True)
            if response.status in (429, 503):
                await asyncio.sleep(min(float(response.headers.get("Retry-After", 0.1)), 0.5))
                self.daemon = None

    async def read_events(self, request, response):
        pending = b""
        async for data in response.content.iter_any():
            pending += data
            while b"\n\n" in pending:
                event, pending = pending.split(b"\n\n", 1)
                lines = event.decode().split("\n")
                self.promises.event_arrived(request, int(lines[0][4:]), lines[1][6:])
        if pending:
            raise aiohttp.ClientPayloadError("the stream ended inside an event")
