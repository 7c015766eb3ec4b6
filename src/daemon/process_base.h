// The daemon without a cell: its threads, the rings between them, startup and graceful shutdown. main() runs it
// when cell.ready_address is not set; see CellProcess otherwise.
//
// Threads: callers (HTTP server), store, workers (HTTP clients), peers (transport) and decisions. All decisions are
// made on the decision thread.
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
    // Copies the settings. Opens no socket and starts no thread.
    explicit Process(const Settings &settings);
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;
    // Stops all threads at once, without a graceful shutdown.
    ~Process();

    // Opens the listening sockets and starts the threads. Called once. On a socket error, or BadSetting for the metrics
    // address, no thread has been started, and `detail` holds the setting and the address.
    std::error_code start(std::string &detail);

    // Starts a graceful shutdown. May be called from any thread; repeated calls have no effect.
    void requestLeave();

    // Blocks until the shutdown has ended. Returns false when it exceeded limits.shutdown_ms.
    bool waitForEnd();

    // "ip:port" that the HTTP interface listens on; tests use it with port 0. Valid after start().
    [[nodiscard]] std::string callerAddress() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace mimosapier
