// Outcome of a job from the results of its tasks.
#include "core/home/outcome_func.h"

#include <array>

namespace mimosapier
{

JobOutcome combineOutcomes(std::span<const TaskResult> results)
{
    std::array<std::size_t, 7> counts{};
    std::array<ErrorKind, 7> errors{};
    for (const TaskResult &result : results) {
        const auto outcome = static_cast<std::size_t>(result.outcome_);
        ++counts.at(outcome);
        if (errors.at(outcome) == ErrorKind::None) {
            errors.at(outcome) = result.error_;
        }
    }
    const auto count = [&counts](Outcome outcome) { return counts.at(static_cast<std::size_t>(outcome)); };
    const auto with = [&errors](Outcome outcome, Outcome source) {
        return JobOutcome{outcome, errors.at(static_cast<std::size_t>(source))};
    };
    if (count(Outcome::Pending) + count(Outcome::Running) > 0 || results.empty()) {
        return {};
    }
    if (count(Outcome::Unknown) > 0) {
        return with(Outcome::Unknown, Outcome::Unknown);
    }
    if (count(Outcome::Failed) > 0) {
        return with(Outcome::Failed, Outcome::Failed);
    }
    if (count(Outcome::Cancelled) > 0) {
        return with(Outcome::Cancelled, Outcome::Cancelled);
    }
    if (count(Outcome::NotRun) == results.size()) {
        return with(Outcome::NotRun, Outcome::NotRun);
    }
    if (count(Outcome::NotRun) > 0) {
        return with(Outcome::Failed, Outcome::NotRun);
    }
    return with(Outcome::Done, Outcome::Done);
}

} // namespace mimosapier
