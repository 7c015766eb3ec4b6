// Tests of the choice of runners by their speed and by how likely they are to stay: loads with runners that fail what
// they start, that flap, and that are slow, replayed without a network.
#include "cell/cell_world.h"
#include "core/cell/cell_internal.h"

#include <criterion/criterion.h>

#include <cmath>
#include <random>

using namespace mimosapier;

namespace
{

constexpr std::int64_t MemberSize = 3'000; // three fit on a runner, as tasks of 9 cores do on one of 32

// A cell with the setting on and runners that may fail runs. A member of a gang that fails breaks the others.
struct ChoiceWorld : CellWorld
{
    explicit ChoiceWorld(int runners, bool learns = true, std::uint64_t leadership = 1)
        : CellWorld(leadership, runners)
    {
        cell_->settings_.learnedRunTimes_ = learns;
        holdsWait_ = true;
        keepsLog_ = true;
        config_.queues_[0].policy_.targetCompletion_ = Milliseconds(1'000'000); // nothing is refused or urgent
        config_.queues_[0].policy_.maxAttempts_ = 1'000;
        config_.accounts_[0].weight_ = 0;
        applyConfig(*cell_, config_);
        for (auto &[id, runner] : runners_) {
            runner.record_.address_ = "10.0.0.1:" + id.value_.substr(1);
        }
        listRunners();
        CellWorld::run(Milliseconds(100));
    }

    // Like CellWorld::run(), and ends each run after runMs_. A run on a runner in failing_ fails with that probability.
    void run(Milliseconds duration)
    {
        for (const TimePoint end = now_ + duration; now_ < end;) {
            CellWorld::run(Milliseconds(5));
            std::vector<std::pair<RunnerId, StagedTask>> over;
            for (const auto &[id, runner] : runners_) {
                for (const auto &[task, number] : runner.active_) {
                    const auto [began, isNew] = beganAt_.try_emplace(std::make_pair(task, number), now_);
                    if (now_ - began->second >= Milliseconds(longJobs_.contains(task.job_.value_) ? 5'000 : runMs_)) {
                        over.emplace_back(id, task);
                    }
                }
            }
            for (const auto &[id, task] : over) {
                const auto failing = failing_.find(id);
                if (failing != failing_.end() && runners_.at(id).active_.contains(task)
                    && uniform_(random_) < failing->second) {
                    runners_.at(id).end(task, RunEnd::Failed);
                    breakGang(task);
                }
            }
            for (const auto &[id, task] : over) {
                runners_.at(id).end(task, RunEnd::Done);
            }
        }
    }

    void breakGang(const StagedTask &failed)
    {
        if (!gangs_.contains(failed.job_.value_)) {
            return;
        }
        ++brokenGangs_;
        for (auto &[id, runner] : runners_) {
            for (std::uint32_t i = 0; i < 20; ++i) {
                runner.end({failed.job_, 0, 0, i}, RunEnd::Broken);
            }
        }
    }

    void submitGang(std::uint64_t id, std::uint32_t members)
    {
        gangs_.insert(id);
        submit(id, members, MemberSize, true);
    }

    // The runners that have started a task of the job, with the number of runs.
    std::map<std::string, int> runnersOf(std::uint64_t job) const
    {
        std::map<std::string, int> result;
        for (const auto &[id, runner] : runners_) {
            for (const auto &[task, run] : runner.starts_) {
                if (task.job_.value_ == job) {
                    ++result[id.value_];
                }
            }
        }
        return result;
    }

    // Gives the runner a learned speed.
    void setSpeed(const std::string &id, double speed)
    {
        RunnerHistory &history = *cell_->runners_.at(RunnerId(id))->history_;
        history.speed_ = std::log(speed);
        history.comparisons_ = 0; // not moved by the mean of the others
    }

    detail::RunnerRisk risk(const std::string &id) const
    {
        return detail::riskOf(*cell_->runners_.at(RunnerId(id)), now_);
    }

    // The runner's process ends and starts again.
    void restart(const std::string &id)
    {
        RunnerModel &runner = runners_.at(RunnerId(id));
        removeRunner(*cell_, RunnerId(id), time(), actions_);
        runner.restart(time().unixMs_, elapsedMs());
        updateRunner(*cell_, runner.record_, time(), actions_);
    }

    std::int64_t runMs_ = 500;
    std::set<std::uint64_t> longJobs_; // their runs take 5 s
    std::map<RunnerId, double> failing_; // probability by runner
    std::set<std::uint64_t> gangs_;
    std::map<std::pair<StagedTask, std::uint64_t>, TimePoint> beganAt_;
    int brokenGangs_ = 0;
    std::mt19937 random_{7}; // NOLINT(cert-msc51-cpp): the test has to be repeatable
    std::uniform_real_distribution<double> uniform_;
};

} // namespace

// Guards against gangs that are lost again and again on a runner that fails half of what it starts and looks healthy:
// it rarely fails three runs in a row. Replays 40 gangs of 20 members on 10 runners, one of which fails.
Test(runner_choice, gangsAvoidARunnerThatFailsAPartOfItsRuns)
{
    ChoiceWorld world(10);
    world.failing_[RunnerId("r0")] = 0.5;
    for (std::uint64_t id = 1; id <= 40; ++id) {
        world.submitGang(id, 20);
        world.run(Milliseconds(700));
    }
    world.run(Milliseconds(5'000));
    cr_assert_leq(world.brokenGangs_, 2, "%d gangs were broken", world.brokenGangs_);
    cr_assert_geq(world.linesWith({"\"runner-suspect\"", "\"suspect\":true", "10.0.0.1:0"}), 1);
}

// Guards against a runner that is blamed for members which ended because another one failed.
Test(runner_choice, onlyTheFirstFailedMemberTellsWhichRunnerIsAtFault)
{
    ChoiceWorld world(8);
    world.failing_[RunnerId("r3")] = 1;
    world.submitGang(1, 20);
    world.run(Milliseconds(600));
    cr_assert_eq(world.brokenGangs_, 1);
    for (int i = 0; i < 8; ++i) {
        const auto expected = i == 3 ? detail::RunnerRisk::High : detail::RunnerRisk::Low;
        cr_assert(world.risk("r" + std::to_string(i)) == expected, "r%d", i);
    }
}

// Guards against gangs and tasks on a runner that goes down and up every second: each time it is empty, and so the
// first choice of a gang. Replays such a runner for 6 s, and gangs in the meantime and 3 s after it has come back for
// good.
Test(runner_choice, gangsAvoidAFlappingRunner)
{
    ChoiceWorld world(8);
    for (std::uint64_t id = 1; id <= 9; ++id) {
        if (id <= 6) {
            world.restart("r0");
        }
        world.run(Milliseconds(300));
        world.submitGang(id, 20);
        world.submit(100 + id, 1, 100);
        world.run(Milliseconds(700));
        cr_assert_eq(world.runnersOf(id).count("r0"), 0, "gang %d", static_cast<int>(id));
        cr_assert_eq(world.runnersOf(100 + id).count("r0"), 0, "task %d", static_cast<int>(id));
    }
    world.run(Milliseconds(60'000));
    cr_assert(world.risk("r0") == detail::RunnerRisk::Low);
}

// Guards against a new leader that takes a runner which restarted under the former one for a steady one.
Test(runner_choice, aNewLeaderSeesARecentStartInTheEntry)
{
    ChoiceWorld world(0);
    for (int i = 0; i < 8; ++i) {
        RunnerModel runner;
        runner.record_.id_ = RunnerId("r" + std::to_string(i));
        runner.record_.service_ = "s";
        runner.record_.address_ = "10.0.0.1:" + std::to_string(i);
        runner.record_.capacity_ = {10'000, 10'000, 0, 0};
        runner.startedUnixMs_ = runner.record_.startedUnixMs_ = i == 0 ? world.time().unixMs_ - 2'000 : 1;
        world.runners_[runner.record_.id_] = runner;
    }
    world.listRunners();
    world.run(Milliseconds(200));
    world.submitGang(1, 20);
    world.run(Milliseconds(300));
    cr_assert_eq(world.runnersOf(1).size(), 7U);
    cr_assert_eq(world.runnersOf(1).count("r0"), 0);
}

// Guards against a gang that takes a suspect runner because the others are full for the moment: it waits for them. And
// against one that waits for ever when the others cannot hold it.
Test(runner_choice, gangsWaitForTrustedRunnersOnlyIfTheseCanHoldThem)
{
    ChoiceWorld world(8);
    world.restart("r0");
    world.run(Milliseconds(300));
    world.runMs_ = 1'000;
    world.submit(1, 1, 8'000); // on one of the seven others
    world.run(Milliseconds(100));
    world.submitGang(2, 20);
    world.submitGang(3, 24); // needs all eight
    world.run(Milliseconds(700));
    cr_assert(world.runnersOf(2).empty());
    world.run(Milliseconds(1'000));
    cr_assert_eq(world.runnersOf(2).size(), 7U);
    cr_assert_eq(world.runnersOf(2).count("r0"), 0);
    world.run(Milliseconds(2'000));
    cr_assert_eq(world.runnersOf(3).size(), 8U);
}

// Guards against a gang that waits because its policy queries name the runners that it must not use: these are empty,
// so they were named first. Replays a gang whose verdicts are all known and whose tickets have expired, three runners
// that restarted, and twelve others with room for two members each.
Test(runner_choice, policyQueriesNameSuspectRunnersLast)
{
    ChoiceWorld world(15);
    for (int i = 0; i < 3; ++i) {
        world.restart("r" + std::to_string(i));
    }
    world.run(Milliseconds(300));
    world.runMs_ = 1'000;
    world.longJobs_ = {1};
    for (std::uint64_t id = 1; id <= 2; ++id) { // a task of each on each of the twelve
        CellRequest wide = world.submission(id, 12, 4'000);
        wide.submitted_.steps_[0].antiAffinity_ = 1;
        world.send(wide);
    }
    world.run(Milliseconds(100));
    CellRequest gang = world.submission(100, 20, MemberSize, true);
    gang.policy_.policyQueries_ = true;
    world.gangs_.insert(100);
    world.send(gang);
    world.run(Milliseconds(100));
    StepState &step = world.cell_->jobs_.at(StagedJobId{100})->occurrences_.at(0).steps_[0];
    for (const auto &[id, runner] : world.cell_->runners_) {
        step.verdicts_[id] = {true, "t", {}, runner->startedUnixMs_};
    }
    world.run(Milliseconds(1'500)); // the tasks of one of the wide jobs have ended
    cr_assert_geq(world.runnersOf(100).size(), 10U, "the gang has not started");
    for (int i = 0; i < 3; ++i) {
        cr_assert_eq(world.runnersOf(100).count("r" + std::to_string(i)), 0);
    }
}

// Guards against gangs that one slow runner holds up while faster ones are free, and against gangs on many runners with
// little room each. Six runners are fast and six slow.
Test(runner_choice, gangsPreferFastRunnersAndFewOfThem)
{
    ChoiceWorld world(12);
    for (int i = 0; i < 12; ++i) {
        world.setSpeed("r" + std::to_string(i), i < 6 ? 0.6 : 1.6);
    }
    world.runMs_ = 300;
    world.submitGang(1, 18);
    world.run(Milliseconds(200));
    cr_assert_eq(world.runnersOf(1).size(), 6U);
    for (const auto &[id, runs] : world.runnersOf(1)) {
        cr_assert_geq(world.cell_->runners_.at(RunnerId(id))->history_->speed_, 0, "%s", id.c_str());
    }
    world.submitGang(2, 18); // a slow runner is not a broken one
    world.run(Milliseconds(150));
    cr_assert_eq(world.runnersOf(2).size(), 6U);
}

// Guards against urgent tasks on slow runners while fast ones are free. Other work still fills the fullest runner
// first, so that large tasks find room.
Test(runner_choice, urgentTasksPreferFastRunners)
{
    ChoiceWorld world(4);
    world.setSpeed("r1", 1.6);
    world.setSpeed("r2", 0.6);
    world.runMs_ = 2'000;
    world.submit(1, 1, 2'000);
    world.run(Milliseconds(50));
    const std::string fullest = world.runnersOf(1).begin()->first;
    cr_assert_neq(fullest, "r1");
    CellRequest urgent = world.submission(2, 2, 2'000);
    urgent.policy_.targetCompletion_ = Milliseconds(500);
    urgent.policy_.slackFactor_ = 1.5;
    world.send(urgent);
    world.submit(3, 1, 7'000); // no room on r1 any more
    world.run(Milliseconds(50));
    cr_assert_eq(world.runnersOf(2)["r1"], 2);
    cr_assert_eq(world.runnersOf(3)[fullest], 1);
}

// Guards against tasks that wait although only a suspect runner has room: a task is lost alone, and it counts less than
// the time that it would wait.
Test(runner_choice, tasksTakeASuspectRunnerLast)
{
    ChoiceWorld world(2);
    world.restart("r0");
    world.run(Milliseconds(300));
    world.runMs_ = 2'000;
    world.submit(1, 1, 5'000);
    world.submit(2, 2, 5'000);
    world.run(Milliseconds(200));
    cr_assert_eq(world.runnersOf(1)["r1"], 1);
    cr_assert_eq(world.runnersOf(2)["r1"], 1);
    cr_assert_eq(world.runnersOf(2)["r0"], 1);
}
