// Tests the mapping of jobs to shards, which must be the same at every daemon.
#include "core/common/rendezvous_func.h"
#include "core/common/shard_func.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace mimosapier;

static std::vector<ShardId> groups(int count)
{
    std::vector<ShardId> result;
    for (int i = 0; i < count; ++i) {
        result.push_back(groupShard(RegionId("rhine"), "rack-" + std::to_string(i)));
    }
    return result;
}

// Guards against a hash that differs between builds: repeats of a request would then reach different home partitions.
Test(shard, hashIsStable)
{
    cr_assert(stableHash("mimosapier") == 0x2791fe0eb6a8b003ULL, "%llx",
              static_cast<unsigned long long>(stableHash("mimosapier")));
    cr_assert(homePartition(JobId("a:1"), RegionId("rhine"), 1) == ShardId("p/rhine/0"));
}

// Guards against the same group being both candidates, and against a made-up candidate when there are too few groups.
Test(shard, candidatesDiffer)
{
    const std::vector<ShardId> all = groups(6);
    for (int i = 0; i < 1000; ++i) {
        const CandidateGroups pair = candidateGroups(JobId("a:" + std::to_string(i)), all);
        cr_assert(!pair.first_.empty() && !pair.second_.empty() && pair.first_ != pair.second_);
    }
    cr_assert(candidateGroups(JobId("a:1"), groups(1)).second_.empty());
    cr_assert(candidateGroups(JobId("a:1"), {}).first_.empty());
}

// Guards against a new group that moves jobs between the old groups. The new group must get about a seventh of the
// jobs.
Test(shard, newGroupMovesOnlyItsPart)
{
    const std::vector<ShardId> before = groups(6);
    const std::vector<ShardId> after = groups(7);
    int moved = 0;
    for (int i = 0; i < 7000; ++i) {
        const JobId job("a:" + std::to_string(i));
        const ShardId old = candidateGroups(job, before).first_;
        const ShardId now = candidateGroups(job, after).first_;
        cr_assert(now == old || now == after.back());
        moved += now != old ? 1 : 0;
    }
    cr_assert(moved > 800 && moved < 1200, "%d of 7000 moved", moved);
}

// Guards against malformed names being taken for shards, and partitions for groups.
Test(shard, namesAreParsed)
{
    cr_assert(shardRegion(ShardId("g/rhine/rack-1")) == RegionId("rhine"));
    cr_assert(shardRegion(ShardId("nonsense")).empty());
    cr_assert(isGroup(ShardId("g/rhine/rack-1")) && !isGroup(ShardId("p/rhine/0")));
}
