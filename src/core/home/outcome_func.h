// Outcome of a job as a whole from the results of its tasks. Used by homes and entries.
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

// Pending while a task is not final or `results` is empty. Otherwise the first that applies: Unknown, Failed or
// Cancelled if a task ended so; NotRun if no task ran; Failed if some tasks did not run; Done. error_ is the first
// error of a task with the decisive outcome.
JobOutcome combineOutcomes(std::span<const TaskResult> results);

} // namespace mimosapier
