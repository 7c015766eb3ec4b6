// Name on the wire, HTTP status and text for the caller of each error kind. Names and texts are part of the interface
// and must not change.
#pragma once

#include "core/common/error_type.h"

#include <array>

namespace mimosapier
{

struct ErrorRow
{
    ErrorKind kind_;
    std::string_view name_;
    unsigned httpStatus_;
    std::string_view text_;
};

// Indexed by the value of ErrorKind; error.cpp checks the order at compile time.
inline constexpr std::array<ErrorRow, static_cast<std::size_t>(ErrorKind::Count)> ErrorTable{{
    {ErrorKind::None, "none", 200, "No error."},
    {ErrorKind::MalformedRequest, "malformed-request", 400, "The request could not be parsed."},
    {ErrorKind::MalformedFrame, "malformed-frame", 400, "The frame could not be decoded."},
    {ErrorKind::UnsupportedVersion, "unsupported-version", 400, "This protocol version is not supported."},
    {ErrorKind::BodyTooLarge, "body-too-large", 413, "The body is larger than the limit."},
    {ErrorKind::UnknownPath, "unknown-path", 404, "There is no such resource."},
    {ErrorKind::UnknownTeam, "unknown-team", 403, "The team does not exist."},
    {ErrorKind::UnknownClass, "unknown-class", 400, "The class of work does not exist."},
    {ErrorKind::UnknownJob, "unknown-job", 404, "The job is not known."},
    {ErrorKind::WrongKey, "wrong-key", 403, "The key is not valid for the team."},
    {ErrorKind::ConfigStale, "config-stale", 503, "This daemon cannot confirm that the key is still valid."},
    {ErrorKind::ImpossibleSize, "impossible-size", 422, "No worker is large enough for the declared size."},
    {ErrorKind::Overloaded, "overloaded", 429, "The queue is full."},
    {ErrorKind::DeadlineTooShort, "deadline-too-short", 429, "The work could not start before its deadline."},
    {ErrorKind::DeadlinePassed, "deadline-passed", 504, "The deadline passed before the work started."},
    {ErrorKind::LimitReached, "limit-reached", 429, "The team is at its upper limit."},
    {ErrorKind::NotHolder, "not-holder", 421, "This daemon does not hold the shard."},
    {ErrorKind::StaleEpoch, "stale-epoch", 409, "A later holder has taken over."},
    {ErrorKind::WorkerFull, "worker-full", 429, "The worker has no room."},
    {ErrorKind::WorkerLeaving, "worker-leaving", 410, "The worker is leaving."},
    {ErrorKind::WorkerLost, "worker-lost", 502, "The worker was lost while the task ran."},
    {ErrorKind::TaskFailed, "task-failed", 200, "The task ran and failed."},
    {ErrorKind::TaskLeaseLapsed, "task-lease-lapsed", 502, "The task was stopped because its lease lapsed."},
    {ErrorKind::Cancelled, "cancelled", 200, "The work was cancelled."},
    {ErrorKind::Preempted, "preempted", 503, "The task was stopped in favour of urgent work."},
    {ErrorKind::StoreUnavailable, "store-unavailable", 503, "The store cannot be reached."},
    {ErrorKind::StoreConflict, "store-conflict", 409, "Another write came first."},
    {ErrorKind::PeerUnavailable, "peer-unavailable", 503, "The responsible daemon cannot be reached."},
    {ErrorKind::ShuttingDown, "shutting-down", 503, "This daemon is shutting down."},
    {ErrorKind::BadSetting, "bad-setting", 400, "A setting is not valid."},
    {ErrorKind::BadBundle, "bad-bundle", 422, "The configuration bundle is not valid."},
    {ErrorKind::SameSigner, "same-signer", 403, "A draft is signed off by another person than its author."},
    {ErrorKind::VersionRace, "version-race", 409, "Another bundle was signed off first."},
    {ErrorKind::OutcomeUnknown, "outcome-unknown", 504, "The work may or may not have run."},
    {ErrorKind::Internal, "internal", 500, "Internal error."},
}};

} // namespace mimosapier
