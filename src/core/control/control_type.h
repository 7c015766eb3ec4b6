// Inputs, settings and outputs of the control logic of one cell daemon, see control_func.h. The client front end and
// the platform codec use the client types as well.
#pragma once

#include "core/cell/cell_type.h"
#include "core/common/error_type.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mimosapier
{

enum class ClientMethod : std::uint8_t { Submit, Read, Cancel };

// A decoded client request. The queue and the job id are derived from host_ and path_.
struct ClientRequest
{
    CallId call_; // identifies the request on this daemon; returned in the answer
    ClientMethod method_ = ClientMethod::Read;
    std::string host_;
    std::string path_;
    std::string key_; // API key of the client account; empty: the client sent none
    std::optional<SubmittedJob> submitted_; // for Submit; empty when the body is malformed
    Milliseconds remaining_{0}; // time until the client stops waiting, from arrival
};

// Final answer to a ClientRequest. Values of error_:
// - None: success.
// - MalformedRequest, UnknownPath (no such queue), WrongKey, UnknownJob, Overloaded, StoreUnavailable, ConfigStale,
//   PeerUnavailable, ShuttingDown: the request had no effect.
// - OutcomeUnknown: the request may or may not have taken effect.
struct ClientAnswer
{
    CallId call_;
    CellVerb verb_ = CellVerb::Query;
    ErrorKind error_ = ErrorKind::None;
    StagedState state_ = StagedState::Queued; // for Query
    std::uint64_t pending_ = 0; // for CountPending
    Milliseconds retryAfter_{0}; // for errors: suggested delay before a retry; 0: none
    Duration latency_{0}; // from arrival of the request to this answer; 0 for requests rejected on arrival
};

// Decoders of store values that other programs write. Each returns false for malformed bytes. Both must be set.
struct CellDecoders
{
    std::function<bool(std::string_view, CellConfig &)> config_;
    std::function<bool(std::string_view id, std::string_view bytes, RunnerRecord &)> runner_;
};

struct ControlSettings
{
    CellSettings cell_;
    DaemonId self_;
    std::string peerAddress_; // "ip:port" at which the other daemons connect to this one
    Milliseconds leaveTimeout_{5'000}; // a leaving daemon answers all open requests within this time
    std::uint64_t seed_ = 1; // of the election jitter
};

// Work for the caller to carry out; the functions of control_func.h append to it.
struct ControlActions
{
    CellActions cell_; // the caller ignores replies_ and policy_: finishBatch() routes them
    std::vector<ClientAnswer> answers_;
    std::vector<PeerSend> peerMessages_;
    std::optional<PeerSet> peerSet_; // replaces the daemons to connect to; empty: unchanged
    std::vector<PolicyQuery> queries_; // to be sent to the policy service by this daemon
};

} // namespace mimosapier
