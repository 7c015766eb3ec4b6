// Amounts of resources: declared by a job, or used or free on a worker.
#pragma once

#include <cstdint>

namespace mimosapier
{

struct Resources
{
    std::int64_t milliCpus_ = 0; // thousandths of a processor
    std::int64_t memoryMb_ = 0; // 10^6 bytes
    std::int64_t accelerators_ = 0; // whole devices
    std::int64_t slots_ = 0; // number of concurrent tasks

    bool operator==(const Resources &) const = default;

    Resources &operator+=(const Resources &other)
    {
        milliCpus_ += other.milliCpus_;
        memoryMb_ += other.memoryMb_;
        accelerators_ += other.accelerators_;
        slots_ += other.slots_;
        return *this;
    }

    Resources &operator-=(const Resources &other)
    {
        milliCpus_ -= other.milliCpus_;
        memoryMb_ -= other.memoryMb_;
        accelerators_ -= other.accelerators_;
        slots_ -= other.slots_;
        return *this;
    }
};

inline Resources operator+(Resources left, const Resources &right)
{
    return left += right;
}

inline Resources operator-(Resources left, const Resources &right)
{
    return left -= right;
}

// Whether `wanted` is at most `free` for every resource.
inline bool fits(const Resources &wanted, const Resources &free)
{
    return wanted.milliCpus_ <= free.milliCpus_ && wanted.memoryMb_ <= free.memoryMb_
        && wanted.accelerators_ <= free.accelerators_ && wanted.slots_ <= free.slots_;
}

} // namespace mimosapier
