"""Checks the scheduler's guarantees against the journals of a run; used by scripts/demo and scripts/faults.

Can also be run alone on the journals of the load, the workers and the scripts. Shares no code with the daemon.
Each check_*() returns a list of descriptions, one for each violation.

The events journal is written by scripts/faults; times "t" are wall-clock nanoseconds:
  {"t","event":"limit-asked","team","limit"}     a sign-off that sets the limit is about to be sent
  {"t","event":"limit","team","limit"}           a daemon reported a new limit of the team for the first time
  {"t","event":"key-withdrawn","team","key"}     a daemon reported a bundle without the key for the first time
  {"t","event":"signed","version"}               a sign-off was confirmed as in force
  {"t","event":"version","daemon","version"}     a daemon (name and incarnation) reported the version in force;
                                                 "last" marks its last report of the run
  {"t","event":"stop-begin"|"stop-end","entry"}  SIGTERM was sent to a daemon; its process exited
  {"t","event":"worker-leaving"|"worker-live","worker"}  the state of a worker in the instance list was changed
"""

import argparse
import sys
from collections import defaultdict

from journal import WorkerHistory, read_lines, read_requests

SECOND_NS = 1_000_000_000
CONFIG_GRACE_NS = 15 * SECOND_NS  # until a bundle is in force at all daemons
KEY_GRACE_NS = 10 * SECOND_NS  # until all daemons reject a withdrawn key
LEAVING_GRACE_NS = 8 * SECOND_NS  # until no more tasks start on a leaving worker; the instance list lags by 2 s


def check_lost(requests):
    """Finds accepted jobs that have no outcome at the end of the drain period."""
    return [
        f"{request_key[0]}:{request_key[1]} was accepted and has no outcome"
        for request_key, request in requests.items()
        if "accepted" in request.outcomes()
        and (request.final is None or request.final["error"] in ("attempts-exhausted", "no-answer"))
    ]


def check_duplicated(workers):
    """Finds non-idempotent tasks that started more than once and tasks with overlapping runs."""
    violations = []
    runs_by_task = defaultdict(list)
    for run in workers.runs:
        runs_by_task[(run.job, run.index)].append(run)
    for (job, index), runs in runs_by_task.items():
        runs.sort(key=lambda run: run.start)
        if len(runs) > 1 and not all(run.idempotent for run in runs):
            violations.append(f"non-idempotent {job}/{index} started {len(runs)} times")
        for earlier, later in zip(runs, runs[1:]):
            if earlier.end is None or earlier.end > later.start:
                violations.append(f"{job}/{index} ran on {earlier.worker} and {later.worker} at once")
    return violations


def check_overcommitted(workers):
    """Finds times at which the declared sizes of the running tasks exceed the capacity of their worker.

    A worker without an entry in the journals has no capacity.
    """
    violations = []
    changes_by_worker = defaultdict(list)
    for run in workers.runs:
        size = (*run.size, 1)
        # At equal times, ends (0) sort before starts (1).
        changes_by_worker[run.worker].append((run.start, 1, size))
        if run.end is not None:
            changes_by_worker[run.worker].append((run.end, 0, tuple(-part for part in size)))
    for worker, changes in changes_by_worker.items():
        capacity = workers.capacity.get(worker)
        used = [0, 0, 0, 0]
        for time, _, size in sorted(changes):
            used = [a + b for a, b in zip(used, size)]
            if capacity is None or any(a > b for a, b in zip(used, capacity)):
                violations.append(f"{worker} used {used} of {capacity} at {time}")
    return violations


def check_limits(workers, events):
    """Finds starts that took a team above every limit that a daemon may have applied at that time."""
    spans = limit_spans(events)
    changes = defaultdict(list)
    for run in workers.runs:
        changes[run.team].append((run.start, 1))
        if run.end is not None:
            changes[run.team].append((run.end, -1))
    violations = []
    for team, team_spans in spans.items():
        running = 0
        for time, change in sorted(changes[team]):
            running += change
            max_limit = max((limit for limit, begin, end in team_spans if begin <= time < end), default=None)
            if change > 0 and max_limit is not None and running > max_limit:
                violations.append(f"{team} had {running} tasks running at {time}, limit {max_limit}")
    return violations


def limit_spans(events):
    """Returns by team the limits and the time in which daemons may apply each: [limit, begin, end].

    A limit may apply from the sending of its sign-off, because it takes effect before the scripts see it at a daemon,
    until CONFIG_GRACE_NS after a daemon reported the next limit.
    """
    spans = defaultdict(list)
    limits_asked = defaultdict(dict)  # team -> limit -> time of the first request for it since the last change
    for line in events:
        if line["event"] == "limit-asked":
            limits_asked[line["team"]].setdefault(line["limit"], line["t"])
        elif line["event"] == "limit":
            team, limit, time = line["team"], line["limit"], line["t"]
            if spans[team]:
                spans[team][-1][2] = time + CONFIG_GRACE_NS
            spans[team].append([limit, limits_asked[team].get(limit, time), float("inf")])
            limits_asked[team].clear()
    return spans


def check_keys(requests, events):
    """Finds requests admitted although their key was withdrawn more than KEY_GRACE_NS before they were sent."""
    withdrawal_times = {(line["team"], line["key"]): line["t"] for line in events if line["event"] == "key-withdrawn"}
    violations = []
    for request_key, request in requests.items():
        for answer in request.answers:
            if answer["event"] != "answer":
                continue
            outcome = answer.get("answer", {}).get("outcome")
            send = find_send(request, answer)
            withdrawn_at = withdrawal_times.get((request.team, send.get("key"))) if send else None
            if withdrawn_at and send["t"] > withdrawn_at + KEY_GRACE_NS and outcome in ("accepted", "done", "failed"):
                delay = (send["t"] - withdrawn_at) / SECOND_NS
                violations.append(
                    f"{request_key[0]}:{request_key[1]} was admitted {delay:.1f} s after its key was withdrawn"
                )
    return violations


def find_send(request, line):
    """Returns the send line that an answer or error line belongs to, or None."""
    candidates = [send for send in request.sends if send["attempt"] == line["attempt"] and send["t"] <= line["t"]]
    return candidates[-1] if candidates else None


def check_bundles(events):
    """Finds daemons that went back to an older version or end with one, and versions that were signed off twice."""
    violations = []
    highest_versions = {}
    sign_offs = [(line["t"], line["version"]) for line in events if line["event"] == "signed"]
    for line in events:
        if line["event"] != "version":
            continue
        daemon, version = line["daemon"], line["version"]
        if version < highest_versions.get(daemon, 0):
            violations.append(f"{daemon} went from version {highest_versions[daemon]} back to {version}")
        highest_versions[daemon] = max(version, highest_versions.get(daemon, 0))
    newest_version = max((version for _, version in sign_offs), default=0)
    last_lines = {line["daemon"]: line for line in events if line["event"] == "version" and line.get("last")}
    for daemon, line in last_lines.items():
        if line["version"] < newest_version:
            violations.append(f"{daemon} ends with version {line['version']}, but {newest_version} was signed off")
    if len({version for _, version in sign_offs}) != len(sign_offs):
        violations.append("one version was signed off twice")
    return violations


def check_answers(requests):
    """Finds answers and results that belong to another request, and "done" answers with missing or extra results."""
    violations = []
    for request_key, request in requests.items():
        for line in request.answers:
            answer = line.get("answer", {})
            if answer.get("request_id", request.request_id) != request.request_id:
                violations.append(f"{request_key[0]}:{request_key[1]} got the answer to {answer['request_id']}")
            results = answer.get("results", [])
            for result in results:
                expected = f"{request.request_id}/{result.get('index')} on "
                if result.get("outcome") == "done" and not str(result.get("result", "")).startswith(expected):
                    violations.append(f"{request_key[0]}:{request_key[1]} got the result {result.get('result')!r}")
            if answer.get("outcome") == "done":
                indexes = sorted(result.get("index") for result in results)
                if indexes != list(range(request.tasks)):
                    violations.append(
                        f"{request_key[0]}:{request_key[1]} is done with results {indexes} for {request.tasks} tasks"
                    )
    return violations


def check_cut_off(requests, events):
    """Finds requests whose connection broke during a graceful stop of their entry, or up to one second later."""
    stops = []
    stop_begins = {}
    for line in events:
        if line["event"] == "stop-begin":
            stop_begins[line["entry"]] = line["t"]
        elif line["event"] == "stop-end" and line["entry"] in stop_begins:
            stops.append((line["entry"], stop_begins.pop(line["entry"]), line["t"]))
    violations = []
    for request_key, request in requests.items():
        for error in request.errors:
            if error["delivery"] != "maybe-sent" or error.get("timeout"):
                continue
            for entry, begin, end in stops:
                if error["entry"] == entry and begin <= error["t"] <= end + SECOND_NS:
                    violations.append(f"{request_key[0]}:{request_key[1]} was cut off by the stop of {entry}")
    return violations


def check_not_run(requests, runs):
    """Finds requests that were answered "not-run" although one of their tasks ran."""
    violations = []
    for request_key, request in requests.items():
        if "not-run" in request.outcomes() and runs.get(request_key):
            violations.append(
                f"{request_key[0]}:{request_key[1]} was answered not-run but ran on {runs[request_key][0].worker}"
            )
    return violations


def check_leaving(workers, events):
    """Finds starts on a worker that had been leaving for longer than LEAVING_GRACE_NS."""
    spans = []
    leaving_since = {}
    for line in events:
        if line["event"] == "worker-leaving":
            leaving_since[line["worker"]] = line["t"]
        elif line["event"] == "worker-live" and line["worker"] in leaving_since:
            spans.append((line["worker"], leaving_since.pop(line["worker"]), line["t"]))
    spans += [(worker, begin, None) for worker, begin in leaving_since.items()]
    return [
        f"{run.job}/{run.index} started on {worker}, leaving for {(run.start - begin) / SECOND_NS:.1f} s"
        for worker, begin, end in spans
        for run in workers.runs
        if run.worker == worker and run.start > begin + LEAVING_GRACE_NS and (end is None or run.start < end)
    ]


def check_all(requests, workers, events):
    """Returns the violations by name of the check, in the order of the summary line."""
    return {
        "lost": check_lost(requests),
        "duplicated": check_duplicated(workers),
        "overcommitted": check_overcommitted(workers),
        "limit_exceeded": check_limits(workers, events),
        "key_late": check_keys(requests, events),
        "bundle_reverted": check_bundles(events),
        "wrong_answer": check_answers(requests),
        "cut_off": check_cut_off(requests, events),
        "not_run_but_ran": check_not_run(requests, workers.runs_by_request()),
        "leaving_late": check_leaving(workers, events),
    }


def outcome_counts(requests):
    """Counts accepted requests, and requests by their final outcome."""
    result = {"accepted": 0, "completed": 0, "not_run": 0, "unknown": 0}
    for request in requests.values():
        outcome = request.final["outcome"] if request.final else None
        result["accepted"] += request.accepted
        result["completed"] += outcome in ("done", "failed", "cancelled")
        result["not_run"] += outcome == "not-run"
        result["unknown"] += outcome == "unknown"
    return result


def waiting_times(requests, runs):
    """Returns lists of (time of the first attempt, milliseconds from it to the first start of a task) by class."""
    result = defaultdict(list)
    for request_key, request in requests.items():
        if runs.get(request_key):
            first_start = min(run.start for run in runs[request_key])
            result[request.class_].append((request.first_sent, (first_start - request.first_sent) / 1e6))
    return result


def percentile(values, fraction):
    """Returns the nearest-rank percentile of sorted values; `fraction` is above 0 and at most 1."""
    return values[min(len(values) - 1, max(0, -int(-len(values) * fraction // 1) - 1))]


def class_table(requests, workers):
    """Returns the lines of a table of outcomes and waiting times by class."""
    runs = workers.runs_by_request()
    waits = waiting_times(requests, runs)
    rows = [
        f"{'class':<20}{'requests':>9}{'done':>7}{'failed':>7}{'cancel':>7}{'not-run':>8}{'unknown':>8}"
        f"{'p50 ms':>9}{'p99 ms':>9}{'p99.9 ms':>9}{'max ms':>9}"
    ]
    for class_ in sorted({request.class_ for request in requests.values()}):
        outcomes = [r.final["outcome"] if r.final else None for r in requests.values() if r.class_ == class_]
        numbers = [outcomes.count(name) for name in ("done", "failed", "cancelled", "not-run", "unknown")]
        values = sorted(wait for _, wait in waits[class_])
        percentiles = (
            [percentile(values, fraction) for fraction in (0.5, 0.99, 0.999, 1)] if values else [float("nan")] * 4
        )
        rows.append(
            f"{class_:<20}{len(outcomes):>9}{numbers[0]:>7}{numbers[1]:>7}{numbers[2]:>7}{numbers[3]:>8}{numbers[4]:>8}"
            + "".join(f"{value:>9.1f}" for value in percentiles)
        )
    return rows


def error_counts(requests):
    """Counts final answers "not-run", "unknown" and "failed" by "outcome/error"."""
    result = defaultdict(int)
    for request in requests.values():
        if request.final and request.final["outcome"] in ("not-run", "unknown", "failed"):
            result[f"{request.final['outcome']}/{request.final['error']}"] += 1
    return dict(sorted(result.items()))


BASIC_CHECKS = ("lost", "duplicated", "overcommitted")


def summary_line(requests, violations, checks):
    """Returns the line of figures that scripts/demo and scripts/faults print last."""
    numbers = outcome_counts(requests) | {name: len(violations[name]) for name in checks}
    return " ".join(f"{name}={value}" for name, value in numbers.items())


def check_files(load, worker_files, events_file=None):
    """Reads and checks journals; returns (requests, workers, violations)."""
    requests = read_requests(read_lines(load))
    workers = WorkerHistory([line for path in worker_files for line in read_lines(path)])
    events = read_lines(events_file) if events_file else []
    return requests, workers, check_all(requests, workers, events)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--load", required=True, help="journal of standin-load")
    parser.add_argument("--workers", required=True, nargs="+", help="journals of standin-worker")
    parser.add_argument("--events", help="events journal of scripts/faults")
    arguments = parser.parse_args()
    requests, workers, violations = check_files(arguments.load, arguments.workers, arguments.events)
    for name, descriptions in violations.items():
        for description in descriptions[:10]:
            print(f"{name}: {description}")
    print("\n".join(class_table(requests, workers)))
    print(summary_line(requests, violations, violations.keys()))
    return 1 if any(violations.values()) else 0


if __name__ == "__main__":
    sys.exit(main())
