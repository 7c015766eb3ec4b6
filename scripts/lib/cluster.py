"""Runs a deployment on loopback: stand-ins of the platform, links with delays, and daemons.

Used by scripts/demo, scripts/faults, scripts/capacity and tests/ctl.
"""

import json
import os
import time

from deployments import accounts
from processes import PortAllocator, ProcessSet, http_call, try_http_call, wait_until

WORKER_COUNT = 48
RACK_SIZE = 8
WORKER_PROCESSES = 3  # one per region
START_TIMEOUT_SECONDS = 20
BUNDLE_TIMEOUT_SECONDS = 30


class Cluster:
    """Holds the addresses, settings files and processes of one run.

    An entry is a daemon as its callers address it; `daemons` has the current process of each.
    """

    def __init__(self, deployment, out, entry_count, root, daemon=None):
        self.deployment = deployment
        self.out = out
        self.root = root
        self.daemon_program = daemon or os.path.join(root, "build/src/daemon/mimosapierd")
        self.processes = ProcessSet(out)
        self.daemons = {}  # name -> Process
        self.load = None
        ports = PortAllocator()
        self.regions = deployment["regions"]
        self.store = ports.next_address()
        self.instances = ports.next_address()
        self.link_control = ports.next_address()
        self.load_control = ports.next_address()
        self.entries = []
        for i in range(entry_count):
            region = self.regions[i * len(self.regions) // entry_count]
            self.entries.append(
                {"name": f"d{i + 1}", "region": region, "caller": ports.next_address(), "peer": ports.next_address(),
                 "metrics": ports.next_address()}
            )
        self.workers = []
        per_region = WORKER_COUNT // len(self.regions)
        for i in range(WORKER_COUNT):
            region = self.regions[i // per_region]
            rack = f"rack-{i % per_region // RACK_SIZE + 1}"
            self.workers.append({"id": f"w{i + 1:02}", "region": region, "rack": rack, "address": ports.next_address()})
        self.worker_control = {region: ports.next_address() for region in self.regions}
        self.links = []
        self.link_addresses = {}  # (source, target) -> address of the link; source is a region or "client-<region>"
        self._add_links(ports)

    def _delay(self, region, other_region):
        return self.deployment["zone_ms"] if region == other_region else self.deployment["region_ms"]

    def _add_link(self, ports, source, target, address, delay):
        listen = ports.next_address()
        self.links.append({"name": f"{source}>{target}", "listen": listen, "target": address, "delay_ms": delay})
        self.link_addresses[(source, target)] = listen

    def _add_links(self, ports):
        store_region = self.regions[0]  # also has the instance list
        for region in self.regions:
            self._add_link(ports, region, f"{store_region}/store", self.store, self._delay(region, store_region))
            self._add_link(
                ports, region, f"{store_region}/instances", self.instances, self._delay(region, store_region)
            )
            for entry in self.entries:
                delay = self._delay(region, entry["region"])
                self._add_link(ports, region, f"{entry['region']}/{entry['name']}", entry["peer"], delay)
                client_delay = self.deployment["client_ms"] + (delay if entry["region"] != region else 0)
                self._add_link(
                    ports, f"client-{region}", f"{entry['region']}/{entry['name']}", entry["caller"], client_delay
                )
            for worker in self.workers:
                delay = self._delay(region, worker["region"])
                self._add_link(ports, region, f"{worker['region']}/{worker['id']}", worker["address"], delay)

    def link_address(self, source, region, name):
        return self.link_addresses[(source, f"{region}/{name}")]

    def _write_settings(self, name, settings):
        path = os.path.join(self.out, name)
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file, indent=1)
        return path

    def _start_standin(self, kind, name, settings, ready_endpoint=None):
        program = os.path.join(self.root, "build/src/standin", f"standin-{kind}")
        process = self.processes.start(name, [program, "--config", self._write_settings(f"{name}.yaml", settings)])
        if ready_endpoint and not wait_until(
            lambda: try_http_call(*ready_endpoint)[0] == 200 or not process.alive(), START_TIMEOUT_SECONDS
        ):
            raise RuntimeError(f"{name} does not answer, see {process.log_path}")
        if not process.alive():
            raise RuntimeError(f"{name} exited, see {process.log_path}")
        return process

    def start_platform(self):
        """Starts all stand-ins except the load."""
        self._start_standin("store", "store", {"address": self.store}, (self.store, "/v1/stats"))
        for region in self.regions:
            region_workers = [
                dict(worker, **self.deployment["worker"]) for worker in self.workers if worker["region"] == region
            ]
            self._start_standin(
                "worker", f"workers-{region}",
                {"control_address": self.worker_control[region], "workers": region_workers,
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
            "store_address": self.link_address(region, self.regions[0], "store"),
            "instance_list_address": self.link_address(region, self.regions[0], "instances"),
            "peer_address_overrides": {
                other["name"]: self.link_address(region, other["region"], other["name"])
                for other in self.entries if other is not entry
            },
            "worker_address_overrides": {
                worker["address"]: self.link_address(region, worker["region"], worker["id"]) for worker in self.workers
            },
        }

    def start_daemon(self, entry):
        """Starts the daemon of an entry; also replaces a daemon that has exited."""
        config = self._write_settings(f"{entry['name']}.yaml", self.daemon_settings(entry))
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
            if not wait_until(
                lambda: self.responds_ok(entry, "/healthz") or not process.alive(), START_TIMEOUT_SECONDS
            ):
                raise RuntimeError(f"{entry['name']} is not healthy, see {process.log_path}")
            if not process.alive():
                raise RuntimeError(f"{entry['name']} exited, see {process.log_path}")

    @staticmethod
    def responds_ok(entry, target):
        return try_http_call(entry["caller"], target)[0] == 200

    def wait_ready(self, seconds=BUNDLE_TIMEOUT_SECONDS):
        """Waits until all daemons are ready; returns the names of those that are not ready at the timeout."""
        wait_until(lambda: all(self.responds_ok(entry, "/readyz") for entry in self.entries), seconds)
        return [entry["name"] for entry in self.entries if not self.responds_ok(entry, "/readyz")]

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
                 "addresses": {region: self.link_address(f"client-{region}", entry["region"], entry["name"])
                               for region in self.regions}}
                for entry in self.entries
            ],
        }
        self.load = self._start_standin("load", "load", settings)

    def stop_daemons(self, seconds):
        """Sends SIGTERM to all daemons; returns the names of those that time out or exit with an error."""
        running = [process for process in self.daemons.values() if process.alive()]
        for process in running:
            process.popen.terminate()
        deadline = time.monotonic() + seconds
        return [p.name for p in running if p.wait(max(0.0, deadline - time.monotonic())) != 0]


def answer_detail(answer):
    """Returns the detail of an answer as an object; a daemon may send it as JSON text or as plain text."""
    detail = (answer or {}).get("detail")
    if isinstance(detail, str):
        try:
            return json.loads(detail)
        except ValueError:
            return {"text": detail}
    return detail or {}


def draft_and_sign_off(entry, bundle, author="ana", signer="ben", timeout=5.0):
    """Drafts and signs off a bundle at one entry.

    Returns (HTTP status of the sign-off, answer), or (None, answer to the draft) when the draft is refused.
    """
    status, answer = http_call(
        entry["caller"], "/v1/admin/draft", {"author": author, "text": json.dumps(bundle)}, timeout
    )
    if status != 200:
        return None, answer
    draft = answer_detail(answer)
    body = {"signer": signer, "draft": draft.get("draft"), "base_version": draft.get("base_version", 0)}
    return http_call(entry["caller"], "/v1/admin/sign", body, timeout)


def read_bundle_version(entry):
    """Returns (version in force at a daemon, answer); the version is None when the daemon does not report one."""
    status, answer = try_http_call(entry["caller"], "/v1/admin/bundle")
    if status != 200 or not isinstance(answer, dict):
        return None, answer
    return answer.get("version", answer_detail(answer).get("version")), answer
