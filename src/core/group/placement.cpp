// Places waiting tasks on workers, and keeps the capacity index and the usage of teams up to date.
#include "core/group/group_internal.h"

#include <algorithm>

namespace mimosapier
{

// Capacity in which tasks may be placed on the worker now; zero when none may. A quarantined worker gets one task at a
// time, from nextProbe_ on.
static Resources placeableCapacity(const Group &group, const GroupWorker &worker, TimePoint now)
{
    const bool usable = worker.epochAcknowledged_ && worker.holdConfirmed_ && worker.inInstanceList_
        && !worker.reportedLeaving_ && !worker.info_.leaving_ && !worker.silent_ && !group.fenced_ && !group.stopping_;
    const Resources &free = worker.free_;
    if (!usable || free.slots_ <= 0 || free.milliCpus_ < 0 || free.memoryMb_ < 0 || free.accelerators_ < 0) {
        return {};
    }
    if (!worker.quarantined_) {
        return free;
    }
    if (now < worker.nextProbe_ || !worker.tasks_.empty()) {
        return {};
    }
    Resources probe = free;
    probe.slots_ = 1;
    return probe;
}

void updateIndexedFree(Group &group, GroupWorker &worker, TimePoint now)
{
    const Resources indexed = placeableCapacity(group, worker, now);
    if (indexed == worker.indexedFree_) {
        return;
    }
    if (!fits(indexed, worker.indexedFree_)) {
        group.freedWorkers_.push_back(worker.index_);
    }
    group.freeSlots_ += indexed.slots_ - worker.indexedFree_.slots_;
    worker.indexedFree_ = indexed;
    setFree(group.capacity_, worker.index_, indexed);
}

void reserveCapacity(Group &group, GroupWorker &worker, const Resources &size, TimePoint now)
{
    worker.free_ -= size;
    updateIndexedFree(group, worker, now);
}

void releaseCapacity(Group &group, GroupWorker &worker, const Resources &size, TimePoint now)
{
    worker.free_ += size;
    updateIndexedFree(group, worker, now);
    group.freedWorkers_.push_back(worker.index_);
}

void setStage(Group &group, GroupTask &task, TaskStage stage)
{
    if (task.worker_ != NoWorker) {
        GroupWorker &worker = *group.workers_[task.worker_];
        worker.uncertainTasks_ -= task.stage_ == TaskStage::Uncertain ? 1 : 0;
        worker.uncertainTasks_ += stage == TaskStage::Uncertain ? 1 : 0;
    }
    task.stage_ = stage;
}

void assignToWorker(Group &group, GroupTask &task, GroupWorker &worker, TaskStage stage, Context &context)
{
    task.worker_ = worker.index_;
    task.lastWorker_ = worker.info_.id_;
    task.position_ = static_cast<std::uint32_t>(worker.tasks_.size());
    worker.tasks_.push_back(&task);
    setStage(group, task, stage);
    task.placedAt_ = context.now_;
    task.preempted_ = false;
    task.throttled_ = false;
    task.stopSentAt_ = {};
    task.absenceProvenAfter_ = {};
    addUsage(group, *task.team_, task.size_);
    ++task.team_->running_;
    queueDemandReport(group, *task.team_);
    reserveCapacity(group, worker, task.size_, context.now_);
    if (stage == TaskStage::Placed) {
        worker.unsentStarts_.push_back(&task);
        queueWorkerFlush(group, worker);
        ++group.placements_;
    }
}

void removeFromWorker(Group &group, GroupTask &task, Context &context)
{
    GroupWorker &worker = *group.workers_[task.worker_];
    if (task.stage_ == TaskStage::Placed) {
        std::erase(worker.unsentStarts_, &task);
    }
    setStage(group, task, TaskStage::Clearing);
    task.removedAt_ = context.now_;
    task.startCall_ = {};
    removePreemptible(group, task);
    if (task.preempted_) {
        --group.openPreemptions_;
    }
    task.preempted_ = false;
    worker.tasks_.back()->position_ = task.position_;
    worker.tasks_[task.position_] = worker.tasks_.back();
    worker.tasks_.pop_back();
    worker.measuredUse_ -= task.measuredUse_;
    task.measuredUse_ = {};
    GroupTeam &team = *task.team_;
    removeUsage(group, team, task.size_);
    --team.running_;
    queueDemandReport(group, team);
    if (team.atAllowance_) {
        team.atAllowance_ = false;
        std::erase(group.teamsAtAllowance_, &team);
        for (std::uint32_t priority = 0; priority < detail::PriorityCount; ++priority) {
            setReady(group, team, priority);
        }
    }
    releaseCapacity(group, worker, task.size_, context.now_);
}

// Services are spread: the worker with the fewest tasks of the same job is preferred.
static std::size_t tasksOfSameJob(const GroupWorker &worker, const GroupTask &task)
{
    return static_cast<std::size_t>(
        std::count_if(worker.tasks_.begin(), worker.tasks_.end(),
                      [&task](const GroupTask *other) { return other->id_.job_ == task.id_.job_; }));
}

// Journaled work and gangs are packed tightly; interactive work and services are spread. NoWorker when none fits.
static WorkerIndex chooseWorker(Group &group, const GroupTask &task)
{
    if (task.mode_ == WorkMode::Journaled || task.mode_ == WorkMode::Gang) {
        return findFit(group.capacity_, task.size_, FitPolicy::Tightest);
    }
    std::array<WorkerIndex, 6> candidates{};
    // Interactive work compares the measured load of two workers, which is enough to avoid the most loaded ones.
    const std::size_t wanted = task.mode_ == WorkMode::Service ? candidates.size() : 2;
    const std::uint32_t count
        = findLooseFits(group.capacity_, task.size_, std::span<WorkerIndex>(candidates).first(wanted));
    WorkerIndex best = NoWorker;
    std::pair<std::size_t, std::int64_t> bestCost;
    for (std::uint32_t i = 0; i < count; ++i) {
        const GroupWorker &worker = *group.workers_[candidates.at(i)];
        const std::size_t same = task.mode_ == WorkMode::Service ? tasksOfSameJob(worker, task) : 0;
        const std::pair<std::size_t, std::int64_t> cost{same, worker.measuredUse_.milliCpus_};
        if (best == NoWorker || cost < bestCost) {
            best = candidates.at(i);
            bestCost = cost;
        }
    }
    return best;
}

static void setAtAllowance(Group &group, GroupTeam &team)
{
    if (team.atAllowance_) {
        return;
    }
    for (std::uint32_t priority = 0; priority < detail::PriorityCount; ++priority) {
        clearReady(group, team, priority);
    }
    team.atAllowance_ = true;
    group.teamsAtAllowance_.push_back(&team);
    queueDemandReport(group, team);
}

// Places one of the first QueueHeadsTried tasks of the team's queue. When none fits, the team waits until capacity is
// released.
static void placeFirst(Group &group, GroupTeam &team, std::uint32_t priority, Context &context)
{
    if (!hasAllowance(group, team, 1)) {
        setAtAllowance(group, team);
        return;
    }
    GroupTask *task = team.queues_.at(priority).first_;
    Resources failedSize;
    for (std::uint32_t tried = 0; task != nullptr && tried < detail::QueueHeadsTried; ++tried, task = task->next_) {
        if (task->gang_ != nullptr) {
            GroupGang &gang = *task->gang_;
            const GangPlacement placed = placeGang(group, gang, context);
            if (placed == GangPlacement::Placed) {
                return;
            }
            // The gang waits outside the queue, so that it does not block the tasks behind it.
            dequeue(group, *task);
            if (!gang.waiting_) {
                gang.waiting_ = true;
                group.waitingGangs_.push_back(&gang);
            }
            return;
        }
        if (task->size_ == failedSize) {
            continue;
        }
        const WorkerIndex worker = chooseWorker(group, *task);
        if (worker != NoWorker) {
            dequeue(group, *task);
            removeDeadline(group, *task);
            assignToWorker(group, *task, *group.workers_[worker], TaskStage::Placed, context);
            if (task->priority_ == Priority::Urgent) {
                throttleForUrgent(group, *task, context);
            }
            return;
        }
        failedSize = task->size_;
    }
    clearReady(group, team, priority);
    if (!team.lacksCapacity_.at(priority)) {
        team.lacksCapacity_.at(priority) = true;
        group.teamsLackingCapacity_[priority].push_back(&team);
    }
}

// Makes teams ready again whose first tasks fit on a worker that has released capacity.
static void retryTeamsLackingCapacity(Group &group)
{
    for (std::uint32_t priority = 0; priority < detail::PriorityCount; ++priority) {
        std::vector<GroupTeam *> &waiting = group.teamsLackingCapacity_[priority];
        for (std::size_t i = 0; i < waiting.size();) {
            GroupTeam &team = *waiting[i];
            bool fitting = false;
            const GroupTask *task = team.queues_.at(priority).first_;
            for (std::uint32_t tried = 0; task != nullptr && !fitting && tried < detail::QueueHeadsTried;
                 ++tried, task = task->next_) {
                fitting = std::any_of(group.freedWorkers_.begin(), group.freedWorkers_.end(), [&](WorkerIndex worker) {
                    return fits(task->size_, group.workers_[worker]->indexedFree_);
                });
            }
            if (!fitting && team.queues_.at(priority).first_ != nullptr) {
                ++i;
                continue;
            }
            team.lacksCapacity_.at(priority) = false;
            waiting[i] = waiting.back();
            waiting.pop_back();
            setReady(group, team, priority);
        }
    }
}

void placeAll(Group &group, Context &context)
{
    if (group.fenced_ || group.stopping_) {
        return;
    }
    refreshWeightedShares(group, context);
    if (!group.freedWorkers_.empty()) {
        retryTeamsLackingCapacity(group);
        if (group.reservingGang_ != nullptr) {
            placeGang(group, *group.reservingGang_, context);
        }
        group.freedWorkers_.clear();
    }
    while (group.freeSlots_ > 0) {
        const std::uint32_t priority = selectPriority(group);
        if (priority == detail::PriorityCount) {
            break;
        }
        placeFirst(group, *std::get<2>(*group.readyTeams_[priority].begin()), priority, context);
    }
    if (group.queuedTasks_.front() > group.openPreemptions_) {
        preemptForUrgent(group, context);
    }
}

} // namespace mimosapier
