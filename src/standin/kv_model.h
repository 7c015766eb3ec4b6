// In-memory model of the platform's key-value store: revisions, transactions, leases and watches. It performs no I/O
// and reads no clock: callers pass the time, so tests can run it on simulated time. PlatformService serves it over
// HTTP. Not thread-safe.
#pragma once

#include "core/message/kv_type.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mimosapier
{

struct KvModel
{
    // Older changes are discarded, and watches that need them fail with HistoryLost.
    static constexpr std::size_t MaxHistoryItems = 4'096;

    struct Entry
    {
        std::string value_;
        std::uint64_t revision_ = 0;
        std::uint64_t lease_ = 0;
    };

    std::size_t maxPageItems_ = 500; // of one reply to a Range
    std::array<std::map<std::string, Entry>, 3> entries_; // by space
    std::deque<std::pair<KvSpace, KvItem>> history_; // changes, ascending by revision
    std::uint64_t compactedRevision_ = 0; // highest revision whose changes were discarded from history_
    std::map<std::uint64_t, std::pair<TimePoint, Milliseconds>> leases_; // by id: expiry time and time to live
    std::uint64_t revision_ = 0;
    std::uint64_t nextLease_ = 100;

    std::map<std::string, Entry> &space(KvSpace space) { return entries_.at(static_cast<std::size_t>(space)); }

    // Stores a value at the current revision; the caller increments revision_ first.
    void put(KvSpace keySpace, const std::string &key, const std::string &value, std::uint64_t lease)
    {
        space(keySpace)[key] = {value, revision_, lease};
        recordChange(keySpace, {key, value, revision_, false});
    }

    void recordChange(KvSpace keySpace, KvItem item)
    {
        history_.emplace_back(keySpace, std::move(item));
        if (history_.size() > MaxHistoryItems) {
            compactedRevision_ = history_.front().second.revision_;
            history_.pop_front();
        }
    }

    void erase(KvSpace keySpace, const std::string &key)
    {
        if (space(keySpace).erase(key) > 0) {
            recordChange(keySpace, {key, "", revision_, true});
        }
    }

    // Writes a key without a lease at a new revision. Used for records that the daemons only read.
    void write(KvSpace keySpace, const std::string &key, const std::string &value)
    {
        ++revision_;
        put(keySpace, key, value, 0);
    }

    // Removes the leases that have expired at `now` and their keys. Leases apply only to KvSpace::Own.
    void expire(TimePoint now)
    {
        for (auto lease = leases_.begin(); lease != leases_.end();) {
            if (lease->second.first > now) {
                ++lease;
                continue;
            }
            ++revision_;
            std::vector<std::string> expiredKeys;
            for (const auto &[key, entry] : space(KvSpace::Own)) {
                if (entry.lease_ == lease->first) {
                    expiredKeys.push_back(key);
                }
            }
            for (const std::string &key : expiredKeys) {
                erase(KvSpace::Own, key);
            }
            lease = leases_.erase(lease);
        }
    }

    // Executes the call. Returns no reply for a watch that has no change to report and has not reached its wait time
    // since `sentAt`; the caller then calls again after a change or later.
    std::optional<KvReply> answer(const KvCall &call, TimePoint sentAt, TimePoint now)
    {
        KvReply reply;
        reply.id_ = call.id_;
        reply.purpose_ = call.purpose_;
        reply.lane_ = call.lane_;
        reply.sentAt_ = sentAt;
        reply.status_ = KvStatus::Ok;
        reply.revision_ = revision_;
        switch (call.op_) {
        case KvOp::Get:
        case KvOp::Range:
            read(call, reply);
            break;
        case KvOp::Watch:
            if (call.afterRevision_ < compactedRevision_) {
                reply.status_ = KvStatus::HistoryLost;
                break;
            }
            for (auto change = history_.rbegin();
                 change != history_.rend() && change->second.revision_ > call.afterRevision_; ++change) {
                if (change->first == call.space_ && change->second.key_.starts_with(call.key_)) {
                    reply.items_.insert(reply.items_.begin(), change->second);
                }
            }
            if (reply.items_.empty() && now < sentAt + call.wait_) {
                return std::nullopt;
            }
            break;
        case KvOp::Commit:
            commit(call, reply);
            break;
        case KvOp::GrantLease:
            reply.lease_ = ++nextLease_;
            reply.ttl_ = call.ttl_;
            leases_[reply.lease_] = {now + call.ttl_, call.ttl_};
            break;
        case KvOp::RenewLease:
            if (leases_.contains(call.lease_)) {
                reply.ttl_ = leases_[call.lease_].second;
                leases_[call.lease_].first = now + reply.ttl_;
            } else {
                reply.status_ = KvStatus::NotFound;
            }
            break;
        case KvOp::RevokeLease:
            leases_.erase(call.lease_);
            break;
        }
        return reply;
    }

    // One page of a Range is consistent, but its pages together are not a snapshot.
    void read(const KvCall &call, KvReply &reply)
    {
        for (const auto &[key, entry] : space(call.space_)) {
            const bool isOnPage = key.starts_with(call.key_) && (call.after_.empty() || key > call.after_);
            if (call.op_ == KvOp::Get ? key != call.key_ : !isOnPage) {
                continue;
            }
            if (reply.items_.size() == maxPageItems_) {
                reply.more_ = true;
                break;
            }
            reply.items_.push_back({key, entry.value_, entry.revision_, false});
        }
        if (call.op_ == KvOp::Get && reply.items_.empty()) {
            reply.status_ = KvStatus::NotFound;
        }
    }

    // Applies all writes and removals, or none when a condition or a lease fails. On a conflict, the reply lists the
    // current entries of the keys in the conditions.
    void commit(const KvCall &call, KvReply &reply)
    {
        for (const KvCondition &condition : call.conditions_) {
            const auto found = space(call.space_).find(condition.key_);
            const std::uint64_t revision = found == space(call.space_).end() ? 0 : found->second.revision_;
            if (revision != condition.revision_) {
                reply.status_ = KvStatus::Conflict;
            }
            if (revision != 0) {
                reply.items_.push_back({condition.key_, found->second.value_, revision, false});
            }
        }
        for (const KvWrite &write : call.writes_) {
            if (write.lease_ != 0 && !leases_.contains(write.lease_) && reply.status_ == KvStatus::Ok) {
                reply.status_ = KvStatus::NotFound;
            }
        }
        if (reply.status_ != KvStatus::Ok) {
            return;
        }
        reply.items_.clear();
        reply.revision_ = ++revision_;
        for (const KvWrite &write : call.writes_) {
            put(call.space_, write.key_, write.value_, write.lease_);
        }
        for (const std::string &key : call.removes_) {
            erase(call.space_, key);
        }
    }
};

} // namespace mimosapier
