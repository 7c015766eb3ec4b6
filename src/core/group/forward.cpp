// The second candidate group: questions before a repeated request starts, and forwarding when the wait is shorter
// there.
#include "core/group/group_internal.h"

#include "core/common/shard_func.h"

#include <algorithm>

namespace mimosapier
{

// Rereads the groups of the region when the directory may have changed.
static void refreshCandidates(Group &group, Context &context)
{
    constexpr Milliseconds Interval{1000};
    if (!group.candidates_.empty() && context.now_ - group.candidatesRead_ < Interval) {
        return;
    }
    group.candidatesRead_ = context.now_;
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

static void scheduleAsk(Group &group, GroupTask &task, TimePoint time)
{
    group.checking_.erase({task.nextAsk_, task.sequence_, &task});
    task.nextAsk_ = time;
    group.checking_.insert({time, task.sequence_, &task});
}

static Milliseconds remainingTime(const GroupTask &task, TimePoint now)
{
    if (task.deadline_ == TimePoint::max()) {
        return Milliseconds(0);
    }
    return std::max(Milliseconds(1), std::chrono::duration_cast<Milliseconds>(task.deadline_ - now));
}

static bool sendToSecond(Group &group, GroupTask &task, bool lookupOnly, Context &context)
{
    const ShardEntry *entry = findGroup(context.directory_, task.second_);
    if (entry == nullptr || entry->holder_.empty() || !entry->reachable_ || task.job_ == nullptr) {
        return false;
    }
    task.peerCall_ = CallId{context.actions_.nextId()};
    TaskOffer offer;
    offer.replyTo_ = {ReplyPart::Group, group.id_, task.peerCall_};
    offer.group_ = task.second_;
    offer.job_ = *task.job_;
    offer.firstIndex_ = task.id_.index_;
    offer.count_ = 1;
    offer.attempt_ = task.attempt_;
    offer.remaining_ = remainingTime(task, context.now_);
    offer.lookupOnly_ = lookupOnly;
    offer.forwarded_ = true;
    task.secondHolder_ = entry->holder_;
    sendPeer(context, entry->holder_, std::move(offer));
    return true;
}

void checkWithSecond(Group &group, GroupTask &task, Context &context)
{
    const bool sent = sendToSecond(group, task, true, context);
    const Milliseconds wait
        = sent && task.stage_ == TaskStage::Elsewhere ? detail::ForwardedCheck : detail::SecondRetry;
    scheduleAsk(group, task, context.now_ + wait);
}

void askAgain(Group &group, Context &context)
{
    while (!group.checking_.empty() && std::get<0>(*group.checking_.begin()) <= context.now_) {
        checkWithSecond(group, *std::get<2>(*group.checking_.begin()), context);
    }
}

bool forwardIfBetter(Group &group, GroupTask &task, Context &context)
{
    if (task.mode_ != WorkMode::Interactive || !task.idempotent_ || task.forwarded_ || task.forwardRefused_
        || task.gang_ != nullptr) {
        return false;
    }
    const Milliseconds own = waitEstimate(group, task.priority_, context.now_);
    if (own <= detail::ForwardMargin || !isFirstCandidate(group, task.id_.job_, task.second_, context)) {
        return false;
    }
    const ShardEntry *entry = findGroup(context.directory_, task.second_);
    if (entry == nullptr || entry->load_.capacitySlots_ == 0) {
        return false;
    }
    const Milliseconds other(entry->load_.waitMs_);
    if (own <= other * 2 + detail::ForwardMargin || !sendToSecond(group, task, false, context)) {
        return false;
    }
    setStage(group, task, TaskStage::Elsewhere);
    task.sentElsewhere_ = true;
    ++group.forwards_;
    listDeadline(group, task);
    scheduleAsk(group, task, context.now_ + detail::ForwardedCheck);
    return true;
}

// The second candidate has refused the task or does not have it.
static void comeBack(Group &group, GroupTask &task, Context &context)
{
    group.checking_.erase({task.nextAsk_, task.sequence_, &task});
    task.waitsForSecond_ = false;
    task.forwardRefused_ = true;
    setStage(group, task, TaskStage::Checking);
    if (!task.waitsForWorkers_) {
        onChecked(group, task, context);
    }
}

static void onSecondAnswer(Group &group, GroupTask &task, const TaskResult &result, bool newest, Context &context)
{
    switch (result.outcome_) {
    case Outcome::Done:
    case Outcome::Failed:
    case Outcome::Cancelled:
        finishTask(group, task, result, context);
        return;
    case Outcome::Pending:
    case Outcome::Running:
        // Its outcome follows; asked again now and then in case the answer is lost.
        unlistDeadline(group, task);
        task.waitsForSecond_ = false;
        task.mayHaveRun_ = true;
        setStage(group, task, TaskStage::Elsewhere);
        scheduleAsk(group, task, context.now_ + detail::ForwardedCheck);
        return;
    case Outcome::NotRun:
        if (newest && result.error_ != ErrorKind::NotHolder) {
            comeBack(group, task, context);
        } else if (newest && task.stage_ == TaskStage::Checking) {
            scheduleAsk(group, task, context.now_ + detail::SecondRetry);
        }
        return;
    case Outcome::Unknown:
        if (!newest) {
            return;
        }
        if (result.error_ == ErrorKind::UnknownJob) {
            // Not there now; whether it ran there earlier is not known.
            task.mayHaveRun_ = true;
            comeBack(group, task, context);
        } else if (task.sentElsewhere_) {
            finishTask(group, task, result, context);
        } else {
            scheduleAsk(group, task, context.now_ + detail::SecondRetry);
        }
        return;
    }
}

void onForwardedAnswer(Group &group, const DaemonId &from, const TaskAnswer &message, Context &context)
{
    (void)from;
    beginStep(group, context);
    for (const TaskResult &result : message.results_) {
        GroupTask *task = findTask(group, {message.job_, result.index_});
        if (task == nullptr || message.group_ != task->second_) {
            continue;
        }
        if (task->stage_ != TaskStage::Elsewhere && !task->waitsForSecond_) {
            continue;
        }
        onSecondAnswer(group, *task, result, message.replyTo_.call_ == task->peerCall_, context);
    }
    finishStep(group, context);
}

void onGroupPeerDown(Group &group, const DaemonId &peer, Context &context)
{
    beginStep(group, context);
    std::vector<GroupTask *> asked;
    for (const TaskTime &entry : group.checking_) {
        GroupTask *task = std::get<2>(entry);
        if (task->secondHolder_ == peer) {
            asked.push_back(task);
        }
    }
    for (GroupTask *task : asked) {
        scheduleAsk(group, *task, context.now_ + detail::SecondRetry);
    }
    finishStep(group, context);
}

} // namespace mimosapier
