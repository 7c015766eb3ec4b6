// Gangs: all tasks of an offer start together or none does. Reserves capacity for waiting gangs, and restarts or ends a
// gang of which a task failed to start.
#include "core/group/group_internal.h"

#include <algorithm>

namespace mimosapier
{

void makeGang(Group &group, std::vector<GroupTask *> tasks)
{
    const std::uint64_t sequence = ++group.lastSequence_;
    auto &gang = group.gangs_[sequence];
    gang = std::make_unique<GroupGang>();
    gang->sequence_ = sequence;
    gang->tasks_ = std::move(tasks);
    gang->reservedWorkers_.assign(gang->tasks_.size(), NoWorker);
    for (GroupTask *task : gang->tasks_) {
        task->gang_ = gang.get();
        setStage(group, *task, TaskStage::Queued);
    }
    enqueue(group, *gang->tasks_.front());
}

static void removeFromWaitingGangs(Group &group, GroupGang &gang)
{
    if (gang.waiting_) {
        gang.waiting_ = false;
        std::erase(group.waitingGangs_, &gang);
    }
    if (group.reservingGang_ == &gang) {
        group.reservingGang_ = nullptr;
    }
}

// Gives one reservation back without letting waiting teams try the worker.
static void unreserve(Group &group, GroupGang &gang, std::size_t index, TimePoint now)
{
    if (gang.reservedWorkers_[index] != NoWorker) {
        GroupWorker &worker = *group.workers_[gang.reservedWorkers_[index]];
        gang.reservedWorkers_[index] = NoWorker;
        worker.free_ += gang.tasks_[index]->size_;
        updateIndexedFree(group, worker, now);
    }
}

void releaseReservation(Group &group, GroupGang &gang, TimePoint now)
{
    for (std::size_t i = 0; i < gang.reservedWorkers_.size(); ++i) {
        if (gang.reservedWorkers_[i] != NoWorker) {
            group.freedWorkers_.push_back(gang.reservedWorkers_[i]);
            unreserve(group, gang, i, now);
        }
    }
    if (group.reservingGang_ == &gang) {
        group.reservingGang_ = nullptr;
    }
}

static bool acceptsTasks(const GroupWorker &worker)
{
    return worker.holdConfirmed_ && worker.inInstanceList_ && !worker.reportedLeaving_ && !worker.info_.leaving_
        && !worker.silent_;
}

// Reserves capacity for tasks without a reservation; returns whether all have one.
static bool reservePlaces(Group &group, GroupGang &gang, TimePoint now)
{
    bool complete = true;
    for (std::size_t i = 0; i < gang.tasks_.size(); ++i) {
        if (gang.reservedWorkers_[i] != NoWorker && !acceptsTasks(*group.workers_[gang.reservedWorkers_[i]])) {
            unreserve(group, gang, i, now);
        }
        if (gang.reservedWorkers_[i] == NoWorker && (complete || group.freeSlots_ > 0)) {
            gang.reservedWorkers_[i] = findFit(group.capacity_, gang.tasks_[i]->size_, FitPolicy::Tightest);
            if (gang.reservedWorkers_[i] != NoWorker) {
                reserveCapacity(group, *group.workers_[gang.reservedWorkers_[i]], gang.tasks_[i]->size_, now);
            }
        }
        complete = complete && gang.reservedWorkers_[i] != NoWorker;
    }
    return complete;
}

GangPlacement placeGang(Group &group, GroupGang &gang, Context &context)
{
    GroupTask &firstTask = *gang.tasks_.front();
    if (!hasAllowance(group, *firstTask.team_, static_cast<std::uint32_t>(gang.tasks_.size()))) {
        queueDemandReport(group, *firstTask.team_);
        return GangPlacement::NoAllowance;
    }
    if (!reservePlaces(group, gang, context.now_)) {
        const bool mayReserve = group.reservingGang_ == nullptr && context.now_ >= gang.pausedUntil_;
        if (mayReserve) {
            group.reservingGang_ = &gang;
            gang.reservationEnds_ = context.now_ + detail::GangReservationTime;
        }
        if (group.reservingGang_ != &gang) {
            for (std::size_t i = 0; i < gang.reservedWorkers_.size(); ++i) {
                unreserve(group, gang, i, context.now_);
            }
        }
        return GangPlacement::NoCapacity;
    }
    dequeue(group, firstTask);
    removeDeadline(group, firstTask);
    removeFromWaitingGangs(group, gang);
    for (std::size_t i = 0; i < gang.tasks_.size(); ++i) {
        GroupWorker &worker = *group.workers_[gang.reservedWorkers_[i]];
        unreserve(group, gang, i, context.now_);
        assignToWorker(group, *gang.tasks_[i], worker, TaskStage::Placed, context);
    }
    return GangPlacement::Placed;
}

void retryGangs(Group &group, Context &context)
{
    constexpr std::size_t TriesPerTick = 4;
    if (group.reservingGang_ != nullptr && context.now_ >= group.reservingGang_->reservationEnds_) {
        GroupGang &gang = *group.reservingGang_;
        gang.pausedUntil_ = context.now_ + detail::GangReservationPause;
        releaseReservation(group, gang, context.now_);
    }
    if (group.fenced_ || group.stopping_) {
        return;
    }
    const std::size_t tries = std::min(TriesPerTick, group.waitingGangs_.size());
    const std::vector<GroupGang *> gangs(group.waitingGangs_.begin(),
                                         group.waitingGangs_.begin() + static_cast<std::ptrdiff_t>(tries));
    for (GroupGang *gang : gangs) {
        placeGang(group, *gang, context);
    }
    if (group.waitingGangs_.size() > TriesPerTick) {
        std::rotate(group.waitingGangs_.begin(), group.waitingGangs_.begin() + 1, group.waitingGangs_.end());
    }
}

void removeFromGang(Group &group, GroupTask &task)
{
    if (task.gang_ == nullptr) {
        return;
    }
    GroupGang &gang = *task.gang_;
    task.gang_ = nullptr;
    gang.memberEnded_ = true;
    const auto position = static_cast<std::size_t>(
        std::distance(gang.tasks_.begin(), std::find(gang.tasks_.begin(), gang.tasks_.end(), &task)));
    gang.tasks_.erase(gang.tasks_.begin() + static_cast<std::ptrdiff_t>(position));
    gang.reservedWorkers_.erase(gang.reservedWorkers_.begin() + static_cast<std::ptrdiff_t>(position));
    if (gang.tasks_.empty()) {
        removeFromWaitingGangs(group, gang);
        group.gangs_.erase(gang.sequence_);
    }
}

bool canRestartGang(const Group &group, const GroupGang &gang)
{
    return !gang.memberEnded_ && !group.fenced_ && !group.stopping_ && gang.gangRestarts_ < detail::StartRefusalsMax
        && std::all_of(gang.tasks_.begin(), gang.tasks_.end(), [](const GroupTask *task) {
               return task->idempotent_ && task->job_ != nullptr && !task->cancelled_
                   && task->stage_ != TaskStage::Finished;
           });
}

static void stopOthers(Group &group, GroupGang &gang, const GroupTask &failed, Context &context)
{
    const std::vector<GroupTask *> members = gang.tasks_;
    for (GroupTask *member : members) {
        if (member == &failed) {
            continue;
        }
        if (member->stage_ == TaskStage::Placed) {
            removeFromWorker(group, *member, context);
            member->worker_ = NoWorker;
            if (gang.willRestart_) {
                onGangMemberCleared(group, *member, context);
            } else {
                refuseTask(group, *member, gang.error_, context);
            }
        } else if (member->stage_ == TaskStage::Running) {
            requestStop(group, *member, StopMode::Stop, context);
        }
    }
}

bool onGangFailure(Group &group, GroupTask &task, ErrorKind error, Context &context)
{
    GroupGang &gang = *task.gang_;
    if (!gang.failed_) {
        gang.failed_ = true;
        gang.error_ = error;
        gang.willRestart_ = canRestartGang(group, gang);
        const bool restart = gang.willRestart_;
        stopOthers(group, gang, task, context);
        if (!restart) {
            return false;
        }
    } else if (!gang.willRestart_) {
        return false;
    }
    if (task.worker_ == NoWorker) {
        onGangMemberCleared(group, task, context);
    } else {
        clearThenRequeue(group, task);
    }
    return true;
}

void onGangMemberCleared(Group &group, GroupTask &task, Context &context)
{
    GroupGang &gang = *task.gang_;
    task.cleared_ = true;
    task.worker_ = NoWorker;
    if (!std::all_of(gang.tasks_.begin(), gang.tasks_.end(),
                     [](const GroupTask *member) { return member->cleared_; })) {
        return;
    }
    const std::vector<GroupTask *> members = gang.tasks_;
    const bool cancelled
        = std::any_of(members.begin(), members.end(), [](const GroupTask *member) { return member->cancelled_; });
    gang.failed_ = false;
    gang.willRestart_ = false;
    ++gang.gangRestarts_;
    for (GroupTask *member : members) {
        member->cleared_ = false;
        setStage(group, *member, TaskStage::Queued);
    }
    if (!cancelled && !group.stopping_ && !group.fenced_) {
        enqueue(group, *members.front());
        return;
    }
    for (GroupTask *member : members) {
        if (cancelled) {
            finishTask(group, *member, {0, Outcome::Cancelled, ErrorKind::Cancelled, {}, {}}, context);
        } else {
            refuseTask(group, *member, ErrorKind::NotHolder, context);
        }
    }
}

} // namespace mimosapier
