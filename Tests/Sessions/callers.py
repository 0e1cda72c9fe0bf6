"""Load generator for the end-to-end tests: seeded callers that retry at other daemons and record every outcome."""

import http.client
import json
import random
import threading

import fleet as fleet_module

PROMPTS = ["Quotation %d for a workshop's pattern file" % number for number in range(7)]
REQUEST_TIMEOUT_S = 25


class AnswerLog:
    """Outcomes by request identity. Checks that each answer is complete and belongs to its prompt."""

    def __init__(self):
        self.lock = threading.Lock()
        self.by_prompt = {}
        self.outcomes = {}
        self.refusals = {}
        self.mismatches = []

    def record(self, request_id, outcome, code=None):
        with self.lock:
            if request_id:
                self.outcomes[request_id] = outcome
            if code:
                self.refusals[code] = self.refusals.get(code, 0) + 1

    def check_answer(self, prompt, content, usage):
        with self.lock:
            expected = self.by_prompt.setdefault(prompt, content)
            if content != expected or len(content.split()) != usage["completion_tokens"]:
                self.mismatches.append((prompt, content))
            if any(other != prompt and text == content for other, text in self.by_prompt.items()):
                self.mismatches.append((prompt, "same content as the answer to another prompt"))

    def count(self, outcome):
        return sum(1 for value in self.outcomes.values() if value == outcome)

    def write(self, path):
        with open(path, "w") as file:
            for request_id, outcome in self.outcomes.items():
                file.write(json.dumps({"request_id": request_id, "outcome": outcome}) + "\n")


def parse_stream(text):
    """Returns (content, usage), or None if the stream is incomplete."""
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
    """Sends one attempt. Returns (outcome, request identity, error code, (content, usage))."""
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
    completion = json.loads(answer)
    return "complete", request_id, None, (completion["choices"][0]["message"]["content"], completion["usage"])


class LoadGenerator:
    """Caller threads, each of which sends its number of requests unless it is stopped earlier."""

    def __init__(self, fleet, seed, threads=6, requests=1000, max_attempts=6):
        self.fleet = fleet
        self.answers = AnswerLog()
        self.stop_requested = threading.Event()
        self.sent = 0
        self.threads = [
            threading.Thread(target=self.run, args=(random.Random(seed * 100 + number), number, requests, max_attempts)) for number in range(threads)
        ]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stop()

    def stop(self):
        self.stop_requested.set()
        for thread in self.threads:
            thread.join()

    def run(self, random_source, number, requests, max_attempts):
        for index in range(requests):
            if self.stop_requested.is_set():
                return
            self.sent += 1
            self.send_with_retries(random_source, "caller-%d-%d" % (number, index), max_attempts)

    def send_with_retries(self, random_source, key, max_attempts):
        prompt = random_source.choice(PROMPTS)
        stream = random_source.random() < 0.5
        may_have_run = False
        for attempt in range(max_attempts):
            number = random_source.choice(list(self.fleet.daemon_numbers))
            outcome, request_id, code, answer = send_chat(self.fleet.caller(number), prompt, key, stream)
            # "not_run" covers only its own attempt. If an earlier one may have run, the outcome of the request is unknown.
            if outcome == "not_run" and may_have_run:
                outcome = "unknown"
            may_have_run = may_have_run or outcome == "unknown"
            self.answers.record(request_id, outcome, code)
            if outcome == "complete":
                self.answers.check_answer(prompt, *answer)
                return
            if self.stop_requested.is_set() and attempt:
                return
            self.stop_requested.wait(0.2)
