// State of a home partition.
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

// A daemon that waits for an answer.
struct Requester
{
    DaemonId daemon_;
    ReplyTo replyTo_;
    TimePoint deadline_; // answered with the current state then
    bool explain_ = false;
};

struct HomeTask
{
    TaskResult result_; // outcome_ Pending or Running until the group tells the end
    ShardId group_; // newest assignment; empty: to be assigned
    CallId call_; // of the decision to offer the task to group_, kept by repeats; 0: no offer yet
    bool offerSent_ = false; // the present holder of group_ has the offer, as far as is known
    std::uint32_t lossCount_ = 0; // times the task was lost on a worker
    std::uint32_t refusalCount_ = 0; // assignments that ended as not run
    bool assignmentDurable_ = false; // the record of the assignment is durable
    bool mayHaveRun_ = false; // an earlier offer may have reached group_
    bool lastOfferIsLookup_ = false; // the newest offer was only a look-up
    bool lastOfferIsFirst_ = false; // the newest offer was the first to group_ of this assignment
    bool outcomeDurable_ = false; // the record of the outcome is durable
};

struct HomeJob
{
    JobSpec spec_;
    std::vector<HomeTask> tasks_;
    bool acceptAppended_ = false; // the Accepted record was appended to the journal
    bool acceptDurable_ = false; // and is durable
    bool cancelAppended_ = false;
    bool cancelDurable_ = false; // the Cancelled record is durable
    bool gangRestarting_ = false; // a task of the gang was lost; the others are being stopped
    bool submittersRefused_ = false; // the submitters were told that the deadline passed
    std::uint32_t unfinishedTasks_ = 0; // tasks with outcomeDurable_ false
    std::uint32_t attempt_ = 1; // highest of the caller
    TimePoint acceptDeadline_;
    TimePoint startDeadline_; // no new assignment later than this
    TimePoint nextAssignAt_; // back-off between assignments
    TimePoint nextOfferAt_; // back-off after an answer of a daemon that is not the holder
    TimePoint nextStopAt_; // stops are repeated then; zero: none was sent
    TimePoint nextResendAt_; // open offers are repeated then
    Milliseconds resendDelay_{0};
    TimePoint timer_ = TimePoint::max(); // entry in Home::timers_
    std::vector<Requester> submitters_; // wait for acceptance
    std::vector<Requester> queries_; // wait for the end
    std::map<ShardId, TimePoint> retryGroupAt_; // groups that are not asked again before the time
    std::set<ShardId> tooSmallGroups_; // groups without a worker that is large enough
};

// A cancellation of several jobs that waits until each is final.
struct PendingCancel
{
    Requester requester_;
    std::vector<JobId> jobs_;
    std::size_t finalJobs_ = 0; // jobs at the front that are final
};

enum class HomePhase : std::uint8_t {
    ReadHead,
    ReadParts,
    ReadLog,
    WriteFence, // creates the opening entry
    Active,
    Fenced, // there is a later holder
};

enum class HomeOpKind : std::uint8_t {
    ReadHead,
    ReadPart,
    ReadEntry,
    Write,
    ReadBack,
    CheckHead, // confirms that a created key is not one that a later holder had deleted
    Probe, // reads the next sequence to confirm that there is no later holder
    ProbeHead, // second step of a probe when the last proof is old
    PutPart,
    PutHead,
    Delete,
};

struct HomeOp
{
    HomeOpKind kind_ = HomeOpKind::ReadHead;
    std::uint64_t number_ = 0; // sequence or part
    TimePoint sentAt_;
    std::string key_; // of Delete
    Revision revision_; // of Delete
};

// The write that is under way. Its value does not change once the store may have it.
struct JournalWrite
{
    bool active_ = false;
    bool uncertain_ = false; // an answer was lost; the value may be in the store
    bool isFence_ = false;
    std::string value_;
    std::vector<JournalRecord> records_;
    TimePoint sentAt_; // of the first try
    HomeOpKind nextOp_ = HomeOpKind::Write; // operation of the next try: Write, ReadBack or CheckHead
    TimePoint retryAt_ = TimePoint::max(); // of the next try; max while an operation is under way
    Revision revision_; // of the created key, while it is being confirmed
};

struct Journal
{
    std::uint64_t nextSequence_ = 1; // first sequence that is not known to be in the log
    std::deque<JournalRecord> pendingRecords_; // not written yet
    std::size_t pendingBytes_ = 0; // estimate
    TimePoint pendingSince_; // of the first pending record
    JournalWrite write_;
    Milliseconds flushInterval_{0}; // between flushes
    Milliseconds backoff_{0}; // before the next try while the store does not answer; 0 after a success
    TimePoint nextFlushAt_; // no new write before
    TimePoint holderProvenAt_; // this holder was certainly the newest at this time
    TimePoint activeSince_;
    bool probeInFlight_ = false;
    TimePoint probeSentAt_; // of the first step
    TimePoint nextProbeAt_;
    std::map<std::uint64_t, Revision> entries_; // log keys in the store that are not covered by the snapshot
    std::map<std::uint64_t, Revision> fences_; // opening entries in the store; revision 0: not known
};

struct Snapshot
{
    Revision revision_; // of the head key
    SnapshotHead head_; // newest known
    bool writing_ = false;
    SnapshotHead draft_;
    std::vector<std::string> draftParts_; // values of the draft
    std::size_t nextPart_ = 0; // first part that is not stored
    std::vector<Revision> partRevisions_; // of head_; empty when not known
    std::vector<Revision> draftRevisions_;
    TimePoint retryAt_ = TimePoint::max();
    std::deque<std::pair<std::string, Revision>> garbage_; // keys to delete
    std::size_t deletesInFlight_ = 0; // under way
    TimePoint nextDeleteAt_; // back-off
};

struct Recovery
{
    std::map<std::uint64_t, StoreEntry> readAhead_; // log entries read, not applied
    std::set<std::uint64_t> absentSequences_; // sequences read and not found
    std::set<std::uint64_t> pendingReads_; // parts or sequences to be read, or read again after an error
    std::uint64_t readEnd_ = 1; // sequences below were requested
    std::uint32_t partsRead_ = 0;
    TimePoint retryAt_; // no read before
    Milliseconds backoff_{0};
};

struct RefusedSubmit
{
    std::uint32_t attempt_ = 1;
    ErrorKind error_ = ErrorKind::None;
    TimePoint expiresAt_;
};

// A non-idempotent job that is final. Its outcome is kept for long, so that a late repeat does not run again.
struct RetainedOutcome
{
    Outcome outcome_ = Outcome::Unknown;
    ErrorKind error_ = ErrorKind::None;
    TimePoint expiresAt_;
};

struct OfferTarget
{
    DaemonId holder_;
    Epoch epoch_;
    bool reachable_ = false;
};

struct GroupUsage
{
    GroupLoad load_; // newest report
    std::uint32_t assignedSinceReport_ = 0; // tasks assigned since load_ was reported
};

struct WaitingSubmit
{
    DaemonId from_;
    JobSubmit message_;
    TimePoint deadline_;
};

struct Home
{
    ShardId partition_;
    Epoch epoch_;
    HomePhase phase_ = HomePhase::ReadHead;
    bool stopping_ = false;
    Journal journal_;
    Snapshot snapshot_;
    Recovery recovery_;
    std::map<StoreOpId, HomeOp> ops_;
    std::map<JobId, HomeJob> jobs_;
    std::deque<std::pair<TimePoint, JobId>> finishedOrder_; // jobs that are final, in order
    std::map<JobId, RetainedOutcome> retainedOutcomes_;
    std::deque<std::pair<TimePoint, JobId>> retainedOrder_;
    std::size_t finishedBytes_ = 0; // of results of final jobs, estimate
    std::set<std::pair<TimePoint, JobId>> timers_; // when a job is reviewed
    std::map<JobId, RefusedSubmit> refusedSubmits_;
    std::deque<std::pair<TimePoint, JobId>> refusedSubmitOrder_;
    std::map<ShardId, std::set<JobId>> openByGroup_; // jobs with unfinished tasks assigned to the group
    std::map<ShardId, OfferTarget> offerTargets_; // holders that the open offers were sent to
    std::map<ShardId, GroupUsage> groupUsage_;
    std::vector<WaitingSubmit> waitingSubmits_; // arrived before the journal was open
    std::vector<std::pair<JobQuery, Requester>> waitingQueries_;
    std::vector<std::pair<JobCancel, Requester>> waitingCancels_;
    std::vector<PendingCancel> pendingCancels_;
    std::map<ShardId, std::vector<TaskId>> pendingAcks_; // to be sent at the end of the step
    std::map<ShardId, std::vector<TaskId>> pendingStops_; // to be sent at the end of the step
    std::uint64_t acceptedCount_ = 0;
    std::uint64_t finishedCount_ = 0;
    std::uint64_t writtenEntries_ = 0; // log entries written
};

} // namespace mimosapier
