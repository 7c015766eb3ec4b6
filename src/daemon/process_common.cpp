// Daemon id and shutdown latch.
#include "daemon/process_common_base.h"

#include "core/common/time_type.h"

#include <chrono>
#include <random>

namespace mimosapier
{

DaemonId newDaemonId(const std::string &name)
{
    constexpr std::uint32_t RandomMask = 0xffffU; // keeps ids unique when the wall clock was set back
    return DaemonId(name + "#" + std::to_string(SystemWallClock().unixMs()) + "-"
                    + std::to_string(std::random_device{}() & RandomMask));
}

void ShutdownLatch::finish(bool withinLimit)
{
    {
        const std::lock_guard lock(mutex_);
        finished_ = true;
        withinLimit_ = withinLimit_ && withinLimit;
    }
    condition_.notify_all();
}

void ShutdownLatch::markLimitReached()
{
    const std::lock_guard lock(mutex_);
    withinLimit_ = false;
}

bool ShutdownLatch::wait()
{
    std::unique_lock lock(mutex_);
    condition_.wait(lock, [this] { return finished_; });
    return withinLimit_;
}

} // namespace mimosapier
