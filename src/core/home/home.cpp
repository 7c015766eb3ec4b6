// Creation of a home partition, dispatch of events to the other files, hand-over and the admin view.
#include "core/common/json_func.h"
#include "core/home/home_internal.h"

namespace mimosapier
{

template <>
void Destroy<Home>::operator()(Home *state) const
{
    delete state;
}

Handle<Home> makeHome(const ShardId &partition, Epoch epoch, Context &context)
{
    Handle<Home> home(new Home);
    home->partition_ = partition;
    home->epoch_ = epoch;
    startRecovery(*home, context);
    return home;
}

void becomeActive(Home &home, Context &context)
{
    home.phase_ = HomePhase::Active;
    home.journal_.activeSince_ = context.now_;
    std::vector<JobId> open;
    for (auto &[id, job] : home.jobs_) {
        acknowledgeDurableResults(home, job);
        if (job.unfinishedTasks_ == 0) {
            startRetention(home, job, context);
        } else {
            open.push_back(id);
        }
    }
    logLine(context, LogLevel::Info,
            "[home] " + home.partition_.value_ + " is open with " + std::to_string(open.size()) + " unfinished jobs");
    for (const JobId &id : open) {
        advanceJob(home, home.jobs_.at(id), context);
    }
    handleWaitingMessages(home, context);
}

void onHomeStoreResult(Home &home, const StoreResult &result, Context &context)
{
    const auto found = home.ops_.find(result.id_);
    if (found == home.ops_.end() || home.phase_ == HomePhase::Fenced) {
        return;
    }
    const HomeOp op = std::move(found->second);
    home.ops_.erase(found);
    switch (op.kind_) {
    case HomeOpKind::ReadHead:
    case HomeOpKind::ReadPart:
    case HomeOpKind::ReadEntry:
        onRecoveryResult(home, op, result, context);
        break;
    case HomeOpKind::Write:
    case HomeOpKind::ReadBack:
    case HomeOpKind::CheckHead:
        onWriteResult(home, op, result, context);
        break;
    case HomeOpKind::Probe:
    case HomeOpKind::ProbeHead:
        onProbeResult(home, op, result, context);
        break;
    case HomeOpKind::PutPart:
    case HomeOpKind::PutHead:
    case HomeOpKind::Delete:
        onSnapshotResult(home, op, result, context);
        break;
    }
    sendAcksAndStops(home, context);
}

void onHomePeerDown(Home &home, const DaemonId &peer, Context &context)
{
    (void)context;
    for (auto &[group, target] : home.offerTargets_) {
        if (target.holder_ == peer) {
            target.reachable_ = false; // offers are resent by onHomeDirectory when the holder is reachable again
        }
    }
}

void onHomeDirectory(Home &home, Context &context)
{
    if (home.phase_ != HomePhase::Active) {
        return;
    }
    std::vector<ShardId> changed;
    for (const auto &[group, jobs] : home.unfinishedJobsByGroup_) {
        const ShardEntry *entry = findGroup(context.directory_, group);
        if (entry == nullptr || entry->holder_.empty() || !entry->reachable_) {
            home.offerTargets_[group].reachable_ = false;
            continue;
        }
        OfferTarget &target = home.offerTargets_[group];
        if (!target.reachable_ || target.holder_ != entry->holder_ || target.epoch_ != entry->epoch_) {
            target.holder_ = entry->holder_;
            target.epoch_ = entry->epoch_;
            target.reachable_ = true;
            changed.push_back(group);
        }
    }
    for (const ShardId &group : changed) {
        resendOffers(home, group, context);
    }
    sendAcksAndStops(home, context);
}

// Answers queued submits whose deadline passes before the journal is read.
static void expireWaiting(Home &home, Context &context)
{
    std::erase_if(home.waitingSubmits_, [&](const WaitingSubmit &waiting) {
        if (waiting.deadline_ > context.now_) {
            return false;
        }
        JobAnswer answer;
        answer.job_ = waiting.message_.job_.id_;
        answer.outcome_ = Outcome::Unknown; // the journal may hold the job from an earlier submit
        answer.error_ = ErrorKind::StoreUnavailable;
        sendJobAnswer({waiting.from_, waiting.message_.replyTo_, {}, false}, std::move(answer), context);
        return true;
    });
}

void tickHome(Home &home, Context &context)
{
    if (home.phase_ == HomePhase::Fenced) {
        return;
    }
    tickRecovery(home, context);
    tickJournal(home, context);
    tickSnapshot(home, context);
    if (home.phase_ != HomePhase::Active) {
        expireWaiting(home, context);
        return;
    }
    while (!home.timers_.empty() && home.timers_.begin()->first <= context.now_) {
        const auto [time, id] = *home.timers_.begin();
        home.timers_.erase(home.timers_.begin());
        const auto job = home.jobs_.find(id);
        if (job != home.jobs_.end()) {
            job->second.timer_ = TimePoint::max();
            advanceJob(home, job->second, context);
        }
    }
    expireFinished(home, context);
    answerPendingCancels(home, context);
    if (home.stopping_ && canHandOver(home)) {
        answerAllNotHolder(home, context);
    }
    sendAcksAndStops(home, context);
}

bool isFenced(const Home &home)
{
    return home.phase_ == HomePhase::Fenced;
}

void stopAccepting(Home &home, Context &context)
{
    home.stopping_ = true;
    if (home.phase_ != HomePhase::Active) {
        answerAllNotHolder(home, context);
    }
    // Jobs that were not appended to the journal are dropped; their submitters repeat the submit to the next holder.
    for (auto next = home.jobs_.begin(); next != home.jobs_.end();) {
        HomeJob &job = next->second;
        if (job.acceptAppended_) {
            ++next;
            continue;
        }
        answerJobNotHolder(job, Outcome::NotRun, context);
        home.timers_.erase({job.timer_, next->first});
        next = home.jobs_.erase(next);
    }
    tickHome(home, context);
}

bool canHandOver(const Home &home)
{
    if (home.phase_ == HomePhase::Fenced) {
        return true;
    }
    if (home.phase_ != HomePhase::Active) {
        return home.stopping_ && !home.journal_.write_.active_ && home.waitingSubmits_.empty();
    }
    return home.stopping_ && home.journal_.pendingRecords_.empty() && !home.journal_.write_.active_
        && !home.snapshot_.writing_;
}

static std::string_view phaseName(HomePhase phase)
{
    switch (phase) {
    case HomePhase::Active:
        return "active";
    case HomePhase::Fenced:
        return "fenced";
    default:
        return "reading";
    }
}

std::string homeDocument(const Home &home)
{
    std::size_t waiting = 0;
    std::size_t cancelling = 0;
    std::size_t finished = 0;
    for (const auto &[id, job] : home.jobs_) {
        finished += job.unfinishedTasks_ == 0 ? 1 : 0;
        waiting += job.acceptDurable_ ? 0 : 1;
        cancelling += job.unfinishedTasks_ > 0 && job.cancelAppended_ ? 1 : 0;
    }
    const auto count = [](std::uint64_t value) { return static_cast<std::int64_t>(value); };
    JsonObject jobs;
    jobs.number("total", count(home.jobs_.size())).number("waiting_for_journal", count(waiting));
    jobs.number("open", count(home.jobs_.size() - finished - waiting)).number("cancelling", count(cancelling));
    jobs.number("finished", count(finished)).number("outcome_only", count(home.retainedOutcomes_.size()));
    const Journal &journal = home.journal_;
    JsonObject document;
    document.text("partition", home.partition_.value_).text("phase", phaseName(home.phase_));
    document.number("epoch", count(home.epoch_.value_)).raw("jobs", jobs.finish());
    document.number("accepted_total", count(home.acceptedCount_)).number("finished_total", count(home.finishedCount_));
    document.number("journal_next", count(journal.nextSequence_))
        .number("journal_length", count(journal.entries_.size()));
    document.number("journal_pending", count(journal.pendingRecords_.size()))
        .number("journal_writes", count(home.writtenEntries_));
    document.number("flush_interval_ms", journal.flushInterval_.count());
    return document.finish();
}

} // namespace mimosapier
