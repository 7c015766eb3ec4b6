// HTTP front end of CellProcess: serves the platform's clients, and the readiness check of the ingress on a second
// address.
//
// Runs on one IoThread, the clients' thread. Makes no decisions, except that it refuses requests with an unknown method
// or over its limits.
#pragma once

#include "core/control/control_type.h"
#include "http/server_base.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace mimosapier
{

class IoThread;

struct ClientFrontEndSettings
{
    std::string address_; // "ip:port" for clients
    std::string readyAddress_; // "ip:port" for the readiness check
    std::size_t maxOpenRequests_ = 4'096; // further requests are refused with Overloaded
    HttpServerOptions clients_;
    HttpServerOptions readiness_;
};

// Connection to the decision thread. The functions are called on the front end's thread.
struct ClientFrontEndCallbacks
{
    // Returns false and leaves the request unchanged when the ring is full.
    std::function<bool(ClientRequest &)> submit_;
    std::function<bool()> isReady_; // result of the readiness check
};

class ClientFrontEnd
{
public:
    // The front end runs on `thread`, which must outlive it.
    ClientFrontEnd(ClientFrontEndSettings settings, IoThread &thread, ClientFrontEndCallbacks callbacks);
    ClientFrontEnd(const ClientFrontEnd &) = delete;
    ClientFrontEnd &operator=(const ClientFrontEnd &) = delete;
    ~ClientFrontEnd();

    // Opens both listening sockets. Errors: those of the sockets; `detail` then holds the setting and the address.
    std::error_code listen(std::string &detail);

    // The functions below are called on the front end's thread.

    // Sends the answer to its open request. No effect if that request has an answer already.
    void answer(const ClientAnswer &answer);
    // From now on each answer asks the client to close its connection.
    void drain();
    // Closes each connection once its open requests are answered, and idle connections after `idleGrace`. `onStopped`
    // runs when all connections are closed, at the latest after `limit`. The readiness check is still served.
    void stop(Milliseconds idleGrace, Milliseconds limit, std::function<void()> onStopped);

    // Number of requests without an answer. May be called from any thread.
    [[nodiscard]] std::size_t openRequestCount() const;
    // Number of clients' connections. May be called from any thread.
    [[nodiscard]] std::size_t connectionCount() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace mimosapier
