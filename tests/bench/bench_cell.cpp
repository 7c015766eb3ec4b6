// Benchmark: processor time of a leader's decisions with 350 runners under load, up to twice what the runners can
// carry. The cost of a decision must not grow with the amount of waiting work.
#include "cell/cell_world.h"

#include <benchmark/benchmark.h>

#include <queue>
#include <random>

using namespace mimosapier;

namespace
{

constexpr int Runners = 350;
constexpr std::int64_t RunnerMilliCpus = 16'000;
constexpr Milliseconds TaskTime{900};
constexpr std::uint32_t TasksPerJob = 3;
constexpr std::int64_t TaskMilliCpus = 2'500;

struct RunningTask
{
    TimePoint until_;
    RunnerId runner_;
    StagedTask task_;
    bool operator<(const RunningTask &other) const { return until_ > other.until_; }
};

// Ends each run TaskTime after its start.
struct TimedRunEnds
{
    void advance(CellWorld &world)
    {
        for (auto &[id, runner] : world.runners_) {
            std::size_t &seen = seen_[id];
            for (; seen < runner.starts_.size(); ++seen) {
                running_.push({world.now_ + TaskTime, id, runner.starts_[seen].first});
            }
        }
        while (!running_.empty() && running_.top().until_ <= world.now_) {
            world.endRun(running_.top().runner_, running_.top().task_, RunEnd::Done);
            running_.pop();
        }
    }

    std::map<RunnerId, std::size_t> seen_;
    std::priority_queue<RunningTask> running_;
};

} // namespace

// Simulates 5 s in steps of 5 ms. Arguments: load in percent of what the runners can carry; 1 if the queue needs policy
// queries.
static void decisionsUnderLoad(benchmark::State &state)
{
    const double tasksPerSecond
        = static_cast<double>(Runners) * static_cast<double>(RunnerMilliCpus / TaskMilliCpus) / 0.9;
    const double jobsPerSecond = tasksPerSecond / TasksPerJob * static_cast<double>(state.range(0)) / 100;
    for (auto _ : state) {
        state.PauseTiming();
        CellWorld world(1, Runners, state.range(1) != 0);
        world.holdsWait_ = true;
        for (auto &[id, runner] : world.runners_) {
            runner.record_.capacity_ = {RunnerMilliCpus, 32'000, 0, 0};
        }
        world.config_.accounts_[0].weight_ = 10'000; // submissions per second
        applyConfig(*world.cell_, world.config_);
        world.listRunners();
        std::vector<DaemonId> queriers;
        for (int i = 0; i < 30; ++i) {
            queriers.emplace_back("d" + std::to_string(i));
        }
        setPolicyQueriers(*world.cell_, queriers);
        TimedRunEnds ends;
        double due = 0;
        std::uint64_t id = 0;
        world.run(Milliseconds(200));
        state.ResumeTiming();
        for (int step = 0; step < 1'000; ++step) {
            due += jobsPerSecond * 0.005;
            for (; due >= 1; due -= 1) {
                CellRequest request = world.submission(++id, TasksPerJob, TaskMilliCpus);
                request.submitted_.steps_[0].estimate_ = TaskTime;
                request.policy_.targetCompletion_ = Milliseconds(5'000);
                world.send(request);
            }
            world.run(Milliseconds(5));
            ends.advance(world);
        }
        state.counters["jobs"] = static_cast<double>(id);
        state.counters["starts"] = static_cast<double>(world.startCount());
        state.counters["waiting"] = static_cast<double>(world.cell_->readySteps_.size());
    }
}

BENCHMARK(decisionsUnderLoad)->ArgsProduct({{50, 90, 120, 200}, {0, 1}})->Unit(benchmark::kMillisecond)->Iterations(1);

BENCHMARK_MAIN();
