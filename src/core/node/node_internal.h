// Functions shared by the files of the node.
#pragma once

#include "core/node/node_base.h"

namespace mimosapier
{

// Workers of a group in a reading of the instance list.
std::vector<WorkerInfo> workersOfGroup(const InstanceSnapshot &snapshot, const ShardId &group);

} // namespace mimosapier

namespace mimosapier::detail
{

// Context of the moment. Valid until the bundle or the directory changes, so each dispatch makes its own.
Context makeContext(Node &node, TimePoint now, Actions &actions);

void dispatchPeer(Node &node, const PeerReceived &event, TimePoint now, Actions &actions);
void dispatchStore(Node &node, const StoreResult &result, TimePoint now, Actions &actions);
void dispatchCaller(Node &node, const CallerRequest &request, TimePoint now, Actions &actions);

// Opens the shards that were gained and closes those that were lost.
void applyOwnership(Node &node, TimePoint now, Actions &actions);

// Tells homes when a holder or an epoch has changed.
void propagateDirectory(Node &node, TimePoint now, Actions &actions);

// Reads the ownership table for shards on which a later epoch was seen.
void checkFenced(Node &node, TimePoint now, Actions &actions);

// Stops and releases the shards that go to other daemons.
void handOverShards(Node &node, TimePoint now, Actions &actions);

void beginNodeLeave(Node &node, TimePoint now, Actions &actions);
void advanceLeave(Node &node, TimePoint now, Actions &actions);

// JSON of an admin view.
std::string adminDocument(const Node &node, AdminView view, TimePoint now);

} // namespace mimosapier::detail
