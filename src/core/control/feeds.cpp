// Copies of store data that the daemon keeps current: the configuration and the evacuated zones, the cluster keys and,
// on the leader, the runners of the discovery list. Each feed is read once and then watched; it is read again when the
// store no longer has the history that the watch needs. finishBatch() starts the calls.
#include "core/control/control_internal.h"

#include <algorithm>
#include <utility>

namespace mimosapier::detail
{

// Longest wait of a watch of the configuration; an answer without changes proves that the configuration is the newest.
static constexpr Milliseconds ConfigWatchWait{1'000};
static constexpr Milliseconds ClusterWatchWait{2'000};
static constexpr Milliseconds RunnerWatchWait{2'000};
static constexpr std::string_view ConfigKey = "config";

namespace
{

// Constant properties of a feed.
struct FeedSpec
{
    Feed Control::*feed_;
    KvSpace space_;
    std::string_view prefix_;
    KvPurpose readPurpose_;
    KvPurpose watchPurpose_;
    Milliseconds watchWait_;
};

} // namespace

static constexpr std::array<FeedSpec, 3> FeedSpecs{
    FeedSpec{&Control::configFeed_, KvSpace::Operator, "", KvPurpose::ReadConfig, KvPurpose::WatchConfig,
             ConfigWatchWait},
    FeedSpec{&Control::clusterFeed_, KvSpace::Own, ClusterPrefix, KvPurpose::ReadMembers, KvPurpose::WatchMembers,
             ClusterWatchWait},
    FeedSpec{&Control::runnerFeed_, KvSpace::Discovery, "", KvPurpose::ReadRunners, KvPurpose::WatchRunners,
             RunnerWatchWait}};

// Name of the feed in log lines.
static std::string_view feedName(const FeedSpec &spec)
{
    if (!spec.prefix_.empty()) {
        return spec.prefix_;
    }
    return spec.space_ == KvSpace::Operator ? "config" : "runners";
}

static void sendFeedCall(Control &control, const FeedSpec &spec, ControlActions &actions)
{
    Feed &feed = control.*spec.feed_;
    KvCall call;
    call.space_ = spec.space_;
    call.key_ = std::string(spec.prefix_);
    if (feed.synced_) {
        call.purpose_ = spec.watchPurpose_;
        call.op_ = KvOp::Watch;
        call.afterRevision_ = feed.revision_;
        call.wait_ = spec.watchWait_;
    } else {
        call.purpose_ = spec.readPurpose_;
        call.op_ = KvOp::Range;
        call.timeout_ = ReadTimeout;
        call.after_ = feed.afterKey_;
    }
    feed.callInFlight_ = sendKvCall(control, std::move(call), actions);
}

void pollFeeds(Control &control, CellTime now, ControlActions &actions)
{
    for (const FeedSpec &spec : FeedSpecs) {
        const Feed &feed = control.*spec.feed_;
        if (spec.readPurpose_ == KvPurpose::ReadRunners && !isLeader(control)) {
            continue;
        }
        if (feed.callInFlight_ == 0 && now.steady_ >= feed.nextCallAt_) {
            sendFeedCall(control, spec, actions);
        }
    }
}

bool configIsFresh(const Control &control, TimePoint now)
{
    // A revoked key may be accepted for revocationDelay_ at most. The margin covers forwarding the request to the
    // leader, and a watch that receives nothing for a second before the store reports that the history is lost.
    constexpr Milliseconds FreshnessMargin{1'500};
    return control.config_.version_ != 0
        && now < control.configProofAt_ + control.settings_.cell_.revocationDelay_ - FreshnessMargin;
}

void adoptConfig(Control &control, std::string_view text, TimePoint proofAt, std::string_view source, TimePoint now,
                 ControlActions &actions)
{
    CellConfig config;
    JsonObject line = beginLogLine("config");
    line.text("source", source).number("proof_age_ms", ageMs(now, proofAt));
    if (!control.decoders_.config_(text, config)) {
        line.text("outcome", "malformed").number("bytes", static_cast<std::int64_t>(text.size()));
        appendLogLine(actions, line, LogLevel::Error);
        count(actions.cell_, CellCounter::BadEntry);
        return;
    }
    line.number("version", static_cast<std::int64_t>(config.version_));
    if (config.version_ < control.config_.version_) {
        line.text("outcome", "older").number("known", static_cast<std::int64_t>(control.config_.version_));
        appendLogLine(actions, line);
        return;
    }
    if (proofAt > control.configProofAt_ || config.version_ > control.config_.version_) {
        control.configProofAt_ = std::max(control.configProofAt_, proofAt);
    }
    if (config.version_ == control.config_.version_) {
        return;
    }
    line.text("outcome", "in-force").number("queues", static_cast<std::int64_t>(config.queues_.size()));
    line.number("accounts", static_cast<std::int64_t>(config.accounts_.size()));
    appendLogLine(actions, line);
    control.config_ = std::move(config);
    control.configText_ = std::string(text);
    control.accountOfKey_.clear();
    for (std::size_t i = 0; i < control.config_.accounts_.size(); ++i) {
        for (const std::string &key : control.config_.accounts_[i].keys_) {
            control.accountOfKey_.emplace(key, i);
        }
    }
    if (control.cell_) {
        applyConfig(*control.cell_, control.config_);
    }
}

// Applies one change of the discovery list. A malformed entry counts as removed.
static void applyRunnerItem(Control &control, const KvItem &item, CellTime now, ControlActions &actions)
{
    if (!control.cell_) {
        return;
    }
    RunnerRecord record;
    if (item.removed_) {
        removeRunner(*control.cell_, RunnerId(item.key_), now, actions.cell_);
    } else if (control.decoders_.runner_(item.key_, item.value_, record)) {
        updateRunner(*control.cell_, record, now, actions.cell_);
    } else {
        JsonObject line = beginLogLine("bad-discovery-entry");
        line.text("key", item.key_).number("bytes", static_cast<std::int64_t>(item.value_.size()));
        appendLogLine(actions, line, LogLevel::Warning);
        count(actions.cell_, CellCounter::BadEntry);
        removeRunner(*control.cell_, RunnerId(item.key_), now, actions.cell_);
    }
}

// Applies a page of the discovery list. After the last page, runners that no page named are removed.
static void applyRunnerPage(Control &control, const KvReply &reply, CellTime now, ControlActions &actions)
{
    for (const KvItem &item : reply.items_) {
        applyRunnerItem(control, item, now, actions);
        control.discoveredRunners_.insert(RunnerId(item.key_));
    }
    if (!control.runnerFeed_.synced_) {
        return;
    }
    if (control.cell_) {
        std::vector<RunnerId> unlisted;
        for (const auto &[id, runner] : control.cell_->runners_) {
            if (runner->inDiscovery_ && !control.discoveredRunners_.contains(id)) {
                unlisted.push_back(id);
            }
        }
        for (const RunnerId &id : unlisted) {
            removeRunner(*control.cell_, id, now, actions.cell_);
        }
    }
    control.discoveredRunners_.clear();
}

static void applyFeedReply(Control &control, const KvReply &reply, CellTime now, ControlActions &actions)
{
    switch (reply.purpose_) {
    case KvPurpose::ReadConfig:
    case KvPurpose::WatchConfig: {
        const bool isWatch = reply.purpose_ == KvPurpose::WatchConfig;
        // A watch without changes for its full wait proves that the configuration is the newest at the end of the wait.
        const bool waitedInFull = isWatch && reply.items_.empty() && now.steady_ - reply.sentAt_ >= ConfigWatchWait;
        const TimePoint proofAt = reply.sentAt_ + (waitedInFull ? ConfigWatchWait : Milliseconds(0));
        for (const KvItem &item : reply.items_) {
            if (item.key_ == ConfigKey && !item.removed_) {
                adoptConfig(control, item.value_, proofAt, isWatch ? "watch" : "read", now.steady_, actions);
            }
        }
        control.configProofAt_ = std::max(control.configProofAt_, proofAt);
        if (isWatch) {
            updateZones(control, reply, now, actions);
        } else {
            readZones(control, reply, now, actions);
        }
        break;
    }
    case KvPurpose::ReadMembers:
        applyClusterSnapshot(control, reply.items_, now, actions);
        break;
    case KvPurpose::WatchMembers:
        for (const KvItem &item : reply.items_) {
            applyClusterItem(control, item, now, actions);
        }
        break;
    case KvPurpose::ReadRunners:
        applyRunnerPage(control, reply, now, actions);
        break;
    case KvPurpose::WatchRunners:
        for (const KvItem &item : reply.items_) {
            applyRunnerItem(control, item, now, actions);
        }
        break;
    default:
        break;
    }
}

// Applies one page of a read. The pages are not a snapshot: the watch that follows has to report all changes since the
// first page was read.
static void applyPage(Control &control, Feed &feed, const KvReply &page, CellTime now, ControlActions &actions)
{
    const bool isFirst = feed.afterKey_.empty();
    const bool isLast = !page.more_ || page.items_.empty();
    feed.afterKey_ = isLast ? std::string() : page.items_.back().key_;
    feed.synced_ = isLast;
    if (isFirst) {
        feed.revision_ = std::max(feed.revision_, page.revision_);
    }
    if (page.purpose_ == KvPurpose::ReadRunners) { // may be many; the cell takes them page by page
        applyFeedReply(control, page, now, actions);
        return;
    }
    if (isFirst) {
        feed.pages_ = page; // with the send time of the first page, which limits what the read proves
    } else {
        feed.pages_.items_.insert(feed.pages_.items_.end(), page.items_.begin(), page.items_.end());
    }
    if (isLast) {
        const KvReply whole = std::exchange(feed.pages_, {});
        applyFeedReply(control, whole, now, actions);
    }
}

void handleFeedReply(Control &control, const KvReply &reply, CellTime now, ControlActions &actions)
{
    const auto spec = std::find_if(FeedSpecs.begin(), FeedSpecs.end(), [&reply](const FeedSpec &candidate) {
        return candidate.readPurpose_ == reply.purpose_ || candidate.watchPurpose_ == reply.purpose_;
    });
    if (spec == FeedSpecs.end()) {
        return;
    }
    Feed &feed = control.*spec->feed_;
    if (reply.id_ != feed.callInFlight_) {
        return; // to a call of an earlier epoch of this daemon
    }
    feed.callInFlight_ = 0;
    if (reply.status_ == KvStatus::Ok) {
        if (feed.failures_ > 0) {
            JsonObject line = beginLogLine("store-regained");
            line.text("feed", feedName(*spec));
            line.number("failures", feed.failures_);
            appendLogLine(actions, line);
        }
        feed.failures_ = 0;
        feed.nextCallAt_ = now.steady_;
        if (reply.purpose_ == spec->readPurpose_) {
            applyPage(control, feed, reply, now, actions);
        } else {
            feed.synced_ = true;
            feed.revision_ = std::max(feed.revision_, reply.revision_);
            applyFeedReply(control, reply, now, actions);
        }
        return;
    }
    JsonObject line = beginLogLine(reply.status_ == KvStatus::HistoryLost ? "history-lost" : "store-lost");
    line.text("feed", feedName(*spec));
    line.number("status", reply.httpStatus_).number("failures", feed.failures_);
    if (feed.failures_ == 0 || reply.status_ == KvStatus::HistoryLost) {
        appendLogLine(actions, line, LogLevel::Warning);
    }
    // An interrupted watch resumes at its last revision. Only a lost history requires a read of the whole key range:
    // the read is large and would fail again while this daemon or the store is busy.
    if (reply.status_ == KvStatus::HistoryLost) {
        feed.synced_ = false;
        feed.revision_ = 0;
    }
    feed.nextCallAt_ = reply.status_ == KvStatus::HistoryLost
        ? now.steady_
        : now.steady_ + StoreRetryDelay * (1U << std::min(feed.failures_, MaxDoublings));
    ++feed.failures_;
}

} // namespace mimosapier::detail
