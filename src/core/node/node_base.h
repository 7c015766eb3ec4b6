// State of one daemon: the parts of the decision logic and the shards held.
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
    Announced, // not ready any more, but still admits what the load balancer sends until it has noticed
    FinishRequests, // waits for the answers of open requests
    HandOver, // hands shards over
    Gone, // LeaveFinished was emitted
};

struct Node
{
    NodeSettings settings_;
    Handle<Membership> member_;
    Handle<ConfigState> config_;
    Handle<AllowanceState> allowances_;
    Handle<Entry> entry_;
    std::map<ShardId, Handle<Group>> groups_; // exactly the groups held; each uses allowances_
    std::map<ShardId, Handle<Home>> homes_; // exactly the partitions held
    InstanceSnapshot instances_; // newest reading of the list
    std::mt19937_64 random_;
    std::set<ShardId> stopping_; // held, but released as soon as nothing is under way
    std::deque<PeerReceived> loopback_; // messages of this daemon to itself, in order
    std::uint64_t directoryBuilds_ = 0; // directoryBuilds() when the directory was last compared
    std::uint64_t directoryPrint_ = 0; // fingerprint of holders and epochs when the homes last saw the directory
    TimePoint lastFenceCheck_{};
    TimePoint lastLoads_{};
    // Set for good when the region was served once: a request before that would wait for the first claims, while a
    // shard that is vacant later is no reason for the load balancer to turn to other entries.
    bool started_ = false;
    LeavePhase leave_ = LeavePhase::None;
    TimePoint leaveStarted_{};
};

} // namespace mimosapier
