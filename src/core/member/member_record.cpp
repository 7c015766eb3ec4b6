// The daemon's own member record, and the store lease to which the record is attached.
#include "core/member/member_internal.h"

#include "core/message/pack_func.h"

#include <algorithm>

namespace mimosapier
{

StoreOpId sendMemberOp(Membership &m, Context &context, PendingOp op, StoreOp storeOp, Milliseconds timeout)
{
    const StoreOpId id = sendStore(context, StoreComponent::Member, {}, std::move(storeOp));
    op.sentAt_ = context.now_;
    op.timeoutAt_ = context.now_ + timeout;
    m.pendingOps_.emplace(id, std::move(op));
    return id;
}

static std::string recordKey(const Membership &m)
{
    return "members/" + m.settings_.region_.value_ + "/" + m.settings_.self_.value_;
}

static void writeRecord(Membership &m, Context &context)
{
    const MemberRecord record{m.settings_.region_, m.settings_.zone_, m.settings_.peerAddress_, m.startOrder_,
                              m.leaving_};
    PendingOp op{OpKind::WriteRecord, {}, {}, {}, m.leaving_, {}};
    m.recordOp_ = sendMemberOp(m, context, std::move(op),
                               StoreCas{recordKey(m), packToString(record), m.recordRevision_, m.lease_});
}

void tickRecord(Membership &m, Context &context)
{
    if (m.revokeAttempted_ || m.recordRemoved_) {
        return;
    }
    if (m.leaseOp_.value_ == 0 && context.now_ >= m.renewAt_) {
        m.renewAt_ = context.now_ + RenewInterval;
        if (m.lease_.value_ == 0) {
            m.leaseOp_
                = sendMemberOp(m, context, {OpKind::GrantLease, {}, {}, {}, false, {}}, StoreLeaseGrant{MemberLease});
        } else {
            m.leaseOp_
                = sendMemberOp(m, context, {OpKind::RenewLease, {}, {}, {}, false, {}}, StoreLeaseRenew{m.lease_});
        }
    }
    const bool stale = m.recordRevision_.value_ == 0 || m.recordLeaving_ != m.leaving_;
    // The record contains startOrder_, which is known after the first list of the members.
    if (stale && m.lease_.value_ != 0 && m.recordOp_.value_ == 0 && m.memberWatch_.listed_
        && context.now_ >= m.nextRecordWriteAt_) {
        writeRecord(m, context);
    }
}

// The store has deleted the member record with the expired lease, and others may have claimed this daemon's shards.
static void onLeaseLost(Membership &m, Context &context)
{
    if (m.lease_.value_ != 0) {
        logLine(context, LogLevel::Warning, "[member] The store lease has expired; requesting a new one.");
    }
    m.lease_ = {};
    m.recordRevision_ = {};
    m.renewAt_ = context.now_;
    m.ownershipUncertain_ = true;
    m.directoryDirty_ = true;
}

static void onLeaseResult(Membership &m, const PendingOp &op, const StoreResult &result, Context &context)
{
    m.leaseOp_ = {};
    if (result.status_ == StoreStatus::Ok) {
        if (op.kind_ == OpKind::GrantLease) {
            m.lease_ = result.lease_;
        }
        m.leaseConfirmedAt_ = std::max(m.leaseConfirmedAt_, op.sentAt_);
    } else if (result.status_ == StoreStatus::NotFound) {
        onLeaseLost(m, context);
    }
}

static void onRecordWriteResult(Membership &m, const PendingOp &op, const StoreResult &result, Context &context)
{
    m.recordOp_ = {};
    switch (result.status_) {
    case StoreStatus::Ok:
        m.recordRevision_ = result.revision_;
        m.recordLeaving_ = op.leaving_;
        return;
    case StoreStatus::Conflict:
        // The record is from an earlier write whose answer was lost, or is attached to a former lease. recordLeaving_
        // is made to differ from leaving_, so that tickRecord writes the record again, with the current lease.
        m.recordRevision_ = result.entries_.empty() ? Revision{} : result.entries_.front().revision_;
        m.recordLeaving_ = !m.leaving_;
        return;
    case StoreStatus::NotFound:
        onLeaseLost(m, context);
        return;
    case StoreStatus::Unavailable:
    case StoreStatus::Unchanged: // results of watches only
    case StoreStatus::Unknown:
        m.nextRecordWriteAt_ = context.now_ + StoreRetryInterval;
        return;
    }
}

void onRecordResult(Membership &m, const PendingOp &op, const StoreResult &result, Context &context)
{
    if (op.kind_ == OpKind::WriteRecord) {
        onRecordWriteResult(m, op, result, context);
    } else if (op.kind_ == OpKind::RevokeLease) {
        m.revoking_ = false;
        if (result.status_ == StoreStatus::Ok || result.status_ == StoreStatus::NotFound) {
            m.recordRemoved_ = true;
            m.recordRevision_ = {};
            m.lease_ = {};
        }
    } else {
        onLeaseResult(m, op, result, context);
    }
}

} // namespace mimosapier
