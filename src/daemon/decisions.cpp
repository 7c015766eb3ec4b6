// The loop of the decision thread.
#include "daemon/decisions_base.h"

#include "daemon/log_func.h"
#include "daemon/metrics_base.h"
#include "daemon/worker_client_base.h"

namespace mimosapier
{

// Events of one ring handled in a row, so that a wave of requests does not hold up results and ticks.
static constexpr std::size_t BatchSize = 256;

Decisions::Decisions(NodeSettings settings, DecisionCapacities capacities, DecisionWakeups wakeups, const Clock &clock,
                     Metrics *metrics, std::function<void()> left)
    : settings_(std::move(settings))
    , clock_(clock)
    , metrics_(metrics)
    , left_(std::move(left))
    , callers_(capacities.callers_, [this] { wakeup_.notify(); })
    , peerEvents_(capacities.peers_, [this] { wakeup_.notify(); })
    , results_(capacities.store_ + capacities.workers_, [this] { wakeup_.notify(); })
    , answers_(capacities.callers_, std::move(wakeups.answers_))
    , peerCommands_(capacities.peers_, std::move(wakeups.peers_))
    , storeRequests_(capacities.store_, std::move(wakeups.store_))
    , workerRequests_(capacities.workers_, std::move(wakeups.workers_))
{
}

Decisions::~Decisions()
{
    stop();
}

void Decisions::start()
{
    thread_ = std::thread([this] { run(); });
}

void Decisions::stop()
{
    stopping_ = true;
    peerEvents_.close();
    wakeup_.notify();
    if (thread_.joinable()) {
        thread_.join();
    }
}

bool Decisions::offerCaller(CallerRequest &request)
{
    Event event(std::move(request));
    if (callers_.offer(event)) {
        return true;
    }
    request = std::get<CallerRequest>(std::move(event)); // offer() leaves what it refuses
    return false;
}

void Decisions::run()
{
    node_ = makeNode(settings_);
    startNode(*node_, clock_.now(), actions_);
    TimePoint nextTick = clock_.now();
    bool left = false;
    while (!stopping_) {
        if (clock_.now() >= nextTick) {
            handle(Tick{});
            nextTick = clock_.now() + TickInterval;
        }
        if (!left) {
            wakeup_.waitUntil(nextTick);
        }
        // Results first: they free what the other events ask for.
        left = handleBatch(results_);
        left = handleBatch(peerEvents_) || left;
        left = handleBatch(callers_) || left;
        ready_ = isReady(*node_) && !hasLeft_;
    }
    node_.reset();
}

bool Decisions::handleBatch(Ring<Event> &ring)
{
    batch_.clear();
    const bool left = ring.take(batch_, BatchSize);
    for (const Event &event : batch_) {
        handle(event);
    }
    return left;
}

void Decisions::handle(const Event &event)
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

void Decisions::perform(Action &action)
{
    std::visit([this](auto &alternative) { perform(alternative); }, action);
}

void Decisions::perform(PeerSend &action)
{
    const bool heartbeat = std::holds_alternative<Heartbeat>(action.message_);
    const DaemonId to = action.to_;
    PeerCommand command(std::move(action));
    if (peerCommands_.offer(command)) {
        resets_.clear();
    } else if (!heartbeat && resets_.insert(to).second) {
        // A peer that is up gets every message, so one that misses a message must go down.
        peerCommands_.force(PeerReset{to});
    }
}

void Decisions::perform(StoreRequest &action)
{
    if (!storeRequests_.offer(action)) {
        StoreResult refused;
        refused.id_ = action.id_;
        refused.component_ = action.component_;
        refused.shard_ = action.shard_;
        refused.status_ = StoreStatus::Unavailable;
        result(std::move(refused));
    }
}

void Decisions::perform(WorkerRequest &action)
{
    if (!workerRequests_.offer(action)) {
        result(refusedResult(action));
    }
}

void Decisions::perform(LogLine &action)
{
    writeLog(action.level_, action.text_);
}

void Decisions::perform(LeaveFinished &)
{
    if (!hasLeft_) {
        hasLeft_ = true;
        left_();
    }
}

} // namespace mimosapier
