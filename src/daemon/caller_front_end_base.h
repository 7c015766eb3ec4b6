// HTTP front end of Process for callers and operators: turns requests into events for the decision thread, and its
// answers into responses. Also answers the health checks /healthz and /readyz.
//
// Runs on one IoThread, the callers' thread. Makes no decisions, except that it refuses requests that are malformed or
// exceed its limits.
#pragma once

#include "core/message/event_type.h"
#include "http/server_base.h"

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
    std::string address_; // "ip:port"; port 0 picks a free one
    std::size_t maxOpenRequests_ = 8192; // further requests are refused with Overloaded
    HttpServerOptions http_;
};

// Connection to the decision thread. The functions are called on the front end's thread.
struct CallerFrontEndCallbacks
{
    // Returns false and leaves the request unchanged when the ring is full.
    std::function<bool(CallerRequest &)> submit_;
    std::function<void(CallerGone)> onCallerGone_; // the caller of an open request closed the connection
    std::function<bool()> isReady_; // for /readyz
};

class CallerFrontEnd
{
public:
    // The front end runs on `thread`. `thread` and `metrics` must outlive it; `metrics` may be nullptr.
    CallerFrontEnd(CallerFrontEndSettings settings, IoThread &thread, CallerFrontEndCallbacks callbacks,
                   Metrics *metrics);
    CallerFrontEnd(const CallerFrontEnd &) = delete;
    CallerFrontEnd &operator=(const CallerFrontEnd &) = delete;
    ~CallerFrontEnd();

    // Opens the listening socket. Errors: those of the socket.
    std::error_code listen();

    // "ip:port" of the listening socket. Valid after listen().
    [[nodiscard]] std::string address() const;

    // The functions below are called on the front end's thread.

    // Sends the answer to its open request. No effect if that request has an answer already.
    void answer(const CallerAnswer &answer);

    // Answers all open requests with outcome Unknown. For a shutdown whose limit is near.
    void answerAllUnknown();

    // Closes each connection once its open requests are answered. Requests that arrive until then are still served.
    // `onStopped` runs when all connections are closed, at the latest after `limit`.
    void stop(Milliseconds limit, std::function<void()> onStopped);

    // From now on each answer asks the caller to close its connection.
    void drain();

    // Number of requests without an answer. May be called from any thread.
    [[nodiscard]] std::size_t openRequestCount() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace mimosapier
