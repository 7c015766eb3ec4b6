// Weighted dominant-resource fairness between teams, priorities, and the allowance of each team.
#include "core/group/group_internal.h"

#include <algorithm>

namespace mimosapier
{

static double part(std::int64_t used, std::int64_t total)
{
    return total <= 0 ? 0 : static_cast<double>(used) / static_cast<double>(total);
}

static double scoreOf(const Group &group, const GroupTeam &team)
{
    const double dominant = std::max(
        {part(team.used_.milliCpus_, group.total_.milliCpus_), part(team.used_.memoryMb_, group.total_.memoryMb_),
         part(team.used_.accelerators_, group.total_.accelerators_), part(team.used_.slots_, group.total_.slots_)});
    return dominant / team.weight_;
}

static void updateScore(Group &group, GroupTeam &team)
{
    const double score = scoreOf(group, team);
    if (score == team.score_) {
        return;
    }
    for (std::uint32_t priority = 0; priority < detail::PriorityCount; ++priority) {
        if (team.ready_.at(priority)) {
            auto node = group.ready_[priority].extract({team.score_, team.sequence_, &team});
            std::get<0>(node.value()) = score;
            group.ready_[priority].insert(std::move(node));
        }
    }
    team.score_ = score;
}

void charge(Group &group, GroupTeam &team, const Resources &size)
{
    team.used_ += size;
    updateScore(group, team);
}

void uncharge(Group &group, GroupTeam &team, const Resources &size)
{
    team.used_ -= size;
    updateScore(group, team);
}

void setReady(Group &group, GroupTeam &team, std::uint32_t priority)
{
    if (team.ready_.at(priority) || team.limited_ || team.queues_.at(priority).first_ == nullptr) {
        return;
    }
    if (team.noRoom_.at(priority)) {
        team.noRoom_.at(priority) = false;
        std::erase(group.noRoom_[priority], &team);
    }
    team.ready_.at(priority) = true;
    group.ready_[priority].insert({team.score_, team.sequence_, &team});
}

void clearReady(Group &group, GroupTeam &team, std::uint32_t priority)
{
    if (team.ready_.at(priority)) {
        team.ready_.at(priority) = false;
        group.ready_[priority].erase({team.score_, team.sequence_, &team});
    }
}

void refreshScores(Group &group, Context &context)
{
    if (!group.scoresStale_ && group.scoredBundle_ == context.bundle_.version_) {
        return;
    }
    group.scoresStale_ = false;
    group.scoredBundle_ = context.bundle_.version_;
    for (GroupTeam *team : group.teamList_) {
        const Team *config = findTeam(context.bundle_, team->id_);
        team->weight_ = config == nullptr || config->share_ <= 0 ? 1 : config->share_;
        updateScore(group, *team);
    }
}

std::uint32_t nextPriority(Group &group)
{
    std::uint32_t first = detail::PriorityCount;
    for (std::uint32_t priority = 0; priority < detail::PriorityCount; ++priority) {
        if (group.ready_[priority].empty()) {
            continue;
        }
        if (first == detail::PriorityCount) {
            first = priority;
        } else if (++group.passedOver_.at(priority) > detail::StarvationLimit) {
            first = priority;
            break;
        }
    }
    if (first < detail::PriorityCount) {
        group.passedOver_.at(first) = 0;
    }
    return first;
}

bool hasAllowance(const Group &group, const GroupTeam &team, std::uint32_t tasks)
{
    const std::uint64_t wanted = std::uint64_t{team.running_} + group.unacknowledgedSlots_ + tasks;
    return wanted <= usableAllowance(*group.allowances_, group.id_, team.id_);
}

void noteDemand(Group &group, GroupTeam &team)
{
    if (!team.demandChanged_) {
        team.demandChanged_ = true;
        group.demandChanged_.push_back(&team);
    }
}

void reportDemands(Group &group, Context &context)
{
    // A team asks for what the group could start soon, not for its whole queue.
    constexpr std::uint32_t TurnoverParts = 16;
    const auto soon = static_cast<std::uint32_t>(std::max<std::int64_t>(0, group.freeSlots_)
                                                 + group.total_.slots_ / TurnoverParts + 1);
    for (GroupTeam *team : group.demandChanged_) {
        team->demandChanged_ = false;
        std::uint32_t queued = 0;
        std::uint32_t gang = 0;
        for (const TaskQueue &queue : team->queues_) {
            queued += queue.tasks_;
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
        const std::uint32_t wanted = inUse + std::max(std::min(queued, soon), gang);
        reportDemand(*group.allowances_, group.id_, team->id_, inUse, wanted, context);
    }
    group.demandChanged_.clear();
}

void wakeLimited(Group &group)
{
    std::vector<GroupTeam *> still;
    for (GroupTeam *team : group.limited_) {
        noteDemand(group, *team);
        if (!hasAllowance(group, *team, 1)) {
            still.push_back(team);
            continue;
        }
        team->limited_ = false;
        for (std::uint32_t priority = 0; priority < detail::PriorityCount; ++priority) {
            setReady(group, *team, priority);
        }
    }
    group.limited_ = std::move(still);
}

} // namespace mimosapier
