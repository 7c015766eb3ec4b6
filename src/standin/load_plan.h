// The plan of the caller load: accounts, streams of requests, entries.
#pragma once

#include "core/common/time_type.h"
#include "http/json_func.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mimosapier::standin
{

// Requests of one class that arrive independently of the answers.
struct LoadStream
{
    std::string class_;
    double rate_ = 1; // requests per second
    std::int64_t minTasks_ = 1;
    std::int64_t maxTasks_ = 1;
    Json size_; // as in POST /v1/jobs
    double runMs_ = 10; // mean of the exponentially distributed run time
    double declaredFactor_ = 1; // declared run time / real run time
    std::int64_t deadlineMs_ = 0; // 0: the default of the class
    Milliseconds timeout_{2'000}; // of one attempt
    bool idempotent_ = true;
    bool idempotentGiven_ = false; // sent with the request
    bool isService_ = false; // cancelled at the end of the load
    double cancelRatio_ = 0; // share of the requests that is cancelled after a random time
    double failRatio_ = 0; // share of the requests whose tasks fail
};

struct LoadAccount
{
    std::string team_;
    std::string key_;
    std::string region_;
    std::string queue_;
    std::vector<LoadStream> streams_;
};

struct LoadEntry
{
    std::string name_;
    std::string region_;
    std::map<std::string, std::string> addresses_; // by region of the caller
    bool ready_ = true; // by the latest readiness check
};

struct LoadPlan
{
    std::uint64_t seed_ = 1;
    Milliseconds arrivalPeriod_{20'000}; // time of arrivals
    Milliseconds drainLimit_{20'000}; // longest wait for outcomes afterwards
    std::uint32_t maxAttempts_ = 3;
    double retryRatio_ = 0.1; // repeats per request
    std::string journal_;
    std::string controlAddress_;
    std::vector<LoadAccount> accounts_;
    std::vector<LoadEntry> entries_;
};

// Reads seed, seconds, drain_seconds, max_attempts, retry_ratio, journal, control_address, accounts and entries.
// Returns false when there are no entries or an entry has no addresses.
bool readPlan(const Json &settings, LoadPlan &plan);

} // namespace mimosapier::standin
