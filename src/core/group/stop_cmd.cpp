// Cancellations, acknowledgements of the home, hand-over to another daemon, and fencing.
#include "core/group/group_internal.h"

#include <algorithm>

namespace mimosapier
{

// Cancels all tasks of a gang that has not started, because a gang does not start in part.
static void cancelWaitingGang(Group &group, GroupGang &gang, Context &context)
{
    const std::vector<GroupTask *> members = gang.tasks_;
    releaseReservation(group, gang, context.now_);
    for (GroupTask *member : members) {
        finishTask(group, *member, {0, Outcome::Cancelled, ErrorKind::Cancelled, {}, {}}, context);
    }
}

static void cancelTask(Group &group, GroupTask &task, Context &context)
{
    task.cancelled_ = true;
    switch (task.stage_) {
    case TaskStage::Checking:
        // The task may run elsewhere; it is cancelled when the checks are done.
        if (task.waitsForSecondCandidate_ || task.waitsForWorkers_) {
            return;
        }
        [[fallthrough]];
    case TaskStage::Queued:
        if (task.gang_ != nullptr) {
            cancelWaitingGang(group, *task.gang_, context);
            return;
        }
        finishTask(group, task, {0, Outcome::Cancelled, ErrorKind::Cancelled, {}, {}}, context);
        return;
    case TaskStage::Placed:
        removeFromWorker(group, task, context);
        task.worker_ = NoWorker;
        if (task.gang_ == nullptr || !onGangFailure(group, task, ErrorKind::Cancelled, context)) {
            finishTask(group, task, {0, Outcome::Cancelled, ErrorKind::Cancelled, {}, {}}, context);
        }
        return;
    case TaskStage::Running:
        requestStop(group, task, StopMode::Stop, context);
        return;
    case TaskStage::Starting:
    case TaskStage::Uncertain: // stopped when the worker reports the task as running
    case TaskStage::Clearing:
    case TaskStage::AtSecondCandidate:
    case TaskStage::Finished:
        return;
    }
}

void onTaskCancel(Group &group, const TaskCancel &message, Context &context)
{
    beginEvent(group, context);
    for (const TaskId &id : message.tasks_) {
        if (GroupTask *task = findTask(group, id)) {
            cancelTask(group, *task, context);
        } else if (findOutcome(group, id, context.now_) == nullptr) {
            // The offer may still arrive on another connection.
            OutcomeRecord entry;
            entry.kind_ = OutcomeKind::Cancelled;
            entry.result_ = {id.index_, Outcome::Cancelled, ErrorKind::Cancelled, {}, {}};
            recordOutcome(group, id, std::move(entry), context);
        }
    }
    finishEvent(group, context);
}

void onTaskAck(Group &group, const TaskAck &message, Context &context)
{
    beginEvent(group, context);
    for (const TaskId &id : message.tasks_) {
        GroupTask *task = findTask(group, id);
        if (task == nullptr || task->stage_ != TaskStage::Finished) {
            continue;
        }
        queueAck(group, task->worker_, id);
        if (task->result_.outcome_ != Outcome::Done) {
            // The home may offer the task again, and the worker starts it only after it has dropped the earlier run.
            GroupWorker &worker = *group.workers_[task->worker_];
            worker.sendAcksNow_ = true;
            queueWorkerFlush(group, worker);
        }
        recordTaskOutcome(group, *task, task->result_, context);
        eraseTask(group, *task);
    }
    finishEvent(group, context);
}

// In the order in which the tasks arrived.
static std::vector<GroupTask *> tasksInOrder(const Group &group)
{
    std::vector<GroupTask *> tasks;
    tasks.reserve(group.tasks_.size());
    for (const auto &[id, task] : group.tasks_) {
        tasks.push_back(task.get());
    }
    std::sort(tasks.begin(), tasks.end(),
              [](const GroupTask *left, const GroupTask *right) { return left->sequence_ < right->sequence_; });
    return tasks;
}

// Refuses all tasks whose start was not sent. The error is NotHolder, so that they go to the next holder.
static void refuseUnstarted(Group &group, Context &context)
{
    for (GroupTask *task : tasksInOrder(group)) {
        const bool unsent = task->stage_ == TaskStage::Checking || task->stage_ == TaskStage::Queued
            || task->stage_ == TaskStage::Placed;
        if (!unsent) {
            continue;
        }
        if (task->stage_ == TaskStage::Placed) {
            removeFromWorker(group, *task, context);
            task->worker_ = NoWorker;
        } else if (task->gang_ != nullptr) {
            releaseReservation(group, *task->gang_, context.now_);
            dequeue(group, *task->gang_->tasks_.front());
        }
        refuseTask(group, *task, ErrorKind::NotHolder, context);
    }
}

void stopStarting(Group &group, Context &context)
{
    beginEvent(group, context);
    if (!group.stopping_) {
        group.stopping_ = true;
        group.stoppingSince_ = context.now_;
        refuseUnstarted(group, context);
        for (const auto &worker : group.workers_) {
            updateIndexedFree(group, *worker, context.now_);
        }
    }
    finishEvent(group, context);
}

void fence(Group &group, Context &context)
{
    if (group.fenced_) {
        return;
    }
    group.fenced_ = true;
    logLine(context, LogLevel::Warning,
            "[group] " + group.id_.value_ + " is held by another daemon with a higher epoch");
    refuseUnstarted(group, context);
    for (const auto &worker : group.workers_) {
        updateIndexedFree(group, *worker, context.now_);
        scheduleContact(group, *worker, TimePoint::max());
    }
    for (GroupTask *task : tasksInOrder(group)) {
        // Homes turn to the next holder by themselves; entries need an answer, because the next holder does not know
        // them.
        std::erase_if(task->requesters_, [&](std::uint64_t id) {
            const auto requester = group.requesters_.find(id);
            if (requester == group.requesters_.end() || requester->second.replyTo_.component_ == ReplyComponent::Home) {
                return false;
            }
            answerRequester(group, id, {task->id_.index_, Outcome::Unknown, ErrorKind::NotHolder, {}, {}});
            return true;
        });
    }
}

bool isFenced(const Group &group)
{
    return group.fenced_;
}

bool canHandOver(const Group &group)
{
    if (group.fenced_) {
        return true;
    }
    if (!group.stopping_ || group.openStarts_ > 0) {
        return false;
    }
    if (group.now_ - group.stoppingSince_ >= detail::HandOverWait) {
        return true;
    }
    // Interactive requests in progress are answered first, because the next holder does not know their requesters.
    return std::none_of(group.tasks_.begin(), group.tasks_.end(), [](const auto &entry) {
        return !needsJournal(*entry.second) && !entry.second->requesters_.empty();
    });
}

} // namespace mimosapier
