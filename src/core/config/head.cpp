// Following config/head: by one watch at the relay of the region, by pushes and single reads elsewhere.
#include "core/config/config_internal.h"

#include "core/message/pack_func.h"

#include <algorithm>

namespace mimosapier
{

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
        logLine(context, LogLevel::Error, "[config] The head of the configuration cannot be decoded.");
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
                "[config] Version " + std::to_string(record.version_.value_) + " is not valid and is not applied.");
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
    state.headOp_ = sendStore(context, StorePart::Config, {}, std::move(op));
    state.headOpSentAt_ = context.now_;
    state.headOpGiveUpAt_ = context.now_ + timeout;
}

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
        StoreResult late;
        late.id_ = state.headOp_;
        onHeadResult(state, late, context);
    }
    if (state.headOp_.value_ != 0 || context.now_ < state.nextHeadOpAt_) {
        return;
    }
    if (state.relay_ && state.watchAfter_.value_ != 0) {
        sendHeadOp(state, StoreWatch{std::string(HeadKey), state.watchAfter_, HeadWatchWait},
                   HeadWatchWait + HeadWatchWait, context);
    } else if (state.relay_ || isHeadReadDue(state, context)) {
        // The answer to a list names the revision of the store from which to watch.
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
        // Spread over the daemons, which all miss the relay at the same time.
        state.nextHeadOpAt_ = context.now_ + HeadRetryDelay + Milliseconds(context.random_() % HeadRetryDelay.count());
        return true;
    }
    state.lastHeadOpSucceeded_ = true;
    state.nextHeadOpAt_ = context.now_ + MinHeadInterval;
    state.watchAfter_ = state.relay_ ? result.revision_ : Revision{};
    const auto entry = std::find_if(result.entries_.begin(), result.entries_.end(),
                                    [](const StoreEntry &candidate) { return candidate.key_ == HeadKey; });
    BundleVersion shown; // 0: there is no head yet
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
    // An answer that shows an older head than the one in force says nothing about the present head.
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
