// End-to-end tests on the users' platform: two daemons of a cell, with their real threads and sockets, against the
// platform's stand-in.
#include "daemon/http_helper.h"

#include "daemon/cell_process_base.h"
#include "daemon/log_func.h"
#include "http/json_func.h"
#include "standin/platform_service.h"

#include <criterion/criterion.h>

#include <unistd.h>

using namespace mimosapier;
using namespace mimosapier::testing;
using mimosapier::standin::PlatformService;
using StoreFault = PlatformService::StoreFault;

static Json configuration(std::uint64_t version, bool policy)
{
    Json route{{"Name", "q"},        {"Host", "h.example"}, {"Prefix", "/q/"},           {"Service", "s"},
               {"MaxAttempts", 3},   {"SlackFactor", 2.0},  {"TargetCompletionMs", 500}, {"Priority", 0},
               {"TimeoutMs", 3'000}, {"Public", false}};
    if (policy) {
        route["Advice"] = {{"DecideMs", 1.0}, {"PerWorkerMs", 0.1}, {"ValidMs", 1'500}};
    }
    return {{"Version", version},
            {"Routes", Json::array({route})},
            {"Services", Json::array({{{"Name", "s"}, {"EnforcesCapacity", false}}})},
            {"Tenants", Json::array({{{"Name", "t"}, {"ApiKeys", {"key"}}, {"Weight", 1'000}}})}};
}

struct Cluster
{
    // Loopback address derived from the process id, so that tests with the same fixed ports can run in parallel.
    static std::string address(int daemon, int port)
    {
        constexpr int Byte = 256;
        const int pid = getpid();
        return "127." + std::to_string(1 + pid / Byte % (Byte - 2)) + "." + std::to_string(pid % Byte) + "."
            + std::to_string(daemon + 1) + ":" + std::to_string(port);
    }

    explicit Cluster(std::int64_t runMs = 50, bool policy = false, std::int64_t pageItems = 500)
    {
        Json settings{{"run_ms", runMs}, {"page_items", pageItems}};
        settings["config"] = configuration(1, policy);
        platform_ = std::make_unique<PlatformService>(thread_.context(), settings);
        cr_assert(platform_->listen());
        thread_.start();
        addDaemon();
        addDaemon();
        for (int i = 0; i < 2; ++i) {
            cr_assert(waitFor([&] { return client_.call(address(i, 8184), "GET", "/readyz").status_ == 200; }),
                      "daemon %d is not ready", i);
        }
    }
    ~Cluster()
    {
        daemons_.clear();
        thread_.stop();
    }
    Cluster(const Cluster &) = delete;
    Cluster &operator=(const Cluster &) = delete;

    void addDaemon()
    {
        const int number = static_cast<int>(daemons_.size());
        Settings settings;
        settings.name_ = "edge-" + std::to_string(number);
        settings.region_ = "region";
        settings.zone_ = "z";
        settings.callerAddress_ = address(number, 8183);
        settings.cell_.readyAddress_ = address(number, 8184);
        settings.peerAddress_ = address(number, 7420);
        settings.storeAddress_ = platform_->storeAddress();
        settings.cell_.policyAddress_ = platform_->policyAddress();
        // The first daemon has the larger CPU share, so it is preferred in the election.
        settings.cell_.processorShare_ = number == 0 ? 1 : 0.25;
        daemons_.push_back(std::make_unique<CellProcess>(settings));
        std::string detail;
        cr_assert(!daemons_.back()->start(detail), "%s", detail.c_str());
    }

    // Runs `function` on the stand-in's thread and returns its result.
    template <typename F>
    auto runOnPlatformThread(F function)
    {
        std::promise<decltype(function(*platform_))> promise;
        thread_.post([&] { promise.set_value(function(*platform_)); });
        return promise.get_future().get();
    }

    void setStoreFault(StoreFault fault)
    {
        runOnPlatformThread([fault](PlatformService &platform) {
            platform.setStoreFault(fault);
            return true;
        });
    }

    HttpResult call(int daemon, const std::string &method, const std::string &path, const std::string &body = {},
                    const std::string &key = "key")
    {
        return client_
            .send(address(daemon, 8183), method, path, body,
                  {{"Host", "h.example"}, {"Authorization", "Bearer " + key}, {"X-Deadline-Ms", "3000"}})
            .get();
    }

    HttpResult submit(int daemon, const std::string &id, int count = 2)
    {
        return call(daemon, "POST", "/q/" + id,
                    dumpJson({{"Spec", "work"},
                              {"Steps",
                               Json::array({{{"Count", count}, {"Cpu", 1'000}, {"EstimateMs", 50}},
                                            {{"Count", 1}, {"Cpu", 500}, {"After", {0}}}})}}));
    }

    std::string state(int daemon, const std::string &id)
    {
        Json json;
        std::string text;
        const HttpResult result = call(daemon, "GET", "/q/" + id);
        return parseJson(result.body_, json) && readField(json, "State", text) ? text : std::to_string(result.status_);
    }

    // True if exactly `tasks` tasks of the job were started, each of them once.
    bool eachTaskStartedOnce(std::uint64_t job, std::size_t tasks)
    {
        const auto starts = runOnPlatformThread([](const PlatformService &platform) { return platform.starts(); });
        std::size_t found = 0;
        for (const auto &[task, count] : starts) {
            if (task.job_.value_ == job) {
                ++found;
                if (count != 1) {
                    return false;
                }
            }
        }
        return found == tasks;
    }

    LogScope log_{"error"};
    IoThread thread_;
    TestClient client_;
    std::unique_ptr<PlatformService> platform_;
    std::vector<std::unique_ptr<CellProcess>> daemons_;
};

// Guards against any break in the path from a client to a runner, and against a repeated submission that runs tasks
// again.
Test(platform, jobRunsFromEndToEnd, .timeout = 30)
{
    Cluster cluster;
    cr_assert_eq(cluster.submit(0, "00000000000000a1").status_, 200U);
    cr_assert_eq(cluster.submit(1, "00000000000000a1").status_, 200U, "a repeat at another daemon is the same job");
    cr_assert(waitFor([&] { return cluster.state(1, "00000000000000a1") == "completed"; }));
    cr_assert(cluster.eachTaskStartedOnce(0xa1, 3));
    cr_assert_eq(cluster.submit(1, "00000000000000a1").status_, 200U);
    cr_assert(cluster.eachTaskStartedOnce(0xa1, 3), "a repeat after the end starts nothing");
    cr_assert_eq(cluster.call(1, "GET", "/q/").body_, R"({"Pending":0})");
}

// Guards against answers whose status does not match the error in the request.
Test(platform, requestsThatCannotBeServed, .timeout = 30)
{
    Cluster cluster;
    cr_assert_eq(cluster.call(0, "GET", "/q/00000000000000ff").status_, 410U);
    cr_assert_eq(cluster.call(0, "DELETE", "/q/00000000000000ff").status_, 410U);
    cr_assert_eq(cluster.call(0, "GET", "/q/00000000000000ff", "", "other").status_, 401U);
    cr_assert_eq(cluster.call(0, "GET", "/other/00000000000000ff").status_, 404U);
    cr_assert_eq(cluster.call(0, "POST", "/q/00000000000000ff", "{").status_, 400U);
}

// Guards against a cancelled job that keeps running or that another daemon reports in a different state.
Test(platform, cancelStopsAJob, .timeout = 30)
{
    Cluster cluster(20'000);
    cr_assert_eq(cluster.submit(1, "00000000000000b1").status_, 200U);
    cr_assert(waitFor([&] { return cluster.state(0, "00000000000000b1") == "running"; }));
    cr_assert_eq(cluster.call(1, "DELETE", "/q/00000000000000b1").status_, 200U);
    cr_assert_eq(cluster.state(0, "00000000000000b1"), "cancelled");
}

// Guards against starts without a valid ticket on a queue that requires the policy service.
Test(platform, startsCarryTickets, .timeout = 30)
{
    Cluster cluster(50, true);
    cr_assert_eq(cluster.submit(1, "00000000000000c1").status_, 200U);
    cr_assert(waitFor([&] { return cluster.state(1, "00000000000000c1") == "completed"; }));
    cr_assert(cluster.eachTaskStartedOnce(0xc1, 3));
    cr_assert_eq(
        cluster.runOnPlatformThread([](const PlatformService &platform) { return platform.rejectedTickets(); }), 0U);
}

// Guards against submissions that hang or are accepted during a store outage, and against a cell that does not recover
// after it.
Test(platform, storeOutageRefusesUntilItEnds, .timeout = 40)
{
    Cluster cluster;
    cluster.setStoreFault(StoreFault::Unavailable);
    cr_assert(waitFor([&] {
        const HttpResult refused = cluster.submit(0, "00000000000000d1");
        return refused.status_ == 503 || refused.status_ == 429;
    }));
    cluster.setStoreFault(StoreFault::None);
    cr_assert(waitFor([&] { return cluster.submit(1, "00000000000000d2").status_ == 200; }));
    cr_assert(waitFor([&] { return cluster.state(0, "00000000000000d2") == "completed"; }));
    cr_assert(cluster.eachTaskStartedOnce(0xd2, 3));
}

// Guards against jobs that are stored twice or lost when the store carries out writes but does not answer them.
Test(platform, lostAnswersOfTheStore, .timeout = 40)
{
    Cluster cluster;
    cluster.setStoreFault(StoreFault::DropWriteAnswers);
    const HttpResult unsure = cluster.submit(0, "00000000000000e1");
    cluster.setStoreFault(StoreFault::None);
    cr_assert_neq(unsure.status_, 429U, "it may have been stored");
    cr_assert(waitFor([&] { return cluster.submit(1, "00000000000000e1").status_ == 200; }));
    cr_assert(waitFor([&] { return cluster.state(0, "00000000000000e1") == "completed"; }));
    cr_assert(cluster.eachTaskStartedOnce(0xe1, 3));
}

// Guards against tasks that are lost or run twice when the leader shuts down gracefully while they run.
Test(platform, leaderLeaves, .timeout = 40)
{
    Cluster cluster(1'500);
    cr_assert_eq(cluster.submit(1, "00000000000000f1").status_, 200U);
    cr_assert(waitFor([&] { return cluster.state(1, "00000000000000f1") == "running"; }));
    cluster.daemons_[0]->requestLeave();
    cr_assert(cluster.daemons_[0]->waitForEnd());
    cluster.daemons_[0].reset();
    cr_assert(waitFor([&] { return cluster.state(1, "00000000000000f1") == "completed"; }));
    cr_assert(cluster.eachTaskStartedOnce(0xf1, 3));
}

// Guards against a cell that stops when its leader ends without a handover. The other daemon must take over with the
// state from the store and the runners.
Test(platform, leaderDies, .timeout = 40)
{
    Cluster cluster(3'500);
    cr_assert_eq(cluster.submit(1, "0000000000000101").status_, 200U);
    cr_assert(waitFor([&] { return cluster.state(1, "0000000000000101") == "running"; }));
    cluster.daemons_[0].reset();
    cr_assert(waitFor([&] { return cluster.submit(1, "0000000000000102").status_ == 200; }));
    cr_assert(waitFor([&] { return cluster.eachTaskStartedOnce(0x101, 3); }));
}

// Guards against a new leader that misses jobs or runners because the store returns its lists in pages.
Test(platform, leaderRecoversFromManyPages, .timeout = 40)
{
    Cluster cluster(3'500, false, 1);
    for (const char *job : {"0000000000000201", "0000000000000202", "0000000000000203"}) {
        cr_assert_eq(cluster.submit(1, job).status_, 200U);
        cr_assert(waitFor([&] { return cluster.state(1, job) == "running"; }));
    }
    cluster.daemons_[0].reset();
    for (const std::uint64_t job : {0x201, 0x202, 0x203}) {
        cr_assert(waitFor([&] { return cluster.eachTaskStartedOnce(job, 3); }), "job %llx",
                  static_cast<unsigned long long>(job));
    }
}
