// Time. The decision logic receives the time with each event; the shells obtain it from a Clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace mimosapier
{

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using Milliseconds = std::chrono::milliseconds;

// Source of the current time, passed in wherever time is needed.
class Clock
{
public:
    Clock() = default;
    Clock(const Clock &) = delete;
    Clock &operator=(const Clock &) = delete;
    virtual ~Clock() = default;

    [[nodiscard]] virtual TimePoint now() const = 0;
};

// Clock of the running process.
class SystemClock final : public Clock
{
public:
    [[nodiscard]] TimePoint now() const override { return std::chrono::steady_clock::now(); }
};

// Source of the time of day, for work that is due at a given time. It may jump.
class WallClock
{
public:
    WallClock() = default;
    WallClock(const WallClock &) = delete;
    WallClock &operator=(const WallClock &) = delete;
    virtual ~WallClock() = default;

    // Milliseconds since 1970.
    [[nodiscard]] virtual std::int64_t unixMs() const = 0;
};

class SystemWallClock final : public WallClock
{
public:
    [[nodiscard]] std::int64_t unixMs() const override
    {
        return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }
};

} // namespace mimosapier
