// Small in-memory stand-in for the platform's store: get and compare-and-swap on revisions.
#pragma once

#include "core/message/store_type.h"

#include <map>
#include <string>

namespace mimosapier::test
{

struct FakeStore
{
    std::map<std::string, StoreEntry> entries_;
    std::uint64_t revision_ = 0;
    std::uint64_t writes_ = 0;
    std::uint64_t reads_ = 0;

    StoreResult apply(const StoreRequest &request)
    {
        StoreResult result;
        result.id_ = request.id_;
        result.part_ = request.part_;
        result.status_ = StoreStatus::Ok;
        if (const auto *get = std::get_if<StoreGet>(&request.op_)) {
            ++reads_;
            const auto found = entries_.find(get->key_);
            result.status_ = found == entries_.end() ? StoreStatus::NotFound : StoreStatus::Ok;
            if (found != entries_.end()) {
                result.entries_.push_back(found->second);
            }
        } else if (const auto *cas = std::get_if<StoreCas>(&request.op_)) {
            ++writes_;
            const auto found = entries_.find(cas->key_);
            const Revision current = found == entries_.end() ? Revision {} : found->second.revision_;
            if (current != cas->expected_) {
                result.status_ = StoreStatus::Conflict;
                if (found != entries_.end()) {
                    result.entries_.push_back(found->second);
                }
            } else {
                result.revision_ = Revision {++revision_};
                entries_[cas->key_] = {cas->key_, cas->value_, result.revision_};
            }
        }
        return result;
    }
};

} // namespace mimosapier::test
