// Computes what each group should hold: the usable amounts in memory and the rows to write.
#include "core/limit/limit_internal.h"

#include "core/message/directory_func.h"

#include <algorithm>

namespace mimosapier
{

bool rowsAreCurrentFor(const AllowanceKey &key, std::uint32_t index, const AllowanceGroup &group)
{
    return key.rowsCallNumber_ != 0 && key.rowsCallNumber_ >= group.minCallNumber_.at(index);
}

// `amount`, scaled down when the sum of all parts exceeds the limit. Rounded down, so that the scaled amounts add up to
// at most the limit.
static std::uint32_t scaledToLimit(std::uint64_t amount, std::uint64_t sum, std::uint64_t limit)
{
    return sum <= limit ? static_cast<std::uint32_t>(amount) : static_cast<std::uint32_t>(amount * limit / sum);
}

static std::uint32_t chunkSize(std::uint32_t limit)
{
    return std::max<std::uint32_t>(1, limit / detail::AllowanceChunkDivisor);
}

// Amount that each of `groups` groups may hold without current demand. During a store outage a group can still use it
// when its demand rises.
static std::uint32_t baseAmount(std::uint32_t limit, std::size_t groups)
{
    return limit / detail::AllowanceBaseDivisor / static_cast<std::uint32_t>(std::max<std::size_t>(groups, 1));
}

// Amount for a demand of `needed` with a reserve, for use while the limit is not used up.
static std::uint32_t amountWithReserve(std::uint32_t needed, std::uint32_t limit, std::size_t groups)
{
    return std::max(needed + chunkSize(limit), baseAmount(limit, groups));
}

namespace
{

enum class Scarcity : std::uint8_t {
    None,
    LimitReached, // the parts of all groups add up to the limit
    WantedElsewhere, // another group has asked for more
};

} // namespace

static Milliseconds idleTimeout(Scarcity scarcity)
{
    switch (scarcity) {
    case Scarcity::None:
        return detail::AllowanceIdleTimeout;
    case Scarcity::LimitReached:
        return detail::AllowanceScarceIdleTimeout;
    case Scarcity::WantedElsewhere:
        return detail::AllowanceWantedIdleTimeout;
    }
    return detail::AllowanceIdleTimeout;
}

static Scarcity teamScarcity(const AllowanceState &state, const TeamId &team, bool limitReached, TimePoint now)
{
    const auto wanted = state.wantedUntil_.find(team);
    if (wanted != state.wantedUntil_.end() && now < wanted->second) {
        return Scarcity::WantedElsewhere;
    }
    return limitReached ? Scarcity::LimitReached : Scarcity::None;
}

// What the group should keep of `amount` according to its demand. `groups` is the number of groups with a part. Updates
// the times of last use.
static std::uint32_t amountToKeep(AllowanceDemand &demand, std::uint32_t amount, Scarcity scarcity, std::uint32_t limit,
                                  std::size_t groups, TimePoint now)
{
    const std::uint32_t needed = std::max(demand.inUse_, demand.wanted_);
    if (needed > 0) {
        demand.lastNeededAt_ = now;
    }
    if (needed >= amount) {
        demand.lastFullyNeededAt_ = now;
        return amount;
    }
    if (now - demand.lastFullyNeededAt_ < idleTimeout(scarcity)) {
        return amount;
    }
    const bool keepsBase = scarcity == Scarcity::None && now - demand.lastNeededAt_ < detail::AllowanceBaseIdleTimeout;
    return std::min(amount, keepsBase ? amountWithReserve(needed, limit, groups) : needed);
}

void updateUsable(AllowanceState &state, std::uint32_t index, Context &context)
{
    AllowanceKey &key = state.keys_.at(index);
    if (context.bundle_.version_.value_ == 0) {
        return;
    }
    for (auto &[groupId, group] : state.groups_) {
        if (!rowsAreCurrentFor(key, index, group)) {
            continue;
        }
        for (auto &[team, parts] : key.rows_) {
            const AllowancePart *part = findPart(key, team, groupId);
            const auto known = group.teams_.find(team);
            if (part == nullptr && known == group.teams_.end()) {
                continue;
            }
            AllowanceDemand &demand = known == group.teams_.end() ? group.teams_[team] : known->second;
            if (known == group.teams_.end()) {
                demand.lastFullyNeededAt_ = context.now_;
                demand.lastNeededAt_ = context.now_;
            }
            // A part with another epoch is not usable: a higher one was written by a later holder, and a lower one must
            // first be rewritten with the epoch of this group.
            const bool epochMatches = part != nullptr && part->epoch_ == group.epoch_;
            const std::uint32_t amount = epochMatches ? part->amount_ : 0;
            const std::uint64_t sum = sumOfParts(parts);
            const std::uint32_t limit = teamLimit(context.bundle_, team);
            const Scarcity scarcity = teamScarcity(state, team, sum >= limit, context.now_);
            const std::uint32_t kept = amountToKeep(demand, amount, scarcity, limit, parts.size(), context.now_);
            const std::uint32_t target = std::min(kept, scaledToLimit(amount, sum, limit));
            demand.startsBlocked_ = sum > limit || key.rowsCallNumber_ < key.minRaiseCallNumber_;
            const bool mayRise = !key.openCallIsWrite_ && !key.hasLostWrite_ && !demand.startsBlocked_;
            demand.usable_ = mayRise ? target : std::min(target, demand.usable_);
            if (demand.startsBlocked_) {
                demand.usable_ = std::min(demand.usable_, demand.inUse_);
            }
        }
        for (auto &[team, demand] : group.teams_) {
            if (allowanceKeyIndex(team) == index && !key.rows_.contains(team)) {
                demand.usable_ = 0;
            }
        }
    }
}

void applyLoweredLimits(AllowanceState &state, Context &context)
{
    const std::uint64_t next = state.lastCallNumber_ + 1;
    for (auto &[groupId, group] : state.groups_) {
        for (auto &[team, demand] : group.teams_) {
            const std::uint32_t limit = teamLimit(context.bundle_, team);
            if (limit < demand.limit_) {
                AllowanceKey &key = state.keys_.at(allowanceKeyIndex(team));
                key.minRaiseCallNumber_ = next;
                key.mustRead_ = true;
                demand.startsBlocked_ = true;
                demand.usable_ = std::min(demand.usable_, demand.inUse_);
            }
            demand.limit_ = limit;
        }
    }
}

static AllowancePart &findOrAddPart(std::vector<AllowancePart> &parts, const ShardId &group)
{
    for (AllowancePart &part : parts) {
        if (part.group_ == group) {
            return part;
        }
    }
    parts.push_back({group, 0, {}});
    return parts.back();
}

namespace
{

// Constraints on changes of a team's parts.
struct TeamConstraints
{
    std::uint32_t limit_ = 0;
    bool mayLower_ = true;
    bool mayReserve_ = true; // may take more than is needed now
};

} // namespace

// Adjusts the group's part of one team. Returns true when the row changes; sets `unmet` when the demand is not met.
static bool adjustPart(const AllowanceGroup &group, AllowanceDemand &demand, std::vector<AllowancePart> &parts,
                       const ShardId &groupId, const TeamConstraints &constraints, bool &unmet)
{
    AllowancePart &part = findOrAddPart(parts, groupId);
    if (part.epoch_ > group.epoch_) {
        return false;
    }
    const AllowancePart before = part;
    const std::uint64_t sum = sumOfParts(parts);
    if (part.amount_ > 0 && part.epoch_ < group.epoch_) {
        // A former holder wrote the part. Rewriting it with the own epoch keeps the former holder from changing it.
        part.epoch_ = group.epoch_;
        return true;
    }
    const std::uint32_t needed = std::max(demand.inUse_, demand.wanted_);
    // Never below the running tasks: the part is an upper bound of them even while they finish.
    const std::uint32_t floor = std::min(part.amount_, std::max(demand.usable_, demand.inUse_));
    // With a reserve the part is raised when it is fully needed rather than exceeded, so that the next task need not
    // wait for the store.
    const bool tooSmall = constraints.mayReserve_ ? needed > 0 && needed >= part.amount_ : needed > part.amount_;
    if (floor < part.amount_ && constraints.mayLower_) {
        part.amount_ = floor;
    } else if (tooSmall) {
        const std::uint64_t available = sum < constraints.limit_ ? constraints.limit_ - sum : 0;
        const std::uint64_t wanted = constraints.mayReserve_
            ? amountWithReserve(needed, constraints.limit_, parts.size())
            : std::uint64_t{needed};
        part.amount_ += static_cast<std::uint32_t>(std::min(wanted - part.amount_, available));
        unmet = unmet || needed > part.amount_;
    }
    part.epoch_ = group.epoch_;
    return part.amount_ != before.amount_;
}

// Removes parts of groups that have been missing for AllowanceMissingGroupRetention. Returns true when any was removed.
static bool removeMissingGroups(const AllowanceState &state, std::vector<AllowancePart> &parts, TimePoint now)
{
    return std::erase_if(parts,
                         [&state, now](const AllowancePart &part) {
                             const auto missing = state.missingSince_.find(part.group_);
                             return missing != state.missingSince_.end()
                                 && now - missing->second >= detail::AllowanceMissingGroupRetention
                                 && !state.groups_.contains(part.group_);
                         })
        > 0;
}

std::map<TeamId, std::vector<AllowancePart>> targetRows(AllowanceState &state, std::uint32_t index, Context &context,
                                                        bool &changed, std::vector<TeamId> &unmet)
{
    AllowanceKey &key = state.keys_.at(index);
    std::map<TeamId, std::vector<AllowancePart>> rows = key.rows_;
    changed = false;
    unmet.clear();
    for (auto &[team, parts] : rows) {
        changed = removeMissingGroups(state, parts, context.now_) || changed;
    }
    if (context.bundle_.version_.value_ == 0) {
        return rows;
    }
    for (auto &[groupId, group] : state.groups_) {
        // A former holder that does not know of the new holder yet must not return allowance under which the new holder
        // has adopted tasks.
        if (!rowsAreCurrentFor(key, index, group) || !isConfirmedHolder(context, groupId, group.epoch_)) {
            continue;
        }
        for (auto &[team, demand] : group.teams_) {
            if (allowanceKeyIndex(team) == index) {
                const Scarcity scarcity = teamScarcity(state, team, false, context.now_);
                // After a lost write usable amounts are too low until the next write, so parts are not lowered to them.
                const TeamConstraints constraints{teamLimit(context.bundle_, team), !key.hasLostWrite_,
                                                  scarcity == Scarcity::None};
                bool demandUnmet = false;
                changed = adjustPart(group, demand, rows[team], groupId, constraints, demandUnmet) || changed;
                if (demandUnmet) {
                    unmet.push_back(team);
                }
            }
        }
    }
    for (auto &[team, parts] : rows) {
        std::erase_if(parts, [](const AllowancePart &part) { return part.amount_ == 0; });
    }
    std::erase_if(rows, [](const auto &row) { return row.second.empty(); });
    return rows;
}

} // namespace mimosapier
