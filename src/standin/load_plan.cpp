// Parses the settings of the load generator.
#include "standin/load_plan.h"

#include "standin/program_func.h"

namespace mimosapier::standin
{

static Json listOf(const Json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_array() ? *found : Json::array();
}

static LoadStream readStream(const Json &item)
{
    LoadStream stream;
    stream.class_ = textOr(item, "class", "");
    stream.rate_ = realOr(item, "rate", 1);
    stream.minTasks_ = numberOr(item, "min_tasks", 1);
    stream.maxTasks_ = std::max(stream.minTasks_, numberOr(item, "max_tasks", 1));
    stream.size_ = item.contains("size") ? item["size"] : Json::object();
    stream.runMs_ = realOr(item, "run_ms", 10);
    stream.declaredFactor_ = realOr(item, "declared_factor", 1);
    stream.deadlineMs_ = numberOr(item, "deadline_ms", 0);
    stream.timeout_ = Milliseconds(numberOr(item, "timeout_ms", 2'000));
    stream.idempotent_ = flagOr(item, "idempotent", true);
    stream.idempotentGiven_ = item.contains("idempotent");
    stream.isService_ = flagOr(item, "service", false);
    stream.cancelRatio_ = realOr(item, "cancel_ratio", 0);
    stream.failRatio_ = realOr(item, "fail_ratio", 0);
    return stream;
}

static std::chrono::milliseconds readSeconds(const Json &settings, const char *name, double fallback)
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::duration<double>(realOr(settings, name, fallback)));
}

bool readPlan(const Json &settings, LoadPlan &plan)
{
    plan.seed_ = static_cast<std::uint64_t>(numberOr(settings, "seed", 1));
    plan.arrivalPeriod_ = readSeconds(settings, "seconds", 20);
    plan.drainLimit_ = readSeconds(settings, "drain_seconds", 20);
    plan.maxAttempts_ = static_cast<std::uint32_t>(numberOr(settings, "max_attempts", 3));
    plan.retryRatio_ = realOr(settings, "retry_ratio", 0.1);
    plan.journal_ = textOr(settings, "journal", "");
    plan.controlAddress_ = textOr(settings, "control_address", "127.0.0.1:0");
    for (const auto &item : listOf(settings, "accounts")) {
        LoadAccount account{textOr(item, "team", ""),
                            textOr(item, "key", ""),
                            textOr(item, "region", ""),
                            textOr(item, "queue", ""),
                            {}};
        for (const auto &stream : listOf(item, "streams")) {
            account.streams_.push_back(readStream(stream));
        }
        plan.accounts_.push_back(std::move(account));
    }
    for (const auto &item : listOf(settings, "entries")) {
        LoadEntry entry{textOr(item, "name", ""), textOr(item, "region", ""), {}, true};
        if (const auto addresses = item.find("addresses"); addresses != item.end() && addresses->is_object()) {
            for (const auto &[region, address] : addresses->items()) {
                entry.addresses_[region] = address.is_string() ? address.get<std::string>() : "";
            }
        }
        if (entry.addresses_.empty()) {
            return false;
        }
        plan.entries_.push_back(std::move(entry));
    }
    return !plan.entries_.empty();
}

} // namespace mimosapier::standin
