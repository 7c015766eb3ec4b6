// Requesters of tasks, and the answers to them: ends tasks, keeps results for homes and resends them.
#include "core/group/group_internal.h"

#include <algorithm>

namespace mimosapier
{

bool needsJournal(const GroupTask &task)
{
    return task.mode_ != WorkMode::Interactive || !task.idempotent_;
}

std::uint64_t addRequester(Group &group, const DaemonId &from, const TaskOffer &offer)
{
    const std::uint64_t id = ++group.lastRequester_;
    GroupRequester &requester = group.requesters_[id];
    requester.replyTo_ = offer.replyTo_;
    requester.from_ = from;
    requester.job_ = offer.job_.id_;
    requester.openTasks_ = offer.count_;
    return id;
}

static void queueRequesterFlush(Group &group, std::uint64_t id, GroupRequester &requester)
{
    if (!requester.flushQueued_) {
        requester.flushQueued_ = true;
        group.requestersToFlush_.push_back(id);
    }
}

void attachRequester(Group &group, GroupTask &task, std::uint64_t id)
{
    const GroupRequester &added = group.requesters_.at(id);
    const ReplyTo &replyTo = added.replyTo_;
    if (replyTo.component_ == ReplyComponent::Group) {
        // A group that repeats its query gets one answer, to the newest query.
        std::erase_if(task.requesters_, [&](std::uint64_t other) {
            const auto found = group.requesters_.find(other);
            if (found == group.requesters_.end() || found->second.replyTo_.component_ != ReplyComponent::Group
                || found->second.replyTo_.shard_ != replyTo.shard_ || found->second.openTasks_ != 1) {
                return false;
            }
            found->second.openTasks_ = 0;
            queueRequesterFlush(group, other, found->second);
            return true;
        });
    }
    if (replyTo.component_ == ReplyComponent::Home) {
        std::erase_if(task.homes_, [&](const ReplyTo &home) { return home.shard_ == replyTo.shard_; });
        task.homes_.push_back(replyTo);
    }
    task.requesters_.push_back(id);
}

void answerRequester(Group &group, std::uint64_t id, const TaskResult &result)
{
    const auto found = group.requesters_.find(id);
    if (found == group.requesters_.end()) {
        return;
    }
    GroupRequester &requester = found->second;
    requester.results_.push_back(result);
    if (isFinal(result.outcome_) && requester.openTasks_ > 0) {
        --requester.openTasks_;
    }
    queueRequesterFlush(group, id, requester);
}

// Daemon that gets answers for `replyTo`: `from` for an entry, otherwise the holder of the shard, or `from` when the
// directory names none.
static DaemonId receiver(const ReplyTo &replyTo, const DaemonId &from, Context &context)
{
    if (replyTo.component_ == ReplyComponent::Entry) {
        return from;
    }
    const ShardEntry *entry = replyTo.component_ == ReplyComponent::Home
        ? findPartition(context.directory_, replyTo.shard_)
        : findGroup(context.directory_, replyTo.shard_);
    return entry == nullptr || entry->holder_.empty() ? from : entry->holder_;
}

void flushAnswers(Group &group, Context &context)
{
    for (std::size_t i = 0; i < group.requestersToFlush_.size(); ++i) {
        const auto found = group.requesters_.find(group.requestersToFlush_[i]);
        if (found == group.requesters_.end()) {
            continue;
        }
        GroupRequester &requester = found->second;
        requester.flushQueued_ = false;
        // An entry gets one complete answer; homes and groups get results as they arrive.
        const bool sendNow = requester.openTasks_ == 0 || requester.replyTo_.component_ != ReplyComponent::Entry;
        if (sendNow && !requester.results_.empty()) {
            TaskAnswer answer{requester.replyTo_, group.id_, requester.job_, std::move(requester.results_)};
            requester.results_.clear();
            sendPeer(context, receiver(requester.replyTo_, requester.from_, context), std::move(answer));
        }
        if (requester.openTasks_ == 0) {
            group.requesters_.erase(found);
        }
    }
    group.requestersToFlush_.clear();
}

void eraseTask(Group &group, GroupTask &task)
{
    dequeue(group, task);
    removeDeadline(group, task);
    removePreemptible(group, task);
    group.candidateQueries_.erase({task.nextQuery_, task.sequence_, &task});
    group.resends_.erase({task.nextResend_, task.sequence_, &task});
    if (task.waitsForWorkers_) {
        task.waitsForWorkers_ = false;
        --group.tasksWaitingForWorkers_;
    }
    removeFromGang(group, task);
    group.tasks_.erase(TaskId(task.id_));
}

void finishTask(Group &group, GroupTask &task, TaskResult result, Context &context)
{
    result.index_ = task.id_.index_;
    dequeue(group, task);
    removeDeadline(group, task);
    removePreemptible(group, task);
    for (const std::uint64_t requester : task.requesters_) {
        answerRequester(group, requester, result);
    }
    task.requesters_.clear();
    queueDemandReport(group, *task.team_);
    if (task.worker_ != NoWorker && needsJournal(task)) {
        removeFromGang(group, task);
        setStage(group, task, TaskStage::Finished);
        task.result_ = std::move(result);
        group.workers_[task.worker_]->finishedTasks_.push_back(task.id_);
        task.nextResend_ = context.now_ + detail::ResultResendInterval;
        group.resends_.insert({task.nextResend_, task.sequence_, &task});
        return;
    }
    if (task.worker_ != NoWorker) {
        queueAck(group, task.worker_, task.id_);
    }
    recordTaskOutcome(group, task, result, context);
    eraseTask(group, task);
}

void refuseTask(Group &group, GroupTask &task, ErrorKind error, Context &context)
{
    TaskResult result;
    // After NotHolder the requester turns to the next holder, which repeats the checks.
    const bool reportNotRun = !task.mayHaveRun_ || error == ErrorKind::NotHolder;
    result.outcome_ = reportNotRun ? Outcome::NotRun : Outcome::Unknown;
    result.error_ = error;
    task.worker_ = NoWorker;
    finishTask(group, task, std::move(result), context);
}

void resendResults(Group &group, Context &context)
{
    while (!group.resends_.empty() && std::get<0>(*group.resends_.begin()) <= context.now_) {
        GroupTask &task = *std::get<2>(*group.resends_.begin());
        group.resends_.erase(group.resends_.begin());
        task.nextResend_ = context.now_ + detail::ResultResendInterval;
        group.resends_.insert({task.nextResend_, task.sequence_, &task});
        for (const ReplyTo &home : task.homes_) {
            TaskAnswer answer{home, group.id_, task.id_.job_, {task.result_}};
            sendPeer(context, receiver(home, task.offeredBy_, context), std::move(answer));
        }
    }
}

} // namespace mimosapier
