// Creation of a group, its ticks, and the work before and after each event.
#include "core/group/group_internal.h"

#include "core/common/shard_func.h"

#include <algorithm>

namespace mimosapier
{

template <>
void Destroy<Group>::operator()(Group *state) const
{
    delete state;
}

Handle<Group> makeGroup(const ShardId &id, Epoch epoch, AllowanceState &allowances)
{
    Handle<Group> group(new Group);
    group->id_ = id;
    group->region_ = shardRegion(id);
    group->epoch_ = epoch;
    group->allowances_ = &allowances;
    return group;
}

GroupTask *findTask(Group &group, const TaskId &id)
{
    const auto found = group.tasks_.find(id);
    return found == group.tasks_.end() ? nullptr : found->second.get();
}

GroupTeam &findOrAddTeam(Group &group, const TeamId &id, Context &context)
{
    auto &team = group.teams_[id];
    if (team == nullptr) {
        team = std::make_unique<GroupTeam>();
        team->id_ = id;
        team->sequence_ = group.teamList_.size();
        const Team *config = findTeam(context.bundle_, id);
        team->weight_ = config == nullptr || config->share_ <= 0 ? 1 : config->share_;
        group.teamList_.push_back(team.get());
    }
    return *team;
}

void beginEvent(Group &group, Context &context)
{
    group.now_ = context.now_;
    if (!group.opened_) {
        group.opened_ = true;
        group.openedAt_ = context.now_;
    }
}

void finishEvent(Group &group, Context &context)
{
    runTimers(group, context);
    // Reported before placing: a lowered limit may forbid replacing the tasks that have just ended.
    reportDemands(group, context);
    placeAll(group, context);
    flushWorkers(group, context);
    reportDemands(group, context);
    flushAnswers(group, context);
}

void tickGroup(Group &group, Context &context)
{
    constexpr Milliseconds LimitCheckInterval{200};
    beginEvent(group, context);
    endExpiredTasks(group, context);
    requerySecondCandidates(group, context);
    expireOutcomes(group, context.now_);
    resendResults(group, context);
    retryGangs(group, context);
    recheckAllowances(group);
    if (!group.fenced_ && context.now_ - group.limitsCheckedAt_ >= LimitCheckInterval) {
        group.limitsCheckedAt_ = context.now_;
        stopAboveLimit(group, context);
    }
    finishEvent(group, context);
}

GroupLoad groupLoad(const Group &group)
{
    GroupLoad load;
    load.group_ = group.id_;
    load.epoch_ = group.epoch_;
    load.capacitySlots_ = static_cast<std::uint32_t>(group.totalCapacity_.slots_);
    load.freeSlots_ = static_cast<std::uint32_t>(std::max<std::int64_t>(0, group.freeSlots_));
    load.queued_ = group.queuedTasks_[0] + group.queuedTasks_[1] + group.queuedTasks_[2];
    load.waitMs_ = static_cast<std::uint32_t>(waitEstimate(group, Priority::Urgent, group.now_).count());
    load.largestFree_ = largestFree(group.capacity_);
    return load;
}

} // namespace mimosapier
