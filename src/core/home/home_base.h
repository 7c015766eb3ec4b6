// State of a home partition: jobs, journal, snapshot and the reads of a recovery. Private to core/home; other parts use
// home_func.h. Changed only on the decision thread, by the functions declared in home_internal.h.
#pragma once

#include "core/home/home_func.h"
#include "core/home/journal_type.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mimosapier
{

// A daemon that waits for the answer to a submit, query or cancellation. It gets exactly one.
struct Requester
{
    DaemonId daemon_;
    ReplyTo replyTo_;
    TimePoint deadline_; // the answer is sent at this time at the latest
    bool explain_ = false; // the answer to a query includes the reasons for waiting
};

// A task moves through: unassigned (group_ empty), assigned, assignment durable, offered, outcome final, outcome
// durable. Nothing is offered before the assignment is durable, and no outcome is reported before it is durable.
struct HomeTask
{
    TaskResult result_; // outcome_ is Pending or Running until a final outcome is set
    ShardId group_; // newest assignment; empty: not assigned
    CallId call_; // of the newest offer; a resent offer keeps it, a look-up gets a new one; 0: not offered yet
    bool offerSent_ = false; // an offer was sent to the current holder of group_ and need not be resent
    std::uint32_t lossCount_ = 0; // lost runs without preemptions; of a service, failed runs as well
    std::uint32_t refusalCount_ = 0; // assignments that a group refused
    bool assignmentDurable_ = false; // the record that assigns the task to group_ is durable
    bool mayHaveRun_ = false; // an offer that starts the task may have reached group_
    bool lastOfferIsLookup_ = false; // the newest offer only asked for the state and cannot start the task
    bool lastOfferIsFirst_ = false; // the newest offer was the first of this assignment
    bool outcomeDurable_ = false; // the record of the outcome is durable
};

// *Appended_ is set when the record enters the journal's queue, *Durable_ when the store holds it. Answers and offers
// depend on *Durable_ only.
struct HomeJob
{
    JobSpec spec_;
    std::vector<HomeTask> tasks_;
    bool acceptAppended_ = false; // Accepted record
    bool acceptDurable_ = false;
    bool cancelAppended_ = false; // Cancelled record
    bool cancelDurable_ = false;
    bool gangRestarting_ = false; // a task of the gang was lost; the others are being stopped
    bool submittersAnsweredUnknown_ = false; // the submitters were answered Unknown at the deadline
    std::uint32_t unfinishedTasks_ = 0; // tasks whose outcomeDurable_ is false
    std::uint32_t attempt_ = 1; // highest attempt number of the submits
    TimePoint acceptDeadline_; // unless accepted by then, answered NotRun, or Unknown if the store may hold the record
    TimePoint startDeadline_; // tasks not offered by then end as NotRun, except of services; zero: not set
    TimePoint nextAssignAt_; // back-off after a refusal or a loss
    TimePoint nextOfferAt_; // back-off after a NotHolder or StaleEpoch answer
    TimePoint nextStopAt_; // stops are resent at this time; zero: none was sent
    TimePoint nextResendAt_; // open offers are resent at this time
    Milliseconds resendDelay_{0}; // zero: the job was not dispatched yet
    TimePoint timer_ = TimePoint::max(); // entry in Home::timers_
    std::vector<Requester> submitters_; // answered when the job is accepted or refused
    std::vector<Requester> queries_; // answered when the job is final or at their deadline
    std::map<ShardId, TimePoint> retryGroupAt_; // groups that refused a task, and when they may get another
    std::set<ShardId> tooSmallGroups_; // groups without a worker that can hold a task
};

// A cancellation of several jobs, answered when all of them are final or at its deadline.
struct PendingCancel
{
    Requester requester_;
    std::vector<JobId> jobs_;
    std::size_t finalJobs_ = 0; // jobs_[0, finalJobs_) are final
};

// Phases in order; a recovery may start again at ReadHead until the fence is confirmed.
enum class HomePhase : std::uint8_t {
    ReadHead, // of the snapshot
    ReadParts, // of the snapshot
    ReadLog, // entries that the snapshot does not cover
    WriteFence, // creates the fence entry
    Active, // accepts and dispatches jobs
    Fenced, // a later holder exists; final
};

// Store operations of a partition.
enum class HomeOpKind : std::uint8_t {
    ReadHead,
    ReadPart,
    ReadEntry,
    Write, // creates the next log entry
    ReadBack, // reads the key of a write whose answer was lost
    CheckHead, // reads the snapshot head, to rule out that a later holder has written and deleted the same key
    Probe, // reads the next log key to show that no later holder exists
    ProbeHead, // second step of a probe, when the last proof is older than MaxWriteProofAge
    PutPart,
    PutHead,
    Delete,
};

// A store operation in flight.
struct HomeOp
{
    HomeOpKind kind_ = HomeOpKind::ReadHead;
    std::uint64_t sequenceOrPart_ = 0; // sequence of a log entry or index of a snapshot part
    TimePoint sentAt_;
    std::string key_; // of Delete
    Revision revision_; // of Delete
};

// The log entry being written. value_ does not change once the store may have received it, so that a retry or a read
// back can recognize it.
struct JournalWrite
{
    bool active_ = false;
    bool mayBeStored_ = false; // an answer was lost, so the store may hold the value
    bool isFence_ = false;
    std::string value_;
    std::vector<JournalRecord> records_;
    TimePoint sentAt_; // first attempt
    HomeOpKind nextOp_ = HomeOpKind::Write; // operation of the next attempt: Write, ReadBack or CheckHead
    TimePoint retryAt_ = TimePoint::max(); // of the next attempt; max while an operation is in flight
    Revision revision_; // of the created key, while it is being confirmed
};

// Write side of the log. At most one entry is being written at a time.
struct Journal
{
    std::uint64_t nextSequence_ = 1; // sequence of the next entry to read or write
    std::deque<JournalRecord> pendingRecords_; // not sent to the store yet
    std::size_t pendingBytes_ = 0; // estimated size of pendingRecords_
    TimePoint pendingSince_; // of the first pending record
    JournalWrite write_;
    Milliseconds flushInterval_{0}; // from the first pending record to its write
    Milliseconds backoff_{0}; // current back-off while the store fails; 0 after a success
    TimePoint nextFlushAt_; // back-off; no new entry is written before this time
    TimePoint holderProvenAt_; // the last proof: newest time at which the store showed no entry of a later holder
    TimePoint activeSince_;
    bool probeInFlight_ = false;
    TimePoint probeSentAt_; // first step of the probe
    TimePoint nextProbeAt_; // back-off
    std::map<std::uint64_t, Revision> entries_; // stored entries, without fences, that no snapshot covers
    std::map<std::uint64_t, Revision> fences_; // fence entries in the store; revision 0: unknown
};

// The stored snapshot and the one being written.
struct Snapshot
{
    Revision revision_; // of the head key
    SnapshotHead head_; // newest known in the store
    bool writing_ = false; // draft_ is being written
    SnapshotHead draft_;
    std::vector<std::string> draftParts_; // encoded parts of draft_
    std::size_t nextPart_ = 0; // first draft part that is not stored
    std::vector<Revision> partRevisions_; // of the parts of head_; zero when unknown
    std::vector<Revision> draftRevisions_; // of the draft parts stored so far
    TimePoint retryAt_ = TimePoint::max(); // of the next write; max while one is in flight
    std::deque<std::pair<std::string, Revision>> garbage_; // keys to delete, with the expected revision; 0: unknown
    std::size_t deletesInFlight_ = 0;
    TimePoint nextDeleteAt_; // back-off
};

// Reads of the snapshot and the log after the partition was gained.
struct Recovery
{
    std::map<std::uint64_t, StoreEntry> readAhead_; // entries read before an earlier one; not applied yet
    std::set<std::uint64_t> absentSequences_; // sequences that the store does not hold
    std::set<std::uint64_t> pendingReads_; // parts or sequences to request, for the first time or after an error
    std::uint64_t readEnd_ = 1; // first sequence that was not requested yet
    std::uint32_t partsRead_ = 0;
    TimePoint retryAt_; // back-off; no read is retried before this time
    Milliseconds backoff_{0};
};

// A submit that was answered NotRun. A copy of it that arrives late gets the same answer and cannot start the job.
struct RefusedSubmit
{
    std::uint32_t attempt_ = 1; // highest refused; a higher attempt is a new submit
    ErrorKind error_ = ErrorKind::None;
    TimePoint expiresAt_;
};

// Outcome of a final non-idempotent job. Kept after its results have expired, so that a late resubmit does not run it
// again.
struct RetainedOutcome
{
    Outcome outcome_ = Outcome::Unknown;
    ErrorKind error_ = ErrorKind::None;
    TimePoint expiresAt_;
};

// Holder of a group that the open offers were sent to. Offers are resent when the directory shows another one.
struct OfferTarget
{
    DaemonId holder_;
    Epoch epoch_;
    bool reachable_ = false;
};

// Corrects the reported load of a group by what this partition assigned to it since the report.
struct GroupUsage
{
    GroupLoad load_; // newest report
    std::uint32_t assignedSinceReport_ = 0; // tasks assigned since load_ was reported
};

// A submit that arrived before the journal was read.
struct WaitingSubmit
{
    DaemonId from_;
    JobSubmit message_;
    TimePoint deadline_;
};

// Invariants:
// - journal_.write_ is the only log write in flight; records become durable in the order in which they were appended.
// - timers_ holds exactly the jobs whose timer_ is not max.
// - Each job in finishedOrder_ is final, unless it has been removed from jobs_.
struct Home
{
    ShardId partition_;
    Epoch epoch_;
    HomePhase phase_ = HomePhase::ReadHead;
    bool stopping_ = false; // no new jobs; the partition is being handed over
    Journal journal_;
    Snapshot snapshot_;
    Recovery recovery_;
    std::map<StoreOpId, HomeOp> ops_; // in flight
    std::map<JobId, HomeJob> jobs_;
    std::deque<std::pair<TimePoint, JobId>> finishedOrder_; // expiry of final jobs, oldest first
    std::map<JobId, RetainedOutcome> retainedOutcomes_;
    std::deque<std::pair<TimePoint, JobId>> retainedOrder_; // expiry, oldest first
    std::size_t finishedBytes_ = 0; // size of the durable results in jobs_, estimate
    std::set<std::pair<TimePoint, JobId>> timers_; // when advanceJob is due for a job
    std::map<JobId, RefusedSubmit> refusedSubmits_;
    std::deque<std::pair<TimePoint, JobId>> refusedSubmitOrder_; // expiry, oldest first
    std::map<ShardId, std::set<JobId>> unfinishedJobsByGroup_; // may contain jobs that have ended since
    std::map<ShardId, OfferTarget> offerTargets_; // by group
    std::map<ShardId, GroupUsage> groupUsage_;
    std::vector<WaitingSubmit> waitingSubmits_; // processed when the partition becomes active
    std::vector<std::pair<JobQuery, Requester>> waitingQueries_;
    std::vector<std::pair<JobCancel, Requester>> waitingCancels_;
    std::vector<PendingCancel> pendingCancels_;
    std::map<ShardId, std::vector<TaskId>> pendingAcks_; // sent by sendAcksAndStops
    std::map<ShardId, std::vector<TaskId>> pendingStops_; // sent by sendAcksAndStops
    std::uint64_t acceptedCount_ = 0;
    std::uint64_t finishedCount_ = 0;
    std::uint64_t writtenEntries_ = 0; // log entries written
};

} // namespace mimosapier
