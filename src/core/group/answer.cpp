// Who waits for which task, and the answers.
#include "core/group/group_internal.h"

#include <algorithm>

namespace mimosapier
{

bool needsJournal(const GroupTask &task)
{
    return task.mode_ != WorkMode::Interactive || !task.idempotent_;
}

std::uint64_t addAsker(Group &group, const DaemonId &from, const TaskOffer &offer)
{
    const std::uint64_t id = ++group.lastAsker_;
    GroupAsker &asker = group.askers_[id];
    asker.replyTo_ = offer.replyTo_;
    asker.from_ = from;
    asker.job_ = offer.job_.id_;
    asker.awaited_ = offer.count_;
    return id;
}

static void touch(Group &group, std::uint64_t id, GroupAsker &asker)
{
    if (!asker.touched_) {
        asker.touched_ = true;
        group.touchedAskers_.push_back(id);
    }
}

void attachAsker(Group &group, GroupTask &task, std::uint64_t id)
{
    const GroupAsker &added = group.askers_.at(id);
    const ReplyTo &replyTo = added.replyTo_;
    if (replyTo.part_ == ReplyPart::Group) {
        // A candidate that asks again wants one answer, to its newest question.
        std::erase_if(task.askers_, [&](std::uint64_t other) {
            const auto found = group.askers_.find(other);
            if (found == group.askers_.end() || found->second.replyTo_.part_ != ReplyPart::Group
                || found->second.replyTo_.shard_ != replyTo.shard_ || found->second.awaited_ != 1) {
                return false;
            }
            found->second.awaited_ = 0;
            touch(group, other, found->second);
            return true;
        });
    }
    if (replyTo.part_ == ReplyPart::Home) {
        std::erase_if(task.homes_, [&](const ReplyTo &home) { return home.shard_ == replyTo.shard_; });
        task.homes_.push_back(replyTo);
    }
    task.askers_.push_back(id);
}

void answerAsker(Group &group, std::uint64_t id, const TaskResult &result)
{
    const auto found = group.askers_.find(id);
    if (found == group.askers_.end()) {
        return;
    }
    GroupAsker &asker = found->second;
    asker.results_.push_back(result);
    if (isFinal(result.outcome_) && asker.awaited_ > 0) {
        --asker.awaited_;
    }
    touch(group, id, asker);
}

// Daemon that gets answers for `replyTo`; empty when it is not known.
static DaemonId receiver(const ReplyTo &replyTo, const DaemonId &from, Context &context)
{
    if (replyTo.part_ == ReplyPart::Entry) {
        return from;
    }
    const ShardEntry *entry = replyTo.part_ == ReplyPart::Home ? findPartition(context.directory_, replyTo.shard_)
                                                               : findGroup(context.directory_, replyTo.shard_);
    return entry == nullptr || entry->holder_.empty() ? from : entry->holder_;
}

void flushAnswers(Group &group, Context &context)
{
    for (std::size_t i = 0; i < group.touchedAskers_.size(); ++i) {
        const auto found = group.askers_.find(group.touchedAskers_[i]);
        if (found == group.askers_.end()) {
            continue;
        }
        GroupAsker &asker = found->second;
        asker.touched_ = false;
        // An entry gets one complete answer; homes and groups take results as they come.
        const bool due = asker.awaited_ == 0 || asker.replyTo_.part_ != ReplyPart::Entry;
        if (due && !asker.results_.empty()) {
            TaskAnswer answer{asker.replyTo_, group.id_, asker.job_, std::move(asker.results_)};
            asker.results_.clear();
            sendPeer(context, receiver(asker.replyTo_, asker.from_, context), std::move(answer));
        }
        if (asker.awaited_ == 0) {
            group.askers_.erase(found);
        }
    }
    group.touchedAskers_.clear();
}

void eraseTask(Group &group, GroupTask &task)
{
    dequeue(group, task);
    unlistDeadline(group, task);
    unlistPreemptible(group, task);
    group.checking_.erase({task.nextAsk_, task.sequence_, &task});
    group.repeats_.erase({task.nextRepeat_, task.sequence_, &task});
    if (task.waitsForWorkers_) {
        task.waitsForWorkers_ = false;
        --group.waitingForWorkers_;
    }
    leaveGang(group, task);
    group.tasks_.erase(TaskId(task.id_));
}

void finishTask(Group &group, GroupTask &task, TaskResult result, Context &context)
{
    result.index_ = task.id_.index_;
    dequeue(group, task);
    unlistDeadline(group, task);
    unlistPreemptible(group, task);
    for (const std::uint64_t asker : task.askers_) {
        answerAsker(group, asker, result);
    }
    task.askers_.clear();
    noteDemand(group, *task.team_);
    if (task.worker_ != NoWorker && needsJournal(task)) {
        leaveGang(group, task);
        setStage(group, task, TaskStage::Finished);
        task.result_ = std::move(result);
        group.workers_[task.worker_]->finished_.push_back(task.id_);
        task.nextRepeat_ = context.now_ + detail::HomeRepeat;
        group.repeats_.insert({task.nextRepeat_, task.sequence_, &task});
        return;
    }
    if (task.worker_ != NoWorker) {
        acknowledge(group, task.worker_, task.id_);
    }
    rememberTask(group, task, result, context);
    eraseTask(group, task);
}

void refuseTask(Group &group, GroupTask &task, ErrorKind error, Context &context)
{
    TaskResult result;
    // With NotHolder the asker turns to the next holder, which does the checks again.
    const bool certain = !task.mayHaveRun_ || error == ErrorKind::NotHolder;
    result.outcome_ = certain ? Outcome::NotRun : Outcome::Unknown;
    result.error_ = error;
    task.worker_ = NoWorker;
    finishTask(group, task, std::move(result), context);
}

void repeatResults(Group &group, Context &context)
{
    while (!group.repeats_.empty() && std::get<0>(*group.repeats_.begin()) <= context.now_) {
        GroupTask &task = *std::get<2>(*group.repeats_.begin());
        group.repeats_.erase(group.repeats_.begin());
        task.nextRepeat_ = context.now_ + detail::HomeRepeat;
        group.repeats_.insert({task.nextRepeat_, task.sequence_, &task});
        for (const ReplyTo &home : task.homes_) {
            TaskAnswer answer{home, group.id_, task.id_.job_, {task.result_}};
            sendPeer(context, receiver(home, task.offeredBy_, context), std::move(answer));
        }
    }
}

} // namespace mimosapier
