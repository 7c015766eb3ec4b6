// The store as tests need it: compare-and-swap with outages, answers that are lost after the write, and writes that
// take effect late.
#pragma once

#include "core/message/store_type.h"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace mimosapier::test
{

struct FakeStore
{
    enum class Fault { None, Refuses, LosesRequest, LosesAnswer, AppliesLate };

    std::map<std::string, StoreEntry> keys_;
    std::uint64_t revision_ = 0;
    Fault fault_ = Fault::None;
    int faults_ = 0; // operations that the fault still concerns; -1: all
    std::deque<std::pair<TimePoint, StoreOp>> late_;
    std::size_t largestValue_ = 0;
    std::size_t calls_ = 0;

    StoreResult apply(const StoreOp &op)
    {
        StoreResult result;
        result.status_ = StoreStatus::Ok;
        if (const auto *get = std::get_if<StoreGet>(&op)) {
            const auto found = keys_.find(get->key_);
            if (found == keys_.end()) {
                result.status_ = StoreStatus::NotFound;
            } else {
                result.entries_.push_back(found->second);
            }
        } else if (const auto *cas = std::get_if<StoreCas>(&op)) {
            const auto found = keys_.find(cas->key_);
            const Revision current = found == keys_.end() ? Revision {} : found->second.revision_;
            if (current != cas->expected_) {
                result.status_ = StoreStatus::Conflict;
                if (found != keys_.end()) {
                    result.entries_.push_back(found->second);
                }
            } else {
                largestValue_ = std::max(largestValue_, cas->value_.size());
                result.revision_ = {++revision_};
                keys_[cas->key_] = {cas->key_, cas->value_, result.revision_};
            }
        } else if (const auto *del = std::get_if<StoreDelete>(&op)) {
            const auto found = keys_.find(del->key_);
            if (found == keys_.end()) {
                result.status_ = StoreStatus::NotFound;
            } else if (found->second.revision_ != del->expected_) {
                result.status_ = StoreStatus::Conflict;
                result.entries_.push_back(found->second);
            } else {
                keys_.erase(found);
            }
        }
        return result;
    }

    StoreResult handle(const StoreRequest &request, TimePoint now)
    {
        ++calls_;
        Fault fault = Fault::None;
        if (faults_ != 0) {
            fault = fault_;
            faults_ -= faults_ > 0 ? 1 : 0;
        }
        StoreResult result;
        result.status_ = StoreStatus::Unknown;
        switch (fault) {
        case Fault::None:
            result = apply(request.op_);
            break;
        case Fault::Refuses:
            result.status_ = StoreStatus::Unavailable;
            break;
        case Fault::LosesRequest:
            break;
        case Fault::LosesAnswer:
            apply(request.op_);
            break;
        case Fault::AppliesLate:
            late_.emplace_back(now + Milliseconds(400), request.op_);
            break;
        }
        result.id_ = request.id_;
        result.part_ = request.part_;
        result.shard_ = request.shard_;
        return result;
    }

    void applyLate(TimePoint now)
    {
        while (!late_.empty() && late_.front().first <= now) {
            apply(late_.front().second);
            late_.pop_front();
        }
    }
};

} // namespace mimosapier::test
