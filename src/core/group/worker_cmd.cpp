// Calls to workers and their results.
#include "core/group/group_internal.h"

#include "core/message/directory_func.h"

#include <algorithm>

namespace mimosapier
{

void touchWorker(Group &group, GroupWorker &worker)
{
    if (!worker.touched_) {
        worker.touched_ = true;
        group.touchedWorkers_.push_back(worker.index_);
    }
}

void setDue(Group &group, GroupWorker &worker, TimePoint due)
{
    if (worker.due_ == due) {
        return;
    }
    if (worker.due_ != TimePoint::max()) {
        group.timers_.erase({worker.due_, worker.index_});
    }
    worker.due_ = due;
    if (due != TimePoint::max()) {
        group.timers_.insert({due, worker.index_});
    }
}

static WorkerOpId sendCall(Group &group, GroupWorker &worker, CallKind kind, WorkerOp op, std::vector<TaskId> tasks,
                           Context &context)
{
    const WorkerOpId id{context.actions_.nextId()};
    group.calls_.emplace(id.value_, OpenCall{kind, worker.index_, context.now_, std::move(tasks)});
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

// Only tasks whose final result this group keeps until the home has it may be left out of the worker's answers.
static void cleanFinished(Group &group, GroupWorker &worker)
{
    std::erase_if(worker.finished_, [&](const TaskId &id) {
        const GroupTask *task = findTask(group, id);
        return task == nullptr || task->stage_ != TaskStage::Finished || task->worker_ != worker.index_;
    });
}

static WorkerOpId sendPoll(Group &group, GroupWorker &worker, Milliseconds wait, Context &context)
{
    cleanFinished(group, worker);
    WorkerPoll poll{std::move(worker.acks_), detail::TaskLease, wait, worker.finished_};
    worker.acks_.clear();
    worker.urgentAcks_ = false;
    std::vector<TaskId> acks = poll.acks_;
    return sendCall(group, worker, CallKind::Poll, std::move(poll), std::move(acks), context);
}

static bool hasTasks(const GroupWorker &worker)
{
    return !worker.tasks_.empty() || !worker.strays_.empty() || !worker.acks_.empty();
}

// True when the worker is gone for good and nothing of it counts any more.
static bool isGone(Group &group, GroupWorker &worker, Context &context)
{
    if (worker.listed_ || hasTasks(worker)) {
        return false;
    }
    if (worker.acknowledged_ || !worker.counted_) {
        return true;
    }
    const TimePoint end = worker.droppedAt_ + detail::TaskLease + detail::LeaseMargin;
    if (context.now_ < end) {
        setDue(group, worker, end);
        return true;
    }
    worker.counted_ = false;
    group.unacknowledgedSlots_ -= static_cast<std::uint32_t>(worker.info_.capacity_.slots_);
    --group.unacknowledged_;
    releaseWaiting(group, context);
    return true;
}

void contactWorker(Group &group, GroupWorker &worker, Context &context)
{
    setDue(group, worker, TimePoint::max());
    if (group.fenced_ || isGone(group, worker, context)) {
        return;
    }
    const bool open = worker.contact_.value_ != 0;
    const bool needsHold = !worker.held_ || worker.uncertain_ > 0;
    if (open && (!needsHold || worker.extraOpen_)) {
        return;
    }
    if (!needsHold) {
        const bool idle = !hasTasks(worker) && worker.finished_.empty();
        const Milliseconds wait = idle ? detail::IdlePollWait : detail::PollWait;
        worker.contact_ = sendPoll(group, worker, wait, context);
        return;
    }
    if (open) {
        worker.extraOpen_ = true;
        sendHold(group, worker, context);
        return;
    }
    if (hasTasks(worker) && worker.openRenewals_ == 0 && worker.acknowledged_ && !worker.held_) {
        if (context.now_ >= worker.leaseEnd_ && isConfirmedHolder(context, group.id_, group.epoch_)) {
            endTasksOf(group, worker, context);
            worker.silent_ = false;
        } else if (worker.silent_) {
            // Asks without renewing, so that the lease can end.
            worker.contact_ = sendCall(group, worker, CallKind::Stop, WorkerStop{}, {}, context);
            return;
        }
    }
    worker.contact_ = sendHold(group, worker, context);
}

void runTimers(Group &group, Context &context)
{
    while (!group.timers_.empty() && group.timers_.begin()->first <= context.now_) {
        GroupWorker &worker = *group.workers_[group.timers_.begin()->second];
        setDue(group, worker, TimePoint::max());
        if (worker.quarantined_) {
            showFree(group, worker, context.now_);
            group.freedWorkers_.push_back(worker.index_);
        }
        contactWorker(group, worker, context);
    }
}

void acknowledge(Group &group, WorkerIndex index, const TaskId &task)
{
    group.workers_[index]->acks_.push_back(task);
}

void settleFirst(Group &group, GroupTask &task)
{
    GroupWorker &worker = *group.workers_[task.worker_];
    setStage(group, task, TaskStage::Settling);
    worker.acks_.push_back(task.id_);
    worker.urgentAcks_ = true;
    touchWorker(group, worker);
}

void requestStop(Group &group, GroupTask &task, StopMode mode, Context &context)
{
    GroupWorker &worker = *group.workers_[task.worker_];
    task.stopSent_ = context.now_;
    std::vector<TaskId> &list = mode == StopMode::Stop ? worker.stops_
        : mode == StopMode::Checkpoint                 ? worker.checkpoints_
                                                       : worker.throttles_;
    list.push_back(task.id_);
    touchWorker(group, worker);
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

static WorkerTask describe(const GroupTask &task)
{
    const JobSpec &job = *task.job_;
    return {task.id_, job.team_, job.class_, job.requestId_, job.size_, job.idempotent_, job.payload_};
}

static void sendStarts(Group &group, GroupWorker &worker, Context &context)
{
    std::size_t next = 0;
    while (next < worker.pending_.size() && worker.openStarts_ < static_cast<std::uint32_t>(worker.startLimit_)) {
        const std::size_t end = std::min(worker.pending_.size(), next + detail::StartBatchMax);
        WorkerStart start{{}, detail::TaskLease};
        std::vector<TaskId> ids;
        const WorkerOpId expected{context.actions_.lastId_ + 1};
        for (; next < end; ++next) {
            GroupTask &task = *worker.pending_[next];
            task.startCall_ = expected;
            setStage(group, task, TaskStage::Starting);
            start.tasks_.push_back(describe(task));
            ids.push_back(task.id_);
        }
        ++worker.openStarts_;
        ++group.openStarts_;
        sendCall(group, worker, CallKind::Start, std::move(start), std::move(ids), context);
    }
    worker.pending_.erase(worker.pending_.begin(), worker.pending_.begin() + static_cast<std::ptrdiff_t>(next));
}

void flushWorkers(Group &group, Context &context)
{
    for (std::size_t i = 0; i < group.touchedWorkers_.size(); ++i) {
        GroupWorker &worker = *group.workers_[group.touchedWorkers_[i]];
        worker.touched_ = false;
        if (group.fenced_) {
            continue;
        }
        if (worker.held_) {
            sendStarts(group, worker, context);
        }
        sendStops(group, worker, worker.stops_, StopMode::Stop, context);
        sendStops(group, worker, worker.checkpoints_, StopMode::Checkpoint, context);
        sendStops(group, worker, worker.throttles_, StopMode::Throttle, context);
        if (worker.urgentAcks_ && !worker.extraOpen_ && worker.held_) {
            worker.extraOpen_ = true;
            sendPoll(group, worker, Milliseconds(0), context);
        }
    }
    group.touchedWorkers_.clear();
}

// A call has failed: nothing new is placed on the worker until a hold is answered.
static void onWorkerError(Group &group, GroupWorker &worker, Context &context)
{
    ++worker.errors_;
    worker.held_ = false;
    if (hasTasks(worker) && context.now_ - worker.lastAnswer_ > detail::SilenceLimit) {
        worker.silent_ = true;
    }
    showFree(group, worker, context.now_);
    // Refusing a task of a gang also takes off others, so the list is read anew each time.
    while (!worker.pending_.empty()) {
        onStartRefused(group, *worker.pending_.front(), ErrorKind::WorkerLost, context);
    }
    if (worker.contact_.value_ == 0 || !worker.extraOpen_) {
        const auto doubled = detail::WorkerRetryMin * (std::int64_t{1} << std::min(worker.errors_ - 1, 8U));
        const Milliseconds wait = std::min<Milliseconds>(doubled, detail::WorkerRetryMax);
        const auto jitter = Milliseconds(context.random_() % static_cast<std::uint64_t>(wait.count() / 4 + 1));
        setDue(group, worker, context.now_ + wait + jitter);
    }
}

static void onStartResult(Group &group, GroupWorker &worker, const OpenCall &call, const WorkerResult &result,
                          Context &context)
{
    --worker.openStarts_;
    --group.openStarts_;
    if (result.status_ == WorkerStatus::Ok) {
        worker.startLimit_ = std::min(detail::OpenStartsMax, worker.startLimit_ + 1 / worker.startLimit_);
        for (const WorkerTaskReport &report : result.tasks_) {
            const GroupTask *task = findTask(group, report.task_);
            // A poll may have told more than this result in the meantime.
            if (task != nullptr && task->startCall_ == result.id_) {
                applyReport(group, worker, report, call.sent_, context);
            }
        }
    } else if (result.status_ == WorkerStatus::Unknown) {
        worker.startLimit_ = std::max(detail::OpenStartsMin, worker.startLimit_ / 2);
    }
    const bool refused = result.status_ == WorkerStatus::Refused;
    const ErrorKind error = worker.leaving_ ? ErrorKind::WorkerLeaving : ErrorKind::WorkerFull;
    for (const TaskId &id : call.tasks_) {
        GroupTask *task = findTask(group, id);
        if (task == nullptr || task->startCall_ != result.id_ || task->stage_ != TaskStage::Starting) {
            continue;
        }
        if (refused) {
            onStartRefused(group, *task, error, context);
        } else {
            setStage(group, *task, TaskStage::Uncertain);
            setDue(group, worker, context.now_);
        }
    }
    touchWorker(group, worker);
}

static void onPollResult(Group &group, GroupWorker &worker, const OpenCall &call, const WorkerResult &result,
                         Context &context)
{
    if (result.status_ != WorkerStatus::Ok) {
        worker.acks_.insert(worker.acks_.end(), call.tasks_.begin(), call.tasks_.end());
        return;
    }
    for (const WorkerTaskReport &report : result.tasks_) {
        applyReport(group, worker, report, call.sent_, context);
    }
    for (const TaskId &id : call.tasks_) {
        requeueSettled(group, id, context);
    }
}

static void onStopResult(Group &group, GroupWorker &worker, const OpenCall &call, const WorkerResult &result,
                         Context &context)
{
    if (result.status_ == WorkerStatus::Ok) {
        for (const WorkerTaskReport &report : result.tasks_) {
            applyReport(group, worker, report, call.sent_, context);
        }
    }
}

// Plans the next contact after a hold, poll or ping has ended well.
static void planContact(Group &group, GroupWorker &worker, const OpenCall &call, Context &context)
{
    constexpr Milliseconds UncertainWait{500};
    constexpr Milliseconds QuickPoll{5}; // a poll that returned sooner is not repeated at once
    constexpr Milliseconds QuickWait{20};
    if (worker.uncertain_ > 0) {
        setDue(group, worker, context.now_ + UncertainWait);
    } else if (call.kind_ == CallKind::Poll && context.now_ - call.sent_ < QuickPoll) {
        setDue(group, worker, context.now_ + QuickWait);
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
    beginStep(group, context);
    const auto found = group.calls_.find(result.id_.value_);
    if (found == group.calls_.end()) {
        return;
    }
    const OpenCall call = std::move(found->second);
    group.calls_.erase(found);
    GroupWorker &worker = *group.workers_[call.worker_];
    const bool contact = worker.contact_ == result.id_;
    if (contact) {
        worker.contact_ = {};
    } else if (call.kind_ == CallKind::Hold || call.kind_ == CallKind::Poll) {
        worker.extraOpen_ = false;
    }
    if (call.kind_ != CallKind::Stop) {
        --worker.openRenewals_;
        if (result.status_ == WorkerStatus::Ok || result.status_ == WorkerStatus::Unknown) {
            // The call may have renewed the lease until now.
            const TimePoint end = context.now_ + detail::TaskLease + detail::LeaseMargin;
            worker.leaseEnd_ = std::max(worker.leaseEnd_, end);
        }
    }
    if (result.status_ == WorkerStatus::StaleEpoch || result.highestEpoch_ > group.epoch_) {
        fence(group, context);
        finishStep(group, context);
        return;
    }
    if (result.status_ == WorkerStatus::Ok) {
        worker.lastAnswer_ = context.now_;
        worker.errors_ = 0;
        worker.silent_ = false;
    }
    if (result.leaving_ || result.status_ == WorkerStatus::Ok) {
        worker.leaving_ = result.leaving_ || (worker.leaving_ && call.kind_ == CallKind::Stop);
        showFree(group, worker, context.now_);
    }
    onCallResult(group, worker, call, result, context);
    if (result.status_ == WorkerStatus::Unknown
        || (result.status_ == WorkerStatus::Refused && (call.kind_ != CallKind::Start || !result.leaving_))) {
        onWorkerError(group, worker, context);
    } else if (contact) {
        planContact(group, worker, call, context);
    }
    finishStep(group, context);
}

} // namespace mimosapier
