// Settings of a daemon, read once at the start.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace mimosapier
{

struct Limits
{
    std::uint64_t maxBodyBytes_ = 1'048'576; // of a caller's request
    std::uint64_t maxOpenRequests_ = 8192; // callers' requests without an answer
    std::uint64_t callerRing_ = 4096; // callers' requests waiting for the decision thread
    std::uint64_t peerRing_ = 4096; // messages waiting for the decision thread, and for the transport
    std::uint64_t storeRing_ = 4096; // store operations without a result
    std::uint64_t workerRing_ = 16384; // worker operations without a result
    std::uint64_t drainMs_ = 1000; // shortest time for which a leaving daemon accepts connections, for load balancers
                                   // that have not noticed yet that it is not ready
    std::uint64_t shutdownMs_ = 30'000; // longest graceful shutdown
};

// What the users' platform says about itself; used by a daemon of a cell.
struct CellDeployment
{
    std::string readyAddress_; // "ip:port" of the readiness check; not empty: the daemon serves a cell
    std::string policyAddress_; // "ip:port" of the policy service; empty: none
    std::uint64_t holdMaxMs_ = 10'000; // longest lease of a task
    std::uint64_t stopTimeoutMs_ = 900; // longest time that a runner takes to stop a task
    std::uint64_t gangTimeoutMs_ = 3'000; // a member of a gang waits this long for the others
    std::uint64_t revokeMs_ = 5'000; // a withdrawn key works at most this long
    std::uint64_t statusS_ = 120; // a job's final state is shown at least this long
    std::uint64_t graceMs_ = 6'000; // from SIGTERM to SIGKILL
    std::uint64_t storeWritesPerS_ = 400; // of all daemons together
    std::uint64_t storeMinLeaseMs_ = 1'000; // shortest lease of the store
    double remoteFactor_ = 2; // slow-down of tasks away from their data
    double processorShare_ = 1; // processors of this instance
};

struct Settings
{
    std::string name_; // of the daemon; unique among live daemons
    std::string region_;
    std::string zone_;
    std::string callerAddress_; // "ip:port" of the HTTP interface
    std::string peerAddress_; // "ip:port" for other daemons
    std::string metricsAddress_; // "ip:port"; empty for no metrics
    std::string storeAddress_;
    std::string instanceListAddress_;
    std::map<std::string, std::string> peerAddressOverrides_; // daemon name -> "ip:port" to dial
    std::map<std::string, std::string> workerAddressOverrides_; // "ip:port" -> "ip:port" to call
    std::string logLevel_ = "info"; // debug, info, warning or error
    std::optional<std::uint64_t> seed_; // of jitter and sampling; random when missing
    Limits limits_;
    CellDeployment cell_;
};

} // namespace mimosapier
