// A group that this daemon holds: takes over its workers, queues and places tasks, and reports their outcomes to
// entries and homes. core/node calls it for every event. Nothing blocks; calls to workers, peers and the store are
// actions in Context::actions_. A group never starts a task on a worker that has not acknowledged its epoch.
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

// State of a group that this daemon has gained with an epoch. setGroupWorkers then claims its workers. `allowances`
// must outlive the group, and openGroupAllowances must be called for the group before tasks can start.
Handle<Group> makeGroup(const ShardId &id, Epoch epoch, AllowanceState &allowances);

// Sets the workers of the group from the instance list and claims new ones. Tasks on a worker that is missing keep
// running; nothing new is placed on it.
void setGroupWorkers(Group &group, std::span<const WorkerInfo> workers, Context &context);

// Messages from entries, homes and other groups. Answers to an entry go to `from`; those to a home or group go to
// the holder that the directory names, or to `from` when it names none.
void onTaskOffer(Group &group, const DaemonId &from, const TaskOffer &message, Context &context);
void onTaskCancel(Group &group, const TaskCancel &message, Context &context);
void onTaskAck(Group &group, const TaskAck &message, Context &context);

// Answer of the second candidate to an offer or a query of this group.
void onForwardedAnswer(Group &group, const DaemonId &from, const TaskAnswer &message, Context &context);

// Result of a WorkerRequest that this group has pushed; results of unknown requests are ignored.
void onWorkerResult(Group &group, const WorkerResult &result, Context &context);

// The connection to a daemon was lost: queries that it has not answered are repeated soon.
void onGroupPeerDown(Group &group, const DaemonId &peer, Context &context);

// Regular work: deadlines, resends, gang reservations and limits.
void tickGroup(Group &group, Context &context);

// Load to announce to other daemons; waitMs_ is an estimate in milliseconds at the time of the last event.
GroupLoad groupLoad(const Group &group);

// True after a worker has answered with a higher epoch: the group is held elsewhere.
bool isFenced(const Group &group);

// Starts the planned hand-over: no task is started any more. Tasks that have not started are refused with NotRun and
// NotHolder, so that they go to the next holder. Cannot be undone.
void stopStarting(Group &group, Context &context);

// True when the group is fenced, or when after stopStarting no start call is open and interactive requests are answered
// or HandOverWait has passed.
bool canHandOver(const Group &group);

// English text for operators: why a task waits, where it runs or how it ended; empty when the group does not know it.
std::string explainTask(const Group &group, const TaskId &task, TimePoint now);

// JSON object for the admin view: workers, running and queued tasks by team, reserved and total resources.
std::string groupDocument(const Group &group, TimePoint now);

} // namespace mimosapier
