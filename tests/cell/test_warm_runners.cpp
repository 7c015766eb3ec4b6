// Tests of the preference for runners that are not slow after their start. The comment of each test states the failure
// that it guards against.
#include "cell/cell_world.h"

#include <criterion/criterion.h>

using namespace mimosapier;

// Lists the runners of the world; r0 is slow for this long.
static void listWithColdRunner(CellWorld &world, Milliseconds cold)
{
    world.runners_.at(RunnerId("r0")).record_.coldRemaining_ = cold;
    world.listRunners();
    world.run(Milliseconds(300));
}

static std::size_t startsOn(const CellWorld &world, const std::string &runner)
{
    return world.runners_.at(RunnerId(runner)).starts_.size();
}

// Guards against a runner that is loaded in full at once after its start, while it is slow: it takes tasks only when no
// other one has room.
Test(warmRunners, coldRunnerTakesTasksLast)
{
    CellWorld world;
    listWithColdRunner(world, Milliseconds(60'000));
    world.submit(1, 9, 3'000);
    world.submit(2, 3, 1'000, true);
    world.run(Milliseconds(300));
    cr_assert_eq(world.startCount(), 12);
    cr_assert_eq(startsOn(world, "r0"), 0);
    world.submit(3, 2, 3'000);
    world.run(Milliseconds(300));
    cr_assert_eq(startsOn(world, "r0"), 2, "no other runner has room");
}

// Guards against a gang on a cold runner that would fit on warm ones: its slowest member delays all.
Test(warmRunners, gangPrefersWarmRunners)
{
    CellWorld world;
    listWithColdRunner(world, Milliseconds(60'000));
    world.submit(1, 6, 5'000, true);
    world.run(Milliseconds(300));
    cr_assert_eq(world.startCount(), 6);
    cr_assert_eq(startsOn(world, "r0"), 0);
    world.submit(2, 2, 5'000, true);
    world.run(Milliseconds(300));
    cr_assert_eq(startsOn(world, "r0"), 2);
}

// Guards against a runner that stays cold: the time is counted down from its entry on, also when the same entry is read
// again, and it begins anew with the runner's next start.
Test(warmRunners, coldTimeIsCountedDown)
{
    CellWorld world(1, 2);
    const auto isCold = [&world] { return world.now_ < world.cell_->runners_.at(RunnerId("r0"))->warmAt_; };
    RunnerModel &runner = world.runners_.at(RunnerId("r0"));
    listWithColdRunner(world, Milliseconds(1'000));
    cr_assert(isCold());
    world.run(Milliseconds(500));
    world.listRunners(); // the same entry
    cr_assert(isCold());
    world.run(Milliseconds(300));
    cr_assert(!isCold());
    runner.record_.coldRemaining_ = Milliseconds(0);
    world.listRunners();
    runner.restart(runner.startedUnixMs_ + 1, world.elapsedMs());
    listWithColdRunner(world, Milliseconds(1'000));
    cr_assert(isCold(), "after the next start");
    runner.record_.coldRemaining_ = Milliseconds(0);
    world.listRunners();
    cr_assert(!isCold(), "the runner says that it is warm");
}
