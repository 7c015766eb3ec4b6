// A home partition held by this daemon: journals jobs, dispatches them to groups, and keeps their outcomes.
#pragma once

#include "core/common/handle_type.h"
#include "core/message/context_type.h"

#include <string>

namespace mimosapier
{

struct Home;

template <>
void Destroy<Home>::operator()(Home *state) const;

// Opens the state of a partition that was gained with an epoch; it reads the journal and fences the previous holder
// before it accepts anything.
Handle<Home> makeHome(const ShardId &partition, Epoch epoch, Context &context);

// Each answers with exactly one JobAnswer to replyTo_, now or later; a submit is answered when accepted or refused.
void onJobSubmit(Home &home, const DaemonId &from, const JobSubmit &message, Context &context);
void onJobQuery(Home &home, const DaemonId &from, const JobQuery &message, Context &context);
void onJobCancel(Home &home, const DaemonId &from, const JobCancel &message, Context &context);

// Answer of a group to a TaskOffer of this home.
void onHomeTaskAnswer(Home &home, const DaemonId &from, const TaskAnswer &message, Context &context);
void onHomeStoreResult(Home &home, const StoreResult &result, Context &context);
void onHomePeerDown(Home &home, const DaemonId &peer, Context &context);

// The directory has changed: offers to groups with a new holder or epoch are repeated with mayHaveRun_.
void onHomeDirectory(Home &home, Context &context);
void tickHome(Home &home, Context &context);

// True after the journal showed that a later holder exists.
bool isFenced(const Home &home);

// Flushes what is accepted, then refuses new jobs, so that the partition can be handed over.
void stopAccepting(Home &home, Context &context);
bool canHandOver(const Home &home);

// JSON for the admin view: jobs by state, journal length, flush interval.
std::string homeDocument(const Home &home);

} // namespace mimosapier
