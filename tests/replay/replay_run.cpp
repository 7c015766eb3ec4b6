// Reads a trace, sets up the simulated world and applies the events in order.
#include "replay/replay_run.h"

#include "core/common/shard_func.h"
#include "core/config/config_internal.h"
#include "core/member/member_internal.h"
#include "core/message/pack_func.h"

#include <stdexcept>

namespace mimosapier::test
{

template <typename T>
static T get(const YAML::Node &node, const char *key, T fallback)
{
    return node[key] ? node[key].as<T>() : fallback;
}

static Milliseconds ms(const YAML::Node &node, const char *key)
{
    return Milliseconds(get<std::int64_t>(node, key, 0));
}

static void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    const std::size_t first = text.find(from);
    if (first == std::string::npos) {
        throw std::runtime_error("text to replace is not in the base bundle: " + from);
    }
    for (std::size_t at = first; at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
}

// Replaces each "KEY(<key>)" by the hash of the key.
static std::string hashKeys(std::string text)
{
    for (std::size_t at = text.find("KEY("); at != std::string::npos; at = text.find("KEY(")) {
        const std::size_t end = text.find(')', at);
        text.replace(at, end - at + 1, keyHash(text.substr(at + 4, end - at - 4)));
    }
    return text;
}

std::string Replay::daemon(const std::string &name)
{
    if (const auto found = aliases_.find(name); found != aliases_.end()) {
        return found->second;
    }
    if (name.starts_with('!')) {
        const std::string other = daemon(name.substr(1));
        for (const auto &[candidate, state] : world_.daemons_) {
            if (candidate != other && state->node_ != nullptr) {
                return candidate;
            }
        }
    }
    if (name.starts_with('@')) {
        const ShardId shard(name.substr(1));
        std::vector<OwnerRow> rows;
        unpackFromString(world_.store_.keys_["owners/" + shardRegion(shard).value_].value_, rows);
        for (const OwnerRow &row : rows) {
            if (row.shard_ == shard) {
                return row.holder_.value_.substr(0, row.holder_.value_.find('#'));
            }
        }
    }
    if (!world_.daemons_.contains(name)) {
        throw std::runtime_error("unknown daemon: " + name);
    }
    return name;
}

const CallerAnswer *Replay::answer(const std::string &label)
{
    if (!calls_.contains(label)) {
        throw std::runtime_error("unknown call label: " + label);
    }
    const auto found = world_.answers_.find(calls_.at(label));
    return found == world_.answers_.end() ? nullptr : &found->second.front();
}

static CallerBody submitBody(const YAML::Node &e)
{
    SubmitRequest r;
    r.requestId_ = e["id"].as<std::string>();
    r.team_ = TeamId(get<std::string>(e, "team", "school"));
    r.class_ = ClassId(get<std::string>(e, "class", "quick"));
    r.key_ = get<std::string>(e, "key", "key-1");
    r.queue_ = get<std::string>(e, "queue", "");
    r.region_ = RegionId(get<std::string>(e, "region", ""));
    r.attempt_ = get<std::uint32_t>(e, "attempt", 1);
    r.tasks_ = get<std::uint32_t>(e, "tasks", 1);
    r.size_ = {get<std::int64_t>(e, "cpu", 100), get<std::int64_t>(e, "memory", 64), 0, 1};
    r.deadline_ = ms(e, "deadline_ms");
    r.declaredRun_ = ms(e, "declared_ms");
    r.idempotentGiven_ = static_cast<bool>(e["idempotent"]);
    r.idempotent_ = get<bool>(e, "idempotent", true);
    r.payload_ = get<std::string>(e, "payload", "run_ms=100");
    return r;
}

static CallerBody callBody(Replay &replay, const std::string &kind, const YAML::Node &e)
{
    const TeamId team(get<std::string>(e, "team", "school"));
    const auto key = get<std::string>(e, "key", "key-1");
    if (kind == "submit") {
        return submitBody(e);
    }
    if (kind == "status") {
        return StatusRequest{e["id"].as<std::string>(), team, key, ms(e, "wait_ms"), false};
    }
    if (kind == "cancel") {
        return CancelRequest{e["ids"].as<std::vector<std::string>>(), team, key};
    }
    if (kind == "draft") {
        return DraftRequest{get<std::string>(e, "author", "ann"), replay.bundles_.at(e["bundle"].as<std::string>())};
    }
    const CallerAnswer *draft = replay.answer(e["draft"].as<std::string>());
    if (draft == nullptr) {
        throw std::runtime_error("the call for the draft is not answered yet");
    }
    const YAML::Node detail = YAML::Load(draft->detail_);
    return SignRequest{get<std::string>(e, "signer", "ben"), detail["draft"].as<std::string>(),
                       BundleVersion{e["base"].as<std::uint64_t>()}};
}

static void addFaultRule(Replay &replay, const std::string &kind, const YAML::Node &e)
{
    FaultRule rule{kind,
                   e["from"] ? replay.daemon(e["from"].as<std::string>()) : std::string(),
                   get<std::string>(e, "to", ""),
                   get<std::string>(e, "op", ""),
                   e["do"].as<std::string>(),
                   ms(e, "ms"),
                   get<int>(e, "times", 1)};
    if (kind == "peer" && !rule.to_.empty()) {
        rule.to_ = replay.daemon(rule.to_);
    }
    static const std::set<std::string> Actions{"refuse",     "delay",        "delay-answer", "drop",
                                               "apply-late", "lose-request", "lose-answer"};
    if (!Actions.contains(rule.action_)) {
        throw std::runtime_error("unknown fault action: " + rule.action_);
    }
    replay.world_.faultRules_.push_back(rule);
}

static void setWorker(ReplayWorld &world, const YAML::Node &e)
{
    ReplayWorker &worker = world.workers_.at(e["name"].as<std::string>());
    const auto state = e["state"].as<std::string>();
    if (state == "dead") {
        world.killWorker(worker);
    } else if (state == "silent" || state == "answering") {
        worker.silent_ = state == "silent";
    } else if (state == "leaving") {
        worker.worker_.leaving_ = true;
    } else if (state == "listed-leaving") {
        worker.info_.leaving_ = true;
        world.publishInstances();
    } else if (state == "unlisted") {
        worker.listed_ = false;
        world.publishInstances();
    } else {
        throw std::runtime_error("unknown worker state: " + state);
    }
}

static void applyEvent(Replay &replay, const std::string &kind, const YAML::Node &e)
{
    ReplayWorld &world = replay.world_;
    static const std::set<std::string> Calls{"submit", "status", "cancel", "draft", "sign"};
    const auto daemonName = [&] { return replay.daemon(e.as<std::string>()); };
    if (Calls.contains(kind)) {
        const CallId call{++world.lastCall_};
        const std::string label = e["as"] ? e["as"].as<std::string>() : e["id"].as<std::string>();
        if (!replay.calls_.emplace(label, call).second) {
            throw std::runtime_error("call label " + label + " is used twice");
        }
        world.deliver(replay.daemon(e["on"].as<std::string>()), CallerRequest{call, callBody(replay, kind, e)});
    } else if (kind == "store" || kind == "worker" || kind == "peer") {
        addFaultRule(replay, kind, e);
    } else if (kind == "alias") {
        for (const auto &item : e) {
            replay.aliases_[item.first.as<std::string>()] = replay.daemon(item.second.as<std::string>());
        }
    } else if (kind == "store_down") {
        const auto state = e.as<std::string>();
        world.storeRefuses_ = state == "refuses";
        world.storeDown_ = world.storeRefuses_ || e.as<bool>();
    } else if (kind == "store_cut" || kind == "store_heal") {
        world.daemons_.at(daemonName())->storeUnreachable_ = kind == "store_cut";
    } else if (kind == "cut") {
        world.cut(replay.daemon(e[0].as<std::string>()), replay.daemon(e[1].as<std::string>()));
    } else if (kind == "heal") {
        world.heal(replay.daemon(e[0].as<std::string>()), replay.daemon(e[1].as<std::string>()));
    } else if (kind == "pause") {
        world.pause(*world.daemons_.at(daemonName()));
    } else if (kind == "resume") {
        world.resume(*world.daemons_.at(daemonName()));
    } else if (kind == "kill") {
        world.kill(*world.daemons_.at(daemonName()));
    } else if (kind == "leave") {
        world.deliver(daemonName(), LeaveRequested{});
    } else if (kind == "start") {
        world.addDaemon(e["name"].as<std::string>(), e["region"].as<std::string>());
    } else if (kind == "set_worker") {
        setWorker(world, e);
    } else if (kind == "reset_most") {
        world.maxRunning_.clear();
    } else {
        throw std::runtime_error("unknown event kind: " + kind);
    }
}

static void prepare(Replay &replay, const YAML::Node &trace, const std::string &base)
{
    ReplayWorld &world = replay.world_;
    std::string baseText = YAML::LoadFile(base)["bundle"].as<std::string>();
    for (const auto &item : trace["bundles"]) {
        std::string text = baseText;
        for (const auto &change : item.second) {
            replaceAll(text, change.first.as<std::string>(), change.second.as<std::string>());
        }
        replay.bundles_[item.first.as<std::string>()] = text;
    }
    if (replay.bundles_.contains("1")) {
        baseText = replay.bundles_["1"];
    }
    for (auto &[name, text] : replay.bundles_) {
        text = hashKeys(text);
    }
    HeadRecord head;
    head.version_ = {1};
    head.text_ = hashKeys(baseText);
    head.author_ = "ann";
    head.signer_ = "ben";
    head.digest_ = keyHash(head.text_);
    for (const auto &item : trace["daemons"]) {
        head.voters_.push_back(DaemonId(item.first.as<std::string>() + "#1"));
    }
    world.store_.apply(StoreCas{std::string(HeadKey), packToString(head), {}, {}}, world.now_);
    for (const auto &item : trace["workers"]) {
        const YAML::Node &w = item.second;
        const auto name = item.first.as<std::string>();
        const RegionId region(get<std::string>(w, "region", "r1"));
        world.addWorker(name,
                        {WorkerId(name),
                         region,
                         ZoneId(region.value_ + "-a"),
                         groupShard(region, get<std::string>(w, "rack", "k1")),
                         "10.0.1.1:1",
                         {get<std::int64_t>(w, "cpu", 8000), get<std::int64_t>(w, "memory", 16000), 0,
                          get<std::int64_t>(w, "slots", 4)},
                         false});
    }
    for (const auto &item : trace["daemons"]) {
        world.addDaemon(item.first.as<std::string>(), item.second.as<std::string>());
    }
}

std::vector<std::string> runTrace(const std::string &path, bool log)
{
    const YAML::Node trace = YAML::LoadFile(path);
    for (const char *key : {"guarantee", "guards", "source", "daemons", "workers", "events"}) {
        if (!trace[key]) {
            throw std::runtime_error(std::string("missing key at the top level of the trace: ") + key);
        }
    }
    Replay replay;
    replay.world_.logging_ = log;
    prepare(replay, trace, path.substr(0, path.rfind('/')) + "/base/bundle.yaml");
    std::vector<std::string> problems;
    std::size_t expects = 0;
    for (const auto &event : trace["events"]) {
        const TimePoint at = replay.world_.start_ + ms(event, "at");
        if (!event["at"] || at < replay.world_.now_) {
            throw std::runtime_error("an event has no time or precedes the previous event");
        }
        replay.world_.run(at);
        for (const auto &item : event) {
            const auto kind = item.first.as<std::string>();
            if (kind == "expect") {
                for (const auto &expect : item.second) {
                    ++expects;
                    checkExpectation(replay, expect, problems);
                }
            } else if (kind != "at") {
                applyEvent(replay, kind, item.second);
            }
        }
    }
    if (expects == 0) {
        throw std::runtime_error("the trace has no expectations");
    }
    for (const FaultRule &rule : replay.world_.faultRules_) {
        if (rule.matchCount_ == 0) {
            problems.push_back("a fault rule was never applied: " + rule.kind_ + " " + rule.op_ + " " + rule.action_);
        }
    }
    for (const std::string &violation : replay.world_.violations_) {
        problems.push_back(violation);
    }
    return problems;
}

} // namespace mimosapier::test
