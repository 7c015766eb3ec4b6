// Names of shards, and the mapping of jobs to shards by hashing.
#include "core/common/shard_func.h"

#include "core/common/rendezvous_func.h"

#include <string>

namespace mimosapier
{

static constexpr std::string_view GroupPrefix = "g/";
static constexpr std::string_view PartitionPrefix = "p/";

static ShardId shardName(std::string_view prefix, const RegionId &region, std::string_view tail)
{
    std::string name(prefix);
    name += region.value_;
    name += '/';
    name += tail;
    return ShardId(std::move(name));
}

ShardId groupShard(const RegionId &region, std::string_view rack)
{
    return shardName(GroupPrefix, region, rack);
}

ShardId partitionShard(const RegionId &region, std::uint32_t index)
{
    return shardName(PartitionPrefix, region, std::to_string(index));
}

bool isGroup(const ShardId &shard)
{
    return shard.value_.starts_with(GroupPrefix);
}

RegionId shardRegion(const ShardId &shard)
{
    const std::string &name = shard.value_;
    const std::size_t start = name.find('/');
    if (start == std::string::npos) {
        return {};
    }
    const std::size_t end = name.find('/', start + 1);
    if (end == std::string::npos) {
        return {};
    }
    return RegionId(name.substr(start + 1, end - start - 1));
}

JobId jobId(const TeamId &team, std::string_view requestId)
{
    std::string name = team.value_;
    name += ':';
    name += requestId;
    return JobId(std::move(name));
}

ShardId homePartition(const JobId &job, const RegionId &region, std::uint32_t partitions)
{
    return partitionShard(region, static_cast<std::uint32_t>(stableHash(job.value_) % partitions));
}

CandidateGroups candidateGroups(const JobId &job, std::span<const ShardId> groups)
{
    CandidateGroups candidates;
    std::uint64_t firstWeight = 0;
    std::uint64_t secondWeight = 0;
    for (const ShardId &group : groups) {
        const std::uint64_t weight = rendezvousWeight(job.value_, group.value_);
        if (candidates.first_.empty() || weight > firstWeight) {
            candidates.second_ = candidates.first_;
            secondWeight = firstWeight;
            candidates.first_ = group;
            firstWeight = weight;
        } else if (candidates.second_.empty() || weight > secondWeight) {
            candidates.second_ = group;
            secondWeight = weight;
        }
    }
    return candidates;
}

} // namespace mimosapier
