// Guards the simulated links (delay, byte counters, cuts, silenced connections) and the simulated list of instances.
#include "http_fixture.h"
#include "standin/instances_service.h"
#include "standin/link_service.h"

#include <criterion/criterion.h>

using namespace mimosapier;
using namespace mimosapier::standin;

// Address with a port that was free when the function returned; another process may take it before the test does.
static std::string freeAddress(boost::asio::io_context &context)
{
    boost::asio::ip::tcp::acceptor acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

// Guards against faults that differ from their description, for example "silence" that also affects new connections.
Test(link, delayCutAndSilence)
{
    HttpFixture http;
    InstanceService target(http.context_, {{"lag_ms", 0}, {"instances", {{{"id", "w1"}}, {{"id", "w2"}}}}});
    cr_assert(target.listen());
    const std::string address = freeAddress(http.context_);
    LinkService link(
        http.context_,
        {{"links", {{{"name", "a>b"}, {"listen", address}, {"target", target.address()}, {"delay_ms", 30}}}}});
    cr_assert(link.listen());

    const TimePoint start = SystemClock().now();
    cr_assert_eq(http.json(address, "/v1/instances")["instances"].size(), 2U);
    cr_assert(SystemClock().now() - start >= Milliseconds(60));
    const auto control = [&](const char *action) {
        return http.call(link.controlAddress(), "/v1/control",
                         std::string(R"({"names":["a>*"],"action":")") + action + "\"}");
    };
    control("silence");
    cr_assert(http.call(address, "/v1/instances", "", 200).error_ == std::errc::timed_out);
    cr_assert_eq(http.call(address, "/v1/instances").status_, 200U);
    control("cut");
    cr_assert(http.call(address, "/v1/instances").delivery_ == HttpDelivery::NotSent);
    control("restore");
    cr_assert_eq(http.call(address, "/v1/instances").status_, 200U);
    cr_assert(http.json(link.controlAddress(), "/v1/stats")["links"]["a>b"]["back"] > 100);
    cr_assert_eq(control("other").status_, 400U);
}

// Guards against changes of the list that are visible before the lag has passed, or never.
Test(link, instanceListLags)
{
    HttpFixture http;
    InstanceService list(http.context_, {{"lag_ms", 100}, {"instances", {{{"id", "w1"}}, {{"id", "w2"}}}}});
    cr_assert(list.listen());
    http.call(list.address(), "/v1/control", R"({"id":"w1","state":"gone"})");
    http.call(list.address(), "/v1/control", R"({"id":"w2","state":"leaving"})");
    cr_assert_eq(http.json(list.address(), "/v1/instances")["instances"].size(), 2U);
    http.context_.run_for(Milliseconds(120));
    const Json after = http.json(list.address(), "/v1/instances")["instances"];
    cr_assert_eq(after.size(), 1U);
    cr_assert_eq(after[0]["state"], "leaving");
}

// Guards against an unchanged list that is sent in full, and against a changed list that keeps its entity tag, which
// would hide the change from clients.
Test(link, instanceListSendsChangesOnly)
{
    HttpFixture http;
    InstanceService list(http.context_, {{"lag_ms", 0}, {"instances", {{{"id", "w1"}}, {{"id", "w2"}}}}});
    cr_assert(list.listen());
    const HttpResult first = http.call(list.address(), "/v1/instances");
    cr_assert(!first.entityTag_.empty() && !first.body_.empty());
    const HttpResult same = http.get(list.address(), "/v1/instances", {{"If-None-Match", first.entityTag_}});
    cr_assert_eq(same.status_, 304U);
    cr_assert(same.body_.empty() && same.entityTag_ == first.entityTag_);
    http.call(list.address(), "/v1/control", R"({"id":"w1","state":"gone"})");
    const HttpResult changed = http.get(list.address(), "/v1/instances", {{"If-None-Match", first.entityTag_}});
    cr_assert_eq(changed.status_, 200U);
    cr_assert(!changed.body_.empty() && changed.entityTag_ != first.entityTag_);
}
