// A world for tests of groups: daemons that hold groups, workers behind links that lose and delay calls, a store, and a
// home that collects outcomes. Time advances in steps; all chance comes from a seed.
#pragma once

#include "core/config/bundle_base.h"
#include "core/group/group_func.h"
#include "core/limit/limit_func.h"
#include "support/fake_store.h"
#include "support/fake_worker.h"

#include <memory>
#include <random>
#include <set>
#include <vector>

namespace mimosapier::test
{

// Chances in percent for each call to a worker.
struct LinkFaults
{
    unsigned refused_ = 0; // no effect, told
    unsigned lost_ = 0; // no effect, not told
    unsigned answerLost_ = 0; // takes effect, not told
    unsigned delayed_ = 0; // told as unknown first, takes effect afterwards
};

// A daemon that holds one group.
struct Holder
{
    DaemonId id_;
    ShardId group_;
    Actions actions_;
    Handle<AllowanceState> allowances_ = makeAllowances();
    Handle<Group> state_;
    bool paused_ = false;
    std::vector<std::function<void()>> deferred_; // deliveries while paused
};

// What really happened to a task.
struct ObservedRuns
{
    int starts_ = 0;
    int running_ = 0;
    int maxRunning_ = 0;
};

struct World
{
    explicit World(std::uint64_t seed);

    TimePoint now_{std::chrono::hours(1)};
    std::mt19937_64 random_;
    Bundle bundle_;
    Directory directory_;
    RegionId region_{"hobart"};
    FakeStore store_;
    std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> events_;
    std::uint64_t lastEvent_ = 0;
    std::map<WorkerId, FakeWorker> workers_;
    std::map<WorkerId, ShardId> workerGroup_;
    std::set<WorkerId> silent_; // calls are lost in both directions
    std::set<WorkerId> unlisted_; // from the instance list
    LinkFaults faults_;
    bool storeDown_ = false;
    std::vector<std::unique_ptr<Holder>> holders_;
    std::map<TaskId, ObservedRuns> observedRuns_;
    std::map<TaskId, TaskResult> outcomes_; // final, as told to the home or entry
    std::map<TaskId, int> answers_; // final answers
    std::vector<std::pair<TaskId, TaskResult>> answerLog_; // all answers in order
    std::map<std::uint64_t, std::vector<TaskResult>> resultsByCall_;
    std::map<TeamId, int> runningByTeam_;
    std::map<TeamId, int> maxRunningByTeam_;
    std::vector<WorkerRequest> requests_; // all calls to workers
    bool homeAcknowledges_ = true; // the home acknowledges journaled results
    std::uint64_t lastCall_ = 0;

    void addTeam(const std::string &name, std::uint32_t limit, double share = 1);
    WorkClass &addClass(const std::string &name, WorkMode mode, Priority priority = Priority::Normal);
    FakeWorker &addWorker(const std::string &name, const ShardId &group, const Resources &capacity);

    // Lets a new daemon take the group over with the next epoch.
    Holder &gain(const std::string &daemon, const ShardId &group);
    Holder *holderOf(const ShardId &group);
    std::vector<WorkerInfo> listed(const ShardId &group) const;

    JobSpec job(const std::string &request, const std::string &team, const std::string &workClass) const;
    TaskOffer offer(const JobSpec &job, const ShardId &group, std::uint32_t count = 1);

    // Sends an offer; returns its call id.
    std::uint64_t send(Holder &holder, const TaskOffer &offer);
    void cancel(Holder &holder, const std::vector<TaskId> &tasks);

    void schedule(Duration delay, std::function<void()> event);
    void run(Duration duration);

    // Runs a function of a group in the daemon's context and carries out the actions.
    void call(Holder &holder, const std::function<void(Context &)> &function);

    const TaskResult *outcome(const JobSpec &job, std::uint32_t index = 0) const;
    int overcommits() const;

private:
    void deliver(Holder &holder, std::function<void()> event);
    void performAction(Holder &holder, Action &action);
    void callWorker(Holder &holder, const WorkerRequest &request);
    void waitPoll(Holder &holder, const WorkerRequest &request, TimePoint until, bool answerLost);
    void answer(Holder &holder, const WorkerResult &result);
    void receive(Holder &from, const DaemonId &to, const PeerMessage &message);
    void collect(Holder &from, const TaskAnswer &answer);
};

} // namespace mimosapier::test
