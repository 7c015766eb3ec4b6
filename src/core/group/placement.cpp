// Places waiting tasks on workers.
#include "core/group/group_internal.h"

#include <algorithm>

namespace mimosapier
{

// What may be placed on the worker now.
static Resources placeable(const Group &group, const GroupWorker &worker, TimePoint now)
{
    const bool usable = worker.acknowledged_ && worker.held_ && worker.listed_ && !worker.leaving_
        && !worker.info_.leaving_ && !worker.silent_ && !group.fenced_ && !group.stopping_;
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

void showFree(Group &group, GroupWorker &worker, TimePoint now)
{
    const Resources shown = placeable(group, worker, now);
    if (shown == worker.shown_) {
        return;
    }
    if (!fits(shown, worker.shown_)) {
        group.freedWorkers_.push_back(worker.index_);
    }
    group.freeSlots_ += shown.slots_ - worker.shown_.slots_;
    worker.shown_ = shown;
    setFree(group.capacity_, worker.index_, shown);
}

void reserveOn(Group &group, GroupWorker &worker, const Resources &size, TimePoint now)
{
    worker.free_ -= size;
    showFree(group, worker, now);
}

void freeOn(Group &group, GroupWorker &worker, const Resources &size, TimePoint now)
{
    worker.free_ += size;
    showFree(group, worker, now);
    group.freedWorkers_.push_back(worker.index_);
}

void setStage(Group &group, GroupTask &task, TaskStage stage)
{
    if (task.worker_ != NoWorker) {
        GroupWorker &worker = *group.workers_[task.worker_];
        worker.uncertain_ -= task.stage_ == TaskStage::Uncertain ? 1 : 0;
        worker.uncertain_ += stage == TaskStage::Uncertain ? 1 : 0;
    }
    task.stage_ = stage;
}

void putOnWorker(Group &group, GroupTask &task, GroupWorker &worker, TaskStage stage, Context &context)
{
    task.worker_ = worker.index_;
    task.lastWorker_ = worker.info_.id_;
    task.position_ = static_cast<std::uint32_t>(worker.tasks_.size());
    worker.tasks_.push_back(&task);
    setStage(group, task, stage);
    task.placed_ = context.now_;
    task.preempted_ = false;
    task.throttled_ = false;
    task.stopSent_ = {};
    task.settleAfter_ = {};
    charge(group, *task.team_, task.size_);
    ++task.team_->running_;
    noteDemand(group, *task.team_);
    reserveOn(group, worker, task.size_, context.now_);
    if (stage == TaskStage::Placed) {
        worker.pending_.push_back(&task);
        touchWorker(group, worker);
        ++group.placements_;
    }
}

void takeOffWorker(Group &group, GroupTask &task, Context &context)
{
    GroupWorker &worker = *group.workers_[task.worker_];
    if (task.stage_ == TaskStage::Placed) {
        std::erase(worker.pending_, &task);
    }
    setStage(group, task, TaskStage::Settling);
    task.takenOff_ = context.now_;
    task.startCall_ = {};
    unlistPreemptible(group, task);
    if (task.preempted_) {
        --group.preempting_;
    }
    task.preempted_ = false;
    worker.tasks_.back()->position_ = task.position_;
    worker.tasks_[task.position_] = worker.tasks_.back();
    worker.tasks_.pop_back();
    worker.used_ -= task.used_;
    task.used_ = {};
    GroupTeam &team = *task.team_;
    uncharge(group, team, task.size_);
    --team.running_;
    noteDemand(group, team);
    if (team.limited_) {
        team.limited_ = false;
        std::erase(group.limited_, &team);
        for (std::uint32_t priority = 0; priority < detail::PriorityCount; ++priority) {
            setReady(group, team, priority);
        }
    }
    freeOn(group, worker, task.size_, context.now_);
}

// Services are spread: fewest tasks of the same job first.
static std::size_t sameJob(const GroupWorker &worker, const GroupTask &task)
{
    return static_cast<std::size_t>(
        std::count_if(worker.tasks_.begin(), worker.tasks_.end(),
                      [&task](const GroupTask *other) { return other->id_.job_ == task.id_.job_; }));
}

static WorkerIndex chooseWorker(Group &group, const GroupTask &task)
{
    if (task.mode_ == WorkMode::Journaled || task.mode_ == WorkMode::Gang) {
        return findFit(group.capacity_, task.size_, FitPolicy::Tightest);
    }
    std::array<WorkerIndex, 6> candidates{};
    // Interactive work compares two, which already avoids the worst of the measured loads.
    const std::size_t wanted = task.mode_ == WorkMode::Service ? candidates.size() : 2;
    const std::uint32_t count
        = findLooseFits(group.capacity_, task.size_, std::span<WorkerIndex>(candidates).first(wanted));
    WorkerIndex best = NoWorker;
    std::pair<std::size_t, std::int64_t> bestCost;
    for (std::uint32_t i = 0; i < count; ++i) {
        const GroupWorker &worker = *group.workers_[candidates.at(i)];
        const std::size_t same = task.mode_ == WorkMode::Service ? sameJob(worker, task) : 0;
        const std::pair<std::size_t, std::int64_t> cost{same, worker.used_.milliCpus_};
        if (best == NoWorker || cost < bestCost) {
            best = candidates.at(i);
            bestCost = cost;
        }
    }
    return best;
}

static void setLimited(Group &group, GroupTeam &team)
{
    if (team.limited_) {
        return;
    }
    for (std::uint32_t priority = 0; priority < detail::PriorityCount; ++priority) {
        clearReady(group, team, priority);
    }
    team.limited_ = true;
    group.limited_.push_back(&team);
    noteDemand(group, team);
}

// Places one of the first tasks of the team's queue.
static void placeFirst(Group &group, GroupTeam &team, std::uint32_t priority, Context &context)
{
    if (!hasAllowance(group, team, 1)) {
        setLimited(group, team);
        return;
    }
    GroupTask *task = team.queues_.at(priority).first_;
    Resources failed;
    for (std::uint32_t tried = 0; task != nullptr && tried < detail::HeadsTried; ++tried, task = task->next_) {
        if (task->gang_ != nullptr) {
            GroupGang &gang = *task->gang_;
            const PlaceResult placed = placeGang(group, gang, context);
            if (placed == PlaceResult::Placed) {
                return;
            }
            // Waits apart, so that it does not keep the tasks behind it from starting.
            dequeue(group, *task);
            if (!gang.waiting_) {
                gang.waiting_ = true;
                group.waitingGangs_.push_back(&gang);
            }
            return;
        }
        if (task->size_ == failed) {
            continue;
        }
        const WorkerIndex worker = chooseWorker(group, *task);
        if (worker != NoWorker) {
            dequeue(group, *task);
            unlistDeadline(group, *task);
            putOnWorker(group, *task, *group.workers_[worker], TaskStage::Placed, context);
            if (task->priority_ == Priority::Urgent) {
                throttleFor(group, *task, context);
            }
            return;
        }
        failed = task->size_;
    }
    clearReady(group, team, priority);
    if (!team.noRoom_.at(priority)) {
        team.noRoom_.at(priority) = true;
        group.noRoom_[priority].push_back(&team);
    }
}

// Teams whose first tasks fit on a worker that has become freer are tried again.
static void wakeForRoom(Group &group)
{
    for (std::uint32_t priority = 0; priority < detail::PriorityCount; ++priority) {
        std::vector<GroupTeam *> &waiting = group.noRoom_[priority];
        for (std::size_t i = 0; i < waiting.size();) {
            GroupTeam &team = *waiting[i];
            bool fitting = false;
            const GroupTask *task = team.queues_.at(priority).first_;
            for (std::uint32_t tried = 0; task != nullptr && !fitting && tried < detail::HeadsTried;
                 ++tried, task = task->next_) {
                fitting = std::any_of(group.freedWorkers_.begin(), group.freedWorkers_.end(), [&](WorkerIndex worker) {
                    return fits(task->size_, group.workers_[worker]->shown_);
                });
            }
            if (!fitting && team.queues_.at(priority).first_ != nullptr) {
                ++i;
                continue;
            }
            team.noRoom_.at(priority) = false;
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
    refreshScores(group, context);
    if (!group.freedWorkers_.empty()) {
        wakeForRoom(group);
        if (group.reservingGang_ != nullptr) {
            placeGang(group, *group.reservingGang_, context);
        }
        group.freedWorkers_.clear();
    }
    while (group.freeSlots_ > 0) {
        const std::uint32_t priority = nextPriority(group);
        if (priority == detail::PriorityCount) {
            break;
        }
        placeFirst(group, *std::get<2>(*group.ready_[priority].begin()), priority, context);
    }
    if (group.queued_.front() > group.preempting_) {
        preemptForUrgent(group, context);
    }
}

} // namespace mimosapier
