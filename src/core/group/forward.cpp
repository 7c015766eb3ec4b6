// The second candidate group of interactive tasks: queries before a repeated request starts, and forwarding when the
// estimated wait is shorter there.
#include "core/group/group_internal.h"

#include "core/common/shard_func.h"

#include <algorithm>

namespace mimosapier
{

// Copies the groups of the region from the directory, at most once per interval.
static void refreshCandidates(Group &group, Context &context)
{
    constexpr Milliseconds Interval{1000};
    if (!group.candidates_.empty() && context.now_ - group.candidatesReadAt_ < Interval) {
        return;
    }
    group.candidatesReadAt_ = context.now_;
    group.candidates_.clear();
    for (const ShardEntry &entry : context.directory_.groups_) {
        if (entry.region_ == group.region_) {
            group.candidates_.push_back(entry.shard_);
        }
    }
}

bool isFirstCandidate(Group &group, const JobId &job, ShardId &second, Context &context)
{
    refreshCandidates(group, context);
    const CandidateGroups candidates = candidateGroups(job, group.candidates_);
    second = candidates.second_;
    return candidates.first_ == group.id_ && !second.empty();
}

static void scheduleQuery(Group &group, GroupTask &task, TimePoint time)
{
    group.candidateQueries_.erase({task.nextQuery_, task.sequence_, &task});
    task.nextQuery_ = time;
    group.candidateQueries_.insert({time, task.sequence_, &task});
}

// Time to the deadline for the start, at least 1 ms; 0 when the task has no deadline.
static Milliseconds remainingTime(const GroupTask &task, TimePoint now)
{
    if (task.deadline_ == TimePoint::max()) {
        return Milliseconds(0);
    }
    return std::max(Milliseconds(1), std::chrono::duration_cast<Milliseconds>(task.deadline_ - now));
}

// Returns false when the second candidate cannot be reached or the task's job is not known.
static bool sendToSecondCandidate(Group &group, GroupTask &task, bool lookupOnly, Context &context)
{
    const ShardEntry *entry = findGroup(context.directory_, task.secondCandidate_);
    if (entry == nullptr || entry->holder_.empty() || !entry->reachable_ || task.job_ == nullptr) {
        return false;
    }
    task.secondCandidateCall_ = CallId{context.actions_.nextId()};
    TaskOffer offer;
    offer.replyTo_ = {ReplyComponent::Group, group.id_, task.secondCandidateCall_};
    offer.group_ = task.secondCandidate_;
    offer.job_ = *task.job_;
    offer.firstIndex_ = task.id_.index_;
    offer.count_ = 1;
    offer.attempt_ = task.attempt_;
    offer.remaining_ = remainingTime(task, context.now_);
    offer.lookupOnly_ = lookupOnly;
    offer.forwarded_ = true;
    task.secondCandidateHolder_ = entry->holder_;
    sendPeer(context, entry->holder_, std::move(offer));
    return true;
}

void querySecondCandidate(Group &group, GroupTask &task, Context &context)
{
    const bool sent = sendToSecondCandidate(group, task, true, context);
    const Milliseconds wait = sent && task.stage_ == TaskStage::AtSecondCandidate ? detail::ForwardedQueryInterval
                                                                                  : detail::CandidateQueryInterval;
    scheduleQuery(group, task, context.now_ + wait);
}

void requerySecondCandidates(Group &group, Context &context)
{
    while (!group.candidateQueries_.empty() && std::get<0>(*group.candidateQueries_.begin()) <= context.now_) {
        querySecondCandidate(group, *std::get<2>(*group.candidateQueries_.begin()), context);
    }
}

bool forwardIfBetter(Group &group, GroupTask &task, Context &context)
{
    if (task.mode_ != WorkMode::Interactive || !task.idempotent_ || task.forwardedByFirst_ || task.forwardRefused_
        || task.gang_ != nullptr) {
        return false;
    }
    const Milliseconds ownWait = waitEstimate(group, task.priority_, context.now_);
    if (ownWait <= detail::ForwardMargin || !isFirstCandidate(group, task.id_.job_, task.secondCandidate_, context)) {
        return false;
    }
    const ShardEntry *entry = findGroup(context.directory_, task.secondCandidate_);
    if (entry == nullptr || entry->load_.capacitySlots_ == 0) {
        return false;
    }
    const Milliseconds otherWait(entry->load_.waitMs_);
    if (ownWait <= otherWait * 2 + detail::ForwardMargin || !sendToSecondCandidate(group, task, false, context)) {
        return false;
    }
    setStage(group, task, TaskStage::AtSecondCandidate);
    task.forwardedToSecond_ = true;
    ++group.forwards_;
    addDeadline(group, task);
    scheduleQuery(group, task, context.now_ + detail::ForwardedQueryInterval);
    return true;
}

// The second candidate has refused the task or does not have it: this group decides about it again.
static void resumeLocally(Group &group, GroupTask &task, Context &context)
{
    group.candidateQueries_.erase({task.nextQuery_, task.sequence_, &task});
    task.waitsForSecondCandidate_ = false;
    task.forwardRefused_ = true;
    setStage(group, task, TaskStage::Checking);
    if (!task.waitsForWorkers_) {
        onChecksDone(group, task, context);
    }
}

// `newest`: the answer belongs to the newest query; older ones only count when they are final.
static void onSecondCandidateAnswer(Group &group, GroupTask &task, const TaskResult &result, bool newest,
                                    Context &context)
{
    switch (result.outcome_) {
    case Outcome::Done:
    case Outcome::Failed:
    case Outcome::Cancelled:
        finishTask(group, task, result, context);
        return;
    case Outcome::Pending:
    case Outcome::Running:
        // The second candidate sends the outcome later; the queries go on in case that answer is lost.
        removeDeadline(group, task);
        task.waitsForSecondCandidate_ = false;
        task.mayHaveRun_ = true;
        setStage(group, task, TaskStage::AtSecondCandidate);
        scheduleQuery(group, task, context.now_ + detail::ForwardedQueryInterval);
        return;
    case Outcome::NotRun:
        if (newest && result.error_ != ErrorKind::NotHolder) {
            resumeLocally(group, task, context);
        } else if (newest && task.stage_ == TaskStage::Checking) {
            scheduleQuery(group, task, context.now_ + detail::CandidateQueryInterval);
        }
        return;
    case Outcome::Unknown:
        if (!newest) {
            return;
        }
        if (result.error_ == ErrorKind::UnknownJob) {
            // The second candidate does not have the task now, but may have run it earlier.
            task.mayHaveRun_ = true;
            resumeLocally(group, task, context);
        } else if (task.forwardedToSecond_) {
            finishTask(group, task, result, context);
        } else {
            scheduleQuery(group, task, context.now_ + detail::CandidateQueryInterval);
        }
        return;
    }
}

void onForwardedAnswer(Group &group, const DaemonId &from, const TaskAnswer &message, Context &context)
{
    (void)from;
    beginEvent(group, context);
    for (const TaskResult &result : message.results_) {
        GroupTask *task = findTask(group, {message.job_, result.index_});
        if (task == nullptr || message.group_ != task->secondCandidate_) {
            continue;
        }
        if (task->stage_ != TaskStage::AtSecondCandidate && !task->waitsForSecondCandidate_) {
            continue;
        }
        onSecondCandidateAnswer(group, *task, result, message.replyTo_.call_ == task->secondCandidateCall_, context);
    }
    finishEvent(group, context);
}

void onGroupPeerDown(Group &group, const DaemonId &peer, Context &context)
{
    beginEvent(group, context);
    std::vector<GroupTask *> toRequery;
    for (const TaskTime &entry : group.candidateQueries_) {
        GroupTask *task = std::get<2>(entry);
        if (task->secondCandidateHolder_ == peer) {
            toRequery.push_back(task);
        }
    }
    for (GroupTask *task : toRequery) {
        scheduleQuery(group, *task, context.now_ + detail::CandidateQueryInterval);
    }
    finishEvent(group, context);
}

} // namespace mimosapier
