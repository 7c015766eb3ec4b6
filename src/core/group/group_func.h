// A group held by this daemon: takes over its workers, queues and places tasks, and tells what became of them.
#pragma once

#include "core/common/handle_type.h"
#include "core/common/instance_type.h"
#include "core/limit/limit_func.h"
#include "core/message/context_type.h"

#include <span>
#include <string>

namespace mimosapier
{

struct Group;

template <>
void Destroy<Group>::operator()(Group *state) const;

// Opens the state of a group that was gained with an epoch. Its workers are claimed by setGroupWorkers.
Handle<Group> makeGroup(const ShardId &id, Epoch epoch, AllowanceState &allowances);

// Workers of the group by the instance list; claims new ones.
void setGroupWorkers(Group &group, std::span<const WorkerInfo> workers, Context &context);

void onTaskOffer(Group &group, const DaemonId &from, const TaskOffer &message, Context &context);
void onTaskCancel(Group &group, const TaskCancel &message, Context &context);
void onTaskAck(Group &group, const TaskAck &message, Context &context);

// Answer to an offer that this group forwarded to its second candidate.
void onForwardedAnswer(Group &group, const DaemonId &from, const TaskAnswer &message, Context &context);
void onWorkerResult(Group &group, const WorkerResult &result, Context &context);
void onGroupPeerDown(Group &group, const DaemonId &peer, Context &context);
void tickGroup(Group &group, Context &context);

GroupLoad groupLoad(const Group &group);

// True after a worker has answered with a higher epoch: the group is held elsewhere.
bool isFenced(const Group &group);

// Stops starting tasks; queued tasks are refused with NotRun/NotHolder so that they go to the next holder.
void stopStarting(Group &group, Context &context);

// True when no start is under way, so that the group can be handed over.
bool canHandOver(const Group &group);

// Why a task waits or where it runs; empty when the group does not know it.
std::string explainTask(const Group &group, const TaskId &task, TimePoint now);

// JSON for the admin view: workers, running and queued tasks by team, used and total resources.
std::string groupDocument(const Group &group, TimePoint now);

} // namespace mimosapier
