// The stand-in store's data: keys with revisions, leases, and the changes that watches wait for. No I/O; the caller
// passes the time.
#pragma once

#include "core/common/time_type.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace mimosapier::standin
{

struct StoredEntry
{
    std::string value_;
    std::uint64_t revision_ = 0;
    std::uint64_t lease_ = 0; // 0: none
};

struct StoredLease
{
    Milliseconds ttl_{0};
    TimePoint expiresAt_;
    std::set<std::string> keys_;
};

enum class StoreWriteStatus : std::uint8_t { Ok, Conflict, UnknownLease };

class StoreData
{
public:
    // Entry of a key, or nullptr.
    [[nodiscard]] const StoredEntry *get(const std::string &key) const;

    // Keys with the prefix, ascending.
    [[nodiscard]] std::vector<std::pair<std::string, const StoredEntry *>> list(std::string_view prefix) const;

    // Writes when the key has the revision `expected`; 0 means absent.
    StoreWriteStatus cas(const std::string &key, std::string value, std::uint64_t expected, std::uint64_t lease);
    StoreWriteStatus remove(const std::string &key, std::uint64_t expected);

    std::uint64_t grantLease(Milliseconds ttl, TimePoint now);
    bool renewLease(std::uint64_t lease, TimePoint now);
    bool revokeLease(std::uint64_t lease);

    // Deletes the keys of leases that have lapsed.
    void expire(TimePoint now);

    // True when a key under the prefix was written or deleted after the revision, or when that is no longer known.
    [[nodiscard]] bool changedAfter(std::string_view prefix, std::uint64_t revision) const;

    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

private:
    void erase(const std::string &key);
    void recordChange(const std::string &key);

    std::map<std::string, StoredEntry> entries_;
    std::map<std::uint64_t, StoredLease> leases_;
    std::deque<std::pair<std::uint64_t, std::string>> changes_; // the latest ones, ascending by revision
    std::uint64_t revision_ = 0;
    std::uint64_t compactedRevision_ = 0; // highest revision that is no longer in changes_
    std::uint64_t lastLease_ = 0;
};

} // namespace mimosapier::standin
