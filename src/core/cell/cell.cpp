// Creation of a leadership, recovery from the store, configuration, and advanceCell(), which follows each batch of
// calls.
#include "core/cell/cell_internal.h"

#include <algorithm>

namespace mimosapier
{

using namespace detail;

static constexpr Milliseconds SlowTick{500}; // interval of the work that is not urgent, see advanceCell()
// Longest time without a confirmation of the leadership, unless the store fails; a fraction of StartProofAge.
static constexpr Milliseconds ConfirmationInterval{500};
static constexpr Milliseconds TimerInterval{10}; // of the timers of all runners; shorter than the latency between zones

// Call ids contain the epoch, so that replies to calls of an earlier leadership are recognized.
static constexpr unsigned EpochShift = 32;

static std::uint64_t firstCallId(CellEpoch epoch)
{
    return (epoch.value_ << EpochShift) + 1;
}

bool detail::isCallOf(const Cell &cell, std::uint64_t id)
{
    return id >> EpochShift == cell.epoch_.value_;
}

std::unique_ptr<Cell> makeCell(const CellSettings &settings, const DaemonId &self, CellEpoch epoch,
                               std::uint64_t leaderKeyRevision, std::span<const std::uint64_t> laneRevisions,
                               TimePoint electionSentAt, TimePoint now)
{
    auto cell = std::make_unique<Cell>();
    cell->settings_ = settings;
    cell->self_ = self;
    cell->epoch_ = epoch;
    cell->leaderKeyRevision_ = leaderKeyRevision;
    cell->acquiredAt_ = now;
    cell->leadershipCheck_.confirmedAt_ = electionSentAt;
    cell->formerLeadersEndBy_ = TimePoint::max(); // not known yet
    cell->nextCallId_ = firstCallId(epoch);
    for (std::size_t i = 0; i < cell->lanes_.size() && i < laneRevisions.size(); ++i) {
        cell->lanes_[i].keyRevision_ = laneRevisions[i];
    }
    return cell;
}

static void logBadRecord(const KvItem &item, CellActions &actions)
{
    JsonObject line = logEvent("bad-record");
    line.text("key", item.key_).number("bytes", static_cast<std::int64_t>(item.value_.size()));
    addLogLine(actions, line, LogLevel::Error);
    count(actions, CellCounter::BadEntry);
}

void recoverJob(Cell &cell, const KvItem &item, CellTime now, CellActions &actions)
{
    auto job = std::make_unique<Job>();
    if (!decodeJob(item.value_, *job)) {
        logBadRecord(item, actions);
        return;
    }
    job->stored_ = true;
    job->recovered_ = true;
    job->runFloor_ = cell.epoch_.value_ * RunsPerEpoch;
    const auto age = Milliseconds(std::max<std::int64_t>(0, now.unixMs_ - job->acceptedUnixMs_));
    job->submittedAt_ = now.steady_ - age;
    setObjectives(*job);
    const StagedJobId id = job->id_;
    cell.unstartedJobs_.insert(id);
    cell.jobs_.insert_or_assign(id, std::move(job));
}

// Returns the job's id from the key "progress/<16 hex digits>"; no value for other keys.
static std::optional<StagedJobId> idOfKey(std::string_view key)
{
    const std::size_t slash = key.rfind('/');
    StagedJobId id;
    const std::string digits(key.substr(slash == std::string_view::npos ? 0 : slash + 1));
    char *end = nullptr;
    constexpr int Hexadecimal = 16;
    id.value_ = std::strtoull(digits.c_str(), &end, Hexadecimal);
    if (digits.empty() || *end != '\0') {
        return std::nullopt;
    }
    return id;
}

void recoverProgress(Cell &cell, const KvItem &item, CellTime now, CellActions &actions)
{
    const auto id = idOfKey(item.key_);
    Job blank;
    Job *job = id ? findJob(cell, *id) : nullptr;
    if (!id || !decodeProgress(item.value_, job != nullptr ? *job : blank)) {
        logBadRecord(item, actions);
        return;
    }
    const bool hasRecord = job != nullptr;
    if (!hasRecord) {
        if (!isFinal(blank)) {
            // The job's record is malformed, or this progress is out of date: the record of a job is removed in the
            // transaction that stores its final state.
            return;
        }
        auto ended = std::make_unique<Job>(std::move(blank));
        ended->id_ = *id;
        job = cell.jobs_.insert_or_assign(*id, std::move(ended)).first->second.get();
        job->stored_ = true;
        job->recovered_ = true;
    }
    if (isFinal(*job)) {
        if (hasRecord) { // the job ended before it was stored; without its state, the record would be that of a new job
            cell.keysToRemove_.push_back(jobKey(*id));
        }
        job->endedAt_ = now.steady_;
        cell.endedJobs_.push_back(*id);
    }
}

void recoverRunners(Cell &cell, std::string_view stored)
{
    std::vector<StoredRunner> runners;
    if (!decodeRunners(stored, runners, cell.lateCallUnixMs_)) {
        return;
    }
    for (StoredRunner &entry : runners) {
        auto &slot = cell.runners_[entry.record_.id_];
        if (!slot) { // the runner is not in the discovery list
            slot = std::make_unique<Runner>();
            slot->record_ = std::move(entry.record_);
        }
        slot->mayHavePredecessorTasks_ = !entry.quiescent_ || !entry.tasks_.empty();
        slot->storedAsInUse_ = !entry.quiescent_;
        slot->storedRuns_ = std::move(entry.tasks_);
    }
}

void recoverPastUse(Cell &cell, const KvItem &item, CellTime now, CellActions &actions)
{
    if (isPastUseCounted(cell) && !restorePastUse(cell, item.value_, now)) {
        logBadRecord(item, actions);
    }
}

// Creates placements for the runs that the stored list names on this runner: it was silent when the previous leader
// wrote the list. No other task can run there, so other tasks can start without the runner's answer.
static void placeStoredRuns(Cell &cell, Runner &runner)
{
    for (const StoredRun &placed : runner.storedRuns_) {
        Job *job = findJob(cell, placed.task_.job_);
        const TaskRecord *task
            = job != nullptr && !isFinal(*job) ? findTaskOfRun(*job, placed.task_, nullptr) : nullptr;
        if (task != nullptr) {
            releaseEarlierRun(cell, placed.task_, *task, placed.run_);
        }
        if (task != nullptr && task->state_ == TaskState::Waiting && placed.run_.value_ > task->endedRun_) {
            Placement &placement = addPlacement(cell, runner, *job, placed.task_, placed.run_);
            placement.phase_ = PlacementPhase::Running;
            placement.startedAt_ = cell.acquiredAt_;
            job->started_ = true;
            placement.confirmedAt_ = cell.acquiredAt_; // the first hold of this leadership shows whether the task runs
        }
    }
    runner.predecessorTasksKnown_ = runner.mayHavePredecessorTasks_ && !runner.storedAsInUse_;
    runner.storedRuns_.clear();
}

void finishRecovery(Cell &cell, CellTime now, CellActions &actions)
{
    std::int64_t tasksDone = 0;
    for (auto &[id, job] : cell.jobs_) {
        for (const auto &[number, occurrence] : job->occurrences_) {
            for (const StepState &step : occurrence.steps_) {
                tasksDone += step.done_;
            }
        }
        openStoredRisks(cell, *job);
        createDueOccurrences(cell, *job, now);
    }
    setLateStartBounds(cell);
    if (cell.lateCallUnixMs_ != 0) {
        cell.lateCallAt_ = now.steady_ - Milliseconds(std::max<std::int64_t>(0, now.unixMs_ - cell.lateCallUnixMs_));
    }
    std::int64_t storedRuns = 0;
    std::int64_t runnersInUse = 0; // only these runners themselves know their runs
    for (auto &[id, runner] : cell.runners_) {
        storedRuns += static_cast<std::int64_t>(runner->storedRuns_.size());
        runnersInUse += runner->storedAsInUse_ ? 1 : 0;
        placeStoredRuns(cell, *runner);
    }
    JsonObject line = logEvent("recovering");
    line.number("epoch", static_cast<std::int64_t>(cell.epoch_.value_));
    line.number("jobs", static_cast<std::int64_t>(cell.jobs_.size()));
    line.number("runners", static_cast<std::int64_t>(cell.runners_.size()));
    line.number("tasks_done", tasksDone).number("stored_runs", storedRuns).number("runners_in_use", runnersInUse);
    Milliseconds leaseWait = longestLease(cell);
    for (const auto &[service, bound] : cell.lateStartBounds_) {
        leaseWait = std::max(leaseWait, formerLeadersLeaseWait(cell, service));
    }
    line.number("lease_wait_ms", leaseWait.count());
    addLogLine(actions, line);
}

void applyConfig(Cell &cell, const CellConfig &config)
{
    cell.config_ = config;
    for (auto &[name, account] : cell.accounts_) {
        account.config_.cap_ = {};
    }
    for (const AccountConfig &account : config.accounts_) {
        cell.accounts_[account.name_].config_ = account;
    }
    cell.placementDue_ = true;
}

void keepLeadershipConfirmed(Cell &cell, CellTime now, CellActions &actions)
{
    requestConfirmation(cell, now.steady_ - ConfirmationInterval);
    pollLeadershipCheck(cell, now, actions);
}

void advanceCell(Cell &cell, CellTime now, CellActions &actions)
{
    countPastUse(cell, now.steady_);
    refreshPastUse(cell, now.steady_, actions);
    if (now.steady_ >= cell.nextSlowTickAt_) {
        cell.nextSlowTickAt_ = now.steady_ + SlowTick;
        advanceRecurringJobs(cell, now);
        removeEndedJobs(cell, now);
        removeCancelledUnknown(cell, now.steady_);
        removeRefusedSubmissions(cell, now.steady_);
        countAllOpenTasks(cell);
        removeClosedRisks(cell);
        removePresumedRuns(cell, now.steady_);
        maintainRunTimes(cell, now.steady_, actions);
        std::erase_if(cell.unstartedJobs_, [&cell](StagedJobId id) {
            const Job *job = findJob(cell, id);
            return job == nullptr || job->started_ || isFinal(*job);
        });
        expirePolicyQueries(cell, now, actions);
        startCopies(cell, now, actions);
        cell.placementDue_ = true; // retries may have become due
    }
    requestConfirmation(cell, now.steady_ - ConfirmationInterval);
    if (now.steady_ >= cell.nextTimersAt_) {
        cell.nextTimersAt_ = now.steady_ + TimerInterval;
        checkAllRunnerTimers(cell, now, actions);
    }
    if (!cell.gangRooms_.rooms_.empty() && now.steady_ >= cell.gangRooms_.nextAt_) {
        cell.placementDue_ = true; // the plan of the reservations, or the renewal of their tickets, is due
    }
    if (cell.placementDue_ && now.steady_ >= cell.nextPlacementAt_) {
        cell.placementDue_ = false;
        cell.nextPlacementAt_ = now.steady_ + passInterval(cell.readySteps_.size());
        placeWaiting(cell, now, actions);
    }
    sendPolicyQueries(cell, now, actions);
    countPastUse(cell, now.steady_);
    flushLanes(cell, now, actions);
    pollLeadershipCheck(cell, now, actions);
}

} // namespace mimosapier
