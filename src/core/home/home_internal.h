// Functions shared by the files of core/home. Not for other parts, which use home_func.h.
#pragma once

#include "core/home/home_base.h"

#include <span>
#include <string_view>

namespace mimosapier
{

constexpr Milliseconds RefusalRetention{60'000}; // how long refusals are remembered; groups use the same time

// journal.cpp
// Queues a record for the next log entry. It is durable when onRecordDurable is called.
void appendRecord(Home &home, JournalRecord record, Context &context);
// Creates the fence entry: it takes the next log key, so that the previous holder can write no more.
void writeFence(Home &home, Context &context);
void tickJournal(Home &home, Context &context);
void onWriteResult(Home &home, const HomeOp &op, const StoreResult &result, Context &context);
// Store keys of a log entry and of the snapshot head.
std::string logKey(const Home &home, std::uint64_t sequence);
std::string headKey(const Home &home);
// Sends a store operation and registers it in Home::ops_.
void sendHomeOp(Home &home, HomeOp op, StoreOp body, Context &context);
// Doubles `delay` within [first, maxDelay] and returns it with a jitter of +-50 %.
Milliseconds nextBackoff(Milliseconds &delay, Milliseconds first, Milliseconds maxDelay, Context &context);
// True while the partition is active and the last proof is newer than MaxOfferProofAge. A later holder can only have
// appeared after the proof, so groups still remember its refusals: an offer cannot start a task that the later holder
// has moved to another group.
bool mayOffer(const Home &home, TimePoint now);
// True while the last proof is so recent that no later holder can have acknowledged an outcome since.
bool hasFreshProof(const Home &home, TimePoint now);
// Starts to check with the store that no later holder exists, unless a write or a probe already does.
void requestProbe(Home &home, Context &context);
void onProbeResult(Home &home, const HomeOp &op, const StoreResult &result, Context &context);
// Removes the pending records of a job if its Accepted record is still pending, and returns whether it was.
bool withdrawAccepted(Home &home, const JobId &job);

// recovery.cpp
// Drops what was read and starts again with the snapshot head.
void startRecovery(Home &home, Context &context);
void tickRecovery(Home &home, Context &context);
void onRecoveryResult(Home &home, const HomeOp &op, const StoreResult &result, Context &context);
// Applies a log entry that an earlier holder wrote. Entries are applied in the order of their sequences.
void applyEntry(Home &home, std::uint64_t sequence, const JournalEntry &entry, Revision revision);
// Applies a durable record, read or written. Records of jobs that have expired are ignored.
void applyRecord(Home &home, const JournalRecord &record);
// Ends the recovery: continues the unfinished jobs and processes the messages queued during recovery.
void becomeActive(Home &home, Context &context); // home.cpp
// Called when the store shows a later holder or a value that cannot be decoded: answers all requesters NotHolder and
// drops the state.
void becomeFenced(Home &home, Context &context);

// snapshot.cpp
void tickSnapshot(Home &home, Context &context);
void onSnapshotResult(Home &home, const HomeOp &op, const StoreResult &result, Context &context);

// dispatch.cpp
// Adds a job with `spec.tasks_` unassigned tasks. The reference is valid until the job is removed from Home::jobs_.
HomeJob &addJob(Home &home, const JobSpec &spec);
// How long after its accept deadline a job may still be started; zero for interactive work.
Milliseconds startTimeoutOf(const JobSpec &spec);
// assignment.cpp: assigns unassigned tasks to usable groups; empty when none is usable or a gang is still running in
// part. The caller appends the record that makes the assignments durable.
std::vector<TaskRange> assignTasks(Home &home, HomeJob &job, Context &context);
// Answers queries, assigns, offers, resends, stops or expires as is due for the job now, and sets its timer. The job
// may be removed from Home::jobs_.
void advanceJob(Home &home, HomeJob &job, Context &context);
// Brings the next advanceJob of the job forward to `time`; a later time than the one set is ignored.
void setTimerNoLaterThan(Home &home, HomeJob &job, TimePoint time);
// Resends all open offers to the group.
void resendOffers(Home &home, const ShardId &group, Context &context);
// assignment.cpp: true when each group in the directory has answered that no worker of it can hold a task.
bool isTooLargeForAllGroups(const HomeJob &job, const Context &context);
// Sends the acknowledgements and stops collected since the last call, one message per group and kind.
void sendAcksAndStops(Home &home, Context &context);

// results.cpp
// Sets final results and appends them to the journal. Results longer than MaxResultBytes are truncated.
void finishTasks(Home &home, HomeJob &job, std::vector<TaskResult> results, Context &context);
// Called after a written record was applied: acknowledges results, answers requesters and advances the job.
void onRecordDurable(Home &home, const JournalRecord &record, Context &context);
// Starts the retention time of a final job and frees its payload.
void startRetention(Home &home, HomeJob &job, Context &context);
// Acknowledges the durable results of a job after recovery, because the previous holder may not have done so.
void acknowledgeDurableResults(Home &home, const HomeJob &job);
// Keeps the outcome of a final non-idempotent job for OutcomeRetention.
void retainOutcome(Home &home, const JobId &job, Outcome outcome, ErrorKind error, TimePoint now);
// Forgets final jobs and retained outcomes that are too old, too many or too large.
void expireFinished(Home &home, Context &context);

// answers.cpp
// Sets replyTo_ of the answer and sends it.
void sendJobAnswer(const Requester &requester, JobAnswer answer, Context &context);
// Durable state of a job.
JobAnswer jobState(const HomeJob &job);
// State of a job that is not in Home::jobs_, from retained outcomes and refusals; else UnknownJob.
JobAnswer absentJobState(const Home &home, const JobId &job, TimePoint now);
// Answers the submitters with the state of a job that was accepted.
void answerSubmitters(HomeJob &job, Context &context);
// Answers the queries whose deadline has passed, or all of them.
void answerQueries(HomeJob &job, Context &context, bool all);
// Answers the submitters with an error. With NotRun the queries are answered as well and the refusal is remembered.
void answerSubmittersWithError(Home &home, HomeJob &job, Outcome outcome, ErrorKind error, Context &context);
// Remembers a submit answered NotRun for RefusalRetention.
void rememberRefusal(Home &home, const JobId &job, std::uint32_t attempt, ErrorKind error, TimePoint now);
// Processes the messages queued during recovery.
void handleWaitingMessages(Home &home, Context &context);
// Answers the requesters of a job NotHolder, so that they ask the current holder. Submits get `outcome`, queries
// Unknown.
void answerJobNotHolder(HomeJob &job, Outcome outcome, Context &context);
// Answers all requesters NotHolder. Withdraws records that were not sent to the store, so that NotRun is true for them.
void answerAllNotHolder(Home &home, Context &context);

// cancel.cpp
// Sends stops for the offered tasks of a job that is cancelled or whose gang restarts, and ends or unassigns the tasks
// that were never offered. Stops are resent until the groups report the end.
void stopTasks(Home &home, HomeJob &job, Context &context);
// Answers the cancellations whose jobs are all final or whose deadline has passed.
void answerPendingCancels(Home &home, Context &context);
// Appends a Cancelled record for each unfinished job and registers the requester in Home::pendingCancels_. A job
// whose Accepted record was not appended is removed instead, and its submitters are answered NotRun.
void cancelJobs(Home &home, const Requester &requester, const std::vector<JobId> &jobs, Context &context);

} // namespace mimosapier
