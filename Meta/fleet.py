"""Starts, controls and stops a small fleet of processes on ephemeral loopback ports.

Used by the demo, the measurements and the end-to-end tests. Processes are signalled by process id only. A restarted
daemon reuses the ports of the process that it replaces.
"""

import hashlib
import http.client
import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import threading
import time

TOP = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
START_TIMEOUT_S = 20
OPERATOR_KEY = "demo-operator-key"
CALLER_KEY = "demo-key"


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


class Process:
    """A child process that prints its listening addresses on the first line of its standard output."""

    def __init__(self, name, command, folder):
        self.name = name
        self.log = open(os.path.join(folder, name + ".log"), "ab")
        self.child = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=self.log)
        self.line = self._read_first_line()

    def _read_first_line(self):
        lines = []
        reader = threading.Thread(target=lambda: lines.append(self.child.stdout.readline().decode()), daemon=True)
        reader.start()
        reader.join(START_TIMEOUT_S)
        if not lines or not lines[0]:
            self.kill()
            raise RuntimeError("%s exited or printed no listening address within %d s" % (self.name, START_TIMEOUT_S))
        return lines[0].strip()

    def address(self, kind=None):
        pattern = r"%s=(\S+)" % kind if kind else r"listening on (\S+)"
        return re.search(pattern, self.line).group(1)

    def signal(self, number):
        if self.child.poll() is None:
            os.kill(self.child.pid, number)

    def freeze(self):
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.child.wait()

    def terminate(self):
        """Requests a graceful stop without waiting for it."""
        self.signal(signal.SIGTERM)

    def stop(self, timeout=30):
        """Stops gracefully and returns the exit status."""
        self.terminate()
        return self.child.wait(timeout)


def request(address, method, path, body=None, headers=None, timeout=30):
    """Sends one HTTP request; returns (status, headers, body bytes). Raises OSError or HTTPException on failure."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, response.headers, response.read()
    finally:
        connection.close()


def post_json(address, path, value):
    status, _, body = request(address, "POST", path, json.dumps(value), {"Content-Type": "application/json"})
    if status != 200:
        raise RuntimeError("POST %s returned status %d: %s" % (path, status, body))


class Fleet:
    """Emulated platform, engines and services, and daemons. A context manager that kills every process on exit."""

    def __init__(self, binaries, daemons=3, engines=3, services=1, engine_flags=(), platform_flags=(), settings=None):
        self.binaries = binaries
        self.folder = tempfile.mkdtemp(prefix="jujuberelay-")
        self.settings = settings or {}
        self.processes = {}
        self.daemon_numbers = range(1, daemons + 1)
        self.engine_names = ["engine-%d" % number for number in range(1, engines + 1)]
        self.service_names = ["order-desk-%d" % number for number in range(1, services + 1)]
        self.engine_flags = list(engine_flags)
        self.platform_flags = list(platform_flags)
        self.operator_key_file = os.path.join(self.folder, "operator.key")
        with open(self.operator_key_file, "w") as key:
            key.write(OPERATOR_KEY)

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, kind, *_):
        if kind is not None:
            self.print_logs()
        self.close()

    def close(self):
        for process in self.processes.values():
            process.kill()
            process.log.close()
            process.child.stdout.close()

    def print_logs(self, lines=30):
        for name in sorted(self.processes):
            with open(os.path.join(self.folder, name + ".log"), errors="replace") as log:
                tail = log.readlines()[-lines:]
            if tail:
                sys.stderr.write("--- %s\n%s" % (name, "".join(tail)))

    def run(self, name, command):
        process = Process(name, command, self.folder)
        self.processes[name] = process
        return process

    def emulate(self, name, kind, flags=()):
        binary = os.path.join(self.binaries, "jujuberelay")
        return self.run(name, [binary, "emulate", kind, "--listen=127.0.0.1:0", *flags])

    def start(self):
        self.emulate("platform", "platform", ["--watch_history=200000", *self.platform_flags])
        for name in self.engine_names:
            self.emulate(name, "engine", self.engine_flags)
        for name in self.service_names:
            self.emulate(name, "service")
        for number in self.daemon_numbers:
            self.start_daemon(number)
        for number in self.daemon_numbers:
            self.wait_until_ready(number)

    def daemon(self, number):
        return self.processes["entry-%d" % number]

    def platform(self):
        return self.processes["platform"].address()

    def caller(self, number):
        return self.daemon(number).address("caller")

    def operator(self, number):
        return self.daemon(number).address("operator")

    def start_daemon(self, number):
        """Starts a daemon. A restarted daemon reuses the ports of its previous process."""
        name = "entry-%d" % number
        previous = self.processes.get(name)
        ports = {kind: previous.address(kind) if previous else "127.0.0.1:0" for kind in ("caller", "peer", "operator")}
        values = {
            "host": name,
            "failure_domain": "domain-%d" % ((number - 1) % 3 + 1),
            "region": "region-1",
            "caller_address": ports["caller"],
            "peer_address": ports["peer"],
            "operator_address": ports["operator"],
            "platform_address": self.platform(),
            "peer_key": "demo-peer-key",
            "operator_key_sha256": sha256(OPERATOR_KEY),
            "shard_count": 4,
            "readiness_delay_ms": 200,
            "fault_switches": "true",
            **self.settings,
        }
        path = os.path.join(self.folder, name + ".yaml")
        with open(path, "w") as settings:
            settings.writelines("%s: %s\n" % item for item in values.items())
        return self.run(name, [os.path.join(self.binaries, "jujuberelayd"), "--settings=" + path])

    def wait_until_ready(self, number):
        self.wait_for(lambda: request(self.caller(number), "GET", "/readyz", timeout=2)[0] == 200, "entry-%d to be ready" % number)

    def wait_for(self, condition, description, timeout=30):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            try:
                if condition():
                    return
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(0.05)
        raise RuntimeError("timed out after %d s waiting for %s" % (timeout, description))

    def command(self, *arguments, daemon=1):
        """Runs the operator command line against a daemon; returns (exit status, standard output, standard error)."""
        command = [os.path.join(self.binaries, "jujuberelay"), *arguments, "--daemon=" + self.operator(daemon),
                   "--operator_key_file=" + self.operator_key_file]
        result = subprocess.run(command, capture_output=True, timeout=60)
        return result.returncode, result.stdout.decode(), result.stderr.decode()

    def initial_note(self, tokens=100000, generation=0):
        """Returns the initial note, which configures one workspace, all engines and all services."""
        lines = [
            "note:", "  from_generation: %d" % generation, "  author: demo", "  reason: first configuration", "added:",
            "  workspaces:", "    - name: satchel-orders", "      priority: 1",
            "  budgets:", "    - workspace: satchel-orders", "      name: default",
            "  top_ups:", "    - id: purchase-1", "      workspace: satchel-orders", "      budget: default", "      tokens: %d" % tokens,
            "  keys:", "    - sha256: " + sha256(CALLER_KEY), "      workspace: satchel-orders", "      budget: default",
            "  models:", "    - name: quote", "      max_output_tokens: 256", "      bytes_per_token: 4",
            "  endpoints:",
        ]
        for index, name in enumerate(self.engine_names):
            lines += self.endpoint_lines(name, "engine", index) + ["      models: [quote]"]
        for index, name in enumerate(self.service_names):
            lines += self.endpoint_lines(name, "service", index)
        lines += ["  services:", "    - name: orders", "      endpoints: [%s]" % ", ".join(self.service_names),
                  "      is_repeatable: false", "      price_tokens: 10"]
        return "\n".join(lines) + "\n"

    def endpoint_lines(self, name, kind, index):
        return ["    - name: " + name, "      kind: " + kind, "      address: " + self.processes[name].address(),
                "      failure_domain: domain-%d" % (index % 3 + 1)]

    def apply(self, text, daemon=1):
        """Applies a note; returns (exit status, output, errors)."""
        path = os.path.join(self.folder, "note.yaml")
        with open(path, "w") as note:
            note.write(text)
        return self.command("note", "apply", path, daemon=daemon)

    def configure(self, tokens=100000):
        status, output, errors = self.apply(self.initial_note(tokens))
        if status != 0:
            raise RuntimeError("the initial note was not applied: %s %s" % (output, errors))

    def audit(self, *extra):
        """Runs the independent audit; returns (exit status, report)."""
        command = [sys.executable, os.path.join(TOP, "Meta", "audit.py"), "--json", "--platform=" + self.platform()]
        command += ["--engine=" + self.processes[name].address() for name in self.engine_names]
        command += ["--service=" + self.processes[name].address() for name in self.service_names]
        result = subprocess.run([*command, *extra], capture_output=True, timeout=60)
        if result.returncode not in (0, 6):
            raise RuntimeError("audit.py exited with status %d: %s" % (result.returncode, result.stderr.decode()))
        return result.returncode, json.loads(result.stdout)

    # Fault injection.

    def platform_faults(self, **faults):
        post_json(self.platform(), "/control/faults", faults)

    def engine_faults(self, name, **faults):
        post_json(self.processes[name].address(), "/control/faults", faults)

    def block_peers(self, number, hosts):
        """Blocks the links between a daemon and the daemons of the given hosts, in both directions."""
        body = json.dumps({"blocked_hosts": hosts})
        status, _, answer = request(self.operator(number), "POST", "/operator/faults", body, {"Authorization": "Bearer " + OPERATOR_KEY})
        if status != 200:
            raise RuntimeError("POST /operator/faults returned status %d: %s" % (status, answer))


def chat(address, prompt="A quotation for twelve satchels", max_tokens=8, stream=False, key=None, timeout=30, caller_key=CALLER_KEY):
    """Sends one chat request; returns (status, body text)."""
    headers = {"Authorization": "Bearer " + caller_key, "Content-Type": "application/json"}
    if key:
        headers["Idempotency-Key"] = key
    body = json.dumps({"model": "quote", "max_tokens": max_tokens, "stream": stream, "messages": [{"role": "user", "content": prompt}]})
    status, _, answer = request(address, "POST", "/v1/chat/completions", body, headers, timeout)
    return status, answer.decode()


def order(address, key, body='{"hides":12}', timeout=30):
    """Sends one non-idempotent service call; returns (status, body text)."""
    headers = {"Authorization": "Bearer " + CALLER_KEY, "Idempotency-Key": key, "Content-Type": "application/json"}
    status, _, answer = request(address, "POST", "/services/orders/confirm", body, headers, timeout)
    return status, answer.decode()
