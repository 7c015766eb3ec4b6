// Delivers events to the nodes and executes their actions; connections between daemons; the simulated clock.
#include "replay/replay_world.h"

#include <algorithm>
#include <array>
#include <iostream>

namespace mimosapier::test
{

static constexpr Milliseconds PeerLatency{1};
static constexpr Milliseconds SilenceLimit{1500}; // peers close a connection that was silent for this time

static constexpr std::array<const char *, 14> PeerMessageNames{
    "heartbeat",  "offer",      "answer",   "ack",          "cancel",      "submit",   "query",
    "job-cancel", "job-answer", "announce", "announce-ack", "config-push", "handover", "allowance-wanted"};

const FaultRule *ReplayWorld::match(const std::string &kind, const std::string &from, const std::string &to,
                                    const std::string &op)
{
    for (FaultRule &rule : faultRules_) {
        const bool target = kind == "store" ? to.starts_with(rule.to_) : rule.to_.empty() || rule.to_ == to;
        if (rule.matchesLeft_ != 0 && rule.kind_ == kind && (rule.from_.empty() || rule.from_ == from) && target
            && (rule.op_.empty() || rule.op_ == op)) {
            rule.matchesLeft_ -= rule.matchesLeft_ > 0 ? 1 : 0;
            ++rule.matchCount_;
            matchedRule_ = rule;
            return &matchedRule_;
        }
    }
    return nullptr;
}

ReplayDaemon *ReplayWorld::findDaemon(const DaemonId &id)
{
    for (auto &[name, daemon] : daemons_) {
        if (daemon->settings_.member_.self_ == id && daemon->node_ != nullptr) {
            return daemon.get();
        }
    }
    return nullptr;
}

void ReplayWorld::addDaemon(const std::string &name, const std::string &region)
{
    auto daemon = std::make_unique<ReplayDaemon>();
    daemon->name_ = name;
    daemon->settings_.member_
        = {DaemonId(name + "#1"), RegionId(region), ZoneId(region + "-a"), "10.0.0.1:" + std::to_string(7000)};
    daemon->settings_.seed_ = daemons_.size() + 1;
    daemon->node_ = makeNode(daemon->settings_);
    ReplayDaemon &added = *daemons_.emplace(name, std::move(daemon)).first->second;
    startNode(*added.node_, now_, added.actions_);
    carryOut(added);
    publishInstances();
}

void ReplayWorld::addWorker(const std::string &name, const WorkerInfo &info)
{
    ReplayWorker &added = workers_[name];
    added.info_ = info;
    added.worker_.name_ = name;
    added.worker_.capacity_ = info.capacity_;
    added.worker_.observer_ = [this, name, &added](const TaskId &id, bool starts) {
        ReplayTaskRuns &task = observedRuns_[id];
        const std::string label = id.job_.value_ + "/" + std::to_string(id.index_);
        if (!starts) {
            task.running_.erase(task.running_.find(name));
            --running_[task.team_];
            return;
        }
        ++added.starts_;
        ++task.starts_;
        task.running_.insert(name);
        task.team_ = TeamId(id.job_.value_.substr(0, id.job_.value_.find(':')));
        maxRunning_[task.team_] = std::max(maxRunning_[task.team_], ++running_[task.team_]);
        if (logging_) {
            std::cerr << (now_ - start_) / Milliseconds(1) << " " << name << " starts " << label << "\n";
        }
        if (task.running_.size() > 1) {
            violations_.push_back(label + " has two runs at the same time");
        }
    };
}

void ReplayWorld::killWorker(ReplayWorker &worker)
{
    worker.silent_ = true;
    for (auto &[id, run] : worker.worker_.runs_) {
        if (run.outcome_ == Outcome::Running) {
            worker.worker_.end(run, Outcome::Failed, ErrorKind::WorkerLost);
        }
    }
    worker.worker_.runs_.clear();
}

void ReplayWorld::publishInstances()
{
    InstanceSnapshot snapshot;
    for (const auto &[name, worker] : workers_) {
        if (worker.listed_) {
            snapshot.workers_.push_back(worker.info_);
        }
    }
    for (auto &[name, daemon] : daemons_) {
        deliver(name, snapshot);
    }
}

void ReplayWorld::deliver(const std::string &name, Event event)
{
    ReplayDaemon &daemon = *daemons_.at(name);
    if (daemon.node_ == nullptr) {
        return;
    }
    if (daemon.paused_) {
        daemon.inbox_.push_back(std::move(event));
        return;
    }
    step(*daemon.node_, event, now_, daemon.actions_);
    carryOut(daemon);
}

void ReplayWorld::carryOut(ReplayDaemon &daemon)
{
    const std::vector<Action> actions = std::exchange(daemon.actions_.pending_, {});
    for (const Action &action : actions) {
        if (const auto *message = std::get_if<PeerSend>(&action)) {
            send(daemon, *message);
        } else if (const auto *peers = std::get_if<PeerSet>(&action)) {
            daemon.wantedPeers_.clear();
            for (const PeerAddress &peer : peers->peers_) {
                daemon.wantedPeers_.insert(peer.daemon_);
            }
        } else if (const auto *store = std::get_if<StoreRequest>(&action)) {
            request(daemon, *store);
        } else if (const auto *worker = std::get_if<WorkerRequest>(&action)) {
            request(daemon, *worker);
        } else if (const auto *answer = std::get_if<CallerAnswer>(&action)) {
            answers_[answer->call_].push_back(*answer);
            if (answers_[answer->call_].size() > 1) {
                violations_.push_back("more than one answer to request " + answer->requestId_);
            }
        } else if (const auto *line = std::get_if<LogLine>(&action); line != nullptr && logging_) {
            std::cerr << (now_ - start_) / Milliseconds(1) << " " << daemon.name_ << " " << line->text_ << "\n";
        } else if (std::holds_alternative<LeaveFinished>(action)) {
            daemon.hasLeft_ = true;
        }
    }
}

void ReplayWorld::send(ReplayDaemon &from, const PeerSend &message)
{
    ReplayDaemon *to = findDaemon(message.to_);
    const std::string sender = from.name_;
    if (to == nullptr || !connections_.contains(std::minmax(sender, to->name_))
        || cutPairs_.contains(std::minmax(sender, to->name_))) {
        return;
    }
    if (logging_ && message.message_.index() != 0) {
        std::cerr << (now_ - start_) / Milliseconds(1) << " " << sender << " sends " << to->name_ << " "
                  << PeerMessageNames.at(message.message_.index()) << "\n";
    }
    Milliseconds delay = PeerLatency;
    if (from.settings_.member_.region_ != to->settings_.member_.region_) {
        delay = Milliseconds(20);
    }
    if (const FaultRule *rule = match("peer", sender, to->name_, PeerMessageNames.at(message.message_.index()))) {
        if (rule->action_ == "drop") {
            // A message is lost only together with its connection.
            later(Milliseconds(0), [this, sender, peer = to->name_] { disconnect(sender, peer); });
            return;
        }
        delay += rule->time_;
    }
    later(delay, [this, peer = to->name_, event = PeerReceived{from.settings_.member_.self_, message.message_}] {
        deliver(peer, event);
    });
}

void ReplayWorld::disconnect(const std::string &left, const std::string &right)
{
    if (connections_.erase(std::minmax(left, right)) == 0) {
        return;
    }
    deliver(left, PeerDown{daemons_.at(right)->settings_.member_.self_});
    deliver(right, PeerDown{daemons_.at(left)->settings_.member_.self_});
}

void ReplayWorld::updateConnections()
{
    for (auto &[left, a] : daemons_) {
        for (auto &[right, b] : daemons_) {
            if (left >= right) {
                continue;
            }
            const bool alive = a->node_ != nullptr && b->node_ != nullptr;
            const bool running = alive && !a->paused_ && !b->paused_ && !cutPairs_.contains({left, right});
            const bool shouldConnect = running && a->wantedPeers_.contains(b->settings_.member_.self_)
                && b->wantedPeers_.contains(a->settings_.member_.self_);
            if (!alive) {
                disconnect(left, right);
            } else if (shouldConnect && connections_.insert({left, right}).second) {
                deliver(left, PeerUp{b->settings_.member_.self_});
                deliver(right, PeerUp{a->settings_.member_.self_});
            }
        }
    }
}

void ReplayWorld::cut(const std::string &left, const std::string &right)
{
    cutPairs_.insert(std::minmax(left, right));
    later(SilenceLimit, [this, left, right] {
        if (cutPairs_.contains(std::minmax(left, right))) {
            disconnect(left, right);
        }
    });
}

void ReplayWorld::kill(ReplayDaemon &daemon)
{
    daemon.node_.reset();
    daemon.inbox_.clear();
}

void ReplayWorld::pause(ReplayDaemon &daemon)
{
    daemon.paused_ = true;
    daemon.pausedAt_ = now_;
    later(SilenceLimit, [this, &daemon, at = now_] {
        if (daemon.paused_ && daemon.pausedAt_ == at) {
            for (const auto &[name, other] : daemons_) {
                disconnect(daemon.name_, name);
            }
        }
    });
}

void ReplayWorld::resume(ReplayDaemon &daemon)
{
    daemon.paused_ = false;
    for (Event &event : std::exchange(daemon.inbox_, {})) {
        deliver(daemon.name_, std::move(event));
    }
}

void ReplayWorld::tick()
{
    updateConnections();
    for (auto &[name, daemon] : daemons_) {
        if (daemon->node_ == nullptr || daemon->paused_) {
            continue;
        }
        deliver(name, Tick{});
        const BundleVersion version = currentBundle(*daemon->node_->config_).version_;
        if (version < daemon->highestVersion_) {
            violations_.push_back(name + " reverted to an older bundle version");
        }
        daemon->highestVersion_ = version;
        if (daemon->hasLeft_) {
            kill(*daemon);
        }
    }
    for (const auto &[name, worker] : workers_) {
        if (worker.worker_.overcommittedStarts_ > 0) {
            violations_.push_back(name + " was sent a task that exceeds its free capacity");
        }
    }
}

void ReplayWorld::run(TimePoint until)
{
    while (violations_.empty()) {
        const TimePoint next = queue_.empty() ? nextTick_ : std::min(nextTick_, queue_.begin()->first);
        if (next > until) {
            break;
        }
        now_ = next;
        if (!queue_.empty() && queue_.begin()->first <= nextTick_) {
            const auto call = std::move(queue_.extract(queue_.begin()).mapped());
            call();
        } else {
            tick();
            nextTick_ += TickInterval;
        }
        store_.answerDueWatches(now_);
        answerDuePolls();
    }
    now_ = until;
}

} // namespace mimosapier::test
