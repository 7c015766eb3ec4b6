// Runners: discovery, holds, starts and stops, ends of runs. Leases are in leases.cpp.
#include "core/cell/cell_internal.h"

#include <algorithm>

namespace mimosapier::detail
{

Runner *findRunner(Cell &cell, const RunnerId &id)
{
    const auto found = cell.runners_.find(id);
    return found == cell.runners_.end() ? nullptr : found->second.get();
}

// The latest time at which this daemon is known to have led, or the runner not to have heard of a later leader.
static TimePoint startProofAt(const Cell &cell, const Runner &runner)
{
    return std::max(cell.leadershipCheck_.confirmedAt_, runner.heldAt_);
}

bool hasStartProof(const Cell &cell, const Runner &runner, TimePoint now)
{
    // A leader that was replaced before it first held this incarnation has not been refused by it either.
    return isLeadershipConfirmed(cell, runner.stateKnownAt_) && now <= startProofAt(cell, runner) + StartProofAge;
}

// True when the runner may be sent starts, given a proof for them.
static bool mayStart(const Cell &cell, const Runner &runner)
{
    return runner.inDiscovery_ && runner.stateKnown_ && !runner.hasNewClock_ && runner.storedAsInUse_
        && !runner.record_.draining_ && runner.failedCalls_ == 0 && runner.endsAwaitingLapse_ == 0 && !cell.superseded_;
}

// True while a late acknowledgement is possible that covers the end of a run which begins now: both calls may reach an
// incarnation of the runner that this leader has not seen, and it would then never hear of the end. An unanswered
// acknowledgement ends this, as later calls have a higher token.
static bool mayBeAcknowledgedUnheard(const Cell &cell, const Runner &runner, TimePoint now)
{
    return runner.holdInFlight_ && runner.sentAcknowledgement_ != 0 && areCallsLate(cell, now);
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

// Has the stored list of runners written again if the runner has become quiescent or is not quiescent any more.
static void updateStoredState(Cell &cell, Runner &runner, bool wasQuiescent)
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

// Has the runner refuse all calls that were sent to it so far, once it has seen the next one. To be used when such a
// call may still be under way and must not be carried out: by the runner's next incarnation, which has seen no token,
// or after this leader has made other decisions.
static void raiseToken(const Cell &cell, Runner &runner)
{
    ++runner.tokenRaises_;
    runner.firstCallId_ = cell.nextCallId_;
    runner.holdInFlight_ = false; // its answer is not waited for
}

// True when the runner's lease is to lapse: an end there waits for it, and nothing else needs the lease.
static bool mayLapse(const Runner &runner)
{
    return runner.endsAwaitingLapse_ > 0
        && std::all_of(runner.tasks_.begin(), runner.tasks_.end(),
                       [](const auto &entry) { return entry.second.orphan_ || isPresumedEnded(entry.second); });
}

static void sendHold(Cell &cell, Runner &runner, CellTime now, CellActions &actions)
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
        const bool renews = runner.failedCalls_ == 0 && !mayLapse(runner);
        call.untilMs_ = renews ? renewLease(cell, runner, now.steady_) : 0;
        // Without confirmations of the leadership, the answers to holds are the proofs for starts.
        const bool isConfirmed = isLeadershipConfirmed(cell, now.steady_ - StartProofAge / 2);
        const Milliseconds wait = isConfirmed ? HoldWait : StartProofAge / 4;
        const bool waits = runner.stateKnown_ && !runner.tasks_.empty() && runner.failedCalls_ == 0;
        const bool isBrief = acknowledges && areCallsLate(cell, now.steady_); // see mayBeAcknowledgedUnheard()
        call.wait_ = waits && !isBrief ? wait : Milliseconds(0);
    }
    runner.holdInFlight_ = true;
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
    cell.accounts_[job.account_].used_ += placement.accountCharge_;
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
        cell.accounts_[placement.account_].used_ -= placement.accountCharge_;
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
    if (record->state_ == TaskState::Placed) {
        record->state_ = TaskState::Waiting;
        ++step->waiting_;
        queueStep(cell, *job, task.occurrence_, task.step_);
    }
}

static void addOrphan(Runner &runner, const StagedTask &task, RunNumber run)
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
    RunnerCall call = makeCall(cell, runner, RunnerOp::Start);
    call.task_ = task;
    call.run_ = placement.run_;
    call.spec_ = job->submitted_.spec_;
    call.checkpoint_ = placement.checkpoint_;
    call.ticket_ = placement.ticket_;
    placement.callInFlight_ = true;
    if (placement.attempts_++ == 0) {
        logStart(cell, runner, *job, task, placement, now, actions);
        placement.startedAt_ = now.steady_;
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

// Releases a task of which no start was sent, and takes its risk back.
static void cancelPlannedStart(Cell &cell, Runner &runner, const StagedTask &task)
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

static void sendStop(Cell &cell, Runner &runner, const StagedTask &task, Placement &placement, CellActions &actions)
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
                }
            }
        }
    }
}

// A member of a gang did not start: stops the other members, which would wait for this member until their timeout.
static void stopGang(Cell &cell, const StagedTask &task, CellTime now, CellActions &actions)
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

// Releases a task of which the run ended without a result or never began.
static void releaseFailedRun(Cell &cell, Runner &runner, const StagedTask &task, CellTime now, CellActions &actions)
{
    releasePlacement(cell, runner, task, ReleaseCause::StartRejected);
    stopGang(cell, task, now, actions);
}

// Presumes that runs have ended of which no list of the runner has named the end. The placements stay until the
// leadership is confirmed; orphans are released at once, as nothing starts in their place.
static void presumeEnded(Cell &cell, Runner &runner, std::span<const StagedTask> tasks, CellTime now,
                         CellActions &actions)
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

// The leases that this leader has asked for are over, on the clock of the incarnation that it knows. Keeps the starts
// that another incarnation may have carried out, until the leases there are over as well.
static void handleEndedLeases(Cell &cell, Runner &runner, CellTime now, CellActions &actions)
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

// Resets the state that belongs to one incarnation of the runner.
static void beginIncarnation(Cell &cell, Runner &runner, std::int64_t startedUnixMs, CellTime now, CellActions &actions)
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

// ---- ends of runs ----

static void prepareRetry(Job &job, const StagedTask &id, const FinishedRun &end, CellTime now)
{
    StepState *step = nullptr;
    TaskRecord *task = findTask(job, id, &step);
    if (task == nullptr || task->state_ == TaskState::Done) {
        return;
    }
    if (!end.checkpoint_.empty()) {
        task->checkpoint_ = end.checkpoint_;
        if (stepSpec(job, id.step_).gang_) { // a checkpoint of any member is valid for all
            for (TaskRecord &member : step->tasks_) {
                member.checkpoint_ = end.checkpoint_;
            }
        }
    }
    constexpr Milliseconds FailedRunRetryDelay{
        100}; // lets the ends of a failing runner arrive before the task is placed again
    if (end.end_ == RunEnd::Failed) {
        task->notBefore_ = now.steady_ + FailedRunRetryDelay;
    }
}

// Adds a run to `runs`. Result: false if the run is in there already.
static bool addFailedRun(std::vector<std::uint64_t> &runs, std::uint64_t run)
{
    if (std::find(runs.begin(), runs.end(), run) != runs.end()) {
        return false;
    }
    runs.push_back(run);
    return true;
}

// Counts a failed run of a task or a gang, and fails the job at the limit of attempts. Each run counts once, in
// whatever order the runners' lists arrive after a change of leader.
static void countFailure(Cell &cell, Job &job, const StagedTask &id, const FinishedRun &end, CellTime now,
                         CellActions &actions)
{
    StepState *step = nullptr;
    TaskRecord *task = findTask(job, id, &step);
    const StepSpec &spec = stepSpec(job, id.step_);
    if (task == nullptr || task->state_ == TaskState::Done || spec.longRunning_) {
        return;
    }
    std::vector<std::uint64_t> &runs = spec.gang_ ? step->gangFailedRuns_ : task->failedRuns_;
    if (!addFailedRun(runs, end.run_.value_)) {
        return;
    }
    markDirty(cell, job);
    if (runs.size() >= job.policy_.maxAttempts_) {
        finishJob(cell, job, StagedState::Failed, now, actions);
    }
}

static void updateFailedRuns(Runner &runner, const FinishedRun &end, CellTime now, CellActions &actions)
{
    if (end.end_ == RunEnd::Done) {
        runner.failedRuns_ = 0;
    } else if (end.end_ == RunEnd::Failed && ++runner.failedRuns_ >= FailedRunsLimit) {
        runner.avoidUntil_ = std::max(runner.avoidUntil_, now.steady_ + FailedRunsPause);
        JsonObject line = logEvent("runner-paused");
        line.text("runner", runner.record_.id_.value_).number("failed_in_a_row", runner.failedRuns_);
        addLogLine(actions, line, LogLevel::Warning);
    }
}

// Logs that two runs of a task have ended as done, or that a later one was started after this one.
static void logRepeatedTask(const Cell &cell, const Runner &runner, const FinishedRun &end, const TaskRecord &task,
                            std::uint64_t otherRun, bool recovered, CellActions &actions)
{
    JsonObject line = logEvent("task-repeated");
    line.text("task", taskText(end.task_)).number("run", static_cast<std::int64_t>(end.run_.value_));
    line.text("runner", runner.record_.id_.value_).number("other_run", static_cast<std::int64_t>(otherRun));
    line.text("last_runner", task.runner_.value_).text("after", releaseCauseName(task.released_, recovered));
    line.number("epoch", static_cast<std::int64_t>(cell.epoch_.value_));
    addLogLine(actions, line, LogLevel::Warning);
    count(actions, CellCounter::TaskRepeated);
}

// Checks an end as done before it is handled. The lists of two runners may arrive in any order.
static void checkRepeatedTask(const Cell &cell, const Runner &runner, const FinishedRun &end, const Job &job,
                              const TaskRecord &task, CellActions &actions)
{
    const StepSpec &spec = stepSpec(job, end.task_.step_);
    if (end.end_ != RunEnd::Done || spec.longRunning_) {
        return;
    }
    const bool laterStarted = end.run_.value_ < task.run_;
    // The end of another member may have completed the gang.
    const bool earlierDone = task.state_ == TaskState::Done && !spec.gang_ && end.run_.value_ > task.endedRun_;
    if (laterStarted || earlierDone) {
        const std::uint64_t otherRun = laterStarted ? task.run_ : task.endedRun_;
        logRepeatedTask(cell, runner, end, task, otherRun, job.recovered_, actions);
    }
}

void removePresumedRuns(Cell &cell, TimePoint now)
{
    while (!cell.presumedRuns_.empty() && cell.presumedRuns_.front().forgetAt_ < now) {
        cell.presumedRuns_.pop_front();
    }
}

// True for an end as done that must not be acknowledged while the runner's lease goes on: the task was started again
// before this end was known. The acknowledgement would make that start one after a known end. The platform does not
// count an end as known if the runner's lease has lapsed before it is acknowledged.
static bool mustAwaitLapse(Cell &cell, const Runner &runner, const FinishedRun &end)
{
    if (end.end_ != RunEnd::Done || end.number_ < runner.lapsedEnd_) {
        return false;
    }
    const auto presumed
        = std::find_if(cell.presumedRuns_.begin(), cell.presumedRuns_.end(), [&runner, &end](const PresumedRun &run) {
              return run.runner_ == runner.record_.id_ && run.task_ == end.task_ && run.run_ == end.run_;
          });
    if (presumed != cell.presumedRuns_.end() && presumed->startedUnixMs_ == runner.startedUnixMs_) {
        return false; // it was presumed because the leases of this incarnation were over
    }
    Job *job = findJob(cell, end.task_.job_);
    if (job == nullptr || isFinal(*job)) {
        return presumed != cell.presumedRuns_.end(); // the job does not tell any more
    }
    const TaskRecord *task = findTask(*job, end.task_, nullptr);
    return task != nullptr && !stepSpec(*job, end.task_.step_).longRunning_ && end.run_.value_ < task->run_;
}

static void awaitLapse(Runner &runner, UnstoredEnd &end, CellActions &actions)
{
    end.awaitsLapse_ = true;
    ++runner.endsAwaitingLapse_;
    JsonObject line = logEvent("end-awaits-lapse");
    line.text("task", taskText(end.task_)).number("run", static_cast<std::int64_t>(end.run_.value_));
    line.text("runner", runner.record_.id_.value_).number("number", static_cast<std::int64_t>(end.number_));
    addLogLine(actions, line, LogLevel::Warning);
}

// The lease of the runner has lapsed: no end waits for it any more.
static void handleLapse(Cell &cell, Runner &runner, CellActions &actions)
{
    JsonObject line = logEvent("runner-lapsed");
    line.text("runner", runner.record_.id_.value_).number("ends", runner.endsAwaitingLapse_);
    addLogLine(actions, line);
    for (UnstoredEnd &end : runner.unstoredEnds_) {
        end.awaitsLapse_ = false;
    }
    runner.endsAwaitingLapse_ = 0;
    acknowledgeEnds(cell, runner);
    cell.placementDue_ = true;
}

static void handleEnd(Cell &cell, Runner &runner, const FinishedRun &end, CellTime now, CellActions &actions)
{
    const bool awaitsLapse = mustAwaitLapse(cell, runner, end);
    JsonObject line = logEvent("end");
    line.text("task", taskText(end.task_)).number("run", static_cast<std::int64_t>(end.run_.value_));
    line.text("runner", runner.record_.id_.value_).text("how", runEndName(end.end_));
    line.number("number", static_cast<std::int64_t>(end.number_));
    const auto placed = runner.tasks_.find(end.task_);
    if (placed != runner.tasks_.end() && placed->second.startedAt_ != TimePoint{}) {
        line.number("age_ms",
                    std::chrono::duration_cast<Milliseconds>(now.steady_ - placed->second.startedAt_).count());
    }
    addLogLine(actions, line);
    updateFailedRuns(runner, end, now, actions);
    Job *job = findJob(cell, end.task_.job_);
    if (job != nullptr && !isFinal(*job)) {
        StepState *step = nullptr;
        TaskRecord *task = findTaskOfRun(*job, end.task_, &step);
        if (task != nullptr) {
            noteRunSurvived(cell, *job, end.task_, end.run_);
            checkRepeatedTask(cell, runner, end, *job, *task, actions);
            const bool latest = end.run_.value_ > task->endedRun_;
            task->endedRun_ = std::max(task->endedRun_, end.run_.value_);
            task->run_ = std::max(task->run_, end.run_.value_);
            if (latest) {
                prepareRetry(*job, end.task_, end, now);
            }
            if (end.end_ == RunEnd::Done && !stepSpec(*job, end.task_.step_).longRunning_) {
                markStarted(cell, *job, now.steady_);
                completeTask(cell, *job, end.task_, now, actions);
            } else if (end.end_ == RunEnd::Failed) {
                countFailure(cell, *job, end.task_, end, now, actions);
            }
        }
    }
    const auto found = runner.tasks_.find(end.task_);
    if (found != runner.tasks_.end() && found->second.run_.value_ <= end.run_.value_) {
        releasePlacement(cell, runner, end.task_, ReleaseCause::EndListed);
    }
    runner.unstoredEnds_.push_back({end.number_, end.task_, end.run_, job != nullptr ? job->version_ : 0});
    if (awaitsLapse) {
        awaitLapse(runner, runner.unstoredEnds_.back(), actions);
    }
    if (job != nullptr && (runner.record_.draining_ || !runner.inDiscovery_)) {
        storeNext(cell, *job); // soon there is no runner that could tell another leader of the end
    }
}

bool isStored(const Cell &cell, const UnstoredEnd &end)
{
    const auto job = cell.jobs_.find(end.task_.job_);
    return job == cell.jobs_.end() || job->second->storedVersion_ >= end.version_;
}

void acknowledgeEnds(const Cell &cell, Runner &runner)
{
    while (!runner.unstoredEnds_.empty() && !runner.unstoredEnds_.front().awaitsLapse_
           && isStored(cell, runner.unstoredEnds_.front())) {
        runner.acknowledgedEnd_ = runner.unstoredEnds_.front().number_;
        runner.unstoredEnds_.pop_front();
    }
}

// ---- replies ----

void releaseEarlierRun(Cell &cell, const StagedTask &id, const TaskRecord &task, RunNumber run)
{
    Runner *holder = task.state_ == TaskState::Placed ? findRunner(cell, task.runner_) : nullptr;
    if (holder == nullptr) {
        return;
    }
    const auto placed = holder->tasks_.find(id);
    if (placed != holder->tasks_.end() && placed->second.run_ < run) {
        cancelPlannedStart(cell, *holder, id);
        releasePlacement(cell, *holder, id, ReleaseCause::LaterRun);
    }
}

// Handles a run that a runner lists as active: confirms its placement, adopts the run for a waiting task, or stops it
// as an orphan.
static void adoptActiveRun(Cell &cell, Runner &runner, const ActiveRun &active, CellTime now, CellActions &actions)
{
    cancelPlannedStart(cell, runner, active.task_);
    auto placed = runner.tasks_.find(active.task_);
    if (placed != runner.tasks_.end() && isPresumedEnded(placed->second)) {
        releasePlacement(cell, runner, active.task_, ReleaseCause::EndPresumed);
        placed = runner.tasks_.end();
    }
    if (placed != runner.tasks_.end()) {
        if (placed->second.phase_ == PlacementPhase::Starting) {
            placed->second.phase_ = PlacementPhase::Running;
        }
        if (placed->second.run_ == active.run_) {
            placed->second.listed_ = true;
            placed->second.begun_ = true;
            placed->second.spansRestart_ = false;
        }
        return;
    }
    Job *job = findJob(cell, active.task_.job_);
    TaskRecord *task = job != nullptr && !isFinal(*job) ? findTaskOfRun(*job, active.task_, nullptr) : nullptr;
    if (task != nullptr) {
        releaseEarlierRun(cell, active.task_, *task, active.run_); // the stored list may name one that has ended
    }
    if (task != nullptr && task->state_ == TaskState::Waiting && active.run_.value_ > task->endedRun_) {
        Placement &placement = addPlacement(cell, runner, *job, active.task_, active.run_);
        placement.phase_ = PlacementPhase::Running;
        placement.listed_ = true;
        placement.begun_ = true;
        placement.startedAt_ = now.steady_;
        job->started_ = true;
        return;
    }
    JsonObject line = logEvent("orphan");
    line.text("task", taskText(active.task_)).number("run", static_cast<std::int64_t>(active.run_.value_));
    line.text("runner", runner.record_.id_.value_).boolean("job_known", job != nullptr);
    addLogLine(actions, line, LogLevel::Warning);
    addOrphan(runner, active.task_, active.run_);
    stopPlacement(cell, runner, active.task_, now, actions);
}

static void updateCheckpoint(Cell &cell, const ActiveRun &active)
{
    if (active.checkpoint_.empty()) {
        return;
    }
    Job *job = findJob(cell, active.task_.job_);
    TaskRecord *task = job != nullptr ? findTask(*job, active.task_, nullptr) : nullptr;
    if (task != nullptr && task->state_ == TaskState::Placed && task->run_ == active.run_.value_) {
        task->checkpoint_ = active.checkpoint_;
    }
}

// Presumes the end of the tasks that a runner's list shows to be gone: the list names them neither as active nor as
// ended, and it was requested after the runner's last answer about them.
static void presumeAbsentTasksEnded(Cell &cell, Runner &runner, const RunnerReply &reply, CellTime now,
                                    CellActions &actions)
{
    std::vector<StagedTask> absent;
    for (const auto &[task, placement] : runner.tasks_) {
        if (placement.confirmedAt_ == TimePoint{} || placement.confirmedAt_ >= reply.sentAt_
            || isPresumedEnded(placement)) {
            continue;
        }
        const bool active = std::any_of(reply.active_.begin(), reply.active_.end(),
                                        [&id = task](const ActiveRun &run) { return run.task_ == id; });
        if (!active) {
            absent.push_back(task);
        }
    }
    for (const StagedTask &task : absent) {
        noteRunAbsent(cell, runner, task, runner.tasks_.at(task), now, actions);
        JsonObject line = logEvent("task-absent");
        line.text("task", taskText(task)).text("runner", runner.record_.id_.value_);
        line.number("acknowledged_end", static_cast<std::int64_t>(runner.acknowledgedEnd_));
        addLogLine(actions, line, LogLevel::Warning);
    }
    presumeEnded(cell, runner, absent, now, actions);
}

static void countFailedCall(Cell &cell, Runner &runner)
{
    const bool wasQuiescent = isQuiescent(runner);
    ++runner.failedCalls_;
    updateStoredState(cell, runner, wasQuiescent);
}

// Handles the runs that a list names; what it does not name is left as it is.
static void takeListedRuns(Cell &cell, Runner &runner, const RunnerReply &reply, CellTime now, CellActions &actions)
{
    for (const FinishedRun &end : reply.finished_) {
        if (end.end_ == RunEnd::Lapsed) {
            runner.lapsedEnd_ = std::max(runner.lapsedEnd_, end.number_);
        }
    }
    for (const FinishedRun &end : reply.finished_) {
        if (end.number_ > runner.processedEnd_) {
            runner.processedEnd_ = end.number_;
            handleEnd(cell, runner, end, now, actions);
        }
    }
    acknowledgeEnds(cell, runner);
    for (const ActiveRun &active : reply.active_) {
        adoptActiveRun(cell, runner, active, now, actions);
        updateCheckpoint(cell, active);
    }
    if (!runner.stateKnown_ && !runner.hasMoreEnds_) { // the runner refuses earlier leaders after the first list
        // An earlier leader may just have extended the lease. The runner shortens the lease of a start whose end is a
        // time of an earlier incarnation's clock only to the longest one that it grants.
        extendLeaseToLongest(cell, runner, now.steady_);
        // The stored list may not name the runs that were adopted.
        cell.runnersDirty_ = cell.runnersDirty_ || !runner.tasks_.empty();
    }
}

static void handleHold(Cell &cell, Runner &runner, const RunnerReply &reply, CellTime now, CellActions &actions)
{
    runner.holdInFlight_ = false;
    const bool wasQuiescent = isQuiescent(runner);
    if (reply.status_ != RunnerStatus::Ok) {
        countFailedCall(cell, runner);
        if (reply.status_ == RunnerStatus::Unknown && runner.sentAcknowledgement_ != 0) {
            raiseToken(cell, runner); // the next incarnation would take it for an acknowledgement of its own ends
        }
        runner.nextHoldAt_ = now.steady_ + HoldRetryDelay;
        if (runner.failedCalls_ == 1) {
            JsonObject line = logEvent("runner-silent");
            line.text("runner", runner.record_.id_.value_).text("status", runnerStatusName(reply.status_));
            addLogLine(actions, line, LogLevel::Warning);
        }
        return;
    }
    if (runner.failedCalls_ > 0) {
        JsonObject line = logEvent("runner-regained");
        line.text("runner", runner.record_.id_.value_).number("failed_calls", runner.failedCalls_);
        addLogLine(actions, line);
        runner.failedCalls_ = 0;
        cell.placementDue_ = true;
    }
    runner.hasNewClock_ = false;
    runner.forgottenEnd_ = std::max(runner.forgottenEnd_, runner.sentAcknowledgement_);
    cell.placementDue_ = cell.placementDue_ || (runner.sentAcknowledgement_ != 0 && areCallsLate(cell, now.steady_));
    runner.heldAt_ = reply.sentAt_; // not when the answer arrived: this process may have been paused
    takeListedRuns(cell, runner, reply, now, actions);
    runner.nextHoldAt_ = now.steady_ + (mayLapse(runner) ? LapsePollInterval : HoldPause);
    constexpr std::size_t EndsPerReply = 500; // a reply with this many ends is incomplete; more follow
    runner.hasMoreEnds_ = !runner.stateKnown_ && reply.finished_.size() >= EndsPerReply;
    if (reply.finished_.size() < EndsPerReply) {
        presumeAbsentTasksEnded(cell, runner, reply, now, actions);
        if (!runner.stateKnown_) {
            runner.stateKnown_ = true;
            runner.stateKnownAt_ = now.steady_;
            runner.hasOnlyUnansweredStarts_ = false;
            noteRunnerSurvived(cell, runner);
            requestConfirmation(cell, now.steady_);
            runner.mayHavePredecessorTasks_ = false;
            runner.predecessorTasksKnown_ = false;
            JsonObject line = logEvent("runner-held");
            line.text("runner", runner.record_.id_.value_).text("service", runner.record_.service_);
            line.number("active", static_cast<std::int64_t>(reply.active_.size()));
            line.number("ends", static_cast<std::int64_t>(reply.finished_.size()));
            addLogLine(actions, line);
            cell.placementDue_ = true;
        }
    }
    updateStoredState(cell, runner, wasQuiescent);
}

static void scheduleRetry(Runner &runner, Placement &placement, TimePoint now)
{
    constexpr unsigned MaxDoublings = 4;
    placement.retryAt_ = now + StartRetryDelay * (1U << std::min(placement.attempts_ - 1, MaxDoublings));
    runner.nextCallRetryAt_ = std::min(runner.nextCallRetryAt_, placement.retryAt_);
}

// Handles a start that certainly had no effect: the task waits again.
static void handleRejectedStart(Cell &cell, Runner &runner, const RunnerReply &reply, CellTime now,
                                CellActions &actions)
{
    JsonObject line = logEvent("start-rejected");
    line.text("task", taskText(reply.task_)).number("run", static_cast<std::int64_t>(reply.run_.value_));
    line.text("runner", runner.record_.id_.value_).text("status", runnerStatusName(reply.status_));
    addLogLine(actions, line, LogLevel::Warning);
    if (reply.status_ == RunnerStatus::Unhealthy || reply.status_ == RunnerStatus::NotSent
        || reply.status_ == RunnerStatus::NoCapacity) {
        runner.avoidUntil_ = std::max(runner.avoidUntil_, now.steady_ + RejectedStartPause);
    }
    Job *job = findJob(cell, reply.task_.job_);
    StepState *step = nullptr;
    if (job != nullptr && findTask(*job, reply.task_, &step) != nullptr && reply.status_ == RunnerStatus::BadTicket) {
        const auto verdict = step->verdicts_.find(runner.record_.id_);
        if (verdict != step->verdicts_.end()) {
            verdict->second.validUntil_ = {};
        }
    }
    if (job != nullptr) {
        noteRunSurvived(cell, *job, reply.task_, reply.run_);
    }
    releaseFailedRun(cell, runner, reply.task_, now, actions);
}

static void logUnansweredStart(const Runner &runner, const RunnerReply &reply, const Placement &placement, CellTime now,
                               CellActions &actions)
{
    JsonObject line = logEvent("start-unanswered");
    line.text("task", taskText(reply.task_)).number("run", static_cast<std::int64_t>(reply.run_.value_));
    line.text("runner", runner.record_.id_.value_).number("attempt", placement.attempts_);
    line.number("sent_ms", ageMs(now.steady_, reply.sentAt_));
    line.number("answer_age_ms", ageMs(now.steady_, runner.clockReadAt_));
    addLogLine(actions, line);
}

static void handleStart(Cell &cell, Runner &runner, const RunnerReply &reply, CellTime now, CellActions &actions)
{
    const auto found = runner.tasks_.find(reply.task_);
    if (found == runner.tasks_.end() || found->second.run_ != reply.run_ || isPresumedEnded(found->second)) {
        return;
    }
    Placement &placement = found->second;
    noteGrantedLease(cell, runner, placement.untilMs_, reply, now.steady_);
    placement.begun_ = placement.begun_ || reply.status_ == RunnerStatus::Ok;
    if (placement.phase_ == PlacementPhase::Stopping) {
        return;
    }
    placement.callInFlight_ = false;
    const bool mayHaveArrived = placement.attempts_ > 1; // an earlier attempt has no answer
    switch (reply.status_) {
    case RunnerStatus::Ok:
    case RunnerStatus::Superseded: // the run has ended already; its end is in the list
        placement.phase_ = PlacementPhase::Running;
        placement.confirmedAt_ = now.steady_;
        if (Job *job = findJob(cell, reply.task_.job_)) {
            markStarted(cell, *job, now.steady_);
        }
        break;
    case RunnerStatus::Unknown:
        logUnansweredStart(runner, reply, placement, now, actions);
        placement.startUnansweredAt_ = now.steady_;
        scheduleRetry(runner, placement, now.steady_);
        break;
    case RunnerStatus::Fenced:
    case RunnerStatus::OtherIncarnation:
        break; // handled by handleRunnerReply()
    default:
        if (mayHaveArrived) {
            stopPlacement(cell, runner, reply.task_, now, actions);
        } else {
            handleRejectedStart(cell, runner, reply, now, actions);
        }
        break;
    }
}

static void handleStop(Runner &runner, const RunnerReply &reply, CellTime now)
{
    const auto found = runner.tasks_.find(reply.task_);
    if (found == runner.tasks_.end() || found->second.run_ != reply.run_
        || found->second.phase_ != PlacementPhase::Stopping || isPresumedEnded(found->second)) {
        return;
    }
    found->second.callInFlight_ = false;
    if (reply.status_ == RunnerStatus::Ok || reply.status_ == RunnerStatus::Superseded) {
        found->second.confirmedAt_ = now.steady_;
        runner.nextHoldAt_ = std::min(runner.nextHoldAt_, now.steady_);
    } else {
        scheduleRetry(runner, found->second, now.steady_);
    }
}

// Takes the clock from the answer to a start or a stop, which does not name the incarnation that has given it.
static void takeClock(const Cell &cell, Runner &runner, const RunnerReply &reply, TimePoint now)
{
    if (reply.clockMs_ >= 0 && hasClockRestarted(runner, reply)) {
        raiseToken(cell, runner);
        runner.hasNewClock_ = true;
        runner.nextHoldAt_ = now;
    }
    updateClock(cell, runner, reply, now);
}

static bool isOfEarlierIncarnation(const Runner &runner, const RunnerReply &reply)
{
    return reply.startedUnixMs_ != 0 && reply.startedUnixMs_ < runner.startedUnixMs_;
}

// Handles the reply to a call with an earlier token. A list shows what runs and what has ended, but a run that it does
// not name may still begin, as the runner carries out such calls until it sees the present token.
static void handleEarlierReply(Cell &cell, Runner &runner, const RunnerReply &reply, CellTime now, CellActions &actions)
{
    RunnerReply handled = reply;
    if (reply.status_ == RunnerStatus::Fenced || reply.status_ == RunnerStatus::OtherIncarnation
        || isOfEarlierIncarnation(runner, reply)) {
        handled.status_ = RunnerStatus::Unknown; // the token, the address or the incarnation has changed since
    }
    if (reply.op_ != RunnerOp::Hold && reply.clockMs_ >= 0 && hasClockRestarted(runner, reply)) {
        takeClock(cell, runner, reply, now.steady_);
    }
    if (reply.op_ == RunnerOp::Start) {
        handleStart(cell, runner, handled, now, actions);
    } else if (reply.op_ == RunnerOp::Stop) {
        handleStop(runner, handled, now);
    } else if (reply.status_ == RunnerStatus::Ok && reply.startedUnixMs_ == runner.startedUnixMs_
               && !runner.stateKnown_) {
        updateClock(cell, runner, reply, now.steady_);
        takeListedRuns(cell, runner, reply, now, actions);
    }
}

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
    placement.phase_ = PlacementPhase::Starting;
    sendStart(cell, runner, task, placement, now, actions);
    return true;
}

// Sends planned starts. Repeats unanswered starts and stops. Withdraws a start by a stop after MaxStartAttempts or when
// the job is final.
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
            if (placement.attempts_ >= MaxStartAttempts || job == nullptr || isFinal(*job)) {
                withdraw.push_back(task);
            } else if (runner.hasNewClock_ || mayBeAcknowledgedUnheard(cell, runner, now.steady_)
                       || !hasStartProof(cell, runner, now.steady_)
                       || startProofAt(cell, runner) < placement.startUnansweredAt_) {
                // Since the last attempt the run may have ended, a later leader may have acknowledged the end, and the
                // runner may have restarted. A start that names a time of the former clock is not repeated: the next
                // list withdraws it.
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
            && now.steady_ > cell.formerLeadersEndBy_ + formerLeadersLeaseWait(cell)) {
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

namespace mimosapier
{

using namespace detail;

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
    runner.inDiscovery_ = true;
    const bool wasQuiescent = isQuiescent(runner);
    cell.placementDue_ = cell.placementDue_ || record.capacity_ != runner.record_.capacity_;
    runner.record_ = record;
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

void handleRunnerReply(Cell &cell, const RunnerReply &reply, CellTime now, CellActions &actions)
{
    Runner *runner = findRunner(cell, reply.runner_);
    if (runner == nullptr || !isCallOf(cell, reply.id_)) {
        return;
    }
    if (reply.status_ != RunnerStatus::OtherIncarnation && reply.startedUnixMs_ > runner->startedUnixMs_) {
        beginIncarnation(cell, *runner, reply.startedUnixMs_, now, actions);
    }
    if (reply.status_ == RunnerStatus::Unknown) {
        // A hold may have waited for an end until the runner was lost, while it still answered calls sent after it.
        const TimePoint openSince = reply.op_ == RunnerOp::Hold ? now.steady_ : reply.sentAt_;
        noteUnansweredCall(cell, *runner, openSince, now, actions);
        // Holds to a runner that is silent, or was not heard yet, ask for no lease.
        const bool holdAskedForLease = reply.op_ == RunnerOp::Hold && runner->stateKnown_ && runner->failedCalls_ == 0;
        if (reply.op_ == RunnerOp::Start || holdAskedForLease) {
            runner->unansweredLeaseAt_ = now.steady_;
        }
    } else if (reply.clockMs_ >= 0 && !isOfEarlierIncarnation(*runner, reply)) {
        noteAnsweredCall(cell, *runner, reply.sentAt_, now, actions);
    }
    if (reply.id_ < runner->firstCallId_) {
        handleEarlierReply(cell, *runner, reply, now, actions);
        return;
    }
    if (reply.status_ == RunnerStatus::Fenced) {
        markSuperseded(cell, runner->record_.id_.value_, actions);
        return;
    }
    if (reply.status_ == RunnerStatus::OtherIncarnation) {
        if (reply.op_ == RunnerOp::Hold) {
            runner->holdInFlight_ = false;
            runner->nextHoldAt_ = now.steady_ + HoldRetryDelay;
        }
        handleLostRunner(cell, *runner, "address-taken-by-other-life", true, now, actions);
        countFailedCall(cell, *runner);
        return;
    }
    if (isOfEarlierIncarnation(*runner, reply)) {
        if (reply.op_ == RunnerOp::Hold) {
            runner->holdInFlight_ = false;
        }
        return;
    }
    if (reply.op_ == RunnerOp::Hold) {
        updateClock(cell, *runner, reply, now.steady_);
    } else {
        takeClock(cell, *runner, reply, now.steady_);
    }
    switch (reply.op_) {
    case RunnerOp::Hold:
        handleHold(cell, *runner, reply, now, actions);
        break;
    case RunnerOp::Start:
        handleStart(cell, *runner, reply, now, actions);
        break;
    case RunnerOp::Stop:
        handleStop(*runner, reply, now);
        break;
    }
}

} // namespace mimosapier
