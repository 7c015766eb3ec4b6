// Events, the input of the decision logic, and actions, its output. The daemon turns input from sockets, timers and
// files into events and carries out the actions; a replay feeds recorded events.
#pragma once

#include "core/common/instance_type.h"
#include "core/message/caller_type.h"
#include "core/message/peer_type.h"
#include "core/message/store_type.h"
#include "core/message/worker_type.h"

#include <string>
#include <variant>
#include <vector>

namespace mimosapier
{

struct PeerReceived
{
    DaemonId from_;
    PeerMessage message_;
};

// The first connection to the daemon has been established.
struct PeerUp
{
    DaemonId daemon_;
};

// The last connection to the daemon was closed. Messages sent before may or may not have arrived.
struct PeerDown
{
    DaemonId daemon_;
};

// The caller closed the connection before its request was answered.
struct CallerGone
{
    CallId call_;
};

// Sent regularly; drives all timeouts.
struct Tick
{
};

// The daemon is asked to hand over its shards and exit; answered with LeaveFinished.
struct LeaveRequested
{
};

using Event = std::variant<PeerReceived, PeerUp, PeerDown, StoreResult, WorkerResult, CallerRequest, CallerGone,
                           InstanceSnapshot, Tick, LeaveRequested>;

struct PeerSend
{
    DaemonId to_;
    PeerMessage message_;
};

// A daemon to keep connections to, with its address "ip:port".
struct PeerAddress
{
    DaemonId daemon_;
    std::string address_;
    bool operator==(const PeerAddress &) const = default;
};

// Replaces the set of daemons to keep connections to.
struct PeerSet
{
    std::vector<PeerAddress> peers_;
};

enum class LogLevel : std::uint8_t { Info, Warning, Error };

// A log line. text_ starts with the prefix of the part, for example "[group]".
struct LogLine
{
    LogLevel level_ = LogLevel::Info;
    std::string text_;
};

// All shards are handed over; the daemon may exit.
struct LeaveFinished
{
};

using Action = std::variant<PeerSend, PeerSet, StoreRequest, WorkerRequest, CallerAnswer, LogLine, LeaveFinished>;

} // namespace mimosapier
