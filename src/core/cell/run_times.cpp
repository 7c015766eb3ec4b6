// Run times learned from the ends that the leader sees: the ratio of the run time to the client's estimate by queue and
// account, and the speed of each runner.
//
// Designed for estimates that are off by a factor with a spread of 0.5 to 0.9, runners of speeds 0.6 to 1.6, and 3% of
// tasks that run seven times as long as their kind. All figures are natural logarithms, as these errors are factors.
//
// The speeds follow from pairs of ended tasks of one step: the tasks of a step are alike, so the estimate cancels out.
// Each pair raises the speed of one runner and lowers that of the other. The members of a gang end together, so their
// ends say nothing of a single runner. A gang counts for the ratio only, with the speed of its slowest runner.
//
// A difference is cut off before it is used, so that a straggler counts no more than the slowest ordinary task.
#include "core/cell/cell_internal.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace mimosapier::detail
{

static constexpr double PriorSteps = 4; // steps that the client's estimates, or the queue's ratio, count as
static constexpr double MaxSteps = 64; // older steps of a queue or account lose their influence
static constexpr double MinSpread = 0.2; // a smaller one would cut off ordinary differences
static constexpr double CutOff = 2.5; // largest difference that counts, in standard deviations
static constexpr double MeanDeviationToSpread = 1.2533; // of normally distributed values: sqrt(pi / 2)
static constexpr std::size_t MaxSamples = 8; // ended tasks of a step that a further one is compared with
static constexpr double MaxSpeedDifference = 0.6; // that counts in one comparison; runners of 0.6 and 1.0 differ by 0.5
static constexpr double PriorComparisons = 2; // comparisons that the assumption of an average speed counts as
static constexpr double MaxComparisons = 30; // a runner whose speed changes is known again after this many runs
static constexpr double StragglerDifference = 1.1; // of the logarithms of run times: a factor of 3
static constexpr double SpeedClassWidth = 0.25; // above the error of a learned speed, below the difference of two kinds
// A runner of speed 0.6 takes 1.7 times as long as the average one, and a run at one standard deviation (0.4) above the
// median 1.5 times as long as expected.
static constexpr double SlowRunFactor = 2.5;
static constexpr std::size_t MaxQueues = 256; // memory: 100 B each, as for accounts
static constexpr std::size_t MaxAccountsPerQueue = 256;
static constexpr Milliseconds RecentStart{10'000}; // time since the start by the runner's wall clock
static constexpr std::chrono::minutes HistoryKept{10}; // for a runner that is not listed
static constexpr Milliseconds LogInterval{10'000};

void attachHistory(Cell &cell, Runner &runner, bool wasListed, CellTime now, CellActions &actions)
{
    if (!cell.settings_.learnedRunTimes_) {
        return;
    }
    auto &slot = cell.runTimes_.runners_[runner.record_.address_];
    const bool isKnown = slot != nullptr;
    if (!isKnown) {
        slot = std::make_shared<RunnerHistory>();
    }
    slot->usedAt_ = now.steady_;
    runner.history_ = slot;
    // A runner that this leader sees for the first time may have restarted under an earlier one.
    const std::int64_t ageMs = now.unixMs_ - runner.record_.startedUnixMs_;
    const bool hasJustStarted = !isKnown && runner.record_.startedUnixMs_ != 0 && ageMs < RecentStart.count();
    if (!wasListed && (isKnown || hasJustStarted)) {
        noteTrouble(runner, RunnerTrouble::Relisted, now.steady_, actions);
    }
}

void noteRunPlaced(const Runner &runner, const StagedTask &task, const StepSpec &spec, StepState &step,
                   Placement &placement)
{
    placement.occurrence_ = task.occurrence_;
    placement.step_ = task.step_;
    placement.history_ = runner.history_;
    if (!spec.gang_ || !runner.history_) {
        return;
    }
    auto &slowest = step.runTimes_.slowest_;
    const bool isFirst = step.waiting_ + 1 == step.tasks_.size();
    if (isFirst || !slowest || runner.history_->speed_ < slowest->speed_) {
        slowest = runner.history_;
    }
}

// Counts the logarithm of a ratio; `part`: the part of the step that it stands for.
static void updateRatio(RunTimeRatio &ratio, double log, double part, TimePoint now)
{
    ratio.steps_ = std::min(ratio.steps_ + part, MaxSteps);
    const double gain = part / (ratio.steps_ + PriorSteps);
    const double limit = CutOff * ratio.spread_;
    const double difference = std::clamp(log - ratio.log_, -limit, limit);
    ratio.log_ += gain * difference;
    ratio.spread_ += gain * (MeanDeviationToSpread * std::abs(difference) - ratio.spread_);
    ratio.spread_ = std::max(ratio.spread_, MinSpread);
    ratio.updatedAt_ = now;
}

// Adds an entry; if there are `limit` entries, it replaces the one that `updatedAt` gives the earliest time for.
template <typename Value, typename UpdatedAt>
static Value &findOrAdd(std::map<std::string, Value> &entries, const std::string &key, std::size_t limit,
                        const Value &initial, const UpdatedAt &updatedAt)
{
    const auto found = entries.find(key);
    if (found != entries.end()) {
        return found->second;
    }
    if (entries.size() >= limit) {
        entries.erase(std::min_element(entries.begin(), entries.end(), [&updatedAt](const auto &a, const auto &b) {
            return updatedAt(a.second) < updatedAt(b.second);
        }));
    }
    return entries.emplace(key, initial).first->second;
}

static void learnRatio(Cell &cell, const Job &job, double log, double part, TimePoint now)
{
    QueueRunTimes &queue = findOrAdd(cell.runTimes_.queues_, job.policy_.queue_, MaxQueues, QueueRunTimes{},
                                     [](const QueueRunTimes &entry) { return entry.all_.updatedAt_; });
    RunTimeRatio initial = queue.all_;
    initial.steps_ = 0;
    RunTimeRatio &account = findOrAdd(queue.byAccount_, job.account_, MaxAccountsPerQueue, initial,
                                      [](const RunTimeRatio &entry) { return entry.updatedAt_; });
    updateRatio(queue.all_, log, part, now);
    updateRatio(account, log, part, now);
}

static double speedOf(const std::shared_ptr<RunnerHistory> &runner)
{
    return runner ? runner->speed_ : 0;
}

static void adjustSpeed(RunnerHistory &runner, double difference, double weight)
{
    runner.comparisons_ = std::min(runner.comparisons_ + weight, MaxComparisons);
    runner.speed_ += weight * difference / (runner.comparisons_ + PriorComparisons);
}

// Compares the run with the ones of its step that have ended before. The runner that was faster than expected, relative
// to the other, gains what the other loses, so that it does not matter which of them ended first.
static void learnSpeeds(const StepRunTimes &step, const RunSample &ended)
{
    const auto isOther = [&ended](const RunSample &sample) { return sample.runner_ != ended.runner_; };
    const auto others = std::count_if(step.samples_.begin(), step.samples_.end(), isOther);
    if (others == 0) {
        return;
    }
    const double weight = 1.0 / static_cast<double>(others);
    const double work = ended.logMs_ + ended.runner_->speed_;
    double sum = 0;
    for (const RunSample &sample : step.samples_) {
        if (isOther(sample)) {
            const double difference
                = std::clamp(sample.logMs_ + sample.runner_->speed_ - work, -MaxSpeedDifference, MaxSpeedDifference);
            adjustSpeed(*sample.runner_, -difference, weight);
            sum += difference;
        }
    }
    adjustSpeed(*ended.runner_, sum * weight, 1);
}

// Median of the logarithms of what the ended tasks of a step would have taken on an average runner.
static double medianWork(const StepRunTimes &step)
{
    std::array<double, MaxSamples> work{};
    std::transform(step.samples_.begin(), step.samples_.end(), work.begin(),
                   [](const RunSample &sample) { return sample.logMs_ + sample.runner_->speed_; });
    const auto end = work.begin() + static_cast<std::ptrdiff_t>(step.samples_.size());
    const auto middle = work.begin() + static_cast<std::ptrdiff_t>(step.samples_.size() / 2);
    std::nth_element(work.begin(), middle, end);
    return *middle;
}

static void addSample(StepRunTimes &step, const RunSample &sample)
{
    if (step.samples_.size() < MaxSamples) {
        step.samples_.push_back(sample);
    } else {
        step.samples_[step.samplesSeen_ % MaxSamples] = sample;
    }
    ++step.samplesSeen_;
}

// True when the time from the start to the end is the run time of a whole task on the processors that it asked for.
static bool isWholeRun(const Placement &placement, const FinishedRun &end, const StepSpec &spec, const Runner &runner)
{
    return end.end_ == RunEnd::Done && placement.run_ == end.run_ && placement.startedAt_ != TimePoint{}
    && placement.attempts_ == 1 && placement.phase_ != PlacementPhase::Stopping && placement.checkpoint_.empty()
        && placement.history_ && placement.history_ == runner.history_ && !spec.longRunning_ && !spec.fill_
        && (spec.affinityRack_.empty() || spec.affinityRack_ == runner.record_.rack_);
}

void noteRunEnd(Cell &cell, const Runner &runner, const FinishedRun &end, TimePoint now, CellActions &actions)
{
    if (!runner.history_) {
        return;
    }
    runner.history_->usedAt_ = now;
    Job *job = findJob(cell, end.task_.job_);
    StepState *step = nullptr;
    const TaskRecord *task = job != nullptr && !isFinal(*job) ? findTask(*job, end.task_, &step) : nullptr;
    if (end.end_ == RunEnd::Done || end.end_ == RunEnd::Failed) {
        const bool isMember = task != nullptr && stepSpec(*job, end.task_.step_).gang_;
        const bool isFirst = isMember
            && std::find(step->gangFailedRuns_.begin(), step->gangFailedRuns_.end(), end.run_.value_)
                == step->gangFailedRuns_.end();
        if (end.end_ == RunEnd::Done || !isMember || isFirst) {
            noteRunResult(runner, end.end_ == RunEnd::Failed, isFirst, now, actions);
        }
    }
    const auto placed = runner.tasks_.find(end.task_);
    if (task == nullptr || task->state_ == TaskState::Done || placed == runner.tasks_.end()) {
        return;
    }
    const StepSpec &spec = stepSpec(*job, end.task_.step_);
    if (!isWholeRun(placed->second, end, spec, runner)) {
        return;
    }
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(now - placed->second.startedAt_);
    const double logMs = std::log(std::max<double>(1, static_cast<double>(elapsed.count())));
    if (spec.estimate_ > Milliseconds(0)) {
        const double speed = spec.gang_ ? speedOf(step->runTimes_.slowest_) : runner.history_->speed_;
        const double log = logMs + speed - std::log(static_cast<double>(spec.estimate_.count()));
        learnRatio(cell, *job, log, spec.gang_ ? 1 : 1.0 / spec.count_, now);
    }
    if (spec.gang_) {
        return;
    }
    const RunSample sample{runner.history_, logMs};
    StepRunTimes &runTimes = step->runTimes_;
    if (!runTimes.samples_.empty() && logMs + runner.history_->speed_ > medianWork(runTimes) + StragglerDifference) {
        count(actions, CellCounter::Straggler);
    }
    learnSpeeds(runTimes, sample);
    addSample(runTimes, sample);
}

static double learnedRatio(const Cell &cell, const Job &job)
{
    const auto queue = cell.runTimes_.queues_.find(job.policy_.queue_);
    if (queue == cell.runTimes_.queues_.end()) {
        return 0;
    }
    const auto account = queue->second.byAccount_.find(job.account_);
    return account != queue->second.byAccount_.end() ? account->second.log_ : queue->second.all_.log_;
}

static Milliseconds toMilliseconds(double logMs)
{
    constexpr double MaxLogMs = 25; // over two years
    return Milliseconds(static_cast<std::int64_t>(std::exp(std::min(logMs, MaxLogMs))));
}

Milliseconds expectedRunTime(const Cell &cell, const StepSpec &spec, const Job &job)
{
    if (spec.estimate_ <= Milliseconds(0) || !cell.settings_.learnedRunTimes_) {
        return spec.estimate_;
    }
    return toMilliseconds(std::log(static_cast<double>(spec.estimate_.count())) + learnedRatio(cell, job));
}

TimePoint expectedEnd(const Cell &cell, const Placement &placement, const StepSpec &spec, const Job &job)
{
    if (placement.startedAt_ == TimePoint{} || spec.longRunning_) {
        return TimePoint::max();
    }
    const auto occurrence = job.occurrences_.find(placement.occurrence_);
    if (!placement.history_ || occurrence == job.occurrences_.end()
        || placement.step_ >= occurrence->second.steps_.size()) {
        return placement.startedAt_ + expectedRunTime(cell, spec, job);
    }
    const StepRunTimes &step = occurrence->second.steps_[placement.step_].runTimes_;
    const double speed = spec.gang_ ? speedOf(step.slowest_) : placement.history_->speed_;
    // The ended tasks of the step tell more than the estimate: its error is the same for all tasks of the step.
    const double hasEstimate = spec.estimate_ > Milliseconds(0) ? 1 : 0;
    const auto samples = static_cast<double>(step.samples_.size());
    if (hasEstimate + samples == 0) {
        return placement.startedAt_;
    }
    double sum = samples > 0 ? samples * medianWork(step) : 0;
    if (hasEstimate > 0) {
        sum += std::log(static_cast<double>(spec.estimate_.count())) + learnedRatio(cell, job);
    }
    return placement.startedAt_ + toMilliseconds(sum / (hasEstimate + samples) - speed);
}

std::int64_t speedClass(const Runner &runner)
{
    return std::lround(speedOf(runner.history_) / SpeedClassWidth);
}

bool prefersFastRunner(const Cell &cell, const StepSpec &spec, const StepRef &ref, const Job &job, TimePoint now)
{
    if (!cell.settings_.learnedRunTimes_ || spec.longRunning_ || job.submitted_.repeatCount_ > 0
        || now > job.valueEndsAt_) {
        return false;
    }
    const double estimate = static_cast<double>(job.criticalPaths_[ref.step_].count());
    const double chain = estimate * std::exp(learnedRatio(cell, job));
    const double left = std::chrono::duration<double, std::milli>(job.objectiveAt_ - now).count();
    return left < SlowRunFactor * chain;
}

// The speeds are known relative to each other only. Moves their mean to 0 and the ratios by as much, so that neither
// drifts.
static void centreSpeeds(RunTimes &runTimes)
{
    double sum = 0;
    std::size_t known = 0;
    for (const auto &[address, runner] : runTimes.runners_) {
        if (runner->comparisons_ > 0) {
            sum += runner->speed_;
            ++known;
        }
    }
    if (known == 0) {
        return;
    }
    const double mean = sum / static_cast<double>(known);
    for (const auto &[address, runner] : runTimes.runners_) {
        runner->speed_ -= runner->comparisons_ > 0 ? mean : 0;
    }
    for (auto &[name, queue] : runTimes.queues_) {
        queue.all_.log_ -= mean;
        for (auto &[account, ratio] : queue.byAccount_) {
            ratio.log_ -= mean;
        }
    }
}

static void logRunTimes(const RunTimes &runTimes, std::int64_t suspects, TimePoint now, CellActions &actions)
{
    double slowest = 0;
    double fastest = 0;
    for (const auto &[address, runner] : runTimes.runners_) {
        slowest = std::min(slowest, runner->speed_);
        fastest = std::max(fastest, runner->speed_);
    }
    for (const auto &[name, queue] : runTimes.queues_) {
        if (now - queue.all_.updatedAt_ > LogInterval) {
            continue;
        }
        JsonObject line = logEvent("run-times");
        line.text("queue", name).real("ratio", std::exp(queue.all_.log_)).real("spread", queue.all_.spread_);
        line.number("steps", std::lround(queue.all_.steps_));
        line.number("accounts", static_cast<std::int64_t>(queue.byAccount_.size()));
        line.real("slowest_runner", std::exp(slowest)).real("fastest_runner", std::exp(fastest));
        line.number("suspect_runners", suspects);
        addLogLine(actions, line);
    }
}

void maintainRunTimes(Cell &cell, TimePoint now, CellActions &actions)
{
    if (!cell.settings_.learnedRunTimes_ || now < cell.runTimes_.nextLogAt_) {
        return;
    }
    cell.runTimes_.nextLogAt_ = now + LogInterval;
    std::erase_if(cell.runTimes_.runners_, [now](const auto &entry) {
        return entry.second.use_count() == 1 && now - entry.second->usedAt_ > HistoryKept;
    });
    centreSpeeds(cell.runTimes_);
    std::int64_t suspects = 0;
    for (const auto &[address, runner] : cell.runTimes_.runners_) {
        suspects += updateSuspect(address, *runner, now, actions) ? 1 : 0;
    }
    logRunTimes(cell.runTimes_, suspects, now, actions);
}

} // namespace mimosapier::detail
