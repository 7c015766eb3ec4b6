// Identifiers. Each kind of id has its own type, so the compiler rejects a team where a group is expected.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace mimosapier
{

// A textual id. Tag distinguishes the kinds of ids.
template <typename Tag>
struct NamedId
{
    std::string value_; // unique among ids of the same kind; empty means "none"

    NamedId() = default;
    explicit NamedId(std::string value)
        : value_(std::move(value))
    {
    }

    [[nodiscard]] bool empty() const { return value_.empty(); }
    [[nodiscard]] const std::string &str() const { return value_; }
    auto operator<=>(const NamedId &) const = default;
};

// A numeric id or counter. Tag distinguishes the kinds of ids.
template <typename Tag>
struct NumberId
{
    std::uint64_t value_ = 0; // 0 means "none"

    auto operator<=>(const NumberId &) const = default;
};

using DaemonId = NamedId<struct DaemonTag>; // "<name>#<incarnation>"; a restarted process has another id
using TeamId = NamedId<struct TeamTag>;
using ClassId = NamedId<struct ClassTag>; // class of work, from the bundle
using RegionId = NamedId<struct RegionTag>;
using ZoneId = NamedId<struct ZoneTag>; // availability zone
using WorkerId = NamedId<struct WorkerTag>;
using ShardId = NamedId<struct ShardTag>; // a group ("g/<region>/<rack>") or a partition ("p/<region>/<n>")
using JobId = NamedId<struct JobTag>; // "<team>:<request id>"

using Epoch = NumberId<struct EpochTag>; // of a shard; higher after each change of the holder
using Revision = NumberId<struct RevisionTag>; // of a key in the store; 0 means the key is absent
using BundleVersion = NumberId<struct BundleVersionTag>; // of the configuration bundle
using StoreLeaseId = NumberId<struct StoreLeaseTag>;
using CallId = NumberId<struct CallTag>; // of a request; unique at the daemon that issued the id
using StoreOpId = NumberId<struct StoreOpTag>;
using WorkerOpId = NumberId<struct WorkerOpTag>;

// One task of a job.
struct TaskId
{
    JobId job_;
    std::uint32_t index_ = 0; // from 0 to the job's number of tasks - 1

    auto operator<=>(const TaskId &) const = default;
};

} // namespace mimosapier

template <typename Tag>
struct std::hash<mimosapier::NamedId<Tag>>
{
    std::size_t operator()(const mimosapier::NamedId<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.value_);
    }
};

template <typename Tag>
struct std::hash<mimosapier::NumberId<Tag>>
{
    std::size_t operator()(const mimosapier::NumberId<Tag> &id) const noexcept
    {
        return std::hash<std::uint64_t>{}(id.value_);
    }
};

template <>
struct std::hash<mimosapier::TaskId>
{
    std::size_t operator()(const mimosapier::TaskId &id) const noexcept
    {
        constexpr std::size_t GoldenRatio = 0x9e3779b97f4a7c15ULL; // spreads consecutive indices over the buckets
        return std::hash<std::string>{}(id.job_.value_) ^ (id.index_ * GoldenRatio);
    }
};
