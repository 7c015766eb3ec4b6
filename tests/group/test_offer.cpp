// Tests of offers: duplicates, delayed copies, refusals, the second candidate, cancellations and results.
#include "core/common/shard_func.h"
#include "group/group_world.h"

#include <criterion/criterion.h>

using namespace mimosapier;
using namespace mimosapier::test;

static const ShardId Rack1("g/hobart/rack-1");
static const ShardId Rack2("g/hobart/rack-2");

static World makeWorld(int slots = 4)
{
    World world(1);
    world.addTeam("school", 100);
    world.addClass("fast", WorkMode::Interactive);
    world.addClass("batch", WorkMode::Journaled, Priority::Batch);
    world.addClass("once", WorkMode::Journaled).idempotent_ = false;
    world.addClass("gang", WorkMode::Gang);
    world.addWorker("w1", Rack1, {1000 * slots, 4000, 0, slots});
    return world;
}

static JobSpec withRunTime(JobSpec job, int ms)
{
    job.payload_ = "run_ms=" + std::to_string(ms);
    return job;
}

// A job whose first candidate is Rack1.
static JobSpec firstAtRack1(const World &world, const std::string &prefix)
{
    const std::vector<ShardId> groups{Rack1, Rack2};
    for (int i = 0;; ++i) {
        const JobSpec job = world.job(prefix + std::to_string(i), "school", "fast");
        if (candidateGroups(job.id_, groups).first_ == Rack1) {
            return job;
        }
    }
}

// Guards against a repeated offer that starts a task twice or gets no answer, while the task runs or after it has
// ended.
Test(offer, repeatedOfferStartsOnce)
{
    World world = makeWorld();
    Holder &holder = world.gain("a#1", Rack1);
    world.run(std::chrono::seconds(1));
    const JobSpec job = withRunTime(world.job("x", "school", "fast"), 200);
    const std::uint64_t first = world.send(holder, world.offer(job, Rack1));
    world.run(Milliseconds(100));
    const std::uint64_t second = world.send(holder, world.offer(job, Rack1));
    world.run(Milliseconds(500));
    const std::uint64_t third = world.send(holder, world.offer(job, Rack1));
    world.run(Milliseconds(50));
    for (const std::uint64_t call : {first, second, third}) {
        cr_assert_eq(world.resultsByCall_[call].size(), 1U);
        cr_assert(world.resultsByCall_[call].front().outcome_ == Outcome::Done);
    }
    cr_assert_eq(world.observedRuns_.at({job.id_, 0}).starts_, 1);
}

// Guards against a delayed copy of a refused offer that runs after the caller was told that the task did not run.
Test(offer, lateCopyOfARefusedRequestDoesNotRun)
{
    World world = makeWorld(1);
    Holder &holder = world.gain("a#1", Rack1);
    world.run(std::chrono::seconds(1));
    world.send(holder, world.offer(withRunTime(world.job("long", "school", "batch"), 4000), Rack1));
    world.run(Milliseconds(500));
    const JobSpec job = world.job("x", "school", "fast");
    const TaskOffer offer = world.offer(job, Rack1);
    world.send(holder, offer);
    world.run(std::chrono::seconds(4));
    cr_assert(world.outcome(job)->outcome_ == Outcome::NotRun);
    cr_assert(world.outcome(job)->error_ == ErrorKind::DeadlinePassed);
    world.send(holder, offer);
    world.run(std::chrono::seconds(1));
    cr_assert_eq(world.observedRuns_.count({job.id_, 0}), 0U);
    TaskOffer again = world.offer(job, Rack1);
    again.attempt_ = 2;
    world.send(holder, again);
    world.run(std::chrono::seconds(1));
    cr_assert_eq(world.observedRuns_.at({job.id_, 0}).starts_, 1, "a new attempt runs");
}

// Guards against queueing work that can never run or that exceeds the length of the queue.
Test(offer, impossibleWorkIsRefusedAtOnce)
{
    World world = makeWorld();
    Holder &holder = world.gain("a#1", Rack1);
    JobSpec large = world.job("large", "school", "batch");
    large.size_.accelerators_ = 1;
    world.send(holder, world.offer(large, Rack1));
    const JobSpec gang = world.job("gang", "school", "gang");
    world.send(holder, world.offer(gang, Rack1, 5));
    const JobSpec many = world.job("many", "school", "batch");
    world.send(holder, world.offer(many, Rack1, 20'001));
    world.run(Milliseconds(20));
    cr_assert(world.outcome(large)->error_ == ErrorKind::ImpossibleSize);
    cr_assert(world.outcome(gang)->error_ == ErrorKind::ImpossibleSize);
    cr_assert(world.outcome(many)->error_ == ErrorKind::Overloaded);
    for (const auto &[id, result] : world.outcomes_) {
        cr_assert(result.outcome_ == Outcome::NotRun);
    }
}

// Guards against queueing an interactive task that, by the estimated wait, cannot start before its deadline.
Test(offer, tooShortDeadlineIsRefusedEarly)
{
    World world = makeWorld(1);
    Holder &holder = world.gain("a#1", Rack1);
    world.run(std::chrono::seconds(1));
    for (int i = 0; i < 40; ++i) {
        world.send(holder, world.offer(withRunTime(world.job(std::to_string(i), "school", "fast"), 200), Rack1));
    }
    world.run(std::chrono::seconds(1));
    const JobSpec job = world.job("x", "school", "fast");
    TaskOffer offer = world.offer(job, Rack1);
    offer.remaining_ = Milliseconds(300);
    world.send(holder, offer);
    world.run(Milliseconds(20));
    cr_assert(world.outcome(job)->error_ == ErrorKind::DeadlineTooShort);
    cr_assert(world.outcome(job)->outcome_ == Outcome::NotRun);
}

// Guards against a cancelled task that runs or gets no answer, and against one stop call for each task, when many
// queued and running tasks are cancelled at once.
Test(offer, bulkCancellation)
{
    World world = makeWorld();
    Holder &holder = world.gain("a#1", Rack1);
    world.run(std::chrono::seconds(1));
    const JobSpec job = withRunTime(world.job("x", "school", "batch"), 60'000);
    world.send(holder, world.offer(job, Rack1, 500));
    world.run(std::chrono::seconds(1));
    std::vector<TaskId> tasks;
    for (std::uint32_t i = 0; i < 500; ++i) {
        tasks.push_back({job.id_, i});
    }
    const std::size_t before = world.requests_.size();
    world.cancel(holder, tasks);
    world.run(std::chrono::seconds(1));
    cr_assert_eq(world.outcomes_.size(), 500U);
    for (const auto &[id, result] : world.outcomes_) {
        cr_assert(result.outcome_ == Outcome::Cancelled);
    }
    cr_assert_leq(world.requests_.size() - before, 10U, "stops are sent in bulk");
    cr_assert_eq(world.runningByTeam_[TeamId("school")], 0);
}

// Guards against losing a cancellation that arrives before the offer, on another connection.
Test(offer, cancellationBeforeTheOfferIsKept)
{
    World world = makeWorld();
    Holder &holder = world.gain("a#1", Rack1);
    world.run(std::chrono::seconds(1));
    const JobSpec job = world.job("x", "school", "batch");
    world.cancel(holder, {{job.id_, 0}});
    world.send(holder, world.offer(job, Rack1));
    world.run(std::chrono::seconds(1));
    cr_assert(world.outcome(job)->outcome_ == Outcome::Cancelled);
    cr_assert_eq(world.observedRuns_.count({job.id_, 0}), 0U);
}

// Guards against a second run: an earlier attempt runs at the second candidate when the repeat arrives at the first.
Test(offer, repeatAsksTheSecondCandidate)
{
    World world = makeWorld();
    world.addWorker("w2", Rack2, {4000, 4000, 0, 4});
    Holder &first = world.gain("a#1", Rack1);
    Holder &second = world.gain("b#1", Rack2);
    world.run(std::chrono::seconds(1));
    const JobSpec job = withRunTime(firstAtRack1(world, "x"), 300);
    world.send(second, world.offer(job, Rack2));
    world.run(Milliseconds(50));
    TaskOffer again = world.offer(job, Rack1);
    again.attempt_ = 2;
    const std::uint64_t call = world.send(first, again);
    world.run(std::chrono::seconds(1));
    cr_assert_eq(world.observedRuns_.at({job.id_, 0}).starts_, 1);
    cr_assert_eq(world.resultsByCall_[call].size(), 1U);
    cr_assert(world.resultsByCall_[call].front().outcome_ == Outcome::Done);
    // A first attempt that arrives at the second candidate after the query does not run there.
    const JobSpec other = withRunTime(firstAtRack1(world, "y"), 300);
    TaskOffer repeat = world.offer(other, Rack1);
    repeat.attempt_ = 2;
    world.send(first, repeat);
    world.run(Milliseconds(100));
    world.send(second, world.offer(other, Rack2));
    world.run(std::chrono::seconds(1));
    cr_assert_eq(world.observedRuns_.at({other.id_, 0}).starts_, 1);
}

// Guards against the answer NotRun for a repeat when the second candidate, which may run an earlier attempt, cannot be
// reached.
Test(offer, repeatIsUnknownWhenTheSecondCannotBeAsked)
{
    World world = makeWorld();
    Holder &first = world.gain("a#1", Rack1);
    world.gain("b#1", Rack2).paused_ = true;
    world.run(std::chrono::seconds(1));
    const JobSpec job = firstAtRack1(world, "x");
    TaskOffer again = world.offer(job, Rack1);
    again.attempt_ = 2;
    world.send(first, again);
    world.run(std::chrono::seconds(3));
    cr_assert(world.outcome(job)->outcome_ == Outcome::Unknown);
    cr_assert_eq(world.observedRuns_.count({job.id_, 0}), 0U);
}

// Guards against waiting at a full group while the second candidate has free capacity.
Test(offer, fullGroupForwards)
{
    World world = makeWorld(1);
    world.addWorker("w2", Rack2, {4000, 4000, 0, 4});
    Holder &first = world.gain("a#1", Rack1);
    Holder &second = world.gain("b#1", Rack2);
    world.run(std::chrono::seconds(1));
    for (ShardEntry &entry : world.directory_.groups_) {
        entry.load_ = groupLoad(entry.shard_ == Rack1 ? *first.state_ : *second.state_);
    }
    for (int i = 0; i < 8; ++i) {
        world.send(first,
                   world.offer(withRunTime(world.job("fill" + std::to_string(i), "school", "batch"), 400), Rack1));
    }
    world.run(std::chrono::seconds(1));
    const JobSpec job = withRunTime(firstAtRack1(world, "x"), 100);
    world.send(first, world.offer(job, Rack1));
    world.run(Milliseconds(300));
    cr_assert(world.outcome(job) != nullptr && world.outcome(job)->outcome_ == Outcome::Done);
    cr_assert(world.outcome(job)->worker_ == WorkerId("w2"));
    cr_assert_eq(world.observedRuns_.at({job.id_, 0}).starts_, 1);
}

// Guards against starts while the store is down and the allowances cannot be read.
Test(offer, nothingStartsWithoutAnAllowance)
{
    World world = makeWorld();
    world.storeDown_ = true;
    Holder &holder = world.gain("a#1", Rack1);
    const JobSpec job = world.job("x", "school", "batch");
    world.send(holder, world.offer(job, Rack1));
    world.run(std::chrono::seconds(2));
    cr_assert(world.observedRuns_.empty());
    cr_assert(explainTask(*holder.state_, {job.id_, 0}, world.now_).find("allowance of 0") != std::string::npos);
    world.storeDown_ = false;
    world.run(std::chrono::seconds(6));
    cr_assert(world.outcome(job)->outcome_ == Outcome::Done);
    cr_assert(groupDocument(*holder.state_, world.now_).find("\"team\":\"school\"") != std::string::npos);
}

// Guards against losing a result: it is acknowledged to the worker only after the home has acknowledged it. Until then
// polls name it as known, and afterwards no longer.
Test(offer, resultIsKeptUntilTheHomeAcknowledges)
{
    World world = makeWorld();
    Holder &holder = world.gain("a#1", Rack1);
    world.run(std::chrono::seconds(1));
    world.homeAcknowledges_ = false;
    const JobSpec job = world.job("x", "school", "once");
    world.send(holder, world.offer(job, Rack1));
    world.run(std::chrono::seconds(8));
    cr_assert_eq(world.workers_.at(WorkerId("w1")).runs_.size(), 1U);
    const int answers = world.answers_.at({job.id_, 0});
    cr_assert_gt(answers, 1, "the result is repeated to the home");
    const WorkerPoll &poll = world.workers_.at(WorkerId("w1")).lastPoll_;
    cr_assert(poll.acks_.empty() && poll.endedTasks_ == std::vector<TaskId>({{job.id_, 0}}));
    world.homeAcknowledges_ = true;
    world.run(std::chrono::seconds(6));
    cr_assert(poll.endedTasks_.empty());
    cr_assert_eq(world.workers_.at(WorkerId("w1")).runs_.size(), 0U);
}
