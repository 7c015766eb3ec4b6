"""Runs mimosapierctl against a small cluster of real processes.

Guards against commands that do not match the HTTP interface of the daemon. Tests with prepared responses cannot find
this, because they contain the same assumptions.
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
from deployments import HOLLINGS, bundle, team_key  # noqa: E402
from processes import wait_until  # noqa: E402

BUILD = os.environ["MIMOSAPIER_BUILD"]
DAEMONS = 2
WORKERS = 16
TEAM = "counter"
DONE, FAILED, USAGE, REFUSED, UNKNOWN, UNREACHABLE, RACE, PENDING = range(8)


class Commands(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.folder = tempfile.TemporaryDirectory(prefix="mimosapier-ctl-")
        cls.addClassCleanup(cls.folder.cleanup)
        out = cls.folder.name
        os.symlink(BUILD, os.path.join(out, "build"))
        cluster_module.WORKERS = WORKERS
        deployment = dict(HOLLINGS, regions=HOLLINGS["regions"][:1])
        cls.cluster = Cluster(deployment, out, DAEMONS, out)
        cls.addClassCleanup(cls.cluster.processes.end)
        cls.cluster.start_platform()
        cls.cluster.start_daemons()
        cls.addresses = [entry["caller"] for entry in cls.cluster.entries]
        cls.bundle_file = os.path.join(out, "bundle.yaml")
        with open(cls.bundle_file, "w", encoding="utf-8") as file:
            json.dump(bundle(deployment), file, indent=1)

    def ctl(self, *arguments, expect=DONE, key=team_key(TEAM), stdin="", addresses=None):
        """Runs a command, checks its exit code and returns its output."""
        environment = dict(os.environ, MIMOSAPIER_ADDRESS=",".join(addresses or self.addresses), MIMOSAPIER_KEY=key,
                           MIMOSAPIER_TEAM=TEAM)
        environment.pop("MIMOSAPIER_OPERATOR", None)
        result = subprocess.run([os.path.join(BUILD, "src/ctl/mimosapierctl"), *arguments], env=environment,
                                input=stdin, capture_output=True, text=True, timeout=60, check=False)
        self.assertEqual(result.returncode, expect, f"{arguments}: {result.stdout}{result.stderr}")
        return result.stdout

    def json(self, *arguments, **others):
        return json.loads(self.ctl("--json", *arguments, **others))

    def draft(self, *arguments, **others):
        response = self.json("--as", "ann", *arguments, **others)
        return json.loads(response["detail"])["draft"]

    def sign(self, draft):
        """Signs off a draft, waits until all daemons use the bundle, and returns its version."""
        version = int(self.json("--as", "ben", "bundle", "sign", draft)["detail"].split()[-1])

        def in_force():
            return all(daemon["version"] >= version for daemon in self.json("bundle", "status")["daemons"])

        self.assertTrue(wait_until(in_force, 15))
        return version

    def team(self):
        """Returns the YAML of the team in the bundle in force. The first bundle is JSON, but edits write YAML."""
        text = self.ctl("bundle", "show")
        return text.split(f"  {TEAM}:\n")[1].split("\n  season:")[0]

    def test_1_first_bundle(self):
        self.assertTrue(wait_until(lambda: all(d["reached"] for d in self.json("bundle", "status")["daemons"]), 10))
        self.ctl("bundle", "draft", self.bundle_file, expect=USAGE)
        draft = self.draft("bundle", "draft", self.bundle_file)
        self.assertIn(draft, self.ctl("bundle", "drafts"))
        self.ctl("--as", "ann", "bundle", "sign", draft, expect=REFUSED)
        self.assertEqual(self.sign(draft), 1)
        self.assertIn("# version 1, by ann, signed off by ben\n", self.ctl("bundle", "show"))
        self.assertEqual(self.json("bundle", "show")["version"], 1)
        self.assertEqual(self.cluster.wait_ready(), [])
        self.ctl("--as", "ben", "bundle", "sign", draft, expect=REFUSED)

    def test_2_jobs(self):
        response = self.json("submit", "--class", "slot-confirmation", "--id", "a", "--payload", "run_ms=5")
        self.assertEqual(response["outcome"], "done")
        self.ctl("submit", "--class", "season-allocation", "--id", "b", "--tasks", "2", "--wait")
        self.assertEqual(len(self.json("status", "b")["results"]), 2)
        self.assertIn("b: done", self.ctl("wait", "b"))
        failed = ("submit", "--class", "slot-confirmation", "--payload", "run_ms=5 fail")
        self.assertEqual(self.json(*failed, expect=FAILED)["error"], "task-failed")
        self.ctl("submit", "--class", "season-allocation", "--id", "c", "--payload", "run_ms=30000")
        self.ctl("status", "c", expect=PENDING)
        self.ctl("wait", "c", "--wait-ms", "200", expect=PENDING)
        self.assertIn("c: accepted\n1 of 1 tasks: ", self.ctl("explain", "c"))
        self.assertEqual(self.json("cancel", "c")["outcome"], "done")
        self.assertEqual(self.json("status", "c", expect=FAILED)["outcome"], "cancelled")
        self.assertEqual(self.json("status", "none", expect=UNKNOWN)["error"], "unknown-job")

    def test_3_edits(self):
        limit = self.draft("limit", TEAM, "7")
        share = self.draft("share", TEAM, "2.5")
        self.sign(limit)
        self.assertIn("limit: 7\n", self.team())
        # The base of the second draft is the version that the first one replaced.
        self.assertEqual(self.json("--as", "ben", "bundle", "sign", share, expect=RACE)["error"], "version-race")
        share = self.draft("share", TEAM, "2.5")
        changed = [line for line in self.ctl("bundle", "diff", share).splitlines() if line[0] in "+-"]
        self.assertEqual(changed, ["-    share: 3", "+    share: 2.5"])
        self.ctl("bundle", "diff", expect=USAGE)
        self.ctl("--as", "ann", "limit", "nobody", "3", expect=REFUSED)
        self.ctl("--as", "ann", "limit", TEAM, "-1", expect=REFUSED)
        self.sign(share)

    def test_4_keys(self):
        submit = ("submit", "--class", "slot-confirmation", "--payload", "run_ms=5")
        self.sign(self.draft("key", "grant", TEAM, "--key-from-input", stdin="second\n"))
        self.assertEqual(self.json(*submit, key="second")["outcome"], "done")
        self.sign(self.draft("key", "withdraw", TEAM, "--key-from-input", stdin="second\n"))
        for address in self.addresses:
            response = self.json(*submit, key="second", addresses=[address], expect=REFUSED)
            self.assertEqual(response["error"], "wrong-key")
        self.assertEqual(self.json(*submit)["outcome"], "done")
        self.ctl("--as", "ann", "key", "withdraw", TEAM, "--hash", "00", expect=REFUSED)

    def test_5_views(self):
        self.assertEqual(len(self.ctl("instances").splitlines()), WORKERS)
        self.assertEqual(len(self.json("instances")["workers"]), WORKERS)
        self.assertEqual(len(self.json("status")["member"]["members"]), DAEMONS)
        self.assertRegex(self.ctl("status"), r"g/ben-lomond/rack-1 +d\d#\S+ +epoch \d+, \d+/64 slots free")
        page = os.path.join(self.folder.name, "report.html")
        rows = self.json("report", "--html", page)["rows"]
        self.assertIn(("slot-confirmation", TEAM), [(row["class"], row["team"]) for row in rows])
        with open(page, encoding="utf-8") as file:
            # Not the first row: number formats of one row must not reach the next.
            self.assertIn("<td>99% in 100 ms</td>", file.read())
        self.assertIn(f"{DAEMONS} daemons answered.", self.ctl("report"))

    def test_6_no_daemon(self):
        nowhere = ["127.0.0.1:1"]
        self.ctl("--as", "ben", "bundle", "sign", "1-0", expect=UNREACHABLE, addresses=nowhere)
        self.ctl("bundle", "status", expect=UNREACHABLE, addresses=[*self.addresses, *nowhere])
        self.ctl("report", expect=UNREACHABLE, addresses=nowhere)
        self.ctl("status", addresses=[*nowhere, *self.addresses])


if __name__ == "__main__":
    unittest.main()
