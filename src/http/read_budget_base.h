// Budget of bytes that all connections of a server or client hold together. The limits on one message do not bound the
// memory of a process: many connections may each hold a message just below them.
//
// When the sum exceeds the limit, the account with the most bytes of unfinished messages is evicted, so that small
// requests of ordinary callers keep their room. May be used from any thread.
#pragma once

#include <cstddef>
#include <functional>
#include <mutex>
#include <unordered_set>
#include <vector>

namespace mimosapier
{

class ReadBudget
{
public:
    // Bytes of one connection. Owned by the connection; registered from the first update() to remove().
    class Account
    {
    public:
        // `evict` is called at most once between two calls of update() that report no unfinished bytes. It must not
        // block, and must not call the budget.
        explicit Account(std::function<void()> evict)
            : evict_(std::move(evict))
        {
        }

    private:
        friend class ReadBudget;
        std::function<void()> evict_;
        std::size_t unfinished_ = 0;
        std::size_t open_ = 0;
        bool evicting_ = false;
    };

    explicit ReadBudget(std::size_t limit)
        : limit_(limit)
    {
    }

    // Sets the bytes of a connection: of its unfinished message, and of open requests and unsent responses. Evicts
    // accounts while the sum of those not evicted exceeds the limit.
    void update(Account &account, std::size_t unfinished, std::size_t open);
    void remove(Account &account);

    // False when open requests and unsent responses would take more than half of the budget with `bytes` more; the
    // other half is for requests that are being read.
    [[nodiscard]] bool hasRoomForOpen(std::size_t bytes) const;
    [[nodiscard]] std::size_t heldBytes() const;
    [[nodiscard]] std::size_t limit() const { return limit_; }

private:
    void setBytes(Account &account, std::size_t unfinished, std::size_t open);
    Account *largestAccount();

    const std::size_t limit_;
    mutable std::mutex mutex_; // guards the members below and those of the accounts
    std::unordered_set<Account *> accounts_; // with bytes
    std::size_t unfinished_ = 0; // sums over accounts_
    std::size_t open_ = 0;
    std::size_t evicting_ = 0; // bytes of accounts whose eviction is under way
};

} // namespace mimosapier
