// Tests of Process with the fake node, over real sockets: health checks, answers, overload and graceful shutdown; and
// of DecisionThread when a ring is full.
#include "daemon/http_helper.h"

#include "daemon/decision_thread_base.h"
#include "daemon/log_func.h"
#include "daemon/process_base.h"
#include "http/json_func.h"

#include <criterion/criterion.h>

using namespace mimosapier;
using namespace mimosapier::testing;

static Settings testSettings()
{
    Settings settings;
    settings.name_ = "entry-1";
    settings.region_ = "hobart";
    settings.zone_ = "hobart-a";
    settings.callerAddress_ = "127.0.0.1:0";
    settings.peerAddress_ = "127.0.0.1:0";
    settings.storeAddress_ = "127.0.0.1:1";
    settings.instanceListAddress_ = "127.0.0.1:1";
    settings.limits_.drainMs_ = 300;
    return settings;
}

static std::string job(const std::string &id, const std::string &payload)
{
    return R"({"request_id":")" + id + R"(","team":"t","class":"c","payload":")" + payload + "\"}";
}

static std::string field(const HttpResult &result, const char *name)
{
    Json json;
    std::string text;
    cr_assert(parseJson(result.body_, json) && readField(json, name, text));
    return text;
}

struct Daemon
{
    explicit Daemon(const Settings &settings)
        : process_(settings)
    {
        std::string detail;
        cr_assert(!process_.start(detail), "%s", detail.c_str());
        address_ = process_.callerAddress();
        cr_assert(waitFor([&] { return client_.call(address_, "GET", "/readyz").status_ == 200; }));
    }

    LogScope log_{"error"};
    TestClient client_;
    Process process_;
    std::string address_;
};

// Sends a request that the node leaves open. Waits 100 ms to make sure that it was not refused.
static std::future<HttpResult> keepOpen(Daemon &daemon, const std::string &payload)
{
    std::future<HttpResult> answer = daemon.client_.send(daemon.address_, "POST", "/v1/jobs", job("k", payload));
    cr_assert(answer.wait_for(Milliseconds(100)) == std::future_status::timeout);
    return answer;
}

// Guards against requests that get no answer or that of another request, and against lost store results.
Test(process, requestsAreAnswered, .timeout = 20)
{
    Daemon daemon(testSettings());
    cr_assert_eq(daemon.client_.call(daemon.address_, "GET", "/healthz").status_, 200U);
    std::vector<std::future<HttpResult>> answers;
    for (int i = 0; i < 200; ++i) {
        answers.push_back(daemon.client_.send(daemon.address_, "POST", "/v1/jobs", job("r" + std::to_string(i), "")));
    }
    for (int i = 0; i < 200; ++i) {
        cr_assert_eq(field(answers[static_cast<std::size_t>(i)].get(), "detail"), "r" + std::to_string(i));
    }
    const HttpResult stored = daemon.client_.call(daemon.address_, "POST", "/v1/jobs", job("s", "store"));
    cr_assert_eq(field(stored, "detail"), std::to_string(static_cast<int>(StoreStatus::Unavailable)));
    cr_assert_eq(daemon.client_.call(daemon.address_, "POST", "/v1/jobs", "x").status_, 400U);
    cr_assert_eq(daemon.client_.call(daemon.address_, "GET", "/x").status_, 404U);
}

// Guards against a full ring that queues requests without bound or drops one without an answer. A slow step keeps the
// decision thread busy while more requests arrive than the ring holds.
Test(process, fullRingRefusesTheNewest, .timeout = 20)
{
    Settings settings = testSettings();
    settings.limits_.callerRing_ = 4;
    Daemon daemon(settings);
    const auto slow = daemon.client_.send(daemon.address_, "POST", "/v1/jobs", job("slow", "slow"));
    std::this_thread::sleep_for(Milliseconds(100));
    std::vector<std::future<HttpResult>> answers;
    for (int i = 0; i < 20; ++i) {
        answers.push_back(daemon.client_.send(daemon.address_, "POST", "/v1/jobs", job("r", "")));
    }
    int done = 0;
    int refused = 0;
    for (auto &answer : answers) {
        const HttpResult result = answer.get();
        done += result.status_ == 200 ? 1 : 0;
        refused += result.status_ == 429 && field(result, "outcome") == "not-run" ? 1 : 0;
    }
    cr_assert(done == 4 && refused == 16, "done %d, refused %d", done, refused);
}

// Guards against an unlimited number of open requests.
Test(process, openRequestsAreBounded, .timeout = 20)
{
    Settings settings = testSettings();
    settings.limits_.maxOpenRequests_ = 1;
    Daemon daemon(settings);
    auto held = daemon.client_.send(daemon.address_, "POST", "/v1/jobs", job("h", "hold"));
    cr_assert(
        waitFor([&] { return daemon.client_.call(daemon.address_, "POST", "/v1/jobs", job("r", "")).status_ == 429; }));
    daemon.process_.requestLeave();
    cr_assert_eq(field(held.get(), "detail"), "held");
}

// Guards against a shutdown that drops an open request or does not finish.
Test(process, gracefulEndAnswersOpenRequests, .timeout = 20)
{
    Daemon daemon(testSettings());
    auto held = keepOpen(daemon, "hold");
    daemon.process_.requestLeave();
    cr_assert_eq(daemon.client_.call(daemon.address_, "GET", "/readyz").status_, 503U);
    cr_assert_eq(field(held.get(), "detail"), "held");
    cr_assert(daemon.process_.waitForEnd());
}

// Guards against a shutdown that waits forever for a node that does not answer.
Test(process, shutdownLimitAnswersWithUnknown, .timeout = 20)
{
    Settings settings = testSettings();
    settings.limits_.shutdownMs_ = 1200;
    Daemon daemon(settings);
    auto never = keepOpen(daemon, "never");
    daemon.process_.requestLeave();
    cr_assert_eq(field(never.get(), "outcome"), "unknown");
    cr_assert(!daemon.process_.waitForEnd());
}

// Guards against store operations that get no result. With a full ring the operation is not sent, so the decision
// thread must return Unavailable to the node itself.
Test(decisions, refusedOperationsGetAResult, .timeout = 20)
{
    const SystemClock clock;
    DecisionRingCapacities capacities;
    capacities.store_ = 1;
    std::atomic<int> answers{0};
    // Nobody reads the store's ring.
    DecisionThread decisions({}, capacities, {[&answers] { ++answers; }, [] {}, [] {}, [] {}}, clock, nullptr, [] {});
    decisions.start();
    for (std::uint64_t i = 1; i <= 3; ++i) {
        SubmitRequest submit;
        submit.payload_ = "store";
        CallerRequest request{CallId{i}, submit};
        cr_assert(decisions.offerCallerRequest(request));
    }
    cr_assert(waitFor([&] { return decisions.answerRing().depth() == 2; }));
    decisions.stop();
}
