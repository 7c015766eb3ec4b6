// Handles submits and queries. Each gets exactly one answer, and no answer depends on a record that is not durable.
#include "core/home/home_internal.h"

#include "core/home/outcome_func.h"

#include <algorithm>

namespace mimosapier
{

constexpr std::size_t MaxWaitingMessages = 10'000; // submits, and as many queries, queued during recovery
constexpr std::size_t MaxOpenJobs = 50'000; // not final
constexpr std::size_t MaxPendingRecordBytes = 4 * 1024 * 1024; // above, submits are refused
constexpr std::size_t MaxRefusedSubmits = 50'000;
constexpr Milliseconds MaxQueryWait{10 * 60'000};
// A submit is refused this long before its deadline, or a fifth of its time if that is less.
constexpr Milliseconds AnswerMargin{100};

void sendJobAnswer(const Requester &requester, JobAnswer answer, Context &context)
{
    answer.replyTo_ = requester.replyTo_;
    sendPeer(context, requester.daemon_, std::move(answer));
}

static JobAnswer makeAnswer(const JobId &job, Outcome outcome, ErrorKind error)
{
    JobAnswer answer;
    answer.job_ = job;
    answer.outcome_ = outcome;
    answer.error_ = error;
    return answer;
}

JobAnswer jobState(const HomeJob &job)
{
    JobAnswer answer;
    answer.job_ = job.spec_.id_;
    for (const HomeTask &task : job.tasks_) {
        if (task.outcomeDurable_) {
            answer.results_.push_back(task.result_);
        }
    }
    if (job.unfinishedTasks_ == 0) {
        const JobOutcome outcome = combineOutcomes(answer.results_);
        answer.outcome_ = outcome.outcome_;
        answer.error_ = outcome.error_;
    }
    return answer;
}

// Reasons why a job is not final, for JobAnswer::detail_: a count of tasks for each state.
static std::string explanation(const HomeJob &job, const Context &context)
{
    std::string text;
    if (!job.acceptDurable_) {
        text = "waits for the journal";
    }
    std::map<std::string, std::size_t> counts;
    for (const HomeTask &task : job.tasks_) {
        std::string line;
        if (isFinal(task.result_.outcome_)) {
            line = std::string(outcomeName(task.result_.outcome_));
            if (!task.outcomeDurable_) {
                line += " (waits for the journal)";
            }
        } else if (task.group_.empty()) {
            line = "waits for a group with room";
            if (task.refusalCount_ > 0) {
                line += " after refusals";
            }
        } else {
            const ShardEntry *entry = findGroup(context.directory_, task.group_);
            const bool reachable = entry != nullptr && entry->reachable_ && !entry->holder_.empty();
            line = task.result_.outcome_ == Outcome::Running ? "runs in " : "waits in ";
            line += task.group_.value_;
            line += reachable ? "" : ", whose holder cannot be reached";
        }
        ++counts[line];
    }
    for (const auto &[line, count] : counts) {
        text += text.empty() ? "" : "; ";
        text += std::to_string(count) + " of " + std::to_string(job.tasks_.size()) + " tasks: " + line;
    }
    if (job.cancelAppended_) {
        text += "; cancellation requested";
    }
    return text;
}

void answerSubmitters(HomeJob &job, Context &context)
{
    for (const Requester &requester : job.submitters_) {
        sendJobAnswer(requester, jobState(job), context);
    }
    job.submitters_.clear();
}

void answerQueries(HomeJob &job, Context &context, bool all)
{
    std::erase_if(job.queries_, [&](const Requester &requester) {
        if (!all && requester.deadline_ > context.now_) {
            return false;
        }
        JobAnswer answer = jobState(job);
        if (requester.explain_) {
            answer.detail_ = explanation(job, context);
        }
        sendJobAnswer(requester, std::move(answer), context);
        return true;
    });
}

void rememberRefusal(Home &home, const JobId &job, std::uint32_t attempt, ErrorKind error, TimePoint now)
{
    home.refusedSubmits_[job] = {attempt, error, now + RefusalRetention};
    home.refusedSubmitOrder_.emplace_back(now + RefusalRetention, job);
    while (!home.refusedSubmitOrder_.empty()
           && (home.refusedSubmitOrder_.front().first <= now || home.refusedSubmitOrder_.size() > MaxRefusedSubmits)) {
        const auto found = home.refusedSubmits_.find(home.refusedSubmitOrder_.front().second);
        if (found != home.refusedSubmits_.end() && found->second.expiresAt_ <= home.refusedSubmitOrder_.front().first) {
            home.refusedSubmits_.erase(found);
        }
        home.refusedSubmitOrder_.pop_front();
    }
}

void answerSubmittersWithError(Home &home, HomeJob &job, Outcome outcome, ErrorKind error, Context &context)
{
    const JobAnswer answer = makeAnswer(job.spec_.id_, outcome, error);
    for (const Requester &requester : job.submitters_) {
        sendJobAnswer(requester, answer, context);
    }
    job.submitters_.clear();
    if (outcome != Outcome::NotRun) {
        return;
    }
    rememberRefusal(home, job.spec_.id_, job.attempt_, error, context.now_);
    for (const Requester &requester : job.queries_) {
        sendJobAnswer(requester, answer, context);
    }
    job.queries_.clear();
}

JobAnswer absentJobState(const Home &home, const JobId &job, TimePoint now)
{
    if (const auto retained = home.retainedOutcomes_.find(job); retained != home.retainedOutcomes_.end()) {
        JobAnswer answer = makeAnswer(job, retained->second.outcome_, retained->second.error_);
        answer.detail_ = "the results are no longer kept";
        return answer;
    }
    if (const auto refused = home.refusedSubmits_.find(job);
        refused != home.refusedSubmits_.end() && refused->second.expiresAt_ > now) {
        return makeAnswer(job, Outcome::NotRun, refused->second.error_);
    }
    return makeAnswer(job, Outcome::Unknown, ErrorKind::UnknownJob);
}

static bool isOverloaded(const Home &home)
{
    return home.journal_.pendingBytes_ > MaxPendingRecordBytes
        || home.jobs_.size() - home.finishedOrder_.size() > MaxOpenJobs;
}

static void submit(Home &home, const DaemonId &from, const JobSubmit &message, TimePoint deadline, Context &context)
{
    const JobId &id = message.job_.id_;
    const Requester requester{from, message.replyTo_, deadline, false};
    if (const auto found = home.jobs_.find(id); found != home.jobs_.end()) {
        HomeJob &job = found->second;
        job.attempt_ = std::max(job.attempt_, message.attempt_);
        if (job.acceptDurable_) {
            sendJobAnswer(requester, jobState(job), context);
        } else if (job.submittersAnsweredUnknown_) {
            sendJobAnswer(requester, makeAnswer(id, Outcome::Unknown, ErrorKind::StoreUnavailable), context);
        } else {
            job.submitters_.push_back(requester);
        }
        return;
    }
    if (home.retainedOutcomes_.contains(id)) {
        sendJobAnswer(requester, absentJobState(home, id, context.now_), context);
        return;
    }
    if (const auto refused = home.refusedSubmits_.find(id); refused != home.refusedSubmits_.end()
        && refused->second.expiresAt_ > context.now_ && message.attempt_ <= refused->second.attempt_) {
        sendJobAnswer(requester, makeAnswer(id, Outcome::NotRun, refused->second.error_), context);
        return;
    }
    ErrorKind error = ErrorKind::None;
    if (message.job_.tasks_ == 0) {
        error = ErrorKind::MalformedRequest;
    } else if (isOverloaded(home)) {
        error = ErrorKind::Overloaded;
    } else if (deadline <= context.now_) {
        error = ErrorKind::DeadlinePassed;
    }
    if (error != ErrorKind::None) {
        rememberRefusal(home, id, message.attempt_, error, context.now_);
        sendJobAnswer(requester, makeAnswer(id, Outcome::NotRun, error), context);
        return;
    }
    HomeJob &job = addJob(home, message.job_);
    job.attempt_ = message.attempt_;
    job.acceptDeadline_ = deadline;
    job.startDeadline_ = deadline + startTimeoutOf(job.spec_);
    job.submitters_.push_back(requester);
    advanceJob(home, job, context);
}

static void query(Home &home, const JobQuery &message, const Requester &requester, Context &context)
{
    const auto found = home.jobs_.find(message.job_);
    if (found == home.jobs_.end()) {
        sendJobAnswer(requester, absentJobState(home, message.job_, context.now_), context);
        return;
    }
    HomeJob &job = found->second;
    job.queries_.push_back(requester);
    if (job.unfinishedTasks_ == 0) {
        answerQueries(job, context, true);
    } else {
        advanceJob(home, job, context);
    }
}

// True when the state was dropped because of a later holder; the sender has to ask that one.
static bool isHeldElsewhere(const Home &home)
{
    return home.phase_ == HomePhase::Fenced;
}

void onJobSubmit(Home &home, const DaemonId &from, const JobSubmit &message, Context &context)
{
    const Milliseconds margin = std::min(AnswerMargin, message.remaining_ / 5);
    const TimePoint deadline = context.now_ + message.remaining_ - margin;
    const Requester requester{from, message.replyTo_, deadline, false};
    if (isHeldElsewhere(home) || (home.stopping_ && !home.jobs_.contains(message.job_.id_))) {
        sendJobAnswer(requester, makeAnswer(message.job_.id_, Outcome::NotRun, ErrorKind::NotHolder), context);
    } else if (home.phase_ == HomePhase::Active) {
        submit(home, from, message, deadline, context);
        sendAcksAndStops(home, context);
    } else if (home.waitingSubmits_.size() >= MaxWaitingMessages) {
        // Unknown, because the journal may hold the job from an earlier submit.
        sendJobAnswer(requester, makeAnswer(message.job_.id_, Outcome::Unknown, ErrorKind::Overloaded), context);
    } else {
        home.waitingSubmits_.push_back({from, message, deadline});
    }
}

void onJobQuery(Home &home, const DaemonId &from, const JobQuery &message, Context &context)
{
    const Requester requester{from, message.replyTo_, context.now_ + std::min(message.wait_, MaxQueryWait),
                              message.explain_};
    if (isHeldElsewhere(home)) {
        sendJobAnswer(requester, makeAnswer(message.job_, Outcome::Unknown, ErrorKind::NotHolder), context);
    } else if (home.phase_ == HomePhase::Active) {
        query(home, message, requester, context);
        sendAcksAndStops(home, context);
    } else if (home.waitingQueries_.size() >= MaxWaitingMessages) {
        sendJobAnswer(requester, makeAnswer(message.job_, Outcome::Unknown, ErrorKind::Overloaded), context);
    } else {
        home.waitingQueries_.emplace_back(message, requester);
    }
}

void handleWaitingMessages(Home &home, Context &context)
{
    const auto submits = std::move(home.waitingSubmits_);
    const auto queries = std::move(home.waitingQueries_);
    const auto cancels = std::move(home.waitingCancels_);
    home.waitingSubmits_.clear();
    home.waitingQueries_.clear();
    home.waitingCancels_.clear();
    for (const WaitingSubmit &waiting : submits) {
        submit(home, waiting.from_, waiting.message_, waiting.deadline_, context);
    }
    for (const auto &[message, requester] : queries) {
        query(home, message, requester, context);
    }
    for (const auto &[message, requester] : cancels) {
        cancelJobs(home, requester, message.jobs_, context);
    }
}

void answerJobNotHolder(HomeJob &job, Outcome outcome, Context &context)
{
    for (const Requester &requester : job.submitters_) {
        sendJobAnswer(requester, makeAnswer(job.spec_.id_, outcome, ErrorKind::NotHolder), context);
    }
    for (const Requester &requester : job.queries_) {
        sendJobAnswer(requester, makeAnswer(job.spec_.id_, Outcome::Unknown, ErrorKind::NotHolder), context);
    }
    job.submitters_.clear();
    job.queries_.clear();
}

void answerAllNotHolder(Home &home, Context &context)
{
    const auto send = [&](const Requester &requester, const JobId &job, Outcome outcome) {
        sendJobAnswer(requester, makeAnswer(job, outcome, ErrorKind::NotHolder), context);
    };
    for (auto &[id, job] : home.jobs_) {
        // A record that can still be withdrawn was never sent to the store, so the job cannot run.
        const bool mayBeStored = job.acceptAppended_ && !withdrawAccepted(home, id);
        answerJobNotHolder(job, mayBeStored ? Outcome::Unknown : Outcome::NotRun, context);
    }
    for (const WaitingSubmit &waiting : home.waitingSubmits_) {
        send({waiting.from_, waiting.message_.replyTo_, {}, false}, waiting.message_.job_.id_, Outcome::NotRun);
    }
    for (const auto &[message, requester] : home.waitingQueries_) {
        send(requester, message.job_, Outcome::Unknown);
    }
    for (const auto &[message, requester] : home.waitingCancels_) {
        send(requester, {}, Outcome::Unknown);
    }
    for (const PendingCancel &cancel : home.pendingCancels_) {
        send(cancel.requester_, {}, Outcome::Unknown);
    }
    home.waitingSubmits_.clear();
    home.waitingQueries_.clear();
    home.waitingCancels_.clear();
    home.pendingCancels_.clear();
}

} // namespace mimosapier
