// Guards the stand-in worker: epochs, declared sizes, the task lease, stops and unacknowledged results.
#include "standin/worker_base.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace mimosapier;
using namespace mimosapier::standin;

struct Bench
{
    std::vector<Json> journal_;
    SimulatedWorker worker_{{{"id", "w1"}, {"milli_cpus", 1000}, {"memory_mb", 1000}, {"slots", 2}},
                            [this](const Json &line) { journal_.push_back(line); },
                            1};
    TimePoint now_ = SystemClock().now();

    WorkerAnswer start(const std::string &job, const std::string &payload, int milliCpus = 100)
    {
        return worker_.start(
            {{"epoch", 1},
             {"lease_ms", 1000},
             {"tasks",
              {{{"job", job}, {"index", 0}, {"request_id", "r"}, {"milli_cpus", milliCpus}, {"payload", payload}}}}},
            now_);
    }

    Json poll(const Json &acks = Json::array())
    {
        worker_.acknowledge({{"epoch", 1}, {"lease_ms", 1000}, {"ack", acks}}, now_);
        return worker_.pollAnswer(now_).body_["tasks"];
    }
};

// Guards against a replaced holder's calls being carried out.
Test(worker, staleEpochIsRefused)
{
    Bench bench;
    WorkerAnswer answer;
    cr_assert(bench.worker_.admit({{"epoch", 3}}, answer));
    cr_assert(!bench.worker_.admit({{"epoch", 2}}, answer));
    cr_assert_eq(answer.status_, 409U);
    cr_assert_eq(answer.body_["epoch"], 3);
    cr_assert(!bench.worker_.admit(Json::object(), answer));
    cr_assert_eq(answer.status_, 400U);
}

// Guards against overcommitment by slots and by declared size, and against starting one task twice.
Test(worker, capacityAndRepeatedStart)
{
    Bench bench;
    cr_assert_eq(bench.start("a:1", "run_ms=500", 600).status_, 200U);
    cr_assert_eq(bench.start("a:2", "run_ms=500", 600).status_, 429U);
    cr_assert_eq(bench.start("a:1", "run_ms=500", 600).body_["tasks"][0]["outcome"], "running");
    cr_assert_eq(bench.start("a:3", "run_ms=500").status_, 200U);
    cr_assert_eq(bench.start("a:4", "run_ms=500").body_["tasks"][0]["error"], "worker-full");
    cr_assert_eq(bench.worker_.running(), 2U);
    bench.worker_.setLeaving(true);
    cr_assert_eq(bench.start("a:5", "").status_, 410U);
}

// Guards against results that are forgotten before they are acknowledged, and against wrong results.
Test(worker, resultsStayUntilAcknowledged)
{
    Bench bench;
    bench.start("a:1", "run_ms=100");
    bench.start("a:2", "run_ms=100 fail");
    cr_assert(!bench.worker_.hasNews());
    bench.now_ += Milliseconds(150);
    const Json first = bench.poll();
    cr_assert_eq(first.size(), 2U);
    cr_assert_eq(first[0]["result"], "r/0 on w1");
    cr_assert_eq(first[1]["outcome"], "failed");
    cr_assert_eq(bench.start("a:1", "run_ms=100").body_["tasks"][0]["outcome"], "done");
    cr_assert_eq(bench.poll({{{"job", "a:1"}, {"index", 0}}}).size(), 1U);
    cr_assert_eq(bench.journal_.size(), 5U);
}

// Guards against results that are reported over and over while they cannot be acknowledged, and against new results
// that are held back with them.
Test(worker, knownResultsAreNotReported)
{
    Bench bench;
    bench.start("a:1", "run_ms=100");
    bench.start("a:2", "run_ms=300");
    bench.now_ += Milliseconds(150);
    const Json request{{"known", {{{"job", "a:1"}, {"index", 0}}}}};
    const auto known = SimulatedWorker::knownTasks(request);
    cr_assert_eq(bench.poll().size(), 1U);
    cr_assert(bench.worker_.hasNews() && !bench.worker_.hasNews(known));
    cr_assert(bench.worker_.pollAnswer(bench.now_, known).body_["tasks"].empty());
    bench.now_ += Milliseconds(200);
    bench.worker_.advance(bench.now_);
    cr_assert(bench.worker_.hasNews(known));
    const Json tasks = bench.worker_.pollAnswer(bench.now_, known).body_["tasks"];
    cr_assert(tasks.size() == 1 && tasks[0]["job"] == "a:2");
    cr_assert_eq(bench.poll().size(), 2U);
}

// Guards against tasks that outlive the lease, and against a late renewal that brings them back.
Test(worker, leaseStopsTasks)
{
    Bench bench;
    bench.start("a:1", "run_ms=0 service");
    bench.now_ += Milliseconds(900);
    bench.poll();
    bench.now_ += Milliseconds(900);
    cr_assert_eq(bench.worker_.running(), 1U);
    bench.now_ += Milliseconds(200);
    const Json tasks = bench.poll();
    cr_assert_eq(tasks[0]["error"], "task-lease-lapsed");
    cr_assert_eq(bench.journal_.back()["event"], "stop");
}

// Guards against stop modes that do not do what they say.
Test(worker, stopModes)
{
    Bench bench;
    bench.start("a:1", "run_ms=400");
    bench.start("a:2", "run_ms=0 service");
    const auto stop = [&](const char *job, const char *mode) {
        return bench.worker_.stop({{"epoch", 1}, {"mode", mode}, {"tasks", {{{"job", job}, {"index", 0}}}}},
                                  bench.now_);
    };
    stop("a:1", "throttle");
    bench.now_ += Milliseconds(500);
    cr_assert_eq(stop("a:2", "stop").body_["tasks"][0]["outcome"], "cancelled");
    cr_assert_eq(bench.worker_.running(), 1U);
    bench.now_ += Milliseconds(350);
    cr_assert_eq(bench.poll().size(), 2U);
    bench.worker_.setMode(WorkerMode::Refuse);
    cr_assert_eq(bench.start("a:3", "").body_["tasks"][0]["error"], "task-failed");
}
