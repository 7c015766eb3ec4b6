// Releases shards to other daemons, for load balance or because this daemon leaves, and removes the member record at
// the end of a leave.
#include "core/member/member_internal.h"

#include "core/common/shard_func.h"

#include <algorithm>

namespace mimosapier
{

DaemonId nextHolder(const Membership &m, const ShardId &shard, bool withSelf)
{
    std::vector<DaemonId> candidates = eligibleDaemons(m, shardRegion(shard));
    if (!withSelf) {
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
        if (daemon == m.settings_.self_ || (peer != m.peers_.end() && peer->second.up_)) {
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

// Picks one held shard whose rendezvous choice is another connected daemon that has been a member for BalanceAge.
static void tickBalance(Membership &m, Context &context)
{
    if (context.now_ < m.nextMove_ || !m.moving_.empty() || !m.released_.empty()) {
        return;
    }
    m.nextMove_ = context.now_ + BalanceInterval;
    if (m.outage_ || m.suspect_ || context.now_ < m.noClaimsBefore_) {
        return;
    }
    for (const auto &[shard, epoch] : m.held_) {
        const DaemonId next = nextHolder(m, shard, true);
        const auto member = m.members_.find(next);
        const auto peer = m.peers_.find(next);
        if (next == m.settings_.self_ || member == m.members_.end() || peer == m.peers_.end() || !peer->second.up_) {
            continue;
        }
        if (context.now_ - member->second.since_ >= BalanceAge) {
            m.moving_ = shard;
            return;
        }
    }
}

void tickHandovers(Membership &m, Context &context)
{
    for (auto &[shard, released] : m.released_) {
        if (context.now_ < released.repeatAt_) {
            continue;
        }
        released.repeatAt_ = context.now_ + HandoverRepeat;
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
    const auto held = m.held_.find(shard);
    if (held == m.held_.end()) {
        return;
    }
    m.released_[shard] = {held->second, context.now_, context.now_};
    m.leaveAt_ = context.now_;
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
    m.handovers_[message.shard_] = {message.shard_, message.epoch_};
    if (row == nullptr || row->holder_ != from || row->epoch_ != message.epoch_) {
        readTable(m, shardRegion(message.shard_), context);
    }
    m.nextClaims_ = context.now_;
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
    m.leaveAt_ = context.now_;
    m.handovers_.clear();
    m.moving_ = {};
    m.directoryDirty_ = true;
    for (auto &[daemon, peer] : m.peers_) {
        peer.nextSend_ = context.now_; // peers learn of the leave at once
    }
}

// Removes the member record by revoking its lease, once the tables name new holders of all released shards, no other
// daemon can take them, or LeaveBound has passed.
void tickLeave(Membership &m, Context &context)
{
    if (!m.leaving_ || m.revoking_ || m.recordGone_ || !m.held_.empty()) {
        return;
    }
    const bool handedOver = m.released_.empty()
        || std::all_of(m.released_.begin(), m.released_.end(),
                       [&m](const auto &entry) { return nextHolder(m, entry.first, false).empty(); });
    if (!handedOver && context.now_ - m.leaveAt_ < LeaveBound) {
        return;
    }
    if (m.revokeTried_ && context.now_ - m.revokeAt_ >= MemberLease + RenewInterval) {
        m.recordGone_ = true; // the lease has expired, whether or not the revocation took effect
        return;
    }
    if (m.lease_.value_ == 0) {
        m.recordGone_ = true;
        return;
    }
    if (!m.revokeTried_) {
        m.revokeTried_ = true;
        m.revokeAt_ = context.now_;
        m.revokeRetryAt_ = context.now_;
    }
    if (context.now_ < m.revokeRetryAt_) {
        return;
    }
    m.revokeRetryAt_ = context.now_ + StoreRetry;
    m.revoking_ = true;
    sendMemberOp(m, context, {OpKind::Revoke, {}, {}, {}, false, {}}, StoreLeaseRevoke{m.lease_});
}

bool hasLeft(const Membership &membership)
{
    return membership.leaving_ && membership.held_.empty() && membership.recordGone_;
}

std::vector<ShardId> shardsToRelease(const Membership &membership)
{
    std::vector<ShardId> shards;
    if (membership.leaving_) {
        for (const auto &[shard, epoch] : membership.held_) {
            shards.push_back(shard);
        }
    } else if (!membership.moving_.empty()) {
        shards.push_back(membership.moving_);
    }
    return shards;
}

} // namespace mimosapier
