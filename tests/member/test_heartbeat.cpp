// Guards heartbeats: they leave out what the peer has, and no change of a load or a shard is lost with one of them.
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

// Two daemons of one region that hold three of its six racks each, or about so.
static void addPair(Cluster &cluster)
{
    cluster.racks("r1", 6);
    cluster.add("a#1", "r1");
    cluster.add("b#1", "r1");
    cluster.run(Milliseconds(15'000));
}

// Sets the loads of all groups held at the daemon.
static void setQueues(Cluster &cluster, TestDaemon &daemon, std::uint32_t queued)
{
    std::vector<GroupLoad> loads;
    for (const auto &[shard, epoch] : daemon.held_) {
        GroupLoad load;
        load.group_ = shard;
        load.epoch_ = epoch;
        load.queued_ = queued;
        loads.push_back(load);
    }
    cluster.withContext(daemon, [&](Context &) { setLocalLoads(*daemon.member_, loads); });
}

// True when the directory of `daemon` shows this queue for all groups that `holder` holds.
static bool showsQueues(const TestDaemon &daemon, const TestDaemon &holder, std::uint32_t queued)
{
    const auto groups
        = std::count_if(holder.held_.begin(), holder.held_.end(), [](const auto &held) { return isGroup(held.first); });
    std::int64_t shown = 0;
    for (const ShardEntry &entry : directory(*daemon.member_).groups_) {
        shown += entry.holder_ == holder.settings_.self_ && entry.load_.queued_ == queued ? 1 : 0;
    }
    return shown > 0 && shown == groups;
}

// Guards against heartbeats that grow with what is held, and against loads and shards that are sent without a change.
Test(heartbeat, carriesOnlyChanges)
{
    Cluster cluster(1);
    addPair(cluster);
    setQueues(cluster, cluster.at(0), 1);
    cluster.run(Milliseconds(6000));
    int beats = 0;
    int states = 0;
    std::size_t largest = 0;
    cluster.onBeat_ = [&](const DaemonId &from, const DaemonId &, const Heartbeat &beat) {
        if (from == cluster.at(0).settings_.self_) {
            ++beats;
            if (!beat.shards_.empty() || !beat.loads_.empty()) {
                ++states;
            } else {
                largest = std::max(largest, encodeMessage(beat).size());
            }
        }
        return true;
    };
    cluster.run(Milliseconds(10'000));
    cr_expect(beats >= 18 && beats <= 21, "%d", beats);
    cr_expect(states >= 1 && states <= 2, "%d", states);
    cr_expect_leq(largest, 40);
    states = 0;
    setQueues(cluster, cluster.at(0), 2);
    cluster.run(Milliseconds(600));
    cr_expect_geq(states, 1);
    cr_expect(showsQueues(cluster.at(1), cluster.at(0), 2));
}

// Guards against a change that is lost with the heartbeat that carried it: the next one that arrives shows it.
Test(heartbeat, lostHeartbeatLosesNoChange)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Cluster cluster(seed);
        addPair(cluster);
        std::mt19937_64 random(seed);
        bool losing = true;
        bool arrived = false;
        cluster.onBeat_ = [&](const DaemonId &from, const DaemonId &, const Heartbeat &) {
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

// Guards against the load of a former holder replacing that of the present one, which sends its own only on a change.
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
    for (const auto &[shard, epoch] : cluster.at(0).held_) {
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
    // The directory is made anew from what is remembered when a peer goes down.
    cluster.kill(cluster.at(0));
    cluster.run(Milliseconds(1700));
    for (const ShardEntry &entry : directory(*daemon.member_).groups_) {
        cr_expect(entry.holder_ != cluster.at(0).settings_.self_ || entry.load_.queued_ == 5);
    }
}

// Guards against a change of a holder, an epoch or a reach that does not count as a new directory, and against one that
// is counted for each load.
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
