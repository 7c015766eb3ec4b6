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
//   started in that incarnation before its first list.
// - Calls of earlier leaders, until the runner's first list of runs, see takeListedRuns(). On a runner that never
//   answers: the longest lease after the time at which they have ended. Nothing in the store tells whether their last
//   starts came to an incarnation that they had not seen.
// - A runner that gives no clock with its answer: the longest lease, see updateClock().
// A call that is carried out late by the same incarnation does not lengthen anything, as the end that it names stays
// the same. In a later incarnation it gives the longest lease from then on to all that runs there. That is counted
// while calls are seen to be late, see late_calls.cpp.
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

TimePoint unseenIncarnationLeaseEnd(const Cell &cell, const Runner &runner, const Placement &placement)
{
    const bool mayHaveBegunUnseen = !placement.begun_ && placement.startUnansweredAt_ != TimePoint{};
    const bool isUnlisted = !runner.stateKnown_ || runner.hasNewClock_;
    if (!mayHaveBegunUnseen && !isUnlisted) {
        return {};
    }
    const TimePoint end = mayHaveBegunUnseen ? placement.startUnansweredAt_ + longestLease(cell) : TimePoint{};
    const TimePoint unansweredAt = std::max(placement.startUnansweredAt_, runner.unansweredLeaseAt_);
    const bool mayBeLate = unansweredAt != TimePoint{} && areCallsLate(cell, unansweredAt);
    return mayBeLate ? unansweredAt + LateCallBound + longestLease(cell) : end;
}

Milliseconds formerLeadersLeaseWait(const Cell &cell)
{
    return longestLease(cell) + (areCallsLate(cell, cell.formerLeadersEndBy_) ? LateCallBound : Milliseconds(0));
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
