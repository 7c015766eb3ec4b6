// Entry points of the control logic: events, messages of peers, beacons between daemons, graceful shutdown, and the
// work after each batch of events. The process in src/daemon calls them.
#include "core/control/control_internal.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mimosapier
{

using namespace detail;

static constexpr Milliseconds BeaconInterval{500}; // under half of the transport's silence limit
static constexpr Milliseconds LeaderBeaconInterval{250}; // of the leader, see LeaderSilenceLimit
// A connected leader that sends nothing for this long, three beacons, counts as lost: its instance may have lost power,
// which closes no connection. All peers of a daemon have to agree before it stands for election.
static constexpr Milliseconds LeaderSilenceLimit{800};
static constexpr Milliseconds ScanInterval{20}; // between checks of peer connections, open requests and relayed calls
// A member whose record is gone stays a peer for this long: the store may have lost the record.
static constexpr Milliseconds UnlistedMemberRetention{30'000};
// In larger clusters a daemon connects to the leader and its neighbours only.
static constexpr std::size_t MaxFullMeshDaemons = 12;
static constexpr std::size_t NeighboursPerSide = 2; // in the order of daemon ids
static constexpr std::size_t MaxBeaconSendTimes = 16; // kept for each member
static constexpr Milliseconds HandoverTimeout{900}; // a leaving leader steps down by then, even with unstored changes
// A leaving leader waits this long for progress to be stored. Under load some progress is always left unstored; the
// next leader learns it from the runners.
static constexpr Milliseconds ProgressFlushTimeout{150};
static constexpr Milliseconds ReleaseRetryDelay{250};
static constexpr double StoreLatencyWeight = 0.2; // of the latest call in the smoothed latency

std::unique_ptr<Control> makeControl(const ControlSettings &settings, CellDecoders decoders, TimePoint now)
{
    auto control = std::make_unique<Control>();
    control->settings_ = settings;
    control->decoders_ = std::move(decoders);
    control->random_.seed(settings.seed_);
    control->startedAt_ = now;
    return control;
}

bool detail::isLeaderReachable(const Control &control)
{
    if (control.leader_ == control.settings_.self_) {
        return control.cell_ != nullptr;
    }
    const auto leader = control.members_.find(control.leader_);
    return leader != control.members_.end() && leader->second.connected_ && !control.leaderSilent_;
}

bool isServing(const Control &control, TimePoint now)
{
    return !control.leaving_ && configIsFresh(control, now) && !control.leader_.empty() && isLeaderReachable(control);
}

bool hasLeft(const Control &control)
{
    return control.leaving_ && !control.cell_ && control.requests_.empty();
}

// Records a sign of life of the leader.
static void hearLeader(Control &control, TimePoint now)
{
    control.leaderHeardAt_ = now;
    if (std::exchange(control.leaderSilent_, false)) {
        control.nextBeaconAt_ = now; // tells the peers that the leader lives
    }
}

// Finds out that a connected leader is silent.
static void checkLeaderSilence(Control &control, CellTime now, ControlActions &actions)
{
    if (!isLeaderReachable(control) || isLeader(control) || now.steady_ < control.leaderHeardAt_ + LeaderSilenceLimit) {
        return;
    }
    control.leaderSilent_ = true;
    control.leaderDisconnectedAt_ = now.steady_;
    control.nextBeaconAt_ = now.steady_; // tells the peers that this daemon does not hear the leader either
    JsonObject line = beginLogLine("leader-silent");
    line.text("leader", control.leader_.value_).number("silent_ms", ageMs(now.steady_, control.leaderHeardAt_));
    appendLogLine(actions, line, LogLevel::Warning);
}

void onPeerUp(Control &control, const DaemonId &daemon, CellTime now, ControlActions &actions)
{
    JsonObject line = beginLogLine("peer-up");
    line.text("daemon", daemon.value_);
    appendLogLine(actions, line);
    ClusterMember &member = control.members_[daemon];
    member.connected_ = true;
    member.seenAt_ = now.steady_;
    member.lastBeaconSequence_ = 0;
    member.echoedBeaconSentAt_ = {};
    control.nextBeaconAt_ = now.steady_;
    if (daemon == control.leader_) {
        hearLeader(control, now.steady_);
    }
}

void onPeerDown(Control &control, const DaemonId &daemon, CellTime now, ControlActions &actions)
{
    JsonObject line = beginLogLine("peer-down");
    line.text("daemon", daemon.value_);
    appendLogLine(actions, line, LogLevel::Warning);
    ClusterMember &member = control.members_[daemon];
    member.connected_ = false;
    member.seenAt_ = now.steady_;
    if (daemon == control.leader_) {
        control.leaderDisconnectedAt_ = now.steady_;
        control.nextBeaconAt_ = now.steady_; // tells the peers that this daemon has lost the leader too
    }
    expireRelayedCalls(control, daemon, now, actions);
    for (auto &[call, open] : control.requests_) {
        if (open.sentTo_ == daemon) {
            open.sentTo_ = {}; // sent again once this leader or another one is reachable
        }
    }
}

static void handleBeacon(Control &control, const DaemonId &from, const CellBeacon &beacon, CellTime now,
                         ControlActions &actions)
{
    ClusterMember &member = control.members_[from];
    member.seenAt_ = now.steady_;
    member.lastBeaconSequence_ = std::max(member.lastBeaconSequence_, beacon.sequence_);
    member.epoch_ = beacon.epoch_;
    member.leaderSeen_ = beacon.leaderSeen_;
    member.lastBeaconAt_ = now.steady_;
    if (beacon.storeAnswerAgeMs_ != UINT32_MAX) {
        member.storeAnsweredAt_ = now.steady_ - Milliseconds(beacon.storeAnswerAgeMs_);
    }
    member.retired_ = std::max(member.retired_, beacon.retired_);
    control.highestRetiredEpoch_ = std::max(control.highestRetiredEpoch_, beacon.retired_);
    learnEpoch(control, beacon.epoch_, beacon.leader_, from.value_, now, actions);
    const auto echoed = member.beaconSendTimes_.find(beacon.echo_);
    if (echoed != member.beaconSendTimes_.end()) {
        member.echoedBeaconSentAt_ = std::max(member.echoedBeaconSentAt_, echoed->second);
        if (control.cell_ && member.listed_ && beacon.epoch_ == control.cell_->epoch_) {
            control.followedAt_ = std::max(control.followedAt_, echoed->second);
        }
    }
    adoptZones(control, from, beacon, now, actions);
    if (beacon.configVersion_ > control.config_.version_) {
        actions.peerMessages_.push_back({from, CellConfigWanted{beacon.configVersion_}});
    } else if (beacon.configVersion_ == control.config_.version_ && beacon.configVersion_ != 0) {
        // The peer sent this beacon after it received the echoed one, so the configuration was the newest at the send
        // time of the echoed beacon minus configProofAgeMs_, or later.
        if (echoed != member.beaconSendTimes_.end()) {
            control.configProofAt_
                = std::max(control.configProofAt_, echoed->second - Milliseconds(beacon.configProofAgeMs_));
        }
    }
}

// Milliseconds from `then` to `now`; UINT32_MAX when `then` is empty.
static std::uint32_t ageMsOrMax(TimePoint now, TimePoint then)
{
    return then == TimePoint{} ? UINT32_MAX : static_cast<std::uint32_t>(ageMs(now, then));
}

static void sendBeacon(Control &control, const DaemonId &to, ClusterMember &member, CellTime now,
                       ControlActions &actions)
{
    CellBeacon beacon;
    beacon.sequence_ = ++member.beaconsSent_;
    beacon.echo_ = member.lastBeaconSequence_;
    beacon.epoch_ = control.epoch_;
    beacon.leader_ = control.leader_;
    beacon.configVersion_ = control.config_.version_;
    beacon.configProofAgeMs_ = ageMsOrMax(now.steady_, control.configProofAt_);
    beacon.storeAnswerAgeMs_ = ageMsOrMax(now.steady_, control.storeAnsweredAt_);
    beacon.retired_ = control.ownRetiredEpoch_;
    beacon.leaderSeen_ = isLeaderReachable(control);
    beacon.evacuatedZones_.assign(control.evacuatedZones_.begin(), control.evacuatedZones_.end());
    beacon.zonesRevision_ = control.zonesRevision_;
    member.beaconSendTimes_[beacon.sequence_] = now.steady_;
    if (member.beaconSendTimes_.size() > MaxBeaconSendTimes) {
        member.beaconSendTimes_.erase(member.beaconSendTimes_.begin());
    }
    actions.peerMessages_.push_back({to, beacon});
}

void detail::sendBeacons(Control &control, CellTime now, ControlActions &actions)
{
    if (now.steady_ < control.nextBeaconAt_) {
        return;
    }
    control.nextBeaconAt_ = now.steady_ + (isLeader(control) ? LeaderBeaconInterval : BeaconInterval);
    std::vector<DaemonId> queriers;
    if (!control.leaving_) {
        queriers.push_back(control.settings_.self_);
    }
    for (auto &[daemon, member] : control.members_) {
        if (member.connected_) {
            sendBeacon(control, daemon, member, now, actions);
            if (member.listed_) {
                queriers.push_back(daemon);
            }
        }
    }
    if (control.cell_) {
        setPolicyQueriers(*control.cell_, queriers);
    }
}

// In a small cluster every daemon connects to every other. In a large one each connects to the leader and its
// neighbours in the order of ids, so that connections and beacons do not grow with the square of the number of daemons.
void detail::updatePeerSet(Control &control, CellTime now, ControlActions &actions)
{
    std::erase_if(control.members_, [&](const auto &entry) {
        return !entry.second.listed_ && !entry.second.connected_
            && now.steady_ - entry.second.seenAt_ > UnlistedMemberRetention;
    });
    std::vector<DaemonId> sortedIds{control.settings_.self_};
    for (const auto &[daemon, member] : control.members_) {
        if (!member.address_.empty()) {
            sortedIds.push_back(daemon);
        }
    }
    std::sort(sortedIds.begin(), sortedIds.end());
    const auto ownIndex = static_cast<std::size_t>(
        std::find(sortedIds.begin(), sortedIds.end(), control.settings_.self_) - sortedIds.begin());
    const bool useFullMesh = sortedIds.size() <= MaxFullMeshDaemons || control.leader_ == control.settings_.self_;
    PeerSet set;
    for (std::size_t i = 0; i < sortedIds.size(); ++i) {
        const std::size_t distance = (i + sortedIds.size() - ownIndex) % sortedIds.size();
        const bool isNeighbour = distance <= NeighboursPerSide || distance + NeighboursPerSide >= sortedIds.size();
        if (i != ownIndex && (useFullMesh || isNeighbour || sortedIds[i] == control.leader_)) {
            set.peers_.push_back({sortedIds[i], control.members_.at(sortedIds[i]).address_});
        }
    }
    if (set.peers_ != control.peerSet_.peers_) {
        control.peerSet_ = set;
        actions.peerSet_ = std::move(set);
    }
}

static void handleForwardedRequest(Control &control, const DaemonId &from, const CellRequest &request, CellTime now,
                                   ControlActions &actions)
{
    if (!control.cell_ || control.deferredRequests_.size() >= MaxDeferredRequests) {
        actions.peerMessages_.push_back({from, CellReply{request.call_, CellOutcome::NotLeader, {}, 0, {}}});
    } else if (control.recoveryStage_ != RecoveryStage::Done || waitsForNextLeader(control, request)) {
        control.deferredRequests_.emplace_back(from, request);
    } else {
        handleRequest(*control.cell_, from, request, now, actions.cell_);
    }
}

void onPeerMessage(Control &control, const DaemonId &from, const PeerMessage &message, CellTime now,
                   ControlActions &actions)
{
    if (from == control.leader_) {
        hearLeader(control, now.steady_);
    }
    if (const auto *beacon = std::get_if<CellBeacon>(&message)) {
        handleBeacon(control, from, *beacon, now, actions);
    } else if (const auto *request = std::get_if<CellRequest>(&message)) {
        handleForwardedRequest(control, from, *request, now, actions);
    } else if (const auto *reply = std::get_if<CellReply>(&message)) {
        handleCellReply(control, from, *reply, now, actions);
    } else if (const auto *calls = std::get_if<RelayedCalls>(&message)) {
        makeRelayedCalls(control, from, *calls, now, actions);
    } else if (const auto *replies = std::get_if<RelayedReplies>(&message)) {
        handleRelayedReplies(control, from, *replies, now, actions);
    } else if (const auto *query = std::get_if<PolicyQuery>(&message)) {
        actions.queries_.push_back(*query);
    } else if (const auto *answer = std::get_if<PolicyAnswer>(&message)) {
        if (control.cell_) {
            handlePolicyAnswer(*control.cell_, from, *answer, now, actions.cell_);
        }
    } else if (std::holds_alternative<CellConfigWanted>(message)) {
        if (control.config_.version_ != 0) {
            actions.peerMessages_.push_back({from, CellConfigText{control.config_.version_, control.configText_}});
        }
    } else if (const auto *text = std::get_if<CellConfigText>(&message)) {
        // No proof yet: a later beacon of a peer proves that this version is the newest.
        adoptConfig(control, text->text_, TimePoint{}, from.value_, now.steady_, actions);
    }
}

// Records whether the store answered, and how fast.
static void trackStoreHealth(Control &control, const KvReply &reply, TimePoint now)
{
    const bool answered = reply.status_ != KvStatus::Unknown && reply.status_ != KvStatus::NotDone;
    if (!answered) {
        // A failure is ignored when a call sent later was answered.
        if (control.storeFailingSince_ == TimePoint{} && reply.sentAt_ > control.answeredCallSentAt_) {
            control.storeFailingSince_ = reply.sentAt_;
        }
        return;
    }
    control.storeAnsweredAt_ = now;
    control.answeredCallSentAt_ = std::max(control.answeredCallSentAt_, reply.sentAt_);
    if (control.answeredCallSentAt_ > control.storeFailingSince_) {
        control.storeFailingSince_ = {};
    }
    if (reply.purpose_ == KvPurpose::ReadConfig || reply.purpose_ == KvPurpose::RenewSession) {
        const auto latencyMs = static_cast<double>(ageMs(now, reply.sentAt_));
        const auto smoothed = static_cast<double>(control.storeLatency_.count());
        control.storeLatency_ = Milliseconds(std::lround(smoothed + StoreLatencyWeight * (latencyMs - smoothed)));
    }
}

void onKvReply(Control &control, const KvReply &reply, CellTime now, ControlActions &actions)
{
    trackStoreHealth(control, reply, now.steady_);
    if (reply.unreadableItems_ > 0) {
        JsonObject line = beginLogLine("bad-store-items");
        line.number("purpose", static_cast<std::int64_t>(reply.purpose_)).number("count", reply.unreadableItems_);
        appendLogLine(actions, line, LogLevel::Warning);
        count(actions.cell_, CellCounter::BadEntry);
    }
    switch (reply.purpose_) {
    case KvPurpose::ReadConfig:
    case KvPurpose::WatchConfig:
    case KvPurpose::ReadMembers:
    case KvPurpose::WatchMembers:
    case KvPurpose::ReadRunners:
    case KvPurpose::WatchRunners:
        handleFeedReply(control, reply, now, actions);
        break;
    case KvPurpose::GrantSession:
    case KvPurpose::RenewSession:
    case KvPurpose::Register:
        handleSessionReply(control, reply, now, actions);
        break;
    case KvPurpose::ReleaseLeaderKey:
        control.releasing_ = false;
        control.leaderKeyReleased_ = reply.status_ == KvStatus::Ok || reply.status_ == KvStatus::Conflict;
        control.releaseAt_ = now.steady_ + ReleaseRetryDelay;
        break;
    case KvPurpose::Elect:
        handleElectionReply(control, reply, now, actions);
        break;
    case KvPurpose::StoreFormerLeaders:
        handleFormerLeadersReply(control, reply, now);
        break;
    case KvPurpose::StoreFollowers:
        handleFollowersReply(control, reply, now);
        break;
    case KvPurpose::RecoverJobs:
    case KvPurpose::RecoverProgress:
    case KvPurpose::RecoverRunners:
    case KvPurpose::RecoverPastUse:
        handleRecoveryReply(control, reply, now);
        break;
    case KvPurpose::Lane:
        if (control.cell_) {
            handleLaneReply(*control.cell_, reply, now, actions.cell_);
        }
        break;
    case KvPurpose::ConfirmLeadership:
        if (control.cell_) {
            handleLeadershipReply(*control.cell_, reply, now, actions.cell_);
        }
        break;
    }
}

void onPolicyAnswer(Control &control, const PolicyAnswer &answer, CellTime now, ControlActions &actions)
{
    if (control.cell_ && control.leader_ == control.settings_.self_) {
        handlePolicyAnswer(*control.cell_, control.settings_.self_, answer, now, actions.cell_);
    } else if (!control.leader_.empty()) {
        actions.peerMessages_.push_back({control.leader_, answer});
    }
}

void beginLeaving(Control &control, CellTime now, ControlActions &actions)
{
    if (control.leaving_) {
        return;
    }
    control.leaving_ = true;
    control.leaveStartedAt_ = now.steady_;
    control.leaveDeadline_ = now.steady_ + control.settings_.leaveTimeout_;
    for (auto &[call, open] : control.requests_) {
        open.deadline_ = std::min(open.deadline_, control.leaveDeadline_);
    }
    if (control.cell_) {
        control.cell_->leaving_ = true;
    }
    JsonObject line = beginLogLine("leaving");
    line.boolean("leads", isLeader(control)).number("open", static_cast<std::int64_t>(control.requests_.size()));
    appendLogLine(actions, line);
}

// A leaving leader steps down once its decisions are stored, then removes the leader key so that the next election can
// start at once. The member record stays until the process ends, so that later leaders connect to this daemon and
// answer its last clients.
static void pollLeaving(Control &control, CellTime now, ControlActions &actions)
{
    if (!control.leaving_) {
        return;
    }
    if (control.cell_
        && (isFlushed(*control.cell_) || now.steady_ >= control.leaveStartedAt_ + HandoverTimeout
            || (isAcceptLaneFlushed(*control.cell_)
                && now.steady_ >= control.leaveStartedAt_ + ProgressFlushTimeout))) {
        control.releasedKeyRevision_ = control.cell_->leaderKeyRevision_;
        stepDown(control, "leaving", now, actions);
    }
    if (control.releasedKeyRevision_ != 0 && !control.leaderKeyReleased_ && !control.releasing_
        && now.steady_ >= control.releaseAt_) {
        KvCall call;
        call.purpose_ = KvPurpose::ReleaseLeaderKey;
        call.op_ = KvOp::Commit;
        call.conditions_ = {{std::string(LeaderKey), control.releasedKeyRevision_}};
        call.removes_ = {std::string(LeaderKey)};
        control.releasing_ = true;
        sendKvCall(control, std::move(call), actions);
    }
}

void finishBatch(Control &control, CellTime now, ControlActions &actions)
{
    pollSession(control, now, actions);
    pollFeeds(control, now, actions);
    checkLeaderSilence(control, now, actions);
    pollElection(control, now, actions);
    pollRecovery(control, now, actions);
    if (control.cell_ && control.recoveryStage_ >= RecoveryStage::Done) {
        advanceCell(*control.cell_, now, actions.cell_);
    } else if (control.cell_) {
        keepLeadershipConfirmed(*control.cell_, now, actions.cell_);
    }
    pollLeaving(control, now, actions);
    relayCalls(control, now, actions);
    refuseRelayedCalls(control, now, actions);
    sendRelayReplies(control, actions);
    routeRepliesAndQueries(control, now, actions);
    if (now.steady_ >= control.nextScanAt_) {
        control.nextScanAt_ = now.steady_ + ScanInterval;
        updatePeerSet(control, now, actions);
        forwardRequests(control, now, actions);
        routeRepliesAndQueries(control, now, actions);
        expireRequests(control, now, actions);
        expireRelayedCalls(control, DaemonId{}, now, actions);
    }
    sendBeacons(control, now, actions);
}

} // namespace mimosapier
