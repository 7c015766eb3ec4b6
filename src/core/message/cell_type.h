// Staged jobs as clients submit them, and the messages between the daemons of a cell.
//
// A staged job consists of steps and a step of tasks. A job can recur; each recurrence is an occurrence. Only the
// leader of the cell schedules jobs. The other daemons forward clients' requests to the leader and query the policy
// service for it.
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
using RunNumber = NumberId<struct RunTag>; // numbers the starts of a task; a later start has a higher number
using CellEpoch = NumberId<struct CellEpochTag>; // higher for each new leader
using RunnerId = NamedId<struct RunnerTag>;

// One step of a job: tasks of equal size that become ready at the same time.
struct StepSpec
{
    std::uint32_t count_ = 1; // number of tasks
    Resources size_; // of one task; slots_ is unused
    Milliseconds estimate_{0}; // client's rough estimate of a task's run time
    std::vector<std::uint32_t> after_; // indices of earlier steps that must be done first
    bool checkpointing_ = false;
    bool gang_ = false; // all tasks run at the same time or none does
    bool sameRack_ = false; // prefers one rack, as tasks are slower when spread over racks
    bool speculative_ = false; // several copies of a task may run in parallel
    bool longRunning_ = false; // runs until the job is cancelled; restarted after every end
    bool fill_ = false; // filler work: its processors are not counted against the runner's capacity
    std::string requiredLabel_; // empty: none
    std::string affinityRack_; // rack of the data; empty: none
    std::uint32_t antiAffinity_ = 0; // maximum number of the step's tasks on one runner; 0: no limit
    std::string image_; // program of the tasks; tasks of equal images behave alike
    Milliseconds target_{0}; // upper limit of the response time of serving tasks; 0: none
    std::uint32_t missAllowed_ = 0; // maximum number of tasks that planned actions may make unavailable at a time
    bool operator==(const StepSpec &) const = default;
};

// A job as a client submits it.
struct SubmittedJob
{
    std::string spec_; // opaque; handed to the runner with each start
    std::vector<StepSpec> steps_;
    std::uint32_t repeatCount_ = 0; // number of occurrences; 0: one, which starts immediately
    std::int64_t firstRunUnixMs_ = 0;
    std::int64_t intervalMs_ = 0;
    bool operator==(const SubmittedJob &) const = default;
};

// Policy of a queue, copied from the configuration when a job is accepted.
struct QueuePolicy
{
    std::string queue_; // name of the queue
    std::string service_; // service whose runners may run the tasks
    std::uint32_t priority_ = 0; // 0 is the most urgent
    std::uint32_t maxAttempts_ = 1; // failed runs of a task before its job fails
    double slackFactor_ = 1; // objective = slackFactor_ * duration of the longest chain of steps + targetCompletion_
    Milliseconds targetCompletion_{0};
    bool policyQueries_ = false; // the policy service decides which runners may run a step
    double decideMs_ = 0; // expected duration of a policy query = decideMs_ + perRunnerMs_ * number of runners
    double perRunnerMs_ = 0;
    Milliseconds ticketValid_{0}; // how long a ticket is valid
    bool operator==(const QueuePolicy &) const = default;
};

enum class CellVerb : std::uint8_t { Submit, Query, Cancel, CountPending };

// A client's request that the entry daemon has checked and forwards to the leader.
struct CellRequest
{
    CallId call_; // unique at the entry daemon
    CellVerb verb_ = CellVerb::Query;
    StagedJobId job_; // not for CountPending
    std::string account_; // client account of the key; empty for public queues
    QueuePolicy policy_; // complete for Submit; only queue_ for other verbs
    SubmittedJob submitted_; // for Submit
    Milliseconds remaining_{0}; // time until the client stops waiting, counted from sending
    bool operator==(const CellRequest &) const = default;
};

enum class CellOutcome : std::uint8_t {
    Ok, // accepted, cancelled, or the state is given
    NotFound, // no such job
    Refused, // not accepted; the client may retry after retryAfter_
    Unavailable, // not carried out: the cell has no leader that can serve
    Unknown, // may or may not have been accepted; the client retries
    NotLeader, // not carried out: the receiver is not the leader
};

enum class StagedState : std::uint8_t { Queued, Running, Completed, Failed, Cancelled };

struct CellReply
{
    CallId call_;
    CellOutcome outcome_ = CellOutcome::Ok;
    StagedState state_ = StagedState::Queued; // for Query
    std::uint64_t pending_ = 0; // for CountPending
    Milliseconds retryAfter_{0}; // for Refused and Unavailable
    bool operator==(const CellReply &) const = default;
};

// A runner that the policy service allows for a step, and the ticket that a start on that runner must present.
struct PolicyTicket
{
    RunnerId runner_;
    std::string ticket_;
    bool operator==(const PolicyTicket &) const = default;
};

// Asks a daemon to query the policy service for the leader.
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
    bool answered_ = false; // false: the policy service gave no usable answer
    std::vector<PolicyTicket> allowed_;
    bool operator==(const PolicyAnswer &) const = default;
};

// Sent between the daemons of a cell at a fixed interval.
struct CellBeacon
{
    std::uint64_t sequence_ = 0; // number of this beacon to the receiver, ascending by one
    std::uint64_t echo_ = 0; // highest sequence_ from the receiver; the beacon's contents are newer than that beacon
    CellEpoch epoch_; // highest epoch known to the sender
    DaemonId leader_; // of epoch_; empty when unknown
    std::uint64_t configVersion_ = 0; // 0: none
    std::uint32_t configProofAgeMs_ = 0; // time since the sender last knew that configVersion_ was the newest
    std::uint32_t storeAnswerAgeMs_ = UINT32_MAX; // time since the store last answered the sender; UINT32_MAX: never
    bool leaderSeen_ = false; // the sender leads, or is connected to the leader of epoch_
    CellEpoch retired_; // highest epoch in which the sender led and then stopped leading; 0: none
    // Availability zones that the operator has evacuated, as of zonesRevision_.
    std::vector<std::string> evacuatedZones_;
    std::uint64_t zonesRevision_ = 0; // store revision; 0: the sender does not know the set
    bool operator==(const CellBeacon &) const = default;
};

// Asks for the text of a version of the configuration. Answered with CellConfigText.
struct CellConfigWanted
{
    std::uint64_t version_ = 0;
    bool operator==(const CellConfigWanted &) const = default;
};

// The text of the configuration as the operator wrote it.
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

// Whether a job in this state never changes to another one.
constexpr bool isFinal(StagedState state)
{
    return state >= StagedState::Completed;
}

// Name for logs and for clients, for example "running".
std::string_view stagedStateName(StagedState state);

} // namespace mimosapier
