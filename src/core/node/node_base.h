// State of the node: the parts of the decision logic and the shards held by this daemon. Used by the files of this
// folder and by tests.
#pragma once

#include "core/config/config_func.h"
#include "core/entry/entry_func.h"
#include "core/group/group_func.h"
#include "core/home/home_func.h"
#include "core/limit/limit_func.h"
#include "core/member/member_func.h"
#include "core/node/node_func.h"

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <set>

namespace mimosapier
{

enum class LeavePhase : std::uint8_t {
    None,
    StillAdmitting, // the readiness check fails; requests are admitted until the load balancer has noticed
    FinishRequests, // admits no requests; waits for the answers to open ones
    HandOverShards, // releases all shards
    Finished, // LeaveFinished was emitted
};

struct Node
{
    NodeSettings settings_;
    Handle<Membership> member_;
    Handle<ConfigState> config_;
    Handle<AllowanceState> allowances_;
    Handle<Entry> entry_;
    std::map<ShardId, Handle<Group>> groups_; // exactly the groups held; each refers to *allowances_
    std::map<ShardId, Handle<Home>> homes_; // exactly the partitions held
    InstanceSnapshot instances_; // latest instance list
    std::mt19937_64 random_;
    std::set<ShardId> stoppingShards_; // held; released once no work is in progress on them
    std::deque<PeerReceived> loopback_; // messages of this daemon to itself, in send order; empty between events
    std::uint64_t directoryBuilds_ = 0; // directoryBuilds() at the last comparison of fingerprints
    std::uint64_t directoryFingerprint_ = 0; // of the directory that the homes last saw
    TimePoint lastFenceCheck_{};
    TimePoint lastLoadUpdate_{};
    // Set once all shards of the region had reachable holders, and never reset. Requests admitted before that time
    // would wait for the first claims. A shard that becomes vacant later does not make this daemon unready, because the
    // entries of other daemons cannot reach that shard either.
    bool regionServedOnce_ = false;
    LeavePhase leavePhase_ = LeavePhase::None;
    TimePoint leaveStartedAt_{};
};

} // namespace mimosapier
