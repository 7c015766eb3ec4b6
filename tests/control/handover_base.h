// Base of the simulated cluster of handover_world.h: randomness, the agenda of events, and the places of the daemons.
#pragma once

#include "control/control_cluster.h"
#include "control/handover_checker.h"

#include <iostream>
#include <random>

namespace mimosapier
{

// A place for a daemon: after a kill, the next incarnation of the daemon starts in the same place. The counts are of
// the faults in force.
struct Instance
{
    ClusterDaemon *daemon_ = nullptr;
    std::uint64_t incarnation_ = 0;
    bool up_ = false;
    int pauses_ = 0;
    int storeCuts_ = 0; // calls are not executed, or only seconds later, and have no answer
    int storeRefusals_ = 0; // calls are refused
    int storeLosses_ = 0; // some answers are lost
};

// A call to a runner or to the store that has no answer yet.
template <typename Call>
struct Flight
{
    std::size_t instance_ = 0;
    ClusterDaemon *daemon_ = nullptr;
    Call call_;
    TimePoint sentAt_;
    bool answered_ = false;
    bool late_ = false; // delayed by seconds
    bool heldBack_ = false; // has reached its target, and is carried out seconds later
};

template <typename Call>
std::shared_ptr<Flight<Call>> makeFlight(std::size_t instance, ClusterDaemon *daemon, Call call, TimePoint now)
{
    return std::make_shared<Flight<Call>>(Flight<Call>{instance, daemon, std::move(call), now});
}

struct HandoverBase : ControlCluster
{
    HandoverBase(std::uint64_t seed, std::size_t instances)
        : ControlCluster(0, 0)
        , random_(seed)
        , instances_(instances)
    {
    }

    std::int64_t number(std::int64_t from, std::int64_t to) // both included
    {
        return from + static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(to - from + 1));
    }
    bool chance(double probability) { return static_cast<double>(random_() % 1'000'000) < probability * 1'000'000; }
    Milliseconds time(std::int64_t fromMs, std::int64_t toMs) { return Milliseconds(number(fromMs, toMs)); }

    void after(Milliseconds delay, std::function<void()> action) { agenda_.emplace(now_ + delay, std::move(action)); }

    void killDaemon(std::size_t index)
    {
        Instance &instance = instances_[index];
        instance.up_ = false;
        instance.daemon_->alive_ = false;
        eventQueues_.erase(instance.daemon_->id_);
    }

    void pause(std::size_t index, int change)
    {
        Instance &instance = instances_[index];
        instance.pauses_ += change;
        instance.daemon_->paused_ = instance.pauses_ > 0;
    }

    // The instance whose daemon leads, with the highest epoch if there are several; SIZE_MAX: none.
    std::size_t leaderIndex() const
    {
        std::size_t best = SIZE_MAX;
        for (std::size_t i = 0; i < instances_.size(); ++i) {
            if (instances_[i].up_ && cellOf(i) != nullptr
                && (best == SIZE_MAX || cellOf(i)->epoch_ > cellOf(best)->epoch_)) {
                best = i;
            }
        }
        return best;
    }

    const Cell *cellOf(std::size_t index) const { return instances_[index].daemon_->control_->cell_.get(); }

    static std::string taskName(const StagedTask &task)
    {
        std::string name = std::to_string(task.job_.value_);
        for (const std::uint32_t part : {task.occurrence_, task.step_, task.index_}) {
            name += "." + std::to_string(part);
        }
        return name;
    }

    void trace(const std::string &text) const
    {
        if (tracing_) {
            std::cerr << elapsedMs() << " " << text << "\n";
        }
    }

    std::mt19937_64 random_;
    std::multimap<TimePoint, std::function<void()>> agenda_;
    std::vector<Instance> instances_;
    RunChecker checker_;
    bool tracing_ = false;
};

} // namespace mimosapier
