// Names of outcomes, modes and priorities. Each table is in the order of its enum.
#include "core/common/work_type.h"

#include <array>

namespace mimosapier
{

static constexpr std::array<std::string_view, 7> OutcomeNames{"pending", "running",   "done",   "failed",
                                                              "not-run", "cancelled", "unknown"};
static constexpr std::array<std::string_view, 4> ModeNames{"interactive", "journaled", "service", "gang"};
static constexpr std::array<std::string_view, 3> PriorityNames{"urgent", "normal", "batch"};

std::string_view outcomeName(Outcome outcome)
{
    return OutcomeNames.at(static_cast<std::size_t>(outcome));
}

std::string_view workModeName(WorkMode mode)
{
    return ModeNames.at(static_cast<std::size_t>(mode));
}

std::string_view priorityName(Priority priority)
{
    return PriorityNames.at(static_cast<std::size_t>(priority));
}

} // namespace mimosapier
