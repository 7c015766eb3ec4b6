// Operations on the platform's key-value service, as the decision logic asks for them.
#pragma once

#include "core/common/id_type.h"
#include "core/common/time_type.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace mimosapier
{

// Part of the daemon that gets the result of an operation.
enum class StoreComponent : std::uint8_t { Member, Config, Limit, Home };

struct StoreGet
{
    std::string key_;
};

struct StoreList
{
    std::string prefix_; // returns all keys with this prefix in ascending order
};

// Writes when the key's revision is expected_; 0 means the key must be absent.
struct StoreCas
{
    std::string key_;
    std::string value_; // at most 1 MB
    Revision expected_;
    StoreLeaseId lease_; // the key goes with this lease; 0 for none
};

// Deletes when the key's revision is expected_.
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

// Waits until the prefix has a change after revision after_, or for wait_. Result: Ok with the keys under the prefix as
// StoreList gives them, or Unchanged; and the revision to continue from.
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
    Unchanged, // of a watch: nothing under the prefix has changed since after_; revision_ is where to continue
    Conflict, // revision differs; entries_ holds the current value when the key exists
    NotFound, // key or lease is absent
    Unavailable, // the operation certainly had no effect
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
    Revision revision_; // of the store as a whole, for watches; of the key after a successful CAS
    StoreLeaseId lease_; // of a grant
};

} // namespace mimosapier
