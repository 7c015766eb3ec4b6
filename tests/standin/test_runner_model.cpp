// Guards the model of a runner against being kinder than the platform: leases that last longer than the platform
// grants, rejected calls that lengthen them, and stops and starts of other runs than those that are there.
#include "standin/runner_model.h"

#include <criterion/criterion.h>

using namespace mimosapier;

constexpr std::int64_t ElapsedMs = 50'000; // when the calls arrive, if nothing else is said
static const StagedTask Task{StagedJobId{1}, 0, 0, 0};

static RunnerCall makeCall(RunnerOp op, std::uint64_t run, std::int64_t untilMs)
{
    RunnerCall call;
    call.op_ = op;
    call.task_ = Task;
    call.run_ = RunNumber{run};
    call.token_ = FencingToken{5};
    call.untilMs_ = untilMs;
    return call;
}

static RunnerReply execute(RunnerModel &runner, const RunnerCall &call, std::int64_t elapsedMs = ElapsedMs)
{
    return runner.execute(call, TimePoint(Milliseconds(elapsedMs)), elapsedMs);
}

// A runner with run 2 of the task and a lease of 5 s.
static RunnerModel runnerAtWork()
{
    RunnerModel runner;
    cr_assert(execute(runner, makeCall(RunnerOp::Start, 2, runner.clockMs(ElapsedMs) + 5'000)).status_
              == RunnerStatus::Ok);
    cr_assert_eq(runner.active_.at(Task), 2);
    return runner;
}

Test(runner_model, leaseIsLongerThanTheLongestOne)
{
    RunnerModel runner;
    const std::int64_t clockMs = runner.clockMs(ElapsedMs);
    execute(runner, makeCall(RunnerOp::Start, 1, clockMs + 60'000));
    cr_assert_eq(runner.leaseUntilMs_, clockMs + 10'000);
    runner.expire(ElapsedMs + 10'000);
    cr_assert_eq(runner.active_.size(), 1);
    runner.expire(ElapsedMs + 10'001);
    cr_assert(runner.active_.empty());
    cr_assert(runner.finished_.back().end_ == RunEnd::Lapsed);
    execute(runner, makeCall(RunnerOp::Hold, 0, clockMs + 600'000), ElapsedMs + 20'000);
    cr_assert_eq(runner.leaseUntilMs_, clockMs + 30'000);
}

Test(runner_model, leaseIsShortenedByAnEarlierEnd)
{
    RunnerModel runner = runnerAtWork();
    const std::int64_t untilMs = runner.leaseUntilMs_;
    execute(runner, makeCall(RunnerOp::Hold, 0, untilMs - 1'000));
    execute(runner, makeCall(RunnerOp::Hold, 0, 0));
    cr_assert_eq(runner.leaseUntilMs_, untilMs);
}

Test(runner_model, rejectedCallLengthensTheLease)
{
    RunnerModel runner = runnerAtWork();
    const std::int64_t untilMs = runner.leaseUntilMs_;
    RunnerCall fenced = makeCall(RunnerOp::Start, 3, untilMs + 1'000);
    fenced.token_ = FencingToken{4};
    cr_assert(execute(runner, fenced).status_ == RunnerStatus::Fenced);
    cr_assert_eq(runner.leaseUntilMs_, untilMs);
    execute(runner, makeCall(RunnerOp::Stop, 1, untilMs + 1'000));
    cr_assert_eq(runner.leaseUntilMs_, untilMs, "a stop names no end of the lease");
}

// The platform takes the end of the lease from these.
Test(runner_model, supersededStartDoesNotLengthenTheLease)
{
    RunnerModel runner = runnerAtWork();
    const std::int64_t untilMs = runner.leaseUntilMs_;
    execute(runner, makeCall(RunnerOp::Stop, 2, 0));
    cr_assert(execute(runner, makeCall(RunnerOp::Start, 2, untilMs + 1'000)).status_ == RunnerStatus::Superseded);
    cr_assert_eq(runner.leaseUntilMs_, untilMs + 1'000);
    cr_assert(execute(runner, makeCall(RunnerOp::Start, 1, untilMs + 60'000)).status_ == RunnerStatus::Superseded);
    cr_assert_eq(runner.leaseUntilMs_, runner.clockMs(ElapsedMs) + 10'000);
    cr_assert_eq(runner.starts_.size(), 1);
}

Test(runner_model, stopEndsAnotherRunOfTheTask)
{
    RunnerModel runner = runnerAtWork();
    execute(runner, makeCall(RunnerOp::Stop, 1, 0));
    execute(runner, makeCall(RunnerOp::Stop, 3, 0));
    cr_assert_eq(runner.active_.size(), 1);
    execute(runner, makeCall(RunnerOp::Stop, 2, 0));
    cr_assert(runner.active_.empty());
    const std::int64_t untilMs = runner.clockMs(ElapsedMs) + 5'000;
    cr_assert(execute(runner, makeCall(RunnerOp::Start, 3, untilMs)).status_ == RunnerStatus::Superseded);
}

// Guards against an answer that says that a run is there which is not.
Test(runner_model, startOfAnotherRunOfARunningTaskIsAnsweredAsDone)
{
    RunnerModel runner = runnerAtWork();
    const std::int64_t untilMs = runner.leaseUntilMs_;
    cr_assert(execute(runner, makeCall(RunnerOp::Start, 2, untilMs)).status_ == RunnerStatus::Ok);
    cr_assert(execute(runner, makeCall(RunnerOp::Start, 3, untilMs)).status_ == RunnerStatus::Superseded);
    cr_assert_eq(runner.starts_.size(), 1);
}
