"""Seeded schedule of overlapping faults and planned work."""

import asyncio
import signal
import time

import wire


class FaultSchedule:
    def __init__(self, fleet, store, endpoints, checker, operator, random, only_planned):
        self.fleet = fleet
        self.store = store
        self.endpoints = endpoints
        self.checker = checker
        self.operator = operator
        self.random = random
        self.only_planned = only_planned
        self.releases = 1  # The engines of the second version serve from the start.
        self.tasks = set()
        self.busy = set()  # Daemons and endpoints that an action in progress has claimed.

    async def run(self, seconds):
        planned = [self.terminate, self.reload, self.add_route, self.remove_route, self.revoke, self.add_key, self.top_up, self.drain_endpoint,
                   self.release]
        unplanned = [self.kill, self.kill_all, self.pause, self.fail_store_calls, self.slow_store, self.lose_store_replies, self.drop_history,
                     self.disturb_store_link, self.disturb_caller_link, self.crash_endpoint, self.fail_answers, self.hang_endpoint]
        kinds = planned if self.only_planned else planned + unplanned
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for _ in range(self.random.choice([1, 1, 1, 2, 3])):
                kind = self.random.choice(kinds)
                if kind == self.kill_all and self.random.random() < 0.7:
                    continue
                print("%.1f s remaining: %s" % (end - time.monotonic(), kind.__name__), flush=True)
                self.start_task(kind())
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
        while self.tasks:
            await asyncio.gather(*self.tasks)

    def start_task(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def random_duration(self, maximum=5.0):
        return self.random.uniform(0.2, maximum)

    def choose_idle(self, candidates):
        free = [candidate for candidate in candidates if candidate not in self.busy]
        return self.random.choice(free) if len(free) > 1 else None

    def mark_all_daemons_faulty(self, seconds):
        for daemon in self.fleet.daemons:
            self.checker.record_fault(daemon.name, time.monotonic() + seconds)

    async def with_idle_daemon(self, work):
        daemon = self.choose_idle(self.fleet.daemons)
        if daemon:
            self.busy.add(daemon)
            try:
                await work(daemon)
            finally:
                self.busy.discard(daemon)

    # Planned work.

    async def terminate(self):
        await self.with_idle_daemon(self.fleet.terminate)

    async def reload(self):
        self.random.choice(self.fleet.daemons).signal(signal.SIGHUP)

    async def add_route(self):
        await self.operator.set_added_route(True)

    async def remove_route(self):
        await self.operator.set_added_route(False)

    async def revoke(self):
        await self.operator.revoke(self.random)

    async def add_key(self):
        await self.operator.add_key(self.random)

    async def top_up(self):
        await self.operator.top_up(self.random)

    async def drain_endpoint(self):
        endpoint = self.choose_idle([each for each in self.endpoints if each.service == "engines"])
        if endpoint:
            self.busy.add(endpoint)
            await endpoint.drain()
            await endpoint.start()
            self.busy.discard(endpoint)

    async def release(self):
        """Replaces some engines by endpoints of a newer software version."""
        self.releases += 1
        engines = [each for each in self.endpoints if each.service == "engines"]
        gap_s = self.random.choice([0.0, 0.1, 0.5])
        for engine in self.random.sample(engines, self.random.randint(1, len(engines) - 1)):
            if engine in self.busy:
                continue
            self.busy.add(engine)
            self.start_task(self.replace_engine(engine, "v%d" % (self.releases + 1)))
            await asyncio.sleep(gap_s)

    async def replace_engine(self, engine, version):
        await engine.drain()
        engine.version = version
        await engine.start()
        self.busy.discard(engine)

    # Faults.

    async def kill(self):
        async def work(daemon):
            self.checker.record_fault(daemon.name, time.monotonic() + 3)
            await self.fleet.kill(daemon, self.random_duration(2))
            self.checker.record_fault(daemon.name, time.monotonic() + 1)
        await self.with_idle_daemon(work)

    async def kill_all(self):
        self.mark_all_daemons_faulty(4)
        free = [daemon for daemon in self.fleet.daemons if daemon not in self.busy]
        self.busy |= set(free)
        await asyncio.gather(*(self.fleet.kill(daemon, 1) for daemon in free))
        self.busy -= set(free)
        self.mark_all_daemons_faulty(1)

    async def pause(self):
        async def work(daemon):
            seconds = self.random_duration()
            self.checker.record_fault(daemon.name, time.monotonic() + seconds + 0.5)
            daemon.signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            daemon.signal(signal.SIGCONT)
        await self.with_idle_daemon(work)

    async def inject_store_fault(self, name, value):
        seconds = self.random_duration()
        self.mark_all_daemons_faulty(seconds + 0.5)
        if not self.store.fault.active:
            setattr(self.store.fault, name, value)
            await asyncio.sleep(seconds)
            setattr(self.store.fault, name, type(value)(0) if not isinstance(value, int) else None)

    async def fail_store_calls(self):
        await self.inject_store_fault("status", self.random.choice([429, 503]))

    async def slow_store(self):
        await self.inject_store_fault("delay_s", self.random.uniform(0.1, 0.8))

    async def lose_store_replies(self):
        await self.inject_store_fault(self.random.choice(["lost_reply_probability", "late_write_probability"]), self.random.uniform(0.1, 0.6))

    async def drop_history(self):
        self.mark_all_daemons_faulty(0.5)
        await self.store.drop_history()

    async def inject_link_fault(self, proxy, daemon):
        seconds = self.random_duration()
        self.checker.record_fault(daemon.name, time.monotonic() + seconds + 0.5)
        mode = self.random.choice(["delay", "reset", "up", "down", "silence", "refuse"])
        if mode == "delay":
            proxy.delay_s = self.random.uniform(0.02, 0.4)
        elif mode in ("up", "down"):
            proxy.blocked_directions = {mode}
        elif mode == "silence":
            proxy.blocked_directions = {"up", "down"}
        else:
            proxy.refuse_connections = mode == "refuse"
            proxy.reset_all()
        await asyncio.sleep(seconds)
        proxy.clear_faults()

    async def disturb_store_link(self):
        async def work(daemon):
            await self.inject_link_fault(daemon.store_proxy, daemon)
        await self.with_idle_daemon(work)

    async def disturb_caller_link(self):
        async def work(daemon):
            await self.inject_link_fault(daemon.caller_proxy, daemon)
        await self.with_idle_daemon(work)

    async def crash_endpoint(self):
        endpoint = self.choose_idle(self.endpoints)
        if endpoint:
            self.busy.add(endpoint)
            await endpoint.crash()
            await endpoint.start()
            self.busy.discard(endpoint)

    async def fail_answers(self):
        endpoint = self.random.choice(self.endpoints)
        endpoint.failure_probability = self.random.uniform(0.05, 0.5)
        await asyncio.sleep(self.random_duration())
        endpoint.failure_probability = 0.0

    async def hang_endpoint(self):
        endpoint = self.random.choice(self.endpoints)
        endpoint.hanging = True
        await asyncio.sleep(self.random_duration(3))
        endpoint.hanging = False
