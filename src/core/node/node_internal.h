// Functions that the files of this folder share. Not for other parts.
#pragma once

#include "core/node/node_base.h"

namespace mimosapier
{

// Workers of the group in the instance list.
std::vector<WorkerInfo> workersOfGroup(const InstanceSnapshot &snapshot, const ShardId &group);

} // namespace mimosapier

namespace mimosapier::detail
{

// Context of one call. It refers to the bundle and the directory and becomes invalid when either is replaced, so each
// call into a part makes its own.
Context makeContext(Node &node, TimePoint now, Actions &actions);

void dispatchPeer(Node &node, const PeerReceived &event, TimePoint now, Actions &actions);
void dispatchStore(Node &node, const StoreResult &result, TimePoint now, Actions &actions);
void dispatchCaller(Node &node, const CallerRequest &request, TimePoint now, Actions &actions);

// Opens the shards that were gained and closes those that were lost.
void applyOwnership(Node &node, TimePoint now, Actions &actions);

// Tells the homes when a holder, an epoch or the reachability of a shard has changed.
void propagateDirectory(Node &node, TimePoint now, Actions &actions);

// Requests a read of the ownership table for held shards of which a higher epoch was seen.
void checkFencedShards(Node &node, TimePoint now, Actions &actions);

// Stops work on the shards that membership wants to release, and releases those with no work in progress.
void handOverShards(Node &node, TimePoint now, Actions &actions);

// Starts a planned leave; repeated calls have no effect.
void beginNodeLeave(Node &node, TimePoint now, Actions &actions);

// Moves to the next phase of a leave when its condition is met. Emits LeaveFinished once, at the end.
void advanceLeave(Node &node, TimePoint now, Actions &actions);

// JSON document of an admin view.
std::string adminDocument(const Node &node, AdminView view, TimePoint now);

} // namespace mimosapier::detail
