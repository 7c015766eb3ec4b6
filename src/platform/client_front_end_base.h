// HTTP front end for the platform's clients, and the readiness check of its ingress.
#pragma once

#include "core/control/control_type.h"

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
    std::size_t maxBodyBytes_ = 1'048'576;
    std::size_t maxOpenRequests_ = 4'096; // further requests are refused
    std::size_t maxConnections_ = 2'048;
};

struct ClientFrontEndCallbacks
{
    std::function<bool(ClientRequest &)> submit_; // false, and the request is kept, when the ring is full
    std::function<bool()> isReady_;
};

class ClientFrontEnd
{
public:
    // Parameters: settings, thread that serves the front end, callbacks. All outlive it.
    ClientFrontEnd(ClientFrontEndSettings settings, IoThread &thread, ClientFrontEndCallbacks callbacks);
    ClientFrontEnd(const ClientFrontEnd &) = delete;
    ClientFrontEnd &operator=(const ClientFrontEnd &) = delete;
    ~ClientFrontEnd();

    // Opens both addresses. `detail` names the one that failed.
    std::error_code listen(std::string &detail);

    // The functions below are called on the front end's thread.
    void answer(const ClientAnswer &answer);
    // Asks clients to close their connections after their next answer.
    void drain();
    // Ends the connections after their open requests, the idle ones after `idleGrace`. `stopped` runs when all are
    // closed, at the latest after `limit`.
    void stop(Milliseconds idleGrace, Milliseconds limit, std::function<void()> onStopped);

    // Requests without an answer; from any thread.
    [[nodiscard]] std::size_t openRequestCount() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace mimosapier
