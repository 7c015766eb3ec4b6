// Counters, gauges and histograms of the daemon, served in Prometheus' text form.
#pragma once

#include "core/message/caller_type.h"
#include "core/message/store_type.h"
#include "core/message/worker_type.h"
#include "net/transport_base.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

namespace mimosapier
{

class Metrics
{
public:
    Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;
    ~Metrics();

    // Serves GET /metrics on "ip:port" from a thread of its own. Error: BadSetting when the address cannot be used.
    std::error_code expose(const std::string &address);

    // Sources that are read when the metrics are. Set before expose().
    void addRing(std::string name, std::function<std::size_t()> depth);
    void setTransportCounters(std::function<TransportCounters()> counters);

    // The functions below may be called from any thread.
    void countRequest(std::string_view kind);
    void countAnswer(Outcome outcome, ErrorKind error);
    void countStoreCall(std::string_view operation); // every call, a waiting watch too
    void countStoreResult(StoreStatus status);
    void countWorkerCall(std::string_view operation, WorkerStatus status);
    void observeStep(Duration duration);
    void observeRequest(std::string_view kind, Duration duration); // from arrival to answer
    void countRunnerCall(std::string_view operation, std::string_view status);

    // Text of /metrics.
    [[nodiscard]] std::string render() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace mimosapier
