// Tasks that crash the runners which start them.
//
// A crash of a runner makes a suspect of each task that it had. The next start of a suspect is recorded in the store
// before it is sent, as a risky run with its runner; the record is removed when the runner has survived the run. A
// crash therefore counts across a change of leader and an outage of the store, also if no leader lives to see it; a
// start that a leader has planned and not sent does not, once its runner answers the next leader. After IsolationRuns
// risky runs, a task that is not long-running gets a runner for itself. After MaxRiskyRuns, and at least MinSeenCrashes
// crashes that a leader has seen under a run that had started, the task is given up and its job fails. A task whose
// starts get no answer, as it may crash its runner at once, is given up after MaxUnseenRiskyRuns.
//
// A rack that loses power takes down runners that have no job in common; their crashes are not counted.
#include "core/cell/cell_internal.h"

#include <algorithm>
#include <set>

namespace mimosapier::detail
{

static constexpr std::size_t MaxRiskyRuns = 3; // the published budget allows two further starts
static constexpr std::size_t MinSeenCrashes = 2; // a risky run that was never sent must not fail a job by itself
static constexpr std::size_t MaxUnseenRiskyRuns = 5; // after three crashes a task may be started twice more
static constexpr std::size_t IsolationRuns = 2; // risky runs before the start that is isolated
static constexpr Milliseconds IsolationWait{3'000}; // a start that finds no empty runner for this long goes elsewhere
static constexpr Milliseconds RackLossWindow{2'000}; // runners of a rack are found to be lost within this time
static constexpr std::size_t MinRackLossRunners = 3; // smallest number of crashed runners that counts as a lost rack
static constexpr double RackLossShare = 0.75; // smallest share of the rack's runners
// A long-running task that has run for this long does not crash its runners.
static constexpr Milliseconds SafeRunAge{60'000};

bool isSuspect(const TaskRecord &task)
{
    return !task.riskyRuns_.empty();
}

// True when the next start of the task, or its present one, is isolated. The run of this start does not count.
static bool isIsolated(const TaskRecord &task)
{
    const auto earlier = std::count_if(task.riskyRuns_.begin(), task.riskyRuns_.end(), [&task](const RiskyRun &risky) {
        return risky.crashed_ || risky.run_ != task.riskedRun_;
    });
    return static_cast<std::size_t>(earlier) >= IsolationRuns;
}

bool needsIsolation(TaskRecord &task, TimePoint now)
{
    if (!isIsolated(task)) {
        return false;
    }
    if (task.isolationUntil_ == TimePoint{}) {
        task.isolationUntil_ = now + IsolationWait;
    }
    return now < task.isolationUntil_;
}

static std::vector<RiskyRun>::iterator findRiskyRun(TaskRecord &task, std::uint64_t run)
{
    return std::find_if(task.riskyRuns_.begin(), task.riskyRuns_.end(),
                        [run](const RiskyRun &risky) { return risky.run_ == run; });
}

static std::size_t seenCrashes(const TaskRecord &task)
{
    return static_cast<std::size_t>(std::count_if(task.riskyRuns_.begin(), task.riskyRuns_.end(),
                                                  [](const RiskyRun &risky) { return risky.crashed_; }));
}

static bool isRiskedTooOften(const TaskRecord &task)
{
    return task.riskyRuns_.size() >= MaxUnseenRiskyRuns
        || (task.riskyRuns_.size() >= MaxRiskyRuns && seenCrashes(task) >= MinSeenCrashes);
}

static void logSuspect(const StagedTask &id, const TaskRecord &task, std::uint64_t run, bool givenUp,
                       CellActions &actions)
{
    JsonObject line = logEvent(givenUp ? "task-given-up" : "task-suspected");
    line.text("task", taskText(id)).number("run", static_cast<std::int64_t>(run));
    line.text("runner", task.runner_.value_).number("crashes", static_cast<std::int64_t>(seenCrashes(task)));
    line.number("risky_runs", static_cast<std::int64_t>(task.riskyRuns_.size()));
    addLogLine(actions, line, LogLevel::Warning);
    count(actions, givenUp ? CellCounter::TaskGivenUp : CellCounter::TaskSuspected);
}

bool mayRiskRun(Cell &cell, Job &job, const StagedTask &id, CellTime now, CellActions &actions)
{
    const TaskRecord &task = *findTask(job, id, nullptr);
    if (!isRiskedTooOften(task)) {
        return true;
    }
    logSuspect(id, task, task.run_, true, actions); // risked by an earlier leader
    finishJob(cell, job, StagedState::Failed, now, actions);
    return false;
}

void recordRisk(Cell &cell, Job &job, const StagedTask &id, RunNumber run, const Runner &runner)
{
    TaskRecord &task = *findTask(job, id, nullptr);
    task.riskyRuns_.push_back({run.value_, false, runner.record_.id_, runner.startedUnixMs_});
    task.riskedRun_ = run.value_;
    task.isolationUntil_ = {};
    cell.openRisks_.push_back({id, run, runner.record_.id_, runner.startedUnixMs_});
    markDirty(cell, job);
}

bool mustSuspectsWait(const StepState &step)
{
    bool isolates = false;
    bool runs = false;
    for (const TaskRecord &task : step.tasks_) {
        isolates = isolates || isIsolated(task);
        runs = runs || (isSuspect(task) && task.state_ == TaskState::Placed);
    }
    return isolates && runs;
}

void noteRunSurvived(Cell &cell, Job &job, const StagedTask &id, RunNumber run)
{
    TaskRecord *task = findTask(job, id, nullptr);
    if (task == nullptr) {
        return;
    }
    const auto found = findRiskyRun(*task, run.value_);
    if (found != task->riskyRuns_.end()) {
        task->riskyRuns_.erase(found);
        markDirty(cell, job);
    }
}

void noteRunAbsent(Cell &cell, const Runner &runner, const StagedTask &id, const Placement &placement, CellTime now,
                   CellActions &actions)
{
    if (placement.spansRestart_) {
        noteRunCrash(cell, id, placement.run_, placement.begun_, now, actions);
        return;
    }
    Job *job = findJob(cell, id.job_);
    TaskRecord *task = job != nullptr ? findTask(*job, id, nullptr) : nullptr;
    if (task == nullptr || placement.mayHaveCrashed_) {
        return;
    }
    const auto risky = findRiskyRun(*task, placement.run_.value_);
    if (risky == task->riskyRuns_.end() || risky->crashed_) {
        return;
    }
    const bool hasRestarted = risky->runner_ == runner.record_.id_ && risky->startedUnixMs_ < runner.startedUnixMs_;
    if (!hasRestarted) {
        noteRunSurvived(cell, *job, id, placement.run_);
    }
}

void openStoredRisks(Cell &cell, const Job &job)
{
    for (const auto &[number, occurrence] : job.occurrences_) {
        for (std::uint32_t s = 0; s < occurrence.steps_.size(); ++s) {
            const StepState &step = occurrence.steps_[s];
            for (std::uint32_t i = 0; i < step.tasks_.size(); ++i) {
                for (const RiskyRun &risky : step.tasks_[i].riskyRuns_) {
                    if (!risky.crashed_ && !risky.runner_.empty()) {
                        cell.openRisks_.push_back(
                            {{job.id_, number, s, i}, RunNumber{risky.run_}, risky.runner_, risky.startedUnixMs_});
                    }
                }
            }
        }
    }
}

void removeClosedRisks(Cell &cell)
{
    std::erase_if(cell.openRisks_, [&cell](const OpenRisk &risk) {
        Job *job = findJob(cell, risk.task_.job_);
        TaskRecord *task = job != nullptr && !isFinal(*job) ? findTask(*job, risk.task_, nullptr) : nullptr;
        if (task == nullptr) {
            return true;
        }
        const auto risky = findRiskyRun(*task, risk.run_.value_);
        return risky == task->riskyRuns_.end() || risky->crashed_;
    });
}

void noteRunnerSurvived(Cell &cell, const Runner &runner)
{
    std::erase_if(cell.openRisks_, [&cell, &runner](const OpenRisk &risk) {
        if (risk.runner_ != runner.record_.id_) {
            return false;
        }
        const auto placed = runner.tasks_.find(risk.task_);
        if (placed != runner.tasks_.end() && placed->second.run_ == risk.run_) {
            return false;
        }
        if (risk.startedUnixMs_ == runner.startedUnixMs_) {
            if (Job *job = findJob(cell, risk.task_.job_); job != nullptr && !isFinal(*job)) {
                noteRunSurvived(cell, *job, risk.task_, risk.run_);
            }
        }
        return true;
    });
}

void noteRunCrash(Cell &cell, const StagedTask &id, RunNumber run, bool hasBegun, CellTime now, CellActions &actions)
{
    Job *job = findJob(cell, id.job_);
    TaskRecord *task = job != nullptr && !isFinal(*job) ? findTask(*job, id, nullptr) : nullptr;
    if (task == nullptr || task->state_ == TaskState::Done) {
        return;
    }
    auto found = findRiskyRun(*task, run.value_);
    if (found == task->riskyRuns_.end()) {
        found = task->riskyRuns_.insert(task->riskyRuns_.end(), RiskyRun{run.value_});
    }
    found->crashed_ = found->crashed_ || hasBegun;
    markDirty(cell, *job);
    const bool givenUp = isRiskedTooOften(*task);
    logSuspect(id, *task, run.value_, givenUp, actions);
    if (givenUp) {
        finishJob(cell, *job, StagedState::Failed, now, actions);
    }
}

// Number of runners in a rack, without counting several incarnations of one.
static std::size_t rackSize(const Cell &cell, const std::string &rack)
{
    std::set<std::string_view> addresses;
    for (const auto &[id, runner] : cell.runners_) {
        if (runner->record_.rack_ == rack) {
            addresses.insert(runner->record_.address_);
        }
    }
    return addresses.size();
}

// True when the crashes, all in one rack, are those of the rack: most of its runners, and no job that all of them had.
static bool isRackLoss(const Cell &cell, const std::string &rack, const std::vector<const RunnerCrash *> &crashes)
{
    std::set<std::string_view> addresses;
    for (const RunnerCrash *crash : crashes) {
        addresses.insert(crash->address_);
    }
    if (addresses.size() < MinRackLossRunners
        || static_cast<double>(addresses.size()) < RackLossShare * static_cast<double>(rackSize(cell, rack))) {
        return false;
    }
    std::set<StagedJobId> common;
    for (const StoredRun &run : crashes.front()->runs_) {
        common.insert(run.task_.job_);
    }
    for (const RunnerCrash *crash : crashes) {
        std::set<StagedJobId> jobs;
        for (const StoredRun &run : crash->runs_) {
            if (common.contains(run.task_.job_)) {
                jobs.insert(run.task_.job_);
            }
        }
        common = std::move(jobs);
    }
    return common.empty();
}

// Takes back what the crash of a runner has counted for its tasks.
static void uncountCrash(Cell &cell, const RunnerCrash &crash)
{
    for (const StoredRun &run : crash.runs_) {
        if (Job *job = findJob(cell, run.task_.job_); job != nullptr && !isFinal(*job)) {
            noteRunSurvived(cell, *job, run.task_, run.run_);
        }
    }
}

void noteRunnerLeft(Cell &cell, const Runner &runner)
{
    for (const auto &[task, placement] : runner.tasks_) {
        if (Job *job = findJob(cell, task.job_); job != nullptr && !isFinal(*job)) {
            noteRunSurvived(cell, *job, task, placement.run_);
        }
    }
}

void noteRunnerCrash(Cell &cell, const Runner &runner, CellTime now, CellActions &actions)
{
    if (runner.record_.draining_) {
        noteRunnerLeft(cell, runner);
        return;
    }
    count(actions, CellCounter::RunnerCrash);
    noteTrouble(runner, RunnerTrouble::Crash, now.steady_, actions);
    std::erase_if(cell.recentCrashes_,
                  [&now](const RunnerCrash &crash) { return now.steady_ > crash.at_ + RackLossWindow; });
    RunnerCrash &crash
        = cell.recentCrashes_.emplace_back(RunnerCrash{now.steady_, runner.record_.rack_, runner.record_.address_, {}});
    for (const auto &[task, placement] : runner.tasks_) {
        Job *job = findJob(cell, task.job_);
        if (job == nullptr || isFinal(*job) || placement.orphan_ || placement.spansRestart_
            || isPresumedEnded(placement)) {
            continue;
        }
        if (stepSpec(*job, task.step_).longRunning_ && now.steady_ > placement.startedAt_ + SafeRunAge) {
            noteRunSurvived(cell, *job, task, placement.run_);
        } else {
            crash.runs_.push_back({task, placement.run_});
        }
    }
    std::vector<const RunnerCrash *> ofRack;
    for (const RunnerCrash &recent : cell.recentCrashes_) {
        if (!recent.rack_.empty() && recent.rack_ == runner.record_.rack_) {
            ofRack.push_back(&recent);
        }
    }
    if (isRackLoss(cell, runner.record_.rack_, ofRack)) {
        JsonObject line = logEvent("rack-lost");
        line.text("rack", runner.record_.rack_).number("runners", static_cast<std::int64_t>(ofRack.size()));
        addLogLine(actions, line, LogLevel::Warning);
        for (const RunnerCrash *recent : ofRack) {
            uncountCrash(cell, *recent);
        }
        return;
    }
    const std::vector<StoredRun> runs = crash.runs_;
    for (const StoredRun &run : runs) {
        noteRunCrash(cell, run.task_, run.run_, runner.tasks_.at(run.task_).begun_, now, actions);
    }
}

} // namespace mimosapier::detail
