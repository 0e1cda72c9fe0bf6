"""Stand-ins for the users' store, servers and clients, and daemons as separate processes. Needs Python's standard library alone."""

import asyncio
import json
import logging
import os
import re
import resource
import secrets
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
OBJECTS = "/jujuberelay/objects/"
REPORT = "/jujuberelay/report"
READY = "/jujuberelay/readyz"
STORE_DELAY_S = 0.004
HEARTBEAT_S = 1.2
HISTORY_S = 20
NEEDED_DESCRIPTORS = 16_384

# The bounds of sites/laurentide-cmd.toml.
BOUNDS = {"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000, "grace-s": 8,
          "loss-slack-ms": 200, "config-ms": 2000, "rollback-slack-ms": 250, "outer-ms": 5000, "strict-revoke": False, "revoke-ms": 5000,
          "retry-budget": 0.2, "budget-window-s": 10, "budget-extra": 56, "recover-s": 12, "event-delay-ms": 120, "retry-after-s": 10,
          "settle_ms": 1500}
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"]
ZONES = ["zone-a", "zone-b", "zone-c"]
LIMITS = {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}


# Writes to a connection that a crashed server has closed are no news.
logging.getLogger("asyncio").setLevel(logging.ERROR)


class CannotRun(Exception):
    """The case could not be run, so that it says nothing about the rule."""


def now():
    return time.monotonic()


def free_port(ip="127.0.0.1"):
    """Returns a free port outside the kernel's ephemeral range."""
    while True:
        port = 10_000 + secrets.randbelow(20_000)
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
                return port
            except OSError:
                continue


class Message:
    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Returns the start line and the headers, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunk(reader):
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_request(reader):
    head = await read_head(reader)
    if not head:
        return None
    try:
        body = b""
        if head[1].get("transfer-encoding", "").lower() == "chunked":
            while chunk := await read_chunk(reader):
                body += chunk
        else:
            body = await reader.readexactly(int(head[1].get("content-length", 0)))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return Message(head[0], head[1], body)


def encode_answer(status, headers, body=b""):
    lines = ["HTTP/1.1 %d X" % status] + ["%s: %s" % item for item in headers.items()] + ["Content-Length: %d" % len(body)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Listener:
    """A server on a loopback port. Its open connections can be silenced for good while new ones work."""

    def __init__(self):
        self.server = None
        self.port = None
        self.tasks = {}
        self.silent = set()

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", port, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = "127.0.0.1:%d" % self.port

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self.tasks[task] = writer
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            if task in self.silent:
                await self._swallow(reader)
        finally:
            self.tasks.pop(task, None)
            self.silent.discard(task)
            writer.transport.abort()

    @staticmethod
    async def _swallow(reader):
        """Takes what comes and answers nothing, without closing the connection."""
        try:
            while await reader.read(65536):
                pass
        except (OSError, asyncio.CancelledError):
            pass

    def silence_connections(self):
        for task in list(self.tasks):
            if task not in self.silent:
                self.silent.add(task)
                task.cancel()
        return len(self.silent)

    async def close(self):
        """Ends as a process that is killed does: the port is refused and the connections are reset."""
        if self.server:
            self.server.close()
        for task, writer in list(self.tasks.items()):
            self.silent.discard(task)
            writer.transport.abort()
            task.cancel()
        await asyncio.sleep(0)


class Store(Listener):
    """The users' store: objects by kind and name, conditional writes, listings in pages, and watches."""

    def __init__(self):
        super().__init__()
        self.revision = 100
        self.kinds = {}
        self.history = []
        self.oldest = 100
        self.changed = asyncio.Event()

    def put(self, kind, name, spec, status=None):
        objects = self.kinds.setdefault(kind, {})
        old = objects.get(name)
        if old and old["spec"] == spec and status is None:
            return old
        self.revision += 1
        created = old["metadata"]["created"] if old else self.revision
        objects[name] = {"metadata": {"name": name, "revision": self.revision, "created": created, "finalizers": [], "deleting": False},
                         "spec": spec, "status": status}
        self._append(kind, {"deleted": False, "object": objects[name]})
        return objects[name]

    def touch(self, kind, name, spec):
        """Replaces the spec without a new revision, as for a heartbeat that changes nothing but its number."""
        self.kinds[kind][name]["spec"] = spec

    def delete(self, kind, name):
        item = self.kinds.get(kind, {}).pop(name, None)
        if item:
            self.revision += 1
            self._append(kind, {"deleted": True, "object": item})
        return item

    def _append(self, kind, event):
        self.history.append((now(), self.revision, kind, json.dumps(event)))
        while self.history and self.history[0][0] < now() - HISTORY_S:
            self.oldest = self.history.pop(0)[1]
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def serve(self, reader, writer):
        while request := await read_request(reader):
            status, value = await self.answer(request)
            writer.write(encode_answer(status, {"Content-Type": "application/json"}, json.dumps(value).encode() if not isinstance(value, bytes) else value))
            await writer.drain()

    async def answer(self, request):
        await asyncio.sleep(STORE_DELAY_S)
        method, target, _ = request.start.split(" ")
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(part) for part in url.path.removeprefix(OBJECTS).split("/")]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        objects = self.kinds.setdefault(kind, {})
        if method == "GET":
            return await self.read(kind, name, query)
        body = json.loads(request.body) if request.body else {}
        if method == "POST":
            name = body["metadata"]["name"]
            if name in objects:
                return 409, objects[name]
        elif name not in objects:
            return 404, {}
        else:
            expected = query.get("revision") or body.get("metadata", {}).get("revision")
            if expected and int(expected) != objects[name]["metadata"]["revision"]:
                return 409, objects[name]
        if method == "DELETE":
            return 200, self.delete(kind, name)
        return 200, self.put(kind, name, body.get("spec"))

    async def read(self, kind, name, query):
        objects = self.kinds[kind]
        if name:
            return (200, objects[name]) if name in objects else (404, {})
        if "watch" not in query:
            names = sorted(each for each in objects if each > query.get("after", ""))
            return 200, {"items": [objects[each] for each in names[:500]], "more-pages": len(names) > 500, "as-of": self.revision}
        since = int(query["watch"])
        end = now() + int(query.get("wait-ms", 0)) / 1000
        while True:
            if since < self.oldest:
                return 410, {}
            events = [event for _, revision, event_kind, event in self.history if event_kind == kind and revision > since]
            if events or now() >= end:
                return 200, ('{"events":[%s],"as-of":%d}' % (",".join(events), self.revision)).encode()
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), end - now())
            except asyncio.TimeoutError:
                pass


class Server(Listener):
    """A server of the users. `work` answers a request that is meant for this server; `arrivals` has what reached it."""

    def __init__(self, store, service, zone, slots, record):
        super().__init__()
        self.store = store
        self.service = service
        self.zone = zone
        self.slots = slots
        self.record = record
        self.state = "ready"
        self.sequence = 0
        self.registered = False
        self.heartbeat = None
        self.active = 0
        self.arrivals = []
        self.keep_alive = 5

    async def start(self):
        self.id = "i-" + secrets.token_hex(4)
        self.born = int(time.time() * 1000)
        await self.listen(free_port())
        self.register()
        self.heartbeat = asyncio.create_task(self._beat())

    def spec(self):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": self.slots, "state": self.state,
                "cold-left-ms": 0, "seq": self.sequence, "born": self.born}

    def register(self):
        self.registered = True
        self.store.put("servers", self.id, self.spec())

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.registered:
                self.store.touch("servers", self.id, self.spec())

    def unregister(self):
        self.registered = False
        self.store.delete("servers", self.id)

    async def stop(self):
        if self.heartbeat:
            self.heartbeat.cancel()
        await self.close()

    def headers(self, request):
        return {"X-Attempt-Id": request.get("X-Attempt-Id", ""), "X-Instance-Id": self.id, "Keep-Alive": "timeout=%d" % self.keep_alive}

    async def serve(self, reader, writer):
        while True:
            try:
                request = await asyncio.wait_for(read_request(reader), self.keep_alive + 1)
            except asyncio.TimeoutError:
                return
            if not request:
                return
            method, target, _ = request.start.split(" ")
            if target == REPORT:
                report = {"stage": "unified", "models": [], "busy": False, "seq": 1, "queued": 0, "active": self.active, "kv-used": 0,
                          "kv-total": 444995, "kv-handles": 0}
                writer.write(encode_answer(200, {"Content-Type": "application/json"}, json.dumps(report).encode()))
                continue
            if request.get("X-Expect-Instance", self.id) != self.id:
                writer.write(encode_answer(421, self.headers(request)))
                continue
            self.arrivals.append((now(), request.get("X-Attempt-Id")))
            if self.active >= self.slots:
                self.record.write("server %s rejects %s" % (self.id, request.get("X-Attempt-Id")))
                writer.write(encode_answer(503, {**self.headers(request), "X-Not-Executed": "1"}))
                continue
            self.active += 1
            try:
                await self.work(request, reader, writer)
                await writer.drain()
            finally:
                self.active -= 1

    async def work(self, request, reader, writer):
        await asyncio.sleep(0.015)
        writer.write(encode_answer(200, {**self.headers(request), "X-Server-Seal": self.id}, self.body_of(request.get("X-Attempt-Id"))))

    @staticmethod
    def body_of(attempt):
        return ("answer to %s" % attempt).encode()


class Engine(Server):
    """A model server: reads prompts one after the other, then generates events. Drops a request when its connection closes."""

    prompt_tokens_per_s = 48_200
    report_age_s = 0.2

    def __init__(self, store, service, zone, slots, record, stride=7, events=55, gap_s=0.06):
        super().__init__(store, service, zone, slots, record)
        self.stride = stride
        self.events = events
        self.gap_s = gap_s
        # Attempt id -> times of the events made, for the requests that are being read or generated.
        self.runs = {}
        # (attempt id, start, end, events) of all runs.
        self.ended = []
        self.reading = asyncio.Lock()
        # Shared parts of prompts that were read before, by id.
        self.cached = {}
        self.working = {}
        # Connections that are silent: nothing passes on them, and no end of them is seen.
        self.muted = set()

    def mute(self, share, random):
        """Silences a share of the connections on which requests are in progress. Returns the ids of these requests."""
        chosen = [writer for writer in self.working if random.random() < share]
        self.muted.update(chosen)
        return [self.working[writer] for writer in chosen]

    async def serve(self, reader, writer):
        while True:
            try:
                request = await asyncio.wait_for(read_request(reader), self.keep_alive + 1)
            except asyncio.TimeoutError:
                return
            if not request:
                return
            method, target, _ = request.start.split(" ")
            attempt = request.get("X-Attempt-Id")
            if target == REPORT:
                await asyncio.sleep(0.002)
                writer.write(encode_answer(200, {"Content-Type": "application/json"}, json.dumps(self.report()).encode()))
                continue
            if request.get("X-Expect-Instance", self.id) != self.id:
                writer.write(encode_answer(421, self.headers(request)))
                continue
            self.arrivals.append((now(), attempt))
            if len(self.runs) >= self.slots:
                writer.write(encode_answer(503, {**self.headers(request), "X-Not-Executed": "1"}))
                continue
            self.working[writer] = attempt
            started = now()
            times = self.runs[attempt] = []
            generation = asyncio.create_task(self.generate(request, writer, times))
            closed = asyncio.create_task(reader.read(1))
            try:
                await asyncio.wait([generation, closed], return_when=asyncio.FIRST_COMPLETED)
                if not generation.done() and writer in self.muted:
                    await asyncio.wait([generation])
                if not generation.done():
                    self.record.write("%s drops %s, whose connection has closed" % (self.id, attempt))
                    generation.cancel()
                    return
                generation.result()
            finally:
                closed.cancel()
                generation.cancel()
                await asyncio.wait([closed, generation])
                self.ended.append((attempt, started, now(), len(times)))
                del self.runs[attempt]
                del self.working[writer]
            if writer in self.muted:
                return await self._swallow(reader)

    def report(self):
        as_of = now() - self.report_age_s
        runs = [[attempt, 0, sum(1 for at in times if at <= as_of), 0] for attempt, times in self.runs.items()]
        return {"stage": "unified", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False, "seq": 1, "queued": 0, "active": len(runs),
                "kv-used": 0, "kv-total": 444995, "kv-handles": 0, "runs": runs}

    async def generate(self, request, writer, times):
        prompt, maximum = map(int, request.get("X-Token-Counts").split(","))
        parts = [part.split(":") for part in request.get("X-Prompt-Prefix", "").split(",")][:-1]
        async with self.reading:
            kept = sum(self.cached.get(part, 0) for part, _ in parts)
            await asyncio.sleep((prompt - kept) / self.prompt_tokens_per_s)
            self.cached.update((part, int(tokens)) for part, tokens in parts)
        attempt = request.get("X-Attempt-Id")
        first = int(request.get("Last-Event-Id", 0)) + 1
        last = min(self.events, -(-maximum // self.stride))
        self.record.write("%s begins to generate %s from event %d" % (self.id, attempt, first))
        headers = {**self.headers(request), "X-Server-Seal": self.id, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        data = ("HTTP/1.1 200 OK\r\n%s\r\n" % "".join("%s: %s\r\n" % item for item in headers.items())).encode()
        for number in range(first, last + 1):
            times.append(now())
            event = self.event_of(attempt, number)
            data += b"%x\r\n%s\r\n" % (len(event), event)
            if writer not in self.muted:
                writer.write(data)
            data = b""
            await asyncio.sleep(self.gap_s)
        if writer not in self.muted:
            writer.write(data + b"0\r\n\r\n")

    @staticmethod
    def event_of(attempt, number):
        return b"id: %d\ndata: %s-%d\n\n" % (number, attempt.encode(), number)


def fill_template(text, values):
    """Fills in the placeholders and sections of a settings template, as DEPLOY.md describes."""

    def look_up(name):
        value = values
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def show(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return str(value).lower()
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    def section(match):
        value = look_up(match.group(1))
        return "" if value in (None, False) else match.group(2).replace("{{.}}", show(value))

    text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([^}#/^]+)\}\}", lambda match: show(look_up(match.group(1))), text)


class Daemon:
    def __init__(self, number, network, store, folder, seeds, max_fds=4100):
        self.number = number
        self.name = "edge-%d" % number
        # An address of its own, since the deploy file fixes the port of the metrics.
        self.ip = "127.%d.%d.%d" % (*network, 10 + number)
        self.caller_port, self.ready_port, self.peer_port = free_port(self.ip), free_port(self.ip), free_port(self.ip)
        self.store = store
        self.folder = folder
        self.seeds = seeds
        self.max_fds = max_fds
        self.process = None
        self.settings_path = os.path.join(folder, self.name + ".yaml")
        self.log_path = os.path.join(folder, self.name + ".log")

    @property
    def peer_address(self):
        return "%s:%d" % (self.ip, self.peer_port)

    def write_settings(self):
        values = {"node-name": self.name, "role": "relay", "machine-class": "edge", "serves": ["edge", "control"], "ip": self.ip,
                  "zone": ZONES[self.number % len(ZONES)], "region": "region", "seeds": self.seeds, "contracts": CONTRACTS,
                  "listen": {"frontend": "%s:%d" % (self.ip, self.caller_port), "readiness": "%s:%d" % (self.ip, self.ready_port),
                             "control-plane": self.peer_address},
                  "limits": {"cpu-share": 0.25, "cores": 1, "memory-mb": 260, "max-fds": self.max_fds, "link-mbps": 1000.0, "disk-mb": 0},
                  "bounds": BOUNDS, "platform": {"address": self.store.address}}
        with open(os.path.join(ROOT, "deploy", "relay.yaml"), encoding="utf-8") as template, open(self.settings_path, "w", encoding="utf-8") as file:
            file.write(fill_template(template.read(), values))

    async def start(self):
        self.write_settings()
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            command = shlex.split(tomllib.load(file)["roles"]["relay"]["run"])
        command = [word.replace("/etc/jujuberelay/boot.toml", self.settings_path) for word in command]
        if not os.path.exists(os.path.join(ROOT, command[0])):
            raise CannotRun("the build of the deploy file has not been run")
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
                                                                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (self.max_fds, self.max_fds)))

    def signal(self, number):
        if self.is_running:
            os.kill(self.process.pid, number)

    @property
    def is_running(self):
        return self.process is not None and self.process.returncode is None

    async def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()

    async def is_ready(self):
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, self.ready_port), 1)
            writer.write(("GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" % READY).encode())
            return b" 200 " in await asyncio.wait_for(reader.readline(), 1)
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            if writer:
                writer.transport.abort()


class Fleet:
    def __init__(self, count, store, folder, max_fds=4100):
        network = (1 + secrets.randbelow(250), secrets.randbelow(250))
        self.daemons = [Daemon(number, network, store, folder, [], max_fds) for number in range(count)]
        seeds = [daemon.peer_address for daemon in self.daemons[:3]]
        for daemon in self.daemons:
            daemon.seeds = seeds

    async def start(self):
        for daemon in self.daemons:
            await daemon.start()
        await self.wait_until_ready()

    async def wait_until_ready(self, limit_s=15):
        end = now() + limit_s
        for daemon in self.daemons:
            while not await daemon.is_ready():
                if now() > end:
                    raise CannotRun("%s was not ready within %d s" % (daemon.name, limit_s))
                await asyncio.sleep(0.1)

    async def stop(self):
        for daemon in self.daemons:
            await daemon.kill()


class Answer:
    def __init__(self):
        self.status = None  # None: the connection ended, or the client gave up, without a status.
        self.headers = {}
        self.body = b""
        self.complete = False
        self.sent_at = None
        self.ended_at = None
        self.error = ""


async def send_request(daemon, method, path, key, deadline_s, headers=None, body=b"", on_data=None, wait_s=None, attempt=None):
    """Sends a request on a new connection and returns what came back. The client gives up after its deadline."""
    answer = Answer()
    answer.attempt = attempt or secrets.token_hex(8)
    answer.daemon = daemon.name
    writer = None
    try:
        async with asyncio.timeout(wait_s or deadline_s):
            answer.sent_at = now()
            reader, writer = await asyncio.open_connection(daemon.ip, daemon.caller_port)
            fields = {"Host": "users.example", "X-Attempt-Id": answer.attempt, "X-Deadline-Ms": str(int(deadline_s * 1000)), "Authorization": "Bearer " + key,
                      **(headers or {}), "Content-Length": str(len(body))}
            writer.write(("%s %s HTTP/1.1\r\n%s\r\n" % (method, path, "".join("%s: %s\r\n" % item for item in fields.items()))).encode() + body)
            await writer.drain()
            head = await read_head(reader)
            if head:
                answer.status = int(head[0].split(" ")[1])
                answer.headers = head[1]
                if head[1].get("transfer-encoding", "").lower() == "chunked":
                    while chunk := await read_chunk(reader):
                        answer.body += chunk
                        if on_data:
                            on_data(chunk)
                else:
                    answer.body = await reader.readexactly(int(head[1].get("content-length", 0)))
                answer.complete = True
            else:
                answer.error = "closed"
    except (asyncio.IncompleteReadError, OSError, ValueError) as error:
        answer.error = type(error).__name__
    except TimeoutError:
        answer.error = "timeout"
    finally:
        answer.ended_at = now()
        if writer:
            writer.transport.abort()
    return answer


def configuration(version, routes, services, tenants):
    return {"version": version, "routes": routes, "services": services, "limits": LIMITS, "tenants": tenants}


def route(prefix, service, kind, timeout_ms, goal_ms, attempts, resumable=False, priority=1):
    return {"name": "r-" + prefix.strip("/"), "host": "users.example", "path-prefix": prefix, "route-kind": kind, "timeout-ms": timeout_ms,
            "goal-ms": goal_ms, "priority": priority, "service": service, "attempts": attempts, "public": False, "sticky": kind == "streaming",
            "resumable": resumable, "tpot-target-ms": 800}


def service(name, max_conns, engine=None):
    value = {"name": name, "health-path": "/healthz", "max-conns": max_conns, "protocol": "h1", "tls": False}
    if engine:
        value["engine"] = {"slots": engine["slots"], "kv-capacity": 444995, "kv-bytes": 18432, "link-mbps": 370000.0, "moves": True, "backups": True,
                           "stride": engine["stride"], "most": 12, "pin-ms": 4000.0, "hold-ms": 2000.0, "handle-ttl-s": 5.0, "models": [{"name": "m"}]}
    return value


class Record:
    """record.txt of a case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = now()

    def write(self, text):
        self.file.write("%8.3f %s\n" % (now() - self.start, text))

    def say(self, text):
        self.write(text)
        print(text, flush=True)


def run_case(folder, case, trouble, limit_s=115):
    """Runs `case(record, trouble, temporary_folder)`, which returns what broke the rule, and ends the process with the case's status."""
    record = Record(folder)
    broken = None
    # The stand-ins hold their ends of all connections in this process.
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    descriptors = NEEDED_DESCRIPTORS if most == resource.RLIM_INFINITY else min(most, NEEDED_DESCRIPTORS)
    resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, most))

    async def main():
        # A script that is told to stop ends its daemons too.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        with tempfile.TemporaryDirectory() as temporary:
            return await asyncio.wait_for(case(record, trouble, temporary), limit_s)

    try:
        broken = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as error:  # Whatever the stand-ins stumble over says nothing about the rule.
        record.say("the case could not run: %s %s" % (type(error).__name__, error))
        sys.exit(2)
    finally:
        record.file.flush()
    for text in broken:
        record.say("BROKEN " + text)
    record.say("%d findings, trouble=%d" % (len(broken), trouble))
    record.file.close()
    sys.exit(1 if broken else 0)
