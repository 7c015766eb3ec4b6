// Timers of runners: repeated calls, holds, the expiry of leases, and the end of the recovery.
#include "core/cell/runners_internal.h"

#include <algorithm>

namespace mimosapier::detail
{

// True unless the task has ended meanwhile, perhaps as the member of a gang that is done.
static bool isWanted(Cell &cell, const StagedTask &task)
{
    Job *job = findJob(cell, task.job_);
    const TaskRecord *record = job != nullptr && !isFinal(*job) ? findTask(*job, task, nullptr) : nullptr;
    return record != nullptr && record->state_ == TaskState::Placed;
}

// Sends a planned start if the store has its risk and there is a proof for it. Result: whether it was sent.
static bool sendPlannedStart(Cell &cell, Runner &runner, const StagedTask &task, Placement &placement, CellTime now,
                             CellActions &actions)
{
    if (findJob(cell, task.job_)->storedVersion_ < placement.plannedVersion_) {
        return false;
    }
    if (!hasStartProof(cell, runner, now.steady_)) {
        requestConfirmation(cell, now.steady_);
        return false;
    }
    if (isRenewingLease(runner)) {
        return false;
    }
    placement.phase_ = PlacementPhase::Starting;
    sendStart(cell, runner, task, placement, now, actions);
    return true;
}

// Sends planned starts. Repeats unanswered starts and stops. Withdraws a start by a stop after MaxStartAttempts, when
// the job is final, or when the runner's zone is evacuated.
static void repeatCalls(Cell &cell, Runner &runner, CellTime now, CellActions &actions)
{
    runner.nextCallRetryAt_ = TimePoint::max();
    std::vector<StagedTask> withdraw;
    for (auto &[task, placement] : runner.tasks_) {
        const bool repeats = placement.phase_ != PlacementPhase::Running;
        if (!repeats || placement.callInFlight_ || placement.confirmedAt_ != TimePoint{}
            || isPresumedEnded(placement)) {
            continue;
        }
        if (now.steady_ < placement.retryAt_) {
            runner.nextCallRetryAt_ = std::min(runner.nextCallRetryAt_, placement.retryAt_);
            continue;
        }
        if (placement.phase_ == PlacementPhase::Planned) {
            if (!mayStart(cell, runner) || !isWanted(cell, task)) {
                withdraw.push_back(task);
            } else if (!sendPlannedStart(cell, runner, task, placement, now, actions)) {
                runner.nextCallRetryAt_ = now.steady_;
            }
        } else if (placement.phase_ == PlacementPhase::Starting) {
            // The first member that ends as done completes its gang, perhaps while starts of other members are
            // unanswered: such a start is withdrawn.
            const Job *job = findJob(cell, task.job_);
            if (placement.attempts_ >= MaxStartAttempts || job == nullptr || isFinal(*job)
                || !mayStartInZone(cell, runner)) {
                withdraw.push_back(task);
            } else if (runner.hasNewClock_ || mayBeAcknowledgedUnheard(cell, runner, now.steady_)
                       || (areCallsLate(cell, now.steady_) && isUnproven(runner, placement))
                       || !hasStartProof(cell, runner, now.steady_)
                       || startProofAt(cell, runner) < placement.startUnansweredAt_) {
                // Since the last attempt the run may have ended, a later leader may have acknowledged the end, and the
                // runner may have restarted. A start that names a time of the former clock is not repeated: the next
                // list withdraws it. While calls are late, a further copy of an unproven start might lengthen its
                // lease.
                requestConfirmation(cell, now.steady_);
                placement.retryAt_ = now.steady_ + StartRetryDelay;
                runner.nextCallRetryAt_ = std::min(runner.nextCallRetryAt_, placement.retryAt_);
            } else {
                sendStart(cell, runner, task, placement, now, actions);
            }
        } else {
            sendStop(cell, runner, task, placement, actions);
        }
    }
    for (const StagedTask &task : withdraw) {
        stopPlacement(cell, runner, task, now, actions);
        stopGang(cell, task, now, actions);
    }
}

// Timers of one runner: repeated calls, holds, and expiry of its leases.
static void checkRunnerTimers(Cell &cell, Runner &runner, CellTime now, CellActions &actions)
{
    if (!runner.tasks_.empty() && runner.leaseEndsBy_ != TimePoint{} && now.steady_ > runner.leaseEndsBy_) {
        handleEndedLeases(cell, runner, now, actions);
        return;
    }
    if (runner.endsAwaitingLapse_ > 0 && now.steady_ > runner.leaseEndsBy_) {
        handleLapse(cell, runner, actions);
    }
    const bool listsEnds = runner.hasMoreEnds_ && runner.failedCalls_ == 0;
    if (runner.mayHavePredecessorTasks_ && !runner.stateKnown_ && !listsEnds) {
        if (cell.formerLeadersEndBy_ < now.steady_
            && now.steady_ > cell.formerLeadersEndBy_ + formerLeadersLeaseWait(cell, runner.record_.service_)) {
            handleLostRunner(cell, runner, "legacy-lease-ended", false, now, actions);
            return;
        }
    }
    if (now.steady_ >= runner.nextCallRetryAt_) {
        repeatCalls(cell, runner, now, actions);
    }
    const bool mustProveStarts = !cell.readySteps_.empty() && runner.inDiscovery_ && !runner.record_.draining_
        && !hasStartProof(cell, runner, now.steady_ + StartProofAge / 2);
    const bool wanted = mustProveStarts || !runner.stateKnown_ || runner.hasNewClock_ || !runner.tasks_.empty()
        || !runner.unstoredEnds_.empty() || runner.failedCalls_ > 0 || runner.forgottenEnd_ < runner.processedEnd_;
    if (wanted && !runner.holdInFlight_ && now.steady_ >= runner.nextHoldAt_) {
        sendHold(cell, runner, now, actions);
    }
}

// Sets Cell::allTasksKnown_ once the runs on all runners are known and the leadership is confirmed.
static void checkAllTasksKnown(Cell &cell, CellTime now, CellActions &actions)
{
    if (cell.allTasksKnown_ || std::any_of(cell.runners_.begin(), cell.runners_.end(), [](const auto &entry) {
            return entry.second->mayHavePredecessorTasks_ && !entry.second->predecessorTasksKnown_;
        })) {
        cell.allTasksKnownBy_ = cell.allTasksKnown_ ? cell.allTasksKnownAt_ : allTasksKnownBy(cell);
        return;
    }
    if (cell.allRunnersKnownAt_ == TimePoint{}) {
        cell.allRunnersKnownAt_ = now.steady_;
    }
    if (!isLeadershipConfirmed(cell, cell.allRunnersKnownAt_)) {
        requestConfirmation(cell, cell.allRunnersKnownAt_);
        return;
    }
    cell.allTasksKnown_ = true;
    cell.allTasksKnownAt_ = now.steady_;
    cell.placementDue_ = true;
    JsonObject line = logEvent("recovered");
    line.number("epoch", static_cast<std::int64_t>(cell.epoch_.value_));
    line.number("after_ms", ageMs(now.steady_, cell.acquiredAt_));
    line.number("confirmed_after_ms", ageMs(now.steady_, cell.allRunnersKnownAt_));
    addLogLine(actions, line);
}

void checkAllRunnerTimers(Cell &cell, CellTime now, CellActions &actions)
{
    if (cell.superseded_) {
        return;
    }
    std::vector<RunnerId> removed;
    for (const auto &[id, runner] : cell.runners_) {
        checkRunnerTimers(cell, *runner, now, actions);
        if (!runner->inDiscovery_ && !runner->mayHavePredecessorTasks_ && runner->tasks_.empty()
            && runner->unstoredEnds_.empty() && !runner->holdInFlight_) {
            removed.push_back(id);
        }
    }
    for (const RunnerId &id : removed) {
        cell.removedRunners_[id] = cell.runners_.at(id)->tokenRaises_ + 1;
        cell.runners_.erase(id);
        cell.runnersDirty_ = true;
    }
    checkAllTasksKnown(cell, now, actions);
}

} // namespace mimosapier::detail
