// Tests of the copies of stragglers: wide steps with a task that runs seven times as long as the others, replayed
// without a network.
#include "cell/cell_world.h"
#include "core/cell/cell_internal.h"

#include <criterion/criterion.h>

#include <cmath>
#include <random>

using namespace mimosapier;

namespace
{

constexpr std::int64_t TaskMs = 500;

// A cell with copies. Each run ends after TaskMs, those in longRuns_ after seven times as long.
struct CopyWorld : CellWorld
{
    explicit CopyWorld(double share = 0.2, int runners = 5, bool policy = false, std::uint64_t leadership = 1)
        : CellWorld(leadership, runners, policy)
    {
        cell_->settings_.learnedRunTimes_ = true;
        cell_->settings_.copyShare_ = share;
        holdsWait_ = true;
        keepsLog_ = true;
        config_.queues_[0].policy_.targetCompletion_ = Milliseconds(100'000);
        config_.accounts_[0].weight_ = 0;
        applyConfig(*cell_, config_);
        for (auto &[id, runner] : runners_) {
            runner.record_.address_ = "10.0.0.1:" + id.value_.substr(1);
        }
        listRunners();
        CellWorld::run(Milliseconds(100));
    }

    static StagedTask task(std::uint64_t job, std::uint32_t index) { return {StagedJobId{job}, 0, 0, index}; }

    void submitWide(std::uint64_t id, std::uint32_t count, bool speculative = true)
    {
        CellRequest request = submission(id, count, 2'000);
        request.submitted_.steps_[0].estimate_ = Milliseconds(TaskMs);
        request.submitted_.steps_[0].speculative_ = speculative;
        send(request);
    }

    // Like CellWorld::run(), and ends the runs that are over. Checks what must hold at any time.
    void run(Milliseconds duration)
    {
        for (const TimePoint end = now_ + duration; now_ < end;) {
            CellWorld::run(Milliseconds(5));
            for (auto &[id, runner] : runners_) {
                cr_assert_leq(runner.active_.size(), 5U, "runner %s is over its capacity", id.value_.c_str());
                std::vector<StagedTask> over;
                for (const auto &[task, number] : runner.active_) {
                    const auto key = std::make_pair(task, number);
                    const TimePoint began = beganAt_.try_emplace(key, now_).first->second;
                    if (now_ - began >= Milliseconds(TaskMs) * (longRuns_.contains(key) ? 7 : 1)) {
                        over.push_back(task);
                    }
                }
                for (const StagedTask &task : over) {
                    runner.end(task, RunEnd::Done);
                }
            }
        }
    }

    // Submits a job of which task 0 is a straggler and runs it until the copy has begun. Result: runner of the copy.
    RunnerId runUntilCopy(std::uint64_t job = 1)
    {
        longRuns_.insert({task(job, 0), 1});
        submitWide(job, 10);
        for (int i = 0; i < 600; ++i) {
            run(Milliseconds(5));
            for (const auto &[id, runner] : runners_) {
                const auto active = runner.active_.find(task(job, 0));
                if (active != runner.active_.end() && active->second == 2) {
                    run(Milliseconds(20)); // the answer to the start
                    return id;
                }
            }
        }
        cr_assert_fail("no copy has begun");
        return {};
    }

    RunnerId runnerOfRun(const StagedTask &id, std::uint64_t run) const
    {
        for (const auto &[runnerId, runner] : runners_) {
            const auto active = runner.active_.find(id);
            if (active != runner.active_.end() && active->second == run) {
                return runnerId;
            }
        }
        return {};
    }

    // Nothing is reserved and nothing runs any more.
    void expectEmpty() const
    {
        for (const auto &[id, runner] : cell_->runners_) {
            cr_assert(runner->used_ == Resources{}, "runner %s", id.value_.c_str());
            cr_assert(runner->tasks_.empty());
        }
        cr_assert(cell_->accounts_.at("a").used_ == Resources{});
        for (const auto &[id, runner] : runners_) {
            cr_assert(runner.active_.empty());
        }
    }

    StagedState state(std::uint64_t job) const { return cell_->jobs_.at(StagedJobId{job})->state_; }

    std::set<std::pair<StagedTask, std::uint64_t>> longRuns_;
    std::map<std::pair<StagedTask, std::uint64_t>, TimePoint> beganAt_;
};

} // namespace

// Guards against a step that waits for its straggler: it took 3.5 s, and 2.1 s with a copy that starts at 1.5 s.
Test(copies, theFirstEndCountsAndTheOtherRunIsStopped)
{
    CopyWorld world;
    world.runUntilCopy();
    cr_assert_eq(world.linesWith({"\"copy-started\"", "0000000000000001.0.0.0"}), 1);
    world.run(Milliseconds(700));
    cr_assert(world.state(1) == StagedState::Completed);
    world.run(Milliseconds(1'000));
    world.expectEmpty();
    cr_assert_eq(world.linesWith({"\"end\"", "0000000000000001.0.0.0", "\"done\""}), 1);
    cr_assert_eq(world.linesWith({"\"end\"", "0000000000000001.0.0.0", "\"stopped\""}), 1);
    cr_assert_eq(world.linesWith({"task-repeated"}), 0);
    cr_assert_eq(world.linesWith({"end-awaits-lapse"}), 0);
}

// Guards against a copy that goes on, or whose end counts as well, when the first run ends before it.
Test(copies, theCopyIsStoppedWhenTheFirstRunEnds)
{
    CopyWorld world;
    const RunnerId copy = world.runUntilCopy();
    const RunnerId first = world.runnerOfRun(CopyWorld::task(1, 0), 1);
    world.endRun(first, CopyWorld::task(1, 0), RunEnd::Done);
    world.endRun(copy, CopyWorld::task(1, 0), RunEnd::Done); // at the same time, before the stop arrives
    world.run(Milliseconds(300));
    cr_assert(world.state(1) == StagedState::Completed);
    cr_assert_eq(world.linesWith({"job-ended"}), 1);
    world.run(Milliseconds(1'000));
    world.expectEmpty();
    cr_assert_eq(world.startsOf(CopyWorld::task(1, 0)), 2U);
    cr_assert_eq(world.linesWith({"end-awaits-lapse"}), 0);
}

// Guards against a third run, or a counted attempt, when one of the two runs fails: the other one goes on. The job may
// have two attempts for each task.
Test(copies, aFailedRunLeavesTheOtherOne)
{
    for (const bool copyFails : {true, false}) {
        CopyWorld world;
        const RunnerId copy = world.runUntilCopy();
        const RunnerId first = world.runnerOfRun(CopyWorld::task(1, 0), 1);
        world.endRun(copyFails ? copy : first, CopyWorld::task(1, 0), RunEnd::Failed);
        world.run(Milliseconds(300));
        const Job &job = *world.cell_->jobs_.at(StagedJobId{1});
        const TaskRecord &record = job.occurrences_.at(0).steps_[0].tasks_[0];
        cr_assert(record.state_ == TaskState::Placed && record.failedRuns_.empty());
        cr_assert(record.runner_ == (copyFails ? first : copy));
        world.run(Milliseconds(3'000));
        cr_assert(world.state(1) == StagedState::Completed);
        cr_assert_eq(world.startsOf(CopyWorld::task(1, 0)), 2U);
        world.run(Milliseconds(1'000));
        world.expectEmpty();
    }
}

// Guards against a third run when a runner crashes under one of the two runs.
Test(copies, aCrashedRunnerLeavesTheOtherRun)
{
    for (const bool copyCrashes : {true, false}) {
        CopyWorld world;
        const RunnerId copy = world.runUntilCopy();
        const RunnerId first = world.runnerOfRun(CopyWorld::task(1, 0), 1);
        RunnerModel &crashed = world.runners_.at(copyCrashes ? copy : first);
        crashed.restart(world.time().unixMs_, world.elapsedMs());
        updateRunner(*world.cell_, crashed.record_, world.time(), world.actions_);
        world.run(Milliseconds(4'000));
        cr_assert(world.state(1) == StagedState::Completed);
        cr_assert_eq(world.startsOf(CopyWorld::task(1, 0)), 2U);
        world.run(Milliseconds(1'000));
        world.expectEmpty();
    }
}

// Guards against a run that goes on after the cancel.
Test(copies, aCancelStopsBothRuns)
{
    CopyWorld world;
    world.runUntilCopy();
    world.sendRequest(1, CellVerb::Cancel);
    world.run(Milliseconds(150)); // less than the rest of both runs
    cr_assert(world.state(1) == StagedState::Cancelled);
    world.expectEmpty();
    cr_assert_eq(world.startsOf(CopyWorld::task(1, 0)), 2U);
}

// Guards against copies beyond their share, in steps that do not allow them, and without the setting. Ten tasks of two
// processors are stragglers; 20% of the runners' 100 processors are room for ten copies, 5% for two.
Test(copies, copiesStayWithinTheirShare)
{
    const auto copiesWith = [](double share, bool speculative) {
        CopyWorld world(share, 10);
        for (std::uint32_t i = 0; i < 10; ++i) {
            world.longRuns_.insert({CopyWorld::task(1, i), 1});
        }
        world.submitWide(1, 20, speculative);
        world.run(Milliseconds(4'500));
        cr_assert(world.state(1) == StagedState::Completed);
        world.run(Milliseconds(1'000));
        world.expectEmpty();
        return world.linesWith({"copy-started"});
    };
    cr_assert_eq(copiesWith(0.2, true), 10);
    const std::int64_t few = copiesWith(0.05, true);
    cr_assert(few >= 2 && few <= 8, "%lld copies", static_cast<long long>(few)); // two at a time
    cr_assert_eq(copiesWith(0.2, false), 0);
    cr_assert_eq(copiesWith(0, true), 0);
}

// Guards against copies that never start because the tickets of the step have expired when the straggler shows.
Test(copies, aCopyGetsATicket)
{
    CopyWorld world(0.2, 5, true);
    world.config_.queues_[0].policy_.ticketValid_ = Milliseconds(700);
    const RunnerId copy = world.runUntilCopy();
    cr_assert(!copy.empty());
    world.run(Milliseconds(1'000));
    cr_assert(world.state(1) == StagedState::Completed);
}

// Guards against a runner over its capacity, or two runs that both go on, after a change of leader: the new leader
// hears of both runs, of either one first, while other work waits for room. One of them is stopped, and the task ends
// once.
Test(copies, aNewLeaderKeepsOneOfTheRuns)
{
    for (const bool copyFirst : {true, false}) {
        CopyWorld world;
        const RunnerId copy = world.runUntilCopy();
        const RunnerId first = world.runnerOfRun(CopyWorld::task(1, 0), 1);
        CopyWorld next(0.2, 0, false, 2);
        next.runners_ = world.runners_;
        next.now_ = world.now_;
        next.longRuns_ = world.longRuns_;
        next.beganAt_ = world.beganAt_;
        next.cell_ = makeCell(world.cell_->settings_, DaemonId("d1"), CellEpoch{2 * TokensPerEpoch}, 10,
                              std::array<std::uint64_t, 2>{10, 10}, next.now_, next.now_);
        next.cell_->formerLeadersEndBy_ = next.now_;
        applyConfig(*next.cell_, next.config_);
        setEvacuatedZones(*next.cell_, {}); // a leader starts nothing before it knows them
        for (const std::string_view prefix : {JobKeyPrefix, ProgressKeyPrefix}) {
            for (const auto &[key, value] : world.stored_) {
                const KvItem item{key, value, 1, false};
                if (key.starts_with(prefix)) {
                    (prefix == JobKeyPrefix ? recoverJob : recoverProgress)(*next.cell_, item, next.time(),
                                                                            next.actions_);
                }
            }
        }
        for (auto &[id, runner] : next.runners_) {
            auto &slot = next.cell_->runners_[id];
            slot = std::make_unique<Runner>();
            slot->record_ = runner.record_;
            slot->mayHavePredecessorTasks_ = true;
            slot->storedAsInUse_ = true;
        }
        finishRecovery(*next.cell_, next.time(), next.actions_);
        next.listRunners();
        next.submitWide(50, 25); // more than there is room for
        RunnerModel &late = next.runners_.at(copyFirst ? first : copy);
        late.reachable_ = false;
        next.run(Milliseconds(60));
        late.reachable_ = true;
        next.run(Milliseconds(340));
        std::size_t active = 0;
        for (const auto &[id, runner] : next.runners_) {
            active += runner.active_.count(CopyWorld::task(1, 0));
        }
        cr_assert_eq(active, 1U, "%zu runs are active", active);
        next.run(Milliseconds(8'000));
        cr_assert(next.state(1) == StagedState::Completed);
        cr_assert(next.state(50) == StagedState::Completed);
        next.expectEmpty();
    }
}

// Guards against capacity that is counted wrongly, runs that are left over and jobs that never end, in whatever order
// ends, failures, silences and crashes meet copies. Random; each seed replays 20 s.
Test(copies, randomFaultsLeaveNothingBehind)
{
    std::int64_t copies = 0;
    for (std::uint32_t seed = 1; seed <= 60; ++seed) {
        CopyWorld world(0.3, 10);
        world.config_.queues_[0].policy_.maxAttempts_ = 100;
        std::mt19937 random(seed);
        for (std::uint64_t id = 1; id <= 30; ++id) {
            for (std::uint32_t i = 0; i < 10; ++i) {
                for (std::uint64_t run = 1; run <= 4; ++run) {
                    if (random() % 8 == 0) {
                        world.longRuns_.insert({CopyWorld::task(id, i), run});
                    }
                }
            }
            world.submitWide(id, 8 + random() % 3);
            for (int part = 0; part < 5; ++part) {
                world.run(Milliseconds(100));
                RunnerModel &runner = world.runners_.at(RunnerId("r" + std::to_string(random() % 10)));
                const auto fault = random() % 30;
                if (fault < 5 && !runner.active_.empty()) {
                    runner.end(runner.active_.begin()->first, fault < 3 ? RunEnd::Failed : RunEnd::Done);
                } else if (fault == 5) {
                    runner.restart(world.time().unixMs_, world.elapsedMs());
                    updateRunner(*world.cell_, runner.record_, world.time(), world.actions_);
                } else if (fault == 6) {
                    runner.reachable_ = false;
                } else if (fault == 7) {
                    runner.dropsReplies_ = true;
                } else if (fault == 8) {
                    world.sendRequest(1 + random() % id, CellVerb::Cancel);
                }
                if (fault > 8) {
                    for (auto &[runnerId, other] : world.runners_) {
                        other.reachable_ = true;
                        other.dropsReplies_ = false;
                    }
                }
            }
        }
        for (auto &[runnerId, other] : world.runners_) {
            other.reachable_ = true;
            other.dropsReplies_ = false;
        }
        world.run(Milliseconds(60'000));
        world.expectEmpty();
        for (const auto &[id, job] : world.cell_->jobs_) {
            cr_assert(detail::isFinal(*job), "seed %u: a job has not ended", seed);
        }
        copies += world.linesWith({"copy-started"});
    }
    cr_assert_gt(copies, 100, "%lld copies", static_cast<long long>(copies));
}
