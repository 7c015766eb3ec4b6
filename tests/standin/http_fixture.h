// Runs an io_context in the test's thread until a call is answered.
#pragma once

#include "http/client_base.h"
#include "http/json_func.h"

#include <boost/asio/io_context.hpp>

#include <string>

namespace mimosapier::standin
{

struct HttpFixture
{
    boost::asio::io_context context_;
    HttpClient client_ {context_, {}};

    // Result of a POST, or of a GET when there is no body.
    HttpResult call(const std::string &address, const std::string &target, const std::string &body = "",
                    int timeoutMs = 2000)
    {
        HttpResult answer;
        bool done = false;
        client_.send(address, {body.empty() ? "GET" : "POST", target, {}, body}, Milliseconds(timeoutMs),
                     [&](HttpResult result) {
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
