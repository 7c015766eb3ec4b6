// What the decision logic consumes and produces. The shells turn sockets, timers and files into events and carry
// out the actions; a replay feeds the same events.
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

struct PeerUp
{
    DaemonId daemon_;
};

// All connections to the daemon are closed; messages under way may or may not have arrived.
struct PeerDown
{
    DaemonId daemon_;
};

struct CallerGone
{
    CallId call_;
};

struct Tick
{
};

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

// A line for the log; text_ starts with the prefix of the part, for example "[group]".
struct LogLine
{
    LogLevel level_ = LogLevel::Info;
    std::string text_;
};

// The daemon has handed over everything and may exit.
struct LeaveFinished
{
};

using Action = std::variant<PeerSend, PeerSet, StoreRequest, WorkerRequest, CallerAnswer, LogLine, LeaveFinished>;

} // namespace mimosapier
