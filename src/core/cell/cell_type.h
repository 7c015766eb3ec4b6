// Settings, configuration and outputs of a cell.
#pragma once

#include "core/message/cell_type.h"
#include "core/message/event_type.h"
#include "core/message/kv_type.h"
#include "core/message/runner_type.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace mimosapier
{

// A queue of the configuration.
struct QueueConfig
{
    QueuePolicy policy_;
    std::string host_; // requests with this host ...
    std::string prefix_; // ... and this prefix of the path belong to the queue
    bool public_ = false; // no key is needed
};

// A client account of the configuration.
struct AccountConfig
{
    std::string name_;
    std::set<std::string, std::less<>> keys_;
    double weight_ = 1; // share when the fleet is full
    Resources cap_; // most that may run at a time; 0 in a dimension: no limit
};

// A pool of runners in the configuration.
struct ServiceConfig
{
    std::string name_;
    bool guardsCapacity_ = false; // its runners reject what does not fit
};

struct CellConfig
{
    std::uint64_t version_ = 0; // 0: none
    std::vector<QueueConfig> queues_;
    std::vector<AccountConfig> accounts_;
    std::vector<ServiceConfig> services_;
};

// Times and limits that the deployment gives.
struct CellSettings
{
    std::string name_; // of the daemon
    std::string zone_;
    Milliseconds holdMax_{10'000}; // longest lease of a task
    Milliseconds stopTimeout_{900}; // longest time that a stop takes
    Milliseconds gangTimeout_{3'000}; // a member of a gang waits this long for the others
    Milliseconds revoke_{5'000}; // a withdrawn key works at most this long
    Milliseconds statusKept_{120'000}; // a final state is shown at least this long
    double remoteFactor_ = 2; // slow-down away from the data or over several racks
    double processorShare_ = 1; // processors of this instance
    double storeWritesPerSecond_ = 400; // of all daemons together
    Milliseconds minLease_{1'000}; // shortest lease of the store
};

// Time as the decision logic sees it: steady for intervals, wall clock for scheduled occurrences.
struct CellTime
{
    TimePoint steady_;
    std::int64_t unixMs_ = 0;
};

// A reply to a client's request, with the daemon that forwarded it.
struct CellReplyTo
{
    DaemonId to_;
    CellReply reply_;
};

// A policy query, with the daemon that shall carry it out.
struct PolicyDispatch
{
    DaemonId to_;
    PolicyQuery query_;
};

// What the decision logic wants done.
struct CellActions
{
    std::vector<KvCall> kv_;
    std::vector<RunnerCall> runners_;
    std::vector<CellReplyTo> replies_;
    std::vector<PolicyDispatch> policy_;
    std::vector<LogLine> log_; // one JSON object each
};

} // namespace mimosapier
