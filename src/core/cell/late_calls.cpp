// Calls to runners that are carried out late.
//
// A call without an answer may still be carried out, up to LateCallBound after it was sent, and then also by a later
// incarnation of the runner, where it counts the longest lease anew. To wait for that after each unanswered call would
// hold up the tasks of every lost runner. The leader therefore counts with late calls only while it sees them: a runner
// has left a call without an answer, and has answered calls that were sent shortly before and after it. A runner that
// is down or cut off answers neither.
#include "core/cell/cell_internal.h"

#include <algorithm>

namespace mimosapier::detail
{

// Longest time from one answered call to the next, by when they were sent, for which the runner is taken to have been
// reachable between them. Longer than the wait of a hold with its pause.
static constexpr Milliseconds ReachableSpan{2'000};

static void noteLateCall(Cell &cell, const Runner &runner, TimePoint sentAt, CellTime now, CellActions &actions)
{
    const bool known = areCallsLate(cell, sentAt);
    cell.lateCallAt_ = std::max(cell.lateCallAt_, sentAt);
    const std::int64_t sentUnixMs = now.unixMs_ - ageMs(now.steady_, sentAt);
    if (sentUnixMs > cell.lateCallUnixMs_ + LateCallBound.count() / 2) { // the next leader needs no exact time
        cell.lateCallUnixMs_ = sentUnixMs;
        cell.runnersDirty_ = true;
    }
    if (!known) {
        JsonObject line = logEvent("late-calls");
        line.text("runner", runner.record_.id_.value_).number("sent_ms", ageMs(now.steady_, sentAt));
        addLogLine(actions, line, LogLevel::Warning);
    }
}

void noteAnsweredCall(Cell &cell, Runner &runner, TimePoint sentAt, CellTime now, CellActions &actions)
{
    const bool wasReachable = runner.answeredCallAt_ != TimePoint{} && sentAt <= runner.answeredCallAt_ + ReachableSpan;
    if (runner.unansweredCallAt_ != TimePoint{} && runner.unansweredCallAt_ < sentAt) {
        if (wasReachable) {
            noteLateCall(cell, runner, runner.unansweredCallAt_, now, actions);
        }
        runner.unansweredCallAt_ = {};
    }
    runner.answeredCallAt_ = std::max(runner.answeredCallAt_, sentAt);
}

void noteUnansweredCall(Cell &cell, Runner &runner, TimePoint sentAt, CellTime now, CellActions &actions)
{
    if (sentAt < runner.answeredCallAt_) { // a call that was sent after it has an answer already
        noteLateCall(cell, runner, sentAt, now, actions);
    } else {
        runner.unansweredCallAt_ = std::max(runner.unansweredCallAt_, sentAt);
    }
}

bool areCallsLate(const Cell &cell, TimePoint sentAt)
{
    return cell.lateCallAt_ != TimePoint{} && sentAt <= cell.lateCallAt_ + LateCallBound;
}

} // namespace mimosapier::detail
