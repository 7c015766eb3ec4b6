"""scripts/faults: runs a deployment under faults drawn from a seed and checks the guarantees."""

import random
import threading
import time

import check_journals
import fault_report
from demo import BUNDLE_SECONDS, first_bundle, parser, prepare, run, show_problems, wait_for_load
from fault_kinds import KINDS, Context
from journal import Workers, read_lines, read_requests
from operators import Events, Operators, Watcher
from processes import wait_until

QUIET_SECONDS = 6  # before the first fault, to measure against
GAP_SECONDS = (3, 7)  # between faults
DRAIN_SECONDS = 60  # after the load; longer than a store outage and a task lease together
SETTLE_SECONDS = 20  # for the last bundle to be in force everywhere
GRACEFUL_SECONDS = 35


def draw_plan(seed, kinds):
    """Endless sequence of (kinds that begin together, seed of each): singly, two together, or one twice in a row."""
    source = random.Random(seed)
    bag = []

    def next_kind():
        if not bag:
            bag.extend(kinds)
            source.shuffle(bag)
        return bag.pop()

    while True:
        how = source.choice(["single", "single", "together", "twice"])
        names = [next_kind()]
        if how == "together":
            names.append(next_kind())
        elif how == "twice":
            names.append(names[0])
        yield names, [source.getrandbits(32) for _ in names], source.uniform(*GAP_SECONDS)


class FaultRunner(threading.Thread):
    """Carries the plan out until the given time; the last fault ends by itself."""

    def __init__(self, context, plan, end):
        super().__init__(daemon=True)
        self.context = context
        self.plan = plan
        self.end = end
        self.done = []  # (names, begin, end) in wall-clock nanoseconds
        self.failed = []

    def run(self):
        self.context.sleep(QUIET_SECONDS)
        for names, seeds, gap in self.plan:
            if time.monotonic() >= self.end or self.context.aborted.is_set():
                return
            begin = time.time_ns()
            print(f"       fault: {' + '.join(names)}", flush=True)
            threads = [
                threading.Thread(target=self.one, args=(name, seed), daemon=True) for name, seed in zip(names, seeds)
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            self.done.append(("+".join(names), begin, time.time_ns()))
            self.context.sleep(gap)

    def one(self, name, seed):
        try:
            KINDS[name](self.context, random.Random(seed))
        except Exception as error:  # a fault that could not be made is a failed run, not a silent gap
            self.failed.append(f"{name}: {error!r}")


def restore(cluster, context):
    """Ends whatever a failed fault may have left and replaces daemons that have ended by themselves; returns those."""
    context.store(mode="ok")
    context.link("restore", ["*"])
    ended = [entry for entry in cluster.entries if not cluster.daemons[entry["name"]].alive()]
    for entry in ended:
        cluster.start_daemon(entry)
    return [entry["name"] for entry in ended]


def settle(cluster, watcher):
    """Waits until all daemons show the highest version."""
    def same():
        return all((watcher.look(entry) or 0) >= watcher.highest for entry in cluster.entries)

    wait_until(same, SETTLE_SECONDS, 0.5)


def main():
    options = parser(__doc__)
    options.add_argument("--seed", type=int, required=True, help="of the faults and of the load")
    options.add_argument("--seconds", type=float, default=120, help="time of arrivals (120)")
    options.add_argument("--kinds", default=",".join(KINDS), help="kinds of faults, separated by commas (all)")
    arguments = options.parse_args()
    kinds = arguments.kinds.split(",")
    if not set(kinds) <= set(KINDS):
        options.error(f"kinds are {', '.join(KINDS)}")
    cluster = prepare(arguments)
    events = Events(cluster.events_journal)
    probes_path = cluster.load_journal + ".probes"
    probes = Events(probes_path)
    watcher = Watcher(cluster, events)
    operators = Operators(cluster, events, watcher, probes)
    context = Context(cluster, events, operators)
    try:
        cluster.start_platform()
        cluster.start_daemons()
        first_bundle(cluster)
        watcher.start()
        wait_until(lambda: watcher.highest > 0, BUNDLE_SECONDS)
        load_begin = time.time_ns()
        cluster.start_load(arguments.seconds, DRAIN_SECONDS, arguments.seed, arguments.rate)
        runner = FaultRunner(context, draw_plan(arguments.seed, kinds),
                             time.monotonic() + arguments.seconds - QUIET_SECONDS)
        runner.start()
        ended = wait_for_load(cluster, arguments.seconds + DRAIN_SECONDS + 60)
        runner.join(60)
        crashed = restore(cluster, context)
        not_ready = cluster.wait_ready()
        settle(cluster, watcher)
        watcher.finish()
        unfinished = cluster.stop_daemons(GRACEFUL_SECONDS)
    finally:
        context.aborted.set()
        cluster.processes.end()
        events.close()
        probes.close()
    lines = read_lines(cluster.load_journal) + read_lines(probes_path)
    requests = read_requests(lines)
    workers = Workers([line for path in cluster.worker_journals() for line in read_lines(path)])
    violations = check_journals.check_all(requests, workers, read_lines(cluster.events_journal))
    print("\n".join(check_journals.table(requests, workers)))
    for error, count in check_journals.refusals(requests).items():
        print(f"{error}: {count}")
    buckets = fault_report.Buckets(requests, workers.by_request())
    print("\n".join(fault_report.table(buckets, runner.done, load_begin)))
    show_problems(violations)
    for problem in runner.failed:
        print(f"fault failed: {problem}")
    for name in crashed:
        print(f"{name} ended by itself, see {name}.log")
    for name in not_ready:
        print(f"{name} is not ready after the faults")
    for name in unfinished:
        print(f"{name} did not end gracefully")
    print(check_journals.last_line(requests, violations, violations.keys()))
    sound = ended and requests and not (runner.failed or crashed or not_ready)
    return 0 if sound and not any(violations.values()) else 1


if __name__ == "__main__":
    run(main)
