// Relaying of calls to runners. In a large cluster, thousands of HTTP calls a second would use up the leader's
// processor. Instead, a daemon in the availability zone of the runner makes the calls, and the leader exchanges batches
// of calls and replies with these daemons. finishBatch() sends the batches; peer messages and runner replies are
// handled as they arrive.
#include "core/control/control_internal.h"

#include <algorithm>

namespace mimosapier::detail
{

// Calls are relayed when the leader knows at least this many other members. The leader of a smaller cluster has
// processor time to spare.
static constexpr std::size_t MinMembersForRelay = 12;
// Added to the wait and timeout of a relayed call: transfer between regions and delay on a busy relay.
static constexpr Milliseconds RelayMargin{600};
// A daemon that has sent no beacon for this long, a little over two beacon intervals, is not chosen as relay: its
// connections may be dead.
static constexpr Milliseconds MaxRelayBeaconAge{1'100};
// How much older than it is a call may seem to a relay: age of the relay's last beacon at the leader, see
// MaxRelayBeaconAge, and the two beacon intervals until the leader's echo of a beacon arrives.
static constexpr Milliseconds CallAgeError{MaxRelayBeaconAge + Milliseconds(750)};
// Set in the ids of calls made for other daemons. The ids of a leader's own calls begin with its epoch.
static constexpr std::uint64_t RelayIdBit = std::uint64_t{1} << 63U;

// Chooses the relay for a runner by rendezvous hashing, so that few runners get another relay when a member comes or
// goes. Returns nullptr when this daemon makes the call itself.
static const DaemonId *chooseRelay(const Control &control, const RunnerCall &call, TimePoint now)
{
    const auto runner = control.cell_->runners_.find(call.runner_);
    if (runner == control.cell_->runners_.end()) {
        return nullptr;
    }
    const DaemonId *best = nullptr;
    std::size_t bestHash = 0;
    for (const auto &[daemon, member] : control.members_) {
        if (member.connected_ && member.listed_ && now < member.lastBeaconAt_ + MaxRelayBeaconAge
            && member.zone_ == runner->second->record_.zone_) {
            const std::size_t hash = std::hash<std::string>{}(daemon.value_ + call.runner_.value_);
            if (best == nullptr || hash > bestHash) {
                best = &daemon;
                bestHash = hash;
            }
        }
    }
    return best;
}

// Returns the reply to the call with an unknown outcome.
static RunnerReply unknownReplyTo(const RunnerCall &call)
{
    RunnerReply reply;
    reply.id_ = call.id_;
    reply.op_ = call.op_;
    reply.runner_ = call.runner_;
    reply.task_ = call.task_;
    reply.run_ = call.run_;
    return reply;
}

void relayCalls(Control &control, CellTime now, ControlActions &actions)
{
    if (!control.cell_ || control.members_.size() < MinMembersForRelay) {
        return;
    }
    std::map<DaemonId, RelayedCalls> batches;
    std::vector<RunnerCall> ownCalls;
    for (RunnerCall &call : actions.cell_.runners_) {
        const DaemonId *relay = (call.id_ & RelayIdBit) == 0 ? chooseRelay(control, call, now.steady_) : nullptr;
        if (relay == nullptr) {
            ownCalls.push_back(std::move(call));
            continue;
        }
        RelayedCall relayed;
        relayed.relay_ = *relay;
        relayed.token_ = call.token_;
        relayed.unknownReply_ = unknownReplyTo(call);
        relayed.unknownReply_.sentAt_ = now.steady_;
        relayed.expiresAt_ = now.steady_ + call.wait_ + call.timeout_ + RelayMargin;
        control.relayedCalls_.emplace(call.id_, std::move(relayed));
        batches[*relay].calls_.push_back(std::move(call));
    }
    actions.cell_.runners_ = std::move(ownCalls);
    for (auto &[relay, batch] : batches) {
        actions.peerMessages_.push_back({relay, std::move(batch)});
    }
}

void makeRelayedCalls(Control &control, const DaemonId &from, const RelayedCalls &calls, CellTime now,
                      ControlActions &actions)
{
    const TimePoint sentAfter = control.members_[from].echoedBeaconSentAt_;
    for (RunnerCall call : calls.calls_) {
        const std::uint64_t id = RelayIdBit + ++control.lastRelayId_;
        control.relayOrigins_.emplace(id,
                                      RelayOrigin{from, call.id_, call.token_, control.epoch_, now.steady_, sentAfter});
        call.id_ = id;
        actions.cell_.runners_.push_back(std::move(call));
    }
}

// Logs the answer to a start that this daemon has made, or refused to make, for a leader.
static void logRelayedStart(const Control &control, const RelayOrigin &origin, const RunnerReply &reply, TimePoint now,
                            ControlActions &actions)
{
    const auto leader = control.members_.find(origin.leader_);
    JsonObject line = beginLogLine("start-relayed");
    line.text("task", taskText(reply.task_)).number("run", static_cast<std::int64_t>(reply.run_.value_));
    line.text("runner", reply.runner_.value_).text("leader", origin.leader_.value_);
    line.number("token", static_cast<std::int64_t>(origin.token_.value_));
    line.number("own_epoch", static_cast<std::int64_t>(origin.ownEpoch_.value_));
    line.text("status", runnerStatusName(reply.status_)).number("took_ms", ageMs(now, origin.receivedAt_));
    line.boolean("leader_connected", leader != control.members_.end() && leader->second.connected_);
    appendLogLine(actions, line);
}

// True when the leader with this token is known to have been replaced or to have stepped down. Each epoch that a daemon
// knows was won in the store, and nobody leads again in an epoch from which its leader has stepped down.
static bool isLeadershipOver(const Control &control, FencingToken token)
{
    // The epoch of a token is the first one that is not lower. Not all epochs need be known.
    const auto epoch = control.knownEpochs_.lower_bound(CellEpoch{token.value_});
    return (epoch != control.knownEpochs_.end() && *epoch < control.epoch_)
        || isTokenOfEarlierEpoch(token, control.epoch_) || token.value_ <= control.highestRetiredEpoch_.value_;
}

// True when the leader has taken the outcome of the call as unknown: this daemon or its connection was held up.
static bool isExpired(const RelayOrigin &origin, const RunnerCall &call, TimePoint now)
{
    return origin.sentAfter_ != TimePoint{}
    && now > origin.sentAfter_ + CallAgeError + call.wait_ + call.timeout_ + RelayMargin;
}

// A relay makes calls to the runners of its own zone, see chooseRelay().
static bool isOwnZoneEvacuated(const Control &control)
{
    return control.evacuatedZones_.contains(control.settings_.cell_.zone_);
}

namespace
{

// Calls of one leader that are refused in one batch.
struct RefusedCalls
{
    FencingToken token_; // highest one of the calls
    std::int64_t calls_ = 0;
    std::int64_t late_ = 0;
    std::int64_t evacuated_ = 0; // starts in an evacuated zone
    std::int64_t starts_ = 0;
};

} // namespace

void refuseRelayedCalls(Control &control, CellTime now, ControlActions &actions)
{
    std::map<DaemonId, RefusedCalls> refusedCalls; // by leader
    std::erase_if(actions.cell_.runners_, [&](const RunnerCall &call) {
        if ((call.id_ & RelayIdBit) == 0) {
            return false;
        }
        RelayOrigin &origin = control.relayOrigins_.at(call.id_);
        const bool isOver = isLeadershipOver(control, call.token_);
        const bool isLate = !isOver && isExpired(origin, call, now.steady_);
        const bool isStartInEvacuatedZone = call.op_ == RunnerOp::Start && isOwnZoneEvacuated(control);
        if (!isOver && !isLate && !isStartInEvacuatedZone) {
            return false;
        }
        origin.ownEpoch_ = control.epoch_;
        RefusedCalls &refused = refusedCalls[origin.leader_];
        refused.token_ = std::max(refused.token_, call.token_);
        ++refused.calls_;
        refused.late_ += isLate ? 1 : 0;
        refused.evacuated_ += isStartInEvacuatedZone ? 1 : 0;
        refused.starts_ += call.op_ == RunnerOp::Start ? 1 : 0;
        RunnerReply reply = unknownReplyTo(call);
        reply.status_ = isOver ? RunnerStatus::Fenced : RunnerStatus::Unknown;
        onRunnerReply(control, reply, now, actions);
        return true;
    });
    for (const auto &[leader, refused] : refusedCalls) {
        JsonObject line = beginLogLine("relay-refused");
        line.text("leader", leader.value_).number("token", static_cast<std::int64_t>(refused.token_.value_));
        line.number("own_epoch", static_cast<std::int64_t>(control.epoch_.value_));
        line.number("retired_epoch", static_cast<std::int64_t>(control.highestRetiredEpoch_.value_));
        line.number("calls", refused.calls_).number("late", refused.late_).number("starts", refused.starts_);
        if (refused.evacuated_ > 0) {
            line.number("evacuated", refused.evacuated_);
        }
        appendLogLine(actions, line, LogLevel::Warning);
    }
}

void sendRelayReplies(Control &control, ControlActions &actions)
{
    for (auto &[origin, replies] : control.relayReplies_) {
        actions.peerMessages_.push_back({origin, std::move(replies)});
    }
    control.relayReplies_.clear();
}

void handleRelayedReplies(Control &control, const DaemonId &from, const RelayedReplies &replies, CellTime now,
                          ControlActions &actions)
{
    std::int64_t late = 0;
    std::int64_t lateStarts = 0;
    for (RunnerReply reply : replies.replies_) {
        const auto found = control.relayedCalls_.find(reply.id_);
        if (found == control.relayedCalls_.end()) { // already handled as unknown
            ++late;
            lateStarts += reply.op_ == RunnerOp::Start ? 1 : 0;
            continue;
        }
        reply.sentAt_ = found->second.unknownReply_.sentAt_;
        control.relayedCalls_.erase(found);
        if (control.cell_) {
            handleRunnerReply(*control.cell_, reply, now, actions.cell_);
        }
    }
    if (late > 0) {
        JsonObject line = beginLogLine("relay-replies-late");
        line.text("relay", from.value_).number("replies", late).number("starts", lateStarts);
        appendLogLine(actions, line, LogLevel::Warning);
    }
}

namespace
{

// Calls through one relay that get an unknown outcome at the same time.
struct UnknownCalls
{
    FencingToken token_; // highest one of the calls
    std::int64_t calls_ = 0;
    std::int64_t starts_ = 0;
    TimePoint oldestSentAt_ = TimePoint::max();
};

} // namespace

void expireRelayedCalls(Control &control, const DaemonId &lostRelay, CellTime now, ControlActions &actions)
{
    std::map<DaemonId, UnknownCalls> unknownCalls; // by relay
    for (auto call = control.relayedCalls_.begin(); call != control.relayedCalls_.end();) {
        if (call->second.relay_ != lostRelay && now.steady_ < call->second.expiresAt_) {
            ++call;
            continue;
        }
        const RunnerReply unknown = call->second.unknownReply_;
        UnknownCalls &entry = unknownCalls[call->second.relay_];
        entry.token_ = std::max(entry.token_, call->second.token_);
        ++entry.calls_;
        entry.starts_ += unknown.op_ == RunnerOp::Start ? 1 : 0;
        entry.oldestSentAt_ = std::min(entry.oldestSentAt_, unknown.sentAt_);
        call = control.relayedCalls_.erase(call);
        if (control.cell_) {
            handleRunnerReply(*control.cell_, unknown, now, actions.cell_);
        }
    }
    for (const auto &[relay, entry] : unknownCalls) {
        JsonObject line = beginLogLine("relay-unanswered");
        line.text("relay", relay.value_).text("cause", relay == lostRelay ? "relay-lost" : "expired");
        line.number("token", static_cast<std::int64_t>(entry.token_.value_));
        line.number("calls", entry.calls_).number("starts", entry.starts_);
        line.number("oldest_ms", ageMs(now.steady_, entry.oldestSentAt_));
        appendLogLine(actions, line, LogLevel::Warning);
    }
}

} // namespace mimosapier::detail

namespace mimosapier
{

using namespace detail;

void onRunnerReply(Control &control, const RunnerReply &reply, CellTime now, ControlActions &actions)
{
    const auto origin = control.relayOrigins_.find(reply.id_);
    if (origin != control.relayOrigins_.end()) {
        if (reply.op_ == RunnerOp::Start) {
            logRelayedStart(control, origin->second, reply, now.steady_, actions);
        }
        RunnerReply forOrigin = reply;
        forOrigin.id_ = origin->second.callId_;
        control.relayReplies_[origin->second.leader_].replies_.push_back(std::move(forOrigin));
        control.relayOrigins_.erase(origin);
    } else if (control.cell_) {
        handleRunnerReply(*control.cell_, reply, now, actions.cell_);
    }
}

} // namespace mimosapier
