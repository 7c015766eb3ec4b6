// Runs an io_context in the test's thread until a call is answered.
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

    // Result of a POST, or of a GET when there is no body.
    HttpResult call(const std::string &address, const std::string &target, const std::string &body = "",
                    int timeoutMs = 2000)
    {
        return send(address, {body.empty() ? "GET" : "POST", target, {}, body}, timeoutMs);
    }

    // Result of a GET with the given headers.
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

    // Parsed body of an answer.
    Json json(const std::string &address, const std::string &target, const std::string &body = "")
    {
        Json parsed;
        parseJson(call(address, target, body).body_, parsed);
        return parsed;
    }
};

} // namespace mimosapier::standin
