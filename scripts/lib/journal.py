"""Reads the journals that the stand-ins and the scripts write as JSON lines; used by check_journals and faults."""

import json
from collections import defaultdict


def read_lines(path):
    """Returns the objects of a file of JSON lines; skips malformed lines, as a killed process may leave one."""
    lines = []
    with open(path, encoding="utf-8") as file:
        for text in file:
            try:
                lines.append(json.loads(text))
            except json.JSONDecodeError:
                continue
    return lines


class TaskRun:
    """One execution of a task on a worker."""

    def __init__(self, line):
        self.worker = line["worker"]
        self.job = line["job"]
        self.index = line["index"]
        self.team = line["team"]
        self.class_ = line.get("class", "")
        self.request_id = line["request_id"]
        self.idempotent = line.get("idempotent", True)
        self.size = tuple(line.get(name, 0) for name in ("milli_cpus", "memory_mb", "accelerators"))
        self.start = line["t"]
        self.end = None  # None: still running at the end of the journal
        self.outcome = None


class WorkerHistory:
    """Capacities of the workers and runs of tasks, from the journals of standin-worker."""

    def __init__(self, lines):
        self.capacity = {}
        self.runs = []
        open_runs = {}
        for line in lines:
            event = line["event"]
            if event == "worker":
                self.capacity[line["worker"]] = tuple(
                    line[name] for name in ("milli_cpus", "memory_mb", "accelerators", "slots")
                )
            elif event == "start":
                run = TaskRun(line)
                self.runs.append(run)
                open_runs[(run.worker, run.job, run.index)] = run
            elif event in ("finish", "stop"):
                run = open_runs.pop((line["worker"], line["job"], line["index"]), None)
                if run is not None:
                    run.end = line["t"]
                    run.outcome = line["outcome"]

    def runs_by_request(self):
        """Returns lists of runs by (team, request id)."""
        result = defaultdict(list)
        for run in self.runs:
            result[(run.team, run.request_id)].append(run)
        return result


class Request:
    """All lines of the load's journal about one request."""

    def __init__(self, line):
        self.team = line["team"]
        self.request_id = line["request_id"]
        self.class_ = line["class"]
        self.tasks = line["tasks"]
        self.idempotent = line["idempotent"]
        self.sends = []
        self.answers = []  # lines of the events "answer" and "outcome"; the received object is under "answer"
        self.errors = []
        self.final = None
        self.cancelled = False

    @property
    def first_sent(self):
        return self.sends[0]["t"]

    def outcomes(self):
        return [line.get("answer", {}).get("outcome") for line in self.answers]

    @property
    def accepted(self):
        """True when an answer says or implies that the scheduler accepted the request."""
        return any(outcome in ("accepted", "done", "failed", "cancelled") for outcome in self.outcomes())


def read_requests(lines):
    """Returns requests by (team, request id), in the order of the first attempts."""
    requests = {}
    for line in lines:
        if "request_id" not in line:
            continue
        key = (line["team"], line["request_id"])
        event = line["event"]
        if event == "send":
            if key not in requests:
                requests[key] = Request(line)
            requests[key].sends.append(line)
        elif key not in requests:
            continue
        elif event in ("answer", "outcome"):
            requests[key].answers.append(line)
        elif event == "error":
            requests[key].errors.append(line)
        elif event == "cancel":
            requests[key].cancelled = True
        elif event == "final":
            requests[key].final = line
    return requests
