// Handles the answers of groups: final results are journaled, refused and lost tasks are assigned again.
// Acknowledgements and answers to requesters follow once the results are durable.
#include "core/home/home_internal.h"

#include <algorithm>

namespace mimosapier
{

constexpr std::uint32_t MaxLosses = 10; // a task that was lost this often ends as failed
constexpr std::uint32_t MaxServiceFailures = 10; // a service ends as failed when a failed run brings lossCount_ to this
constexpr Milliseconds FirstRefusalBackoff{50};
constexpr Milliseconds MaxRefusalBackoff{5000};
constexpr Milliseconds FirstLossBackoff{200};
constexpr Milliseconds MaxLossBackoff{30'000};
constexpr Milliseconds WrongHolderDelay{300}; // for the directory to show the new holder of a group
constexpr std::uint32_t MaxBackoffSteps = 10; // limits the doublings of a back-off
constexpr std::size_t MaxRecordResultBytes = 64 * 1024; // a record of results is closed at this size
constexpr std::size_t MaxResultBytes = 256 * 1024; // of one task, because values in the store are limited
constexpr Milliseconds FinishedRetention{10 * 60'000}; // of final jobs with their results
constexpr std::size_t MaxFinishedJobs = 50'000;
constexpr std::chrono::hours OutcomeRetention{24}; // of final non-idempotent jobs, without results
constexpr std::size_t MaxRetainedOutcomes = 100'000;
constexpr std::size_t MaxFinishedBytes = 8 * 1024 * 1024; // of results of final jobs

static Milliseconds backoffDelay(Milliseconds first, Milliseconds maxDelay, std::uint32_t steps, Context &context)
{
    Milliseconds delay = first * (1U << std::min(steps, MaxBackoffSteps)) / 2;
    return nextBackoff(delay, first, maxDelay, context);
}

void finishTasks(Home &home, HomeJob &job, std::vector<TaskResult> results, Context &context)
{
    JournalRecord record{RecordKind::Finished, job.spec_.id_, {}, {}, {}};
    std::size_t bytes = 0;
    for (TaskResult &result : results) {
        if (result.result_.size() > MaxResultBytes) {
            logLine(context, LogLevel::Warning,
                    "[home] Result of " + job.spec_.id_.value_ + " is longer than 256 KiB and was truncated");
            result.result_.resize(MaxResultBytes);
        }
        job.tasks_[result.index_].result_ = result;
        bytes += result.result_.size();
        record.results_.push_back(std::move(result));
        if (bytes >= MaxRecordResultBytes) {
            appendRecord(home, record, context);
            record.results_.clear();
            bytes = 0;
        }
    }
    if (!record.results_.empty()) {
        appendRecord(home, std::move(record), context);
    }
}

// Clears the assignment, so that the task is assigned again.
static void unassign(HomeTask &task)
{
    task.group_ = {};
    task.call_ = {};
    task.offerSent_ = false;
    task.assignmentDurable_ = false;
    task.mayHaveRun_ = false;
    task.result_.outcome_ = Outcome::Pending;
    task.result_.worker_ = {};
}

// True for errors that end a run without a result of the task itself.
static bool isLoss(ErrorKind error)
{
    return error == ErrorKind::WorkerLost || error == ErrorKind::TaskLeaseLapsed || error == ErrorKind::WorkerLeaving
        || error == ErrorKind::Preempted;
}

// The answer that is being applied, with the job and task of one result. Not kept beyond the call.
struct TaskUpdate
{
    Home &home_;
    HomeJob &job_;
    HomeTask &task_;
    const DaemonId &from_;
    const TaskAnswer &answer_;
    std::vector<TaskResult> &finalResults_; // collected for finishTasks
    Context &context_;
};

// The group refused the task or did not start it in time.
static void onNotRun(TaskUpdate &update, const TaskResult &result)
{
    HomeTask &task = update.task_;
    HomeJob &job = update.job_;
    const TimePoint now = update.context_.now_;
    const auto target = update.home_.offerTargets_.find(task.group_);
    const bool fromHolder = target != update.home_.offerTargets_.end() && target->second.holder_ == update.from_;
    if (update.answer_.replyTo_.call_ != task.call_ || !fromHolder) {
        return; // answers an older offer or comes from a replaced holder; the newer one may have started the task
    }
    if (result.error_ == ErrorKind::NotHolder || result.error_ == ErrorKind::StaleEpoch) {
        // The refused offer started nothing; if it was the first, the task has not run.
        task.mayHaveRun_ = task.mayHaveRun_ && !task.lastOfferIsFirst_;
        task.offerSent_ = false;
        job.nextOfferAt_ = now + backoffDelay(WrongHolderDelay, WrongHolderDelay, 0, update.context_);
        return;
    }
    if (job.cancelAppended_) {
        update.finalResults_.push_back({result.index_, Outcome::Cancelled, ErrorKind::Cancelled, {}, {}});
        return;
    }
    if (job.gangRestarting_) {
        // One second after the group has forgotten its refusal.
        job.retryGroupAt_[task.group_] = now + RefusalRetention + Milliseconds(1000);
        unassign(task);
        return;
    }
    if (result.error_ == ErrorKind::ImpossibleSize) {
        job.tooSmallGroups_.insert(task.group_);
    } else {
        job.retryGroupAt_[task.group_] = now + RefusalRetention + Milliseconds(1000);
        job.nextAssignAt_
            = now + backoffDelay(FirstRefusalBackoff, MaxRefusalBackoff, task.refusalCount_, update.context_);
    }
    ++task.refusalCount_;
    if (now >= job.startDeadline_ && job.spec_.mode_ != WorkMode::Service) {
        update.finalResults_.push_back({result.index_, Outcome::NotRun, result.error_, {}, {}});
        return;
    }
    unassign(task);
}

// The task ran, or may have run, without a result of its own.
static void onLost(TaskUpdate &update, const TaskResult &result)
{
    HomeTask &task = update.task_;
    HomeJob &job = update.job_;
    if (task.lastOfferIsLookup_ && update.answer_.replyTo_.call_ == task.call_ && result.outcome_ == Outcome::Unknown
        && result.error_ == ErrorKind::OutcomeUnknown) {
        return; // the group has not heard from all its workers yet; the look-up is resent with the next stop
    }
    const bool service = job.spec_.mode_ == WorkMode::Service;
    if (job.cancelAppended_ && job.spec_.idempotent_) {
        update.finalResults_.push_back({result.index_, Outcome::Cancelled, ErrorKind::Cancelled, result.worker_, {}});
        return;
    }
    if (!job.spec_.idempotent_) {
        update.finalResults_.push_back(result);
        if (result.error_ == ErrorKind::WorkerLost) {
            update.finalResults_.back().outcome_ = Outcome::Unknown; // it may have finished on the worker
        }
        return;
    }
    // The acknowledgement lets the group forget the lost run, so that it can be offered the task again.
    update.home_.pendingAcks_[task.group_].push_back({job.spec_.id_, result.index_});
    task.lossCount_ += result.error_ == ErrorKind::Preempted ? 0 : 1;
    if (!service && task.lossCount_ >= MaxLosses) {
        update.finalResults_.push_back({result.index_, Outcome::Failed, ErrorKind::WorkerLost, result.worker_, {}});
        return;
    }
    job.nextAssignAt_
        = update.context_.now_ + backoffDelay(FirstLossBackoff, MaxLossBackoff, task.lossCount_, update.context_);
    if (job.spec_.mode_ == WorkMode::Gang && job.tasks_.size() > 1) {
        // The other tasks of a gang cannot go on without this one: all unfinished tasks are stopped and assigned again
        // together.
        job.gangRestarting_ = true;
        job.retryGroupAt_[task.group_] = update.context_.now_ + RefusalRetention + Milliseconds(1000);
    }
    unassign(task);
}

static void onFailed(TaskUpdate &update, const TaskResult &result)
{
    HomeTask &task = update.task_;
    const JobSpec &spec = update.job_.spec_;
    const bool restartsService
        = spec.mode_ == WorkMode::Service && spec.idempotent_ && task.lossCount_ + 1 < MaxServiceFailures;
    if (isLoss(result.error_) || restartsService) {
        onLost(update, result);
    } else {
        update.finalResults_.push_back(result);
    }
}

// Without a cancellation of the job, a task that was stopped for a gang restart or by a loss counts as lost.
static void onCancelled(TaskUpdate &update, const TaskResult &result)
{
    if (update.job_.cancelAppended_ || (!update.job_.gangRestarting_ && !isLoss(result.error_))) {
        update.finalResults_.push_back(result);
    } else {
        onLost(update, result);
    }
}

// The result of a task that is final or assigned to another group is not used. The group gets an
// acknowledgement for an ended run that is not needed, and a stop for a run that goes on after the outcome is durable.
static void onTaskResult(TaskUpdate &update, const TaskResult &result)
{
    HomeTask &task = update.task_;
    if (update.answer_.group_ != task.group_ || isFinal(task.result_.outcome_)) {
        const bool assignedElsewhere = update.answer_.group_ != task.group_ && update.job_.spec_.idempotent_;
        if ((task.outcomeDurable_ || assignedElsewhere) && isFinal(result.outcome_)
            && result.outcome_ != Outcome::NotRun) {
            update.home_.pendingAcks_[update.answer_.group_].push_back({update.job_.spec_.id_, result.index_});
        } else if (task.outcomeDurable_ && result.outcome_ == Outcome::Running) {
            update.home_.pendingStops_[update.answer_.group_].push_back({update.job_.spec_.id_, result.index_});
        }
        return;
    }
    switch (result.outcome_) {
    case Outcome::Pending:
    case Outcome::Running:
        task.result_.outcome_ = result.outcome_;
        task.result_.worker_ = result.worker_;
        break;
    case Outcome::Done:
        update.finalResults_.push_back(result);
        break;
    case Outcome::Failed:
        onFailed(update, result);
        break;
    case Outcome::NotRun:
        onNotRun(update, result);
        break;
    case Outcome::Cancelled:
        onCancelled(update, result);
        break;
    case Outcome::Unknown:
        onLost(update, result);
        break;
    }
}

void onHomeTaskAnswer(Home &home, const DaemonId &from, const TaskAnswer &message, Context &context)
{
    if (home.phase_ != HomePhase::Active) {
        return; // offers are resent once the journal is read
    }
    const auto found = home.jobs_.find(message.job_);
    if (found == home.jobs_.end()) {
        // The job has expired; the acknowledgement lets the group forget its results.
        TaskAck ack{message.group_, {}};
        for (const TaskResult &result : message.results_) {
            if (isFinal(result.outcome_) && result.outcome_ != Outcome::NotRun) {
                ack.tasks_.push_back({message.job_, result.index_});
            }
        }
        if (!ack.tasks_.empty()) {
            sendPeer(context, from, std::move(ack));
        }
        return;
    }
    HomeJob &job = found->second;
    std::vector<TaskResult> finalResults;
    for (const TaskResult &result : message.results_) {
        if (result.index_ < job.tasks_.size()) {
            TaskUpdate update{home, job, job.tasks_[result.index_], from, message, finalResults, context};
            onTaskResult(update, result);
        }
    }
    finishTasks(home, job, std::move(finalResults), context);
    if (isTooLargeForAllGroups(job, context)) {
        std::vector<TaskResult> refused;
        for (const HomeTask &task : job.tasks_) {
            if (task.group_.empty() && !isFinal(task.result_.outcome_)) {
                refused.push_back({task.result_.index_, Outcome::NotRun, ErrorKind::ImpossibleSize, {}, {}});
            }
        }
        finishTasks(home, job, std::move(refused), context);
    }
    advanceJob(home, job, context);
    sendAcksAndStops(home, context);
}

void startRetention(Home &home, HomeJob &job, Context &context)
{
    home.finishedOrder_.emplace_back(context.now_ + FinishedRetention, job.spec_.id_);
    job.spec_.payload_.clear();
}

// True when the result is durable and the group keeps it until it is acknowledged.
static bool needsAck(const HomeTask &task)
{
    return task.outcomeDurable_ && !task.group_.empty() && task.mayHaveRun_ && task.result_.outcome_ != Outcome::NotRun;
}

void acknowledgeDurableResults(Home &home, const HomeJob &job)
{
    for (const HomeTask &task : job.tasks_) {
        if (needsAck(task)) {
            home.pendingAcks_[task.group_].push_back({job.spec_.id_, task.result_.index_});
        }
    }
}

static void onJobFinal(Home &home, HomeJob &job, Context &context)
{
    ++home.finishedCount_;
    startRetention(home, job, context);
    home.timers_.erase({job.timer_, job.spec_.id_});
    job.timer_ = TimePoint::max();
    answerQueries(job, context, true);
}

void onRecordDurable(Home &home, const JournalRecord &record, Context &context)
{
    const auto found = home.jobs_.find(record.job_);
    if (found == home.jobs_.end()) {
        return;
    }
    HomeJob &job = found->second;
    for (const TaskResult &result : record.results_) {
        const HomeTask &task = job.tasks_[result.index_];
        if (needsAck(task)) {
            home.pendingAcks_[task.group_].push_back({job.spec_.id_, result.index_});
        }
    }
    if (record.kind_ == RecordKind::Accepted) {
        ++home.acceptedCount_;
        answerSubmitters(job, context);
    }
    if (record.kind_ == RecordKind::Finished && job.unfinishedTasks_ == 0) {
        onJobFinal(home, job, context);
    } else {
        advanceJob(home, job, context);
    }
}

void retainOutcome(Home &home, const JobId &job, Outcome outcome, ErrorKind error, TimePoint now)
{
    home.retainedOutcomes_[job] = {outcome, error, now + OutcomeRetention};
    home.retainedOrder_.emplace_back(now + OutcomeRetention, job);
}

void expireFinished(Home &home, Context &context)
{
    while (!home.retainedOrder_.empty()
           && (home.retainedOrder_.front().first <= context.now_ || home.retainedOrder_.size() > MaxRetainedOutcomes)) {
        home.retainedOutcomes_.erase(home.retainedOrder_.front().second);
        home.retainedOrder_.pop_front();
    }
    while (!home.finishedOrder_.empty()
           && (home.finishedOrder_.front().first <= context.now_ || home.finishedOrder_.size() > MaxFinishedJobs
               || home.finishedBytes_ > MaxFinishedBytes)) {
        const auto found = home.jobs_.find(home.finishedOrder_.front().second);
        if (found != home.jobs_.end()) {
            for (const HomeTask &task : found->second.tasks_) {
                home.finishedBytes_ -= std::min(home.finishedBytes_, task.result_.result_.size());
            }
            if (!found->second.spec_.idempotent_) {
                const JobAnswer state = jobState(found->second);
                retainOutcome(home, found->first, state.outcome_, state.error_, context.now_);
            }
            home.timers_.erase({found->second.timer_, found->first});
            home.jobs_.erase(found);
        }
        home.finishedOrder_.pop_front();
    }
}

} // namespace mimosapier
