"""Guards the fault script: its plan depends only on the seed, and its recovery times follow from the journals."""

import itertools
import os
import sys
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "scripts", "lib"))

import fault_report  # noqa: E402
from fault_kinds import KINDS  # noqa: E402
from faults import draw_plan  # noqa: E402
from journal import Workers, read_requests  # noqa: E402

S = fault_report.SECOND


class PlanTest(unittest.TestCase):
    def test_plan_follows_seed(self):
        first = list(itertools.islice(draw_plan(7, list(KINDS)), 40))
        self.assertEqual(first, list(itertools.islice(draw_plan(7, list(KINDS)), 40)))
        self.assertNotEqual(first, list(itertools.islice(draw_plan(8, list(KINDS)), 40)))

    def test_plan_covers_all_kinds_and_ways(self):
        plan = [names for names, _, _ in itertools.islice(draw_plan(1, list(KINDS)), 40)]
        self.assertEqual({name for names in plan for name in names}, set(KINDS))
        self.assertTrue(any(len(names) == 1 for names in plan))
        self.assertTrue(any(len(set(names)) == 2 for names in plan))
        self.assertTrue(any(len(names) == 2 and names[0] == names[1] for names in plan))


class RecoveryTest(unittest.TestCase):
    def buckets(self, bad, slow=()):
        load, runs = [], []
        for second in range(30):
            common = {"team": "a", "class": "c", "request_id": f"r{second}", "attempt": 1, "entry": "d1"}
            load.append({"t": second * S, "event": "send", "tasks": 1, "idempotent": True, **common})
            load.append({"t": second * S, "event": "final", "error": "none",
                         "outcome": "unknown" if second in bad else "done", **common})
            delay = S // 2 if second in slow else S // 100
            runs.append({"t": second * S + delay, "event": "start", "worker": "w", "job": f"a:r{second}", "index": 0,
                         "team": "a", "request_id": f"r{second}"})
        return fault_report.Buckets(read_requests(load), Workers(runs).by_request())

    def test_back_after_goodput_and_waiting_time(self):
        """Guards against a recovery time that ends while requests still fail or wait long."""
        buckets = self.buckets(bad=range(10, 16), slow=range(16, 18))
        before = buckets.between(S, 8 * S)
        self.assertEqual(before[:2], (8, 1.0))
        self.assertEqual(buckets.back_after(12 * S, before), "6")
        self.assertEqual(buckets.back_after(20 * S, before), "0")

    def test_never_back(self):
        buckets = self.buckets(bad=range(10, 30))
        before = buckets.between(S, 8 * S)
        self.assertEqual(buckets.back_after(12 * S, before), "never")
        self.assertEqual(buckets.back_after(28 * S, before), "end")


if __name__ == "__main__":
    unittest.main()
