// Outcomes of tasks that the group has dealt with, so that late copies of an offer do not run again.
#include "core/group/group_internal.h"

namespace mimosapier
{

void remember(Group &group, const TaskId &id, Remembered entry, Context &context)
{
    entry.until_ = context.now_ + detail::RememberTime;
    group.memoryOrder_.emplace_back(entry.until_, id);
    group.memory_[id] = std::move(entry);
    if (group.memoryOrder_.size() > detail::RememberMax) {
        const auto &[until, oldest] = group.memoryOrder_.front();
        const auto found = group.memory_.find(oldest);
        if (found != group.memory_.end() && found->second.until_ == until) {
            group.memory_.erase(found);
        }
        group.memoryOrder_.pop_front();
        group.forgotAt_ = context.now_;
    }
}

void rememberTask(Group &group, const GroupTask &task, const TaskResult &result, Context &context)
{
    Remembered entry;
    entry.kind_ = result.outcome_ == Outcome::NotRun ? MemoryKind::Refused : MemoryKind::Final;
    if (result.outcome_ == Outcome::Cancelled && result.worker_.empty()) {
        entry.kind_ = MemoryKind::Cancelled;
    }
    entry.result_ = result;
    entry.attempt_ = task.attempt_;
    entry.call_ = task.call_;
    entry.offeredBy_ = task.offeredBy_;
    remember(group, task.id_, std::move(entry), context);
}

const Remembered *recall(const Group &group, const TaskId &id, TimePoint now)
{
    const auto found = group.memory_.find(id);
    return found == group.memory_.end() || found->second.until_ <= now ? nullptr : &found->second;
}

void forgetOld(Group &group, TimePoint now)
{
    while (!group.memoryOrder_.empty() && group.memoryOrder_.front().first <= now) {
        const auto found = group.memory_.find(group.memoryOrder_.front().second);
        if (found != group.memory_.end() && found->second.until_ <= now) {
            group.memory_.erase(found);
        }
        group.memoryOrder_.pop_front();
    }
}

bool memoryIsComplete(const Group &group, TimePoint now)
{
    // The first holder of a group has no predecessor whose work it could have missed.
    const bool sawAll = group.epoch_.value_ <= 1 || now - group.openedAt_ >= detail::RememberTime;
    const bool forgot = group.forgotAt_ != TimePoint{} && now - group.forgotAt_ < detail::RememberTime;
    return sawAll && !forgot && group.unacknowledged_ == 0;
}

} // namespace mimosapier
