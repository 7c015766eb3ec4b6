// What the daemon follows in the store: the configuration, the cluster keys, and, while it leads, the runners. Each is
// read once and then watched; a watch that has lost its history begins anew with a read.
#include "core/control/control_internal.h"

#include <algorithm>

namespace mimosapier::detail
{

static constexpr Milliseconds ConfigWait{1'000}; // of a watch; its answer proves that the configuration is the newest
static constexpr Milliseconds ClusterWait{2'000};
static constexpr Milliseconds RunnerWait{2'000};
static constexpr std::string_view ConfigKey = "config";

namespace
{

struct FeedPlan
{
    Feed Control::*feed_;
    KvSpace space_;
    std::string_view prefix_;
    KvPurpose read_;
    KvPurpose watch_;
    Milliseconds wait_;
};

} // namespace

static constexpr std::array<FeedPlan, 3> Plans{
    FeedPlan{&Control::configFeed_, KvSpace::Operator, "", KvPurpose::ReadConfig, KvPurpose::WatchConfig, ConfigWait},
    FeedPlan{&Control::clusterFeed_, KvSpace::Own, ClusterPrefix, KvPurpose::ReadMembers, KvPurpose::WatchMembers,
             ClusterWait},
    FeedPlan{&Control::runnerFeed_, KvSpace::Discovery, "", KvPurpose::ReadRunners, KvPurpose::WatchRunners,
             RunnerWait}};

// Name in log lines.
static std::string_view feedName(const FeedPlan &plan)
{
    if (!plan.prefix_.empty()) {
        return plan.prefix_;
    }
    return plan.space_ == KvSpace::Operator ? "config" : "runners";
}

static void callFeed(Control &control, const FeedPlan &plan, ControlActions &actions)
{
    Feed &feed = control.*plan.feed_;
    KvCall call;
    call.space_ = plan.space_;
    call.key_ = std::string(plan.prefix_);
    if (feed.read_) {
        call.purpose_ = plan.watch_;
        call.op_ = KvOp::Watch;
        call.afterRevision_ = feed.revision_;
        call.wait_ = plan.wait_;
    } else {
        call.purpose_ = plan.read_;
        call.op_ = KvOp::Range;
        call.timeout_ = ReadTimeout;
        if (plan.read_ == KvPurpose::ReadRunners) {
            call.after_ = control.runnersAfter_;
        }
    }
    feed.open_ = true;
    kvSend(control, std::move(call), actions);
}

void pollFeeds(Control &control, CellTime now, ControlActions &actions)
{
    for (const FeedPlan &plan : Plans) {
        const Feed &feed = control.*plan.feed_;
        if (plan.read_ == KvPurpose::ReadRunners && !leads(control)) {
            continue;
        }
        if (!feed.open_ && now.steady_ >= feed.nextAt_) {
            callFeed(control, plan, actions);
        }
    }
}

bool configIsFresh(const Control &control, TimePoint now)
{
    // Withdrawn keys work for revocationDelay_ at most. The rest is for the way of the request to the leader and for
    // watches that hear nothing for a second before the store drops its history.
    constexpr Milliseconds FreshnessMargin{1'500};
    return control.config_.version_ != 0
        && now < control.configProofAt_ + control.settings_.cell_.revocationDelay_ - FreshnessMargin;
}

void adoptConfig(Control &control, std::string_view text, TimePoint proofAt, std::string_view source, TimePoint now,
                 ControlActions &actions)
{
    CellConfig config;
    JsonObject line = controlEvent("config");
    line.text("source", source).number("proof_age_ms", ageMs(now, proofAt));
    if (!control.decoders_.config_(text, config)) {
        line.text("outcome", "malformed").number("bytes", static_cast<std::int64_t>(text.size()));
        controlLog(actions, line, LogLevel::Error);
        return;
    }
    line.number("version", static_cast<std::int64_t>(config.version_));
    if (config.version_ < control.config_.version_) {
        line.text("outcome", "older").number("known", static_cast<std::int64_t>(control.config_.version_));
        controlLog(actions, line);
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
    controlLog(actions, line);
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

static void runnerItem(Control &control, const KvItem &item, CellTime now, ControlActions &actions)
{
    if (!control.cell_) {
        return;
    }
    RunnerRecord record;
    if (item.removed_) {
        removeRunner(*control.cell_, RunnerId(item.key_), now, actions.cell_);
    } else if (control.decoders_.runner_(item.key_, item.value_, record)) {
        updateRunner(*control.cell_, record, now, actions.cell_);
        control.readRunners_.insert(record.id_);
    } else {
        JsonObject line = controlEvent("bad-discovery-entry");
        line.text("key", item.key_).number("bytes", static_cast<std::int64_t>(item.value_.size()));
        controlLog(actions, line, LogLevel::Warning);
        removeRunner(*control.cell_, RunnerId(item.key_), now, actions.cell_);
    }
}

static void runnersRead(Control &control, const KvReply &reply, CellTime now, ControlActions &actions)
{
    for (const KvItem &item : reply.items_) {
        runnerItem(control, item, now, actions);
    }
    if (reply.more_ && !reply.items_.empty()) {
        control.runnersAfter_ = reply.items_.back().key_;
        control.runnerFeed_.read_ = false;
        return;
    }
    control.runnersAfter_.clear();
    if (control.cell_) {
        std::vector<RunnerId> gone;
        for (const auto &[id, runner] : control.cell_->runners_) {
            if (runner->inDiscovery_ && !control.readRunners_.contains(id)) {
                gone.push_back(id);
            }
        }
        for (const RunnerId &id : gone) {
            removeRunner(*control.cell_, id, now, actions.cell_);
        }
    }
    control.readRunners_.clear();
}

static void applyItems(Control &control, const KvReply &reply, CellTime now, ControlActions &actions)
{
    switch (reply.purpose_) {
    case KvPurpose::ReadConfig:
    case KvPurpose::WatchConfig: {
        const bool watched = reply.purpose_ == KvPurpose::WatchConfig;
        // A watch that heard nothing for its whole wait proves the state at the end of the wait.
        const bool waited = watched && reply.items_.empty() && now.steady_ - reply.sentAt_ >= ConfigWait;
        const TimePoint proofAt = reply.sentAt_ + (waited ? ConfigWait : Milliseconds(0));
        for (const KvItem &item : reply.items_) {
            if (item.key_ == ConfigKey && !item.removed_) {
                adoptConfig(control, item.value_, proofAt, watched ? "watch" : "read", now.steady_, actions);
            }
        }
        control.configProofAt_ = std::max(control.configProofAt_, proofAt);
        break;
    }
    case KvPurpose::ReadMembers:
        clusterRead(control, reply.items_, now, actions);
        break;
    case KvPurpose::WatchMembers:
        for (const KvItem &item : reply.items_) {
            clusterItem(control, item, now, actions);
        }
        break;
    case KvPurpose::ReadRunners:
        runnersRead(control, reply, now, actions);
        break;
    case KvPurpose::WatchRunners:
        for (const KvItem &item : reply.items_) {
            runnerItem(control, item, now, actions);
        }
        break;
    default:
        break;
    }
}

void feedReply(Control &control, const KvReply &reply, CellTime now, ControlActions &actions)
{
    const auto plan = std::find_if(Plans.begin(), Plans.end(), [&reply](const FeedPlan &candidate) {
        return candidate.read_ == reply.purpose_ || candidate.watch_ == reply.purpose_;
    });
    if (plan == Plans.end()) {
        return;
    }
    Feed &feed = control.*plan->feed_;
    feed.open_ = false;
    if (reply.status_ == KvStatus::Ok) {
        if (feed.failures_ > 0) {
            JsonObject line = controlEvent("store-regained");
            line.text("feed", feedName(*plan));
            line.number("failures", feed.failures_);
            controlLog(actions, line);
        }
        feed.failures_ = 0;
        feed.read_ = true;
        feed.revision_ = std::max(feed.revision_, reply.revision_);
        feed.nextAt_ = now.steady_;
        applyItems(control, reply, now, actions);
        return;
    }
    JsonObject line = controlEvent(reply.status_ == KvStatus::HistoryLost ? "history-lost" : "store-lost");
    line.text("feed", feedName(*plan));
    line.number("status", reply.httpStatus_).number("failures", feed.failures_);
    if (feed.failures_ == 0 || reply.status_ == KvStatus::HistoryLost) {
        controlLog(actions, line, LogLevel::Warning);
    }
    // A watch that was cut goes on from the revision it had reached; only a lost history needs a read of the whole
    // space, which is large and would fail again while this daemon or the store is busy.
    if (reply.status_ == KvStatus::HistoryLost) {
        feed.read_ = false;
        feed.revision_ = 0;
    }
    feed.nextAt_ = reply.status_ == KvStatus::HistoryLost
        ? now.steady_
        : now.steady_ + RetryPause * (1U << std::min(feed.failures_, MaxDoublings));
    ++feed.failures_;
}

} // namespace mimosapier::detail
