// Operations on the platform's key-value service, which the decision logic requests, and their results.
#pragma once

#include "core/common/id_type.h"
#include "core/common/time_type.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace mimosapier
{

// Component of the daemon to which the result of an operation is dispatched.
enum class StoreComponent : std::uint8_t { Member, Config, Limit, Home };

struct StoreGet
{
    std::string key_;
};

struct StoreList
{
    std::string prefix_; // the result has all keys with this prefix in ascending order
};

// Compare-and-swap: writes if the key's revision is expected_; 0 means that the key must be absent.
struct StoreCas
{
    std::string key_;
    std::string value_; // at most 1 MB
    Revision expected_;
    StoreLeaseId lease_; // the key is deleted when this lease ends; 0: none
};

// Deletes if the key's revision is expected_.
struct StoreDelete
{
    std::string key_;
    Revision expected_;
};

struct StoreLeaseGrant
{
    Milliseconds ttl_{0};
};

struct StoreLeaseRenew
{
    StoreLeaseId lease_;
};

struct StoreLeaseRevoke
{
    StoreLeaseId lease_;
};

// Waits up to wait_ for a change under the prefix after revision after_. The result is Ok with all keys under the
// prefix, as for StoreList, or Unchanged. Its revision_ is the after_ of the next watch.
struct StoreWatch
{
    std::string prefix_;
    Revision after_;
    Milliseconds wait_{0};
};

using StoreOp = std::variant<StoreGet, StoreList, StoreCas, StoreDelete, StoreLeaseGrant, StoreLeaseRenew,
                             StoreLeaseRevoke, StoreWatch>;

struct StoreRequest
{
    StoreOpId id_;
    StoreComponent component_ = StoreComponent::Member;
    ShardId shard_; // partition for Home; otherwise empty
    StoreOp op_;
};

enum class StoreStatus : std::uint8_t {
    Ok,
    Unchanged, // only for a watch: no change under the prefix since after_
    Conflict, // the revision differs; entries_ has the current value if the key exists
    NotFound, // key or lease is absent
    Unavailable, // the operation had no effect and will have none
    Unknown, // the operation may have taken effect
};

struct StoreEntry
{
    std::string key_;
    std::string value_;
    Revision revision_;
};

struct StoreResult
{
    StoreOpId id_;
    StoreComponent component_ = StoreComponent::Member;
    ShardId shard_;
    StoreStatus status_ = StoreStatus::Unknown;
    std::vector<StoreEntry> entries_;
    Revision revision_; // of the whole store, for lists and watches; of the key after a successful StoreCas
    StoreLeaseId lease_; // of a grant
};

} // namespace mimosapier
