"""Tests the plan and the recovery times of scripts/faults.

Guards against plans that a seed does not reproduce or that leave kinds of faults out, and against recovery times that
end while requests still fail or wait.
"""

import itertools
import os
import sys
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "scripts", "lib"))

import fault_report  # noqa: E402
from fault_kinds import KINDS  # noqa: E402
from faults import draw_plan  # noqa: E402
from journal import WorkerHistory, read_requests  # noqa: E402

SECOND_NS = fault_report.SECOND_NS


class PlanTest(unittest.TestCase):
    def test_plan_follows_seed(self):
        plan = list(itertools.islice(draw_plan(7, list(KINDS)), 40))
        self.assertEqual(plan, list(itertools.islice(draw_plan(7, list(KINDS)), 40)))
        self.assertNotEqual(plan, list(itertools.islice(draw_plan(8, list(KINDS)), 40)))

    def test_plan_covers_all_kinds_and_ways(self):
        plan = [names for names, _, _ in itertools.islice(draw_plan(1, list(KINDS)), 40)]
        self.assertEqual({name for names in plan for name in names}, set(KINDS))
        self.assertTrue(any(len(names) == 1 for names in plan))
        self.assertTrue(any(len(set(names)) == 2 for names in plan))
        self.assertTrue(any(len(names) == 2 and names[0] == names[1] for names in plan))


class RecoveryTest(unittest.TestCase):
    def timeline(self, failed_seconds, slow_seconds=()):
        """Returns 30 seconds with one request each, which fails or waits long in the given seconds."""
        load, runs = [], []
        for second in range(30):
            common = {"team": "a", "class": "c", "request_id": f"r{second}", "attempt": 1, "entry": "d1"}
            load.append({"t": second * SECOND_NS, "event": "send", "tasks": 1, "idempotent": True, **common})
            load.append({"t": second * SECOND_NS, "event": "final", "error": "none",
                         "outcome": "unknown" if second in failed_seconds else "done", **common})
            wait = SECOND_NS // 2 if second in slow_seconds else SECOND_NS // 100
            runs.append({"t": second * SECOND_NS + wait, "event": "start", "worker": "w", "job": f"a:r{second}",
                         "index": 0, "team": "a", "request_id": f"r{second}"})
        return fault_report.RequestTimeline(read_requests(load), WorkerHistory(runs).runs_by_request())

    def test_back_after_goodput_and_waiting_time(self):
        """The recovery time must last while requests fail or wait long."""
        timeline = self.timeline(failed_seconds=range(10, 16), slow_seconds=range(16, 18))
        baseline = timeline.figures_between(SECOND_NS, 8 * SECOND_NS)
        self.assertEqual(baseline[:2], (8, 1.0))
        self.assertEqual(timeline.recovery_time(12 * SECOND_NS, baseline), "6")
        self.assertEqual(timeline.recovery_time(20 * SECOND_NS, baseline), "0")

    def test_never_back(self):
        """Without recovery, the result depends on the time left to observe it."""
        timeline = self.timeline(failed_seconds=range(10, 30))
        baseline = timeline.figures_between(SECOND_NS, 8 * SECOND_NS)
        self.assertEqual(timeline.recovery_time(12 * SECOND_NS, baseline), "never")
        self.assertEqual(timeline.recovery_time(28 * SECOND_NS, baseline), "end")


if __name__ == "__main__":
    unittest.main()
