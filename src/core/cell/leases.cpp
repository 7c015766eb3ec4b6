// Leases of the tasks on a runner: their length, and the time by which they have certainly ended.
#include "core/cell/cell_internal.h"

#include <algorithm>

namespace mimosapier::detail
{

// Records that leases on the runner may last until `untilMs` on the runner's clock.
static void extendLease(Runner &runner, std::int64_t untilMs)
{
    const auto left
        = Milliseconds(static_cast<std::int64_t>(static_cast<double>(untilMs - runner.clockMs_) / MinClockRate));
    runner.leaseEndsBy_ = std::max(runner.leaseEndsBy_, runner.clockReadAt_ + left + LeaseMargin);
}

// Length of the leases that this leader asks for.
static Milliseconds taskLease(const Cell &cell)
{
    return std::min(TaskLease, cell.settings_.holdMax_);
}

std::int64_t renewLease(const Cell &cell, Runner &runner, TimePoint now)
{
    if (runner.clockMs_ < 0) {
        return 0;
    }
    const auto since = std::chrono::duration_cast<Milliseconds>(now - runner.clockReadAt_);
    const std::int64_t until = runner.clockMs_ + since.count() + taskLease(cell).count();
    extendLease(runner, until);
    return until;
}

Milliseconds leaseBound(Milliseconds lease)
{
    return Milliseconds(static_cast<std::int64_t>(static_cast<double>(lease.count()) / MinClockRate)) + LeaseMargin;
}

Milliseconds longestLease(const Cell &cell)
{
    return leaseBound(taskLease(cell));
}

bool hasClockRestarted(const Runner &runner, const RunnerReply &reply)
{
    const Duration sentBefore = std::max(Duration(0), runner.clockReadAt_ - reply.sentAt_);
    return Milliseconds(reply.clockMs_) + sentBefore + LeaseMargin < Milliseconds(runner.clockMs_);
}

void updateClock(const Cell &cell, Runner &runner, const RunnerReply &reply, TimePoint now)
{
    if (reply.clockMs_ < 0) {
        return;
    }
    if (hasClockRestarted(runner, reply)) {
        // A start may have named a time of the earlier clock; the runner shortens such a lease only to the longest one.
        runner.leaseEndsBy_ = std::max(runner.leaseEndsBy_, now + leaseBound(cell.settings_.holdMax_));
    }
    runner.clockMs_ = reply.clockMs_;
    runner.clockReadAt_ = now;
}

} // namespace mimosapier::detail
