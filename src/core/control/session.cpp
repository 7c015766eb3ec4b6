// Session of the daemon with the store: grants a lease, renews it, and writes the member record under it. When the
// lease expires, the store removes the member record and the leader key. finishBatch() calls pollSession().
#include "core/control/control_internal.h"

#include <algorithm>

namespace mimosapier::detail
{

// Without other evidence, a dead leader is replaced only after this time. Shorter leases would expire when the store
// twice takes 60 times its usual 4 ms to answer, or when an instance gets no processor time for a second.
static constexpr Milliseconds SessionTtl{2'500};
static constexpr Milliseconds KeepAliveInterval{650}; // tolerates three lost renewals
static constexpr Milliseconds KeepAliveTimeout{900};

Milliseconds sessionTtl(const Control &control)
{
    return std::max(SessionTtl, control.settings_.cell_.minLease_);
}

std::uint64_t sendKvCall(Control &control, KvCall call, ControlActions &actions)
{
    call.id_ = control.nextKvId_++;
    actions.cell_.kv_.push_back(std::move(call));
    return actions.cell_.kv_.back().id_;
}

// Delays the next session call; the delay doubles with each consecutive failure up to a limit.
static void scheduleSessionRetry(Control &control, TimePoint now)
{
    Session &session = control.session_;
    session.nextCallAt_ = now + StoreRetryDelay * (1U << std::min(session.failures_, MaxDoublings));
    ++session.failures_;
}

static void endSession(Control &control, std::string_view cause, ControlActions &actions)
{
    Session &session = control.session_;
    JsonObject line = beginLogLine("session-ended");
    line.text("cause", cause).number("lease", static_cast<std::int64_t>(session.lease_));
    appendLogLine(actions, line, LogLevel::Warning);
    session.lease_ = 0;
    session.registered_ = false;
    session.registering_ = false;
}

static void registerMember(Control &control, ControlActions &actions)
{
    KvCall call;
    call.purpose_ = KvPurpose::Register;
    call.op_ = KvOp::Commit;
    call.writes_ = {{std::string(MemberPrefix) + control.settings_.self_.value_,
                     control.settings_.peerAddress_ + " " + control.settings_.cell_.zone_, control.session_.lease_}};
    control.session_.registering_ = true;
    sendKvCall(control, std::move(call), actions);
}

void pollSession(Control &control, CellTime now, ControlActions &actions)
{
    Session &session = control.session_;
    if (session.lease_ != 0 && !session.registered_ && !session.registering_ && now.steady_ >= session.nextCallAt_) {
        registerMember(control, actions);
    }
    if (session.callInFlight_ || now.steady_ < session.nextCallAt_) {
        return;
    }
    KvCall call;
    call.timeout_ = KeepAliveTimeout;
    if (session.lease_ == 0) {
        call.purpose_ = KvPurpose::GrantSession;
        call.op_ = KvOp::GrantLease;
        call.ttl_ = sessionTtl(control);
    } else {
        call.purpose_ = KvPurpose::RenewSession;
        call.op_ = KvOp::RenewLease;
        call.lease_ = session.lease_;
    }
    session.callInFlight_ = true;
    sendKvCall(control, std::move(call), actions);
}

// NotFound means that the store does not know the lease any more.
static void handleRegisterReply(Control &control, const KvReply &reply, CellTime now, ControlActions &actions)
{
    Session &session = control.session_;
    session.registering_ = false;
    if (reply.status_ == KvStatus::Ok) {
        session.registered_ = true;
    } else if (reply.status_ == KvStatus::NotFound && session.lease_ != 0) {
        endSession(control, "register", actions);
    } else {
        scheduleSessionRetry(control, now.steady_);
    }
}

void handleSessionReply(Control &control, const KvReply &reply, CellTime now, ControlActions &actions)
{
    Session &session = control.session_;
    if (reply.purpose_ == KvPurpose::Register) {
        handleRegisterReply(control, reply, now, actions);
        return;
    }
    session.callInFlight_ = false;
    if (reply.status_ == KvStatus::Ok) {
        session.failures_ = 0;
        if (reply.purpose_ == KvPurpose::GrantSession) {
            session.lease_ = reply.lease_;
            session.registered_ = false;
            JsonObject line = beginLogLine("session-begun");
            line.number("lease", static_cast<std::int64_t>(reply.lease_)).number("ttl_ms", reply.ttl_.count());
            appendLogLine(actions, line);
        }
        // The store counts the lease from the arrival of the call, so counting from its sending is safe.
        const Milliseconds ttl = reply.ttl_.count() > 0 ? reply.ttl_ : SessionTtl;
        session.validUntil_ = reply.sentAt_ + ttl;
        session.nextCallAt_ = now.steady_ + KeepAliveInterval;
        return;
    }
    if (reply.status_ == KvStatus::NotFound && reply.purpose_ == KvPurpose::RenewSession) {
        endSession(control, "lapsed", actions);
        session.nextCallAt_ = now.steady_;
        return;
    }
    scheduleSessionRetry(control, now.steady_);
}

} // namespace mimosapier::detail
