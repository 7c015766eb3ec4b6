"""A job is given up as one that crashes its runners, although only one runner has ever crashed under it.

1. The runner that has the job's only task crashes and starts again.
2. The runner that is to start the task next is cut off before the order arrives, crashes behind the cut and starts
   again. It has never begun the task.
3. The leader is killed during the cut, and the next leader some seconds after its end.

All other runners have work, so the task, now a suspect, waits for an empty one for a while. The disruptions are those of
day.toml, one at a time for each kind.
"""

import asyncio
import json
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))
import harness  # noqa: E402
from httpd import Server, call  # noqa: E402
from deployment import RunnerProcess  # noqa: E402

RUNNERS = 8  # one of them is 0.125; the site crashes 0.14 of the runners and cuts off 0.17 of them
CRASH_DOWN_S = 2.0
CUT_S = 5.5
BEHIND_CUT_CRASH_S = 1.0
FIRST_KILL_S = 3.2  # after the cut began
SECOND_KILL_S = 1.6  # after the cut has ended
DAEMON_DOWN_S = 1.5
FINISH_S = 14.0
JOB = "00c0ffee00000007"
BODY = {"Spec": '{"ms": [60000]}', "Steps": [{"Count": 1, "Cpu": 1000, "MemMb": 256, "EstimateMs": 60000}]}
FILL_STEP = {"Count": 2 * RUNNERS + 6, "Cpu": 30000, "MemMb": 1024, "EstimateMs": 100000}
FILL = ("00f1110000000007", {"Spec": '{"ms": [100000]}', "Steps": [FILL_STEP]})


class Front:
    """Proxy before one runner: the address that the runner's entries name. It can cut the runner off, silently."""

    def __init__(self, case, runner):
        self.case_, self.runner_, self.cut_ = case, runner, False
        self.server_ = Server(self.handle)

    async def start(self):
        self.address = "127.0.0.1:%d" % await self.server_.start("127.0.0.1", 0)

    async def handle(self, request):
        if request.target == "/run-start" and self.case_.is_awaited_start(request.body):
            self.case_.cut_off(self, request.body)
        if self.cut_:
            return None
        headers = {"X-Expect-Instance": request.headers.get("x-expect-instance", "")}
        status, body = await call(self.runner_.address, "POST", request.target, request.body, headers, 4.0)
        return None if self.cut_ or status == 0 else (status, body)


class Play:
    def __init__(self, case):
        self.case_, self.fronts_ = case, {}  # address of the runner -> Front
        self.awaits_start_ = False
        self.cut_front_ = None
        self.cut_began_ = asyncio.Event()

    def is_awaited_start(self, body):
        return self.awaits_start_ and body["Task"].startswith(JOB + ".")

    def cut_off(self, front, body):
        """The order comes too late: the runner is cut off from all daemons."""
        self.awaits_start_ = False
        front.cut_ = True
        self.cut_front_ = front
        self.case_.note(f"{front.runner_.name} is cut off from all daemons; run {body['RunId']} does not reach it")
        self.cut_began_.set()

    async def put_fronts(self):
        """Has the runners' entries name their proxies."""
        for runner in self.case_.deployment.runners:
            self.fronts_[runner.address] = front = Front(self, runner)
            front.note, front.case_ = self.case_.note, self
            await front.start()
        server = self.case_.deployment.store.internal_
        plain = server.handler_

        async def register(request):
            value = json.loads(request.body["Value"])
            if value["Address"] in self.fronts_:
                value["Address"] = self.fronts_[value["Address"]].address
                request.body["Value"] = json.dumps(value)
            return await plain(request)

        server.handler_ = register

    async def crash(self, front, down_s):
        """Ends a runner; it starts again at its address, as a new runner."""
        deployment, old = self.case_.deployment, front.runner_
        deployment.kill_runner(old)
        self.case_.note(f"{old.name} ends")
        await asyncio.sleep(down_s)
        new = RunnerProcess(old.name + "x", deployment.folder, old.address)
        deployment.runners.append(new)
        deployment.start_runner(new)
        front.runner_ = new
        self.case_.note(f"{old.name} starts again, as {new.name}")

    async def kill_leader(self):
        deployment = self.case_.deployment
        end = self.case_.now() + 4
        while deployment.leader() is None and self.case_.now() < end:
            await asyncio.sleep(0.05)
        leader = deployment.leader()
        self.case_.note(f"{leader.name}, which leads, is killed")
        asyncio.create_task(deployment.restart_daemon(leader, signal.SIGKILL, DAEMON_DOWN_S))

    async def trouble(self):
        starts = [e for e in self.case_.runs(JOB) if e["what"] == "start"]
        first = next(f for f in self.fronts_.values() if f.runner_.name == starts[-1]["runner"])
        self.awaits_start_ = True
        await self.crash(first, CRASH_DOWN_S)
        await asyncio.wait_for(self.cut_began_.wait(), 15)
        await asyncio.sleep(BEHIND_CUT_CRASH_S)
        await self.crash(self.cut_front_, 0.5)
        await asyncio.sleep(FIRST_KILL_S - BEHIND_CUT_CRASH_S - 0.5)
        await self.kill_leader()
        await asyncio.sleep(CUT_S - FIRST_KILL_S)
        self.cut_front_.cut_ = False
        self.case_.note("the cut ends")
        await asyncio.sleep(SECOND_KILL_S)
        await self.kill_leader()


async def play(case):
    story = Play(case)
    await story.put_fronts()
    await asyncio.sleep(4)  # the runners' entries name the proxies, and the leader has called them there
    daemons = case.deployment.daemons
    if not await case.submit(daemons, *FILL):
        raise harness.CannotRun("the filling job was not accepted")
    await asyncio.sleep(1.5)
    if not await case.submit(daemons, JOB, BODY, queue=harness.OPEN):
        raise harness.CannotRun("the job was not accepted")
    await asyncio.sleep(1.5)
    if harness.TROUBLE:
        await story.trouble()
    await asyncio.sleep(FINISH_S)
    _, answer = await case.request(daemons[0], "GET", JOB, queue=harness.OPEN)
    case.note_runs(JOB)
    runs = case.runs(JOB)
    begun = [e for e in runs if e["what"] == "start"]
    failed_ends = [e for e in runs if e["what"] == "end" and e["how"] == "failed"]
    case.note(f"the job is shown as {answer.get('State')}; runs that have begun: {len(begun)}; "
              f"ends `failed`: {len(failed_ends)}, MaxAttempts: {harness.MAX_ATTEMPTS}")
    return answer.get("State") != "failed"


harness.run(FOLDER, play, runners=RUNNERS)
