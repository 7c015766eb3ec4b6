// What every function of the decision logic gets besides its own state: the time, the bundle in force, who holds
// which shard, and the place for actions.
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

// Collects the actions of one step. Ids of operations are issued here, so that they are unique in the daemon.
struct Actions
{
    std::vector<Action> pending_; // in the order in which the shell carries them out
    std::uint64_t lastId_ = 0;

    std::uint64_t nextId() { return ++lastId_; }
    void push(Action action) { pending_.push_back(std::move(action)); }
};

// A group or partition as the directory knows it.
struct ShardEntry
{
    ShardId shard_;
    RegionId region_;
    DaemonId holder_; // empty when vacant
    Epoch epoch_;
    bool reachable_ = false; // the holder is this daemon or a peer connection to it is up
    GroupLoad load_; // newest known; zero for partitions
};

// Who holds which shard. Owned by Membership; rebuilt when something changes.
struct Directory
{
    std::vector<ShardEntry> groups_; // ascending by shard
    std::vector<ShardEntry> partitions_; // ascending by shard
};

struct Context
{
    TimePoint now_;
    const DaemonId &self_;
    const RegionId &region_; // of this daemon
    const Bundle &bundle_; // in force
    const Directory &directory_;
    Actions &actions_;
    std::mt19937_64 &random_; // seeded by the shell
};

// Entry of a shard; nullptr when the directory does not know it.
const ShardEntry *findGroup(const Directory &directory, const ShardId &group);
const ShardEntry *findPartition(const Directory &directory, const ShardId &partition);

void sendPeer(Context &context, const DaemonId &to, PeerMessage message);

// Sends a store operation; returns its id.
StoreOpId sendStore(Context &context, StoreComponent component, const ShardId &shard, StoreOp op);

void logLine(Context &context, LogLevel level, std::string text);

} // namespace mimosapier
