// Announces a change to a majority of the voters before it is written. A daemon that knows of the announcement cannot
// confirm the old version any more, so no majority without the store goes on with that version.
#include "core/config/config_internal.h"

#include <algorithm>

namespace mimosapier
{

// The voters of the present head that are still members; all members when none is left, as sign-offs would otherwise be
// blocked for ever. None while the members are not known, or do not yet include the voters of the present head that
// have lost their records in an outage.
static std::vector<DaemonId> announceTargets(const ConfigState &state, const HeadRecord &head)
{
    if (state.membersVersion_ != state.head_.version_) {
        return {};
    }
    std::vector<DaemonId> members;
    for (const DaemonId &voter : head.voters_) {
        if (std::find(state.members_.begin(), state.members_.end(), voter) != state.members_.end()) {
            members.push_back(voter);
        }
    }
    return members.empty() ? state.members_ : members;
}

static void sendAnnouncement(ConfigState &state, SignOff &sign, Context &context)
{
    sign.announceRepeatAt_ = context.now_ + AnnounceRepeatInterval;
    const ConfigAnnounce message{sign.announce_, sign.head_.version_, false};
    sign.announcedTo_.insert(sign.announceTargets_.begin(), sign.announceTargets_.end());
    for (const DaemonId &daemon : sign.announceTargets_) {
        if (daemon == context.self_) {
            state.announcements_[daemon] = message;
            sign.acks_.insert(daemon);
        } else if (!sign.acks_.contains(daemon)) {
            sendPeer(context, daemon, message);
        }
    }
}

// Sends the announcement of sign.head_, or repeats it to the targets that have not acknowledged. The targets follow the
// members, which a daemon does not know right after its start.
void announce(ConfigState &state, SignOff &sign, Context &context)
{
    if (sign.announce_.value_ == 0) {
        sign.announce_ = CallId{context.actions_.nextId()};
        sign.announceDeadline_ = context.now_ + AnnounceTimeout;
    }
    std::vector<DaemonId> targets = announceTargets(state, sign.head_);
    if (targets != sign.announceTargets_) {
        sign.announceTargets_ = std::move(targets);
        sign.announceRepeatAt_ = context.now_;
    }
    if (!sign.announceTargets_.empty() && context.now_ >= sign.announceRepeatAt_) {
        sendAnnouncement(state, sign, context);
    }
}

bool hasMajority(const SignOff &sign)
{
    const auto acknowledged = std::count_if(sign.announceTargets_.begin(), sign.announceTargets_.end(),
                                            [&sign](const DaemonId &daemon) { return sign.acks_.contains(daemon); });
    return 2 * static_cast<std::size_t>(acknowledged) > sign.announceTargets_.size();
}

void withdraw(ConfigState &state, const SignOff &sign, Context &context)
{
    if (sign.announce_.value_ == 0) {
        return;
    }
    state.announcements_.erase(context.self_);
    state.withdrawals_.push_back(
        {{sign.announce_, sign.head_.version_, true}, sign.announcedTo_, MaxWithdrawalSends, context.now_});
    tickWithdrawals(state, context);
}

void tickWithdrawals(ConfigState &state, Context &context)
{
    for (Withdrawal &withdrawal : state.withdrawals_) {
        if (context.now_ < withdrawal.nextAt_) {
            continue;
        }
        withdrawal.nextAt_ = context.now_ + AnnounceRepeatInterval;
        --withdrawal.sendsLeft_;
        for (const DaemonId &daemon : withdrawal.to_) {
            if (daemon != context.self_) {
                sendPeer(context, daemon, withdrawal.message_);
            }
        }
    }
    std::erase_if(state.withdrawals_, [](const Withdrawal &withdrawal) { return withdrawal.sendsLeft_ <= 0; });
}

void eraseAppliedAnnouncements(ConfigState &state)
{
    std::erase_if(state.announcements_,
                  [&state](const auto &entry) { return entry.second.version_ <= state.head_.version_; });
}

// The call ids of a signing daemon ascend, so an old message that arrives late is recognised and ignored.
void onConfigAnnounce(ConfigState &state, const DaemonId &from, const ConfigAnnounce &message, Context &context)
{
    const auto known = state.announcements_.find(from);
    if (message.withdrawn_) {
        if (known != state.announcements_.end() && known->second.call_ == message.call_) {
            state.announcements_.erase(known);
        }
        auto &withdrawn = state.withdrawnCalls_[from];
        withdrawn = std::max(withdrawn, message.call_);
        return;
    }
    const auto withdrawn = state.withdrawnCalls_.find(from);
    if (withdrawn != state.withdrawnCalls_.end() && message.call_ <= withdrawn->second) {
        return;
    }
    if (message.version_ > state.head_.version_
        && (known == state.announcements_.end() || known->second.call_ <= message.call_)) {
        state.announcements_[from] = message;
    }
    sendPeer(context, from, ConfigAnnounceAck{message.call_, message.version_});
}

void onConfigAnnounceAck(ConfigState &state, const DaemonId &from, const ConfigAnnounceAck &message, Context &context)
{
    if (state.signOffs_.empty() || state.signOffs_.front().announce_ != message.call_) {
        return;
    }
    SignOff &sign = state.signOffs_.front();
    if (sign.announcedTo_.contains(from)) {
        sign.acks_.insert(from);
    }
    tickSignOffs(state, context);
}

} // namespace mimosapier
