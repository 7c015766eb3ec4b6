// Names of shards, and which shards decide for a job.
#pragma once

#include "core/common/id_type.h"

#include <cstdint>
#include <span>
#include <string_view>

namespace mimosapier
{

// "g/<region>/<rack>"
ShardId groupShard(const RegionId &region, std::string_view rack);

// "p/<region>/<index>"
ShardId partitionShard(const RegionId &region, std::uint32_t index);

bool isGroup(const ShardId &shard);

// Region part of a shard's name; empty when the name is malformed.
RegionId shardRegion(const ShardId &shard);

// "<team>:<request id>"
JobId jobId(const TeamId &team, std::string_view requestId);

// Home partition of a job in a region with `partitions` (>= 1) partitions.
ShardId homePartition(const JobId &job, const RegionId &region, std::uint32_t partitions);

// The two groups that may run interactive work of a job; second_ is empty when there is only one group.
struct CandidateGroups
{
    ShardId first_;
    ShardId second_;
};

// Candidates among `groups`, by rendezvous hashing.
CandidateGroups candidateGroups(const JobId &job, std::span<const ShardId> groups);

} // namespace mimosapier
