// Tests of how the daemons learn of evacuated availability zones, on a simulated cluster. The comment of each test
// states the failure that it guards against.
#include "control/control_cluster.h"

#include <criterion/criterion.h>

using namespace mimosapier;

namespace
{

// A cluster with two runners in the zone "north" and two in the zone "south".
struct ZoneCluster : ControlCluster
{
    explicit ZoneCluster(int daemonCount = 3)
        : ControlCluster(daemonCount, 4)
    {
        for (auto &[id, runner] : runners_) {
            runner.record_.zone_ = id < RunnerId("r2") ? "north" : "south";
        }
    }

    void evacuate(const std::string &zone) { store_.write(KvSpace::Operator, "evacuate/" + zone, "{}"); }

    void restore(const std::string &zone)
    {
        ++store_.revision_;
        store_.erase(KvSpace::Operator, "evacuate/" + zone);
    }

    std::size_t startsIn(const std::string &zone) const
    {
        std::size_t count = 0;
        for (const auto &[id, runner] : runners_) {
            count += runner.record_.zone_ == zone ? runner.starts_.size() : 0;
        }
        return count;
    }

    // Submits five jobs every 50 ms for this long. The runners of a zone complete four in that time, so that both zones
    // are needed.
    void runUnderLoad(Milliseconds duration)
    {
        const TimePoint end = now_ + duration;
        while (now_ < end) {
            for (int i = 0; i < 5; ++i) {
                sendRequest(follower(), ClientMethod::Submit, ++lastJob_);
            }
            run(Milliseconds(50));
            for (auto &[id, runner] : runners_) {
                while (runner.active_.size() > 8) {
                    runner.end(runner.active_.begin()->first, RunEnd::Done);
                }
            }
        }
    }

    std::uint64_t lastJob_ = 0;
};

} // namespace

static constexpr Milliseconds StartupTime{2'000}; // by then the daemons are connected and have a leader
static constexpr Milliseconds LearningTime{200}; // with a store that answers

// Guards against an evacuation that some daemons do not learn of, that ends by itself, or that cannot be ended.
Test(zones, allDaemonsFollowTheKeys)
{
    ZoneCluster cluster;
    cluster.run(StartupTime);
    cluster.evacuate("north");
    cluster.run(LearningTime);
    for (const auto &daemon : cluster.daemons_) {
        cr_assert(daemon->control_->evacuatedZones_ == std::set<std::string>{"north"});
    }
    cr_assert_eq(cluster.linesOf("zone-evacuated").size(), 3);
    cluster.writeConfig(2, {"key"}); // another key under the same prefix
    cluster.runUnderLoad(Milliseconds(3'000));
    cr_assert_eq(cluster.startsIn("north"), 0);
    cr_assert_geq(cluster.startsIn("south"), 20);
    cluster.restore("north");
    cluster.run(LearningTime);
    cluster.runUnderLoad(Milliseconds(2'000));
    cr_assert_gt(cluster.startsIn("north"), 0);
    cr_assert_eq(cluster.linesOf("zone-restored").size(), 3);
}

// Guards against an evacuation that is not seen by a daemon which was started later, or whose watch lost its history:
// the read that follows has the whole set.
Test(zones, readReplacesTheSet)
{
    ZoneCluster cluster;
    cluster.evacuate("north");
    cluster.run(StartupTime);
    cluster.runUnderLoad(Milliseconds(500));
    cr_assert_eq(cluster.startsIn("north"), 0);
    for (const auto &daemon : cluster.daemons_) {
        daemon->interruptWatches_ = true;
    }
    cluster.run(Milliseconds(1'000));
    cluster.evacuate("south");
    cluster.restore("north");
    for (std::size_t i = 0; i < KvModel::MaxHistoryItems + 1; ++i) {
        cluster.store_.write(KvSpace::Operator, "other", "");
    }
    for (const auto &daemon : cluster.daemons_) {
        daemon->interruptWatches_ = false;
    }
    cluster.run(Milliseconds(1'500));
    cr_assert(!cluster.linesOf("history-lost").empty());
    for (const auto &daemon : cluster.daemons_) {
        cr_assert(daemon->control_->evacuatedZones_ == std::set<std::string>{"south"});
    }
}

// Guards against starts in an evacuated zone by a new leader: the evacuation comes while there is no leader, or while
// the new leader reads the stored state.
Test(zones, evacuationDuringAChangeOfLeader)
{
    for (int delayMs = 0; delayMs <= 1'000; delayMs += 50) {
        ZoneCluster cluster;
        cluster.run(StartupTime);
        cluster.runUnderLoad(Milliseconds(1'500));
        cr_assert_gt(cluster.startsIn("north"), 10);
        cluster.leader()->alive_ = false;
        cluster.runUnderLoad(Milliseconds(delayMs));
        cluster.evacuate("north");
        cluster.run(LearningTime);
        const std::size_t before = cluster.startsIn("north");
        const std::size_t southBefore = cluster.startsIn("south");
        cluster.runUnderLoad(Milliseconds(3'000));
        cr_assert(cluster.leader() != nullptr);
        cr_assert_eq(cluster.startsIn("north"), before, "evacuated %d ms after the loss of the leader", delayMs);
        cr_assert_gt(cluster.startsIn("south"), southBefore);
    }
}

// Guards against a zone that stays evacuated when the evacuation ends in the middle of a change of leader.
Test(zones, evacuationEndsDuringAChangeOfLeader)
{
    for (int delayMs = 0; delayMs <= 1'000; delayMs += 50) {
        ZoneCluster cluster;
        cluster.evacuate("north");
        cluster.run(StartupTime);
        cluster.runUnderLoad(Milliseconds(500));
        cr_assert_eq(cluster.startsIn("north"), 0);
        cluster.leader()->alive_ = false;
        cluster.runUnderLoad(Milliseconds(delayMs));
        cr_assert_eq(cluster.startsIn("north"), 0);
        cluster.restore("north");
        cluster.runUnderLoad(Milliseconds(4'000));
        cr_assert_gt(cluster.startsIn("north"), 0, "restored %d ms after the loss of the leader", delayMs);
    }
}

// Guards against starts in an evacuated zone after a restart of all daemons.
Test(zones, evacuationOutlivesAllDaemons)
{
    ZoneCluster cluster;
    cluster.run(StartupTime);
    cluster.evacuate("north");
    cluster.runUnderLoad(Milliseconds(500));
    const std::size_t before = cluster.startsIn("north");
    for (const auto &daemon : cluster.daemons_) {
        daemon->alive_ = false;
    }
    for (int i = 0; i < 3; ++i) {
        cluster.addDaemon("d" + std::to_string(i) + "#2");
    }
    cluster.run(Milliseconds(6'000));
    cr_assert(cluster.leader() != nullptr);
    cluster.runUnderLoad(Milliseconds(2'000));
    cr_assert_eq(cluster.startsIn("north"), before);
    cr_assert_gt(cluster.startsIn("south"), 0);
}

// Guards against starts of a leader that the store rejects: it learns of the evacuation from a peer. The peers cannot
// tell it that the store answers them, which would make it step down earlier.
Test(zones, leaderThatTheStoreRejectsLearnsFromAPeer)
{
    ZoneCluster cluster;
    cluster.run(StartupTime);
    ClusterDaemon &leader = *cluster.leader();
    leader.interruptWatches_ = true; // its watches fail at once; its other calls are answered
    cluster.run(Milliseconds(1'000));
    cluster.evacuate("north");
    cluster.run(Milliseconds(1'000)); // two beacons
    cr_assert(cluster.leader() == &leader);
    cr_assert(leader.control_->evacuatedZones_.contains("north"));
    cr_assert(leader.control_->cell_->evacuatedZones_.contains("north"));
    const std::size_t before = cluster.startsIn("north");
    cluster.runUnderLoad(Milliseconds(3'000));
    cr_assert(cluster.leader() == &leader);
    cr_assert_eq(cluster.startsIn("north"), before);
    cr_assert_gt(cluster.startsIn("south"), 0);
    cluster.restore("north");
    cluster.run(Milliseconds(1'000));
    cr_assert(leader.control_->cell_->evacuatedZones_.empty());
    leader.interruptWatches_ = false;
    cluster.run(Milliseconds(2'000));
    cr_assert(leader.control_->evacuatedZones_.empty(), "the watch repeated a change that the peer had told before");
}

// Guards against starts in the zone after the bound, 5 s, or 13 s while the store rejects some daemons: the store
// rejects all calls of the leader, which has peers or none, from the moment of the evacuation on, while jobs wait.
Test(zones, rejectedLeaderKeepsTheBound)
{
    for (const bool isolated : {false, true}) {
        ZoneCluster cluster;
        cluster.run(StartupTime);
        cluster.runUnderLoad(Milliseconds(1'500));
        ClusterDaemon &leader = *cluster.leader();
        for (int i = 0; i < 400; ++i) {
            cluster.sendRequest(cluster.follower(), ClientMethod::Submit, ++cluster.lastJob_);
        }
        cluster.run(Milliseconds(100));
        leader.storeReachable_ = false;
        if (isolated) {
            cluster.isolated_.insert(leader.id_);
        }
        cluster.evacuate("north");
        const TimePoint evacuatedAt = cluster.now_;
        TimePoint lastStartAt = evacuatedAt;
        std::size_t starts = cluster.startsIn("north");
        const std::size_t southStarts = cluster.startsIn("south");
        while (cluster.now_ < evacuatedAt + Milliseconds(20'000)) {
            cluster.runUnderLoad(Milliseconds(50));
            if (const std::size_t now = cluster.startsIn("north"); now > starts) {
                starts = now;
                lastStartAt = cluster.now_;
            }
        }
        const auto lastMs = std::chrono::duration_cast<Milliseconds>(lastStartAt - evacuatedAt).count();
        cr_assert_leq(lastMs, isolated ? 13'000 : 5'000, "isolated: %d, the last start came after %d ms", isolated,
                      static_cast<int>(lastMs));
        cr_assert_gt(cluster.startsIn("south"), southStarts + 50);
        cr_assert(cluster.leader() != nullptr && cluster.leader() != &leader);
    }
}

// Guards against a set of zones that a peer with older knowledge, or of the previous version, brings back or removes.
Test(zones, olderSetOfAPeerIsIgnored)
{
    ZoneCluster cluster;
    cluster.evacuate("north");
    cluster.run(StartupTime);
    ClusterDaemon &daemon = cluster.follower();
    daemon.interruptWatches_ = true;
    cluster.run(Milliseconds(1'500));
    const std::uint64_t known = daemon.control_->zonesRevision_;
    CellBeacon beacon;
    beacon.epoch_ = daemon.control_->epoch_;
    const auto receive = [&] {
        onPeerMessage(*daemon.control_, *daemon.peerSet_.begin(), beacon, cluster.cellTime(), daemon.actions_);
    };
    receive(); // of the previous version
    cr_assert(daemon.control_->evacuatedZones_ == std::set<std::string>{"north"});
    beacon.zonesRevision_ = known - 1;
    beacon.evacuatedZones_ = {"south"};
    receive();
    cr_assert(daemon.control_->evacuatedZones_ == std::set<std::string>{"north"});
    beacon.zonesRevision_ = known + 1;
    receive();
    cr_assert(daemon.control_->evacuatedZones_ == std::set<std::string>{"south"});
}

// Guards against a change that an answer of the store brings back, which was under way when a peer told a later set.
Test(zones, answersOlderThanTheSetOfAPeerAreIgnored)
{
    for (const KvPurpose purpose : {KvPurpose::WatchConfig, KvPurpose::ReadConfig}) {
        ZoneCluster cluster;
        cluster.run(StartupTime);
        ClusterDaemon &daemon = cluster.follower();
        daemon.interruptWatches_ = true;
        cluster.run(Milliseconds(1'500));
        KvReply reply;
        reply.purpose_ = purpose;
        reply.status_ = KvStatus::Ok;
        reply.sentAt_ = cluster.now_;
        reply.revision_ = daemon.control_->zonesRevision_ + 1;
        reply.items_ = {{"evacuate/north", "{}", reply.revision_, false}};
        CellBeacon beacon;
        beacon.epoch_ = daemon.control_->epoch_;
        beacon.evacuatedZones_ = {"south"};
        beacon.zonesRevision_ = reply.revision_ + 1;
        onPeerMessage(*daemon.control_, *daemon.peerSet_.begin(), beacon, cluster.cellTime(), daemon.actions_);
        daemon.control_->configFeed_.callInFlight_ = reply.id_ = 1'000'000;
        onKvReply(*daemon.control_, reply, cluster.cellTime(), daemon.actions_);
        cr_assert(daemon.control_->evacuatedZones_ == std::set<std::string>{"south"});
        cr_assert_eq(daemon.control_->zonesRevision_, beacon.zonesRevision_);
    }
}

// Guards against an evacuation that cannot be ended after the store was replaced by one with lower revisions: a daemon
// that the new store rejects tells the old set again and again.
Test(zones, setOfAReplacedStoreIsNotBroughtBack)
{
    ZoneCluster cluster;
    cluster.evacuate("north");
    cluster.run(StartupTime);
    ClusterDaemon &rejected = cluster.follower();
    rejected.interruptWatches_ = true;
    for (const auto &daemon : cluster.daemons_) {
        daemon->control_->zonesRevision_ += 1'000'000; // as if known from a store with higher revisions
    }
    for (const auto &daemon : cluster.daemons_) {
        daemon->control_->configFeed_.synced_ = false; // reads again, as after a lost history
        daemon->control_->configFeed_.callInFlight_ = 0;
    }
    cluster.restore("north");
    rejected.failRangeReads_ = true;
    cluster.run(Milliseconds(3'000));
    for (const auto &daemon : cluster.daemons_) {
        cr_assert_eq(daemon->control_->evacuatedZones_.empty(), daemon.get() != &rejected);
    }
}

// Guards against a leader that starts tasks without knowing the evacuated zones: its reads of the operator's keys fail,
// and the peers are of the previous version and do not tell the set.
Test(zones, leaderWithoutTheSetStartsNothing)
{
    ZoneCluster cluster;
    cluster.evacuate("north");
    cluster.run(StartupTime);
    ClusterDaemon &leader = *cluster.leader();
    for (const auto &daemon : cluster.daemons_) {
        daemon->control_->zonesRevision_ = 0;
        daemon->control_->evacuatedZones_.clear();
        daemon->interruptWatches_ = true;
    }
    leader.alive_ = false;
    cluster.run(Milliseconds(1'500));
    cr_assert(cluster.leader() != nullptr);
    cluster.runUnderLoad(Milliseconds(1'000));
    cr_assert_eq(cluster.startCount(), 0);
    cluster.follower().interruptWatches_ = false;
    for (std::size_t i = 0; i < KvModel::MaxHistoryItems + 1; ++i) { // its watch has to read again
        cluster.store_.write(KvSpace::Operator, "other", "");
    }
    cluster.run(Milliseconds(2'000));
    cluster.runUnderLoad(Milliseconds(1'000));
    cr_assert_eq(cluster.startsIn("north"), 0);
    cr_assert_gt(cluster.startsIn("south"), 0, "the leader did not learn the set from a peer");
}

// Guards against a start that a relay makes in its evacuated zone for a leader that does not know of the evacuation.
Test(zones, relayRefusesStartsInItsEvacuatedZone)
{
    ZoneCluster cluster;
    cluster.run(StartupTime);
    ClusterDaemon &relay = cluster.follower();
    ClusterDaemon &leader = *cluster.leader();
    relay.control_->settings_.cell_.zone_ = "north";
    const RunnerModel &runner = cluster.runners_.begin()->second;
    const auto relayStart = [&](std::uint64_t job) {
        RunnerCall call;
        call.id_ = (leader.control_->epoch_.value_ << 32U) + 1'000'000 + job;
        call.op_ = RunnerOp::Start;
        call.runner_ = runner.record_.id_;
        call.address_ = runner.record_.address_;
        call.task_ = {StagedJobId{job}, 0, 0, 0};
        call.run_ = RunNumber{1};
        call.token_ = FencingToken{runner.token_};
        call.untilMs_ = cluster.elapsedMs() + runner.clockOffsetMs_ + 5'000;
        onPeerMessage(*relay.control_, leader.id_, RelayedCalls{{call}}, cluster.cellTime(), relay.actions_);
        cluster.run(Milliseconds(100));
    };
    relayStart(7);
    cr_assert_eq(runner.starts_.size(), 1);
    cluster.evacuate("north");
    cluster.run(LearningTime);
    relayStart(8);
    cr_assert_eq(runner.starts_.size(), 1, "the relay made the start");
    const auto refused = cluster.linesOf("relay-refused");
    cr_assert_eq(refused.size(), 1);
    cr_assert(refused[0].second.ends_with(R"("calls":1,"late":0,"starts":1,"evacuated":1})"), "%s",
              refused[0].second.c_str());
}
