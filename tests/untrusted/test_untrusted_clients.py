"""Guards against clients that end or block a daemon by what they send: starts a real daemon and the platform's stand-in
on loopback, sends a small crowd of one kind, and checks memory, descriptors and an ordinary request.

Crowds and bounds were fixed on the version without limits (see the commit that added this file) and are not changed.
"""

import http.client
import json
import os
import shutil
import subprocess
import sys
import tempfile
import unittest

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "scripts", "lib"))

# pylint: disable=wrong-import-position
from crowd import Crowd
from processes import PortAllocator, ProcessSet, http_call, try_http_call, wait_until

BUILD = os.environ.get("MIMOSAPIER_BUILD", os.path.join(ROOT, "build"))
DAEMON = os.path.join(BUILD, "src/daemon/mimosapierd")
PLATFORM = os.path.join(BUILD, "src/standin/standin-platform")

MAX_RESIDENT_KB = 40_960  # VmHWM; a daemon without load has 14 to 16 MB
MAX_DESCRIPTORS = 128  # a daemon without load has 20 to 30
START_SECONDS = 30
SEND_SECONDS = 30  # most time for sending, so that a blocked daemon does not block the test
READ_SECONDS = 10
ANSWER_SECONDS = 30

MEGABYTE = 1_048_576
BODY_BYTES = MEGABYTE  # default of limits.max_body_bytes
HEAD = b"POST /q/0000000000000001 HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key\r\nX-Deadline-Ms: 3000\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"

# Limits of the daemon, lower than the defaults. A version of the daemon that does not know them runs without.
LOWERED_LIMITS = {"max_connections": 64, "read_budget_bytes": 4 * MEGABYTE}

CONFIGURATION = {
    "Version": 1,
    "Routes": [{"Name": "q", "Host": "h.example", "Prefix": "/q/", "Service": "s", "MaxAttempts": 3, "SlackFactor": 2.0,
                "TargetCompletionMs": 500, "Priority": 0, "TimeoutMs": 3000, "Public": False}],
    "Services": [{"Name": "s", "EnforcesCapacity": False}],
    "Tenants": [{"Name": "t", "ApiKeys": ["key"], "Weight": 1000}],
}


def write_json(path, value):
    with open(path, "w", encoding="utf-8") as file:
        json.dump(value, file)
    return path


class UntrustedClients(unittest.TestCase):
    """One daemon and one platform for each test."""

    def setUp(self):
        self.out = tempfile.mkdtemp(prefix="mimosapier-untrusted-")
        self.addCleanup(shutil.rmtree, self.out)
        self.processes = ProcessSet(self.out)
        self.addCleanup(self.processes.stop_all, 3)
        ports = PortAllocator()
        store = ports.next_address()
        platform = {"store_address": store, "policy_address": ports.next_address(), "config": CONFIGURATION}
        self.processes.start("platform", [PLATFORM, "--config", write_json(self.path("platform.yaml"), platform)])
        self.address = ports.next_address()
        self.ready = ports.next_address()
        settings = {
            "name": "d1", "region": "r", "zone": "z", "caller_address": self.address, "store_address": store,
            "peer_address": ports.next_address(), "limits": LOWERED_LIMITS,
            "cell": {"ready_address": self.ready, "policy_address": platform["policy_address"]},
        }
        path = write_json(self.path("daemon.yaml"), settings)
        # Without the lowered limits the cases would say nothing.
        subprocess.run([DAEMON, "--check", "--config", path], check=True, capture_output=True)
        self.daemon = self.processes.start("daemon", [DAEMON, "--config", path])
        self.assertTrue(wait_until(lambda: try_http_call(self.ready, "/readyz")[0] == 200, START_SECONDS),
                        "the daemon is not ready")
        self.next_job = 1

    def path(self, name):
        return os.path.join(self.out, name)

    def resident_kb(self):
        with open(f"/proc/{self.daemon.popen.pid}/status", encoding="utf-8") as file:
            return next(int(line.split()[1]) for line in file if line.startswith("VmHWM:"))

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.daemon.popen.pid}/fd"))

    def unread_bytes(self):
        """Bytes that the kernel holds for the daemon's connections with clients."""
        port = f":{int(self.address.rsplit(':', 1)[1]):04X}"
        with open("/proc/net/tcp", encoding="utf-8") as file:
            rows = [line.split() for line in file]
        # A listening socket (state 0A) has its backlog in this column.
        return sum(int(row[4].split(":")[1], 16) for row in rows[1:] if row[1].endswith(port) and row[3] != "0A")

    def wait_until_read(self):
        """Waits until the daemon has read what was sent, or reads no more of it."""
        last = None

        def is_settled():
            nonlocal last
            previous, last = last, self.unread_bytes()
            return last == 0 or last == previous

        wait_until(is_settled, READ_SECONDS, 0.5)

    def ordinary_request_is_answered(self):
        """Submits a job with one task. Every try has a new id, because an earlier one may have been accepted."""
        self.next_job += 1
        body = {"Spec": "work", "Steps": [{"Count": 1, "Cpu": 1000, "EstimateMs": 50}]}
        headers = {"Host": "h.example", "Authorization": "Bearer key", "X-Deadline-Ms": "3000"}
        try:
            status = http_call(self.address, f"/q/{self.next_job + 0xf000:016x}", body, 3.0, headers)[0]
        except (OSError, http.client.HTTPException):
            return False
        return 200 <= status < 300

    def check(self, count, opening, filler=b"", total=0, trickle=b""):
        """Sends the crowd, and checks the daemon while the crowd's connections are still open and after their end."""
        crowd = Crowd(self.address, count, opening, filler, total)
        self.addCleanup(crowd.close)
        crowd.run(SEND_SECONDS)
        crowd.trickle(trickle, 0.05)
        self.wait_until_read()
        self.assertTrue(self.daemon.alive(), "the daemon has ended")
        descriptors = self.descriptors()
        answered = wait_until(self.ordinary_request_is_answered, ANSWER_SECONDS)
        crowd.close()
        answered_after = wait_until(self.ordinary_request_is_answered, ANSWER_SECONDS)
        self.assertTrue(self.daemon.alive(), "the daemon has ended")
        resident = self.resident_kb()
        print(f"{self.id().rsplit('.', 1)[1]}: VmHWM {resident} kB, {descriptors} descriptors", file=sys.stderr)
        self.assertTrue(answered and answered_after, "no answer to an ordinary request")
        self.assertLessEqual(resident, MAX_RESIDENT_KB)
        self.assertLessEqual(descriptors, MAX_DESCRIPTORS)

    def test_trailer_fields_without_end(self):
        self.check(4, CHUNKED + b"2\r\n{}\r\n0\r\n", b"X-Trailer: value\r\n", 24 * MEGABYTE)

    def test_trailer_name_without_end(self):
        self.check(4, CHUNKED + b"2\r\n{}\r\n0\r\n", b"n", 24 * MEGABYTE)

    def test_trailer_value_without_end(self):
        self.check(4, CHUNKED + b"2\r\n{}\r\n0\r\nX-Trailer: ", b"v", 24 * MEGABYTE)

    def test_chunk_extension_without_end(self):
        self.check(4, CHUNKED + b"2;x=", b"e", 24 * MEGABYTE)

    def test_chunk_size_without_end(self):
        self.check(4, CHUNKED, b"0", 24 * MEGABYTE)

    def test_chunk_extensions_on_every_chunk(self):
        self.check(4, CHUNKED, b"1;x=" + b"e" * 1000 + b"\r\na\r\n", 24 * MEGABYTE)

    def test_chunks_of_one_byte(self):
        self.check(4, CHUNKED, b"1\r\na\r\n", 24 * MEGABYTE)

    def test_last_chunk_in_small_pieces(self):
        """An assertion of the HTTP library failed when the last chunk line and the next byte came separately."""
        self.check(1, CHUNKED, trickle=b"0\r\n\r\n")
        self.check(1, CHUNKED + b"0\r\n", trickle=b"\r\n")

    def test_header_fields_without_end(self):
        self.check(4, HEAD, b"X-Field: value\r\n", 24 * MEGABYTE)

    def test_header_name_without_end(self):
        self.check(4, HEAD, b"n", 24 * MEGABYTE)

    def test_header_value_without_end(self):
        self.check(4, HEAD + b"X-Field: ", b"v", 24 * MEGABYTE)

    def test_request_line_without_end(self):
        self.check(4, b"GET /", b"p", 24 * MEGABYTE)

    def test_headers_at_the_limit(self):
        self.check(60, HEAD, b"a:\r\n", 16_000)

    def test_bodies_at_the_limit_by_length(self):
        opening = HEAD + f"Content-Length: {BODY_BYTES}\r\n\r\n".encode()
        self.check(60, opening, b"b", len(opening) + BODY_BYTES - 1)

    def test_bodies_at_the_limit_in_chunks(self):
        chunk = b"4000\r\n" + b"b" * 0x4000 + b"\r\n"
        self.check(60, CHUNKED, chunk, len(CHUNKED) + 63 * len(chunk))

    def test_whole_bodies_of_many_values(self):
        """Bodies at the limit that take much memory once they are decoded: deep nesting, and many small values."""
        for opening, filler in ((b"", b"["), (b"[0", b",[]"), (b'{"Spec":"work","Steps":[{}', b',{"a":0}')):
            body = (opening + filler * (BODY_BYTES // len(filler)))[:BODY_BYTES]
            self.check(16, HEAD + f"Content-Length: {BODY_BYTES}\r\n\r\n".encode() + body)

    def test_pipelined_requests_with_unread_responses(self):
        self.check(32, b"", b"GET /q/00000000000000ff HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key\r\n\r\n",
                   8 * MEGABYTE)

    def test_silent_connections(self):
        self.check(200, b"")

    def test_slow_headers(self):
        self.check(200, b"POST /q/", trickle=b"0000000000000001 HTTP/1.1\r\nHost: ")

    def test_slow_bodies(self):
        self.check(200, HEAD + b"Content-Length: 1000\r\n\r\n", trickle=b"b" * 40)


if __name__ == "__main__":
    unittest.main()
