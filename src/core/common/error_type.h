// All error kinds of the daemons. table/error_table.h has the name, HTTP status and text of each. Functions return
// std::error_code with these kinds; callers and peers see the names.
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

// Error category "mimosapier". Its values are the values of ErrorKind.
const std::error_category &mimosapierCategory();

std::error_code make_error_code(ErrorKind kind); // NOLINT(readability-identifier-naming): name fixed by std::error_code

// Kind of an error code: None for success, Internal for codes of other categories.
ErrorKind errorKind(const std::error_code &code);

// Name on the wire and in logs, for example "config-stale". Names never change.
std::string_view errorName(ErrorKind kind);

// Kind with a name; Internal for unknown names.
ErrorKind errorFromName(std::string_view name);

// HTTP status of answers with this kind.
unsigned httpStatus(ErrorKind kind);

// Sentence that describes the error to the caller.
std::string_view errorText(ErrorKind kind);

} // namespace mimosapier

template <>
struct std::is_error_code_enum<mimosapier::ErrorKind> : std::true_type
{
};
