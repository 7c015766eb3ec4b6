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
        relayed.unknownReply_.id_ = call.id_;
        relayed.unknownReply_.op_ = call.op_;
        relayed.unknownReply_.runner_ = call.runner_;
        relayed.unknownReply_.task_ = call.task_;
        relayed.unknownReply_.run_ = call.run_;
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

void makeRelayedCalls(Control &control, const DaemonId &from, const RelayedCalls &calls, ControlActions &actions)
{
    for (RunnerCall call : calls.calls_) {
        const std::uint64_t id = RelayIdBit + ++control.lastRelayId_;
        control.relayOrigins_.emplace(id, std::make_pair(from, call.id_));
        call.id_ = id;
        actions.cell_.runners_.push_back(std::move(call));
    }
}

void sendRelayReplies(Control &control, ControlActions &actions)
{
    for (auto &[origin, replies] : control.relayReplies_) {
        actions.peerMessages_.push_back({origin, std::move(replies)});
    }
    control.relayReplies_.clear();
}

void handleRelayedReplies(Control &control, const RelayedReplies &replies, CellTime now, ControlActions &actions)
{
    for (RunnerReply reply : replies.replies_) {
        const auto found = control.relayedCalls_.find(reply.id_);
        if (found == control.relayedCalls_.end()) {
            continue; // already handled as unknown
        }
        reply.sentAt_ = found->second.unknownReply_.sentAt_;
        control.relayedCalls_.erase(found);
        if (control.cell_) {
            handleRunnerReply(*control.cell_, reply, now, actions.cell_);
        }
    }
}

void expireRelayedCalls(Control &control, const DaemonId &lostRelay, CellTime now, ControlActions &actions)
{
    for (auto call = control.relayedCalls_.begin(); call != control.relayedCalls_.end();) {
        if (call->second.relay_ != lostRelay && now.steady_ < call->second.expiresAt_) {
            ++call;
            continue;
        }
        const RunnerReply unknown = call->second.unknownReply_;
        call = control.relayedCalls_.erase(call);
        if (control.cell_) {
            handleRunnerReply(*control.cell_, unknown, now, actions.cell_);
        }
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
        RunnerReply forOrigin = reply;
        forOrigin.id_ = origin->second.second;
        control.relayReplies_[origin->second.first].replies_.push_back(std::move(forOrigin));
        control.relayOrigins_.erase(origin);
    } else if (control.cell_) {
        handleRunnerReply(*control.cell_, reply, now, actions.cell_);
    }
}

} // namespace mimosapier
