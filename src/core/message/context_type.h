// Context of every call to the decision logic besides the part's own state: the time, the bundle in force, the holders
// of the shards, and the list that collects actions. The decision logic does no input or output: the program that
// embeds it (the daemon, a replay, a test) feeds events and carries out the actions.
#pragma once

#include "core/common/time_type.h"
#include "core/message/event_type.h"

#include <cstdint>
#include <random>
#include <span>
#include <string_view>
#include <vector>

namespace mimosapier
{

struct Bundle;

// Collects actions until the embedding program carries them out. Also issues the ids of operations, which are unique in
// the daemon.
struct Actions
{
    std::vector<Action> pending_; // not carried out yet; in order of execution
    std::uint64_t lastId_ = 0; // last id that nextId() returned

    std::uint64_t nextId() { return ++lastId_; }
    void push(Action action) { pending_.push_back(std::move(action)); }
};

// Directory entry of a group or partition.
struct ShardEntry
{
    ShardId shard_;
    RegionId region_;
    DaemonId holder_; // empty when vacant
    Epoch epoch_;
    bool reachable_ = false; // the holder is this daemon or a connected peer
    GroupLoad load_; // last reported by the holder; zero for partitions
};

// Holders of all known shards. Owned by Membership, which rebuilds it after changes.
struct Directory
{
    std::vector<ShardEntry> groups_; // ascending by shard
    std::vector<ShardEntry> partitions_; // ascending by shard
};

// Valid during one call only; must not be kept.
struct Context
{
    TimePoint now_;
    const DaemonId &self_;
    const RegionId &region_; // of this daemon
    const Bundle &bundle_; // in force
    const Directory &directory_;
    Actions &actions_;
    std::mt19937_64 &random_; // seeded by the embedding program
};

// Entry of a shard, owned by the directory; nullptr when the shard is unknown.
const ShardEntry *findGroup(const Directory &directory, const ShardId &group);
const ShardEntry *findPartition(const Directory &directory, const ShardId &partition);

// Queues a message to a peer. Delivery is not guaranteed.
void sendPeer(Context &context, const DaemonId &to, PeerMessage message);

// Queues a store operation and returns its id. The StoreResult with that id goes to `component`.
StoreOpId sendStore(Context &context, StoreComponent component, const ShardId &shard, StoreOp op);

// `text` starts with the prefix of the part, for example "[group]".
void logLine(Context &context, LogLevel level, std::string text);

} // namespace mimosapier
