// Functions that the files of the entry share.
#pragma once

#include "core/entry/entry_base.h"

namespace mimosapier
{

// Checks that need nothing but the request and the bundle; on success `spec` is filled in. Errors: MalformedRequest,
// UnknownTeam, UnknownClass, ImpossibleSize, BodyTooLarge.
ErrorKind checkSubmit(const SubmitRequest &request, const Context &context, JobSpec &spec);
bool isRequestId(std::string_view id);

// Overloaded when there is no room for another submit of the team at this priority, else None.
ErrorKind checkCapacity(const Entry &entry, const TeamId &team, Priority priority);

// Opens a request and sends it as far as possible.
CallId addRequest(Entry &entry, OpenRequest request, Context &context);
// Does what is due for an open request: sends, waits or gives up. The request may be gone afterwards.
void advanceRequest(Entry &entry, CallId id, Context &context);
void setTimer(Entry &entry, CallId id, OpenRequest &request, TimePoint time);
// The message under way is lost.
void markMessageLost(Entry &entry, OpenRequest &request);
// Waits with jitter before the next message of the request.
void scheduleBackoff(OpenRequest &request, Context &context);
// Candidate groups among those of a region that the directory knows.
void setCandidates(OpenRequest &request, const RegionId &region, const Context &context);
ShardId homeOf(const JobId &job, const TeamId &team, const Context &context);
RegionId homeRegionOf(const TeamId &team, const Context &context);

// Answers the caller and closes the request.
void finishRequest(Entry &entry, CallId id, Outcome outcome, ErrorKind error, Context &context);
// The deadline has passed without an answer.
void finishAfterDeadline(Entry &entry, CallId id, Context &context);

// Closes the request without an answer.
void removeRequest(Entry &entry, CallId id);

// A part of a cancellation is settled.
void finishCancelPart(Entry &entry, const OpenRequest &request, Context &context);
// Answer of a home to a part of a cancellation.
void onCancelAnswer(Entry &entry, CallId id, const JobAnswer &message, Context &context);

} // namespace mimosapier
