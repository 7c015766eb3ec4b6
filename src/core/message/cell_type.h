// Staged jobs as clients submit them, and the messages between the daemons of a cell.
//
// A staged job has steps; a step has tasks; a job may recur (occurrences). The leader of the cell decides everything
// about jobs; other daemons forward clients' requests to it and carry out policy queries for it.
#pragma once

#include "core/common/id_type.h"
#include "core/common/resource_type.h"
#include "core/common/time_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mimosapier
{

using StagedJobId = NumberId<struct StagedJobTag>; // chosen by the client; 64 bits
using RunNumber = NumberId<struct RunTag>; // of a task's starts; rises
using CellEpoch = NumberId<struct CellEpochTag>; // rises with each leader; fencing token towards runners
using RunnerId = NamedId<struct RunnerTag>;

// One step of a job: tasks of equal size that become ready together.
struct StepSpec
{
    std::uint32_t count_ = 1; // tasks
    Resources size_; // of one task; slots_ is not used
    Milliseconds estimate_{0}; // rough run time of a task, by the client
    std::vector<std::uint32_t> after_; // indices of earlier steps that must be done first
    bool checkpointing_ = false;
    bool gang_ = false; // tasks run only together
    bool sameRack_ = false; // tasks are slower when spread over racks
    bool speculative_ = false; // copies may run in parallel
    bool longRunning_ = false; // runs until the job is cancelled; restarted whatever its end
    bool fill_ = false; // processors are not counted against the runner's capacity
    std::string requiredLabel_; // empty: none
    std::string affinityRack_; // rack of the data; empty: none
    std::uint32_t antiAffinity_ = 0; // most tasks of the step on one runner; 0: no limit
    std::string image_; // what the tasks run; equal images behave alike
    Milliseconds target_{0}; // response time that serving tasks must keep; 0: none
    std::uint32_t missAllowed_ = 0; // tasks that planned actions may keep away at a time
    bool operator==(const StepSpec &) const = default;
};

// What a client submits.
struct SubmittedJob
{
    std::string spec_; // opaque; handed to the runner with each start
    std::vector<StepSpec> steps_;
    std::uint32_t repeatCount_ = 0; // 0: runs once, at once
    std::int64_t firstRunUnixMs_ = 0;
    std::int64_t intervalMs_ = 0;
    bool operator==(const SubmittedJob &) const = default;
};

// The queue's policy, taken from the configuration when the job is accepted.
struct QueuePolicy
{
    std::string queue_; // name of the queue
    std::string service_; // pool of runners
    std::uint32_t priority_ = 0; // 0 is the most urgent
    std::uint32_t maxAttempts_ = 1; // failed runs of a task before its job fails
    double slackFactor_ = 1; // of the longest chain of work, for the objective
    Milliseconds targetCompletion_{0}; // added to it
    bool policyQueries_ = false; // an external policy says which runners may run a step
    double decideMs_ = 0; // time of a policy query
    double perRunnerMs_ = 0; // added for each runner it names
    Milliseconds ticketValid_{0};
    bool operator==(const QueuePolicy &) const = default;
};

enum class CellVerb : std::uint8_t { Submit, Query, Cancel, CountPending };

// A client's request, checked at the entry daemon, on its way to the leader.
struct CellRequest
{
    CallId call_; // unique at the entry daemon
    CellVerb verb_ = CellVerb::Query;
    StagedJobId job_; // not for CountPending
    std::string account_; // client account of the key; empty for public queues
    QueuePolicy policy_; // whole for Submit; otherwise queue_ only
    SubmittedJob submitted_; // for Submit
    Milliseconds remaining_{0}; // until the client stops waiting, from sending
    bool operator==(const CellRequest &) const = default;
};

enum class CellOutcome : std::uint8_t {
    Ok, // accepted, cancelled, or the state is given
    NotFound, // no such job
    Refused, // certainly not accepted; retryAfter_ says when to come back
    Unavailable, // nothing was done; the cell has no leader that can serve
    Unknown, // may or may not have been accepted; the client repeats
    NotLeader, // nothing was done; the receiver does not lead the cell
};

enum class StagedState : std::uint8_t { Queued, Running, Completed, Failed, Cancelled };

struct CellReply
{
    CallId call_;
    CellOutcome outcome_ = CellOutcome::Ok;
    StagedState state_ = StagedState::Queued; // for Query
    std::uint64_t pending_ = 0; // for CountPending
    Milliseconds retryAfter_{0}; // for Refused
    bool operator==(const CellReply &) const = default;
};

// A runner that a policy allows for a step, with the ticket that a start there must carry.
struct PolicyTicket
{
    RunnerId runner_;
    std::string ticket_;
    bool operator==(const PolicyTicket &) const = default;
};

// Asks a daemon to ask the policy service.
struct PolicyQuery
{
    CallId call_; // unique at the leader
    StagedJobId job_;
    std::uint32_t occurrence_ = 0;
    std::uint32_t step_ = 0;
    std::vector<RunnerId> runners_;
    Milliseconds timeout_{0};
    bool operator==(const PolicyQuery &) const = default;
};

struct PolicyAnswer
{
    CallId call_;
    bool answered_ = false; // false: the service gave no usable answer
    std::vector<PolicyTicket> allowed_;
    bool operator==(const PolicyAnswer &) const = default;
};

// Sent between daemons at a fixed interval.
struct CellBeacon
{
    std::uint64_t sequence_ = 0; // rises by one for each beacon to the receiver
    std::uint64_t echo_ = 0; // highest sequence_ got from the receiver; bounds the age of what the beacon says
    CellEpoch epoch_; // highest that the sender knows
    DaemonId leader_; // of that epoch; empty when unknown
    std::uint64_t configVersion_ = 0; // 0: none
    std::uint32_t configProofAgeMs_ = 0; // since the sender last knew that this version is the newest
    std::uint32_t storeAnswerAgeMs_ = UINT32_MAX; // since the store last answered the sender; UINT32_MAX: never
    bool leaderSeen_ = false; // the sender leads, or is connected to the leader of epoch_
    CellEpoch retired_; // highest epoch in which the sender led and then stopped leading; 0: none
    bool operator==(const CellBeacon &) const = default;
};

// Asks for, and carries, the configuration as the operator wrote it.
struct CellConfigWanted
{
    std::uint64_t version_ = 0;
    bool operator==(const CellConfigWanted &) const = default;
};

struct CellConfigText
{
    std::uint64_t version_ = 0;
    std::string text_;
    bool operator==(const CellConfigText &) const = default;
};

constexpr bool isValid(CellVerb value)
{
    return value <= CellVerb::CountPending;
}

constexpr bool isValid(CellOutcome value)
{
    return value <= CellOutcome::NotLeader;
}

constexpr bool isValid(StagedState value)
{
    return value <= StagedState::Cancelled;
}

constexpr bool isFinal(StagedState state)
{
    return state >= StagedState::Completed;
}

// Name for logs and for clients, for example "running".
std::string_view stagedStateName(StagedState state);

} // namespace mimosapier
