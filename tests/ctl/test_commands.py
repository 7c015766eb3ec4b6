"""Runs mimosapierctl against a small cluster of daemons and stand-ins.

Guards against commands that do not match the daemon's interface, which tests with prepared answers cannot detect. The
tests run in the order of their numbers and share one cluster. Needs the built programs in $MIMOSAPIER_BUILD.
"""

import json
import os
import subprocess
import sys
import tempfile
import unittest

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "scripts", "lib"))

import cluster as cluster_module  # noqa: E402
from cluster import Cluster  # noqa: E402
from deployments import HOLLINGS, make_bundle, team_key  # noqa: E402
from processes import wait_until  # noqa: E402

BUILD = os.environ["MIMOSAPIER_BUILD"]
DAEMON_COUNT = 2
WORKER_COUNT = 16
TEAM = "counter"
DONE, FAILED, USAGE, REFUSED, UNKNOWN, UNREACHABLE, RACE, PENDING = range(8)


class Commands(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.folder = tempfile.TemporaryDirectory(prefix="mimosapier-ctl-")
        cls.addClassCleanup(cls.folder.cleanup)
        out = cls.folder.name
        os.symlink(BUILD, os.path.join(out, "build"))
        cluster_module.WORKER_COUNT = WORKER_COUNT
        deployment = dict(HOLLINGS, regions=HOLLINGS["regions"][:1])
        cls.cluster = Cluster(deployment, out, DAEMON_COUNT, out)
        cls.addClassCleanup(cls.cluster.processes.stop_all)
        cls.cluster.start_platform()
        cls.cluster.start_daemons()
        cls.addresses = [entry["caller"] for entry in cls.cluster.entries]
        cls.bundle_file = os.path.join(out, "bundle.yaml")
        with open(cls.bundle_file, "w", encoding="utf-8") as file:
            json.dump(make_bundle(deployment), file, indent=1)

    def ctl(self, *arguments, expect=DONE, key=team_key(TEAM), stdin="", addresses=None):
        """Runs a command, checks its exit code and returns its output."""
        environment = dict(os.environ, MIMOSAPIER_ADDRESS=",".join(addresses or self.addresses), MIMOSAPIER_KEY=key,
                           MIMOSAPIER_TEAM=TEAM)
        environment.pop("MIMOSAPIER_OPERATOR", None)
        result = subprocess.run([os.path.join(BUILD, "src/ctl/mimosapierctl"), *arguments], env=environment,
                                input=stdin, capture_output=True, text=True, timeout=60, check=False)
        self.assertEqual(result.returncode, expect, f"{arguments}: {result.stdout}{result.stderr}")
        return result.stdout

    def ctl_json(self, *arguments, **options):
        return json.loads(self.ctl("--json", *arguments, **options))

    def draft(self, *arguments, **options):
        answer = self.ctl_json("--as", "ann", *arguments, **options)
        return json.loads(answer["detail"])["draft"]

    def sign(self, draft):
        """Signs off a draft and waits until it is in force at all daemons; returns its version."""
        version = int(self.ctl_json("--as", "ben", "bundle", "sign", draft)["detail"].split()[-1])

        def in_force():
            return all(daemon["version"] >= version for daemon in self.ctl_json("bundle", "status")["daemons"])

        self.assertTrue(wait_until(in_force, 15))
        return version

    def team_settings(self):
        """Returns the YAML text of the team's settings in the bundle in force; edits turn the JSON text into YAML."""
        text = self.ctl("bundle", "show")
        return text.split(f"  {TEAM}:\n")[1].split("\n  season:")[0]

    def test_1_first_bundle(self):
        """A draft must not take effect without a second person's sign-off, nor be signed off twice."""
        self.assertTrue(wait_until(lambda: all(d["reached"] for d in self.ctl_json("bundle", "status")["daemons"]), 10))
        self.ctl("bundle", "draft", self.bundle_file, expect=USAGE)
        draft = self.draft("bundle", "draft", self.bundle_file)
        self.assertIn(draft, self.ctl("bundle", "drafts"))
        self.ctl("--as", "ann", "bundle", "sign", draft, expect=REFUSED)
        self.assertEqual(self.sign(draft), 1)
        self.assertIn("# version 1, by ann, signed off by ben\n", self.ctl("bundle", "show"))
        self.assertEqual(self.ctl_json("bundle", "show")["version"], 1)
        self.assertEqual(self.cluster.wait_ready(), [])
        self.ctl("--as", "ben", "bundle", "sign", draft, expect=REFUSED)

    def test_2_jobs(self):
        """Each outcome of a job must reach the caller as its own exit code."""
        answer = self.ctl_json("submit", "--class", "slot-confirmation", "--id", "a", "--payload", "run_ms=5")
        self.assertEqual(answer["outcome"], "done")
        self.ctl("submit", "--class", "season-allocation", "--id", "b", "--tasks", "2", "--wait")
        self.assertEqual(len(self.ctl_json("status", "b")["results"]), 2)
        self.assertIn("b: done", self.ctl("wait", "b"))
        failing_submit = ("submit", "--class", "slot-confirmation", "--payload", "run_ms=5 fail")
        self.assertEqual(self.ctl_json(*failing_submit, expect=FAILED)["error"], "task-failed")
        self.ctl("submit", "--class", "season-allocation", "--id", "c", "--payload", "run_ms=30000")
        self.ctl("status", "c", expect=PENDING)
        self.ctl("wait", "c", "--wait-ms", "200", expect=PENDING)
        self.assertIn("c: accepted\n1 of 1 tasks: ", self.ctl("explain", "c"))
        self.assertEqual(self.ctl_json("cancel", "c")["outcome"], "done")
        self.assertEqual(self.ctl_json("status", "c", expect=FAILED)["outcome"], "cancelled")
        self.assertEqual(self.ctl_json("status", "none", expect=UNKNOWN)["error"], "unknown-job")

    def test_3_edits(self):
        """A draft of an outdated version must not be signed off, and an edit must change only its own line."""
        limit = self.draft("limit", TEAM, "7")
        share = self.draft("share", TEAM, "2.5")
        self.sign(limit)
        self.assertIn("limit: 7\n", self.team_settings())
        # The draft of the share is based on the version that the sign-off of the limit replaced.
        self.assertEqual(self.ctl_json("--as", "ben", "bundle", "sign", share, expect=RACE)["error"], "version-race")
        share = self.draft("share", TEAM, "2.5")
        changed = [line for line in self.ctl("bundle", "diff", share).splitlines() if line[0] in "+-"]
        self.assertEqual(changed, ["-    share: 3", "+    share: 2.5"])
        self.ctl("bundle", "diff", expect=USAGE)
        self.ctl("--as", "ann", "limit", "nobody", "3", expect=REFUSED)
        self.ctl("--as", "ann", "limit", TEAM, "-1", expect=REFUSED)
        self.sign(share)

    def test_4_keys(self):
        """A withdrawn key must be rejected by every daemon."""
        submit = ("submit", "--class", "slot-confirmation", "--payload", "run_ms=5")
        self.sign(self.draft("key", "grant", TEAM, "--key-from-input", stdin="second\n"))
        self.assertEqual(self.ctl_json(*submit, key="second")["outcome"], "done")
        self.sign(self.draft("key", "withdraw", TEAM, "--key-from-input", stdin="second\n"))
        for address in self.addresses:
            answer = self.ctl_json(*submit, key="second", addresses=[address], expect=REFUSED)
            self.assertEqual(answer["error"], "wrong-key")
        self.assertEqual(self.ctl_json(*submit)["outcome"], "done")
        self.ctl("--as", "ann", "key", "withdraw", TEAM, "--hash", "00", expect=REFUSED)

    def test_5_views(self):
        """The views must show the whole cluster from any daemon."""
        self.assertEqual(len(self.ctl("instances").splitlines()), WORKER_COUNT)
        self.assertEqual(len(self.ctl_json("instances")["workers"]), WORKER_COUNT)
        self.assertEqual(len(self.ctl_json("status")["member"]["members"]), DAEMON_COUNT)
        self.assertRegex(self.ctl("status"), r"g/ben-lomond/rack-1 +d\d#\S+ +epoch \d+, \d+/64 slots free")
        report_path = os.path.join(self.folder.name, "report.html")
        rows = self.ctl_json("report", "--html", report_path)["rows"]
        self.assertIn(("slot-confirmation", TEAM), [(row["class"], row["team"]) for row in rows])
        with open(report_path, encoding="utf-8") as file:
            # This row is not the first: number formats of one row must not carry over to the next row.
            self.assertIn("<td>99% in 100 ms</td>", file.read())
        self.assertIn(f"{DAEMON_COUNT} daemons answered.", self.ctl("report"))

    def test_6_no_daemon(self):
        """An unreachable daemon must be reported, unless the command needs only one of several daemons."""
        nowhere = ["127.0.0.1:1"]
        self.ctl("--as", "ben", "bundle", "sign", "1-0", expect=UNREACHABLE, addresses=nowhere)
        self.ctl("bundle", "status", expect=UNREACHABLE, addresses=[*self.addresses, *nowhere])
        self.ctl("report", expect=UNREACHABLE, addresses=nowhere)
        self.ctl("status", addresses=[*nowhere, *self.addresses])


if __name__ == "__main__":
    unittest.main()
