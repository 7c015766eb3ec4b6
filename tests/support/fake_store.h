// In-memory key-value store for tests of the decision logic: revisions, leases and watches. It performs no I/O: the
// test passes the simulated time and calls answerDueWatches().
#pragma once

#include "core/common/time_type.h"
#include "core/message/store_type.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace mimosapier::test
{

struct FakeStore
{
    struct Value
    {
        std::string value_;
        std::uint64_t revision_ = 0;
        std::uint64_t lease_ = 0;
    };

    // Watch that waits for a change or the end of its wait time.
    struct PendingWatch
    {
        StoreWatch watch_;
        TimePoint waitUntil_;
        std::function<void(StoreResult)> answer_;
        bool changed_ = false; // a key with the prefix was written or deleted
    };

    std::map<std::string, Value> keys_;
    std::map<std::uint64_t, TimePoint> leaseEnds_; // expiry time by lease
    std::map<std::uint64_t, Milliseconds> ttls_;
    std::vector<PendingWatch> pendingWatches_;
    std::uint64_t revision_ = 1;
    std::uint64_t calls_ = 0; // operations and watches
    std::uint64_t writes_ = 0; // compare-and-swap operations, including failed ones
    std::size_t largestValue_ = 0; // bytes of the largest value written
    // Called after each successful compare-and-swap.
    std::function<void(const std::string &key, const std::string &value)> onWrite_;

    std::vector<StoreEntry> list(const std::string &prefix) const
    {
        std::vector<StoreEntry> entries;
        for (auto it = keys_.lower_bound(prefix); it != keys_.end() && it->first.starts_with(prefix); ++it) {
            entries.push_back({it->first, it->second.value_, Revision{it->second.revision_}});
        }
        return entries;
    }

    // Executes an operation and returns its result, without the fields that identify the request. A watch is answered
    // at once; use watch() for one that waits.
    StoreResult apply(const StoreOp &op, TimePoint now)
    {
        ++calls_;
        expire(now);
        StoreResult result;
        result.status_ = StoreStatus::Ok;
        std::visit([&](const auto &body) { execute(body, now, result); }, op);
        if (result.revision_.value_ == 0) {
            result.revision_ = Revision{revision_};
        }
        return result;
    }

    // Executes a request and returns its result.
    StoreResult answer(const StoreRequest &request, TimePoint now)
    {
        StoreResult result = apply(request.op_, now);
        result.id_ = request.id_;
        result.component_ = request.component_;
        result.shard_ = request.shard_;
        return result;
    }

    // Registers a watch; answerDueWatches() calls `answer` when it is due.
    void watch(const StoreWatch &watch, TimePoint now, std::function<void(StoreResult)> answer)
    {
        ++calls_;
        pendingWatches_.push_back({watch, now + watch.wait_, std::move(answer)});
    }

    // Answers the watches that have a change to report or whose wait time is over. Call it after each change and
    // periodically.
    void answerDueWatches(TimePoint now)
    {
        expire(now);
        std::vector<PendingWatch> due;
        std::erase_if(pendingWatches_, [&](PendingWatch &pending) {
            const auto firstChange = changes_.lower_bound(pending.watch_.after_.value_ + 1);
            for (auto it = firstChange; !pending.changed_ && it != changes_.end(); ++it) {
                pending.changed_ = it->second.starts_with(pending.watch_.prefix_);
            }
            const bool ready = pending.changed_ || now >= pending.waitUntil_;
            if (ready) {
                due.push_back(std::move(pending));
            }
            return ready;
        });
        for (PendingWatch &pending : due) {
            StoreResult result;
            result.status_ = pending.changed_ ? StoreStatus::Ok : StoreStatus::Unchanged;
            if (pending.changed_) {
                result.entries_ = list(pending.watch_.prefix_);
            }
            result.revision_ = Revision{revision_};
            pending.answer_(std::move(result));
        }
    }

private:
    std::map<std::uint64_t, std::string> changes_; // key by revision

    void recordChange(const std::string &key) { changes_[revision_] = key; }

    void expire(TimePoint now)
    {
        for (auto it = leaseEnds_.begin(); it != leaseEnds_.end();) {
            if (it->second > now) {
                ++it;
                continue;
            }
            deleteLeaseKeys(it->first);
            it = leaseEnds_.erase(it);
        }
    }

    void deleteLeaseKeys(std::uint64_t lease)
    {
        for (auto it = keys_.begin(); it != keys_.end();) {
            if (it->second.lease_ == lease) {
                ++revision_;
                recordChange(it->first);
                it = keys_.erase(it);
            } else {
                ++it;
            }
        }
    }

    void execute(const StoreGet &op, TimePoint /*now*/, StoreResult &result)
    {
        const auto found = keys_.find(op.key_);
        if (found == keys_.end()) {
            result.status_ = StoreStatus::NotFound;
            return;
        }
        result.entries_.push_back({op.key_, found->second.value_, Revision{found->second.revision_}});
    }

    void execute(const StoreList &op, TimePoint /*now*/, StoreResult &result) { result.entries_ = list(op.prefix_); }

    void execute(const StoreCas &op, TimePoint /*now*/, StoreResult &result)
    {
        ++writes_;
        if (op.lease_.value_ != 0 && !leaseEnds_.contains(op.lease_.value_)) {
            result.status_ = StoreStatus::NotFound;
            return;
        }
        const auto found = keys_.find(op.key_);
        const std::uint64_t current = found == keys_.end() ? 0 : found->second.revision_;
        if (current != op.expected_.value_) {
            result.status_ = StoreStatus::Conflict;
            if (found != keys_.end()) {
                result.entries_.push_back({op.key_, found->second.value_, Revision{current}});
            }
            return;
        }
        ++revision_;
        recordChange(op.key_);
        largestValue_ = std::max(largestValue_, op.value_.size());
        keys_[op.key_] = {op.value_, revision_, op.lease_.value_};
        result.revision_ = Revision{revision_};
        if (onWrite_) {
            onWrite_(op.key_, op.value_);
        }
    }

    void execute(const StoreDelete &op, TimePoint /*now*/, StoreResult &result)
    {
        const auto found = keys_.find(op.key_);
        if (found == keys_.end() || found->second.revision_ != op.expected_.value_) {
            result.status_ = found == keys_.end() ? StoreStatus::NotFound : StoreStatus::Conflict;
            if (found != keys_.end()) {
                result.entries_.push_back({op.key_, found->second.value_, Revision{found->second.revision_}});
            }
            return;
        }
        ++revision_;
        recordChange(op.key_);
        keys_.erase(found);
    }

    void execute(const StoreLeaseGrant &op, TimePoint now, StoreResult &result)
    {
        const std::uint64_t lease = ++lastLease_;
        leaseEnds_[lease] = now + op.ttl_;
        ttls_[lease] = op.ttl_;
        result.lease_ = StoreLeaseId{lease};
    }

    void execute(const StoreLeaseRenew &op, TimePoint now, StoreResult &result)
    {
        const auto found = leaseEnds_.find(op.lease_.value_);
        if (found == leaseEnds_.end()) {
            result.status_ = StoreStatus::NotFound;
            return;
        }
        found->second = now + ttls_[op.lease_.value_];
    }

    void execute(const StoreLeaseRevoke &op, TimePoint /*now*/, StoreResult & /*result*/)
    {
        leaseEnds_.erase(op.lease_.value_);
        deleteLeaseKeys(op.lease_.value_);
    }

    void execute(const StoreWatch &op, TimePoint /*now*/, StoreResult &result) { result.entries_ = list(op.prefix_); }

    std::uint64_t lastLease_ = 0;
};

} // namespace mimosapier::test
