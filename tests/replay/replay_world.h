// Simulated world for traces: one to three nodes, a fake store and fake workers on a simulated clock. The trace states
// each fault, and nothing is random. Single-threaded.
#pragma once

#include "core/node/node_base.h"
#include "support/fake_store.h"
#include "support/fake_worker.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace mimosapier::test
{

// Fault that the trace states for the next `matchesLeft_` matching calls or messages.
struct FaultRule
{
    std::string kind_; // "store", "worker" or "peer"
    std::string from_; // daemon; empty: any
    std::string to_; // daemon, worker or prefix of a store key; empty: any
    std::string op_; // name of the operation or message; empty: any
    std::string action_; // key `do` of the rule; see docs/PROOFS.md
    Milliseconds time_{0}; // length of a delay
    int matchesLeft_ = 1; // -1: unlimited
    int matchCount_ = 0; // calls or messages it was applied to; a trace with an unused rule fails
};

// Daemon with its node.
struct ReplayDaemon
{
    std::string name_;
    NodeSettings settings_;
    Handle<Node> node_; // null after it was killed or has left
    Actions actions_;
    bool paused_ = false; // as a stopped process: events wait in inbox_
    TimePoint pausedAt_;
    bool hasLeft_ = false; // LeaveFinished was emitted
    bool storeUnreachable_ = false; // from this daemon; its calls end as in an outage
    std::size_t refusedStarts_ = 0; // start calls that a leaving worker refused
    std::size_t startsSent_ = 0; // start calls, including lost ones
    std::vector<Event> inbox_; // events that arrived while paused
    std::set<DaemonId> wantedPeers_; // from its latest PeerSet
    BundleVersion highestVersion_; // of the bundle in force
};

// Worker as the instance list and the network show it.
struct ReplayWorker
{
    FakeWorker worker_;
    WorkerInfo info_;
    bool listed_ = true; // in the instance list
    bool silent_ = false; // does not answer calls
    std::size_t starts_ = 0;
    // Poll that waits for a report.
    struct Poll
    {
        WorkerRequest request_;
        std::string daemon_;
        TimePoint waitUntil_;
    };
    std::vector<Poll> polls_;
};

// Runs of one task as the workers saw them, independent of what the scheduler reports.
struct ReplayTaskRuns
{
    int starts_ = 0;
    std::multiset<std::string> running_; // workers that run the task now
    bool idempotent_ = true;
    TeamId team_;
};

struct ReplayWorld
{
    TimePoint start_{std::chrono::seconds(1000)};
    TimePoint now_ = start_;
    TimePoint nextTick_ = start_;
    std::multimap<TimePoint, std::function<void()>> queue_; // scheduled calls by time
    FakeStore store_;
    bool storeDown_ = false;
    bool storeRefuses_ = false; // while down, it answers Unavailable (no effect) instead of Unknown
    std::map<std::string, std::unique_ptr<ReplayDaemon>> daemons_;
    std::map<std::string, ReplayWorker> workers_;
    std::map<TaskId, ReplayTaskRuns> observedRuns_;
    std::map<TeamId, int> running_; // tasks running now
    std::map<TeamId, int> maxRunning_; // highest value of running_ since the latest `reset_most`
    std::vector<FaultRule> faultRules_;
    // Pairs of daemons, each pair in ascending order.
    std::set<std::pair<std::string, std::string>> cutPairs_; // no messages pass between them
    std::set<std::pair<std::string, std::string>> connections_; // connected to each other
    std::map<CallId, std::vector<CallerAnswer>> answers_;
    std::uint64_t lastCall_ = 0;
    std::vector<std::string> violations_; // of the guarantees that are checked throughout the run
    bool logging_ = false; // prints starts, calls, messages and log lines to stderr

    void addDaemon(const std::string &name, const std::string &region);
    void addWorker(const std::string &name, const WorkerInfo &info);
    // Advances the simulated clock to `until`. Stops processing events at the first violation.
    void run(TimePoint until);
    // Sends the instance list to all daemons.
    void publishInstances();
    // Ends the daemon's process. Its connections break at the next tick.
    void kill(ReplayDaemon &daemon);
    // Stops the daemon's process: events are kept for resume(), and its connections break when the peers have heard
    // nothing for the silence limit.
    void pause(ReplayDaemon &daemon);
    void resume(ReplayDaemon &daemon);
    // Drops all messages between two daemons until heal(). Their connection breaks after the silence limit.
    void cut(const std::string &left, const std::string &right);
    void heal(const std::string &left, const std::string &right) { cutPairs_.erase(std::minmax(left, right)); }
    // Passes an event to the daemon's node and executes the resulting actions. Does nothing for a killed daemon.
    void deliver(const std::string &daemon, Event event);
    // Ends all tasks of the worker and makes it silent.
    void killWorker(ReplayWorker &worker);

private:
    void later(Milliseconds delay, std::function<void()> call) { queue_.emplace(now_ + delay, std::move(call)); }
    void carryOut(ReplayDaemon &daemon);
    void send(ReplayDaemon &from, const PeerSend &message);
    void request(ReplayDaemon &from, const StoreRequest &request);
    void request(ReplayDaemon &from, const WorkerRequest &request);
    void callWorker(const std::string &daemon, const WorkerRequest &request, bool answerLost, Milliseconds answerDelay);
    void answerDuePolls();
    void updateConnections();
    void disconnect(const std::string &left, const std::string &right);
    void tick();
    // Returns a copy of the first rule that matches and counts the match, or nullptr. Valid until the next call.
    const FaultRule *match(const std::string &kind, const std::string &from, const std::string &to,
                           const std::string &op);
    ReplayDaemon *findDaemon(const DaemonId &id);
    FaultRule matchedRule_;
};

} // namespace mimosapier::test
