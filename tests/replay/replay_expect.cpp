// Compares the expectations of a trace with the answers to callers, the runs on workers, the store and the daemons.
#include "core/limit/limit_internal.h"
#include "replay/replay_run.h"

#include <stdexcept>

namespace mimosapier::test
{

// Actual values by the keys that an expectation may contain.
using Facts = std::map<std::string, std::string>;

static Facts callFacts(Replay &replay, const std::string &label)
{
    const CallerAnswer *answer = replay.answer(label);
    if (answer == nullptr) {
        return {{"answered", "false"}};
    }
    Facts facts{
        {"answered", "true"},
        {"outcome", answer->outcome_ == Outcome::Pending ? "accepted" : std::string(outcomeName(answer->outcome_))},
        {"error", std::string(errorName(answer->error_))},
        {"results", std::to_string(answer->results_.size())},
        {"id", answer->requestId_}};
    std::size_t done = 0;
    std::string texts;
    for (const TaskResult &result : answer->results_) {
        done += result.outcome_ == Outcome::Done ? 1 : 0;
        texts += (texts.empty() ? "" : " ") + result.result_.substr(0, result.result_.find(' '));
    }
    facts["done"] = std::to_string(done);
    facts["texts"] = texts;
    facts["detail"] = answer->detail_;
    return facts;
}

static Facts taskFacts(Replay &replay, const std::string &label)
{
    const std::size_t slash = label.rfind('/');
    const TaskId id{JobId(label.substr(0, slash)), static_cast<std::uint32_t>(std::stoul(label.substr(slash + 1)))};
    const ReplayTaskRuns &runs = replay.world_.observedRuns_[id];
    return {{"starts", std::to_string(runs.starts_)},
            {"running", std::to_string(runs.running_.size())},
            {"worker", runs.running_.empty() ? "none" : *runs.running_.begin()}};
}

static Facts workerFacts(Replay &replay, const std::string &name)
{
    const ReplayWorker &worker = replay.world_.workers_.at(name);
    return {{"running", std::to_string(worker.worker_.used().slots_)}, {"starts", std::to_string(worker.starts_)}};
}

static Facts teamFacts(Replay &replay, const std::string &name)
{
    const TeamId team(name);
    std::map<TeamId, std::vector<AllowancePart>> rows;
    const auto &keys = replay.world_.store_.keys_;
    const auto found = keys.find("allowance/" + std::to_string(allowanceKeyIndex(team)));
    if (found != keys.end()) {
        decodeAllowances(found->second.value_, rows);
    }
    int starts = 0;
    for (const auto &[id, runs] : replay.world_.observedRuns_) {
        starts += runs.team_ == team ? runs.starts_ : 0;
    }
    return {{"running", std::to_string(replay.world_.running_[team])},
            {"most", std::to_string(replay.world_.maxRunning_[team])},
            {"starts", std::to_string(starts)},
            {"allowances", std::to_string(sumOfParts(rows[team]))}};
}

static Facts daemonFacts(Replay &replay, const std::string &label)
{
    const ReplayDaemon &daemon = *replay.world_.daemons_.at(replay.daemon(label));
    Facts facts{{"left", daemon.hasLeft_ ? "true" : "false"}, {"alive", daemon.node_ != nullptr ? "true" : "false"}};
    facts["refused_starts"] = std::to_string(daemon.refusedStarts_);
    facts["starts_sent"] = std::to_string(daemon.startsSent_);
    if (daemon.node_ != nullptr) {
        Node &node = *daemon.node_;
        facts["version"] = std::to_string(currentBundle(*node.config_).version_.value_);
        facts["fresh"] = configIsFresh(*node.member_, replay.world_.now_) ? "true" : "false";
        facts["ready"] = isReady(node) ? "true" : "false";
        facts["shards"] = std::to_string(node.groups_.size() + node.homes_.size());
    }
    return facts;
}

// `expected` is a bound for a number ("<= 4", ">= 1"), a part of the text ("~ part") or the exact text.
static bool matchesExpected(const std::string &expected, const std::string &found)
{
    if (expected.starts_with("<= ")) {
        return std::stol(found) <= std::stol(expected.substr(3));
    }
    if (expected.starts_with(">= ")) {
        return std::stol(found) >= std::stol(expected.substr(3));
    }
    if (expected.starts_with("~ ")) {
        return found.find(expected.substr(2)) != std::string::npos;
    }
    return expected == found;
}

void checkExpectation(Replay &replay, const YAML::Node &expect, std::vector<std::string> &problems)
{
    static const std::map<std::string, Facts (*)(Replay &, const std::string &)> Subjects{{"call", callFacts},
                                                                                          {"task", taskFacts},
                                                                                          {"worker", workerFacts},
                                                                                          {"team", teamFacts},
                                                                                          {"daemon", daemonFacts}};
    const auto subject = expect.begin()->first.as<std::string>();
    const auto name = expect.begin()->second.as<std::string>();
    if (!Subjects.contains(subject) || expect.size() < 2) {
        throw std::runtime_error("unknown subject or no value in an expectation: " + subject + " " + name);
    }
    const Facts facts = Subjects.at(subject)(replay, name);
    const auto now = (replay.world_.now_ - replay.world_.start_) / Milliseconds(1);
    for (auto item = std::next(expect.begin()); item != expect.end(); ++item) {
        const auto key = item->first.as<std::string>();
        const auto expected = item->second.as<std::string>();
        const auto found = facts.find(key);
        const std::string value = found == facts.end() ? "nothing" : found->second;
        const bool known = found != facts.end();
        if (!known || !matchesExpected(expected, value)) {
            problems.push_back("at " + std::to_string(now) + " ms: " + subject + " " + name + ": " + key + " is "
                               + value + ", expected " + expected);
        }
    }
}

} // namespace mimosapier::test
