// The closed list of error kinds. table/error_table.h gives the answer that belongs to each.
#pragma once

#include <cstdint>
#include <string_view>
#include <system_error>

namespace mimosapier
{

enum class ErrorKind : std::uint8_t {
    None,
    MalformedRequest,
    MalformedFrame,
    UnsupportedVersion,
    BodyTooLarge,
    UnknownPath,
    UnknownTeam,
    UnknownClass,
    UnknownJob,
    WrongKey,
    ConfigStale,
    ImpossibleSize,
    Overloaded,
    DeadlineTooShort,
    DeadlinePassed,
    LimitReached,
    NotHolder,
    StaleEpoch,
    WorkerFull,
    WorkerLeaving,
    WorkerLost,
    TaskFailed,
    TaskLeaseLapsed,
    Cancelled,
    Preempted,
    StoreUnavailable,
    StoreConflict,
    PeerUnavailable,
    ShuttingDown,
    BadSetting,
    BadBundle,
    SameSigner,
    VersionRace,
    OutcomeUnknown,
    Internal,
    Count, // number of kinds
};

// Error category "mimosapier"; the values are those of ErrorKind.
const std::error_category &mimosapierCategory();

std::error_code make_error_code(ErrorKind kind); // NOLINT(readability-identifier-naming): name fixed by std::error_code

// Kind carried by an error code of this category; Internal for other categories.
ErrorKind errorKind(const std::error_code &code);

// Stable name used on the wire and in logs, for example "config-stale".
std::string_view errorName(ErrorKind kind);

// Kind with that name; Internal when the name is unknown.
ErrorKind errorFromName(std::string_view name);

// HTTP status of an answer that carries the kind.
unsigned httpStatus(ErrorKind kind);

// One sentence for the caller.
std::string_view errorText(ErrorKind kind);

} // namespace mimosapier

template <>
struct std::is_error_code_enum<mimosapier::ErrorKind> : std::true_type
{
};
