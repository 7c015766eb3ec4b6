// Names of job states, run ends and runner statuses for logs and clients. Each table is in the order of its enum.
#include "core/message/runner_type.h"

#include <array>

namespace mimosapier
{

std::string_view stagedStateName(StagedState state)
{
    static constexpr std::array<std::string_view, 5> Names{"queued", "running", "completed", "failed", "cancelled"};
    return Names.at(static_cast<std::size_t>(state));
}

std::string_view runEndName(RunEnd end)
{
    static constexpr std::array<std::string_view, 6> Names{"done", "failed", "stopped", "lapsed", "broken", "alone"};
    return Names.at(static_cast<std::size_t>(end));
}

std::string_view runnerStatusName(RunnerStatus status)
{
    static constexpr std::array<std::string_view, 11> Names{"ok",         "fenced",     "superseded", "late",
                                                            "no-room",    "bad-ticket", "malformed",  "unhealthy",
                                                            "other-life", "not-sent",   "unknown"};
    return Names.at(static_cast<std::size_t>(status));
}

} // namespace mimosapier
