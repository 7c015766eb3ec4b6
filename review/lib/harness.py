"""Runs a small deployment for a case: the store in this process, runners and daemons as processes of their own.

A case subclasses nothing: it builds a Deployment, drives it, and calls finish() with the verdict. All addresses are on
loopback, all ports are free ones, all files are in a temporary folder except record.txt.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from httpd import call  # noqa: E402
from link import Link  # noqa: E402
from store import Store  # noqa: E402

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
LIB = os.path.dirname(os.path.abspath(__file__))
DAEMON = os.path.join(ROOT, "target/src/daemon/mimosapierd")
LIMIT_S = 105  # a case that takes longer is given up
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "booking.example"
KEY = "key-of-tenant-1"


class CannotRun(Exception):
    """The case could not run: exit status 2."""


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for s in sockets:
        s.bind(("127.0.0.1", 0))
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


def configuration(version=1, attempts=3, keys=(KEY,), cap=None):
    tenant = {"Name": "tenant-1", "ApiKeys": list(keys), "Weight": 50.0}
    if cap:
        tenant["Cap"] = cap
    return {
        "Version": version,
        "Routes": [{"Name": "q", "Host": HOST, "Prefix": "/q/", "Service": "booking", "Priority": 0, "Public": False,
                    "MaxAttempts": attempts, "SlackFactor": 2.0, "TargetCompletionMs": 500, "TimeoutMs": 3000}],
        "Services": [{"Name": "booking", "EnforcesCapacity": False}],
        "Limits": {},
        "Tenants": [tenant],
    }


class Daemon:
    def __init__(self, deployment, name, store_port, store_address):
        self.deployment_, self.name_, self.port_ = deployment, name, store_port
        front, ready, peer, metrics = free_ports(4)
        self.front_, self.ready_ = f"127.0.0.1:{front}", f"127.0.0.1:{ready}"
        self.peer_ = f"127.0.0.1:{peer}"
        self.log_ = os.path.join(deployment.dir_, name + ".log")
        self.config_ = os.path.join(deployment.dir_, name + ".yaml")
        # What deploy/settings.yaml gives for the bounds of hollings-sched.
        with open(self.config_, "w") as file:
            file.write(
                f'name: "{name}"\nregion: "region-a"\nzone: "zone-a"\ncaller_address: "{self.front_}"\n'
                f'peer_address: "{self.peer_}"\nmetrics_address: "127.0.0.1:{metrics}"\n'
                f'store_address: "{store_address}"\ncell:\n  ready_address: "{self.ready_}"\n'
                "  store_writes_per_s: 400\n  store_min_lease_ms: 1000\n  processor_share: 0.25\n"
                "  hold_max_ms: 10000\n  stop_timeout_ms: 900\n  gang_timeout_ms: 3000\n  revoke_ms: 5000\n"
                "  status_s: 120\n  grace_ms: 6000\n  remote_factor: 2\n"
            )
        self.process_ = None

    def start(self):
        with open(self.log_, "ab") as log:
            self.process_ = subprocess.Popen([DAEMON, "--config", self.config_], stdout=log, stderr=log,
                                             stdin=subprocess.DEVNULL, cwd=ROOT)

    def log_lines(self):
        with open(self.log_, errors="replace") as log:
            return log.read().splitlines()


class Deployment:
    def __init__(self, name, daemons=3, runners=4, record_dir=".", cpu=64_000, store_answer_s=0.004, linked=False, fleet=0):
        if not os.path.exists(DAEMON):
            raise CannotRun("no " + DAEMON)
        self.dir_ = tempfile.mkdtemp(prefix="review-" + name + "-")
        self.record_ = open(os.path.join(record_dir, "record.txt"), "w", buffering=1)
        self.began_ = time.monotonic()
        self.counts_ = (daemons, runners)
        self.cpu_ = cpu
        self.store_ = Store(store_answer_s)
        self.daemons_, self.runners_ = [], {}
        self.links_ = {}  # (name of the daemon that dials, name of the other) -> Link, with linked=True
        self.linked_ = linked
        self.fleet_ = fleet  # number of runners in one process, instead of one process each
        self.runner_log_ = os.path.join(self.dir_, "servers.log")
        self.answers_ = []  # (time, method, id, status, body)

    def note(self, text, at=None):
        self.record_.write(f"{(at or time.monotonic()) - self.began_:8.3f}  {text}\n")

    async def start(self, config=None):
        self.internal_ = await self.store_.start()
        self.store_.write("op/config", json.dumps(config or configuration()).encode())
        daemons, runners = self.counts_
        if self.fleet_:
            self.start_runner("server", "127.0.0.1:0", count=self.fleet_)
            await self.until(self.fleet_is_registered, 30, "the runners did not register")
        for i in range(runners):
            self.start_runner(f"server-{i}", f"127.0.0.1:{free_ports(1)[0]}")
        for i in range(daemons):
            port, address = await self.store_.open_port(f"edge-{i}")
            self.daemons_.append(Daemon(self, f"edge-{i}", port, address))
        if self.linked_:
            await self.link_daemons()
        for daemon in self.daemons_:
            daemon.start()
        await self.until(self.all_ready, 15, "the daemons are not ready")
        self.note("all daemons are ready")

    async def fleet_is_registered(self):
        return f"servers/server-{self.fleet_ - 1:03d}" in self.store_.items_

    async def link_daemons(self):
        """Has the daemons reach each other through links, which cut() can cut."""
        for daemon in self.daemons_:
            lines = []
            for other in self.daemons_:
                if other is not daemon:
                    link = self.links_[(daemon.name_, other.name_)] = Link(other.peer_)
                    lines.append(f'  {other.name_}: "{await link.start()}"\n')
            with open(daemon.config_, "a") as file:
                file.write("peer_address_overrides:\n" + "".join(lines))

    def cut(self, daemon):
        """Cuts a daemon off from the other daemons and from the store, silently."""
        for names, link in self.links_.items():
            if daemon.name_ in names:
                link.cut()
        daemon.port_.set_mode("silent")
        self.note(f"daemon {daemon.name_}: cut off from the other daemons and the store")

    def heal(self, daemon):
        for names, link in self.links_.items():
            if daemon.name_ in names:
                link.heal()
        daemon.port_.set_mode("ok")
        self.note(f"daemon {daemon.name_}: no longer cut off")

    def start_runner(self, name, address, **more):
        command = [sys.executable, os.path.join(LIB, "server.py"), "--id", name, "--address", address, "--store",
                   self.internal_, "--log", self.runner_log_, "--dir", self.dir_, "--cpu", str(self.cpu_)]
        for key, value in more.items():
            command += ["--" + key, str(value)]
        process = subprocess.Popen(command, stdin=subprocess.DEVNULL)
        self.runners_[name] = (process, address)

    def kill_runner(self, name):
        process, address = self.runners_[name]
        process.kill()
        process.wait()
        self.note(f"server {name} killed")
        return address

    def signal_daemon(self, daemon, number):
        daemon.process_.send_signal(number)
        if number == signal.SIGKILL:
            daemon.process_.wait()
        self.note(f"daemon {daemon.name_}: signal {signal.Signals(number).name}")

    async def all_ready(self):
        for daemon in self.daemons_:
            status, _ = await call(daemon.ready_, "GET", "/readyz", timeout=1)
            if status != 200:
                return False
        return True

    async def until(self, condition, seconds, what):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await condition():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(what)

    def leader(self):
        """The daemon that the store names as leader; None without one."""
        item = self.store_.items_.get("mimosapier/cluster/leader")
        if item is None:
            return None
        name = item[0].decode().split("#")[0]
        return next((d for d in self.daemons_ if d.name_ == name), None)

    async def client(self, daemon, method, job, body=None, key=KEY, deadline=3.0, patience=None):
        headers = {"Host": HOST, "Authorization": "Bearer " + key, "X-Deadline-Ms": str(int(deadline * 1000))}
        sent = time.monotonic()
        status, answer = await call(daemon.front_, method, "/q/" + job, body, headers, patience or deadline + 0.5)
        self.answers_.append((sent, method, job, status, answer))
        self.note(f"client: {method} {job or '(queue)'} at {daemon.name_}, sent {sent - self.began_:.3f}: {status} {answer}")
        return status, answer

    async def submit(self, job, body, attempts=8):
        """Hands a job in as a client does: the same id again at another daemon until the answer is final."""
        for attempt in range(attempts):
            alive = [d for d in self.daemons_ if d.process_.poll() is None]
            status, _ = await self.client(alive[attempt % len(alive)], "POST", job, body)
            if status == 200:
                return True
            await asyncio.sleep(0.3)
        return False

    def runs(self):
        """Events of the runners, in order."""
        if not os.path.exists(self.runner_log_):
            return []
        with open(self.runner_log_) as log:
            return sorted((json.loads(line) for line in log if line.endswith("\n")), key=lambda e: e["t"])

    def stop(self):
        for event in self.runs():
            text = " ".join(f"{k}={v}" for k, v in event.items() if k not in ("t", "server", "what"))
            self.note(f"server {event['server']}: {event['what']} {text}", event["t"])
        for daemon in self.daemons_:
            if daemon.process_ is not None and daemon.process_.poll() is None:
                daemon.process_.send_signal(signal.SIGCONT)
                daemon.process_.kill()
                daemon.process_.wait()
        for process, _ in self.runners_.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.dir_)
        else:
            shutil.rmtree(self.dir_, ignore_errors=True)


def sort_record(path):
    with open(path) as record:
        lines = record.readlines()
    lines.sort(key=lambda line: float(line.split()[0]))
    with open(path, "w") as record:
        record.writelines(lines)


def run_case(name, directory, scenario, **deployment):
    """Runs `scenario(deployment)`, which returns (broken, text). Exits with 1, 0 or 2."""
    subject = None
    try:
        subject = Deployment(name, record_dir=directory, **deployment)

        async def whole():
            try:
                return await asyncio.wait_for(scenario(subject), LIMIT_S)
            finally:  # the stand-ins in this process end with the case
                for task in asyncio.all_tasks() - {asyncio.current_task()}:
                    task.cancel()
                await asyncio.sleep(0.1)

        broken, text = asyncio.run(whole())
        code = 1 if broken else 0
    except CannotRun as error:
        code, text = 2, f"cannot run: {error}"
    except asyncio.TimeoutError:
        code, text = 2, "cannot run: took too long"
    finally:
        if subject is not None:
            subject.stop()
    if subject is not None:
        subject.note(f"verdict: {['held', 'BROKEN', 'not run'][code]}: {text}")
        subject.record_.close()
        sort_record(os.path.join(directory, "record.txt"))
    print(f"{name}: {['held', 'BROKEN', 'not run'][code]}: {text}")
    sys.exit(code)
