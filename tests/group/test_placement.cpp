// Tests of the capacity index, placement, fairness, gangs, preemption, quarantine and lowered limits.
#include "core/group/capacity_internal.h"
#include "group/group_world.h"

#include <criterion/criterion.h>

using namespace mimosapier;
using namespace mimosapier::test;

static const ShardId Rack("g/hobart/rack-1");

static World makeWorld(int workers, int slots)
{
    World world(1);
    world.addTeam("school", 1000);
    world.addTeam("export", 1000, 3);
    world.addClass("urgent", WorkMode::Interactive, Priority::Urgent);
    world.addClass("normal", WorkMode::Journaled, Priority::Normal);
    world.addClass("batch", WorkMode::Journaled, Priority::Batch).mayCheckpoint_ = true;
    world.addClass("service", WorkMode::Service);
    world.addClass("gang", WorkMode::Gang);
    for (int i = 0; i < workers; ++i) {
        world.addWorker("w" + std::to_string(i), Rack, {1000 * slots, 4000, 0, slots});
    }
    return world;
}

static JobSpec withRunTime(JobSpec job, int ms)
{
    job.payload_ = "run_ms=" + std::to_string(ms);
    return job;
}

static std::vector<std::size_t> loads(const World &world)
{
    std::vector<std::size_t> result;
    for (const auto &[id, worker] : world.workers_) {
        result.push_back(static_cast<std::size_t>(worker.used().slots_));
    }
    return result;
}

// Guards against a capacity index that loses workers or returns one on which the size does not fit. Compares it with a
// linear search over random changes.
Test(placement, capacityIndexAgreesWithLinearSearch)
{
    std::mt19937_64 random(7);
    CapacityIndex index;
    std::vector<Resources> free;
    const auto amounts = [&random](std::uint64_t most) {
        return Resources{static_cast<std::int64_t>(random() % most) * 100, static_cast<std::int64_t>(random() % most),
                         static_cast<std::int64_t>(random() % 3), static_cast<std::int64_t>(random() % 5)};
    };
    for (int round = 0; round < 20'000; ++round) {
        const auto worker = static_cast<WorkerIndex>(random() % 300);
        free.resize(std::max<std::size_t>(free.size(), worker + 1));
        free[worker] = random() % 4 == 0 ? Resources{} : amounts(100);
        setFree(index, worker, free[worker]);
        Resources size = amounts(100);
        size.slots_ = 1;
        const bool exists = std::any_of(free.begin(), free.end(), [&](const Resources &f) { return fits(size, f); });
        const auto policy = random() % 2 == 0 ? FitPolicy::Tightest : FitPolicy::Loosest;
        const WorkerIndex found = findFit(index, size, policy);
        cr_assert_eq(found != NoWorker, exists);
        cr_assert(found == NoWorker || fits(size, free[found]));
    }
}

// Guards against tasks of one service on the same worker, and against batch work spread over all workers, which leaves
// none free for large tasks.
Test(placement, servicesSpreadAndBatchPacks)
{
    World world = makeWorld(4, 4);
    Holder &holder = world.gain("a#1", Rack);
    world.run(std::chrono::seconds(1));
    world.send(holder, world.offer(withRunTime(world.job("s", "school", "service"), 0), Rack, 4));
    world.run(std::chrono::seconds(1));
    cr_assert(loads(world) == std::vector<std::size_t>({1, 1, 1, 1}));
    World packed = makeWorld(4, 4);
    Holder &other = packed.gain("a#1", Rack);
    packed.run(std::chrono::seconds(1));
    packed.send(other, packed.offer(withRunTime(packed.job("b", "school", "batch"), 60'000), Rack, 4));
    packed.run(std::chrono::seconds(1));
    std::vector<std::size_t> used = loads(packed);
    std::sort(used.begin(), used.end());
    cr_assert(used == std::vector<std::size_t>({0, 0, 0, 4}));
}

// Guards against shares that differ from the weights (1 : 3) when two teams compete for a full group.
Test(placement, fullGroupIsSharedByWeight)
{
    World world = makeWorld(4, 10);
    Holder &holder = world.gain("a#1", Rack);
    world.run(std::chrono::seconds(1));
    for (int i = 0; i < 400; ++i) {
        for (const char *team : {"school", "export"}) {
            world.send(holder, world.offer(withRunTime(world.job(std::to_string(i), team, "normal"), 500), Rack));
        }
    }
    world.run(std::chrono::seconds(3));
    const int school = world.runningByTeam_[TeamId("school")];
    const int exported = world.runningByTeam_[TeamId("export")];
    cr_assert_geq(school + exported, 36, "%d + %d", school, exported);
    cr_assert_leq(std::abs(school - 10), 3, "a quarter of 40, got %d", school);
}

// Guards against urgent work that waits behind batch work, and against batch work that never runs.
Test(placement, urgentWorkRunsFirstWithoutStarvingBatch)
{
    World world = makeWorld(1, 2);
    world.bundle_.classes_.at(ClassId("batch")).mayCheckpoint_ = false;
    Holder &holder = world.gain("a#1", Rack);
    world.run(std::chrono::seconds(1));
    const JobSpec batch = withRunTime(world.job("b", "school", "batch"), 50);
    world.send(holder, world.offer(batch, Rack, 400));
    int done = 0;
    for (int i = 0; i < 300; ++i) {
        TaskOffer offer = world.offer(withRunTime(world.job("u" + std::to_string(i), "export", "urgent"), 50), Rack);
        offer.remaining_ = Milliseconds(20'000);
        world.send(holder, offer);
    }
    world.run(std::chrono::seconds(5));
    int urgent = 0;
    for (const auto &[id, result] : world.outcomes_) {
        (id.job_ == batch.id_ ? done : urgent) += result.outcome_ == Outcome::Done ? 1 : 0;
    }
    cr_assert_gt(urgent, 60);
    cr_assert_gt(done, 3);
    cr_assert_gt(urgent, done * 5);
}

// Guards against urgent work that waits for batch work that can be checkpointed, and against a preempted task that does
// not run again.
Test(placement, urgentWorkPreempts)
{
    World world = makeWorld(2, 2);
    Holder &holder = world.gain("a#1", Rack);
    world.run(std::chrono::seconds(1));
    const JobSpec batch = withRunTime(world.job("b", "school", "batch"), 3000);
    world.send(holder, world.offer(batch, Rack, 4));
    world.run(std::chrono::seconds(1));
    const JobSpec urgent = withRunTime(world.job("u", "export", "urgent"), 100);
    world.send(holder, world.offer(urgent, Rack));
    world.run(Milliseconds(400));
    cr_assert(world.outcome(urgent) != nullptr && world.outcome(urgent)->outcome_ == Outcome::Done);
    world.run(std::chrono::seconds(12));
    for (std::uint32_t i = 0; i < 4; ++i) {
        cr_assert(world.outcome(batch, i)->outcome_ == Outcome::Done, "the preempted task runs again");
    }
    cr_assert_eq(world.overcommits(), 0);
}

// Guards against a gang of which only some tasks run, and against a gang that never starts because small tasks take
// each slot that becomes free.
Test(placement, gangStartsAsAWhole)
{
    World world = makeWorld(2, 4);
    Holder &holder = world.gain("a#1", Rack);
    world.run(std::chrono::seconds(1));
    for (int i = 0; i < 600; ++i) {
        const int ms = 300 + i % 7 * 40;
        world.send(holder, world.offer(withRunTime(world.job(std::to_string(i), "school", "normal"), ms), Rack));
    }
    world.run(std::chrono::seconds(1));
    const JobSpec gang = withRunTime(world.job("g", "export", "gang"), 2000);
    world.send(holder, world.offer(gang, Rack, 6));
    int most = 0;
    for (int i = 0; i < 600 && most < 6; ++i) {
        world.run(Milliseconds(10));
        int running = 0;
        for (std::uint32_t task = 0; task < 6; ++task) {
            running += world.observedRuns_[{gang.id_, task}].running_;
        }
        most = std::max(most, running);
        cr_assert(running == 0 || running == 6);
    }
    cr_assert_eq(most, 6);
    cr_assert_eq(world.overcommits(), 0);
}

// Guards against a gang that can never start and whose reservations keep other tasks from running.
Test(placement, waitingGangDoesNotBlockSmallTasks)
{
    World world = makeWorld(2, 2);
    Holder &holder = world.gain("a#1", Rack);
    world.run(std::chrono::seconds(1));
    world.send(holder, world.offer(withRunTime(world.job("s", "school", "service"), 0), Rack));
    world.run(std::chrono::seconds(1));
    world.send(holder, world.offer(withRunTime(world.job("g", "export", "gang"), 1000), Rack, 4));
    const JobSpec batch = withRunTime(world.job("b", "school", "normal"), 100);
    world.send(holder, world.offer(batch, Rack, 50));
    world.run(std::chrono::seconds(20));
    cr_assert(world.outcome(batch, 49) != nullptr && world.outcome(batch, 49)->outcome_ == Outcome::Done);
}

// Guards against members of a gang that keep running when another one failed to start.
Test(placement, failedGangStartStopsTheOthers)
{
    World world = makeWorld(2, 2);
    Holder &holder = world.gain("a#1", Rack);
    world.run(std::chrono::seconds(1));
    world.workers_.at(WorkerId("w1")).rejectsAllStarts_ = true;
    const JobSpec gang = withRunTime(world.job("g", "export", "gang"), 2000);
    world.send(holder, world.offer(gang, Rack, 4));
    world.run(std::chrono::seconds(1));
    cr_assert_eq(world.runningByTeam_[TeamId("export")], 0);
    world.workers_.at(WorkerId("w1")).rejectsAllStarts_ = false;
    world.run(std::chrono::seconds(20));
    for (std::uint32_t i = 0; i < 4; ++i) {
        cr_assert(world.outcome(gang, i) != nullptr);
        cr_assert(world.outcome(gang, i)->outcome_ != Outcome::Done
                  || world.outcome(gang, 0)->outcome_ == Outcome::Done);
    }
}

// Guards against a worker on which every task fails immediately, so that it is always free and gets most of the work.
Test(placement, failingWorkerIsQuarantined)
{
    World world = makeWorld(2, 4);
    world.workers_.at(WorkerId("w0")).rejectsAllStarts_ = true;
    Holder &holder = world.gain("a#1", Rack);
    world.run(std::chrono::seconds(1));
    for (int i = 0; i < 60; ++i) {
        const std::string team = i % 2 == 0 ? "school" : "export";
        world.send(holder, world.offer(withRunTime(world.job(std::to_string(i), team, "normal"), 100), Rack));
        world.run(Milliseconds(50));
    }
    world.run(std::chrono::seconds(2));
    cr_assert(groupDocument(*holder.state_, world.now_).find("quarantined") != std::string::npos);
    int done = 0;
    for (const auto &[id, result] : world.outcomes_) {
        done += result.outcome_ == Outcome::Done ? 1 : 0;
    }
    cr_assert_geq(done, 56, "%d", done);
    world.workers_.at(WorkerId("w0")).rejectsAllStarts_ = false;
    for (int i = 0; i < 900; ++i) {
        world.send(holder, world.offer(withRunTime(world.job("l" + std::to_string(i), "school", "normal"), 100), Rack));
    }
    world.run(std::chrono::seconds(10));
    cr_assert(groupDocument(*holder.state_, world.now_).find("quarantined") == std::string::npos);
}

// Guards against a team that keeps running more than a lowered limit with LimitAction::Stop, and against stops with
// LimitAction::Drain.
Test(placement, loweredLimitStopsOrDrains)
{
    for (const LimitAction action : {LimitAction::Drain, LimitAction::Stop}) {
        World world = makeWorld(2, 8);
        Holder &holder = world.gain("a#1", Rack);
        world.run(std::chrono::seconds(1));
        world.send(holder, world.offer(withRunTime(world.job("s", "school", "service"), 0), Rack, 12));
        world.run(std::chrono::seconds(2));
        cr_assert_eq(world.runningByTeam_[TeamId("school")], 12);
        world.addTeam("school", 5);
        world.bundle_.teams_.at(TeamId("school")).limitAction_ = action;
        world.bundle_.version_ = BundleVersion{2};
        world.send(holder, world.offer(world.job("x", "school", "normal"), Rack));
        world.run(std::chrono::seconds(5));
        cr_assert_eq(world.runningByTeam_[TeamId("school")], action == LimitAction::Stop ? 5 : 12);
    }
}
