// Frees capacity for urgent tasks by stopping, checkpointing or throttling tasks whose class allows it, and stops tasks
// above a lowered limit.
#include "core/group/group_internal.h"

#include <algorithm>

namespace mimosapier
{

// Order of preemption, cheapest first: checkpoints before stops, batch before normal work, newest tasks first.
static TaskCost costOf(GroupTask &task, bool checkpoint)
{
    constexpr std::int64_t StopRank = 2;
    const std::int64_t rank = (checkpoint ? 0 : StopRank) + (task.priority_ == Priority::Batch ? 0 : 1);
    // The newest task loses the least work, so the order within a rank is by descending sequence.
    return {rank, ~task.sequence_, &task};
}

void addPreemptible(Group &group, GroupTask &task, Context &context)
{
    const WorkClass *workClass = findClass(context.bundle_, task.class_);
    // A non-idempotent task is never started again, so it is not stopped for other work.
    if (task.preemptible_ || workClass == nullptr || task.job_ == nullptr || task.priority_ == Priority::Urgent
        || task.gang_ != nullptr || !task.idempotent_ || !(workClass->mayCheckpoint_ || workClass->mayStop_)) {
        return;
    }
    task.preemptible_ = true;
    task.mayCheckpoint_ = workClass->mayCheckpoint_;
    group.preemptibleTasks_.insert(costOf(task, task.mayCheckpoint_));
}

void removePreemptible(Group &group, GroupTask &task)
{
    if (task.preemptible_) {
        task.preemptible_ = false;
        group.preemptibleTasks_.erase(costOf(task, task.mayCheckpoint_));
    }
}

static void preempt(Group &group, GroupTask &task, Context &context)
{
    const StopMode mode = task.mayCheckpoint_ ? StopMode::Checkpoint : StopMode::Stop;
    removePreemptible(group, task);
    task.preempted_ = true;
    ++group.openPreemptions_;
    ++group.preemptions_;
    requestStop(group, task, mode, context);
}

// Cheapest task whose end would let `size` fit on its worker; nullptr when none of the first MaxCandidates tasks does.
static GroupTask *findVictim(Group &group, const Resources &size)
{
    constexpr std::uint32_t MaxCandidates = 64;
    std::uint32_t tried = 0;
    for (const TaskCost &cost : group.preemptibleTasks_) {
        GroupTask &task = *std::get<2>(cost);
        const GroupWorker &worker = *group.workers_[task.worker_];
        const bool usable = worker.holdConfirmed_ && worker.inInstanceList_ && !worker.reportedLeaving_
            && !worker.info_.leaving_ && !worker.quarantined_;
        if (usable && fits(size, worker.free_ + task.size_)) {
            return &task;
        }
        if (++tried == MaxCandidates) {
            break;
        }
    }
    return nullptr;
}

void preemptForUrgent(Group &group, Context &context)
{
    constexpr auto Urgent = static_cast<std::uint32_t>(Priority::Urgent);
    constexpr std::uint32_t MaxTasksPerTeam = 16;
    const std::vector<GroupTeam *> waiting = group.teamsLackingCapacity_[Urgent];
    std::vector<GroupTeam *> teams(waiting);
    for (const auto &entry : group.readyTeams_[Urgent]) {
        teams.push_back(std::get<2>(entry));
    }
    for (GroupTeam *team : teams) {
        const GroupTask *task = team->queues_.at(Urgent).first_;
        std::uint32_t chosen = 0;
        for (; task != nullptr && chosen < MaxTasksPerTeam && group.openPreemptions_ < group.queuedTasks_.at(Urgent);
             task = task->next_) {
            if (!hasAllowance(group, *team, ++chosen)) {
                break;
            }
            GroupTask *victim = findVictim(group, task->size_);
            if (victim == nullptr) {
                break;
            }
            preempt(group, *victim, context);
        }
    }
}

void throttleForUrgent(Group &group, const GroupTask &urgent, Context &context)
{
    const GroupWorker &worker = *group.workers_[urgent.worker_];
    std::int64_t excess = worker.measuredUse_.milliCpus_ + urgent.size_.milliCpus_ - worker.info_.capacity_.milliCpus_;
    std::vector<GroupTask *> candidates;
    if (excess <= 0) {
        return;
    }
    for (GroupTask *task : worker.tasks_) {
        const WorkClass *workClass = findClass(context.bundle_, task->class_);
        if (task->stage_ == TaskStage::Running && !task->throttled_ && task->priority_ != Priority::Urgent
            && workClass != nullptr && workClass->mayThrottle_) {
            candidates.push_back(task);
        }
    }
    std::sort(candidates.begin(), candidates.end(), [](const GroupTask *left, const GroupTask *right) {
        return std::pair(right->priority_, right->measuredUse_.milliCpus_)
            < std::pair(left->priority_, left->measuredUse_.milliCpus_);
    });
    for (GroupTask *task : candidates) {
        if (excess <= 0) {
            return;
        }
        excess -= task->measuredUse_.milliCpus_;
        task->throttled_ = true;
        requestStop(group, *task, StopMode::Throttle, context);
    }
}

void stopAboveLimit(Group &group, Context &context)
{
    for (GroupTeam *team : group.teamList_) {
        const Team *config = findTeam(context.bundle_, team->id_);
        if (team->running_ == 0 || config == nullptr || config->limitAction_ != LimitAction::Stop
            || !allowanceKnown(*group.allowances_, group.id_, team->id_)) {
            continue;
        }
        const std::uint32_t usable = usableAllowance(*group.allowances_, group.id_, team->id_);
        if (team->running_ <= usable) {
            continue;
        }
        std::vector<GroupTask *> running;
        std::uint32_t stopping = 0;
        for (const auto &worker : group.workers_) {
            for (GroupTask *task : worker->tasks_) {
                if (task->team_ != team || task->stage_ != TaskStage::Running) {
                    continue;
                }
                if (task->stopSentAt_ != TimePoint{} && !task->throttled_) {
                    ++stopping;
                } else {
                    running.push_back(task);
                }
            }
        }
        std::sort(running.begin(), running.end(), [](const GroupTask *left, const GroupTask *right) {
            return std::pair(right->priority_, right->sequence_) < std::pair(left->priority_, left->sequence_);
        });
        for (GroupTask *task : running) {
            if (team->running_ <= usable + stopping) {
                break;
            }
            ++stopping;
            const WorkClass *workClass = findClass(context.bundle_, task->class_);
            const bool checkpoint = workClass != nullptr && workClass->mayCheckpoint_;
            if (task->idempotent_ && task->job_ != nullptr && task->gang_ == nullptr && !task->preempted_) {
                // Queued again when it has stopped; waits there until the limit allows it.
                removePreemptible(group, *task);
                task->preempted_ = true;
                ++group.openPreemptions_;
            }
            requestStop(group, *task, checkpoint ? StopMode::Checkpoint : StopMode::Stop, context);
        }
    }
}

} // namespace mimosapier
