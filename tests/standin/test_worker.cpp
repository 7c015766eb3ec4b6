// Guards the simulated worker: epochs, declared sizes, the task lease, stops and unacknowledged results.
#include "standin/worker_base.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace mimosapier;
using namespace mimosapier::standin;

// Worker with two slots, its journal and a clock that the test advances.
struct WorkerFixture
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

// Guards against executing the calls of a holder that was replaced: its epoch is lower than that of its successor.
Test(worker, staleEpochIsRefused)
{
    WorkerFixture fixture;
    WorkerAnswer answer;
    cr_assert(fixture.worker_.admitEpoch({{"epoch", 3}}, answer));
    cr_assert(!fixture.worker_.admitEpoch({{"epoch", 2}}, answer));
    cr_assert_eq(answer.status_, 409U);
    cr_assert_eq(answer.body_["epoch"], 3);
    cr_assert(!fixture.worker_.admitEpoch(Json::object(), answer));
    cr_assert_eq(answer.status_, 400U);
}

// Guards against overcommitment by slots and by declared size, and against starting one task twice.
Test(worker, capacityAndRepeatedStart)
{
    WorkerFixture fixture;
    cr_assert_eq(fixture.start("a:1", "run_ms=500", 600).status_, 200U);
    cr_assert_eq(fixture.start("a:2", "run_ms=500", 600).status_, 429U);
    cr_assert_eq(fixture.start("a:1", "run_ms=500", 600).body_["tasks"][0]["outcome"], "running");
    cr_assert_eq(fixture.start("a:3", "run_ms=500").status_, 200U);
    cr_assert_eq(fixture.start("a:4", "run_ms=500").body_["tasks"][0]["error"], "worker-full");
    cr_assert_eq(fixture.worker_.running(), 2U);
    fixture.worker_.setLeaving(true);
    cr_assert_eq(fixture.start("a:5", "").status_, 410U);
}

// Guards against results that are discarded before they are acknowledged, and against wrong results.
Test(worker, resultsStayUntilAcknowledged)
{
    WorkerFixture fixture;
    fixture.start("a:1", "run_ms=100");
    fixture.start("a:2", "run_ms=100 fail");
    cr_assert(!fixture.worker_.hasPendingReports());
    fixture.now_ += Milliseconds(150);
    const Json first = fixture.poll();
    cr_assert_eq(first.size(), 2U);
    cr_assert_eq(first[0]["result"], "r/0 on w1");
    cr_assert_eq(first[1]["outcome"], "failed");
    cr_assert_eq(fixture.start("a:1", "run_ms=100").body_["tasks"][0]["outcome"], "done");
    cr_assert_eq(fixture.poll({{{"job", "a:1"}, {"index", 0}}}).size(), 1U);
    cr_assert_eq(fixture.journal_.size(), 5U);
}

// Guards against reporting results that the caller already knows but cannot acknowledge yet, and against holding back
// new results together with them.
Test(worker, knownResultsAreNotReported)
{
    WorkerFixture fixture;
    fixture.start("a:1", "run_ms=100");
    fixture.start("a:2", "run_ms=300");
    fixture.now_ += Milliseconds(150);
    const Json request{{"known", {{{"job", "a:1"}, {"index", 0}}}}};
    const auto known = SimulatedWorker::knownTasks(request);
    cr_assert_eq(fixture.poll().size(), 1U);
    cr_assert(fixture.worker_.hasPendingReports() && !fixture.worker_.hasPendingReports(known));
    cr_assert(fixture.worker_.pollAnswer(fixture.now_, known).body_["tasks"].empty());
    fixture.now_ += Milliseconds(200);
    fixture.worker_.advance(fixture.now_);
    cr_assert(fixture.worker_.hasPendingReports(known));
    const Json tasks = fixture.worker_.pollAnswer(fixture.now_, known).body_["tasks"];
    cr_assert(tasks.size() == 1 && tasks[0]["job"] == "a:2");
    cr_assert_eq(fixture.poll().size(), 2U);
}

// Guards against tasks that run after the lease has expired, and against a late renewal that revives them.
Test(worker, leaseStopsTasks)
{
    WorkerFixture fixture;
    fixture.start("a:1", "run_ms=0 service");
    fixture.now_ += Milliseconds(900);
    fixture.poll();
    fixture.now_ += Milliseconds(900);
    cr_assert_eq(fixture.worker_.running(), 1U);
    fixture.now_ += Milliseconds(200);
    const Json tasks = fixture.poll();
    cr_assert_eq(tasks[0]["error"], "task-lease-lapsed");
    cr_assert_eq(fixture.journal_.back()["event"], "stop");
}

// Guards against a throttled task that stops or keeps its speed, and against a stopped task that keeps running.
Test(worker, stopModes)
{
    WorkerFixture fixture;
    fixture.start("a:1", "run_ms=400");
    fixture.start("a:2", "run_ms=0 service");
    const auto stop = [&](const char *job, const char *mode) {
        return fixture.worker_.stop({{"epoch", 1}, {"mode", mode}, {"tasks", {{{"job", job}, {"index", 0}}}}},
                                    fixture.now_);
    };
    stop("a:1", "throttle");
    fixture.now_ += Milliseconds(500);
    cr_assert_eq(stop("a:2", "stop").body_["tasks"][0]["outcome"], "cancelled");
    cr_assert_eq(fixture.worker_.running(), 1U);
    fixture.now_ += Milliseconds(350);
    cr_assert_eq(fixture.poll().size(), 2U);
    fixture.worker_.setMode(WorkerMode::Refuse);
    cr_assert_eq(fixture.start("a:3", "").body_["tasks"][0]["error"], "task-failed");
}
