"""Starts and stops processes, makes HTTP calls and allocates ports, for the other scripts. Standard library only."""

import concurrent.futures
import ctypes
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import time

PR_SET_PDEATHSIG = 1


def kill_with_parent():
    """Makes the kernel kill the calling child process when the parent dies, so that no process is left behind."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Process:
    """A child process whose output goes to a log file."""

    def __init__(self, name, command, log_path):
        self.name = name
        self.command = command
        self.log_path = log_path
        self.popen = None
        self.paused = False

    def start(self):
        with open(self.log_path, "ab") as log:
            # In its own session the child gets no SIGINT from Ctrl-C: the script stops all processes in order.
            self.popen = subprocess.Popen(
                self.command, stdout=log, stderr=log, stdin=subprocess.DEVNULL, start_new_session=True,
                preexec_fn=kill_with_parent,
            )

    def alive(self):
        return self.popen is not None and self.popen.poll() is None

    def send_signal(self, signal_number):
        if self.alive():
            self.popen.send_signal(signal_number)
            self.paused = {signal.SIGSTOP: True, signal.SIGCONT: False}.get(signal_number, self.paused)

    def wait(self, timeout):
        """Returns the exit status, or None when the process still runs after the timeout."""
        try:
            return self.popen.wait(timeout)
        except subprocess.TimeoutExpired:
            return None

    def kill(self):
        if self.alive():
            self.popen.kill()
            self.popen.wait()


class ProcessSet:
    """All processes of a script."""

    def __init__(self, out):
        self.out = out
        self.processes = []
        # PR_SET_PDEATHSIG fires when the thread that started the child ends, so one long-lived thread starts them all.
        self.start_executor = concurrent.futures.ThreadPoolExecutor(max_workers=1)

    def start(self, name, command):
        process = Process(name, command, os.path.join(self.out, f"{name}.log"))
        self.start_executor.submit(process.start).result()
        self.processes.append(process)
        return process

    def stop_all(self, graceful_seconds=5):
        """Resumes all processes, sends them SIGTERM and kills those that still run after the timeout.

        Waits and kills in the reverse order of their starts.
        """
        for process in self.processes:
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + graceful_seconds
        for process in reversed(self.processes):
            if process.popen is not None and process.wait(max(0.0, deadline - time.monotonic())) is None:
                process.kill()


def http_call(address, target, body=None, timeout=2.0, headers=None):
    """Makes one HTTP call, a POST if there is a body; returns (status, parsed JSON or None).

    Raises OSError or http.client.HTTPException.
    """
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = None if body is None else json.dumps(body)
        connection.request("GET" if body is None else "POST", target, data, headers or {})
        response = connection.getresponse()
        text = response.read()
        try:
            return response.status, json.loads(text)
        except ValueError:
            return response.status, None
    finally:
        connection.close()


def try_http_call(address, target, body=None, timeout=2.0):
    """Works like http_call(), but returns (None, None) when the call fails."""
    try:
        return http_call(address, target, body, timeout)
    except (OSError, http.client.HTTPException):
        return None, None


def wait_until(condition, seconds, poll_interval=0.1):
    """Polls the condition; returns True when it holds, False at the timeout."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(poll_interval)
    return False


class PortAllocator:
    """Finds free loopback ports below the system's range of ephemeral ports, which outgoing connections may take."""

    LOWEST = 10_000
    HIGHEST = 32_000

    def __init__(self):
        self.next_port = random.SystemRandom().randrange(self.LOWEST, self.HIGHEST - 2_000)

    def next_address(self):
        while self.next_port < self.HIGHEST:
            self.next_port += 1
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", self.next_port))
                except OSError:
                    continue
            return f"127.0.0.1:{self.next_port}"
        raise RuntimeError("no free ports")
