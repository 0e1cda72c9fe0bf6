"""Runs daemons as real processes, each with one proxy for its callers and one for its store connections."""

import asyncio
import os
import random
import signal
import socket
import time

import wire
from proxy import Proxy

ZONES = ("zone-a", "zone-b")
STOP_LIMIT_S = 8
START_LIMIT_S = 10


# Ports of this run, also those that no daemon listens at yet.
assigned_ports = set()


def free_ports(count):
    """Returns free ports outside the kernel's ephemeral range, so that no outgoing connection takes them."""
    ports = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(10_000, 30_000)
        if port in assigned_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        assigned_ports.add(port)
        ports.append(port)
    return ports


class Daemon:
    def __init__(self, number, binary, folder, store_port):
        self.name = "host-%d" % number
        self.binary = binary
        self.folder = folder
        self.caller_port, self.ready_port, self.metrics_port, self.peer_port = free_ports(4)
        self.caller_proxy = Proxy(self.caller_port)
        self.store_proxy = Proxy(store_port)
        self.settings = os.path.join(folder, self.name + ".yaml")
        self.zone = ZONES[number % len(ZONES)]
        self.process = None
        self.paused = False
        self.exit_expected = False
        self.stopping_since = None
        self.watcher = None
        self.more_settings = ""
        # Runs in the new process before the daemon does, for example to lower its limits.
        self.before_exec = None

    async def prepare(self):
        await self.caller_proxy.start()
        await self.store_proxy.start()
        with open(self.settings, "w") as file:
            file.write("host: %s\nfailure_domain: %s\ncaller_address: 127.0.0.1:%d\nreadiness_address: 127.0.0.1:%d\nmetrics_address: 127.0.0.1:%d\n"
                       "store_address: 127.0.0.1:%d\npeer_address: 127.0.0.1:%d\npeer_key: soak\nstop_limit_s: %d\n" % (
                           self.name, self.zone, self.caller_port, self.ready_port, self.metrics_port, self.store_proxy.port, self.peer_port, STOP_LIMIT_S) + self.more_settings)

    async def start(self):
        with open(os.path.join(self.folder, self.name + ".log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(self.binary, "--relay", "--settings=" + self.settings, stdout=log, stderr=log,
                                                                preexec_fn=self.before_exec)
        # Cleared only after the new process exists: until then watch_exits() sees the previous process, whose exit was expected.
        self.exit_expected = False
        self.stopping_since = None

    def signal(self, number):
        if self.process and self.process.returncode is None:
            os.kill(self.process.pid, number)

    @property
    def is_running(self):
        return self.process is not None and self.process.returncode is None

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", self.ready_port), 1)
            writer.write(("GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" % wire.READY).encode())
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.transport.abort()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


class Fleet:
    def __init__(self, count, binary, folder, store_port, checker):
        self.daemons = [Daemon(number, binary, folder, store_port) for number in range(count)]
        self.checker = checker
        # True if the schedule has planned work only. Only then do an interrupted request and a failed stop count as violations.
        self.only_planned_work = False

    async def start(self):
        for daemon in self.daemons:
            await daemon.prepare()
            await daemon.start()
        end = time.monotonic() + START_LIMIT_S
        for daemon in self.daemons:
            while not await daemon.is_ready():
                if time.monotonic() > end:
                    self.checker.fail("START", daemon.name + " was not ready within %d s" % START_LIMIT_S)
                    return
                await asyncio.sleep(0.1)

    def daemons_in_rotation(self):
        """Models the load balancer: a stopping daemon gets no new connections after 2 s."""
        now = time.monotonic()
        serving = [daemon for daemon in self.daemons if daemon.is_running and not (daemon.stopping_since and now - daemon.stopping_since > 2)]
        return serving or self.daemons

    def request_interrupted(self, request, how):
        daemon = next(each for each in self.daemons if each.name == request.daemon)
        if self.only_planned_work and request.runs:
            self.checker.fail("LOST", "%s was interrupted (%s) after it had run, at %s (stopping: %s)" % (
                request.id, how, daemon.name, bool(daemon.stopping_since)))

    async def terminate(self, daemon):
        """Stops and restarts the daemon as planned work; it must finish its requests and exit with status 0."""
        daemon.exit_expected = True
        daemon.stopping_since = time.monotonic()
        daemon.signal(signal.SIGTERM)
        process = daemon.process
        try:
            status = await asyncio.wait_for(process.wait(), STOP_LIMIT_S + 1)
        except asyncio.TimeoutError:
            status = None
            daemon.signal(signal.SIGCONT)
            daemon.signal(signal.SIGKILL)
            await process.wait()
        if self.only_planned_work and status != 0:
            self.checker.fail("STOP", "%s exited with status %s" % (daemon.name, status))
        await daemon.start()

    async def kill(self, daemon, down_s):
        daemon.exit_expected = True
        daemon.signal(signal.SIGKILL)
        if daemon.process:
            await daemon.process.wait()
        await asyncio.sleep(down_s)
        if not daemon.is_running:
            await daemon.start()

    async def watch_exits(self):
        """Reports and restarts daemons that exit without having been told to."""
        while True:
            for daemon in self.daemons:
                if daemon.process and daemon.process.returncode is not None and not daemon.exit_expected:
                    self.checker.fail("EXIT", "%s exited unexpectedly with status %d" % (daemon.name, daemon.process.returncode))
                    await daemon.start()
            await asyncio.sleep(0.2)

    async def stop(self):
        for daemon in self.daemons:
            daemon.exit_expected = True
            daemon.signal(signal.SIGCONT)
            daemon.signal(signal.SIGKILL)
            if daemon.process:
                await daemon.process.wait()
            await daemon.caller_proxy.stop()
            await daemon.store_proxy.stop()
