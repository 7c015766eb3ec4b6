// Tests of the take-over of workers from an earlier holder, lost answers, silent workers, fencing and hand-over.
#include "group/group_world.h"

#include <criterion/criterion.h>

using namespace mimosapier;
using namespace mimosapier::test;

static const ShardId Rack("g/hobart/rack-1");
static const WorkerId W1("w1");
static const WorkerId W2("w2");

// Two workers with 4 slots each, a team with limit 100 and the classes of the tests.
static World makeWorld(std::uint64_t seed = 1)
{
    World world(seed);
    world.addTeam("school", 100);
    world.addClass("fast", WorkMode::Interactive);
    world.addClass("batch", WorkMode::Journaled, Priority::Batch);
    world.addClass("once", WorkMode::Journaled).idempotent_ = false;
    world.addWorker("w1", Rack, {4000, 4000, 0, 4});
    world.addWorker("w2", Rack, {4000, 4000, 0, 4});
    return world;
}

static JobSpec withRunTime(JobSpec job, int ms)
{
    job.payload_ = "run_ms=" + std::to_string(ms);
    return job;
}

// Guards against a start on a worker that has not acknowledged the epoch: an earlier holder may still start tasks
// there.
Test(takeover, unacknowledgedWorkerGetsNothing)
{
    World world = makeWorld();
    world.silent_.insert(W1);
    Holder &holder = world.gain("a#1", Rack);
    for (int i = 0; i < 8; ++i) {
        world.send(holder, world.offer(withRunTime(world.job(std::to_string(i), "school", "batch"), 60'000), Rack));
    }
    world.run(std::chrono::seconds(5));
    cr_assert_eq(world.workers_.at(W1).runs_.size(), 0U);
    cr_assert_eq(world.workers_.at(W2).runs_.size(), 4U);
    cr_assert_eq(groupLoad(*holder.state_).capacitySlots_, 4U);
    cr_assert_eq(groupLoad(*holder.state_).queued_, 4U);
}

// Guards against exceeding a limit: an earlier holder may still start tasks on a worker that has not acknowledged the
// epoch, so all its slots count until its lease has ended.
Test(takeover, unacknowledgedSlotsCountAgainstTheAllowance)
{
    World world = makeWorld();
    world.addTeam("school", 6);
    world.silent_.insert(W1);
    Holder &holder = world.gain("a#1", Rack);
    for (int i = 0; i < 8; ++i) {
        world.send(holder, world.offer(withRunTime(world.job(std::to_string(i), "school", "batch"), 60'000), Rack));
    }
    world.run(std::chrono::seconds(5));
    cr_assert_eq(world.runningByTeam_[TeamId("school")], 2, "6 allowed, 4 slots of w1 may be in use");
    world.unlisted_.insert(W1);
    world.call(holder, [&](Context &context) { setGroupWorkers(*holder.state_, world.listed(Rack), context); });
    world.run(std::chrono::seconds(16));
    cr_assert_eq(world.runningByTeam_[TeamId("school")], 2, "the lease of w1 has not ended");
    world.run(std::chrono::seconds(3));
    cr_assert_eq(world.runningByTeam_[TeamId("school")], 4);
}

// Guards against tasks that are lost or started again when the holder changes: the next holder must adopt running tasks
// and results from the workers.
Test(takeover, tasksAreAdopted)
{
    World world = makeWorld();
    Holder &old = world.gain("a#1", Rack);
    world.run(std::chrono::seconds(1));
    const JobSpec running = withRunTime(world.job("r", "school", "once"), 20'000);
    const JobSpec finished = withRunTime(world.job("f", "school", "once"), 20);
    world.homeAcknowledges_ = false;
    world.send(old, world.offer(running, Rack));
    world.send(old, world.offer(finished, Rack));
    world.run(std::chrono::seconds(1));
    world.outcomes_.clear();
    old.paused_ = true;
    Holder &next = world.gain("b#1", Rack);
    world.homeAcknowledges_ = true;
    world.run(std::chrono::seconds(1));
    cr_assert_eq(groupLoad(*next.state_).freeSlots_, 7U);
    for (const JobSpec &job : {running, finished}) {
        TaskOffer again = world.offer(job, Rack);
        again.mayHaveRun_ = true;
        world.send(next, again);
    }
    world.run(std::chrono::seconds(1));
    cr_assert(world.outcome(finished) != nullptr && world.outcome(finished)->outcome_ == Outcome::Done);
    cr_assert(world.outcome(running) == nullptr);
    world.run(std::chrono::seconds(20));
    cr_assert(world.outcome(running)->outcome_ == Outcome::Done);
    cr_assert_eq(world.observedRuns_.at({running.id_, 0}).starts_, 1);
    cr_assert_eq(world.observedRuns_.at({finished.id_, 0}).starts_, 1);
    world.run(std::chrono::seconds(4));
    cr_assert_eq(world.workers_.at(W1).runs_.size() + world.workers_.at(W2).runs_.size(), 0U, "acknowledged");
}

// Guards against a second start: a paused holder continues after the take-over and sends its start with the old epoch.
Test(takeover, lateStartOfThePausedHolderIsRefused)
{
    World world = makeWorld();
    Holder &old = world.gain("a#1", Rack);
    world.run(std::chrono::seconds(1));
    old.paused_ = true;
    const JobSpec job = withRunTime(world.job("x", "school", "once"), 60'000);
    world.send(old, world.offer(job, Rack));
    Holder &next = world.gain("b#1", Rack);
    world.run(std::chrono::seconds(1));
    world.send(next, world.offer(job, Rack));
    world.run(std::chrono::seconds(1));
    old.paused_ = false;
    for (const auto &event : old.deferred_) {
        event();
    }
    world.run(std::chrono::seconds(5));
    cr_assert_eq(world.observedRuns_.at({job.id_, 0}).starts_, 1);
    cr_assert(isFenced(*old.state_));
    cr_assert(!isFenced(*next.state_));
    cr_assert(canHandOver(*old.state_));
}

// Guards against a second start of a non-idempotent task that an earlier holder may have started. Offers wait until all
// workers have listed their tasks.
Test(takeover, nonIdempotentThatMayHaveRunIsUnknown)
{
    World world = makeWorld();
    world.gain("a#1", Rack).paused_ = true;
    world.silent_.insert(W1);
    Holder &next = world.gain("b#1", Rack);
    const JobSpec once = world.job("x", "school", "once");
    const JobSpec batch = world.job("y", "school", "batch");
    for (const JobSpec &job : {once, batch}) {
        TaskOffer offer = world.offer(job, Rack);
        offer.mayHaveRun_ = true;
        world.send(next, offer);
    }
    world.run(std::chrono::seconds(3));
    cr_assert(world.outcomes_.empty(), "waits for w1");
    world.silent_.clear();
    world.run(std::chrono::seconds(3));
    cr_assert(world.outcome(once)->outcome_ == Outcome::Unknown);
    cr_assert_eq(world.observedRuns_.count({once.id_, 0}), 0U);
    cr_assert(world.outcome(batch)->outcome_ == Outcome::Done);
}

// Guards against a second start when the worker has started a task but its answer was lost: the next hold finds the
// task.
Test(takeover, lostStartAnswerIsResolvedByTheNextHold)
{
    World world = makeWorld();
    Holder &holder = world.gain("a#1", Rack);
    world.run(std::chrono::seconds(1));
    world.faults_.answerLost_ = 100;
    const JobSpec job = withRunTime(world.job("x", "school", "once"), 3000);
    world.send(holder, world.offer(job, Rack));
    world.run(Milliseconds(500));
    world.faults_ = {};
    world.run(Milliseconds(1000));
    cr_assert_eq(world.observedRuns_.at({job.id_, 0}).starts_, 1);
    world.run(std::chrono::seconds(10));
    cr_assert(world.outcome(job)->outcome_ == Outcome::Done);
    cr_assert_eq(world.observedRuns_.at({job.id_, 0}).starts_, 1);
}

// Guards against giving up a task whose start call was lost, and against repeating the start while the first one may
// still arrive.
Test(takeover, lostStartIsRepeatedOnlyAfterItCannotArrive)
{
    World world = makeWorld();
    Holder &holder = world.gain("a#1", Rack);
    world.run(std::chrono::seconds(1));
    world.faults_.lost_ = 100;
    const JobSpec job = world.job("x", "school", "once");
    world.send(holder, world.offer(job, Rack));
    world.run(Milliseconds(500));
    world.faults_ = {};
    world.run(Milliseconds(2000));
    cr_assert_eq(world.observedRuns_.count({job.id_, 0}), 0U, "a late start may still arrive");
    world.run(std::chrono::seconds(8));
    cr_assert(world.outcome(job) != nullptr && world.outcome(job)->outcome_ == Outcome::Done);
    cr_assert_eq(world.observedRuns_.at({job.id_, 0}).starts_, 1);
}

// Guards against two runs at once: a silent worker may still run the task until its lease has ended. Also guards
// against never restarting it.
Test(takeover, silentWorkerCountsUntilItsLeaseHasEnded)
{
    World world = makeWorld();
    Holder &holder = world.gain("a#1", Rack);
    world.run(std::chrono::seconds(1));
    const JobSpec batch = withRunTime(world.job("b", "school", "batch"), 30'000);
    const JobSpec once = withRunTime(world.job("o", "school", "once"), 30'000);
    world.send(holder, world.offer(batch, Rack));
    world.send(holder, world.offer(once, Rack));
    world.run(std::chrono::seconds(1));
    const WorkerId worker = world.workers_.at(W1).runs_.empty() ? W2 : W1;
    world.silent_.insert(worker);
    world.run(std::chrono::seconds(14));
    cr_assert_eq(world.observedRuns_.at({batch.id_, 0}).starts_, 1);
    world.run(std::chrono::seconds(20));
    cr_assert_eq(world.observedRuns_.at({batch.id_, 0}).starts_, 2);
    cr_assert_eq(world.observedRuns_.at({batch.id_, 0}).maxRunning_, 1);
    cr_assert(world.outcome(once)->outcome_ == Outcome::Unknown);
    cr_assert_eq(world.observedRuns_.at({once.id_, 0}).starts_, 1);
    world.silent_.clear();
    world.run(std::chrono::seconds(35));
    cr_assert(world.outcome(batch)->outcome_ == Outcome::Done);
    cr_assert_eq(groupLoad(*holder.state_).freeSlots_, 8U, "the worker is used again");
}

// Guards against waiting for tasks that a restarted worker process has lost: the next hold does not list them.
Test(takeover, restartedWorkerLosesItsTasks)
{
    World world = makeWorld();
    Holder &holder = world.gain("a#1", Rack);
    world.run(std::chrono::seconds(1));
    const JobSpec batch = withRunTime(world.job("b", "school", "batch"), 5000);
    world.send(holder, world.offer(batch, Rack));
    world.run(std::chrono::seconds(1));
    FakeWorker &worker = world.workers_.at(world.workers_.at(W1).runs_.empty() ? W2 : W1);
    worker.runs_.clear();
    world.observedRuns_[{batch.id_, 0}].running_ = 0;
    world.faults_.refused_ = 100;
    world.run(std::chrono::seconds(4));
    world.faults_ = {};
    world.run(std::chrono::seconds(10));
    cr_assert(world.outcome(batch)->outcome_ == Outcome::Done);
}

// Guards against new work on a worker whose answers say that it is leaving.
Test(takeover, leavingWorkerGetsNoNewWork)
{
    World world = makeWorld();
    world.workers_.at(W1).leaving_ = true;
    Holder &holder = world.gain("a#1", Rack);
    world.run(std::chrono::seconds(1));
    for (int i = 0; i < 6; ++i) {
        world.send(holder, world.offer(withRunTime(world.job(std::to_string(i), "school", "batch"), 60'000), Rack));
    }
    world.run(std::chrono::seconds(2));
    cr_assert_eq(world.workers_.at(W1).runs_.size(), 0U);
    cr_assert_eq(world.workers_.at(W2).runs_.size(), 4U);
}

// Guards against a hand-over while a start call is open or a caller waits, and against queued work that is not refused
// to the next holder.
Test(takeover, plannedHandOverWaitsForOpenRequests)
{
    World world = makeWorld();
    Holder &holder = world.gain("a#1", Rack);
    world.run(std::chrono::seconds(1));
    const JobSpec fast = withRunTime(world.job("f", "school", "fast"), 500);
    world.send(holder, world.offer(fast, Rack));
    cr_assert(!canHandOver(*holder.state_));
    for (int i = 0; i < 9; ++i) {
        world.send(holder, world.offer(withRunTime(world.job(std::to_string(i), "school", "batch"), 60'000), Rack));
    }
    world.run(Milliseconds(20));
    world.call(holder, [&](Context &context) { stopStarting(*holder.state_, context); });
    world.run(Milliseconds(100));
    cr_assert(world.answerLog_.back().second.error_ == ErrorKind::NotHolder);
    cr_assert(!canHandOver(*holder.state_), "an interactive request is under way");
    world.run(Milliseconds(600));
    cr_assert(world.outcome(fast)->outcome_ == Outcome::Done);
    cr_assert(canHandOver(*holder.state_));
}
