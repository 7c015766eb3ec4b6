// Guards the simulated store: compare-and-swap, leases, watches and faults as described in docs/protocols.md.
#include "http_fixture.h"
#include "standin/store_service.h"

#include <criterion/criterion.h>

using namespace mimosapier;
using namespace mimosapier::standin;

// Guards against a compare-and-swap that succeeds for two writers, and against writes with an expired lease.
Test(store, casAndLeases)
{
    StoreData data;
    const TimePoint start = SystemClock().now();
    cr_assert(data.cas("a/1", "x", 0, 0) == StoreWriteStatus::Ok);
    cr_assert(data.cas("a/1", "y", 0, 0) == StoreWriteStatus::Conflict);
    cr_assert(data.cas("a/1", "y", data.get("a/1")->revision_, 0) == StoreWriteStatus::Ok);
    cr_assert(data.remove("a/1", 1) == StoreWriteStatus::Conflict);
    const auto lease = data.grantLease(Milliseconds(100), start);
    cr_assert(data.cas("b/1", "m", 0, lease) == StoreWriteStatus::Ok);
    cr_assert(data.renewLease(lease, start + Milliseconds(90)));
    data.expire(start + Milliseconds(150));
    cr_assert(data.get("b/1") != nullptr);
    const auto before = data.revision();
    data.expire(start + Milliseconds(190));
    cr_assert(data.get("b/1") == nullptr);
    cr_assert(data.changedAfter("b/", before) && !data.changedAfter("a/", before));
    cr_assert(!data.renewLease(lease, start + Milliseconds(190)));
    cr_assert(data.cas("b/1", "m", 0, lease) == StoreWriteStatus::UnknownLease);
    cr_assert_eq(data.list("a/").size(), 1U);
}

// Guards against watches that miss a change or never end, and against faults that differ from their description.
Test(store, serviceWithFaults)
{
    HttpFixture http;
    StoreService store(http.context_, {{"address", "127.0.0.1:0"}, {"latency_ms", 1}});
    cr_assert(store.listen());
    const std::string address = store.address();
    const Json written = http.json(address, "/v1/cas", R"({"key":"k/1","value":"v","expected":0})");
    cr_assert(written["ok"] == true);
    cr_assert_eq(http.json(address, "/v1/get", R"({"key":"k/1"})")["entry"]["value"], "v");
    cr_assert_eq(http.json(address, "/v1/get", R"({"key":"none"})")["found"], false);

    bool watchAnswered = false;
    http.client_.send(address, {"POST", "/v1/watch", {}, R"({"prefix":"k/","after":1,"wait_ms":5000})"},
                      Milliseconds(4000),
                      [&](const HttpResult &result) { watchAnswered = result.body_.find("k/2") != std::string::npos; });
    http.json(address, "/v1/cas", R"({"key":"other","value":"v","expected":0})");
    cr_assert(!watchAnswered);
    http.json(address, "/v1/cas", R"({"key":"k/2","value":"v","expected":0})");
    http.json(address, "/v1/get", R"({"key":"k/2"})");
    cr_assert(watchAnswered);

    http.call(address, "/v1/fault", R"({"mode":"lose-answers"})");
    const HttpResult lost = http.call(address, "/v1/cas", R"({"key":"k/3","value":"v","expected":0})");
    cr_assert(lost.delivery_ == HttpDelivery::MaybeSent);
    cr_assert_eq(http.json(address, "/v1/get", R"({"key":"k/3"})")["found"], true);
    http.call(address, "/v1/fault", R"({"mode":"down","ratio":1})");
    cr_assert_eq(http.call(address, "/v1/get", R"({"key":"k/3"})").status_, 503U);
    http.call(address, "/v1/fault", R"({"mode":"down"})");
    cr_assert(http.call(address, "/v1/get", R"({"key":"k/3"})", 100).error_ == std::errc::timed_out);
    http.call(address, "/v1/fault", R"({"mode":"slow","ms":150})");
    cr_assert(http.call(address, "/v1/get", R"({"key":"k/3"})", 100).error_ == std::errc::timed_out);
    http.call(address, "/v1/fault", R"({"mode":"ok"})");
    const Json stats = http.json(address, "/v1/stats");
    cr_assert_eq(stats["calls"]["cas"], 4);
    cr_assert_eq(stats["calls"]["watch"], 1);
}
