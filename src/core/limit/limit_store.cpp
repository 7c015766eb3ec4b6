// Store calls of the allowances: one open call per key, and a read after each error or lost answer.
#include "core/limit/limit_internal.h"

#include <algorithm>
#include <set>
#include <span>

namespace mimosapier
{

static std::string keyName(std::uint32_t index)
{
    return "allowance/" + std::to_string(index);
}

static Milliseconds jittered(Milliseconds wait, Context &context)
{
    return wait + Milliseconds(context.random_() % static_cast<std::uint64_t>(wait.count() + 1));
}

static void backOff(AllowanceKey &key, Context &context)
{
    key.backoff_ = std::clamp(key.backoff_ * 2, detail::AllowanceRetryMin, detail::AllowanceRetryMax);
    key.notBefore_ = context.now_ + jittered(key.backoff_, context);
}

static void startCall(AllowanceState &state, AllowanceKey &key, bool writing, StoreOp op, Context &context)
{
    key.writing_ = writing;
    key.callNumber_ = ++state.lastNumber_;
    key.callSent_ = context.now_;
    key.call_ = sendStore(context, StorePart::Limit, {}, std::move(op));
}

static void endCall(AllowanceKey &key)
{
    key.call_ = {};
    key.writing_ = false;
}

static void onLostAnswer(AllowanceKey &key, Context &context)
{
    if (key.writing_) {
        key.lostWrite_ = true;
        key.lostExpected_ = key.revision_;
    }
    key.mustRead_ = true;
    endCall(key);
    backOff(key, context);
}

static bool isUsed(const AllowanceState &state, std::uint32_t index)
{
    return std::any_of(state.groups_.begin(), state.groups_.end(), [index](const auto &group) {
        return std::any_of(group.second.teams_.begin(), group.second.teams_.end(), [index](const auto &team) {
            return team.second.usable_ > 0 && allowanceKeyOf(team.first) == index;
        });
    });
}

// True when rows_ is too old: a group was gained since, an answer was lost, or the refresh interval has passed.
static bool needsRead(const AllowanceState &state, AllowanceKey &key, std::uint32_t index, Context &context)
{
    if (context.now_ >= key.nextRefresh_) {
        key.nextRefresh_ = context.now_ + detail::AllowanceRefresh;
        key.mustRead_ = key.mustRead_ || isUsed(state, index);
    }
    return key.mustRead_ || std::any_of(state.groups_.begin(), state.groups_.end(), [&](const auto &entry) {
               return !isOpen(key, index, entry.second);
           });
}

// Asks the reachable holders of parts of the given teams to return the allowance that they do not use.
static void askHolders(const AllowanceKey &key, std::span<const TeamId> teams, Context &context)
{
    for (const TeamId &team : teams) {
        const auto row = key.rows_.find(team);
        if (row == key.rows_.end()) {
            continue;
        }
        std::set<DaemonId> asked;
        for (const AllowancePart &part : row->second) {
            const ShardEntry *entry = findGroup(context.directory_, part.group_);
            if (entry != nullptr && entry->reachable_ && asked.insert(entry->holder_).second) {
                sendPeer(context, entry->holder_, AllowanceWanted{team});
            }
        }
    }
}

void advanceKey(AllowanceState &state, std::uint32_t index, Context &context)
{
    AllowanceKey &key = state.keys_.at(index);
    if (key.call_.value_ != 0) {
        if (context.now_ - key.callSent_ < detail::AllowanceCallTimeout) {
            return;
        }
        onLostAnswer(key, context);
    }
    if (state.groups_.empty() || context.now_ < key.notBefore_) {
        return;
    }
    if (needsRead(state, key, index, context)) {
        key.lastRead_ = context.now_;
        startCall(state, key, false, StoreGet{keyName(index)}, context);
        return;
    }
    if (!key.dirty_ || context.now_ - key.lastWrite_ < detail::AllowanceWriteGap) {
        return;
    }
    bool changed = false;
    std::vector<TeamId> unmet;
    std::map<TeamId, std::vector<AllowancePart>> rows = targetRows(state, index, context, changed, unmet);
    if (!unmet.empty() && !key.unmet_) {
        // The read follows after unmetWait_, so that the holders have time to return allowance.
        askHolders(key, unmet, context);
        key.lastRead_ = context.now_;
    }
    key.unmet_ = !unmet.empty();
    // Usable amounts may rise only when the revision differs from the one the lost write expects, so write even
    // unchanged rows.
    if (changed || key.lostWrite_) {
        key.lastWrite_ = context.now_;
        std::string value = encodeAllowances(rows);
        key.written_ = std::move(rows);
        startCall(state, key, true, StoreCas{keyName(index), std::move(value), key.revision_, {}}, context);
        return;
    }
    if (!unmet.empty() && context.now_ - key.lastRead_ >= key.unmetWait_) {
        key.unmetWait_ = std::min(key.unmetWait_ * 2, detail::AllowanceUnmetReadMax);
        key.lastRead_ = context.now_ + jittered(Milliseconds(100), context);
        askHolders(key, unmet, context);
        startCall(state, key, false, StoreGet{keyName(index)}, context);
        return;
    }
    if (unmet.empty()) {
        key.dirty_ = false;
        key.unmetWait_ = detail::AllowanceUnmetRead;
    }
}

// Replaces rows_ by the value in the result of a read or of a write that failed with a conflict.
static void showEntry(AllowanceKey &key, const StoreResult &result, Context &context)
{
    std::map<TeamId, std::vector<AllowancePart>> rows;
    Revision revision;
    if (!result.entries_.empty()) {
        if (!decodeAllowances(result.entries_.front().value_, rows)) {
            logLine(context, LogLevel::Error,
                    "[limit] Cannot decode " + result.entries_.front().key_ + "; keeping the last known allowances.");
            key.mustRead_ = true;
            return;
        }
        revision = result.entries_.front().revision_;
    }
    key.rows_ = std::move(rows);
    key.revision_ = revision;
    key.shownRead_ = key.callNumber_;
    key.mustRead_ = false;
    key.nextRefresh_ = context.now_ + jittered(detail::AllowanceRefresh, context);
    if (key.lostWrite_ && revision != key.lostExpected_) {
        key.lostWrite_ = false;
    }
    key.dirty_ = true;
}

static void onReadResult(AllowanceKey &key, const StoreResult &result, Context &context)
{
    const bool answered = result.status_ == StoreStatus::Ok || result.status_ == StoreStatus::NotFound;
    endCall(key);
    if (!answered) {
        key.mustRead_ = true;
        backOff(key, context);
        return;
    }
    key.backoff_ = Milliseconds(0);
    showEntry(key, result, context);
}

static void onWriteResult(AllowanceKey &key, const StoreResult &result, Context &context)
{
    switch (result.status_) {
    case StoreStatus::Ok:
        endCall(key);
        key.rows_ = std::move(key.written_);
        key.revision_ = result.revision_;
        key.shownRead_ = key.callNumber_;
        key.lostWrite_ = false;
        key.backoff_ = Milliseconds(0);
        key.dirty_ = true;
        return;
    case StoreStatus::Conflict:
    case StoreStatus::NotFound:
        endCall(key);
        showEntry(key, result, context);
        key.lastWrite_ = {};
        // The result contains the current value, so the first retry need not wait. Later ones back off with jitter.
        if (key.backoff_ == Milliseconds(0)) {
            key.backoff_ = detail::AllowanceRetryMin;
        } else {
            backOff(key, context);
        }
        return;
    case StoreStatus::Unavailable:
        endCall(key);
        backOff(key, context);
        return;
    case StoreStatus::Unchanged: // results of watches only
    case StoreStatus::Unknown:
        onLostAnswer(key, context);
        return;
    }
}

void onLimitStoreResult(AllowanceState &state, const StoreResult &result, Context &context)
{
    for (std::uint32_t index = 0; index < detail::AllowanceKeys; ++index) {
        AllowanceKey &key = state.keys_.at(index);
        if (key.call_.value_ == 0 || key.call_ != result.id_) {
            continue;
        }
        if (key.writing_) {
            onWriteResult(key, result, context);
        } else {
            onReadResult(key, result, context);
        }
        applyUsable(state, index, context);
        advanceKey(state, index, context);
        return;
    }
}

} // namespace mimosapier
