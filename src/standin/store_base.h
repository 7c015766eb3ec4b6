// Data of the simulated key-value store: keys with revisions, leases, and the change history that watches use. It
// performs no I/O and reads no clock: callers pass the time. Not thread-safe; used by StoreService and by tests.
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

// Value of a key.
struct StoredEntry
{
    std::string value_;
    std::uint64_t revision_ = 0; // of the latest write
    std::uint64_t lease_ = 0; // 0: none
};

struct StoredLease
{
    Milliseconds ttl_{0};
    TimePoint expiresAt_;
    std::set<std::string> keys_; // deleted when the lease expires
};

enum class StoreWriteStatus : std::uint8_t { Ok, Conflict, UnknownLease };

class StoreData
{
public:
    // Entry of a key, or nullptr. Valid until the next change.
    [[nodiscard]] const StoredEntry *get(const std::string &key) const;

    // Entries whose key has the prefix, ascending by key. Valid until the next change.
    [[nodiscard]] std::vector<std::pair<std::string, const StoredEntry *>> list(std::string_view prefix) const;

    // Writes the value if the key has the revision `expected`; 0 means that the key must not exist. `lease` 0: none.
    StoreWriteStatus cas(const std::string &key, std::string value, std::uint64_t expected, std::uint64_t lease);
    // Deletes the key if it exists with the revision `expected`; otherwise returns Conflict.
    StoreWriteStatus remove(const std::string &key, std::uint64_t expected);

    // Creates a lease and returns its id.
    std::uint64_t grantLease(Milliseconds ttl, TimePoint now);
    // Extends the lease to its time to live from `now`. Returns false when there is no lease with this id.
    bool renewLease(std::uint64_t lease, TimePoint now);
    // Ends the lease and deletes its keys. Returns false when there is no lease with this id.
    bool revokeLease(std::uint64_t lease);

    // Ends the leases that have expired at `now` and deletes their keys.
    void expire(TimePoint now);

    // True when a key with the prefix was written or deleted after the revision, or when the history no longer reaches
    // back to the revision.
    [[nodiscard]] bool changedAfter(std::string_view prefix, std::uint64_t revision) const;

    // Revision of the latest change; 0: none.
    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

private:
    void erase(const std::string &key);
    void recordChange(const std::string &key);

    std::map<std::string, StoredEntry> entries_;
    std::map<std::uint64_t, StoredLease> leases_;
    std::deque<std::pair<std::uint64_t, std::string>> changes_; // revision and key of the latest changes, ascending
    std::uint64_t revision_ = 0;
    std::uint64_t compactedRevision_ = 0; // highest revision that was discarded from changes_
    std::uint64_t lastLease_ = 0;
};

} // namespace mimosapier::standin
