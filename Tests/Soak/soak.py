#!/usr/bin/env python3
"""Randomized soak test: runs real daemons under injected faults and checks the documented guarantees throughout.

usage: soak.py BINARY [--seed N] [--seconds S] [--daemons N] [--callers N] [--keep FOLDER] [--untimed]
Every fourth seed schedules planned work only (stops, reloads and configuration changes), during which no request may be interrupted.
Exit codes: 0 all guarantees held, 1 at least one was violated, 2 invalid arguments.
"""

import argparse
import asyncio
import os
import random
import shutil
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

import aiohttp

from callers import Caller
from endpoints import Endpoint
from faults import FaultSchedule
from fleet import ZONES, Fleet
from operator_api import Operator
from invariants import InvariantChecker
from store import Store

BUDGETS = {"ample": 3_000_000, "middling": 60_000, "scarce": 4_000}
PLANNED_ONLY_EVERY = 4
RECOVERY_SETTLE_S = 5.0
RECOVERY_REQUESTS = 80
# The RECOVER rule fails if a smaller share of the requests is served after the faults.
MIN_RECOVERY_RATIO = 0.25


async def check_recovery(callers, operator, fleet, checker, rng):
    """Checks that requests are served again once the faults have ended and the budget is sufficient."""
    await operator.top_up(rng, "ample", 1_000_000)
    checker.keys["ample"] = list(operator.keys["ample"])
    await asyncio.sleep(RECOVERY_SETTLE_S)
    served = 0
    async with aiohttp.ClientSession() as session:
        for number in range(RECOVERY_REQUESTS):
            caller = callers[number % len(callers)]
            caller.session = session
            caller.daemon = fleet.daemons[number % len(fleet.daemons)]
            request = await caller.call("ample")
            served += request.status == 200 and request.outcome == "answered"
    print("served after recovery: %d of %d" % (served, RECOVERY_REQUESTS))
    if served < MIN_RECOVERY_RATIO * RECOVERY_REQUESTS:
        checker.fail("RECOVER", "%d of %d requests were served after the faults" % (served, RECOVERY_REQUESTS))


async def run(arguments, folder):
    rng = random.Random(arguments.seed)
    only_planned = arguments.seed % PLANNED_ONLY_EVERY == 0
    checker = InvariantChecker(arguments.untimed)
    store = Store(random.Random(rng.random()))
    await store.start()
    operator = Operator(store, checker, BUDGETS)
    await operator.write()
    endpoints = [Endpoint("engine-%d" % number, "engines", ZONES[number % 2], 16, store, checker, random.Random(rng.random())) for number in range(4)]
    # Two software versions from the start.
    engine_versions = ("v1", "v1", "v2", "v2")
    for endpoint, version in zip(endpoints, engine_versions):
        endpoint.version = version
    endpoints += [Endpoint("desk-%d" % number, "desk", ZONES[number % 2], 8, store, checker, random.Random(rng.random())) for number in range(3)]
    for endpoint in endpoints:
        await endpoint.start()
    fleet = Fleet(arguments.daemons, arguments.binary, folder, store.port, checker)
    fleet.only_planned_work = only_planned
    callers = [Caller(number, fleet, checker, random.Random(rng.random())) for number in range(arguments.callers)]
    exit_watcher = None
    try:
        await fleet.start()
        exit_watcher = asyncio.get_running_loop().create_task(fleet.watch_exits())
        tasks = [asyncio.get_running_loop().create_task(caller.run()) for caller in callers]
        await FaultSchedule(fleet, store, endpoints, checker, operator, rng, only_planned).run(arguments.seconds)
        for caller in callers:
            caller.stopping = True
        await asyncio.gather(*tasks)
        await check_recovery(callers, operator, fleet, checker, rng)
    finally:
        if exit_watcher:
            exit_watcher.cancel()
        await fleet.stop()
        for endpoint in endpoints:
            await endpoint.stop()
        await store.stop()
    return checker


def main():
    parser = argparse.ArgumentParser(usage=__doc__)
    parser.add_argument("binary")
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--daemons", type=int, default=4)
    parser.add_argument("--callers", type=int, default=16)
    parser.add_argument("--keep", default=None,
                        help="folder for the daemons' logs; by default a temporary folder, kept only if a guarantee was violated")
    parser.add_argument("--untimed", action="store_true", help="report violations of rules with a time bound without failing")
    arguments = parser.parse_args()
    if arguments.seed is None:
        arguments.seed = random.SystemRandom().randrange(1 << 32)
    folder = arguments.keep or tempfile.mkdtemp(prefix="jujuberelay-soak-")
    os.makedirs(folder, exist_ok=True)
    started = time.monotonic()
    print("seed %d" % arguments.seed, flush=True)
    checker = asyncio.run(run(arguments, folder))
    for name, count in sorted(checker.counts.items()):
        print("%6d %s" % (count, name))
    for workspace, budget in checker.budgets.items():
        print("%s: %d of %d tokens" % (workspace, checker.consumed[workspace], budget))
    print("seed %d: %d requests in %.0f s, %d promises broken%s" % (
        arguments.seed, len(checker.requests), time.monotonic() - started, len(checker.broken), "; logs in " + folder if checker.broken else ""))
    if not checker.broken and not arguments.keep:
        shutil.rmtree(folder)
    return 1 if checker.broken else 0


if __name__ == "__main__":
    sys.exit(main())
