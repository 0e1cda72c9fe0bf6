"""One request names 2^63 - 1 as the maximum number of its output tokens, as a client does for which this stands for "no limit"."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from standins import BOUNDS, Client, Fleet, Record, Server, Store, now, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("qc-est-a", "qc-est-b", "qc-est-c")
HOST = "ficu95.example"
PATH = "/lohu930/2f"
TENANT = "hule930"
KEY = "n2ctnfzs989anu6wsjnb"
DAEMONS = 4
CLIENTS = 10
SECONDS = 30
RESERVED = 200_000
PROMPT_TOKENS = 400
MAX_OUTPUT_TOKENS = 100
TOKENS_PER_EVENT = 7
EVENTS = 10
EVENT_GAP_S = 0.01
# The tenant's other requests begin after it.
OTHERS_AFTER_S = 0.5
ODD_MAX_OUTPUT_TOKENS = 2**63 - 1


class Engine(Server):
    # Prompt tokens of each request that has run.
    runs = {}

    async def serve(self, request, writer):
        attempt = request.get("X-Attempt-Id")
        prompt_tokens = int(request.get("X-Token-Counts").split(",")[0])
        self.record.write("arrived", server=self.id, request=attempt, tenant=request.get("X-Tenant"), tokens=request.get("X-Token-Counts"))
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s\r\nTransfer-Encoding: chunked\r\n\r\n" % (
            attempt, self.seal(request))
        writer.write(head.encode())
        Engine.runs[attempt] = prompt_tokens
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(EVENT_GAP_S)
            event = ("id: %d\ndata: %s-%d\n\n" % (number, attempt, number)).encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        self.record.write("ran", server=self.id, request=attempt)


class Results:
    def __init__(self):
        self.delivered_events = 0
        self.statuses = {}
        self.consumed_at = []

    def consumed(self):
        return sum(Engine.runs.values()) + self.delivered_events * TOKENS_PER_EVENT


async def send(connection, record, results, max_output_tokens):
    attempt = "%016x" % random.getrandbits(64)
    headers = {"Host": HOST, "X-Attempt-Id": attempt, "X-Model": "m", "X-Token-Counts": "%d,%d" % (PROMPT_TOKENS, max_output_tokens), "X-Deadline-Ms": "5000",
               "X-Prompt-Prefix": "5c1e07a2:119,%s:281" % attempt[:8], "Authorization": "Bearer " + KEY}
    record.write("sent", request=attempt, daemon=connection.daemon.name, tokens=headers["X-Token-Counts"])
    answer = await connection.send("POST", PATH, headers, b"prompt", 6)
    events = answer.body.count(b"id: ")
    record.write("answered", request=attempt, status=answer.status, events=events, complete=int(answer.complete), failure=answer.failure or "-")
    results.delivered_events += events
    results.statuses[answer.status] = results.statuses.get(answer.status, 0) + 1
    return answer


async def client(fleet, record, results, end):
    await asyncio.sleep(OTHERS_AFTER_S)
    connection = None
    while now() < end:
        if connection is None or random.random() < 0.1:
            if connection:
                connection.close()
            connection = Client(random.choice(fleet.daemons))
        answer = await send(connection, record, results, MAX_OUTPUT_TOKENS)
        await asyncio.sleep(random.uniform(0.05, 0.15) if answer.status == 200 else 0.25)
    if connection:
        connection.close()


async def report_consumption(results, end):
    while now() < end:
        print("%5.1f s: consumed %d of %d tokens" % (now(), results.consumed(), RESERVED))
        await asyncio.sleep(5)


async def send_odd_request(fleet, record, results):
    if TROUBLE:
        connection = Client(fleet.daemons[0])
        answer = await send(connection, record, results, ODD_MAX_OUTPUT_TOKENS)
        print("the request with a maximum of %d output tokens was answered with status %s" % (ODD_MAX_OUTPUT_TOKENS, answer.status))
        connection.close()


async def case():
    record = Record(HERE)
    store = Store()
    await store.listen()
    await store.put("config", "main", {
        "version": 7,
        "routes": [{"name": "r-2yhvz3p", "host": HOST, "path-prefix": "/lohu930/", "route-kind": "streaming", "timeout-ms": 12000, "goal-ms": 1200,
                    "priority": 1, "service": "huvo11a", "attempts": 2, "public": False, "sticky": True, "resumable": True, "tpot-target-ms": 800}],
        "services": [{"name": "huvo11a", "health-path": "/healthz", "max-conns": 370, "protocol": "h1", "tls": False,
                      "engine": {"slots": 64, "kv-capacity": 444995, "stride": TOKENS_PER_EVENT, "models": [{"name": "m"}]}}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [{"name": TENANT, "api-keys": [KEY], "priority": 1, "reserved": RESERVED}]})
    for number in range(3):
        await Engine(store, record, "huvo11a", ZONES[number], 64).start()
    fleet = Fleet(DAEMONS, store, ZONES, BOUNDS)
    results = Results()
    try:
        if not await fleet.start():
            print("the daemons did not become ready")
            return None
        await asyncio.sleep(2)
        end = now() + SECONDS
        await asyncio.gather(report_consumption(results, end), send_odd_request(fleet, record, results),
                             *(client(fleet, record, results, end) for _ in range(CLIENTS)))
        if not all(daemon.running() for daemon in fleet.daemons):
            print("a daemon has ended")
            return True
    finally:
        await fleet.stop()
    for name, item in sorted(store.kinds.get("relay-ledgers", {}).items()):
        record.write("ledger", name=name, spec=item["spec"])
    for status, count in sorted(results.statuses.items(), key=str):
        print("status %s: %d answers" % (status, count))
    print("the tenant has consumed %d tokens of %d" % (results.consumed(), RESERVED))
    if results.consumed() < RESERVED / 2:
        return None
    return results.consumed() > RESERVED


run_case(case())
