// Simulated partition with a store, groups and daemons that hold it one after the other, on a simulated clock. Each
// step delivers what has arrived, ticks the home and carries out its actions.
#pragma once

#include "core/config/bundle_base.h"
#include "core/home/home_func.h"
#include "home/fake_group.h"
#include "support/faulty_store.h"

#include <memory>

namespace mimosapier::test
{

// A daemon that holds or held the partition. While paused it neither receives nor acts.
struct HomeDaemon
{
    DaemonId id_;
    Handle<Home> home_;
    bool paused_ = false;
    Actions actions_;
    std::deque<std::pair<TimePoint, StoreResult>> results_;
    std::deque<std::pair<DaemonId, PeerMessage>> inbox_;
};

struct HomeWorld
{
    ShardId partition_{"p/hobart/0"};
    RegionId region_{"hobart"};
    Bundle bundle_;
    Directory directory_;
    FaultyStore store_;
    TaskHistory history_;
    std::vector<std::unique_ptr<FakeGroup>> groups_;
    std::vector<std::unique_ptr<HomeDaemon>> daemons_;
    std::mt19937_64 random_;
    TimePoint now_{std::chrono::hours(1)};
    std::uint64_t lastCall_ = 0;
    std::uint64_t lastEpoch_ = 0;
    std::map<CallId, JobAnswer> answers_; // received by the daemon "caller"
    std::map<CallId, JobId> submittedJobs_; // by submit
    std::set<CallId> answeredTwice_;
    bool answersLost_ = false; // answers of groups to homes are dropped
    bool jobsMayHaveExpired_ = false; // a pause longer than the retention of final jobs was simulated
    int dropPercent_ = 0; // share of the messages between homes and groups that is lost
    std::vector<TaskOffer> offers_; // sent by homes, also if lost

    explicit HomeWorld(std::uint64_t seed, int groups = 2)
        : random_(seed)
    {
        for (int i = 0; i < groups; ++i) {
            auto group = std::make_unique<FakeGroup>();
            group->id_ = ShardId("g/hobart/r" + std::to_string(i));
            group->holder_ = DaemonId("group" + std::to_string(i) + "#1");
            group->history_ = &history_;
            groups_.push_back(std::move(group));
        }
        directory_.partitions_.push_back({partition_, region_, {}, {}, false, {}});
        updateDirectory();
    }

    HomeWorld(const HomeWorld &) = delete; // groups point to history_
    HomeWorld &operator=(const HomeWorld &) = delete;
    ~HomeWorld() = default;

    // Number of starts of a task over all groups.
    int starts(const JobId &job, std::uint32_t index = 0) const
    {
        const auto found = history_.starts_.find({job, index});
        return found == history_.starts_.end() ? 0 : found->second;
    }

    // Number of places where a task runs now.
    int running(const JobId &job, std::uint32_t index = 0) const
    {
        const auto found = history_.running_.find({job, index});
        return found == history_.running_.end() ? 0 : found->second;
    }

    HomeDaemon &holder() { return *daemons_.back(); }

    Context context(HomeDaemon &daemon)
    {
        return {now_, daemon.id_, region_, bundle_, directory_, daemon.actions_, random_};
    }

    void updateDirectory()
    {
        directory_.groups_.clear();
        for (const auto &group : groups_) {
            GroupLoad load{group->id_, group->epoch_, 64, 32, 0, 0, {64'000, 256'000, 8, 32}};
            directory_.groups_.push_back({group->id_, region_, group->holder_, group->epoch_, true, load});
        }
        for (const auto &daemon : daemons_) {
            if (daemon->home_ && !daemon->paused_) {
                Context now = context(*daemon);
                onHomeDirectory(*daemon->home_, now);
                performActions(*daemon);
            }
        }
    }

    // A new daemon gains the partition; the previous one is not notified.
    HomeDaemon &takeOver()
    {
        auto daemon = std::make_unique<HomeDaemon>();
        daemon->id_ = DaemonId("home" + std::to_string(++lastEpoch_) + "#1");
        daemons_.push_back(std::move(daemon));
        directory_.partitions_[0].holder_ = holder().id_;
        directory_.partitions_[0].epoch_ = {lastEpoch_};
        Context now = context(holder());
        holder().home_ = makeHome(partition_, {lastEpoch_}, now);
        performActions(holder());
        return holder();
    }

    JobSpec job(const std::string &name, WorkMode mode = WorkMode::Journaled, bool idempotent = true) const
    {
        JobSpec spec;
        spec.id_ = JobId("school:" + name);
        spec.requestId_ = name;
        spec.team_ = TeamId("school");
        spec.mode_ = mode;
        spec.homeRegion_ = region_;
        spec.size_ = {100, 64, 0, 1};
        spec.idempotent_ = idempotent;
        return spec;
    }

    template <typename Message>
    CallId ask(HomeDaemon &daemon, Message message)
    {
        message.replyTo_ = {ReplyComponent::Entry, {}, CallId{++lastCall_}};
        message.partition_ = partition_;
        daemon.inbox_.emplace_back(DaemonId("caller"), std::move(message));
        return {lastCall_};
    }

    CallId submit(HomeDaemon &daemon, const JobSpec &spec, Milliseconds remaining = Milliseconds(5000))
    {
        const CallId call = ask(daemon, JobSubmit{{}, {}, spec, 1, remaining});
        submittedJobs_[call] = spec.id_;
        return call;
    }

    CallId query(HomeDaemon &daemon, const JobId &job, Milliseconds wait = Milliseconds(0))
    {
        return ask(daemon, JobQuery{{}, {}, job, wait, false});
    }

    void deliver(HomeDaemon &daemon, const DaemonId &from, const PeerMessage &message)
    {
        Context now = context(daemon);
        if (const auto *submit = std::get_if<JobSubmit>(&message)) {
            onJobSubmit(*daemon.home_, from, *submit, now);
        } else if (const auto *query = std::get_if<JobQuery>(&message)) {
            onJobQuery(*daemon.home_, from, *query, now);
        } else if (const auto *cancel = std::get_if<JobCancel>(&message)) {
            onJobCancel(*daemon.home_, from, *cancel, now);
        } else if (const auto *answer = std::get_if<TaskAnswer>(&message)) {
            onHomeTaskAnswer(*daemon.home_, from, *answer, now);
        }
        performActions(daemon);
    }

    FakeGroup *groupHeldBy(const DaemonId &holder)
    {
        for (const auto &group : groups_) {
            if (group->holder_ == holder) {
                return group.get();
            }
        }
        return nullptr;
    }

    SendFunction sender(const DaemonId &from)
    {
        return [this, from](const DaemonId &to, PeerMessage message) {
            for (const auto &daemon : daemons_) {
                if (daemon->id_ == to && !answersLost_ && static_cast<int>(random_() % 100) >= dropPercent_) {
                    daemon->inbox_.emplace_back(from, std::move(message));
                    return;
                }
            }
        };
    }

    void onAnswer(const JobAnswer &answer)
    {
        if (!answers_.emplace(answer.replyTo_.call_, answer).second) {
            answeredTwice_.insert(answer.replyTo_.call_);
        }
    }

    void performActions(HomeDaemon &daemon)
    {
        const std::vector<Action> actions = std::move(daemon.actions_.pending_);
        daemon.actions_.pending_.clear();
        for (const Action &action : actions) {
            if (const auto *request = std::get_if<StoreRequest>(&action)) {
                const Milliseconds delay(1 + random_() % 20);
                daemon.results_.emplace_back(now_ + delay, store_.handle(*request, now_));
            } else if (const auto *send = std::get_if<PeerSend>(&action)) {
                if (const auto *answer = std::get_if<JobAnswer>(&send->message_)) {
                    onAnswer(*answer);
                    continue;
                }
                const auto *offer = std::get_if<TaskOffer>(&send->message_);
                if (offer != nullptr) {
                    offers_.push_back(*offer);
                }
                FakeGroup *group = groupHeldBy(send->to_);
                if (group == nullptr || static_cast<int>(random_() % 100) < dropPercent_) {
                    continue;
                }
                if (offer != nullptr) {
                    group->onOffer(daemon.id_, *offer, now_, random_, sender(group->holder_));
                } else if (const auto *cancel = std::get_if<TaskCancel>(&send->message_)) {
                    group->onCancel(*cancel, now_, sender(group->holder_));
                } else if (const auto *ack = std::get_if<TaskAck>(&send->message_)) {
                    group->onAck(*ack, now_);
                }
            }
        }
    }

    void step(Milliseconds time = Milliseconds(20))
    {
        now_ += time;
        store_.applyDelayedOps(now_);
        for (const auto &group : groups_) {
            group->tick(now_, holder().id_, random_, sender(group->holder_));
        }
        for (const auto &daemon : daemons_) {
            if (daemon->paused_ || !daemon->home_) {
                continue;
            }
            while (!daemon->results_.empty() && daemon->results_.front().first <= now_) {
                const StoreResult result = std::move(daemon->results_.front().second);
                daemon->results_.pop_front();
                Context now = context(*daemon);
                onHomeStoreResult(*daemon->home_, result, now);
                performActions(*daemon);
            }
            while (!daemon->inbox_.empty()) {
                const auto [from, message] = std::move(daemon->inbox_.front());
                daemon->inbox_.pop_front();
                deliver(*daemon, from, message);
            }
            Context now = context(*daemon);
            tickHome(*daemon->home_, now);
            performActions(*daemon);
        }
    }

    void run(Milliseconds time, Milliseconds stepTime = Milliseconds(20))
    {
        for (const TimePoint end = now_ + time; now_ < end;) {
            step(stepTime);
        }
    }

    // State of a job at the current holder; runs the world until the query is answered.
    JobAnswer state(const JobId &job, Milliseconds wait = Milliseconds(0))
    {
        const CallId call = query(holder(), job, wait);
        for (int i = 0; i < 2000 && !answers_.contains(call); ++i) {
            step();
        }
        return answers_.contains(call) ? answers_[call] : JobAnswer{};
    }

    void setFault(FaultyStore::Fault fault, int operations = -1)
    {
        store_.fault_ = fault;
        store_.faultsLeft_ = operations;
    }
};

// A world whose partition has been recovered and is active.
struct ActiveWorld : HomeWorld
{
    explicit ActiveWorld(int groups = 2, int runMs = 100)
        : HomeWorld(1, groups)
    {
        for (const auto &group : groups_) {
            group->runTime_ = Milliseconds(runMs);
        }
        takeOver();
        run(Milliseconds(200));
    }
};

} // namespace mimosapier::test
