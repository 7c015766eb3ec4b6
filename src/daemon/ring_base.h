// Ring: bounded queue that carries events and actions between threads. Wakeup: lets a thread wait for several rings.
#pragma once

#include "core/common/time_type.h"

#include <algorithm>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace mimosapier
{

// Event flag on which one thread waits until a ring has items or a deadline passes. notify() may be called from any
// thread.
class Wakeup
{
public:
    void notify()
    {
        {
            const std::lock_guard lock(mutex_);
            notified_ = true;
        }
        condition_.notify_one();
    }

    // Blocks until notify() was called since the last return, or until `deadline`.
    void waitUntil(TimePoint deadline)
    {
        std::unique_lock lock(mutex_);
        condition_.wait_until(lock, deadline, [this] { return notified_; });
        notified_ = false;
    }

private:
    std::mutex mutex_; // guards notified_
    std::condition_variable condition_;
    bool notified_ = false;
};

// Queue for any number of producer threads and one consumer thread. Items keep their order.
template <typename T>
class Ring
{
public:
    // `capacity` bounds the items that offer() and put() add. `onNotEmpty` runs on the producer's thread, without a
    // lock, when an item is added to an empty ring; it must not block.
    Ring(std::size_t capacity, std::function<void()> onNotEmpty)
        : capacity_(capacity)
        , onNotEmpty_(std::move(onNotEmpty))
    {
    }

    // Adds the item if the ring has free capacity. Otherwise returns false and leaves `item` unchanged.
    bool offer(T &item) { return append(item, OverflowPolicy::Refuse); }

    // Adds the item; blocks while the ring is full. The consumer must never wait for this producer, or both deadlock.
    // Drops the item after close().
    void put(T item) { append(item, OverflowPolicy::Wait); }

    // Adds the item even if the ring is full. Only for items whose number is bounded by other means.
    void putUnbounded(T item) { append(item, OverflowPolicy::Exceed); }

    // Moves at most `limit` items to the end of `items`, oldest first. Returns true when the ring still has items.
    // Called by the consumer.
    bool take(std::vector<T> &items, std::size_t limit)
    {
        bool more = false;
        {
            const std::lock_guard lock(mutex_);
            const auto end = items_.begin() + static_cast<std::ptrdiff_t>(std::min(limit, items_.size()));
            items.insert(items.end(), std::make_move_iterator(items_.begin()), std::make_move_iterator(end));
            items_.erase(items_.begin(), end);
            more = !items_.empty();
        }
        notFull_.notify_all();
        return more;
    }

    // Releases producers that are blocked in put(). From then on put() drops its item.
    void close()
    {
        {
            const std::lock_guard lock(mutex_);
            closed_ = true;
        }
        notFull_.notify_all();
    }

    // Number of items; from any thread.
    [[nodiscard]] std::size_t depth() const
    {
        const std::lock_guard lock(mutex_);
        return items_.size();
    }

private:
    enum class OverflowPolicy : std::uint8_t { Refuse, Wait, Exceed };

    bool append(T &item, OverflowPolicy overflow)
    {
        bool wasEmpty = false;
        {
            std::unique_lock lock(mutex_);
            if (overflow == OverflowPolicy::Wait) {
                notFull_.wait(lock, [this] { return items_.size() < capacity_ || closed_; });
            }
            if (overflow != OverflowPolicy::Exceed
                && (items_.size() >= capacity_ || (closed_ && overflow == OverflowPolicy::Wait))) {
                return false;
            }
            wasEmpty = items_.empty();
            items_.push_back(std::move(item));
        }
        if (wasEmpty && onNotEmpty_) {
            onNotEmpty_();
        }
        return true;
    }

    mutable std::mutex mutex_; // guards items_ and closed_
    std::condition_variable notFull_; // put() waits on it
    std::deque<T> items_;
    std::size_t capacity_;
    bool closed_ = false;
    std::function<void()> onNotEmpty_;
};

// Takes all items of the ring and calls `use` for each, oldest first.
template <typename T, typename Use>
void drainRing(Ring<T> &ring, Use use)
{
    std::vector<T> items;
    ring.take(items, SIZE_MAX);
    for (T &item : items) {
        use(std::move(item));
    }
}

} // namespace mimosapier
