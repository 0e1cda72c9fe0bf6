"""The schedule of faults and planned work: a seeded series whose parts overlap."""

import asyncio
import signal
import time

import wire


class Schedule:
    def __init__(self, fleet, store, endpoints, promises, operator, random, only_planned):
        self.fleet = fleet
        self.store = store
        self.endpoints = endpoints
        self.promises = promises
        self.operator = operator
        self.random = random
        self.only_planned = only_planned
        self.tasks = set()
        self.busy = set()  # Daemons and endpoints with work of their own in progress.

    async def run(self, seconds):
        planned = [self.terminate, self.hang_up, self.add_route, self.drop_route, self.revoke, self.add_key, self.top_up, self.leave]
        unplanned = [self.kill, self.kill_all, self.pause, self.store_status, self.store_slow, self.store_loses, self.drop_history,
                     self.cut_from_store, self.cut_from_callers, self.crash_endpoint, self.spoil_answers, self.hang_endpoint]
        kinds = planned if self.only_planned else planned + unplanned
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for _ in range(self.random.choice([1, 1, 1, 2, 3])):
                kind = self.random.choice(kinds)
                if kind == self.kill_all and self.random.random() < 0.7:
                    continue
                print("%.1f s before the end: %s" % (end - time.monotonic(), kind.__name__), flush=True)
                self.spawn(kind())
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
        await asyncio.gather(*self.tasks)

    def spawn(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def span(self, most=5.0):
        return self.random.uniform(0.2, most)

    def pick(self, things):
        free = [thing for thing in things if thing not in self.busy]
        return self.random.choice(free) if len(free) > 1 else None

    def all_faulty(self, seconds):
        for daemon in self.fleet.daemons:
            self.promises.fault(daemon.name, time.monotonic() + seconds)

    async def with_daemon(self, work):
        daemon = self.pick(self.fleet.daemons)
        if daemon:
            self.busy.add(daemon)
            try:
                await work(daemon)
            finally:
                self.busy.discard(daemon)

    # Planned work.

    async def terminate(self):
        await self.with_daemon(self.fleet.terminate)

    async def hang_up(self):
        self.random.choice(self.fleet.daemons).signal(signal.SIGHUP)

    async def add_route(self):
        await self.operator.set_added_route(True)

    async def drop_route(self):
        await self.operator.set_added_route(False)

    async def revoke(self):
        await self.operator.revoke(self.random)

    async def add_key(self):
        await self.operator.add_key(self.random)

    async def top_up(self):
        await self.operator.top_up(self.random)

    async def leave(self):
        endpoint = self.pick([each for each in self.endpoints if each.service == "engines"])
        if endpoint:
            self.busy.add(endpoint)
            await endpoint.leave()
            await endpoint.start()
            self.busy.discard(endpoint)

    # Faults.

    async def kill(self):
        async def work(daemon):
            self.promises.fault(daemon.name, time.monotonic() + 3)
            await self.fleet.kill(daemon, self.span(2))
            self.promises.fault(daemon.name, time.monotonic() + 1)
        await self.with_daemon(work)

    async def kill_all(self):
        self.all_faulty(4)
        free = [daemon for daemon in self.fleet.daemons if daemon not in self.busy]
        self.busy |= set(free)
        await asyncio.gather(*(self.fleet.kill(daemon, 1) for daemon in free))
        self.busy -= set(free)
        self.all_faulty(1)

    async def pause(self):
        async def work(daemon):
            seconds = self.span()
            self.promises.fault(daemon.name, time.monotonic() + seconds + 0.5)
            daemon.signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            daemon.signal(signal.SIGCONT)
        await self.with_daemon(work)

    async def store_fault(self, name, value):
        seconds = self.span()
        self.all_faulty(seconds + 0.5)
        if not self.store.fault.active:
            setattr(self.store.fault, name, value)
            await asyncio.sleep(seconds)
            setattr(self.store.fault, name, type(value)(0) if not isinstance(value, int) else None)

    async def store_status(self):
        await self.store_fault("status", self.random.choice([429, 503]))

    async def store_slow(self):
        await self.store_fault("delay_s", self.random.uniform(0.1, 0.8))

    async def store_loses(self):
        await self.store_fault(self.random.choice(["lose_share", "late_share"]), self.random.uniform(0.1, 0.6))

    async def drop_history(self):
        self.all_faulty(0.5)
        await self.store.drop_history()

    async def through_proxy(self, proxy, daemon):
        seconds = self.span()
        self.promises.fault(daemon.name, time.monotonic() + seconds + 0.5)
        how = self.random.choice(["delay", "reset", "up", "down", "silence", "refuse"])
        if how == "delay":
            proxy.delay_s = self.random.uniform(0.02, 0.4)
        elif how in ("up", "down"):
            proxy.blocked = {how}
        elif how == "silence":
            proxy.blocked = {"up", "down"}
        else:
            proxy.refusing = how == "refuse"
            proxy.reset_all()
        await asyncio.sleep(seconds)
        proxy.heal()

    async def cut_from_store(self):
        async def work(daemon):
            await self.through_proxy(daemon.store_proxy, daemon)
        await self.with_daemon(work)

    async def cut_from_callers(self):
        async def work(daemon):
            await self.through_proxy(daemon.caller_proxy, daemon)
        await self.with_daemon(work)

    async def crash_endpoint(self):
        endpoint = self.pick(self.endpoints)
        if endpoint:
            self.busy.add(endpoint)
            await endpoint.crash()
            await endpoint.start()
            self.busy.discard(endpoint)

    async def spoil_answers(self):
        endpoint = self.random.choice(self.endpoints)
        endpoint.fail_share = self.random.uniform(0.05, 0.5)
        await asyncio.sleep(self.span())
        endpoint.fail_share = 0.0

    async def hang_endpoint(self):
        endpoint = self.random.choice(self.endpoints)
        endpoint.hang = True
        await asyncio.sleep(self.span(3))
        endpoint.hang = False
