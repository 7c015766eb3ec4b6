// Loop of the decision thread and delivery of the node's actions.
#include "daemon/decision_thread_base.h"

#include "daemon/log_func.h"
#include "daemon/metrics_base.h"
#include "daemon/worker_client_base.h"

namespace mimosapier
{

// Most events of one ring that are handled before the next ring, so that a burst of requests does not delay results and
// ticks.
static constexpr std::size_t BatchSize = 256;

DecisionThread::DecisionThread(NodeSettings settings, DecisionRingCapacities capacities,
                               DecisionRingCallbacks callbacks, const Clock &clock, Metrics *metrics,
                               std::function<void()> onLeaveFinished)
    : settings_(std::move(settings))
    , clock_(clock)
    , metrics_(metrics)
    , onLeaveFinished_(std::move(onLeaveFinished))
    , callerEvents_(capacities.callers_, [this] { wakeup_.notify(); })
    , peerEvents_(capacities.peers_, [this] { wakeup_.notify(); })
    , results_(capacities.store_ + capacities.workers_, [this] { wakeup_.notify(); })
    , answers_(capacities.callers_, std::move(callbacks.answers_))
    , peerCommands_(capacities.peers_, std::move(callbacks.peers_))
    , storeRequests_(capacities.store_, std::move(callbacks.store_))
    , workerRequests_(capacities.workers_, std::move(callbacks.workers_))
{
}

DecisionThread::~DecisionThread()
{
    stop();
}

void DecisionThread::start()
{
    thread_ = std::thread([this] { run(); });
}

void DecisionThread::stop()
{
    stopping_ = true;
    peerEvents_.close();
    wakeup_.notify();
    if (thread_.joinable()) {
        thread_.join();
    }
}

bool DecisionThread::offerCallerRequest(CallerRequest &request)
{
    Event event(std::move(request));
    if (callerEvents_.offer(event)) {
        return true;
    }
    request = std::get<CallerRequest>(std::move(event)); // offer() leaves a refused item unchanged
    return false;
}

void DecisionThread::run()
{
    node_ = makeNode(settings_);
    startNode(*node_, clock_.now(), actions_);
    TimePoint nextTick = clock_.now();
    bool more = false;
    while (!stopping_) {
        if (clock_.now() >= nextTick) {
            handle(Tick{});
            nextTick = clock_.now() + TickInterval;
        }
        if (!more) {
            wakeup_.waitUntil(nextTick);
        }
        // Results first: they free capacity that peer and caller events need.
        more = handleBatch(results_);
        more = handleBatch(peerEvents_) || more;
        more = handleBatch(callerEvents_) || more;
        ready_ = isReady(*node_) && !leaveFinished_;
    }
    node_.reset();
}

bool DecisionThread::handleBatch(Ring<Event> &ring)
{
    batch_.clear();
    const bool more = ring.take(batch_, BatchSize);
    for (const Event &event : batch_) {
        handle(event);
    }
    return more;
}

void DecisionThread::handle(const Event &event)
{
    const TimePoint begin = clock_.now();
    step(*node_, event, begin, actions_);
    if (metrics_ != nullptr) {
        metrics_->observeStep(clock_.now() - begin);
    }
    std::vector<Action> list;
    list.swap(actions_.pending_);
    for (Action &action : list) {
        perform(action);
    }
}

void DecisionThread::perform(Action &action)
{
    std::visit([this](auto &alternative) { perform(alternative); }, action);
}

void DecisionThread::perform(PeerSend &action)
{
    const bool heartbeat = std::holds_alternative<Heartbeat>(action.message_);
    const DaemonId to = action.to_;
    PeerCommand command(std::move(action));
    if (peerCommands_.offer(command)) {
        queuedResets_.clear();
    } else if (!heartbeat && queuedResets_.insert(to).second) {
        // The node relies on every message reaching a peer that is up, so a peer that missed one must go down.
        // Heartbeats are exempt, as they repeat.
        peerCommands_.putUnbounded(PeerReset{to});
    }
}

void DecisionThread::perform(StoreRequest &action)
{
    if (!storeRequests_.offer(action)) {
        StoreResult refused;
        refused.id_ = action.id_;
        refused.component_ = action.component_;
        refused.shard_ = action.shard_;
        refused.status_ = StoreStatus::Unavailable;
        postResult(std::move(refused));
    }
}

void DecisionThread::perform(WorkerRequest &action)
{
    if (!workerRequests_.offer(action)) {
        postResult(refusedResult(action));
    }
}

void DecisionThread::perform(LogLine &action)
{
    writeLog(action.level_, action.text_);
}

void DecisionThread::perform(LeaveFinished &)
{
    if (!leaveFinished_) {
        leaveFinished_ = true;
        onLeaveFinished_();
    }
}

} // namespace mimosapier
