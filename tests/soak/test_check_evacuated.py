"""Tests the checker of evacuated zones.

Guards against a checker that misses a start in an evacuated zone, that reports one which the bound allows, or that counts a run
as held in which no evacuation outlasted its bound.
"""

import unittest

import check_evacuated
from check_evacuated import Evacuation

ZONES = {"r1": "north", "r2": "south"}


def start(time, runner):
    return {"t": time, "runner": runner, "born": 1, "what": "start", "task": "a.0.0.0", "run": 1, "token": 5}


def broken(times, evacuations, outages=(), rejections=(), runner="r1"):
    """Number of the starts at these times that break the rule."""
    events = [start(time, runner) for time in times] + [{"t": 1000.0, "runner": "r1", "born": 1, "what": "end"}]
    return len(check_evacuated.check(events, ZONES, evacuations, outages, rejections)[0])


class EvacuatedTest(unittest.TestCase):
    def test_starts_between_bound_and_end(self):
        evacuations = [Evacuation("north", 100, 130)]
        self.assertEqual(broken([99, 100, 104.9, 130, 200], evacuations), 0)
        self.assertEqual(broken([105, 120, 129.9], evacuations), 3)
        self.assertEqual(broken([110], evacuations, runner="r2"), 0)

    def test_evacuation_that_was_not_ended(self):
        self.assertEqual(broken([104, 110, 999], [Evacuation("north", 100)]), 2)

    def test_two_evacuations_of_a_zone(self):
        evacuations = [Evacuation("north", 100, 110), Evacuation("north", 112, 130)]
        self.assertEqual(broken([109, 111, 116, 118], evacuations), 2)

    def test_rejection_of_some_daemons_within_the_bound_extends_it(self):
        evacuations = [Evacuation("north", 100, 130)]
        for rejection in ((90, 101), (104, None), (101, 102)):
            self.assertEqual(broken([106, 112.9], evacuations, rejections=[rejection]), 0)
            self.assertEqual(broken([113, 120], evacuations, rejections=[rejection]), 2)
        for rejection in ((90, 99), (105, 130)):
            self.assertEqual(broken([106], evacuations, rejections=[rejection]), 1)

    def test_outage_for_all_has_no_bound(self):
        evacuations = [Evacuation("north", 100, 130)]
        self.assertEqual(broken([106, 116, 119.9], evacuations, outages=[(104, 115)]), 0)
        self.assertEqual(broken([120], evacuations, outages=[(104, 115)]), 1)
        self.assertEqual(broken([106], evacuations, outages=[(90, 95)]), 1)
        self.assertEqual(broken([106, 112], evacuations, outages=[(105, 115)]), 2)  # the set was known before

    def test_outages_one_after_the_other(self):
        evacuations = [Evacuation("north", 100, 150)]
        self.assertEqual(broken([126.9], evacuations, outages=[(118, 122), (104, 115)]), 0)
        self.assertEqual(broken([127], evacuations, outages=[(118, 122), (104, 115)]), 1)

    def test_run_in_which_too_little_happened_does_not_count_as_held(self):
        good = {"faults": {"evacuate": 1}, "guarded_s": 10.0, "elsewhere": 4}
        self.assertIsNone(check_evacuated.missing_proof(good, ["evacuate"]))
        self.assertIsNotNone(check_evacuated.missing_proof({**good, "guarded_s": 0.0}, ["evacuate", "kill"]))
        self.assertIsNotNone(check_evacuated.missing_proof({**good, "elsewhere": 0}, ["evacuate"]))
        self.assertIsNone(check_evacuated.missing_proof({**good, "guarded_s": 0.0}, ["evacuate", "store-all"]))
        self.assertIsNone(check_evacuated.missing_proof({"faults": {"kill": 1}}, ["evacuate", "kill"]))

    def test_figures(self):
        events = [start(103, "r2"), start(110, "r2"), start(120, "r2"), {"t": 125, "runner": "r1", "born": 1, "what": "down"}]
        _, figures = check_evacuated.check(events, ZONES, [Evacuation("north", 100, 115)], [], [])
        self.assertEqual(figures, {"guarded_s": 10, "elsewhere": 1})


if __name__ == "__main__":
    unittest.main()
