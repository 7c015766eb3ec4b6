// Calls to workers: holds, starts, polls and stops, their results, and the timing of the next call.
//
// Normally a hold, poll or ping is open to each worker (contactCall_). A failed call sets holdConfirmed_ to false;
// the next hold then lists the tasks of the worker, and nothing new is placed on it before.
#include "core/group/group_internal.h"

#include "core/message/directory_func.h"

#include <algorithm>

namespace mimosapier
{

void queueWorkerFlush(Group &group, GroupWorker &worker)
{
    if (!worker.flushQueued_) {
        worker.flushQueued_ = true;
        group.workersToFlush_.push_back(worker.index_);
    }
}

void scheduleContact(Group &group, GroupWorker &worker, TimePoint due)
{
    if (worker.contactDue_ == due) {
        return;
    }
    if (worker.contactDue_ != TimePoint::max()) {
        group.timers_.erase({worker.contactDue_, worker.index_});
    }
    worker.contactDue_ = due;
    if (due != TimePoint::max()) {
        group.timers_.insert({due, worker.index_});
    }
}

static WorkerOpId sendCall(Group &group, GroupWorker &worker, CallKind kind, WorkerOp op, std::vector<TaskId> tasks,
                           Context &context)
{
    const WorkerOpId id{context.actions_.nextId()};
    group.openCalls_.emplace(id.value_, OpenCall{kind, worker.index_, context.now_, std::move(tasks)});
    if (kind != CallKind::Stop) {
        ++worker.openRenewals_;
    }
    context.actions_.push(
        WorkerRequest{id, group.id_, worker.info_.id_, worker.info_.address_, group.epoch_, std::move(op)});
    return id;
}

static WorkerOpId sendHold(Group &group, GroupWorker &worker, Context &context)
{
    return sendCall(group, worker, CallKind::Hold, WorkerHold{context.self_, detail::TaskLease}, {}, context);
}

// The worker leaves these tasks out of its answers, so the list may only have tasks whose result the group keeps.
static void pruneFinishedTasks(Group &group, GroupWorker &worker)
{
    std::erase_if(worker.finishedTasks_, [&](const TaskId &id) {
        const GroupTask *task = findTask(group, id);
        return task == nullptr || task->stage_ != TaskStage::Finished || task->worker_ != worker.index_;
    });
}

static WorkerOpId sendPoll(Group &group, GroupWorker &worker, Milliseconds wait, Context &context)
{
    pruneFinishedTasks(group, worker);
    WorkerPoll poll{std::move(worker.acks_), detail::TaskLease, wait, worker.finishedTasks_};
    worker.acks_.clear();
    worker.sendAcksNow_ = false;
    std::vector<TaskId> acks = poll.acks_;
    return sendCall(group, worker, CallKind::Poll, std::move(poll), std::move(acks), context);
}

static bool hasTasks(const GroupWorker &worker)
{
    return !worker.tasks_.empty() || !worker.unexpectedTasks_.empty() || !worker.acks_.empty();
}

// Returns true when the worker is not listed and has no tasks, so that it needs no calls. One that never acknowledged
// the epoch counts as unacknowledged until the lease from an earlier holder must have ended.
static bool retireUnlistedWorker(Group &group, GroupWorker &worker, Context &context)
{
    if (worker.inInstanceList_ || hasTasks(worker)) {
        return false;
    }
    if (worker.epochAcknowledged_ || !worker.countsAsUnacknowledged_) {
        return true;
    }
    const TimePoint end = worker.unlistedAt_ + detail::TaskLease + detail::LeaseMargin;
    if (context.now_ < end) {
        scheduleContact(group, worker, end);
        return true;
    }
    worker.countsAsUnacknowledged_ = false;
    group.unacknowledgedSlots_ -= static_cast<std::uint32_t>(worker.info_.capacity_.slots_);
    --group.unacknowledgedWorkers_;
    resumeWaitingTasks(group, context);
    return true;
}

void contactWorker(Group &group, GroupWorker &worker, Context &context)
{
    scheduleContact(group, worker, TimePoint::max());
    if (group.fenced_ || retireUnlistedWorker(group, worker, context)) {
        return;
    }
    const bool callOpen = worker.contactCall_.value_ != 0;
    const bool needsHold = !worker.holdConfirmed_ || worker.uncertainTasks_ > 0;
    if (callOpen && (!needsHold || worker.extraCallOpen_)) {
        return;
    }
    if (!needsHold) {
        const bool idle = !hasTasks(worker) && worker.finishedTasks_.empty();
        const Milliseconds wait = idle ? detail::IdlePollWait : detail::PollWait;
        worker.contactCall_ = sendPoll(group, worker, wait, context);
        return;
    }
    if (callOpen) {
        worker.extraCallOpen_ = true;
        sendHold(group, worker, context);
        return;
    }
    if (hasTasks(worker) && worker.openRenewals_ == 0 && worker.epochAcknowledged_ && !worker.holdConfirmed_) {
        if (context.now_ >= worker.leaseEnd_ && isConfirmedHolder(context, group.id_, group.epoch_)) {
            onWorkerLeaseEnd(group, worker, context);
            worker.silent_ = false;
        } else if (worker.silent_) {
            // An empty stop serves as a ping: it does not renew the lease, so that the lease can end.
            worker.contactCall_ = sendCall(group, worker, CallKind::Stop, WorkerStop{}, {}, context);
            return;
        }
    }
    worker.contactCall_ = sendHold(group, worker, context);
}

void runTimers(Group &group, Context &context)
{
    while (!group.timers_.empty() && group.timers_.begin()->first <= context.now_) {
        GroupWorker &worker = *group.workers_[group.timers_.begin()->second];
        scheduleContact(group, worker, TimePoint::max());
        if (worker.quarantined_) {
            updateIndexedFree(group, worker, context.now_);
            group.freedWorkers_.push_back(worker.index_);
        }
        contactWorker(group, worker, context);
    }
}

void queueAck(Group &group, WorkerIndex index, const TaskId &task)
{
    group.workers_[index]->acks_.push_back(task);
}

void clearThenRequeue(Group &group, GroupTask &task)
{
    GroupWorker &worker = *group.workers_[task.worker_];
    setStage(group, task, TaskStage::Clearing);
    worker.acks_.push_back(task.id_);
    worker.sendAcksNow_ = true;
    queueWorkerFlush(group, worker);
}

void requestStop(Group &group, GroupTask &task, StopMode mode, Context &context)
{
    GroupWorker &worker = *group.workers_[task.worker_];
    task.stopSentAt_ = context.now_;
    std::vector<TaskId> &list = mode == StopMode::Stop ? worker.stops_
        : mode == StopMode::Checkpoint                 ? worker.checkpoints_
                                                       : worker.throttles_;
    list.push_back(task.id_);
    queueWorkerFlush(group, worker);
}

static void sendStops(Group &group, GroupWorker &worker, std::vector<TaskId> &tasks, StopMode mode, Context &context)
{
    if (!tasks.empty()) {
        WorkerStop stop{std::move(tasks), mode};
        tasks.clear();
        std::vector<TaskId> sent = stop.tasks_;
        sendCall(group, worker, CallKind::Stop, std::move(stop), std::move(sent), context);
    }
}

static WorkerTask workerTaskOf(const GroupTask &task)
{
    const JobSpec &job = *task.job_;
    return {task.id_, job.team_, job.class_, job.requestId_, job.size_, job.idempotent_, job.payload_};
}

static void sendStarts(Group &group, GroupWorker &worker, Context &context)
{
    std::size_t next = 0;
    while (next < worker.unsentStarts_.size() && worker.openStarts_ < static_cast<std::uint32_t>(worker.startLimit_)) {
        const std::size_t end = std::min(worker.unsentStarts_.size(), next + detail::StartBatchMax);
        WorkerStart start{{}, detail::TaskLease};
        std::vector<TaskId> ids;
        const WorkerOpId nextCallId{context.actions_.lastId_ + 1};
        for (; next < end; ++next) {
            GroupTask &task = *worker.unsentStarts_[next];
            task.startCall_ = nextCallId;
            setStage(group, task, TaskStage::Starting);
            start.tasks_.push_back(workerTaskOf(task));
            ids.push_back(task.id_);
        }
        ++worker.openStarts_;
        ++group.openStarts_;
        sendCall(group, worker, CallKind::Start, std::move(start), std::move(ids), context);
    }
    worker.unsentStarts_.erase(worker.unsentStarts_.begin(),
                               worker.unsentStarts_.begin() + static_cast<std::ptrdiff_t>(next));
}

void flushWorkers(Group &group, Context &context)
{
    for (std::size_t i = 0; i < group.workersToFlush_.size(); ++i) {
        GroupWorker &worker = *group.workers_[group.workersToFlush_[i]];
        worker.flushQueued_ = false;
        if (group.fenced_) {
            continue;
        }
        if (worker.holdConfirmed_) {
            sendStarts(group, worker, context);
        }
        sendStops(group, worker, worker.stops_, StopMode::Stop, context);
        sendStops(group, worker, worker.checkpoints_, StopMode::Checkpoint, context);
        sendStops(group, worker, worker.throttles_, StopMode::Throttle, context);
        if (worker.sendAcksNow_ && !worker.extraCallOpen_ && worker.holdConfirmed_) {
            worker.extraCallOpen_ = true;
            sendPoll(group, worker, Milliseconds(0), context);
        }
    }
    group.workersToFlush_.clear();
}

// A call has failed: nothing new is placed on the worker until a hold is answered. Calls are repeated with exponential
// delay and jitter.
static void onWorkerError(Group &group, GroupWorker &worker, Context &context)
{
    ++worker.consecutiveCallFailures_;
    worker.holdConfirmed_ = false;
    if (hasTasks(worker) && context.now_ - worker.lastAnswer_ > detail::SilenceLimit) {
        worker.silent_ = true;
    }
    updateIndexedFree(group, worker, context.now_);
    // Refusing one task of a gang may remove others, so the first element is read again each time.
    while (!worker.unsentStarts_.empty()) {
        onStartRefused(group, *worker.unsentStarts_.front(), ErrorKind::WorkerLost, context);
    }
    if (worker.contactCall_.value_ == 0 || !worker.extraCallOpen_) {
        const auto doubled
            = detail::WorkerRetryMin * (std::int64_t{1} << std::min(worker.consecutiveCallFailures_ - 1, 8U));
        const Milliseconds wait = std::min<Milliseconds>(doubled, detail::WorkerRetryMax);
        const auto jitter = Milliseconds(context.random_() % static_cast<std::uint64_t>(wait.count() / 4 + 1));
        scheduleContact(group, worker, context.now_ + wait + jitter);
    }
}

static void onStartResult(Group &group, GroupWorker &worker, const OpenCall &call, const WorkerResult &result,
                          Context &context)
{
    --worker.openStarts_;
    --group.openStarts_;
    if (result.status_ == WorkerStatus::Ok) {
        worker.startLimit_ = std::min(detail::StartLimitMax, worker.startLimit_ + 1 / worker.startLimit_);
        for (const WorkerTaskReport &report : result.tasks_) {
            const GroupTask *task = findTask(group, report.task_);
            // Skips tasks that a later poll has already reported and that were placed again since.
            if (task != nullptr && task->startCall_ == result.id_) {
                applyReport(group, worker, report, call.sentAt_, context);
            }
        }
    } else if (result.status_ == WorkerStatus::Unknown) {
        worker.startLimit_ = std::max(detail::StartLimitMin, worker.startLimit_ / 2);
    }
    const bool refused = result.status_ == WorkerStatus::Refused;
    const ErrorKind error = worker.reportedLeaving_ ? ErrorKind::WorkerLeaving : ErrorKind::WorkerFull;
    for (const TaskId &id : call.tasks_) {
        GroupTask *task = findTask(group, id);
        if (task == nullptr || task->startCall_ != result.id_ || task->stage_ != TaskStage::Starting) {
            continue;
        }
        if (refused) {
            onStartRefused(group, *task, error, context);
        } else {
            setStage(group, *task, TaskStage::Uncertain);
            scheduleContact(group, worker, context.now_);
        }
    }
    queueWorkerFlush(group, worker);
}

static void onPollResult(Group &group, GroupWorker &worker, const OpenCall &call, const WorkerResult &result,
                         Context &context)
{
    if (result.status_ != WorkerStatus::Ok) {
        worker.acks_.insert(worker.acks_.end(), call.tasks_.begin(), call.tasks_.end());
        return;
    }
    for (const WorkerTaskReport &report : result.tasks_) {
        applyReport(group, worker, report, call.sentAt_, context);
    }
    for (const TaskId &id : call.tasks_) {
        requeueCleared(group, id, context);
    }
}

static void onStopResult(Group &group, GroupWorker &worker, const OpenCall &call, const WorkerResult &result,
                         Context &context)
{
    if (result.status_ == WorkerStatus::Ok) {
        for (const WorkerTaskReport &report : result.tasks_) {
            applyReport(group, worker, report, call.sentAt_, context);
        }
    }
}

// Schedules the next call after a hold, poll or ping was answered.
static void scheduleNextContact(Group &group, GroupWorker &worker, const OpenCall &call, Context &context)
{
    constexpr Milliseconds UncertainWait{500}; // between holds that resolve uncertain tasks
    constexpr Milliseconds QuickPoll{5}; // a poll answered sooner is followed by a pause of QuickWait
    constexpr Milliseconds QuickWait{20};
    if (worker.uncertainTasks_ > 0) {
        scheduleContact(group, worker, context.now_ + UncertainWait);
    } else if (call.kind_ == CallKind::Poll && context.now_ - call.sentAt_ < QuickPoll) {
        scheduleContact(group, worker, context.now_ + QuickWait);
    } else {
        contactWorker(group, worker, context);
    }
}

static void onCallResult(Group &group, GroupWorker &worker, const OpenCall &call, const WorkerResult &result,
                         Context &context)
{
    switch (call.kind_) {
    case CallKind::Hold:
        onHoldResult(group, worker, call, result, context);
        break;
    case CallKind::Start:
        onStartResult(group, worker, call, result, context);
        break;
    case CallKind::Poll:
        onPollResult(group, worker, call, result, context);
        break;
    case CallKind::Stop:
        onStopResult(group, worker, call, result, context);
        break;
    }
}

void onWorkerResult(Group &group, const WorkerResult &result, Context &context)
{
    beginEvent(group, context);
    const auto found = group.openCalls_.find(result.id_.value_);
    if (found == group.openCalls_.end()) {
        return;
    }
    const OpenCall call = std::move(found->second);
    group.openCalls_.erase(found);
    GroupWorker &worker = *group.workers_[call.worker_];
    const bool isContactCall = worker.contactCall_ == result.id_;
    if (isContactCall) {
        worker.contactCall_ = {};
    } else if (call.kind_ == CallKind::Hold || call.kind_ == CallKind::Poll) {
        worker.extraCallOpen_ = false;
    }
    if (call.kind_ != CallKind::Stop) {
        --worker.openRenewals_;
        if (result.status_ == WorkerStatus::Ok || result.status_ == WorkerStatus::Unknown) {
            // The call may have renewed the lease as late as now.
            const TimePoint end = context.now_ + detail::TaskLease + detail::LeaseMargin;
            worker.leaseEnd_ = std::max(worker.leaseEnd_, end);
        }
    }
    if (result.status_ == WorkerStatus::StaleEpoch || result.highestEpoch_ > group.epoch_) {
        fence(group, context);
        finishEvent(group, context);
        return;
    }
    if (result.status_ == WorkerStatus::Ok) {
        worker.lastAnswer_ = context.now_;
        worker.consecutiveCallFailures_ = 0;
        worker.silent_ = false;
    }
    if (result.leaving_ || result.status_ == WorkerStatus::Ok) {
        worker.reportedLeaving_ = result.leaving_ || (worker.reportedLeaving_ && call.kind_ == CallKind::Stop);
        updateIndexedFree(group, worker, context.now_);
    }
    onCallResult(group, worker, call, result, context);
    if (result.status_ == WorkerStatus::Unknown
        || (result.status_ == WorkerStatus::Refused && (call.kind_ != CallKind::Start || !result.leaving_))) {
        onWorkerError(group, worker, context);
    } else if (isContactCall) {
        scheduleNextContact(group, worker, call, context);
    }
    finishEvent(group, context);
}

} // namespace mimosapier
