// Calls to a store with conditional transactions, leases and watches, as the cell uses it, and their replies. An
// adapter carries them out; keys are relative to their space.
#pragma once

#include "core/common/time_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mimosapier
{

enum class KvOp : std::uint8_t { Get, Range, Watch, Commit, GrantLease, RenewLease, RevokeLease };

// Who writes the keys of a space.
enum class KvSpace : std::uint8_t {
    Own, // the daemons
    Operator, // the operator: configuration and orders
    Discovery, // the runners
};

struct KvItem
{
    std::string key_; // without the prefix of the space
    std::string value_; // decoded bytes
    std::uint64_t revision_ = 0; // of the last change
    bool removed_ = false; // in a watch: the key was removed
};

struct KvCondition
{
    std::string key_;
    std::uint64_t revision_ = 0; // 0: the key does not exist
};

struct KvWrite
{
    std::string key_;
    std::string value_;
    std::uint64_t lease_ = 0; // 0: none
};

// Part of the requester that gets the reply.
enum class KvPurpose : std::uint8_t {
    ReadConfig,
    WatchConfig,
    ReadMembers,
    WatchMembers,
    GrantSession,
    RenewSession,
    ReleaseLeaderKey,
    Register,
    Elect,
    RecoverJobs,
    RecoverProgress,
    RecoverRunners,
    ReadRunners,
    WatchRunners,
    Lane,
};

struct KvCall
{
    std::uint64_t id_ = 0; // unique at the daemon
    KvPurpose purpose_ = KvPurpose::ReadConfig;
    std::uint32_t lane_ = 0; // for Lane
    KvOp op_ = KvOp::Get;
    KvSpace space_ = KvSpace::Own;
    std::string key_; // key of Get; prefix of Range and Watch
    std::string after_; // Range: the page begins after this key
    std::uint64_t afterRevision_ = 0; // Watch: changes after this revision
    Milliseconds wait_{0}; // Watch: longest wait for a change
    std::vector<KvCondition> conditions_; // Commit
    std::vector<KvWrite> writes_; // Commit
    std::vector<std::string> removes_; // Commit
    Milliseconds ttl_{0}; // GrantLease
    std::uint64_t lease_ = 0; // RenewLease, RevokeLease
    Milliseconds timeout_{1000}; // added to wait_
};

enum class KvStatus : std::uint8_t {
    Ok,
    NotFound, // no such key or lease
    Conflict, // a condition did not hold; items_ has the current state of its keys
    HistoryLost, // the watch has to begin anew with a read
    NotDone, // certainly had no effect
    Unknown, // may have taken effect, or may do so later
};

struct KvReply
{
    std::uint64_t id_ = 0;
    KvPurpose purpose_ = KvPurpose::ReadConfig;
    std::uint32_t lane_ = 0;
    KvStatus status_ = KvStatus::Unknown;
    std::vector<KvItem> items_;
    bool more_ = false; // Range: another page follows
    std::uint64_t revision_ = 0; // Commit: of the writes; reads and watches: of the store
    std::uint64_t lease_ = 0; // GrantLease
    Milliseconds ttl_{0}; // GrantLease, RenewLease
    TimePoint sentAt_; // when the call was handed to the adapter
    std::uint32_t httpStatus_ = 0; // for logs; 0 when there was no answer
};

} // namespace mimosapier
