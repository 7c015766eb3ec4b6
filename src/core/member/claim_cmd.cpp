// Claims of vacant and handed-over shards. All claims in a region are one compare-and-swap of its ownership table.
#include "core/member/member_internal.h"

#include "core/common/rendezvous_func.h"
#include "core/common/shard_func.h"
#include "core/config/bundle_base.h"
#include "core/message/pack_func.h"

#include <algorithm>

namespace mimosapier
{

bool isLeavingMember(const Membership &m, const DaemonId &daemon)
{
    if (daemon == m.settings_.self_) {
        return m.leaving_;
    }
    const auto member = m.members_.find(daemon);
    if (member != m.members_.end() && member->second.record_.leaving_) {
        return true;
    }
    const auto peer = m.peers_.find(daemon);
    return peer != m.peers_.end() && peer->second.leaving_;
}

std::vector<DaemonId> eligibleDaemons(const Membership &m, const RegionId &region)
{
    std::vector<DaemonId> regional;
    std::vector<DaemonId> all;
    bool anyMember = false;
    for (const auto &[daemon, entry] : m.members_) {
        const bool inRegion = entry.record_.region_ == region;
        anyMember = anyMember || inRegion;
        if (isLeavingMember(m, daemon)) {
            continue;
        }
        all.push_back(daemon);
        if (inRegion) {
            regional.push_back(daemon);
        }
    }
    if (!regional.empty()) {
        return regional;
    }
    const auto empty = m.regionEmptySince_.find(region);
    const bool longEmpty = empty != m.regionEmptySince_.end() && m.now_ - empty->second >= RegionGrace;
    return anyMember || longEmpty ? all : regional;
}

std::size_t rendezvousRank(const ShardId &shard, const std::vector<DaemonId> &candidates, const DaemonId &daemon)
{
    const std::uint64_t weight = rendezvousWeight(shard.value_, daemon.value_);
    return static_cast<std::size_t>(std::count_if(candidates.begin(), candidates.end(), [&](const DaemonId &other) {
        return rendezvousWeight(shard.value_, other.value_) > weight;
    }));
}

// Shards of the region named by the instance lists, the bundle or the ownership table.
static std::set<ShardId> shardsOfRegion(const Membership &m, const RegionId &region, const Bundle &bundle)
{
    std::set<ShardId> shards;
    const auto wanted = m.instanceGroups_.find(region);
    if (wanted != m.instanceGroups_.end()) {
        shards = wanted->second;
    }
    for (const RegionConfig &config : bundle.regions_) {
        if (config.id_ == region) {
            for (std::uint32_t i = 0; i < config.partitions_; ++i) {
                shards.insert(partitionShard(region, i));
            }
        }
    }
    const auto table = m.tables_.find(region);
    if (table != m.tables_.end()) {
        for (const auto &[shard, row] : table->second.rows_) {
            shards.insert(shard);
        }
    }
    return shards;
}

// True when a Handover for the shard was received and the table still has the sender's epoch.
static bool isHandedOverToSelf(const Membership &m, const ShardId &shard, const OwnerRow *row)
{
    const auto handover = m.receivedHandovers_.find(shard);
    return handover != m.receivedHandovers_.end() && row != nullptr && row->epoch_ == handover->second.epoch_;
}

// True when this daemon should claim the shard now. Updates vacantSince_.
static bool isClaimable(Membership &m, const ShardId &shard, const std::vector<DaemonId> &eligible)
{
    const OwnerRow *row = findRow(m, shard);
    if (isHandedOverToSelf(m, shard, row)) {
        return true;
    }
    const auto released = m.releasedShards_.find(shard);
    if (row != nullptr && row->holder_ == m.settings_.self_ && released != m.releasedShards_.end()) {
        // This daemon released the shard, the next holder did not claim the shard, and rendezvous hashing prefers this
        // daemon again.
        return !m.leaving_ && m.now_ - released->second.releasedAt_ >= ClaimRankDelay
            && nextHolder(m, shard, true) == m.settings_.self_;
    }
    if (row != nullptr && isMember(m, row->holder_)) {
        m.vacantSince_.erase(shard);
        return false;
    }
    const TimePoint since = m.vacantSince_.try_emplace(shard, m.now_).first->second;
    if (m.now_ - since < VacancyGrace) {
        return false;
    }
    const auto rank = rendezvousRank(shard, eligible, m.settings_.self_);
    return m.now_ - since >= VacancyGrace + ClaimRankDelay * rank;
}

static void sendClaim(Membership &m, const RegionId &region, const std::vector<ShardId> &shards, Context &context)
{
    OwnerTable &table = m.tables_[region];
    std::map<ShardId, OwnerRow> rows = table.rows_;
    for (const ShardId &shard : shards) {
        OwnerRow &row = rows[shard];
        row = {shard, m.settings_.self_, Epoch{row.epoch_.value_ + 1}};
    }
    std::vector<OwnerRow> list;
    list.reserve(rows.size());
    for (auto &[shard, row] : rows) {
        list.push_back(std::move(row));
    }
    logLine(context, LogLevel::Info,
            "[member] Claiming " + std::to_string(shards.size()) + " shards of region " + region.value_ + ".");
    const std::string value = packToString(list);
    table.pendingOp_ = sendMemberOp(m, context, {OpKind::Claim, region, {}, {}, false, value},
                                    StoreCas{"owners/" + region.value_, value, table.revision_, {}});
}

static void claimRegion(Membership &m, const RegionId &region, Context &context)
{
    const std::set<ShardId> shards = shardsOfRegion(m, region, context.bundle_);
    const std::vector<DaemonId> eligible = eligibleDaemons(m, region);
    const bool mayClaim = std::find(eligible.begin(), eligible.end(), m.settings_.self_) != eligible.end();
    std::vector<ShardId> claims;
    for (const ShardId &shard : shards) {
        if (isClaimable(m, shard, eligible) && (mayClaim || m.receivedHandovers_.contains(shard))) {
            claims.push_back(shard);
        }
    }
    std::erase_if(m.receivedHandovers_, [&m](const auto &entry) {
        const OwnerRow *row = findRow(m, entry.first);
        return row != nullptr && row->epoch_ > entry.second.epoch_;
    });
    OwnerTable &table = m.tables_[region];
    if (claims.empty() || table.pendingOp_.value_ != 0 || table.mustRead_ || context.now_ < table.retryAt_) {
        return;
    }
    for (const ShardId &shard : claims) {
        m.receivedHandovers_.erase(shard);
    }
    sendClaim(m, region, claims, context);
}

static std::set<RegionId> knownRegions(const Membership &m, const Bundle &bundle)
{
    std::set<RegionId> all{m.settings_.region_};
    for (const RegionConfig &region : bundle.regions_) {
        all.insert(region.id_);
    }
    for (const auto &[region, shards] : m.instanceGroups_) {
        all.insert(region);
    }
    for (const auto &[region, table] : m.tables_) {
        all.insert(region);
    }
    return all;
}

static void updateEmptyRegions(Membership &m, const std::set<RegionId> &all)
{
    std::set<RegionId> populated;
    for (const auto &[daemon, entry] : m.members_) {
        populated.insert(entry.record_.region_);
    }
    for (const RegionId &region : all) {
        if (populated.contains(region)) {
            m.regionEmptySince_.erase(region);
        } else {
            m.regionEmptySince_.try_emplace(region, m.now_);
        }
    }
}

void tickClaims(Membership &m, Context &context)
{
    for (auto &[region, table] : m.tables_) {
        if (table.mustRead_ && table.pendingOp_.value_ == 0 && context.now_ >= table.retryAt_) {
            readTable(m, region, context);
        }
    }
    if (context.now_ < m.nextClaimsAt_) {
        return;
    }
    m.nextClaimsAt_ = context.now_ + ClaimInterval;
    const bool registered = m.memberWatch_.listed_ && m.ownerWatch_.listed_ && isMember(m, m.settings_.self_);
    const bool watchesCurrent = registered && !m.ownershipUncertain_ && !m.outage_ && context.now_ >= m.noClaimsBefore_;
    if (!watchesCurrent) {
        m.vacantSince_.clear(); // vacancy is timed only while the watches are current
    }
    // Handed-over shards are claimed even right after an outage: their holder has stopped work on them, and the
    // compare-and-swap fails if the table has changed.
    const bool handedOver = registered && !m.ownershipUncertain_ && !m.receivedHandovers_.empty();
    if (m.leaving_ || (!watchesCurrent && !handedOver)) {
        return;
    }
    const std::set<RegionId> all = knownRegions(m, context.bundle_);
    updateEmptyRegions(m, all);
    for (const RegionId &region : all) {
        claimRegion(m, region, context);
    }
}

} // namespace mimosapier
