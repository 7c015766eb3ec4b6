// Guards the daemons of a cell together: election, take-over, planned stops, freshness of keys. Each test names the
// failure that it guards against.
#include "control/control_cluster.h"

#include <criterion/criterion.h>

using namespace mimosapier;

static constexpr Milliseconds StartupTime{2'000}; // all daemons have found each other by then

static const ClientAnswer *answerOf(const ClusterDaemon &daemon, std::uint64_t call)
{
    const auto found = daemon.answers_.find(call);
    return found == daemon.answers_.end() ? nullptr : &found->second;
}

// Guards against a cluster without a leader, or with two.
Test(control, exactlyOneDaemonLeads)
{
    ControlCluster cluster;
    cluster.run(StartupTime);
    std::size_t leaders = 0;
    for (const auto &daemon : cluster.daemons_) {
        leaders += daemon->control_->cell_ ? 1 : 0;
        cr_assert(isServing(*daemon->control_, cluster.now_));
    }
    cr_assert_eq(leaders, 1);
}

// Guards against jobs that are lost or run twice when the leader dies.
Test(control, takeOverKeepsRunningTasks)
{
    ControlCluster cluster;
    cluster.run(StartupTime);
    ClusterDaemon &entry = cluster.follower();
    const auto call = cluster.sendRequest(entry, ClientMethod::Submit, 7);
    cluster.run(Milliseconds(400));
    cr_assert(answerOf(entry, call) != nullptr && answerOf(entry, call)->error_ == ErrorKind::None);
    cr_assert_eq(cluster.startCount(), 1);
    cluster.leader()->alive_ = false;
    cluster.run(Milliseconds(4'000));
    cr_assert(cluster.leader() != nullptr, "no new leader after 4 s");
    cr_assert_eq(cluster.startCount(), 1, "the running task was started again");
    const auto query = cluster.sendRequest(entry, ClientMethod::Read, 7);
    cluster.run(Milliseconds(100));
    cr_assert(answerOf(entry, query)->state_ == StagedState::Running);
}

// Guards against seconds without a leader after its process was killed: its session ends 2.5 s later.
Test(control, killedLeaderIsReplacedWithinASecond)
{
    ControlCluster cluster(4);
    cluster.run(StartupTime);
    cluster.leader()->alive_ = false;
    cluster.run(Milliseconds(1'000));
    cr_assert(cluster.leader() != nullptr, "no new leader after 1 s");
}

// Guards against seconds in which nothing is accepted because the store turns away the leader alone: its session ends
// 2.5 s later.
Test(control, leaderCutOffFromStoreStepsDown)
{
    ControlCluster cluster(4);
    cluster.run(StartupTime);
    ClusterDaemon &former = *cluster.leader();
    former.storeReachable_ = false;
    cluster.run(Milliseconds(1'700));
    cr_assert(cluster.leader() != nullptr && cluster.leader() != &former, "no other leader after 1.7 s");
    cr_assert(!former.control_->cell_);
}

// Guards against a daemon that replaces a sound leader because its own connections are cut.
Test(control, isolatedDaemonDoesNotReplaceLeader)
{
    ControlCluster cluster(4);
    cluster.run(StartupTime);
    const ClusterDaemon *before = cluster.leader();
    cluster.isolated_.insert(cluster.follower().id_);
    cluster.run(Milliseconds(4'000));
    cr_assert(cluster.leader() == before);
}

// Guards against a former leader that starts tasks after it was replaced while it stood still.
Test(control, pausedLeaderIsFenced)
{
    ControlCluster cluster;
    cluster.run(StartupTime);
    ClusterDaemon &former = *cluster.leader();
    former.paused_ = true;
    cluster.run(Milliseconds(5'000));
    former.paused_ = false;
    cluster.run(Milliseconds(1'500));
    cr_assert(!former.control_->cell_, "the former leader still leads");
    cr_assert(cluster.leader() != nullptr);
    const std::size_t before = cluster.startCount();
    const auto call = cluster.sendRequest(former, ClientMethod::Submit, 9);
    cluster.run(Milliseconds(500));
    cr_assert(answerOf(former, call)->error_ == ErrorKind::None);
    cr_assert_eq(cluster.startCount(), before + 1);
}

// Guards against requests that a leaving daemon has read and that get no answer: it had given its member record back,
// so that the next leader did not connect to it.
Test(control, leavingDaemonAnswersAllRequests)
{
    ControlCluster cluster;
    cluster.run(StartupTime);
    ClusterDaemon &leaving = cluster.follower();
    beginLeaving(*leaving.control_, cluster.cellTime(), leaving.actions_);
    cluster.run(Milliseconds(300));
    cluster.leader()->alive_ = false;
    cluster.addDaemon("d9#1");
    cluster.run(Milliseconds(3'300));
    const auto call = cluster.sendRequest(leaving, ClientMethod::Submit, 11);
    cluster.run(Milliseconds(700));
    cr_assert(answerOf(leaving, call) != nullptr, "no answer");
    cr_assert(answerOf(leaving, call)->error_ == ErrorKind::None, "%s",
              std::string(errorName(answerOf(leaving, call)->error_)).c_str());
    const auto late = cluster.sendRequest(leaving, ClientMethod::Submit, 12);
    cluster.run(Milliseconds(10));
    cr_assert(answerOf(leaving, late)->error_ == ErrorKind::ShuttingDown);
    cr_assert(answerOf(leaving, late)->retryAfter_ > Milliseconds(0));
    cr_assert(cluster.now_ < leaving.control_->leaveDeadline_);
}

// Guards against a wait for the end of the former leader's session after all daemons lost power: it has 2.5 s, and its
// instance has started again long before.
Test(control, leaderWhoseInstanceRestartedIsReplaced)
{
    ControlCluster cluster;
    cluster.run(StartupTime);
    for (const auto &daemon : cluster.daemons_) {
        daemon->alive_ = false;
    }
    cluster.run(Milliseconds(300));
    for (int i = 0; i < 3; ++i) {
        cluster.addDaemon("d" + std::to_string(i) + "#2");
    }
    cluster.run(Milliseconds(1'200));
    cr_assert(cluster.leader() != nullptr, "no leader 1.2 s after the restart");
    cr_assert(cluster.leader()->control_->cell_->predecessorEnded_);
    // The records of the earlier starts are listed until their sessions end; they do not replace the new leader.
    const CellEpoch epoch = cluster.leader()->control_->epoch_;
    cluster.run(Milliseconds(2'500));
    cr_assert(cluster.leader() != nullptr);
    cr_assert_eq(cluster.leader()->control_->epoch_.value_, epoch.value_, "another change of leader");
}

// Guards against work that is turned away while the leader gives its place up, although the next one takes it a moment
// later.
Test(control, leavingLeaderRejectsNoSubmission)
{
    ControlCluster cluster(4);
    cluster.run(StartupTime);
    ClusterDaemon &former = *cluster.leader();
    ClusterDaemon &entry = cluster.follower();
    former.storeReachable_ = false; // its last writes hang, so that it leads on until the hand-over limit
    cluster.sendRequest(entry, ClientMethod::Submit, 21);
    cluster.run(Milliseconds(20));
    beginLeaving(*former.control_, cluster.cellTime(), former.actions_);
    cluster.run(Milliseconds(500));
    const auto call = cluster.sendRequest(entry, ClientMethod::Submit, 22);
    cluster.run(Milliseconds(1'500));
    cr_assert(answerOf(entry, call) != nullptr, "no answer");
    cr_assert(answerOf(entry, call)->error_ == ErrorKind::None, "%s",
              std::string(errorName(answerOf(entry, call)->error_)).c_str());
}

// Guards against a pause of seconds after a planned stop of the leader.
Test(control, leavingLeaderHandsOverWithoutDelay)
{
    ControlCluster cluster;
    cluster.run(StartupTime);
    ClusterDaemon &former = *cluster.leader();
    beginLeaving(*former.control_, cluster.cellTime(), former.actions_);
    cluster.run(Milliseconds(700));
    cr_assert(cluster.leader() != nullptr && cluster.leader() != &former, "no new leader after 0.7 s");
    cr_assert(cluster.leader()->control_->cell_->predecessorEnded_);
}

// Guards against calls to runners that are lost between the leader and the daemons that make them in a large cluster.
Test(control, largeClusterRelaysCalls)
{
    ControlCluster cluster(14);
    cluster.run(Milliseconds(3'000));
    cr_assert(cluster.leader() != nullptr);
    for (std::uint64_t id = 1; id <= 6; ++id) {
        cluster.sendRequest(cluster.follower(), ClientMethod::Submit, id);
    }
    cluster.run(Milliseconds(500));
    cr_assert_eq(cluster.startCount(), 6);
    std::set<DaemonId> callers;
    for (const auto &daemon : cluster.daemons_) {
        if (daemon->control_->lastRelayId_ > 0) {
            callers.insert(daemon->id_);
        }
    }
    cr_assert(!callers.empty() && !callers.contains(cluster.leader()->id_));
    const DaemonId former = cluster.leader()->id_;
    for (const DaemonId &relay : callers) {
        cluster.find(relay)->alive_ = false;
    }
    cluster.run(Milliseconds(5'000));
    cr_assert(cluster.leader() != nullptr && cluster.leader()->id_ == former);
    for (const auto &[id, runner] : cluster.runners_) {
        for (const FinishedRun &end : runner.finished_) {
            cr_assert(end.end_ != RunEnd::Lapsed, "the leases were not renewed through other daemons");
        }
    }
    cr_assert_eq(cluster.startCount(), 6);
}

// Guards against a withdrawn key that works at a daemon that the store turns away.
Test(control, revokedKeyIsLearntFromPeers)
{
    ControlCluster cluster;
    cluster.run(StartupTime);
    ClusterDaemon &cutOff = cluster.follower();
    cutOff.storeReachable_ = false;
    cluster.run(Milliseconds(1'000));
    cluster.writeConfig(2, {"other"});
    cluster.run(Milliseconds(2'000));
    const auto call = cluster.sendRequest(cutOff, ClientMethod::Submit, 13);
    const auto other = cluster.sendRequest(cutOff, ClientMethod::Submit, 14, "other");
    cluster.run(Milliseconds(500));
    cr_assert(answerOf(cutOff, call)->error_ == ErrorKind::WrongKey);
    cr_assert(answerOf(cutOff, other)->error_ == ErrorKind::None, "%s",
              std::string(errorName(answerOf(cutOff, other)->error_)).c_str());
}

// Guards against keys that work on at a daemon that hears neither the store nor its peers.
Test(control, isolatedDaemonRejectsKeys)
{
    ControlCluster cluster;
    cluster.run(StartupTime);
    ClusterDaemon &isolated = cluster.follower();
    isolated.storeReachable_ = false;
    cluster.isolated_.insert(isolated.id_);
    cluster.run(Milliseconds(200));
    cluster.writeConfig(2, {"other"});
    cluster.run(Milliseconds(4'800));
    const auto call = cluster.sendRequest(isolated, ClientMethod::Submit, 15);
    cluster.run(Milliseconds(50));
    cr_assert(answerOf(isolated, call)->error_ == ErrorKind::ConfigStale);
    cr_assert(!isServing(*isolated.control_, cluster.now_));
}

// Guards against starts on a runner that leaves: after one failed watch the leader read the whole list again, which
// failed for as long as it was busy, and heard of no change meanwhile.
Test(control, interruptedWatchResumes)
{
    ControlCluster cluster;
    cluster.run(StartupTime);
    ClusterDaemon &leader = *cluster.leader();
    leader.interruptWatches_ = true;
    cluster.run(Milliseconds(200));
    leader.interruptWatches_ = false;
    leader.failRangeReads_ = true;
    RunnerModel &runner = cluster.runners_.at(RunnerId("r0"));
    runner.record_.draining_ = true;
    cluster.store_.write(KvSpace::Discovery, "r0", "leaving");
    cluster.run(Milliseconds(1'500));
    cr_assert(cluster.leader() == &leader);
    cr_assert(leader.control_->cell_->runners_.at(RunnerId("r0"))->record_.draining_);
}

// Guards against running tasks that lapse, and a change of leader, while the store is away for a few seconds.
Test(control, storeOutageKeepsLeaderAndTasks)
{
    ControlCluster cluster;
    cluster.run(StartupTime);
    cluster.sendRequest(cluster.follower(), ClientMethod::Submit, 17);
    cluster.run(Milliseconds(400));
    const ClusterDaemon *before = cluster.leader();
    cluster.storeAvailable_ = false;
    cluster.run(Milliseconds(5'000));
    cr_assert(cluster.leader() == before);
    cluster.storeAvailable_ = true;
    cluster.run(Milliseconds(3'000));
    cr_assert(cluster.leader() != nullptr);
    for (const auto &[id, runner] : cluster.runners_) {
        for (const FinishedRun &end : runner.finished_) {
            cr_assert(end.end_ != RunEnd::Lapsed);
        }
    }
    cr_assert_eq(cluster.startCount(), 1);
}
