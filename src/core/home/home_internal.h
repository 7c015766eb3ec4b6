// Functions that the files of the home partition share.
#pragma once

#include "core/home/home_base.h"

#include <span>
#include <string_view>

namespace mimosapier
{

constexpr Milliseconds RefusalRetention{60'000}; // ids refused are remembered this long, by groups as well

// journal.cpp
void appendRecord(Home &home, JournalRecord record, Context &context);
void writeFence(Home &home, Context &context);
void tickJournal(Home &home, Context &context);
void onWriteResult(Home &home, const HomeOp &op, const StoreResult &result, Context &context);
std::string logKey(const Home &home, std::uint64_t sequence);
std::string headKey(const Home &home);
void sendHomeOp(Home &home, HomeOp op, StoreOp body, Context &context);
// Raises a back-off delay and returns it with jitter.
Milliseconds nextBackoff(Milliseconds &delay, Milliseconds first, Milliseconds maxDelay, Context &context);
// True when no later holder can have ended an assignment long enough ago for groups to have forgotten it.
bool mayOffer(const Home &home, TimePoint now);
// True when no later holder can have ended a task yet.
bool hasFreshProof(const Home &home, TimePoint now);
void requestProbe(Home &home, Context &context);
void onProbeResult(Home &home, const HomeOp &op, const StoreResult &result, Context &context);
// Removes the Accepted record of a job that is not under way to the store; false when there is none.
bool withdrawAccepted(Home &home, const JobId &job);

// recovery.cpp
void startRecovery(Home &home, Context &context);
void tickRecovery(Home &home, Context &context);
void onRecoveryResult(Home &home, const HomeOp &op, const StoreResult &result, Context &context);
// Applies an entry that another holder wrote.
void applyEntry(Home &home, std::uint64_t sequence, const JournalEntry &entry, Revision revision);
void applyRecord(Home &home, const JournalRecord &record);
void becomeActive(Home &home, Context &context);
void becomeFenced(Home &home, Context &context);

// snapshot.cpp
void tickSnapshot(Home &home, Context &context);
void onSnapshotResult(Home &home, const HomeOp &op, const StoreResult &result, Context &context);

// dispatch.cpp
HomeJob &addJob(Home &home, const JobSpec &spec);
// Time for starting an accepted job beyond its deadline for being accepted.
Milliseconds startTimeoutOf(const JobSpec &spec);
// assignment.cpp: assigns tasks without a group as far as groups can take them; the record that makes it durable is
// left to the caller.
std::vector<TaskRange> assignTasks(Home &home, HomeJob &job, Context &context);
// Does what is due for a job and sets its timer.
void advanceJob(Home &home, HomeJob &job, Context &context);
void setTimer(Home &home, HomeJob &job, TimePoint time);
// Repeats open offers to the group.
void resendOffers(Home &home, const ShardId &group, Context &context);
// assignment.cpp
bool isTooLargeForAllGroups(const HomeJob &job, const Context &context);
// Sends the acknowledgements and stops collected in this step, one message per group.
void sendAcksAndStops(Home &home, Context &context);

// results.cpp
void finishTasks(Home &home, HomeJob &job, std::vector<TaskResult> results, Context &context);
// The record became durable: sends what depended on it.
void onRecordDurable(Home &home, const JournalRecord &record, Context &context);
// Starts the time for which a job that was read as final is kept.
void startRetention(Home &home, HomeJob &job, Context &context);
// Acknowledges results again that were durable when the journal was read: the previous holder may not have done so.
void acknowledgeFinished(Home &home, const HomeJob &job);
void retainOutcome(Home &home, const JobId &job, Outcome outcome, ErrorKind error, TimePoint now);
void expireFinished(Home &home, Context &context);

// answers.cpp
void sendJobAnswer(const Requester &requester, JobAnswer answer, Context &context);
JobAnswer jobState(const HomeJob &job);
// State of a job that is not in Home::jobs_.
JobAnswer absentJobState(const Home &home, const JobId &job, TimePoint now);
void answerSubmitters(HomeJob &job, Context &context);
void answerQueries(HomeJob &job, Context &context, bool all);
void refuseSubmitters(Home &home, HomeJob &job, Outcome outcome, ErrorKind error, Context &context);
void rememberRefusal(Home &home, const JobId &job, std::uint32_t attempt, ErrorKind error, TimePoint now);
void handleWaitingMessages(Home &home, Context &context);
// Sends the askers of a job to the present holder; `outcome` is that of its submits.
void answerJobNotHolder(HomeJob &job, Outcome outcome, Context &context);
void answerAllNotHolder(Home &home, Context &context);

// cancel.cpp
// Stops the offered tasks of a job that is cancelled or whose gang restarts, and ends those that never were offered.
void stopTasks(Home &home, HomeJob &job, Context &context);
void answerPendingCancels(Home &home, Context &context);
void cancelJobs(Home &home, const Requester &requester, const std::vector<JobId> &jobs, Context &context);

} // namespace mimosapier
