// Entry points of the allowances: opening and closing of groups, demand, requests of other daemons, and the tick.
#include "core/limit/limit_internal.h"

#include <algorithm>

namespace mimosapier
{

template <>
void Destroy<AllowanceState>::operator()(AllowanceState *state) const
{
    delete state;
}

Handle<AllowanceState> makeAllowances()
{
    return Handle<AllowanceState>(new AllowanceState);
}

void openGroupAllowances(AllowanceState &state, const ShardId &group, Context &context)
{
    AllowanceGroup &opened = state.groups_[group];
    opened = {};
    const ShardEntry *entry = findGroup(context.directory_, group);
    opened.epoch_ = entry == nullptr ? Epoch{} : entry->epoch_;
    opened.minCallNumber_.fill(state.lastCallNumber_ + 1);
    state.missingSince_.erase(group);
    for (std::uint32_t index = 0; index < detail::AllowanceKeyCount; ++index) {
        state.keys_.at(index).dirty_ = true;
        startDueCall(state, index, context);
    }
}

void closeGroupAllowances(AllowanceState &state, const ShardId &group)
{
    state.groups_.erase(group);
}

std::uint32_t usableAllowance(const AllowanceState &state, const ShardId &group, const TeamId &team)
{
    const auto held = state.groups_.find(group);
    if (held == state.groups_.end()) {
        return 0;
    }
    const auto demand = held->second.teams_.find(team);
    return demand == held->second.teams_.end() ? 0 : demand->second.usable_;
}

bool allowanceKnown(const AllowanceState &state, const ShardId &group, const TeamId &team)
{
    const auto held = state.groups_.find(group);
    if (held == state.groups_.end()) {
        return false;
    }
    const std::uint32_t index = allowanceKeyIndex(team);
    const AllowanceKey &key = state.keys_.at(index);
    const AllowancePart *part = findPart(key, team, group);
    return rowsAreCurrentFor(key, index, held->second) && !key.hasLostWrite_ && !key.openCallIsWrite_
        && (part == nullptr || part->epoch_ == held->second.epoch_);
}

void reportDemand(AllowanceState &state, const ShardId &group, const TeamId &team, std::uint32_t inUse,
                  std::uint32_t wanted, Context &context)
{
    const auto held = state.groups_.find(group);
    if (held == state.groups_.end()) {
        return;
    }
    const auto [entry, added] = held->second.teams_.try_emplace(team);
    AllowanceDemand &demand = entry->second;
    if (!added && demand.inUse_ == inUse && demand.wanted_ == wanted) {
        return;
    }
    if (added) {
        demand.lastFullyNeededAt_ = context.now_;
        demand.lastNeededAt_ = context.now_;
        demand.limit_ = teamLimit(context.bundle_, team);
    }
    demand.inUse_ = inUse;
    demand.wanted_ = wanted;
    if (demand.startsBlocked_) {
        demand.usable_ = std::min(demand.usable_, inUse);
    }
    const std::uint32_t index = allowanceKeyIndex(team);
    AllowanceKey &key = state.keys_.at(index);
    key.dirty_ = true;
    if (added) {
        updateUsable(state, index, context);
    }
    if (wanted > demand.usable_ && key.openCall_.value_ == 0) {
        startDueCall(state, index, context);
    }
}

void onAllowanceWanted(AllowanceState &state, const AllowanceWanted &message, Context &context)
{
    state.wantedUntil_[message.team_] = context.now_ + detail::AllowanceWantedValidity;
    state.keys_.at(allowanceKeyIndex(message.team_)).dirty_ = true;
}

// Updates since when groups with a part have been missing from the directory.
static void updateMissingGroups(AllowanceState &state, Context &context)
{
    constexpr Milliseconds CheckInterval{5000};
    if (context.now_ < state.nextMissingCheckAt_ || context.directory_.groups_.empty()) {
        return;
    }
    state.nextMissingCheckAt_ = context.now_ + CheckInterval;
    for (AllowanceKey &key : state.keys_) {
        for (const auto &[team, parts] : key.rows_) {
            for (const AllowancePart &part : parts) {
                if (findGroup(context.directory_, part.group_) != nullptr) {
                    state.missingSince_.erase(part.group_);
                } else {
                    const auto [missing, added] = state.missingSince_.try_emplace(part.group_, context.now_);
                    key.dirty_ = key.dirty_ || context.now_ - missing->second >= detail::AllowanceMissingGroupRetention;
                }
            }
        }
    }
}

void tickAllowances(AllowanceState &state, Context &context)
{
    constexpr Milliseconds IdleCheckInterval{100};
    updateMissingGroups(state, context);
    const bool newBundle = state.bundleVersion_ != context.bundle_.version_;
    state.bundleVersion_ = context.bundle_.version_;
    if (newBundle) {
        applyLoweredLimits(state, context);
    }
    for (std::uint32_t index = 0; index < detail::AllowanceKeyCount; ++index) {
        AllowanceKey &key = state.keys_.at(index);
        if (newBundle || context.now_ - key.lastUsableUpdate_ >= IdleCheckInterval) {
            key.lastUsableUpdate_ = context.now_;
            key.dirty_ = true;
            updateUsable(state, index, context);
        }
        startDueCall(state, index, context);
    }
}

} // namespace mimosapier
