// What both kinds of process share: the id of a start, and the wait for the end of a shutdown.
#pragma once

#include "core/common/id_type.h"

#include <condition_variable>
#include <mutex>
#include <string>

namespace mimosapier
{

// Id of this start of the process: a restarted daemon is another daemon.
DaemonId newDaemonId(const std::string &name);

// Lets a thread wait until another one says that the shutdown has ended.
class ShutdownLatch
{
public:
    // Parameter: false when the shutdown limit was reached.
    void finish(bool withinLimit);
    // The shutdown limit was reached; the end follows.
    void markLimitReached();
    // Result: false when the shutdown limit was reached.
    bool wait();

private:
    std::mutex mutex_; // guards the members below
    std::condition_variable condition_;
    bool finished_ = false;
    bool withinLimit_ = true;
};

} // namespace mimosapier
