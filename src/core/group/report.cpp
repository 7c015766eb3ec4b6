// Applies the reports of workers about tasks: starts, ends, lost tasks, and tasks that the group did not expect.
#include "core/group/group_internal.h"

#include "core/common/shard_func.h"

#include <algorithm>

namespace mimosapier
{

static std::int64_t elapsedMs(TimePoint from, TimePoint to)
{
    return std::chrono::duration_cast<Milliseconds>(to - from).count();
}

// Updates the moving averages from a task that has ended.
static void updateEstimates(Group &group, const GroupTask &task, TimePoint now)
{
    constexpr double SampleWeight = 0.1; // of the newest sample
    ClassEstimate &estimate = task.team_->estimates_[task.class_];
    const auto run = static_cast<double>(elapsedMs(task.confirmedAt_, now));
    estimate.runMs_ = estimate.runMs_ == 0 ? run : estimate.runMs_ + SampleWeight * (run - estimate.runMs_);
    if (task.measuredUse_.milliCpus_ > 0 && task.size_.milliCpus_ > 0) {
        const double ratio
            = static_cast<double>(task.measuredUse_.milliCpus_) / static_cast<double>(task.size_.milliCpus_);
        estimate.cpuRatio_ += SampleWeight * (ratio - estimate.cpuRatio_);
    }
    if (group.lastFinish_ != TimePoint{}) {
        constexpr double MaxFinishIntervalMs = 60'000; // bounds the effect of an idle period
        const double interval
            = std::min(MaxFinishIntervalMs, std::chrono::duration<double, std::milli>(now - group.lastFinish_).count());
        group.finishIntervalMs_ = group.finishIntervalMs_ == 0
            ? interval
            : group.finishIntervalMs_ + SampleWeight * (interval - group.finishIntervalMs_);
    }
    group.lastFinish_ = now;
}

void updateWorkerHealth(Group &group, GroupWorker &worker, GroupTeam &team, bool success, Context &context)
{
    if (success) {
        team.lastFailedWorker_ = NoWorker;
        worker.consecutiveTaskFailures_ = 0;
        worker.quarantined_ = false;
        worker.probeWait_ = Milliseconds(0);
        updateIndexedFree(group, worker, context.now_);
        return;
    }
    // Consecutive failures of a team on different workers point to faulty work of the team, not to a faulty worker.
    const bool teamFault = team.lastFailedWorker_ != NoWorker && team.lastFailedWorker_ != worker.index_;
    team.lastFailedWorker_ = worker.index_;
    if (teamFault && !worker.quarantined_) {
        return;
    }
    ++worker.consecutiveTaskFailures_;
    if (worker.consecutiveTaskFailures_ < detail::QuarantineFailures) {
        return;
    }
    worker.quarantined_ = true;
    worker.probeWait_ = std::clamp(worker.probeWait_ * 2, detail::QuarantineMin, detail::QuarantineMax);
    worker.nextProbe_ = context.now_ + worker.probeWait_;
    if (worker.contactDue_ > worker.nextProbe_) {
        scheduleContact(group, worker, worker.nextProbe_);
    }
    updateIndexedFree(group, worker, context.now_);
    logLine(context, LogLevel::Warning, "[group] worker " + worker.info_.id_.value_ + " is quarantined");
}

void requeueCleared(Group &group, const TaskId &id, Context &context)
{
    GroupTask *task = findTask(group, id);
    if (task == nullptr || task->stage_ != TaskStage::Clearing) {
        return;
    }
    task->worker_ = NoWorker;
    if (task->gang_ != nullptr) {
        onGangMemberCleared(group, *task, context);
    } else if (task->cancelled_) {
        finishTask(group, *task, {0, Outcome::Cancelled, ErrorKind::Cancelled, {}, {}}, context);
    } else if (group.fenced_ || group.stopping_) {
        task->mayHaveRun_ = true;
        refuseTask(group, *task, ErrorKind::NotHolder, context);
    } else {
        enqueue(group, *task);
    }
}

// Queues a task again that may have run, after the worker has dropped its record of it.
static void restart(Group &group, GroupTask &task, bool workerHasRecord, Context &context)
{
    task.mayHaveRun_ = true;
    if (task.mode_ != WorkMode::Interactive) {
        removeDeadline(group, task);
        task.deadline_ = TimePoint::max();
    }
    if (workerHasRecord) {
        clearThenRequeue(group, task);
    } else {
        setStage(group, task, TaskStage::Clearing);
        requeueCleared(group, task.id_, context);
    }
}

void onTaskLost(Group &group, GroupTask &task, ErrorKind error, bool workerHasRecord, Context &context)
{
    const WorkerId lastWorker = task.lastWorker_;
    if (task.gang_ != nullptr) {
        const GroupGang &gang = *task.gang_;
        if ((gang.failed_ || canRestartGang(group, gang)) && onGangFailure(group, task, error, context)) {
            return;
        }
        // The gang cannot restart as a whole, so the task goes on alone.
        removeFromGang(group, task);
    }
    if (task.idempotent_ && task.cancelled_) {
        finishTask(group, task, {0, Outcome::Cancelled, ErrorKind::Cancelled, lastWorker, {}}, context);
        return;
    }
    const bool late = task.mode_ == WorkMode::Interactive && context.now_ >= task.deadline_;
    if (task.idempotent_ && task.job_ != nullptr && !late && task.restarts_ < detail::RestartsMax && !group.fenced_
        && !group.stopping_) {
        ++task.restarts_;
        restart(group, task, workerHasRecord, context);
        return;
    }
    finishTask(group, task, {0, Outcome::Unknown, error, lastWorker, {}}, context);
}

void onStartRefused(Group &group, GroupTask &task, ErrorKind error, Context &context)
{
    removeFromWorker(group, task, context);
    task.worker_ = NoWorker;
    // The deadline of an interactive task already bounds the attempts on lost workers.
    const bool countsAsRefusal = error != ErrorKind::WorkerLost || needsJournal(task);
    task.startRefusals_ += countsAsRefusal ? 1 : 0;
    if (task.gang_ != nullptr && onGangFailure(group, task, error, context)) {
        return;
    }
    if (task.cancelled_) {
        finishTask(group, task, {0, Outcome::Cancelled, ErrorKind::Cancelled, {}, {}}, context);
    } else if (group.fenced_ || group.stopping_) {
        refuseTask(group, task, ErrorKind::NotHolder, context);
    } else if (task.gang_ != nullptr || task.startRefusals_ >= detail::StartRefusalsMax) {
        refuseTask(group, task, error, context);
    } else {
        enqueue(group, task);
    }
}

static void onRunning(Group &group, GroupWorker &worker, GroupTask &task, const WorkerTaskReport &report,
                      Context &context)
{
    worker.measuredUse_ += report.used_ - task.measuredUse_;
    task.measuredUse_ = report.used_;
    if (task.stage_ == TaskStage::Starting || task.stage_ == TaskStage::Uncertain) {
        setStage(group, task, TaskStage::Running);
        task.confirmedAt_ = context.now_;
        addPreemptible(group, task, context);
        const bool gangFailed = task.gang_ != nullptr && task.gang_->failed_;
        if (task.cancelled_ || gangFailed) {
            requestStop(group, task, StopMode::Stop, context);
        }
    } else if (task.stopSentAt_ != TimePoint{} && !task.throttled_
               && context.now_ - task.stopSentAt_ >= detail::StopResendInterval) {
        requestStop(group, task, task.preempted_ && task.mayCheckpoint_ ? StopMode::Checkpoint : StopMode::Stop,
                    context);
    }
}

static TaskResult resultOf(const WorkerTaskReport &report, const GroupWorker &worker)
{
    return {report.task_.index_, report.outcome_, report.error_, worker.info_.id_, report.result_};
}

// The task has ended on the worker that it was assigned to.
static void onEnded(Group &group, GroupWorker &worker, GroupTask &task, const WorkerTaskReport &report,
                    Context &context)
{
    if (report.outcome_ == Outcome::NotRun) {
        if (report.error_ == ErrorKind::TaskFailed) {
            updateWorkerHealth(group, worker, *task.team_, false, context);
        }
        onStartRefused(group, task, report.error_, context);
        return;
    }
    const bool preempted = task.preempted_;
    if (task.stage_ == TaskStage::Starting || task.stage_ == TaskStage::Uncertain) {
        task.confirmedAt_ = task.placedAt_;
    }
    updateEstimates(group, task, context.now_);
    const bool leaseLapsed = report.outcome_ == Outcome::Failed && report.error_ == ErrorKind::TaskLeaseLapsed;
    removeFromWorker(group, task, context);
    if (report.outcome_ == Outcome::Done || (report.outcome_ == Outcome::Failed && !leaseLapsed)) {
        updateWorkerHealth(group, worker, *task.team_, report.outcome_ == Outcome::Done, context);
    }
    if (task.gang_ != nullptr && task.gang_->failed_ && task.gang_->willRestart_) {
        clearThenRequeue(group, task);
    } else if (leaseLapsed) {
        onTaskLost(group, task, ErrorKind::TaskLeaseLapsed, true, context);
    } else if (report.outcome_ == Outcome::Cancelled && preempted && !task.cancelled_ && task.idempotent_
               && !group.fenced_ && !group.stopping_) {
        restart(group, task, true, context);
    } else if (report.outcome_ == Outcome::Cancelled && !task.cancelled_ && task.idempotent_
               && (task.gang_ == nullptr || !task.gang_->failed_)) {
        // A stop request for an earlier run of the task was delayed and has stopped this run.
        onTaskLost(group, task, ErrorKind::Preempted, true, context);
    } else {
        TaskResult result = resultOf(report, worker);
        if (result.outcome_ == Outcome::Cancelled && !task.cancelled_) {
            // Not cancelled by the caller: stopped with its gang, or because of a lowered limit.
            const bool gangFailed = task.gang_ != nullptr && task.gang_->failed_;
            result.outcome_ = gangFailed ? Outcome::Failed : Outcome::Cancelled;
            result.error_ = gangFailed ? task.gang_->error_ : ErrorKind::LimitReached;
        }
        finishTask(group, task, std::move(result), context);
    }
}

// Sets the home partition of an adopted task from the bundle.
static void addHomeOfJob(GroupTask &task, const TeamId &team, Context &context)
{
    const Team *config = findTeam(context.bundle_, team);
    for (const RegionConfig &region : context.bundle_.regions_) {
        if (config != nullptr && region.id_ == config->homeRegion_ && region.partitions_ > 0) {
            const ShardId home = homePartition(task.id_.job_, region.id_, region.partitions_);
            task.homes_.push_back({ReplyComponent::Home, home, CallId{}});
        }
    }
}

// Creates a task from the report of a worker on which an earlier holder has started it.
static GroupTask &adopt(Group &group, const WorkerTaskReport &report, Context &context)
{
    auto &task = group.tasks_[report.task_];
    task = std::make_unique<GroupTask>();
    task->id_ = report.task_;
    task->sequence_ = ++group.lastSequence_;
    task->team_ = &findOrAddTeam(group, report.team_, context);
    task->class_ = report.class_;
    task->size_ = report.size_;
    task->size_.slots_ = 1;
    task->idempotent_ = report.idempotent_;
    task->arrivedAt_ = context.now_;
    // A task of an unknown class counts as journaled, so that its result is kept until the home has it.
    const WorkClass *workClass = findClass(context.bundle_, report.class_);
    task->mode_ = workClass == nullptr ? WorkMode::Journaled : workClass->mode_;
    task->priority_ = workClass == nullptr ? Priority::Normal : workClass->priority_;
    task->mayHaveRun_ = true;
    if (needsJournal(*task)) {
        // The home may have journaled the outcome already; it is sent again to get the acknowledgement.
        addHomeOfJob(*task, report.team_, context);
    }
    return *task;
}

// Assigns a task to the worker that reports it as running.
static void assignRunning(Group &group, GroupWorker &worker, GroupTask &task, const WorkerTaskReport &report,
                          Context &context)
{
    assignToWorker(group, task, worker, TaskStage::Running, context);
    task.confirmedAt_ = context.now_;
    onRunning(group, worker, task, report, context);
    addPreemptible(group, task, context);
    if (task.cancelled_) {
        requestStop(group, task, StopMode::Stop, context);
    }
}

// The task is on this worker although it is assigned elsewhere or has ended: it is stopped and its record dropped.
static void onUnexpectedTask(Group &group, GroupWorker &worker, const WorkerTaskReport &report, Context &context)
{
    const auto unexpected = worker.unexpectedTasks_.find(report.task_);
    if (report.outcome_ != Outcome::Running) {
        if (unexpected != worker.unexpectedTasks_.end()) {
            releaseCapacity(group, worker, unexpected->second, context.now_);
            worker.unexpectedTasks_.erase(unexpected);
        }
        worker.acks_.push_back(report.task_);
        return;
    }
    if (unexpected == worker.unexpectedTasks_.end()) {
        Resources size = report.size_;
        size.slots_ = 1;
        worker.unexpectedTasks_.emplace(report.task_, size);
        reserveCapacity(group, worker, size, context.now_);
        logLine(context, LogLevel::Warning,
                "[group] stopping task " + report.task_.job_.value_ + " on " + worker.info_.id_.value_
                    + ": it is assigned elsewhere or has ended");
    }
    worker.stops_.push_back(report.task_);
    queueWorkerFlush(group, worker);
}

// Report about a task that the group does not have: an outcome is recorded, or an earlier holder started it.
static void onUnknownTask(Group &group, GroupWorker &worker, const WorkerTaskReport &report, TimePoint sentAt,
                          Context &context)
{
    const OutcomeRecord *known = findOutcome(group, report.task_, context.now_);
    if (known != nullptr && known->kind_ != OutcomeKind::ReportedAbsent) {
        if (report.outcome_ != Outcome::Running || known->expiresAt_ - detail::OutcomeRetention < sentAt) {
            onUnexpectedTask(group, worker, report, context);
        }
        return;
    }
    if (report.outcome_ == Outcome::NotRun) {
        return;
    }
    GroupTask &task = adopt(group, report, context);
    if (report.outcome_ == Outcome::Running) {
        assignRunning(group, worker, task, report, context);
        return;
    }
    task.worker_ = worker.index_;
    finishTask(group, task, resultOf(report, worker), context);
}

// Report about a task that the group has, but that is not assigned to this worker.
static void onReportFromOtherWorker(Group &group, GroupWorker &worker, GroupTask &task, const WorkerTaskReport &report,
                                    TimePoint sentAt, Context &context)
{
    if (sentAt <= task.removedAt_ && task.removedAt_ != TimePoint{}) {
        return; // the call was sent before the task was removed from its last worker
    }
    const bool placedElsewhere = holdsResources(task.stage_) || task.stage_ == TaskStage::Finished
        || task.stage_ == TaskStage::Clearing || task.gang_ != nullptr;
    if (task.stage_ == TaskStage::Finished && task.worker_ == worker.index_) {
        return; // acknowledged to the worker after the home has acknowledged it
    }
    if (task.stage_ == TaskStage::Clearing && task.worker_ == worker.index_) {
        return; // the worker will drop its record when it gets the acknowledgement
    }
    if (placedElsewhere) {
        onUnexpectedTask(group, worker, report, context);
        return;
    }
    // The task is being checked or queued here, but an earlier holder had started it on this worker.
    dequeue(group, task);
    removeDeadline(group, task);
    group.candidateQueries_.erase({task.nextQuery_, task.sequence_, &task});
    if (task.waitsForWorkers_) {
        task.waitsForWorkers_ = false;
        --group.tasksWaitingForWorkers_;
    }
    task.waitsForSecondCandidate_ = false;
    if (report.outcome_ == Outcome::Running) {
        assignRunning(group, worker, task, report, context);
    } else if (report.outcome_ != Outcome::NotRun) {
        task.worker_ = worker.index_;
        finishTask(group, task, resultOf(report, worker), context);
    }
}

void applyReport(Group &group, GroupWorker &worker, const WorkerTaskReport &report, TimePoint sentAt, Context &context)
{
    GroupTask *task = findTask(group, report.task_);
    if (task == nullptr) {
        onUnknownTask(group, worker, report, sentAt, context);
    } else if (!holdsResources(task->stage_) || task->worker_ != worker.index_) {
        onReportFromOtherWorker(group, worker, *task, report, sentAt, context);
    } else if (task->stage_ == TaskStage::Placed) {
        // The report is older than the start call, whose answer reports the task again.
        return;
    } else if (report.outcome_ == Outcome::Running) {
        onRunning(group, worker, *task, report, context);
    } else if (isFinal(report.outcome_) && !(sentAt <= task->removedAt_ && task->removedAt_ != TimePoint{})) {
        onEnded(group, worker, *task, report, context);
    }
}

} // namespace mimosapier
