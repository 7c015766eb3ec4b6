// Bounded queue between two threads, and the wake-up of a thread that waits for several of them.
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

// Lets one thread wait for news of several rings or for a point in time.
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

    // Returns after notify() or at `deadline`, whichever comes first.
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

// Any number of producers, one consumer. The consumer is woken when the ring stops being empty.
template <typename T>
class Ring
{
public:
    // Parameters: most items that offer() and put() leave in the ring; called when the ring stops being empty.
    Ring(std::size_t capacity, std::function<void()> onNotEmpty)
        : capacity_(capacity)
        , onNotEmpty_(std::move(onNotEmpty))
    {
    }

    // Moves the item into the ring. Returns false when the ring is full; `item` is then left as it is.
    bool offer(T &item) { return append(item, OverflowPolicy::Refuse); }

    // Appends the item, waiting while the ring is full. Only for producers for which the consumer never waits.
    void put(T item) { append(item, OverflowPolicy::Wait); }

    // Appends the item even to a full ring. Only for items whose number is bounded elsewhere.
    void putUnbounded(T item) { append(item, OverflowPolicy::Exceed); }

    // Moves at most `limit` items to the end of `items`, oldest first. Returns true when items are left.
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

    // Releases producers that wait in put(); from now on put() drops the item.
    void close()
    {
        {
            const std::lock_guard lock(mutex_);
            closed_ = true;
        }
        notFull_.notify_all();
    }

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
    std::condition_variable notFull_; // for put()
    std::deque<T> items_;
    std::size_t capacity_;
    bool closed_ = false;
    std::function<void()> onNotEmpty_;
};

// Calls `use` for each item of a ring.
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
