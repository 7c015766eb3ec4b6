// Functions and constants shared by the sources of this folder; no other part includes this header.
#pragma once

#include "core/cell/cell_func.h"
#include "core/cell/fencing_func.h"
#include "core/common/json_func.h"

namespace mimosapier::detail
{

// Duration of the leases that holds and starts ask for. Longer than a change of leader (session lease, election and
// first holds take about 4 s); a shorter lease frees the tasks of a dead runner sooner.
constexpr Milliseconds TaskLease{6'500};
// Slowest rate of a runner's clock relative to the leader's; the platform allows a deviation of 2%.
constexpr double MinClockRate = 0.98;
constexpr Milliseconds LateCallBound{12'000}; // of the platform: a call without an answer is carried out by then
constexpr Milliseconds LeaseMargin{300}; // for late timers of the leader and the runner
// A runner with tasks answers a hold when a run ends, or after this time.
constexpr Milliseconds HoldWait{1'500};
constexpr Milliseconds HoldPause{80}; // pause after a hold, so that one call gets runs that end close together
// A hold that waits asks for no lease, see leases.cpp: one without a wait renews it this long after the last renewal,
// four times within TaskLease.
constexpr Milliseconds RenewalInterval{1'500};
constexpr Milliseconds ShortestHoldWait{100}; // while a renewal is due but has to wait for the answer to a start
constexpr Milliseconds LapsePollInterval{500}; // of the holds to a runner of which the lease is to lapse
constexpr Milliseconds HoldRetryDelay{250}; // delay after a hold without an answer
constexpr Milliseconds CallTimeout{700}; // for calls to runners: the round trip takes 40 ms, a busy instance longer
constexpr Milliseconds StartRetryDelay{60}; // first retry delay of a start or stop; doubles with each attempt
constexpr Milliseconds RejectedStartPause{1'000}; // no placement on a runner that rejected or did not get a start
// A runner that has restarted has seen no fencing token, so it obeys a leader that was replaced. A start therefore
// needs a proof of at most this age that this daemon leads, or that the runner has not restarted. Longer than the pause
// between two holds of a busy runner; an election, the recovery of the new leader and a restart of the runner take
// longer.
constexpr Milliseconds StartProofAge{2'000};
constexpr std::uint32_t MaxStartAttempts = 4; // then the start is withdrawn by a stop
constexpr std::uint32_t FailedRunsLimit = 3; // consecutive failed runs on a runner that start FailedRunsPause
constexpr Milliseconds FailedRunsPause{4'000}; // no placement on a runner after FailedRunsLimit
constexpr std::uint64_t RunsPerEpoch = 1'000; // run numbers of recovered jobs start above epoch * RunsPerEpoch
constexpr std::size_t WritesPerTransaction = 26; // the store allows 32 entries, including conditions and the lane key
// Minimum interval between the transactions of a lane, by lane; batches writes.
constexpr std::array<Milliseconds, LaneCount> LaneIntervals{Milliseconds(8), Milliseconds(25)};
constexpr Milliseconds StoreUnavailableAfter{500}; // submits are refused once a transaction has no result for this long
constexpr Milliseconds StoreRetryAfter{2'000}; // Retry-After of submits refused then; store outages last seconds
// For which submissions of a job are refused after its cancelling was answered with "no such job": longer than a daemon
// stands still plus a client's deadline.
constexpr Milliseconds CancelledUnknownKept{60'000};
constexpr std::size_t MaxCancelledUnknown = 50'000; // memory: under 100 B each
constexpr Milliseconds StatusMargin{10'000}; // added to CellSettings::statusRetention_
constexpr std::size_t MaxUnfinishedOccurrences = 64; // of a job at a time; later occurrences wait
constexpr Milliseconds TicketMargin{120}; // shortest remaining validity for a start; covers messages between regions

// True when this leadership made the call with this id; false for calls of an earlier leadership.
bool isCallOf(const Cell &cell, std::uint64_t id);

// The find functions return nullptr for an unknown object. If `step` is not nullptr, it receives the task's step.
Job *findJob(Cell &cell, StagedJobId id);
Runner *findRunner(Cell &cell, const RunnerId &id);
TaskRecord *findTask(Job &job, const StagedTask &task, StepState **step);
const StepSpec &stepSpec(const Job &job, std::uint32_t step);
bool isFinal(const Job &job);

// logEvent() begins a log line with its event name; addLogLine() finishes the line and adds it to the actions.
JsonObject logEvent(std::string_view event);
void addLogLine(CellActions &actions, JsonObject &object, LogLevel level = LogLevel::Info);

// Defined in leadership_check.cpp.

// Records that a later leader was elected; `by`: who has shown it.
void markSuperseded(Cell &cell, std::string_view by, CellActions &actions);
// Keeps the request until the store has shown that this daemon led after the request's arrival. Then handles it again
// as Confirmed; without this proof, replies Unavailable.
void waitForLeadershipCheck(Cell &cell, const DaemonId &from, const CellRequest &request, CellTime now,
                            CellActions &actions);
// Has pollLeadershipCheck() ask the store whether this daemon leads, unless it is confirmed for `time`.
void requestConfirmation(Cell &cell, TimePoint time);
// True when the store has shown that this daemon led at `time` or later.
bool isLeadershipConfirmed(const Cell &cell, TimePoint time);
// The store has shown that this daemon led at `time`: carries out what waits for this.
void confirmLeadership(Cell &cell, TimePoint time, CellTime now, CellActions &actions);
// Starts the reads that waiting requests and presumed ends need; refuses the requests that have waited too long.
void pollLeadershipCheck(Cell &cell, CellTime now, CellActions &actions);

// Defined in submit_cmd.cpp.

enum class Leadership : std::uint8_t {
    Assumed, // another daemon may have replaced this one meanwhile
    Confirmed, // the store has shown that this daemon led after the request's arrival
};
// Forgets the cancelled unknown jobs of which no submission can be under way any more.
void removeCancelledUnknown(Cell &cell, TimePoint now);
void handleRequestAs(Cell &cell, Leadership leadership, const DaemonId &from, const CellRequest &request, CellTime now,
                     CellActions &actions);

// Defined in jobs.cpp.

// Scheduled start of an occurrence, in Unix milliseconds.
std::int64_t dueOf(const Job &job, std::uint32_t number);
// Returns the occurrence with this number; creates it with all its tasks waiting if it does not exist.
Occurrence &createOccurrence(Job &job, std::uint32_t number, std::int64_t due);
// Lets the tasks of the occurrences that have become due start.
void createDueOccurrences(Cell &cell, Job &job, CellTime now);
// Like findTask(), for a task of which a run is known: its occurrence was due by the time of day of the leader that
// started it, and is created even if this leader's clock is behind.
TaskRecord *findTaskOfRun(Job &job, const StagedTask &task, StepState **step);
// Updates which steps of a due occurrence are ready, and queues the ready ones.
void updateReadySteps(Cell &cell, Job &job, std::uint32_t occurrence);
// Adds a ready step with waiting tasks to Cell::readySteps_ unless it is there.
void queueStep(Cell &cell, Job &job, std::uint32_t occurrence, std::uint32_t step);
// Schedules a write of the job's progress.
void markDirty(Cell &cell, Job &job);
// Has scheduled progress of the job written before that of other jobs.
void storeNext(Cell &cell, Job &job);
// Records that a task of the job has started.
void markStarted(Cell &cell, Job &job, TimePoint now);
// Makes the job final unless it is already, and stops its tasks unless the job has completed.
void finishJob(Cell &cell, Job &job, StagedState state, CellTime now, CellActions &actions);
// Records that a run of the task has ended as done. In a gang, the end of one member completes all.
void completeTask(Cell &cell, Job &job, const StagedTask &task, CellTime now, CellActions &actions);
// Creates the due occurrences of all recurring jobs.
void advanceRecurringJobs(Cell &cell, CellTime now);
// Removes final jobs whose state has been available for long enough.
void removeEndedJobs(Cell &cell, CellTime now);
// Time from the submit within which the job has to complete for its full value.
Milliseconds objectiveOf(const Job &job);
// Computes objectiveAt_, valueEndsAt_ and criticalPaths_ from the job's steps and submittedAt_.
void setObjectives(Job &job);

// Defined in leases.cpp.

// Extends the lease from now on. Result: its end on the runner's clock, or 0 while this clock is unknown.
std::int64_t renewLease(const Cell &cell, Runner &runner, TimePoint now);
// Upper bound of the time in which the longest lease that the platform grants, if it starts now, ends.
Milliseconds longestLease(const Cell &cell);
// Counts with the longest lease from now on.
void extendLeaseToLongest(const Cell &cell, Runner &runner, TimePoint now);
// Counts with the lease that the runner has granted to a start that named this end, by the clock in its answer.
void noteGrantedLease(const Cell &cell, Runner &runner, std::int64_t untilMs, const RunnerReply &reply, TimePoint now);
// The end of the lease that the placement has if its start has come to an incarnation of the runner that this leader
// has not seen; empty if it has not.
TimePoint unseenIncarnationLeaseEnd(const Cell &cell, const Runner &runner, const Placement &placement);
// True for a start with a ticket that may have begun all the same in an incarnation that this leader has not seen: the
// known one has answered no call since the ticket came.
bool isUnproven(const Runner &runner, const Placement &placement);
// Records that a start was given up without an answer.
void noteUnansweredStart(const Cell &cell, Runner &runner, const RunnerReply &reply, TimePoint now);
// Records that a hold that asked for a lease was given up without an answer; `raises`: Runner::tokenRaises_ when it was
// sent, or more.
void noteUnansweredLease(Runner &runner, std::uint64_t raises, TimePoint now);
// Sets Cell::lateStartBounds_ from the recovered jobs.
void setLateStartBounds(Cell &cell);
// The time after the end of all calls of former leaders in which the leases of a runner of the service that never
// answers have ended.
Milliseconds formerLeadersLeaseWait(const Cell &cell, const std::string &service);
// Computes Cell::allTasksKnownBy_.
TimePoint allTasksKnownBy(const Cell &cell);
// True when the clock in a reply shows that the runner has restarted: its clock has begun anew.
bool hasClockRestarted(const Runner &runner, const RunnerReply &reply);
// Takes the runner's clock from a reply.
void updateClock(const Cell &cell, Runner &runner, const RunnerReply &reply, TimePoint now);

// Defined in late_calls.cpp. All times are those at which calls were sent.

// The present incarnation of the runner has answered a call.
void noteAnsweredCall(Cell &cell, Runner &runner, TimePoint sentAt, CellTime now, CellActions &actions);
// A call to the runner was given up without an answer.
void noteUnansweredCall(Cell &cell, Runner &runner, TimePoint sentAt, CellTime now, CellActions &actions);
// True when an unanswered call of this time has to be expected to be carried out late.
bool areCallsLate(const Cell &cell, TimePoint sentAt);

// Defined in runners.cpp, runner_losses.cpp, runner_replies.cpp and runner_timers.cpp.

// Reserves the resources for a run of a waiting task. The reference is valid until the placement is released.
Placement &addPlacement(Cell &cell, Runner &runner, Job &job, const StagedTask &task, RunNumber run);
// Frees the resources of a placement; the task waits again unless it is done.
void releasePlacement(Cell &cell, Runner &runner, const StagedTask &task, ReleaseCause cause);
// Releases the task's placement if it has a lower run number: a run gets a higher number only after the one before has
// ended.
void releaseEarlierRun(Cell &cell, const StagedTask &id, const TaskRecord &task, RunNumber run);
// True when the store has the consequences of the end.
bool isStored(const Cell &cell, const UnstoredEnd &end);
// The cause as in log lines; `recovered`: of a job that an earlier leader has accepted.
std::string_view releaseCauseName(ReleaseCause cause, bool recovered);
// Presumes the end of all tasks of a runner on which nothing runs or can start any more. `cause` is logged; `isCrash`:
// the runner has ended by itself, perhaps because of one of its tasks.
void handleLostRunner(Cell &cell, Runner &runner, std::string_view cause, bool isCrash, CellTime now,
                      CellActions &actions);
// Sends the start of a placed task, or plans it until the answer to a hold, see isRenewingLease().
void sendStart(Cell &cell, Runner &runner, const StagedTask &task, Placement &placement, CellTime now,
               CellActions &actions);
// Has the start of a placed task sent when the store has the present version of the job.
void planStart(const Cell &cell, Runner &runner, const Job &job, const StagedTask &task, CellTime now,
               CellActions &actions);
// Sends a stop unless one was sent; the placement remains until the runner confirms that the task has ended. A planned
// start is given up at once.
void stopPlacement(Cell &cell, Runner &runner, const StagedTask &task, CellTime now, CellActions &actions);
void stopJobTasks(Cell &cell, const Job &job, CellTime now, CellActions &actions);
bool isPresumedEnded(const Placement &placement);
// Releases a task of which the end was presumed, unless the runner has reported on it since.
void releasePresumedEnd(Cell &cell, const PresumedEnd &end);
// Runs the timers of all runners, removes runners that are gone, and sets Cell::allTasksKnown_.
void checkAllRunnerTimers(Cell &cell, CellTime now, CellActions &actions);
// True for a runner that is silent, draining, lost or not used yet. The stored list names the runs of such a runner, so
// that a new leader knows what may run there; no task is started there until the stored list has the runner as in use.
bool isQuiescent(const Runner &runner);
// True when a start on the runner can rest on a recent proof, see StartProofAge.
bool hasStartProof(const Cell &cell, const Runner &runner, TimePoint now);
// True when tasks may be placed on the runner now.
bool isUsable(const Cell &cell, const Runner &runner, TimePoint now);
// Acknowledges the ends whose consequences are in the store, unless they wait for the lapse of the runner's lease.
void acknowledgeEnds(const Cell &cell, Runner &runner);
// Forgets the presumed runs of which no list can tell any more.
void removePresumedRuns(Cell &cell, TimePoint now);

// Defined in run_times.cpp. Without CellSettings::learnedRunTimes_, nothing is learned.

// Gives a listed runner the history of its address; `wasListed`: its entry was in the discovery list before.
void attachHistory(Cell &cell, Runner &runner, bool wasListed, CellTime now, CellActions &actions);
// A run of the step was placed on the runner; called for each member of a gang.
void noteRunPlaced(const Runner &runner, const StagedTask &task, const StepSpec &spec, StepState &step,
                   Placement &placement);
// Learns from an end, before it is handled.
void noteRunEnd(Cell &cell, const Runner &runner, const FinishedRun &end, TimePoint now, CellActions &actions);
// Logs what was learned, keeps the speeds centred on the average runner, and forgets runners and accounts that are
// gone.
void maintainRunTimes(Cell &cell, TimePoint now, CellActions &actions);
// The client's estimate of the run time, corrected by what was learned, for an average runner.
Milliseconds expectedRunTime(const Cell &cell, const StepSpec &spec, const Job &job);
// When the run will probably end: half of the runs end earlier. The time may have passed, as the function does not know
// the present time. TimePoint::max() for a run of which no start was sent, or which does not end by itself.
TimePoint expectedEnd(const Cell &cell, const Placement &placement, const StepSpec &spec, const Job &job);

// Speed of the runner relative to others, in steps of about a quarter; 0: average or not known.
std::int64_t speedClass(const Runner &runner);
// True when the step is better started on a fast runner: otherwise its job may miss its objective.
bool prefersFastRunner(const Cell &cell, const StepSpec &spec, const StepRef &ref, const Job &job, TimePoint now);

// Defined in runner_trust.cpp. Without CellSettings::learnedRunTimes_, nothing is noted and every risk is Low.

// How likely a run on the runner is to be lost.
enum class RunnerRisk : std::uint8_t {
    Low,
    Raised, // one failure or silence a short time ago
    High, // several, or a crash
};

enum class RunnerTrouble : std::uint8_t {
    Crash,
    Relisted, // its address is listed again after a time without an entry
    Silence,
    Regained, // it answers again after a silence
    NotReached, // a start certainly did not arrive
};

RunnerRisk riskOf(const Runner &runner, TimePoint now);
void noteTrouble(const Runner &runner, RunnerTrouble trouble, TimePoint now, CellActions &actions);
// A run on the runner was `failed`, or has ended as done. `endsGang`: it was the first failure in the run of a gang.
void noteRunResult(const Runner &runner, bool failed, bool endsGang, TimePoint now, CellActions &actions);
// Logs that a runner is not suspect any more. Result: whether it is suspect.
bool updateSuspect(const std::string &address, RunnerHistory &history, TimePoint now, CellActions &actions);
// True when runners without a high risk could hold the gang if they were empty: it waits for them.
bool canTrustedRunnersHoldGang(const Cell &cell, const StepSpec &spec, const StepState &step, const Job &job,
                               TimePoint now);

// Defined in copies.cpp. Without CellSettings::copyShare_, no task gets a copy.

// Starts second runs of stragglers, in steps that allow it.
void startCopies(Cell &cell, CellTime now, CellActions &actions);
// True when the tasks of the step may have two runs at a time.
bool mayHaveCopies(const Cell &cell, const StepSpec &spec);
// The run on the runner has ended as done: stops the other run of the task, if there is one.
void stopOtherRun(Cell &cell, const Runner &runner, TaskRecord &task, const StagedTask &id, CellTime now,
                  CellActions &actions);
// The placement on the runner is being released. Result: true if the other run of the task goes on in its place.
bool continuesElsewhere(Cell &cell, const Runner &runner, TaskRecord &task, const StagedTask &id);

// Defined in crashes.cpp.

// True when a runner has crashed, or may have crashed, under the task.
bool isSuspect(const TaskRecord &task);
// True when the next start of the task waits for a runner without other tasks, and keeps it for itself. The wait begins
// with the first call.
bool needsIsolation(TaskRecord &task, TimePoint now);
// Counts the crash for the tasks that the runner had, before their placements are released. Fails the jobs of tasks
// under which too many runners have crashed.
void noteRunnerCrash(Cell &cell, const Runner &runner, CellTime now, CellActions &actions);
// The runner was drained and has left as planned: this is no crash of the runs that it still had.
void noteRunnerLeft(Cell &cell, const Runner &runner);
// Counts the crash of a runner for one task, by the run that ended with it; `hasBegun`: see Placement::begun_.
void noteRunCrash(Cell &cell, const StagedTask &id, RunNumber run, bool hasBegun, CellTime now, CellActions &actions);
// The runner has survived the run.
void noteRunSurvived(Cell &cell, Job &job, const StagedTask &id, RunNumber run);
// The list of a runner names the run neither as active nor as ended.
void noteRunAbsent(Cell &cell, const Runner &runner, const StagedTask &id, const Placement &placement, CellTime now,
                   CellActions &actions);
// The runner has listed all its runs: it has survived the risky runs of its incarnation that are not there.
void noteRunnerSurvived(Cell &cell, const Runner &runner);
// Adds the stored risks of a recovered job to Cell::openRisks_.
void openStoredRisks(Cell &cell, const Job &job);
// Removes the risks from Cell::openRisks_ that are taken back, or confirmed by a crash, or whose job has ended.
void removeClosedRisks(Cell &cell);
// Called before a suspect is placed. Returns false after it has failed the job of a task that was risked too often; the
// steps of the job are gone then.
bool mayRiskRun(Cell &cell, Job &job, const StagedTask &id, CellTime now, CellActions &actions);
// Records the run of a suspect on the runner as risky. The start may be sent once the store has this version of the
// job, so that a crash counts even if no leader sees it.
void recordRisk(Cell &cell, Job &job, const StagedTask &id, RunNumber run, const Runner &runner);
// True when no suspect of the step may start now: one of them was risked several times, and another one runs.
bool mustSuspectsWait(const StepState &step);

// Defined in evacuation.cpp.

// True when the runner is in an evacuated zone.
bool isEvacuated(const Cell &cell, const Runner &runner);
// True when the evacuated zones are known and the runner is in none of them.
bool mayStartInZone(const Cell &cell, const Runner &runner);
// True when the service has runners that are not draining, and all of them are in evacuated zones.
bool isServiceEvacuated(const Cell &cell, const std::string &service);

// Defined in free_capacity.cpp.

// A usable runner with its free processors.
struct RunnerFreeCapacity
{
    Runner *runner_ = nullptr;
    std::int64_t milliCpus_ = 0; // free when the index was built; an upper bound during the pass
};

// Usable runners by service, most free processors first. Valid for one pass over the queue, during which free capacity
// only shrinks: a task that does not fit the first runners fits none. With a full fleet, a task therefore costs one
// lookup instead of one per runner.
class FreeCapacityIndex
{
public:
    FreeCapacityIndex(Cell &cell, TimePoint now);
    // Returns the runners of a service that had at least this much free when the index was built.
    std::span<const RunnerFreeCapacity> runnersWithFree(const std::string &service, std::int64_t milliCpus);

private:
    std::map<std::string, std::vector<RunnerFreeCapacity>> runnersByService_;
    Cell &cell_;
};

// True when the runner has the label that the step requires, or the step requires none.
bool hasRequiredLabel(const StepSpec &spec, const Runner &runner);
// Resources that a task reserves on a runner. Fill tasks reserve no processors: they use those that others leave idle.
Resources reservedSize(const StepSpec &spec);

// Defined in gang_room.cpp.

// What the reservations for gangs leave to one step.
struct RoomAccess
{
    std::uint32_t order_ = UINT32_MAX; // only reservations before this place bind; the step's own has it
    std::uint32_t priority_ = 0; // of the step's queue
    bool ignoresLowerPriority_ = false; // reservations for gangs of lower priority do not bind
    TimePoint end_; // expected end of a task that starts now
};

RoomAccess roomAccessOf(const Cell &cell, const Job &job, const StepRef &ref, TimePoint now);
// True when a task of the step has to start soon to meet the job's objective: reservations for gangs of lower priority
// do not bind it then.
bool mayIgnoreRooms(const Cell &cell, const Job &job, const StepRef &ref, TimePoint now);
// Resources of the runner that are free for the step now.
Resources freeFor(const Runner &runner, const RoomAccess &access);
// Takes a new placement of a step with this access into account.
void notePlacementInRooms(Runner &runner, const Placement &placement, const RoomAccess &access);
// True for a gang that may get a reservation: it waits as a whole, could start, and its job still has a value.
bool wantsRoom(const Cell &cell, const Job &job, const StepRef &ref, TimePoint now);
const GangRoom *findRoom(const Cell &cell, const StepRef &ref);
// Number of members of the gang that the runner holds when nothing else runs there.
std::uint32_t membersThatMayRun(const Runner &runner, const StepSpec &spec);
// Number of members that the runners which the policy allows are to hold; until then more runners are asked about.
std::uint32_t wantedKnownMembers(const StepSpec &spec);
// Releases the reservation of the gang if it has one. `cause` is logged. Result: how long it was held; -1: none.
Milliseconds releaseRoom(Cell &cell, const StepRef &ref, std::string_view cause, TimePoint now, CellActions &actions);
// Releases the reservations of gangs that do not wait any more, and plans all reservations anew when it is time.
void updateGangRooms(Cell &cell, CellTime now, CellActions &actions);
// Has the reservations planned anew soon.
void replanGangRooms(Cell &cell);

// Defined in admission.cpp.

// Checks a submit without changing the state of the cell. Result: the refusal with its `reason`, or no value.
std::optional<CellReply> checkSubmit(Cell &cell, const CellRequest &request, const Job &job, TimePoint now,
                                     std::string_view &reason);
// True when the job counts as beyond its account's share. Takes a submission from the account's token bucket unless an
// earlier attempt of the same job has taken one.
bool isBeyondShare(Cell &cell, const Job &job, TimePoint now);
// Has repetitions of the refused submission count as the same one, see isBeyondShare().
void noteRefusedSubmission(Cell &cell, const Job &job, TimePoint now);
// Forgets the refused submissions that clients do not repeat any more.
void removeRefusedSubmissions(Cell &cell, TimePoint now);
// Tasks of a job in all occurrences that may be open at a time.
std::uint64_t countOpenTasks(const Job &job);
// Sets Cell::openTasks_.
void countAllOpenTasks(Cell &cell);
// Counts an accepted job that has not started.
void addWaitingWork(Cell &cell, const Job &job, TimePoint now);
// Counts the first start of a job of this queue for the queue's start rate.
void countFirstStart(Cell &cell, const std::string &queue, TimePoint now);

// Defined in urgency.cpp.

// What starting a step now can still achieve for its job; the declaration order is the order of work.
enum class UrgencyClass : std::uint8_t { InTime, Late, BeyondShare, BestEffort };

// Place of a waiting step in the order of work; lower keys come first.
struct UrgencyKey
{
    UrgencyClass class_ = UrgencyClass::InTime;
    std::uint32_t priority_ = 0;
    TimePoint objectiveAt_;
    StepRef ref_;
    auto operator<=>(const UrgencyKey &) const = default;
};

UrgencyKey urgencyOf(const Cell &cell, const Job &job, const StepRef &ref, TimePoint now);
// By how much the step is put back in the order for the past use of its account: never more than the step's slack.
Duration pastUseShift(const Cell &cell, const Job &job, std::uint32_t step, TimePoint now);
// Time that the job certainly needs from its first start to its end.
Milliseconds certainWork(const Job &job);
// Time from one pass over the waiting steps to the next. It grows with their number, so that the passes never use up
// the leader's processor.
Duration passInterval(std::size_t waitingSteps);

// Defined in past_use.cpp.

bool isPastUseCounted(const Cell &cell);
// The resources in use by the account have changed.
void notePlacedUse(Cell &cell, Account &account);
// Counts the use of the accounts that have changed until `now`. Called before and after each batch of changes, so that
// these count from their own time.
void countPastUse(Cell &cell, TimePoint now);
// A step of the account has waiting tasks.
void noteWaitingAccount(Cell &cell, const std::string &name);
// Computes the fair-share factors and shifts of all accounts unless the last ones are recent, and reports them.
void refreshPastUse(Cell &cell, TimePoint now, CellActions &actions);
// Adds the record of the past use to the transaction if it is due.
void collectPastUse(Cell &cell, CellTime now, LaneTransaction &transaction);
// Takes the past use from the record of an earlier leader. Returns false for malformed bytes.
bool restorePastUse(Cell &cell, std::string_view bytes, CellTime now);
// The shift of a step of this account that has enough slack.
Milliseconds largestPastUseShift(const Cell &cell, const std::string &account);

// Defined in placement.cpp, policy.cpp and lanes.cpp.

// Number of tasks of this size that the account's limit still allows.
std::uint32_t tasksWithinLimit(const Cell &cell, const Job &job, const Resources &size);
// Number of tasks of this size that fit into the free resources; UINT32_MAX for tasks without a size.
std::uint32_t fittingTasks(const Resources &free, const Resources &size);
// Estimated time that the policy service takes for a query.
double policyQueryMs(const QueuePolicy &policy, std::size_t runners);
// Starts the waiting tasks that fit, most urgent first.
void placeWaiting(Cell &cell, CellTime now, CellActions &actions);
// True for a gang that waits until runs on lost runners have certainly ended. Meanwhile the policy service is asked
// which runners are allowed, so that one query for tickets is left when the gang may start.
bool learnsAhead(const Cell &cell, const Job &job, const StepRef &ref, TimePoint now);
// Queues a policy query for the step unless one is pending or the retry delay has not passed.
void queuePolicyQuery(Cell &cell, Job &job, std::uint32_t occurrence, std::uint32_t step, TimePoint now);
void sendPolicyQueries(Cell &cell, CellTime now, CellActions &actions);
// Ends queries that have timed out or whose daemon is gone; they count as unanswered.
void expirePolicyQueries(Cell &cell, CellTime now, CellActions &actions);
// True when the step has a ticket for the runner's current incarnation that stays valid long enough for a start.
bool hasTicket(const StepState &step, const Runner &runner, TimePoint now);
// Has the start of the placement carry the step's ticket for the runner, if there is one.
void setTicket(const StepState &step, const Runner &runner, Placement &placement);
// Store keys of the job's record and of its progress.
std::string jobKey(StagedJobId id);
std::string progressKey(StagedJobId id);
// Sends new transactions and retries, and refuses unstored submits while the store is unavailable.
void flushLanes(Cell &cell, CellTime now, CellActions &actions);

// Defined in records.cpp. The decode functions return false for malformed bytes.
std::string encodeJob(const Job &job);
bool decodeJob(std::string_view bytes, Job &job);
std::string encodeProgress(const Job &job);
// Applies stored progress to a recovered job; of a job that is final, only the state is set.
bool decodeProgress(std::string_view bytes, Job &job);
std::string encodeRunners(const Cell &cell);
// A runner of the stored list.
struct StoredRunner
{
    RunnerRecord record_;
    bool quiescent_ = false; // see isQuiescent(); if true, tasks_ has everything that may run there
    std::vector<StoredRun> tasks_;
};

bool decodeRunners(std::string_view bytes, std::vector<StoredRunner> &runners, std::int64_t &lateCallUnixMs);

} // namespace mimosapier::detail
