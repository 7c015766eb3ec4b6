// The daemon of a cell as a whole: its threads, the rings between them, and its start and graceful end.
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
    explicit CellProcess(const Settings &settings);
    CellProcess(const CellProcess &) = delete;
    CellProcess &operator=(const CellProcess &) = delete;
    ~CellProcess();

    // Opens the addresses and starts the threads. Errors: those of the sockets; `detail` names the address.
    std::error_code start(std::string &detail);

    // Begins a graceful shutdown; from any thread. A repeated call has no effect.
    void requestLeave();

    // Waits for the end of the shutdown. Result: false when the shutdown limit was reached.
    bool waitForEnd();

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace mimosapier
