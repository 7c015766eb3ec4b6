// The daemon of a cell: its threads, the rings between them, startup and graceful shutdown. main() runs it when
// cell.ready_address is set.
//
// Threads: clients (HTTP server), platform calls (HTTP clients), peers (transport) and decisions. All decisions are
// made on the decision thread, the only one that uses the Control.
#pragma once

#include "daemon/settings_type.h"

#include <memory>
#include <string>
#include <system_error>

namespace mimosapier
{

class CellProcess
{
public:
    // Copies the settings. Opens no socket and starts no thread.
    explicit CellProcess(const Settings &settings);
    CellProcess(const CellProcess &) = delete;
    CellProcess &operator=(const CellProcess &) = delete;
    // Stops all threads at once, without a graceful shutdown.
    ~CellProcess();

    // Opens the listening sockets and starts the threads. Called once. On a socket error, or BadSetting for the metrics
    // address, no thread has been started, and `detail` holds the setting and the address.
    std::error_code start(std::string &detail);

    // Starts a graceful shutdown. May be called from any thread; repeated calls have no effect.
    void requestLeave();

    // Blocks until the shutdown has ended. Returns false when it reached the limit, which lies within cell.grace_ms.
    bool waitForEnd();

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace mimosapier
