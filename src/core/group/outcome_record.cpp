// Outcomes of tasks that have ended here, so that delayed copies of an offer do not run again.
#include "core/group/group_internal.h"

namespace mimosapier
{

void recordOutcome(Group &group, const TaskId &id, OutcomeRecord entry, Context &context)
{
    entry.expiresAt_ = context.now_ + detail::OutcomeRetention;
    group.outcomeExpiries_.emplace_back(entry.expiresAt_, id);
    group.outcomeRecords_[id] = std::move(entry);
    if (group.outcomeExpiries_.size() > detail::OutcomeRecordsMax) {
        const auto &[expiresAt, oldest] = group.outcomeExpiries_.front();
        const auto found = group.outcomeRecords_.find(oldest);
        if (found != group.outcomeRecords_.end() && found->second.expiresAt_ == expiresAt) {
            group.outcomeRecords_.erase(found);
        }
        group.outcomeExpiries_.pop_front();
        group.lastEviction_ = context.now_;
    }
}

void recordTaskOutcome(Group &group, const GroupTask &task, const TaskResult &result, Context &context)
{
    OutcomeRecord entry;
    entry.kind_ = result.outcome_ == Outcome::NotRun ? OutcomeKind::NotRun : OutcomeKind::MayHaveRun;
    if (result.outcome_ == Outcome::Cancelled && result.worker_.empty()) {
        entry.kind_ = OutcomeKind::Cancelled;
    }
    entry.result_ = result;
    entry.attempt_ = task.attempt_;
    entry.call_ = task.call_;
    entry.offeredBy_ = task.offeredBy_;
    recordOutcome(group, task.id_, std::move(entry), context);
}

const OutcomeRecord *findOutcome(const Group &group, const TaskId &id, TimePoint now)
{
    const auto found = group.outcomeRecords_.find(id);
    return found == group.outcomeRecords_.end() || found->second.expiresAt_ <= now ? nullptr : &found->second;
}

void expireOutcomes(Group &group, TimePoint now)
{
    while (!group.outcomeExpiries_.empty() && group.outcomeExpiries_.front().first <= now) {
        const auto found = group.outcomeRecords_.find(group.outcomeExpiries_.front().second);
        if (found != group.outcomeRecords_.end() && found->second.expiresAt_ <= now) {
            group.outcomeRecords_.erase(found);
        }
        group.outcomeExpiries_.pop_front();
    }
}

bool outcomesAreComplete(const Group &group, TimePoint now)
{
    // The first holder of a group has no predecessor whose tasks it could have missed.
    const bool coversRetention = group.epoch_.value_ <= 1 || now - group.openedAt_ >= detail::OutcomeRetention;
    const bool evictedRecently
        = group.lastEviction_ != TimePoint{} && now - group.lastEviction_ < detail::OutcomeRetention;
    return coversRetention && !evictedRecently && group.unacknowledgedWorkers_ == 0;
}

} // namespace mimosapier
