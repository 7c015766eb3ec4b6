// Entry points of Membership: start, tick, store results and inputs from other parts of the daemon.
#include "core/member/member_internal.h"

#include "core/common/shard_func.h"
#include "core/config/bundle_base.h"

#include <algorithm>

namespace mimosapier
{

template <>
void Destroy<Membership>::operator()(Membership *state) const
{
    delete state;
}

Handle<Membership> makeMembership(const MemberSettings &settings)
{
    Handle<Membership> membership(new Membership);
    membership->settings_ = settings;
    return membership;
}

// Sets the time and the bundle version of the call. A gap of PauseThreshold since the last call is a pause of the
// process: the lease may have expired, and the known tables and head may be out of date.
static void beginCall(Membership &m, const Context &context)
{
    if (m.started_ && context.now_ - m.now_ >= PauseThreshold) {
        m.ownershipUncertain_ = true;
        m.renewalRequired_ = m.renewalRequired_ || context.now_ - m.now_ >= ReplacementThreshold;
        m.directoryDirty_ = true;
    }
    m.now_ = context.now_;
    m.bundleVersion_ = context.bundle_.version_;
}

static void finishCall(Membership &m)
{
    if (m.directoryDirty_) {
        rebuildDirectory(m);
    }
}

void startMembership(Membership &membership, Context &context)
{
    membership.now_ = context.now_;
    membership.started_ = true;
    membership.renewAt_ = context.now_;
    membership.noClaimsBefore_ = context.now_;
    tickMembership(membership, context);
}

static void dispatchResult(Membership &m, const PendingOp &op, const StoreResult &result, Context &context)
{
    const bool answered = result.status_ != StoreStatus::Unavailable && result.status_ != StoreStatus::Unknown;
    if (answered) {
        if (m.outage_) {
            m.noClaimsBefore_ = context.now_ + OutageGrace;
        }
        m.outage_ = false;
        m.storeReachedOnce_ = true;
        m.storeAnsweredAt_ = std::max(m.storeAnsweredAt_, op.sentAt_);
        // A successful renewal shows that the daemon has a valid lease after its start or a pause.
        m.renewalRequired_
            = m.renewalRequired_ && !(op.kind_ == OpKind::RenewLease && result.status_ == StoreStatus::Ok);
    } else {
        m.outage_ = true;
    }
    switch (op.kind_) {
    case OpKind::GrantLease:
    case OpKind::RenewLease:
    case OpKind::WriteRecord:
    case OpKind::RevokeLease:
        onRecordResult(m, op, result, context);
        return;
    case OpKind::WatchMembers:
    case OpKind::WatchOwners:
    case OpKind::ListOwners:
        onWatchResult(m, op, result, context);
        return;
    case OpKind::Claim:
    case OpKind::ReadTable:
        onTableResult(m, op, result, context);
        return;
    }
}

void onMemberStoreResult(Membership &membership, const StoreResult &result, Context &context)
{
    beginCall(membership, context);
    const auto found = membership.pendingOps_.find(result.id_);
    if (found == membership.pendingOps_.end()) {
        return; // timed out before
    }
    const PendingOp op = std::move(found->second);
    membership.pendingOps_.erase(found);
    dispatchResult(membership, op, result, context);
    tickRecord(membership, context);
    finishCall(membership);
}

// Handles operations without a result in time as if the result were Unknown.
static void expirePendingOps(Membership &m, Context &context)
{
    std::vector<StoreOpId> expired;
    for (const auto &[id, op] : m.pendingOps_) {
        if (context.now_ >= op.timeoutAt_) {
            expired.push_back(id);
        }
    }
    for (const StoreOpId &id : expired) {
        const PendingOp op = std::move(m.pendingOps_.at(id));
        m.pendingOps_.erase(id);
        StoreResult result;
        result.id_ = id;
        result.status_ = StoreStatus::Unknown;
        dispatchResult(m, op, result, context);
    }
}

void tickMembership(Membership &membership, Context &context)
{
    Membership &m = membership;
    beginCall(m, context);
    expirePendingOps(m, context);
    tickRecord(m, context);
    tickWatches(m, context);
    tickVoters(m);
    tickClaims(m, context);
    tickHandovers(m, context);
    tickLeave(m, context);
    finishCall(m);
    tickHeartbeats(m, context);
}

void setInstances(Membership &membership, const InstanceSnapshot &snapshot, Context &context)
{
    beginCall(membership, context);
    for (const WorkerInfo &worker : snapshot.workers_) {
        if (membership.instanceGroups_[worker.region_].insert(worker.group_).second) {
            membership.directoryDirty_ = true;
        }
    }
    finishCall(membership);
}

void setLocalLoads(Membership &membership, std::span<const GroupLoad> loads)
{
    membership.localLoads_.assign(loads.begin(), loads.end());
    for (const GroupLoad &load : loads) {
        membership.loads_[load.group_] = load;
        for (ShardEntry &entry : membership.directory_.groups_) {
            if (entry.shard_ == load.group_ && entry.epoch_ == load.epoch_) {
                entry.load_ = load;
            }
        }
    }
}

std::vector<OwnershipChange> takeOwnershipChanges(Membership &membership)
{
    return std::exchange(membership.changes_, {});
}

std::uint64_t directoryBuilds(const Membership &membership)
{
    return membership.directoryBuilds_;
}

const Directory &directory(const Membership &membership)
{
    return membership.directory_;
}

void onFenced(Membership &membership, const ShardId &shard, Context &context)
{
    beginCall(membership, context);
    const OwnerRow *row = findRow(membership, shard);
    if (row != nullptr) {
        readTable(membership, shardRegion(shard), context);
    }
    finishCall(membership);
}

} // namespace mimosapier
