"""scripts/faults: runs a deployment under faults chosen from a seed and checks all guarantees."""

import random
import threading
import time

import check_journals
import fault_report
from demo import (
    BUNDLE_TIMEOUT_SECONDS, make_parser, prepare_cluster, print_violations, run_script, sign_off_first_bundle,
    wait_for_load,
)
from fault_kinds import KINDS, FaultContext
from journal import WorkerHistory, read_lines, read_requests
from operators import BundleWatcher, JournalWriter, Operators
from processes import wait_until

BASELINE_SECONDS = 6  # without faults after the start of the load
GAP_RANGE_SECONDS = (3, 7)  # minimum and maximum pause between faults
DRAIN_SECONDS = 60  # after the load; more than a store outage and a task lease together
LAST_BUNDLE_TIMEOUT_SECONDS = 20  # until all daemons have the last bundle in force
STOP_TIMEOUT_SECONDS = 35


def draw_plan(seed, kinds):
    """Yields without end (kinds that begin together, a seed for each, seconds of pause after them).

    A step is one fault, the next two faults together or one kind twice. Kinds are drawn in shuffled order, each once
    before any is drawn again.
    """
    random_source = random.Random(seed)
    remaining_kinds = []

    def next_kind():
        if not remaining_kinds:
            remaining_kinds.extend(kinds)
            random_source.shuffle(remaining_kinds)
        return remaining_kinds.pop()

    while True:
        pattern = random_source.choice(["single", "single", "together", "twice"])
        names = [next_kind()]
        if pattern == "together":
            names.append(next_kind())
        elif pattern == "twice":
            names.append(names[0])
        yield names, [random_source.getrandbits(32) for _ in names], random_source.uniform(*GAP_RANGE_SECONDS)


class FaultRunner(threading.Thread):
    """Injects the faults of the plan; starts none after `end_time` and waits for those that have started."""

    def __init__(self, context, plan, end_time):
        super().__init__(daemon=True)
        self.context = context
        self.plan = plan
        self.end_time = end_time
        self.faults = []  # (names, begin, end) in wall-clock nanoseconds
        self.errors = []

    def run(self):
        self.context.sleep(BASELINE_SECONDS)
        for names, seeds, gap in self.plan:
            if time.monotonic() >= self.end_time or self.context.abort_event.is_set():
                return
            begin = time.time_ns()
            print(f"       fault: {' + '.join(names)}", flush=True)
            threads = [
                threading.Thread(target=self._run_fault, args=(name, seed), daemon=True)
                for name, seed in zip(names, seeds)
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            self.faults.append(("+".join(names), begin, time.time_ns()))
            self.context.sleep(gap)

    def _run_fault(self, name, seed):
        try:
            KINDS[name](self.context, random.Random(seed))
        except Exception as error:  # a fault that could not be injected must fail the run
            self.errors.append(f"{name}: {error!r}")


def end_faults(cluster, context):
    """Removes faults that a failed injection left and replaces daemons that crashed; returns the names of these."""
    context.set_store_fault(mode="ok")
    context.control_links("restore", ["*"])
    ended = [entry for entry in cluster.entries if not cluster.daemons[entry["name"]].alive()]
    for entry in ended:
        cluster.start_daemon(entry)
    return [entry["name"] for entry in ended]


def wait_for_last_bundle(cluster, watcher):
    """Waits until all daemons report the highest version."""
    def all_current():
        return all((watcher.poll(entry) or 0) >= watcher.highest_version for entry in cluster.entries)

    wait_until(all_current, LAST_BUNDLE_TIMEOUT_SECONDS, 0.5)


def main():
    options = make_parser(__doc__)
    options.add_argument("--seed", type=int, required=True, help="seed of the faults and of the load")
    options.add_argument("--seconds", type=float, default=120, help="seconds during which requests arrive (120)")
    options.add_argument("--kinds", default=",".join(KINDS), help="kinds of faults, separated by commas (all)")
    arguments = options.parse_args()
    kinds = arguments.kinds.split(",")
    if not set(kinds) <= set(KINDS):
        options.error(f"unknown kind of fault; the kinds are {', '.join(KINDS)}")
    cluster = prepare_cluster(arguments)
    events = JournalWriter(cluster.events_journal)
    probes_path = cluster.load_journal + ".probes"
    probe_journal = JournalWriter(probes_path)
    watcher = BundleWatcher(cluster, events)
    operators = Operators(cluster, events, watcher, probe_journal)
    context = FaultContext(cluster, events, operators)
    try:
        cluster.start_platform()
        cluster.start_daemons()
        sign_off_first_bundle(cluster)
        watcher.start()
        wait_until(lambda: watcher.highest_version > 0, BUNDLE_TIMEOUT_SECONDS)
        load_begin = time.time_ns()
        cluster.start_load(arguments.seconds, DRAIN_SECONDS, arguments.seed, arguments.rate)
        runner = FaultRunner(context, draw_plan(arguments.seed, kinds),
                             time.monotonic() + arguments.seconds - BASELINE_SECONDS)
        runner.start()
        load_ended = wait_for_load(cluster, arguments.seconds + DRAIN_SECONDS + 60)
        runner.join(60)
        crashed = end_faults(cluster, context)
        not_ready = cluster.wait_ready()
        wait_for_last_bundle(cluster, watcher)
        watcher.finish()
        failed_stops = cluster.stop_daemons(STOP_TIMEOUT_SECONDS)
    finally:
        context.abort_event.set()
        cluster.processes.stop_all()
        events.close()
        probe_journal.close()
    lines = read_lines(cluster.load_journal) + read_lines(probes_path)
    requests = read_requests(lines)
    workers = WorkerHistory([line for path in cluster.worker_journals() for line in read_lines(path)])
    violations = check_journals.check_all(requests, workers, read_lines(cluster.events_journal))
    print("\n".join(check_journals.class_table(requests, workers)))
    for error, count in check_journals.error_counts(requests).items():
        print(f"{error}: {count}")
    timeline = fault_report.RequestTimeline(requests, workers.runs_by_request())
    print("\n".join(fault_report.recovery_table(timeline, runner.faults, load_begin)))
    print_violations(violations)
    for problem in runner.errors:
        print(f"fault injection failed: {problem}")
    for name in crashed:
        print(f"{name} exited unexpectedly, see {name}.log")
    for name in not_ready:
        print(f"{name} is not ready after the faults")
    for name in failed_stops:
        print(f"{name}: graceful stop failed")
    print(check_journals.summary_line(requests, violations, violations.keys()))
    run_ok = load_ended and requests and not (runner.errors or crashed or not_ready)
    return 0 if run_ok and not any(violations.values()) else 1


if __name__ == "__main__":
    run_script(main)
