// Runners that are lost, and incarnations that end: the ends of runs that no list of a runner will name.
#include "core/cell/runners_internal.h"

namespace mimosapier::detail
{

// No start is sent to the runner any more: its planned ones, and those of their gangs, are given up.
static void cancelPlannedStarts(Cell &cell, Runner &runner, CellTime now, CellActions &actions)
{
    std::vector<StagedTask> planned;
    for (const auto &[task, placement] : runner.tasks_) {
        if (placement.phase_ == PlacementPhase::Planned) {
            planned.push_back(task);
        }
    }
    for (const StagedTask &task : planned) {
        cancelPlannedStart(cell, runner, task);
        stopGang(cell, task, now, actions);
    }
}

void releaseFailedRun(Cell &cell, Runner &runner, const StagedTask &task, CellTime now, CellActions &actions)
{
    releasePlacement(cell, runner, task, ReleaseCause::StartRejected);
    stopGang(cell, task, now, actions);
}

void presumeEnded(Cell &cell, Runner &runner, std::span<const StagedTask> tasks, CellTime now, CellActions &actions)
{
    std::vector<StagedTask> presumed;
    for (const StagedTask &task : tasks) {
        Placement &placement = runner.tasks_.at(task);
        if (placement.orphan_) {
            releasePlacement(cell, runner, task, ReleaseCause::EndPresumed);
        } else if (!isPresumedEnded(placement)) {
            placement.presumedEndAt_ = now.steady_;
            cell.leadershipCheck_.presumedEnds_.push_back(
                {runner.record_.id_, task, placement.run_, now.steady_, runner.startedUnixMs_});
            presumed.push_back(task);
        }
    }
    if (!presumed.empty()) {
        requestConfirmation(cell, now.steady_);
    }
    for (const StagedTask &task : presumed) {
        stopGang(cell, task, now, actions);
    }
}

void releasePresumedEnd(Cell &cell, const PresumedEnd &end)
{
    Runner *runner = findRunner(cell, end.runner_);
    if (runner == nullptr) {
        return;
    }
    const auto found = runner->tasks_.find(end.task_);
    if (found != runner->tasks_.end() && found->second.run_ == end.run_ && found->second.presumedEndAt_ == end.at_) {
        releasePlacement(cell, *runner, end.task_, ReleaseCause::EndPresumed);
        cell.runnersDirty_ = cell.runnersDirty_ || isQuiescent(*runner); // the stored list names the run
        const TimePoint forgetAt = end.at_ + LateCallBound + longestLease(cell);
        cell.presumedRuns_.push_back({end.runner_, end.task_, end.run_, end.startedUnixMs_, forgetAt});
    }
}

static void logLostRunner(const Cell &cell, const Runner &runner, std::string_view cause, CellTime now,
                          CellActions &actions)
{
    if (runner.stateKnown_ || !runner.tasks_.empty() || runner.mayHavePredecessorTasks_) {
        JsonObject line = logEvent("runner-lost");
        line.text("runner", runner.record_.id_.value_).text("cause", cause);
        line.number("epoch", static_cast<std::int64_t>(cell.epoch_.value_));
        line.number("tasks", static_cast<std::int64_t>(runner.tasks_.size()));
        line.number("answer_age_ms",
                    std::chrono::duration_cast<Milliseconds>(now.steady_ - runner.clockReadAt_).count());
        if (runner.leaseEndsBy_ != TimePoint{}) {
            line.number("lease_over_ms", ageMs(now.steady_, runner.leaseEndsBy_));
        }
        if (runner.mayHavePredecessorTasks_ && cell.formerLeadersEndBy_ < now.steady_) {
            line.number("former_leaders_ended_ms", ageMs(now.steady_, cell.formerLeadersEndBy_));
        }
        addLogLine(actions, line, LogLevel::Warning);
    }
}

// Marks the state of a runner that may run nothing, or not what this leader knows, as unknown.
static void forgetRunnerState(Cell &cell, Runner &runner)
{
    cell.runnersDirty_ = cell.runnersDirty_ || !isQuiescent(runner);
    runner.stateKnown_ = false;
    runner.mayHavePredecessorTasks_ = false;
    runner.predecessorTasksKnown_ = false;
    runner.clockMs_ = -1;
    runner.leaseEndsBy_ = {};
    runner.hasMoreEnds_ = false;
    runner.hasOnlyUnansweredStarts_ = false;
    cell.placementDue_ = true;
}

// Presumes the end of the given tasks of a lost runner.
static void loseRunner(Cell &cell, Runner &runner, std::string_view cause, bool isCrash,
                       std::span<const StagedTask> ended, CellTime now, CellActions &actions)
{
    logLostRunner(cell, runner, cause, now, actions);
    if (isCrash) {
        noteRunnerCrash(cell, runner, now, actions);
    } else if (runner.record_.draining_) { // its entry is removed later
        noteRunnerLeft(cell, runner);
    }
    presumeEnded(cell, runner, ended, now, actions);
    forgetRunnerState(cell, runner);
}

void handleLostRunner(Cell &cell, Runner &runner, std::string_view cause, bool isCrash, CellTime now,
                      CellActions &actions)
{
    cancelPlannedStarts(cell, runner, now, actions);
    std::vector<StagedTask> tasks;
    for (const auto &[task, placement] : runner.tasks_) {
        tasks.push_back(task);
    }
    loseRunner(cell, runner, cause, isCrash, tasks, now, actions);
}

void handleEndedLeases(Cell &cell, Runner &runner, CellTime now, CellActions &actions)
{
    cancelPlannedStarts(cell, runner, now, actions);
    std::vector<StagedTask> ended;
    std::vector<StagedTask> kept;
    TimePoint keptUntil;
    for (const auto &[task, placement] : runner.tasks_) {
        const TimePoint end = unseenIncarnationLeaseEnd(cell, runner, placement);
        if (end < now.steady_ || isPresumedEnded(placement)) {
            ended.push_back(task);
        } else {
            kept.push_back(task);
            keptUntil = std::max(keptUntil, end);
        }
    }
    // A runner that has only been cut off is still listed.
    const bool isCrash = !runner.inDiscovery_ && !runner.hasOnlyUnansweredStarts_;
    loseRunner(cell, runner, "lease-ended", isCrash, ended, now, actions);
    if (kept.empty()) {
        return;
    }
    runner.leaseEndsBy_ = keptUntil;
    runner.hasOnlyUnansweredStarts_ = true;
    JsonObject line = logEvent("unanswered-starts-kept");
    line.text("runner", runner.record_.id_.value_).number("tasks", static_cast<std::int64_t>(kept.size()));
    line.number("until_ms", -ageMs(now.steady_, keptUntil));
    addLogLine(actions, line, LogLevel::Warning);
    for (const StagedTask &task : kept) {
        stopPlacement(cell, runner, task, now, actions);
        stopGang(cell, task, now, actions);
    }
}

// Presumes the end of the tasks that ended with the previous incarnation of the runner. The start of a task may have
// reached the new incarnation instead, before this leader learned of it, or may still reach it. An answered start stays
// placed until the list of the new incarnation decides; one without an answer is withdrawn.
static void endIncarnation(Cell &cell, Runner &runner, CellTime now, CellActions &actions)
{
    cancelPlannedStarts(cell, runner, now, actions);
    std::vector<StagedTask> ended;
    std::vector<StagedTask> withdrawn;
    for (auto &[task, placement] : runner.tasks_) {
        const bool startInFlight = placement.callInFlight_ && placement.phase_ == PlacementPhase::Starting;
        if (isPresumedEnded(placement)) {
            continue;
        }
        if (placement.startUnansweredAt_ != TimePoint{} || startInFlight) {
            placement.spansRestart_ = placement.listed_;
            placement.mayHaveCrashed_ = !placement.listed_;
            withdrawn.push_back(task);
        } else if (placement.listed_) {
            ended.push_back(task);
        } else {
            placement.spansRestart_ = true;
        }
    }
    noteRunnerCrash(cell, runner, now, actions);
    presumeEnded(cell, runner, ended, now, actions);
    for (const StagedTask &task : withdrawn) {
        stopPlacement(cell, runner, task, now, actions);
        stopGang(cell, task, now, actions);
    }
    for (auto &[task, placement] : runner.tasks_) {
        // The new incarnation does not know of an earlier stop.
        if (placement.phase_ == PlacementPhase::Stopping && !placement.callInFlight_ && !isPresumedEnded(placement)) {
            placement.confirmedAt_ = {};
            placement.retryAt_ = now.steady_;
            runner.nextCallRetryAt_ = now.steady_;
        }
    }
    // A runner shortens the lease of a start whose end is a time of the previous incarnation's clock.
    if (!runner.tasks_.empty()) {
        extendLeaseToLongest(cell, runner, now.steady_);
    }
}

void beginIncarnation(Cell &cell, Runner &runner, std::int64_t startedUnixMs, CellTime now, CellActions &actions)
{
    if (runner.startedUnixMs_ != 0) {
        logLostRunner(cell, runner, "reborn", now, actions);
        raiseToken(cell, runner);
        runner.nextHoldAt_ = now.steady_;
        forgetRunnerState(cell, runner);
        endIncarnation(cell, runner, now, actions);
    }
    runner.startedUnixMs_ = startedUnixMs;
    runner.processedEnd_ = 0;
    runner.acknowledgedEnd_ = 0;
    runner.sentAcknowledgement_ = 0;
    runner.forgottenEnd_ = 0;
    runner.unstoredEnds_.clear();
    runner.endsAwaitingLapse_ = 0;
    runner.lapsedEnd_ = 0;
    runner.answeredCallAt_ = {};
    runner.unansweredCallAt_ = {};
    runner.failedRuns_ = 0;
}

} // namespace mimosapier::detail
