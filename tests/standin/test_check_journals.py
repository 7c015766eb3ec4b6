"""Guards the journal checker: each rule must report a journal that breaks it, and no rule may report a correct one."""

import os
import sys
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "scripts", "lib"))

import check_journals as check  # noqa: E402
from journal import Workers, read_requests  # noqa: E402

S = check.SECOND


def send(request_id, t=0, attempt=1, tasks=1, idempotent=True, key="k", entry="d1"):
    return {"t": t, "event": "send", "team": "a", "class": "c", "request_id": request_id, "attempt": attempt,
            "entry": entry, "key": key, "tasks": tasks, "idempotent": idempotent}


def answer(request_id, outcome, t=1, attempt=1, results=(), answered_id=None, event="answer"):
    return {"t": t, "event": event, "team": "a", "class": "c", "request_id": request_id, "attempt": attempt,
            "answer": {"request_id": answered_id or request_id, "outcome": outcome, "results": list(results)}}


def final(request_id, outcome, error="none"):
    return {"t": 9, "event": "final", "team": "a", "class": "c", "request_id": request_id, "outcome": outcome,
            "error": error}


def done(request_id, index=0, text=None):
    return {"index": index, "outcome": "done", "result": text or f"{request_id}/{index} on w1"}


def worker(name="w1", slots=2, milli_cpus=1000):
    return {"t": 0, "event": "worker", "worker": name, "milli_cpus": milli_cpus, "memory_mb": 1000,
            "accelerators": 0, "slots": slots}


def start(request_id, t, name="w1", index=0, idempotent=True, milli_cpus=100):
    return {"t": t, "event": "start", "worker": name, "job": f"a:{request_id}", "index": index, "team": "a",
            "request_id": request_id, "milli_cpus": milli_cpus, "memory_mb": 1, "accelerators": 0,
            "idempotent": idempotent}


def end(request_id, t, name="w1", index=0):
    return {"t": t, "event": "finish", "worker": name, "job": f"a:{request_id}", "index": index, "outcome": "done"}


GOOD_LOAD = [
    send("r1"), answer("r1", "done", results=[done("r1")]), final("r1", "done"),
    send("r2", tasks=2, idempotent=False), answer("r2", "accepted"),
    answer("r2", "done", event="outcome", results=[done("r2"), done("r2", 1)]), final("r2", "done"),
    send("r3"), answer("r3", "not-run"), final("r3", "not-run", "overloaded"),
]
GOOD_WORKERS = [
    worker(), worker("w2"),
    start("r1", 10), end("r1", 20), start("r1", 20, name="w2"), end("r1", 30, name="w2"),
    start("r2", 10, idempotent=False), end("r2", 30),
    start("r2", 11, name="w2", index=1, idempotent=False), end("r2", 12, name="w2", index=1),
]
GOOD_EVENTS = [
    {"t": 0, "event": "limit", "team": "a", "limit": 3},
    {"t": 0, "event": "signed", "version": 1},
    {"t": 1, "event": "version", "daemon": "d1", "version": 1, "last": True},
]


class CheckTest(unittest.TestCase):
    def violations(self, load=(), workers=(), events=()):
        result = check.check_all(read_requests(GOOD_LOAD + list(load)), Workers(GOOD_WORKERS + list(workers)),
                                 GOOD_EVENTS + list(events))
        return {name for name, found in result.items() if found}

    def test_good_journals(self):
        """Guards against reporting allowed events: a restart after an end, and two tasks of one job at a time."""
        self.assertEqual(self.violations(), set())
        numbers = check.counts(read_requests(GOOD_LOAD))
        self.assertEqual(numbers, {"accepted": 2, "completed": 2, "not_run": 1, "unknown": 0})

    def test_lost(self):
        self.assertEqual(self.violations(load=[send("x"), answer("x", "accepted")]), {"lost"})
        self.assertEqual(
            self.violations(load=[send("x"), answer("x", "accepted"), final("x", "unknown", "no-answer")]), {"lost"})

    def test_duplicated_non_idempotent(self):
        self.assertEqual(self.violations(workers=[start("r2", 40, idempotent=False), end("r2", 50)]), {"duplicated"})

    def test_duplicated_at_once(self):
        self.assertEqual(self.violations(workers=[start("r1", 25), end("r1", 35)]), {"duplicated"})
        endless = [start("x", 40), start("x", 50, name="w2"), end("x", 60, name="w2")]
        self.assertEqual(self.violations(workers=endless), {"duplicated"})

    def test_overcommitted(self):
        slots = [start(f"x{i}", 40 + i) for i in range(3)]
        self.assertEqual(self.violations(workers=slots), {"overcommitted"})
        sizes = [start("x", 40, milli_cpus=600), start("y", 41, milli_cpus=600)]
        self.assertEqual(self.violations(workers=sizes), {"overcommitted"})
        self.assertEqual(self.violations(workers=[start("x", 40, name="w9")]), {"overcommitted"})

    def test_limit(self):
        four = [start(f"x{i}", 40, name=f"w{1 + i % 2}") for i in range(4)]
        self.assertEqual(self.violations(workers=four), {"limit_exceeded"})
        lowered = [{"t": 1, "event": "limit", "team": "a", "limit": 1}]
        late = [start("x", 20 * S), start("y", 21 * S)]
        self.assertEqual(self.violations(workers=late, events=lowered), {"limit_exceeded"})
        soon = [start("x", 2 * S), start("y", 3 * S)]
        self.assertEqual(self.violations(workers=soon, events=lowered), set())
        draining = [start("x", 2 * S), start("y", 3 * S), end("y", 30 * S)]
        self.assertEqual(self.violations(workers=draining, events=lowered), set())

    def test_raised_limit(self):
        """Guards against a raised limit that applies before its sign-off, or only once a daemon shows it."""
        events = [{"t": 1, "event": "limit", "team": "a", "limit": 1},
                  {"t": 30 * S, "event": "limit-asked", "team": "a", "limit": 3},
                  {"t": 32 * S, "event": "limit", "team": "a", "limit": 3}]
        after = [start("x", 20 * S), start("y", 31 * S)]
        self.assertEqual(self.violations(workers=after, events=events), set())
        before = [start("x", 20 * S), start("y", 29 * S)]
        self.assertEqual(self.violations(workers=before, events=events), {"limit_exceeded"})
        self.assertEqual(self.violations(workers=after, events=events[:1]), {"limit_exceeded"})

    def test_key(self):
        events = [{"t": S, "event": "key-withdrawn", "team": "a", "key": "old"}]
        late = [send("x", t=30 * S, key="old"), answer("x", "accepted", t=31 * S),
                answer("x", "done", results=[done("x")], event="outcome"), final("x", "done")]
        self.assertEqual(self.violations(load=late, events=events), {"key_late"})
        early = [send("x", t=5 * S, key="old")] + late[1:]
        self.assertEqual(self.violations(load=early, events=events), set())

    def test_bundle(self):
        back = [{"t": 2, "event": "version", "daemon": "d2", "version": v} for v in (2, 1)]
        self.assertEqual(self.violations(events=back), {"bundle_reverted"})
        behind = [{"t": 3, "event": "signed", "version": 2}]
        self.assertEqual(self.violations(events=behind), {"bundle_reverted"})
        twice = [{"t": 3, "event": "signed", "version": 1}]
        self.assertEqual(self.violations(events=twice), {"bundle_reverted"})

    def test_wrong_answer(self):
        other = [send("x"), answer("x", "done", results=[done("r1")]), final("x", "done")]
        self.assertEqual(self.violations(load=other), {"wrong_answer"})
        misnamed = [send("x"), answer("x", "done", results=[done("x")], answered_id="r1"), final("x", "done")]
        self.assertEqual(self.violations(load=misnamed), {"wrong_answer"})
        incomplete = [send("x", tasks=2), answer("x", "done", results=[done("x")]), final("x", "done")]
        self.assertEqual(self.violations(load=incomplete), {"wrong_answer"})

    def test_cut_off(self):
        stop = [{"t": 10 * S, "event": "stop-begin", "entry": "d1"}, {"t": 12 * S, "event": "stop-end", "entry": "d1"}]
        broken = {"t": 11 * S, "event": "error", "team": "a", "request_id": "x", "attempt": 1, "entry": "d1",
                  "delivery": "maybe-sent", "timeout": False}
        load = [send("x", t=9 * S), broken, final("x", "unknown")]
        self.assertEqual(self.violations(load=load, events=stop), {"cut_off"})
        load[1] = dict(broken, delivery="not-sent")
        self.assertEqual(self.violations(load=load, events=stop), set())

    def test_not_run(self):
        load = [send("x"), answer("x", "not-run"), final("x", "not-run")]
        self.assertEqual(self.violations(load=load, workers=[start("x", 40)]), {"not_run_but_ran"})

    def test_leaving(self):
        leaving = [{"t": S, "event": "worker-leaving", "worker": "w1"}]
        self.assertEqual(self.violations(workers=[start("x", 20 * S)], events=leaving), {"leaving_late"})
        self.assertEqual(self.violations(workers=[start("x", 5 * S)], events=leaving), set())
        back = leaving + [{"t": 15 * S, "event": "worker-live", "worker": "w1"}]
        self.assertEqual(self.violations(workers=[start("x", 20 * S)], events=back), set())

    def test_percentile(self):
        values = list(range(1, 101))
        self.assertEqual([check.percentile(values, part) for part in (0.5, 0.99, 1)], [50, 99, 100])


if __name__ == "__main__":
    unittest.main()
