// FakeStore with faults: outages, lost requests, lost answers, and operations that take effect after their answer. For
// tests on simulated time.
#pragma once

#include "support/fake_store.h"

#include <deque>
#include <utility>

namespace mimosapier::test
{

struct FaultyStore : FakeStore
{
    // Refuses: status Unavailable, no effect. The others: status Unknown; the operation has no effect (LosesRequest),
    // has taken effect (LosesAnswer), or takes effect 400 ms later (AppliesLate).
    enum class Fault { None, Refuses, LosesRequest, LosesAnswer, AppliesLate };

    Fault fault_ = Fault::None;
    int faultsLeft_ = 0; // number of operations that will still fail; -1: all
    std::deque<std::pair<TimePoint, StoreOp>> delayedOps_; // with the time when they take effect

    StoreResult handle(const StoreRequest &request, TimePoint now)
    {
        Fault fault = Fault::None;
        if (faultsLeft_ != 0) {
            fault = fault_;
            faultsLeft_ -= faultsLeft_ > 0 ? 1 : 0;
        }
        if (fault == Fault::None) {
            return answer(request, now);
        }
        StoreResult result;
        result.status_ = fault == Fault::Refuses ? StoreStatus::Unavailable : StoreStatus::Unknown;
        result.id_ = request.id_;
        result.component_ = request.component_;
        result.shard_ = request.shard_;
        if (fault == Fault::LosesAnswer) {
            apply(request.op_, now);
        } else {
            ++calls_;
        }
        if (fault == Fault::AppliesLate) {
            delayedOps_.emplace_back(now + Milliseconds(400), request.op_);
        }
        return result;
    }

    // Applies the delayed operations that are due.
    void applyDelayedOps(TimePoint now)
    {
        while (!delayedOps_.empty() && delayedOps_.front().first <= now) {
            apply(delayedOps_.front().second, now);
            delayedOps_.pop_front();
        }
    }
};

} // namespace mimosapier::test
