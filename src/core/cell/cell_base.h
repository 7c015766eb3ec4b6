// State of a cell's leader: staged jobs, runners, client accounts, the queue, and writes to the store.
//
// Owned by src/core/control while this daemon leads. The functions of cell_func.h change the state; other parts only
// read it, apart from formerLeadersEndBy_ and leaving_.
//
// A hold is a call that renews the leases of all tasks on a runner. The runner answers with a list of its active runs
// and of the runs that have ended; an end stays in the list until the leader acknowledges it. The leader writes the
// "stored list of runners" to the store; the runners themselves write the discovery list.
//
// Invariants:
// - A task is placed on at most one runner, apart from the copy of a straggler (see copies.cpp). The task is placed
//   again only after this runner has reported the end of the run, or after the end is presumed (see
//   Placement::presumedEndAt_) and the store has shown that this daemon led at that time or later.
// - The resources reserved on a runner and for an account are the sums over the placements there.
// - The end of a run is acknowledged to a runner only after its consequences are in the store.
// - The stored list of runners names a run, or has its runner as in use, until the consequences of its end are in the
//   store. Otherwise a new leader would take the task for one that has not run.
#pragma once

#include "core/cell/cell_type.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace mimosapier
{

enum class TaskState : std::uint8_t {
    Waiting, // has no Placement; a recovered task may still run on a runner until Cell::allTasksKnown_
    Placed, // has a Placement on a runner
    Done,
};

// Why a task that has had a placement waits again.
enum class ReleaseCause : std::uint8_t {
    None, // it has had no placement under this leader
    EndListed, // the runner has listed the end of the run
    EndPresumed, // see Placement::presumedEndAt_
    StartRejected, // the runner has rejected the start, or did not get it
    LaterRun, // a runner has a later run of the task
};

// A run that ended with a crash of its runner, or of which it is not known that the runner survived it.
struct RiskyRun
{
    std::uint64_t run_ = 0;
    bool crashed_ = false; // a leader has seen the crash
    // Where the start of the run goes. If this incarnation lists its runs to a later leader, it has survived the run.
    RunnerId runner_; // empty: not known
    std::int64_t startedUnixMs_ = 0; // of the runner's incarnation
};

// State of one task of a step.
struct TaskRecord
{
    TaskState state_ = TaskState::Waiting;
    std::uint64_t run_ = 0; // highest run number used; 0: never started
    std::uint64_t endedRun_ = 0; // highest run whose end was handled
    std::vector<std::uint64_t> failedRuns_; // run numbers of failed runs; stays empty for long-running tasks and gangs
    std::vector<RiskyRun> riskyRuns_; // see crashes.cpp
    std::uint64_t riskedRun_ = 0; // run that this leader has last recorded as risky before its start; 0: none
    TimePoint isolationUntil_; // the next start waits for an empty runner until then; empty: not waiting
    std::string checkpoint_; // where the next run resumes; empty: start from the beginning
    RunnerId runner_; // current runner while Placed, otherwise the last one
    ReleaseCause released_ = ReleaseCause::None; // of the last placement
    TimePoint notBefore_; // earliest time of a retry
    // Run number and runner of a second run while the first one goes on, see copies.cpp; 0: none. Only while Placed.
    std::uint64_t copyRun_ = 0;
    RunnerId copyRunner_;
};

// Answer of the policy service about one runner for one step.
struct PolicyVerdict
{
    bool allowed_ = false; // final: the service never changes this for a step
    std::string ticket_;
    TimePoint validUntil_; // expiry of the ticket
    std::int64_t startedUnixMs_ = 0; // start time of the runner's incarnation that the ticket was issued for
    TimePoint receivedAt_; // when the ticket came; it was issued before
};

// What this leader has learned of the runner at an address. Kept while the runner is not listed.
struct RunnerHistory
{
    double speed_ = 0; // natural logarithm, relative to the average runner; see run_times.cpp
    double comparisons_ = 0; // with other runners, that speed_ rests on
    // See runner_trust.cpp; both at decayedAt_, from where they decay with time.
    double trouble_ = 0; // weighted number of crashes, restarts, silences and the like
    double failedShare_ = 0; // smoothed share of runs that failed
    double runs_ = 0; // that failedShare_ rests on, up to a limit
    TimePoint decayedAt_;
    bool suspect_ = false; // as last logged
    TimePoint usedAt_; // when a runner at the address was last listed or ended a run
};

// Run time of a task that has ended as done.
struct RunSample
{
    std::shared_ptr<RunnerHistory> runner_;
    double logMs_ = 0; // natural logarithm of the run time in ms
};

// Run times of one step. Only with CellSettings::learnedRunTimes_, as are the RunnerHistory.
struct StepRunTimes
{
    std::vector<RunSample> samples_; // the latest ends, in no order; none of gangs
    std::size_t samplesSeen_ = 0;
    std::shared_ptr<RunnerHistory> slowest_; // of the runners that have the members of a gang
};

// State of one step of one occurrence.
struct StepState
{
    std::vector<TaskRecord> tasks_;
    std::uint32_t done_ = 0; // number of tasks in state Done
    std::uint32_t waiting_ = 0; // number of tasks in state Waiting
    std::vector<std::uint64_t> gangFailedRuns_; // run numbers of the runs in which a member of the gang failed
    bool ready_ = false; // all steps that this one depends on are done
    bool inReadySteps_ = false; // has an entry in Cell::readySteps_
    std::uint32_t copiesWanted_ = 0; // number of stragglers for which no runner with a ticket was found
    bool queryPending_ = false; // a policy query is queued or in flight
    TimePoint queryNotBefore_; // earliest time of the next query after an unanswered one
    TimePoint learnNotBefore_; // earliest time at which learnsAhead() looks for runners to ask about
    TimePoint answerExpectedAt_; // of the latest query that was sent
    std::map<RunnerId, PolicyVerdict> verdicts_; // answers of the policy service so far
    std::map<RunnerId, std::uint32_t> perRunner_; // number of placed tasks by runner, for the anti-affinity limit
    StepRunTimes runTimes_;
};

// One execution of the steps of a job. A job that does not recur has occurrence 0 only.
struct Occurrence
{
    std::vector<StepState> steps_;
    std::uint32_t stepsDone_ = 0;
    std::int64_t dueUnixMs_ = 0; // scheduled start
    bool due_ = false; // the scheduled start has come by this leader's time of day; before, no step is ready
};

// A staged job. The client submits the definition; the leader decides the state.
struct Job
{
    StagedJobId id_;
    std::string account_;
    QueuePolicy policy_;
    SubmittedJob submitted_;
    StagedState state_ = StagedState::Queued; // current decision, possibly not stored yet
    StagedState reportedState_ = StagedState::Queued; // for clients; final only once the final state is stored
    std::int64_t acceptedUnixMs_ = 0; // wall clock time of the submit
    TimePoint submittedAt_; // the same time on this daemon's steady clock
    TimePoint objectiveAt_; // the job has its full value when it completes by then
    TimePoint valueEndsAt_; // a job that completes between objectiveAt_ and this time still has a part of its value
    // By step: estimated time from the start of the step to the end of the longest chain of steps that depend on it.
    std::vector<Milliseconds> criticalPaths_;
    bool beyondShare_ = false; // submitted beyond the account's share
    std::map<std::uint32_t, Occurrence> occurrences_; // occurrences that have become due; cleared when the job is final
    std::uint32_t occurrencesDone_ = 0;
    std::uint64_t runFloor_ = 0; // new runs get numbers above this one
    std::uint64_t version_ = 0; // incremented by each change that has to be stored
    std::uint64_t storedVersion_ = 0; // version that the store has
    bool stored_ = false; // the job's own record is in the store
    bool recovered_ = false; // accepted by an earlier leader
    bool started_ = false; // at least one task has started
    bool inDirtyJobs_ = false; // has an entry in Cell::dirtyJobs_ that is to be stored
    bool storedNext_ = false; // one of these is before those of other jobs, see storeNext()
    std::vector<std::pair<DaemonId, CallId>> waitingSubmits_; // submits that are answered once the job is stored
    // Cancels that are answered once the version is stored.
    std::vector<std::pair<std::uint64_t, std::pair<DaemonId, CallId>>> waitingCancels_;
    TimePoint endedAt_; // when the job became final
};

enum class PlacementPhase : std::uint8_t {
    Planned, // no start was sent: it waits until the store has its risk, see crashes.cpp, or for a hold, see
             // sendStart()
    Starting, // the runner has not confirmed the start
    Running,
    Stopping, // a stop was sent; the task may still run
};

// A task that runs, or may run, on a runner.
struct Placement
{
    RunNumber run_;
    Resources size_; // reserved on the runner
    Resources accountCharge_; // counted against the account's limit
    std::string account_;
    PlacementPhase phase_ = PlacementPhase::Starting;
    std::string ticket_;
    // Of the ticket that the start carries, see PolicyVerdict. Empty: it carries none, so that any incarnation of the
    // runner may carry it out.
    TimePoint ticketReceivedAt_;
    TimePoint ticketUntil_; // no incarnation carries the start out after this time
    std::uint64_t tokenRaises_ = 0; // Runner::tokenRaises_ when the start was first sent
    std::string checkpoint_; // checkpoint that the start carries
    std::uint64_t plannedVersion_ = 0; // Planned: the start is sent when the store has this version of the job
    std::uint64_t previousRun_ = 0; // highest run number of the task before; 0: none
    RunnerId previousRunner_; // of the task's last placement before this one
    ReleaseCause previousRelease_ = ReleaseCause::None; // of that placement
    bool callInFlight_ = false; // a start or stop call is in flight
    // The list of runs of the incarnation Runner::startedUnixMs_ named the run: it ends with that incarnation.
    bool listed_ = false;
    // The runner has answered the start with success, or a list has named the run: a crash of the runner is one under
    // this run. False for a run that only the stored list of runners names.
    bool begun_ = false;
    // When the latest call of the start was found to have no answer: the runner may still carry it out. Empty: all have
    // answers.
    TimePoint startUnansweredAt_;
    bool mayHaveCrashed_ = false; // the runner has restarted while the start had no answer
    bool spansRestart_ = false; // the runner restarted, and its list does not yet show in which incarnation the run is
    bool copy_ = false; // it is TaskRecord::copyRun_
    bool isolated_ = false; // nothing else may start on the runner, see crashes.cpp
    Milliseconds roomReserved_{-1}; // how long runners were reserved for the gang before its start; -1: not reserved
    bool orphan_ = false; // does not belong to a placed task of a known job
    std::uint32_t occurrence_ = 0; // of the task, as is step_; not set for an orphan
    std::uint32_t step_ = 0;
    std::shared_ptr<RunnerHistory> history_; // of the runner; see Runner::history_
    std::uint32_t attempts_ = 0; // calls sent in the current phase
    std::uint32_t startAttempts_ = 0; // starts sent in all phases
    TimePoint startedAt_; // when the start was first sent, or when this leader learned of the run; empty for an orphan
    // Time of the runner's last answer to a start or stop of the task; empty: none. If a hold that was sent later lists
    // the task neither as active nor as ended, the run is gone.
    TimePoint confirmedAt_;
    TimePoint retryAt_; // earliest time to repeat the call; see also Runner::nextCallRetryAt_
    std::int64_t untilMs_ = 0; // end of the lease that the start and its repeats ask for, on the runner's clock
    // Since when the run is taken as ended although no list of the runner has named its end: the lease was over, the
    // runner has restarted, or its list does not name the run. Empty: not. The placement is released once the
    // leadership is confirmed for this time: a later leader may have renewed the lease and have seen the run end as
    // done.
    TimePoint presumedEndAt_;
};

// A run in the stored list of runners.
struct StoredRun
{
    StagedTask task_;
    RunNumber run_;
};

// End of a run that was handled. It may not be acknowledged to the runner before the store has the job's version.
struct UnstoredEnd
{
    std::uint64_t number_ = 0; // the runner's number of the end
    StagedTask task_;
    RunNumber run_;
    std::uint64_t version_ = 0; // of the job
    bool awaitsLapse_ = false; // not acknowledged before the runner's lease has lapsed, see mustAwaitLapse()
};

struct StepRef
{
    StagedJobId job_;
    std::uint32_t occurrence_ = 0;
    std::uint32_t step_ = 0;
    auto operator<=>(const StepRef &) const = default;
};

// Part of a gang's reservation on one runner, see gang_room.cpp.
struct RoomReservation
{
    std::uint32_t order_ = 0; // place of the reservation in the order of urgency
    std::uint32_t priority_ = 0; // of the gang's queue
    TimePoint completeAt_; // GangRoom::completeAt_
    Resources reserved_; // for the members that are to start here
    // Left at completeAt_ beside the runs that may still be there and the reservations that are complete by then.
    // Negative when the leader has ignored the reservation for more urgent work.
    Resources spare_;
};

// State of one runner, as far as this leader knows.
struct Runner
{
    RunnerRecord record_;
    bool inDiscovery_ = false; // present in the discovery list
    // This leader has received the complete list of runs of the runner's current incarnation, in the answer to a call
    // with a token that it had raised since: the runner carries out no calls from before its restart.
    bool stateKnown_ = false;
    // Not stateKnown_ only because its list had more ends than one answer names. The others come once these are
    // acknowledged.
    bool hasMoreEnds_ = false;
    // May run tasks that an earlier leader started; until stateKnown_, or until their leases have expired.
    bool mayHavePredecessorTasks_ = false;
    // If mayHavePredecessorTasks_: the stored list of runners named these tasks, and tasks_ has all of them.
    bool predecessorTasksKnown_ = false;
    std::vector<StoredRun> storedRuns_; // runs that the stored list names; emptied by finishRecovery()
    bool storedAsInUse_ = false; // the stored list has this runner as in use (not quiescent), see isQuiescent()
    Resources used_; // reserved by the placements
    std::vector<RoomReservation> roomReservations_; // for waiting gangs
    std::unordered_map<StagedTask, Placement> tasks_;
    std::uint32_t orphans_ = 0; // number of placements with orphan_
    std::uint32_t isolatedTasks_ = 0; // number of placements with isolated_
    std::uint64_t processedEnd_ = 0; // highest number of an end that was handled, in this incarnation
    std::uint64_t acknowledgedEnd_ = 0; // highest number of an end that the runner may forget
    std::uint64_t sentAcknowledgement_ = 0; // highest number of an end that the latest hold acknowledged; 0: none
    std::uint64_t forgottenEnd_ = 0; // highest number of an end that an answered hold acknowledged
    std::deque<UnstoredEnd> unstoredEnds_; // ends that are not to be acknowledged yet, ascending by number
    std::uint32_t endsAwaitingLapse_ = 0; // number of unstoredEnds_ with awaitsLapse_; nothing is started until it is 0
    std::uint64_t lapsedEnd_ = 0; // highest number of a listed end as lapsed, in this incarnation; 0: none
    bool holdInFlight_ = false; // a hold call is in flight
    // The answer to a start or stop has shown that the runner's clock has begun anew. Nothing is started or
    // acknowledged until the next list says what the new incarnation has.
    bool hasNewClock_ = false;
    // The runner was lost, and tasks_ has only the starts that an incarnation which this leader has not seen may have
    // carried out, see unseenIncarnationLeaseEnd(). Its crash is counted.
    bool hasOnlyUnansweredStarts_ = false;
    TimePoint nextCallRetryAt_ = TimePoint::max(); // earliest retryAt_ of all starts and stops
    TimePoint nextHoldAt_;
    std::int64_t startedUnixMs_ = 0; // start time of the incarnation that this state belongs to; 0: unknown
    std::uint64_t tokenRaises_ = 0; // see fencingToken()
    std::uint64_t firstCallId_ = 0; // id of the first call with the present token; earlier calls have lower tokens
    std::int64_t clockMs_ = -1; // the runner's clock at clockReadAt_; -1: unknown
    TimePoint clockReadAt_; // when the answer with clockMs_ arrived; the clock was read at this time or earlier
    TimePoint stateKnownAt_; // when stateKnown_ was last set; empty: never
    TimePoint heldAt_; // this incarnation had not seen a later leader at this time; empty: never held
    TimePoint answeredCallAt_; // when the latest call that this incarnation has answered was sent
    TimePoint unansweredCallAt_; // when the latest unanswered call after that one was sent; empty: none
    // Calls without an answer that asked for a lease and that a later incarnation may carry out: holds, and starts
    // without a ticket. When the latest was given up, and Runner::tokenRaises_ when it was sent; empty: none.
    TimePoint unansweredLeaseAt_;
    std::uint64_t unansweredLeaseRaises_ = 0;
    TimePoint unansweredTicketUntil_; // latest Placement::ticketUntil_ of the unanswered starts with a ticket
    bool holdAsksForLease_ = false; // the hold in flight does
    bool earlierHoldAsksForLease_ = false; // a hold that was in flight when the token was raised did
    TimePoint renewedAt_; // when the latest answered call that asked for a lease was sent; empty: none
    TimePoint leaseEndsBy_; // by this time all leases there have expired, unless they are extended; empty: no lease
    TimePoint avoidUntil_; // no task is placed there before this time
    TimePoint warmAt_; // the runner is slow after its start until then
    // Holds without a usable answer since the last successful one, and calls that reached another runner. A runner with
    // failed calls is called silent.
    std::uint32_t failedCalls_ = 0;
    std::uint32_t failedRuns_ = 0; // consecutive runs that ended as failed
    std::int64_t queryClaims_ = 0; // milli-CPUs that the steps of policy queries in flight will probably use here
    std::shared_ptr<RunnerHistory> history_; // of the address; empty without CellSettings::learnedRunTimes_
};

// A risky run of which it is open whether its runner has survived it.
struct OpenRisk
{
    StagedTask task_;
    RunNumber run_;
    RunnerId runner_;
    std::int64_t startedUnixMs_ = 0; // see RiskyRun::startedUnixMs_
};

// A runner that crashed a short time ago, with the runs that it had.
struct RunnerCrash
{
    TimePoint at_; // when this leader noticed it
    std::string rack_;
    std::string address_; // of the runner; all its incarnations have the same one
    std::vector<StoredRun> runs_;
};

// A run whose end was presumed, so that its task may have started again. A later list may show that it ended as done.
struct PresumedRun
{
    RunnerId runner_;
    StagedTask task_;
    RunNumber run_;
    std::int64_t startedUnixMs_ = 0; // incarnation of the runner whose leases were over, or that had ended; 0: unknown
    TimePoint forgetAt_; // the leases of all incarnations that may have had the run are over
};

// Decayed use of processor and memory by an account, see past_use.cpp. Counted only if CellSettings::pastUseHalfLife_
// is set.
struct PastUse
{
    double coreSeconds_ = 0; // at countedAt_
    double cores_ = 0; // in use since countedAt_
    TimePoint countedAt_; // empty: never
    bool changed_ = false; // has an entry in PastUseOrder::changedAccounts_
    // From the last refreshPastUse():
    bool waits_ = false; // has steps with waiting tasks
    double weight_ = 0; // of the configuration; 0: no part in the order by past use
    double factor_ = 1; // fair-share factor
    Milliseconds shift_{0}; // largest shift of the account's steps
};

// State of one client account. A token bucket separates submissions within the share from those beyond it.
struct Account
{
    AccountConfig config_;
    Resources used_; // resources of its placed tasks
    double tokens_ = 0; // submissions left within the share; grows by weight_ per second
    TimePoint refilledAt_;
    PastUse pastUse_;
};

// State of the order by past use, see past_use.cpp.
struct PastUseOrder
{
    std::vector<Account *> changedAccounts_; // whose resources in use have changed since countPastUse()
    double fleetCores_ = 0; // processors of the listed runners
    double coresPerMb_ = 0; // processors per MB of memory in the fleet
    std::unordered_map<std::string, Milliseconds> shifts_; // PastUse::shift_ by account, if above 0
    TimePoint refreshedAt_; // when the shifts were computed
    bool hasNewAccount_ = false; // an account without use has begun to wait since
    bool unstored_ = false; // there is use that the store does not have
    TimePoint nextStoreAt_; // earliest write to the store
    TimePoint nextReportAt_; // to the log and the metrics
};

// A daemon that sends policy queries. The policy service handles one query at a time from each daemon.
struct PolicyQuerier
{
    DaemonId daemon_;
    TimePoint busyUntil_; // estimated end of the queries in flight
    TimePoint waitingSince_; // when it last answered a query, or got one with none in flight
    std::uint32_t inFlight_ = 0; // queries in flight
    bool present_ = true; // still in the list of setPolicyQueriers()
};

// A runner that a policy query names.
struct QueriedRunner
{
    RunnerId id_;
    std::int64_t claim_ = 0; // milli-CPUs that the step will probably use there, see Runner::queryClaims_
};

// A policy query that has no answer yet.
struct InFlightQuery
{
    StepRef step_;
    DaemonId querier_;
    std::vector<QueriedRunner> queriedRunners_;
    TimePoint sentAt_;
    TimePoint expiresAt_; // from then on the query counts as unanswered
    bool renewsTickets_ = false; // for the runners that are reserved for a gang
};

// Runners that are reserved for the members of a waiting gang.
struct GangRoom
{
    StepRef step_;
    std::uint32_t order_ = 0; // see RoomReservation::order_
    std::map<RunnerId, std::uint32_t> members_; // number of members by runner
    std::vector<RunnerId> alternates_; // runners that have room next; not reserved, but asked for tickets
    TimePoint reservedAt_; // when the gang got its first reservation, which later ones have replaced without a gap
    TimePoint completeAt_; // all members are expected to fit, and their tickets to be there
    TimePoint renewAt_; // when to send the query that renews the tickets; TimePoint::max(): they last or are not needed
    bool learnsMore_ = false; // there is time for a query about further runners
    bool logged_ = false; // a log line has told of the reservation
    bool hasLostRunner_ = false; // one of the runners cannot be used any more
};

// Reservations of a leader. Invariant: Runner::roomReservations_ has the same reservations by runner, as far as the
// runner still exists.
struct GangRooms
{
    std::vector<GangRoom> rooms_; // most urgent first
    TimePoint plannedAt_; // when they were last planned
    TimePoint nextAt_; // of the next planning
    TimePoint runnersCheckedAt_; // when it was last checked that all runners can still be used
    Duration interval_{0}; // shortest time between two, by the cost of the last one
};

// The writes of one lane transaction. The transaction is repeated until its outcome is known.
struct LaneTransaction
{
    KvCall call_;
    std::string identity_; // value of the lane key, by which a committed transaction is recognized
    std::vector<StagedJobId> acceptedJobs_; // jobs whose records are written
    std::vector<std::pair<StagedJobId, std::uint64_t>> progressVersions_; // version of the progress, by job
    std::vector<RunnerId> runnersInUse_; // runners that the written list of runners has as in use
    bool storesRunners_ = false; // the transaction writes the list of runners
    bool mayHaveCommitted_ = false; // an attempt may have been committed, or may still be
    bool callInFlight_ = false;
    TimePoint firstSentAt_;
    TimePoint retryAt_;
    std::uint32_t attempts_ = 0;
};

// A sequence of transactions, at most one in flight.
struct CommitLane
{
    std::uint64_t keyRevision_ = 0; // revision of the lane key, a condition of the next transaction
    std::uint64_t sequence_ = 0; // number of the last transaction
    std::optional<LaneTransaction> inFlight_;
    TimePoint nextAt_; // earliest start of the next transaction
};

// Jobs of a queue that wait for their first start.
struct WaitingJobs
{
    std::size_t count_ = 0;
    TimePoint oldestAt_ = TimePoint::max(); // submit of the oldest one
};

// Sums over the jobs that have not started; work is in milli-CPU milliseconds.
struct WaitingWork
{
    TimePoint countedAt_;
    // By service and priority: jobs within their account's share that are not past valueEndsAt_.
    std::map<std::pair<std::string, std::uint32_t>, double> withinShare_;
    std::map<std::string, double> beyondShare_; // jobs beyond their account's share, by service
    std::map<std::string, WaitingJobs> jobsWithinShare_; // the jobs in withinShare_, by queue
    std::map<std::string, WaitingJobs> jobsBeyondShare_; // the others that may still have a value, by queue
};

// Jobs of a queue that started for the first time, weighted with their age.
struct StartRate
{
    double starts_ = 0; // at countedAt_; decays with StartRateDecay in admission.cpp
    TimePoint countedAt_;
};

// Ratio of the run time on an average runner to the client's estimate, as natural logarithm.
struct RunTimeRatio
{
    double log_ = 0; // smoothed
    double spread_ = 0.5; // standard deviation, smoothed; the initial value is the least of published estimates
    double steps_ = 0; // number of steps that it rests on
    TimePoint updatedAt_;
};

// Ratios of a queue, which hold for accounts that have none of their own.
struct QueueRunTimes
{
    RunTimeRatio all_;
    std::map<std::string, RunTimeRatio> byAccount_;
};

// What this leader has learned from the ends of runs, see run_times.cpp. A new leader learns anew.
struct RunTimes
{
    std::map<std::string, QueueRunTimes> queues_;
    std::map<std::string, std::shared_ptr<RunnerHistory>> runners_; // by address
    TimePoint nextLogAt_;
};

// A request of which the answer depends on whether this daemon still leads, see leadership_check.cpp.
struct UnconfirmedRequest
{
    DaemonId from_;
    CellRequest request_;
    TimePoint arrivedAt_;
};

// A submission that was refused for load. Its repetitions count as the same submission against the account's share.
struct RefusedSubmission
{
    bool beyondShare_ = false;
    TimePoint refusedAt_; // the first time
};

// A placement with presumedEndAt_.
struct PresumedEnd
{
    RunnerId runner_;
    StagedTask task_;
    RunNumber run_;
    TimePoint at_;
    std::int64_t startedUnixMs_ = 0; // see PresumedRun::startedUnixMs_
};

struct LeadershipCheck
{
    std::deque<UnconfirmedRequest> requests_; // oldest first
    std::deque<PresumedEnd> presumedEnds_; // oldest first; also those that the runner has reported on since
    TimePoint confirmedAt_; // the store has shown that this daemon led at this time, or was elected since
    TimePoint wantedAt_; // latest time for which a confirmation is wanted
    std::uint64_t callInFlight_ = 0; // id of the read of the leader key; 0: none
    TimePoint sentAt_; // of the read in flight
    TimePoint retryAt_; // earliest time of a read after a failed one, unless a request waits
    TimePoint nextReadAt_;
};

// AcceptLane writes the records of new jobs, ProgressLane everything else.
enum CellLane : std::uint8_t { AcceptLane, ProgressLane, LaneCount };

// State of one leadership; a new leadership begins with a new Cell.
struct Cell
{
    CellSettings settings_;
    DaemonId self_;
    CellEpoch epoch_;
    std::uint64_t leaderKeyRevision_ = 0; // revision of the leader key
    TimePoint acquiredAt_; // when the election was won
    CellConfig config_;
    std::unordered_map<StagedJobId, std::unique_ptr<Job>> jobs_;
    std::map<RunnerId, std::unique_ptr<Runner>> runners_;
    std::map<RunnerId, std::uint64_t> removedRunners_; // Runner::tokenRaises_ of a runner that is listed again, by id
    std::map<std::string, Account> accounts_; // an account is never removed
    PastUseOrder pastUse_;
    std::set<std::string> evacuatedZones_; // availability zones in which no task may start
    bool evacuationsKnown_ = false; // evacuatedZones_ is set; no task may start before
    std::vector<StepRef> readySteps_; // steps with waiting tasks; placement removes the steps that have none any more
    std::vector<StepRef> queryQueue_; // steps that need a policy query, by urgency at the last sort, then new ones
    std::map<std::uint64_t, InFlightQuery> inFlightQueries_; // by call id
    GangRooms gangRooms_;
    std::vector<PolicyQuerier> queriers_; // daemons that can send policy queries
    std::map<std::string, double> allowedShare_; // by queue: smoothed fraction of queried runners that are allowed
    std::array<CommitLane, LaneCount> lanes_;
    LeadershipCheck leadershipCheck_;
    std::deque<StagedJobId> acceptQueue_; // jobs that wait to be stored
    std::deque<StagedJobId> dirtyJobs_; // jobs whose progress has to be stored; those of storeNext() occur twice
    bool runnersDirty_ = false; // the stored list of runners is out of date
    std::deque<StagedJobId> endedJobs_; // final jobs, oldest first; removed after statusRetention_ and StatusMargin
    std::vector<std::string> keysToRemove_; // store keys that the next transactions of ProgressLane remove
    std::uint64_t nextCallId_ = 1; // id of the next call; contains the epoch
    // What may run on each runner is known, so that tasks of recovered jobs may start. The recovery from the store ends
    // before, with finishRecovery(). The leadership is confirmed for allRunnersKnownAt_: if there was a later leader by
    // then, runners that have restarted and the reads of the recovery may lack tasks that have run since.
    bool allTasksKnown_ = false;
    TimePoint allRunnersKnownAt_; // when the last runner has listed its runs or was given up; empty before
    TimePoint allTasksKnownAt_; // when allTasksKnown_ was set; empty before
    // Before that: when the runners that have not answered are given up; max() while this is not known.
    TimePoint allTasksKnownBy_ = TimePoint::max();
    TimePoint formerLeadersEndBy_; // earlier leaders make no calls after this time; kept current by src/core/control
    // Jobs of which no task has started. Those that have started or ended are removed with the next slow tick.
    std::unordered_set<StagedJobId> unstartedJobs_;
    // Unknown jobs of which the cancelling was answered as such, with the time of the answer. A submission of one of
    // them may still be under way, or be held up in a daemon that stands still. Oldest first in cancelledUnknownQueue_.
    std::unordered_set<StagedJobId> cancelledUnknown_;
    std::deque<std::pair<TimePoint, StagedJobId>> cancelledUnknownQueue_;
    // Submissions that were refused for load a short time ago, oldest first in refusedQueue_.
    std::unordered_map<StagedJobId, RefusedSubmission> refused_;
    std::deque<std::pair<TimePoint, StagedJobId>> refusedQueue_;
    std::deque<RunnerCrash> recentCrashes_; // of the last RackLossWindow, oldest first
    TimePoint lateCallAt_; // when the latest call that a reachable runner left unanswered was sent; see late_calls.cpp
    std::int64_t lateCallUnixMs_ = 0; // the same in the stored list of runners; 0: none
    // By service: how late a start by an earlier leader of a task that has not ended may begin a run, while calls are
    // late. A ticket limits that to its validity.
    std::map<std::string, Milliseconds> lateStartBounds_;
    std::deque<PresumedRun> presumedRuns_; // runs of which the presumed end was confirmed, oldest first
    std::vector<OpenRisk> openRisks_; // also some that were closed since the last slow tick
    WaitingWork waitingWork_;
    std::map<std::string, StartRate> startRates_; // by queue
    RunTimes runTimes_;
    std::map<std::string, double>
        serviceCapacity_; // by service: milli-CPUs of listed runners that are not draining or evacuated
    std::uint64_t openTasks_
        = 0; // of jobs that have not ended, counted with the last slow tick and since then accepted
    bool capacityStale_ = true; // serviceCapacity_ has to be recomputed
    std::uint64_t runnersExamined_ = 0; // by placement and policy queries; a measure of the cost of decisions
    std::uint64_t stepsExamined_ = 0; // by the passes over waiting steps; a measure of the cost of decisions
    bool placementDue_ = true; // a change may allow a waiting task to start
    bool superseded_ = false; // a runner or the store has seen a later leader; nothing new is started
    bool storeUnavailable_ = false; // a transaction has had no result for StoreUnavailableAfter; submits are refused
    bool leaving_ = false; // this daemon is shutting down and refuses submits; set by src/core/control
    TimePoint nextSlowTickAt_; // for recurring jobs, ended jobs and unanswered queries
    TimePoint nextTimersAt_; // for the timers of all runners
    TimePoint nextPlacementAt_;
    TimePoint nextQuerySortAt_; // of queryQueue_
};

} // namespace mimosapier
