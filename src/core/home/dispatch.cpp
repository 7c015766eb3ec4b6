// Moves jobs forward: timers, offers to the holders of groups, resends and expiry. An offer is sent only after its
// assignment is durable and while this daemon can prove that it is the newest holder.
#include "core/home/home_internal.h"

#include <algorithm>

namespace mimosapier
{

constexpr Milliseconds OfferTimeout{5 * 60'000}; // a group refuses a task that it has not started within this time
constexpr Milliseconds FirstResendDelay{30'000}; // while an offer has no final answer
constexpr Milliseconds MaxResendDelay{10 * 60'000};
constexpr Milliseconds AssignRetryInterval{200}; // while no group is usable
constexpr Milliseconds ProofRetryInterval{100}; // while a probe has not shown that this is the newest holder
constexpr Milliseconds StartTimeout{24 * 60 * 60'000}; // for accepted work other than interactive

Milliseconds startTimeoutOf(const JobSpec &spec)
{
    return spec.mode_ == WorkMode::Interactive ? Milliseconds(0) : StartTimeout;
}

HomeJob &addJob(Home &home, const JobSpec &spec)
{
    HomeJob &job = home.jobs_[spec.id_];
    job.spec_ = spec;
    job.tasks_.resize(spec.tasks_);
    for (std::uint32_t index = 0; index < spec.tasks_; ++index) {
        job.tasks_[index].result_.index_ = index;
    }
    job.unfinishedTasks_ = spec.tasks_;
    return job;
}

void setTimerNoLaterThan(Home &home, HomeJob &job, TimePoint time)
{
    if (time >= job.timer_) {
        return;
    }
    home.timers_.erase({job.timer_, job.spec_.id_});
    job.timer_ = time;
    home.timers_.emplace(time, job.spec_.id_);
}

// Offers tasks [first, first + count) of a job, which share group, call and mayHaveRun_. `lookup` only asks for the
// state.
static void sendOffer(Home &home, HomeJob &job, std::uint32_t first, std::uint32_t count, bool lookup, Context &context)
{
    const HomeTask task = job.tasks_[first];
    const ShardEntry *entry = findGroup(context.directory_, task.group_);
    TaskOffer offer;
    // To a group, a higher call id is a new decision that overrides its earlier refusal. A resent offer keeps the id,
    // so that a replaced holder cannot override the refusal that its successor got.
    const bool repeats = task.call_ != CallId{} && !lookup;
    const CallId call = repeats ? task.call_ : CallId{context.actions_.nextId()};
    offer.replyTo_ = {ReplyComponent::Home, home.partition_, call};
    offer.group_ = task.group_;
    offer.job_ = job.spec_;
    offer.firstIndex_ = first;
    offer.count_ = count;
    offer.attempt_ = task.refusalCount_ + task.lossCount_ + 1;
    const auto remaining = std::chrono::duration_cast<Milliseconds>(job.startDeadline_ - context.now_);
    offer.remaining_ = std::clamp(remaining, Milliseconds(1), OfferTimeout);
    // Without a fresh proof a later holder may have offered the tasks, and a new holder of the group would not know of
    // that offer.
    offer.mayHaveRun_ = task.mayHaveRun_ || !hasFreshProof(home, context.now_);
    offer.lookupOnly_ = lookup;
    for (std::uint32_t index = first; index < first + count; ++index) {
        job.tasks_[index].call_ = call;
        job.tasks_[index].offerSent_ = true;
        job.tasks_[index].lastOfferIsLookup_ = lookup;
        job.tasks_[index].lastOfferIsFirst_ = !lookup && !task.mayHaveRun_;
        job.tasks_[index].mayHaveRun_ = task.mayHaveRun_ || !lookup;
    }
    sendPeer(context, entry->holder_, std::move(offer));
}

// True when the task has to be offered to its group, for the first time or again.
static bool needsOffer(const HomeTask &task)
{
    return !isFinal(task.result_.outcome_) && !task.group_.empty() && task.assignmentDurable_ && !task.offerSent_;
}

static void sendOffers(Home &home, HomeJob &job, Context &context)
{
    const bool proven = mayOffer(home, context.now_);
    const bool stopping = job.cancelAppended_ || job.gangRestarting_;
    bool waitsForProof = false;
    for (std::uint32_t index = 0; index < job.tasks_.size();) {
        const HomeTask &task = job.tasks_[index];
        if (!needsOffer(task)) {
            ++index;
            continue;
        }
        std::uint32_t count = 1;
        while (index + count < job.tasks_.size() && needsOffer(job.tasks_[index + count])
               && job.tasks_[index + count].group_ == task.group_ && job.tasks_[index + count].call_ == task.call_
               && job.tasks_[index + count].mayHaveRun_ == task.mayHaveRun_) {
            ++count;
        }
        const ShardEntry *entry = findGroup(context.directory_, task.group_);
        const bool reachable = entry != nullptr && !entry->holder_.empty() && entry->reachable_;
        // An existing entry is not updated: onHomeDirectory compares it and resends all offers to the group on a
        // change.
        if (!home.offerTargets_.contains(task.group_)) {
            home.offerTargets_[task.group_]
                = reachable ? OfferTarget{entry->holder_, entry->epoch_, true} : OfferTarget{};
        }
        // Nothing may be started without a proof of being the newest holder. Tasks that are being stopped are looked
        // up, which starts nothing.
        if (reachable && (stopping ? task.mayHaveRun_ : proven)) {
            sendOffer(home, job, index, count, stopping, context);
        }
        waitsForProof = waitsForProof || (!proven && !stopping);
        index += count;
    }
    if (waitsForProof) {
        requestProbe(home, context);
        setTimerNoLaterThan(home, job, context.now_ + ProofRetryInterval);
    }
}

// Marks open offers to be resent when the resend time has come, and sets the timer for the next time.
static void scheduleResends(Home &home, HomeJob &job, Context &context)
{
    const bool due = context.now_ >= job.nextResendAt_;
    bool open = false;
    for (HomeTask &task : job.tasks_) {
        if (isFinal(task.result_.outcome_) || !task.offerSent_) {
            continue;
        }
        open = true;
        if (due) {
            task.offerSent_ = false;
        }
    }
    if (due) {
        job.resendDelay_ = std::clamp(job.resendDelay_ * 2, FirstResendDelay, MaxResendDelay);
        job.nextResendAt_ = context.now_ + job.resendDelay_;
    }
    if (open) {
        setTimerNoLaterThan(home, job, job.nextResendAt_);
    }
}

// Ends tasks as NotRun that have passed their start deadline and were never offered.
static void expireUnstartedTasks(Home &home, HomeJob &job, Context &context)
{
    if (context.now_ < job.startDeadline_ || job.spec_.mode_ == WorkMode::Service) {
        return;
    }
    std::vector<TaskResult> finalResults;
    for (const HomeTask &task : job.tasks_) {
        if (!isFinal(task.result_.outcome_) && !task.mayHaveRun_) {
            finalResults.push_back({task.result_.index_, Outcome::NotRun, ErrorKind::DeadlinePassed, {}, {}});
        }
    }
    finishTasks(home, job, std::move(finalResults), context);
}

// Assigns the unassigned tasks of an accepted job and journals the assignments.
static void reassignTasks(Home &home, HomeJob &job, Context &context)
{
    const bool hasUnassigned = std::any_of(job.tasks_.begin(), job.tasks_.end(), [](const HomeTask &task) {
        return task.group_.empty() && !isFinal(task.result_.outcome_);
    });
    if (!hasUnassigned) {
        return;
    }
    if (context.now_ < job.nextAssignAt_) {
        setTimerNoLaterThan(home, job, job.nextAssignAt_);
        return;
    }
    std::vector<TaskRange> ranges = assignTasks(home, job, context);
    if (ranges.empty()) {
        setTimerNoLaterThan(home, job, context.now_ + AssignRetryInterval);
        return;
    }
    appendRecord(home, {RecordKind::Assigned, job.spec_.id_, {}, std::move(ranges), {}}, context);
}

// Assigns a job that is not accepted yet and journals it, or refuses it at its accept deadline.
static void advanceSubmitted(Home &home, HomeJob &job, Context &context)
{
    if (context.now_ >= job.acceptDeadline_ && !job.submittersAnsweredUnknown_) {
        if (!job.acceptAppended_ || withdrawAccepted(home, job.spec_.id_)) {
            const ErrorKind error = job.acceptAppended_ ? ErrorKind::StoreUnavailable : ErrorKind::PeerUnavailable;
            answerSubmittersWithError(home, job, Outcome::NotRun, error, context);
            home.timers_.erase({job.timer_, job.spec_.id_});
            home.jobs_.erase(JobId(job.spec_.id_));
            return;
        }
        // The store may hold the record, so the job may still run.
        job.submittersAnsweredUnknown_ = true;
        answerSubmittersWithError(home, job, Outcome::Unknown, ErrorKind::StoreUnavailable, context);
        return;
    }
    if (!job.acceptAppended_) {
        std::vector<TaskRange> ranges = assignTasks(home, job, context);
        if (!ranges.empty()) {
            job.acceptAppended_ = true;
            appendRecord(home, {RecordKind::Accepted, job.spec_.id_, {job.spec_}, std::move(ranges), {}}, context);
        }
    }
    if (!job.submittersAnsweredUnknown_) {
        setTimerNoLaterThan(home, job,
                            job.acceptAppended_ ? job.acceptDeadline_
                                                : std::min(job.acceptDeadline_, context.now_ + AssignRetryInterval));
    }
}

void advanceJob(Home &home, HomeJob &job, Context &context)
{
    if (context.now_ >= job.timer_) {
        home.timers_.erase({job.timer_, job.spec_.id_});
        job.timer_ = TimePoint::max();
    }
    answerQueries(job, context, false);
    for (const Requester &requester : job.queries_) {
        setTimerNoLaterThan(home, job, requester.deadline_);
    }
    if (home.phase_ != HomePhase::Active || job.unfinishedTasks_ == 0) {
        return;
    }
    if (!job.acceptDurable_) {
        advanceSubmitted(home, job, context);
        return;
    }
    if (job.startDeadline_ == TimePoint{}) {
        // Accepted by an earlier holder; time points are not journaled, so the time starts anew.
        job.startDeadline_ = context.now_ + startTimeoutOf(job.spec_);
    }
    if (job.resendDelay_.count() == 0) {
        job.resendDelay_ = FirstResendDelay;
        job.nextResendAt_ = context.now_ + FirstResendDelay;
    }
    if (job.cancelDurable_ || job.gangRestarting_) {
        stopTasks(home, job, context);
    }
    if (!job.cancelAppended_) {
        expireUnstartedTasks(home, job, context);
        if (!home.stopping_) {
            reassignTasks(home, job, context);
        }
    }
    if (context.now_ < job.nextOfferAt_) {
        setTimerNoLaterThan(home, job, job.nextOfferAt_);
        return;
    }
    scheduleResends(home, job, context);
    sendOffers(home, job, context);
    scheduleResends(home, job, context); // sets the timer for the offers that were just sent
    if (job.startDeadline_ > context.now_) {
        setTimerNoLaterThan(home, job, job.startDeadline_);
    }
}

void resendOffers(Home &home, const ShardId &group, Context &context)
{
    const auto found = home.unfinishedJobsByGroup_.find(group);
    if (found == home.unfinishedJobsByGroup_.end()) {
        return;
    }
    std::vector<JobId> openJobs;
    std::erase_if(found->second, [&](const JobId &id) {
        const auto job = home.jobs_.find(id);
        bool open = false;
        if (job != home.jobs_.end()) {
            for (HomeTask &task : job->second.tasks_) {
                if (task.group_ == group && !isFinal(task.result_.outcome_)) {
                    task.offerSent_ = false;
                    open = true;
                }
            }
        }
        if (open) {
            openJobs.push_back(id);
        }
        return !open;
    });
    for (const JobId &id : openJobs) {
        advanceJob(home, home.jobs_.at(id), context);
    }
}

void sendAcksAndStops(Home &home, Context &context)
{
    const auto holder = [&context](const ShardId &group) {
        const ShardEntry *entry = findGroup(context.directory_, group);
        return entry != nullptr && entry->reachable_ ? entry->holder_ : DaemonId{};
    };
    // Acknowledgements are kept until the group is reachable. Stops are dropped, because stopTasks resends them.
    std::erase_if(home.pendingAcks_, [&](auto &batch) {
        const DaemonId to = holder(batch.first);
        if (!to.empty()) {
            sendPeer(context, to, TaskAck{batch.first, std::move(batch.second)});
        }
        return !to.empty() || findGroup(context.directory_, batch.first) == nullptr;
    });
    for (auto &[group, tasks] : home.pendingStops_) {
        if (const DaemonId to = holder(group); !to.empty()) {
            sendPeer(context, to, TaskCancel{group, std::move(tasks)});
        }
    }
    home.pendingStops_.clear();
}

} // namespace mimosapier
