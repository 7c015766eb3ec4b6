// Example of embedding the core library: drives one worker group without a daemon. The program delivers events, carries
// out the actions that the decision logic requests, and prints the start and the answer of one task. It links the core
// library only and uses no sockets, threads or clock. ctest runs it as example_embed_group.
#include "core/common/shard_func.h"
#include "core/config/bundle_base.h"
#include "core/group/group_func.h"

#include <iostream>

using namespace mimosapier;

static Bundle makeBundle()
{
    Bundle bundle;
    bundle.version_ = BundleVersion{1};
    bundle.regions_.push_back({RegionId("north"), 1});
    Team team;
    team.id_ = TeamId("school");
    team.limit_ = 10;
    bundle.teams_.emplace(team.id_, team);
    WorkClass work;
    work.id_ = ClassId("slot-confirmation");
    bundle.classes_.emplace(work.id_, work);
    return bundle;
}

static TaskOffer makeOffer(const ShardId &group)
{
    TaskOffer offer;
    offer.group_ = group;
    offer.job_.id_ = jobId(TeamId("school"), "request-1");
    offer.job_.requestId_ = "request-1";
    offer.job_.team_ = TeamId("school");
    offer.job_.class_ = ClassId("slot-confirmation");
    offer.job_.size_ = {500, 256, 0, 1};
    offer.remaining_ = Milliseconds(1000);
    return offer;
}

namespace
{

// Simulates the worker and the store: answers each request at once; starts and writes always succeed.
struct Environment
{
    Group &group_;
    AllowanceState &allowances_;
    Context &context_;
    std::uint64_t revision_ = 0;
    int starts_ = 0;

    void operator()(const WorkerRequest &request)
    {
        WorkerResult result;
        result.id_ = request.id_;
        result.group_ = request.group_;
        result.worker_ = request.worker_;
        result.status_ = WorkerStatus::Ok;
        result.highestEpoch_ = request.epoch_;
        if (const auto *start = std::get_if<WorkerStart>(&request.op_)) {
            for (const WorkerTask &task : start->tasks_) {
                std::cout << "start " << task.task_.job_.value_ << " on " << request.worker_.value_ << '\n';
                result.tasks_.push_back({task.task_,
                                         task.team_,
                                         task.class_,
                                         task.size_,
                                         {},
                                         Outcome::Done,
                                         ErrorKind::None,
                                         task.idempotent_,
                                         "confirmed"});
                ++starts_;
            }
        }
        if (!std::holds_alternative<WorkerPoll>(request.op_)) {
            onWorkerResult(group_, result, context_);
        }
    }

    void operator()(const StoreRequest &request)
    {
        StoreResult result;
        result.id_ = request.id_;
        result.component_ = request.component_;
        result.status_ = std::holds_alternative<StoreGet>(request.op_) ? StoreStatus::NotFound : StoreStatus::Ok;
        result.revision_ = Revision{++revision_};
        onLimitStoreResult(allowances_, result, context_);
    }

    void operator()(const PeerSend &send) const
    {
        if (const auto *answer = std::get_if<TaskAnswer>(&send.message_)) {
            for (const TaskResult &result : answer->results_) {
                std::cout << "answer " << outcomeName(result.outcome_) << ": " << result.result_ << '\n';
            }
        }
    }

    template <typename Other>
    void operator()(const Other & /*action*/) const
    {
    }
};

} // namespace

int main()
{
    const DaemonId self("example#1");
    const RegionId region("north");
    const ShardId groupId = groupShard(region, "rack-1");
    const Bundle bundle = makeBundle();
    Directory directory;
    directory.groups_.push_back({groupId, region, self, Epoch{1}, true, {}});
    Actions actions;
    std::mt19937_64 random(1);
    TimePoint now{};

    Handle<AllowanceState> allowances = makeAllowances();
    Handle<Group> group = makeGroup(groupId, Epoch{1}, *allowances);
    Context context{now, self, region, bundle, directory, actions, random};
    Environment environment{*group, *allowances, context};
    openGroupAllowances(*allowances, groupId, context);
    const std::vector<WorkerInfo> workers{
        {WorkerId("worker-1"), region, ZoneId("north-1"), groupId, "10.0.0.1:7000", {64'000, 256'000, 0, 8}, false}};
    setGroupWorkers(*group, workers, context);
    onTaskOffer(*group, self, makeOffer(groupId), context);

    constexpr int Ticks = 50; // one second in ticks of 20 ms
    for (int i = 0; i < Ticks; ++i) {
        const std::vector<Action> pending = std::move(actions.pending_);
        actions.pending_.clear();
        for (const Action &action : pending) {
            std::visit(environment, action);
        }
        context.now_ += Milliseconds(20);
        tickAllowances(*allowances, context);
        tickGroup(*group, context);
    }
    return environment.starts_ == 1 ? 0 : 1;
}
