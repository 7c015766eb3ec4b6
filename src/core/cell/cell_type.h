// Settings, configuration and outputs of the decision logic of a cell's leader. Plain data: the daemon fills in the
// settings, the platform client decodes the configuration, and src/core/control passes the actions on.
#pragma once

#include "core/message/cell_type.h"
#include "core/message/event_type.h"
#include "core/message/kv_type.h"
#include "core/message/runner_type.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mimosapier
{

// One queue of the configuration; a request belongs to the queue whose host and path prefix match.
struct QueueConfig
{
    QueuePolicy policy_;
    std::string host_; // value of the request's Host header
    std::string prefix_; // prefix of the request's path
    bool public_ = false; // requests need no API key
};

// One client account of the configuration.
struct AccountConfig
{
    std::string name_;
    std::set<std::string, std::less<>> keys_; // API keys
    double weight_ = 1; // the account's share, in submissions per second; 0: no limit
    Resources cap_; // resources that the account may use at a time; 0 in a dimension: no limit
};

// One pool of runners in the configuration.
struct ServiceConfig
{
    std::string name_;
    bool enforcesCapacity_ = false; // its runners reject tasks that exceed their capacity
};

struct CellConfig
{
    std::uint64_t version_ = 0; // rises with each change; 0: no configuration yet
    std::vector<QueueConfig> queues_;
    std::vector<AccountConfig> accounts_;
    std::vector<ServiceConfig> services_;
};

// Times and limits of the deployment. The decision logic does not read stopTimeout_, gangTimeout_ and
// storeWritesPerSecond_.
struct CellSettings
{
    std::string name_; // name of this daemon
    std::string zone_; // availability zone of this instance
    Milliseconds holdMax_{10'000}; // longest lease of a task
    Milliseconds stopTimeout_{900}; // upper bound of the time that a runner takes to stop a task
    Milliseconds gangTimeout_{3'000}; // how long a member of a gang waits for the others to start
    Milliseconds revocationDelay_{5'000}; // upper bound of the time that a withdrawn API key keeps working
    Milliseconds statusRetention_{120'000}; // minimum time for which the final state of a job can be queried
    double remoteFactor_ = 2; // slowdown of a task outside the rack of its data, or of a gang that spans racks
    double processorShare_ = 1; // processors that this daemon may use on its instance
    double storeWritesPerSecond_ = 400; // limit for all daemons together
    Milliseconds minLease_{1'000}; // shortest lease that the store grants
    double gangRoomShare_ = 0; // share of a service's processors that may be reserved for waiting gangs; 0: none
    double copyShare_ = 0; // share of a service's processors that copies of stragglers may use; needs learnedRunTimes_
    bool learnedRunTimes_ = false; // learn run times and speeds from the ends of runs, see run_times.cpp
    Milliseconds pastUseHalfLife_{0}; // of the past use of accounts; 0: it has no effect and is not counted
    Milliseconds pastUseShift_{2'000}; // largest shift of a step by the past use of its account
};

// Time as the decision logic sees it: a steady clock for intervals, the wall clock for scheduled occurrences.
struct CellTime
{
    TimePoint steady_;
    std::int64_t unixMs_ = 0;
};

// A reply to a client's request, addressed to the daemon that forwarded the request.
struct CellReplyTo
{
    DaemonId to_;
    CellReply reply_;
};

// A policy query, addressed to the daemon that is to send it to the policy service.
struct PolicyDispatch
{
    DaemonId to_;
    PolicyQuery query_;
};

// Events that the daemon counts in its metrics.
enum class CellCounter : std::uint8_t {
    RunnerCrash, // a runner has ended by itself
    TaskSuspected, // a runner has crashed under a task
    TaskGivenUp, // too many runners have crashed under a task
    BadEntry, // an entry of a list in the store that cannot be read
    TaskRepeated, // a task was started again after a run that has ended as done
    Straggler, // a run took over three times as long as others of its step; only with learnedRunTimes_
    RunnerSuspected, // a runner has crashed, flapped or failed runs lately; only with learnedRunTimes_
    CopyStarted, // a straggler has got a second run, see CellSettings::copyShare_
};

inline constexpr std::size_t CellCounterCount = 8;

// Past use of an account, for the metrics.
struct AccountUseSample
{
    std::string account_;
    double coreSeconds_ = 0; // decayed
    double factor_ = 1; // fair-share factor
    Milliseconds shift_{0}; // largest shift of its steps in the order
};

// What the caller of the decision logic has to carry out.
struct CellActions
{
    std::vector<KvCall> kv_;
    std::vector<RunnerCall> runners_;
    std::vector<CellReplyTo> replies_;
    std::vector<PolicyDispatch> policy_;
    std::vector<LogLine> log_; // each line is one JSON object
    std::array<std::uint32_t, CellCounterCount> counts_{}; // by CellCounter
    std::optional<std::vector<AccountUseSample>> pastUse_; // replaces what the metrics show; empty: unchanged
};

// Increments a counter.
inline void count(CellActions &actions, CellCounter counter)
{
    ++actions.counts_.at(static_cast<std::size_t>(counter));
}

} // namespace mimosapier
