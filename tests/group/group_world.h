// Simulated environment for tests of groups: daemons that hold groups, workers behind links that lose and delay calls,
// a store, and a home that collects outcomes. Time is simulated and advances in steps; the seed determines every run.
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

// Probabilities in percent for each call to a worker. Their sum is at most 100.
struct LinkFaults
{
    unsigned refused_ = 0; // no effect; the caller gets Refused
    unsigned lost_ = 0; // no effect; the caller gets Unknown after a timeout
    unsigned answerLost_ = 0; // takes effect; the caller gets Unknown after a timeout
    unsigned delayed_ = 0; // takes effect late, possibly after the caller has got Unknown
};

// A daemon that holds one group. A paused one gets no ticks, and its deliveries are deferred.
struct Holder
{
    DaemonId id_;
    ShardId group_;
    Actions actions_;
    Handle<AllowanceState> allowances_ = makeAllowances();
    Handle<Group> state_;
    bool paused_ = false;
    std::vector<std::function<void()>> deferred_; // deliveries that arrived while paused
};

// Runs of one task as the workers saw them, independent of what the group reports.
struct ObservedRuns
{
    int starts_ = 0; // since the beginning
    int running_ = 0; // now, on all workers
    int maxRunning_ = 0; // highest value of running_
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
    std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> events_; // by time, then in scheduled order
    std::uint64_t lastEvent_ = 0;
    std::map<WorkerId, FakeWorker> workers_;
    std::map<WorkerId, ShardId> workerGroup_;
    std::set<WorkerId> silent_; // calls are lost in both directions
    std::set<WorkerId> unlisted_; // not in the instance list
    LinkFaults faults_;
    bool storeDown_ = false;
    std::vector<std::unique_ptr<Holder>> holders_;
    std::map<TaskId, ObservedRuns> observedRuns_;
    std::map<TaskId, TaskResult> outcomes_; // first final answer to the home or entry
    std::map<TaskId, int> answers_; // number of final answers
    std::vector<std::pair<TaskId, TaskResult>> answerLog_; // all answers to homes and entries, in order
    std::map<std::uint64_t, std::vector<TaskResult>> resultsByCall_;
    std::map<TeamId, int> runningByTeam_;
    std::map<TeamId, int> maxRunningByTeam_;
    std::vector<WorkerRequest> requests_; // all calls to workers, in order
    bool homeAcknowledges_ = true; // the home acknowledges final results
    std::uint64_t lastCall_ = 0;

    void addTeam(const std::string &name, std::uint32_t limit, double share = 1);
    WorkClass &addClass(const std::string &name, WorkMode mode, Priority priority = Priority::Normal);
    FakeWorker &addWorker(const std::string &name, const ShardId &group, const Resources &capacity);

    // Lets a new daemon take the group over with the next epoch.
    Holder &gain(const std::string &daemon, const ShardId &group);
    Holder *holderOf(const ShardId &group);

    // The instance list for one group.
    std::vector<WorkerInfo> listed(const ShardId &group) const;

    // A job of one task with a size of 1 processor and 100 MB.
    JobSpec job(const std::string &request, const std::string &team, const std::string &workClass) const;
    TaskOffer offer(const JobSpec &job, const ShardId &group, std::uint32_t count = 1);

    // Sends an offer; returns its call id.
    std::uint64_t send(Holder &holder, const TaskOffer &offer);
    void cancel(Holder &holder, const std::vector<TaskId> &tasks);

    void schedule(Duration delay, std::function<void()> event);
    void run(Duration duration);

    // Runs a function of a group in the daemon's context and performs the actions.
    void call(Holder &holder, const std::function<void(Context &)> &function);

    // nullptr while the home or entry has no final outcome.
    const TaskResult *outcome(const JobSpec &job, std::uint32_t index = 0) const;

    // Number of starts that did not fit on their worker.
    int overcommits() const;

private:
    void deliver(Holder &holder, std::function<void()> event);
    void performAction(Holder &holder, Action &action);
    void callWorker(Holder &holder, const WorkerRequest &request);
    void waitPoll(Holder &holder, const WorkerRequest &request, TimePoint until, bool answerLost);
    void answer(Holder &holder, const WorkerResult &result);
    void receive(Holder &from, const DaemonId &to, const PeerMessage &message);

    // The home's side: records an answer and acknowledges it.
    void collect(Holder &from, const TaskAnswer &answer);
};

} // namespace mimosapier::test
