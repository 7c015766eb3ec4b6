// Time types and clocks. The decision logic never reads a clock: it gets the time with each event. The program that
// embeds the logic reads the time from a Clock, so that tests can control it.
#pragma once

#include <chrono>
#include <cstdint>

namespace mimosapier
{

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using Milliseconds = std::chrono::milliseconds;

// Milliseconds from `then` to `now`; -1 when `then` is empty.
inline std::int64_t ageMs(TimePoint now, TimePoint then)
{
    return then == TimePoint{} ? -1 : std::chrono::duration_cast<Milliseconds>(now - then).count();
}

// Monotonic clock.
class Clock
{
public:
    Clock() = default;
    Clock(const Clock &) = delete;
    Clock &operator=(const Clock &) = delete;
    virtual ~Clock() = default;

    [[nodiscard]] virtual TimePoint now() const = 0;
};

// std::chrono::steady_clock.
class SystemClock final : public Clock
{
public:
    [[nodiscard]] TimePoint now() const override { return std::chrono::steady_clock::now(); }
};

// Clock of the time of day, for work that is due at a given time. Can jump forwards and backwards.
class WallClock
{
public:
    WallClock() = default;
    WallClock(const WallClock &) = delete;
    WallClock &operator=(const WallClock &) = delete;
    virtual ~WallClock() = default;

    // Milliseconds since 1970-01-01 00:00 UTC.
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
