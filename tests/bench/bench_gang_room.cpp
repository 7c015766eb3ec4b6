// Benchmark: a leader's decisions for large gangs, wide steps and small urgent jobs together, as in the first
// deployment of docs/plan-contention.md: 350 runners of 32 processors at 81%, a policy service that takes up to 1.3 s
// for a query, and estimates that are off by a factor with a spread of 0.7. Counters: the value earned and the waits,
// by kind.
#include "cell/cell_world.h"

#include <benchmark/benchmark.h>

#include <cmath>
#include <queue>
#include <random>

using namespace mimosapier;

namespace
{

constexpr int Runners = 350;
constexpr std::size_t Kinds = 3;

// A kind of request.
struct Kind
{
    const char *name_;
    std::uint32_t priority_;
    double perSecond_;
    std::uint32_t tasks_;
    double taskMs_;
    std::int64_t milliCpus_;
    double gangPart_; // fraction that are gangs
    double slackFactor_;
    int targetMs_;
    double decideMs_;
    double perRunnerMs_;
    unsigned allowedPercent_;
};

constexpr std::array<Kind, Kinds> AllKinds{{
    {"small", 0, 80.4, 3, 1'000, 5'000, 0.3, 1.5, 500, 11, 0.16, 70},
    {"gang", 1, 3.47 * 1.2, 20, 6'200, 9'000, 1, 2.2, 1'200, 540, 7.7, 25},
    {"wide", 2, 11.2 * 1.5, 25, 2'200, 3'500, 0, 4, 3'000, 80, 1.1, 45},
}};

struct EndingRun
{
    TimePoint at_;
    RunnerId runner_;
    StagedTask task_;
    bool operator<(const EndingRun &other) const { return at_ > other.at_; }
};

struct JobRecord
{
    std::size_t kind_ = 0;
    TimePoint submittedAt_;
    TimePoint startedAt_;
    TimePoint endedAt_;
    std::uint32_t ended_ = 0;
    double runMs_ = 0;
    bool gang_ = false;
};

struct Simulation
{
    explicit Simulation(double share)
        : world_(1, Runners)
    {
        world_.cell_->settings_.gangRoomShare_ = share;
        world_.holdsWait_ = true;
        int i = 0;
        for (auto &[id, runner] : world_.runners_) {
            runner.record_.capacity_ = {32'000, 64'000, 0, 0};
            runner.record_.rack_ = "k" + std::to_string(i / 8);
            constexpr std::array<double, 3> Speeds{0.8, 1.0, 1.25};
            speeds_[id] = Speeds.at(static_cast<std::size_t>(i++ % 3));
        }
        world_.config_.accounts_[0].weight_ = 100'000;
        applyConfig(*world_.cell_, world_.config_);
        world_.listRunners();
        std::vector<DaemonId> queriers;
        for (int daemon = 0; daemon < 34; ++daemon) {
            queriers.emplace_back("d" + std::to_string(daemon));
        }
        setPolicyQueriers(*world_.cell_, queriers);
        world_.policyTime_ = [this](const PolicyQuery &query) {
            const Kind &kind = AllKinds.at(jobs_.at(query.job_.value_).kind_);
            const double ms = kind.decideMs_ + kind.perRunnerMs_ * static_cast<double>(query.runners_.size());
            busyMs_.at(jobs_.at(query.job_.value_).kind_) += ms;
            return Milliseconds(static_cast<int>(ms) + 20);
        };
        world_.isAllowed_ = [this](StagedJobId job, const RunnerId &runner) {
            const std::uint64_t mixed = (job.value_ * 0x9E3779B97F4A7C15ULL)
                ^ (std::hash<std::string>()(runner.value_) * 0xC2B2AE3D27D4EB4FULL);
            return (mixed ^ (mixed >> 29U)) * 0xBF58476D1CE4E5B9ULL % 10'007 % 100
                < AllKinds.at(jobs_.at(job.value_).kind_).allowedPercent_;
        };
        world_.run(Milliseconds(300));
    }

    void submit(std::size_t index)
    {
        const Kind &kind = AllKinds.at(index);
        const std::uint64_t id = ++lastJob_;
        CellRequest request = world_.submission(id, kind.tasks_, kind.milliCpus_);
        request.policy_.queue_ = kind.name_;
        request.policy_.priority_ = kind.priority_;
        request.policy_.slackFactor_ = kind.slackFactor_;
        request.policy_.targetCompletion_ = Milliseconds(kind.targetMs_);
        request.policy_.policyQueries_ = true;
        request.policy_.decideMs_ = kind.decideMs_;
        request.policy_.perRunnerMs_ = kind.perRunnerMs_;
        StepSpec &step = request.submitted_.steps_[0];
        step.estimate_ = Milliseconds(static_cast<int>(kind.taskMs_ * std::exp(0.7 * normal_(random_))));
        step.gang_ = uniform_(random_) < kind.gangPart_;
        jobs_[id] = {index, world_.now_, {}, {}, 0, kind.taskMs_, step.gang_};
        world_.send(request);
    }

    void advance(Milliseconds duration)
    {
        const TimePoint end = world_.now_ + duration;
        while (world_.now_ < end) {
            for (std::size_t i = 0; i < Kinds; ++i) {
                due_.at(i) += AllKinds.at(i).perSecond_ * 0.005 * rate_;
                for (; due_.at(i) >= 1; due_.at(i) -= 1) {
                    submit(i);
                }
            }
            world_.run(Milliseconds(5));
            for (auto &[id, runner] : world_.runners_) {
                std::size_t &seen = seen_[id];
                for (; seen < runner.starts_.size(); ++seen) {
                    const StagedTask &task = runner.starts_[seen].first;
                    JobRecord &job = jobs_.at(task.job_.value_);
                    if (job.startedAt_ == TimePoint{}) {
                        job.startedAt_ = world_.now_;
                    }
                    const double ms = job.runMs_ / speeds_.at(id) * (0.9 + 0.2 * uniform_(random_));
                    ending_.push({world_.now_ + Milliseconds(static_cast<int>(ms)), id, task});
                }
            }
            while (!ending_.empty() && ending_.top().at_ <= world_.now_) {
                const EndingRun run = ending_.top();
                ending_.pop();
                world_.endRun(run.runner_, run.task_, RunEnd::Done);
                JobRecord &job = jobs_.at(run.task_.job_.value_);
                if (++job.ended_ == AllKinds.at(job.kind_).tasks_ || job.gang_) {
                    job.endedAt_ = world_.now_;
                }
            }
            used_ += 1;
            for (const auto &[id, runner] : world_.cell_->runners_) {
                usedMilliCpus_ += static_cast<double>(runner->used_.milliCpus_);
            }
        }
    }

    void report(benchmark::State &state, TimePoint from, TimePoint until) const
    {
        for (std::size_t kind = 0; kind < Kinds; ++kind) {
            std::vector<double> waits;
            double value = 0;
            for (const auto &[id, job] : jobs_) {
                if (job.kind_ != kind || job.submittedAt_ < from || job.submittedAt_ > until) {
                    continue;
                }
                waits.push_back(
                    job.startedAt_ == TimePoint{}
                        ? 99'000
                        : std::chrono::duration<double, std::milli>(job.startedAt_ - job.submittedAt_).count());
                const double objective = AllKinds.at(kind).slackFactor_ * job.runMs_ + AllKinds.at(kind).targetMs_;
                const double took = job.endedAt_ == TimePoint{}
                    ? 1e9
                    : std::chrono::duration<double, std::milli>(job.endedAt_ - job.submittedAt_).count();
                value += took <= objective ? 1 : took <= 3 * objective ? 0.2 : 0;
            }
            std::sort(waits.begin(), waits.end());
            const std::string name = AllKinds.at(kind).name_;
            state.counters[name + "_value"] = value / static_cast<double>(waits.size());
            state.counters[name + "_p50_ms"] = waits[waits.size() / 2];
            state.counters[name + "_p95_ms"] = waits[waits.size() * 95 / 100];
            state.counters[name + "_queriers"]
                = busyMs_.at(kind) / std::chrono::duration<double, std::milli>(world_.now_ - world_.start_).count();
        }
        state.counters["used"] = usedMilliCpus_ / used_ / (32'000.0 * Runners);
    }

    CellWorld world_;
    std::mt19937 random_{11};
    std::normal_distribution<double> normal_;
    std::uniform_real_distribution<double> uniform_;
    double rate_ = 1;
    std::array<double, Kinds> due_{};
    std::array<double, Kinds> busyMs_{};
    std::uint64_t lastJob_ = 0;
    std::map<RunnerId, double> speeds_;
    std::map<std::uint64_t, JobRecord> jobs_;
    std::map<RunnerId, std::size_t> seen_;
    std::priority_queue<EndingRun> ending_;
    double used_ = 0;
    double usedMilliCpus_ = 0;
};

} // namespace

// Simulates 40 s in steps of 5 ms and counts the jobs of 20 s. Arguments: cell.gang_room_share in percent; load in
// percent of the ordinary one, and during a burst of 4 s.
static void gangsUnderLoad(benchmark::State &state)
{
    for (auto _ : state) {
        Simulation simulation(static_cast<double>(state.range(0)) / 100);
        simulation.rate_ = static_cast<double>(state.range(1)) / 100;
        simulation.advance(Milliseconds(10'000));
        simulation.rate_ = static_cast<double>(state.range(2)) / 100;
        simulation.advance(Milliseconds(4'000));
        simulation.rate_ = static_cast<double>(state.range(1)) / 100;
        simulation.advance(Milliseconds(26'000));
        const TimePoint start = simulation.world_.start_;
        simulation.report(state, start + Milliseconds(5'000), start + Milliseconds(25'000));
        state.counters["runners_examined"] = static_cast<double>(simulation.world_.cell_->runnersExamined_);
    }
}

BENCHMARK(gangsUnderLoad)
    ->ArgNames({"share", "load", "burst"})
    ->ArgsProduct({{0, 10, 20, 40}, {100}, {100, 200}})
    ->ArgsProduct({{0, 10, 20, 40}, {120}, {120}})
    ->Unit(benchmark::kMillisecond)
    ->Iterations(1);

BENCHMARK_MAIN();
