"""Stand-in of one runner, as PROTOCOL.md describes it: a process of its own, so that it can be killed and restarted.

The Spec of a job is JSON: {"ms": [run time of a task of each step]}, and "fail": {"<step>.<index>": number of runs that
end as failed, at first}. Every start, end and refused order is written to the log, one JSON object a line, with the
time of the monotonic clock of the machine.
"""

import argparse
import asyncio
import json
import os
import time

from httpd import Server, call


class Runner:
    def __init__(self, args):
        self.args_ = args
        self.born_ = int(time.time() * 1000)
        self.started_ = time.monotonic()
        self.token_ = 0
        self.until_ = 0
        self.active_ = {}  # task -> (run, timer)
        self.highest_ended_ = {}  # task -> run
        self.finished_ = []
        self.last_end_ = 0
        self.ended_ = asyncio.Event()
        self.sequence_ = 0
        self.log_ = open(args.log, "a", buffering=1)

    def clock(self):
        return int((time.monotonic() - self.started_) * 1000) + 1000

    def note(self, what, **fields):
        self.log_.write(json.dumps({"t": time.monotonic(), "server": self.args_.id, "born": self.born_, "what": what,
                                    **fields}) + "\n")

    def entry(self):
        args = self.args_
        return {"Service": args.service, "Address": args.address, "Zone": args.zone, "Version": "1", "Slots": 8,
                "State": "ready", "ColdRemainingMs": 0, "Sequence": self.sequence_,
                "Capacity": {"Cpu": args.cpu, "MemMb": args.mem, "Gpu": 0}, "Labels": [args.kind, args.rack],
                "born": self.born_}

    async def register_loop(self):
        """Registers at once, then every heartbeat; a failed write is repeated soon."""
        while True:
            self.sequence_ += 1
            status, _ = await call(self.args_.store, "POST", "/standin-register",
                                   {"Key": "servers/" + self.args_.id, "Value": json.dumps(self.entry())}, timeout=1.0)
            if status == 200 and self.sequence_ == 1:
                self.note("registered")
            if status != 200:
                self.sequence_ -= 1
            await asyncio.sleep(1.5 if status == 200 else 0.1)

    def end(self, task, how):
        run, timer = self.active_.pop(task)
        timer.cancel()
        self.last_end_ += 1
        self.finished_.append([self.last_end_, task, run, how, ""])
        self.highest_ended_[task] = max(run, self.highest_ended_.get(task, 0))
        self.note("end", task=task, run=run, how=how)
        event, self.ended_ = self.ended_, asyncio.Event()
        event.set()

    async def lease_loop(self):
        while True:
            await asyncio.sleep(0.02)
            if self.active_ and self.clock() > self.until_:
                for task in list(self.active_):
                    self.end(task, "lapsed")

    def extend(self, body):
        if body.get("UntilMs"):
            self.until_ = max(self.until_, min(int(body["UntilMs"]), self.clock() + self.args_.hold_max))

    def fenced(self, body):
        token = int(body.get("FencingToken", 0))
        if token < self.token_:
            return True
        self.token_ = token
        return False

    async def handle(self, request):
        if request.headers.get("x-expect-instance", self.args_.id) != self.args_.id:
            return 421, {"ClockMs": self.clock()}
        body = request.body
        if self.fenced(body):
            self.note("fenced", path=request.target, token=body.get("FencingToken"))
            return 409, {"ClockMs": self.clock(), "Reason": "fence"}
        if request.target == "/run-start":
            return self.start(body)
        if request.target == "/run-stop":
            return self.stop(body)
        if request.target == "/hold":
            return await self.hold(body)
        return 400, {"ClockMs": self.clock()}

    def start(self, body):
        task, run = body["Task"], int(body["RunId"])
        if self.active_.get(task, (0, None))[0] == run:
            self.extend(body)
            return 200, {"ClockMs": self.clock()}
        reason = None
        if run <= self.highest_ended_.get(task, 0) or task in self.active_:
            self.extend(body)
            reason = "old"
        elif int(body.get("UntilMs", 0)) <= self.clock() and self.until_ <= self.clock():
            reason = "late"
        if reason:
            self.note("refused", task=task, run=run, reason=reason)
            return 409, {"ClockMs": self.clock(), "Reason": reason}
        self.extend(body)
        _, _, step, index = task.split(".")
        try:
            plan = json.loads(body["Spec"])
        except ValueError:
            plan = {"ms": [1000] * 8}  # not a Spec of the review's clients
        fails = plan.get("fail", {}).get(f"{step}.{index}", 0)
        how = "done"
        if fails:
            path = os.path.join(self.args_.dir, "failed-" + task)
            before = os.path.getsize(path) if os.path.exists(path) else 0
            if before < fails:
                with open(path, "a") as count:
                    count.write("x")
                how = "failed"
        delay = (plan.get("fail_ms", 500) if how == "failed" else plan["ms"][int(step)]) / 1000
        timer = asyncio.get_running_loop().call_later(delay, lambda: self.end(task, how))
        self.active_[task] = (run, timer)
        self.note("start", task=task, run=run, token=body.get("FencingToken"), spec=body["Spec"])
        return 200, {"ClockMs": self.clock()}

    def stop(self, body):
        task, run = body["Task"], int(body["RunId"])
        if task in self.active_ and self.active_[task][0] == run:
            self.end(task, "stopped")
        self.highest_ended_[task] = max(run, self.highest_ended_.get(task, 0))
        return 200, {"ClockMs": self.clock()}

    async def hold(self, body):
        seen = int(body.get("LastSeen", 0))
        self.extend(body)
        self.finished_ = [row for row in self.finished_ if row[0] > seen]
        deadline = time.monotonic() + int(body.get("WaitMs", 0)) / 1000
        while not self.finished_ and time.monotonic() < deadline:
            try:
                await asyncio.wait_for(self.ended_.wait(), max(0.0, deadline - time.monotonic()))
            except asyncio.TimeoutError:
                pass
        active = [[task, run, "", 100, 0] for task, (run, _) in self.active_.items()]
        return 200, {"ClockMs": self.clock(), "born": self.born_, "Active": active, "Finished": self.finished_[:500]}


async def main():
    parser = argparse.ArgumentParser()
    for name in ("id", "address", "store", "log", "dir"):
        parser.add_argument("--" + name, required=True)
    parser.add_argument("--service", default="booking")
    parser.add_argument("--zone", default="zone-a")
    parser.add_argument("--kind", default="a")
    parser.add_argument("--rack", default="r1-1")
    parser.add_argument("--cpu", type=int, default=64_000)
    parser.add_argument("--mem", type=int, default=262_144)
    parser.add_argument("--hold-max", type=int, default=10_000)
    parser.add_argument("--count", type=int, default=0, help="many runners, <id>-000 and so on, on free ports")
    args = parser.parse_args()
    runners = []
    for number in range(max(args.count, 1)):
        own = argparse.Namespace(**vars(args))
        runner = Runner(own)
        host, port = args.address.rsplit(":", 1)
        port = await Server(runner.handle).start(host, 0 if args.count else int(port))
        if args.count:
            own.id, own.address, own.rack = f"{args.id}-{number:03d}", f"{host}:{port}", f"r1-{number // 12}"
            await call(args.store, "POST", "/standin-register",
                       {"Key": "servers/" + own.id, "Value": json.dumps(runner.entry())})
        runner.note("born")
        runners.append(runner)
    if args.count:  # entries that change in nothing but their sequence are not written again
        await asyncio.gather(*(runner.lease_loop() for runner in runners))
    await asyncio.gather(runners[0].register_loop(), runners[0].lease_loop())


asyncio.run(main())
