// Metrics with prometheus-cpp.
#include "daemon/metrics_base.h"

#include "daemon/log_func.h"
#include "daemon/read_limits_func.h"

#include <prometheus/collectable.h>
#include <prometheus/counter.h>
#include <prometheus/exposer.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <exception>
#include <mutex>
#include <utility>
#include <vector>

namespace mimosapier
{

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

// Metric labels, indexed by StoreStatus and WorkerStatus.
static constexpr std::array<std::string_view, 6> StoreStatusNames{"ok",        "unchanged",   "conflict",
                                                                  "not-found", "unavailable", "unknown"};
static constexpr std::array<std::string_view, 4> WorkerStatusNames{"ok", "stale-epoch", "refused", "unknown"};

static ClientMetric sample(prometheus::MetricType type, double value, std::vector<ClientMetric::Label> labels)
{
    ClientMetric metric;
    metric.label = std::move(labels);
    if (type == MetricType::Counter) {
        metric.counter.value = value;
    } else {
        metric.gauge.value = value;
    }
    return metric;
}

namespace
{

// Reads ring depths, transport counters and dropped log lines at each scrape.
class ScrapeCollector final : public prometheus::Collectable
{
public:
    [[nodiscard]] std::vector<MetricFamily> Collect() const override
    {
        std::vector<MetricFamily> families;
        MetricFamily rings{"mimosapier_ring_depth", "Items waiting in a ring.", MetricType::Gauge, {}};
        for (const auto &[name, depth] : rings_) {
            rings.metric.push_back(sample(MetricType::Gauge, static_cast<double>(depth()), {{"ring", name}}));
        }
        families.push_back(std::move(rings));
        if (transport_) {
            collectTransport(transport_(), families);
        }
        collectPastUse(families);
        if (refusals_) {
            collectReadLimits(families);
        }
        const LogDrops drops = droppedLogLines();
        MetricFamily &dropped = families.emplace_back(MetricFamily{
            "mimosapier_log_lines_dropped_total", "Structured log lines dropped, by rate.", MetricType::Counter, {}});
        dropped.metric.push_back(sample(MetricType::Counter, static_cast<double>(drops.rare_), {{"rate", "rare"}}));
        dropped.metric.push_back(
            sample(MetricType::Counter, static_cast<double>(drops.frequent_), {{"rate", "frequent"}}));
        return families;
    }

    void setPastUse(std::vector<AccountUseSample> samples)
    {
        const std::lock_guard lock(pastUseMutex_);
        pastUse_ = std::move(samples);
    }

    std::vector<std::pair<std::string, std::function<std::size_t()>>> rings_;
    std::function<TransportCounters()> transport_;
    std::shared_ptr<HttpRefusalCounters> refusals_;
    std::shared_ptr<ReadBudget> requests_;
    std::shared_ptr<ReadBudget> responses_;

private:
    void collectPastUse(std::vector<MetricFamily> &families) const
    {
        MetricFamily use{
            "mimosapier_past_use_core_seconds", "Decayed use by account, at the leader.", MetricType::Gauge, {}};
        MetricFamily factor{
            "mimosapier_past_use_factor", "Fair-share factor by account, at the leader.", MetricType::Gauge, {}};
        const std::lock_guard lock(pastUseMutex_);
        for (const AccountUseSample &account : pastUse_) {
            use.metric.push_back(sample(MetricType::Gauge, account.coreSeconds_, {{"account", account.account_}}));
            factor.metric.push_back(sample(MetricType::Gauge, account.factor_, {{"account", account.account_}}));
        }
        if (!pastUse_.empty()) {
            families.push_back(std::move(use));
            families.push_back(std::move(factor));
        }
    }

    void collectReadLimits(std::vector<MetricFamily> &families) const
    {
        MetricFamily refusals{"mimosapier_client_refusals_total",
                              "Requests refused and connections closed for a limit, by limit.",
                              MetricType::Counter,
                              {}};
        for (std::size_t i = 0; i < HttpRefusalCount; ++i) {
            const auto kind = static_cast<HttpRefusal>(i);
            refusals.metric.push_back(sample(MetricType::Counter, static_cast<double>(refusals_->count(kind)),
                                             {{"limit", std::string(httpRefusalName(kind))}}));
        }
        families.push_back(std::move(refusals));
        MetricFamily held{"mimosapier_read_budget_bytes", "Bytes held of the read budget.", MetricType::Gauge, {}};
        held.metric.push_back(
            sample(MetricType::Gauge, static_cast<double>(requests_->heldBytes()), {{"budget", "requests"}}));
        held.metric.push_back(
            sample(MetricType::Gauge, static_cast<double>(responses_->heldBytes()), {{"budget", "responses"}}));
        families.push_back(std::move(held));
    }

    static void collectTransport(const TransportCounters &counters, std::vector<MetricFamily> &families)
    {
        const auto add = [&families](std::string name, std::string help) -> MetricFamily & {
            return families.emplace_back(MetricFamily{std::move(name), std::move(help), MetricType::Counter, {}});
        };
        const auto put = [](MetricFamily &family, std::uint64_t value, std::vector<ClientMetric::Label> labels) {
            family.metric.push_back(sample(MetricType::Counter, static_cast<double>(value), std::move(labels)));
        };
        MetricFamily &bytes = add("mimosapier_peer_bytes_total", "Bytes exchanged with daemons of a region.");
        for (const auto &[region, amount] : counters.bytesByRegion_) {
            put(bytes, amount.received_, {{"region", region.value_}, {"direction", "received"}});
            put(bytes, amount.sent_, {{"region", region.value_}, {"direction", "sent"}});
        }
        MetricFamily &closed = add("mimosapier_peer_connections_closed_total", "Closed peer connections by cause.");
        for (std::size_t i = 0; i < counters.closedByCause_.size(); ++i) {
            put(closed, counters.closedByCause_.at(i),
                {{"cause", std::string(closeCauseName(static_cast<CloseCause>(i)))}});
        }
        put(add("mimosapier_peer_connections_total", "Established peer connections."), counters.connectionsEstablished_,
            {});
        MetricFamily &messages = add("mimosapier_peer_messages_total", "Messages exchanged with other daemons.");
        put(messages, counters.messagesReceived_, {{"kind", "received"}});
        put(messages, counters.messagesSent_, {{"kind", "sent"}});
        put(messages, counters.messagesDropped_, {{"kind", "dropped"}});
        put(messages, counters.messagesResent_, {{"kind", "repeated"}});
    }

    mutable std::mutex pastUseMutex_; // of pastUse_, which the decision thread replaces
    std::vector<AccountUseSample> pastUse_;
};

} // namespace

using CounterFamily = prometheus::Family<prometheus::Counter>;

struct Metrics::State
{
    std::shared_ptr<prometheus::Registry> registry_ = std::make_shared<prometheus::Registry>();
    std::shared_ptr<ScrapeCollector> scrapeCollector_ = std::make_shared<ScrapeCollector>();
    std::unique_ptr<prometheus::Exposer> exposer_;
    CounterFamily &requests_ = counter("mimosapier_requests_total", "Requests of callers by kind.");
    CounterFamily &answers_ = counter("mimosapier_answers_total", "Answers to callers by outcome and error.");
    CounterFamily &storeCalls_ = counter("mimosapier_store_calls_total", "Calls of the store; a watch counts as one.");
    CounterFamily &storeResults_ = counter("mimosapier_store_results_total", "Results of store calls by status.");
    CounterFamily &workerCalls_ = counter("mimosapier_worker_calls_total", "Calls of workers by kind and status.");
    CounterFamily &runnerCalls_ = counter("mimosapier_runner_calls_total", "Calls of runners by kind and status.");
    CounterFamily &cellEvents_ = counter("mimosapier_cell_events_total", "Rare events of the cell's control logic.");
    prometheus::Gauge &evacuatedZones_ = prometheus::BuildGauge()
                                             .Name("mimosapier_evacuated_zones")
                                             .Help("Evacuated availability zones that the daemon knows of.")
                                             .Register(*registry_)
                                             .Add({});
    prometheus::Family<prometheus::Histogram> &latencies_ = prometheus::BuildHistogram()
                                                                .Name("mimosapier_request_seconds")
                                                                .Help("Time from a request's arrival to its answer.")
                                                                .Register(*registry_);
    prometheus::Histogram &steps_
        = prometheus::BuildHistogram()
              .Name("mimosapier_step_seconds")
              .Help("Duration of one step of the decision logic.")
              .Register(*registry_)
              .Add({}, prometheus::Histogram::BucketBoundaries{1e-5, 1e-4, 1e-3, 1e-2, 0.1, 1});

private:
    CounterFamily &counter(const char *name, const char *help)
    {
        return prometheus::BuildCounter().Name(name).Help(help).Register(*registry_);
    }
};

Metrics::Metrics()
    : state_(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

std::error_code Metrics::expose(const std::string &address)
{
    try {
        state_->exposer_ = std::make_unique<prometheus::Exposer>(address, 1);
    } catch (const std::exception &) {
        return ErrorKind::BadSetting;
    }
    state_->exposer_->RegisterCollectable(state_->registry_);
    state_->exposer_->RegisterCollectable(state_->scrapeCollector_);
    return {};
}

void Metrics::addRing(std::string name, std::function<std::size_t()> depth)
{
    state_->scrapeCollector_->rings_.emplace_back(std::move(name), std::move(depth));
}

void Metrics::setTransportCounters(std::function<TransportCounters()> counters)
{
    state_->scrapeCollector_->transport_ = std::move(counters);
}

void Metrics::setReadLimits(const ReadLimits &limits)
{
    state_->scrapeCollector_->refusals_ = limits.refusals_;
    state_->scrapeCollector_->requests_ = limits.requests_;
    state_->scrapeCollector_->responses_ = limits.responses_;
}

void Metrics::countRequest(std::string_view kind)
{
    state_->requests_.Add({{"kind", std::string(kind)}}).Increment();
}

void Metrics::countAnswer(Outcome outcome, ErrorKind error)
{
    state_->answers_.Add({{"outcome", std::string(outcomeName(outcome))}, {"error", std::string(errorName(error))}})
        .Increment();
}

void Metrics::countStoreCall(std::string_view operation)
{
    state_->storeCalls_.Add({{"operation", std::string(operation)}}).Increment();
}

void Metrics::countStoreResult(StoreStatus status)
{
    state_->storeResults_.Add({{"status", std::string(StoreStatusNames.at(static_cast<std::size_t>(status)))}})
        .Increment();
}

void Metrics::countWorkerCall(std::string_view operation, WorkerStatus status)
{
    state_->workerCalls_
        .Add({{"operation", std::string(operation)},
              {"status", std::string(WorkerStatusNames.at(static_cast<std::size_t>(status)))}})
        .Increment();
}

void Metrics::observeRequest(std::string_view kind, Duration duration)
{
    static const prometheus::Histogram::BucketBoundaries bounds{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5};
    state_->latencies_.Add({{"kind", std::string(kind)}}, bounds)
        .Observe(std::chrono::duration<double>(duration).count());
}

void Metrics::countRunnerCall(std::string_view operation, std::string_view status)
{
    state_->runnerCalls_.Add({{"operation", std::string(operation)}, {"status", std::string(status)}}).Increment();
}

void Metrics::countCellEvent(std::string_view event, std::uint32_t count)
{
    state_->cellEvents_.Add({{"event", std::string(event)}}).Increment(count);
}

void Metrics::setEvacuatedZones(std::size_t count)
{
    state_->evacuatedZones_.Set(static_cast<double>(count));
}

void Metrics::setPastUse(std::span<const AccountUseSample> samples)
{
    state_->scrapeCollector_->setPastUse({samples.begin(), samples.end()});
}

void Metrics::observeStep(Duration duration)
{
    state_->steps_.Observe(std::chrono::duration<double>(duration).count());
}

std::string Metrics::render() const
{
    std::vector<MetricFamily> families = state_->registry_->Collect();
    for (MetricFamily &family : state_->scrapeCollector_->Collect()) {
        families.push_back(std::move(family));
    }
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace mimosapier
