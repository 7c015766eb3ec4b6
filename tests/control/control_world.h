// Several daemons of a cell with a fake store, fake runners and a network of the test. Time and every delivery are the
// test's own, so that a run repeats exactly.
#pragma once

#include "core/control/control_func.h"
#include "standin/kv_model.h"
#include "standin/runner_model.h"

#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace mimosapier
{

struct TestNode
{
    DaemonId id_;
    std::unique_ptr<Control> control_;
    ControlActions actions_;
    bool alive_ = true;
    bool paused_ = false;
    bool storeReachable_ = true;
    bool refuseReads_ = false; // of whole key spaces
    bool cutWatches_ = false; // each watch ends without an answer
    std::set<DaemonId> wanted_; // peer set
    std::map<std::uint64_t, ClientAnswer> answers_; // by call
    std::uint64_t lastCall_ = 0;
};

struct ControlWorld
{
    static constexpr Milliseconds Step{5};

    explicit ControlWorld(int nodes = 3, int runners = 3)
    {
        store_.revision_ = 1;
        for (int i = 0; i < runners; ++i) {
            RunnerModel runner;
            runner.record_.id_ = RunnerId("r" + std::to_string(i));
            runner.record_.service_ = "s";
            runner.record_.address_ = "10.0.0.1:1";
            runner.record_.capacity_ = {10'000, 10'000, 0, 0};
            store_.write(KvSpace::Discovery, runner.record_.id_.value_, "up");
            runners_[runner.record_.id_] = runner;
        }
        setKeys(1, {"key"});
        for (int i = 0; i < nodes; ++i) {
            addNode("d" + std::to_string(i) + "#1");
        }
    }

    // Configurations are written as "version key key ...".
    void setKeys(std::uint64_t version, const std::set<std::string> &keys)
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

    TestNode &addNode(const std::string &id)
    {
        auto node = std::make_unique<TestNode>();
        node->id_ = DaemonId(id);
        ControlSettings settings;
        settings.self_ = node->id_;
        settings.peerAddress_ = "10.0.0.2:1";
        settings.seed_ = nodes_.size() + 1;
        CellDecoders decoders;
        decoders.config_ = decodeConfig;
        decoders.runner_ = [this](std::string_view key, std::string_view, RunnerRecord &record) {
            record = runners_.at(RunnerId(std::string(key))).record_;
            return true;
        };
        node->control_ = makeControl(settings, decoders, now_);
        nodes_.push_back(std::move(node));
        return *nodes_.back();
    }

    CellTime time() const { return {now_, 1'000'000 + elapsedMs()}; }
    std::int64_t elapsedMs() const { return std::chrono::duration_cast<Milliseconds>(now_ - start_).count(); }

    TestNode *find(const DaemonId &id)
    {
        for (const auto &node : nodes_) {
            if (node->id_ == id && node->alive_) {
                return node.get();
            }
        }
        return nullptr;
    }

    // The daemon that leads and has recovered, or nullptr.
    TestNode *leader()
    {
        for (const auto &node : nodes_) {
            if (node->alive_ && node->control_->cell_ && node->control_->stage_ == RecoveryStage::Done) {
                return node.get();
            }
        }
        return nullptr;
    }

    TestNode &follower()
    {
        for (const auto &node : nodes_) {
            if (node->alive_ && !node->control_->cell_) {
                return *node;
            }
        }
        return *nodes_.front();
    }

    std::uint64_t request(TestNode &node, ClientMethod method, std::uint64_t id, const std::string &key = "key")
    {
        ClientRequest request;
        request.call_ = CallId{++node.lastCall_};
        request.method_ = method;
        request.host_ = "h";
        char digits[17];
        std::snprintf(digits, sizeof(digits), "%016llx", static_cast<unsigned long long>(id));
        request.path_ = std::string("/q/") + digits;
        request.key_ = key;
        request.remaining_ = Milliseconds(3'000);
        if (method == ClientMethod::Submit) {
            SubmittedJob job;
            job.steps_.resize(1);
            job.steps_[0].size_ = {1'000, 100, 0, 0};
            job.steps_[0].estimate_ = Milliseconds(1'000);
            request.submitted_ = job;
        }
        clientRequest(*node.control_, std::move(request), time(), node.actions_);
        return node.lastCall_;
    }

    void run(Milliseconds duration)
    {
        const TimePoint end = now_ + duration;
        while (now_ < end) {
            now_ += Step;
            store_.expire(now_);
            for (auto &[id, runner] : runners_) {
                runner.expire(elapsedMs());
            }
            deliver();
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                if (nodes_[i]->alive_ && !nodes_[i]->paused_) {
                    finishBatch(*nodes_[i]->control_, time(), nodes_[i]->actions_);
                    collect(*nodes_[i]);
                }
            }
        }
    }

    // Takes the actions of a node.
    void collect(TestNode &node)
    {
        ControlActions actions;
        std::swap(actions, node.actions_);
        for (const ClientAnswer &answer : actions.answers_) {
            node.answers_[answer.call_.value_] = answer;
        }
        if (actions.peerSet_) {
            node.wanted_.clear();
            for (const PeerAddress &peer : actions.peerSet_->peers_) {
                node.wanted_.insert(peer.daemon_);
            }
        }
        for (KvCall &call : actions.cell_.kv_) {
            calls_.push_back({node.id_, std::move(call), now_});
        }
        for (RunnerCall &call : actions.cell_.runners_) {
            runnerCalls_.emplace_back(node.id_, std::move(call));
        }
        for (PeerSend &send : actions.peers_) {
            messages_.emplace_back(node.id_, std::move(send));
        }
    }

    void deliver()
    {
        connect();
        std::deque<std::pair<DaemonId, PeerSend>> messages;
        std::swap(messages, messages_);
        for (auto &[sender, send] : messages) {
            TestNode *to = find(send.to_);
            if (to != nullptr && linked_.contains({sender, send.to_})) {
                inbox(*to, [this, to, from = sender, message = send.message_] {
                    peerMessage(*to->control_, from, message, time(), to->actions_);
                });
            }
        }
        std::deque<std::pair<DaemonId, RunnerCall>> runnerCalls;
        std::swap(runnerCalls, runnerCalls_);
        for (auto &[from, call] : runnerCalls) {
            TestNode *node = find(from);
            if (node != nullptr) {
                const RunnerReply reply = runners_.at(call.runner_).answer(call, now_, elapsedMs());
                inbox(*node, [this, node, reply] { runnerReply(*node->control_, reply, time(), node->actions_); });
            }
        }
        std::deque<StoreCall> calls;
        std::swap(calls, calls_);
        for (StoreCall &call : calls) {
            deliverStore(call);
        }
        for (const auto &node : nodes_) {
            if (!node->paused_ && node->alive_) {
                std::vector<std::function<void()>> waiting;
                std::swap(waiting, waiting_[node->id_]);
                for (const auto &event : waiting) {
                    event();
                }
            }
        }
    }

    void inbox(const TestNode &node, std::function<void()> event) { waiting_[node.id_].push_back(std::move(event)); }

    struct StoreCall
    {
        DaemonId from_;
        KvCall call_;
        TimePoint sentAt_;
    };

    void deliverStore(StoreCall &call)
    {
        TestNode *node = find(call.from_);
        if (node == nullptr) {
            return;
        }
        const bool refused = node->refuseReads_ && call.call_.op_ == KvOp::Range;
        const bool cut = node->cutWatches_ && call.call_.op_ == KvOp::Watch;
        if (!storeUp_ || !node->storeReachable_ || refused || cut) {
            if (now_ < call.sentAt_ + call.call_.timeout_ && !node->cutWatches_) {
                calls_.push_back(call);
                return;
            }
            KvReply reply;
            reply.id_ = call.call_.id_;
            reply.purpose_ = call.call_.purpose_;
            reply.lane_ = call.call_.lane_;
            reply.sentAt_ = call.sentAt_;
            inbox(*node, [this, node, reply] { kvReply(*node->control_, reply, time(), node->actions_); });
            return;
        }
        const auto reply = store_.answer(call.call_, call.sentAt_, now_);
        if (!reply) {
            calls_.push_back(call);
            return;
        }
        inbox(*node, [this, node, reply = *reply] { kvReply(*node->control_, reply, time(), node->actions_); });
    }

    // Connects daemons that have each other in their peer sets, and parts those of which one is gone.
    void connect()
    {
        for (const auto &a : nodes_) {
            for (const auto &b : nodes_) {
                const bool up = a->alive_ && b->alive_ && a->wanted_.contains(b->id_) && b->wanted_.contains(a->id_)
                    && !cut_.contains(a->id_) && !cut_.contains(b->id_);
                const bool was = linked_.contains({a->id_, b->id_});
                if (up && !was) {
                    linked_.insert({a->id_, b->id_});
                    peerUp(*a->control_, b->id_, time(), a->actions_);
                } else if (!up && was) {
                    linked_.erase({a->id_, b->id_});
                    if (a->alive_) {
                        peerDown(*a->control_, b->id_, time(), a->actions_);
                    }
                }
            }
        }
    }

    std::size_t starts() const
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
    bool storeUp_ = true;
    std::set<DaemonId> cut_; // from all other daemons
    std::map<RunnerId, RunnerModel> runners_;
    std::vector<std::unique_ptr<TestNode>> nodes_;
    std::deque<StoreCall> calls_;
    std::deque<std::pair<DaemonId, RunnerCall>> runnerCalls_;
    std::deque<std::pair<DaemonId, PeerSend>> messages_;
    std::map<DaemonId, std::vector<std::function<void()>>> waiting_; // events of each daemon, in order
    std::set<std::pair<DaemonId, DaemonId>> linked_;
};

} // namespace mimosapier
