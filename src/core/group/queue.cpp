// Waiting tasks: the queues of the teams, deadlines for the start, and the estimated wait.
#include "core/group/group_internal.h"

#include <algorithm>

namespace mimosapier
{

static std::uint32_t queuedTaskCount(const GroupTask &task)
{
    return task.gang_ == nullptr ? 1 : static_cast<std::uint32_t>(task.gang_->tasks_.size());
}

void enqueue(Group &group, GroupTask &task)
{
    setStage(group, task, TaskStage::Queued);
    addDeadline(group, task);
    const auto priority = static_cast<std::uint32_t>(task.priority_);
    TaskQueue &queue = task.team_->queues_.at(priority);
    task.inQueue_ = true;
    task.previous_ = queue.last_;
    task.next_ = nullptr;
    (queue.last_ == nullptr ? queue.first_ : queue.last_->next_) = &task;
    queue.last_ = &task;
    queue.taskCount_ += queuedTaskCount(task);
    group.queuedTasks_.at(priority) += queuedTaskCount(task);
    queueDemandReport(group, *task.team_);
    // The new task may be smaller than those that do not fit, so a team that lacks capacity is tried again.
    setReady(group, *task.team_, priority);
}

void dequeue(Group &group, GroupTask &task)
{
    if (!task.inQueue_) {
        return;
    }
    const auto priority = static_cast<std::uint32_t>(task.priority_);
    TaskQueue &queue = task.team_->queues_.at(priority);
    (task.previous_ == nullptr ? queue.first_ : task.previous_->next_) = task.next_;
    (task.next_ == nullptr ? queue.last_ : task.next_->previous_) = task.previous_;
    task.previous_ = nullptr;
    task.next_ = nullptr;
    task.inQueue_ = false;
    queue.taskCount_ -= queuedTaskCount(task);
    group.queuedTasks_.at(priority) -= queuedTaskCount(task);
    queueDemandReport(group, *task.team_);
    if (queue.first_ == nullptr) {
        clearReady(group, *task.team_, priority);
    }
}

void addDeadline(Group &group, GroupTask &task)
{
    if (!task.inDeadlines_ && task.deadline_ != TimePoint::max()) {
        task.inDeadlines_ = true;
        group.deadlines_.insert({task.deadline_, task.sequence_, &task});
    }
}

void removeDeadline(Group &group, GroupTask &task)
{
    if (task.inDeadlines_) {
        task.inDeadlines_ = false;
        group.deadlines_.erase({task.deadline_, task.sequence_, &task});
    }
}

static void expireTask(Group &group, GroupTask &task, Context &context)
{
    TaskResult result;
    result.outcome_ = Outcome::NotRun;
    result.error_ = ErrorKind::DeadlinePassed;
    if (task.stage_ == TaskStage::AtSecondCandidate) {
        result.outcome_ = Outcome::Unknown;
        result.error_ = ErrorKind::OutcomeUnknown;
    } else if (task.waitsForSecondCandidate_) {
        // The second candidate has not answered, so it may have run the task.
        result.outcome_ = Outcome::Unknown;
        result.error_ = ErrorKind::PeerUnavailable;
    } else if (task.waitsForWorkers_ || task.mayHaveRun_) {
        result.outcome_ = Outcome::Unknown;
    }
    task.worker_ = NoWorker;
    finishTask(group, task, std::move(result), context);
}

void endExpiredTasks(Group &group, Context &context)
{
    while (!group.deadlines_.empty() && std::get<0>(*group.deadlines_.begin()) <= context.now_) {
        GroupTask &task = *std::get<2>(*group.deadlines_.begin());
        removeDeadline(group, task);
        if (task.gang_ != nullptr && task.stage_ == TaskStage::Queued) {
            const std::vector<GroupTask *> members = task.gang_->tasks_;
            releaseReservation(group, *task.gang_, context.now_);
            for (GroupTask *member : members) {
                expireTask(group, *member, context);
            }
        } else if (task.stage_ == TaskStage::Checking || task.stage_ == TaskStage::Queued
                   || task.stage_ == TaskStage::AtSecondCandidate || task.stage_ == TaskStage::Clearing) {
            // A task in stage Clearing gets its deadline back when it is queued again.
            if (task.stage_ != TaskStage::Clearing) {
                expireTask(group, task, context);
            }
        }
    }
}

Milliseconds waitEstimate(const Group &group, Priority priority, TimePoint now)
{
    std::uint32_t ahead = 0;
    for (std::uint32_t i = 0; i <= static_cast<std::uint32_t>(priority); ++i) {
        ahead += group.queuedTasks_.at(i);
    }
    if (group.freeSlots_ > static_cast<std::int64_t>(ahead) || group.finishIntervalMs_ <= 0
        || group.totalCapacity_.slots_ <= 0) {
        return Milliseconds(0);
    }
    const double sinceLast = std::chrono::duration<double, std::milli>(now - group.lastFinish_).count();
    // When no task has finished for long, the average is too low.
    const double interval = std::max(group.finishIntervalMs_, sinceLast / 2);
    constexpr double MaxWaitMs = 600'000;
    const auto wait = static_cast<std::int64_t>(std::min(MaxWaitMs, (ahead + 1) * interval));
    constexpr std::int64_t PreemptionWaitMs = 500;
    if (priority == Priority::Urgent && group.preemptibleTasks_.size() > ahead) {
        return Milliseconds(std::min(wait, PreemptionWaitMs));
    }
    return Milliseconds(wait);
}

} // namespace mimosapier
