// Measures the processor time of a group's decisions by number of workers: placing and finishing tasks, cancelling many
// tasks at once, and taking over workers.
#include "core/config/bundle_base.h"
#include "core/group/group_func.h"
#include "support/fake_store.h"

#include <benchmark/benchmark.h>

using namespace mimosapier;
using namespace mimosapier::test;

namespace
{

constexpr int Slots = 8;
constexpr int Teams = 610;
const ShardId Rack("g/hobart/rack-1");

// One group whose calls the benchmark answers itself, without links.
struct Bench
{
    DaemonId self_{"d#1"};
    RegionId region_{"hobart"};
    Bundle bundle_;
    Directory directory_;
    Actions actions_;
    std::mt19937_64 random_{1};
    TimePoint now_{std::chrono::hours(1)};
    FakeStore store_;
    Handle<AllowanceState> allowances_ = makeAllowances();
    Handle<Group> group_;
    std::vector<WorkerInfo> workers_;
    std::vector<WorkerRequest> requests_; // calls to workers that are not answered yet
    std::uint64_t lastJob_ = 0;

    explicit Bench(std::int64_t workers)
    {
        bundle_.version_ = BundleVersion{1};
        WorkClass workClass;
        workClass.id_ = ClassId("fast");
        bundle_.classes_[workClass.id_] = workClass;
        for (int i = 0; i < Teams; ++i) {
            Team team;
            team.id_ = TeamId("team-" + std::to_string(i));
            team.limit_ = 1'000'000;
            bundle_.teams_[team.id_] = team;
        }
        directory_.groups_.push_back({Rack, region_, self_, Epoch{1}, true, {}});
        for (std::int64_t i = 0; i < workers; ++i) {
            workers_.push_back({WorkerId("worker-" + std::to_string(i)),
                                region_,
                                ZoneId("a"),
                                Rack,
                                "10.0.0.1:1",
                                {64'000, 256'000, 0, Slots},
                                false});
        }
        takeOver();
        adjustAllowances();
    }

    Context context() { return {now_, self_, region_, bundle_, directory_, actions_, random_}; }

    void takeOver()
    {
        group_ = makeGroup(Rack, Epoch{1}, *allowances_);
        Context c = context();
        openGroupAllowances(*allowances_, Rack, c);
        setGroupWorkers(*group_, workers_, c);
        processActions();
        answerHolds();
    }

    // Answers store operations and adds calls to workers to requests_.
    void processActions()
    {
        std::vector<Action> actions = std::move(actions_.pending_);
        actions_.pending_.clear();
        for (Action &action : actions) {
            if (auto *request = std::get_if<WorkerRequest>(&action)) {
                requests_.push_back(std::move(*request));
            } else if (const auto *store = std::get_if<StoreRequest>(&action)) {
                Context c = context();
                onLimitStoreResult(*allowances_, store_.answer(*store, now_), c);
            }
        }
    }

    void answerHolds()
    {
        const std::vector<WorkerRequest> requests = std::move(requests_);
        requests_.clear();
        for (const WorkerRequest &request : requests) {
            if (std::holds_alternative<WorkerHold>(request.op_)) {
                Context c = context();
                onWorkerResult(*group_, {request.id_, Rack, request.worker_, WorkerStatus::Ok, {}, false, {}}, c);
            } else {
                requests_.push_back(request);
            }
        }
    }

    // Advances the time by 2 s so that the allowances follow the demand.
    void adjustAllowances()
    {
        for (int i = 0; i < 40; ++i) {
            now_ += Milliseconds(50);
            Context c = context();
            tickAllowances(*allowances_, c);
            tickGroup(*group_, c);
            processActions();
        }
    }

    TaskOffer offer(std::uint32_t count, const std::string &payload = {})
    {
        TaskOffer offer;
        const std::uint64_t number = ++lastJob_;
        offer.replyTo_ = {ReplyComponent::Entry, {}, CallId{number}};
        offer.group_ = Rack;
        offer.job_.team_ = TeamId("team-" + std::to_string(number % Teams));
        offer.job_.requestId_ = "request-" + std::to_string(number);
        offer.job_.id_ = JobId(offer.job_.team_.value_ + ":" + offer.job_.requestId_);
        offer.job_.class_ = ClassId("fast");
        offer.job_.size_ = {1000 + static_cast<std::int64_t>(number % 7) * 100, 1000, 0, 1};
        offer.job_.payload_ = payload;
        offer.count_ = count;
        offer.remaining_ = std::chrono::hours(100);
        return offer;
    }

    void send(const TaskOffer &message)
    {
        Context c = context();
        onTaskOffer(*group_, self_, message, c);
    }

    // Runs tasks on 85,000 / 144,000 (59%) of the slots.
    void fill()
    {
        const auto tasks = static_cast<int>(static_cast<double>(workers_.size()) * Slots * 85'000 / 144'000);
        constexpr int Batch = 10'000; // less than the maximum queue length of a group
        for (int sent = 0; sent < tasks;) {
            for (int i = 0; i < Batch && sent < tasks; ++i, ++sent) {
                send(offer(1));
            }
            for (int i = 0; i < 5; ++i) {
                adjustAllowances();
                answerStarts();
            }
        }
    }

    std::vector<WorkerTask> answerStarts()
    {
        std::vector<WorkerTask> started;
        std::vector<WorkerRequest> rest;
        std::vector<WorkerRequest> requests = std::move(requests_);
        requests_.clear();
        for (WorkerRequest &request : requests) {
            auto *start = std::get_if<WorkerStart>(&request.op_);
            if (start == nullptr) {
                rest.push_back(std::move(request));
                continue;
            }
            WorkerResult result{request.id_, Rack, request.worker_, WorkerStatus::Ok, {}, false, {}};
            for (WorkerTask &task : start->tasks_) {
                result.tasks_.push_back(report(task, Outcome::Running));
                started.push_back(std::move(task));
            }
            Context c = context();
            onWorkerResult(*group_, result, c);
        }
        processActions();
        requests_.insert(requests_.end(), std::make_move_iterator(rest.begin()), std::make_move_iterator(rest.end()));
        return started;
    }

    static WorkerTaskReport report(const WorkerTask &task, Outcome outcome)
    {
        return {task.task_, task.team_, task.class_, task.size_, task.size_, outcome, ErrorKind::None, true, {}};
    }
};

} // namespace

// One offer, its start call, the answer to it and the end of the task in a poll, with 59% of the slots in use.
static void placementAndFinish(benchmark::State &state)
{
    Bench bench(state.range(0));
    bench.fill();
    const std::int64_t running = static_cast<std::int64_t>(bench.workers_.size()) * Slots
        - static_cast<std::int64_t>(groupLoad(*bench.group_).freeSlots_);
    std::unordered_map<WorkerId, WorkerRequest> polls;
    for (WorkerRequest &request : bench.requests_) {
        if (std::holds_alternative<WorkerPoll>(request.op_)) {
            polls[request.worker_] = std::move(request);
        }
    }
    bench.requests_.clear();
    std::int64_t placed = 0;
    std::int64_t offers = 0;
    for (auto _ : state) {
        state.PauseTiming();
        const TaskOffer offer = bench.offer(1);
        state.ResumeTiming();
        bench.send(offer);
        for (std::size_t i = 0; i < bench.actions_.pending_.size(); ++i) {
            auto *request = std::get_if<WorkerRequest>(&bench.actions_.pending_[i]);
            if (request == nullptr || !std::holds_alternative<WorkerStart>(request->op_)) {
                continue;
            }
            const WorkerRequest start = std::move(*request);
            WorkerResult running{start.id_, Rack, start.worker_, WorkerStatus::Ok, {}, false, {}};
            WorkerRequest &poll = polls.at(start.worker_);
            WorkerResult done{poll.id_, Rack, start.worker_, WorkerStatus::Ok, {}, false, {}};
            for (const WorkerTask &task : std::get<WorkerStart>(start.op_).tasks_) {
                running.tasks_.push_back(Bench::report(task, Outcome::Running));
                done.tasks_.push_back(Bench::report(task, Outcome::Done));
            }
            placed += static_cast<std::int64_t>(done.tasks_.size());
            Context c = bench.context();
            onWorkerResult(*bench.group_, running, c);
            bench.now_ += Milliseconds(6);
            Context later = bench.context();
            const std::size_t before = bench.actions_.pending_.size();
            onWorkerResult(*bench.group_, done, later);
            for (std::size_t next = before; next < bench.actions_.pending_.size(); ++next) {
                auto *sent = std::get_if<WorkerRequest>(&bench.actions_.pending_[next]);
                if (sent != nullptr && std::holds_alternative<WorkerPoll>(sent->op_)) {
                    polls[sent->worker_] = *sent;
                }
            }
        }
        for (std::size_t i = 0; i < bench.actions_.pending_.size(); ++i) {
            auto *request = std::get_if<WorkerRequest>(&bench.actions_.pending_[i]);
            const auto *store = std::get_if<StoreRequest>(&bench.actions_.pending_[i]);
            if (request != nullptr && std::holds_alternative<WorkerPoll>(request->op_)) {
                polls[request->worker_] = std::move(*request);
            } else if (store != nullptr) {
                const StoreResult result = bench.store_.answer(*store, bench.now_);
                Context c = bench.context();
                onLimitStoreResult(*bench.allowances_, result, c);
            }
        }
        bench.actions_.pending_.clear();
        constexpr int OffersPerTick = 200; // teams at their allowance are checked again by ticks
        if (++offers % OffersPerTick == 0) {
            Context c = bench.context();
            tickAllowances(*bench.allowances_, c);
            tickGroup(*bench.group_, c);
        }
    }
    state.counters["running"] = static_cast<double>(running);
    state.counters["placed/s"] = benchmark::Counter(static_cast<double>(placed), benchmark::Counter::kIsRate);
}

// One cancellation of all running tasks.
static void cancelWave(benchmark::State &state)
{
    std::int64_t cancelled = 0;
    for (auto _ : state) {
        state.PauseTiming();
        Bench bench(state.range(0));
        const auto tasks = static_cast<std::uint32_t>(bench.workers_.size() * Slots / 2);
        TaskCancel cancel{Rack, {}};
        for (std::uint32_t i = 0; i < tasks; ++i) {
            const TaskOffer offer = bench.offer(1);
            cancel.tasks_.push_back({offer.job_.id_, 0});
            bench.send(offer);
        }
        for (int i = 0; i < 10; ++i) {
            bench.adjustAllowances();
            bench.answerStarts();
        }
        Context c = bench.context();
        state.ResumeTiming();
        onTaskCancel(*bench.group_, cancel, c);
        cancelled += tasks;
        state.PauseTiming();
        bench.actions_.pending_.clear();
        state.ResumeTiming();
    }
    state.counters["cancelled/s"] = benchmark::Counter(static_cast<double>(cancelled), benchmark::Counter::kIsRate);
}

// Holds for all workers and their answers, with running tasks on 59% of the slots.
static void takeOver(benchmark::State &state)
{
    Bench bench(state.range(0));
    std::vector<std::vector<WorkerTaskReport>> reports(bench.workers_.size());
    const auto tasks = static_cast<std::size_t>(static_cast<double>(bench.workers_.size()) * Slots * 85'000 / 144'000);
    for (std::size_t i = 0; i < tasks; ++i) {
        const JobSpec job = bench.offer(1).job_;
        WorkerTask task{{job.id_, 0}, job.team_, job.class_, job.requestId_, job.size_, true, {}};
        reports[i % reports.size()].push_back(Bench::report(task, Outcome::Running));
    }
    for (auto _ : state) {
        Handle<Group> group = makeGroup(Rack, Epoch{2}, *bench.allowances_);
        Context c = bench.context();
        setGroupWorkers(*group, bench.workers_, c);
        const std::vector<Action> holds = std::move(bench.actions_.pending_);
        bench.actions_.pending_.clear();
        std::size_t next = 0;
        for (const Action &action : holds) {
            if (const auto *request = std::get_if<WorkerRequest>(&action)) {
                onWorkerResult(*group,
                               {request->id_, Rack, request->worker_, WorkerStatus::Ok, {}, false, reports[next++]}, c);
            }
        }
        bench.actions_.pending_.clear();
        state.PauseTiming();
        group.reset();
        state.ResumeTiming();
    }
    state.counters["adopted"] = static_cast<double>(tasks);
}

BENCHMARK(placementAndFinish)->Arg(48)->Arg(480)->Arg(4800)->Arg(18000);
BENCHMARK(cancelWave)->Arg(48)->Arg(480)->Arg(4800)->Arg(18000)->Iterations(3)->Unit(benchmark::kMillisecond);
BENCHMARK(takeOver)->Arg(48)->Arg(480)->Arg(4800)->Arg(18000)->Unit(benchmark::kMillisecond);

BENCHMARK_MAIN();
