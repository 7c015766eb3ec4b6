// Heartbeats to connected peers, and what received heartbeats change.
#include "core/member/member_internal.h"

#include "core/common/shard_func.h"

#include <algorithm>

namespace mimosapier
{

static bool isOwnRegion(const Membership &m, const DaemonId &daemon)
{
    const auto member = m.members_.find(daemon);
    return member != m.members_.end() && member->second.record_.region_ == m.settings_.region_;
}

template <typename T>
static void setIfChanged(std::map<ShardId, TimestampedValue<T>> &shared, const ShardId &shard, const T &value,
                         TimePoint now)
{
    const auto [entry, added] = shared.try_emplace(shard, TimestampedValue<T>{value, now});
    if (!added && !(entry->second.value_ == value)) {
        entry->second = {value, now};
    }
}

// Updates what heartbeats carry. While ownershipUncertain_ is set this daemon may no longer hold its shards, so
// heartbeats carry none; afterwards all of them count as changed.
static void updateHeartbeatContent(Membership &m)
{
    if (m.ownershipUncertain_) {
        m.heartbeatShards_.clear();
        m.heartbeatLoads_.clear();
        return;
    }
    const auto isNotHeld = [&m](const auto &entry) { return !m.heldShards_.contains(entry.first); };
    std::erase_if(m.heartbeatShards_, isNotHeld);
    std::erase_if(m.heartbeatLoads_, isNotHeld);
    for (const auto &[shard, epoch] : m.heldShards_) {
        setIfChanged(m.heartbeatShards_, shard, epoch, m.now_);
    }
    for (const GroupLoad &load : m.localLoads_) {
        if (m.heldShards_.contains(load.group_)) {
            setIfChanged(m.heartbeatLoads_, load.group_, load, m.now_);
        }
    }
}

// Heartbeat with the shards and loads that changed at `since` or later.
static Heartbeat makeHeartbeat(const Membership &m, bool toOwnRegion, TimePoint since)
{
    Heartbeat heartbeat;
    heartbeat.leaving_ = m.leaving_;
    for (const auto &[shard, epoch] : m.heartbeatShards_) {
        if (epoch.changedAt_ >= since) {
            heartbeat.shards_.push_back({shard, epoch.value_});
        }
    }
    for (const auto &[group, load] : m.heartbeatLoads_) {
        if (load.changedAt_ >= since) {
            heartbeat.loads_.push_back(load.value_);
        }
    }
    heartbeat.freshness_.push_back(currentOwnFreshness(m));
    heartbeat.freshness_.front().daemon_ = {};
    if (isRelay(m)) {
        for (PeerFreshness &freshness : relayedFreshness(m, toOwnRegion)) {
            heartbeat.freshness_.push_back(std::move(freshness));
        }
    }
    return heartbeat;
}

void tickHeartbeats(Membership &m, Context &context)
{
    bool updated = false;
    for (auto &[daemon, peer] : m.peers_) {
        if (!peer.connected_ || context.now_ < peer.nextSendAt_) {
            continue;
        }
        if (!updated) {
            updateHeartbeatContent(m);
            updated = true;
        }
        const bool own = isOwnRegion(m, daemon);
        peer.nextSendAt_ = context.now_ + (own ? HeartbeatInterval : RemoteHeartbeatInterval);
        const bool all = context.now_ >= peer.nextFullSendAt_;
        if (all) {
            peer.nextFullSendAt_ = context.now_ + FullHeartbeatInterval;
        }
        // Includes all changes since the newest echoed heartbeat, so that a lost heartbeat loses no change.
        Heartbeat heartbeat = makeHeartbeat(m, own, all ? TimePoint{} : peer.echoedSentAt_);
        heartbeat.sequence_ = ++peer.sentSequence_;
        heartbeat.echo_ = peer.receivedSequence_;
        peer.sentTimes_.emplace_back(peer.sentSequence_, context.now_);
        if (peer.sentTimes_.size() > MaxSentTimes) {
            peer.sentTimes_.pop_front();
        }
        sendPeer(context, daemon, std::move(heartbeat));
    }
}

// Notes holders whose epoch exceeds the table's: the table known here is out of date then.
static void applyHolders(Membership &m, const DaemonId &from, const Heartbeat &message, Context &context)
{
    for (const HeldShard &held : message.shards_) {
        const OwnerRow *row = findRow(m, held.shard_);
        if (row != nullptr && row->epoch_ >= held.epoch_) {
            continue;
        }
        auto &newer = m.newerHolders_[held.shard_];
        if (newer.second >= held.epoch_) {
            continue;
        }
        newer = {from, held.epoch_};
        m.directoryDirty_ = true;
        if (m.heldShards_.contains(held.shard_)) {
            updateHeld(m);
            readTable(m, shardRegion(held.shard_), context);
        }
    }
}

static void applyLoads(Membership &m, const Heartbeat &message)
{
    for (const GroupLoad &load : message.loads_) {
        const auto known = m.loads_.find(load.group_);
        if (known != m.loads_.end() && known->second.epoch_ > load.epoch_) {
            continue; // from a former holder; the current one may not send its load again soon
        }
        m.loads_[load.group_] = load;
        auto &groups = m.directory_.groups_;
        const auto entry
            = std::lower_bound(groups.begin(), groups.end(), load.group_,
                               [](const ShardEntry &left, const ShardId &shard) { return left.shard_ < shard; });
        if (entry != groups.end() && entry->shard_ == load.group_ && entry->epoch_ == load.epoch_) {
            entry->load_ = load;
        }
    }
}

// Sets `time` to when this daemon sent the heartbeat with the sequence number `echo`: a lower bound of the send time of
// the heartbeat that echoes it. False when the send time is no longer kept.
static bool findEchoedSendTime(const PeerState &peer, std::uint64_t echo, TimePoint &time)
{
    for (const auto &[sequence, sentAt] : peer.sentTimes_) {
        if (sequence == echo) {
            time = sentAt;
            return true;
        }
    }
    return false;
}

void onHeartbeat(Membership &membership, const DaemonId &from, const Heartbeat &message, Context &context)
{
    Membership &m = membership;
    m.now_ = context.now_;
    PeerState &peer = m.peers_[from];
    if (message.sequence_ <= peer.receivedSequence_) {
        return; // received on both connections, or out of order
    }
    peer.receivedSequence_ = message.sequence_;
    if (peer.leaving_ != message.leaving_) {
        peer.leaving_ = message.leaving_;
        m.directoryDirty_ = true;
    }
    applyHolders(m, from, message, context);
    applyLoads(m, message);
    for (const PeerFreshness &freshness : message.freshness_) {
        m.highestPeerVersion_ = std::max(m.highestPeerVersion_, freshness.version_);
    }
    TimePoint reportedAt;
    if (findEchoedSendTime(peer, message.echo_, reportedAt)) {
        peer.echoedSentAt_ = std::max(peer.echoedSentAt_, reportedAt);
        applyFreshness(m, from, message, reportedAt);
    }
    if (m.directoryDirty_) {
        rebuildDirectory(m);
    }
}

void onPeerUp(Membership &membership, const DaemonId &peer, Context &context)
{
    Membership &m = membership;
    m.now_ = context.now_;
    PeerState &state = m.peers_[peer];
    state.connected_ = true;
    state.nextSendAt_ = context.now_;
    state.nextFullSendAt_ = context.now_;
    state.echoedSentAt_ = {};
    rebuildDirectory(m);
    tickHeartbeats(m, context);
}

void onPeerDown(Membership &membership, const DaemonId &peer, Context &context)
{
    Membership &m = membership;
    m.now_ = context.now_;
    const auto state = m.peers_.find(peer);
    if (state == m.peers_.end()) {
        return;
    }
    state->second.connected_ = false;
    if (!isMember(m, peer)) {
        m.peers_.erase(state);
    }
    rebuildDirectory(m);
}

} // namespace mimosapier
