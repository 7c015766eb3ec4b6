"""The kinds of faults that scripts/faults injects.

Each kind is a function fault(context, random) that injects the fault, waits and removes the fault before it returns.
"""

import signal
import threading

from processes import try_http_call

MEMBER_LEASE_SECONDS = 4
TASK_LEASE_SECONDS = 15
INSTANCE_LAG_SECONDS = 2


class FaultContext:
    """Gives faults access to the cluster and the operators; keeps two faults from using one daemon or worker."""

    def __init__(self, cluster, events, operators):
        self.cluster = cluster
        self.events = events
        self.operators = operators
        self.abort_event = threading.Event()
        self.lock = threading.Lock()
        self.reserved_names = set()  # daemons and workers in use by a fault

    def sleep(self, seconds):
        """Sleeps; returns early when the run is aborted."""
        self.abort_event.wait(seconds)

    def reserve(self, names, random):
        """Reserves a random one of the names that no other fault uses; returns None when all are in use."""
        with self.lock:
            free = sorted(set(names) - self.reserved_names)
            if not free:
                return None
            name = random.choice(free)
            self.reserved_names.add(name)
            return name

    def release(self, name):
        with self.lock:
            self.reserved_names.discard(name)

    def reserve_entry(self, random):
        name = self.reserve([entry["name"] for entry in self.cluster.entries], random)
        return next((entry for entry in self.cluster.entries if entry["name"] == name), None)

    def control_links(self, action, names):
        try_http_call(self.cluster.link_control, "/v1/control", {"action": action, "names": names})

    def set_store_fault(self, **fault):
        try_http_call(self.cluster.store, "/v1/fault", fault)

    def control_worker(self, worker, **control):
        try_http_call(self.cluster.worker_control[worker["region"]], "/v1/control", {"worker": worker["id"], **control})


def kill_daemon(context, random):
    """Kills a daemon by SIGKILL and starts a replacement with the same name, before or after its lease ends."""
    entry = context.reserve_entry(random)
    if entry is None:
        return
    context.cluster.daemons[entry["name"]].kill()
    context.sleep(random.uniform(1, 2.5 * MEMBER_LEASE_SECONDS))
    context.cluster.start_daemon(entry)
    context.release(entry["name"])


def stop_daemon(context, random):
    """Stops a daemon gracefully by SIGTERM and starts a replacement after its exit."""
    entry = context.reserve_entry(random)
    if entry is None:
        return
    process = context.cluster.daemons[entry["name"]]
    context.events.add("stop-begin", entry=entry["name"])
    process.send_signal(signal.SIGTERM)
    status = process.wait(35)
    if status is None:
        process.kill()
    context.events.add("stop-end", entry=entry["name"], status=status)
    if status != 0:
        print(f"{entry['name']}: graceful stop ended with status {status}", flush=True)
    context.sleep(random.uniform(0.5, 3))
    context.cluster.start_daemon(entry)
    context.release(entry["name"])


def pause_daemon(context, random):
    """Suspends a daemon by SIGSTOP for longer than its member lease, then resumes it by SIGCONT."""
    entry = context.reserve_entry(random)
    if entry is None:
        return
    process = context.cluster.daemons[entry["name"]]
    process.send_signal(signal.SIGSTOP)
    context.sleep(random.choice([1.5 * MEMBER_LEASE_SECONDS, 2 * MEMBER_LEASE_SECONDS, TASK_LEASE_SECONDS + 3]))
    process.send_signal(signal.SIGCONT)
    context.release(entry["name"])


def cut_region(context, random):
    """Cuts one region off from the others, for daemons and callers."""
    region = random.choice(context.cluster.regions)
    others = [other for other in context.cluster.regions if other != region]
    names = [f"{prefix}{region}>{other}/*" for other in others for prefix in ("", "client-")]
    names += [f"{prefix}{other}>{region}/*" for other in others for prefix in ("", "client-")]
    context.control_links("cut", names)
    context.sleep(random.uniform(5, 15))
    context.control_links("restore", names)


def silence_links(context, random):
    """Open connections from one region stop forwarding data without closing; new connections work."""
    regions = context.cluster.regions
    source = random.choice(regions)
    target = random.choice(["", *regions])
    patterns = [f"{source}>{target}*"]
    if random.random() < 0.3:
        patterns.append(f"client-{source}>*")
    context.control_links("silence", patterns)
    context.sleep(2)


def disturb_store(context, random):
    """Makes the store unavailable for longer than every lease, unavailable for a short time, or slow."""
    kind = random.choice(["down-long", "down-short", "slow"])
    if kind == "slow":
        context.set_store_fault(mode="slow", ms=random.choice([300, 1500]), ratio=1)
        context.sleep(random.uniform(6, 12))
    else:
        context.set_store_fault(mode="down", ratio=random.choice([0, 0.5, 1]))
        context.sleep(TASK_LEASE_SECONDS + 5 if kind == "down-long" else random.uniform(2, 6))
    context.set_store_fault(mode="ok")


def lose_store_answers(context, random):
    """The store applies writes but drops the connection before it answers."""
    context.set_store_fault(mode="lose-answers", ratio=random.choice([0.3, 1]))
    context.sleep(random.uniform(3, 8))
    context.set_store_fault(mode="ok")


def run_operators(context, random):
    """Operators sign off conflicting bundles that lower a limit while another operator replaces a key."""
    threads = [
        threading.Thread(target=action, args=(type(random)(random.random()), context.sleep))
        for action in (context.operators.race_sign_offs, context.operators.replace_key)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def remove_workers(context, random):
    """Marks workers as leaving in the instance list, and later as live; some also report it themselves."""
    targets = []
    for _ in range(random.randint(1, 6)):
        name = context.reserve([worker["id"] for worker in context.cluster.workers], random)
        targets += [(worker, random.random() < 0.5) for worker in context.cluster.workers if worker["id"] == name]
    for worker, announces in targets:
        try_http_call(context.cluster.instances, "/v1/control", {"id": worker["id"], "state": "leaving"})
        context.events.add("worker-leaving", worker=worker["id"])
        if announces:
            context.control_worker(worker, leaving=True)
    context.sleep(random.uniform(8, 14))
    for worker, _ in targets:
        context.events.add("worker-live", worker=worker["id"])
        context.control_worker(worker, leaving=False)
        try_http_call(context.cluster.instances, "/v1/control", {"id": worker["id"], "state": "live"})
        context.release(worker["id"])


def cancel_jobs(context, random):
    """Makes the load cancel many jobs at once, up to three times."""
    for _ in range(random.randint(1, 3)):
        try_http_call(context.cluster.load_control, "/v1/control", {"cancel_ratio": random.choice([0.5, 1])})
        context.sleep(random.uniform(0.1, 2))


def break_workers(context, random):
    """Makes some workers fail or refuse every task."""
    targets = []
    for _ in range(random.randint(1, 4)):
        name = context.reserve([worker["id"] for worker in context.cluster.workers], random)
        targets += [worker for worker in context.cluster.workers if worker["id"] == name]
    for worker in targets:
        context.control_worker(worker, mode=random.choice(["fail", "refuse"]))
    context.sleep(random.uniform(5, 10))
    for worker in targets:
        context.control_worker(worker, mode="ok")
        context.release(worker["id"])


def misdeclare_run_times(context, random):
    """Makes the load declare run times that are wrong by a factor of ten."""
    try_http_call(context.cluster.load_control, "/v1/control", {"declared_factor": random.choice([0.1, 10])})
    context.sleep(random.uniform(5, 10))
    try_http_call(context.cluster.load_control, "/v1/control", {"declared_factor": 1})


KINDS = {
    "kill": kill_daemon,
    "stop": stop_daemon,
    "pause": pause_daemon,
    "cut": cut_region,
    "silent": silence_links,
    "store": disturb_store,
    "operators": run_operators,
    "leaving": remove_workers,
    "cancel": cancel_jobs,
    "bad-worker": break_workers,
    "lost-answer": lose_store_answers,
    "sizes": misdeclare_run_times,
}
