// Settings of a daemon. Read once at startup and constant afterwards. Suffixes give units: Ms milliseconds, S seconds.
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
    std::uint64_t maxBodyBytes_ = 1'048'576; // body of one caller request
    std::uint64_t maxOpenRequests_ = 8192; // caller requests without an answer; further ones are refused
    std::uint64_t callerRing_ = 4096; // caller requests waiting for the decision thread
    std::uint64_t peerRing_ = 4096; // messages waiting for the decision thread, and the same number for the transport
    std::uint64_t storeRing_ = 4096; // store operations without a result
    std::uint64_t workerRing_ = 16384; // worker operations without a result
    std::uint64_t drainMs_ = 1000; // shortest time for which a leaving daemon accepts connections, because load
                                   // balancers need time to see that it is not ready
    std::uint64_t shutdownMs_ = 30'000; // longest graceful shutdown
    // Limits on one request while it is read, see HttpMessageLimits.
    std::uint64_t maxRequestLineBytes_ = 16'384;
    std::uint64_t maxHeaderBytes_ = 32'768; // with the request line
    std::uint64_t maxHeaderFields_ = 4096; // of header and trailer
    std::uint64_t maxTrailerBytes_ = 16'384;
    std::uint64_t maxChunkLineBytes_ = 4096; // size and extensions of one chunk
    std::uint64_t maxChunkOverheadBytes_ = 2'097'152; // chunk lines and trailer of one body
    // Limits on one connection, and on all of them.
    std::uint64_t maxPipelined_ = 64; // requests without a response; reading pauses at this number
    std::uint64_t requestMs_ = 10'000; // for a header, and for a body besides the time at minBytesPerS_
    std::uint64_t minBytesPerS_ = 16'384; // rate at which a body may arrive for longer than requestMs_
    std::uint64_t idleMs_ = 60'000; // without a request
    std::uint64_t writeMs_ = 10'000; // for sending one response
    std::uint64_t maxConnections_ = 2048;
    std::uint64_t readBudgetBytes_ = 0; // of requests and responses of all connections; 0: from memoryMb_
    std::uint64_t memoryMb_ = 0; // memory of the instance; 0: not known
    std::uint64_t maxDescriptors_ = 0; // of the process; 0: the limit of the system
};

// Parameters of the users' platform; used by a daemon of a cell only.
struct CellDeployment
{
    std::string readyAddress_; // "ip:port" of the readiness check; the daemon serves a cell if this is set
    std::string policyAddress_; // "ip:port" of the policy service; empty if there is none
    std::uint64_t holdMaxMs_ = 10'000; // longest lease on a task
    std::uint64_t stopTimeoutMs_ = 900; // longest time that a runner takes to stop a task
    std::uint64_t gangTimeoutMs_ = 3'000; // how long a member of a gang waits for the others
    std::uint64_t revokeMs_ = 5'000; // how long a revoked API key may still be accepted
    std::uint64_t statusS_ = 120; // how long a job's final state can be queried at least
    std::uint64_t graceMs_ = 6'000; // from SIGTERM to SIGKILL
    std::uint64_t storeWritesPerS_ = 400; // write limit of the store, shared by all daemons
    std::uint64_t storeMinLeaseMs_ = 1'000; // shortest lease that the store grants
    std::uint64_t pastUseHalfLifeS_ = 0; // half-life of the accounts' past use; 0: it does not count
    std::uint64_t pastUseShiftMs_ = 2'000; // largest shift of a step in the order by its account's past use
    double remoteFactor_ = 2; // factor by which tasks run longer away from their data
    double gangRoomShare_ = 0; // share of a service's CPUs that may be reserved for waiting gangs
    std::uint64_t learnedRunTimes_ = 0; // 1: learn run times and speeds from the ends of runs
    double copyShare_ = 0; // share of the processors that copies of stragglers may use; needs learnedRunTimes_
    double processorShare_ = 1; // CPUs available to this instance; may be a fraction
};

struct Settings
{
    std::string name_; // name of the daemon; unique among running daemons
    std::string region_;
    std::string zone_;
    std::string callerAddress_; // "ip:port" of the HTTP interface
    std::string peerAddress_; // "ip:port" that other daemons connect to
    std::string metricsAddress_; // "ip:port"; empty: metrics are not served
    std::string storeAddress_;
    std::string instanceListAddress_;
    std::map<std::string, std::string> peerAddressOverrides_; // daemon name -> "ip:port" to connect to
    std::map<std::string, std::string> workerAddressOverrides_; // listed "ip:port" of a worker -> "ip:port" to call
    std::string logLevel_ = "info"; // debug, info, warning or error
    std::optional<std::uint64_t> seed_; // for jitter and sampling; random if not set
    Limits limits_;
    CellDeployment cell_;
};

} // namespace mimosapier
