// Names of shards, and the mapping of jobs to shards. Every daemon must compute the same results.
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

// Region in a shard's name; empty when the name is malformed.
RegionId shardRegion(const ShardId &shard);

// "<team>:<request id>"
JobId jobId(const TeamId &team, std::string_view requestId);

// Home partition of a job in a region with `partitions` partitions (>= 1).
ShardId homePartition(const JobId &job, const RegionId &region, std::uint32_t partitions);

// The two groups that may run a job's interactive work. Without a second (or any) group, second_ (or both) is empty.
struct CandidateGroups
{
    ShardId first_;
    ShardId second_;
};

// Chooses the candidates among `groups` by rendezvous hashing.
CandidateGroups candidateGroups(const JobId &job, std::span<const ShardId> groups);

} // namespace mimosapier
