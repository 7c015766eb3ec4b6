"""Trial, no case: a leader dies while runners are being drained, in a fleet whose list takes two pages of the store.

Site hollings-sched-large: 540 runners, DrainMs 5,000, scale_in, node_kill. Exits as the cases do.
"""

import asyncio
import json
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "../lib"))
from harness import TROUBLE, run_case  # noqa: E402

FLEET, DRAINED, DRAIN_S = 540, 34, 5.0
JOBS = [f"{0x85c0e7a21d94b000 + i:016x}" for i in range(6)]
BODY = {"Spec": json.dumps({"ms": [500]}), "Steps": [{"Count": 4, "Cpu": 4000, "MemMb": 10, "EstimateMs": 500}]}


async def scenario(d):
    await d.start()
    await asyncio.sleep(3)
    leader = d.leader()
    if TROUBLE:
        d.signal_daemon(leader, signal.SIGKILL)
    await asyncio.sleep(0.25)
    acknowledged = {}
    for i in range(DRAINED):
        name = f"server-{i:03d}"
        entry = json.loads(d.store_.items_["servers/" + name][0])
        entry.update(State="draining", DrainRemainingMs=int(DRAIN_S * 1000), Sequence=entry["Sequence"] + 1)
        d.store_.write("servers/" + name, json.dumps(entry).encode())
        acknowledged[name] = time.monotonic()
        d.note(f"server {name} drains")
        await asyncio.sleep(0.015)
    await asyncio.sleep(9)
    alive = [x for x in d.daemons_ if x.process_.poll() is None]
    for i, job in enumerate(JOBS):
        await d.client(alive[i % len(alive)], "POST", job, BODY)
    await asyncio.sleep(3)
    late = [e for e in d.runs() if e["what"] == "start"
            and e["t"] > acknowledged.get(e["server"], float("inf")) + DRAIN_S]
    return bool(late), (f"{len(late)} starts on {sorted({e['server'] for e in late})}, "
                        f"{min((e['t'] - acknowledged[e['server']] for e in late), default=0):.1f} s and more after "
                        "the store had accepted that they drain")


run_case("trial-drain", HERE, scenario, daemons=3, runners=0, fleet=FLEET)
