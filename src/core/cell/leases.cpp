// Leases of the tasks on a runner: their length, and the time by which they have certainly ended.
//
// A lease ends at a time of the runner's own clock. A call that asks for one applies to everything that runs there, and
// the runner shortens what it asks for to the platform's longest lease, counted from when it carries the call out. A
// lease never gets shorter. What may lengthen it, and where that is counted:
// - A start or a hold of this leader, on the clock that the runner has shown: renewLease().
// - The same call on a runner that has started again under its id, before the leader has seen this incarnation. Its
//   clock has begun anew, so the end that the call names is far ahead there and the lease is the longest one. An answer
//   shows the new clock, updateClock(), and what a start was granted, noteGrantedLease(). A start without an answer may
//   have begun its run there: unseenIncarnationLeaseEnd(). A hold without one begins no run, and nothing else is
//   started in that incarnation before its first list. A ticket is valid in one incarnation and for a short time: a
//   start that carries one begins nothing in an incarnation after the one for which the ticket was issued.
// - Calls of earlier leaders, until the runner's first list of runs, see takeListedRuns(). On a runner that never
//   answers: the longest lease after the time at which they have ended. Nothing in the store tells whether their last
//   starts came to an incarnation that they had not seen.
// - A runner that gives no clock with its answer: the longest lease, see updateClock().
// A call that is carried out late by the same incarnation does not lengthen anything, as the end that it names stays
// the same. In a later incarnation it gives the longest lease from then on to all that runs there. That is counted
// while calls are seen to be late, see late_calls.cpp. So that late holds do not lengthen a run whose ticket limits
// when it begins, the leader sends no start beside a hold that asks for a lease, asks for none while a start with a
// ticket may have begun unseen, and raises the token after such a hold without an answer: an incarnation in which a
// later start has begun a run refuses that hold. A hold that waits for an end therefore asks for no lease.
#include "core/cell/cell_internal.h"

#include <algorithm>

namespace mimosapier::detail
{

// Upper bound of the time in which a lease of this length, which starts now on the runner's clock, ends.
static Milliseconds leaseBound(Milliseconds lease)
{
    return Milliseconds(static_cast<std::int64_t>(static_cast<double>(lease.count()) / MinClockRate)) + LeaseMargin;
}

Milliseconds longestLease(const Cell &cell)
{
    return leaseBound(cell.settings_.holdMax_);
}

// Records that leases on the runner may last until `untilMs` on the runner's clock.
static void extendLease(Runner &runner, std::int64_t untilMs)
{
    const Milliseconds left = leaseBound(Milliseconds(untilMs - runner.clockMs_));
    runner.leaseEndsBy_ = std::max(runner.leaseEndsBy_, runner.clockReadAt_ + left);
}

std::int64_t renewLease(const Cell &cell, Runner &runner, TimePoint now)
{
    if (runner.clockMs_ < 0) {
        return 0;
    }
    const auto since = std::chrono::duration_cast<Milliseconds>(now - runner.clockReadAt_);
    const Milliseconds lease = std::min(TaskLease, cell.settings_.holdMax_);
    const std::int64_t until = runner.clockMs_ + since.count() + lease.count();
    extendLease(runner, until);
    return until;
}

void extendLeaseToLongest(const Cell &cell, Runner &runner, TimePoint now)
{
    runner.leaseEndsBy_ = std::max(runner.leaseEndsBy_, now + longestLease(cell));
}

void noteGrantedLease(const Cell &cell, Runner &runner, std::int64_t untilMs, const RunnerReply &reply, TimePoint now)
{
    if (reply.clockMs_ >= 0 && untilMs > reply.clockMs_) {
        const Milliseconds granted = std::min(Milliseconds(untilMs - reply.clockMs_), cell.settings_.holdMax_);
        runner.leaseEndsBy_ = std::max(runner.leaseEndsBy_, now + leaseBound(granted));
    }
}

void noteUnansweredLease(Runner &runner, std::uint64_t raises, TimePoint now)
{
    runner.unansweredLeaseAt_ = now;
    runner.unansweredLeaseRaises_ = std::max(runner.unansweredLeaseRaises_, raises);
}

// A runner that rejects a start for want of room takes its lease all the same, perhaps before it looks at the ticket.
static bool mayRejectForRoom(const Cell &cell, const std::string &service)
{
    return std::any_of(
        cell.config_.services_.begin(), cell.config_.services_.end(),
        [&service](const ServiceConfig &config) { return config.name_ == service && config.enforcesCapacity_; });
}

void noteUnansweredStart(const Cell &cell, Runner &runner, const RunnerReply &reply, TimePoint now)
{
    const auto placed = runner.tasks_.find(reply.task_);
    const bool hasTicket = placed != runner.tasks_.end() && placed->second.run_ == reply.run_
        && placed->second.ticketUntil_ != TimePoint{};
    if (hasTicket && !mayRejectForRoom(cell, runner.record_.service_)) {
        runner.unansweredTicketUntil_ = std::max(runner.unansweredTicketUntil_, placed->second.ticketUntil_);
    } else {
        noteUnansweredLease(runner, runner.tokenRaises_, now);
    }
}

// True when the start carries a ticket that was issued for the incarnation that this leader knows, or an earlier one:
// the known one has answered a call since.
static bool hasTicketOfKnownIncarnation(const Runner &runner, const Placement &placement)
{
    return placement.ticketUntil_ != TimePoint{} && runner.answeredCallAt_ >= placement.ticketReceivedAt_;
}

bool isUnproven(const Runner &runner, const Placement &placement)
{
    return !placement.begun_ && placement.attempts_ > 0 && placement.ticketUntil_ != TimePoint{}
    && !hasTicketOfKnownIncarnation(runner, placement);
}

// The latest time at which an incarnation that this leader has not seen may lengthen the lease of the run, while calls
// are late; empty: no call that could do so is without an answer.
static TimePoint latestLateCall(const Runner &runner, const Placement &placement)
{
    if (placement.ticketUntil_ == TimePoint{}) {
        const TimePoint unansweredAt = std::max(placement.startUnansweredAt_, runner.unansweredLeaseAt_);
        return unansweredAt == TimePoint{} ? TimePoint{} : unansweredAt + LateCallBound;
    }
    TimePoint latest;
    if (placement.startUnansweredAt_ != TimePoint{}) {
        latest = std::max({placement.startUnansweredAt_, placement.ticketUntil_, runner.unansweredTicketUntil_});
        if (placement.startAttempts_ > 1) { // another copy may lengthen the lease of the run that one has begun
            latest = std::max<TimePoint>(latest, placement.startUnansweredAt_ + LateCallBound);
        }
    }
    // An incarnation that has begun the run refuses the calls with a lower token.
    if (runner.unansweredLeaseAt_ != TimePoint{} && runner.unansweredLeaseRaises_ >= placement.tokenRaises_) {
        latest = std::max<TimePoint>(latest, runner.unansweredLeaseAt_ + LateCallBound);
    }
    return latest;
}

TimePoint unseenIncarnationLeaseEnd(const Cell &cell, const Runner &runner, const Placement &placement)
{
    if (hasTicketOfKnownIncarnation(runner, placement)) {
        return {};
    }
    const bool mayHaveBegunUnseen = !placement.begun_ && placement.startUnansweredAt_ != TimePoint{};
    const bool isUnlisted = !runner.stateKnown_ || runner.hasNewClock_;
    if (!mayHaveBegunUnseen && !isUnlisted) {
        return {};
    }
    const TimePoint end = mayHaveBegunUnseen ? placement.startUnansweredAt_ + longestLease(cell) : TimePoint{};
    const TimePoint unansweredAt = std::max(placement.startUnansweredAt_, runner.unansweredLeaseAt_);
    const TimePoint latest = latestLateCall(runner, placement);
    const bool mayBeLate = latest != TimePoint{} && areCallsLate(cell, unansweredAt);
    return mayBeLate ? latest + longestLease(cell) : end;
}

void setLateStartBounds(Cell &cell)
{
    cell.lateStartBounds_.clear();
    for (const auto &[id, job] : cell.jobs_) {
        if (!isFinal(*job)) {
            Milliseconds &bound = cell.lateStartBounds_.try_emplace(job->policy_.service_).first->second;
            const bool hasTickets = job->policy_.policyQueries_ && !mayRejectForRoom(cell, job->policy_.service_);
            const Milliseconds own = hasTickets ? std::min(job->policy_.ticketValid_, LateCallBound) : LateCallBound;
            bound = std::max(bound, own);
        }
    }
}

Milliseconds formerLeadersLeaseWait(const Cell &cell, const std::string &service)
{
    const auto bound = cell.lateStartBounds_.find(service);
    const bool mayStartLate = bound != cell.lateStartBounds_.end() && areCallsLate(cell, cell.formerLeadersEndBy_);
    return longestLease(cell) + (mayStartLate ? bound->second : Milliseconds(0));
}

TimePoint allTasksKnownBy(const Cell &cell)
{
    if (cell.formerLeadersEndBy_ == TimePoint::max()) {
        return TimePoint::max();
    }
    TimePoint knownBy;
    for (const auto &[id, runner] : cell.runners_) {
        if (runner->mayHavePredecessorTasks_ && !runner->predecessorTasksKnown_) {
            knownBy = std::max<TimePoint>(
                knownBy, cell.formerLeadersEndBy_ + formerLeadersLeaseWait(cell, runner->record_.service_));
        }
    }
    return knownBy;
}

bool hasClockRestarted(const Runner &runner, const RunnerReply &reply)
{
    // The clock was read when the call was sent or later. It runs on at MinClockRate at least.
    const Duration elapsed = reply.sentAt_ - runner.clockReadAt_;
    const Duration advance = elapsed < Duration(0)
        ? elapsed
        : std::chrono::duration_cast<Duration>(std::chrono::duration<double>(elapsed) * MinClockRate);
    return Milliseconds(reply.clockMs_) + LeaseMargin < Milliseconds(runner.clockMs_) + advance;
}

void updateClock(const Cell &cell, Runner &runner, const RunnerReply &reply, TimePoint now)
{
    if (reply.clockMs_ < 0) {
        if (reply.status_ == RunnerStatus::Ok) {
            extendLeaseToLongest(cell, runner, now);
        }
        return;
    }
    if (hasClockRestarted(runner, reply)) {
        extendLeaseToLongest(cell, runner, now);
    }
    runner.clockMs_ = reply.clockMs_;
    runner.clockReadAt_ = now;
}

} // namespace mimosapier::detail
