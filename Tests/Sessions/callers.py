"""Callers that send a bounded, seeded load, retry at other daemons, and remember what they were told."""

import http.client
import json
import random
import threading

import fleet as fleet_module

PROMPTS = ["Quotation %d for a workshop's pattern file" % number for number in range(7)]
REQUEST_TIMEOUT_S = 25


class Answers:
    """What callers saw, by request identity. Checks that answers are whole and belong to their prompts."""

    def __init__(self):
        self.lock = threading.Lock()
        self.by_prompt = {}
        self.outcomes = {}
        self.refusals = {}
        self.wrong = []

    def record(self, request_id, outcome, code=None):
        with self.lock:
            if request_id:
                self.outcomes[request_id] = outcome
            if code:
                self.refusals[code] = self.refusals.get(code, 0) + 1

    def check(self, prompt, content, usage):
        with self.lock:
            expected = self.by_prompt.setdefault(prompt, content)
            if content != expected or len(content.split()) != usage["completion_tokens"]:
                self.wrong.append((prompt, content))
            if any(other != prompt and text == content for other, text in self.by_prompt.items()):
                self.wrong.append((prompt, "the answer of another prompt"))

    def count(self, outcome):
        return sum(1 for value in self.outcomes.values() if value == outcome)

    def write(self, path):
        with open(path, "w") as file:
            for request_id, outcome in self.outcomes.items():
                file.write(json.dumps({"request_id": request_id, "outcome": outcome}) + "\n")


def parse_stream(text):
    """Returns (content, usage), or None for a stream that is not complete."""
    if not text.endswith("data: [DONE]\n\n"):
        return None
    content, usage = "", None
    for line in text.split("\n"):
        if not line.startswith("data: {"):
            continue
        event = json.loads(line[len("data: "):])
        content += "".join(choice["delta"].get("content", "") for choice in event["choices"])
        usage = event.get("usage", usage)
    return content, usage


def send_chat(address, prompt, key, stream, max_tokens=24):
    """One try. Returns (outcome, request identity, refusal code, (content, usage))."""
    headers = {"Authorization": "Bearer " + fleet_module.CALLER_KEY, "Idempotency-Key": key}
    body = json.dumps({"model": "quote", "max_tokens": max_tokens, "stream": stream, "messages": [{"role": "user", "content": prompt}]})
    try:
        status, answer_headers, answer = fleet_module.request(address, "POST", "/v1/chat/completions", body, headers, REQUEST_TIMEOUT_S)
    except ConnectionRefusedError:
        return "not_sent", None, None, None
    except (OSError, http.client.HTTPException):
        return "unknown", None, "broken", None
    request_id = answer_headers.get("X-Request-Id")
    if status != 200:
        error = json.loads(answer)["error"]
        return error["ran"], request_id, error["code"], None
    if stream:
        parsed = parse_stream(answer.decode())
        return ("complete" if parsed else "unknown"), request_id, None, parsed
    whole = json.loads(answer)
    return "complete", request_id, None, (whole["choices"][0]["message"]["content"], whole["usage"])


class Load:
    """Threads that send requests until stopped or until each has sent its number."""

    def __init__(self, fleet, seed, threads=6, requests=1000, tries=6):
        self.fleet = fleet
        self.answers = Answers()
        self.stopping = threading.Event()
        self.sent = 0
        self.threads = [
            threading.Thread(target=self.run, args=(random.Random(seed * 100 + number), number, requests, tries)) for number in range(threads)
        ]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stop()

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def run(self, generator, number, requests, tries):
        for index in range(requests):
            if self.stopping.is_set():
                return
            self.sent += 1
            self.one_request(generator, "caller-%d-%d" % (number, index), tries)

    def one_request(self, generator, key, tries):
        prompt = generator.choice(PROMPTS)
        stream = generator.random() < 0.5
        may_have_run = False
        for attempt in range(tries):
            number = generator.choice(list(self.fleet.daemon_numbers))
            outcome, request_id, code, answer = send_chat(self.fleet.caller(number), prompt, key, stream)
            # The last word on a request: once a try may have run, a later "not run" speaks of that try only.
            if outcome == "not_run" and may_have_run:
                outcome = "unknown"
            may_have_run = may_have_run or outcome == "unknown"
            self.answers.record(request_id, outcome, code)
            if outcome == "complete":
                self.answers.check(prompt, *answer)
                return
            if self.stopping.is_set() and attempt:
                return
            self.stopping.wait(0.2)
