// State of a held group: workers, tasks, teams, gangs and open calls.
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

constexpr Milliseconds TaskLease{15'000}; // renewed by hold, start and poll
constexpr Milliseconds LeaseMargin{2000}; // delivery of a call that may still be under way
constexpr Milliseconds PollWait{3000};
constexpr Milliseconds IdlePollWait{5000}; // for a worker without tasks
constexpr Milliseconds WorkerRetryMin{50}; // wait after the first error of a worker; doubles
constexpr Milliseconds WorkerRetryMax{1000};
constexpr Milliseconds SilenceLimit{6000}; // a worker that is silent for longer gets no renewal any more
constexpr Milliseconds TakeoverCheckTime{20'000}; // repeats are checked with the second candidate for this time
constexpr Milliseconds OutcomeRetention{60'000};
constexpr std::size_t OutcomeRecordsMax = 8192; // outcomes remembered per group
constexpr std::uint32_t QueuedMax = 20'000; // tasks waiting in one group
constexpr std::uint32_t PriorityCount = 3;
constexpr std::uint32_t StarvationLimit = 16; // placements of higher priority in a row while a lower one waits
constexpr std::uint32_t QueueHeadsTried = 4; // tasks of one queue that are tried when the first does not fit
constexpr Milliseconds GangReservationTime{10'000};
constexpr Milliseconds GangReservationPause{10'000}; // between two reservations of the same gang
constexpr std::uint32_t StartRefusalsMax = 3; // refused starts of a task before it is refused
constexpr std::uint32_t RestartsMax = 3; // after losses of the worker
constexpr std::uint32_t QuarantineFailures = 4; // failures in a row
constexpr Milliseconds QuarantineMin{1000}; // time to the first probe; doubles
constexpr Milliseconds QuarantineMax{60'000};
constexpr double StartLimitMin = 1;
constexpr double StartLimitMax = 8;
constexpr std::size_t StartBatchMax = 64; // tasks of one start call
constexpr Milliseconds ForwardMargin{50}; // round trip to the second candidate and error of the estimates
constexpr Milliseconds SecondQueryInterval{200}; // between two questions to the second candidate
constexpr Milliseconds ForwardedQueryInterval{1000}; // a forwarded task is looked up again after this time
constexpr Milliseconds ResultResendInterval{2000}; // results that are not acknowledged are sent again after this time
constexpr Milliseconds StopResendInterval{1000};
constexpr Milliseconds HandOverWait{8000}; // for answers to interactive work before a hand-over

} // namespace detail

struct GroupTask;
struct GroupGang;

// Where a task stands.
enum class TaskStage : std::uint8_t {
    Checking, // waits for workers to acknowledge or for the second candidate
    Queued,
    AtSecondCandidate, // forwarded to, or running at, the second candidate
    Placed, // resources reserved, start not sent yet
    Starting, // start call open
    Running,
    Uncertain, // the answer to the start was lost
    Clearing, // stopped or lost; queued again once the worker has forgotten it
    Finished, // final, result not acknowledged by the home
};

// True while the task counts against its worker and its team.
constexpr bool holdsResources(TaskStage stage)
{
    return stage == TaskStage::Placed || stage == TaskStage::Starting || stage == TaskStage::Running
        || stage == TaskStage::Uncertain;
}

// Somebody who waits for outcomes of an offer.
struct GroupRequester
{
    ReplyTo replyTo_;
    DaemonId from_;
    JobId job_;
    std::uint32_t openTasks_ = 0; // tasks without outcome
    std::vector<TaskResult> results_; // not sent yet
    bool flushQueued_ = false; // listed in Group::requestersToFlush_
};

// Tasks of one team and priority that wait, in order of arrival.
struct TaskQueue
{
    GroupTask *first_ = nullptr;
    GroupTask *last_ = nullptr;
    std::uint32_t taskCount_ = 0; // a gang counts with all its tasks
};

// What was learnt about a class of work of a team.
struct ClassEstimate
{
    double runMs_ = 0; // moving average
    double cpuRatio_ = 1; // measured to declared processors
};

struct GroupTeam
{
    TeamId id_;
    std::uint64_t sequence_ = 0; // order among teams with equal share
    double weight_ = 1; // share of the bundle
    Resources declaredUse_; // declared sizes of tasks that hold resources
    std::uint32_t running_ = 0; // tasks that hold resources
    std::array<TaskQueue, detail::PriorityCount> queues_;
    std::array<bool, detail::PriorityCount> ready_{}; // listed in Group::readyTeams_
    std::array<bool, detail::PriorityCount> lacksCapacity_{}; // listed in Group::teamsLackingCapacity_
    double weightedShare_ = 0; // dominant share by weight; key in Group::readyTeams_
    bool atAllowance_ = false; // listed in Group::teamsAtAllowance_
    bool demandReportQueued_ = false; // listed in Group::teamsToReport_
    std::unordered_map<ClassId, ClassEstimate> estimates_;
    WorkerIndex lastFailedWorker_ = NoWorker; // worker of the last failure with no success since
};

struct GroupTask
{
    TaskId id_;
    std::uint64_t sequence_ = 0; // unique in the group
    std::shared_ptr<const JobSpec> job_; // null for tasks adopted from a worker
    GroupTeam *team_ = nullptr;
    ClassId class_;
    Resources size_;
    WorkMode mode_ = WorkMode::Interactive;
    Priority priority_ = Priority::Normal;
    bool idempotent_ = true;
    TaskStage stage_ = TaskStage::Checking;
    std::uint32_t attempt_ = 1;
    CallId call_; // of the newest offer from the home
    DaemonId offeredBy_;
    TimePoint arrivedAt_;
    TimePoint deadline_ = TimePoint::max(); // for starting
    bool inDeadlines_ = false; // in Group::deadlines_
    std::vector<std::uint64_t> requesters_;
    std::vector<ReplyTo> homes_; // homes to which the result is repeated until it is acknowledged

    GroupTask *previous_ = nullptr; // in the queue
    GroupTask *next_ = nullptr;
    bool inQueue_ = false;
    GroupGang *gang_ = nullptr;

    WorkerIndex worker_ = NoWorker;
    std::uint32_t position_ = 0; // in GroupWorker::tasks_
    WorkerOpId startCall_;
    TimePoint placedAt_;
    TimePoint confirmedAt_; // the worker reported the task as running
    TimePoint absenceProvenAfter_; // absence in a hold sent after this time proves that an uncertain task never ran
    bool cleared_ = false; // member of a failed gang that no worker knows any more
    WorkerId lastWorker_; // name of the worker that it was placed on last
    TimePoint removedAt_; // its last worker; reports of calls sent earlier do not concern it any more
    Resources measuredUse_; // measured
    std::uint32_t startRefusals_ = 0;
    std::uint32_t restarts_ = 0;
    bool cancelled_ = false;
    bool preempted_ = false; // queued again once stopped
    bool throttled_ = false;
    bool preemptible_ = false; // listed in Group::preemptibleTasks_
    bool mayCheckpoint_ = false; // by its class, when preemptible_
    TimePoint stopSentAt_;

    bool waitsForWorkers_ = false; // until all workers have acknowledged
    bool waitsForSecondCandidate_ = false; // until the second candidate has answered
    bool forwardedByFirst_ = false; // by the first candidate to this group
    bool forwardedToSecond_ = false; // forwarded by this group
    bool forwardRefused_ = false; // the second candidate has refused it; not forwarded again
    // An earlier attempt or holder may have run the task, so that it is never refused as not run.
    bool mayHaveRun_ = false;
    ShardId secondCandidate_; // the other candidate group
    DaemonId secondHolder_; // that was asked last
    CallId peerCall_; // newest question to the second candidate
    TimePoint nextQuery_;
    TaskResult result_; // when Finished
    TimePoint nextResend_; // of the result to the home
};

// Orders tasks by time and then by sequence, never by address, so that equal inputs give equal outputs.
using TaskTime = std::tuple<TimePoint, std::uint64_t, GroupTask *>;
using TaskCost = std::tuple<std::int64_t, std::uint64_t, GroupTask *>;

struct GroupGang
{
    std::uint64_t sequence_ = 0;
    std::vector<GroupTask *> tasks_;
    std::vector<WorkerIndex> reservedWorkers_; // by task; NoWorker where nothing is reserved
    bool waiting_ = false; // listed in Group::waitingGangs_
    TimePoint reservationEnds_;
    TimePoint pausedUntil_;
    bool failed_ = false; // a start was refused; the others are being stopped
    bool memberEnded_ = false; // a task has ended; the others are not started again with it
    bool willRestart_ = false; // started again as a whole when all its tasks are at rest
    ErrorKind error_ = ErrorKind::None;
    std::uint32_t startFailures_ = 0;
};

struct GroupWorker
{
    WorkerInfo info_;
    WorkerIndex index_ = 0;
    bool inInstanceList_ = true; // by the instance list
    TimePoint unlistedAt_; // when not listed
    bool reportedLeaving_ = false; // by its own answer; the list's word is in info_
    bool epochAcknowledged_ = false; // the epoch, at least once
    bool countsAsUnacknowledged_ = true; // in Group::unacknowledgedSlots_
    bool holdConfirmed_ = false; // the last hold was answered and no call has failed since
    Resources free_; // capacity minus what tasks and strays hold; may be negative after a take-over
    Resources indexedFree_; // in the capacity index
    std::vector<GroupTask *> tasks_; // that hold resources here
    std::vector<GroupTask *> unsentStarts_; // Placed
    std::unordered_map<TaskId, Resources> unexpectedTasks_; // tasks to be stopped because they are known elsewhere
    std::vector<TaskId> acks_;
    std::vector<TaskId> finishedTasks_; // may include tasks that are acknowledged or gone; cleaned by each poll
    bool sendAcksNow_ = false; // a task waits to be queued again until an acknowledgement has arrived
    Resources measuredUse_; // measured
    std::uint32_t uncertainTasks_ = 0; // tasks in stage Uncertain
    std::uint32_t openStarts_ = 0;
    double startLimit_ = 2; // open start calls, adapts
    std::uint32_t openRenewals_ = 0; // open calls that may renew the lease
    TimePoint leaseEnd_; // tasks have certainly ended at this time unless a renewal is open
    TimePoint lastAnswer_;
    WorkerOpId contactCall_; // open hold, poll or ping; 0 for none
    bool extraCallOpen_ = false; // a hold or poll besides contactCall_
    std::uint32_t consecutiveErrors_ = 0; // in a row
    bool silent_ = false; // renewals are suspended until the worker answers or the lease has ended
    TimePoint contactDue_ = TimePoint::max(); // in Group::timers_
    bool flushQueued_ = false; // listed in Group::workersToFlush_
    std::uint32_t consecutiveFailures_ = 0; // in a row
    bool quarantined_ = false;
    TimePoint nextProbe_;
    Milliseconds probeWait_{0};
    std::vector<TaskId> stops_; // to be sent
    std::vector<TaskId> checkpoints_;
    std::vector<TaskId> throttles_;
};

enum class CallKind : std::uint8_t { Hold, Start, Poll, Stop };

struct OpenCall
{
    CallKind kind_ = CallKind::Hold;
    WorkerIndex worker_ = NoWorker;
    TimePoint sentAt_;
    std::vector<TaskId> tasks_; // of a start or stop; acknowledged by a poll
};

enum class OutcomeKind : std::uint8_t {
    Final, // ran, or was given up
    Refused, // certainly did not run
    ReportedAbsent, // the first candidate was told that it is not here
    Cancelled, // cancelled before it ran
};

// Outcome of a task that the group has dealt with.
struct OutcomeRecord
{
    OutcomeKind kind_ = OutcomeKind::Final;
    TaskResult result_;
    std::uint32_t attempt_ = 1;
    CallId call_;
    DaemonId offeredBy_;
    TimePoint expiresAt_;
};

struct Group
{
    ShardId id_;
    RegionId region_;
    Epoch epoch_;
    AllowanceState *allowances_ = nullptr;
    bool fenced_ = false;
    bool stopping_ = false;
    bool opened_ = false;
    TimePoint openedAt_; // first call with a time
    TimePoint now_; // of the newest call
    TimePoint stoppedAt_; // when stopping_
    TimePoint limitsCheckedAt_;
    std::uint64_t lastSequence_ = 0;

    std::vector<std::unique_ptr<GroupWorker>> workers_; // by index
    std::unordered_map<WorkerId, WorkerIndex> workerIndex_;
    std::uint32_t unacknowledgedWorkers_ = 0; // workers
    std::uint32_t unacknowledgedSlots_ = 0; // slots of workers on which an earlier holder may still start tasks
    std::set<std::pair<TimePoint, WorkerIndex>> timers_;
    CapacityIndex capacity_;
    Resources totalCapacity_; // of acknowledged, listed workers
    std::int64_t freeSlots_ = 0; // shown in the index
    std::vector<std::pair<Resources, std::uint32_t>> capacityCounts_; // distinct capacities of listed workers, how many
    std::vector<WorkerIndex> workersToFlush_;
    std::vector<WorkerIndex> freedWorkers_; // since the last placement round
    std::unordered_map<std::uint64_t, OpenCall> openCalls_; // by WorkerOpId
    std::uint32_t openStarts_ = 0;

    std::unordered_map<TaskId, std::unique_ptr<GroupTask>> tasks_;
    std::unordered_map<TeamId, std::unique_ptr<GroupTeam>> teams_;
    std::vector<GroupTeam *> teamList_; // in order of first use
    std::set<std::tuple<double, std::uint64_t, GroupTeam *>> readyTeams_[detail::PriorityCount];
    std::vector<GroupTeam *> teamsLackingCapacity_[detail::PriorityCount]; // teams whose first tasks fit nowhere
    std::vector<GroupTeam *> teamsAtAllowance_;
    std::vector<GroupTeam *> teamsToReport_;
    std::array<std::uint32_t, detail::PriorityCount> skipCounts_{};
    std::array<std::uint32_t, detail::PriorityCount> queuedTasks_{};
    bool weightedSharesStale_ = true;
    BundleVersion weightsVersion_;

    std::set<TaskTime> deadlines_;
    std::set<TaskTime> secondQueries_; // tasks that ask the second candidate again, by time
    std::set<TaskTime> resends_; // results to repeat to the home, by time
    std::set<TaskCost> preemptibleTasks_; // cheapest first
    std::uint32_t openPreemptions_ = 0;
    std::uint32_t waitingForWorkers_ = 0;

    std::map<std::uint64_t, std::unique_ptr<GroupGang>> gangs_;
    std::vector<GroupGang *> waitingGangs_;
    GroupGang *reservingGang_ = nullptr;

    std::unordered_map<std::uint64_t, GroupRequester> requesters_;
    std::uint64_t lastRequester_ = 0;
    std::vector<std::uint64_t> requestersToFlush_;
    std::unordered_map<TaskId, OutcomeRecord> outcomeRecords_;
    std::deque<std::pair<TimePoint, TaskId>> outcomeExpiries_;
    TimePoint lastEviction_; // something was dropped from the memory before its time

    std::vector<ShardId> candidates_; // groups of the region
    TimePoint candidatesReadAt_;

    double finishIntervalMs_ = 0; // moving average of the time between two finished tasks
    TimePoint lastFinish_;
    std::uint64_t placements_ = 0;
    std::uint64_t preemptions_ = 0;
    std::uint64_t forwards_ = 0;
};

} // namespace mimosapier
