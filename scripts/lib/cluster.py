"""A deployment on loopback: stand-ins, links with delays, daemons."""

import json
import os
import time

from deployments import accounts
from processes import Ports, ProcessSet, call, try_call, wait_until

WORKERS = 48
RACK_SIZE = 8
WORKER_PROCESSES = 3  # one per region
START_SECONDS = 20
BUNDLE_SECONDS = 30


class Cluster:
    """Addresses, settings files and processes of one run."""

    def __init__(self, deployment, out, entries, root, daemon=None):
        self.deployment = deployment
        self.out = out
        self.root = root
        self.daemon_program = daemon or os.path.join(root, "build/src/daemon/mimosapierd")
        self.processes = ProcessSet(out)
        self.daemons = {}  # name -> Process
        self.load = None
        ports = Ports()
        self.regions = deployment["regions"]
        self.store = ports.address()
        self.instances = ports.address()
        self.link_control = ports.address()
        self.load_control = ports.address()
        self.entries = []
        for i in range(entries):
            region = self.regions[i * len(self.regions) // entries]
            self.entries.append(
                {"name": f"d{i + 1}", "region": region, "caller": ports.address(), "peer": ports.address(),
                 "metrics": ports.address()}
            )
        self.workers = []
        per_region = WORKERS // len(self.regions)
        for i in range(WORKERS):
            region = self.regions[i // per_region]
            rack = f"rack-{i % per_region // RACK_SIZE + 1}"
            self.workers.append({"id": f"w{i + 1:02}", "region": region, "rack": rack, "address": ports.address()})
        self.worker_control = {region: ports.address() for region in self.regions}
        self.links = []
        self.paths = {}  # (from, to) -> address to call; from is a region or "client-<region>"
        self._make_links(ports)

    def _delay(self, one, other):
        return self.deployment["zone_ms"] if one == other else self.deployment["region_ms"]

    def _link(self, ports, source, target, address, delay):
        listen = ports.address()
        self.links.append({"name": f"{source}>{target}", "listen": listen, "target": address, "delay_ms": delay})
        self.paths[(source, target)] = listen

    def _make_links(self, ports):
        first = self.regions[0]  # the store and the instance list are there
        for region in self.regions:
            self._link(ports, region, f"{first}/store", self.store, self._delay(region, first))
            self._link(ports, region, f"{first}/instances", self.instances, self._delay(region, first))
            for entry in self.entries:
                delay = self._delay(region, entry["region"])
                self._link(ports, region, f"{entry['region']}/{entry['name']}", entry["peer"], delay)
                client = self.deployment["client_ms"] + (delay if entry["region"] != region else 0)
                self._link(ports, f"client-{region}", f"{entry['region']}/{entry['name']}", entry["caller"], client)
            for worker in self.workers:
                delay = self._delay(region, worker["region"])
                self._link(ports, region, f"{worker['region']}/{worker['id']}", worker["address"], delay)

    def path(self, source, region, name):
        return self.paths[(source, f"{region}/{name}")]

    def _write(self, name, settings):
        path = os.path.join(self.out, name)
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file, indent=1)
        return path

    def _start_standin(self, kind, name, settings, probe=None):
        program = os.path.join(self.root, "build/src/standin", f"standin-{kind}")
        process = self.processes.start(name, [program, "--config", self._write(f"{name}.yaml", settings)])
        if probe and not wait_until(lambda: try_call(*probe)[0] == 200 or not process.alive(), START_SECONDS):
            raise RuntimeError(f"{name} does not answer, see {process.log}")
        if not process.alive():
            raise RuntimeError(f"{name} ended, see {process.log}")
        return process

    def start_platform(self):
        """Starts all stand-ins but the load."""
        self._start_standin("store", "store", {"address": self.store}, (self.store, "/v1/stats"))
        for region in self.regions:
            here = [dict(worker, **self.deployment["worker"]) for worker in self.workers if worker["region"] == region]
            self._start_standin(
                "worker", f"workers-{region}",
                {"control_address": self.worker_control[region], "workers": here,
                 "journal": self.worker_journal(region)},
                (self.worker_control[region], "/v1/stats"),
            )
        instances = [
            dict(worker, kind="worker", zone=f"{worker['region']}-a", **self.deployment["worker"])
            for worker in self.workers
        ] + [
            {"id": entry["name"], "kind": "entry", "region": entry["region"], "zone": f"{entry['region']}-a",
             "rack": "", "address": entry["caller"], "state": "live"}
            for entry in self.entries
        ]
        self._start_standin("instances", "instances", {"address": self.instances, "instances": instances},
                            (self.instances, "/v1/instances"))
        self._start_standin("link", "link", {"control_address": self.link_control, "links": self.links},
                            (self.link_control, "/v1/stats"))

    def worker_journal(self, region):
        return os.path.join(self.out, f"workers-{region}.jsonl")

    def worker_journals(self):
        return [self.worker_journal(region) for region in self.regions]

    @property
    def load_journal(self):
        return os.path.join(self.out, "load.jsonl")

    @property
    def events_journal(self):
        return os.path.join(self.out, "events.jsonl")

    def daemon_settings(self, entry):
        region = entry["region"]
        return {
            "name": entry["name"],
            "region": region,
            "zone": f"{region}-a",
            "caller_address": entry["caller"],
            "peer_address": entry["peer"],
            "metrics_address": entry["metrics"],
            "store_address": self.path(region, self.regions[0], "store"),
            "instance_list_address": self.path(region, self.regions[0], "instances"),
            "peer_address_overrides": {
                other["name"]: self.path(region, other["region"], other["name"])
                for other in self.entries if other is not entry
            },
            "worker_address_overrides": {
                worker["address"]: self.path(region, worker["region"], worker["id"]) for worker in self.workers
            },
        }

    def start_daemon(self, entry):
        """Starts the daemon of an entry, also as a replacement of one that has ended."""
        config = self._write(f"{entry['name']}.yaml", self.daemon_settings(entry))
        process = self.processes.start(entry["name"], [self.daemon_program, "--config", config])
        self.daemons[entry["name"]] = process
        return process

    def start_daemons(self):
        if not os.path.exists(self.daemon_program):
            raise RuntimeError(f"{self.daemon_program} does not exist")
        for entry in self.entries:
            self.start_daemon(entry)
        for entry in self.entries:
            process = self.daemons[entry["name"]]
            if not wait_until(lambda: self.probe(entry, "/healthz") or not process.alive(), START_SECONDS):
                raise RuntimeError(f"{entry['name']} is not healthy, see {process.log}")
            if not process.alive():
                raise RuntimeError(f"{entry['name']} ended, see {process.log}")

    @staticmethod
    def probe(entry, target):
        return try_call(entry["caller"], target)[0] == 200

    def wait_ready(self, seconds=BUNDLE_SECONDS):
        """Waits until all daemons are ready; returns the names of those that are not."""
        wait_until(lambda: all(self.probe(entry, "/readyz") for entry in self.entries), seconds)
        return [entry["name"] for entry in self.entries if not self.probe(entry, "/readyz")]

    def start_load(self, seconds, drain_seconds, seed, rate_factor=1.0):
        settings = {
            "seed": seed,
            "seconds": seconds,
            "drain_seconds": drain_seconds,
            "journal": self.load_journal,
            "control_address": self.load_control,
            "accounts": accounts(self.deployment, rate_factor),
            "entries": [
                {"name": entry["name"], "region": entry["region"],
                 "addresses": {region: self.path(f"client-{region}", entry["region"], entry["name"])
                               for region in self.regions}}
                for entry in self.entries
            ],
        }
        self.load = self._start_standin("load", "load", settings)

    def stop_daemons(self, seconds):
        """Graceful stop of all daemons at once; returns the names of those that did not end in time or failed."""
        running = [process for process in self.daemons.values() if process.alive()]
        for process in running:
            process.process.terminate()
        deadline = time.monotonic() + seconds
        return [p.name for p in running if p.wait(max(0.0, deadline - time.monotonic())) != 0]


def detail_of(answer):
    """The detail of an answer as an object; it may be carried as a text."""
    detail = (answer or {}).get("detail")
    if isinstance(detail, str):
        try:
            return json.loads(detail)
        except ValueError:
            return {"text": detail}
    return detail or {}


def sign_bundle(entry, text, author="ana", signer="ben", timeout=5.0):
    """Drafts and signs off a bundle at one entry: (status of the sign-off or None, its answer)."""
    status, answer = call(entry["caller"], "/v1/admin/draft", {"author": author, "text": json.dumps(text)}, timeout)
    if status != 200:
        return None, answer
    draft = detail_of(answer)
    body = {"signer": signer, "draft": draft.get("draft"), "base_version": draft.get("base_version", 0)}
    return call(entry["caller"], "/v1/admin/sign", body, timeout)


def bundle_version(entry):
    """(version in force at a daemon or None, answer)."""
    status, answer = try_call(entry["caller"], "/v1/admin/bundle")
    if status != 200 or not isinstance(answer, dict):
        return None, answer
    return answer.get("version", detail_of(answer).get("version")), answer
