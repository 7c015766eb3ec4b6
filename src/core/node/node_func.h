// The decision logic of one daemon as a whole: routes each event to its part and returns the actions.
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
    std::uint64_t seed_ = 1; // of jitter and sampling
};

Handle<Node> makeNode(const NodeSettings &settings);

// First step; actions are appended to `actions`.
void startNode(Node &node, TimePoint now, Actions &actions);

// Handles one event. A Tick is due every TickInterval.
void step(Node &node, const Event &event, TimePoint now, Actions &actions);

constexpr Milliseconds TickInterval{20};

// True while new requests of callers are admitted, for the readiness check: a bundle is in force, the region was served
// once, and the daemon is not leaving.
bool isReady(const Node &node);

} // namespace mimosapier
