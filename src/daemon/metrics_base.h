// Counters, gauges and histograms of the daemon, served in the Prometheus text format. Owned by Process and
// CellProcess; updated by all threads.
#pragma once

#include "core/cell/cell_type.h"
#include "core/message/caller_type.h"
#include "core/message/store_type.h"
#include "core/message/worker_type.h"
#include "net/transport_base.h"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <system_error>

namespace mimosapier
{

struct ReadLimits;

class Metrics
{
public:
    Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;
    ~Metrics();

    // Serves GET /metrics on "ip:port" from a separate thread. Error: BadSetting if the address cannot be used.
    std::error_code expose(const std::string &address);

    // Functions that are called at each scrape, on the scrape's thread. Set before expose().
    void addRing(std::string name, std::function<std::size_t()> depth);
    void setTransportCounters(std::function<TransportCounters()> counters);
    void setReadLimits(const ReadLimits &limits); // refusals, and bytes held for requests and responses

    // The functions below may be called from any thread.
    void countRequest(std::string_view kind);
    void countAnswer(Outcome outcome, ErrorKind error);
    void countStoreCall(std::string_view operation); // when the call starts; a watch counts once
    void countStoreResult(StoreStatus status);
    void countWorkerCall(std::string_view operation, WorkerStatus status);
    void observeStep(Duration duration); // time of one step of the decision logic
    void observeRequest(std::string_view kind, Duration duration); // time from arrival to answer
    void countRunnerCall(std::string_view operation, std::string_view status);
    void setEvacuatedZones(std::size_t count); // known to this daemon
    void countCellEvent(std::string_view event, std::uint32_t count);
    // Replaces the accounts of the metrics of past use; the caller bounds their number.
    void setPastUse(std::span<const AccountUseSample> samples);

    // Text that GET /metrics returns.
    [[nodiscard]] std::string render() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace mimosapier
