// Calls of the cell's daemons to a key-value store with transactions, leases and watches, and the replies. The platform
// adapter carries out the calls. Keys are relative to the prefix of their space.
#pragma once

#include "core/common/time_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mimosapier
{

enum class KvOp : std::uint8_t { Get, Range, Watch, Commit, GrantLease, RenewLease, RevokeLease };

// Key spaces, by who writes the keys.
enum class KvSpace : std::uint8_t {
    Own, // the daemons
    Operator, // the operator: configuration and instructions
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
    std::uint64_t revision_ = 0; // required revision of the key; 0: the key must not exist
};

struct KvWrite
{
    std::string key_;
    std::string value_;
    std::uint64_t lease_ = 0; // 0: none
};

// Purpose of a call; selects the handler of the reply.
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
    StoreFormerLeaders,
    StoreFollowers,
    RecoverJobs,
    RecoverProgress,
    RecoverRunners,
    RecoverPastUse,
    ReadRunners,
    WatchRunners,
    Lane,
    ConfirmLeadership,
};

struct KvCall
{
    std::uint64_t id_ = 0; // unique at the daemon
    KvPurpose purpose_ = KvPurpose::ReadConfig;
    std::uint32_t lane_ = 0; // for Lane
    KvOp op_ = KvOp::Get;
    KvSpace space_ = KvSpace::Own;
    std::string key_; // key of Get; prefix of Range and Watch
    std::string after_; // Range: the page starts after this key
    std::uint64_t afterRevision_ = 0; // Watch: changes after this revision
    Milliseconds wait_{0}; // Watch: longest wait for a change
    std::vector<KvCondition> conditions_; // Commit: all must hold, or nothing is written
    std::vector<KvWrite> writes_; // Commit
    std::vector<std::string> removes_; // Commit: keys to remove
    Milliseconds ttl_{0}; // GrantLease
    std::uint64_t lease_ = 0; // RenewLease, RevokeLease
    Milliseconds timeout_{1000}; // of the call, in addition to wait_
};

enum class KvStatus : std::uint8_t {
    Ok,
    NotFound, // no such key or lease
    Conflict, // a condition did not hold; items_ has the current state of its keys
    HistoryLost, // afterRevision_ is too old for the store; read again, then watch from there
    NotDone, // had no effect and will have none
    Unknown, // may have taken effect or may still do so
};

struct KvReply
{
    std::uint64_t id_ = 0;
    KvPurpose purpose_ = KvPurpose::ReadConfig;
    std::uint32_t lane_ = 0;
    KvStatus status_ = KvStatus::Unknown;
    std::vector<KvItem> items_;
    std::uint32_t unreadableItems_ = 0; // items that items_ does not have, or has with an empty value
    bool more_ = false; // Range: there are further pages
    std::uint64_t revision_ = 0; // Commit: revision of the writes; reads and watches: revision of the store
    std::uint64_t lease_ = 0; // GrantLease
    Milliseconds ttl_{0}; // GrantLease, RenewLease: time to live of the lease
    TimePoint sentAt_; // when the call was handed to the adapter
    std::uint32_t httpStatus_ = 0; // for logs; 0: no answer
};

} // namespace mimosapier
