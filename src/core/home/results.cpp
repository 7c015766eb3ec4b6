// What groups tell about tasks, and what follows once it is durable.
#include "core/home/home_internal.h"

#include <algorithm>

namespace mimosapier
{

constexpr std::uint32_t MaxLosses = 10; // a task that was lost this often has failed
constexpr std::uint32_t MaxServiceFailures = 10; // a service that failed this often by itself has failed
constexpr Milliseconds RefusalBackoff{50};
constexpr Milliseconds MaxRefusalBackoff{5000};
constexpr Milliseconds LossBackoff{200};
constexpr Milliseconds MaxLossBackoff{30'000};
constexpr Milliseconds WrongHolderDelay{300};
constexpr std::uint32_t MaxBackoffSteps = 10; // doublings
constexpr std::size_t RecordResultBytes = 64 * 1024; // results in one record
constexpr std::size_t MaxResultBytes = 256 * 1024; // of one task; values in the store are limited
constexpr Milliseconds KeepFinished{10 * 60'000};
constexpr std::size_t MaxFinished = 50'000;
constexpr std::chrono::hours KeepEnded{24}; // outcomes of non-idempotent jobs
constexpr std::size_t MaxEnded = 100'000;
constexpr std::size_t MaxFinishedBytes = 8 * 1024 * 1024;

static Milliseconds backoff(Milliseconds first, Milliseconds most, std::uint32_t steps, Context &context)
{
    Milliseconds delay = first * (1U << std::min(steps, MaxBackoffSteps)) / 2;
    return nextBackoff(delay, first, most, context);
}

void finishTasks(Home &home, HomeJob &job, std::vector<TaskResult> results, Context &context)
{
    JournalRecord record{RecordKind::Finished, job.spec_.id_, {}, {}, {}};
    std::size_t bytes = 0;
    for (TaskResult &result : results) {
        if (result.result_.size() > MaxResultBytes) {
            logLine(context, LogLevel::Warning, "[home] result of " + job.spec_.id_.value_ + " is cut");
            result.result_.resize(MaxResultBytes);
        }
        job.tasks_[result.index_].result_ = result;
        bytes += result.result_.size();
        record.results_.push_back(std::move(result));
        if (bytes >= RecordResultBytes) {
            appendRecord(home, record, context);
            record.results_.clear();
            bytes = 0;
        }
    }
    if (!record.results_.empty()) {
        appendRecord(home, std::move(record), context);
    }
}

// Takes the task back from its group, to be assigned again.
static void unassign(HomeTask &task)
{
    task.group_ = {};
    task.call_ = {};
    task.offered_ = false;
    task.assigned_ = false;
    task.mayHaveRun_ = false;
    task.result_.outcome_ = Outcome::Pending;
    task.result_.worker_ = {};
}

static bool isLoss(ErrorKind error)
{
    return error == ErrorKind::WorkerLost || error == ErrorKind::TaskLeaseLapsed || error == ErrorKind::WorkerLeaving
        || error == ErrorKind::Preempted;
}

// One result and what it is about.
struct ResultContext
{
    Home &home_;
    HomeJob &job_;
    HomeTask &task_;
    const DaemonId &from_;
    const TaskAnswer &answer_;
    std::vector<TaskResult> &ended_; // results that are final
    Context &context_;
};

static void onNotRun(ResultContext &at, const TaskResult &result)
{
    HomeTask &task = at.task_;
    HomeJob &job = at.job_;
    const TimePoint now = at.context_.now_;
    const auto seen = at.home_.groups_.find(task.group_);
    const bool fromHolder = seen != at.home_.groups_.end() && seen->second.holder_ == at.from_;
    if (at.answer_.replyTo_.call_ != task.call_ || !fromHolder) {
        return; // an older offer or holder; the task may have been started by a newer one
    }
    if (result.error_ == ErrorKind::NotHolder || result.error_ == ErrorKind::StaleEpoch) {
        task.mayHaveRun_ = task.mayHaveRun_ && !task.firstOffer_;
        task.offered_ = false;
        job.offerAfter_ = now + backoff(WrongHolderDelay, WrongHolderDelay, 0, at.context_);
        return;
    }
    if (job.cancelRecorded_) {
        at.ended_.push_back({result.index_, Outcome::Cancelled, ErrorKind::Cancelled, {}, {}});
        return;
    }
    if (job.gangRestart_) {
        job.refusedBy_[task.group_] = now + RefusalMemory + Milliseconds(1000);
        unassign(task);
        return;
    }
    if (result.error_ == ErrorKind::ImpossibleSize) {
        job.impossibleFor_.insert(task.group_);
    } else {
        job.refusedBy_[task.group_] = now + RefusalMemory + Milliseconds(1000);
        job.assignAfter_ = now + backoff(RefusalBackoff, MaxRefusalBackoff, task.refusals_, at.context_);
    }
    ++task.refusals_;
    if (now >= job.startBy_ && job.spec_.mode_ != WorkMode::Service) {
        at.ended_.push_back({result.index_, Outcome::NotRun, result.error_, {}, {}});
        return;
    }
    unassign(task);
}

// The task ran, or may have, and gave no result of its own.
static void onLost(ResultContext &at, const TaskResult &result)
{
    HomeTask &task = at.task_;
    HomeJob &job = at.job_;
    if (task.lookup_ && at.answer_.replyTo_.call_ == task.call_ && result.outcome_ == Outcome::Unknown
        && result.error_ == ErrorKind::OutcomeUnknown) {
        return; // the group has not heard all its workers yet; the look-up is repeated with the next stop
    }
    const bool service = job.spec_.mode_ == WorkMode::Service;
    if (job.cancelRecorded_ && job.spec_.idempotent_) {
        at.ended_.push_back({result.index_, Outcome::Cancelled, ErrorKind::Cancelled, result.worker_, {}});
        return;
    }
    if (!job.spec_.idempotent_) {
        at.ended_.push_back(result);
        if (result.error_ == ErrorKind::WorkerLost) {
            at.ended_.back().outcome_ = Outcome::Unknown; // it may have finished on the worker
        }
        return;
    }
    // The group may forget the lost run, so that the task can be offered to it again.
    at.home_.acks_[task.group_].push_back({job.spec_.id_, result.index_});
    task.losses_ += result.error_ == ErrorKind::Preempted ? 0 : 1;
    if (!service && task.losses_ >= MaxLosses) {
        at.ended_.push_back({result.index_, Outcome::Failed, ErrorKind::WorkerLost, result.worker_, {}});
        return;
    }
    job.assignAfter_ = at.context_.now_ + backoff(LossBackoff, MaxLossBackoff, task.losses_, at.context_);
    if (job.spec_.mode_ == WorkMode::Gang && job.tasks_.size() > 1) {
        // The rest of a gang is of no use without the task; all that is left is placed again together.
        job.gangRestart_ = true;
        job.refusedBy_[task.group_] = at.context_.now_ + RefusalMemory + Milliseconds(1000);
    }
    unassign(task);
}

static void onFailed(ResultContext &at, const TaskResult &result)
{
    HomeTask &task = at.task_;
    const JobSpec &spec = at.job_.spec_;
    const bool serviceFailed
        = spec.mode_ == WorkMode::Service && spec.idempotent_ && task.losses_ + 1 < MaxServiceFailures;
    if (isLoss(result.error_) || serviceFailed) {
        onLost(at, result);
    } else {
        at.ended_.push_back(result);
    }
}

static void onCancelled(ResultContext &at, const TaskResult &result)
{
    if (at.job_.cancelRecorded_ || (!at.job_.gangRestart_ && !isLoss(result.error_))) {
        at.ended_.push_back(result);
    } else {
        onLost(at, result);
    }
}

static void onTaskResult(ResultContext &at, const TaskResult &result)
{
    HomeTask &task = at.task_;
    if (at.answer_.group_ != task.group_ || isFinal(task.result_.outcome_)) {
        const bool replaced = at.answer_.group_ != task.group_ && at.job_.spec_.idempotent_;
        if ((task.finished_ || replaced) && isFinal(result.outcome_) && result.outcome_ != Outcome::NotRun) {
            at.home_.acks_[at.answer_.group_].push_back({at.job_.spec_.id_, result.index_});
        } else if (task.finished_ && result.outcome_ == Outcome::Running) {
            at.home_.stops_[at.answer_.group_].push_back({at.job_.spec_.id_, result.index_});
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
        at.ended_.push_back(result);
        break;
    case Outcome::Failed:
        onFailed(at, result);
        break;
    case Outcome::NotRun:
        onNotRun(at, result);
        break;
    case Outcome::Cancelled:
        onCancelled(at, result);
        break;
    case Outcome::Unknown:
        onLost(at, result);
        break;
    }
}

void onHomeTaskAnswer(Home &home, const DaemonId &from, const TaskAnswer &message, Context &context)
{
    if (home.phase_ != HomePhase::Active) {
        return; // the offers are repeated once the journal is read
    }
    const auto found = home.jobs_.find(message.job_);
    if (found == home.jobs_.end()) {
        // The job ended long ago; the group may forget it.
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
    std::vector<TaskResult> ended;
    for (const TaskResult &result : message.results_) {
        if (result.index_ < job.tasks_.size()) {
            ResultContext at{home, job, job.tasks_[result.index_], from, message, ended, context};
            onTaskResult(at, result);
        }
    }
    finishTasks(home, job, std::move(ended), context);
    if (impossibleEverywhere(job, context)) {
        std::vector<TaskResult> refused;
        for (const HomeTask &task : job.tasks_) {
            if (task.group_.empty() && !isFinal(task.result_.outcome_)) {
                refused.push_back({task.result_.index_, Outcome::NotRun, ErrorKind::ImpossibleSize, {}, {}});
            }
        }
        finishTasks(home, job, std::move(refused), context);
    }
    reviewJob(home, job, context);
    sendBatches(home, context);
}

void onJobRecovered(Home &home, HomeJob &job, Context &context)
{
    home.finished_.emplace_back(context.now_ + KeepFinished, job.spec_.id_);
    job.spec_.payload_.clear();
}

// True when the group holds the result until it is acknowledged.
static bool wantsAck(const HomeTask &task)
{
    return task.finished_ && !task.group_.empty() && task.mayHaveRun_ && task.result_.outcome_ != Outcome::NotRun;
}

void acknowledgeFinished(Home &home, const HomeJob &job)
{
    for (const HomeTask &task : job.tasks_) {
        if (wantsAck(task)) {
            home.acks_[task.group_].push_back({job.spec_.id_, task.result_.index_});
        }
    }
}

static void onJobFinal(Home &home, HomeJob &job, Context &context)
{
    ++home.finishedCount_;
    onJobRecovered(home, job, context);
    home.timers_.erase({job.timer_, job.spec_.id_});
    job.timer_ = TimePoint::max();
    answerQueries(job, context, true);
}

void onDurable(Home &home, const JournalRecord &record, Context &context)
{
    const auto found = home.jobs_.find(record.job_);
    if (found == home.jobs_.end()) {
        return;
    }
    HomeJob &job = found->second;
    for (const TaskResult &result : record.results_) {
        const HomeTask &task = job.tasks_[result.index_];
        if (wantsAck(task)) {
            home.acks_[task.group_].push_back({job.spec_.id_, result.index_});
        }
    }
    if (record.kind_ == RecordKind::Accepted) {
        ++home.acceptedCount_;
        answerSubmitters(job, context);
    }
    if (record.kind_ == RecordKind::Finished && job.unfinished_ == 0) {
        onJobFinal(home, job, context);
    } else {
        reviewJob(home, job, context);
    }
}

void rememberEnded(Home &home, const JobId &job, Outcome outcome, ErrorKind error, TimePoint now)
{
    home.ended_[job] = {outcome, error, now + KeepEnded};
    home.endedOrder_.emplace_back(now + KeepEnded, job);
}

void expireFinished(Home &home, Context &context)
{
    while (!home.endedOrder_.empty()
           && (home.endedOrder_.front().first <= context.now_ || home.endedOrder_.size() > MaxEnded)) {
        home.ended_.erase(home.endedOrder_.front().second);
        home.endedOrder_.pop_front();
    }
    while (!home.finished_.empty()
           && (home.finished_.front().first <= context.now_ || home.finished_.size() > MaxFinished
               || home.finishedBytes_ > MaxFinishedBytes)) {
        const auto found = home.jobs_.find(home.finished_.front().second);
        if (found != home.jobs_.end()) {
            for (const HomeTask &task : found->second.tasks_) {
                home.finishedBytes_ -= std::min(home.finishedBytes_, task.result_.result_.size());
            }
            if (!found->second.spec_.idempotent_) {
                const JobAnswer state = jobState(found->second);
                rememberEnded(home, found->first, state.outcome_, state.error_, context.now_);
            }
            home.timers_.erase({found->second.timer_, found->first});
            home.jobs_.erase(found);
        }
        home.finished_.pop_front();
    }
}

} // namespace mimosapier
