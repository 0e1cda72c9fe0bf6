"""Callers that reuse persistent connections while faults are injected."""

import asyncio

import aiohttp

import wire
from invariants import Request

MAX_OUTPUT_TOKENS = 200  # The longest stream has 33 events of 5 tokens.
DEADLINE_S = 4.0
# Probability that a caller takes a broken stream up, and how often it does so.
TAKE_UP_PROBABILITY = 0.8
MAX_TAKE_UPS = 3
TAKE_UP_DELAY_S = 0.05


class Caller:
    """Sends requests to one daemon over its own connection pool and switches to another daemon after a failure."""

    def __init__(self, number, fleet, checker, random):
        self.number = number
        self.fleet = fleet
        self.checker = checker
        self.random = random
        self.session = None
        self.daemon = None
        self.stopping = False

    async def run(self):
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=1, force_close=False)) as self.session:
            while not self.stopping:
                await self.take_up_broken_stream(await self.call())
                await asyncio.sleep(self.random.uniform(0.005, 0.08))

    async def take_up_broken_stream(self, request):
        """Takes a broken stream up at other daemons, as the pages allow."""
        for _ in range(MAX_TAKE_UPS):
            if not request.can_be_taken_up or self.stopping or self.random.random() > TAKE_UP_PROBABILITY:
                return
            await asyncio.sleep(self.random.uniform(0, TAKE_UP_DELAY_S))
            others = [daemon for daemon in self.fleet.daemons_in_rotation() if daemon.name != request.daemon]
            self.daemon = self.random.choice(others or self.fleet.daemons)
            request_id = "%016x" % self.random.getrandbits(64)
            next_request = Request(request_id, request.path, request.key, request.workspace, request.prompt_tokens, MAX_OUTPUT_TOKENS,
                                   "body of " + request_id, self.daemon.name)
            next_request.take_up(request)
            self.checker.requests[request_id] = next_request
            await self.send(next_request, None)
            self.checker.taken_up(request, next_request)
            request = next_request

    async def call(self, workspace=None):
        if self.daemon is None or self.random.random() < 0.02:
            self.daemon = self.random.choice(self.fleet.daemons_in_rotation())
        workspace = workspace or self.random.choice(list(self.checker.budgets))
        path = self.random.choices([wire.STREAM_PATH, wire.ORDER_PATH, wire.LOOKUP_PATH], [5, 3, 2])[0]
        request_id = "%016x" % self.random.getrandbits(64)
        request = Request(request_id, path + "x", self.random.choice(self.checker.keys[workspace]), workspace, self.random.randint(20, 400),
                          MAX_OUTPUT_TOKENS, "body of " + request_id, self.daemon.name)
        if path != wire.STREAM_PATH:
            request.prompt_tokens = 0
        self.checker.requests[request_id] = request
        await self.send(request, self.random.uniform(0.01, 0.3) if self.random.random() < 0.03 else None)
        return request

    async def send(self, request, disconnect_after):
        try:
            await asyncio.wait_for(self.exchange(request), disconnect_after or DEADLINE_S + 1)
        except asyncio.TimeoutError:
            self.checker.closed(request, "disconnected" if disconnect_after else "unanswered")
        except (aiohttp.ClientError, OSError, asyncio.IncompleteReadError) as error:
            if request.status is None:
                self.checker.closed(request, "closed")
                self.fleet.request_interrupted(request, type(error).__name__)
            else:
                self.checker.answered(request, request.status, {}, "", False)
                self.fleet.request_interrupted(request, type(error).__name__)
            self.daemon = None

    async def exchange(self, request):
        headers = {wire.ATTEMPT_ID: request.id, wire.DEADLINE: str(int(DEADLINE_S * 1000)),
                   "Authorization": "Bearer " + request.key, "Host": wire.HOST,
                   # Headers that only a daemon may set. The forged values must not reach an endpoint.
                   wire.WORKSPACE: "forged", "X-Hold": "forged"}
        if request.path.startswith(wire.STREAM_PATH):
            headers[wire.TOKEN_COUNTS] = "%d,%d" % (request.prompt_tokens, request.max_output_tokens)
            headers[wire.PROMPT_PREFIX] = "abc:10,%x:5" % (self.number % 7)
            headers[wire.MODEL] = "m"
            if request.events:
                headers[wire.RESUMES] = request.stream_id
                headers[wire.LAST_EVENT] = str(request.events)
        url = "http://127.0.0.1:%d%s" % (self.daemon.caller_proxy.port, request.path)
        async with self.session.post(url, data=request.body, headers=headers) as response:
            request.status = response.status
            if response.headers.get("Content-Type", "").startswith("text/event-stream"):
                await self.read_events(request, response)
                body = ""
            else:
                body = await response.text()
            self.checker.answered(request, response.status, response.headers, body, True)
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
                self.checker.event_arrived(request, int(lines[0][4:]), lines[1][6:])
        if pending:
            raise aiohttp.ClientPayloadError("event stream ended in the middle of an event")
