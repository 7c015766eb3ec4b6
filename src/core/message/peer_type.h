// Messages between daemons. Messages about a shard name it; a daemon that does not hold the shard answers requests with
// NotHolder. Messages can be lost. The order of the alternatives of PeerMessage is part of the wire form.
#pragma once

#include "core/common/id_type.h"
#include "core/common/work_type.h"
#include "core/message/cell_type.h"
#include "core/message/runner_type.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace mimosapier
{

// Component of the requesting daemon to which an answer is dispatched.
enum class ReplyComponent : std::uint8_t { Entry, Home, Group };

// Destination of an answer inside the requesting daemon. The answering daemon copies it from the request.
struct ReplyTo
{
    ReplyComponent component_ = ReplyComponent::Entry;
    ShardId shard_; // requesting shard for Home and Group; empty for Entry
    CallId call_; // unique at the requesting daemon
    bool operator==(const ReplyTo &) const = default;
};

// Load of a group, as reported by its holder.
struct GroupLoad
{
    ShardId group_;
    Epoch epoch_;
    std::uint32_t capacitySlots_ = 0; // of the workers that have acknowledged the epoch
    std::uint32_t freeSlots_ = 0;
    std::uint32_t queued_ = 0; // number of waiting tasks
    std::uint32_t waitMs_ = 0; // estimated wait of a new urgent task
    Resources largestFree_; // largest free amount of each resource on any worker
    bool operator==(const GroupLoad &) const = default;
};

// Whether the sender currently reaches the store.
enum class StoreReach : std::uint8_t { Reached, Unreachable };

// A shard and the epoch of its holder.
struct HeldShard
{
    ShardId shard_;
    Epoch epoch_;
    bool operator==(const HeldShard &) const = default;
};

// Evidence that a daemon's configuration is current, from its heartbeats. Relays pass it on to other regions.
struct PeerFreshness
{
    DaemonId daemon_;
    BundleVersion version_; // newest head the daemon has heard of
    StoreReach reach_ = StoreReach::Unreachable;
    std::uint32_t headAgeMs_ = 0; // since the store last showed the daemon that version_ is the head; UINT32_MAX: never
    std::uint32_t heardAgeMs_ = 0; // time since the sender received this from the daemon
    bool notQuiet_ = false; // true: cannot confirm its version without the store, for example after an announced change
    bool operator==(const PeerFreshness &) const = default;
};

// Sent to each connected peer at a fixed interval. Omits what the receiver is known to have received.
struct Heartbeat
{
    std::uint64_t sequence_ = 0; // ascends by one with each heartbeat of the sender
    bool leaving_ = false;
    std::vector<HeldShard> shards_; // claimed since the last heartbeat that the receiver echoed; periodically all
    std::vector<GroupLoad> loads_; // changed since that heartbeat; periodically all
    std::vector<PeerFreshness> freshness_; // the sender's own first, without daemon_; further ones only from relays
    std::uint64_t echo_ = 0; // highest sequence_ from the receiver; the contents are newer than that heartbeat
    bool operator==(const Heartbeat &) const = default;
};

// Asks a group to run tasks [firstIndex_, firstIndex_ + count_) of a job. Idempotent: a repeated offer starts no task
// again.
struct TaskOffer
{
    ReplyTo replyTo_;
    ShardId group_;
    JobSpec job_;
    std::uint32_t firstIndex_ = 0;
    std::uint32_t count_ = 1;
    std::uint32_t attempt_ = 1; // number of the caller's attempt, for interactive work
    Milliseconds remaining_{0}; // time until the deadline for starting, counted from sending
    bool mayHaveRun_ = false; // an earlier offer of these tasks may have reached this group
    bool lookupOnly_ = false; // only report known results; start nothing
    bool forwarded_ = false; // sent by the first candidate group to the second
    bool operator==(const TaskOffer &) const = default;
};

// Results of offered tasks. NotRun with NotHolder means that another daemon holds the group.
struct TaskAnswer
{
    ReplyTo replyTo_;
    ShardId group_;
    JobId job_;
    std::vector<TaskResult> results_;
    bool operator==(const TaskAnswer &) const = default;
};

// Tells a group that results are journaled. The group then acknowledges them to the workers, which may delete them.
struct TaskAck
{
    ShardId group_;
    std::vector<TaskId> tasks_;
    bool operator==(const TaskAck &) const = default;
};

// Cancels queued or running tasks of a group.
struct TaskCancel
{
    ShardId group_;
    std::vector<TaskId> tasks_;
    bool operator==(const TaskCancel &) const = default;
};

// Submits a job to its home partition.
struct JobSubmit
{
    ReplyTo replyTo_;
    ShardId partition_;
    JobSpec job_;
    std::uint32_t attempt_ = 1;
    Milliseconds remaining_{0}; // time until the deadline for being accepted, counted from sending
    bool operator==(const JobSubmit &) const = default;
};

// Asks for the state of a job. Answered when the state is final, or after wait_.
struct JobQuery
{
    ReplyTo replyTo_;
    ShardId partition_;
    JobId job_;
    Milliseconds wait_{0};
    bool explain_ = false; // fill JobAnswer::detail_ with reasons
    bool operator==(const JobQuery &) const = default;
};

// Cancels jobs of a partition.
struct JobCancel
{
    ReplyTo replyTo_;
    ShardId partition_;
    std::vector<JobId> jobs_;
    bool operator==(const JobCancel &) const = default;
};

// State of a job. Pending with error_ None means that the job was accepted.
struct JobAnswer
{
    ReplyTo replyTo_;
    JobId job_;
    Outcome outcome_ = Outcome::Pending;
    ErrorKind error_ = ErrorKind::None;
    std::vector<TaskResult> results_; // of final tasks
    std::string detail_;
    bool operator==(const JobAnswer &) const = default;
};

// Announces that a change of the configuration will be written. Until the receiver has applied version_ or the
// announcement is withdrawn, it does not count as quiet, that is, it cannot confirm its present version without the
// store.
struct ConfigAnnounce
{
    CallId call_;
    BundleVersion version_;
    bool withdrawn_ = false; // true: withdraws the announcement with this call_; the change will not be written
    bool operator==(const ConfigAnnounce &) const = default;
};

struct ConfigAnnounceAck
{
    CallId call_;
    BundleVersion version_;
    bool operator==(const ConfigAnnounceAck &) const = default;
};

// The head of the configuration, pushed by a relay to the daemons of its region.
struct ConfigPush
{
    BundleVersion version_;
    std::string record_; // value of the store key config/head
    bool operator==(const ConfigPush &) const = default;
};

// The sender no longer works on the shard; the receiver may claim it.
struct Handover
{
    ShardId shard_;
    Epoch epoch_; // the sender's
    bool operator==(const Handover &) const = default;
};

// A group of the sender needs a larger allowance, but the team's limit is used up. The receiver returns what its own
// groups do not use.
struct AllowanceWanted
{
    TeamId team_;
    bool operator==(const AllowanceWanted &) const = default;
};

using PeerMessage = std::variant<Heartbeat, TaskOffer, TaskAnswer, TaskAck, TaskCancel, JobSubmit, JobQuery, JobCancel,
                                 JobAnswer, ConfigAnnounce, ConfigAnnounceAck, ConfigPush, Handover, AllowanceWanted,
                                 CellBeacon, CellRequest, CellReply, PolicyQuery, PolicyAnswer, CellConfigWanted,
                                 CellConfigText, RelayedCalls, RelayedReplies>;

} // namespace mimosapier
