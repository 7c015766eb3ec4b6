// Tests of evacuated availability zones in the decisions of the leader. The comment of each test states the failure
// that it guards against.
#include "cell/cell_world.h"

#include <criterion/criterion.h>

using namespace mimosapier;

static constexpr StagedTask FirstTask{StagedJobId{1}, 0, 0, 0};

// A world with four runners: r0 and r1 in the zone "north", r2 and r3 in the zone "south".
static std::unique_ptr<CellWorld> worldWithZones()
{
    auto world = std::make_unique<CellWorld>();
    for (auto &[id, runner] : world->runners_) {
        runner.record_.zone_ = id < RunnerId("r2") ? "north" : "south";
    }
    world->listRunners();
    world->run(Milliseconds(300));
    return world;
}

static std::size_t startsInZone(const CellWorld &world, const std::string &zone)
{
    std::size_t count = 0;
    for (const auto &[id, runner] : world.runners_) {
        count += runner.record_.zone_ == zone ? runner.starts_.size() : 0;
    }
    return count;
}

// Number of start calls that runners of the zone have received, including repeated ones.
static std::size_t startCallsInZone(const CellWorld &world, const std::string &zone)
{
    std::size_t count = 0;
    for (const auto &[id, runner] : world.runners_) {
        count += runner.record_.zone_ == zone ? runner.startSpecs_.size() : 0;
    }
    return count;
}

static StagedState stateOf(const CellWorld &world, std::uint64_t job)
{
    return world.cell_->jobs_.at(StagedJobId{job})->reportedState_;
}

// Guards against tasks that start in an evacuated zone, and against a zone that stays unused after its restoration.
Test(evacuation, nothingStartsInAnEvacuatedZone)
{
    auto world = worldWithZones();
    setEvacuatedZones(*world->cell_, {"north"});
    world->submit(1, 12, 5'000);
    world->submit(2, 4, 5'000, true);
    world->run(Milliseconds(3'000));
    cr_assert_eq(startsInZone(*world, "north"), 0);
    cr_assert_eq(startsInZone(*world, "south"), 4, "two of 5 processors fit a runner");
    setEvacuatedZones(*world->cell_, {});
    world->run(Milliseconds(300));
    cr_assert_eq(startsInZone(*world, "north"), 4);
}

// Guards against a new leader that starts tasks in an evacuated zone before its daemon knows the evacuated zones.
Test(evacuation, nothingStartsBeforeTheZonesAreKnown)
{
    auto world = worldWithZones();
    world->cell_->evacuationsKnown_ = false; // as in a new leadership
    const auto call = world->submit(1);
    world->run(Milliseconds(2'000));
    cr_assert(world->replies_.at(call).outcome_ == CellOutcome::Ok);
    cr_assert_eq(world->startCount(), 0);
    setEvacuatedZones(*world->cell_, {});
    world->run(Milliseconds(100));
    cr_assert_eq(world->startCount(), 1);
}

// Guards against an evacuation that ends running tasks: their leases are renewed, their ends recorded and stops sent.
Test(evacuation, runningTasksGoOn)
{
    auto world = worldWithZones();
    setEvacuatedZones(*world->cell_, {"south"});
    world->submit(1);
    world->submit(2);
    world->run(Milliseconds(300));
    cr_assert_eq(startsInZone(*world, "north"), 2);
    setEvacuatedZones(*world->cell_, {"north"});
    world->run(Milliseconds(20'000)); // longer than any lease
    const RunnerId holder = world->runnerOf(FirstTask);
    cr_assert(!holder.empty(), "the lease was not renewed");
    cr_assert_gt(world->runners_.at(holder).leaseUntilMs_, world->clockOf(world->runners_.at(holder)));
    world->endRun(holder, FirstTask, RunEnd::Done);
    world->sendRequest(2, CellVerb::Cancel);
    world->run(Milliseconds(500));
    cr_assert(stateOf(*world, 1) == StagedState::Completed);
    cr_assert(stateOf(*world, 2) == StagedState::Cancelled);
    cr_assert(world->runnerOf({StagedJobId{2}, 0, 0, 0}).empty(), "no stop was sent");
    cr_assert_eq(world->startCount(), 2);
}

// Guards against a start that is repeated in an evacuated zone: the runner got the first copy of the call or none.
static void checkUnansweredStart(bool arrives)
{
    auto world = worldWithZones();
    setEvacuatedZones(*world->cell_, {"south"});
    for (auto &[id, runner] : world->runners_) {
        runner.reachable_ = arrives || runner.record_.zone_ == "south";
        runner.dropsReplies_ = arrives && runner.record_.zone_ == "north";
    }
    world->submit(1);
    while (world->actions_.runners_.empty() || world->actions_.runners_.back().op_ != RunnerOp::Start) {
        cr_assert_lt(world->elapsedMs(), 2'000, "no start was sent");
        world->run(Milliseconds(5));
    }
    world->run(Milliseconds(5)); // the start is carried out or lost
    setEvacuatedZones(*world->cell_, {"north"});
    const std::size_t callsBefore = startCallsInZone(*world, "north");
    world->run(Milliseconds(200));
    for (auto &[id, runner] : world->runners_) {
        runner.reachable_ = true;
        runner.dropsReplies_ = false;
    }
    world->run(Milliseconds(3'000));
    cr_assert_eq(startCallsInZone(*world, "north"), callsBefore, "the start was repeated");
    cr_assert_eq(startsInZone(*world, "north"), arrives ? 1 : 0);
    cr_assert_eq(startsInZone(*world, "south"), 1, "the task was not started elsewhere");
    for (const auto &[id, runner] : world->runners_) {
        cr_assert(runner.record_.zone_ == "south" || runner.active_.empty(), "the start was not withdrawn");
    }
}

Test(evacuation, unansweredStartIsWithdrawn)
{
    checkUnansweredStart(true);
}

Test(evacuation, lostStartIsWithdrawn)
{
    checkUnansweredStart(false);
}

// Guards against a planned start, which waits for the store, that is sent after the evacuation of its zone.
Test(evacuation, plannedStartIsGivenUp)
{
    auto world = worldWithZones();
    setEvacuatedZones(*world->cell_, {"south"});
    world->keepsLog_ = true;
    world->submit(1, 1, 8'000);
    world->run(Milliseconds(200));
    RunnerModel &holder = world->runners_.at(world->runnerOf(FirstTask));
    holder.reachable_ = false;
    holder.active_.clear();
    world->run(Milliseconds(300));
    world->storeUp_ = false;
    holder.restart(holder.startedUnixMs_ + 1, world->elapsedMs());
    holder.record_.zone_ = "north";
    world->storeUp_ = true;
    updateRunner(*world->cell_, holder.record_, world->time(), world->actions_);
    while (world->linesWith({"start-planned"}) == 0) {
        cr_assert_lt(world->elapsedMs(), 10'000, "no start was planned");
        advanceCell(*world->cell_, world->time(), world->actions_);
        world->storeUp_ = std::none_of(world->actions_.log_.begin(), world->actions_.log_.end(), [](const auto &line) {
            return line.text_.find("start-planned") != std::string::npos;
        });
        world->run(Milliseconds(5));
    }
    cr_assert_eq(startsInZone(*world, "north"), 1, "the planned start did not wait for the store");
    setEvacuatedZones(*world->cell_, {"north"});
    world->run(Milliseconds(20));
    world->storeUp_ = true;
    world->run(Milliseconds(3'000));
    cr_assert_eq(startsInZone(*world, "north"), 1, "the planned start was sent");
    cr_assert_eq(startsInZone(*world, "south"), 1, "the task was not started elsewhere");
}

// Guards against submissions that wait until their deadline for a service of which all runners are in evacuated zones.
Test(evacuation, submissionIsRefusedWhileAllZonesAreEvacuated)
{
    auto world = worldWithZones();
    setEvacuatedZones(*world->cell_, {"north", "south"});
    world->keepsLog_ = true;
    const auto refused = world->submit(1);
    world->run(Milliseconds(10));
    cr_assert(world->replies_.at(refused).outcome_ == CellOutcome::Refused);
    cr_assert_eq(world->replies_.at(refused).retryAfter_, Milliseconds(2'000));
    cr_assert_eq(world->linesWith({"zones-evacuated"}), 1);
    setEvacuatedZones(*world->cell_, {"north"});
    const auto accepted = world->submit(1);
    world->run(Milliseconds(300));
    cr_assert(world->replies_.at(accepted).outcome_ == CellOutcome::Ok);
    cr_assert_eq(startsInZone(*world, "south"), 1);
}

// Guards against an admission that counts on the runners of an evacuated zone: jobs that the rest of the fleet cannot
// start in time were accepted. The work that waits takes 4 s on all runners and 8 s on those of one zone, and a job may
// wait for 6 s.
Test(evacuation, admissionCountsOnTheOtherZones)
{
    for (const bool evacuated : {false, true}) {
        auto world = worldWithZones();
        world->config_.queues_[0].policy_.targetCompletion_ = Milliseconds(3'000);
        applyConfig(*world->cell_, world->config_);
        if (evacuated) {
            setEvacuatedZones(*world->cell_, {"north"});
        }
        for (const auto &[id, runner] : world->runners_) {
            world->cell_->runners_.at(id)->avoidUntil_ = world->now_ + Milliseconds(1'000); // nothing starts
        }
        world->submit(1, 120, 1'000);
        world->run(Milliseconds(100));
        const auto call = world->submit(2);
        world->run(Milliseconds(50));
        cr_assert(world->replies_.at(call).outcome_ == (evacuated ? CellOutcome::Refused : CellOutcome::Ok),
                  "evacuated: %d", evacuated);
    }
}
