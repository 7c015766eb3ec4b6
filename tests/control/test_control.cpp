// Guards the daemons of a cell together: election, take-over, planned stops, freshness of keys. Each test names the
// failure that it guards against.
#include "control/control_world.h"

#include <criterion/criterion.h>

using namespace mimosapier;

static constexpr Milliseconds Start{2'000}; // all daemons have found each other by then

static const ClientAnswer *answerOf(const TestNode &node, std::uint64_t call)
{
    const auto found = node.answers_.find(call);
    return found == node.answers_.end() ? nullptr : &found->second;
}

// Guards against a cluster without a leader, or with two.
Test(control, oneLeader)
{
    ControlWorld world;
    world.run(Start);
    std::size_t leaders = 0;
    for (const auto &node : world.nodes_) {
        leaders += node->control_->cell_ ? 1 : 0;
        cr_assert(isServing(*node->control_, world.now_));
    }
    cr_assert_eq(leaders, 1);
}

// Guards against jobs that are lost or run twice when the leader dies.
Test(control, takeOverKeepsRunningTasks)
{
    ControlWorld world;
    world.run(Start);
    TestNode &entry = world.follower();
    const auto call = world.request(entry, ClientMethod::Submit, 7);
    world.run(Milliseconds(400));
    cr_assert(answerOf(entry, call) != nullptr && answerOf(entry, call)->error_ == ErrorKind::None);
    cr_assert_eq(world.starts(), 1);
    world.leader()->alive_ = false;
    world.run(Milliseconds(4'000));
    cr_assert(world.leader() != nullptr, "no new leader after 4 s");
    cr_assert_eq(world.starts(), 1, "the running task was started again");
    const auto query = world.request(entry, ClientMethod::Read, 7);
    world.run(Milliseconds(100));
    cr_assert(answerOf(entry, query)->state_ == StagedState::Running);
}

// Guards against seconds without a leader after its process was killed: its session ends 2.5 s later.
Test(control, killedLeaderIsReplacedWithinASecond)
{
    ControlWorld world(4);
    world.run(Start);
    world.leader()->alive_ = false;
    world.run(Milliseconds(1'000));
    cr_assert(world.leader() != nullptr, "no new leader after 1 s");
}

// Guards against seconds in which nothing is accepted because the store turns away the leader alone: its session ends
// 2.5 s later.
Test(control, leaderWithoutTheStoreGivesItsPlaceUp)
{
    ControlWorld world(4);
    world.run(Start);
    TestNode &former = *world.leader();
    former.storeReachable_ = false;
    world.run(Milliseconds(1'700));
    cr_assert(world.leader() != nullptr && world.leader() != &former, "no other leader after 1.7 s");
    cr_assert(!former.control_->cell_);
}

// Guards against a daemon that replaces a sound leader because its own connections are cut.
Test(control, daemonThatIsCutOffDoesNotReplaceTheLeader)
{
    ControlWorld world(4);
    world.run(Start);
    const TestNode *before = world.leader();
    world.cut_.insert(world.follower().id_);
    world.run(Milliseconds(4'000));
    cr_assert(world.leader() == before);
}

// Guards against a former leader that starts tasks after it was replaced while it stood still.
Test(control, pausedLeaderIsFenced)
{
    ControlWorld world;
    world.run(Start);
    TestNode &former = *world.leader();
    former.paused_ = true;
    world.run(Milliseconds(5'000));
    former.paused_ = false;
    world.run(Milliseconds(1'500));
    cr_assert(!former.control_->cell_, "the former leader still leads");
    cr_assert(world.leader() != nullptr);
    const std::size_t before = world.starts();
    const auto call = world.request(former, ClientMethod::Submit, 9);
    world.run(Milliseconds(500));
    cr_assert(answerOf(former, call)->error_ == ErrorKind::None);
    cr_assert_eq(world.starts(), before + 1);
}

// Guards against requests that a leaving daemon has read and that get no answer: it had given its member record back,
// so that the next leader did not connect to it.
Test(control, leavingDaemonAnswersAllRequests)
{
    ControlWorld world;
    world.run(Start);
    TestNode &leaving = world.follower();
    beginLeaving(*leaving.control_, world.time(), leaving.actions_);
    world.run(Milliseconds(300));
    world.leader()->alive_ = false;
    world.addNode("d9#1");
    world.run(Milliseconds(3'300));
    const auto call = world.request(leaving, ClientMethod::Submit, 11);
    world.run(Milliseconds(700));
    cr_assert(answerOf(leaving, call) != nullptr, "no answer");
    cr_assert(answerOf(leaving, call)->error_ == ErrorKind::None, "%s",
              std::string(errorName(answerOf(leaving, call)->error_)).c_str());
    const auto late = world.request(leaving, ClientMethod::Submit, 12);
    world.run(Milliseconds(10));
    cr_assert(answerOf(leaving, late)->error_ == ErrorKind::ShuttingDown);
    cr_assert(answerOf(leaving, late)->retryAfter_ > Milliseconds(0));
    cr_assert(world.now_ < leaving.control_->leaveBy_);
}

// Guards against a wait for the end of the former leader's session after all daemons lost power: it has 2.5 s, and its
// instance has started again long before.
Test(control, leaderWhoseInstanceRestartedIsReplaced)
{
    ControlWorld world;
    world.run(Start);
    for (const auto &node : world.nodes_) {
        node->alive_ = false;
    }
    world.run(Milliseconds(300));
    for (int i = 0; i < 3; ++i) {
        world.addNode("d" + std::to_string(i) + "#2");
    }
    world.run(Milliseconds(1'200));
    cr_assert(world.leader() != nullptr, "no leader 1.2 s after the restart");
    cr_assert(world.leader()->control_->cell_->predecessorEnded_);
    // The records of the earlier starts are listed until their sessions end; they do not replace the new leader.
    const CellEpoch epoch = world.leader()->control_->epoch_;
    world.run(Milliseconds(2'500));
    cr_assert(world.leader() != nullptr);
    cr_assert_eq(world.leader()->control_->epoch_.value_, epoch.value_, "another change of leader");
}

// Guards against work that is turned away while the leader gives its place up, although the next one takes it a moment
// later.
Test(control, leavingLeaderTurnsNoWorkAway)
{
    ControlWorld world(4);
    world.run(Start);
    TestNode &former = *world.leader();
    TestNode &entry = world.follower();
    former.storeReachable_ = false; // its last writes hang, so that it leads on until the hand-over limit
    world.request(entry, ClientMethod::Submit, 21);
    world.run(Milliseconds(20));
    beginLeaving(*former.control_, world.time(), former.actions_);
    world.run(Milliseconds(500));
    const auto call = world.request(entry, ClientMethod::Submit, 22);
    world.run(Milliseconds(1'500));
    cr_assert(answerOf(entry, call) != nullptr, "no answer");
    cr_assert(answerOf(entry, call)->error_ == ErrorKind::None, "%s",
              std::string(errorName(answerOf(entry, call)->error_)).c_str());
}

// Guards against a pause of seconds after a planned stop of the leader.
Test(control, leavingLeaderHandsOverAtOnce)
{
    ControlWorld world;
    world.run(Start);
    TestNode &former = *world.leader();
    beginLeaving(*former.control_, world.time(), former.actions_);
    world.run(Milliseconds(700));
    cr_assert(world.leader() != nullptr && world.leader() != &former, "no new leader after 0.7 s");
    cr_assert(world.leader()->control_->cell_->predecessorEnded_);
}

// Guards against calls to runners that are lost between the leader and the daemons that make them in a large cluster.
Test(control, largeClusterRelaysCalls)
{
    ControlWorld world(14);
    world.run(Milliseconds(3'000));
    cr_assert(world.leader() != nullptr);
    for (std::uint64_t id = 1; id <= 6; ++id) {
        world.request(world.follower(), ClientMethod::Submit, id);
    }
    world.run(Milliseconds(500));
    cr_assert_eq(world.starts(), 6);
    std::set<DaemonId> callers;
    for (const auto &node : world.nodes_) {
        if (node->control_->nextRelayId_ > 0) {
            callers.insert(node->id_);
        }
    }
    cr_assert(!callers.empty() && !callers.contains(world.leader()->id_));
    const DaemonId former = world.leader()->id_;
    for (const DaemonId &relay : callers) {
        world.find(relay)->alive_ = false;
    }
    world.run(Milliseconds(5'000));
    cr_assert(world.leader() != nullptr && world.leader()->id_ == former);
    for (const auto &[id, runner] : world.runners_) {
        for (const FinishedRun &end : runner.finished_) {
            cr_assert(end.end_ != RunEnd::Lapsed, "the leases were not renewed through other daemons");
        }
    }
    cr_assert_eq(world.starts(), 6);
}

// Guards against a withdrawn key that works at a daemon that the store turns away.
Test(control, withdrawnKeyIsHeardThroughPeers)
{
    ControlWorld world;
    world.run(Start);
    TestNode &cut = world.follower();
    cut.storeReachable_ = false;
    world.run(Milliseconds(1'000));
    world.setKeys(2, {"other"});
    world.run(Milliseconds(2'000));
    const auto call = world.request(cut, ClientMethod::Submit, 13);
    const auto other = world.request(cut, ClientMethod::Submit, 14, "other");
    world.run(Milliseconds(500));
    cr_assert(answerOf(cut, call)->error_ == ErrorKind::WrongKey);
    cr_assert(answerOf(cut, other)->error_ == ErrorKind::None, "%s",
              std::string(errorName(answerOf(cut, other)->error_)).c_str());
}

// Guards against keys that work on at a daemon that hears neither the store nor its peers.
Test(control, isolatedDaemonRefusesKeys)
{
    ControlWorld world;
    world.run(Start);
    TestNode &cut = world.follower();
    cut.storeReachable_ = false;
    world.cut_.insert(cut.id_);
    world.run(Milliseconds(200));
    world.setKeys(2, {"other"});
    world.run(Milliseconds(4'800));
    const auto call = world.request(cut, ClientMethod::Submit, 15);
    world.run(Milliseconds(50));
    cr_assert(answerOf(cut, call)->error_ == ErrorKind::ConfigStale);
    cr_assert(!isServing(*cut.control_, world.now_));
}

// Guards against starts on a runner that leaves: after one failed watch the leader read the whole list again, which
// failed for as long as it was busy, and heard of no change meanwhile.
Test(control, cutWatchGoesOnWhereItWas)
{
    ControlWorld world;
    world.run(Start);
    TestNode &leader = *world.leader();
    leader.cutWatches_ = true;
    world.run(Milliseconds(200));
    leader.cutWatches_ = false;
    leader.refuseReads_ = true;
    RunnerModel &runner = world.runners_.at(RunnerId("r0"));
    runner.record_.draining_ = true;
    world.store_.write(KvSpace::Discovery, "r0", "leaving");
    world.run(Milliseconds(1'500));
    cr_assert(world.leader() == &leader);
    cr_assert(leader.control_->cell_->runners_.at(RunnerId("r0"))->record_.draining_);
}

// Guards against running tasks that lapse, and a change of leader, while the store is away for a few seconds.
Test(control, storeAwayForSeconds)
{
    ControlWorld world;
    world.run(Start);
    world.request(world.follower(), ClientMethod::Submit, 17);
    world.run(Milliseconds(400));
    const TestNode *before = world.leader();
    world.storeUp_ = false;
    world.run(Milliseconds(5'000));
    cr_assert(world.leader() == before);
    world.storeUp_ = true;
    world.run(Milliseconds(3'000));
    cr_assert(world.leader() != nullptr);
    for (const auto &[id, runner] : world.runners_) {
        for (const FinishedRun &end : runner.finished_) {
            cr_assert(end.end_ != RunEnd::Lapsed);
        }
    }
    cr_assert_eq(world.starts(), 1);
}
