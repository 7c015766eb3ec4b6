// Tests of the checker of the random tests: each violation is found, and each case that the rule allows is allowed.
#include "control/handover_checker.h"

#include <criterion/criterion.h>

using namespace mimosapier;

static const StagedTask Task{StagedJobId{1}, 0, 0, 0};
static const RunnerId RunnerA("a");
static const RunnerId RunnerB("b");

static TimePoint at(int milliseconds)
{
    return TimePoint{} + std::chrono::hours(1) + Milliseconds(milliseconds);
}

static FinishedRun endOf(std::uint64_t number, std::uint64_t run, RunEnd reason)
{
    return {number, Task, RunNumber{run}, reason, ""};
}

// A checker that has seen run 1 of the task on RunnerA from 0 to 100 ms, with the end number 1.
static RunChecker afterOneRun(RunEnd reason)
{
    RunChecker checker;
    observeStart(checker, RunnerA, Task, 1, 1, 0, at(0));
    observeEnd(checker, RunnerA, endOf(1, 1, reason), at(100));
    return checker;
}

static void checkOnly(const RunChecker &checker, ViolationKind kind, int time)
{
    cr_assert_eq(checker.violations_.size(), 1);
    cr_assert(checker.violations_.front().kind_ == kind);
    cr_assert(checker.violations_.front().task_ == Task);
    cr_assert(checker.violations_.front().at_ == at(time));
}

// Guards against a checker that misses two runs at the same time, on two runners or on one.
Test(handoverChecker, concurrentRunsAreFound)
{
    for (const RunnerId &second : {RunnerA, RunnerB}) {
        RunChecker checker;
        observeStart(checker, RunnerA, Task, 1, 1, 0, at(0));
        observeStart(checker, second, Task, 2, 2, 0, at(50));
        checkOnly(checker, ViolationKind::ConcurrentRuns, 50);
    }
}

Test(handoverChecker, runsOfDifferentTasksMayOverlap)
{
    RunChecker checker;
    observeStart(checker, RunnerA, Task, 1, 1, 0, at(0));
    observeStart(checker, RunnerA, {StagedJobId{1}, 0, 0, 1}, 1, 1, 0, at(0));
    observeStart(checker, RunnerA, {StagedJobId{1}, 1, 0, 0}, 1, 1, 0, at(0));
    cr_assert(checker.violations_.empty());
}

// A run ends with its runner: the task may start again.
Test(handoverChecker, startAfterACrashIsAllowed)
{
    RunChecker checker;
    observeStart(checker, RunnerA, Task, 1, 1, 0, at(0));
    observeRunnerDown(checker, RunnerA, at(50));
    observeStart(checker, RunnerB, Task, 2, 1, 0, at(60));
    cr_assert(checker.violations_.empty());
}

// Guards against a crash of one runner that hides a run on another.
Test(handoverChecker, crashOfAnotherRunnerEndsNoRun)
{
    RunChecker checker;
    observeStart(checker, RunnerA, Task, 1, 1, 0, at(0));
    observeRunnerDown(checker, RunnerB, at(50));
    observeStart(checker, RunnerB, Task, 2, 1, 0, at(60));
    checkOnly(checker, ViolationKind::ConcurrentRuns, 60);
}

Test(handoverChecker, startAfterANotedEndIsFound)
{
    RunChecker checker = afterOneRun(RunEnd::Done);
    observeAcknowledgement(checker, RunnerA, 1, at(200));
    observeStart(checker, RunnerB, Task, 2, 1, 0, at(300));
    checkOnly(checker, ViolationKind::StartAfterNotedEnd, 300);
}

// Guards against a checker that forgets a noted end with the runner, or with a lapse after the acknowledgement.
Test(handoverChecker, notedEndStandsAfterACrashOrALapse)
{
    RunChecker checker = afterOneRun(RunEnd::Done);
    observeAcknowledgement(checker, RunnerA, 1, at(200));
    observeLapse(checker, RunnerA);
    observeRunnerDown(checker, RunnerA, at(250));
    observeStart(checker, RunnerB, Task, 2, 1, 0, at(300));
    checkOnly(checker, ViolationKind::StartAfterNotedEnd, 300);
}

Test(handoverChecker, endThatIsNotedAfterALaterStartIsFound)
{
    RunChecker checker = afterOneRun(RunEnd::Done);
    observeStart(checker, RunnerB, Task, 2, 1, 0, at(200));
    cr_assert(checker.violations_.empty());
    observeAcknowledgement(checker, RunnerA, 1, at(300));
    checkOnly(checker, ViolationKind::EndNotedAfterStart, 300);
}

// The same with a start at the very time of the end, and one of an acknowledgement that covers several ends.
Test(handoverChecker, endThatIsNotedAfterAStartAtItsTimeIsFound)
{
    RunChecker checker = afterOneRun(RunEnd::Done);
    observeStart(checker, RunnerB, Task, 2, 1, 0, at(100));
    observeAcknowledgement(checker, RunnerA, 7, at(300));
    checkOnly(checker, ViolationKind::EndNotedAfterStart, 300);
}

Test(handoverChecker, startAfterAnEndThatIsNeverNotedIsAllowed)
{
    RunChecker checker = afterOneRun(RunEnd::Done);
    observeAcknowledgement(checker, RunnerA, 0, at(150));
    observeStart(checker, RunnerB, Task, 2, 1, 0, at(200));
    observeRunnerDown(checker, RunnerA, at(250)); // the list of ends is gone
    observeAcknowledgement(checker, RunnerA, 1, at(300)); // of the next incarnation
    cr_assert(checker.violations_.empty());
}

Test(handoverChecker, startAfterALapsedEndIsAllowed)
{
    RunChecker before = afterOneRun(RunEnd::Done);
    observeLapse(before, RunnerA);
    observeAcknowledgement(before, RunnerA, 1, at(200));
    observeStart(before, RunnerB, Task, 2, 1, 0, at(300));
    cr_assert(before.violations_.empty());

    RunChecker after = afterOneRun(RunEnd::Done);
    observeStart(after, RunnerB, Task, 2, 1, 0, at(200));
    observeLapse(after, RunnerA);
    observeAcknowledgement(after, RunnerA, 1, at(300));
    cr_assert(after.violations_.empty());
}

// Guards against a lapse that excuses ends of another runner, or ends after it.
Test(handoverChecker, lapseCoversOnlyEarlierEndsOfItsRunner)
{
    RunChecker other = afterOneRun(RunEnd::Done);
    observeLapse(other, RunnerB);
    observeAcknowledgement(other, RunnerA, 1, at(200));
    observeStart(other, RunnerB, Task, 2, 1, 0, at(300));
    checkOnly(other, ViolationKind::StartAfterNotedEnd, 300);

    RunChecker earlier;
    observeLapse(earlier, RunnerA);
    observeStart(earlier, RunnerA, Task, 1, 1, 0, at(0));
    observeEnd(earlier, RunnerA, endOf(1, 1, RunEnd::Done), at(100));
    observeAcknowledgement(earlier, RunnerA, 1, at(200));
    observeStart(earlier, RunnerB, Task, 2, 1, 0, at(300));
    checkOnly(earlier, ViolationKind::StartAfterNotedEnd, 300);
}

Test(handoverChecker, startAfterAnotherEndThanDoneIsAllowed)
{
    for (const RunEnd reason : {RunEnd::Failed, RunEnd::Stopped, RunEnd::Lapsed}) {
        RunChecker checker = afterOneRun(reason);
        observeAcknowledgement(checker, RunnerA, 1, at(200));
        observeStart(checker, RunnerB, Task, 2, 1, 0, at(300));
        cr_assert(checker.violations_.empty());
    }
}

// Guards against traces that leave out a run.
Test(handoverChecker, traceNamesAllRuns)
{
    RunChecker checker = afterOneRun(RunEnd::Done);
    observeAcknowledgement(checker, RunnerA, 1, at(200));
    observeStart(checker, RunnerB, Task, 2, 3, 0, at(300));
    const std::string expected = "  run 1 on a, token 1 after 0: started 0, done 100, acknowledged 200\n"
                                 "  run 2 on b, token 3 after 0: started 300\n";
    cr_assert_eq(traceOf(checker, Task, at(0)), expected);
}

// Guards against a report of a start that nobody could have the runner refuse, and against a start after the end of
// such a run that is not reported.
Test(handoverChecker, startsThatAreNotRefusable)
{
    RunChecker checker;
    observeStart(checker, RunnerA, Task, 1, 1, 0, at(0));
    observeStart(checker, RunnerB, Task, 2, 1, 0, at(100), false);
    observeEnd(checker, RunnerA, endOf(1, 1, RunEnd::Failed), at(150));
    observeStart(checker, RunnerA, Task, 3, 2, 2, at(200));
    cr_assert(checker.violations_.empty());
    observeEnd(checker, RunnerB, endOf(1, 2, RunEnd::Done), at(250));
    observeAcknowledgement(checker, RunnerB, 1, at(300));
    observeEnd(checker, RunnerA, endOf(2, 3, RunEnd::Failed), at(350));
    cr_assert(checker.violations_.empty());
    observeStart(checker, RunnerA, Task, 4, 2, 2, at(400));
    cr_assert_eq(checker.violations_.size(), 1);
}

// Guards against a checker that exempts such starts where calls that are carried out late are not excused.
Test(handoverChecker, startsThatAreNotRefusableAreFoundWithoutTheExemption)
{
    RunChecker checker;
    checker.exemptsUnrefusableStarts_ = false;
    observeStart(checker, RunnerA, Task, 1, 1, 0, at(0));
    observeStart(checker, RunnerB, Task, 2, 1, 0, at(100), false);
    checker.runs_.at(Task).back().startedByLateCall_ = true;
    checkOnly(checker, ViolationKind::ConcurrentRuns, 100);
    cr_assert_eq(causeOf(checker, checker.violations_.front()), "one leader, late start of the later run");
}
