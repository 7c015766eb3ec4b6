// Tests of shard ownership: one holder per epoch, rising epochs, claims in bounded time, and handovers.
#include "member/cluster.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <cstdlib>

using namespace mimosapier;
using namespace mimosapier::test;

static void expectSettled(const Cluster &cluster)
{
    cr_assert(cluster.violations_.empty(), "%s", cluster.violationText().c_str());
    const std::string problem = cluster.ownershipProblem();
    cr_assert(problem.empty(), "%s", problem.c_str());
}

static void addRegions(Cluster &cluster, int perRegion)
{
    for (const std::string region : {"r1", "r2"}) {
        cluster.addGroups(region, 6);
        for (int i = 0; i < perRegion; ++i) {
            cluster.add(region + "-" + std::to_string(i) + "#1", region);
        }
    }
}

// Guards against shards that nobody claims at the start, and against watches that call the store without pause.
Test(member, allShardsAreClaimedAtTheStart)
{
    Cluster cluster(1);
    addRegions(cluster, 3);
    cluster.run(Milliseconds(4000));
    expectSettled(cluster);
    cluster.run(Milliseconds(60'000)); // load balance has settled by then
    const std::uint64_t before = cluster.store_.calls_;
    cluster.run(Milliseconds(20'000));
    // One renewal a second and two watches of 10 s per daemon; one watch of the head a second per region.
    cr_expect_leq(cluster.store_.calls_ - before, 6 * (20 + 4) + 2 * 22 + 12);
    expectSettled(cluster);
}

// Guards against shards that stay vacant after their holder was killed.
Test(member, shardsOfKilledDaemonAreClaimedInTime)
{
    Cluster cluster(2);
    addRegions(cluster, 3);
    cluster.run(Milliseconds(10'000));
    cluster.kill(cluster.at(0));
    cluster.run(Milliseconds(6500)); // lease 4 s, vacancy 1 s, evaluation and write
    expectSettled(cluster);
}

// Guards against shards of a region without daemons that other regions do not claim, or do not hand back when a daemon
// of the region starts.
Test(member, otherRegionTakesOverAndGivesBack)
{
    Cluster cluster(3);
    addRegions(cluster, 2);
    cluster.run(Milliseconds(10'000));
    cluster.kill(cluster.at(0));
    cluster.kill(cluster.at(1));
    cluster.run(Milliseconds(9000));
    expectSettled(cluster);
    TestDaemon &back = cluster.add("r1-0#2", "r1");
    cluster.run(Milliseconds(60'000));
    expectSettled(cluster);
    cr_expect_eq(back.heldShards_.size(), 6);
}

// Guards against a daemon that, after a pause longer than its lease, keeps shards that others have claimed meanwhile.
Test(member, pausedDaemonDropsShardsClaimedByOthers)
{
    Cluster cluster(4);
    addRegions(cluster, 3);
    cluster.run(Milliseconds(10'000));
    TestDaemon &paused = cluster.at(0);
    const auto before = paused.heldShards_;
    cr_assert(!before.empty());
    cluster.pause(paused);
    cluster.run(Milliseconds(8000));
    cluster.resume(paused);
    cluster.run(Milliseconds(200));
    for (const auto &[shard, epoch] : before) {
        cr_expect(!paused.heldShards_.contains(shard), "%s is still held", shard.value_.c_str());
    }
    cluster.run(Milliseconds(5000));
    expectSettled(cluster);
}

// Guards against shards that change holders because of a store outage in which all leases expire.
Test(member, holdersKeepShardsInAnOutage)
{
    Cluster cluster(5);
    addRegions(cluster, 3);
    cluster.run(Milliseconds(60'000));
    std::vector<std::map<ShardId, Epoch>> before;
    for (const auto &daemon : cluster.daemons_) {
        before.push_back(daemon->heldShards_);
    }
    cluster.storeDown_ = true;
    cluster.run(Milliseconds(30'000));
    cluster.storeDown_ = false;
    cluster.run(Milliseconds(10'000));
    expectSettled(cluster);
    for (std::size_t i = 0; i < before.size(); ++i) {
        cr_expect(cluster.at(i).heldShards_ == before[i]);
    }
}

// Guards against claims right after a store outage, when the lease of a holder has expired and the holder reaches the
// store a little later than the others.
Test(member, lateReturnAfterAnOutageKeepsShards)
{
    Cluster cluster(10);
    addRegions(cluster, 3);
    cluster.run(Milliseconds(60'000));
    TestDaemon &late = cluster.at(0);
    const auto before = late.heldShards_;
    cr_assert(!before.empty());
    cluster.storeDown_ = true;
    cluster.run(Milliseconds(30'000));
    late.storeCut_ = true;
    cluster.storeDown_ = false;
    cluster.run(Milliseconds(2000));
    late.storeCut_ = false;
    cluster.run(Milliseconds(5000));
    expectSettled(cluster);
    cr_expect(late.heldShards_ == before);
}

// Guards against a planned leave that leaves shards without a holder until a lease expires, and against new claims by
// the leaving daemon.
Test(member, plannedLeaveHandsOver)
{
    Cluster cluster(6);
    addRegions(cluster, 3);
    cluster.run(Milliseconds(10'000));
    TestDaemon &leaving = cluster.at(0);
    cr_assert(!leaving.heldShards_.empty());
    cluster.withContext(leaving, [&](Context &context) { beginLeave(*leaving.member_, context); });
    cluster.run(Milliseconds(1000));
    expectSettled(cluster);
    cr_expect(leaving.heldShards_.empty());
    cr_expect(hasLeft(*leaving.member_));
}

// Guards against handed-over shards that stay without a holder because outages of the store recur before OutageGrace
// has passed.
Test(member, handedOverShardsAreClaimedDuringRepeatedOutages)
{
    constexpr Milliseconds Down{200};
    constexpr Milliseconds Up{1800}; // less than OutageGrace
    Cluster cluster(9);
    addRegions(cluster, 3);
    cluster.run(Milliseconds(10'000));
    const auto runOutage = [&] {
        cluster.storeDown_ = true;
        cluster.run(Down);
        cluster.storeDown_ = false;
        cluster.run(Up);
    };
    runOutage();
    TestDaemon &leaving = cluster.at(0);
    cr_assert(!leaving.heldShards_.empty());
    cluster.withContext(leaving, [&](Context &context) { beginLeave(*leaving.member_, context); });
    for (int i = 0; i < 3; ++i) {
        runOutage();
    }
    cr_expect(leaving.heldShards_.empty());
    expectSettled(cluster);
}

// Guards against a planned leave that does not end while the store is down.
Test(member, plannedLeaveEndsInAnOutage)
{
    Cluster cluster(7);
    addRegions(cluster, 2);
    cluster.run(Milliseconds(10'000));
    TestDaemon &leaving = cluster.at(0);
    cluster.storeDown_ = true;
    cluster.withContext(leaving, [&](Context &context) { beginLeave(*leaving.member_, context); });
    cluster.run(Milliseconds(12'000));
    cr_expect(hasLeft(*leaving.member_));
    cluster.kill(leaving);
    cluster.storeDown_ = false;
    cluster.run(Milliseconds(12'000));
    expectSettled(cluster);
}

// Guards against a new daemon that gets no shards, because existing holders never release any.
Test(member, newDaemonGetsShards)
{
    Cluster cluster(8);
    cluster.addGroups("r1", 12);
    cluster.add("a#1", "r1");
    cluster.run(Milliseconds(5000));
    expectSettled(cluster);
    TestDaemon &added = cluster.add("b#1", "r1");
    cluster.run(Milliseconds(60'000));
    expectSettled(cluster);
    cr_expect_geq(added.heldShards_.size(), 3);
    cr_expect_leq(added.heldShards_.size(), 9);
}

// Guards against a directory that lacks holders, or that shows shards of a killed daemon as reachable.
Test(member, directoryShowsHoldersAndReachability)
{
    Cluster cluster(9);
    addRegions(cluster, 2);
    cluster.run(Milliseconds(15'000));
    for (const auto &daemon : cluster.daemons_) {
        const Directory &known = directory(*daemon->member_);
        cr_assert_eq(known.groups_.size(), 12);
        for (const ShardEntry &entry : known.groups_) {
            cr_expect(entry.reachable_);
            cr_expect(!entry.holder_.empty());
        }
    }
    cluster.kill(cluster.at(0));
    cluster.run(Milliseconds(2000));
    for (const ShardEntry &entry : directory(*cluster.at(1).member_).groups_) {
        cr_expect(entry.reachable_ == (entry.holder_ != cluster.at(0).settings_.self_));
    }
}

// Guards against two holders of one epoch, falling epochs, and shards that stay vacant, under random faults.
Test(member, ownershipHoldsUnderRandomFaults, .timeout = 300)
{
    setenv("RC_PARAMS", "seed=20261204 max_success=150 max_size=20", 1);
    const bool held = rc::check("one holder for each epoch", [] {
        using Fault = std::tuple<int, int, int,
                                 int>; // kind, daemon, duration and time to the next fault, both in units of 100 ms
        // Ranges would shrink with the size of a case; the nominal size keeps them whole, and the size sets the number
        // of faults only.
        const auto fault
            = rc::gen::resize(rc::kNominalSize,
                              rc::gen::tuple(rc::gen::inRange(0, Cluster::FaultKinds), rc::gen::inRange(0, 16),
                                             rc::gen::inRange(1, 90), rc::gen::inRange(1, 60)));
        const auto faults = *rc::gen::container<std::vector<Fault>>(fault);
        Cluster cluster(*rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::uint64_t>(0, 1'000'000)));
        addRegions(cluster, 2);
        cluster.run(Milliseconds(3000));
        for (const auto &[kind, index, duration, gap] : faults) {
            cluster.inject(kind, static_cast<std::size_t>(index), Milliseconds(100 * duration));
            cluster.run(Milliseconds(100 * gap));
        }
        cluster.run(Milliseconds(9000)); // all faults have ended
        cluster.heal();
        cluster.run(Milliseconds(25'000));
        RC_LOG(cluster.violationText());
        RC_ASSERT(cluster.violations_.empty());
        const std::string problem = cluster.ownershipProblem();
        RC_LOG(problem);
        RC_ASSERT(problem.empty());
    });
    cr_assert(held);
}
