// Simulated cluster: several cell daemons with models of the store and the runners, and a simulated network. The test
// controls the clock and every delivery, so that runs are deterministic.
#pragma once

#include "core/control/control_func.h"
#include "standin/kv_model.h"
#include "standin/runner_model.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace mimosapier
{

struct ClusterDaemon
{
    DaemonId id_;
    std::unique_ptr<Control> control_;
    ControlActions actions_;
    bool alive_ = true;
    bool paused_ = false;
    bool storeReachable_ = true;
    bool failRangeReads_ = false; // reads of whole key ranges time out
    bool interruptWatches_ = false; // each watch ends without a result
    std::set<DaemonId> peerSet_; // daemons to which this daemon wants to connect
    std::map<std::uint64_t, ClientAnswer> answers_; // by call id
    std::uint64_t lastCall_ = 0;
    std::array<std::uint64_t, CellCounterCount> counts_{}; // by CellCounter
};

struct ControlCluster
{
    static constexpr Milliseconds TickLength{5};

    explicit ControlCluster(int daemonCount = 3, int runnerCount = 3)
    {
        store_.revision_ = 1;
        for (int i = 0; i < runnerCount; ++i) {
            RunnerModel runner;
            runner.record_.id_ = RunnerId("r" + std::to_string(i));
            runner.record_.service_ = "s";
            runner.record_.address_ = "10.0.0.1:1";
            runner.record_.capacity_ = {10'000, 10'000, 0, 0};
            store_.write(KvSpace::Discovery, runner.record_.id_.value_, "up");
            runners_[runner.record_.id_] = runner;
        }
        writeConfig(1, {"key"});
        for (int i = 0; i < daemonCount; ++i) {
            addDaemon("d" + std::to_string(i) + "#1");
        }
    }

    // Writes a configuration in the format that decodeConfig() reads: "version key key ...".
    void writeConfig(std::uint64_t version, const std::set<std::string> &keys)
    {
        std::string text = std::to_string(version);
        for (const std::string &key : keys) {
            text += " " + key;
        }
        store_.write(KvSpace::Operator, "config", text);
    }

    static bool decodeConfig(std::string_view text, CellConfig &config)
    {
        const std::string copy(text);
        config.version_ = std::strtoull(copy.c_str(), nullptr, 10);
        AccountConfig account{"a", {}, 0, {}};
        for (std::size_t at = copy.find(' '); at != std::string::npos; at = copy.find(' ', at + 1)) {
            account.keys_.insert(copy.substr(at + 1, copy.find(' ', at + 1) - at - 1));
        }
        config.accounts_ = {account};
        QueueConfig queue;
        queue.host_ = "h";
        queue.prefix_ = "/q/";
        queue.policy_.queue_ = "q";
        queue.policy_.service_ = "s";
        queue.policy_.maxAttempts_ = 2;
        queue.policy_.targetCompletion_ = Milliseconds(10'000);
        config.queues_ = {queue};
        return config.version_ != 0;
    }

    ClusterDaemon &addDaemon(const std::string &id)
    {
        ControlSettings settings;
        settings.self_ = DaemonId(id);
        settings.peerAddress_ = "10.0.0.2:1";
        settings.seed_ = daemons_.size() + 1;
        CellDecoders decoders;
        decoders.config_ = decodeConfig;
        decoders.runner_ = [this](std::string_view key, std::string_view, RunnerRecord &record) {
            const auto runner = runners_.find(RunnerId(std::string(key)));
            if (runner == runners_.end()) {
                return false;
            }
            record = runner->second.record_;
            return true;
        };
        return addDaemon(settings, std::move(decoders));
    }

    ClusterDaemon &addDaemon(const ControlSettings &settings, CellDecoders decoders)
    {
        auto daemon = std::make_unique<ClusterDaemon>();
        daemon->id_ = settings.self_;
        daemon->control_ = makeControl(settings, std::move(decoders), now_);
        daemons_.push_back(std::move(daemon));
        return *daemons_.back();
    }

    CellTime cellTime() const { return {now_, 1'000'000 + elapsedMs()}; }
    std::int64_t elapsedMs() const { return std::chrono::duration_cast<Milliseconds>(now_ - start_).count(); }

    ClusterDaemon *find(const DaemonId &id)
    {
        for (const auto &daemon : daemons_) {
            if (daemon->id_ == id && daemon->alive_) {
                return daemon.get();
            }
        }
        return nullptr;
    }

    // The leader once its recovery is complete; nullptr: none.
    ClusterDaemon *leader()
    {
        for (const auto &daemon : daemons_) {
            if (daemon->alive_ && daemon->control_->cell_ && daemon->control_->recoveryStage_ == RecoveryStage::Done) {
                return daemon.get();
            }
        }
        return nullptr;
    }

    // The first live daemon that does not lead.
    ClusterDaemon &follower()
    {
        for (const auto &daemon : daemons_) {
            if (daemon->alive_ && !daemon->control_->cell_) {
                return *daemon;
            }
        }
        return *daemons_.front();
    }

    // Sends a request about the job `id` to a daemon. Returns the call id, see ClusterDaemon::answers_.
    std::uint64_t sendRequest(ClusterDaemon &daemon, ClientMethod method, std::uint64_t id,
                              const std::string &key = "key")
    {
        SubmittedJob job;
        job.steps_.resize(1);
        job.steps_[0].size_ = {1'000, 100, 0, 0};
        job.steps_[0].estimate_ = Milliseconds(1'000);
        return sendRequest(daemon, method, id, job, key);
    }

    // The same; a submission is that of `job`.
    std::uint64_t sendRequest(ClusterDaemon &daemon, ClientMethod method, std::uint64_t id, const SubmittedJob &job,
                              const std::string &key = "key")
    {
        ClientRequest request;
        request.call_ = CallId{++daemon.lastCall_};
        request.method_ = method;
        request.host_ = "h";
        char digits[17];
        std::snprintf(digits, sizeof(digits), "%016llx", static_cast<unsigned long long>(id));
        request.path_ = std::string("/q/") + digits;
        request.key_ = key;
        request.remaining_ = Milliseconds(3'000);
        if (method == ClientMethod::Submit) {
            request.submitted_ = job;
        }
        onClientRequest(*daemon.control_, std::move(request), cellTime(), daemon.actions_);
        return daemon.lastCall_;
    }

    // Advances the clock in steps of TickLength; in each, delivers what is due and runs the daemons.
    void run(Milliseconds duration)
    {
        const TimePoint end = now_ + duration;
        while (now_ < end) {
            now_ += TickLength;
            store_.expire(now_);
            for (auto &[id, runner] : runners_) {
                runner.expire(elapsedMs());
            }
            deliver();
            for (std::size_t i = 0; i < daemons_.size(); ++i) {
                if (daemons_[i]->alive_ && !daemons_[i]->paused_) {
                    finishBatch(*daemons_[i]->control_, cellTime(), daemons_[i]->actions_);
                    collect(*daemons_[i]);
                }
            }
        }
    }

    // Takes the actions of a daemon and passes them on to the simulated network, store and runners.
    void collect(ClusterDaemon &daemon)
    {
        ControlActions actions;
        std::swap(actions, daemon.actions_);
        for (const ClientAnswer &answer : actions.answers_) {
            daemon.answers_[answer.call_.value_] = answer;
        }
        if (actions.peerSet_) {
            daemon.peerSet_.clear();
            for (const PeerAddress &peer : actions.peerSet_->peers_) {
                daemon.peerSet_.insert(peer.daemon_);
            }
        }
        for (std::size_t i = 0; i < CellCounterCount; ++i) {
            daemon.counts_.at(i) += actions.cell_.counts_.at(i);
        }
        for (const LogLine &line : actions.cell_.log_) {
            log_.emplace_back(daemon.id_, line.text_);
        }
        for (KvCall &call : actions.cell_.kv_) {
            calls_.push_back({daemon.id_, std::move(call), now_});
        }
        for (RunnerCall &call : actions.cell_.runners_) {
            runnerCalls_.emplace_back(daemon.id_, std::move(call));
        }
        for (PeerSend &send : actions.peerMessages_) {
            messages_.emplace_back(daemon.id_, std::move(send));
        }
    }

    void deliver()
    {
        updateConnections();
        std::deque<std::pair<DaemonId, PeerSend>> messages;
        std::swap(messages, messages_);
        for (auto &[sender, send] : messages) {
            ClusterDaemon *to = find(send.to_);
            if (to != nullptr && connections_.contains({sender, send.to_})) {
                enqueueEvent(*to, [this, to, from = sender, message = send.message_] {
                    onPeerMessage(*to->control_, from, message, cellTime(), to->actions_);
                });
            }
        }
        std::deque<std::pair<DaemonId, RunnerCall>> runnerCalls;
        std::swap(runnerCalls, runnerCalls_);
        for (auto &[from, call] : runnerCalls) {
            ClusterDaemon *daemon = find(from);
            if (daemon != nullptr) {
                RunnerModel &runner = runners_.at(call.runner_);
                const bool wasReachable = runner.reachable_;
                runner.reachable_ = wasReachable && !cutOffRunners_.contains({from, call.runner_});
                const RunnerReply reply = runner.answer(call, now_, elapsedMs());
                runner.reachable_ = wasReachable;
                enqueueEvent(*daemon, [this, daemon, reply] {
                    onRunnerReply(*daemon->control_, reply, cellTime(), daemon->actions_);
                });
            }
        }
        std::deque<StoreCall> calls;
        std::swap(calls, calls_);
        for (StoreCall &call : calls) {
            deliverStore(call);
        }
        for (const auto &daemon : daemons_) {
            if (!daemon->paused_ && daemon->alive_) {
                std::vector<std::function<void()>> events;
                std::swap(events, eventQueues_[daemon->id_]);
                for (const auto &event : events) {
                    event();
                }
            }
        }
    }

    void enqueueEvent(const ClusterDaemon &daemon, std::function<void()> event)
    {
        eventQueues_[daemon.id_].push_back(std::move(event));
    }

    struct StoreCall
    {
        DaemonId from_;
        KvCall call_;
        TimePoint sentAt_;
    };

    void deliverStore(StoreCall &call)
    {
        ClusterDaemon *daemon = find(call.from_);
        if (daemon == nullptr) {
            return;
        }
        const bool refused = daemon->failRangeReads_ && call.call_.op_ == KvOp::Range;
        const bool interrupted = daemon->interruptWatches_ && call.call_.op_ == KvOp::Watch;
        if (!storeAvailable_ || !daemon->storeReachable_ || refused || interrupted) {
            if (now_ < call.sentAt_ + call.call_.timeout_ && !daemon->interruptWatches_) {
                calls_.push_back(call);
                return;
            }
            KvReply reply;
            reply.id_ = call.call_.id_;
            reply.purpose_ = call.call_.purpose_;
            reply.lane_ = call.call_.lane_;
            reply.sentAt_ = call.sentAt_;
            enqueueEvent(*daemon,
                         [this, daemon, reply] { onKvReply(*daemon->control_, reply, cellTime(), daemon->actions_); });
            return;
        }
        auto reply = store_.answer(call.call_, call.sentAt_, now_);
        if (!reply) {
            calls_.push_back(call);
            return;
        }
        if (onStoreReply_) {
            onStoreReply_(*daemon, call.call_, *reply);
        }
        enqueueEvent(*daemon, [this, daemon, reply = *reply] {
            onKvReply(*daemon->control_, reply, cellTime(), daemon->actions_);
        });
    }

    // Connects daemons that have each other in their peer sets, and disconnects those of which one is down or isolated.
    void updateConnections()
    {
        for (const auto &a : daemons_) {
            for (const auto &b : daemons_) {
                const bool isConnected = a->alive_ && b->alive_ && a->peerSet_.contains(b->id_)
                    && b->peerSet_.contains(a->id_) && !isolated_.contains(a->id_) && !isolated_.contains(b->id_)
                    && islandOf(*a) == islandOf(*b);
                const bool wasConnected = connections_.contains({a->id_, b->id_});
                if (isConnected && !wasConnected) {
                    connections_.insert({a->id_, b->id_});
                    onPeerUp(*a->control_, b->id_, cellTime(), a->actions_);
                } else if (!isConnected && wasConnected) {
                    connections_.erase({a->id_, b->id_});
                    if (a->alive_) {
                        onPeerDown(*a->control_, b->id_, cellTime(), a->actions_);
                    }
                }
            }
        }
    }

    int islandOf(const ClusterDaemon &daemon) const
    {
        const auto found = islands_.find(daemon.id_);
        return found == islands_.end() ? 0 : found->second;
    }

    // Cuts the leader off from the store and all daemons but one, which is cut off with it and goes on to confirm to it
    // that it leads. Returns this follower.
    ClusterDaemon &cutOffWithFollower(ClusterDaemon &leader)
    {
        const auto follower = std::find_if(daemons_.rbegin(), daemons_.rend(), [&](const auto &daemon) {
            return daemon.get() != &leader && daemon->alive_ && islandOf(*daemon) == islandOf(leader);
        });
        cutOffTogether(leader, **follower); // there is one
        return **follower;
    }

    // Cuts two daemons off from the store and the other daemons.
    void cutOffTogether(ClusterDaemon &one, ClusterDaemon &other)
    {
        const int island = static_cast<int>(islands_.size()) + 1;
        for (ClusterDaemon *daemon : {&one, &other}) {
            daemon->storeReachable_ = false;
            islands_[daemon->id_] = island;
        }
    }

    // The runner that has started the first run; there must be one.
    RunnerModel &runnerOfFirstStart()
    {
        return std::find_if(runners_.begin(), runners_.end(),
                            [](const auto &entry) { return !entry.second.starts_.empty(); })
            ->second;
    }

    // The log lines with this event and the daemons that wrote them, in the order of writing.
    std::vector<std::pair<DaemonId, std::string>> linesOf(const std::string &event) const
    {
        std::vector<std::pair<DaemonId, std::string>> lines;
        std::copy_if(log_.begin(), log_.end(), std::back_inserter(lines),
                     [&event](const auto &line) { return line.second.starts_with("{\"event\":\"" + event + "\""); });
        return lines;
    }

    // Number of runs that the runners have started.
    std::size_t startCount() const
    {
        std::size_t count = 0;
        for (const auto &[id, runner] : runners_) {
            count += runner.starts_.size();
        }
        return count;
    }

    TimePoint start_{std::chrono::hours(1)};
    TimePoint now_ = start_;
    KvModel store_;
    bool storeAvailable_ = true;
    // Called with each executed store call and its reply, which it may change; empty: replies arrive unchanged.
    std::function<void(ClusterDaemon &, const KvCall &, KvReply &)> onStoreReply_;
    std::set<DaemonId> isolated_; // daemons without connections to others
    std::map<DaemonId, int> islands_; // only daemons of one island are connected; without an entry: island 0
    std::map<RunnerId, RunnerModel> runners_;
    std::set<std::pair<DaemonId, RunnerId>> cutOffRunners_; // runners that a daemon cannot reach
    std::vector<std::unique_ptr<ClusterDaemon>> daemons_;
    std::deque<StoreCall> calls_;
    std::deque<std::pair<DaemonId, RunnerCall>> runnerCalls_;
    std::deque<std::pair<DaemonId, PeerSend>> messages_;
    std::map<DaemonId, std::vector<std::function<void()>>>
        eventQueues_; // pending events by daemon, in order of arrival
    std::set<std::pair<DaemonId, DaemonId>> connections_;
    std::vector<std::pair<DaemonId, std::string>> log_; // the lines of all daemons
};

} // namespace mimosapier
