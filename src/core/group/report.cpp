// What workers report about tasks.
#include "core/group/group_internal.h"

#include "core/common/shard_func.h"

#include <algorithm>

namespace mimosapier
{

static std::int64_t elapsedMs(TimePoint from, TimePoint to)
{
    return std::chrono::duration_cast<Milliseconds>(to - from).count();
}

static void learn(Group &group, const GroupTask &task, TimePoint now)
{
    constexpr double Weight = 0.1; // of the newest sample
    ClassEstimate &estimate = task.team_->estimates_[task.class_];
    const auto run = static_cast<double>(elapsedMs(task.confirmed_, now));
    estimate.runMs_ = estimate.runMs_ == 0 ? run : estimate.runMs_ + Weight * (run - estimate.runMs_);
    if (task.used_.milliCpus_ > 0 && task.size_.milliCpus_ > 0) {
        const double ratio = static_cast<double>(task.used_.milliCpus_) / static_cast<double>(task.size_.milliCpus_);
        estimate.cpuRatio_ += Weight * (ratio - estimate.cpuRatio_);
    }
    if (group.lastFinish_ != TimePoint{}) {
        constexpr double LongestGap = 60'000;
        const double gap
            = std::min(LongestGap, std::chrono::duration<double, std::milli>(now - group.lastFinish_).count());
        group.finishGapMs_ = group.finishGapMs_ == 0 ? gap : group.finishGapMs_ + Weight * (gap - group.finishGapMs_);
    }
    group.lastFinish_ = now;
}

void noteOutcome(Group &group, GroupWorker &worker, GroupTeam &team, bool success, Context &context)
{
    if (success) {
        team.lastFailed_ = NoWorker;
        worker.failures_ = 0;
        worker.quarantined_ = false;
        worker.probeWait_ = Milliseconds(0);
        showFree(group, worker, context.now_);
        return;
    }
    // A team that fails on one worker after the other has faulty work; the worker is not to blame.
    const bool teamFault = team.lastFailed_ != NoWorker && team.lastFailed_ != worker.index_;
    team.lastFailed_ = worker.index_;
    if (teamFault && !worker.quarantined_) {
        return;
    }
    ++worker.failures_;
    if (worker.failures_ < detail::QuarantineAfter) {
        return;
    }
    worker.quarantined_ = true;
    worker.probeWait_ = std::clamp(worker.probeWait_ * 2, detail::QuarantineMin, detail::QuarantineMax);
    worker.nextProbe_ = context.now_ + worker.probeWait_;
    if (worker.due_ > worker.nextProbe_) {
        setDue(group, worker, worker.nextProbe_);
    }
    showFree(group, worker, context.now_);
    logLine(context, LogLevel::Warning, "[group] worker " + worker.info_.id_.value_ + " is quarantined");
}

void requeueSettled(Group &group, const TaskId &id, Context &context)
{
    GroupTask *task = findTask(group, id);
    if (task == nullptr || task->stage_ != TaskStage::Settling) {
        return;
    }
    task->worker_ = NoWorker;
    if (task->gang_ != nullptr) {
        onGangMemberAtRest(group, *task, context);
    } else if (task->cancelled_) {
        finishTask(group, *task, {0, Outcome::Cancelled, ErrorKind::Cancelled, {}, {}}, context);
    } else if (group.fenced_ || group.stopping_) {
        task->mayHaveRun_ = true;
        refuseTask(group, *task, ErrorKind::NotHolder, context);
    } else {
        enqueue(group, *task);
    }
}

// Queues a task again that ran before; first the worker has to forget it.
static void restart(Group &group, GroupTask &task, bool workerKnowsIt, Context &context)
{
    task.mayHaveRun_ = true;
    if (task.mode_ != WorkMode::Interactive) {
        unlistDeadline(group, task);
        task.deadline_ = TimePoint::max();
    }
    if (workerKnowsIt) {
        settleFirst(group, task);
    } else {
        setStage(group, task, TaskStage::Settling);
        requeueSettled(group, task.id_, context);
    }
}

void onTaskLost(Group &group, GroupTask &task, ErrorKind error, bool workerKnowsIt, Context &context)
{
    const WorkerId lastWorker = task.lastWorker_;
    if (task.gang_ != nullptr) {
        const GroupGang &gang = *task.gang_;
        if ((gang.failed_ || canRestartGang(group, gang)) && onGangFailure(group, task, error, context)) {
            return;
        }
        // Others have ended already, so the task goes on alone.
        leaveGang(group, task);
    }
    if (task.idempotent_ && task.cancelled_) {
        finishTask(group, task, {0, Outcome::Cancelled, ErrorKind::Cancelled, lastWorker, {}}, context);
        return;
    }
    const bool late = task.mode_ == WorkMode::Interactive && context.now_ >= task.deadline_;
    if (task.idempotent_ && task.job_ != nullptr && !late && task.restarts_ < detail::RestartsMax && !group.fenced_
        && !group.stopping_) {
        ++task.restarts_;
        restart(group, task, workerKnowsIt, context);
        return;
    }
    finishTask(group, task, {0, Outcome::Unknown, error, lastWorker, {}}, context);
}

void onStartRefused(Group &group, GroupTask &task, ErrorKind error, Context &context)
{
    takeOffWorker(group, task, context);
    task.worker_ = NoWorker;
    // An interactive task has a deadline, so lost workers need no other bound.
    const bool counts = error != ErrorKind::WorkerLost || needsJournal(task);
    task.startTries_ += counts ? 1 : 0;
    if (task.gang_ != nullptr && onGangFailure(group, task, error, context)) {
        return;
    }
    if (task.cancelled_) {
        finishTask(group, task, {0, Outcome::Cancelled, ErrorKind::Cancelled, {}, {}}, context);
    } else if (group.fenced_ || group.stopping_) {
        refuseTask(group, task, ErrorKind::NotHolder, context);
    } else if (task.gang_ != nullptr || task.startTries_ >= detail::StartTriesMax) {
        refuseTask(group, task, error, context);
    } else {
        enqueue(group, task);
    }
}

static void onRunning(Group &group, GroupWorker &worker, GroupTask &task, const WorkerTaskReport &report,
                      Context &context)
{
    worker.used_ += report.used_ - task.used_;
    task.used_ = report.used_;
    if (task.stage_ == TaskStage::Starting || task.stage_ == TaskStage::Uncertain) {
        setStage(group, task, TaskStage::Running);
        task.confirmed_ = context.now_;
        listPreemptible(group, task, context);
        const bool gangFailed = task.gang_ != nullptr && task.gang_->failed_;
        if (task.cancelled_ || gangFailed) {
            requestStop(group, task, StopMode::Stop, context);
        }
    } else if (task.stopSent_ != TimePoint{} && !task.throttled_
               && context.now_ - task.stopSent_ >= detail::StopRepeat) {
        requestStop(group, task, task.preempted_ && task.mayCheckpoint_ ? StopMode::Checkpoint : StopMode::Stop,
                    context);
    }
}

static TaskResult resultOf(const WorkerTaskReport &report, const GroupWorker &worker)
{
    return {report.task_.index_, report.outcome_, report.error_, worker.info_.id_, report.result_};
}

// The task has ended on the worker that it was placed on.
static void onEnded(Group &group, GroupWorker &worker, GroupTask &task, const WorkerTaskReport &report,
                    Context &context)
{
    if (report.outcome_ == Outcome::NotRun) {
        if (report.error_ == ErrorKind::TaskFailed) {
            noteOutcome(group, worker, *task.team_, false, context);
        }
        onStartRefused(group, task, report.error_, context);
        return;
    }
    const bool preempted = task.preempted_;
    if (task.stage_ == TaskStage::Starting || task.stage_ == TaskStage::Uncertain) {
        task.confirmed_ = task.placed_;
    }
    learn(group, task, context.now_);
    const bool lapsed = report.outcome_ == Outcome::Failed && report.error_ == ErrorKind::TaskLeaseLapsed;
    takeOffWorker(group, task, context);
    if (report.outcome_ == Outcome::Done || (report.outcome_ == Outcome::Failed && !lapsed)) {
        noteOutcome(group, worker, *task.team_, report.outcome_ == Outcome::Done, context);
    }
    if (task.gang_ != nullptr && task.gang_->failed_ && task.gang_->restart_) {
        settleFirst(group, task);
    } else if (lapsed) {
        onTaskLost(group, task, ErrorKind::TaskLeaseLapsed, true, context);
    } else if (report.outcome_ == Outcome::Cancelled && preempted && !task.cancelled_ && task.idempotent_
               && !group.fenced_ && !group.stopping_) {
        restart(group, task, true, context);
    } else if (report.outcome_ == Outcome::Cancelled && !task.cancelled_ && task.idempotent_
               && (task.gang_ == nullptr || !task.gang_->failed_)) {
        // A stop of an earlier run of the task has arrived late.
        onTaskLost(group, task, ErrorKind::Preempted, true, context);
    } else {
        TaskResult result = resultOf(report, worker);
        if (result.outcome_ == Outcome::Cancelled && !task.cancelled_) {
            // Nobody asked for it: a gang that could not start, or a lowered limit.
            const bool gangFailed = task.gang_ != nullptr && task.gang_->failed_;
            result.outcome_ = gangFailed ? Outcome::Failed : Outcome::Cancelled;
            result.error_ = gangFailed ? task.gang_->error_ : ErrorKind::LimitReached;
        }
        finishTask(group, task, std::move(result), context);
    }
}

// Names the home partition of a job by the bundle.
static void nameHome(GroupTask &task, const TeamId &team, Context &context)
{
    const Team *config = findTeam(context.bundle_, team);
    for (const RegionConfig &region : context.bundle_.regions_) {
        if (config != nullptr && region.id_ == config->homeRegion_ && region.partitions_ > 0) {
            const ShardId home = homePartition(task.id_.job_, region.id_, region.partitions_);
            task.homes_.push_back({ReplyPart::Home, home, CallId{}});
        }
    }
}

static GroupTask &adopt(Group &group, const WorkerTaskReport &report, Context &context)
{
    auto &task = group.tasks_[report.task_];
    task = std::make_unique<GroupTask>();
    task->id_ = report.task_;
    task->sequence_ = ++group.lastSequence_;
    task->team_ = &teamOf(group, report.team_, context);
    task->class_ = report.class_;
    task->size_ = report.size_;
    task->size_.slots_ = 1;
    task->idempotent_ = report.idempotent_;
    task->arrived_ = context.now_;
    // Unknown classes are treated as journaled: the result is kept until the home has it.
    const WorkClass *workClass = findClass(context.bundle_, report.class_);
    task->mode_ = workClass == nullptr ? WorkMode::Journaled : workClass->mode_;
    task->priority_ = workClass == nullptr ? Priority::Normal : workClass->priority_;
    task->mayHaveRun_ = true;
    if (needsJournal(*task)) {
        // The home may have journaled the outcome already; it is told again, so that it acknowledges it.
        nameHome(*task, report.team_, context);
    }
    return *task;
}

// Makes a running task part of the worker's load.
static void bindRunning(Group &group, GroupWorker &worker, GroupTask &task, const WorkerTaskReport &report,
                        Context &context)
{
    putOnWorker(group, task, worker, TaskStage::Running, context);
    task.confirmed_ = context.now_;
    onRunning(group, worker, task, report, context);
    listPreemptible(group, task, context);
    if (task.cancelled_) {
        requestStop(group, task, StopMode::Stop, context);
    }
}

// A task that runs here although it is known to be elsewhere is stopped.
static void onStray(Group &group, GroupWorker &worker, const WorkerTaskReport &report, Context &context)
{
    const auto stray = worker.strays_.find(report.task_);
    if (report.outcome_ != Outcome::Running) {
        if (stray != worker.strays_.end()) {
            freeOn(group, worker, stray->second, context.now_);
            worker.strays_.erase(stray);
        }
        worker.acks_.push_back(report.task_);
        return;
    }
    if (stray == worker.strays_.end()) {
        Resources size = report.size_;
        size.slots_ = 1;
        worker.strays_.emplace(report.task_, size);
        reserveOn(group, worker, size, context.now_);
        logLine(context, LogLevel::Warning,
                "[group] stops task " + report.task_.job_.value_ + " on " + worker.info_.id_.value_
                    + ": it is not expected there");
    }
    worker.stops_.push_back(report.task_);
    touchWorker(group, worker);
}

// Report about a task that the group does not have.
static void onUnknownTask(Group &group, GroupWorker &worker, const WorkerTaskReport &report, TimePoint sent,
                          Context &context)
{
    const Remembered *known = recall(group, report.task_, context.now_);
    if (known != nullptr && known->kind_ != MemoryKind::LookedUp) {
        if (report.outcome_ != Outcome::Running || known->until_ - detail::RememberTime < sent) {
            onStray(group, worker, report, context);
        }
        return;
    }
    if (report.outcome_ == Outcome::NotRun) {
        return;
    }
    GroupTask &task = adopt(group, report, context);
    if (report.outcome_ == Outcome::Running) {
        bindRunning(group, worker, task, report, context);
        return;
    }
    task.worker_ = worker.index_;
    finishTask(group, task, resultOf(report, worker), context);
}

// Report about a task that is not on this worker.
static void onForeignTask(Group &group, GroupWorker &worker, GroupTask &task, const WorkerTaskReport &report,
                          TimePoint sent, Context &context)
{
    if (sent <= task.takenOff_ && task.takenOff_ != TimePoint{}) {
        return; // told before the task left its last worker
    }
    const bool placedElsewhere = holdsResources(task.stage_) || task.stage_ == TaskStage::Finished
        || task.stage_ == TaskStage::Settling || task.gang_ != nullptr;
    if (task.stage_ == TaskStage::Finished && task.worker_ == worker.index_) {
        return; // waits for the acknowledgement of the home
    }
    if (task.stage_ == TaskStage::Settling && task.worker_ == worker.index_) {
        return; // the acknowledgement is under way
    }
    if (placedElsewhere) {
        onStray(group, worker, report, context);
        return;
    }
    // Checked or queued here while the previous holder had started it.
    dequeue(group, task);
    unlistDeadline(group, task);
    group.checking_.erase({task.nextAsk_, task.sequence_, &task});
    if (task.waitsForWorkers_) {
        task.waitsForWorkers_ = false;
        --group.waitingForWorkers_;
    }
    task.waitsForSecond_ = false;
    if (report.outcome_ == Outcome::Running) {
        bindRunning(group, worker, task, report, context);
    } else if (report.outcome_ != Outcome::NotRun) {
        task.worker_ = worker.index_;
        finishTask(group, task, resultOf(report, worker), context);
    }
}

void applyReport(Group &group, GroupWorker &worker, const WorkerTaskReport &report, TimePoint sent, Context &context)
{
    GroupTask *task = findTask(group, report.task_);
    if (task == nullptr) {
        onUnknownTask(group, worker, report, sent, context);
    } else if (!holdsResources(task->stage_) || task->worker_ != worker.index_) {
        onForeignTask(group, worker, *task, report, sent, context);
    } else if (task->stage_ == TaskStage::Placed) {
        // Told before the start was sent; the start shows it again.
        return;
    } else if (report.outcome_ == Outcome::Running) {
        onRunning(group, worker, *task, report, context);
    } else if (isFinal(report.outcome_) && !(sent <= task->takenOff_ && task->takenOff_ != TimePoint{})) {
        onEnded(group, worker, *task, report, context);
    }
}

} // namespace mimosapier
