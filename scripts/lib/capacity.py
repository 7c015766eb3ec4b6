"""scripts/capacity: measures the control cost of a daemon as the cluster grows.

Each series varies one dimension of the deployment and keeps the others; each point is one run on loopback with
stand-ins. Prints one line for each point, the name of the series and a JSON object with the processor share of one
core (mean and maximum over the daemons), memory of the largest daemon, payload per daemon and second without the
callers' connections, and store calls per second of all daemons, including watches.
"""

import argparse
import copy
import json
import os
import shutil
import sys
import tempfile
import time

import cluster as cluster_module
from cluster import Cluster, draft_and_sign_off
from deployments import HOLLINGS, make_bundle
from measure import memory_mb, processor_seconds
from processes import try_http_call, wait_until

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
WARM_UP_SECONDS = 6
BUNDLE_TIMEOUT_SECONDS = 30

# Series by name. A point is (daemons, regions, workers, teams, load factor); load factor 0 measures an idle cluster.
SERIES = {
    "workers": [(2, 1, 16, 6, 0), (2, 1, 96, 6, 0), (2, 1, 192, 6, 0), (2, 1, 384, 6, 0)],
    "daemons": [(3, 3, 48, 6, 0), (6, 3, 48, 6, 0), (12, 3, 48, 6, 0), (24, 3, 48, 6, 0)],
    "region-daemons": [(8, 1, 48, 6, 0), (32, 1, 48, 6, 0)],
    "regions": [(6, 1, 48, 6, 0), (6, 2, 48, 6, 0), (6, 3, 48, 6, 0)],
    "teams": [(6, 3, 48, 6, 0), (6, 3, 48, 60, 0), (6, 3, 48, 610, 0)],
    "load": [(6, 3, 48, 6, 0.5), (6, 3, 48, 6, 1), (6, 3, 48, 6, 2)],
}


def deployment_with_regions(region_count):
    result = copy.deepcopy(HOLLINGS)
    result["regions"] = result["regions"][:region_count]
    return result


def bundle_with_teams(deployment, team_count):
    bundle = make_bundle(deployment)
    template = next(iter(bundle["teams"].values()))
    for i in range(len(bundle["teams"]), team_count):
        bundle["teams"][f"team-{i:03}"] = dict(template)
    return bundle


def traffic_and_store_calls(cluster):
    """Total bytes on all links except the callers', and total store calls, since the start of the cluster."""
    links = (try_http_call(cluster.link_control, "/v1/stats")[1] or {}).get("links", {})
    transferred = sum(
        traffic["out"] + traffic["back"] for name, traffic in links.items() if not name.startswith("client-")
    )
    calls = (try_http_call(cluster.store, "/v1/stats")[1] or {}).get("calls", {})
    return transferred, sum(calls.values())


def measure_cost(cluster, seconds):
    pids = [process.popen.pid for process in cluster.daemons.values()]
    start_time = time.monotonic()
    processor_before = [processor_seconds(pid) for pid in pids]
    transferred_before, calls_before = traffic_and_store_calls(cluster)
    time.sleep(seconds)
    elapsed = time.monotonic() - start_time
    processor_shares = [(processor_seconds(pid) - before) / elapsed for pid, before in zip(pids, processor_before)]
    transferred_after, calls_after = traffic_and_store_calls(cluster)
    return {
        "processor_percent": round(100 * sum(processor_shares) / len(processor_shares), 2),
        "processor_percent_max": round(100 * max(processor_shares), 2),
        "memory_mb": round(max(memory_mb(pid) for pid in pids), 1),
        # A connection between daemons has a daemon at both ends. Each byte is counted once, for its sender, so the
        # total divided by the number of daemons is the traffic that one daemon causes.
        "kb_per_second": round((transferred_after - transferred_before) / elapsed / len(pids) / 1000, 2),
        "store_calls_per_second": round((calls_after - calls_before) / elapsed, 2),
    }


def sign_off_and_wait_ready(cluster, bundle):
    """Puts the first bundle in force; raises RuntimeError when a daemon does not become ready."""
    wait_until(lambda: draft_and_sign_off(cluster.entries[0], bundle)[0] == 200, BUNDLE_TIMEOUT_SECONDS, 1.0)
    not_ready = cluster.wait_ready()
    if not_ready:
        raise RuntimeError(f"daemons not ready: {', '.join(not_ready)}")


def run_point(point, seconds, out):
    daemons, regions, workers, teams, load = point
    deployment = deployment_with_regions(regions)
    cluster_module.WORKER_COUNT = workers
    cluster = Cluster(deployment, out, daemons, ROOT)
    try:
        cluster.start_platform()
        cluster.start_daemons()
        sign_off_and_wait_ready(cluster, bundle_with_teams(deployment, teams))
        if load:
            cluster.start_load(WARM_UP_SECONDS + seconds + 2, 1, 1, load)
        time.sleep(WARM_UP_SECONDS)
        result = measure_cost(cluster, seconds)
        if load:
            stats = try_http_call(cluster.load_control, "/v1/stats")[1] or {}
            result["requests"] = stats.get("sent", 0)
    finally:
        cluster.processes.stop_all()
    dimensions = ("daemons", "regions", "workers", "teams", "load")
    return {**dict(zip(dimensions, point)), **result}


def main():
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    options.add_argument("--series", choices=sorted(SERIES), action="append", help="series to run, repeatable (all)")
    options.add_argument("--seconds", type=float, default=10, help="seconds measured at each point (10)")
    options.add_argument("--json", help="file to write all results to, as JSON")
    arguments = options.parse_args()
    results = {}
    for name in arguments.series or SERIES:
        results[name] = []
        for point in SERIES[name]:
            out = tempfile.mkdtemp(prefix="mimosapier-capacity-")
            result = run_point(point, arguments.seconds, out)
            shutil.rmtree(out)
            results[name].append(result)
            print(name, json.dumps(result), flush=True)
    if arguments.json:
        with open(arguments.json, "w", encoding="utf-8") as file:
            json.dump(results, file, indent=1)
    return 0


if __name__ == "__main__":
    sys.exit(main())
