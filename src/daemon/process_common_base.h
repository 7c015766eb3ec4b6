// Parts that Process and CellProcess share: the daemon id and the latch for the end of the shutdown.
#pragma once

#include "core/common/id_type.h"

#include <condition_variable>
#include <mutex>
#include <string>

namespace mimosapier
{

// Returns a new daemon id, "NAME#UNIXMS-RANDOM". Each start of the process gets its own: a restarted daemon counts as
// another daemon.
DaemonId newDaemonId(const std::string &name);

// Lets one thread wait until another reports the end of the shutdown. All functions may be called from any thread.
class ShutdownLatch
{
public:
    // Reports the end of the shutdown. `withinLimit` is false when the shutdown limit was reached; once reported, a
    // later true does not undo it.
    void finish(bool withinLimit);
    // Records that the shutdown limit was reached. Does not release wait(); finish() must follow.
    void markLimitReached();
    // Blocks until finish() was called. Returns false when the shutdown limit was reached.
    bool wait();

private:
    std::mutex mutex_; // guards the members below
    std::condition_variable condition_;
    bool finished_ = false;
    bool withinLimit_ = true;
};

} // namespace mimosapier
