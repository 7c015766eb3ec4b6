// State of a group that this daemon holds: workers, tasks, teams, gangs and open calls to workers. Included by the
// files of this folder only; other parts use group_func.h.
#pragma once

#include "core/config/bundle_base.h"
#include "core/group/capacity_internal.h"
#include "core/group/group_func.h"

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace mimosapier
{

namespace detail
{

constexpr Milliseconds TaskLease{15'000}; // each hold, start and poll call renews it
constexpr Milliseconds LeaseMargin{2000}; // longest delivery time of a call that is in flight
constexpr Milliseconds PollWait{3000}; // a worker without news answers a poll after this time
constexpr Milliseconds IdlePollWait{5000}; // the same for a worker without tasks
constexpr Milliseconds WorkerRetryMin{50}; // delay after the first failed call; doubles with each further one
constexpr Milliseconds WorkerRetryMax{1000};
constexpr Milliseconds SilenceLimit{6000}; // a worker with tasks that has not answered for this long is silent_
constexpr Milliseconds TakeoverCheckTime{20'000}; // after a take-over: first attempts ask the second candidate, too
constexpr Milliseconds OutcomeRetention{60'000};
constexpr std::size_t OutcomeRecordsMax = 8192; // per group
constexpr std::uint32_t QueuedMax = 20'000; // tasks in the queues of one group
constexpr std::uint32_t PriorityCount = 3;
constexpr std::uint32_t StarvationLimit = 16; // consecutive placements of higher priority while a lower one waits
constexpr std::uint32_t QueueHeadsTried = 4; // a small task may pass up to 3 tasks that do not fit
constexpr Milliseconds GangReservationTime{10'000};
constexpr Milliseconds GangReservationPause{10'000}; // time between two reservations for the same gang
constexpr std::uint32_t StartRefusalsMax = 3; // refused start calls after which the group refuses the task
constexpr std::uint32_t RestartsMax = 3; // restarts of a task whose worker was lost
constexpr std::uint32_t QuarantineFailures = 4; // consecutive failures that quarantine a worker
constexpr Milliseconds QuarantineMin{1000}; // before the first probe (a single task); doubles with each failed one
constexpr Milliseconds QuarantineMax{60'000};
constexpr double StartLimitMin = 1; // concurrent start calls per worker
constexpr double StartLimitMax = 8;
constexpr std::size_t StartBatchMax = 64; // tasks in one start call
constexpr Milliseconds ForwardMargin{50}; // round trip to the second candidate, and error of the estimates
constexpr Milliseconds CandidateQueryInterval{200}; // between two queries to the second candidate about a task
constexpr Milliseconds ForwardedQueryInterval{1000}; // the same, in stage AtSecondCandidate
constexpr Milliseconds ResultResendInterval{2000}; // until the home acknowledges the result
constexpr Milliseconds StopResendInterval{1000}; // while the worker reports the task as running
constexpr Milliseconds HandOverWait{8000}; // longest delay of a hand-over by interactive requests in progress

} // namespace detail

struct GroupTask;
struct GroupGang;

enum class TaskStage : std::uint8_t {
    Checking, // waits for the workers to acknowledge the epoch or for the second candidate to answer
    Queued,
    AtSecondCandidate, // forwarded to the second candidate, or found there
    Placed, // resources are reserved; the start call is not sent yet
    Starting, // the start call is open
    Running,
    Uncertain, // the answer to the start call was lost
    Clearing, // stopped or lost; queued again when the worker has dropped its record of the task
    Finished, // the home has not acknowledged the result yet
};

// True while the task uses capacity of its worker and the allowance of its team.
constexpr bool holdsResources(TaskStage stage)
{
    return stage == TaskStage::Placed || stage == TaskStage::Starting || stage == TaskStage::Running
        || stage == TaskStage::Uncertain;
}

// Sender of one offer or lookup, waiting for the outcomes of the tasks. Each offer has its own.
struct GroupRequester
{
    ReplyTo replyTo_;
    DaemonId from_;
    JobId job_;
    std::uint32_t openTasks_ = 0; // tasks without a final outcome
    std::vector<TaskResult> results_; // to be sent
    bool flushQueued_ = false; // listed in Group::requestersToFlush_
};

// Waiting tasks of one team and priority, in order of arrival. A gang is queued by its first task.
struct TaskQueue
{
    GroupTask *first_ = nullptr;
    GroupTask *last_ = nullptr;
    std::uint32_t taskCount_ = 0; // includes all tasks of the queued gangs
};

// Measured averages of one work class of a team.
struct ClassEstimate
{
    double runMs_ = 0; // run time; 0 before the first sample
    double cpuRatio_ = 1; // measured divided by declared processors
};

struct GroupTeam
{
    TeamId id_;
    std::uint64_t sequence_ = 0; // breaks ties between equal weighted shares
    double weight_ = 1; // the team's share in the bundle; > 0
    Resources declaredUse_; // sum of the declared sizes of tasks that hold resources
    std::uint32_t running_ = 0; // number of tasks that hold resources
    std::array<TaskQueue, detail::PriorityCount> queues_;
    std::array<bool, detail::PriorityCount> ready_{}; // listed in Group::readyTeams_
    std::array<bool, detail::PriorityCount> lacksCapacity_{}; // listed in Group::teamsLackingCapacity_
    double weightedShare_ = 0; // dominant share divided by weight_; key in Group::readyTeams_
    bool atAllowance_ = false; // listed in Group::teamsAtAllowance_
    bool demandReportQueued_ = false; // listed in Group::teamsToReport_
    std::unordered_map<ClassId, ClassEstimate> estimates_;
    WorkerIndex lastFailedWorker_ = NoWorker; // worker of the team's last failure; NoWorker after a success
};

// A task that the group has accepted and not finished. Owned by Group::tasks_.
// Invariant: worker_ is set while holdsResources(stage_).
struct GroupTask
{
    TaskId id_;
    std::uint64_t sequence_ = 0; // unique in the group, ascending by arrival
    std::shared_ptr<const JobSpec> job_; // null for a task that was adopted from a worker's report
    GroupTeam *team_ = nullptr;
    ClassId class_;
    Resources size_;
    WorkMode mode_ = WorkMode::Interactive;
    Priority priority_ = Priority::Normal;
    bool idempotent_ = true;
    TaskStage stage_ = TaskStage::Checking;
    std::uint32_t attempt_ = 1; // highest one offered
    CallId call_; // of the first offer, then of the newest one from the home
    DaemonId offeredBy_; // sender of the offer with call_
    TimePoint arrivedAt_;
    TimePoint deadline_ = TimePoint::max(); // latest time for the start
    bool inDeadlines_ = false; // listed in Group::deadlines_
    std::vector<std::uint64_t> requesters_; // ids in Group::requesters_
    std::vector<ReplyTo> homes_; // partitions that are sent the result until one acknowledges it

    GroupTask *previous_ = nullptr; // in the TaskQueue
    GroupTask *next_ = nullptr;
    bool inQueue_ = false;
    GroupGang *gang_ = nullptr;

    WorkerIndex worker_ = NoWorker;
    std::uint32_t position_ = 0; // index in GroupWorker::tasks_
    WorkerOpId startCall_; // 0 for none
    TimePoint placedAt_;
    TimePoint confirmedAt_; // first report of the worker that the task runs
    TimePoint absenceProvenAfter_; // a hold sent later that does not list the task proves that it never ran
    bool cleared_ = false; // its gang has failed, and no worker has a record of this task any more
    WorkerId lastWorker_; // where it was placed last
    TimePoint removedAt_; // from its last worker; reports of calls sent earlier are out of date
    Resources measuredUse_; // newest report of the worker
    std::uint32_t startRefusals_ = 0; // limited by StartRefusalsMax
    std::uint32_t restarts_ = 0; // limited by RestartsMax
    bool cancelled_ = false;
    bool preempted_ = false; // queued again when it has stopped
    bool throttled_ = false;
    bool preemptible_ = false; // listed in Group::preemptibleTasks_
    bool mayCheckpoint_ = false; // copied from its class; valid while preemptible_
    TimePoint stopSentAt_; // newest stop, checkpoint or throttle request; zero for none

    bool waitsForWorkers_ = false; // until all workers have acknowledged the epoch
    bool waitsForSecondCandidate_ = false; // until the second candidate has answered
    bool forwardedByFirst_ = false; // the first candidate has sent it to this group
    bool forwardedToSecond_ = false; // this group has sent it to the second candidate
    bool forwardRefused_ = false; // the second candidate refused it or does not have it; not forwarded again
    // An earlier attempt, holder or worker may have run the task: a refusal answers Unknown instead of NotRun, except
    // with the error NotHolder, after which the next holder checks again.
    bool mayHaveRun_ = false;
    ShardId secondCandidate_; // of the job; may be this group itself; empty when not looked up or there is none
    DaemonId secondCandidateHolder_; // daemon that got the message with secondCandidateCall_
    CallId secondCandidateCall_; // newest query or forwarded offer to the second candidate
    TimePoint nextQuery_;
    TaskResult result_; // valid in stage Finished
    TimePoint nextResend_; // of result_ to homes_
};

// Keys order tasks by time or cost, then by sequence. The sequence is unique, so that the order never depends on
// addresses and equal inputs give equal outputs.
using TaskTime = std::tuple<TimePoint, std::uint64_t, GroupTask *>;
using TaskCost = std::tuple<std::int64_t, std::uint64_t, GroupTask *>;

// Tasks that start together or not at all. Owned by Group::gangs_; erased with its last task.
// Invariant: tasks_ and reservedWorkers_ have the same length.
struct GroupGang
{
    std::uint64_t sequence_ = 0;
    std::vector<GroupTask *> tasks_;
    std::vector<WorkerIndex> reservedWorkers_; // by index in tasks_; NoWorker where nothing is reserved
    bool waiting_ = false; // listed in Group::waitingGangs_
    TimePoint reservationEnds_;
    TimePoint pausedUntil_;
    bool failed_ = false; // one task failed to start or was lost; the others are being stopped
    bool memberEnded_ = false; // a task has ended, so the gang can no longer restart as a whole
    bool willRestart_ = false; // as a whole, when all tasks are cleared_
    ErrorKind error_ = ErrorKind::None;
    std::uint32_t gangRestarts_ = 0; // as a whole, for any reason; limited by StartRefusalsMax
};

// A worker that is or was in the instance list. Owned by Group::workers_; never erased.
struct GroupWorker
{
    WorkerInfo info_;
    WorkerIndex index_ = 0; // in Group::workers_
    bool inInstanceList_ = true;
    TimePoint unlistedAt_; // valid when not inInstanceList_
    bool reportedLeaving_ = false; // in its newest answer; info_.leaving_ is what the instance list says
    bool epochAcknowledged_ = false; // at least one hold was answered
    bool countsAsUnacknowledged_ = true; // included in Group::unacknowledgedWorkers_ and unacknowledgedSlots_
    bool holdConfirmed_ = false; // the last hold was answered, and no call has failed since
    // Capacity minus tasks_, unexpectedTasks_ and reservations of gangs. May be negative after a take-over.
    Resources free_;
    Resources indexedFree_; // value in Group::capacity_; zero while nothing may be placed here
    std::vector<GroupTask *> tasks_; // hold resources here
    std::vector<GroupTask *> unsentStarts_; // those of tasks_ in stage Placed
    // Running here although assigned elsewhere or ended, with their sizes; they are being stopped.
    std::unordered_map<TaskId, Resources> unexpectedTasks_;
    std::vector<TaskId> acks_; // tasks whose records the next poll tells the worker to drop
    std::vector<TaskId> finishedTasks_; // results kept for the home; pruned before each poll
    // Sends acks_ without waiting for the open poll: a task can run again only after the worker has dropped its record.
    bool sendAcksNow_ = false;
    Resources measuredUse_; // sum over tasks_
    std::uint32_t uncertainTasks_ = 0; // number of tasks in stage Uncertain
    std::uint32_t openStarts_ = 0;
    double startLimit_ = 2; // concurrent start calls; rises with successes, halves with failures
    std::uint32_t openRenewals_ = 0; // open hold, start and poll calls, which may renew the lease
    TimePoint leaseEnd_; // no task runs after this time, unless a call that may renew the lease is open
    TimePoint lastAnswer_;
    WorkerOpId contactCall_; // open hold, poll or ping (an empty stop); 0 for none
    bool extraCallOpen_ = false; // a second hold or poll is open besides contactCall_
    std::uint32_t consecutiveCallFailures_ = 0; // reset by the next successful call
    bool silent_ = false; // the lease is not renewed until the worker answers or the lease has ended
    TimePoint contactDue_ = TimePoint::max(); // key in Group::timers_; max for none
    bool flushQueued_ = false; // listed in Group::workersToFlush_
    std::uint32_t consecutiveTaskFailures_ = 0; // without those that are blamed on the team
    bool quarantined_ = false;
    TimePoint nextProbe_; // while quarantined_: one task at a time is placed from then on
    Milliseconds probeWait_{0}; // delay before nextProbe_; 0 after a successful task
    std::vector<TaskId> stops_; // to be sent, like the two below
    std::vector<TaskId> checkpoints_;
    std::vector<TaskId> throttles_;
};

enum class CallKind : std::uint8_t { Hold, Start, Poll, Stop };

struct OpenCall
{
    CallKind kind_ = CallKind::Hold;
    WorkerIndex worker_ = NoWorker;
    TimePoint sentAt_;
    std::vector<TaskId> tasks_; // started, stopped, or acknowledged by a poll
};

enum class OutcomeKind : std::uint8_t {
    MayHaveRun, // ended on a worker, or its end is unknown
    NotRun, // refused, or the deadline for the start passed
    ReportedAbsent, // a lookup was told that the task is not here
    Cancelled, // cancelled before it ran
};

// Outcome of a task that the group no longer has, kept for OutcomeRetention.
struct OutcomeRecord
{
    OutcomeKind kind_ = OutcomeKind::MayHaveRun;
    TaskResult result_;
    std::uint32_t attempt_ = 1;
    CallId call_;
    DaemonId offeredBy_;
    TimePoint expiresAt_;
};

// Pointers between tasks, teams, gangs and workers stay valid while the object exists, because each is owned through a
// unique_ptr here.
struct Group
{
    ShardId id_;
    RegionId region_;
    Epoch epoch_;
    AllowanceState *allowances_ = nullptr; // not owned; never null
    bool fenced_ = false; // another daemon holds the group with a higher epoch
    bool stopping_ = false; // planned hand-over: nothing is started any more
    bool opened_ = false; // openedAt_ is set
    TimePoint openedAt_; // time of the first event
    TimePoint now_; // time of the newest event
    TimePoint stoppingSince_; // valid while stopping_
    TimePoint limitsCheckedAt_;
    std::uint64_t lastSequence_ = 0;

    std::vector<std::unique_ptr<GroupWorker>> workers_; // by index
    std::unordered_map<WorkerId, WorkerIndex> workerIndex_;
    std::uint32_t unacknowledgedWorkers_ = 0; // an earlier holder may still start tasks there
    std::uint32_t unacknowledgedSlots_ = 0; // of these workers; each slot counts against the allowance of every team
    std::set<std::pair<TimePoint, WorkerIndex>> timers_; // by contactDue_
    CapacityIndex capacity_;
    Resources totalCapacity_; // of listed workers that have acknowledged the epoch
    std::int64_t freeSlots_ = 0; // sum of indexedFree_.slots_
    // Distinct capacities of listed workers, and the number of workers with each.
    std::vector<std::pair<Resources, std::uint32_t>> capacityCounts_;
    std::vector<WorkerIndex> workersToFlush_;
    std::vector<WorkerIndex> freedWorkers_; // may have more free capacity than in the last placement round
    std::unordered_map<std::uint64_t, OpenCall> openCalls_; // by WorkerOpId
    std::uint32_t openStarts_ = 0; // start calls

    std::unordered_map<TaskId, std::unique_ptr<GroupTask>> tasks_;
    std::unordered_map<TeamId, std::unique_ptr<GroupTeam>> teams_;
    std::vector<GroupTeam *> teamList_; // values of teams_ in order of first use
    std::set<std::tuple<double, std::uint64_t, GroupTeam *>> readyTeams_[detail::PriorityCount];
    std::vector<GroupTeam *> teamsLackingCapacity_[detail::PriorityCount]; // their first tasks fit on no worker
    std::vector<GroupTeam *> teamsAtAllowance_;
    std::vector<GroupTeam *> teamsToReport_;
    std::array<std::uint32_t, detail::PriorityCount> skipCounts_{}; // see StarvationLimit
    std::array<std::uint32_t, detail::PriorityCount> queuedTasks_{};
    bool weightedSharesStale_ = true;
    BundleVersion weightsVersion_;

    std::set<TaskTime> deadlines_; // by deadline for the start
    std::set<TaskTime> candidateQueries_; // by time of the next query to the second candidate
    std::set<TaskTime> resends_; // by time of the next resend of the result
    std::set<TaskCost> preemptibleTasks_; // cheapest first
    std::uint32_t openPreemptions_ = 0; // preempted tasks that have not stopped yet
    std::uint32_t tasksWaitingForWorkers_ = 0; // number of tasks with waitsForWorkers_

    std::map<std::uint64_t, std::unique_ptr<GroupGang>> gangs_; // by sequence_
    std::vector<GroupGang *> waitingGangs_; // out of their team's queue; retried by ticks
    GroupGang *reservingGang_ = nullptr; // the one gang that may keep reservations; null for none

    std::unordered_map<std::uint64_t, GroupRequester> requesters_;
    std::uint64_t lastRequester_ = 0;
    std::vector<std::uint64_t> requestersToFlush_;
    std::unordered_map<TaskId, OutcomeRecord> outcomeRecords_;
    std::deque<std::pair<TimePoint, TaskId>> outcomeExpiries_; // ascending; may name records that were replaced
    TimePoint lastEviction_; // when a record was last dropped early for lack of space; zero for never

    std::vector<ShardId> candidates_; // groups of the region, copied from the directory
    TimePoint candidatesReadAt_;

    double finishIntervalMs_ = 0; // moving average of the time between two finished tasks; 0 for not known
    TimePoint lastFinish_;
    std::uint64_t placements_ = 0;
    std::uint64_t preemptions_ = 0;
    std::uint64_t forwards_ = 0;
};

} // namespace mimosapier
