// Creates the threads of a cell's daemon (clients, platform calls, peers, decisions) and connects them by rings.
#include "daemon/cell_process_base.h"

#include "core/common/json_func.h"
#include "core/control/control_func.h"
#include "daemon/io_thread_base.h"
#include "daemon/log_func.h"
#include "daemon/metrics_base.h"
#include "daemon/process_common_base.h"
#include "daemon/read_limits_func.h"
#include "daemon/ring_base.h"
#include "net/transport_base.h"
#include "platform/client_front_end_base.h"
#include "platform/platform_client_base.h"
#include "platform/platform_codec_func.h"

#include <atomic>
#include <random>

namespace mimosapier
{

static constexpr Milliseconds LeaderTick{10}; // longest delay of starts and holds
static constexpr Milliseconds FollowerTick{25};
static constexpr Milliseconds BatchInterval{2}; // less than any network delay to instances and clients
static constexpr std::size_t BatchSize = 256; // most events of one ring that are handled before the next ring
// Shortest time for which a leaving daemon accepts connections. The ingress needs two readiness checks, one second
// apart, to take a daemon out.
static constexpr Milliseconds MinDrainTime{2'300};
static constexpr Milliseconds AnswerWriteMargin{200}; // for writing the last answers before closing connections
// While the front end stops, an idle connection stays open this long, because a request may be in transit on it.
static constexpr Milliseconds IdleGrace{400};
// Part of the platform's grace period that is reserved for closing connections (half a second) and for stopping the
// threads (half a second, twice).
static constexpr Milliseconds StopMargin{1'500};
// After this time the daemon refuses new connections even with open requests: in a zone with a single daemon the
// ingress sends new ones all the time.
static constexpr Milliseconds MaxDrainTime{3'300};

// Event: start the graceful shutdown.
struct LeaveCell
{
};

using CellEvent = std::variant<ClientRequest, KvReply, RunnerReply, PolicyAnswer, Event, LeaveCell>;
using PlatformCall = std::variant<KvCall, RunnerCall, PolicyQuery>;
using CellPeerCommand = std::variant<PeerSend, PeerSet>;

struct CellProcess::State
{
    explicit State(const Settings &settings);

    ControlSettings controlSettings() const;
    TransportSettings transportSettings() const;
    void run();
    void handle(CellEvent &event);
    bool handleBatch(Ring<CellEvent> &ring);
    void performActions();
    void countActions();
    void addMetricSources();
    CellTime now() const;
    void checkLeave();
    [[nodiscard]] LogLine startedLine() const;
    void stopThreads();

    Settings settings_;
    ReadLimits limits_;
    SystemClock clock_;
    SystemWallClock wallClock_;
    DaemonId self_;
    std::uint64_t seed_;
    Metrics metrics_;
    IoThread clientThread_;
    IoThread callThread_;
    PeerTransport transport_;
    std::thread transportThread_;
    Wakeup wakeup_;
    Ring<CellEvent> clientEvents_;
    Ring<CellEvent> results_;
    Ring<CellEvent> peerEvents_;
    Ring<ClientAnswer> answers_;
    Ring<PlatformCall> platformCalls_;
    Ring<CellPeerCommand> peerCommands_;
    std::unique_ptr<ClientFrontEnd> frontEnd_;
    std::unique_ptr<PlatformClient> platformClient_;
    RefusalReport refusalReport_; // used on clientThread_ only
    std::unique_ptr<Control> control_; // used on decisionThread_ only
    ControlActions actions_;
    std::vector<CellEvent> batch_;
    std::thread decisionThread_;
    std::atomic<bool> ready_{false};
    std::atomic<bool> stopping_{false};
    std::atomic<bool> leaving_{false};
    bool frontEndStopping_ = false; // used on decisionThread_ only
    TimePoint leaveRequestedAt_; // set before leaving_
    ShutdownLatch shutdown_;
};

CellProcess::State::State(const Settings &settings)
    : settings_(settings)
    , limits_(readLimits(settings.limits_))
    , self_(newDaemonId(settings.name_))
    , seed_(settings.seed_ ? *settings.seed_ : std::random_device{}())
    , transport_(
          transportSettings(), [this](Event event) { peerEvents_.put(CellEvent(std::move(event))); }, clock_)
    , clientEvents_(settings.limits_.callerRing_, [this] { wakeup_.notify(); })
    , results_(settings.limits_.workerRing_, [this] { wakeup_.notify(); })
    , peerEvents_(settings.limits_.peerRing_, [this] { wakeup_.notify(); })
    , answers_(settings.limits_.callerRing_,
               [this] {
                   clientThread_.post([this] {
                       drainRing(answers_, [this](const ClientAnswer &answer) { frontEnd_->answer(answer); });
                   });
               })
    , platformCalls_(settings.limits_.workerRing_,
                     [this] {
                         callThread_.post([this] {
                             drainRing(platformCalls_, [this](const PlatformCall &call) {
                                 std::visit([this](const auto &item) { platformClient_->submit(item); }, call);
                             });
                         });
                     })
    , peerCommands_(settings.limits_.peerRing_, [this] {
        transport_.post([this] {
            drainRing(peerCommands_, [this](const CellPeerCommand &command) {
                if (const auto *send = std::get_if<PeerSend>(&command)) {
                    transport_.send(send->to_, send->message_);
                } else {
                    transport_.setPeers(std::get<PeerSet>(command));
                }
            });
        });
    })
{
    ClientFrontEndSettings frontEnd;
    frontEnd.address_ = settings_.callerAddress_;
    frontEnd.readyAddress_ = settings_.cell_.readyAddress_;
    frontEnd.clients_ = limits_.clients_;
    frontEnd.readiness_ = limits_.readiness_;
    frontEnd.maxOpenRequests_ = settings_.limits_.maxOpenRequests_;
    ClientFrontEndCallbacks callbacks;
    callbacks.submit_ = [this](ClientRequest &request) {
        CellEvent event(std::move(request));
        if (clientEvents_.offer(event)) {
            return true;
        }
        request = std::get<ClientRequest>(std::move(event));
        return false;
    };
    callbacks.isReady_ = [this] { return ready_ && !leaving_; };
    frontEnd_ = std::make_unique<ClientFrontEnd>(std::move(frontEnd), clientThread_, std::move(callbacks));
    PlatformSinks sinks;
    sinks.kv_ = [this](KvReply reply) { results_.putUnbounded(CellEvent(std::move(reply))); };
    sinks.runner_ = [this](RunnerReply reply) { results_.putUnbounded(CellEvent(std::move(reply))); };
    sinks.policy_ = [this](PolicyAnswer answer) { results_.putUnbounded(CellEvent(std::move(answer))); };
    platformClient_ = std::make_unique<PlatformClient>(
        PlatformClientSettings{settings_.storeAddress_, settings_.cell_.policyAddress_, limits_.responses_},
        callThread_, std::move(sinks), clock_);
}

ControlSettings CellProcess::State::controlSettings() const
{
    const CellDeployment &cell = settings_.cell_;
    ControlSettings control;
    control.self_ = self_;
    control.peerAddress_ = settings_.peerAddress_;
    control.seed_ = seed_;
    control.leaveTimeout_ = Milliseconds(cell.graceMs_) - StopMargin - AnswerWriteMargin;
    control.cell_.name_ = settings_.name_;
    control.cell_.zone_ = settings_.zone_;
    control.cell_.holdMax_ = Milliseconds(cell.holdMaxMs_);
    control.cell_.stopTimeout_ = Milliseconds(cell.stopTimeoutMs_);
    control.cell_.gangTimeout_ = Milliseconds(cell.gangTimeoutMs_);
    control.cell_.revocationDelay_ = Milliseconds(cell.revokeMs_);
    control.cell_.statusRetention_ = std::chrono::seconds(cell.statusS_);
    control.cell_.remoteFactor_ = cell.remoteFactor_;
    control.cell_.gangRoomShare_ = cell.gangRoomShare_;
    control.cell_.processorShare_ = cell.processorShare_;
    control.cell_.storeWritesPerSecond_ = static_cast<double>(cell.storeWritesPerS_);
    control.cell_.pastUseHalfLife_ = std::chrono::seconds(cell.pastUseHalfLifeS_);
    control.cell_.pastUseShift_ = Milliseconds(cell.pastUseShiftMs_);
    control.cell_.minLease_ = Milliseconds(cell.storeMinLeaseMs_);
    control.cell_.copyShare_ = cell.copyShare_;
    control.cell_.learnedRunTimes_ = cell.learnedRunTimes_ != 0;
    return control;
}

TransportSettings CellProcess::State::transportSettings() const
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

CellTime CellProcess::State::now() const
{
    return {clock_.now(), wallClock_.unixMs()};
}

void CellProcess::State::run()
{
    control_ = makeControl(controlSettings(), {decodeCellConfig, decodeRunnerRecord}, clock_.now());
    bool more = false;
    TimePoint nextTick = clock_.now();
    TimePoint nextBatch = nextTick;
    while (!stopping_) {
        if (!more) {
            wakeup_.waitUntil(nextTick);
        }
        // Handle events that arrive within BatchInterval in one batch, because each wake-up of a thread costs CPU time.
        std::this_thread::sleep_until(nextBatch);
        nextBatch = clock_.now() + BatchInterval;
        // Results first: they free capacity that peer and client events need.
        more = handleBatch(results_);
        more = handleBatch(peerEvents_) || more;
        more = handleBatch(clientEvents_) || more;
        const CellTime time = now();
        finishBatch(*control_, time, actions_);
        metrics_.observeStep(clock_.now() - time.steady_);
        metrics_.setEvacuatedZones(control_->evacuatedZones_.size());
        performActions();
        ready_ = isServing(*control_, time.steady_);
        checkLeave();
        nextTick = time.steady_ + (control_->cell_ ? LeaderTick : FollowerTick);
    }
    control_.reset();
}

bool CellProcess::State::handleBatch(Ring<CellEvent> &ring)
{
    batch_.clear();
    const bool more = ring.take(batch_, BatchSize);
    for (CellEvent &event : batch_) {
        handle(event);
    }
    return more;
}

void CellProcess::State::handle(CellEvent &event)
{
    Control &control = *control_;
    if (auto *request = std::get_if<ClientRequest>(&event)) {
        static constexpr std::array<std::string_view, 3> MethodNames{"submit", "read", "cancel"}; // by ClientMethod
        metrics_.countRequest(MethodNames.at(static_cast<std::size_t>(request->method_)));
        onClientRequest(control, std::move(*request), now(), actions_);
    } else if (const auto *kv = std::get_if<KvReply>(&event)) {
        onKvReply(control, *kv, now(), actions_);
    } else if (const auto *runner = std::get_if<RunnerReply>(&event)) {
        static constexpr std::array<std::string_view, 3> RunnerOpNames{"start", "stop", "hold"}; // by RunnerOp
        metrics_.countRunnerCall(RunnerOpNames.at(static_cast<std::size_t>(runner->op_)),
                                 runnerStatusName(runner->status_));
        onRunnerReply(control, *runner, now(), actions_);
    } else if (const auto *policy = std::get_if<PolicyAnswer>(&event)) {
        onPolicyAnswer(control, *policy, now(), actions_);
    } else if (const auto *peer = std::get_if<Event>(&event)) {
        if (const auto *received = std::get_if<PeerReceived>(peer)) {
            onPeerMessage(control, received->from_, received->message_, now(), actions_);
        } else if (const auto *up = std::get_if<PeerUp>(peer)) {
            onPeerUp(control, up->daemon_, now(), actions_);
        } else if (const auto *down = std::get_if<PeerDown>(peer)) {
            onPeerDown(control, down->daemon_, now(), actions_);
        }
    } else {
        beginLeaving(control, now(), actions_);
    }
}

static constexpr std::array<std::string_view, 4> VerbNames{"submit", "query", "cancel", "count"}; // by CellVerb
static constexpr std::array<std::string_view, 7> KvOpNames{"get",   "range",      "watch",    "commit",
                                                           "grant", "keep-lease", "end-lease"}; // by KvOp

// By CellCounter.
static constexpr std::array<std::string_view, CellCounterCount> CounterNames{
    "runner-crash",  "task-suspected", "task-given-up",    "bad-entry",
    "task-repeated", "straggler",      "runner-suspected", "copy-started"};

void CellProcess::State::countActions()
{
    for (const ClientAnswer &answer : actions_.answers_) {
        const bool done = answer.error_ == ErrorKind::None || answer.error_ == ErrorKind::UnknownJob;
        const Outcome refused = answer.error_ == ErrorKind::OutcomeUnknown ? Outcome::Unknown : Outcome::NotRun;
        metrics_.countAnswer(done ? Outcome::Done : refused, answer.error_);
        metrics_.observeRequest(VerbNames.at(static_cast<std::size_t>(answer.verb_)), answer.latency_);
    }
    for (const KvCall &call : actions_.cell_.kv_) {
        metrics_.countStoreCall(KvOpNames.at(static_cast<std::size_t>(call.op_)));
    }
    for (std::size_t i = 0; i < CellCounterCount; ++i) {
        if (actions_.cell_.counts_.at(i) > 0) {
            metrics_.countCellEvent(CounterNames.at(i), actions_.cell_.counts_.at(i));
        }
    }
    if (actions_.cell_.pastUse_) {
        metrics_.setPastUse(*actions_.cell_.pastUse_);
    }
}

void CellProcess::State::addMetricSources()
{
    metrics_.addRing("callers", [this] { return clientEvents_.depth(); });
    metrics_.addRing("results", [this] { return results_.depth(); });
    metrics_.addRing("peer-events", [this] { return peerEvents_.depth(); });
    metrics_.addRing("answers", [this] { return answers_.depth(); });
    metrics_.addRing("platform-calls", [this] { return platformCalls_.depth(); });
    metrics_.addRing("peer-commands", [this] { return peerCommands_.depth(); });
    metrics_.addRing("open-requests", [this] { return frontEnd_->openRequestCount(); });
    metrics_.addRing("client-connections", [this] { return frontEnd_->connectionCount(); });
    metrics_.setReadLimits(limits_);
    metrics_.setTransportCounters([this] { return transport_.counters(); });
}

// Passes the actions to the other threads. The rings may exceed their capacity here, so that no answer or call is lost.
void CellProcess::State::performActions()
{
    writeStructuredLog(actions_.cell_.log_);
    countActions();
    if (actions_.peerSet_) {
        peerCommands_.putUnbounded(std::move(*actions_.peerSet_));
    }
    for (PeerSend &send : actions_.peerMessages_) {
        peerCommands_.putUnbounded(std::move(send));
    }
    for (KvCall &call : actions_.cell_.kv_) {
        platformCalls_.putUnbounded(std::move(call));
    }
    for (RunnerCall &call : actions_.cell_.runners_) {
        platformCalls_.putUnbounded(std::move(call));
    }
    for (PolicyQuery &query : actions_.queries_) {
        platformCalls_.putUnbounded(std::move(query));
    }
    for (const ClientAnswer &answer : actions_.answers_) {
        answers_.putUnbounded(answer);
    }
    actions_ = {};
}

// Closes the clients' connections once MinDrainTime has passed and leadership is handed over, or at the latest after
// MaxDrainTime or the shutdown limit.
void CellProcess::State::checkLeave()
{
    if (!leaving_ || frontEndStopping_) {
        return;
    }
    const Milliseconds limit = Milliseconds(settings_.cell_.graceMs_) - StopMargin;
    const TimePoint time = clock_.now();
    const bool drained = time >= leaveRequestedAt_ + MinDrainTime && hasLeft(*control_);
    if (drained || time >= leaveRequestedAt_ + std::min(MaxDrainTime, limit)) {
        frontEndStopping_ = true;
        const auto remaining
            = std::max(std::chrono::duration_cast<Milliseconds>(leaveRequestedAt_ + limit - time), Milliseconds(1));
        clientThread_.post([this, remaining] {
            frontEnd_->stop(std::min(remaining, IdleGrace), remaining, [this] { shutdown_.finish(true); });
        });
    }
}

// Log line of the startup. It contains the settings, because each has a default and a setting that the template leaves
// out would go unnoticed otherwise.
LogLine CellProcess::State::startedLine() const
{
    const CellDeployment &cell = settings_.cell_;
    JsonObject line;
    line.text("event", "started").text("daemon", self_.value_).text("zone", settings_.zone_);
    line.real("processor_share", cell.processorShare_).real("remote_factor", cell.remoteFactor_);
    line.real("gang_room_share", cell.gangRoomShare_);
    const auto number
        = [&line](std::string_view name, std::uint64_t value) { line.number(name, static_cast<std::int64_t>(value)); };
    number("hold_max_ms", cell.holdMaxMs_);
    number("stop_timeout_ms", cell.stopTimeoutMs_);
    number("gang_timeout_ms", cell.gangTimeoutMs_);
    number("revoke_ms", cell.revokeMs_);
    number("status_s", cell.statusS_);
    number("grace_ms", cell.graceMs_);
    number("store_writes_per_s", cell.storeWritesPerS_);
    number("store_min_lease_ms", cell.storeMinLeaseMs_);
    number("learned_run_times", cell.learnedRunTimes_);
    number("past_use_half_life_s", cell.pastUseHalfLifeS_);
    number("past_use_shift_ms", cell.pastUseShiftMs_);
    line.real("copy_share", cell.copyShare_);
    number("memory_mb", settings_.limits_.memoryMb_);
    number("max_connections", limits_.clients_.maxConnections_);
    number("read_budget_bytes", limits_.requests_->limit());
    return {LogLevel::Info, line.finish()};
}

void CellProcess::State::stopThreads()
{
    stopping_ = true;
    peerEvents_.close();
    wakeup_.notify();
    if (decisionThread_.joinable()) {
        decisionThread_.join();
    }
    clientThread_.stop();
    callThread_.stop();
    if (transportThread_.joinable()) {
        transport_.stop();
        transportThread_.join();
    }
}

CellProcess::CellProcess(const Settings &settings)
    : state_(std::make_unique<State>(settings))
{
}

CellProcess::~CellProcess()
{
    state_->stopThreads();
}

std::error_code CellProcess::start(std::string &detail)
{
    State &state = *state_;
    detail = "peer_address " + state.settings_.peerAddress_;
    if (const std::error_code error = state.transport_.listen()) {
        return error;
    }
    if (const std::error_code error = state.frontEnd_->listen(detail)) {
        return error;
    }
    detail = "metrics_address " + state.settings_.metricsAddress_;
    state.addMetricSources();
    if (!state.settings_.metricsAddress_.empty()) {
        if (const std::error_code error = state.metrics_.expose(state.settings_.metricsAddress_)) {
            return error;
        }
    }
    detail.clear();
    const LogLine line = state.startedLine();
    writeStructuredLog(std::span(&line, 1));
    state.refusalReport_.start(state.clientThread_, *state.limits_.refusals_);
    state.clientThread_.start();
    state.callThread_.start();
    state.transportThread_ = std::thread([&state] { state.transport_.run(); });
    state.decisionThread_ = std::thread([&state] { state.run(); });
    return {};
}

void CellProcess::requestLeave()
{
    State &state = *state_;
    if (state.leaving_) {
        return;
    }
    state.leaveRequestedAt_ = state.clock_.now();
    state.leaving_ = true;
    state.clientThread_.post([&state] { state.frontEnd_->drain(); });
    const Milliseconds grace(state.settings_.cell_.graceMs_);
    state.clientThread_.postAfter(grace - StopMargin / 2, [&state] { state.shutdown_.finish(false); });
    state.results_.putUnbounded(CellEvent(LeaveCell{}));
}

bool CellProcess::waitForEnd()
{
    return state_->shutdown_.wait();
}

} // namespace mimosapier
