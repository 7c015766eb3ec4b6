// Simulated environment for tests of groups: delivers calls, answers and ticks.
#include "group/group_world.h"

#include <algorithm>

namespace mimosapier::test
{

static constexpr Milliseconds Step{10};
static constexpr Milliseconds LinkDelay{1};
static constexpr Milliseconds CallTimeout{1000};

World::World(std::uint64_t seed)
    : random_(seed)
{
    bundle_.version_ = BundleVersion{1};
    bundle_.regions_.push_back({region_, 1});
}

void World::addTeam(const std::string &name, std::uint32_t limit, double share)
{
    Team team;
    team.id_ = TeamId(name);
    team.limit_ = limit;
    team.share_ = share;
    team.homeRegion_ = region_;
    bundle_.teams_[team.id_] = team;
}

WorkClass &World::addClass(const std::string &name, WorkMode mode, Priority priority)
{
    WorkClass &workClass = bundle_.classes_[ClassId(name)];
    workClass.id_ = ClassId(name);
    workClass.mode_ = mode;
    workClass.priority_ = priority;
    return workClass;
}

FakeWorker &World::addWorker(const std::string &name, const ShardId &group, const Resources &capacity)
{
    FakeWorker &worker = workers_[WorkerId(name)];
    worker.omitsKnownTasks_ = workers_.size() % 2 == 0;
    worker.name_ = name;
    worker.capacity_ = capacity;
    workerGroup_[WorkerId(name)] = group;
    worker.observer_ = [this](const TaskId &id, bool starts) {
        ObservedRuns &truth = observedRuns_[id];
        const TeamId team(id.job_.value_.substr(0, id.job_.value_.find(':')));
        truth.starts_ += starts ? 1 : 0;
        truth.running_ += starts ? 1 : -1;
        runningByTeam_[team] += starts ? 1 : -1;
        truth.maxRunning_ = std::max(truth.maxRunning_, truth.running_);
        maxRunningByTeam_[team] = std::max(maxRunningByTeam_[team], runningByTeam_[team]);
    };
    return worker;
}

std::vector<WorkerInfo> World::listed(const ShardId &group) const
{
    std::vector<WorkerInfo> infos;
    for (const auto &[id, worker] : workers_) {
        if (workerGroup_.at(id) == group && !unlisted_.contains(id)) {
            infos.push_back({id, region_, ZoneId("a"), group, "10.0.0.1:1", worker.capacity_, false});
        }
    }
    return infos;
}

Holder &World::gain(const std::string &daemon, const ShardId &group)
{
    const auto entry = std::find_if(directory_.groups_.begin(), directory_.groups_.end(),
                                    [&group](const ShardEntry &shard) { return shard.shard_ == group; });
    ShardEntry held;
    if (entry != directory_.groups_.end()) {
        held = *entry;
        directory_.groups_.erase(entry);
    }
    held.shard_ = group;
    held.region_ = region_;
    held.holder_ = DaemonId(daemon);
    held.epoch_ = Epoch{held.epoch_.value_ + 1};
    held.reachable_ = true;
    directory_.groups_.push_back(held);
    std::sort(directory_.groups_.begin(), directory_.groups_.end(),
              [](const ShardEntry &left, const ShardEntry &right) { return left.shard_ < right.shard_; });
    holders_.push_back(std::make_unique<Holder>());
    Holder &holder = *holders_.back();
    holder.id_ = DaemonId(daemon);
    holder.group_ = group;
    holder.actions_.lastId_ = holders_.size() * 1'000'000'000; // no two holders use the same call ids
    holder.state_ = makeGroup(group, held.epoch_, *holder.allowances_);
    call(holder, [&](Context &context) { openGroupAllowances(*holder.allowances_, group, context); });
    call(holder, [&](Context &context) { setGroupWorkers(*holder.state_, listed(group), context); });
    return holder;
}

Holder *World::holderOf(const ShardId &group)
{
    const ShardEntry *entry = findGroup(directory_, group);
    for (const auto &holder : holders_) {
        if (entry != nullptr && holder->id_ == entry->holder_ && holder->group_ == group) {
            return holder.get();
        }
    }
    return nullptr;
}

JobSpec World::job(const std::string &request, const std::string &team, const std::string &workClass) const
{
    const WorkClass &config = bundle_.classes_.at(ClassId(workClass));
    JobSpec job;
    job.id_ = JobId(team + ":" + request);
    job.requestId_ = request;
    job.team_ = TeamId(team);
    job.class_ = config.id_;
    job.mode_ = config.mode_;
    job.priority_ = config.priority_;
    job.idempotent_ = config.idempotent_;
    job.homeRegion_ = region_;
    job.size_ = {1000, 100, 0, 1};
    return job;
}

TaskOffer World::offer(const JobSpec &job, const ShardId &group, std::uint32_t count)
{
    TaskOffer offer;
    const bool entry = job.mode_ == WorkMode::Interactive && job.idempotent_;
    offer.replyTo_ = {entry ? ReplyComponent::Entry : ReplyComponent::Home, entry ? ShardId() : ShardId("p/hobart/0"),
                      CallId{++lastCall_}};
    offer.group_ = group;
    offer.job_ = job;
    offer.job_.tasks_ = count;
    offer.count_ = count;
    offer.remaining_ = entry ? Milliseconds(2000) : Milliseconds(0);
    return offer;
}

std::uint64_t World::send(Holder &holder, const TaskOffer &offer)
{
    deliver(holder, [this, &holder, offer] {
        call(holder, [&](Context &context) { onTaskOffer(*holder.state_, DaemonId("entry#1"), offer, context); });
    });
    return offer.replyTo_.call_.value_;
}

void World::cancel(Holder &holder, const std::vector<TaskId> &tasks)
{
    deliver(holder, [this, &holder, tasks] {
        call(holder, [&](Context &context) { onTaskCancel(*holder.state_, {holder.group_, tasks}, context); });
    });
}

void World::schedule(Duration delay, std::function<void()> event)
{
    events_.emplace(std::pair(now_ + delay, ++lastEvent_), std::move(event));
}

void World::run(Duration duration)
{
    const TimePoint end = now_ + duration;
    while (now_ < end) {
        const TimePoint next = now_ + Step;
        while (!events_.empty() && events_.begin()->first.first <= next) {
            now_ = std::max(now_, events_.begin()->first.first);
            const std::function<void()> event = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            event();
        }
        now_ = next;
        for (auto &[id, worker] : workers_) {
            worker.advance(now_);
        }
        for (std::size_t i = 0; i < holders_.size(); ++i) {
            Holder &holder = *holders_[i];
            if (!holder.paused_) {
                call(holder, [&](Context &context) {
                    tickAllowances(*holder.allowances_, context);
                    tickGroup(*holder.state_, context);
                });
            }
        }
    }
}

void World::deliver(Holder &holder, std::function<void()> event)
{
    if (holder.paused_) {
        holder.deferred_.push_back(std::move(event));
    } else {
        event();
    }
}

void World::call(Holder &holder, const std::function<void(Context &)> &function)
{
    Context context{now_, holder.id_, region_, bundle_, directory_, holder.actions_, random_};
    function(context);
    std::vector<Action> actions = std::move(holder.actions_.pending_);
    holder.actions_.pending_.clear();
    for (Action &action : actions) {
        performAction(holder, action);
    }
}

void World::performAction(Holder &holder, Action &action)
{
    if (const auto *request = std::get_if<WorkerRequest>(&action)) {
        requests_.push_back(*request);
        schedule(LinkDelay, [this, &holder, copy = *request] { callWorker(holder, copy); });
    } else if (const auto *store = std::get_if<StoreRequest>(&action)) {
        schedule(LinkDelay, [this, &holder, copy = *store] {
            StoreResult result{copy.id_, copy.component_, {}, StoreStatus::Unavailable, {}, {}, {}};
            if (!storeDown_) {
                result = store_.answer(copy, now_);
            }
            deliver(holder, [this, &holder, result] {
                call(holder, [&](Context &context) {
                    onLimitStoreResult(*holder.allowances_, result, context);
                    tickGroup(*holder.state_, context);
                });
            });
        });
    } else if (const auto *peer = std::get_if<PeerSend>(&action)) {
        schedule(LinkDelay,
                 [this, &holder, to = peer->to_, message = peer->message_] { receive(holder, to, message); });
    }
}

void World::answer(Holder &holder, const WorkerResult &result)
{
    deliver(holder, [this, &holder, result] {
        call(holder, [&](Context &context) { onWorkerResult(*holder.state_, result, context); });
    });
}

void World::callWorker(Holder &holder, const WorkerRequest &request)
{
    const WorkerResult unknown{request.id_, request.group_, request.worker_, WorkerStatus::Unknown, {}, false, {}};
    const unsigned percent = random_() % 100;
    unsigned threshold = faults_.refused_;
    if (percent < threshold) {
        WorkerResult refused = unknown;
        refused.status_ = WorkerStatus::Refused;
        answer(holder, refused);
        return;
    }
    if (silent_.contains(request.worker_) || percent < (threshold += faults_.lost_)) {
        schedule(CallTimeout, [this, &holder, unknown] { answer(holder, unknown); });
        return;
    }
    if (percent < (threshold += faults_.delayed_)) {
        // The caller gets Unknown after CallTimeout; the call takes effect before or after that.
        schedule(CallTimeout, [this, &holder, unknown] { answer(holder, unknown); });
        const Milliseconds delay(200 + static_cast<std::int64_t>(random_() % 2000));
        schedule(delay, [this, request] { workers_.at(request.worker_).handle(request, now_); });
        return;
    }
    const bool answerLost = percent < threshold + faults_.answerLost_;
    const auto *poll = std::get_if<WorkerPoll>(&request.op_);
    FakeWorker &worker = workers_.at(request.worker_);
    if (poll == nullptr || request.epoch_ < worker.highestEpoch_) {
        const WorkerResult result = worker.handle(request, now_);
        if (answerLost) {
            schedule(CallTimeout, [this, &holder, unknown] { answer(holder, unknown); });
        } else {
            schedule(LinkDelay, [this, &holder, result] { answer(holder, result); });
        }
        return;
    }
    worker.highestEpoch_ = request.epoch_;
    worker.advance(now_);
    worker.beginPoll(*poll, now_);
    waitPoll(holder, request, now_ + poll->wait_, answerLost);
}

void World::waitPoll(Holder &holder, const WorkerRequest &request, TimePoint until, bool answerLost)
{
    FakeWorker &worker = workers_.at(request.worker_);
    worker.advance(now_);
    if (worker.hasPendingReports() || now_ >= until) {
        if (answerLost || silent_.contains(request.worker_)) {
            const WorkerResult unknown{request.id_, request.group_, request.worker_, WorkerStatus::Unknown, {}, false,
                                       {}};
            schedule(CallTimeout, [this, &holder, unknown] { answer(holder, unknown); });
            return;
        }
        WorkerResult result{
            request.id_, request.group_, request.worker_, WorkerStatus::Ok, worker.highestEpoch_, worker.leaving_, {}};
        if (request.epoch_ < worker.highestEpoch_) {
            result.status_ = WorkerStatus::StaleEpoch;
        } else {
            worker.collectPoll(std::get<WorkerPoll>(request.op_), result);
        }
        schedule(LinkDelay, [this, &holder, result] { answer(holder, result); });
        return;
    }
    schedule(Step, [this, &holder, request, until, answerLost] { waitPoll(holder, request, until, answerLost); });
}

void World::receive(Holder &from, const DaemonId &to, const PeerMessage &message)
{
    if (const auto *sent = std::get_if<TaskAnswer>(&message)) {
        if (sent->replyTo_.component_ != ReplyComponent::Group) {
            collect(from, *sent);
        } else if (Holder *holder = holderOf(sent->replyTo_.shard_)) {
            deliver(*holder, [this, holder, id = from.id_, answer = *sent] {
                call(*holder, [&](Context &context) { onForwardedAnswer(*holder->state_, id, answer, context); });
            });
        }
    } else if (const auto *offered = std::get_if<TaskOffer>(&message)) {
        Holder *holder = holderOf(offered->group_);
        if (holder != nullptr && holder->id_ == to) {
            deliver(*holder, [this, holder, id = from.id_, offer = *offered] {
                call(*holder, [&](Context &context) { onTaskOffer(*holder->state_, id, offer, context); });
            });
        }
    }
}

void World::collect(Holder &from, const TaskAnswer &answer)
{
    TaskAck ack{from.group_, {}};
    for (const TaskResult &result : answer.results_) {
        const TaskId id{answer.job_, result.index_};
        answerLog_.emplace_back(id, result);
        resultsByCall_[answer.replyTo_.call_.value_].push_back(result);
        if (isFinal(result.outcome_) && result.error_ != ErrorKind::NotHolder) {
            ++answers_[id];
            outcomes_.emplace(id, result);
            ack.tasks_.push_back(id);
        }
    }
    if (answer.replyTo_.component_ == ReplyComponent::Home && homeAcknowledges_) {
        schedule(Milliseconds(50), [this, group = from.group_, ack] {
            if (Holder *holder = holderOf(group)) {
                deliver(*holder, [this, holder, ack] {
                    call(*holder, [&](Context &context) { onTaskAck(*holder->state_, ack, context); });
                });
            }
        });
    }
}

const TaskResult *World::outcome(const JobSpec &job, std::uint32_t index) const
{
    const auto found = outcomes_.find({job.id_, index});
    return found == outcomes_.end() ? nullptr : &found->second;
}

int World::overcommits() const
{
    int count = 0;
    for (const auto &[id, worker] : workers_) {
        count += worker.overcommittedStarts_;
    }
    return count;
}

} // namespace mimosapier::test
