// Time. The decision logic receives the time with each event; the shells obtain it from a Clock.
#pragma once

#include <chrono>

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

} // namespace mimosapier
