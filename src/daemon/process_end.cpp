// Id of a process and the end of its shutdown.
#include "daemon/process_end_base.h"

#include "core/common/time_type.h"

#include <chrono>
#include <random>

namespace mimosapier
{

DaemonId newDaemonId(const std::string &name)
{
    constexpr std::uint32_t RandomMask = 0xffffU; // in case the wall clock was set back
    return DaemonId(name + "#" + std::to_string(SystemWallClock().unixMs()) + "-"
                    + std::to_string(std::random_device{}() & RandomMask));
}

void ProcessEnd::finish(bool inTime)
{
    {
        const std::lock_guard lock(mutex_);
        finished_ = true;
        inTime_ = inTime_ && inTime;
    }
    ended_.notify_all();
}

void ProcessEnd::setLate()
{
    const std::lock_guard lock(mutex_);
    inTime_ = false;
}

bool ProcessEnd::wait()
{
    std::unique_lock lock(mutex_);
    ended_.wait(lock, [this] { return finished_; });
    return inTime_;
}

} // namespace mimosapier
