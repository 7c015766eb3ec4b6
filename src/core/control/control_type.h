// What a daemon of the cell consumes and produces.
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

// A client's request as it arrived. The queue and the job's id follow from host and path.
struct ClientRequest
{
    CallId call_;
    ClientMethod method_ = ClientMethod::Read;
    std::string host_;
    std::string path_;
    std::string key_; // of the client account; empty: none given
    std::optional<SubmittedJob> submitted_; // for Submit; empty when the body is malformed
    Milliseconds remaining_{0}; // until the client stops waiting
};

// error_: None, MalformedRequest, UnknownPath (no such queue), WrongKey, UnknownJob, Overloaded, StoreUnavailable,
// ConfigStale, PeerUnavailable, ShuttingDown (these certainly had no effect), or OutcomeUnknown.
struct ClientAnswer
{
    CallId call_;
    CellVerb verb_ = CellVerb::Query;
    ErrorKind error_ = ErrorKind::None;
    StagedState state_ = StagedState::Queued; // for Query
    std::uint64_t pending_ = 0; // for CountPending
    Milliseconds retryAfter_{0}; // for refusals; 0: not given
    Duration latency_{0}; // since the request arrived
};

// How the bytes that others have written to the store are read. Each returns false for bytes that are not what it
// reads.
struct CellDecoders
{
    std::function<bool(std::string_view, CellConfig &)> config_;
    std::function<bool(std::string_view id, std::string_view bytes, RunnerRecord &)> runner_;
};

struct ControlSettings
{
    CellSettings cell_;
    DaemonId self_;
    std::string peerAddress_;
    Milliseconds leaveTimeout_{5'000}; // a leaving daemon answers all requests within this time
    std::uint64_t seed_ = 1; // of jitter
};

struct ControlActions
{
    CellActions cell_; // replies_ and policy_ have been taken by the control
    std::vector<ClientAnswer> answers_;
    std::vector<PeerSend> peerMessages_;
    std::optional<PeerSet> peerSet_;
    std::vector<PolicyQuery> queries_; // to be made by this daemon
};

} // namespace mimosapier
