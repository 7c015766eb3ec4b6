// Outcome of a job as a whole from the results of its tasks.
#pragma once

#include "core/common/work_type.h"

#include <span>

namespace mimosapier
{

struct JobOutcome
{
    Outcome outcome_ = Outcome::Pending;
    ErrorKind error_ = ErrorKind::None;
};

// Pending while a task is not final. NotRun only when no task ran; a mixture of ended and refused tasks is Failed.
JobOutcome combineOutcomes(std::span<const TaskResult> results);

} // namespace mimosapier
