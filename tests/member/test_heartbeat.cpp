// Tests of heartbeats: they omit what the peer already has, and a lost heartbeat loses no change of a load or a shard.
#include "member/cluster.h"

#include "core/common/shard_func.h"
#include "core/message/codec_func.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdint>
#include <random>
#include <tuple>

using namespace mimosapier;
using namespace mimosapier::test;

// Adds two daemons of one region with six groups, which they share about evenly.
static void addPair(Cluster &cluster)
{
    cluster.addGroups("r1", 6);
    cluster.add("a#1", "r1");
    cluster.add("b#1", "r1");
    cluster.run(Milliseconds(15'000));
}

// Sets the queue length of all groups held by the daemon.
static void setQueues(Cluster &cluster, TestDaemon &daemon, std::uint32_t queued)
{
    std::vector<GroupLoad> loads;
    for (const auto &[shard, epoch] : daemon.heldShards_) {
        GroupLoad load;
        load.group_ = shard;
        load.epoch_ = epoch;
        load.queued_ = queued;
        loads.push_back(load);
    }
    cluster.withContext(daemon, [&](Context &) { setLocalLoads(*daemon.member_, loads); });
}

// True when the directory of `daemon` shows this queue length for all groups that `holder` holds.
static bool showsQueues(const TestDaemon &daemon, const TestDaemon &holder, std::uint32_t queued)
{
    const auto groups = std::count_if(holder.heldShards_.begin(), holder.heldShards_.end(),
                                      [](const auto &held) { return isGroup(held.first); });
    std::int64_t shown = 0;
    for (const ShardEntry &entry : directory(*daemon.member_).groups_) {
        shown += entry.holder_ == holder.settings_.self_ && entry.load_.queued_ == queued ? 1 : 0;
    }
    return shown > 0 && shown == groups;
}

// Guards against heartbeats whose size grows with the number of held shards, because unchanged loads and shards are
// sent.
Test(heartbeat, carriesOnlyChanges)
{
    Cluster cluster(1);
    addPair(cluster);
    setQueues(cluster, cluster.at(0), 1);
    cluster.run(Milliseconds(6000));
    int heartbeats = 0;
    int withContent = 0;
    std::size_t largest = 0;
    cluster.onHeartbeat_ = [&](const DaemonId &from, const DaemonId &, const Heartbeat &heartbeat) {
        if (from == cluster.at(0).settings_.self_) {
            ++heartbeats;
            if (!heartbeat.shards_.empty() || !heartbeat.loads_.empty()) {
                ++withContent;
            } else {
                largest = std::max(largest, encodeMessage(heartbeat).size());
            }
        }
        return true;
    };
    cluster.run(Milliseconds(10'000));
    cr_expect(heartbeats >= 18 && heartbeats <= 21, "%d", heartbeats);
    cr_expect(withContent >= 1 && withContent <= 2, "%d", withContent);
    cr_expect_leq(largest, 40);
    withContent = 0;
    setQueues(cluster, cluster.at(0), 2);
    cluster.run(Milliseconds(600));
    cr_expect_geq(withContent, 1);
    cr_expect(showsQueues(cluster.at(1), cluster.at(0), 2));
}

// Guards against changes that are lost with the heartbeat that carried them. The next heartbeat that arrives must
// contain them.
Test(heartbeat, lostHeartbeatLosesNoChange)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Cluster cluster(seed);
        addPair(cluster);
        std::mt19937_64 random(seed);
        bool losing = true;
        bool arrived = false;
        cluster.onHeartbeat_ = [&](const DaemonId &from, const DaemonId &, const Heartbeat &) {
            const bool lost = losing && random() % 2 == 0;
            arrived = arrived || (!lost && from == cluster.at(0).settings_.self_);
            return !lost;
        };
        for (std::uint32_t queued = 1; queued <= 30; ++queued) {
            setQueues(cluster, cluster.at(0), queued);
            cluster.run(Milliseconds(20 * (random() % 60)));
            losing = false;
            cluster.run(Milliseconds(20));
            arrived = false;
            while (!arrived) {
                cluster.run(Milliseconds(20));
            }
            cluster.run(Milliseconds(20));
            cr_assert(showsQueues(cluster.at(1), cluster.at(0), queued), "seed %d, change %d", static_cast<int>(seed),
                      static_cast<int>(queued));
            losing = true;
        }
        cr_assert(cluster.violations_.empty());
    }
}

// Guards against a late heartbeat of a former holder that replaces the load from the current one. The current holder
// sends its load only on a change, so the error would stay.
Test(heartbeat, loadOfAFormerHolderIsIgnored)
{
    Cluster cluster(2);
    addPair(cluster);
    setQueues(cluster, cluster.at(0), 5);
    cluster.run(Milliseconds(2000));
    TestDaemon &daemon = cluster.at(1);
    cr_assert(showsQueues(daemon, cluster.at(0), 5));
    Heartbeat late;
    late.sequence_ = 1'000'000;
    for (const auto &[shard, epoch] : cluster.at(0).heldShards_) {
        GroupLoad load;
        load.group_ = shard;
        load.epoch_ = Epoch{epoch.value_ - 1};
        load.queued_ = 9;
        late.loads_.push_back(load);
    }
    cluster.withContext(daemon,
                        [&](Context &context) { onHeartbeat(*daemon.member_, DaemonId("z#1"), late, context); });
    cluster.withContext(daemon, [&](Context &context) { tickMembership(*daemon.member_, context); });
    cluster.run(Milliseconds(100));
    cr_expect(showsQueues(daemon, cluster.at(0), 5));
    // The loss of a peer rebuilds the directory from the stored loads.
    cluster.kill(cluster.at(0));
    cluster.run(Milliseconds(1700));
    for (const ShardEntry &entry : directory(*daemon.member_).groups_) {
        cr_expect(entry.holder_ != cluster.at(0).settings_.self_ || entry.load_.queued_ == 5);
    }
}

// Guards against a change of a holder, an epoch or the reachability that does not raise directoryBuilds, so that homes
// miss it, and against changes of loads that do raise it.
Test(heartbeat, directoryBuildsFollowChanges)
{
    Cluster cluster(3);
    addPair(cluster);
    TestDaemon &daemon = cluster.at(1);
    const auto entries = [&daemon] {
        std::vector<std::tuple<ShardId, DaemonId, Epoch, bool>> list;
        for (const auto *shards : {&directory(*daemon.member_).groups_, &directory(*daemon.member_).partitions_}) {
            for (const ShardEntry &entry : *shards) {
                list.emplace_back(entry.shard_, entry.holder_, entry.epoch_, entry.reachable_);
            }
        }
        return list;
    };
    const std::uint64_t before = directoryBuilds(*daemon.member_);
    for (std::uint32_t queued = 1; queued <= 10; ++queued) {
        setQueues(cluster, cluster.at(0), queued);
        setQueues(cluster, daemon, queued);
        cluster.run(Milliseconds(600));
        cr_assert(showsQueues(daemon, cluster.at(0), queued));
    }
    cr_expect_eq(directoryBuilds(*daemon.member_), before);
    cluster.kill(cluster.at(0));
    auto last = entries();
    std::uint64_t builds = before;
    int changes = 0;
    for (int i = 0; i < 1000; ++i) {
        cluster.run(Milliseconds(20));
        const auto now = entries();
        if (now != last) {
            cr_assert_gt(directoryBuilds(*daemon.member_), builds);
            ++changes;
        }
        last = now;
        builds = directoryBuilds(*daemon.member_);
    }
    cr_expect_geq(changes, 2);
}
