// Checks of a cell's configuration before it is put in force, and its differences from another one. Reads it with the
// decoder of the daemon.
#include "ctl/ctl_internal.h"

#include <algorithm>
#include <cctype>
#include <map>
#include <set>
#include <tuple>

namespace mimosapier
{

static std::string placeOf(std::string_view list, std::size_t index)
{
    return std::string(list) + "[" + std::to_string(index) + "]";
}

static void add(ConfigReport &report, ConfigFindingKind kind, std::string place, std::string key, std::string value,
                std::string text)
{
    report.findings_.push_back({kind, std::move(place), std::move(key), std::move(value), std::move(text)});
}

// A number as an operator writes it.
static std::string numberText(double value)
{
    return dumpJson(Json(value));
}

// ---- entries that can never match ----

// A daemon compares the host in lower case and without port, and the path without the query.
static void checkMatch(ConfigReport &report, const std::vector<QueueConfig> &queues, std::size_t index)
{
    const QueueConfig &queue = queues[index];
    const std::string place = placeOf("Routes", index);
    const auto never = [&](const char *key, const std::string &value, std::string text) {
        add(report, ConfigFindingKind::NeverMatches, place, key, value, std::move(text));
    };
    const bool hasUpperCase
        = std::any_of(queue.host_.begin(), queue.host_.end(), [](unsigned char c) { return std::isupper(c) != 0; });
    if (hasUpperCase || queue.host_.find(':') != std::string::npos) {
        never("Host", queue.host_, "hosts are compared in lower case and without port");
    }
    if (!queue.prefix_.starts_with('/') || queue.prefix_.find('?') != std::string::npos) {
        never("Prefix", queue.prefix_, "paths begin with / and are compared without the query");
    }
    const auto same = std::find_if(
        queues.begin(), queues.begin() + static_cast<std::ptrdiff_t>(index),
        [&queue](const QueueConfig &other) { return other.host_ == queue.host_ && other.prefix_ == queue.prefix_; });
    if (same != queues.begin() + static_cast<std::ptrdiff_t>(index)) {
        never("Prefix", queue.prefix_,
              placeOf("Routes", static_cast<std::size_t>(same - queues.begin()))
                  + " has the same host and prefix, and is taken");
    }
}

static void checkService(ConfigReport &report, const CellConfig &config, std::size_t index)
{
    const std::string &service = config.queues_[index].policy_.service_;
    const bool isListed
        = std::any_of(config.services_.begin(), config.services_.end(),
                      [&service](const ServiceConfig &candidate) { return candidate.name_ == service; });
    if (service.empty() || (!config.services_.empty() && !isListed)) {
        add(report, ConfigFindingKind::NeverMatches, placeOf("Routes", index), "Service", service,
            "no service of this name, so the jobs find no runner");
    }
}

// API keys are secrets: only their places are named.
static void checkKeys(ConfigReport &report, const std::vector<AccountConfig> &accounts)
{
    std::map<std::string, std::size_t> accountOfKey;
    std::map<std::string, std::size_t> accountOfName;
    for (std::size_t i = 0; i < accounts.size(); ++i) {
        const AccountConfig &account = accounts[i];
        const std::string place = placeOf("Tenants", i);
        if (account.keys_.empty()) {
            add(report, ConfigFindingKind::NeverMatches, place, "ApiKeys", "", "without a key, no request is of it");
        }
        if (account.keys_.contains("")) {
            add(report, ConfigFindingKind::Contradiction, place, "ApiKeys", "",
                "the empty key lets requests without a key in");
        }
        for (const std::string &key : account.keys_) {
            const auto [first, isNew] = accountOfKey.emplace(key, i);
            if (!isNew) {
                add(report, ConfigFindingKind::NeverMatches, place, "ApiKeys", "",
                    "a key of " + placeOf("Tenants", first->second) + ", which is taken");
            }
        }
        const auto [first, isNew] = accountOfName.emplace(account.name_, i);
        if (!isNew) {
            add(report, ConfigFindingKind::Contradiction, place, "Name", account.name_,
                placeOf("Tenants", first->second) + " has the same name; the weight and limits of the last one count");
        }
    }
}

// ---- limits that contradict each other ----

// The objective of a job is SlackFactor x its longest chain of steps + TargetCompletionMs.
static void checkObjective(ConfigReport &report, const QueuePolicy &policy, std::size_t index)
{
    const std::string place = placeOf("Routes", index);
    const auto target = static_cast<double>(policy.targetCompletion_.count());
    if (policy.slackFactor_ <= 1 && target <= 0) {
        add(report, ConfigFindingKind::Contradiction, place, "SlackFactor", numberText(policy.slackFactor_),
            "with TargetCompletionMs " + numberText(target) + " the objective is no longer than the run time itself");
    } else if (policy.slackFactor_ <= 1 && policy.policyQueries_ && policy.decideMs_ + policy.perRunnerMs_ >= target) {
        add(report, ConfigFindingKind::Contradiction, place, "TargetCompletionMs", numberText(target),
            "the policy query of one runner takes " + numberText(policy.decideMs_ + policy.perRunnerMs_)
                + " ms, so no job meets its objective");
    }
    if (policy.policyQueries_ && policy.ticketValid_ <= Milliseconds(0)) {
        add(report, ConfigFindingKind::Contradiction, place + ".Advice", "ValidMs",
            std::to_string(policy.ticketValid_.count()), "tickets are never valid, so no task starts");
    }
}

static void checkWeight(ConfigReport &report, const AccountConfig &account, std::size_t index)
{
    if (account.weight_ < 0) {
        add(report, ConfigFindingKind::Contradiction, placeOf("Tenants", index), "Weight", numberText(account.weight_),
            "a weight below 0 counts as 0: no limit");
    }
}

// ---- differences ----

namespace
{

using Fields = std::vector<std::pair<std::string, std::string>>; // key and value, in a fixed order

struct Entry
{
    std::string kind_;
    Fields fields_;
    std::set<std::string, std::less<>> keys_; // of an account
};

} // namespace

static std::string flagText(bool value)
{
    return value ? "true" : "false";
}

static Fields fieldsOf(const QueueConfig &queue)
{
    const QueuePolicy &policy = queue.policy_;
    Fields fields{{"Host", queue.host_},
                  {"Prefix", queue.prefix_},
                  {"Service", policy.service_},
                  {"Public", flagText(queue.public_)},
                  {"Priority", std::to_string(policy.priority_)},
                  {"MaxAttempts", std::to_string(policy.maxAttempts_)},
                  {"SlackFactor", numberText(policy.slackFactor_)},
                  {"TargetCompletionMs", std::to_string(policy.targetCompletion_.count())},
                  {"Advice", flagText(policy.policyQueries_)}};
    if (policy.policyQueries_) {
        fields.emplace_back("Advice.DecideMs", numberText(policy.decideMs_));
        fields.emplace_back("Advice.PerWorkerMs", numberText(policy.perRunnerMs_));
        fields.emplace_back("Advice.ValidMs", std::to_string(policy.ticketValid_.count()));
    }
    return fields;
}

// The entries by kind and name. Entries of the same name are told apart by their order.
static std::map<std::string, Entry> entriesOf(const CellConfig &config)
{
    std::map<std::string, Entry> entries;
    const auto insert = [&entries](std::string kind, const std::string &name, Entry entry) {
        std::string id = kind + " " + name;
        for (int i = 2; entries.contains(id); ++i) {
            id = kind;
            id.append(" ").append(name).append(" (").append(std::to_string(i)).append(")");
        }
        entry.kind_ = std::move(kind);
        entries.emplace(std::move(id), std::move(entry));
    };
    for (const QueueConfig &queue : config.queues_) {
        insert("queue", queue.policy_.queue_, {"", fieldsOf(queue), {}});
    }
    for (const AccountConfig &account : config.accounts_) {
        insert("account", account.name_,
               {"",
                {{"Weight", numberText(account.weight_)},
                 {"Cap.Cpu", std::to_string(account.cap_.milliCpus_)},
                 {"Cap.MemMb", std::to_string(account.cap_.memoryMb_)},
                 {"Cap.Gpu", std::to_string(account.cap_.accelerators_)}},
                account.keys_});
    }
    for (const ServiceConfig &service : config.services_) {
        insert("service", service.name_, {"", {{"EnforcesCapacity", flagText(service.enforcesCapacity_)}}, {}});
    }
    return entries;
}

static std::size_t countMissing(const std::set<std::string, std::less<>> &keys,
                                const std::set<std::string, std::less<>> &others)
{
    return static_cast<std::size_t>(
        std::count_if(keys.begin(), keys.end(), [&others](const std::string &key) { return !others.contains(key); }));
}

// Value of the field; empty: there is none.
static std::string valueOf(const Fields &fields, const std::string &key)
{
    const auto found
        = std::find_if(fields.begin(), fields.end(), [&key](const auto &field) { return field.first == key; });
    return found == fields.end() ? std::string() : found->second;
}

static void compareEntries(ConfigReport &report, const std::string &id, const Entry &before, const Entry &after)
{
    std::vector<std::string> keys;
    for (const Fields *fields : {&after.fields_, &before.fields_}) {
        for (const auto &field : *fields) {
            if (std::find(keys.begin(), keys.end(), field.first) == keys.end()) {
                keys.push_back(field.first);
            }
        }
    }
    for (const std::string &key : keys) {
        const std::string from = valueOf(before.fields_, key);
        const std::string to = valueOf(after.fields_, key);
        if (from != to) {
            report.differences_.push_back({id, "changed", key, from, to});
        }
    }
    const std::size_t added = countMissing(after.keys_, before.keys_);
    const std::size_t removed = countMissing(before.keys_, after.keys_);
    if (added + removed > 0) {
        report.differences_.push_back(
            {id, "changed", "ApiKeys", std::to_string(removed) + " removed", std::to_string(added) + " added"});
    }
}

// ---- interface ----

std::string_view findingKindName(ConfigFindingKind kind)
{
    switch (kind) {
    case ConfigFindingKind::Error:
        return "error";
    case ConfigFindingKind::NeverMatches:
        return "never-matches";
    case ConfigFindingKind::Contradiction:
        break;
    }
    return "contradiction";
}

void checkConfig(const CellConfig &config, ConfigReport &report)
{
    for (std::size_t i = 0; i < config.queues_.size(); ++i) {
        checkMatch(report, config.queues_, i);
        checkService(report, config, i);
        checkObjective(report, config.queues_[i].policy_, i);
    }
    for (std::size_t i = 0; i < config.accounts_.size(); ++i) {
        checkWeight(report, config.accounts_[i], i);
    }
    checkKeys(report, config.accounts_);
}

void compareConfigs(const CellConfig &before, const CellConfig &after, ConfigReport &report)
{
    const std::map<std::string, Entry> old = entriesOf(before);
    const std::map<std::string, Entry> next = entriesOf(after);
    for (const auto &[id, entry] : next) {
        const auto found = old.find(id);
        if (found == old.end()) {
            report.differences_.push_back({id, "added", "", "", ""});
        } else {
            compareEntries(report, id, found->second, entry);
        }
    }
    for (const auto &[id, entry] : old) {
        if (!next.contains(id)) {
            report.differences_.push_back({id, "removed", "", "", ""});
        }
    }
    if (!report.differences_.empty() && after.version_ <= before.version_) {
        add(report, ConfigFindingKind::Contradiction, "", "Version", std::to_string(after.version_),
            "not above the version in force, " + std::to_string(before.version_) + ", so daemons ignore the changes");
    }
}

} // namespace mimosapier
