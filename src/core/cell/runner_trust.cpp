// How likely a run on a runner is to be lost, from what the leader has seen of the runner lately.
//
// Designed for runners that go down and up every second or two for several seconds, and for runners that fail all or
// part of what they start while they look healthy. A task is lost alone, but a gang of 20 members on 7 runners is lost
// when one of them fails. Such runners are taken last, and for gangs not while others can hold the gang.
//
// FailedRunsPause needs three failed runs in a row. A runner that fails a part of its runs rarely has these, and a gang
// shows one failed member at a time, as the others end as broken. Therefore the share of failed runs counts.
#include "core/cell/cell_internal.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace mimosapier::detail
{

// Weights of RunnerTrouble. A runner that is not reached once may have met a short fault of the network; twice within
// TroubleHalfLife it is suspect, as after each crash.
static constexpr std::array<double, 5> TroubleWeights{2, 1, 0.5, 0.4, 0.5};
static constexpr double HighTrouble = 0.95;
static constexpr double RaisedTrouble = 0.25;
static constexpr double MaxTrouble = 8; // a runner is suspect for 31 s at most after its last trouble
static constexpr Milliseconds TroubleHalfLife{10'000}; // flapping lasts several seconds
// One failure in the last eight runs gives a share of 0.12, and two give 0.23.
static constexpr double MaxRuns = 8;
static constexpr double PriorRuns = 4; // without a failure, that an unknown runner counts as having had
static constexpr double HighFailedShare = 0.15;
static constexpr double RaisedFailedShare = 0.05;
static constexpr Milliseconds FailedShareHalfLife{
    30'000}; // a runner that gets no runs cannot show that it has recovered

static double decayFactor(Duration age, Milliseconds halfLife)
{
    return std::exp2(-std::chrono::duration<double>(age) / std::chrono::duration<double>(halfLife));
}

static void decay(RunnerHistory &history, TimePoint now)
{
    history.trouble_ *= decayFactor(now - history.decayedAt_, TroubleHalfLife);
    history.failedShare_ *= decayFactor(now - history.decayedAt_, FailedShareHalfLife);
    history.decayedAt_ = now;
}

static RunnerRisk riskOf(const RunnerHistory &history, TimePoint now)
{
    if (history.trouble_ < RaisedTrouble && history.failedShare_ < RaisedFailedShare) {
        return RunnerRisk::Low;
    }
    RunnerHistory present = history;
    decay(present, now);
    if (present.trouble_ >= HighTrouble || present.failedShare_ >= HighFailedShare) {
        return RunnerRisk::High;
    }
    const bool isRaised = present.trouble_ >= RaisedTrouble || present.failedShare_ >= RaisedFailedShare;
    return isRaised ? RunnerRisk::Raised : RunnerRisk::Low;
}

RunnerRisk riskOf(const Runner &runner, TimePoint now)
{
    return runner.history_ ? riskOf(*runner.history_, now) : RunnerRisk::Low;
}

static void logSuspect(const std::string &address, const RunnerHistory &history, CellActions &actions)
{
    JsonObject line = logEvent("runner-suspect");
    line.text("address", address).boolean("suspect", history.suspect_);
    line.real("trouble", history.trouble_).real("failed_share", history.failedShare_);
    addLogLine(actions, line);
}

bool updateSuspect(const std::string &address, RunnerHistory &history, TimePoint now, CellActions &actions)
{
    const bool suspect = riskOf(history, now) == RunnerRisk::High;
    if (suspect != history.suspect_) {
        decay(history, now);
        history.suspect_ = suspect;
        logSuspect(address, history, actions);
        if (suspect) {
            count(actions, CellCounter::RunnerSuspected);
        }
    }
    return suspect;
}

void noteTrouble(const Runner &runner, RunnerTrouble trouble, TimePoint now, CellActions &actions)
{
    if (!runner.history_) {
        return;
    }
    RunnerHistory &history = *runner.history_;
    decay(history, now);
    history.trouble_ = std::min(history.trouble_ + TroubleWeights.at(static_cast<std::size_t>(trouble)), MaxTrouble);
    updateSuspect(runner.record_.address_, history, now, actions);
}

void noteRunResult(const Runner &runner, bool failed, bool endsGang, TimePoint now, CellActions &actions)
{
    if (!runner.history_) {
        return;
    }
    RunnerHistory &history = *runner.history_;
    decay(history, now);
    const int runs = failed && endsGang ? 2 : 1; // the other members' runs are lost as well
    for (int i = 0; i < runs; ++i) {
        history.runs_ = std::min(history.runs_ + 1, MaxRuns - PriorRuns);
        history.failedShare_ += ((failed ? 1.0 : 0.0) - history.failedShare_) / (history.runs_ + PriorRuns);
    }
    updateSuspect(runner.record_.address_, history, now, actions);
}

bool canTrustedRunnersHoldGang(const Cell &cell, const StepSpec &spec, const StepState &step, const Job &job,
                               TimePoint now)
{
    std::uint32_t members = 0;
    for (const auto &[id, runner] : cell.runners_) {
        if (runner->record_.service_ != job.policy_.service_ || !isUsable(cell, *runner, now)
            || riskOf(*runner, now) == RunnerRisk::High) {
            continue;
        }
        if (job.policy_.policyQueries_) {
            const auto verdict = step.verdicts_.find(id);
            if (verdict == step.verdicts_.end() || !verdict->second.allowed_) {
                continue;
            }
        }
        members += membersThatMayRun(*runner, spec);
        if (members >= spec.count_) {
            return true;
        }
    }
    return false;
}

} // namespace mimosapier::detail
