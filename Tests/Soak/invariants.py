"""Checks the documented guarantees against what callers and endpoints observe."""

import collections
import time

import endpoints
import wire

# Time after the end of a fault until the rules with a time bound apply to a daemon again.
FAULT_SETTLE_S = 3.0
CONFIGURATION_LIMIT_S = 2.0
DRAIN_LIMIT_S = 2.0
# Allowance for scheduling delays of the emulators, which share the machine with the daemons.
SCHEDULING_SLACK_S = 1.0


class Request:
    def __init__(self, request_id, path, key, workspace, prompt_tokens, max_output_tokens, body, daemon):
        self.id = request_id
        self.path = path
        self.key = key
        self.workspace = workspace
        self.prompt_tokens = prompt_tokens
        self.max_output_tokens = max_output_tokens
        self.body = body
        self.daemon = daemon
        self.sent_at = time.monotonic()
        self.runs = 0
        self.endpoints = set()
        # The client attempt that brought the stream's first event, and the software version that wrote the event.
        self.stream_id = request_id
        self.version = None
        self.events = 0
        self.events_before = 0  # Those that the caller had when it sent the request.
        self.status = None
        self.outcome = None

    def take_up(self, broken):
        """Goes on with the stream of a request that was broken off."""
        self.stream_id, self.version, self.events, self.events_before = broken.stream_id, broken.version, broken.events, broken.events

    @property
    def can_be_taken_up(self):
        is_complete = self.status == 200 and self.outcome == "answered"
        return 0 < self.events < endpoints.expected_event_count(self.stream_id) and not is_complete and self.status not in (400, 401, 402, 404)

    @property
    def repeatable(self):
        return not self.path.startswith(wire.ORDER_PATH)


class InvariantChecker:
    # Rules with a time bound; an overloaded machine can violate them without a fault in the daemons.
    TIMED = ("CONFIG", "DRAIN", "RECOVER", "START", "STOP")

    def __init__(self, untimed=False):
        self.untimed = untimed
        self.requests = {}
        self.broken = []
        self.counts = collections.Counter()
        self.budgets = {}
        self.consumed = collections.Counter()
        self.daemon_faulty_until = collections.defaultdict(float)  # Daemon name to the end time of its last fault.
        self.leaving_since = {}
        self.revoked_at = {}
        self.keys = {}

    def fail(self, rule, text):
        if self.untimed and rule in self.TIMED:
            print("ignored (--untimed): %s: %s" % (rule, text), flush=True)
            return
        self.broken.append("%s: %s" % (rule, text))
        print("BROKEN %s: %s" % (rule, text), flush=True)

    def record_fault(self, daemon, until):
        self.daemon_faulty_until[daemon] = max(self.daemon_faulty_until[daemon], until)

    def unaffected_since(self, daemon, since):
        """Returns whether the daemon's last fault ended more than FAULT_SETTLE_S before `since`."""
        return self.daemon_faulty_until[daemon] + FAULT_SETTLE_S < since

    def endpoint_leaving(self, endpoint_id):
        self.leaving_since[endpoint_id] = time.monotonic()

    def key_revoked(self, key):
        self.revoked_at[key] = time.monotonic()

    # Observations of endpoints.

    def run_started(self, request_id, endpoint, message, body):
        now = time.monotonic()
        request = self.requests.get(request_id)
        if not request:
            self.fail("UNASKED", "%s ran %s, which no caller sent" % (endpoint.id, request_id or "a request without an attempt id"))
            return
        request.runs += 1
        request.endpoints.add(endpoint.name)
        if request.runs == 1:
            self.consume(request, request.prompt_tokens)
        headers = message.headers
        if headers.get(wire.WORKSPACE) != request.workspace or "Authorization" in headers or "X-Hold" in headers:
            self.fail("UNASKED", "%s reached %s with workspace %s or with headers of the caller" % (
                request_id, endpoint.id, headers.get(wire.WORKSPACE)))
        if message.path != request.path or body != request.body:
            self.fail("UNASKED", "%s reached %s with a changed path or body" % (request_id, endpoint.id))
        if endpoint.service != ("engines" if request.path.startswith(wire.STREAM_PATH) else "desk"):
            self.fail("ROUTE", "%s ran at service %s" % (request_id, endpoint.service))
        if request.runs > 1 and not request.repeatable:
            self.fail("TWICE", "%s ran %d times" % (request_id, request.runs))
        # Counts endpoints, not runs: a repeatable request may be resent to the same endpoint if a reused connection closes
        # before the response.
        if len(request.endpoints) > 2:
            self.fail("BUDGET", "%s ran at %d endpoints, its route allows 2" % (request_id, len(request.endpoints)))
        if request.status in wire.NOT_RUN_STATUSES:
            self.fail("REFUSED", "%s ran after status %d" % (request_id, request.status))
        leaving = self.leaving_since.get(endpoint.id)
        if leaving and now - leaving > DRAIN_LIMIT_S + SCHEDULING_SLACK_S and self.unaffected_since(request.daemon, leaving):
            self.fail("DRAIN", "%s reached %s %.1f s after the endpoint began to drain" % (request_id, endpoint.id, now - leaving))
        revoked = self.revoked_at.get(request.key)
        if revoked and request.sent_at - revoked > CONFIGURATION_LIMIT_S + SCHEDULING_SLACK_S and self.unaffected_since(request.daemon, revoked):
            self.fail("CONFIG", "%s ran with a key that was revoked %.1f s before the request was sent" % (request_id, request.sent_at - revoked))

    def consume(self, request, tokens):
        self.consumed[request.workspace] += tokens
        if self.consumed[request.workspace] > self.budgets[request.workspace]:
            self.fail("BUDGET", "%s consumed %d of %d tokens with %s" % (
                request.workspace, self.consumed[request.workspace], self.budgets[request.workspace], request.id))

    # Observations of callers.

    def event_arrived(self, request, number, data):
        text, _, version = data.partition("@")
        if number != request.events + 1 or text != "%s-%d" % (request.stream_id, number):
            self.fail("ORDER", "%s got event %d '%s' after event %d of %s" % (request.id, number, data, request.events, request.stream_id))
        if request.version not in (None, version):
            self.fail("ORDER", "%s got event %d from software version %s in stream %s of version %s" % (request.id, number, version, request.stream_id, request.version))
        request.version = version
        request.events = number
        self.consume(request, endpoints.TOKENS_PER_EVENT)

    def answered(self, request, status, headers, body, complete):
        request.status = status
        request.outcome = "answered" if complete else "broken_off"
        self.counts["%s %d%s" % (request.path.split("/")[1], status, "" if complete else " broken off")] += 1
        if status in wire.NOT_RUN_STATUSES and request.runs:
            self.fail("REFUSED", "%s got status %d although it had run" % (request.id, status))
        if status // 100 != 2 or not complete:
            return
        if headers.get(wire.SEAL) != "s-" + request.id or headers.get(wire.ATTEMPT_ID) != request.id:
            self.fail("MIXED", "%s got the response to %s or one without its seal" % (request.id, headers.get(wire.ATTEMPT_ID)))
        if request.path.startswith(wire.STREAM_PATH):
            if request.events != endpoints.expected_event_count(request.stream_id):
                self.fail("ORDER", "%s was reported complete after %d of %d events" % (
                    request.id, request.events, endpoints.expected_event_count(request.stream_id)))
        elif body != endpoints.expected_body(request.id):
            self.fail("MIXED", "%s got an unexpected body" % request.id)

    def taken_up(self, broken, request):
        """Counts take-ups by result."""
        if request.events > request.events_before:
            result = "went on"
        else:
            result = "refused %s" % request.status if request.status in wire.NOT_RUN_STATUSES else "failed"
        self.counts["take-ups %s" % result] += 1

    def closed(self, request, reason):
        request.outcome = reason
        self.counts["%s %s" % (request.path.split("/")[1], reason)] += 1
