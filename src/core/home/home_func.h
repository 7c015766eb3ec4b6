// A home partition held by this daemon: journals jobs, dispatches them to groups, and keeps their outcomes.
// Called by the node on its decision thread. The functions do not block: they change the state and add actions to the
// context.
#pragma once

#include "core/common/handle_type.h"
#include "core/message/context_type.h"

#include <string>

namespace mimosapier
{

struct Home;

template <>
void Destroy<Home>::operator()(Home *state) const;

// Starts the recovery of a partition that this daemon has gained with `epoch`. The partition reads its journal and
// fences the previous holder before it accepts jobs; until then messages are queued. The caller owns the state.
Handle<Home> makeHome(const ShardId &partition, Epoch epoch, Context &context);

// Each is answered with exactly one JobAnswer to replyTo_, now or later:
// - a submit once its job is durable (Pending, or its state if it was known) or refused (NotRun), at the latest shortly
//   before message.remaining_ has passed; Unknown when the journal may hold the job;
// - a query when the job is final, at the latest after message.wait_ or ten minutes; Unknown with UnknownJob for a job
//   that this partition does not know;
// - a cancellation when all jobs are final, at the latest after five seconds, with one result per job in request order.
// Queries and cancellations that arrive before the journal is read wait for that, also beyond these times.
// NotHolder means that the sender should ask the current holder.
void onJobSubmit(Home &home, const DaemonId &from, const JobSubmit &message, Context &context);
void onJobQuery(Home &home, const DaemonId &from, const JobQuery &message, Context &context);
void onJobCancel(Home &home, const DaemonId &from, const JobCancel &message, Context &context);

// Handles the answer of a group to a TaskOffer of this partition. `from` is the daemon that sent it.
void onHomeTaskAnswer(Home &home, const DaemonId &from, const TaskAnswer &message, Context &context);
// Handles the result of a store operation of this partition; unknown ids are ignored.
void onHomeStoreResult(Home &home, const StoreResult &result, Context &context);
// Handles the loss of the connection to a peer: offers sent to it are resent once its groups are reachable again.
void onHomePeerDown(Home &home, const DaemonId &peer, Context &context);

// Handles a change of the directory: offers to groups with a new holder or epoch are resent with mayHaveRun_ set.
void onHomeDirectory(Home &home, Context &context);
// Runs timers, flushes, retries and expiry. Called on every tick of the node.
void tickHome(Home &home, Context &context);

// True once the journal has shown that a later holder exists. Final: the state accepts and starts nothing any more.
bool isFenced(const Home &home);

// Prepares a planned hand-over: refuses new jobs from now on, drops jobs that were not appended to the journal yet
// (answered NotRun with NotHolder), and flushes the rest. Cannot be undone.
void stopAccepting(Home &home, Context &context);
// True when nothing is being written any more and the state may be destroyed.
bool canHandOver(const Home &home);

// JSON object for the admin view: jobs by state, journal length, flush interval.
std::string homeDocument(const Home &home);

} // namespace mimosapier
