// Tests of the HTTP server and client over loopback: order of responses, limits, timeouts, graceful stop, and the
// difference between NotSent and MaybeSent.
#include "http/client_base.h"
#include "http/json_func.h"
#include "http/read_budget_base.h"
#include "http/server_base.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <criterion/criterion.h>

#include <future>
#include <mutex>
#include <optional>
#include <thread>

using namespace mimosapier;
using boost::asio::ip::tcp;

// Server and client on one io_context, run by two threads until the end of the test.
struct ServerFixture
{
    explicit ServerFixture(HttpHandler handler, HttpServerOptions options = {})
        : work_(boost::asio::make_work_guard(context_))
        , client_(context_, clientOptions())
        , server_(std::make_unique<HttpServer>(context_, options, std::move(handler)))
    {
        cr_assert(!server_->listen("127.0.0.1:0"));
        for (auto &thread : threads_) {
            thread = std::thread([this] { context_.run(); });
        }
    }
    ServerFixture(const ServerFixture &) = delete;
    ServerFixture &operator=(const ServerFixture &) = delete;
    ~ServerFixture()
    {
        client_.close();
        server_.reset();
        work_.reset();
        context_.stop();
        for (auto &thread : threads_) {
            thread.join();
        }
    }

    static HttpClientOptions clientOptions()
    {
        HttpClientOptions options;
        options.connectTimeout_ = Milliseconds(300);
        options.maxConnections_ = 2;
        return options;
    }

    std::future<HttpResult> send(const std::string &address, HttpRequest request, int timeoutMs)
    {
        auto promise = std::make_shared<std::promise<HttpResult>>();
        client_.send(address, std::move(request), Milliseconds(timeoutMs),
                     [promise](HttpResult result) { promise->set_value(std::move(result)); });
        return promise->get_future();
    }

    // Sends bytes on a new connection and returns what the server sends until it closes.
    std::string sendRaw(const std::string &bytes)
    {
        boost::asio::io_context context;
        tcp::socket socket(context);
        HttpAddress address;
        parseAddress(server_->address(), address);
        socket.connect({boost::asio::ip::make_address(address.ip_), address.port_});
        boost::asio::write(socket, boost::asio::buffer(bytes));
        std::string response;
        boost::system::error_code error;
        boost::asio::read(socket, boost::asio::dynamic_buffer(response), error);
        return response;
    }

    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    HttpClient client_;
    std::unique_ptr<HttpServer> server_;
    std::array<std::thread, 2> threads_;
};

static void echo(const HttpRequest &request, const HttpResponder &respond)
{
    respond({200, request.method_ + " " + request.target_ + " " + request.body_, "text/plain"});
}

// Guards against swapped responses to pipelined requests: the handler responds to the second request first.
Test(http, pipelinedAnswersKeepOrder)
{
    std::mutex mutex;
    std::optional<HttpResponder> first;
    ServerFixture fixture([&](const HttpRequest &request, const HttpResponder &respond) {
        const std::scoped_lock lock(mutex);
        if (request.target_ == "/first") {
            first = respond;
            return;
        }
        respond({200, "second", "text/plain"});
        std::thread([early = *first] { early({200, "first", "text/plain"}); }).detach();
        first.reset();
    });
    const std::string response = fixture.sendRaw("GET /first HTTP/1.1\r\nHost: a\r\n\r\n"
                                                 "GET /second HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    const auto firstPosition = response.find("first");
    const auto secondPosition = response.find("second");
    cr_assert(firstPosition != std::string::npos && secondPosition != std::string::npos
              && firstPosition < secondPosition);
}

// Guards against unlimited bodies and headers, and against a lost error response: a server that closes with unread
// input resets the connection.
Test(http, oversizedRequestsAreRefused)
{
    HttpServerOptions options;
    options.maxBodyBytes_ = 1000;
    options.maxHeaderBytes_ = 1000;
    ServerFixture fixture(echo, options);
    auto result = fixture.send(fixture.server_->address(), {"POST", "/", {}, std::string(200'000, 'x')}, 2000).get();
    cr_assert(result.delivery_ == HttpDelivery::Answered);
    cr_assert_eq(result.status_, 413U);
    result = fixture.send(fixture.server_->address(), {"POST", "/", {{"x", std::string(2000, 'x')}}, ""}, 2000).get();
    cr_assert_eq(result.status_, 431U);
    cr_assert(fixture.sendRaw("nonsense\r\n\r\n").find("400") != std::string::npos);
}

// Guards against clients that occupy a connection with an incomplete request.
Test(http, slowClientIsClosed)
{
    HttpServerOptions options;
    options.requestTimeout_ = Milliseconds(100);
    ServerFixture fixture(echo, options);
    const TimePoint start = SystemClock().now();
    const std::string response = fixture.sendRaw("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab");
    cr_assert(response.starts_with("HTTP/1.1 408 ") && response.find("not-run") != std::string::npos);
    cr_assert(response.find("Connection: close") != std::string::npos);
    cr_assert(SystemClock().now() - start < Milliseconds(1500));
}

// Guards against requests that fill the memory although each is within its limits, against a refusal without an answer,
// and against bytes of a refused request that stay in the budget.
Test(http, largestRequestIsRefusedWhenTheBudgetIsExceeded, .timeout = 20)
{
    HttpServerOptions options;
    options.budget_ = std::make_shared<ReadBudget>(std::size_t{50'000});
    options.refusals_ = std::make_shared<HttpRefusalCounters>();
    ServerFixture fixture(echo, options);
    const std::string response
        = fixture.sendRaw("POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n" + std::string(60'000, 'x'));
    cr_assert(response.starts_with("HTTP/1.1 503 ") && response.find("not-run") != std::string::npos);
    cr_assert(response.find("Retry-After: 1") != std::string::npos);
    cr_assert_eq(options.refusals_->count(HttpRefusal::Budget), 1U);
    cr_assert_eq(options.budget_->heldBytes(), 0U);
    const auto after
        = fixture.send(fixture.server_->address(), {"POST", "/", {}, std::string(10'000, 'x')}, 2000).get();
    cr_assert_eq(after.status_, 200U);
}

// Guards against silent connections that shut out callers at the limit of connections, and against closing a connection
// with an open request to make room.
Test(http, longestWaitingConnectionMakesRoom, .timeout = 20)
{
    HttpServerOptions options;
    options.maxConnections_ = 2;
    options.refusals_ = std::make_shared<HttpRefusalCounters>();
    std::promise<HttpResponder> received;
    ServerFixture fixture(
        [&](const HttpRequest &request, const HttpResponder &respond) {
            if (request.target_ == "/hold") {
                received.set_value(respond);
            } else {
                echo(request, respond);
            }
        },
        options);
    auto held = fixture.send(fixture.server_->address(), {"GET", "/hold", {}, ""}, 5000);
    const HttpResponder respond = received.get_future().get();
    const std::string close = "GET /x HTTP/1.1\r\nConnection: close\r\n\r\n";
    boost::asio::io_context context;
    std::vector<tcp::socket> silent;
    HttpAddress address;
    parseAddress(fixture.server_->address(), address);
    for (int i = 0; i < 5; ++i) {
        silent.emplace_back(context).connect({boost::asio::ip::make_address(address.ip_), address.port_});
    }
    cr_assert(fixture.sendRaw(close).starts_with("HTTP/1.1 200 "));
    respond({200, "held", "text/plain"});
    cr_assert_eq(held.get().body_, "held");
    // The last one may still be closing.
    const TimePoint end = SystemClock().now() + Milliseconds(5'000);
    while (options.refusals_->count(HttpRefusal::Connections) < 5 && SystemClock().now() < end) {
        std::this_thread::sleep_for(Milliseconds(5));
    }
    cr_assert_eq(options.refusals_->count(HttpRefusal::Connections), 5U);
}

// Guards against a minimum rate that refuses a body which arrives steadily for longer than the time of a request, and
// against one that does not refuse a slow body.
Test(http, steadyBodyMayTakeLonger, .timeout = 20)
{
    HttpServerOptions options;
    options.requestTimeout_ = Milliseconds(1'000);
    options.minBytesPerSecond_ = 1'000;
    ServerFixture fixture(echo, options);
    constexpr int Pieces = 12;
    // Sends a body of 12 pieces, the first one together with the header, and stops after `sentPieces`.
    const auto responseTo = [&](std::size_t pieceBytes, int sentPieces) {
        boost::asio::io_context context;
        tcp::socket socket(context);
        HttpAddress address;
        parseAddress(fixture.server_->address(), address);
        socket.connect({boost::asio::ip::make_address(address.ip_), address.port_});
        const std::string piece(pieceBytes, 'x');
        const std::string head = "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: "
            + std::to_string(Pieces * pieceBytes) + "\r\n\r\n";
        boost::system::error_code error;
        boost::asio::write(socket, boost::asio::buffer(head + piece), error);
        for (int i = 1; i < sentPieces; ++i) {
            std::this_thread::sleep_for(Milliseconds(100));
            boost::asio::write(socket, boost::asio::buffer(piece), error);
        }
        std::string response;
        boost::asio::read(socket, boost::asio::dynamic_buffer(response), error);
        return response;
    };
    cr_assert(responseTo(8'000, Pieces).starts_with("HTTP/1.1 200 "));
    cr_assert(responseTo(1, 1).starts_with("HTTP/1.1 408 "));
}

// Guards against reporting a timed-out call as NotSent although the server has it, and against using its connection
// again.
Test(http, timedOutCallMayHaveBeenSent)
{
    std::mutex mutex;
    std::vector<HttpResponder> openResponders;
    ServerFixture fixture([&](const HttpRequest &request, const HttpResponder &respond) {
        if (request.target_ == "/hold") {
            const std::scoped_lock lock(mutex);
            openResponders.push_back(respond);
            return;
        }
        echo(request, respond);
    });
    const std::string address = fixture.server_->address();
    std::vector<std::future<HttpResult>> open;
    for (int i = 0; i < 2; ++i) {
        open.push_back(fixture.send(address, {"GET", "/hold", {}, ""}, 300));
    }
    const auto queued = fixture.send(address, {"GET", "/queued", {}, ""}, 50).get();
    cr_assert(queued.delivery_ == HttpDelivery::NotSent);
    for (auto &call : open) {
        const HttpResult result = call.get();
        cr_assert(result.delivery_ == HttpDelivery::MaybeSent);
        cr_assert(result.error_ == std::errc::timed_out);
    }
    const auto after = fixture.send(address, {"POST", "/x", {}, "b"}, 1000).get();
    cr_assert_eq(after.body_, "POST /x b");
    const auto refused = fixture.send("127.0.0.1:1", {"GET", "/", {}, ""}, 1000).get();
    cr_assert(refused.delivery_ == HttpDelivery::NotSent);
}

// Guards against use of a destroyed connection when response and timeout are handled in one run of the event loop, as
// after a pause of the process.
Test(http, responseAndTimeoutArriveTogether)
{
    ServerFixture fixture([](const HttpRequest &request, const HttpResponder &respond) {
        std::thread([request, respond] {
            std::this_thread::sleep_for(Milliseconds(20));
            echo(request, respond);
        }).detach();
    });
    boost::asio::io_context paused;
    HttpClient client(paused, {});
    int finishedCalls = 0;
    constexpr int Calls = 50;
    for (int i = 0; i < Calls; ++i) {
        client.send(fixture.server_->address(), {"POST", "/", {}, std::string(50'000, 'x')}, Milliseconds(50),
                    [&](const HttpResult &) { ++finishedCalls; });
    }
    paused.run_for(Milliseconds(10));
    std::this_thread::sleep_for(Milliseconds(200));
    paused.run_for(Milliseconds(500));
    cr_assert_eq(finishedCalls, Calls);
}

// Guards against a graceful stop that closes a connection before the response to its open request.
Test(http, stopWaitsForOpenRequests)
{
    std::promise<HttpResponder> receivedResponder;
    ServerFixture fixture(
        [&](const HttpRequest &, const HttpResponder &respond) { receivedResponder.set_value(respond); });
    auto call = fixture.send(fixture.server_->address(), {"GET", "/", {}, ""}, 3000);
    auto respond = std::make_unique<HttpResponder>(receivedResponder.get_future().get());
    std::promise<void> stopped;
    fixture.server_->stop(Milliseconds(50), Milliseconds(5000), [&] { stopped.set_value(); });
    std::this_thread::sleep_for(Milliseconds(200));
    (*respond)({200, "late", "text/plain"});
    cr_assert_eq(call.get().body_, "late");
    cr_assert(stopped.get_future().wait_for(Milliseconds(3000)) == std::future_status::ready);
}

// Guards against requests that stay open when a handler destroys its responder without a call, and against handlers
// that are not told that the caller has disconnected.
Test(http, droppedResponderAndLostConnection)
{
    std::promise<void> disconnected;
    std::mutex mutex;
    std::vector<HttpResponder> openResponders;
    ServerFixture fixture([&](const HttpRequest &request, const HttpResponder &respond) {
        if (request.target_ == "/hold") {
            respond.onDisconnect([&] { disconnected.set_value(); });
            const std::scoped_lock lock(mutex);
            openResponders.push_back(respond);
        }
    });
    const std::string address = fixture.server_->address();
    cr_assert_eq(fixture.send(address, {"GET", "/drop", {}, ""}, 1000).get().status_, 500U);
    cr_assert(fixture.send(address, {"GET", "/hold", {}, ""}, 100).get().delivery_ == HttpDelivery::MaybeSent);
    cr_assert(disconnected.get_future().wait_for(Milliseconds(2000)) == std::future_status::ready);
}

// Guards against wrong splitting of targets, and against accepting JSON fields of the wrong type.
Test(http, targetsAndJson)
{
    const HttpTarget target = splitTarget("/v1/jobs/a%2Fb?team=x%20y&wait_ms=5&flag");
    cr_assert_eq(target.path_, "/v1/jobs/a/b");
    cr_assert_eq(queryValue(target, "team"), "x y");
    cr_assert_eq(queryValue(target, "wait_ms"), "5");
    cr_assert(splitTarget("/%4").path_ == "/%4");
    Json json;
    cr_assert(!parseJson("{", json));
    cr_assert(parseJson(R"({"a":1,"b":"x","c":-1})", json));
    std::uint64_t number = 7;
    cr_assert(readField(json, "missing", number) && number == 7);
    cr_assert(readField(json, "a", number) && number == 1);
    cr_assert(!readField(json, "b", number));
    cr_assert(!readField(json, "c", number));
}
