// Heartbeats: what is sent to connected peers, and what their heartbeats change.
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

static Heartbeat makeHeartbeat(const Membership &m, bool toOwnRegion)
{
    Heartbeat heartbeat;
    heartbeat.region_ = m.settings_.region_;
    heartbeat.zone_ = m.settings_.zone_;
    heartbeat.leaving_ = m.leaving_;
    if (!m.suspect_) {
        for (const auto &[shard, epoch] : m.held_) {
            heartbeat.shards_.push_back({shard, epoch});
        }
        for (const GroupLoad &load : m.localLoads_) {
            if (m.held_.contains(load.group_)) {
                heartbeat.loads_.push_back(load);
            }
        }
    }
    heartbeat.freshness_.push_back(ownStatement(m));
    if (isRelay(m)) {
        for (PeerFreshness &freshness : relayedStatements(m, toOwnRegion)) {
            heartbeat.freshness_.push_back(std::move(freshness));
        }
    }
    return heartbeat;
}

void tickHeartbeats(Membership &m, Context &context)
{
    Heartbeat near;
    Heartbeat far;
    bool nearMade = false;
    bool farMade = false;
    for (auto &[daemon, peer] : m.peers_) {
        if (!peer.up_ || context.now_ < peer.nextSend_) {
            continue;
        }
        const bool own = isOwnRegion(m, daemon);
        bool &made = own ? nearMade : farMade;
        Heartbeat &heartbeat = own ? near : far;
        if (!made) {
            heartbeat = makeHeartbeat(m, own);
            made = true;
        }
        peer.nextSend_ = context.now_ + (own ? HeartbeatInterval : RemoteHeartbeatInterval);
        heartbeat.sequence_ = ++peer.sent_;
        heartbeat.echo_ = peer.received_;
        peer.sentTimes_.emplace_back(peer.sent_, context.now_);
        if (peer.sentTimes_.size() > SentTimesKept) {
            peer.sentTimes_.pop_front();
        }
        sendPeer(context, daemon, heartbeat);
    }
}

// Takes over loads and higher epochs; a higher epoch beats the table, which may not have been read yet.
static void takeShards(Membership &m, const DaemonId &from, const Heartbeat &message, Context &context)
{
    for (const HeldShard &held : message.shards_) {
        const OwnerRow *row = findRow(m, held.shard_);
        if (row != nullptr && row->epoch_ >= held.epoch_) {
            continue;
        }
        auto &heard = m.heard_[held.shard_];
        if (heard.second >= held.epoch_) {
            continue;
        }
        heard = {from, held.epoch_};
        m.directoryDirty_ = true;
        if (m.held_.contains(held.shard_)) {
            updateHeld(m);
            readTable(m, shardRegion(held.shard_), context);
        }
    }
}

static void takeLoads(Membership &m, const Heartbeat &message)
{
    for (const GroupLoad &load : message.loads_) {
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

// Latest time that is certainly not after the sending of the heartbeat: when this daemon sent what it echoes.
static bool sentNotBefore(const PeerState &peer, std::uint64_t echo, TimePoint &time)
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
    if (message.sequence_ <= peer.received_) {
        return; // sent on both connections, or overtaken
    }
    peer.received_ = message.sequence_;
    if (peer.leaving_ != message.leaving_) {
        peer.leaving_ = message.leaving_;
        m.directoryDirty_ = true;
    }
    takeShards(m, from, message, context);
    takeLoads(m, message);
    for (const PeerFreshness &freshness : message.freshness_) {
        m.heardVersion_ = std::max(m.heardVersion_, freshness.version_);
    }
    TimePoint saidAt;
    if (sentNotBefore(peer, message.echo_, saidAt)) {
        takeStatements(m, from, message, saidAt);
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
    state.up_ = true;
    state.nextSend_ = context.now_;
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
    state->second.up_ = false;
    if (!isMember(m, peer)) {
        m.peers_.erase(state);
    }
    rebuildDirectory(m);
}

} // namespace mimosapier
