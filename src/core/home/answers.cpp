// Submits and queries: each gets exactly one answer, and none that depends on a record that is not durable.
#include "core/home/home_internal.h"

#include "core/home/outcome_func.h"

#include <algorithm>

namespace mimosapier
{

constexpr std::size_t MaxWaiting = 10'000; // messages that wait until the journal is read
constexpr std::size_t MaxOpenJobs = 50'000; // not finished
constexpr std::size_t MaxPendingBytes = 4 * 1024 * 1024; // of records that wait for the store
constexpr std::size_t MaxRefused = 50'000;
constexpr Milliseconds MaxQueryWait{10 * 60'000};
constexpr Milliseconds AnswerMargin{100}; // a refusal is sent this long before the deadline, at most a fifth of it

void sendJobAnswer(const Asker &asker, JobAnswer answer, Context &context)
{
    answer.replyTo_ = asker.replyTo_;
    sendPeer(context, asker.daemon_, std::move(answer));
}

static JobAnswer plainAnswer(const JobId &job, Outcome outcome, ErrorKind error)
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
        if (task.finished_) {
            answer.results_.push_back(task.result_);
        }
    }
    if (job.unfinished_ == 0) {
        const JobOutcome outcome = combineOutcomes(answer.results_);
        answer.outcome_ = outcome.outcome_;
        answer.error_ = outcome.error_;
    }
    return answer;
}

static std::string explanation(const HomeJob &job, const Context &context)
{
    std::string text;
    if (!job.accepted_) {
        text = "waits for the journal";
    }
    std::map<std::string, std::size_t> counts;
    for (const HomeTask &task : job.tasks_) {
        std::string line;
        if (isFinal(task.result_.outcome_)) {
            line = std::string(outcomeName(task.result_.outcome_));
            if (!task.finished_) {
                line += " (waits for the journal)";
            }
        } else if (task.group_.empty()) {
            line = "waits for a group with room";
            if (task.refusals_ > 0) {
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
    if (job.cancelRecorded_) {
        text += "; cancellation requested";
    }
    return text;
}

void answerSubmitters(HomeJob &job, Context &context)
{
    for (const Asker &asker : job.submitters_) {
        sendJobAnswer(asker, jobState(job), context);
    }
    job.submitters_.clear();
}

void answerQueries(HomeJob &job, Context &context, bool all)
{
    std::erase_if(job.queries_, [&](const Asker &asker) {
        if (!all && asker.until_ > context.now_) {
            return false;
        }
        JobAnswer answer = jobState(job);
        if (asker.explain_) {
            answer.detail_ = explanation(job, context);
        }
        sendJobAnswer(asker, std::move(answer), context);
        return true;
    });
}

void rememberRefusal(Home &home, const JobId &job, std::uint32_t attempt, ErrorKind error, TimePoint now)
{
    home.refused_[job] = {attempt, error, now + RefusalMemory};
    home.refusedOrder_.emplace_back(now + RefusalMemory, job);
    while (!home.refusedOrder_.empty()
           && (home.refusedOrder_.front().first <= now || home.refusedOrder_.size() > MaxRefused)) {
        const auto found = home.refused_.find(home.refusedOrder_.front().second);
        if (found != home.refused_.end() && found->second.until_ <= home.refusedOrder_.front().first) {
            home.refused_.erase(found);
        }
        home.refusedOrder_.pop_front();
    }
}

void refuseSubmitters(Home &home, HomeJob &job, Outcome outcome, ErrorKind error, Context &context)
{
    const JobAnswer answer = plainAnswer(job.spec_.id_, outcome, error);
    for (const Asker &asker : job.submitters_) {
        sendJobAnswer(asker, answer, context);
    }
    job.submitters_.clear();
    if (outcome != Outcome::NotRun) {
        return;
    }
    rememberRefusal(home, job.spec_.id_, job.attempt_, error, context.now_);
    for (const Asker &asker : job.queries_) {
        sendJobAnswer(asker, answer, context);
    }
    job.queries_.clear();
}

JobAnswer pastState(const Home &home, const JobId &job, TimePoint now)
{
    if (const auto ended = home.ended_.find(job); ended != home.ended_.end()) {
        JobAnswer answer = plainAnswer(job, ended->second.outcome_, ended->second.error_);
        answer.detail_ = "the results are no longer kept";
        return answer;
    }
    if (const auto refused = home.refused_.find(job); refused != home.refused_.end() && refused->second.until_ > now) {
        return plainAnswer(job, Outcome::NotRun, refused->second.error_);
    }
    return plainAnswer(job, Outcome::Unknown, ErrorKind::UnknownJob);
}

static bool overloaded(const Home &home)
{
    return home.journal_.pendingBytes_ > MaxPendingBytes || home.jobs_.size() - home.finished_.size() > MaxOpenJobs;
}

static void submit(Home &home, const DaemonId &from, const JobSubmit &message, TimePoint until, Context &context)
{
    const JobId &id = message.job_.id_;
    const Asker asker{from, message.replyTo_, until, false};
    if (const auto found = home.jobs_.find(id); found != home.jobs_.end()) {
        HomeJob &job = found->second;
        job.attempt_ = std::max(job.attempt_, message.attempt_);
        if (job.accepted_) {
            sendJobAnswer(asker, jobState(job), context);
        } else if (job.refused_) {
            sendJobAnswer(asker, plainAnswer(id, Outcome::Unknown, ErrorKind::StoreUnavailable), context);
        } else {
            job.submitters_.push_back(asker);
        }
        return;
    }
    if (home.ended_.contains(id)) {
        sendJobAnswer(asker, pastState(home, id, context.now_), context);
        return;
    }
    if (const auto refused = home.refused_.find(id); refused != home.refused_.end()
        && refused->second.until_ > context.now_ && message.attempt_ <= refused->second.attempt_) {
        sendJobAnswer(asker, plainAnswer(id, Outcome::NotRun, refused->second.error_), context);
        return;
    }
    ErrorKind error = ErrorKind::None;
    if (message.job_.tasks_ == 0) {
        error = ErrorKind::MalformedRequest;
    } else if (overloaded(home)) {
        error = ErrorKind::Overloaded;
    } else if (until <= context.now_) {
        error = ErrorKind::DeadlinePassed;
    }
    if (error != ErrorKind::None) {
        rememberRefusal(home, id, message.attempt_, error, context.now_);
        sendJobAnswer(asker, plainAnswer(id, Outcome::NotRun, error), context);
        return;
    }
    HomeJob &job = addJob(home, message.job_);
    job.attempt_ = message.attempt_;
    job.acceptBy_ = until;
    job.startBy_ = until + startWindow(job.spec_);
    job.submitters_.push_back(asker);
    reviewJob(home, job, context);
}

static void query(Home &home, const JobQuery &message, const Asker &asker, Context &context)
{
    const auto found = home.jobs_.find(message.job_);
    if (found == home.jobs_.end()) {
        sendJobAnswer(asker, pastState(home, message.job_, context.now_), context);
        return;
    }
    HomeJob &job = found->second;
    job.queries_.push_back(asker);
    if (job.unfinished_ == 0) {
        answerQueries(job, context, true);
    } else {
        reviewJob(home, job, context);
    }
}

// Nothing is known here, and the sender finds the present holder.
static bool isElsewhere(const Home &home)
{
    return home.phase_ == HomePhase::Fenced;
}

void onJobSubmit(Home &home, const DaemonId &from, const JobSubmit &message, Context &context)
{
    const Milliseconds margin = std::min(AnswerMargin, message.remaining_ / 5);
    const TimePoint until = context.now_ + message.remaining_ - margin;
    const Asker asker{from, message.replyTo_, until, false};
    if (isElsewhere(home) || (home.stopping_ && !home.jobs_.contains(message.job_.id_))) {
        sendJobAnswer(asker, plainAnswer(message.job_.id_, Outcome::NotRun, ErrorKind::NotHolder), context);
    } else if (home.phase_ == HomePhase::Active) {
        submit(home, from, message, until, context);
        sendBatches(home, context);
    } else if (home.waitingSubmits_.size() >= MaxWaiting) {
        // The journal may hold the job, so nothing certain can be said.
        sendJobAnswer(asker, plainAnswer(message.job_.id_, Outcome::Unknown, ErrorKind::Overloaded), context);
    } else {
        home.waitingSubmits_.push_back({from, message, until});
    }
}

void onJobQuery(Home &home, const DaemonId &from, const JobQuery &message, Context &context)
{
    const Asker asker{from, message.replyTo_, context.now_ + std::min(message.wait_, MaxQueryWait), message.explain_};
    if (isElsewhere(home)) {
        sendJobAnswer(asker, plainAnswer(message.job_, Outcome::Unknown, ErrorKind::NotHolder), context);
    } else if (home.phase_ == HomePhase::Active) {
        query(home, message, asker, context);
        sendBatches(home, context);
    } else if (home.waitingQueries_.size() >= MaxWaiting) {
        sendJobAnswer(asker, plainAnswer(message.job_, Outcome::Unknown, ErrorKind::Overloaded), context);
    } else {
        home.waitingQueries_.emplace_back(message, asker);
    }
}

void answerWaiting(Home &home, Context &context)
{
    const auto submits = std::move(home.waitingSubmits_);
    const auto queries = std::move(home.waitingQueries_);
    const auto cancels = std::move(home.waitingCancels_);
    home.waitingSubmits_.clear();
    home.waitingQueries_.clear();
    home.waitingCancels_.clear();
    for (const WaitingSubmit &waiting : submits) {
        submit(home, waiting.from_, waiting.message_, waiting.until_, context);
    }
    for (const auto &[message, asker] : queries) {
        query(home, message, asker, context);
    }
    for (const auto &[message, asker] : cancels) {
        cancelJobs(home, asker, message.jobs_, context);
    }
}

void dropJobAskers(HomeJob &job, Outcome outcome, Context &context)
{
    for (const Asker &asker : job.submitters_) {
        sendJobAnswer(asker, plainAnswer(job.spec_.id_, outcome, ErrorKind::NotHolder), context);
    }
    for (const Asker &asker : job.queries_) {
        sendJobAnswer(asker, plainAnswer(job.spec_.id_, Outcome::Unknown, ErrorKind::NotHolder), context);
    }
    job.submitters_.clear();
    job.queries_.clear();
}

void dropAskers(Home &home, Context &context)
{
    const auto send = [&](const Asker &asker, const JobId &job, Outcome outcome) {
        sendJobAnswer(asker, plainAnswer(job, outcome, ErrorKind::NotHolder), context);
    };
    for (auto &[id, job] : home.jobs_) {
        // What is still pending was never sent to the store.
        const bool mayBeStored = job.recorded_ && !withdrawAccepted(home, id);
        dropJobAskers(job, mayBeStored ? Outcome::Unknown : Outcome::NotRun, context);
    }
    for (const WaitingSubmit &waiting : home.waitingSubmits_) {
        send({waiting.from_, waiting.message_.replyTo_, {}, false}, waiting.message_.job_.id_, Outcome::NotRun);
    }
    for (const auto &[message, asker] : home.waitingQueries_) {
        send(asker, message.job_, Outcome::Unknown);
    }
    for (const auto &[message, asker] : home.waitingCancels_) {
        send(asker, {}, Outcome::Unknown);
    }
    for (const CancelWait &wait : home.cancelWaits_) {
        send(wait.asker_, {}, Outcome::Unknown);
    }
    home.waitingSubmits_.clear();
    home.waitingQueries_.clear();
    home.waitingCancels_.clear();
    home.cancelWaits_.clear();
}

} // namespace mimosapier
