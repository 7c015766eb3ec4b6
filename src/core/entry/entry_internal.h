// Functions shared by the files of core/entry. Not for other parts, which use entry_func.h.
#pragma once

#include "core/entry/entry_base.h"

namespace mimosapier
{

// Validates a submit against the bundle in force and fills in `spec` on success. Errors: MalformedRequest,
// UnknownTeam, UnknownClass, ImpossibleSize, BodyTooLarge.
ErrorKind checkSubmit(const SubmitRequest &request, const Context &context, JobSpec &spec);
// True for 1 to 64 characters out of letters, digits, '.', '_' and '-'.
bool isValidRequestId(std::string_view id);

// Overloaded when the open submits of the entry or the team have reached the limit for the priority, otherwise None.
ErrorKind checkCapacity(const Entry &entry, const TeamId &team, Priority priority);

// Registers a request and sends its first message if the target is reachable. The request may be finished on return.
CallId addRequest(Entry &entry, EntryRequest request, Context &context);
// Sends the next message of a request, detects a lost one or answers at the deadline, and sets the timer. The request
// may be removed.
void advanceRequest(Entry &entry, CallId id, Context &context);
// Replaces the time of the next advanceRequest.
void setTimer(Entry &entry, CallId id, EntryRequest &request, TimePoint time);
// Records that the message in flight was lost: unless it was a look-up, it may have started the work.
void markMessageLost(Entry &entry, EntryRequest &request);
// Delays the next message of the request by a growing back-off with jitter.
void scheduleBackoff(EntryRequest &request, Context &context);
// Sets the two candidate groups of the job among those of the region in the directory; empty when there are none.
void setCandidates(EntryRequest &request, const RegionId &region, const Context &context);
// Home partition of a job, from the home region of its team.
ShardId homeOf(const JobId &job, const TeamId &team, const Context &context);
// Home region of a team; the region of this daemon when the team is unknown or has none.
RegionId homeRegionOf(const TeamId &team, const Context &context);

// Answers the caller and removes the request; for a part of a cancellation, completes the part.
void finishRequest(Entry &entry, CallId id, Outcome outcome, ErrorKind error, Context &context);
// Finishes a request at its deadline: NotRun only if no message can have started the work.
void finishAfterDeadline(Entry &entry, CallId id, Context &context);

// Removes the request without an answer.
void removeRequest(Entry &entry, CallId id);

// Completes a part of a bulk cancellation; the last part answers the caller.
void finishCancelPart(Entry &entry, const EntryRequest &request, Context &context);
// Handles the answer of a home partition to a part of a bulk cancellation. Jobs that it does not know may be
// interactive: they are cancelled at their candidate groups.
void onCancelAnswer(Entry &entry, CallId id, const JobAnswer &message, Context &context);

} // namespace mimosapier
