"""Stand-ins for the scripts of this review: the platform's store, servers and clients, and the daemons that are tested.

Only Python's standard library is used. All addresses are loopback addresses with free ports."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import tempfile
import time

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
OBJECTS = "/jujuberelay/objects/"
STARTED = time.monotonic()


def now():
    return time.monotonic() - STARTED


class Record:
    """Writes what was sent, answered and run to record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def write(self, what, **fields):
        text = " ".join("%s=%s" % (key, value) for key, value in fields.items())
        self.file.write("%8.3f %-9s %s\n" % (now(), what, text))
        self.file.flush()


used_ports = set()


def free_port():
    """A port outside the ephemeral range, so that no outgoing connection takes it."""
    while True:
        port = random.SystemRandom().randrange(10_000, 30_000)
        if port in used_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        used_ports.add(port)
        return port


class Message:
    """A request or a response."""

    def __init__(self, first_line, headers, body=b""):
        self.first_line = first_line
        self.headers = headers
        self.body = body

    @property
    def method(self):
        return self.first_line.split(" ")[0]

    @property
    def target(self):
        return self.first_line.split(" ")[1]

    @property
    def status(self):
        return int(self.first_line.split(" ")[1])

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_request(reader):
    message = await read_head(reader)
    message.body = await reader.readexactly(int(message.get("content-length", "0")))
    return message


def response(status, headers=(), body=b""):
    head = "HTTP/1.1 %d X\r\n" % status + "".join("%s: %s\r\n" % pair for pair in headers)
    return (head + "Content-Length: %d\r\n\r\n" % len(body)).encode() + body


def json_response(value, status=200, headers=()):
    return response(status, [("Content-Type", "application/json"), *headers], json.dumps(value).encode())


def reset(writer):
    """Closes the connection with a reset."""
    try:
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass
    writer.transport.abort()


class HttpServer:
    """Accepts connections and passes each request to handle(), which writes its response."""

    def __init__(self, port=None):
        self.port = port or free_port()
        self.server = None
        self.writers = set()

    async def listen(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", self.port, limit=1 << 20)

    def shut_down(self):
        """Ends as a process that is killed: the port is closed and all connections are reset."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            reset(writer)

    async def accept(self, reader, writer):
        self.writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                request = await read_request(reader)
                await self.handle(request, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def handle(self, request, writer):
        raise NotImplementedError


class Store(HttpServer):
    """The platform's store."""

    def __init__(self):
        super().__init__()
        self.revision = 1
        self.kinds = {}
        self.history = []
        self.oldest = 1
        self.changed = asyncio.Condition()

    async def put(self, kind, name, spec):
        objects = self.kinds.setdefault(kind, {})
        if name in objects and objects[name]["spec"] == spec:
            return objects[name]
        self.revision += 1
        objects[name] = {"metadata": {"name": name, "revision": self.revision, "created": self.revision, "finalizers": [], "deleting": False},
                         "spec": spec, "status": None}
        await self.publish(kind, objects[name], False)
        return objects[name]

    async def delete(self, kind, name):
        item = self.kinds.get(kind, {}).pop(name, None)
        if item:
            self.revision += 1
            await self.publish(kind, item, True)

    async def publish(self, kind, item, deleted):
        self.history.append((self.revision, kind, {"deleted": deleted, "object": json.loads(json.dumps(item))}))
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, request, writer):
        writer.write(await self.answer(request))

    async def answer(self, request):
        path, _, query = request.target.partition("?")
        parameters = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
        kind, _, name = path[len(OBJECTS):].partition("/")
        objects = self.kinds.setdefault(kind, {})
        if request.method == "GET" and name:
            return json_response(objects[name]) if name in objects else json_response({}, 404)
        if request.method == "GET" and "watch" in parameters:
            return await self.watch(kind, int(parameters["watch"]), int(parameters.get("wait-ms", 0)) / 1000)
        if request.method == "GET":
            names = sorted(each for each in objects if each > parameters.get("after", ""))
            return json_response({"items": [objects[each] for each in names[:500]], "more-pages": len(names) > 500, "as-of": self.revision})
        body = json.loads(request.body) if request.body else {}
        if request.method == "POST":
            name = body["metadata"]["name"]
            if name in objects:
                return json_response(objects[name], 409)
        elif name not in objects:
            return json_response({}, 404)
        expected = parameters.get("revision") or body.get("metadata", {}).get("revision")
        if request.method != "POST" and expected and int(expected) != objects[name]["metadata"]["revision"]:
            return json_response(objects[name], 409)
        if request.method == "DELETE":
            item = objects[name]
            await self.delete(kind, name)
            return json_response(item)
        return json_response(await self.put(kind, name, body.get("spec")))

    async def watch(self, kind, since, wait_s):
        end = time.monotonic() + wait_s
        while True:
            if since < self.oldest:
                return json_response({}, 410)
            events = [event for revision, event_kind, event in self.history if event_kind == kind and revision > since]
            left_s = end - time.monotonic()
            if events or left_s <= 0:
                return json_response({"events": events, "as-of": self.revision})
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left_s)
                except asyncio.TimeoutError:
                    pass


class Server(HttpServer):
    """A server of a service, registered in the store. Subclasses answer the requests."""

    HEARTBEAT_S = 1.2

    def __init__(self, store, record, service, zone, slots):
        super().__init__()
        self.store = store
        self.record = record
        self.service = service
        self.zone = zone
        self.slots = slots
        self.id = None
        self.up = False
        self.state = "ready"
        self.seq = 0
        self.born = 0

    async def start(self):
        self.id = "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        for _ in range(20):
            try:
                await self.listen()
                break
            except OSError:  # Connections of the process that has ended may still be closing.
                await asyncio.sleep(0.1)
        self.up = True
        asyncio.get_running_loop().create_task(self.beat(self.id))

    def entry(self):
        return {"service": self.service, "address": "127.0.0.1:%d" % self.port, "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": self.state, "cold-left-ms": 0, "stage": "unified", "models": [{"name": "m", "version": 1, "adapters": []}],
                "seq": self.seq, "born": self.born}

    async def beat(self, own_id):
        while self.up and self.id == own_id:
            # The entry changes when more than `seq` changes.
            known = self.store.kinds.get("servers", {}).get(own_id)
            if not known or {**known["spec"], "seq": 0} != {**self.entry(), "seq": 0}:
                await self.store.put("servers", own_id, self.entry())
            await asyncio.sleep(self.HEARTBEAT_S)
        # The entry of a server that has fallen silent is removed after three heartbeat intervals.
        await asyncio.sleep(3 * self.HEARTBEAT_S)
        await self.store.delete("servers", own_id)

    def crash(self):
        self.up = False
        self.shut_down()

    async def crash_and_return(self, after_s):
        self.crash()
        await asyncio.sleep(after_s)
        await self.start()

    async def handle(self, request, writer):
        if request.target == "/jujuberelay/report":
            writer.write(json_response(self.report()))
        elif request.target == "/healthz":
            writer.write(response(200 if self.state == "ready" else 503, [("X-Instance-Id", self.id)]))
        elif request.get("X-Expect-Instance") not in ("", self.id):
            writer.write(response(421, [("X-Instance-Id", self.id), ("X-Not-Executed", "1"), ("X-Attempt-Id", request.get("X-Attempt-Id"))]))
        else:
            await self.serve(request, writer)

    def report(self):
        return {"stage": "unified", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False, "seq": 0, "queued": 0, "active": 0,
                "kv-used": 0, "kv-total": 400_000, "kv-handles": 0}

    async def serve(self, request, writer):
        raise NotImplementedError

    def seal(self, request):
        return "%s.%s" % (self.id, request.get("X-Attempt-Id"))


class Daemon:
    """One process of the system, started with the command and the settings template of the deploy file."""

    def __init__(self, number, folder, store_port, zone, bounds):
        self.name = "edge-%d" % number
        self.folder = folder
        self.zone = zone
        self.store_port = store_port
        self.ports = {key: free_port() for key in ("frontend", "readiness", "control-plane", "metrics")}
        self.bounds = bounds
        self.process = None
        with open(os.path.join(REPOSITORY, "deploy/system.toml"), encoding="utf-8") as file:
            role = file.read().partition("[roles.relay]")[2]
        self.role = {key: re.search(r'^%s = "([^"]*)"' % key, role, re.MULTILINE).group(1) for key in ("run", "template")}

    def prepare(self, seeds):
        values = {"node-name": self.name, "zone": self.zone, "ip": "127.0.0.1", "platform.address": "127.0.0.1:%d" % self.store_port,
                  "seeds": ",".join(seeds), "limits.cpu-share": "0.25", "limits.link-mbps": "1000.0"}
        values.update({"listen." + key: "127.0.0.1:%d" % port for key, port in self.ports.items()})
        values.update({"bounds." + key: str(value) for key, value in self.bounds.items()})
        with open(os.path.join(REPOSITORY, self.role["template"]), encoding="utf-8") as file:
            text = file.read()
        # The metrics port is fixed in the template; several daemons share one address here.
        text = text.replace("{{ip}}:9464", "127.0.0.1:%d" % self.ports["metrics"])
        self.settings = os.path.join(self.folder, self.name + ".yaml")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(re.sub(r"\{\{([^}]+)\}\}", lambda match: values[match.group(1)], text))

    async def start(self):
        command = self.role["run"].split(" ")
        command = [os.path.join(REPOSITORY, command[0])] + [word.replace("/etc/jujuberelay/boot.toml", self.settings) for word in command[1:]]
        with open(os.path.join(self.folder, self.name + ".log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(*command, stdout=log, stderr=log, cwd=REPOSITORY)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ports["readiness"])
            writer.write(b"GET /jujuberelay/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.transport.abort()
            return head.status == 200
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    def running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.running():
            self.process.send_signal(number)

    async def kill(self):
        if self.running():
            self.process.kill()
            await self.process.wait()


class Answer:
    """What a client got for one request."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        # The answer has its end, so that it looks complete.
        self.complete = False
        # Why the exchange ended without a complete answer.
        self.failure = ""


class Client:
    """Sends requests on one connection that is kept open."""

    def __init__(self, daemon):
        self.daemon = daemon
        self.reader = None
        self.writer = None

    def close(self):
        if self.writer:
            self.writer.transport.abort()
        self.reader = self.writer = None

    async def send(self, method, path, headers, body=b"", timeout_s=10.0):
        answer = Answer()
        try:
            await asyncio.wait_for(self.exchange(answer, method, path, headers, body), timeout_s)
        except asyncio.TimeoutError:
            answer.failure = "no complete answer within the client's time"
        except (OSError, asyncio.IncompleteReadError) as error:
            answer.failure = "connection closed (%s)" % type(error).__name__
        if not answer.complete or answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    async def exchange(self, answer, method, path, headers, body):
        if not self.writer:
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.daemon.ports["frontend"], limit=1 << 20)
        head = "%s %s HTTP/1.1\r\n" % (method, path) + "".join("%s: %s\r\n" % pair for pair in headers.items())
        self.writer.write((head + "Content-Length: %d\r\n\r\n" % len(body)).encode() + body)
        message = await read_head(self.reader)
        answer.status = message.status
        answer.headers = message.headers
        if message.get("transfer-encoding").lower() == "chunked":
            while True:
                size = int((await self.reader.readuntil(b"\r\n")).split(b";")[0], 16)
                answer.body += (await self.reader.readexactly(size + 2))[:-2]
                if size == 0:
                    break
        else:
            answer.body = await self.reader.readexactly(int(message.get("content-length", "0")))
        answer.complete = True


class Fleet:
    """The daemons of a case and the folder that they use."""

    def __init__(self, count, store, zones, bounds):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.daemons = [Daemon(number, self.folder, store.port, zones[number % len(zones)], bounds) for number in range(count)]

    async def start(self):
        seeds = ["127.0.0.1:%d" % daemon.ports["control-plane"] for daemon in self.daemons[:3]]
        for daemon in self.daemons:
            daemon.prepare(seeds)
            await daemon.start()
        end = time.monotonic() + 15
        for daemon in self.daemons:
            while not await daemon.is_ready():
                if time.monotonic() > end:
                    return False
                await asyncio.sleep(0.1)
        return True

    async def stop(self):
        for daemon in self.daemons:
            await daemon.kill()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


# Bounds of the smallest deployment's page that the settings template uses, and those that the checks use.
BOUNDS = {"grace-s": 8, "retry-budget": 0.2, "budget-extra": 56}
CONTACT_S = 3.0


def run_case(case):
    """Runs the coroutine and exits with 1 if it found the rule broken, 0 if not, and 2 if the case could not run."""

    async def run():
        # A script that is stopped from outside ends its daemons.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await asyncio.wait_for(case, 115)

    try:
        broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # Anything unforeseen means that nothing was shown.
        print("could not run: %s: %s" % (type(error).__name__, error))
        raise SystemExit(2) from None
    raise SystemExit(2 if broken is None else 1 if broken else 0)
