// Functions shared by the sources of this folder, and the constants of the decisions.
#pragma once

#include "core/cell/cell_func.h"
#include "core/common/json_func.h"

namespace mimosapier::detail
{

// Lease that holds and starts ask for. Longer than a change of leader (lease of the session, election, first holds:
// about 4 s); shorter leases free the tasks of a dead runner sooner.
constexpr Milliseconds TaskLease{6'500};
// Slowest rate of a runner's clock against ours: the platform allows 2%.
constexpr double SlowestClock = 0.98;
constexpr Milliseconds LeaseMargin{300}; // for timers on both sides
constexpr Milliseconds HoldWait{1'500}; // a hold waits this long for an end; renews the lease four times over
constexpr Milliseconds HoldGap{80}; // between holds of a runner, so that ends close together cost one call
constexpr Milliseconds HoldRetry{250}; // after a hold without an answer
constexpr Milliseconds CallTimeout{700}; // of calls to runners: 40 ms there and back, and a busy instance
constexpr Milliseconds StartRetry{60}; // first repeat of a start or stop without an answer; doubles
constexpr Milliseconds UnhealthyPause{1'000}; // nothing is placed on a runner that refused or did not get a call
constexpr std::uint32_t StartTries = 4; // afterwards the start is withdrawn by a stop
constexpr std::uint32_t FailedRunsLimit = 3; // failed runs in a row after which a runner rests
constexpr Milliseconds FailedRunsPause{4'000};
constexpr std::uint64_t RunsPerEpoch = 1'000; // run numbers of recovered jobs start above epoch x this
constexpr std::size_t WritesPerTransaction = 26; // the store takes 32 entries, conditions and lane key included
constexpr std::array<Milliseconds, LaneCount> LaneGaps{Milliseconds(8), Milliseconds(25)}; // groups writes
constexpr Milliseconds StoreTroubleAfter{500}; // a transaction without an answer for this long: submits are refused
constexpr Milliseconds StoreRetryAfter{2'000}; // outages of the store last seconds
constexpr Milliseconds StatusMargin{10'000}; // added to the time for which a final state is kept
constexpr std::size_t MaxOccurrencesAhead = 64; // occurrences of a job that may be unfinished at a time
constexpr Milliseconds TicketMargin{120}; // way of the answer and of the start between regions

// False for replies to calls of an earlier leadership.
bool isCallOf(const Cell &cell, std::uint64_t id);

Job *findJob(Cell &cell, StagedJobId id);
Runner *findRunner(Cell &cell, const RunnerId &id);
TaskRecord *findTask(Job &job, const StagedTask &task, StepState **step);
const StepSpec &stepSpec(const Job &job, std::uint32_t step);
bool isFinal(const Job &job);

// Adds a line to the log.
JsonObject logEvent(std::string_view event);
void logTo(CellActions &actions, JsonObject &object, LogLevel level = LogLevel::Info);

// jobs.cpp
std::int64_t dueOf(const Job &job, std::uint32_t number);
// The occurrence with that number, created with all its tasks waiting when it is not there.
Occurrence &createOccurrence(Job &job, std::uint32_t number, std::int64_t due);
void materialize(Cell &cell, Job &job, CellTime now);
void refreshReady(Cell &cell, Job &job, std::uint32_t occurrence);
void queueStep(Cell &cell, Job &job, std::uint32_t occurrence, std::uint32_t step);
void markDirty(Cell &cell, Job &job);
void finishJob(Cell &cell, Job &job, StagedState state, CellTime now, CellActions &actions);
void taskDone(Cell &cell, Job &job, const StagedTask &task, CellTime now, CellActions &actions);
void advanceOccurrences(Cell &cell, CellTime now);
void forgetEnded(Cell &cell, CellTime now);
Milliseconds objectiveOf(const Job &job);
// Sets the times that follow from the job's steps and submittedAt_.
void setObjectives(Job &job);

// runners.cpp
Placement &addPlacement(Cell &cell, Runner &runner, Job &job, const StagedTask &task, RunNumber run);
void releasePlacement(Cell &cell, Runner &runner, const StagedTask &task);
void loseRunner(Cell &cell, Runner &runner, std::string_view cause, CellTime now, CellActions &actions);
void sendStart(Cell &cell, Runner &runner, const StagedTask &task, Placement &placement, CellTime now,
               CellActions &actions);
void stopPlacement(Cell &cell, Runner &runner, const StagedTask &task, CellTime now, CellActions &actions);
void stopJobTasks(Cell &cell, const Job &job, CellTime now, CellActions &actions);
void runnerTimers(Cell &cell, CellTime now, CellActions &actions);
// True when nothing is started there before the stored list says that the runner is in use: it is silent, or lost, or
// was not used yet. A new leader then knows what may run there without its answer.
bool isQuiescent(const Runner &runner);
bool usable(const Cell &cell, const Runner &runner, TimePoint now);
void acknowledgeEnds(Cell &cell, Runner &runner);

// rooms.cpp

// A usable runner with free processors.
struct RunnerRoom
{
    Runner *runner_ = nullptr;
    std::int64_t milliCpus_ = 0; // free when the index was made; not less than what is free during the pass
};

// Usable runners of each service, those with the most free processors first. Valid for one pass over the queue, in
// which room only shrinks: a task that does not fit the first runners fits none, so that a full fleet costs one look a
// task instead of one a runner.
class RoomIndex
{
public:
    RoomIndex(Cell &cell, TimePoint now);
    // Runners of a service that had at least that much free.
    std::span<const RunnerRoom> withRoom(const std::string &service, std::int64_t milliCpus);

private:
    std::map<std::string, std::vector<RunnerRoom>> rooms_;
    Cell &cell_;
};

bool hasLabel(const StepSpec &spec, const Runner &runner);
Resources reservedSize(const StepSpec &spec);

// placement.cpp, policy.cpp, lanes.cpp
void placeWaiting(Cell &cell, CellTime now, CellActions &actions);
void requestQuery(Cell &cell, Job &job, std::uint32_t occurrence, std::uint32_t step, TimePoint now);
void sendQueries(Cell &cell, CellTime now, CellActions &actions);
void expireQueries(Cell &cell, CellTime now, CellActions &actions);
bool hasTicket(const StepState &step, const Runner &runner, TimePoint now);
void flushLanes(Cell &cell, CellTime now, CellActions &actions);

// records.cpp
std::string encodeJob(const Job &job);
bool decodeJob(std::string_view bytes, Job &job);
std::string encodeProgress(const Job &job);
// Applies stored progress to a recovered job, or creates a final one.
bool decodeProgress(std::string_view bytes, Job &job);
std::string encodeRunners(const Cell &cell);
// A runner of the stored list.
struct StoredRunner
{
    RunnerRecord record_;
    bool quiescent_ = false; // see isQuiescent(); then tasks_ has all that may run there
    std::vector<PlacedRun> tasks_;
};

bool decodeRunners(std::string_view bytes, std::vector<StoredRunner> &runners);

} // namespace mimosapier::detail
