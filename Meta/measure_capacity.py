#!/usr/bin/env python3
"""Measures how processor time, memory, platform calls and control traffic of a daemon scale.

usage: measure_capacity.py <folder with the binaries> fleet|memory

fleet:  3, 6 and 12 daemons, idle and under load: processor time, platform calls, bytes on the links between daemons
memory: 3 daemons: resident memory for each budget, endpoint, open stream and unflushed bill

Each part takes less than a minute on an idle machine. Link bytes are the kernel's TCP counters for the connections to the
daemons' peer ports.
"""

import json
import os
import re
import subprocess
import sys
import time

from fleet import CALLER_KEY, Fleet, request
from measure_hop import processor_seconds

SHARDS = 16
SETTLE_S = 2
IDLE_S = 5
LOAD_REQUESTS = 600
ENGINE_FLAGS = ["--time_per_token_us=5000", "--prefill_ms_per_1000_tokens=0", "--slots=1000", "--queue_limit=5000"]
READS = ("get", "list", "watch", "hosts")
WRITES = ("put", "remove")


def resident_kib(process):
    with open("/proc/%d/status" % process.child.pid) as status:
        return int(re.search(r"VmRSS:\s+(\d+)", status.read()).group(1))


def mean_resident_kib(fleet):
    return sum(resident_kib(fleet.daemon(number)) for number in fleet.daemon_numbers) / len(fleet.daemon_numbers)


def link_bytes(fleet):
    """Returns the bytes in both directions of all links between daemons. Counts each link once, at its accepting end."""
    total = 0
    for number in fleet.daemon_numbers:
        port = fleet.daemon(number).address("peer").rsplit(":", 1)[1]
        report = subprocess.run(["ss", "-Htin", "sport = :" + port], capture_output=True, timeout=10).stdout.decode()
        total += sum(int(count) for count in re.findall(r"bytes_(?:sent|received):(\d+)", report))
    return total


class CounterSnapshot:
    """A snapshot of the counters of a fleet."""

    def __init__(self, fleet):
        self.taken_at_s = time.monotonic()
        self.processor = sum(processor_seconds(fleet.daemon(number)) for number in fleet.daemon_numbers)
        self.platform = json.loads(request(fleet.platform(), "GET", "/control/counters")[2])
        self.links = link_bytes(fleet)

    def calls(self, earlier, kinds):
        return sum(self.platform[kind] - earlier.platform[kind] for kind in kinds)


def run_load(fleet, count, tokens, concurrency, wait=True):
    command = [os.path.join(fleet.binaries, "jujuberelay"), "load", "--output=json", "--keys=" + CALLER_KEY, "--load_model=quote",
               "--targets=" + ",".join(fleet.caller(number) for number in fleet.daemon_numbers),
               "--count=%d" % count, "--concurrency=%d" % concurrency, "--max_tokens=%d" % tokens]
    child = subprocess.Popen(command, stdout=subprocess.PIPE)
    if not wait:
        return child
    report = json.loads(child.communicate(timeout=50)[0])
    if report["complete"] != count:
        raise RuntimeError("load completed %d of %d requests: %s" % (report["complete"], count, report))
    return report


def print_fleet_row(daemons, state, before, after, requests, events):
    seconds = after.taken_at_s - before.taken_at_s
    print("%7d %-5s %8.1f %8.1f %10.2f %10.2f %10.2f %12.0f" % (
        daemons, state, requests / seconds, events / seconds, 100 * (after.processor - before.processor) / seconds / daemons,
        after.calls(before, WRITES) / seconds, after.calls(before, READS) / seconds, (after.links - before.links) / seconds / daemons), flush=True)


def measure_fleet(binaries):
    print("daemons state  requests/s events/s  %core/daemon  writes/s   reads/s  link B/s/daemon")
    for daemons in (3, 6, 12):
        settings = {"fault_switches": "false", "shard_count": SHARDS}
        with Fleet(binaries, daemons=daemons, services=0, engine_flags=ENGINE_FLAGS, settings=settings) as fleet:
            fleet.configure(tokens=2000000000)
            run_load(fleet, 30 * daemons, 8, 30)
            time.sleep(SETTLE_S)
            before = CounterSnapshot(fleet)
            time.sleep(IDLE_S)
            after = CounterSnapshot(fleet)
            print_fleet_row(daemons, "idle", before, after, 0, 0)
            before = after
            report = run_load(fleet, LOAD_REQUESTS, 64, 50)
            print_fleet_row(daemons, "load", before, CounterSnapshot(fleet), LOAD_REQUESTS, report["completion_tokens"])


def budgets_note(generation, first, count):
    lines = ["note:", "  from_generation: %d" % generation, "  author: measure", "  reason: memory for each budget", "added:", "  budgets:"]
    for number in range(first, first + count):
        lines += ["    - workspace: satchel-orders", "      name: budget-%d" % number]
    lines.append("  top_ups:")
    for number in range(first, first + count):
        lines += ["    - id: top-up-%d" % number, "      workspace: satchel-orders", "      budget: budget-%d" % number, "      tokens: 1000"]
    return "\n".join(lines) + "\n"


def endpoints_note(fleet, generation, count):
    lines = ["note:", "  from_generation: %d" % generation, "  author: measure", "  reason: memory for each endpoint", "added:", "  models:",
             "    - name: unused", "      max_output_tokens: 256", "      bytes_per_token: 4", "  endpoints:"]
    address = fleet.processes[fleet.engine_names[0]].address()
    for number in range(count):
        lines += ["    - name: extra-%d" % number, "      kind: engine", "      address: " + address,
                  "      failure_domain: domain-%d" % (number % 3 + 1), "      models: [unused]"]
    return "\n".join(lines) + "\n"


def print_memory_row(what, count, before, after):
    print("%-34s %8d %10.0f KiB %10.0f KiB %10.0f B each" % (what, count, before, after, (after - before) * 1024 / count), flush=True)


def apply_note(fleet, text):
    status, output, errors = fleet.apply(text)
    if status != 0:
        raise RuntimeError("note apply exited with status %d: %s %s" % (status, output, errors))


def measure_memory(binaries):
    settings = {"fault_switches": "false", "shard_count": SHARDS}
    with Fleet(binaries, services=0, engine_flags=ENGINE_FLAGS, settings=settings) as fleet:
        fleet.configure(tokens=2000000000)
        run_load(fleet, 300, 8, 50)
        time.sleep(SETTLE_S)
        print("resident memory, mean of 3 daemons      count     before          after")
        # Notes are applied last: parsing them leaves free heap pages, which would hide later allocations.
        before = mean_resident_kib(fleet)
        child = run_load(fleet, 1500, 200, 1500, wait=False)
        time.sleep(1.5)
        after = mean_resident_kib(fleet)
        child.communicate(timeout=40)
        print_memory_row("open stream of a daemon", 500, before, after)
        time.sleep(SETTLE_S)
        before = mean_resident_kib(fleet)
        fleet.platform_faults(outage_ms=15000)
        report = run_load(fleet, 6000, 1, 50)
        after = mean_resident_kib(fleet)
        # Each daemon owns a third of the bills and keeps copies of another third.
        print_memory_row("bill of a daemon, and its copy", 2000, before, after)
        print("the bills took %.1f s of the platform's outage of 15 s" % report["seconds"])
        fleet.platform_faults(outage_ms=0)
        time.sleep(SETTLE_S)
        resident = []
        for note in range(4):
            apply_note(fleet, budgets_note(1 + note, 2000 * note, 2000))
            time.sleep(SETTLE_S)
            resident.append(mean_resident_kib(fleet))
        # Excludes the first two notes, whose growth includes the heap of the parser.
        print_memory_row("budget with one top-up", 4000, resident[1], resident[3])
        apply_note(fleet, endpoints_note(fleet, 5, 1000))
        time.sleep(SETTLE_S)
        print_memory_row("endpoint", 1000, resident[3], mean_resident_kib(fleet))


PARTS = {"fleet": measure_fleet, "memory": measure_memory}

if __name__ == "__main__":
    if len(sys.argv) != 3 or sys.argv[2] not in PARTS:
        sys.exit(__doc__)
    PARTS[sys.argv[2]](sys.argv[1])
