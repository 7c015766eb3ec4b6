// The decision thread of Process: passes events to the node (src/core/node) and the node's actions to the I/O threads.
// The thread never blocks on another thread, so the others may block on it. It does no I/O.
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

// Command to the transport: close the connections to a peer, because a message to it was dropped.
struct PeerReset
{
    DaemonId daemon_;
};

using PeerCommand = std::variant<PeerSend, PeerSet, PeerReset>;

// Capacities in items.
struct DecisionRingCapacities
{
    std::size_t callers_ = 4096;
    std::size_t peers_ = 4096; // in each direction
    std::size_t store_ = 4096;
    std::size_t workers_ = 16384;
};

// Called on the decision thread when an item is added to an empty ring; answers_ belongs to answerRing(), and so on.
// Each function must only post a task that reads the ring.
struct DecisionRingCallbacks
{
    std::function<void()> answers_;
    std::function<void()> peers_;
    std::function<void()> store_;
    std::function<void()> workers_;
};

class DecisionThread
{
public:
    // `clock` and `metrics` must outlive this object; `metrics` may be nullptr. `onLeaveFinished` runs once, on the
    // decision thread, when the node emits LeaveFinished after requestLeave().
    DecisionThread(NodeSettings settings, DecisionRingCapacities capacities, DecisionRingCallbacks callbacks,
                   const Clock &clock, Metrics *metrics, std::function<void()> onLeaveFinished);
    DecisionThread(const DecisionThread &) = delete;
    DecisionThread &operator=(const DecisionThread &) = delete;
    ~DecisionThread();

    void start();
    // Stops and joins the thread. Items that are still in the rings are not handled. Called by another thread.
    void stop();

    // Events; the functions below may be called from any thread.

    // Returns false and leaves `request` unchanged when the ring is full.
    [[nodiscard]] bool offerCallerRequest(CallerRequest &request);
    void postCallerGone(CallerGone event) { callerEvents_.putUnbounded(event); } // bounded by the open requests
    void postPeerEvent(Event event) { peerEvents_.put(std::move(event)); } // blocks while the ring is full
    void postResult(Event event) { results_.putUnbounded(std::move(event)); } // bounded by the open operations
    void requestLeave() { results_.putUnbounded(LeaveRequested{}); }

    [[nodiscard]] bool isNodeReady() const { return ready_; }

    // Rings of actions. Each is drained by one thread: that of the callers, peers, store or workers.
    Ring<CallerAnswer> &answerRing() { return answers_; }
    Ring<PeerCommand> &peerCommandRing() { return peerCommands_; }
    Ring<StoreRequest> &storeRequestRing() { return storeRequests_; }
    Ring<WorkerRequest> &workerRequestRing() { return workerRequests_; }

    // Depths of the event rings, for metrics; from any thread.
    [[nodiscard]] std::size_t callerDepth() const { return callerEvents_.depth(); }
    [[nodiscard]] std::size_t peerDepth() const { return peerEvents_.depth(); }
    [[nodiscard]] std::size_t resultDepth() const { return results_.depth(); }

private:
    void run();
    void handle(const Event &event);
    // Handles at most BatchSize events of the ring. Returns true when the ring still has events.
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
    Ring<Event> callerEvents_;
    Ring<Event> peerEvents_;
    Ring<Event> results_;
    Ring<CallerAnswer> answers_;
    Ring<PeerCommand> peerCommands_;
    Ring<StoreRequest> storeRequests_;
    Ring<WorkerRequest> workerRequests_;
    Handle<Node> node_;
    Actions actions_;
    std::vector<Event> batch_;
    std::set<DaemonId> queuedResets_; // peers with a PeerReset in peerCommands_ since a PeerSend last fitted in
    std::atomic<bool> ready_{false};
    std::atomic<bool> stopping_{false};
    bool leaveFinished_ = false;
    std::thread thread_;
};

} // namespace mimosapier
