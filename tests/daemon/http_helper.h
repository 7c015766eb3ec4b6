// Helpers for tests of HTTP clients and front ends: a server with a given handler and a client, each on its own event
// loop thread.
#pragma once

#include "daemon/io_thread_base.h"
#include "http/client_base.h"
#include "http/server_base.h"

#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <vector>

namespace mimosapier::testing
{

constexpr std::chrono::seconds WaitTimeout{5}; // longer than any wait in a passing test

class TestServer
{
public:
    explicit TestServer(HttpHandler handler)
        : server_(thread_.context(), {}, std::move(handler))
    {
        thread_.start();
        (void)server_.listen("127.0.0.1:0");
    }
    [[nodiscard]] std::string address() const { return server_.address(); }

private:
    IoThread thread_;
    HttpServer server_;
};

class TestClient
{
public:
    TestClient() { thread_.start(); }

    std::future<HttpResult> send(const std::string &address, const std::string &method, const std::string &target,
                                 const std::string &body = {}, std::vector<HttpHeader> headers = {})
    {
        auto promise = std::make_shared<std::promise<HttpResult>>();
        std::future<HttpResult> future = promise->get_future();
        HttpRequest request;
        request.method_ = method;
        request.target_ = target;
        request.body_ = body;
        request.headers_ = std::move(headers);
        client_.send(address, std::move(request), Milliseconds(5000),
                     [promise](HttpResult result) { promise->set_value(std::move(result)); });
        return future;
    }
    HttpResult call(const std::string &address, const std::string &method, const std::string &target,
                    const std::string &body = {})
    {
        return send(address, method, target, body).get();
    }

private:
    IoThread thread_;
    HttpClient client_{thread_.context(), HttpClientOptions{.maxConnections_ = 64}};
};

// Polls `condition` every 5 ms until it holds. Returns false after WaitTimeout.
template <typename Condition>
bool waitFor(Condition condition)
{
    const auto end = std::chrono::steady_clock::now() + WaitTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

} // namespace mimosapier::testing
