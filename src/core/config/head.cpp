// Follows config/head. The relay of a region watches the key and pushes new heads to the daemons of the region; they
// read the key themselves only when the relay fails. One watch per region keeps the load on the store low.
#include "core/config/config_internal.h"

#include "core/message/pack_func.h"

#include <algorithm>

namespace mimosapier
{

// `value` is the encoded head record.
static void pushHead(const ConfigState &state, const std::string &value, Context &context)
{
    for (const DaemonId &daemon : state.ownRegion_) {
        if (daemon != context.self_) {
            sendPeer(context, daemon, ConfigPush{state.head_.version_, value});
        }
    }
}

std::optional<BundleVersion> applyHead(ConfigState &state, const std::string &value, Revision revision,
                                       Context &context)
{
    HeadRecord record;
    if (!unpackFromString(value, record)) {
        logLine(context, LogLevel::Error, "[config] Cannot decode the record of the configuration head.");
        return std::nullopt;
    }
    state.headRevision_ = std::max(state.headRevision_, revision);
    if (record.version_ <= state.head_.version_) {
        return record.version_;
    }
    Bundle bundle;
    std::vector<BundleProblem> problems;
    if (record.digest_ != sha256Hex(record.text_) || parseBundle(record.text_, bundle, problems)) {
        logLine(context, LogLevel::Error,
                "[config] Version " + std::to_string(record.version_.value_)
                    + " was rejected: its digest or its text is not valid.");
        return std::nullopt;
    }
    bundle.version_ = record.version_;
    state.bundle_ = std::move(bundle);
    state.head_ = std::move(record);
    state.heardVersion_ = std::max(state.heardVersion_, state.head_.version_);
    eraseAppliedAnnouncements(state);
    logLine(context, LogLevel::Info,
            "[config] Version " + std::to_string(state.head_.version_.value_) + " is in force.");
    if (state.relay_) {
        pushHead(state, value, context);
    }
    return state.head_.version_;
}

static void sendHeadOp(ConfigState &state, StoreOp op, Milliseconds timeout, Context &context)
{
    state.headOp_ = sendStore(context, StoreComponent::Config, {}, std::move(op));
    state.headOpSentAt_ = context.now_;
    state.headOpGiveUpAt_ = context.now_ + timeout;
}

// Whether a daemon that is no relay must read the head: it has never seen the head, a reported higher version was not
// pushed in time, or no recent knowledge of the head has come from the relay or other peers.
static bool isHeadReadDue(const ConfigState &state, const Context &context)
{
    if (!state.headKnown_) {
        return true;
    }
    if (state.heardVersion_ > state.head_.version_ && context.now_ - state.heardVersionAt_ >= PushTimeout) {
        return true;
    }
    const bool ownKnowledgeOld = context.now_ - state.headKnownAt_ >= MaxHeadAge;
    return ownKnowledgeOld && state.peerHeadAge_ >= MaxHeadAge;
}

void tickHead(ConfigState &state, Context &context)
{
    if (state.headOp_.value_ != 0 && context.now_ >= state.headOpGiveUpAt_) {
        StoreResult timedOut;
        timedOut.id_ = state.headOp_;
        onHeadResult(state, timedOut, context);
    }
    if (state.headOp_.value_ != 0 || context.now_ < state.nextHeadOpAt_) {
        return;
    }
    if (state.relay_ && state.watchAfter_.value_ != 0) {
        sendHeadOp(state, StoreWatch{std::string(HeadKey), state.watchAfter_, HeadWatchWait},
                   HeadWatchWait + HeadWatchWait, context);
    } else if (state.relay_ || isHeadReadDue(state, context)) {
        // A list, because its result has the revision of the whole store, from which a watch can start.
        sendHeadOp(state, StoreList{std::string(HeadKey)}, ConfigOpTimeout, context);
    }
}

bool onHeadResult(ConfigState &state, const StoreResult &result, Context &context)
{
    if (result.id_ != state.headOp_) {
        return false;
    }
    state.headOp_ = {};
    if (result.status_ != StoreStatus::Ok && result.status_ != StoreStatus::Unchanged) {
        state.lastHeadOpSucceeded_ = false;
        // Random delay, because all daemons of a region notice the failure of their relay at the same time.
        state.nextHeadOpAt_ = context.now_ + HeadRetryDelay + Milliseconds(context.random_() % HeadRetryDelay.count());
        return true;
    }
    state.lastHeadOpSucceeded_ = true;
    state.nextHeadOpAt_ = context.now_ + MinHeadInterval;
    state.watchAfter_ = state.relay_ ? result.revision_ : Revision{};
    const auto entry = std::find_if(result.entries_.begin(), result.entries_.end(),
                                    [](const StoreEntry &candidate) { return candidate.key_ == HeadKey; });
    BundleVersion shown; // version of the head by this result; 0: there is no head yet
    if (result.status_ == StoreStatus::Unchanged) {
        shown = state.watchedVersion_;
    } else if (entry != result.entries_.end()) {
        const auto version = applyHead(state, entry->value_, entry->revision_, context);
        if (!version) {
            state.nextHeadOpAt_ = context.now_ + HeadRetryDelay;
            return true;
        }
        shown = *version;
    }
    state.watchedVersion_ = shown;
    // A result with an older head than the one in force is outdated and does not show what the head is now.
    const bool current = shown == state.head_.version_;
    if (current) {
        state.headKnown_ = true;
        state.headKnownAt_ = std::max(state.headKnownAt_, state.headOpSentAt_);
    }
    return true;
}

void onConfigPush(ConfigState &state, const DaemonId &from, const ConfigPush &message, Context &context)
{
    if (message.version_ > state.head_.version_ && !applyHead(state, message.record_, {}, context)) {
        logLine(context, LogLevel::Warning, "[config] A push of " + from.value_ + " was not applied.");
    }
}

void onHeadHeard(ConfigState &state, BundleVersion version, Context &context)
{
    if (version > state.heardVersion_) {
        state.heardVersion_ = version;
        state.heardVersionAt_ = context.now_;
    }
}

void setRelay(ConfigState &state, bool relay)
{
    if (relay != state.relay_) {
        state.relay_ = relay;
        state.watchAfter_ = {};
    }
}

} // namespace mimosapier
