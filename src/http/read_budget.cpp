// Budget of bytes, see read_budget_base.h.
#include "http/read_budget_base.h"

namespace mimosapier
{

void ReadBudget::setBytes(Account &account, std::size_t unfinished, std::size_t open)
{
    if (account.evicting_) {
        evicting_ -= account.unfinished_ + account.open_;
    }
    unfinished_ = unfinished_ - account.unfinished_ + unfinished;
    open_ = open_ - account.open_ + open;
    account.unfinished_ = unfinished;
    account.open_ = open;
    if (unfinished == 0) {
        account.evicting_ = false;
    }
    if (account.evicting_) {
        evicting_ += unfinished + open;
    }
    if (unfinished + open == 0) {
        accounts_.erase(&account);
    } else {
        accounts_.insert(&account);
    }
}

ReadBudget::Account *ReadBudget::largestAccount()
{
    Account *largest = nullptr;
    for (Account *account : accounts_) {
        const auto isLarger = [&] {
            return account->unfinished_ != largest->unfinished_ ? account->unfinished_ > largest->unfinished_
                                                                : account->open_ > largest->open_;
        };
        if (!account->evicting_ && (largest == nullptr || isLarger())) {
            largest = account;
        }
    }
    return largest;
}

void ReadBudget::update(Account &account, std::size_t unfinished, std::size_t open)
{
    std::vector<std::function<void()>> evictions;
    {
        const std::scoped_lock lock(mutex_);
        setBytes(account, unfinished, open);
        while (unfinished_ + open_ - evicting_ > limit_) {
            Account *largest = largestAccount();
            if (largest == nullptr) {
                break;
            }
            largest->evicting_ = true;
            evicting_ += largest->unfinished_ + largest->open_;
            evictions.push_back(largest->evict_);
        }
    }
    for (const auto &evict : evictions) {
        evict();
    }
}

void ReadBudget::remove(Account &account)
{
    const std::scoped_lock lock(mutex_);
    setBytes(account, 0, 0);
}

bool ReadBudget::hasRoomForOpen(std::size_t bytes) const
{
    const std::scoped_lock lock(mutex_);
    return open_ + bytes <= limit_ / 2;
}

std::size_t ReadBudget::heldBytes() const
{
    const std::scoped_lock lock(mutex_);
    return unfinished_ + open_;
}

} // namespace mimosapier
