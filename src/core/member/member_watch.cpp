// Watches on member records and ownership tables, and the set of peers to connect to.
#include "core/member/member_internal.h"

#include "core/message/pack_func.h"

#include <algorithm>

namespace mimosapier
{

static constexpr std::string_view MemberPrefix = "members/";
static constexpr std::string_view OwnerPrefix = "owners/";

static void tickWatch(Membership &m, WatchState &watch, OpKind kind, std::string_view prefix, Context &context)
{
    if (watch.pendingOp_.value_ != 0 || context.now_ < watch.nextCallAt_) {
        return;
    }
    PendingOp op{kind, {}, {}, {}, false, {}};
    if (watch.listed_) {
        watch.pendingOp_ = sendMemberOp(m, context, std::move(op),
                                        StoreWatch{std::string(prefix), watch.afterRevision_, WatchTimeout},
                                        WatchTimeout + OpTimeout);
    } else {
        watch.pendingOp_ = sendMemberOp(m, context, std::move(op), StoreList{std::string(prefix)});
    }
}

void tickWatches(Membership &m, Context &context)
{
    tickWatch(m, m.memberWatch_, OpKind::WatchMembers, MemberPrefix, context);
    tickWatch(m, m.ownerWatch_, OpKind::WatchOwners, OwnerPrefix, context);
    if (m.ownershipUncertain_ && m.ownershipListOp_.value_ == 0) {
        m.ownershipListOp_ = sendMemberOp(m, context, {OpKind::ListOwners, {}, {}, {}, false, {}},
                                          StoreList{std::string(OwnerPrefix)});
    }
}

static bool hasOwnRecord(const Membership &m)
{
    return m.members_.contains(m.settings_.self_);
}

static void applyMembers(Membership &m, const StoreResult &result, Context &context)
{
    std::map<DaemonId, MemberEntry> members;
    for (const StoreEntry &entry : result.entries_) {
        const std::size_t slash = entry.key_.rfind('/');
        MemberRecord record;
        if (slash == std::string::npos || !unpackFromString(entry.value_, record)) {
            logLine(context, LogLevel::Warning,
                    "[member] Cannot decode the member record " + entry.key_ + "; ignoring it.");
            continue;
        }
        const DaemonId daemon(entry.key_.substr(slash + 1));
        const auto known = m.members_.find(daemon);
        const TimePoint since = known == m.members_.end() ? context.now_ : known->second.firstSeenAt_;
        members.emplace(daemon, MemberEntry{std::move(record), since});
    }
    for (const auto &[daemon, entry] : m.members_) {
        if (!members.contains(daemon) && isLeavingMember(m, daemon)) {
            m.departedDaemons_.insert(daemon);
        }
    }
    m.members_ = std::move(members);
    if (!hasOwnRecord(m) && m.recordRevision_.value_ != 0 && result.revision_ >= m.recordRevision_) {
        m.recordRevision_ = {};
    }
    m.directoryDirty_ = true;
    updatePeerSet(m, context);
}

static void applyOwners(Membership &m, const StoreResult &result)
{
    for (const StoreEntry &entry : result.entries_) {
        if (entry.key_.starts_with(OwnerPrefix)) {
            applyTable(m, RegionId(entry.key_.substr(OwnerPrefix.size())), entry);
        }
    }
    updateHeld(m);
}

void onWatchResult(Membership &m, const PendingOp &op, const StoreResult &result, Context &context)
{
    if (op.kind_ == OpKind::ListOwners) {
        // Ownership counts as certain again even when the read failed: nobody can claim while the store is down, and
        // earlier claims show as higher epochs in heartbeats.
        m.ownershipListOp_ = {};
        m.ownershipUncertain_ = false;
        m.directoryDirty_ = true;
        if (result.status_ == StoreStatus::Ok) {
            applyOwners(m, result);
        }
        return;
    }
    WatchState &watch = op.kind_ == OpKind::WatchMembers ? m.memberWatch_ : m.ownerWatch_;
    watch.pendingOp_ = {};
    if (result.status_ != StoreStatus::Ok && result.status_ != StoreStatus::Unchanged) {
        watch.nextCallAt_ = context.now_ + WatchRetryInterval;
        return;
    }
    watch.nextCallAt_ = context.now_ + MinWatchInterval;
    watch.afterRevision_ = result.revision_;
    if (result.status_ == StoreStatus::Unchanged) {
        return;
    }
    if (!watch.listed_) {
        watch.listed_ = true;
        m.startOrder_ = std::max(m.startOrder_, result.revision_.value_);
    }
    if (op.kind_ == OpKind::WatchMembers) {
        applyMembers(m, result, context);
    } else {
        applyOwners(m, result);
    }
}

// Peers are all daemons of the own region, and of each other region at most MaxRemotePeers.
void updatePeerSet(Membership &m, Context &context)
{
    std::map<RegionId, std::vector<DaemonId>> remote;
    std::vector<PeerAddress> peers;
    std::set<DaemonId> holders;
    for (const auto &[region, table] : m.tables_) {
        for (const auto &[shard, row] : table.rows_) {
            holders.insert(row.holder_);
        }
    }
    for (const auto &[daemon, entry] : m.members_) {
        if (daemon == m.settings_.self_) {
            continue;
        }
        if (entry.record_.region_ == m.settings_.region_) {
            peers.push_back({daemon, entry.record_.peerAddress_});
        } else {
            remote[entry.record_.region_].push_back(daemon);
        }
    }
    for (auto &[region, daemons] : remote) {
        if (daemons.size() > MaxRemotePeers) {
            // The first daemon has the lowest id and is the relay.
            std::stable_partition(daemons.begin() + 1, daemons.end(),
                                  [&holders](const DaemonId &daemon) { return holders.contains(daemon); });
            daemons.resize(MaxRemotePeers);
        }
        for (const DaemonId &daemon : daemons) {
            peers.push_back({daemon, m.members_.at(daemon).record_.peerAddress_});
        }
    }
    std::sort(peers.begin(), peers.end(),
              [](const PeerAddress &left, const PeerAddress &right) { return left.daemon_ < right.daemon_; });
    if (peers != m.peerSet_) {
        m.peerSet_ = peers;
        context.actions_.push(PeerSet{std::move(peers)});
    }
}

} // namespace mimosapier
