// Benchmark: cost of the order of waiting work with and without past use. All runners are full, so each pass only
// orders the waiting steps and finds no room. Compare the rows with the half-life 0 with those above 0.
#include "cell/cell_world.h"

#include <benchmark/benchmark.h>

using namespace mimosapier;

static std::string accountName(std::uint64_t number)
{
    return "account-" + std::to_string(number);
}

// A cell whose runners are full and in which `jobs` jobs of `accounts` accounts wait. The accounts have used very
// different amounts, so that most of those above their share have a shift.
static std::unique_ptr<CellWorld> fullWorld(std::uint64_t accounts, std::uint64_t jobs, Milliseconds halfLife)
{
    constexpr int Runners = 350;
    auto world = std::make_unique<CellWorld>(1, Runners);
    world->holdsWait_ = true;
    world->cell_->settings_.pastUseHalfLife_ = halfLife;
    world->config_.accounts_.clear();
    for (std::uint64_t i = 0; i < accounts; ++i) {
        world->config_.accounts_.push_back({accountName(i), {}, 10'000, {}});
    }
    applyConfig(*world->cell_, world->config_);
    world->listRunners();
    world->run(Milliseconds(200));
    const auto submit = [&world](std::uint64_t id, std::uint32_t tasks, const std::string &account) {
        CellRequest request = world->submission(id, tasks, 10'000);
        request.account_ = account;
        request.policy_.targetCompletion_ = Milliseconds(100'000'000); // nothing is refused
        world->send(request);
    };
    submit(1, Runners, accountName(0));
    world->run(Milliseconds(500));
    for (std::uint64_t i = 0; i < jobs; ++i) {
        submit(2 + i, 1, accountName(i % accounts));
    }
    world->run(Milliseconds(5'000)); // until all are stored
    for (std::uint64_t i = 0; halfLife > Milliseconds(0) && i < accounts; ++i) {
        world->cell_->accounts_.at(accountName(i)).pastUse_.coreSeconds_ = 1'000.0 * static_cast<double>(i);
    }
    world->run(Milliseconds(1'000));
    return world;
}

// One second of the leader, in which the steps are ordered as often as passInterval() allows. Arguments: accounts,
// waiting jobs, half-life in seconds.
static void orderOfWaitingWork(benchmark::State &state)
{
    const auto world = fullWorld(static_cast<std::uint64_t>(state.range(0)), static_cast<std::uint64_t>(state.range(1)),
                                 std::chrono::seconds(state.range(2)));
    const std::uint64_t before = world->cell_->stepsExamined_;
    for (auto _ : state) {
        for (int step = 0; step < 200; ++step) {
            world->cell_->placementDue_ = true; // as when runs end all the time
            world->run(Milliseconds(5));
        }
    }
    state.counters["waiting"] = static_cast<double>(world->cell_->readySteps_.size());
    state.counters["shifted"] = static_cast<double>(world->cell_->pastUse_.shifts_.size());
    state.counters["steps/s"] = static_cast<double>(world->cell_->stepsExamined_ - before)
        / static_cast<double>(std::max<std::int64_t>(1, state.iterations()));
}

BENCHMARK(orderOfWaitingWork)
    ->ArgsProduct({{20, 400}, {1'000, 10'000}, {0, 3'600}})
    ->Unit(benchmark::kMillisecond)
    ->Iterations(10);

BENCHMARK_MAIN();
