// Runners: discovery, holds, starts and stops. Replies, timers and losses of runners have files of their own, leases
// are in leases.cpp.
#include "core/cell/runners_internal.h"

#include <algorithm>

namespace mimosapier::detail
{

Runner *findRunner(Cell &cell, const RunnerId &id)
{
    const auto found = cell.runners_.find(id);
    return found == cell.runners_.end() ? nullptr : found->second.get();
}

TimePoint startProofAt(const Cell &cell, const Runner &runner)
{
    return std::max(cell.leadershipCheck_.confirmedAt_, runner.heldAt_);
}

bool hasStartProof(const Cell &cell, const Runner &runner, TimePoint now)
{
    // A leader that was replaced before it first held this incarnation has not been refused by it either.
    return isLeadershipConfirmed(cell, runner.stateKnownAt_) && now <= startProofAt(cell, runner) + StartProofAge;
}

bool mayStart(const Cell &cell, const Runner &runner)
{
    return runner.inDiscovery_ && runner.stateKnown_ && !runner.hasNewClock_ && runner.storedAsInUse_
        && !runner.record_.draining_ && mayStartInZone(cell, runner) && runner.failedCalls_ == 0
        && runner.endsAwaitingLapse_ == 0 && !cell.superseded_;
}

bool mayBeAcknowledgedUnheard(const Cell &cell, const Runner &runner, TimePoint now)
{
    return runner.holdInFlight_ && runner.sentAcknowledgement_ != 0 && areCallsLate(cell, now);
}

bool isRenewingLease(const Runner &runner)
{
    return runner.holdInFlight_ && runner.holdAsksForLease_;
}

bool isUsable(const Cell &cell, const Runner &runner, TimePoint now)
{
    return mayStart(cell, runner) && !mayBeAcknowledgedUnheard(cell, runner, now) && runner.orphans_ == 0
        && runner.isolatedTasks_ == 0 && now >= runner.avoidUntil_ && hasStartProof(cell, runner, now);
}

bool isQuiescent(const Runner &runner)
{
    return runner.stateKnown_ ? runner.failedCalls_ > 0 || runner.record_.draining_
                              : !runner.mayHavePredecessorTasks_ || runner.predecessorTasksKnown_;
}

void updateStoredState(Cell &cell, Runner &runner, bool wasQuiescent)
{
    const bool quiescent = isQuiescent(runner);
    if (wasQuiescent && !quiescent) {
        // Nothing is placed here until the stored list has this runner as in use: a later leader must not rely on the
        // old entry.
        runner.storedAsInUse_ = false;
    }
    cell.runnersDirty_ = cell.runnersDirty_ || wasQuiescent != quiescent;
}

static RunnerCall makeCall(Cell &cell, const Runner &runner, RunnerOp op)
{
    RunnerCall call;
    call.id_ = cell.nextCallId_++;
    call.op_ = op;
    call.runner_ = runner.record_.id_;
    call.address_ = runner.record_.address_;
    call.token_ = fencingToken(cell.epoch_, runner.tokenRaises_);
    call.timeout_ = CallTimeout;
    return call;
}

void raiseToken(const Cell &cell, Runner &runner)
{
    ++runner.tokenRaises_;
    runner.firstCallId_ = cell.nextCallId_;
    runner.earlierHoldAsksForLease_
        = runner.earlierHoldAsksForLease_ || (runner.holdInFlight_ && runner.holdAsksForLease_);
    runner.holdInFlight_ = false; // its answer is not waited for
}

bool mayLapse(const Runner &runner)
{
    return runner.endsAwaitingLapse_ > 0
        && std::all_of(runner.tasks_.begin(), runner.tasks_.end(),
                       [](const auto &entry) { return entry.second.orphan_ || isPresumedEnded(entry.second); });
}

void sendHold(Cell &cell, Runner &runner, CellTime now, CellActions &actions)
{
    RunnerCall call = makeCall(cell, runner, RunnerOp::Hold);
    // The runner may have started again under its id, unknown to this leader. Its ends are then numbered anew, so each
    // acknowledgement is sent only until the first answer after it, and not after a failed call.
    const bool isHeard = runner.stateKnown_ || runner.hasMoreEnds_;
    const bool acknowledges
        = isHeard && !runner.hasNewClock_ && runner.failedCalls_ == 0 && runner.acknowledgedEnd_ > runner.forgottenEnd_;
    runner.sentAcknowledgement_ = acknowledges ? runner.acknowledgedEnd_ : 0;
    call.acknowledgedEnd_ = runner.sentAcknowledgement_;
    if (isHeard) {
        // Holds to a silent runner do not extend the lease: each repeat would postpone the time from which its tasks
        // are known to have ended.
        const bool mayRenew = runner.failedCalls_ == 0 && !mayLapse(runner);
        const Duration untilRenewal = runner.renewedAt_ + RenewalInterval - now.steady_;
        const bool renews = mayRenew && !runner.tasks_.empty() && untilRenewal <= Duration(0)
            && std::none_of(runner.tasks_.begin(), runner.tasks_.end(),
                            [&runner](const auto &entry) { return isUnproven(runner, entry.second); });
        call.untilMs_ = renews ? renewLease(cell, runner, now.steady_) : 0;
        // Without confirmations of the leadership, the answers to holds are the proofs for starts.
        const bool isConfirmed = isLeadershipConfirmed(cell, now.steady_ - StartProofAge / 2);
        const auto renewalDue = mayRenew && runner.clockMs_ >= 0
            ? std::chrono::ceil<Milliseconds>(std::max<Duration>(untilRenewal, ShortestHoldWait))
            : HoldWait;
        const Milliseconds wait = std::min(isConfirmed ? HoldWait : StartProofAge / 4, renewalDue);
        const bool waits = runner.stateKnown_ && !runner.tasks_.empty() && runner.failedCalls_ == 0;
        // See mayBeAcknowledgedUnheard() and isRenewingLease().
        const bool isBrief = call.untilMs_ != 0 || (acknowledges && areCallsLate(cell, now.steady_));
        call.wait_ = waits && !isBrief ? wait : Milliseconds(0);
    }
    runner.holdInFlight_ = true;
    runner.holdAsksForLease_ = call.untilMs_ != 0;
    actions.runners_.push_back(std::move(call));
}

Placement &addPlacement(Cell &cell, Runner &runner, Job &job, const StagedTask &task, RunNumber run)
{
    const StepSpec &spec = stepSpec(job, task.step_);
    Placement placement;
    placement.run_ = run;
    placement.size_ = reservedSize(spec);
    placement.accountCharge_ = spec.size_;
    placement.account_ = job.account_;
    runner.used_ += placement.size_;
    Account &account = cell.accounts_[job.account_];
    account.used_ += placement.accountCharge_;
    notePlacedUse(cell, account);
    StepState *step = nullptr;
    TaskRecord *record = findTask(job, task, &step);
    placement.previousRun_ = record->run_;
    placement.previousRunner_ = record->runner_;
    placement.previousRelease_ = record->released_;
    record->state_ = TaskState::Placed;
    record->run_ = std::max(record->run_, run.value_);
    record->runner_ = runner.record_.id_;
    --step->waiting_;
    ++step->perRunner_[runner.record_.id_];
    noteRunPlaced(runner, task, spec, *step, placement);
    return runner.tasks_.insert_or_assign(task, std::move(placement)).first->second;
}

std::string_view releaseCauseName(ReleaseCause cause, bool recovered)
{
    switch (cause) {
    case ReleaseCause::None:
        break;
    case ReleaseCause::EndListed:
        return "end-listed";
    case ReleaseCause::EndPresumed:
        return "end-presumed";
    case ReleaseCause::StartRejected:
        return "start-rejected";
    case ReleaseCause::LaterRun:
        return "later-run";
    }
    return recovered ? "recovered" : "none";
}

void releasePlacement(Cell &cell, Runner &runner, const StagedTask &task, ReleaseCause cause)
{
    const auto found = runner.tasks_.find(task);
    if (found == runner.tasks_.end()) {
        return;
    }
    const Placement placement = std::move(found->second);
    runner.tasks_.erase(found);
    runner.used_ -= placement.size_;
    runner.isolatedTasks_ -= placement.isolated_ ? 1 : 0;
    if (placement.orphan_) {
        --runner.orphans_;
    } else {
        Account &account = cell.accounts_[placement.account_];
        account.used_ -= placement.accountCharge_;
        notePlacedUse(cell, account);
    }
    cell.placementDue_ = true;
    Job *job = findJob(cell, task.job_);
    StepState *step = nullptr;
    TaskRecord *record = job != nullptr ? findTask(*job, task, &step) : nullptr;
    if (record == nullptr || placement.orphan_) {
        return;
    }
    const auto count = step->perRunner_.find(runner.record_.id_);
    if (count != step->perRunner_.end() && --count->second == 0) {
        step->perRunner_.erase(count);
    }
    record->released_ = cause;
    if (continuesElsewhere(cell, runner, *record, task)) {
        return;
    }
    if (record->state_ == TaskState::Placed) {
        record->state_ = TaskState::Waiting;
        ++step->waiting_;
        queueStep(cell, *job, task.occurrence_, task.step_);
    }
}

void addOrphan(Runner &runner, const StagedTask &task, RunNumber run)
{
    Placement placement;
    placement.run_ = run;
    placement.orphan_ = true;
    placement.listed_ = true;
    placement.phase_ = PlacementPhase::Running;
    ++runner.orphans_;
    runner.tasks_.emplace(task, std::move(placement));
}

bool isPresumedEnded(const Placement &placement)
{
    return placement.presumedEndAt_ != TimePoint{};
}

static void logStart(const Cell &cell, const Runner &runner, const Job &job, const StagedTask &task,
                     const Placement &placement, CellTime now, CellActions &actions)
{
    JsonObject line = logEvent("start");
    line.text("task", taskText(task)).number("run", static_cast<std::int64_t>(placement.run_.value_));
    line.text("runner", runner.record_.id_.value_);
    line.number("free_cpu", runner.record_.capacity_.milliCpus_ - runner.used_.milliCpus_);
    line.number("epoch", static_cast<std::int64_t>(cell.epoch_.value_));
    line.number("token", static_cast<std::int64_t>(fencingToken(cell.epoch_, runner.tokenRaises_).value_));
    line.number("confirmed_ms", ageMs(now.steady_, cell.leadershipCheck_.confirmedAt_));
    line.number("held_ms", ageMs(now.steady_, runner.heldAt_));
    line.number("wait_ms", std::chrono::duration_cast<Milliseconds>(now.steady_ - job.submittedAt_).count());
    if (placement.roomReserved_ >= Milliseconds(0)) {
        line.number("room_ms", placement.roomReserved_.count());
    }
    const auto shift = std::chrono::duration_cast<Milliseconds>(pastUseShift(cell, job, task.step_, now.steady_));
    if (shift > Milliseconds(0)) {
        line.number("past_use_shift_ms", shift.count());
    }
    if (job.recovered_ || placement.previousRun_ != 0) {
        line.text("after", releaseCauseName(placement.previousRelease_, job.recovered_));
        line.number("after_run", static_cast<std::int64_t>(placement.previousRun_));
        line.text("after_runner", placement.previousRunner_.value_);
    }
    addLogLine(actions, line);
}

void sendStart(Cell &cell, Runner &runner, const StagedTask &task, Placement &placement, CellTime now,
               CellActions &actions)
{
    const Job *job = findJob(cell, task.job_);
    if (job == nullptr) {
        return;
    }
    if (placement.attempts_ == 0 && isRenewingLease(runner)) {
        placement.phase_ = PlacementPhase::Planned;
        runner.nextCallRetryAt_ = now.steady_;
        return;
    }
    RunnerCall call = makeCall(cell, runner, RunnerOp::Start);
    call.task_ = task;
    call.run_ = placement.run_;
    call.spec_ = job->submitted_.spec_;
    call.checkpoint_ = placement.checkpoint_;
    call.ticket_ = placement.ticket_;
    placement.callInFlight_ = true;
    ++placement.startAttempts_;
    if (placement.attempts_++ == 0) {
        logStart(cell, runner, *job, task, placement, now, actions);
        placement.startedAt_ = now.steady_;
        placement.tokenRaises_ = runner.tokenRaises_;
        placement.untilMs_ = renewLease(cell, runner, now.steady_);
    }
    call.untilMs_ = placement.untilMs_;
    actions.runners_.push_back(std::move(call));
}

void planStart(const Cell &cell, Runner &runner, const Job &job, const StagedTask &task, CellTime now,
               CellActions &actions)
{
    Placement &placement = runner.tasks_.at(task);
    placement.phase_ = PlacementPhase::Planned;
    placement.plannedVersion_ = job.version_;
    renewLease(cell, runner, now.steady_); // so that the runner is not taken for one whose leases have ended
    runner.nextCallRetryAt_ = now.steady_;
    JsonObject line = logEvent("start-planned");
    line.text("task", taskText(task)).number("run", static_cast<std::int64_t>(placement.run_.value_));
    line.text("runner", runner.record_.id_.value_);
    addLogLine(actions, line);
}

void cancelPlannedStart(Cell &cell, Runner &runner, const StagedTask &task)
{
    const auto found = runner.tasks_.find(task);
    if (found == runner.tasks_.end() || found->second.phase_ != PlacementPhase::Planned) {
        return;
    }
    if (Job *job = findJob(cell, task.job_)) {
        noteRunSurvived(cell, *job, task, found->second.run_);
    }
    releasePlacement(cell, runner, task, ReleaseCause::StartRejected);
}

void sendStop(Cell &cell, Runner &runner, const StagedTask &task, Placement &placement, CellActions &actions)
{
    RunnerCall call = makeCall(cell, runner, RunnerOp::Stop);
    call.task_ = task;
    call.run_ = placement.run_;
    placement.callInFlight_ = true;
    ++placement.attempts_;
    actions.runners_.push_back(std::move(call));
}

void stopPlacement(Cell &cell, Runner &runner, const StagedTask &task, CellTime now, CellActions &actions)
{
    const auto found = runner.tasks_.find(task);
    if (found == runner.tasks_.end() || found->second.phase_ == PlacementPhase::Stopping
        || isPresumedEnded(found->second)) {
        return;
    }
    if (found->second.phase_ == PlacementPhase::Planned) {
        cancelPlannedStart(cell, runner, task);
        return;
    }
    if (found->second.phase_ == PlacementPhase::Starting && found->second.callInFlight_) {
        found->second.startUnansweredAt_ = now.steady_ + CallTimeout; // its answer is not waited for
    }
    found->second.phase_ = PlacementPhase::Stopping;
    found->second.attempts_ = 0;
    found->second.confirmedAt_ = {};
    found->second.retryAt_ = now.steady_;
    sendStop(cell, runner, task, found->second, actions);
}

void stopJobTasks(Cell &cell, const Job &job, CellTime now, CellActions &actions)
{
    for (const auto &[number, occurrence] : job.occurrences_) {
        for (std::uint32_t s = 0; s < occurrence.steps_.size(); ++s) {
            const StepState &step = occurrence.steps_[s];
            for (std::uint32_t i = 0; i < step.tasks_.size(); ++i) {
                if (step.tasks_[i].state_ == TaskState::Placed) {
                    if (Runner *runner = findRunner(cell, step.tasks_[i].runner_)) {
                        stopPlacement(cell, *runner, {job.id_, number, s, i}, now, actions);
                    }
                    Runner *copyRunner
                        = step.tasks_[i].copyRun_ != 0 ? findRunner(cell, step.tasks_[i].copyRunner_) : nullptr;
                    if (copyRunner != nullptr) {
                        stopPlacement(cell, *copyRunner, {job.id_, number, s, i}, now, actions);
                    }
                }
            }
        }
    }
}

void stopGang(Cell &cell, const StagedTask &task, CellTime now, CellActions &actions)
{
    Job *job = findJob(cell, task.job_);
    StepState *step = nullptr;
    if (job == nullptr || findTask(*job, task, &step) == nullptr || !stepSpec(*job, task.step_).gang_
        || step->done_ > 0) {
        return;
    }
    for (std::uint32_t i = 0; i < step->tasks_.size(); ++i) {
        if (step->tasks_[i].state_ == TaskState::Placed) {
            if (Runner *runner = findRunner(cell, step->tasks_[i].runner_)) {
                stopPlacement(cell, *runner, {task.job_, task.occurrence_, task.step_, i}, now, actions);
            }
        }
    }
}

} // namespace mimosapier::detail

namespace mimosapier
{

using namespace detail;

// Within an incarnation the time until the runner is warm only counts down: an entry that is read again names the time
// that was left when it was written.
static void updateWarmTime(Runner &runner, const RunnerRecord &record, TimePoint now)
{
    const TimePoint warmAt = now + record.coldRemaining_;
    const bool isKnown = runner.inDiscovery_ && record.startedUnixMs_ == runner.record_.startedUnixMs_;
    runner.warmAt_ = isKnown ? std::min(runner.warmAt_, warmAt) : warmAt;
}

void updateRunner(Cell &cell, const RunnerRecord &record, CellTime now, CellActions &actions)
{
    auto &slot = cell.runners_[record.id_];
    if (!slot) {
        slot = std::make_unique<Runner>();
        slot->firstCallId_ = cell.nextCallId_;
        if (const auto removed = cell.removedRunners_.find(record.id_); removed != cell.removedRunners_.end()) {
            slot->tokenRaises_ = removed->second;
        }
        cell.runnersDirty_ = true;
    }
    Runner &runner = *slot;
    if (!runner.inDiscovery_ || record.draining_ != runner.record_.draining_) {
        JsonObject line = logEvent("runner-listed");
        line.text("runner", record.id_.value_).text("service", record.service_).boolean("draining", record.draining_);
        addLogLine(actions, line);
        cell.placementDue_ = true;
    }
    if (record.startedUnixMs_ != 0 && runner.startedUnixMs_ != 0 && record.startedUnixMs_ > runner.startedUnixMs_) {
        beginIncarnation(cell, runner, record.startedUnixMs_, now, actions);
    }
    updateWarmTime(runner, record, now.steady_);
    const bool wasListed = runner.inDiscovery_;
    runner.inDiscovery_ = true;
    const bool wasQuiescent = isQuiescent(runner);
    cell.placementDue_ = cell.placementDue_ || record.capacity_ != runner.record_.capacity_;
    runner.record_ = record;
    attachHistory(cell, runner, wasListed, now, actions);
    updateStoredState(cell, runner, wasQuiescent);
    cell.capacityStale_ = true;
}

void removeRunner(Cell &cell, const RunnerId &id, CellTime now, CellActions &actions)
{
    Runner *runner = findRunner(cell, id);
    if (runner == nullptr || !runner->inDiscovery_) {
        return;
    }
    runner->inDiscovery_ = false;
    cell.capacityStale_ = true;
    JsonObject line = logEvent("runner-unlisted");
    line.text("runner", id.value_).number("tasks", static_cast<std::int64_t>(runner->tasks_.size()));
    line.number("answer_age_ms", std::chrono::duration_cast<Milliseconds>(now.steady_ - runner->clockReadAt_).count());
    addLogLine(actions, line);
}

} // namespace mimosapier
