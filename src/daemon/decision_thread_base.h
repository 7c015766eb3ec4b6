// The decision thread: feeds events to the node and hands its actions to the other threads. It never waits for
// another thread, so those may wait for it.
#pragma once

#include "core/node/node_func.h"
#include "daemon/ring_base.h"

#include <atomic>
#include <functional>
#include <set>
#include <thread>
#include <variant>

namespace mimosapier
{

class Metrics;

// The connections to a peer must be closed because messages to it were lost.
struct PeerReset
{
    DaemonId daemon_;
};

using PeerCommand = std::variant<PeerSend, PeerSet, PeerReset>;

struct DecisionRingCapacities
{
    std::size_t callers_ = 4096;
    std::size_t peers_ = 4096; // in each direction
    std::size_t store_ = 4096;
    std::size_t workers_ = 16384;
};

// Called by producers when a ring to them stops being empty. Each must only schedule the reading of the ring.
struct DecisionWakeups
{
    std::function<void()> answers_;
    std::function<void()> peers_;
    std::function<void()> store_;
    std::function<void()> workers_;
};

class DecisionThread
{
public:
    // Parameters: settings of the node, sizes of the rings, wake-ups, clock, metrics or nullptr, and a function that
    // is called once when the node has left. All outlive it.
    DecisionThread(NodeSettings settings, DecisionRingCapacities capacities, DecisionWakeups wakeups,
                   const Clock &clock, Metrics *metrics, std::function<void()> onLeaveFinished);
    DecisionThread(const DecisionThread &) = delete;
    DecisionThread &operator=(const DecisionThread &) = delete;
    ~DecisionThread();

    void start();
    // Ends the thread; what is still in the rings is not handled.
    void stop();

    // Events from the other threads.
    [[nodiscard]] bool
    offerCallerRequest(CallerRequest &request); // false, and `request` is kept, when the ring is full
    void postCallerGone(CallerGone event) { callers_.putUnbounded(event); } // bounded by the open requests
    void postPeerEvent(Event event) { peerEvents_.put(std::move(event)); } // waits while the ring is full
    void postResult(Event event) { results_.putUnbounded(std::move(event)); } // bounded by the operations under way
    void requestLeave() { results_.putUnbounded(LeaveRequested{}); }

    [[nodiscard]] bool isNodeReady() const { return ready_; }

    // Actions for the other threads. Each ring has one reader.
    Ring<CallerAnswer> &answerRing() { return answers_; }
    Ring<PeerCommand> &peerCommandRing() { return peerCommands_; }
    Ring<StoreRequest> &storeRequestRing() { return storeRequests_; }
    Ring<WorkerRequest> &workerRequestRing() { return workerRequests_; }

    // Depth of the rings into the decision thread, for metrics.
    [[nodiscard]] std::size_t callerDepth() const { return callers_.depth(); }
    [[nodiscard]] std::size_t peerDepth() const { return peerEvents_.depth(); }
    [[nodiscard]] std::size_t resultDepth() const { return results_.depth(); }

private:
    void run();
    void handle(const Event &event);
    // Handles at most one batch of the ring. Returns true when more is left.
    bool handleBatch(Ring<Event> &ring);
    void perform(Action &action);
    void perform(PeerSend &action);
    void perform(PeerSet &action) { peerCommands_.putUnbounded(std::move(action)); }
    void perform(StoreRequest &action);
    void perform(WorkerRequest &action);
    void perform(CallerAnswer &action) { answers_.putUnbounded(std::move(action)); } // bounded by the open requests
    void perform(LogLine &action);
    void perform(LeaveFinished &action);

    NodeSettings settings_;
    const Clock &clock_;
    Metrics *metrics_; // may be null
    std::function<void()> onLeaveFinished_;
    Wakeup wakeup_;
    Ring<Event> callers_;
    Ring<Event> peerEvents_;
    Ring<Event> results_;
    Ring<CallerAnswer> answers_;
    Ring<PeerCommand> peerCommands_;
    Ring<StoreRequest> storeRequests_;
    Ring<WorkerRequest> workerRequests_;
    Handle<Node> node_;
    Actions actions_;
    std::vector<Event> batch_;
    std::set<DaemonId> queuedResets_; // peers whose reset is in the ring since it was last empty
    std::atomic<bool> ready_{false};
    std::atomic<bool> stopping_{false};
    bool leaveFinished_ = false;
    std::thread thread_;
};

} // namespace mimosapier
