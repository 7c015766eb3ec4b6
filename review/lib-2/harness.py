"""Shared by the scripts of review/6 to review/10: a small deployment on loopback, calls of clients, and the record.

The daemons are target/src/daemon/mimosapierd, started as in deploy/system.toml with settings as deploy/settings.yaml
fills them in. The store, the runners and the links between daemons are the stand-ins of tests/soak.
"""

import asyncio
import json
import os
import shutil
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests/soak"))
import check_twice  # noqa: E402
import deployment as deployment_module  # noqa: E402
from deployment import HOST, KEY, CannotRun, Deployment  # noqa: E402
from httpd import call  # noqa: E402

PROGRAM = os.path.join(ROOT, "target/src/daemon/mimosapierd")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUN_LIMIT_S = 118
KEYED, OPEN = "/q/", "/open/"  # prefixes of the queues; OPEN is public and comes second
MAX_ATTEMPTS = 4  # of the queues, as for the site's slot-confirm

plain_configuration = deployment_module.configuration


def configuration():
    config = plain_configuration()
    config["Routes"][0]["MaxAttempts"] = MAX_ATTEMPTS
    config["Routes"].append({**config["Routes"][0], "Name": "open", "Prefix": OPEN, "Public": True, "Priority": 2})
    return config


deployment_module.configuration = configuration


class Case:
    """One run: deployment, record.txt, and calls of a client."""

    def __init__(self, folder, daemons, runners):
        self.folder_ = tempfile.mkdtemp(prefix="review-case-")
        self.record_ = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.began_ = time.monotonic()
        self.deployment = Deployment(PROGRAM, self.folder_, 1, daemons, runners)
        self.noted_runs_ = 0

    def now(self):
        return time.monotonic() - self.began_

    def note(self, text):
        self.record_.write(f"{self.now():8.3f}  {text}\n")

    async def request(self, daemon, method, job, body=None, wait_s=3.0, queue=KEYED):
        """A client's call; waits for `wait_s`, which it names in X-Deadline-Ms. Returns (status, body); 0: no answer."""
        headers = {"Host": HOST, "X-Deadline-Ms": str(int(wait_s * 1000))}
        if queue == KEYED:
            headers["Authorization"] = "Bearer " + KEY
        self.note(f"client sends {method} {queue}{job} to {daemon.name}")
        status, answer = await call(daemon.front, method, queue + job, body, headers, wait_s)
        self.note(f"client has for {method} {queue}{job} at {daemon.name}: "
                  f"{status or 'no answer'} {json.dumps(answer)}")
        return status, answer

    async def submit(self, daemons, job, body, attempts=8, queue=KEYED):
        """Hands a job in as a client does: again with the same id, until it is accepted."""
        for attempt in range(attempts):
            status, _ = await self.request(daemons[attempt % len(daemons)], "POST", job, body, queue=queue)
            if status == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    def runs(self, job):
        """Events of the runners' journals about a job, in order of time."""
        events = check_twice.read_journal(self.deployment.journals())
        return sorted((e for e in events if e.get("task", "").startswith(job + ".")), key=lambda e: e["t"])

    def note_runs(self, job):
        for event in self.runs(job):
            fields = {k: v for k, v in event.items() if k not in ("t", "born")}
            self.note(f"runner's journal, at {event['t'] - self.began_:.3f}: {json.dumps(fields)}")

    def followers(self):
        leader = self.deployment.leader()
        return [daemon for daemon in self.deployment.daemons if daemon is not leader]

    def close(self):
        self.deployment.stop()
        self.record_.close()
        shutil.rmtree(self.folder_, ignore_errors=True)


async def settle():
    """Ends what is left of the stand-ins in this process."""
    await asyncio.sleep(0.2)
    while tasks := asyncio.all_tasks() - {asyncio.current_task()}:
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks, timeout=1)


def run(folder, play, daemons=3, runners=4):
    """Runs `play(case)`, which returns True if the rule held. Exits with 0, 1 (broken) or 2 (could not run)."""

    async def whole(case):
        try:
            await case.deployment.start()
            case.note(f"all daemons are ready; {case.deployment.leader().name} leads; TROUBLE={int(TROUBLE)}")
            return await asyncio.wait_for(play(case), RUN_LIMIT_S - 20)
        finally:
            case.deployment.stop()
            await settle()

    if not os.access(PROGRAM, os.X_OK):
        print("cannot run: no " + PROGRAM)
        sys.exit(2)
    case = Case(os.path.abspath(folder), daemons, runners)
    code = 2
    try:
        held = asyncio.run(whole(case))
        code = 0 if held else 1
        case.note("the rule held" if held else "the rule was BROKEN")
        print("held" if held else "BROKEN")
    except (CannotRun, check_twice.BadJournal, OSError, asyncio.TimeoutError) as error:
        case.note(f"cannot run: {error!r}")
        print(f"cannot run: {error!r}")
    finally:
        case.close()
    sys.exit(code)
