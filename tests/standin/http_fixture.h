// HTTP client for tests of the stand-ins. Runs the io_context, and with it the servers under test, on the test's thread
// until a call is answered or times out.
#pragma once

#include "http/client_base.h"
#include "http/json_func.h"

#include <boost/asio/io_context.hpp>

#include <string>
#include <vector>

namespace mimosapier::standin
{

struct HttpFixture
{
    boost::asio::io_context context_;
    HttpClient client_{context_, {}};

    // Sends a POST, or a GET when the body is empty, and returns its result.
    HttpResult call(const std::string &address, const std::string &target, const std::string &body = "",
                    int timeoutMs = 2000)
    {
        return send(address, {body.empty() ? "GET" : "POST", target, {}, body}, timeoutMs);
    }

    // Sends a GET with the headers and returns its result.
    HttpResult get(const std::string &address, const std::string &target, std::vector<HttpHeader> headers)
    {
        return send(address, {"GET", target, std::move(headers), ""}, 2000);
    }

    HttpResult send(const std::string &address, HttpRequest request, int timeoutMs)
    {
        HttpResult answer;
        bool done = false;
        client_.send(address, std::move(request), Milliseconds(timeoutMs), [&](HttpResult result) {
            answer = std::move(result);
            done = true;
        });
        while (!done) {
            context_.run_one();
        }
        return answer;
    }

    // Sends a request as call() does and returns the parsed body of the answer.
    Json json(const std::string &address, const std::string &target, const std::string &body = "")
    {
        Json parsed;
        parseJson(call(address, target, body).body_, parsed);
        return parsed;
    }
};

} // namespace mimosapier::standin
