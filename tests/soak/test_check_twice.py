"""Tests the checker of the soak run.

Guards against a checker that misses one of the ways in which the rule can be broken, or that reports what it allows.
"""

import json
import os
import tempfile
import unittest

import check_twice


class Journal:
    """Events of runners, written in the order of time."""

    def __init__(self):
        self.events = []

    def add(self, time, runner, what, task="a.0.0.0", run=None, born=1, **fields):
        event = {"t": time, "runner": runner, "born": born, "what": what, **fields}
        if run is not None:
            event.update(task=task, run=run)
        self.events.append(event)
        return self

    def start(self, time, runner, run, token, **more):
        return self.add(time, runner, "start", run=run, token=token, **more)

    def end(self, time, runner, run, how="done", **more):
        return self.add(time, runner, "end", run=run, how=how, **more)

    def noted(self, time, runner, run, token, how="done", **more):
        return self.add(time, runner, "noted", run=run, how=how, token=token, **more)

    def kinds(self):
        return [violation.kind for violation in check_twice.find_violations(self.events)]

    def classes(self):
        return list(check_twice.count_classes(check_twice.find_violations(self.events)))


class OverlapTest(unittest.TestCase):
    def test_two_runs_at_once_on_two_runners(self):
        journal = Journal().start(1, "r1", 1, 5).start(2, "r2", 2, 6).end(3, "r1", 1).end(4, "r2", 2)
        self.assertEqual(journal.kinds(), ["overlap"])
        self.assertEqual(journal.classes(), ["overlap, second start has higher token than first, other runner, "
                                             "second is a later run"])

    def test_two_runs_at_once_where_the_first_never_ends(self):
        self.assertEqual(Journal().start(1, "r1", 1, 5).start(90, "r2", 1, 5).kinds(), ["overlap"])

    def test_two_runs_at_once_on_one_runner(self):
        journal = Journal().start(1, "r1", 1, 5).start(2, "r1", 2, 5)
        self.assertEqual(journal.classes(), ["overlap, second start has same token than first, same runner, "
                                             "second is a later run"])

    def test_start_at_the_same_moment(self):
        self.assertEqual(Journal().start(1, "r1", 1, 5).start(1, "r2", 2, 5).kinds(), ["overlap"])

    def test_first_run_that_is_shorter_than_the_second_counts(self):
        journal = Journal().start(1, "r1", 1, 5).start(2, "r2", 2, 4).end(9, "r2", 2).end(10, "r1", 1)
        self.assertEqual(journal.kinds(), ["overlap"])

    def test_killed_runner_is_not_up(self):
        journal = Journal().start(1, "r1", 1, 5).add(2, "r1", "down").start(3, "r2", 2, 5).end(4, "r2", 2)
        self.assertEqual(journal.kinds(), [])

    def test_restarted_runner_has_lost_its_runs(self):
        journal = Journal().start(1, "r1", 1, 5).add(2, "r1", "born", born=2).start(3, "r1", 2, 5, born=2)
        self.assertEqual(journal.kinds(), [])

    def test_start_before_the_kill_overlaps(self):
        journal = Journal().start(1, "r1", 1, 5).start(2, "r2", 2, 5).add(3, "r1", "down")
        self.assertEqual(journal.kinds(), ["overlap"])

    def test_kill_of_another_runner_ends_nothing(self):
        journal = Journal().start(1, "r1", 1, 5).add(2, "r3", "down").start(3, "r2", 2, 5)
        self.assertEqual(journal.kinds(), ["overlap"])

    def test_other_tasks_may_run_at_once(self):
        journal = Journal().start(1, "r1", 1, 5).start(2, "r2", 1, 5, task="a.0.0.1")
        self.assertEqual(journal.kinds(), [])


class StartAfterDoneTest(unittest.TestCase):
    def test_acknowledged_before_the_second_start(self):
        journal = Journal().start(1, "r1", 1, 5).end(2, "r1", 1).noted(3, "r1", 1, 6).start(4, "r2", 2, 5)
        self.assertEqual(journal.kinds(), ["after-done"])
        self.assertEqual(journal.classes(), [
            "after-done, second start has same token than first, lower than acknowledgement, "
            "acknowledged before second start, second is a later run"])

    def test_acknowledged_after_the_second_start(self):
        journal = Journal().start(1, "r1", 1, 5).end(2, "r1", 1).start(3, "r2", 2, 6).noted(4, "r1", 1, 6)
        self.assertEqual(journal.kinds(), ["after-done"])
        self.assertIn("acknowledged after second start", journal.classes()[0])
        self.assertIn("same than acknowledgement", journal.classes()[0])

    def test_acknowledged_long_after_the_second_run(self):
        journal = Journal().start(1, "r1", 1, 5).end(2, "r1", 1).start(3, "r2", 2, 7).end(4, "r2", 2)
        self.assertEqual(journal.noted(90, "r1", 1, 6).kinds(), ["after-done"])
        self.assertIn("higher than acknowledgement", journal.classes()[0])

    def test_second_start_on_the_same_runner_and_on_its_next_incarnation(self):
        journal = Journal().start(1, "r1", 1, 5).end(2, "r1", 1).noted(3, "r1", 1, 5).start(4, "r1", 2, 5)
        self.assertEqual(journal.kinds(), ["after-done"])
        journal = Journal().start(1, "r1", 1, 5).end(2, "r1", 1).noted(3, "r1", 1, 5).add(4, "r1", "born", born=2)
        self.assertEqual(journal.start(5, "r1", 1, 5, born=2).kinds(), ["after-done"])
        self.assertIn("second is run 1", journal.classes()[0])

    def test_never_acknowledged(self):
        journal = Journal().start(1, "r1", 1, 5).end(2, "r1", 1).start(3, "r2", 2, 5)
        self.assertEqual(journal.kinds(), [])

    def test_runner_killed_before_the_acknowledgement(self):
        journal = Journal().start(1, "r1", 1, 5).end(2, "r1", 1).add(3, "r1", "down").start(4, "r2", 2, 5)
        self.assertEqual(journal.kinds(), [])

    def test_runner_killed_after_the_acknowledgement(self):
        journal = Journal().start(1, "r1", 1, 5).end(2, "r1", 1).noted(3, "r1", 1, 5).add(4, "r1", "down")
        self.assertEqual(journal.start(5, "r2", 2, 5).kinds(), ["after-done"])

    def test_acknowledgement_of_another_incarnation_is_another_end(self):
        journal = Journal().start(1, "r1", 1, 5).end(2, "r1", 1).add(3, "r1", "born", born=2)
        journal.start(4, "r1", 1, 5, born=2).end(5, "r1", 1, born=2).noted(6, "r1", 1, 5, born=2)
        self.assertEqual(journal.kinds(), [])

    def test_ends_other_than_done_allow_another_run(self):
        for how in ("failed", "stopped", "lapsed", "broken", "alone"):
            journal = Journal().start(1, "r1", 1, 5).end(2, "r1", 1, how).noted(3, "r1", 1, 5, how).start(4, "r2", 2, 5)
            self.assertEqual(journal.kinds(), [], how)

    def test_lease_lapsed_between_end_and_acknowledgement(self):
        journal = Journal().start(1, "r1", 1, 5).end(2, "r1", 1).add(3, "r1", "lease_over").noted(4, "r1", 1, 5)
        self.assertEqual(journal.start(5, "r2", 2, 5).kinds(), [])

    def test_lease_lapsed_before_the_end(self):
        journal = Journal().add(1, "r1", "lease_over").start(2, "r1", 1, 5).end(3, "r1", 1).noted(4, "r1", 1, 5)
        self.assertEqual(journal.start(5, "r2", 2, 5).kinds(), ["after-done"])

    def test_lease_lapsed_after_the_acknowledgement(self):
        journal = Journal().start(1, "r1", 1, 5).end(2, "r1", 1).noted(3, "r1", 1, 5).add(4, "r1", "lease_over")
        self.assertEqual(journal.start(5, "r2", 2, 5).kinds(), ["after-done"])

    def test_lease_of_another_runner_or_incarnation_does_not_count(self):
        for runner, born in (("r2", 1), ("r1", 2)):
            journal = Journal().start(1, "r1", 1, 5).end(2, "r1", 1).add(3, runner, "lease_over", born=born)
            self.assertEqual(journal.noted(4, "r1", 1, 5).start(5, "r3", 2, 5).kinds(), ["after-done"])

    def test_each_pair_of_runs_is_reported(self):
        journal = Journal().start(1, "r1", 1, 5).end(2, "r1", 1).noted(3, "r1", 1, 5)
        journal.start(4, "r2", 2, 4).end(5, "r2", 2).noted(6, "r2", 2, 5).start(7, "r3", 3, 4)
        self.assertEqual(journal.kinds(), ["after-done"] * 3)


class FiguresAndFilesTest(unittest.TestCase):
    def test_misdirected_call_is_no_start(self):
        journal = Journal().start(1, "r1", 1, 5).end(2, "r1", 1).noted(3, "r1", 1, 5).add(4, "r1", "born", born=2)
        journal.add(5, "r1", "misdirected", run=1, born=2, path="/run-start", token=5)
        self.assertEqual(journal.kinds(), [])
        self.assertEqual(check_twice.summarize(journal.events)["runs"], 1)

    def test_summary(self):
        journal = Journal().start(1, "r1", 1, 5).end(2, "r1", 1, "failed").start(3, "r2", 2, 5).end(4, "r2", 2)
        journal.noted(5, "r2", 2, 5).start(6, "r1", 1, 5, task="b").end(7, "r1", 1, task="b").start(8, "r1", 1, 5, task="c")
        self.assertEqual(check_twice.summarize(journal.events), {"tasks": 3, "runs": 4, "done": 2, "acknowledged": 1})

    def test_journals_are_merged_by_time(self):
        with tempfile.TemporaryDirectory() as folder:
            journal = Journal().start(1, "r1", 1, 5).start(2, "r2", 2, 5)
            paths = []
            for number, event in enumerate(reversed(journal.events)):
                paths.append(os.path.join(folder, str(number)))
                with open(paths[-1], "w") as file:
                    file.write(json.dumps(event) + "\n")
            self.assertEqual([event["t"] for event in check_twice.read_journal(paths)], [1, 2])

    def test_unreadable_line_is_an_error(self):
        for line in ('{"t": 1, "runner": "r1"', '{"t": 1, "runner": "r1", "born": 1}', "7"):
            with tempfile.NamedTemporaryFile("w") as file:
                file.write(line + "\n")
                file.flush()
                self.assertRaises(check_twice.BadJournal, check_twice.read_journal, [file.name])

    def test_events_that_cannot_follow_each_other_are_errors(self):
        for journal in (Journal().end(1, "r1", 1), Journal().start(1, "r1", 1, 5).noted(2, "r1", 1, 5),
                        Journal().start(1, "r1", 1, 5).end(2, "r1", 1).start(3, "r1", 1, 5)):
            self.assertRaises(check_twice.BadJournal, check_twice.find_violations, journal.events)


if __name__ == "__main__":
    unittest.main()
