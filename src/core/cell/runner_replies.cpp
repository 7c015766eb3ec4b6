// Replies of runners: ends of runs, lists of runs, and answers to starts and stops.
#include "core/cell/runners_internal.h"

#include <algorithm>

namespace mimosapier::detail
{

// Takes a checkpoint of any run of the task unless a later one is known: the ends of members of a gang, and lists of
// runners that were silent, may arrive in any order. Later checkpoints are greater, compared as text.
static void raiseCheckpoint(TaskRecord &task, const std::string &checkpoint)
{
    task.checkpoint_ = std::max(task.checkpoint_, checkpoint);
}

static void prepareRetry(Job &job, const StagedTask &id, const FinishedRun &end, CellTime now)
{
    TaskRecord *task = findTask(job, id, nullptr);
    if (task == nullptr || task->state_ == TaskState::Done) {
        return;
    }
    raiseCheckpoint(*task, end.checkpoint_); // placeGang() takes the greatest of all members
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
    if (task == nullptr || task->state_ == TaskState::Done || spec.longRunning_ || task->copyRun_ != 0) {
        return; // of two runs, only the end of the last one counts as an attempt
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
    if (end.end_ != RunEnd::Done || spec.longRunning_ || mayHaveCopies(cell, spec)) {
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
    const StepSpec &spec = stepSpec(*job, end.task_.step_);
    // The platform allows a start after a known end in steps that may have copies.
    return task != nullptr && !spec.longRunning_ && !mayHaveCopies(cell, spec) && end.run_.value_ < task->run_;
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

void handleLapse(Cell &cell, Runner &runner, CellActions &actions)
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
    noteRunEnd(cell, runner, end, now.steady_, actions);
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
                stopOtherRun(cell, runner, *task, end.task_, now, actions);
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

void releaseEarlierRun(Cell &cell, const StagedTask &id, const TaskRecord &task, RunNumber run)
{
    Runner *holder = task.state_ == TaskState::Placed ? findRunner(cell, task.runner_) : nullptr;
    if (holder == nullptr) {
        return;
    }
    const auto placed = holder->tasks_.find(id);
    const Job *job = findJob(cell, id.job_);
    if (placed != holder->tasks_.end() && placed->second.begun_ && job != nullptr
        && mayHaveCopies(cell, stepSpec(*job, id.step_))) {
        return; // it goes on; the later run is stopped as an orphan
    }
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
    Job *job = findJob(cell, active.task_.job_);
    TaskRecord *task = job != nullptr ? findTask(*job, active.task_, nullptr) : nullptr;
    if (task != nullptr && task->state_ == TaskState::Placed && task->run_ == active.run_.value_) {
        raiseCheckpoint(*task, active.checkpoint_);
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
        if (reply.status_ == RunnerStatus::Unknown && (runner.sentAcknowledgement_ != 0 || runner.holdAsksForLease_)) {
            // The next incarnation would take it for an acknowledgement of its own ends, or renew the lease of a run
            // that it has begun since.
            raiseToken(cell, runner);
        }
        runner.nextHoldAt_ = now.steady_ + HoldRetryDelay;
        if (runner.failedCalls_ == 1) {
            JsonObject line = logEvent("runner-silent");
            line.text("runner", runner.record_.id_.value_).text("status", runnerStatusName(reply.status_));
            addLogLine(actions, line, LogLevel::Warning);
            noteTrouble(runner, RunnerTrouble::Silence, now.steady_, actions);
        }
        return;
    }
    if (runner.failedCalls_ > 0) {
        noteTrouble(runner, RunnerTrouble::Regained, now.steady_, actions);
        JsonObject line = logEvent("runner-regained");
        line.text("runner", runner.record_.id_.value_).number("failed_calls", runner.failedCalls_);
        addLogLine(actions, line);
        runner.failedCalls_ = 0;
        cell.placementDue_ = true;
    }
    runner.hasNewClock_ = false;
    if (runner.holdAsksForLease_) {
        runner.renewedAt_ = reply.sentAt_;
        runner.nextCallRetryAt_ = now.steady_; // starts wait for this answer
    }
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
    if (reply.status_ == RunnerStatus::Unhealthy) {
        noteRunResult(runner, true, false, now.steady_, actions);
    } else if (reply.status_ == RunnerStatus::NotSent) {
        noteTrouble(runner, RunnerTrouble::NotReached, now.steady_, actions);
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
        if (reply.status_ == RunnerStatus::Ok) {
            runner.renewedAt_ = std::max(runner.renewedAt_, placement.startedAt_); // repeats ask for the same lease
        }
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
        runner.answeredCallAt_ = {}; // of the incarnation that has ended
        runner.nextHoldAt_ = now;
    }
    updateClock(cell, runner, reply, now);
}

static bool isOfEarlierIncarnation(const Runner &runner, const RunnerReply &reply)
{
    return reply.startedUnixMs_ != 0 && reply.startedUnixMs_ < runner.startedUnixMs_;
}

// True when the incarnation that this leader knows has answered. Only lists of runs name theirs.
static bool isOfKnownIncarnation(const Runner &runner, const RunnerReply &reply)
{
    if (reply.status_ == RunnerStatus::OtherIncarnation) {
        return false;
    }
    return reply.startedUnixMs_ != 0 ? reply.startedUnixMs_ == runner.startedUnixMs_
                                     : !runner.hasNewClock_ && !hasClockRestarted(runner, reply);
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

} // namespace mimosapier::detail

namespace mimosapier
{

using namespace detail;

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
        const bool isOfPresentToken = reply.id_ >= runner->firstCallId_;
        if (reply.op_ == RunnerOp::Start) {
            noteUnansweredStart(cell, *runner, reply, now.steady_);
        } else if (reply.op_ == RunnerOp::Hold
                   && (isOfPresentToken ? runner->holdAsksForLease_ : runner->earlierHoldAsksForLease_)) {
            // The token of an earlier hold is at least one raise back.
            noteUnansweredLease(*runner, runner->tokenRaises_ - (isOfPresentToken ? 0 : 1), now.steady_);
        }
    } else if (reply.clockMs_ >= 0 && isOfKnownIncarnation(*runner, reply)) {
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
