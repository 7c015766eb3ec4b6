// Order in which teams are served: weighted dominant-resource fairness, priorities, and the allowance of each team.
#include "core/group/group_internal.h"

#include <algorithm>

namespace mimosapier
{

static double fractionOf(std::int64_t used, std::int64_t total)
{
    return total <= 0 ? 0 : static_cast<double>(used) / static_cast<double>(total);
}

static double weightedShareOf(const Group &group, const GroupTeam &team)
{
    const double dominant = std::max({fractionOf(team.declaredUse_.milliCpus_, group.totalCapacity_.milliCpus_),
                                      fractionOf(team.declaredUse_.memoryMb_, group.totalCapacity_.memoryMb_),
                                      fractionOf(team.declaredUse_.accelerators_, group.totalCapacity_.accelerators_),
                                      fractionOf(team.declaredUse_.slots_, group.totalCapacity_.slots_)});
    return dominant / team.weight_;
}

static void updateWeightedShare(Group &group, GroupTeam &team)
{
    const double weightedShare = weightedShareOf(group, team);
    if (weightedShare == team.weightedShare_) {
        return;
    }
    for (std::uint32_t priority = 0; priority < detail::PriorityCount; ++priority) {
        if (team.ready_.at(priority)) {
            auto node = group.readyTeams_[priority].extract({team.weightedShare_, team.sequence_, &team});
            std::get<0>(node.value()) = weightedShare;
            group.readyTeams_[priority].insert(std::move(node));
        }
    }
    team.weightedShare_ = weightedShare;
}

void addUsage(Group &group, GroupTeam &team, const Resources &size)
{
    team.declaredUse_ += size;
    updateWeightedShare(group, team);
}

void removeUsage(Group &group, GroupTeam &team, const Resources &size)
{
    team.declaredUse_ -= size;
    updateWeightedShare(group, team);
}

void setReady(Group &group, GroupTeam &team, std::uint32_t priority)
{
    if (team.ready_.at(priority) || team.atAllowance_ || team.queues_.at(priority).first_ == nullptr) {
        return;
    }
    if (team.lacksCapacity_.at(priority)) {
        team.lacksCapacity_.at(priority) = false;
        std::erase(group.teamsLackingCapacity_[priority], &team);
    }
    team.ready_.at(priority) = true;
    group.readyTeams_[priority].insert({team.weightedShare_, team.sequence_, &team});
}

void clearReady(Group &group, GroupTeam &team, std::uint32_t priority)
{
    if (team.ready_.at(priority)) {
        team.ready_.at(priority) = false;
        group.readyTeams_[priority].erase({team.weightedShare_, team.sequence_, &team});
    }
}

void refreshWeightedShares(Group &group, Context &context)
{
    if (!group.weightedSharesStale_ && group.weightsVersion_ == context.bundle_.version_) {
        return;
    }
    group.weightedSharesStale_ = false;
    group.weightsVersion_ = context.bundle_.version_;
    for (GroupTeam *team : group.teamList_) {
        const Team *config = findTeam(context.bundle_, team->id_);
        team->weight_ = config == nullptr || config->share_ <= 0 ? 1 : config->share_;
        updateWeightedShare(group, *team);
    }
}

std::uint32_t selectPriority(Group &group)
{
    std::uint32_t first = detail::PriorityCount;
    for (std::uint32_t priority = 0; priority < detail::PriorityCount; ++priority) {
        if (group.readyTeams_[priority].empty()) {
            continue;
        }
        if (first == detail::PriorityCount) {
            first = priority;
        } else if (++group.skipCounts_.at(priority) > detail::StarvationLimit) {
            first = priority;
            break;
        }
    }
    if (first < detail::PriorityCount) {
        group.skipCounts_.at(first) = 0;
    }
    return first;
}

bool hasAllowance(const Group &group, const GroupTeam &team, std::uint32_t tasks)
{
    // An earlier holder may run a task of the team in each slot of a worker that has not acknowledged the epoch.
    const std::uint64_t wanted = std::uint64_t{team.running_} + group.unacknowledgedSlots_ + tasks;
    return wanted <= usableAllowance(*group.allowances_, group.id_, team.id_);
}

void queueDemandReport(Group &group, GroupTeam &team)
{
    if (!team.demandReportQueued_) {
        team.demandReportQueued_ = true;
        group.teamsToReport_.push_back(&team);
    }
}

void reportDemands(Group &group, Context &context)
{
    // A team asks for what the group could start soon: the free slots and a fraction of the capacity, which
    // becomes free soon. It does not ask for its whole queue.
    constexpr std::uint32_t TurnoverDivisor = 16;
    const auto startableSoon = static_cast<std::uint32_t>(std::max<std::int64_t>(0, group.freeSlots_)
                                                          + group.totalCapacity_.slots_ / TurnoverDivisor + 1);
    for (GroupTeam *team : group.teamsToReport_) {
        team->demandReportQueued_ = false;
        std::uint32_t queued = 0;
        std::uint32_t gang = 0;
        for (const TaskQueue &queue : team->queues_) {
            queued += queue.taskCount_;
            if (queue.first_ != nullptr && queue.first_->gang_ != nullptr) {
                gang = std::max(gang, static_cast<std::uint32_t>(queue.first_->gang_->tasks_.size()));
            }
        }
        for (const GroupGang *waiting : group.waitingGangs_) {
            if (waiting->tasks_.front()->team_ == team) {
                gang = std::max(gang, static_cast<std::uint32_t>(waiting->tasks_.size()));
            }
        }
        const std::uint32_t inUse = team->running_ + group.unacknowledgedSlots_;
        const std::uint32_t wanted = inUse + std::max(std::min(queued, startableSoon), gang);
        reportDemand(*group.allowances_, group.id_, team->id_, inUse, wanted, context);
    }
    group.teamsToReport_.clear();
}

void recheckAllowances(Group &group)
{
    std::vector<GroupTeam *> stillAtAllowance;
    for (GroupTeam *team : group.teamsAtAllowance_) {
        queueDemandReport(group, *team);
        if (!hasAllowance(group, *team, 1)) {
            stillAtAllowance.push_back(team);
            continue;
        }
        team->atAllowance_ = false;
        for (std::uint32_t priority = 0; priority < detail::PriorityCount; ++priority) {
            setReady(group, *team, priority);
        }
    }
    group.teamsAtAllowance_ = std::move(stillAtAllowance);
}

} // namespace mimosapier
