// Keys, leases and change history of the simulated store.
#include "standin/store_base.h"

#include <algorithm>

namespace mimosapier::standin
{

constexpr std::size_t MaxChanges = 10'000; // older changes are discarded

const StoredEntry *StoreData::get(const std::string &key) const
{
    const auto found = entries_.find(key);
    return found == entries_.end() ? nullptr : &found->second;
}

std::vector<std::pair<std::string, const StoredEntry *>> StoreData::list(std::string_view prefix) const
{
    std::vector<std::pair<std::string, const StoredEntry *>> result;
    for (auto it = entries_.lower_bound(std::string(prefix)); it != entries_.end(); ++it) {
        if (!it->first.starts_with(prefix)) {
            break;
        }
        result.emplace_back(it->first, &it->second);
    }
    return result;
}

StoreWriteStatus StoreData::cas(const std::string &key, std::string value, std::uint64_t expected, std::uint64_t lease)
{
    if (lease != 0 && !leases_.contains(lease)) {
        return StoreWriteStatus::UnknownLease;
    }
    const StoredEntry *current = get(key);
    if ((current == nullptr ? 0 : current->revision_) != expected) {
        return StoreWriteStatus::Conflict;
    }
    if (current != nullptr && current->lease_ != 0 && current->lease_ != lease) {
        leases_[current->lease_].keys_.erase(key);
    }
    recordChange(key);
    entries_[key] = {std::move(value), revision_, lease};
    if (lease != 0) {
        leases_[lease].keys_.insert(key);
    }
    return StoreWriteStatus::Ok;
}

StoreWriteStatus StoreData::remove(const std::string &key, std::uint64_t expected)
{
    const StoredEntry *current = get(key);
    if (current == nullptr || current->revision_ != expected) {
        return StoreWriteStatus::Conflict;
    }
    erase(key);
    return StoreWriteStatus::Ok;
}

void StoreData::erase(const std::string &key)
{
    const auto found = entries_.find(key);
    if (found == entries_.end()) {
        return;
    }
    if (const auto lease = leases_.find(found->second.lease_); lease != leases_.end()) {
        lease->second.keys_.erase(key);
    }
    entries_.erase(found);
    recordChange(key);
}

void StoreData::recordChange(const std::string &key)
{
    changes_.emplace_back(++revision_, key);
    if (changes_.size() > MaxChanges) {
        compactedRevision_ = changes_.front().first;
        changes_.pop_front();
    }
}

std::uint64_t StoreData::grantLease(Milliseconds ttl, TimePoint now)
{
    leases_[++lastLease_] = {ttl, now + ttl, {}};
    return lastLease_;
}

bool StoreData::renewLease(std::uint64_t lease, TimePoint now)
{
    const auto found = leases_.find(lease);
    if (found == leases_.end()) {
        return false;
    }
    found->second.expiresAt_ = now + found->second.ttl_;
    return true;
}

bool StoreData::revokeLease(std::uint64_t lease)
{
    const auto found = leases_.find(lease);
    if (found == leases_.end()) {
        return false;
    }
    const std::set<std::string> keys = std::move(found->second.keys_);
    leases_.erase(found);
    for (const auto &key : keys) {
        erase(key);
    }
    return true;
}

void StoreData::expire(TimePoint now)
{
    std::vector<std::uint64_t> expiredLeases;
    for (const auto &[id, lease] : leases_) {
        if (lease.expiresAt_ <= now) {
            expiredLeases.push_back(id);
        }
    }
    for (const std::uint64_t id : expiredLeases) {
        revokeLease(id);
    }
}

bool StoreData::changedAfter(std::string_view prefix, std::uint64_t revision) const
{
    if (revision < compactedRevision_) {
        return true;
    }
    return std::any_of(changes_.rbegin(), changes_.rend(), [&](const auto &change) {
        return change.first > revision && change.second.starts_with(prefix);
    });
}

} // namespace mimosapier::standin
