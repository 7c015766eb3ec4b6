// One to three nodes with a fake store and fake workers in virtual time. A trace states each failure; nothing is drawn
// at random.
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

// A stated failure of the next `matchesLeft_` calls or messages that match.
struct FaultRule
{
    std::string kind_; // "store", "worker" or "peer"
    std::string from_; // daemon; empty: any
    std::string to_; // daemon, worker or prefix of a store key; empty: any
    std::string op_; // name of the operation or message; empty: any
    std::string action_; // see docs/PROOFS.md
    Milliseconds time_{0}; // of a delay
    int matchesLeft_ = 1; // left; -1: no bound
    int matchCount_ = 0;
};

struct ReplayDaemon
{
    std::string name_;
    NodeSettings settings_;
    Handle<Node> node_; // null once killed or left
    Actions actions_;
    bool paused_ = false;
    TimePoint pausedAt_;
    bool hasLeft_ = false; // LeaveFinished was emitted
    bool storeUnreachable_ = false;
    std::size_t refusedStarts_ = 0; // by a worker that is leaving
    std::size_t startsSent_ = 0;
    std::vector<Event> inbox_; // arrived while paused
    std::set<DaemonId> wantedPeers_; // peers
    BundleVersion highestVersion_;
};

struct ReplayWorker
{
    FakeWorker worker_;
    WorkerInfo info_;
    bool listed_ = true;
    bool silent_ = false;
    std::size_t starts_ = 0;
    struct Poll
    {
        WorkerRequest request_;
        std::string daemon_;
        TimePoint waitUntil_;
    };
    std::vector<Poll> polls_;
};

// What really ran, as the workers saw it.
struct ReplayTaskRuns
{
    int starts_ = 0;
    std::multiset<std::string> running_; // workers
    bool idempotent_ = true;
    TeamId team_;
};

struct ReplayWorld
{
    TimePoint start_{std::chrono::seconds(1000)};
    TimePoint now_ = start_;
    TimePoint nextTick_ = start_;
    std::multimap<TimePoint, std::function<void()>> queue_;
    FakeStore store_;
    bool storeDown_ = false;
    bool storeRefuses_ = false; // while down, its answers are certain refusals
    std::map<std::string, std::unique_ptr<ReplayDaemon>> daemons_;
    std::map<std::string, ReplayWorker> workers_;
    std::map<TaskId, ReplayTaskRuns> observedRuns_;
    std::map<TeamId, int> running_;
    std::map<TeamId, int> maxRunning_; // running at once, since the last `reset_most`
    std::vector<FaultRule> faultRules_;
    std::set<std::pair<std::string, std::string>> cutPairs_; // ordered pairs
    std::set<std::pair<std::string, std::string>> connections_;
    std::map<CallId, std::vector<CallerAnswer>> answers_;
    std::uint64_t lastCall_ = 0;
    std::vector<std::string> violations_; // of the guarantees that are checked at all times
    bool logging_ = false;

    void addDaemon(const std::string &name, const std::string &region);
    void addWorker(const std::string &name, const WorkerInfo &info);
    void run(TimePoint until);
    void publishInstances();
    void kill(ReplayDaemon &daemon);
    void pause(ReplayDaemon &daemon);
    void resume(ReplayDaemon &daemon);
    void cut(const std::string &left, const std::string &right);
    void heal(const std::string &left, const std::string &right) { cutPairs_.erase(std::minmax(left, right)); }
    void deliver(const std::string &daemon, Event event);
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
    const FaultRule *match(const std::string &kind, const std::string &from, const std::string &to,
                           const std::string &op);
    ReplayDaemon *findDaemon(const DaemonId &id);
    FaultRule matchedRule_;
};

} // namespace mimosapier::test
