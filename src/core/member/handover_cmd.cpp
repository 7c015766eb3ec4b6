// Releases shards to other daemons, for load balance or because this daemon leaves, and removes the member record at
// the end of a leave.
#include "core/member/member_internal.h"

#include "core/common/shard_func.h"

#include <algorithm>

namespace mimosapier
{

DaemonId nextHolder(const Membership &m, const ShardId &shard, bool includeSelf)
{
    std::vector<DaemonId> candidates = eligibleDaemons(m, shardRegion(shard));
    if (!includeSelf) {
        std::erase(candidates, m.settings_.self_);
    }
    if (candidates.empty()) {
        for (const auto &[daemon, entry] : m.members_) {
            if (daemon != m.settings_.self_ && !isLeavingMember(m, daemon)) {
                candidates.push_back(daemon);
            }
        }
    }
    std::vector<DaemonId> connected;
    for (const DaemonId &daemon : candidates) {
        const auto peer = m.peers_.find(daemon);
        if (daemon == m.settings_.self_ || (peer != m.peers_.end() && peer->second.connected_)) {
            connected.push_back(daemon);
        }
    }
    const std::vector<DaemonId> &pool = connected.empty() ? candidates : connected;
    for (const DaemonId &daemon : pool) {
        if (rendezvousRank(shard, pool, daemon) == 0) {
            return daemon;
        }
    }
    return {};
}

// Picks one held shard whose rendezvous choice is another connected daemon that has been a member for
// MinBalanceMemberAge.
static void tickBalance(Membership &m, Context &context)
{
    if (context.now_ < m.nextMoveAt_ || !m.shardToMove_.empty() || !m.releasedShards_.empty()) {
        return;
    }
    m.nextMoveAt_ = context.now_ + BalanceInterval;
    if (m.outage_ || m.ownershipUncertain_ || context.now_ < m.noClaimsBefore_) {
        return;
    }
    for (const auto &[shard, epoch] : m.heldShards_) {
        const DaemonId next = nextHolder(m, shard, true);
        const auto member = m.members_.find(next);
        const auto peer = m.peers_.find(next);
        if (next == m.settings_.self_ || member == m.members_.end() || peer == m.peers_.end()
            || !peer->second.connected_) {
            continue;
        }
        if (context.now_ - member->second.firstSeenAt_ >= MinBalanceMemberAge) {
            m.shardToMove_ = shard;
            return;
        }
    }
}

void tickHandovers(Membership &m, Context &context)
{
    for (auto &[shard, released] : m.releasedShards_) {
        if (context.now_ < released.nextHandoverAt_) {
            continue;
        }
        released.nextHandoverAt_ = context.now_ + HandoverRepeatInterval;
        const DaemonId next = nextHolder(m, shard, false);
        if (!next.empty()) {
            sendPeer(context, next, Handover{shard, released.epoch_});
        }
    }
    if (!m.leaving_) {
        tickBalance(m, context);
    }
}

void releaseShard(Membership &membership, const ShardId &shard, Context &context)
{
    Membership &m = membership;
    m.now_ = context.now_;
    const auto held = m.heldShards_.find(shard);
    if (held == m.heldShards_.end()) {
        return;
    }
    m.releasedShards_[shard] = {held->second, context.now_, context.now_};
    m.lastReleaseAt_ = context.now_;
    updateHeld(m);
    tickHandovers(m, context);
    rebuildDirectory(m);
}

void onHandover(Membership &membership, const DaemonId &from, const Handover &message, Context &context)
{
    Membership &m = membership;
    m.now_ = context.now_;
    if (m.leaving_) {
        return;
    }
    const OwnerRow *row = findRow(m, message.shard_);
    if (row != nullptr && row->epoch_ > message.epoch_) {
        return;
    }
    m.receivedHandovers_[message.shard_] = {message.shard_, message.epoch_};
    if (row == nullptr || row->holder_ != from || row->epoch_ != message.epoch_) {
        readTable(m, shardRegion(message.shard_), context);
    }
    m.nextClaimsAt_ = context.now_;
    tickClaims(m, context);
}

void beginLeave(Membership &membership, Context &context)
{
    Membership &m = membership;
    m.now_ = context.now_;
    if (m.leaving_) {
        return;
    }
    m.leaving_ = true;
    m.lastReleaseAt_ = context.now_;
    m.receivedHandovers_.clear();
    m.shardToMove_ = {};
    m.directoryDirty_ = true;
    for (auto &[daemon, peer] : m.peers_) {
        peer.nextSendAt_ = context.now_; // peers learn of the leave at once
    }
}

// Removes the member record by revoking its lease, once the tables name new holders of all released shards, no other
// daemon can take them, or LeaveHandoverTimeout has passed.
void tickLeave(Membership &m, Context &context)
{
    if (!m.leaving_ || m.revoking_ || m.recordRemoved_ || !m.heldShards_.empty()) {
        return;
    }
    const bool handedOver = m.releasedShards_.empty()
        || std::all_of(m.releasedShards_.begin(), m.releasedShards_.end(),
                       [&m](const auto &entry) { return nextHolder(m, entry.first, false).empty(); });
    if (!handedOver && context.now_ - m.lastReleaseAt_ < LeaveHandoverTimeout) {
        return;
    }
    if (m.revokeAttempted_ && context.now_ - m.firstRevokeAt_ >= MemberLease + RenewInterval) {
        m.recordRemoved_ = true; // the lease has expired, whether or not the revocation took effect
        return;
    }
    if (m.lease_.value_ == 0) {
        m.recordRemoved_ = true;
        return;
    }
    if (!m.revokeAttempted_) {
        m.revokeAttempted_ = true;
        m.firstRevokeAt_ = context.now_;
        m.revokeRetryAt_ = context.now_;
    }
    if (context.now_ < m.revokeRetryAt_) {
        return;
    }
    m.revokeRetryAt_ = context.now_ + StoreRetryInterval;
    m.revoking_ = true;
    sendMemberOp(m, context, {OpKind::RevokeLease, {}, {}, {}, false, {}}, StoreLeaseRevoke{m.lease_});
}

bool hasLeft(const Membership &membership)
{
    return membership.leaving_ && membership.heldShards_.empty() && membership.recordRemoved_;
}

std::vector<ShardId> shardsToRelease(const Membership &membership)
{
    std::vector<ShardId> shards;
    if (membership.leaving_) {
        for (const auto &[shard, epoch] : membership.heldShards_) {
            shards.push_back(shard);
        }
    } else if (!membership.shardToMove_.empty()) {
        shards.push_back(membership.shardToMove_);
    }
    return shards;
}

} // namespace mimosapier
