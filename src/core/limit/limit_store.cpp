// Store calls of the allowances: one open call per key, backoff after errors, and a read after a lost answer.
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

// `wait`, lengthened by a random time of up to `wait`.
static Milliseconds jittered(Milliseconds wait, Context &context)
{
    return wait + Milliseconds(context.random_() % static_cast<std::uint64_t>(wait.count() + 1));
}

static void backOff(AllowanceKey &key, Context &context)
{
    key.backoff_ = std::clamp(key.backoff_ * 2, detail::AllowanceMinBackoff, detail::AllowanceMaxBackoff);
    key.nextCallAt_ = context.now_ + jittered(key.backoff_, context);
}

static void startCall(AllowanceState &state, AllowanceKey &key, bool writing, StoreOp op, Context &context)
{
    key.openCallIsWrite_ = writing;
    key.callNumber_ = ++state.lastCallNumber_;
    key.callSentAt_ = context.now_;
    key.openCall_ = sendStore(context, StoreComponent::Limit, {}, std::move(op));
}

static void endCall(AllowanceKey &key)
{
    key.openCall_ = {};
    key.openCallIsWrite_ = false;
}

static void onLostAnswer(AllowanceKey &key, Context &context)
{
    if (key.openCallIsWrite_) {
        key.hasLostWrite_ = true;
        key.lostWriteRevision_ = key.revision_;
    }
    key.mustRead_ = true;
    endCall(key);
    backOff(key, context);
}

static bool isKeyInUse(const AllowanceState &state, std::uint32_t index)
{
    return std::any_of(state.groups_.begin(), state.groups_.end(), [index](const auto &group) {
        return std::any_of(group.second.teams_.begin(), group.second.teams_.end(), [index](const auto &team) {
            return team.second.usable_ > 0 && allowanceKeyIndex(team.first) == index;
        });
    });
}

// True when rows_ is too old: a group was gained since, an answer was lost, or the refresh interval has passed.
static bool needsRead(const AllowanceState &state, AllowanceKey &key, std::uint32_t index, Context &context)
{
    if (context.now_ >= key.nextRefreshAt_) {
        key.nextRefreshAt_ = context.now_ + detail::AllowanceRefreshInterval;
        key.mustRead_ = key.mustRead_ || isKeyInUse(state, index);
    }
    return key.mustRead_ || std::any_of(state.groups_.begin(), state.groups_.end(), [&](const auto &entry) {
               return !rowsAreCurrentFor(key, index, entry.second);
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

void startDueCall(AllowanceState &state, std::uint32_t index, Context &context)
{
    AllowanceKey &key = state.keys_.at(index);
    if (key.openCall_.value_ != 0) {
        if (context.now_ - key.callSentAt_ < detail::AllowanceCallTimeout) {
            return;
        }
        onLostAnswer(key, context);
    }
    if (state.groups_.empty() || context.now_ < key.nextCallAt_) {
        return;
    }
    if (needsRead(state, key, index, context)) {
        key.lastReadAt_ = context.now_;
        startCall(state, key, false, StoreGet{keyName(index)}, context);
        return;
    }
    if (!key.dirty_ || context.now_ - key.lastWriteAt_ < detail::AllowanceMinWriteInterval) {
        return;
    }
    bool changed = false;
    std::vector<TeamId> unmet;
    std::map<TeamId, std::vector<AllowancePart>> rows = targetRows(state, index, context, changed, unmet);
    if (!unmet.empty() && !key.hasUnmetDemand_) {
        // The read follows after unmetReadInterval_, so that the holders have time to return allowance.
        askHolders(key, unmet, context);
        key.lastReadAt_ = context.now_;
    }
    key.hasUnmetDemand_ = !unmet.empty();
    // Usable amounts may rise only when the revision differs from the one the lost write expects, so write even
    // unchanged rows.
    if (changed || key.hasLostWrite_) {
        key.lastWriteAt_ = context.now_;
        std::string value = encodeAllowances(rows);
        key.rowsInWrite_ = std::move(rows);
        startCall(state, key, true, StoreCas{keyName(index), std::move(value), key.revision_, {}}, context);
        return;
    }
    if (!unmet.empty() && context.now_ - key.lastReadAt_ >= key.unmetReadInterval_) {
        key.unmetReadInterval_ = std::min(key.unmetReadInterval_ * 2, detail::AllowanceMaxUnmetReadInterval);
        key.lastReadAt_ = context.now_ + jittered(Milliseconds(100), context);
        askHolders(key, unmet, context);
        startCall(state, key, false, StoreGet{keyName(index)}, context);
        return;
    }
    if (unmet.empty()) {
        key.dirty_ = false;
        key.unmetReadInterval_ = detail::AllowanceUnmetReadInterval;
    }
}

// Replaces rows_ by the value in the result of a read or of a write that failed with a conflict.
static void applyEntry(AllowanceKey &key, const StoreResult &result, Context &context)
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
    key.rowsCallNumber_ = key.callNumber_;
    key.mustRead_ = false;
    key.nextRefreshAt_ = context.now_ + jittered(detail::AllowanceRefreshInterval, context);
    if (key.hasLostWrite_ && revision != key.lostWriteRevision_) {
        key.hasLostWrite_ = false;
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
    applyEntry(key, result, context);
}

static void onWriteResult(AllowanceKey &key, const StoreResult &result, Context &context)
{
    switch (result.status_) {
    case StoreStatus::Ok:
        endCall(key);
        key.rows_ = std::move(key.rowsInWrite_);
        key.revision_ = result.revision_;
        key.rowsCallNumber_ = key.callNumber_;
        key.hasLostWrite_ = false;
        key.backoff_ = Milliseconds(0);
        key.dirty_ = true;
        return;
    case StoreStatus::Conflict:
    case StoreStatus::NotFound:
        endCall(key);
        applyEntry(key, result, context);
        key.lastWriteAt_ = {};
        // The result contains the current value, so the first retry need not wait. Later ones back off with jitter.
        if (key.backoff_ == Milliseconds(0)) {
            key.backoff_ = detail::AllowanceMinBackoff;
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
    for (std::uint32_t index = 0; index < detail::AllowanceKeyCount; ++index) {
        AllowanceKey &key = state.keys_.at(index);
        if (key.openCall_.value_ == 0 || key.openCall_ != result.id_) {
            continue;
        }
        if (key.openCallIsWrite_) {
            onWriteResult(key, result, context);
        } else {
            onReadResult(key, result, context);
        }
        updateUsable(state, index, context);
        startDueCall(state, index, context);
        return;
    }
}

} // namespace mimosapier
