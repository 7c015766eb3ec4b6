"""A leader dies while an occurrence of a recurring job has tasks that wait for room."""

import asyncio
import json
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "../lib"))
from harness import TROUBLE, CannotRun, run_case  # noqa: E402

RECURRING, PLAIN = "7a21d94b36f85c0e", "7a21d94b36f85c0f"
COUNT, TIMES, INTERVAL_MS = 24, 3, 6000
STEP = {"Count": COUNT, "Cpu": 20_000, "MemMb": 1000, "EstimateMs": 1000}  # two runners of 64 cores: six at a time
SPEC = json.dumps({"ms": [1000]})


async def scenario(d):
    await d.start()
    first = int(time.time() * 1000) + 1500
    job = {"Spec": SPEC, "Steps": [STEP], "RepeatCount": TIMES, "FirstRunMs": first, "IntervalMs": INTERVAL_MS}
    if not await d.submit(RECURRING, job):
        raise CannotRun("the job was not accepted")
    await asyncio.sleep(first / 1000 + 1.6 - time.time())  # a first wave of tasks is done, most still wait
    leader = d.leader()
    d.note(f"leader: {leader.name_}")
    if TROUBLE:
        d.signal_daemon(leader, signal.SIGKILL)
        await asyncio.sleep(2)
        leader.start()
        d.note(f"daemon {leader.name_}: started again")
    plain = await d.submit(PLAIN, {"Spec": SPEC, "Steps": [dict(STEP, Count=2)]}, attempts=20)
    # The last occurrence is due 12 s after the first and takes 4 s. finish_s (14 s) later the jobs are asked for.
    await asyncio.sleep(first / 1000 + TIMES * INTERVAL_MS / 1000 + 14 - time.time())
    state = {}
    for job_id in (RECURRING, PLAIN):
        status, answer = await d.client(d.daemons_[0], "GET", job_id)
        state[job_id] = answer.get("State") if status == 200 else status
    runs = [e for e in d.runs() if e.get("task", "").startswith(RECURRING)]
    done = {e["task"] for e in runs if e["what"] == "end" and e["how"] == "done"}
    missing = sorted(f"{RECURRING}.{k}.0.{i}" for k in range(TIMES) for i in range(COUNT)
                     if f"{RECURRING}.{k}.0.{i}" not in done)
    idle = time.monotonic() - max(e["t"] for e in runs)
    # LOST: for 3 s the job has nothing running while tasks are due and all the room is free.
    broken = bool(missing) and idle > 3 and state[RECURRING] != "completed"
    return broken, (f"recurring job {state[RECURRING]}, {len(missing)} of {COUNT * TIMES} tasks never done "
                    f"(first {missing[:1]}), nothing of it ran for the last {idle:.1f} s; plain job handed in after the "
                    f"change of leader: accepted {plain}, {state[PLAIN]}")


run_case("case-2", HERE, scenario, daemons=3, runners=2)
