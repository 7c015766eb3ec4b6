// Messages between daemons. A message is addressed to a daemon; those that concern a shard name it, and a daemon
// that does not hold the shard answers with NotHolder.
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

// Part of the asking daemon that gets the answer.
enum class ReplyComponent : std::uint8_t { Entry, Home, Group };

// Where an answer goes; echoed by the answering daemon.
struct ReplyTo
{
    ReplyComponent component_ = ReplyComponent::Entry;
    ShardId shard_; // asking shard for Home and Group; empty for Entry
    CallId call_; // unique at the asking daemon
    bool operator==(const ReplyTo &) const = default;
};

// Free capacity and queue of one group, as its holder sees them.
struct GroupLoad
{
    ShardId group_;
    Epoch epoch_;
    std::uint32_t capacitySlots_ = 0; // of workers that acknowledged the epoch
    std::uint32_t freeSlots_ = 0;
    std::uint32_t queued_ = 0; // tasks waiting
    std::uint32_t waitMs_ = 0; // estimated wait of a new urgent task
    Resources largestFree_; // componentwise largest free amounts of one worker
    bool operator==(const GroupLoad &) const = default;
};

// How the sender last stood with the store.
enum class StoreReach : std::uint8_t { Reached, Unreachable };

// A shard and the epoch with which it is held.
struct HeldShard
{
    ShardId shard_;
    Epoch epoch_;
    bool operator==(const HeldShard &) const = default;
};

// What a daemon knows about another daemon's freshness; relays pass these on to other regions.
struct PeerFreshness
{
    DaemonId daemon_;
    BundleVersion version_; // newest head the daemon has heard of
    StoreReach reach_ = StoreReach::Unreachable;
    std::uint32_t headAgeMs_ = 0; // time since the daemon last knew from the store that version_ is the head
    std::uint32_t heardAgeMs_ = 0; // time since the sender heard this from the daemon
    bool notQuiet_ = false; // true while an announced change keeps the daemon from counting as quiet
    bool operator==(const PeerFreshness &) const = default;
};

// Sent to each connected peer at a fixed interval. What the receiver is known to have got is left out.
struct Heartbeat
{
    std::uint64_t sequence_ = 0; // rises by one for each heartbeat of the sender
    bool leaving_ = false;
    std::vector<HeldShard> shards_; // taken since the last heartbeat that the receiver echoed; at times all
    std::vector<GroupLoad> loads_; // changed since then; at times all
    std::vector<PeerFreshness> freshness_; // first the sender's own, without daemon_; further ones only from relays
    std::uint64_t echo_ = 0; // highest sequence_ got from the receiver; bounds the age of what the heartbeat says
    bool operator==(const Heartbeat &) const = default;
};

// Asks a group to run tasks [firstIndex_, firstIndex_ + count_) of a job. Repeating it never starts a task twice.
struct TaskOffer
{
    ReplyTo replyTo_;
    ShardId group_;
    JobSpec job_;
    std::uint32_t firstIndex_ = 0;
    std::uint32_t count_ = 1;
    std::uint32_t attempt_ = 1; // of the caller, for interactive work
    Milliseconds remaining_{0}; // time to the deadline for starting, from sending
    bool mayHaveRun_ = false; // an earlier offer of these tasks may have reached this group
    bool lookupOnly_ = false; // answer what is known; start nothing
    bool forwarded_ = false; // sent by the first candidate group to the second
    bool operator==(const TaskOffer &) const = default;
};

// What became of offered tasks. NotRun with NotHolder means that the group is elsewhere.
struct TaskAnswer
{
    ReplyTo replyTo_;
    ShardId group_;
    JobId job_;
    std::vector<TaskResult> results_;
    bool operator==(const TaskAnswer &) const = default;
};

// Tells a group that results were journaled; the group then acknowledges them to the worker.
struct TaskAck
{
    ShardId group_;
    std::vector<TaskId> tasks_;
    bool operator==(const TaskAck &) const = default;
};

// Stops tasks of a group, queued or running.
struct TaskCancel
{
    ShardId group_;
    std::vector<TaskId> tasks_;
    bool operator==(const TaskCancel &) const = default;
};

// Hands a job to its home partition.
struct JobSubmit
{
    ReplyTo replyTo_;
    ShardId partition_;
    JobSpec job_;
    std::uint32_t attempt_ = 1;
    Milliseconds remaining_{0}; // time to the deadline for being accepted, from sending
    bool operator==(const JobSubmit &) const = default;
};

// Asks for the state of a job; answered when final or after wait_.
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

// State of a job. Pending means accepted when error_ is None.
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

// A change of the configuration is about to be written. The receiver stops counting as quiet until it has seen
// version_ or the announcement is withdrawn.
struct ConfigAnnounce
{
    CallId call_;
    BundleVersion version_;
    bool withdrawn_ = false;
    bool operator==(const ConfigAnnounce &) const = default;
};

struct ConfigAnnounceAck
{
    CallId call_;
    BundleVersion version_;
    bool operator==(const ConfigAnnounceAck &) const = default;
};

// The head of the configuration, pushed by a relay or a signer.
struct ConfigPush
{
    BundleVersion version_;
    std::string record_; // value of the store key config/head
    bool operator==(const ConfigPush &) const = default;
};

// The sender has stopped working on the shard; the receiver may claim it now.
struct Handover
{
    ShardId shard_;
    Epoch epoch_; // the sender's
    bool operator==(const Handover &) const = default;
};

// A group of the sender needs more of the team's limit, which is used up: the receiver gives back what it does not use.
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
