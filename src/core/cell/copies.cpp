// Second runs ("copies") of stragglers, in steps that allow several runs of a task at a time.
//
// Designed for wide steps of which 3% of the tasks run seven times as long as the others: half of the steps with 25
// tasks have such a task, and it takes longer than the objective of the whole job. The copy runs on another runner
// under the next run number. The first end as done counts and the other run is stopped. When one of the two runs ends
// otherwise, the task goes on with the other one, and no attempt is counted.
//
// TaskRecord::runner_ is that of the first run. If that run ends, the copy takes its place. A new leader that finds
// both runs keeps the one that is listed first, and stops the other.
#include "core/cell/cell_internal.h"

#include <algorithm>
#include <cmath>

namespace mimosapier::detail
{

// A task is a straggler when it has run this many times as long as its step's other tasks. Ordinary tasks of a step
// differ by less, and a straggler takes seven times as long.
static constexpr double StragglerFactor = 2.5;
static constexpr std::size_t MinSamples = 3; // ended tasks of the step that are enough for a comparison

bool mayHaveCopies(const Cell &cell, const StepSpec &spec)
{
    return cell.settings_.copyShare_ > 0 && cell.settings_.learnedRunTimes_ && spec.speculative_ && !spec.gang_
        && !spec.longRunning_ && !spec.fill_;
}

void stopOtherRun(Cell &cell, const Runner &runner, TaskRecord &task, const StagedTask &id, CellTime now,
                  CellActions &actions)
{
    if (task.copyRun_ == 0) {
        return;
    }
    const RunnerId other = task.copyRunner_ == runner.record_.id_ ? task.runner_ : task.copyRunner_;
    task.copyRun_ = 0;
    task.copyRunner_ = {};
    if (Runner *otherRunner = findRunner(cell, other)) {
        stopPlacement(cell, *otherRunner, id, now, actions);
    }
}

bool continuesElsewhere(Cell &cell, const Runner &runner, TaskRecord &task, const StagedTask &id)
{
    if (task.copyRun_ == 0) {
        return false;
    }
    const bool isCopy = task.copyRunner_ == runner.record_.id_;
    const RunnerId copyRunner = task.copyRunner_;
    task.copyRun_ = 0;
    task.copyRunner_ = {};
    if (isCopy) {
        return true;
    }
    Runner *other = findRunner(cell, copyRunner);
    if (other == nullptr) {
        return false;
    }
    const auto placed = other->tasks_.find(id);
    if (placed == other->tasks_.end()) {
        return false;
    }
    placed->second.copy_ = false;
    task.runner_ = copyRunner;
    return true;
}

namespace
{

// A task that runs much longer than the others of its step.
struct Straggler
{
    StagedTask task_;
    Job *job_ = nullptr;
    StepState *step_ = nullptr;
    Runner *runner_ = nullptr;
    std::int64_t ageMs_ = 0;
};

} // namespace

// True when the placement is a straggler's only run and a copy is worth its cost.
static bool needsCopy(const Cell &cell, const Placement &placement, const StepSpec &spec, const StepState &step,
                      const TaskRecord &task, const Job &job, TimePoint now)
{
    if (placement.phase_ != PlacementPhase::Running || !placement.begun_ || isPresumedEnded(placement)
        || task.state_ != TaskState::Placed || task.copyRun_ != 0 || task.run_ != placement.run_.value_
        || isSuspect(task) || step.waiting_ > 0 || step.runTimes_.samples_.size() < MinSamples
        || step.done_ * 2 < step.tasks_.size() || now > job.valueEndsAt_) {
        return false;
    }
    const Duration expected = expectedEnd(cell, placement, spec, job) - placement.startedAt_;
    return std::chrono::duration<double>(now - placement.startedAt_)
        > std::chrono::duration<double>(expected) * StragglerFactor;
}

static bool isWithinAccountLimit(const Cell &cell, const Job &job, const Resources &charge)
{
    const auto account = cell.accounts_.find(job.account_);
    if (account == cell.accounts_.end()) {
        return true;
    }
    const Resources &cap = account->second.config_.cap_;
    const Resources &used = account->second.used_;
    const auto fits = [](std::int64_t limit, std::int64_t sum) { return limit <= 0 || sum <= limit; };
    return fits(cap.milliCpus_, used.milliCpus_ + charge.milliCpus_)
        && fits(cap.memoryMb_, used.memoryMb_ + charge.memoryMb_)
        && fits(cap.accelerators_, used.accelerators_ + charge.accelerators_);
}

static bool hasRoom(const Runner &runner, const Resources &size)
{
    const Resources free = runner.record_.capacity_ - runner.used_;
    return size.milliCpus_ <= free.milliCpus_ && size.memoryMb_ <= free.memoryMb_
        && size.accelerators_ <= free.accelerators_;
}

// The fastest runner without risk that has room for a copy; nullptr: none. Sets `ticketMissing` if one has no ticket.
static Runner *chooseRunner(const Cell &cell, const Straggler &straggler, const StepSpec &spec, TimePoint now,
                            bool &ticketMissing)
{
    Runner *best = nullptr;
    for (const auto &[id, runner] : cell.runners_) {
        const auto there = straggler.step_->perRunner_.find(id);
        const std::uint32_t tasksThere = there == straggler.step_->perRunner_.end() ? 0 : there->second;
        if (runner->record_.service_ != straggler.job_->policy_.service_
            || runner->record_.address_ == straggler.runner_->record_.address_ || !isUsable(cell, *runner, now)
            || runner->tasks_.contains(straggler.task_) || !hasRequiredLabel(spec, *runner)
            || (!spec.affinityRack_.empty() && runner->record_.rack_ != spec.affinityRack_)
            || (spec.antiAffinity_ > 0 && tasksThere >= spec.antiAffinity_) || !hasRoom(*runner, reservedSize(spec))
            || riskOf(*runner, now) != RunnerRisk::Low) {
            continue;
        }
        if (straggler.job_->policy_.policyQueries_ && !hasTicket(*straggler.step_, *runner, now)) {
            const auto verdict = straggler.step_->verdicts_.find(id);
            ticketMissing = ticketMissing || verdict == straggler.step_->verdicts_.end() || verdict->second.allowed_;
            continue;
        }
        if (best == nullptr || speedClass(*runner) > speedClass(*best)) {
            best = runner.get();
        }
    }
    return best;
}

static void startCopy(Cell &cell, const Straggler &straggler, const StepSpec &spec, Runner &runner, CellTime now,
                      CellActions &actions)
{
    TaskRecord &task = straggler.step_->tasks_[straggler.task_.index_];
    Placement placement;
    placement.run_ = RunNumber{std::max(task.run_, straggler.job_->runFloor_) + 1};
    placement.size_ = reservedSize(spec);
    placement.accountCharge_ = spec.size_;
    placement.account_ = straggler.job_->account_;
    placement.checkpoint_ = task.checkpoint_;
    placement.previousRun_ = task.run_;
    placement.previousRunner_ = task.runner_;
    placement.copy_ = true;
    setTicket(*straggler.step_, runner, placement);
    runner.used_ += placement.size_;
    cell.accounts_[straggler.job_->account_].used_ += placement.accountCharge_;
    ++straggler.step_->perRunner_[runner.record_.id_];
    task.run_ = placement.run_.value_;
    task.copyRun_ = placement.run_.value_;
    task.copyRunner_ = runner.record_.id_;
    noteRunPlaced(runner, straggler.task_, spec, *straggler.step_, placement);
    JsonObject line = logEvent("copy-started");
    line.text("task", taskText(straggler.task_)).number("run", static_cast<std::int64_t>(task.copyRun_));
    line.text("runner", runner.record_.id_.value_).text("straggler_on", straggler.runner_->record_.id_.value_);
    line.number("age_ms", straggler.ageMs_);
    addLogLine(actions, line);
    count(actions, CellCounter::CopyStarted);
    Placement &added = runner.tasks_.insert_or_assign(straggler.task_, std::move(placement)).first->second;
    sendStart(cell, runner, straggler.task_, added, now, actions);
}

void startCopies(Cell &cell, CellTime now, CellActions &actions)
{
    if (cell.settings_.copyShare_ <= 0 || !cell.settings_.learnedRunTimes_ || cell.superseded_
        || !cell.allTasksKnown_) {
        return;
    }
    std::map<std::string, double> room; // milli-CPUs that copies may still use, by service
    std::vector<Straggler> stragglers;
    for (const auto &[id, runner] : cell.runners_) {
        double &left = room[runner->record_.service_];
        if (runner->inDiscovery_ && !runner->record_.draining_) {
            left += cell.settings_.copyShare_ * static_cast<double>(runner->record_.capacity_.milliCpus_);
        }
        for (const auto &[task, placement] : runner->tasks_) {
            left -= placement.copy_ ? static_cast<double>(placement.size_.milliCpus_) : 0;
            Job *job = placement.orphan_ || placement.copy_ ? nullptr : findJob(cell, task.job_);
            StepState *step = nullptr;
            const TaskRecord *record = job != nullptr && !isFinal(*job) ? findTask(*job, task, &step) : nullptr;
            if (record == nullptr || !mayHaveCopies(cell, stepSpec(*job, task.step_))) {
                continue;
            }
            step->copiesWanted_ = 0;
            if (needsCopy(cell, placement, stepSpec(*job, task.step_), *step, *record, *job, now.steady_)) {
                const auto age = std::chrono::duration_cast<Milliseconds>(now.steady_ - placement.startedAt_);
                stragglers.push_back({task, job, step, runner.get(), age.count()});
            }
        }
    }
    // The longest first: the others may still end by themselves.
    std::sort(stragglers.begin(), stragglers.end(), [](const Straggler &a, const Straggler &b) {
        return a.ageMs_ != b.ageMs_ ? a.ageMs_ > b.ageMs_ : a.task_ < b.task_;
    });
    for (const Straggler &straggler : stragglers) {
        const StepSpec &spec = stepSpec(*straggler.job_, straggler.task_.step_);
        double &left = room[straggler.job_->policy_.service_];
        const auto cost = static_cast<double>(spec.size_.milliCpus_);
        if (cost > left || !isWithinAccountLimit(cell, *straggler.job_, spec.size_)) {
            continue;
        }
        bool ticketMissing = false;
        Runner *runner = chooseRunner(cell, straggler, spec, now.steady_, ticketMissing);
        if (runner != nullptr) {
            startCopy(cell, straggler, spec, *runner, now, actions);
            left -= cost;
        } else if (ticketMissing) {
            ++straggler.step_->copiesWanted_;
            queuePolicyQuery(cell, *straggler.job_, straggler.task_.occurrence_, straggler.task_.step_, now.steady_);
        }
    }
}

} // namespace mimosapier::detail
