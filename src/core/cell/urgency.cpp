// Order in which waiting steps get policy queries and runners, and how often the waiting steps are examined.
//
// Designed for bursts that exceed what the runners, the policy service or the leader's processor can carry. Jobs that
// can still meet their objective come first, then those with a value when late, then the rest; within these classes, by
// priority and then by objective. A backlog that is late anyway thus delays neither the starts nor the policy queries
// of the jobs after it. The objectives of accounts with much past use are taken as later, see past_use.cpp.
#include "core/cell/cell_internal.h"

#include <algorithm>

namespace mimosapier::detail
{

// Estimates of run times are rough: a step counts as late only when this part of its estimate no longer fits.
static constexpr double CertainShareOfEstimate = 0.8;

static Milliseconds certainPart(Milliseconds estimate)
{
    return Milliseconds(static_cast<std::int64_t>(static_cast<double>(estimate.count()) * CertainShareOfEstimate));
}

Milliseconds certainWork(const Job &job)
{
    const auto longest = std::max_element(job.criticalPaths_.begin(), job.criticalPaths_.end());
    return longest == job.criticalPaths_.end() ? Milliseconds(0) : certainPart(*longest);
}

static UrgencyClass urgencyClassOf(const Job &job, std::uint32_t step, TimePoint now)
{
    if (job.submitted_.repeatCount_ > 0 || stepSpec(job, step).longRunning_) {
        return job.beyondShare_ ? UrgencyClass::BeyondShare : UrgencyClass::InTime;
    }
    const TimePoint end = now + certainPart(job.criticalPaths_[step]);
    if (end <= job.objectiveAt_) {
        return job.beyondShare_ ? UrgencyClass::BeyondShare : UrgencyClass::InTime;
    }
    return end <= job.valueEndsAt_ && !job.beyondShare_ ? UrgencyClass::Late : UrgencyClass::BestEffort;
}

Duration pastUseShift(const Cell &cell, const Job &job, std::uint32_t step, TimePoint now)
{
    const Milliseconds largest = largestPastUseShift(cell, job.account_);
    if (largest == Milliseconds(0)) {
        return Duration::zero();
    }
    const Duration slack = job.objectiveAt_ - now - certainPart(job.criticalPaths_[step]);
    return std::clamp<Duration>(slack, Duration::zero(), largest);
}

UrgencyKey urgencyOf(const Cell &cell, const Job &job, const StepRef &ref, TimePoint now)
{
    const TimePoint objectiveAt = job.objectiveAt_ + pastUseShift(cell, job, ref.step_, now);
    return {urgencyClassOf(job, ref.step_, now), job.policy_.priority_, objectiveAt, ref};
}

Duration passInterval(std::size_t waitingSteps)
{
    constexpr Milliseconds MinInterval{4};
    // A pass takes about a microsecond for each waiting step, so passes over a long queue take a twentieth of a
    // processor.
    constexpr std::chrono::microseconds IntervalPerStep{20};
    return std::max<Duration>(MinInterval, IntervalPerStep * static_cast<std::int64_t>(waitingSteps));
}

} // namespace mimosapier::detail
