// Records of jobs, their progress and the runners in the store: msgpack arrays. A new field is appended to its array;
// decoders accept arrays that are longer than they expect.
#include "core/cell/cell_internal.h"
#include "core/message/enum_func.h"
#include "core/message/fields.h"

namespace mimosapier
{

struct JobDocument
{
    StagedJobId id_;
    std::string account_;
    QueuePolicy policy_;
    SubmittedJob submitted_;
    std::int64_t acceptedUnixMs_ = 0;
};

// Progress of the tasks of one step. A vector is empty if all its entries would be 0.
struct StepDocument
{
    std::uint32_t occurrence_ = 0;
    std::uint32_t step_ = 0;
    std::string done_; // one character per task, '1' if done; empty if no task is done
    std::vector<std::vector<std::uint64_t>> failedRuns_;
    std::vector<std::uint64_t> endedRuns_;
    std::vector<std::uint64_t> gangFailedRuns_;
};

struct ProgressDocument
{
    StagedState state_ = StagedState::Queued;
    std::uint32_t occurrencesDone_ = 0; // number of done occurrences
    std::vector<StepDocument> steps_; // steps of the occurrences that are not done
    std::vector<std::uint32_t> doneOccurrences_; // numbers of the done occurrences
    std::int64_t endedUnixMs_ = 0; // not used: always stored as 0
};

// Risky runs of one task, see crashes.cpp.
struct RiskDocument
{
    std::uint32_t occurrence_ = 0;
    std::uint32_t step_ = 0;
    std::uint32_t index_ = 0;
    std::vector<std::uint64_t> crashedRuns_;
    std::vector<std::uint64_t> unknownRuns_; // the crash, if there was one, was not seen
};

// ProgressDocument with the risky runs. Records of earlier versions are without them.
struct RiskyProgressDocument : ProgressDocument
{
    std::vector<RiskDocument> risks_;
};

// The runner of a risky run of which the crash was not seen.
struct RiskPlaceDocument
{
    std::uint32_t occurrence_ = 0;
    std::uint32_t step_ = 0;
    std::uint32_t index_ = 0;
    std::uint64_t run_ = 0;
    RunnerId runner_;
    std::int64_t startedUnixMs_ = 0; // of the runner's incarnation
};

// RiskyProgressDocument with the runners of the risky runs. Records of earlier versions are without them.
struct PlacedProgressDocument : RiskyProgressDocument
{
    std::vector<RiskPlaceDocument> riskPlaces_;
};

struct RunnerDocument
{
    RunnerId id_;
    std::string service_;
    std::string address_;
    Resources capacity_;
    bool quiescent_ = false; // see isQuiescent()
    std::vector<StagedTask> tasks_; // expectedRuns() of a quiescent runner; empty for other runners
    std::vector<std::uint64_t> runs_; // run numbers, in the order of tasks_
};

struct RunnersDocument
{
    std::vector<RunnerDocument> runners_;
};

// RunnersDocument with the time of the latest late call. Records of earlier versions are without it.
struct LateCallsRunnersDocument : RunnersDocument
{
    std::int64_t lateCallUnixMs_ = 0; // see Cell::lateCallUnixMs_
};

MIMOSAPIER_FIELDS(JobDocument, s.id_, s.account_, s.policy_, s.submitted_, s.acceptedUnixMs_)
MIMOSAPIER_FIELDS(StepDocument, s.occurrence_, s.step_, s.done_, s.failedRuns_, s.endedRuns_, s.gangFailedRuns_)
MIMOSAPIER_FIELDS(ProgressDocument, s.state_, s.occurrencesDone_, s.steps_, s.doneOccurrences_, s.endedUnixMs_)
MIMOSAPIER_FIELDS(RiskDocument, s.occurrence_, s.step_, s.index_, s.crashedRuns_, s.unknownRuns_)
MIMOSAPIER_FIELDS(RiskyProgressDocument, s.state_, s.occurrencesDone_, s.steps_, s.doneOccurrences_, s.endedUnixMs_,
                  s.risks_)
MIMOSAPIER_FIELDS(RiskPlaceDocument, s.occurrence_, s.step_, s.index_, s.run_, s.runner_, s.startedUnixMs_)
MIMOSAPIER_FIELDS(PlacedProgressDocument, s.state_, s.occurrencesDone_, s.steps_, s.doneOccurrences_, s.endedUnixMs_,
                  s.risks_, s.riskPlaces_)
MIMOSAPIER_FIELDS(RunnerDocument, s.id_, s.service_, s.address_, s.capacity_, s.quiescent_, s.tasks_, s.runs_)
MIMOSAPIER_FIELDS(RunnersDocument, s.runners_)
MIMOSAPIER_FIELDS(LateCallsRunnersDocument, s.runners_, s.lateCallUnixMs_)

} // namespace mimosapier

#include "core/message/pack_func.h"

namespace mimosapier::detail
{

std::string encodeJob(const Job &job)
{
    return packToString(JobDocument{job.id_, job.account_, job.policy_, job.submitted_, job.acceptedUnixMs_});
}

bool decodeJob(std::string_view bytes, Job &job)
{
    JobDocument document;
    if (!unpackFromString(bytes, document)) {
        return false;
    }
    job.id_ = document.id_;
    job.account_ = std::move(document.account_);
    job.policy_ = std::move(document.policy_);
    job.submitted_ = std::move(document.submitted_);
    job.acceptedUnixMs_ = document.acceptedUnixMs_;
    return true;
}

static StepDocument stepDocument(std::uint32_t occurrence, std::uint32_t index, const StepState &step)
{
    StepDocument document;
    document.occurrence_ = occurrence;
    document.step_ = index;
    document.gangFailedRuns_ = step.gangFailedRuns_;
    bool failed = false;
    bool ended = false;
    for (const TaskRecord &task : step.tasks_) {
        failed = failed || !task.failedRuns_.empty();
        ended = ended || task.endedRun_ > 0;
    }
    for (const TaskRecord &task : step.tasks_) {
        if (step.done_ > 0) {
            document.done_.push_back(task.state_ == TaskState::Done ? '1' : '0');
        }
        if (failed) {
            document.failedRuns_.push_back(task.failedRuns_);
        }
        if (ended) {
            document.endedRuns_.push_back(task.endedRun_);
        }
    }
    return document;
}

static void addRisks(std::uint32_t occurrence, std::uint32_t step, const StepState &state,
                     PlacedProgressDocument &progress)
{
    for (std::uint32_t i = 0; i < state.tasks_.size(); ++i) {
        const TaskRecord &task = state.tasks_[i];
        if (task.riskyRuns_.empty() || task.state_ == TaskState::Done) {
            continue;
        }
        RiskDocument &document = progress.risks_.emplace_back();
        document.occurrence_ = occurrence;
        document.step_ = step;
        document.index_ = i;
        for (const RiskyRun &risky : task.riskyRuns_) {
            (risky.crashed_ ? document.crashedRuns_ : document.unknownRuns_).push_back(risky.run_);
            if (!risky.crashed_ && !risky.runner_.empty()) {
                progress.riskPlaces_.push_back({occurrence, step, i, risky.run_, risky.runner_, risky.startedUnixMs_});
            }
        }
    }
}

std::string encodeProgress(const Job &job)
{
    PlacedProgressDocument document;
    document.state_ = job.state_;
    document.occurrencesDone_ = job.occurrencesDone_;
    if (!isFinal(job)) {
        for (const auto &[number, occurrence] : job.occurrences_) {
            if (occurrence.stepsDone_ == occurrence.steps_.size()) {
                document.doneOccurrences_.push_back(number);
                continue;
            }
            for (std::uint32_t i = 0; i < occurrence.steps_.size(); ++i) {
                document.steps_.push_back(stepDocument(number, i, occurrence.steps_[i]));
                addRisks(number, i, occurrence.steps_[i], document);
            }
        }
    }
    return packToString(document);
}

// Applies the stored progress to `step`, which has been created with all its tasks waiting.
static void applyStep(const StepDocument &document, StepState &step)
{
    for (std::size_t i = 0; i < step.tasks_.size(); ++i) {
        TaskRecord &task = step.tasks_[i];
        if (i < document.done_.size() && document.done_[i] == '1') {
            task.state_ = TaskState::Done;
            ++step.done_;
            --step.waiting_;
        }
        if (i < document.failedRuns_.size()) {
            task.failedRuns_ = document.failedRuns_[i];
        }
        if (i < document.endedRuns_.size()) {
            task.endedRun_ = document.endedRuns_[i];
            task.run_ = task.endedRun_;
        }
    }
    step.gangFailedRuns_ = document.gangFailedRuns_;
}

static void applyRisk(const RiskDocument &document, Job &job)
{
    TaskRecord *task = findTask(job, {job.id_, document.occurrence_, document.step_, document.index_}, nullptr);
    if (task == nullptr) {
        return;
    }
    for (const std::uint64_t run : document.crashedRuns_) {
        task->riskyRuns_.push_back(RiskyRun{run, true});
    }
    for (const std::uint64_t run : document.unknownRuns_) {
        task->riskyRuns_.push_back(RiskyRun{run, false});
    }
}

static void applyRiskPlace(const RiskPlaceDocument &document, Job &job)
{
    TaskRecord *task = findTask(job, {job.id_, document.occurrence_, document.step_, document.index_}, nullptr);
    for (std::size_t i = 0; task != nullptr && i < task->riskyRuns_.size(); ++i) {
        RiskyRun &risky = task->riskyRuns_[i];
        if (risky.run_ == document.run_) {
            risky.runner_ = document.runner_;
            risky.startedUnixMs_ = document.startedUnixMs_;
        }
    }
}

bool decodeProgress(std::string_view bytes, Job &job)
{
    PlacedProgressDocument document;
    if (!unpackFromString(bytes, document) && !unpackFromString(bytes, static_cast<RiskyProgressDocument &>(document))
        && !unpackFromString(bytes, static_cast<ProgressDocument &>(document))) {
        return false;
    }
    job.state_ = document.state_;
    job.reportedState_ = document.state_;
    if (isFinal(job)) {
        return true;
    }
    job.occurrencesDone_ = document.occurrencesDone_;
    for (const std::uint32_t number : document.doneOccurrences_) {
        Occurrence &occurrence = createOccurrence(job, number, dueOf(job, number));
        occurrence.stepsDone_ = static_cast<std::uint32_t>(occurrence.steps_.size());
        for (StepState &step : occurrence.steps_) {
            step.done_ = static_cast<std::uint32_t>(step.tasks_.size());
            step.waiting_ = 0;
            for (TaskRecord &task : step.tasks_) {
                task.state_ = TaskState::Done;
            }
        }
    }
    for (const StepDocument &step : document.steps_) {
        if (step.step_ >= job.submitted_.steps_.size()) {
            return false;
        }
        Occurrence &occurrence = createOccurrence(job, step.occurrence_, dueOf(job, step.occurrence_));
        StepState &state = occurrence.steps_[step.step_];
        applyStep(step, state);
        if (state.done_ == state.tasks_.size()) {
            ++occurrence.stepsDone_;
        }
    }
    for (const RiskDocument &risk : document.risks_) {
        applyRisk(risk, job);
    }
    for (const RiskPlaceDocument &place : document.riskPlaces_) {
        applyRiskPlace(place, job);
    }
    return true;
}

// The runs of a quiescent runner that a new leader has to expect: those placed there, and those of which the end is not
// stored yet. Of each task the latest.
static std::map<StagedTask, RunNumber> expectedRuns(const Cell &cell, const Runner &runner)
{
    std::map<StagedTask, RunNumber> runs;
    for (const auto &[task, placement] : runner.tasks_) {
        if (placement.phase_ != PlacementPhase::Planned) {
            runs[task] = placement.run_;
        }
    }
    for (const UnstoredEnd &end : runner.unstoredEnds_) {
        if (!isStored(cell, end)) {
            RunNumber &run = runs[end.task_];
            run = std::max(run, end.run_);
        }
    }
    return runs;
}

std::string encodeRunners(const Cell &cell)
{
    LateCallsRunnersDocument document;
    document.lateCallUnixMs_ = cell.lateCallUnixMs_;
    for (const auto &[id, runner] : cell.runners_) {
        if (!runner->stateKnown_ && !runner->mayHavePredecessorTasks_ && runner->tasks_.empty()
            && runner->unstoredEnds_.empty() && !runner->inDiscovery_) {
            continue;
        }
        RunnerDocument entry{id, runner->record_.service_, runner->record_.address_, runner->record_.capacity_, {}, {},
                             {}};
        entry.quiescent_ = isQuiescent(*runner);
        if (entry.quiescent_) {
            for (const auto &[task, run] : expectedRuns(cell, *runner)) {
                entry.tasks_.push_back(task);
                entry.runs_.push_back(run.value_);
            }
        }
        document.runners_.push_back(std::move(entry));
    }
    return packToString(document);
}

bool decodeRunners(std::string_view bytes, std::vector<StoredRunner> &runners, std::int64_t &lateCallUnixMs)
{
    LateCallsRunnersDocument document;
    if (!unpackFromString(bytes, document) && !unpackFromString(bytes, static_cast<RunnersDocument &>(document))) {
        return false;
    }
    lateCallUnixMs = document.lateCallUnixMs_;
    for (RunnerDocument &entry : document.runners_) {
        StoredRunner &stored = runners.emplace_back();
        stored.record_.id_ = std::move(entry.id_);
        stored.record_.service_ = std::move(entry.service_);
        stored.record_.address_ = std::move(entry.address_);
        stored.record_.capacity_ = entry.capacity_;
        stored.quiescent_ = entry.quiescent_ && entry.tasks_.size() == entry.runs_.size();
        for (std::size_t i = 0; stored.quiescent_ && i < entry.tasks_.size(); ++i) {
            stored.tasks_.push_back({entry.tasks_[i], RunNumber{entry.runs_[i]}});
        }
    }
    return true;
}

} // namespace mimosapier::detail
