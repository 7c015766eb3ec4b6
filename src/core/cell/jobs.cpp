// Lifecycle of a staged job: steps that become ready, completed tasks, final states, and the removal of ended jobs.
#include "core/cell/cell_internal.h"

#include <algorithm>
#include <charconv>
#include <functional>

namespace mimosapier
{

std::string jobText(StagedJobId id)
{
    std::string text(16, '0');
    std::array<char, 16> digits{};
    const auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), id.value_, 16);
    const auto length = static_cast<std::size_t>(end - digits.data());
    std::copy_n(digits.data(), length, text.begin() + static_cast<std::ptrdiff_t>(text.size() - length));
    return text;
}

std::string taskText(const StagedTask &task)
{
    std::string text = jobText(task.job_);
    for (const std::uint32_t part : {task.occurrence_, task.step_, task.index_}) {
        text += '.';
        text += std::to_string(part);
    }
    return text;
}

} // namespace mimosapier

namespace mimosapier::detail
{

Job *findJob(Cell &cell, StagedJobId id)
{
    const auto found = cell.jobs_.find(id);
    return found == cell.jobs_.end() ? nullptr : found->second.get();
}

const StepSpec &stepSpec(const Job &job, std::uint32_t step)
{
    return job.submitted_.steps_[step];
}

bool isFinal(const Job &job)
{
    return mimosapier::isFinal(job.state_);
}

TaskRecord *findTask(Job &job, const StagedTask &task, StepState **step)
{
    const auto occurrence = job.occurrences_.find(task.occurrence_);
    if (occurrence == job.occurrences_.end() || task.step_ >= occurrence->second.steps_.size()) {
        return nullptr;
    }
    StepState &state = occurrence->second.steps_[task.step_];
    if (task.index_ >= state.tasks_.size()) {
        return nullptr;
    }
    if (step != nullptr) {
        *step = &state;
    }
    return &state.tasks_[task.index_];
}

JsonObject logEvent(std::string_view event)
{
    JsonObject object;
    object.text("event", event);
    return object;
}

void addLogLine(CellActions &actions, JsonObject &object, LogLevel level)
{
    actions.log_.push_back({level, object.finish()});
}

// The queue's target completion time plus its slack factor times the estimated run time of the longest chain of steps.
Milliseconds objectiveOf(const Job &job)
{
    std::vector<Milliseconds> chain(job.submitted_.steps_.size());
    Milliseconds longest{0};
    for (std::size_t i = 0; i < chain.size(); ++i) {
        for (const std::uint32_t before : stepSpec(job, static_cast<std::uint32_t>(i)).after_) {
            chain[i] = std::max(chain[i], chain[before]);
        }
        chain[i] += job.submitted_.steps_[i].estimate_;
        longest = std::max(longest, chain[i]);
    }
    const double work = static_cast<double>(longest.count()) * job.policy_.slackFactor_;
    return job.policy_.targetCompletion_ + Milliseconds(static_cast<std::int64_t>(work));
}

void setObjectives(Job &job)
{
    constexpr int LateFactor = 3; // published rule: a late job has a part of its value up to three times the objective
    const Milliseconds objective = objectiveOf(job);
    job.objectiveAt_ = job.submittedAt_ + objective;
    job.valueEndsAt_ = job.submittedAt_ + objective * LateFactor;
    const auto &steps = job.submitted_.steps_;
    job.criticalPaths_.assign(steps.size(), Milliseconds(0));
    for (std::size_t i = steps.size(); i-- > 0;) {
        job.criticalPaths_[i] += steps[i].estimate_;
        for (const std::uint32_t before : steps[i].after_) {
            job.criticalPaths_[before] = std::max(job.criticalPaths_[before], job.criticalPaths_[i]);
        }
    }
}

std::int64_t dueOf(const Job &job, std::uint32_t number)
{
    return job.submitted_.firstRunUnixMs_ + number * job.submitted_.intervalMs_;
}

Occurrence &createOccurrence(Job &job, std::uint32_t number, std::int64_t due)
{
    const auto [entry, inserted] = job.occurrences_.try_emplace(number);
    Occurrence &occurrence = entry->second;
    if (inserted) {
        occurrence.dueUnixMs_ = due;
        for (const StepSpec &spec : job.submitted_.steps_) {
            StepState &step = occurrence.steps_.emplace_back();
            step.tasks_.resize(spec.count_);
            step.waiting_ = spec.count_;
        }
    }
    return occurrence;
}

// Lets the steps of an occurrence become ready; creates the occurrence if it does not exist.
static void makeDue(Cell &cell, Job &job, std::uint32_t number, std::int64_t due)
{
    Occurrence &occurrence = createOccurrence(job, number, due);
    if (!occurrence.due_) {
        occurrence.due_ = true;
        updateReadySteps(cell, job, number);
    }
}

void createDueOccurrences(Cell &cell, Job &job, CellTime now)
{
    if (isFinal(job) || !job.stored_) {
        return;
    }
    if (job.submitted_.repeatCount_ == 0) {
        makeDue(cell, job, 0, now.unixMs_);
        return;
    }
    for (std::uint32_t number = 0; number < job.submitted_.repeatCount_; ++number) {
        const std::int64_t due = dueOf(job, number);
        const bool exists = job.occurrences_.contains(number);
        const bool full = job.occurrences_.size() - job.occurrencesDone_ >= MaxUnfinishedOccurrences;
        if (due > now.unixMs_ || (full && !exists)) {
            break;
        }
        makeDue(cell, job, number, due);
    }
}

TaskRecord *findTaskOfRun(Job &job, const StagedTask &task, StepState **step)
{
    if (!isFinal(job) && task.occurrence_ < std::max(job.submitted_.repeatCount_, 1U)) {
        createOccurrence(job, task.occurrence_, dueOf(job, task.occurrence_));
    }
    return findTask(job, task, step);
}

void queueStep(Cell &cell, Job &job, std::uint32_t occurrence, std::uint32_t step)
{
    StepState &state = job.occurrences_.at(occurrence).steps_[step];
    if (state.ready_ && !state.inReadySteps_ && state.waiting_ > 0 && !isFinal(job)) {
        state.inReadySteps_ = true;
        cell.readySteps_.push_back({job.id_, occurrence, step});
        cell.placementDue_ = true;
        noteWaitingAccount(cell, job.account_);
    }
}

void updateReadySteps(Cell &cell, Job &job, std::uint32_t number)
{
    Occurrence &occurrence = job.occurrences_.at(number);
    for (std::uint32_t i = 0; occurrence.due_ && i < occurrence.steps_.size(); ++i) {
        StepState &step = occurrence.steps_[i];
        const auto &after = stepSpec(job, i).after_;
        step.ready_ = std::all_of(after.begin(), after.end(), [&occurrence](std::uint32_t before) {
            const StepState &earlier = occurrence.steps_[before];
            return earlier.done_ == earlier.tasks_.size();
        });
        queueStep(cell, job, number, i);
    }
}

void markDirty(Cell &cell, Job &job)
{
    ++job.version_;
    if (!job.inDirtyJobs_) {
        job.inDirtyJobs_ = true;
        cell.dirtyJobs_.push_back(job.id_);
    }
}

void storeNext(Cell &cell, Job &job)
{
    if (job.inDirtyJobs_ && !job.storedNext_) {
        job.storedNext_ = true;
        cell.dirtyJobs_.push_front(job.id_);
    }
}

void finishJob(Cell &cell, Job &job, StagedState state, CellTime now, CellActions &actions)
{
    if (isFinal(job)) {
        return;
    }
    job.state_ = state;
    job.endedAt_ = now.steady_;
    markDirty(cell, job);
    cell.endedJobs_.push_back(job.id_);
    JsonObject line = logEvent("job-ended");
    line.text("job", jobText(job.id_)).text("state", stagedStateName(state));
    line.number("age_ms", std::chrono::duration_cast<Milliseconds>(now.steady_ - job.submittedAt_).count());
    line.boolean("in_objective", now.steady_ <= job.objectiveAt_);
    addLogLine(actions, line);
    if (state != StagedState::Completed) {
        stopJobTasks(cell, job, now, actions);
    }
    job.occurrences_.clear();
    job.submitted_.spec_.clear();
    job.submitted_.spec_.shrink_to_fit();
    cell.placementDue_ = true;
}

void markStarted(Cell &cell, Job &job, TimePoint now)
{
    if (!job.started_) {
        job.started_ = true;
        countFirstStart(cell, job.policy_.queue_, now);
    }
}

static void completeStep(Cell &cell, Job &job, std::uint32_t number, CellTime now, CellActions &actions)
{
    Occurrence &occurrence = job.occurrences_.at(number);
    ++occurrence.stepsDone_;
    if (occurrence.stepsDone_ < occurrence.steps_.size()) {
        updateReadySteps(cell, job, number);
        return;
    }
    ++job.occurrencesDone_;
    if (job.occurrencesDone_ >= std::max(job.submitted_.repeatCount_, 1U)) {
        finishJob(cell, job, StagedState::Completed, now, actions);
    }
}

static void markDone(StepState &step, TaskRecord &task)
{
    if (task.state_ == TaskState::Done) {
        return;
    }
    if (task.state_ == TaskState::Waiting) {
        --step.waiting_;
    }
    task.state_ = TaskState::Done;
    ++step.done_;
}

void completeTask(Cell &cell, Job &job, const StagedTask &id, CellTime now, CellActions &actions)
{
    StepState *step = nullptr;
    TaskRecord *task = findTask(job, id, &step);
    if (task == nullptr || isFinal(job) || step->done_ == step->tasks_.size()) {
        return;
    }
    if (stepSpec(job, id.step_).gang_) {
        for (TaskRecord &member : step->tasks_) {
            markDone(*step, member);
        }
    } else {
        markDone(*step, *task);
    }
    markDirty(cell, job);
    if (step->done_ == step->tasks_.size()) {
        completeStep(cell, job, id.occurrence_, now, actions);
    }
}

void advanceRecurringJobs(Cell &cell, CellTime now)
{
    for (auto &[id, job] : cell.jobs_) {
        if (job->submitted_.repeatCount_ > 0) {
            createDueOccurrences(cell, *job, now);
        }
    }
}

void removeEndedJobs(Cell &cell, CellTime now)
{
    const Milliseconds kept = cell.settings_.statusRetention_ + StatusMargin;
    while (!cell.endedJobs_.empty()) {
        Job *job = findJob(cell, cell.endedJobs_.front());
        if (job != nullptr && (now.steady_ - job->endedAt_ < kept || job->storedVersion_ < job->version_)) {
            return;
        }
        if (job != nullptr) {
            cell.keysToRemove_.push_back(progressKey(job->id_));
            cell.jobs_.erase(job->id_);
        }
        cell.endedJobs_.pop_front();
    }
}

} // namespace mimosapier::detail
