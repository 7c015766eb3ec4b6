// Tests of the checkpoints that runs resume from: gangs that end badly, replayed without a network.
#include "cell/cell_world.h"

#include <criterion/criterion.h>

using namespace mimosapier;

namespace
{

// A gang of four members on four runners, with the checkpoints that they have reported.
struct GangWorld : CellWorld
{
    GangWorld()
        : CellWorld(1, 8)
    {
        config_.queues_[0].policy_.maxAttempts_ = 10;
        applyConfig(*cell_, config_);
        listRunners();
        run(Milliseconds(100));
        CellRequest request = submission(1, 4, 6'000, true);
        request.submitted_.steps_[0].checkpointing_ = true;
        send(request);
        run(Milliseconds(200));
    }

    static StagedTask member(std::uint32_t index) { return {StagedJobId{1}, 0, 0, index}; }

    RunnerModel &modelOf(std::uint32_t index) { return runners_.at(runnerOf(member(index))); }

    void reach(std::uint32_t index, const std::string &checkpoint)
    {
        modelOf(index).checkpoints_[member(index)] = checkpoint;
    }

    void end(std::uint32_t index, RunEnd how) { modelOf(index).end(member(index), how); }

    // Ends the runs of all members but one as broken. `checkpoint`: what they reach before; empty: no new one.
    void breakOthers(std::uint32_t except, const std::string &checkpoint = {})
    {
        for (std::uint32_t index = 0; index < 4; ++index) {
            if (index == except) {
                continue;
            }
            if (!checkpoint.empty()) {
                reach(index, checkpoint);
            }
            end(index, RunEnd::Broken);
        }
    }

    // Runs until all members have started again. Result: the checkpoints of their starts.
    std::set<std::string> checkpointsOfNextStarts(Milliseconds longest)
    {
        std::set<std::string> checkpoints;
        std::set<std::uint32_t> started;
        for (const TimePoint end = now_ + longest; now_ < end && started.size() < 4;) {
            run(Milliseconds(5));
            for (const RunnerCall &call : actions_.runners_) {
                if (call.op_ == RunnerOp::Start) {
                    checkpoints.insert(call.checkpoint_);
                    started.insert(call.task_.index_);
                }
            }
        }
        cr_assert_eq(started.size(), 4U, "%zu members have started again", started.size());
        return checkpoints;
    }
};

} // namespace

// Guards against a gang that resumes from the checkpoint of the member whose end arrived last. Replays a failed member
// that is ahead of the others: their later ends as broken must not take its checkpoint back.
Test(checkpoints, laterEndsOfOtherMembersDoNotLowerTheCheckpoint)
{
    GangWorld world;
    world.reach(2, "07");
    world.end(2, RunEnd::Failed);
    world.run(Milliseconds(300));
    world.breakOthers(2, "05");
    cr_assert(world.checkpointsOfNextStarts(Milliseconds(5'000)) == std::set<std::string>{"07"});
}

// Guards against a checkpoint that only a hold has named and that is lost with its runner: no end tells of it. Replays
// a runner that crashes while its member is ahead; the others end as broken, with earlier checkpoints.
Test(checkpoints, aCheckpointFromAHoldOutlivesItsRunner)
{
    GangWorld world;
    world.reach(1, "09");
    world.run(Milliseconds(300));
    const RunnerId lost = world.runnerOf(GangWorld::member(1));
    removeRunner(*world.cell_, lost, world.time(), world.actions_);
    world.runners_.at(lost).reachable_ = false;
    world.run(Milliseconds(300));
    world.breakOthers(1, "05");
    cr_assert(world.checkpointsOfNextStarts(Milliseconds(30'000)) == std::set<std::string>{"09"});
}

// Guards against the same when the runner restarts and lists nothing.
Test(checkpoints, aCheckpointFromAHoldOutlivesARestart)
{
    GangWorld world;
    world.reach(1, "09");
    world.run(Milliseconds(300));
    const RunnerId lost = world.runnerOf(GangWorld::member(1));
    RunnerModel &runner = world.runners_.at(lost);
    runner.restart(world.time().unixMs_, world.elapsedMs());
    updateRunner(*world.cell_, runner.record_, world.time(), world.actions_);
    world.breakOthers(1, "05");
    cr_assert(world.checkpointsOfNextStarts(Milliseconds(30'000)) == std::set<std::string>{"09"});
}

// Guards against a second run that loses what the first one reached: it fails before it has reported a checkpoint.
Test(checkpoints, aRunWithoutACheckpointKeepsTheEarlierOne)
{
    GangWorld world;
    world.reach(0, "03");
    world.end(0, RunEnd::Failed);
    world.breakOthers(0);
    cr_assert(world.checkpointsOfNextStarts(Milliseconds(5'000)) == std::set<std::string>{"03"});
    world.run(Milliseconds(200));
    for (auto &[id, runner] : world.runners_) {
        runner.checkpoints_.clear();
    }
    world.end(3, RunEnd::Failed);
    world.breakOthers(3);
    cr_assert(world.checkpointsOfNextStarts(Milliseconds(5'000)) == std::set<std::string>{"03"});
}
