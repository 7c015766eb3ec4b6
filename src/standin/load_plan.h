// Settings of the load generator: client accounts with their request streams, and the entries that receive requests.
#pragma once

#include "core/common/time_type.h"
#include "http/json_func.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mimosapier::standin
{

// Open-loop stream of requests of one class: the times between arrivals are exponentially distributed and independent
// of the answers.
struct LoadStream
{
    std::string class_;
    double rate_ = 1; // mean requests per second; 0: none
    std::int64_t minTasks_ = 1; // per request; the number is uniformly distributed
    std::int64_t maxTasks_ = 1;
    Json size_; // of a task, as in POST /v1/jobs
    double runMs_ = 10; // mean run time of a task, exponentially distributed
    double declaredFactor_ = 1; // declared run time divided by the actual one
    std::int64_t deadlineMs_ = 0; // 0: omitted, so that the default of the class applies
    Milliseconds timeout_{2'000}; // of one attempt to submit
    bool idempotent_ = true;
    bool idempotentGiven_ = false; // the request contains `idempotent`
    bool isService_ = false; // runs until it is cancelled, when arrivals have ended
    double cancelRatio_ = 0; // fraction of the requests that are cancelled after a random time
    double failRatio_ = 0; // fraction of the requests whose tasks fail
};

// Client account that submits requests.
struct LoadAccount
{
    std::string team_;
    std::string key_;
    std::string region_;
    std::string queue_;
    std::vector<LoadStream> streams_;
};

// Daemon that accepts requests.
struct LoadEntry
{
    std::string name_;
    std::string region_;
    std::map<std::string, std::string> addresses_; // by region of the caller
    bool ready_ = true; // result of the latest readiness check
};

struct LoadPlan
{
    std::uint64_t seed_ = 1;
    Milliseconds arrivalPeriod_{20'000}; // requests arrive during this time
    Milliseconds drainLimit_{20'000}; // maximum wait for outcomes after the last arrival
    std::uint32_t maxAttempts_ = 3; // per request
    double retryRatio_ = 0.1; // retries that each new request adds to the retry budget
    std::string journal_; // path; empty: no journal
    std::string controlAddress_;
    std::vector<LoadAccount> accounts_;
    std::vector<LoadEntry> entries_;
};

// Reads seed, seconds, drain_seconds, max_attempts, retry_ratio, journal, control_address, accounts and entries.
// Missing fields keep their defaults. Returns false when there are no entries or an entry has no addresses.
bool readPlan(const Json &settings, LoadPlan &plan);

} // namespace mimosapier::standin
