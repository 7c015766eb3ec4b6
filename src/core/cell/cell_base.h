// State of the leader of a cell: staged jobs, runners, client accounts, queue, and what waits for the store.
//
// Invariants:
// - A task is placed on at most one runner; it is placed again only after that runner has listed its end, has begun
//   another life, or its lease has certainly ended.
// - What is reserved on a runner or for an account is the sum over the placements there.
// - An end is acknowledged to a runner only after the store has what follows from it.
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
    Waiting, // no runner can have it
    Placed, // reserved on a runner, see Placement
    Done,
};

struct TaskRecord
{
    TaskState state_ = TaskState::Waiting;
    std::uint64_t run_ = 0; // highest run number used; 0: never started
    std::uint64_t endedRun_ = 0; // highest run whose end was counted
    std::vector<std::uint64_t> failedRuns_; // runs that ended as failed; not for long-running tasks
    std::string checkpoint_; // where the next run resumes; empty: from the beginning
    RunnerId runner_; // while Placed; afterwards the last one
    TimePoint notBefore_; // a retry waits until then
};

// What the policy service says about one runner for one step.
struct PolicyVerdict
{
    bool allowed_ = false; // never changes for a step
    std::string ticket_;
    TimePoint validUntil_; // of the ticket
    std::int64_t bornUnixMs_ = 0; // life of the runner that the ticket is for
};

// One step of one occurrence.
struct StepState
{
    std::vector<TaskRecord> tasks_;
    std::uint32_t done_ = 0; // tasks in state Done
    std::uint32_t waiting_ = 0; // tasks in state Waiting
    std::vector<std::uint64_t> gangFailedRuns_; // runs of the gang in which a member failed
    bool ready_ = false; // all steps that it depends on are done
    bool queued_ = false; // has an entry in Cell::ready_
    bool querying_ = false; // a policy query is queued or under way
    TimePoint queryNotBefore_; // after a query without an answer
    std::map<RunnerId, PolicyVerdict> verdicts_;
    std::map<RunnerId, std::uint32_t> perRunner_; // placed tasks; for anti-affinity
};

struct Occurrence
{
    std::vector<StepState> steps_;
    std::uint32_t stepsDone_ = 0;
    std::int64_t dueUnixMs_ = 0;
};

struct Job
{
    StagedJobId id_;
    std::string account_;
    QueuePolicy policy_;
    SubmittedJob submitted_;
    StagedState state_ = StagedState::Queued; // as decided
    StagedState shown_ = StagedState::Queued; // as told to clients: a final state only once it is stored
    std::int64_t acceptedUnixMs_ = 0;
    TimePoint submittedAt_;
    TimePoint objectiveAt_; // the job is worth most when completed by then
    TimePoint lateAt_; // and less up to then
    std::vector<Milliseconds> tails_; // by step: estimated work from its start to the end of the longest chain
    bool excess_ = false; // beyond the account's share of submissions
    std::map<std::uint32_t, Occurrence> occurrences_; // those that are due or were; emptied when the job is final
    std::uint32_t occurrencesDone_ = 0;
    std::uint64_t runFloor_ = 0; // run numbers are above it
    std::uint64_t version_ = 0; // rises with each change that has to be stored
    std::uint64_t storedVersion_ = 0;
    bool stored_ = false; // the job itself is in the store
    bool recovered_ = false; // accepted by an earlier leader
    bool started_ = false; // a task has started
    bool dirtyQueued_ = false; // has an entry in Cell::dirty_
    std::vector<std::pair<DaemonId, CallId>> acceptWaiting_; // submits without a reply
    std::vector<std::pair<std::uint64_t, std::pair<DaemonId, CallId>>> storeWaiting_; // cancels, by version
    TimePoint endedAt_; // when it became final
};

enum class PlacementPhase : std::uint8_t {
    Starting, // the start has no usable answer yet
    Running,
    Stopping, // a stop was sent; the task may still run
};

// A task that a runner has or may have.
struct Placement
{
    RunNumber run_;
    Resources size_; // reserved on the runner
    Resources charged_; // reserved for the account
    std::string account_;
    PlacementPhase phase_ = PlacementPhase::Starting;
    std::string ticket_;
    std::string checkpoint_; // that the start carries
    bool callOpen_ = false; // a start or stop is under way
    bool orphan_ = false; // no task of a known job expects it
    std::uint32_t tries_ = 0; // of the call in the present phase
    TimePoint startedAt_; // when the start was first sent
    TimePoint settledAt_; // last answer after which a list without the task proves that it is gone
    TimePoint retryAt_; // the call is sent again at this time; not before Runner::callsDueAt_
    std::int64_t untilMs_ = 0; // lease that the start asked for; its repeats ask for the same
};

// A run that a runner may have.
struct PlacedRun
{
    StagedTask task_;
    RunNumber run_;
};

// An end that was handled but may not be acknowledged before the store has the job's version.
struct UnstoredEnd
{
    std::uint64_t number_ = 0;
    StagedJobId job_;
    std::uint64_t version_ = 0;
};

struct Runner
{
    RunnerRecord record_;
    bool listed_ = false; // is in the discovery list
    bool held_ = false; // has answered this leader in its present life
    bool legacy_ = false; // may have tasks of an earlier leader that are not known yet
    bool knownTasks_ = false; // legacy_, but tasks_ has all that may run there
    std::vector<PlacedRun> storedTasks_; // until the jobs are recovered: what may run there, by the stored list
    bool persisted_ = false; // the stored list names it as in use, see isQuiescent()
    Resources used_;
    std::unordered_map<StagedTask, Placement> tasks_;
    std::uint32_t orphans_ = 0; // placements with orphan_
    std::uint64_t processedEnd_ = 0; // highest number of an end that was handled in this life
    std::uint64_t acknowledgedEnd_ = 0;
    std::deque<UnstoredEnd> unstored_; // ascending by number
    bool holdOpen_ = false;
    TimePoint callsDueAt_ = TimePoint::max(); // no start or stop is to be repeated before
    TimePoint nextHoldAt_;
    std::int64_t bornUnixMs_ = 0; // of the life that the state belongs to
    std::int64_t clockMs_ = -1; // its clock when clockReadAt_ was; -1: unknown
    TimePoint clockReadAt_; // not earlier than the moment at which clockMs_ was read
    TimePoint leaseEndsBy_; // everything there has certainly ended, unless the lease is extended
    TimePoint avoidUntil_; // nothing is placed there after failures
    std::uint32_t failedCalls_ = 0; // in a row
    std::uint32_t failedRuns_ = 0; // runs in a row that ended as failed
};

struct Account
{
    AccountConfig config_;
    Resources used_;
    double tokens_ = 0; // submissions that are within the share; refilled by weight_ each second
    TimePoint refilledAt_;
};

struct StepRef
{
    StagedJobId job_;
    std::uint32_t occurrence_ = 0;
    std::uint32_t step_ = 0;
    auto operator<=>(const StepRef &) const = default;
};

// A daemon that makes policy queries; the service handles one query at a time for each of them.
struct Asker
{
    DaemonId daemon_;
    TimePoint busyUntil_; // estimate
    std::uint32_t open_ = 0;
    bool present_ = true;
};

struct OpenQuery
{
    StepRef step_;
    DaemonId asker_;
    std::vector<RunnerId> asked_;
    TimePoint sentAt_;
    TimePoint expiresAt_;
};

// Writes that a lane has taken; they are repeated until their outcome is known.
struct LaneTransaction
{
    KvCall call_;
    std::string identity_; // value of the lane key
    std::vector<StagedJobId> accepted_; // jobs that become stored
    std::vector<std::pair<StagedJobId, std::uint64_t>> progressed_; // with the version
    std::vector<RunnerId> runners_; // stored list of runners, when it is part
    bool storesRunners_ = false;
    bool uncertain_ = false; // a try may have taken effect, or may do so later
    bool callOpen_ = false;
    TimePoint firstSentAt_;
    TimePoint retryAt_;
    std::uint32_t tries_ = 0;
};

// A sequence of transactions, one under way at a time.
struct CommitLane
{
    std::uint64_t keyRevision_ = 0; // of the lane key
    std::uint64_t sequence_ = 0;
    std::optional<LaneTransaction> open_;
    TimePoint nextAt_; // earliest time of the next transaction
};

// Work of jobs that have not started, in thousandths of a processor times milliseconds.
struct WaitingWork
{
    TimePoint countedAt_;
    std::map<std::pair<std::string, std::uint32_t>, double> inTime_; // by service and priority; not what is late anyway
    std::map<std::string, double> excess_; // beyond the accounts' shares, by service
};

enum CellLane : std::uint8_t { AcceptLane, ProgressLane, LaneCount };

struct Cell
{
    CellSettings settings_;
    DaemonId self_;
    CellEpoch epoch_;
    std::uint64_t leaderRevision_ = 0; // of the leader key
    TimePoint acquiredAt_;
    CellConfig config_;
    std::unordered_map<StagedJobId, std::unique_ptr<Job>> jobs_;
    std::map<RunnerId, std::unique_ptr<Runner>> runners_;
    std::map<std::string, Account> accounts_;
    std::vector<StepRef> ready_; // steps with waiting tasks; may hold steps that no longer have any
    std::vector<StepRef> queries_; // steps that wait for a policy query
    std::map<std::uint64_t, OpenQuery> openQueries_; // by call id
    std::vector<Asker> askers_;
    std::map<std::string, double> allowedShare_; // by queue: share of asked runners that the policy allows; smoothed
    std::array<CommitLane, LaneCount> lanes_;
    std::deque<StagedJobId> accepting_; // jobs to be stored
    std::deque<StagedJobId> dirty_; // jobs whose progress is to be stored
    bool runnersDirty_ = false; // the stored list of runners is to be written
    std::deque<StagedJobId> ended_; // final jobs, oldest first; forgotten after a time
    std::vector<std::string> cleanups_; // keys to remove
    std::uint64_t nextId_ = 1; // of calls
    bool opened_ = false; // tasks of recovered jobs may start
    bool predecessorEnded_ = false; // the former leader certainly sends no more calls
    std::unordered_set<StagedJobId> unstarted_; // jobs that have not started; may hold others until the next slow tick
    WaitingWork waitingWork_;
    std::map<std::string, double> serviceCapacity_; // thousandths of a processor on runners that take work, by service
    bool capacityStale_ = true; // serviceCapacity_ is to be computed anew
    std::uint64_t runnersLookedAt_ = 0; // by placement and policy queries; the cost of decisions under load
    bool dirtyPlacement_ = true; // something changed that may let a task start
    bool superseded_ = false; // a runner or the store has seen a later leader
    bool storeTrouble_ = false; // a transaction has waited for long
    bool leaving_ = false; // no new work is taken
    TimePoint nextTickAt_;
    TimePoint nextTimersAt_;
    TimePoint nextPlacementAt_;
};

} // namespace mimosapier
