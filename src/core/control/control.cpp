// Events of a daemon of the cell, messages of its peers, and the step after each batch.
#include "core/control/control_internal.h"

#include <algorithm>
#include <cmath>

namespace mimosapier
{

using namespace detail;

static constexpr Milliseconds BeaconInterval{500}; // under half of the transport's silence limit
static constexpr Milliseconds ScanInterval{20}; // of the open requests
static constexpr Milliseconds MemberKept{30'000}; // an unlisted member stays a peer: the store may have lost it
static constexpr std::size_t FullMesh = 12; // daemons; above it only the leader and neighbours are peers
static constexpr std::size_t Neighbours = 2; // on either side, in the order of the ids
static constexpr std::size_t BeaconsRemembered = 16;
static constexpr Milliseconds HandoverLimit{900}; // a leaving leader gives its place up at the latest then
// Progress that is not stored by then is read from the runners by the next leader; under load there is always some.
static constexpr Milliseconds ProgressLimit{150};
static constexpr Milliseconds ReleaseRetry{250};
static constexpr double LatencyWeight = 0.2;

std::unique_ptr<Control> makeControl(const ControlSettings &settings, CellDecoders decoders, TimePoint now)
{
    auto control = std::make_unique<Control>();
    control->settings_ = settings;
    control->decoders_ = std::move(decoders);
    control->random_.seed(settings.seed_);
    control->startedAt_ = now;
    return control;
}

bool detail::seesLeader(const Control &control)
{
    if (control.leader_ == control.settings_.self_) {
        return control.cell_ != nullptr;
    }
    const auto leader = control.members_.find(control.leader_);
    return leader != control.members_.end() && leader->second.connected_;
}

bool isServing(const Control &control, TimePoint now)
{
    return !control.leaving_ && configIsFresh(control, now) && !control.leader_.empty() && seesLeader(control);
}

bool hasLeft(const Control &control)
{
    return control.leaving_ && !control.cell_ && control.requests_.empty();
}

void peerUp(Control &control, const DaemonId &daemon, CellTime now, ControlActions &actions)
{
    JsonObject line = controlEvent("peer-up");
    line.text("daemon", daemon.value_);
    controlLog(actions, line);
    ClusterMember &member = control.members_[daemon];
    member.connected_ = true;
    member.seenAt_ = now.steady_;
    member.lastBeacon_ = 0;
    control.nextBeaconAt_ = now.steady_;
}

void peerDown(Control &control, const DaemonId &daemon, CellTime now, ControlActions &actions)
{
    JsonObject line = controlEvent("peer-down");
    line.text("daemon", daemon.value_);
    controlLog(actions, line, LogLevel::Warning);
    ClusterMember &member = control.members_[daemon];
    member.connected_ = false;
    member.seenAt_ = now.steady_;
    if (daemon == control.leader_) {
        control.leaderLostAt_ = now.steady_;
        control.nextBeaconAt_ = now.steady_; // the others learn that it is not only their own connection
    }
    expireRelayed(control, daemon, now, actions);
    for (auto &[call, open] : control.requests_) {
        if (open.sentTo_ == daemon) {
            open.sentTo_ = {}; // sent again once the daemon, or another leader, can be reached
        }
    }
}

static void handleBeacon(Control &control, const DaemonId &from, const CellBeacon &beacon, CellTime now,
                         ControlActions &actions)
{
    ClusterMember &member = control.members_[from];
    member.seenAt_ = now.steady_;
    member.lastBeacon_ = std::max(member.lastBeacon_, beacon.sequence_);
    member.epoch_ = beacon.epoch_;
    member.leaderSeen_ = beacon.leaderSeen_;
    member.beaconAt_ = now.steady_;
    if (beacon.storeAnswerAgeMs_ != UINT32_MAX) {
        member.storeAnsweredAt_ = now.steady_ - Milliseconds(beacon.storeAnswerAgeMs_);
    }
    control.retiredSeen_ = std::max(control.retiredSeen_, beacon.retired_);
    learnEpoch(control, beacon.epoch_, beacon.leader_, from.value_, now, actions);
    if (beacon.configVersion_ > control.config_.version_) {
        actions.peers_.push_back({from, CellConfigWanted{beacon.configVersion_}});
    } else if (beacon.configVersion_ == control.config_.version_ && beacon.configVersion_ != 0) {
        // The beacon was sent after ours that it echoes, so what it says is not older than that.
        const auto echoed = member.beaconTimes_.find(beacon.echo_);
        if (echoed != member.beaconTimes_.end()) {
            control.configProofAt_
                = std::max(control.configProofAt_, echoed->second - Milliseconds(beacon.configProofAgeMs_));
        }
    }
}

static std::uint32_t ageOrMost(TimePoint now, TimePoint then)
{
    return then == TimePoint{} ? UINT32_MAX : static_cast<std::uint32_t>(ageMs(now, then));
}

static void sendBeacon(Control &control, const DaemonId &to, ClusterMember &member, CellTime now,
                       ControlActions &actions)
{
    CellBeacon beacon;
    beacon.sequence_ = ++member.beaconsSent_;
    beacon.echo_ = member.lastBeacon_;
    beacon.epoch_ = control.epoch_;
    beacon.leader_ = control.leader_;
    beacon.configVersion_ = control.config_.version_;
    beacon.configProofAgeMs_ = ageOrMost(now.steady_, control.configProofAt_);
    beacon.storeAnswerAgeMs_ = ageOrMost(now.steady_, control.storeAnsweredAt_);
    beacon.retired_ = control.retired_;
    beacon.leaderSeen_ = seesLeader(control);
    member.beaconTimes_[beacon.sequence_] = now.steady_;
    if (member.beaconTimes_.size() > BeaconsRemembered) {
        member.beaconTimes_.erase(member.beaconTimes_.begin());
    }
    actions.peers_.push_back({to, beacon});
}

void detail::sendBeacons(Control &control, CellTime now, ControlActions &actions)
{
    if (now.steady_ < control.nextBeaconAt_) {
        return;
    }
    control.nextBeaconAt_ = now.steady_ + BeaconInterval;
    std::vector<DaemonId> askers;
    if (!control.leaving_) {
        askers.push_back(control.settings_.self_);
    }
    for (auto &[daemon, member] : control.members_) {
        if (member.connected_) {
            sendBeacon(control, daemon, member, now, actions);
            if (member.listed_) {
                askers.push_back(daemon);
            }
        }
    }
    if (control.cell_) {
        setPolicyQueriers(*control.cell_, askers);
    }
}

// In a small cluster all daemons are peers. In a large one each has the leader and its neighbours, so that the number
// of connections and beacons does not grow with the square of the daemons.
void detail::updatePeerSet(Control &control, CellTime now, ControlActions &actions)
{
    std::erase_if(control.members_, [&](const auto &entry) {
        return !entry.second.listed_ && !entry.second.connected_ && now.steady_ - entry.second.seenAt_ > MemberKept;
    });
    std::vector<DaemonId> order{control.settings_.self_};
    for (const auto &[daemon, member] : control.members_) {
        if (!member.address_.empty()) {
            order.push_back(daemon);
        }
    }
    std::sort(order.begin(), order.end());
    const auto own
        = static_cast<std::size_t>(std::find(order.begin(), order.end(), control.settings_.self_) - order.begin());
    const bool all = order.size() <= FullMesh || control.leader_ == control.settings_.self_;
    PeerSet set;
    for (std::size_t i = 0; i < order.size(); ++i) {
        const std::size_t distance = (i + order.size() - own) % order.size();
        const bool near = distance <= Neighbours || distance + Neighbours >= order.size();
        if (i != own && (all || near || order[i] == control.leader_)) {
            set.peers_.push_back({order[i], control.members_.at(order[i]).address_});
        }
    }
    if (set.peers_ != control.peerSet_.peers_) {
        control.peerSet_ = set;
        actions.peerSet_ = std::move(set);
    }
}

static void handleForwarded(Control &control, const DaemonId &from, const CellRequest &request, CellTime now,
                            ControlActions &actions)
{
    if (!control.cell_ || control.deferred_.size() >= MaxDeferred) {
        actions.peers_.push_back({from, CellReply{request.call_, CellOutcome::NotLeader, {}, 0, {}}});
    } else if (control.stage_ != RecoveryStage::Done || waitsForNextLeader(control, request)) {
        control.deferred_.emplace_back(from, request);
    } else {
        handleRequest(*control.cell_, from, request, now, actions.cell_);
    }
}

void peerMessage(Control &control, const DaemonId &from, const PeerMessage &message, CellTime now,
                 ControlActions &actions)
{
    if (const auto *beacon = std::get_if<CellBeacon>(&message)) {
        handleBeacon(control, from, *beacon, now, actions);
    } else if (const auto *request = std::get_if<CellRequest>(&message)) {
        handleForwarded(control, from, *request, now, actions);
    } else if (const auto *reply = std::get_if<CellReply>(&message)) {
        cellReply(control, from, *reply, now, actions);
    } else if (const auto *calls = std::get_if<RelayedCalls>(&message)) {
        makeRelayedCalls(control, from, *calls, actions);
    } else if (const auto *replies = std::get_if<RelayedReplies>(&message)) {
        takeRelayedReplies(control, *replies, now, actions);
    } else if (const auto *query = std::get_if<PolicyQuery>(&message)) {
        actions.queries_.push_back(*query);
    } else if (const auto *answer = std::get_if<PolicyAnswer>(&message)) {
        if (control.cell_) {
            handlePolicyAnswer(*control.cell_, from, *answer, now, actions.cell_);
        }
    } else if (std::holds_alternative<CellConfigWanted>(message)) {
        if (control.config_.version_ != 0) {
            actions.peers_.push_back({from, CellConfigText{control.config_.version_, control.configText_}});
        }
    } else if (const auto *text = std::get_if<CellConfigText>(&message)) {
        // Proof of being the newest follows with the next beacon.
        adoptConfig(control, text->text_, TimePoint{}, from.value_, now.steady_, actions);
    }
}

static void noteStore(Control &control, const KvReply &reply, TimePoint now)
{
    const bool answered = reply.status_ != KvStatus::Unknown && reply.status_ != KvStatus::NotDone;
    if (!answered) {
        // A failure proves nothing when a later call was answered.
        if (control.storeFailingSince_ == TimePoint{} && reply.sentAt_ > control.storeProvenAt_) {
            control.storeFailingSince_ = reply.sentAt_;
        }
        return;
    }
    control.storeAnsweredAt_ = now;
    control.storeProvenAt_ = std::max(control.storeProvenAt_, reply.sentAt_);
    if (control.storeProvenAt_ > control.storeFailingSince_) {
        control.storeFailingSince_ = {};
    }
    if (reply.purpose_ == KvPurpose::ReadConfig || reply.purpose_ == KvPurpose::KeepSession) {
        const auto took = static_cast<double>(ageMs(now, reply.sentAt_));
        const auto smoothed = static_cast<double>(control.storeLatency_.count());
        control.storeLatency_ = Milliseconds(std::lround(smoothed + LatencyWeight * (took - smoothed)));
    }
}

void kvReply(Control &control, const KvReply &reply, CellTime now, ControlActions &actions)
{
    noteStore(control, reply, now.steady_);
    switch (reply.purpose_) {
    case KvPurpose::ReadConfig:
    case KvPurpose::WatchConfig:
    case KvPurpose::ReadMembers:
    case KvPurpose::WatchMembers:
    case KvPurpose::ReadRunners:
    case KvPurpose::WatchRunners:
        feedReply(control, reply, now, actions);
        break;
    case KvPurpose::GrantSession:
    case KvPurpose::KeepSession:
    case KvPurpose::Register:
        sessionReply(control, reply, now, actions);
        break;
    case KvPurpose::ReleasePlace:
        control.releasing_ = false;
        control.placeReleased_ = reply.status_ == KvStatus::Ok || reply.status_ == KvStatus::Conflict;
        control.releaseAt_ = now.steady_ + ReleaseRetry;
        break;
    case KvPurpose::Elect:
        electionReply(control, reply, now, actions);
        break;
    case KvPurpose::RecoverJobs:
    case KvPurpose::RecoverProgress:
    case KvPurpose::RecoverRunners:
        recoveryReply(control, reply, now);
        break;
    case KvPurpose::Lane:
        if (control.cell_) {
            handleLaneReply(*control.cell_, reply, now, actions.cell_);
        }
        break;
    }
}

void policyAnswered(Control &control, const PolicyAnswer &answer, CellTime now, ControlActions &actions)
{
    if (control.cell_ && control.leader_ == control.settings_.self_) {
        handlePolicyAnswer(*control.cell_, control.settings_.self_, answer, now, actions.cell_);
    } else if (!control.leader_.empty()) {
        actions.peers_.push_back({control.leader_, answer});
    }
}

void beginLeaving(Control &control, CellTime now, ControlActions &actions)
{
    if (control.leaving_) {
        return;
    }
    control.leaving_ = true;
    control.leaveAt_ = now.steady_;
    control.leaveBy_ = now.steady_ + control.settings_.leaveLimit_;
    for (auto &[call, open] : control.requests_) {
        open.deadline_ = std::min(open.deadline_, control.leaveBy_);
    }
    if (control.cell_) {
        control.cell_->leaving_ = true;
    }
    JsonObject line = controlEvent("leaving");
    line.boolean("leads", leads(control)).number("open", static_cast<std::int64_t>(control.requests_.size()));
    controlLog(actions, line);
}

// A leaving leader gives its place up once the store has all that it decided. The member record stays until the process
// ends, so that later leaders connect to this daemon and answer its last clients.
static void pollLeaving(Control &control, CellTime now, ControlActions &actions)
{
    if (!control.leaving_) {
        return;
    }
    if (control.cell_
        && (isFlushed(*control.cell_) || now.steady_ >= control.leaveAt_ + HandoverLimit
            || (isAcceptLaneFlushed(*control.cell_) && now.steady_ >= control.leaveAt_ + ProgressLimit))) {
        control.releasedRevision_ = control.cell_->leaderRevision_;
        stepDown(control, "leaving", now, actions);
    }
    if (control.releasedRevision_ != 0 && !control.placeReleased_ && !control.releasing_
        && now.steady_ >= control.releaseAt_) {
        KvCall call;
        call.purpose_ = KvPurpose::ReleasePlace;
        call.op_ = KvOp::Commit;
        call.conditions_ = {{std::string(LeaderKey), control.releasedRevision_}};
        call.removes_ = {std::string(LeaderKey)};
        control.releasing_ = true;
        kvSend(control, std::move(call), actions);
    }
}

void finishBatch(Control &control, CellTime now, ControlActions &actions)
{
    pollSession(control, now, actions);
    pollFeeds(control, now, actions);
    pollElection(control, now, actions);
    pollRecovery(control, now, actions);
    if (control.cell_ && control.stage_ >= RecoveryStage::Done) {
        advanceCell(*control.cell_, now, actions.cell_);
    }
    pollLeaving(control, now, actions);
    relayCalls(control, now, actions);
    relayReplies(control, actions);
    takeReplies(control, now, actions);
    if (now.steady_ >= control.nextScanAt_) {
        control.nextScanAt_ = now.steady_ + ScanInterval;
        updatePeerSet(control, now, actions);
        routeRequests(control, now, actions);
        takeReplies(control, now, actions);
        scanRequests(control, now, actions);
        expireRelayed(control, DaemonId{}, now, actions);
    }
    sendBeacons(control, now, actions);
}

} // namespace mimosapier
