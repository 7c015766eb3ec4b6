"""A client leaves and cancels its job before the job is stored; the leader dies before it has stored the cancel."""

import asyncio
import json
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "../lib"))
from harness import TROUBLE, CannotRun, run_case  # noqa: E402

SLOW_S, SLOW_FOR_S = 0.24, 4.5  # 60 times the store's 4 ms
LEAVE_MS = 100  # the site's give_up lets clients leave within half the objective
JOBS = {f"{0xf85c0e7a21d94b00 + i:016x}": json.dumps({"ms": [1500], "order": i}) for i in range(24)}


def body(spec):
    return {"Spec": spec, "Steps": [{"Count": 1, "Cpu": 1000, "MemMb": 100, "EstimateMs": 1500}]}


async def scenario(d):
    await d.start()
    await asyncio.sleep(1)
    leader = d.leader()
    others = [x for x in d.daemons_ if x is not leader]
    d.note(f"leader: {leader.name_}")
    cancelled = list(JOBS)[1::5]  # every fifth client leaves
    stored = asyncio.Event()

    def on_commit(port, transaction):
        keys = [row["Key"] for row in transaction.get("Writes", [])]
        if any(f"mimosapier/job/{job}" in keys for job in cancelled):
            stored.set()
        return False

    async def client(job, spec):
        """Hands a job in, again at another daemon after no answer; one in five leaves and cancels it instead."""
        if job in cancelled:
            await d.client(leader, "POST", job, body(spec), patience=LEAVE_MS / 1000)
            for attempt in range(4):
                target = ([leader] + others)[attempt % 3]
                status, _ = await d.client(target, "DELETE", job, deadline=3.0)
                if status in (200, 410):
                    return
                await asyncio.sleep(2)
        else:
            for attempt in range(6):
                status, _ = await d.client(([leader] + others)[attempt % 3], "POST", job, body(spec))
                if status == 200:
                    return
                await asyncio.sleep(0.5)

    if TROUBLE:
        for daemon in d.daemons_:
            daemon.port_.after_commit_ = on_commit
        d.store_.answer_s_ = SLOW_S
        d.note(f"store: answers take {SLOW_S} s")
        asyncio.get_running_loop().call_later(SLOW_FOR_S, lambda: setattr(d.store_, "answer_s_", 0.004))
    clients = []
    for job, spec in JOBS.items():
        clients.append(asyncio.create_task(client(job, spec)))
        await asyncio.sleep(0.05)
        if TROUBLE and stored.is_set() and leader.process_.poll() is None:
            d.signal_daemon(leader, signal.SIGKILL)
            asyncio.get_running_loop().call_later(3, leader.start)
    await asyncio.gather(*clients)
    await asyncio.sleep(8)
    wrong = [e for e in d.runs() if e["what"] == "start" and e["spec"] != JOBS.get(e["task"].split(".")[0])]
    if TROUBLE and not stored.is_set():
        raise CannotRun("no cancelled job was stored")
    # UNASKED: a runner is told to start with another Spec.
    return bool(wrong), "; ".join(f"{e['task']} run {e['run']} started on {e['server']} with Spec {e['spec']!r}" for e in wrong)


run_case("case-5", HERE, scenario, daemons=3, runners=3)
