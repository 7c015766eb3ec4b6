// HTTP front end for callers and operators: turns requests into events and answers into responses.
#pragma once

#include "core/message/event_type.h"

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace mimosapier
{

class IoThread;
class Metrics;

struct CallerFrontEndSettings
{
    std::string address_; // "ip:port"
    std::size_t maxBodyBytes_ = 1'048'576;
    std::size_t maxOpenRequests_ = 8192; // further requests are answered "overloaded"
};

// How the front end reaches the decisions.
struct CallerFrontEndCallbacks
{
    std::function<bool(CallerRequest &)> submit_; // false, and the request is kept, when the ring is full
    std::function<void(CallerGone)> onCallerGone_; // the caller of an open request has closed the connection
    std::function<bool()> isReady_; // for /readyz
};

class CallerFrontEnd
{
public:
    // Parameters: settings, thread that serves the front end, callbacks, metrics or nullptr. All outlive it.
    CallerFrontEnd(CallerFrontEndSettings settings, IoThread &thread, CallerFrontEndCallbacks callbacks,
                   Metrics *metrics);
    CallerFrontEnd(const CallerFrontEnd &) = delete;
    CallerFrontEnd &operator=(const CallerFrontEnd &) = delete;
    ~CallerFrontEnd();

    std::error_code listen();

    // "ip:port" that listen() opened.
    [[nodiscard]] std::string address() const;

    // The functions below are called on the front end's thread.
    void answer(const CallerAnswer &answer);

    // Answers all open requests with outcome Unknown, because the decisions will not.
    void answerAllUnknown();

    // Ends the connections after their open requests. Requests that arrive meanwhile are still served. `stopped`
    // runs when all are closed, at the latest after `limit`.
    void stop(Milliseconds limit, std::function<void()> onStopped);

    // Asks clients to close their connections after their next answer.
    void drain();

    // Requests without an answer; from any thread.
    [[nodiscard]] std::size_t openRequestCount() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace mimosapier
