// Creates the threads of the daemon and connects them by rings.
#include "daemon/process_base.h"

#include "daemon/caller_front_end_base.h"
#include "daemon/decision_thread_base.h"
#include "daemon/instance_poller_base.h"
#include "daemon/io_thread_base.h"
#include "daemon/log_func.h"
#include "daemon/metrics_base.h"
#include "daemon/process_common_base.h"
#include "daemon/read_limits_func.h"
#include "daemon/store_client_base.h"
#include "daemon/worker_client_base.h"
#include "net/transport_base.h"

#include <optional>
#include <random>

namespace mimosapier
{

static constexpr Milliseconds InstancePollInterval{2000};
static constexpr Milliseconds StopMargin{1000}; // part of the shutdown limit that is reserved for closing connections

struct Process::State
{
    explicit State(const Settings &settings);

    [[nodiscard]] NodeSettings nodeSettings() const;
    [[nodiscard]] DecisionRingCapacities capacities() const;
    DecisionRingCallbacks ringCallbacks();
    CallerFrontEndCallbacks callerCallbacks();
    TransportSettings transportSettings() const;
    void addMetricSources();
    void sendToPeer(PeerCommand command);
    void onPeerEvent(Event event);
    void onLeaveFinished();
    void stopFrontEnd();
    void answerOpenRequestsUnknown();
    void stopThreads();

    Settings settings_;
    ReadLimits limits_;
    SystemClock clock_;
    DaemonId self_;
    std::uint64_t seed_;
    Metrics metrics_;
    IoThread callerThread_;
    IoThread storeThread_;
    IoThread workerThread_;
    DecisionThread decisionThread_;
    PeerTransport transport_;
    std::thread transportThread_;
    RefusalReport refusalReport_; // used on callerThread_ only
    std::optional<CallerFrontEnd> frontEnd_;
    std::optional<StoreClient> storeClient_;
    std::optional<WorkerClient> workerClient_;
    std::optional<InstancePoller> instancePoller_; // runs on storeThread_
    std::atomic<bool> leaving_{false};
    TimePoint drainUntil_; // new connections are accepted until this time
    TimePoint shutdownDeadline_;
    ShutdownLatch shutdown_;
};

Process::State::State(const Settings &settings)
    : settings_(settings)
    , limits_(readLimits(settings.limits_))
    , self_(newDaemonId(settings.name_))
    , seed_(settings.seed_ ? *settings.seed_ : std::random_device{}())
    , decisionThread_(nodeSettings(), capacities(), ringCallbacks(), clock_, &metrics_, [this] { onLeaveFinished(); })
    , transport_(
          transportSettings(), [this](Event event) { onPeerEvent(std::move(event)); }, clock_)
{
    frontEnd_.emplace(
        CallerFrontEndSettings{settings_.callerAddress_, settings_.limits_.maxOpenRequests_, limits_.clients_},
        callerThread_, callerCallbacks(), &metrics_);
    StoreClientSettings store;
    store.address_ = settings_.storeAddress_;
    store.maxOpenOperations_ = settings_.limits_.storeRing_;
    storeClient_.emplace(
        store, storeThread_, [this](StoreResult result) { decisionThread_.postResult(std::move(result)); }, &metrics_);
    WorkerClientSettings workers;
    workers.addressOverrides_ = settings_.workerAddressOverrides_;
    workers.maxOpenOperations_ = settings_.limits_.workerRing_;
    workerClient_.emplace(
        workers, workerThread_, [this](WorkerResult result) { decisionThread_.postResult(std::move(result)); },
        &metrics_);
    instancePoller_.emplace(settings_.instanceListAddress_, InstancePollInterval, storeThread_,
                            [this](InstanceSnapshot snapshot) { decisionThread_.postResult(std::move(snapshot)); });
    addMetricSources();
}

NodeSettings Process::State::nodeSettings() const
{
    NodeSettings node;
    node.member_.self_ = self_;
    node.member_.region_ = RegionId(settings_.region_);
    node.member_.zone_ = ZoneId(settings_.zone_);
    node.member_.peerAddress_ = settings_.peerAddress_;
    node.seed_ = seed_;
    return node;
}

DecisionRingCapacities Process::State::capacities() const
{
    const Limits &limits = settings_.limits_;
    return {limits.callerRing_, limits.peerRing_, limits.storeRing_, limits.workerRing_};
}

TransportSettings Process::State::transportSettings() const
{
    TransportSettings transport;
    transport.self_ = self_;
    transport.region_ = RegionId(settings_.region_);
    transport.listenAddress_ = settings_.peerAddress_;
    transport.addressOverrides_ = settings_.peerAddressOverrides_;
    transport.seed_ = seed_;
    transport.maxBufferedBytes_ = limits_.peerBytes_;
    return transport;
}

DecisionRingCallbacks Process::State::ringCallbacks()
{
    return {.answers_ =
                [this] {
                    callerThread_.post([this] {
                        drainRing(decisionThread_.answerRing(),
                                  [this](const CallerAnswer &answer) { frontEnd_->answer(answer); });
                    });
                },
            .peers_ =
                [this] {
                    transport_.post([this] {
                        drainRing(decisionThread_.peerCommandRing(),
                                  [this](PeerCommand command) { sendToPeer(std::move(command)); });
                    });
                },
            .store_ =
                [this] {
                    storeThread_.post([this] {
                        drainRing(decisionThread_.storeRequestRing(),
                                  [this](StoreRequest request) { storeClient_->submit(std::move(request)); });
                    });
                },
            .workers_ =
                [this] {
                    workerThread_.post([this] {
                        drainRing(decisionThread_.workerRequestRing(),
                                  [this](WorkerRequest request) { workerClient_->submit(std::move(request)); });
                    });
                }};
}

CallerFrontEndCallbacks Process::State::callerCallbacks()
{
    return {.submit_ = [this](CallerRequest &request) { return decisionThread_.offerCallerRequest(request); },
            .onCallerGone_ = [this](CallerGone event) { decisionThread_.postCallerGone(event); },
            .isReady_ = [this] { return decisionThread_.isNodeReady() && !leaving_; }};
}

void Process::State::addMetricSources()
{
    metrics_.addRing("callers", [this] { return decisionThread_.callerDepth(); });
    metrics_.addRing("peer-events", [this] { return decisionThread_.peerDepth(); });
    metrics_.addRing("results", [this] { return decisionThread_.resultDepth(); });
    metrics_.addRing("answers", [this] { return decisionThread_.answerRing().depth(); });
    metrics_.addRing("peer-commands", [this] { return decisionThread_.peerCommandRing().depth(); });
    metrics_.addRing("store", [this] { return decisionThread_.storeRequestRing().depth(); });
    metrics_.addRing("workers", [this] { return decisionThread_.workerRequestRing().depth(); });
    metrics_.addRing("open-requests", [this] { return frontEnd_->openRequestCount(); });
    metrics_.setReadLimits(limits_);
    metrics_.setTransportCounters([this] { return transport_.counters(); });
}

void Process::State::sendToPeer(PeerCommand command)
{
    if (const auto *send = std::get_if<PeerSend>(&command)) {
        transport_.send(send->to_, send->message_);
    } else if (const auto *set = std::get_if<PeerSet>(&command)) {
        transport_.setPeers(*set);
    } else {
        transport_.reset(std::get<PeerReset>(command).daemon_);
    }
}

void Process::State::onPeerEvent(Event event)
{
    if (const auto *up = std::get_if<PeerUp>(&event)) {
        writeLog(LogLevel::Info, "[peer] Connected to " + up->daemon_.value_ + ".");
    } else if (const auto *down = std::get_if<PeerDown>(&event)) {
        writeLog(LogLevel::Warning, "[peer] Lost all connections to " + down->daemon_.value_ + ".");
    }
    decisionThread_.postPeerEvent(std::move(event));
}

void Process::State::onLeaveFinished()
{
    writeLog(LogLevel::Info, "[daemon] Handover finished; answering open requests.");
    const auto remaining = std::chrono::duration_cast<Milliseconds>(drainUntil_ - clock_.now());
    callerThread_.postAfter(std::max(remaining, Milliseconds(0)), [this] { stopFrontEnd(); });
}

void Process::State::stopFrontEnd()
{
    // The decision thread keeps running, because it still has to answer open requests.
    const auto remaining = std::chrono::duration_cast<Milliseconds>(shutdownDeadline_ - clock_.now());
    frontEnd_->stop(std::max(remaining, Milliseconds(0)), [this] { shutdown_.finish(true); });
}

void Process::State::answerOpenRequestsUnknown()
{
    writeLog(LogLevel::Warning, "[daemon] Shutdown limit is near; answering open requests with outcome unknown.");
    shutdown_.markLimitReached();
    frontEnd_->answerAllUnknown();
    stopFrontEnd();
}

void Process::State::stopThreads()
{
    decisionThread_.stop();
    callerThread_.stop();
    storeThread_.stop();
    workerThread_.stop();
    if (transportThread_.joinable()) {
        transport_.stop();
        transportThread_.join();
    }
}

Process::Process(const Settings &settings)
    : state_(std::make_unique<State>(settings))
{
}

Process::~Process()
{
    state_->stopThreads();
}

std::error_code Process::start(std::string &detail)
{
    State &state = *state_;
    detail = "peer_address " + state.settings_.peerAddress_;
    if (const std::error_code error = state.transport_.listen()) {
        return error;
    }
    detail = "caller_address " + state.settings_.callerAddress_;
    if (const std::error_code error = state.frontEnd_->listen()) {
        return error;
    }
    detail = "metrics_address " + state.settings_.metricsAddress_;
    if (!state.settings_.metricsAddress_.empty()) {
        if (const std::error_code error = state.metrics_.expose(state.settings_.metricsAddress_)) {
            return error;
        }
    }
    detail.clear();
    writeLog(LogLevel::Info,
             "[daemon] Started as " + state.self_.value_ + "; serving callers on " + callerAddress() + ".");
    state.refusalReport_.start(state.callerThread_, *state.limits_.refusals_);
    state.callerThread_.start();
    state.storeThread_.start();
    state.workerThread_.start();
    state.transportThread_ = std::thread([&state] { state.transport_.run(); });
    state.decisionThread_.start();
    state.storeThread_.post([&state] { state.instancePoller_->start(); });
    return {};
}

void Process::requestLeave()
{
    State &state = *state_;
    if (state.leaving_.exchange(true)) {
        return;
    }
    writeLog(LogLevel::Info, "[daemon] Graceful shutdown started.");
    const Milliseconds limit{state.settings_.limits_.shutdownMs_};
    state.drainUntil_ = state.clock_.now() + Milliseconds(state.settings_.limits_.drainMs_);
    state.shutdownDeadline_ = state.clock_.now() + limit;
    state.callerThread_.post([&state] { state.frontEnd_->drain(); });
    state.callerThread_.postAfter(std::max(limit - StopMargin, Milliseconds(0)),
                                  [&state] { state.answerOpenRequestsUnknown(); });
    state.callerThread_.postAfter(limit, [&state] { state.shutdown_.finish(false); });
    state.decisionThread_.requestLeave();
}

bool Process::waitForEnd()
{
    return state_->shutdown_.wait();
}

std::string Process::callerAddress() const
{
    return state_->frontEnd_->address();
}

} // namespace mimosapier
