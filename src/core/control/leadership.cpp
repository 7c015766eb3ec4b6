// Member records, leader election, and recovery of a new leader from the store. finishBatch() calls pollElection() and
// pollRecovery().
//
// An election is one transaction: it writes the leader key under the lease of the session, increments the epoch on the
// condition that no other daemon has done so, and rewrites the lane keys, so that transactions of the former leader
// fail. For a short time, two daemons may regard themselves as leader; the store and the runners reject the calls of
// the one with the lower epoch.
#include "core/control/control_internal.h"

#include <algorithm>

namespace mimosapier::detail
{

// A daemon sends no election transaction before this time after its start, so that daemons near the store and those
// with a larger processor share come first.
static constexpr Milliseconds FirstElectionDelay{400};
static constexpr Milliseconds MaxLatencyDelay{400}; // upper bound of the delay that LatencyFactor gives
// Part of the election delay, as a multiple of the store's latency. Daemons near the store go first, since each
// accepted job waits for the store.
static constexpr int LatencyFactor = 2;
// Divided by the processor share: a share of one half waits 120 ms, a quarter 240 ms, an eighth 480 ms.
static constexpr double ShareDelayMs = 60;
static constexpr double MinProcessorShare = 0.05;
static constexpr int MaxJitterMs = 30;
// Wait after the loss of the leader, for the beacons of the peers, which take 20 ms between regions.
static constexpr Milliseconds LostLeaderWait{100};
// A peer's beacon that the leader is lost confirms the loss if it came at most this long before it was noticed here:
// peers notice the silence of a leader at different times.
static constexpr Milliseconds LossNoticeSpread{400};
// A leader whose store calls fail for this long steps down if the store answers other daemons. Two calls to a busy
// store, or one call over a dead connection, take less time.
static constexpr Milliseconds LeaderStoreTimeout{700};
// A store answer to a peer counts as proof that only the leader is cut off when it came at least this long after the
// leader's first failed call.
static constexpr Milliseconds PeerAnswerMargin{200};
static constexpr Milliseconds ElectionRetryDelay{120};
static constexpr Milliseconds RecoveryRetryDelay{100};

bool isLeader(const Control &control)
{
    return control.cell_ != nullptr;
}

// Delay before this daemon stands for election, with random jitter. It is shortest on the daemon that is best placed to
// lead.
static Milliseconds electionDelay(Control &control)
{
    std::uniform_int_distribution<int> jitter(0, MaxJitterMs);
    // The leader makes all calls to runners that no relay makes, so daemons with a larger processor share go first.
    const double share = std::max(control.settings_.cell_.processorShare_, MinProcessorShare);
    const auto shareDelay = Milliseconds(static_cast<std::int64_t>(ShareDelayMs / share));
    return std::min(MaxLatencyDelay, control.storeLatency_ * LatencyFactor) + shareDelay
        + Milliseconds(jitter(control.random_));
}

void learnEpoch(Control &control, CellEpoch epoch, const DaemonId &leader, std::string_view source, CellTime now,
                ControlActions &actions)
{
    if (epoch < control.epoch_ || (epoch == control.epoch_ && leader == control.leader_)) {
        return;
    }
    if (epoch == control.epoch_ && !control.leader_.empty()) {
        return;
    }
    const bool leads = control.cell_ && control.cell_->epoch_ == epoch;
    const bool isUnclaimed = leader == control.settings_.self_ && !leads;
    if (isUnclaimed && epoch == control.epoch_) {
        return;
    }
    if (epoch > control.epoch_) { // the leader of epoch_ may have renewed its session until now
        addFormerLeader(control, control.lastLeaderEpoch_, control.lastLeader_, now.steady_);
    }
    addKnownEpoch(control, epoch);
    control.epoch_ = epoch;
    control.leader_ = isUnclaimed ? DaemonId{} : leader;
    control.leaderHeardAt_ = now.steady_;
    control.leaderSilent_ = false;
    control.nextBeaconAt_ = now.steady_; // tells the new leader that this daemon follows no earlier one
    if (!control.leader_.empty()) {
        control.lastLeader_ = leader;
        control.lastLeaderEpoch_ = epoch;
    }
    JsonObject line = beginLogLine(isUnclaimed ? "leader-unclaimed" : "leader");
    line.number("epoch", static_cast<std::int64_t>(epoch.value_)).text("leader", leader.value_);
    line.text("source", source);
    appendLogLine(actions, line);
    if (control.cell_ && control.cell_->epoch_ < epoch) {
        stepDown(control, "higher-epoch", now, actions);
    }
}

// True when this daemon may begin to lead in an epoch for which the store has elected it: no later epoch is known, and
// the daemon has not stepped down from this one.
static bool mayClaimEpoch(const Control &control, CellEpoch epoch)
{
    return !control.cell_ && epoch >= control.epoch_ && epoch > control.ownRetiredEpoch_;
}

// `revision`: store revision of the election transaction, and so of the leader, epoch and lane keys.
static void becomeLeader(Control &control, CellEpoch epoch, std::uint64_t revision, CellTime now,
                         ControlActions &actions)
{
    control.epochKeyRevision_ = revision;
    control.leaderKeyExists_ = true;
    control.leaderKeyRevision_ = revision;
    const std::array<std::uint64_t, LaneCount> lanes{revision, revision};
    control.cell_ = makeCell(control.settings_.cell_, control.settings_.self_, epoch, revision, lanes,
                             control.electionSentAt_, now.steady_);
    applyConfig(*control.cell_, control.config_);
    if (control.zonesRevision_ != 0) {
        setEvacuatedZones(*control.cell_, control.evacuatedZones_);
    }
    control.followedAt_ = {};
    control.storingFormerLeaders_ = false;
    control.storingFollowers_ = false;
    control.recoveryStage_ = RecoveryStage::Reading;
    control.recoveryReads_ = {};
    // Without the setting nothing is read or written for it.
    control.recoveryReads_[PastUsePart].done_ = control.settings_.cell_.pastUseHalfLife_ == Milliseconds(0);
    control.discoveredRunners_.clear();
    control.runnerFeed_ = {};
    JsonObject line = beginLogLine("elected");
    line.number("epoch", static_cast<std::int64_t>(epoch.value_))
        .number("revision", static_cast<std::int64_t>(revision));
    appendLogLine(actions, line);
    learnEpoch(control, epoch, control.settings_.self_, "election", now, actions);
}

void stepDown(Control &control, std::string_view cause, CellTime now, ControlActions &actions)
{
    if (!control.cell_) {
        return;
    }
    JsonObject line = beginLogLine("step-down");
    line.text("cause", cause).number("epoch", static_cast<std::int64_t>(control.cell_->epoch_.value_));
    line.number("jobs", static_cast<std::int64_t>(control.cell_->jobs_.size()));
    line.number("presumed_ends", static_cast<std::int64_t>(control.cell_->leadershipCheck_.presumedEnds_.size()));
    line.number("unstored_jobs", countUnstoredJobs(*control.cell_));
    line.number("unstored_ends", countUnstoredEnds(*control.cell_));
    appendLogLine(actions, line, LogLevel::Warning);
    control.ownRetiredEpoch_ = std::max(control.ownRetiredEpoch_, control.cell_->epoch_);
    control.highestRetiredEpoch_ = std::max(control.highestRetiredEpoch_, control.ownRetiredEpoch_);
    if (control.settings_.cell_.pastUseHalfLife_ > Milliseconds(0)) {
        actions.cell_.pastUse_.emplace(); // the next leader reports the accounts
    }
    control.nextBeaconAt_ = now.steady_; // tells the peers at once that this epoch has ended
    const auto replyNotLeader = [&actions](const DaemonId &from, const CellRequest &request) {
        actions.cell_.replies_.push_back({from, {request.call_, CellOutcome::NotLeader, {}, 0, {}}});
    };
    for (const UnconfirmedRequest &waiting : control.cell_->leadershipCheck_.requests_) {
        replyNotLeader(waiting.from_, waiting.request_);
    }
    for (const auto &[from, request] : control.deferredRequests_) {
        replyNotLeader(from, request);
    }
    control.deferredRequests_.clear();
    control.cell_.reset();
    control.recoveryStage_ = RecoveryStage::None;
    control.runnerFeed_ = {};
    if (control.leader_ == control.settings_.self_) {
        control.leader_ = {};
    }
    control.nextElectionAt_ = now.steady_ + electionDelay(control);
}

void applyClusterItem(Control &control, const KvItem &item, CellTime now, ControlActions &actions)
{
    if (item.key_ == LeaderKey) {
        const bool existed = control.leaderKeyExists_;
        control.leaderKeyExists_ = !item.removed_;
        control.leaderKeyRevision_ = item.removed_ ? 0 : item.revision_;
        if (existed && item.removed_) {
            JsonObject line = beginLogLine("leader-key-gone");
            line.text("leader", control.leader_.value_).number("revision", static_cast<std::int64_t>(item.revision_));
            appendLogLine(actions, line, LogLevel::Warning);
            // A leader whose session expired during an outage of the store may renew its leadership; the others wait.
            control.nextElectionAt_ = now.steady_ + (isLeader(control) ? Milliseconds(0) : electionDelay(control));
        } else if (item.removed_ && control.nextElectionAt_ == TimePoint{}) {
            control.nextElectionAt_
                = std::max(now.steady_, control.startedAt_ + FirstElectionDelay) + electionDelay(control);
        }
        return;
    }
    if (item.key_ == EpochKey && !item.removed_) {
        CellEpoch epoch;
        DaemonId leader;
        if (parseEpoch(item.value_, epoch, leader)) {
            control.epochKeyRevision_ = item.revision_;
            const bool isSelf = leader == control.settings_.self_;
            // The election transaction took effect, but its reply was lost. A peer may have named the epoch already.
            if (isSelf && mayClaimEpoch(control, epoch)) {
                becomeLeader(control, epoch, item.revision_, now, actions);
            } else {
                learnEpoch(control, epoch, leader, "store", now, actions);
            }
        }
        return;
    }
    if (item.key_ == FormerLeadersKey && !item.removed_) {
        learnFormerLeaders(control, item.value_, now.steady_);
        return;
    }
    if (item.key_ == FollowersKey) {
        control.storedFollowers_ = item.removed_ ? FormerFollowers{} : parseFollowers(item.value_);
        return;
    }
    if (item.key_.starts_with(MemberPrefix)) {
        const DaemonId daemon(item.key_.substr(MemberPrefix.size()));
        if (daemon == control.settings_.self_) {
            if (item.removed_) {
                control.session_.registered_ = false;
            } else {
                control.session_.recordRevision_ = item.revision_;
            }
            return;
        }
        ClusterMember &member = control.members_[daemon];
        if (member.listed_ == item.removed_) {
            JsonObject line = beginLogLine(item.removed_ ? "member-gone" : "member");
            line.text("daemon", daemon.value_).text("address", item.value_);
            appendLogLine(actions, line);
        }
        member.listed_ = !item.removed_;
        member.seenAt_ = now.steady_; // kept for a while after its record is gone, see isFollowed()
        if (!item.removed_) {
            member.recordRevision_ = item.revision_;
            const std::size_t separator = item.value_.find(' ');
            member.address_ = item.value_.substr(0, separator);
            member.zone_ = separator == std::string::npos ? "" : item.value_.substr(separator + 1);
        }
    }
}

void applyClusterSnapshot(Control &control, const std::vector<KvItem> &items, CellTime now, ControlActions &actions)
{
    std::set<DaemonId> listedDaemons;
    bool leaderKeyFound = false;
    control.storedFollowers_.clear();
    for (const KvItem &item : items) {
        leaderKeyFound = leaderKeyFound || item.key_ == LeaderKey;
        if (item.key_.starts_with(MemberPrefix)) {
            listedDaemons.insert(DaemonId(item.key_.substr(MemberPrefix.size())));
        }
        applyClusterItem(control, item, now, actions);
    }
    for (auto &[daemon, member] : control.members_) {
        member.seenAt_ = member.listed_ ? now.steady_ : member.seenAt_;
        member.listed_ = listedDaemons.contains(daemon);
    }
    control.session_.registered_ = listedDaemons.contains(control.settings_.self_);
    if (!leaderKeyFound) {
        KvItem removal;
        removal.key_ = std::string(LeaderKey);
        removal.removed_ = true;
        applyClusterItem(control, removal, now, actions);
    }
}

// True when neither the store nor a peer has confirmed for IsolationLimit that this daemon leads. Its peers then elect
// another leader, which counts on the end of this leadership, see noteIsolatedLeaders().
static bool isIsolated(const Control &control, TimePoint now)
{
    const TimePoint confirmedAt = std::max(control.cell_->leadershipCheck_.confirmedAt_, control.followedAt_);
    return now > confirmedAt + IsolationLimit
        && std::any_of(control.members_.begin(), control.members_.end(),
                       [&control](const auto &entry) { return !isReplaced(control, entry.first); });
}

// True when this daemon and all its connected peers, at least one, have lost the leader: no connection, or silence. An
// election then need not wait until the leader's session expires. Replacing a leader that is still alive is safe: the
// store and the runners fence it.
static bool isLeaderLostByAllPeers(const Control &control, TimePoint now)
{
    if (control.leader_.empty() || control.leader_ == control.settings_.self_ || isLeaderReachable(control)
        || control.leaderDisconnectedAt_ == TimePoint{} || now < control.leaderDisconnectedAt_ + LostLeaderWait) {
        return false;
    }
    std::size_t confirmingPeers = 0;
    for (const auto &[daemon, member] : control.members_) {
        if (!member.connected_ || daemon == control.leader_) {
            continue;
        }
        if (member.epoch_ != control.epoch_ || member.leaderSeen_
            || member.lastBeaconAt_ + LossNoticeSpread < control.leaderDisconnectedAt_) {
            return false;
        }
        ++confirmingPeers;
    }
    return confirmingPeers > 0;
}

// True when the store answers others but not this daemon.
static bool isCutOffFromStore(const Control &control, TimePoint now)
{
    const TimePoint since = control.storeFailingSince_;
    return since != TimePoint{} && now >= since + LeaderStoreTimeout
        && std::any_of(control.members_.begin(), control.members_.end(), [since](const auto &entry) {
               return entry.second.connected_ && entry.second.storeAnsweredAt_ >= since + PeerAnswerMargin;
           });
}

void pollElection(Control &control, CellTime now, ControlActions &actions)
{
    if (control.cell_ && now.steady_ < control.cell_->formerLeadersEndBy_) {
        updateFormerLeadersEnd(control, now, actions);
        storeFollowers(control, now.steady_, actions);
    }
    if (control.cell_) {
        emptyFormerLeadersKey(control, now.steady_, actions);
    }
    if (control.cell_ && control.cell_->superseded_) {
        stepDown(control, "superseded", now, actions);
        control.clusterFeed_.synced_ = false; // a new read shows who leads
    }
    if (control.cell_ && now.steady_ > control.session_.validUntil_ + LeaderGrace) {
        stepDown(control, "no-session", now, actions);
    }
    // A session proves no leadership: it can be renewed after the election of another leader, who counts on the end of
    // this leadership from then.
    if (control.cell_
        && now.steady_ > control.cell_->leadershipCheck_.confirmedAt_ + sessionTtl(control) + LeaderGrace) {
        stepDown(control, "unconfirmed", now, actions);
    }
    if (control.cell_ && isIsolated(control, now.steady_)) {
        stepDown(control, "isolated", now, actions);
    }
    if (control.cell_ && isCutOffFromStore(control, now.steady_)) {
        stepDown(control, "store-answers-others", now, actions);
    }
    const bool isEligible = control.clusterFeed_.synced_ && control.session_.lease_ != 0
        && now.steady_ < control.session_.validUntil_ && control.session_.registered_
        && control.storeFailingSince_ == TimePoint{};
    // An election need not wait for the session of a leader that stepped down, whose process was replaced, or whose
    // connections all daemons have lost.
    const bool retired = control.epoch_.value_ != 0 && control.highestRetiredEpoch_ >= control.epoch_;
    const bool replaced = control.leaderKeyExists_ && !control.leader_.empty() && isReplaced(control, control.leader_);
    const bool mayReplace
        = control.leaderKeyExists_ && (retired || replaced || isLeaderLostByAllPeers(control, now.steady_));
    if (mayReplace && !control.mayReplaceLeader_) {
        control.nextElectionAt_ = now.steady_ + electionDelay(control);
        JsonObject line = beginLogLine("leader-lost");
        line.text("leader", control.leader_.value_).boolean("retired", retired).boolean("replaced", replaced);
        line.number("lost_ms", ageMs(now.steady_, control.leaderDisconnectedAt_));
        appendLogLine(actions, line, LogLevel::Warning);
    }
    control.mayReplaceLeader_ = mayReplace;
    if (!isEligible || (control.leaderKeyExists_ && !mayReplace) || control.electing_ || control.leaving_
        || now.steady_ < control.nextElectionAt_ || now.steady_ < control.startedAt_ + FirstElectionDelay
        || control.config_.version_ == 0) {
        return;
    }
    KvCall call;
    call.purpose_ = KvPurpose::Elect;
    call.op_ = KvOp::Commit;
    call.conditions_
        = {{std::string(LeaderKey), control.leaderKeyRevision_}, {std::string(EpochKey), control.epochKeyRevision_}};
    call.writes_ = {{std::string(LeaderKey), control.settings_.self_.value_, control.session_.lease_}};
    control.electionEpoch_ = control.epoch_;
    if (!control.cell_ || control.cell_->epoch_ != control.epoch_) {
        control.electionEpoch_ = nextEpoch(control.epoch_);
        const std::string epoch = std::to_string(control.electionEpoch_.value_);
        call.writes_.push_back({std::string(EpochKey), epoch + " " + control.settings_.self_.value_, 0});
        for (std::size_t lane = 0; lane < LaneCount; ++lane) {
            call.writes_.push_back({laneKey(lane), epoch + ":0", 0});
        }
        removeEndedLeaders(control, now.steady_);
        call.writes_.push_back({std::string(FormerLeadersKey), encodeFormerLeaders(control), 0});
        control.storesFormerLeaders_ = !call.writes_.back().value_.empty();
    }
    control.electing_ = true;
    control.electionSentAt_ = now.steady_;
    sendKvCall(control, std::move(call), actions);
}

void handleElectionReply(Control &control, const KvReply &reply, CellTime now, ControlActions &actions)
{
    control.electing_ = false;
    control.nextElectionAt_ = now.steady_ + ElectionRetryDelay;
    if (reply.status_ == KvStatus::Ok && control.cell_ && control.cell_->epoch_ == control.electionEpoch_) {
        control.leaderKeyExists_ = true;
        renewLeadership(*control.cell_, reply.revision_);
        JsonObject line = beginLogLine("leadership-renewed");
        line.number("epoch", static_cast<std::int64_t>(control.electionEpoch_.value_));
        appendLogLine(actions, line);
        return;
    }
    if (reply.status_ == KvStatus::Ok && mayClaimEpoch(control, control.electionEpoch_)) {
        becomeLeader(control, control.electionEpoch_, reply.revision_, now, actions);
        return;
    }
    // The election was lost or its outcome is unknown; a new read of the cluster keys shows who leads.
    control.clusterFeed_.synced_ = false;
}

// ---- recovery ----

namespace
{

// Store call that reads one RecoveryPart.
struct RecoverySpec
{
    KvPurpose purpose_;
    KvOp op_;
    std::string_view key_;
};

} // namespace

static constexpr std::array<RecoverySpec, RecoveryPartCount> RecoverySpecs{
    RecoverySpec{KvPurpose::RecoverJobs, KvOp::Range, JobKeyPrefix},
    RecoverySpec{KvPurpose::RecoverProgress, KvOp::Range, ProgressKeyPrefix},
    RecoverySpec{KvPurpose::RecoverRunners, KvOp::Get, "runners"},
    RecoverySpec{KvPurpose::RecoverPastUse, KvOp::Get, PastUseKey}};

// Builds the state of the cell from the completed reads, then handles the deferred requests.
static void applyRecoveryReads(Control &control, CellTime now, ControlActions &actions)
{
    Cell &cell = *control.cell_;
    for (const KvItem &item : control.recoveryReads_[JobsPart].items_) {
        recoverJob(cell, item, now, actions.cell_);
    }
    for (const KvItem &item : control.recoveryReads_[ProgressPart].items_) {
        recoverProgress(cell, item, now, actions.cell_);
    }
    for (const KvItem &item : control.recoveryReads_[RunnersPart].items_) {
        recoverRunners(cell, item.value_);
    }
    for (const KvItem &item : control.recoveryReads_[PastUsePart].items_) {
        recoverPastUse(cell, item, now, actions.cell_);
    }
    finishRecovery(cell, now, actions.cell_);
    control.recoveryReads_ = {};
    control.recoveryStage_ = RecoveryStage::Done;
    for (const auto &[from, request] : control.deferredRequests_) {
        handleRequest(cell, from, request, now, actions.cell_);
    }
    control.deferredRequests_.clear();
}

void pollRecovery(Control &control, CellTime now, ControlActions &actions)
{
    if (!control.cell_ || control.recoveryStage_ != RecoveryStage::Reading) {
        return;
    }
    for (std::size_t part = 0; part < RecoveryPartCount; ++part) {
        RecoveryRead &read = control.recoveryReads_[part];
        if (read.callInFlight_ || read.done_ || now.steady_ < read.retryAt_) {
            continue;
        }
        KvCall call;
        call.purpose_ = RecoverySpecs[part].purpose_;
        call.op_ = RecoverySpecs[part].op_;
        call.key_ = std::string(RecoverySpecs[part].key_);
        call.after_ = read.after_;
        call.timeout_ = ReadTimeout;
        // Carries the epoch, so that replies to calls of an earlier epoch can be ignored.
        call.lane_ = static_cast<std::uint32_t>(control.cell_->epoch_.value_);
        read.callInFlight_ = true;
        sendKvCall(control, std::move(call), actions);
    }
    if (control.runnerFeed_.synced_
        && std::all_of(control.recoveryReads_.begin(), control.recoveryReads_.end(),
                       [](const RecoveryRead &read) { return read.done_; })) {
        applyRecoveryReads(control, now, actions);
    }
}

void handleRecoveryReply(Control &control, const KvReply &reply, CellTime now)
{
    const auto spec = std::find_if(RecoverySpecs.begin(), RecoverySpecs.end(), [&reply](const RecoverySpec &candidate) {
        return candidate.purpose_ == reply.purpose_;
    });
    if (!control.cell_ || spec == RecoverySpecs.end() || control.recoveryStage_ != RecoveryStage::Reading
        || reply.lane_ != static_cast<std::uint32_t>(control.cell_->epoch_.value_)) {
        return;
    }
    RecoveryRead &read = control.recoveryReads_[static_cast<std::size_t>(spec - RecoverySpecs.begin())];
    read.callInFlight_ = false;
    const bool keyAbsent = spec->op_ == KvOp::Get && reply.status_ == KvStatus::NotFound;
    if (reply.status_ != KvStatus::Ok && !keyAbsent) {
        read.retryAt_ = now.steady_ + RecoveryRetryDelay;
        return;
    }
    read.items_.insert(read.items_.end(), reply.items_.begin(), reply.items_.end());
    if (reply.more_ && !reply.items_.empty()) {
        read.after_ = reply.items_.back().key_;
    } else {
        read.done_ = true;
    }
}

} // namespace mimosapier::detail
