// Relaying of calls to runners. In a large cluster the leader's processor would go into thousands of HTTP calls a
// second; instead a daemon in the runner's availability zone makes them, and the leader exchanges batches with the
// daemons.
#include "core/control/control_internal.h"

#include <algorithm>

namespace mimosapier::detail
{

// Daemons from which on calls are relayed. The leader of a smaller cluster has processor to spare.
static constexpr std::size_t RelayFrom = 12;
// Added to the time that the call itself may take: ways between regions, and a relay that is busy.
static constexpr Milliseconds RelayMargin{600};
// A daemon that was not heard for this long, two beacons, is not chosen: its connections may be dead.
static constexpr Milliseconds RelaySilence{1'100};
// Ids of calls that are made for others; those of a leader's own calls begin with its epoch.
static constexpr std::uint64_t RelayIds = std::uint64_t{1} << 63U;

// The daemon that calls the runner, the same one as long as the members do not change; nullptr: this daemon.
static const DaemonId *chooseRelay(const Control &control, const RunnerCall &call, TimePoint now)
{
    const auto runner = control.cell_->runners_.find(call.runner_);
    if (runner == control.cell_->runners_.end()) {
        return nullptr;
    }
    const DaemonId *best = nullptr;
    std::size_t bestHash = 0;
    for (const auto &[daemon, member] : control.members_) {
        if (member.connected_ && member.listed_ && now < member.beaconAt_ + RelaySilence
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
    if (!control.cell_ || control.members_.size() < RelayFrom) {
        return;
    }
    std::map<DaemonId, RelayedCalls> batches;
    std::vector<RunnerCall> own;
    for (RunnerCall &call : actions.cell_.runners_) {
        const DaemonId *relay = (call.id_ & RelayIds) == 0 ? chooseRelay(control, call, now.steady_) : nullptr;
        if (relay == nullptr) {
            own.push_back(std::move(call));
            continue;
        }
        RelayedCall relayed;
        relayed.relay_ = *relay;
        relayed.blank_.id_ = call.id_;
        relayed.blank_.op_ = call.op_;
        relayed.blank_.runner_ = call.runner_;
        relayed.blank_.task_ = call.task_;
        relayed.blank_.run_ = call.run_;
        relayed.blank_.sentAt_ = now.steady_;
        relayed.expiresAt_ = now.steady_ + call.wait_ + call.timeout_ + RelayMargin;
        control.relayed_.emplace(call.id_, std::move(relayed));
        batches[*relay].calls_.push_back(std::move(call));
    }
    actions.cell_.runners_ = std::move(own);
    for (auto &[relay, batch] : batches) {
        actions.peers_.push_back({relay, std::move(batch)});
    }
}

void makeRelayedCalls(Control &control, const DaemonId &from, const RelayedCalls &calls, ControlActions &actions)
{
    for (RunnerCall call : calls.calls_) {
        const std::uint64_t id = RelayIds + ++control.nextRelayId_;
        control.relaying_.emplace(id, std::make_pair(from, call.id_));
        call.id_ = id;
        actions.cell_.runners_.push_back(std::move(call));
    }
}

void relayReplies(Control &control, ControlActions &actions)
{
    for (auto &[origin, replies] : control.relayReplies_) {
        actions.peers_.push_back({origin, std::move(replies)});
    }
    control.relayReplies_.clear();
}

void takeRelayedReplies(Control &control, const RelayedReplies &replies, CellTime now, ControlActions &actions)
{
    for (RunnerReply reply : replies.replies_) {
        const auto found = control.relayed_.find(reply.id_);
        if (found == control.relayed_.end()) {
            continue; // counted as lost already
        }
        reply.sentAt_ = found->second.blank_.sentAt_;
        control.relayed_.erase(found);
        if (control.cell_) {
            handleRunnerReply(*control.cell_, reply, now, actions.cell_);
        }
    }
}

// Calls whose relay is gone, or that have no reply in time, may have been made.
void expireRelayed(Control &control, const DaemonId &gone, CellTime now, ControlActions &actions)
{
    for (auto call = control.relayed_.begin(); call != control.relayed_.end();) {
        if (call->second.relay_ != gone && now.steady_ < call->second.expiresAt_) {
            ++call;
            continue;
        }
        const RunnerReply unknown = call->second.blank_;
        call = control.relayed_.erase(call);
        if (control.cell_) {
            handleRunnerReply(*control.cell_, unknown, now, actions.cell_);
        }
    }
}

} // namespace mimosapier::detail

namespace mimosapier
{

using namespace detail;

void runnerReply(Control &control, const RunnerReply &reply, CellTime now, ControlActions &actions)
{
    const auto relaying = control.relaying_.find(reply.id_);
    if (relaying != control.relaying_.end()) {
        RunnerReply forOrigin = reply;
        forOrigin.id_ = relaying->second.second;
        control.relayReplies_[relaying->second.first].replies_.push_back(std::move(forOrigin));
        control.relaying_.erase(relaying);
    } else if (control.cell_) {
        handleRunnerReply(*control.cell_, reply, now, actions.cell_);
    }
}

} // namespace mimosapier
