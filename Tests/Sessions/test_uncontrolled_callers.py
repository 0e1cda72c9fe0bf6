"""Tests that callers which don't keep to the documented limits neither end a standalone daemon nor take its memory and descriptors.

As in Tests/Soak/test_uncontrolled_callers.py, which does the same with a relay, nothing that is checked depends on the machine's speed."""

import asyncio
import http.client
import os
import resource
import sys
import time
import unittest

TOP = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path[:0] = [os.path.join(TOP, "Meta"), os.path.dirname(os.path.abspath(__file__))]
# Last, since other modules there have the names of modules here.
sys.path.append(os.path.join(TOP, "Tests", "Soak"))

from crowd import Crowd  # noqa: E402
from fleet import CALLER_KEY, OPERATOR_KEY, Fleet, chat  # noqa: E402

BINARIES = os.environ.get("JUJUBERELAY_BIN", os.path.join(TOP, "Build", "release", "bin"))
CALLERS = 100
# Memory of the daemon's machine, which is the bound of the process.
MEMORY_MB = 64
DESCRIPTORS = 256
# Callers that hold connections, more than there are descriptors.
CONNECTIONS = 400
# Of the descriptors, those that are kept for endpoints, the platform, other daemons and operators.
KEPT_DESCRIPTORS = DESCRIPTORS // 8
BODY_BYTES = 1 << 20
HEAD_BYTES = 16_384
# The limit of the daemon for a body.
MAX_BODY_BYTES = 8 << 20
WAVES = 3
# Time for the daemon to read what was sent; not a bound.
READ_LIMIT_S = 15
# Only a daemon that hangs reaches it.
WATCHDOG_S = 60
SETTINGS = {"memory_mb": MEMORY_MB}


class UncontrolledCallers(unittest.TestCase):
    def setUp(self):
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, hard))
        try:
            self.fleet = Fleet(BINARIES, daemons=1, engines=1, services=1, settings=SETTINGS)
            self.addCleanup(self.fleet.close)
            self.fleet.start()
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        self.fleet.configure()
        self.daemon = self.fleet.daemon(1)
        self.check_ordinary_requests()

    def crowd(self, address=None):
        head = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\n" % CALLER_KEY
        if address:
            head = "POST /operator/notes HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\n" % OPERATOR_KEY
        crowd = Crowd(int((address or self.fleet.caller(1)).rsplit(":", 1)[1]), head)
        self.addCleanup(crowd.close)
        return crowd

    def is_answered(self):
        try:
            return chat(self.fleet.caller(1), max_tokens=2, timeout=10)[0] == 200 and self.fleet.command("status")[0] == 0
        except (OSError, http.client.HTTPException):
            return False

    def check_ordinary_requests(self):
        """Checks that a caller and an operator are answered."""
        end = time.monotonic() + WATCHDOG_S
        while not self.is_answered():
            self.assertIsNone(self.daemon.child.poll(), "the daemon has ended")
            self.assertLess(time.monotonic(), end, "no ordinary request was answered")
            time.sleep(0.1)

    def unread_bytes(self):
        ports = {"%04X" % int(address.rsplit(":", 1)[1]) for address in (self.fleet.caller(1), self.fleet.operator(1))}
        with open("/proc/net/tcp", encoding="utf-8") as table:
            rows = [line.split() for line in table][1:]
        established = "01"
        return sum(int(row[4].split(":")[1], 16) for row in rows if row[1].split(":")[1] in ports and row[3] == established)

    def check(self):
        end = time.monotonic() + READ_LIMIT_S
        while self.daemon.child.poll() is None and self.unread_bytes() > 0 and time.monotonic() < end:
            time.sleep(0.1)
        self.assertIsNone(self.daemon.child.poll(), "the daemon has ended")
        descriptors = len(os.listdir("/proc/%d/fd" % self.daemon.child.pid))
        with open("/proc/%d/status" % self.daemon.child.pid, encoding="utf-8") as status:
            memory_mb = next(int(line.split()[1]) for line in status if line.startswith("VmHWM")) * 1024 / 1e6
        print("%s: %.0f MB, %d descriptors" % (self.id().split(".")[-1], memory_mb, descriptors), flush=True)
        with self.subTest("memory"):
            self.assertLess(memory_mb, MEMORY_MB)
        with self.subTest("descriptors"):
            self.assertLessEqual(descriptors, DESCRIPTORS - KEPT_DESCRIPTORS)
        with self.subTest("ordinary requests"):
            self.check_ordinary_requests()
        self.assertIsNone(self.daemon.child.poll(), "the daemon has ended")

    def play(self, make_request, callers=CALLERS, address=None):
        crowd = self.crowd(address)
        asyncio.run(crowd.start([make_request(crowd) for _ in range(callers)]))
        self.check()

    # Guards against memory taken for bodies that are announced or sent over the limit.
    def test_over_the_limit(self):
        self.play(lambda crowd: crowd.announced(100 * MAX_BODY_BYTES, MAX_BODY_BYTES))

    def test_sent_over_the_limit(self):
        self.play(lambda crowd: crowd.chunked(2 * MAX_BODY_BYTES, 65536))

    # Guards against the sum of bodies of legal size, just short of their end, exceeding the memory.
    def test_bodies_in_pieces(self):
        self.play(lambda crowd: crowd.announced(BODY_BYTES, BODY_BYTES - 1, 4096))

    # The same for chunked bodies.
    def test_large_chunks(self):
        self.play(lambda crowd: crowd.chunked(BODY_BYTES, 65536))

    # The same for chunks of one byte, whose framing is larger than the body.
    def test_one_byte_chunks(self):
        self.play(lambda crowd: crowd.chunked(BODY_BYTES, 1))

    # The same for trailers after a body.
    def test_trailers(self):
        self.play(lambda crowd: crowd.trailer(BODY_BYTES, BODY_BYTES))

    # The same for buffers of chunk extensions, which the limit of the body does not cover.
    def test_chunk_extensions(self):
        self.play(lambda crowd: crowd.extension(BODY_BYTES - 10))

    # Guards against unfinished heads that take all descriptors.
    def test_unfinished_heads(self):
        self.play(lambda crowd: crowd.unfinished_head(HEAD_BYTES), CONNECTIONS)

    # Guards against the same at the operators' address, which a caller may reach too.
    def test_operators_address(self):
        self.play(lambda crowd: crowd.announced(BODY_BYTES, BODY_BYTES - 1), CALLERS, self.fleet.operator(1))

    def test_connections_to_the_operators_address(self):
        self.play(lambda crowd: crowd.unfinished_head(HEAD_BYTES), CONNECTIONS, self.fleet.operator(1))

    # All kinds at once at both addresses, in waves whose connections stay open.
    def test_mixed_waves(self):
        for _ in range(WAVES):
            for crowd in (self.crowd(), self.crowd(self.fleet.operator(1))):
                asyncio.run(crowd.start([request for _ in range(CALLERS // 8) for request in (
                    crowd.announced(100 * MAX_BODY_BYTES, MAX_BODY_BYTES), crowd.announced(BODY_BYTES, BODY_BYTES - 1), crowd.announced(BODY_BYTES, BODY_BYTES - 1, 4096),
                    crowd.chunked(BODY_BYTES, 65536), crowd.chunked(BODY_BYTES // 4, 1), crowd.extension(BODY_BYTES - 10), crowd.unfinished_head(HEAD_BYTES),
                    crowd.after_answer(BODY_BYTES))]))
        self.check()


if __name__ == "__main__":
    unittest.main()
