"""scripts/demo: runs a deployment on loopback, checks the basic guarantees and prints outcomes and costs."""

# scripts/faults imports the command line and the helper functions of this module.

import argparse
import http.client
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time

import check_journals
from cluster import Cluster, draft_and_sign_off, read_bundle_version
from deployments import DEPLOYMENTS, make_bundle
from measure import UsageMeter
from processes import try_http_call, wait_until

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
DRAIN_SECONDS = 25  # more than the task lease of 15 s
PROGRESS_PERIOD_SECONDS = 3
STOP_TIMEOUT_SECONDS = 35  # the daemon's own limit is 30 s
BUNDLE_TIMEOUT_SECONDS = 30


def make_parser(description):
    result = argparse.ArgumentParser(description=description)
    result.add_argument("deployment", choices=sorted(DEPLOYMENTS))
    result.add_argument("--entries", type=int, default=6, help="number of daemons (6)")
    result.add_argument("--out", help="folder for settings, logs and journals, emptied first (a temporary folder)")
    result.add_argument("--rate", type=float, default=1.0, help="factor on the arrival rates (1)")
    result.add_argument("--daemon", help="path of the daemon program (build/src/daemon/mimosapierd)")
    result.add_argument("--no-setup", action="store_true", help="skip scripts/setup")
    return result


def prepare_cluster(arguments):
    """Runs scripts/setup and returns the cluster, not yet started; SIGTERM ends the script with status 143."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    if not arguments.no_setup:
        subprocess.run([os.path.join(ROOT, "scripts/setup")], check=True)
    out = arguments.out or tempfile.mkdtemp(prefix="mimosapier-")
    if arguments.out and os.path.isdir(out):
        shutil.rmtree(out)
    os.makedirs(out, exist_ok=True)
    print(f"settings, logs and journals: {out}", flush=True)
    return Cluster(DEPLOYMENTS[arguments.deployment], out, arguments.entries, ROOT, arguments.daemon)


def sign_off_first_bundle(cluster):
    """Signs off the first bundle, waits until all daemons are ready and returns the version in force."""
    last_result = {}

    def try_sign_off():
        try:
            status, last_result["answer"] = draft_and_sign_off(cluster.entries[0], make_bundle(cluster.deployment))
        except (OSError, http.client.HTTPException) as error:
            status, last_result["answer"] = None, error
        return status == 200

    if not wait_until(try_sign_off, BUNDLE_TIMEOUT_SECONDS, 1.0):
        raise RuntimeError(f"the first bundle was not signed off: {last_result['answer']}")
    not_ready = cluster.wait_ready()
    if not_ready:
        raise RuntimeError(f"daemons not ready: {', '.join(not_ready)}")
    return read_bundle_version(cluster.entries[0])[0]


def print_progress(cluster, start_time, previous_line):
    """Prints one line about the load if it differs from the previous line; returns the latest line."""
    status, stats = try_http_call(cluster.load_control, "/v1/stats")
    if status == 200:
        outcomes = " ".join(f"{name} {count}" for name, count in sorted(stats["outcomes"].items()))
        ready = sum(stats["ready"].values())
        line = (f"sent {stats['sent']}, open {stats['open']}, {outcomes}, "
                f"ready entries {ready}/{len(stats['ready'])}")
        if line != previous_line:
            print(f"{time.monotonic() - start_time:5.0f} s  {line}", flush=True)
        return line
    return previous_line


def wait_for_load(cluster, timeout, on_poll=None):
    """Prints progress until the load exits; returns False at the timeout.

    `on_poll` is called with the seconds since the start.
    """
    start_time = time.monotonic()
    last_print_time = start_time
    line = ""
    while cluster.load.alive():
        now = time.monotonic()
        if now - start_time > timeout:
            return False
        if now - last_print_time >= PROGRESS_PERIOD_SECONDS:
            last_print_time = now
            line = print_progress(cluster, start_time, line)
        if on_poll:
            on_poll(now - start_time)
        time.sleep(0.1)
    return True


def print_violations(violations, max_lines=5):
    for name, descriptions in violations.items():
        for description in descriptions[:max_lines]:
            print(f"{name}: {description}")
        if len(descriptions) > max_lines:
            print(f"{name}: {len(descriptions) - max_lines} more")


def main():
    options = make_parser(__doc__)
    options.add_argument("--seconds", type=float, default=20, help="seconds during which requests arrive (20)")
    options.add_argument("--seed", type=int, default=1, help="seed of the load (1)")
    arguments = options.parse_args()
    cluster = prepare_cluster(arguments)
    try:
        cluster.start_platform()
        cluster.start_daemons()
        version = sign_off_first_bundle(cluster)
        print(f"{len(cluster.entries)} daemons ready, bundle version {version} in force", flush=True)
        usage = UsageMeter(cluster)
        cluster.start_load(arguments.seconds, DRAIN_SECONDS, arguments.seed, arguments.rate)
        load_ended = wait_for_load(cluster, arguments.seconds + DRAIN_SECONDS + 10)
        costs = usage.report_lines()
        failed_stops = cluster.stop_daemons(STOP_TIMEOUT_SECONDS)
    finally:
        cluster.processes.stop_all()
    requests, workers, violations = check_journals.check_files(cluster.load_journal, cluster.worker_journals())
    print("\n".join(check_journals.class_table(requests, workers)))
    print("\n".join(costs))
    for error, count in check_journals.error_counts(requests).items():
        print(f"{error}: {count}")
    print_violations({name: violations[name] for name in check_journals.BASIC_CHECKS})
    if failed_stops:
        print(f"graceful stop failed: {', '.join(failed_stops)}")
    print(check_journals.summary_line(requests, violations, check_journals.BASIC_CHECKS))
    return 0 if load_ended and requests and not any(violations[name] for name in check_journals.BASIC_CHECKS) else 1


def run_script(entry_point):
    """Runs a script's main() and exits; prints one line instead of a trace for Ctrl-C and RuntimeError."""
    try:
        sys.exit(entry_point())
    except KeyboardInterrupt:
        print("interrupted", file=sys.stderr)
        sys.exit(130)
    except RuntimeError as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    run_script(main)
