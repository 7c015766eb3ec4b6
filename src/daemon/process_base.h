// The daemon as a whole: its threads, the rings between them, and its start and graceful end.
#pragma once

#include "daemon/settings_type.h"

#include <memory>
#include <string>
#include <system_error>

namespace mimosapier
{

class Process
{
public:
    explicit Process(const Settings &settings);
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;
    ~Process();

    // Opens the addresses and starts the threads. Errors: those of the sockets; `detail` names the address.
    std::error_code start(std::string &detail);

    // Begins a graceful shutdown; from any thread. A repeated call has no effect.
    void requestLeave();

    // Waits for the end of the shutdown. Result: false when the shutdown limit was reached.
    bool waitForEnd();

    // "ip:port" of the HTTP interface, for tests with port 0.
    [[nodiscard]] std::string callerAddress() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace mimosapier
