// The decision logic of one daemon. Routes each event to the part that handles it and appends the resulting actions.
//
// Called by the daemon's event loop (src/daemon) and by tests, on one thread. Performs no I/O and reads no clock:
// inputs are events and `now`, outputs are actions, and all randomness comes from NodeSettings::seed_.
#pragma once

#include "core/member/member_func.h"
#include "core/message/context_type.h"

#include <cstdint>

namespace mimosapier
{

struct Node;

template <>
void Destroy<Node>::operator()(Node *state) const;

struct NodeSettings
{
    MemberSettings member_;
    std::uint64_t seed_ = 1; // for jitter and sampling
};

// The caller owns the result.
Handle<Node> makeNode(const NodeSettings &settings);

// Call once, before step. Actions are appended to `actions`.
void startNode(Node &node, TimePoint now, Actions &actions);

// Handles one event; actions are appended to `actions`. `now` must not decrease between calls. The caller sends a Tick
// every TickInterval.
void step(Node &node, const Event &event, TimePoint now, Actions &actions);

constexpr Milliseconds TickInterval{20};

// Result of the readiness check: true when a bundle is in force, all shards of the region had reachable holders at
// least once, and the daemon is not leaving.
bool isReady(const Node &node);

} // namespace mimosapier
