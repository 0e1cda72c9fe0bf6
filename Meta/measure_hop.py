#!/usr/bin/env python3
"""Measures the latency that a daemon adds and the event rate of one core. Takes less than a minute.

usage: measure_hop.py <folder with the binaries>

Latency: the same load of 100 concurrent streams is sent alternately to the engines and through one daemon. Three daemons in
three failure domains are running, so that each request includes the call to a witness. The difference of the 99th
percentiles equals the 99th percentile of the difference only if engine latency is constant, so the engines run without
prefill time and with a fixed time per token.

Throughput: engines produce events faster than the daemon can forward them. The rate is the number of events divided by the
daemon's processor time.
"""

import json
import os
import statistics
import subprocess
import sys

from fleet import CALLER_KEY, Fleet

ROUNDS = 5
STREAMS = 100
LATENCY_REQUESTS = 600
LATENCY_TOKENS = 64
THROUGHPUT_REQUESTS = 600
THROUGHPUT_TOKENS = 256
RAMP_MS = 640
MEDIAN_LIMIT_MS = 0.3
PERCENTILE_99_LIMIT_MS = 1.0
EVENTS_PER_CORE_LIMIT = 60000


def processor_seconds(process):
    """Returns the user and system time of a child process."""
    with open("/proc/%d/stat" % process.child.pid) as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def run_load(fleet, targets, are_engines, count, tokens, ramp_ms=RAMP_MS):
    """Runs the load generator and returns its report. Raises RuntimeError unless every request is completed."""
    command = [os.path.join(fleet.binaries, "jujuberelay"), "load", "--output=json", "--targets=" + ",".join(targets),
               "--keys=" + CALLER_KEY, "--load_model=quote", "--count=%d" % count, "--concurrency=%d" % STREAMS,
               "--max_tokens=%d" % tokens, "--load_ramp_ms=%d" % ramp_ms]
    if are_engines:
        command.append("--targets_are_engines")
    result = subprocess.run(command, capture_output=True, timeout=50)
    if result.returncode != 0:
        raise RuntimeError("load exited with status %d: %s%s" % (result.returncode, result.stdout.decode(), result.stderr.decode()))
    report = json.loads(result.stdout)
    if report["complete"] != count:
        raise RuntimeError("load completed %d of %d requests: %s" % (report["complete"], count, result.stdout.decode()))
    return report


def engine_addresses(fleet):
    return [fleet.processes[name].address() for name in fleet.engine_names]


def missed_suffix(is_met):
    return "" if is_met else "  MISSED"


def measure_latency(binaries):
    flags = ["--time_per_token_us=10000", "--token_jitter_percent=0", "--prefill_ms_per_1000_tokens=0", "--slots=200"]
    with Fleet(binaries, services=0, engine_flags=flags, settings={"fault_switches": "false"}) as fleet:
        fleet.configure(tokens=2000000000)
        run_load(fleet, [fleet.caller(1)], False, STREAMS, LATENCY_TOKENS)
        rounds = []
        print("first token, ms        direct p50   p99   daemon p50   p99   processor s/request")
        for _ in range(ROUNDS):
            direct = run_load(fleet, engine_addresses(fleet), True, LATENCY_REQUESTS, LATENCY_TOKENS)["first_token_ms"]
            before = processor_seconds(fleet.daemon(1))
            relayed = run_load(fleet, [fleet.caller(1)], False, LATENCY_REQUESTS, LATENCY_TOKENS)["first_token_ms"]
            used = (processor_seconds(fleet.daemon(1)) - before) / LATENCY_REQUESTS
            print("%29.3f %9.3f %9.3f %9.3f %12.6f" % (direct["p50"], direct["p99"], relayed["p50"], relayed["p99"], used), flush=True)
            rounds.append((relayed["p50"] - direct["p50"], relayed["p99"] - direct["p99"]))
    median = statistics.median(added for added, _ in rounds)
    tail = statistics.median(added for _, added in rounds)
    print("added, median of %d rounds: p50 %.3f ms (limit %.1f)%s, p99 %.3f ms (limit %.1f)%s" % (
        ROUNDS, median, MEDIAN_LIMIT_MS, missed_suffix(median < MEDIAN_LIMIT_MS), tail, PERCENTILE_99_LIMIT_MS, missed_suffix(tail < PERCENTILE_99_LIMIT_MS)))


def measure_throughput(binaries, time_per_token_us):
    flags = ["--time_per_token_us=%d" % time_per_token_us, "--prefill_ms_per_1000_tokens=0", "--slots=200"]
    with Fleet(binaries, services=0, engine_flags=flags, settings={"fault_switches": "false"}) as fleet:
        fleet.configure(tokens=2000000000)
        run_load(fleet, [fleet.caller(1)], False, STREAMS, 8)
        before = processor_seconds(fleet.daemon(1))
        report = run_load(fleet, [fleet.caller(1)], False, THROUGHPUT_REQUESTS, THROUGHPUT_TOKENS)
        used = processor_seconds(fleet.daemon(1)) - before
    events = report["completion_tokens"]
    rate = events / used
    print("events, %d us for each token: %d in %.1f s, processor time %.2f s (%.0f%% of a core): %.0f events/s on one core (limit %d)%s" % (
        time_per_token_us, events, report["seconds"], used, 100 * used / report["seconds"], rate, EVENTS_PER_CORE_LIMIT,
        missed_suffix(rate >= EVENTS_PER_CORE_LIMIT)), flush=True)


def main(binaries):
    measure_latency(binaries)
    for time_per_token_us in (5000, 0):
        measure_throughput(binaries, time_per_token_us)


if __name__ == "__main__":
    if len(sys.argv) != 2:
        sys.exit(__doc__)
    main(sys.argv[1])
