"""Operators for scripts/faults: they sign off racing bundles, change limits and replace keys.

Also watches the bundle of each daemon and writes the events journal that check_journals reads.
"""

import http.client
import json
import re
import threading
import time

from cluster import answer_detail, draft_and_sign_off, read_bundle_version
from deployments import key_hash, make_bundle, team_key
from processes import http_call, try_http_call, wait_until

WATCH_PERIOD_SECONDS = 0.5
KEY_PROBE_DELAY_SECONDS = 11  # above KEY_GRACE_NS of check_journals
LOWERED_LIMIT = 8


class JournalWriter:
    """Writes events as JSON lines; may be used by several threads."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()

    def add(self, event, time_ns=None, **fields):
        line = json.dumps({"t": time_ns or time.time_ns(), "event": event, **fields})
        with self.lock:
            self.file.write(line + "\n")
            self.file.flush()

    def close(self):
        self.file.close()


class BundleWatcher:
    """Polls the bundle of each daemon and writes versions, limits and withdrawn keys as events."""

    def __init__(self, cluster, events):
        self.cluster = cluster
        self.events = events
        self.lock = threading.Lock()
        self.highest_version = 0  # at any daemon
        self.keys = {}  # team -> key hashes in the highest version
        self.limits = {}  # team -> limit in the highest version
        self.keys_by_hash = {}  # hash -> (team, key)
        self.stop_event = threading.Event()
        self.threads = [
            threading.Thread(target=self._watch, args=(entry,), daemon=True) for entry in cluster.entries
        ]

    def start(self):
        for thread in self.threads:
            thread.start()

    def remember_key(self, team, key):
        self.keys_by_hash[key_hash(key)] = (team, key)

    def _watch(self, entry):
        while not self.stop_event.wait(WATCH_PERIOD_SECONDS):
            self.poll(entry)

    def poll(self, entry, last=False):
        """Writes the version at a daemon and returns it, or None if it gave no answer or was replaced."""
        process = self.cluster.daemons[entry["name"]]
        pid = process.popen.pid
        version, answer = read_bundle_version(entry)
        if version is None or self.cluster.daemons[entry["name"]].popen.pid != pid:
            return None
        fields = {"daemon": f"{entry['name']}#{pid}", "version": version}
        self.events.add("version", **fields, **({"last": True} if last else {}))
        with self.lock:
            if version > self.highest_version:
                self._record_changes(version, answer.get("text", answer_detail(answer).get("text", "")))
        return version

    def _record_changes(self, version, text):
        """Writes the limits that changed and the keys that were withdrawn since the previous highest version."""
        try:
            teams = json.loads(text)["teams"]
        except (ValueError, KeyError, TypeError):
            return
        self.highest_version = version
        for team, settings in teams.items():
            if self.limits.get(team) != settings["limit"]:
                self.limits[team] = settings["limit"]
                self.events.add("limit", team=team, limit=settings["limit"])
            for withdrawn_hash in set(self.keys.get(team, ())) - set(settings["keys"]):
                if withdrawn_hash in self.keys_by_hash:
                    self.events.add("key-withdrawn", team=team, key=self.keys_by_hash[withdrawn_hash][1])
            self.keys[team] = settings["keys"]

    def finish(self):
        """Stops the threads and writes the last version of each daemon that answers."""
        self.stop_event.set()
        for thread in self.threads:
            thread.join()
        for entry in self.cluster.entries:
            self.poll(entry, last=True)


class Operators:
    """Changes the bundle. `limits` and `keys` are the state that the operators want in force."""

    def __init__(self, cluster, events, watcher, probe_journal):
        self.cluster = cluster
        self.events = events
        self.watcher = watcher
        self.probe_journal = probe_journal  # requests with withdrawn keys, in the format of the load's journal
        self.limits = {}
        self.keys = {team: [team_key(team)] for team in cluster.deployment["teams"]}
        self.key_generations = {team: 1 for team in cluster.deployment["teams"]}
        self.variant = 0
        self.probe_number = 0
        self.lock = threading.Lock()
        # Held while bundles of one state are signed off: otherwise a bundle of an older state could be drafted from a
        # newer version and undo its changes.
        self.sign_off_lock = threading.Lock()
        self.teams_replacing_key = set()
        for team, keys in self.keys.items():
            watcher.remember_key(team, keys[0])

    def next_bundle(self):
        """Returns a bundle of the wanted state that differs from all earlier ones."""
        with self.lock:
            self.variant += 1
            return make_bundle(self.cluster.deployment, self.limits, self.keys, self.variant)

    def sign_off(self, entry, bundle, author="ana", signer="ben"):
        """Drafts and signs off a bundle; returns True when the daemon confirms it as in force."""
        for team, settings in bundle["teams"].items():
            if settings["limit"] != self.watcher.limits.get(team):
                self.events.add("limit-asked", team=team, limit=settings["limit"])
        try:
            status, answer = draft_and_sign_off(entry, bundle, author, signer)
        except (OSError, http.client.HTTPException):
            return False
        if status != 200:
            return False
        detail = answer_detail(answer)
        version_number = detail.get("version") or next(iter(re.findall(r"\d+", str(detail.get("text", "")))), None)
        if version_number is not None:
            self.events.add("signed", version=int(version_number))
        return True

    def sign_off_anywhere(self, random, seconds=15):
        """Signs off the wanted state, trying random daemons until one confirms it; returns False at the timeout."""
        def attempt():
            with self.sign_off_lock:
                return self.sign_off(random.choice(self.cluster.entries), self.next_bundle())

        return wait_until(attempt, seconds, 1.0)

    def race_sign_offs(self, random, sleep):
        """Several operators lower a team's limit at once by different bundles; the limit is restored later."""
        team = random.choice(self.cluster.deployment["large"])
        entries = random.sample(self.cluster.entries, min(3, len(self.cluster.entries)))
        with self.sign_off_lock:
            self.limits[team] = LOWERED_LIMIT
            threads = [
                threading.Thread(target=self.sign_off, args=(entry, self.next_bundle(), f"author-{i}", f"signer-{i}"))
                for i, entry in enumerate(entries)
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
        sleep(random.uniform(16, 25))  # above CONFIG_GRACE_NS of check_journals
        self.limits.pop(team, None)
        self.sign_off_anywhere(random)

    def replace_key(self, random, sleep):
        """Grants a new key, moves the callers to it, withdraws the old key and sends probes with the old key."""
        with self.lock:
            available_teams = [
                team for team in self.cluster.deployment["teams"] if team not in self.teams_replacing_key
            ]
            if not available_teams:
                return
            team = random.choice(available_teams)
            self.teams_replacing_key.add(team)
            self.key_generations[team] += 1
            old_keys, new_key = self.keys[team], team_key(team, self.key_generations[team])
        self.watcher.remember_key(team, new_key)
        self.keys[team] = old_keys + [new_key]
        if not self.sign_off_anywhere(random):
            return  # both keys stay in the wanted state, and the team gets no further replacement
        self._wait_in_force()
        try_http_call(self.cluster.load_control, "/v1/control", {"team": team, "key": new_key})
        self.keys[team] = [new_key]
        withdrawn = self.sign_off_anywhere(random)
        with self.lock:
            self.teams_replacing_key.discard(team)
        if not withdrawn:
            return  # the next bundle withdraws the key
        sleep(KEY_PROBE_DELAY_SECONDS)
        for entry in self.cluster.entries:
            self.probe_key(entry, team, old_keys[0])

    def _wait_in_force(self):
        def reached():
            versions = [read_bundle_version(entry)[0] for entry in self.cluster.entries]
            return all(version is None or version >= self.watcher.highest_version for version in versions)

        wait_until(reached, 15, 0.5)

    def probe_key(self, entry, team, key):
        """Sends one interactive request with a withdrawn key and writes it to the probe journal."""
        class_ = self.cluster.deployment["streams"][0]["class"]
        with self.lock:
            self.probe_number += 1
            request_id = f"probe-{self.probe_number}"
        common = {"team": team, "class": class_, "request_id": request_id, "attempt": 1, "entry": entry["name"]}
        self.probe_journal.add("send", **common, key=key, tasks=1, idempotent=True)
        body = {"request_id": request_id, "team": team, "class": class_}
        outcome = "unknown"
        try:
            headers = {"Authorization": f"Bearer {key}"}
            status, answer = http_call(entry["caller"], "/v1/jobs", body, 3.0, headers)
            self.probe_journal.add("answer", **common, status=status, answer=answer or {})
            outcome = (answer or {}).get("outcome", "unknown")
        except (OSError, http.client.HTTPException) as error:
            self.probe_journal.add("error", **common, delivery="maybe-sent", timeout=True, error=str(error))
        self.probe_journal.add("final", **common, outcome=outcome, error="probe")
