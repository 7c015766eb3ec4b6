// Placement: chooses the waiting tasks that start now and their runners.
//
// Designed for bursts of urgent jobs on a fleet that batch work and gangs keep full, and for backlogs after an outage.
// The steps are tried in the order of urgency.cpp. A task goes to the runner that has the least free capacity left, so
// that large tasks and gangs still find runners with enough. A gang is placed as a whole or not at all.
#include "core/cell/cell_internal.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <set>
#include <tuple>

namespace mimosapier::detail
{

namespace
{

// A runner that may take tasks of a step, with its free resources.
struct Candidate
{
    Runner *runner_ = nullptr;
    Resources free_;
    std::uint32_t antiAffinityLeft_ = 0; // further tasks of the step that anti-affinity allows
    bool nearData_ = true; // in the rack of the step's data, or the step has no such rack
    bool cold_ = false; // slow after its start: takes a task only when no warm candidate has room
};

struct StepContext
{
    Job &job_;
    Occurrence &occurrence_;
    StepState &step_;
    const StepSpec &spec_;
    StepRef ref_;
    RoomAccess access_{};
};

} // namespace

static StagedTask taskOf(const StepContext &context, std::uint32_t index)
{
    return {context.ref_.job_, context.ref_.occurrence_, context.ref_.step_, index};
}

std::uint32_t fittingTasks(const Resources &free, const Resources &size)
{
    std::uint32_t fitting = UINT32_MAX;
    const auto limit = [&](std::int64_t Resources::*dimension) {
        if (size.*dimension > 0) {
            fitting = std::min(
                fitting, static_cast<std::uint32_t>(std::max<std::int64_t>(0, free.*dimension / (size.*dimension))));
        }
    };
    limit(&Resources::milliCpus_);
    limit(&Resources::memoryMb_);
    limit(&Resources::accelerators_);
    return fitting;
}

static std::uint32_t fittingTasks(const Candidate &candidate, const Resources &size)
{
    return std::min(candidate.antiAffinityLeft_, fittingTasks(candidate.free_, size));
}

static std::vector<Candidate> candidatesOf(FreeCapacityIndex &freeCapacity, const StepContext &context, TimePoint now)
{
    std::vector<Candidate> candidates;
    const Resources size = reservedSize(context.spec_);
    const QueuePolicy &policy = context.job_.policy_;
    if (policy.policyQueries_ && context.step_.verdicts_.empty()) {
        return candidates;
    }
    for (const RunnerFreeCapacity &entry :
         freeCapacity.runnersWithFree(policy.service_, std::max<std::int64_t>(size.milliCpus_, 0))) {
        Runner *runner = entry.runner_;
        if (runner->isolatedTasks_ > 0 || !hasRequiredLabel(context.spec_, *runner)
            || (policy.policyQueries_ && !hasTicket(context.step_, *runner, now))) {
            continue;
        }
        Candidate candidate{runner, freeFor(*runner, context.access_), context.spec_.count_, true,
                            now < runner->warmAt_};
        if (context.spec_.antiAffinity_ > 0) {
            const auto placed = context.step_.perRunner_.find(runner->record_.id_);
            const std::uint32_t there = placed == context.step_.perRunner_.end() ? 0 : placed->second;
            candidate.antiAffinityLeft_ = context.spec_.antiAffinity_ - std::min(there, context.spec_.antiAffinity_);
        }
        candidate.nearData_
            = context.spec_.affinityRack_.empty() || runner->record_.rack_ == context.spec_.affinityRack_;
        if (fittingTasks(candidate, size) > 0) {
            candidates.push_back(candidate);
        }
    }
    return candidates;
}

std::uint32_t tasksWithinLimit(const Cell &cell, const Job &job, const Resources &size)
{
    const auto found = cell.accounts_.find(job.account_);
    if (found == cell.accounts_.end()) {
        return UINT32_MAX;
    }
    const Account &account = found->second;
    std::int64_t allowed = UINT32_MAX;
    const auto limit = [&allowed, &cell](std::int64_t cap, std::int64_t used, std::int64_t each,
                                         std::int64_t Resources::*dimension) {
        if (cap <= 0 || each <= 0) {
            return;
        }
        // The tasks on runners that have not answered a new leader are unknown: the account is assumed to use all of
        // such a runner.
        if (!cell.allTasksKnown_) {
            for (const auto &[id, runner] : cell.runners_) {
                if (runner->mayHavePredecessorTasks_ && !runner->predecessorTasksKnown_) {
                    used += runner->record_.capacity_.*dimension;
                }
            }
        }
        allowed = std::min(allowed, std::max<std::int64_t>(0, (cap - used) / each));
    };
    const Resources &cap = account.config_.cap_;
    limit(cap.milliCpus_, account.used_.milliCpus_, size.milliCpus_, &Resources::milliCpus_);
    limit(cap.memoryMb_, account.used_.memoryMb_, size.memoryMb_, &Resources::memoryMb_);
    limit(cap.accelerators_, account.used_.accelerators_, size.accelerators_, &Resources::accelerators_);
    return static_cast<std::uint32_t>(allowed);
}

// The candidate with room for a task of this size that `isAllowed` accepts and that has the lowest rank among the warm
// ones, or among all if no warm one has room; nullptr: none.
template <typename Rank, typename IsAllowed>
static Candidate *bestCandidate(std::vector<Candidate> &candidates, const Resources &size, const Rank &rank,
                                const IsAllowed &isAllowed)
{
    Candidate *best = nullptr;
    for (Candidate &candidate : candidates) {
        if (fittingTasks(candidate, size) > 0 && isAllowed(candidate)
            && (best == nullptr || std::pair(candidate.cold_, rank(candidate)) < std::pair(best->cold_, rank(*best)))) {
            best = &candidate;
        }
    }
    return best;
}

// The best candidate for one task: near the data, not the runner to avoid, with the lowest risk, fast if the job has
// little slack, with the fewest consecutive failed runs, then with the fewest free processors.
static Candidate *bestCandidateForTask(const Cell &cell, const StepContext &context, std::vector<Candidate> &candidates,
                                       const Resources &size, const RunnerId &avoid, TimePoint now)
{
    const bool fast = prefersFastRunner(cell, context.spec_, context.ref_, context.job_, now);
    const auto rank = [&avoid, fast, now](const Candidate &candidate) {
        return std::make_tuple(!candidate.nearData_, candidate.runner_->record_.id_ == avoid,
                               riskOf(*candidate.runner_, now), fast ? -speedClass(*candidate.runner_) : 0,
                               candidate.runner_->failedRuns_, candidate.free_.milliCpus_);
    };
    return bestCandidate(candidates, size, rank, [](const Candidate &) { return true; });
}

// The best candidate for a task under which a runner has crashed: near the data, then with the fewest other tasks.
// `isolated`: only a runner without any.
static Candidate *bestCandidateForSuspect(std::vector<Candidate> &candidates, const Resources &size, bool isolated)
{
    const auto rank = [](const Candidate &candidate) {
        return std::make_tuple(!candidate.nearData_, candidate.runner_->tasks_.size(), -candidate.free_.milliCpus_);
    };
    return bestCandidate(candidates, size, rank, [isolated](const Candidate &candidate) {
        return !isolated || candidate.runner_->tasks_.empty();
    });
}

// Reserves the candidate's resources for a run of the task.
static Placement &placeTask(Cell &cell, const StepContext &context, std::uint32_t index, Candidate &candidate,
                            std::uint64_t run)
{
    Runner &runner = *candidate.runner_;
    Placement &placement = addPlacement(cell, runner, context.job_, taskOf(context, index), RunNumber{run});
    notePlacementInRooms(runner, placement, context.access_);
    candidate.free_ -= placement.size_;
    --candidate.antiAffinityLeft_;
    placement.checkpoint_ = context.step_.tasks_[index].checkpoint_;
    setTicket(context.step_, runner, placement);
    return placement;
}

static void startTask(Cell &cell, const StepContext &context, std::uint32_t index, Candidate &candidate,
                      std::uint64_t run, CellTime now, CellActions &actions)
{
    Placement &placement = placeTask(cell, context, index, candidate, run);
    sendStart(cell, *candidate.runner_, taskOf(context, index), placement, now, actions);
}

// Number of the next run of a task or gang; `used`: highest run number used so far.
static std::uint64_t nextRun(const Job &job, std::uint64_t used)
{
    return std::max(used, job.runFloor_) + 1;
}

// Fills the candidates in `order` with the members of a gang, after sorting them: those with room for the most members
// first. Result: one index into `candidates` per member, or empty if they do not fit.
static std::vector<std::size_t> fillWithGang(const StepContext &context, const std::vector<Candidate> &candidates,
                                             std::vector<std::size_t> order)
{
    const Resources size = reservedSize(context.spec_);
    std::map<std::string, std::uint32_t> rackFit;
    for (const std::size_t i : order) {
        rackFit[candidates[i].runner_->record_.rack_] += fittingTasks(candidates[i], size);
    }
    // A gang that is slower across racks takes the racks with the most free capacity first.
    std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        const Candidate &a = candidates[left];
        const Candidate &b = candidates[right];
        if (a.cold_ != b.cold_) {
            return b.cold_;
        }
        if (a.nearData_ != b.nearData_) {
            return a.nearData_;
        }
        if (context.spec_.sameRack_ && a.runner_->record_.rack_ != b.runner_->record_.rack_) {
            const auto fitA = rackFit[a.runner_->record_.rack_];
            const auto fitB = rackFit[b.runner_->record_.rack_];
            return fitA != fitB ? fitA > fitB : a.runner_->record_.rack_ < b.runner_->record_.rack_;
        }
        return fittingTasks(a, size) > fittingTasks(b, size);
    });
    std::vector<std::size_t> chosen;
    for (const std::size_t i : order) {
        for (std::uint32_t fitting = fittingTasks(candidates[i], size);
             fitting > 0 && chosen.size() < context.spec_.count_; --fitting) {
            chosen.push_back(i);
        }
    }
    if (chosen.size() < context.spec_.count_) {
        chosen.clear();
    }
    return chosen;
}

// Cost of running a gang on the chosen runners, as the logarithm of the time that it takes: the slowest runner and the
// distance count for all members, and each further runner adds to the risk that the run is lost.
static double gangCost(const Cell &cell, const StepContext &context, const std::vector<Candidate> &candidates,
                       const std::vector<std::size_t> &chosen)
{
    // Assumed: 7 runners cost as much as a speed that is lower by 13%.
    constexpr double CostPerRunner = 0.02;
    std::set<std::size_t> runners;
    std::set<std::string_view> racks;
    double slowest = std::numeric_limits<double>::max();
    bool isRemote = false;
    for (const std::size_t i : chosen) {
        const Runner &runner = *candidates[i].runner_;
        runners.insert(i);
        racks.insert(runner.record_.rack_);
        slowest = std::min(slowest, runner.history_ ? runner.history_->speed_ : 0);
        isRemote = isRemote || !candidates[i].nearData_;
    }
    isRemote = isRemote || (context.spec_.sameRack_ && racks.size() > 1);
    return CostPerRunner * static_cast<double>(runners.size()) - slowest
        + (isRemote ? std::log(cell.settings_.remoteFactor_) : 0);
}

// A gang waits for trusted runners only this long after its job was submitted: a job for which there is room has to
// start within 3 s.
static constexpr Milliseconds MaxWaitForTrusted{2'000};

// Chooses runners for all members of a gang: one index into `candidates` per member. Result: empty if they do not fit,
// or if the gang is to wait for runners with less risk. The gang is as fast as its slowest runner, so the runners are
// chosen from those of at least one speed, for each speed in turn.
static std::vector<std::size_t> chooseGangRunners(const Cell &cell, const StepContext &context,
                                                  const std::vector<Candidate> &candidates, TimePoint now)
{
    std::vector<std::size_t> all(candidates.size());
    std::iota(all.begin(), all.end(), 0);
    if (!cell.settings_.learnedRunTimes_) {
        return fillWithGang(context, candidates, std::move(all));
    }
    const Resources size = reservedSize(context.spec_);
    for (const RunnerRisk risk : {RunnerRisk::Low, RunnerRisk::Raised, RunnerRisk::High}) {
        if (risk == RunnerRisk::High && now < context.job_.submittedAt_ + MaxWaitForTrusted
            && canTrustedRunnersHoldGang(cell, context.spec_, context.step_, context.job_, now)) {
            break;
        }
        std::map<std::int64_t, std::vector<std::size_t>, std::greater<>> bySpeed;
        for (const std::size_t i : all) {
            if (riskOf(*candidates[i].runner_, now) <= risk) {
                bySpeed[speedClass(*candidates[i].runner_)].push_back(i);
            }
        }
        std::vector<std::size_t> order;
        std::vector<std::size_t> best;
        double bestCost = std::numeric_limits<double>::max();
        std::uint64_t fitting = 0;
        for (const auto &[speed, indices] : bySpeed) {
            order.insert(order.end(), indices.begin(), indices.end());
            for (const std::size_t i : indices) {
                fitting += fittingTasks(candidates[i], size);
            }
            std::vector<std::size_t> chosen = fitting < context.spec_.count_ ? std::vector<std::size_t>{}
                                                                             : fillWithGang(context, candidates, order);
            const double cost = chosen.empty() ? bestCost : gangCost(cell, context, candidates, chosen);
            if (cost < bestCost) {
                best = std::move(chosen);
                bestCost = cost;
            }
        }
        if (!best.empty()) {
            return best;
        }
    }
    return {};
}

namespace
{

enum class PlaceResult : std::uint8_t {
    Placed, // no task of the step is waiting any more
    Blocked, // more runners or tickets would not help: retry delay, unfinished gang run or account limit
    RunnersMissing, // too few runners with free capacity, or too few tickets for them
};

enum class SuspectResult : std::uint8_t {
    Placed,
    Waits, // for a runner, or for another suspect of the step
    JobFailed, // the task was given up; the steps of the job are gone
};

} // namespace

// Has the reservations for gangs of lower priority not bind the step any more. Result: false when they still do, or did
// not before.
static bool ignoreRooms(const Cell &cell, StepContext &context, TimePoint now)
{
    if (cell.gangRooms_.rooms_.empty() || context.access_.ignoresLowerPriority_
        || !mayIgnoreRooms(cell, context.job_, context.ref_, now)) {
        return false;
    }
    context.access_.ignoresLowerPriority_ = true;
    return true;
}

static PlaceResult placeGang(Cell &cell, FreeCapacityIndex &freeCapacity, StepContext &context, CellTime now,
                             CellActions &actions)
{
    StepState &step = context.step_;
    if (step.waiting_ < step.tasks_.size()) {
        return PlaceResult::Blocked; // members of the last run have not ended yet
    }
    std::uint64_t used = 0;
    for (const TaskRecord &task : step.tasks_) {
        if (task.notBefore_ > now.steady_) {
            return PlaceResult::Blocked;
        }
        used = std::max(used, task.run_);
    }
    if (tasksWithinLimit(cell, context.job_, context.spec_.size_) < context.spec_.count_) {
        return PlaceResult::Blocked;
    }
    std::vector<Candidate> candidates = candidatesOf(freeCapacity, context, now.steady_);
    std::vector<std::size_t> chosen = chooseGangRunners(cell, context, candidates, now.steady_);
    if (chosen.empty() && ignoreRooms(cell, context, now.steady_)) {
        candidates = candidatesOf(freeCapacity, context, now.steady_);
        chosen = chooseGangRunners(cell, context, candidates, now.steady_);
    }
    if (chosen.empty()) {
        return PlaceResult::RunnersMissing;
    }
    // All members start from the same checkpoint: the greatest, compared as text, that any of them has reported.
    std::string checkpoint;
    for (const TaskRecord &task : step.tasks_) {
        checkpoint = std::max(checkpoint, task.checkpoint_);
    }
    const std::uint64_t run = nextRun(context.job_, used);
    for (std::uint32_t i = 0; i < context.spec_.count_; ++i) {
        if (isSuspect(step.tasks_[i]) && !mayRiskRun(cell, context.job_, taskOf(context, i), now, actions)) {
            return PlaceResult::Blocked;
        }
    }
    const bool isRisky = std::any_of(step.tasks_.begin(), step.tasks_.end(), isSuspect);
    const Milliseconds roomHeld = releaseRoom(cell, context.ref_, "started", now.steady_, actions);
    for (std::uint32_t i = 0; i < step.tasks_.size(); ++i) {
        step.tasks_[i].checkpoint_ = checkpoint;
        Candidate &candidate = candidates[chosen[i]];
        Placement &placement = placeTask(cell, context, i, candidate, run);
        placement.roomReserved_ = roomHeld;
        if (!isRisky) {
            sendStart(cell, *candidate.runner_, taskOf(context, i), placement, now, actions);
            continue;
        }
        if (isSuspect(step.tasks_[i])) {
            recordRisk(cell, context.job_, taskOf(context, i), RunNumber{run}, *candidate.runner_);
        }
    }
    for (std::uint32_t i = 0; isRisky && i < step.tasks_.size(); ++i) { // together, after the last risk
        planStart(cell, *candidates[chosen[i]].runner_, context.job_, taskOf(context, i), now, actions);
    }
    return PlaceResult::Placed;
}

// Places a task under which a runner has crashed, if it may start now; it starts when the store has its risk.
static SuspectResult placeSuspect(Cell &cell, const StepContext &context, std::uint32_t index,
                                  std::vector<Candidate> &candidates, std::uint64_t run, CellTime now,
                                  CellActions &actions)
{
    const bool mayIsolate = !context.spec_.longRunning_; // others would wait for its end
    if (mayIsolate && mustSuspectsWait(context.step_)) {
        return SuspectResult::Waits;
    }
    const StagedTask id = taskOf(context, index);
    if (!mayRiskRun(cell, context.job_, id, now, actions)) {
        return SuspectResult::JobFailed;
    }
    const bool isolated = mayIsolate && needsIsolation(context.step_.tasks_[index], now.steady_);
    Candidate *best = bestCandidateForSuspect(candidates, reservedSize(context.spec_), isolated);
    if (best == nullptr) {
        return SuspectResult::Waits;
    }
    Placement &placement = placeTask(cell, context, index, *best, run);
    recordRisk(cell, context.job_, id, placement.run_, *best->runner_);
    planStart(cell, *best->runner_, context.job_, id, now, actions);
    if (isolated) {
        placement.isolated_ = true;
        ++best->runner_->isolatedTasks_;
        best->antiAffinityLeft_ = 0;
    }
    return SuspectResult::Placed;
}

static PlaceResult placeTasks(Cell &cell, FreeCapacityIndex &freeCapacity, StepContext &context, CellTime now,
                              CellActions &actions)
{
    StepState &step = context.step_;
    std::uint32_t allowed = tasksWithinLimit(cell, context.job_, context.spec_.size_);
    if (allowed == 0) {
        return PlaceResult::Blocked;
    }
    std::vector<Candidate> candidates = candidatesOf(freeCapacity, context, now.steady_);
    if (candidates.empty() && ignoreRooms(cell, context, now.steady_)) {
        candidates = candidatesOf(freeCapacity, context, now.steady_);
    }
    const Resources size = reservedSize(context.spec_);
    for (std::uint32_t i = 0; i < step.tasks_.size() && allowed > 0 && !candidates.empty(); ++i) {
        TaskRecord &task = step.tasks_[i];
        if (task.state_ != TaskState::Waiting || task.notBefore_ > now.steady_) {
            continue;
        }
        const std::uint64_t run = nextRun(context.job_, task.run_);
        if (isSuspect(task)) {
            const SuspectResult result = placeSuspect(cell, context, i, candidates, run, now, actions);
            if (result == SuspectResult::JobFailed) {
                return PlaceResult::Blocked;
            }
            allowed -= result == SuspectResult::Placed ? 1 : 0;
            continue;
        }
        const RunnerId avoid = task.failedRuns_.empty() ? RunnerId{} : task.runner_;
        Candidate *best = bestCandidateForTask(cell, context, candidates, size, avoid, now.steady_);
        if (best == nullptr && ignoreRooms(cell, context, now.steady_)) {
            candidates = candidatesOf(freeCapacity, context, now.steady_);
            best = bestCandidateForTask(cell, context, candidates, size, avoid, now.steady_);
        }
        if (best == nullptr) {
            return PlaceResult::RunnersMissing;
        }
        startTask(cell, context, i, *best, run, now, actions);
        --allowed;
    }
    if (step.waiting_ == 0) {
        return PlaceResult::Placed;
    }
    return candidates.empty() ? PlaceResult::RunnersMissing : PlaceResult::Blocked;
}

static std::optional<StepContext> findContext(Cell &cell, const StepRef &ref)
{
    Job *job = findJob(cell, ref.job_);
    if (job == nullptr || isFinal(*job)) {
        return std::nullopt;
    }
    const auto occurrence = job->occurrences_.find(ref.occurrence_);
    if (occurrence == job->occurrences_.end() || ref.step_ >= occurrence->second.steps_.size()) {
        return std::nullopt;
    }
    return StepContext{*job, occurrence->second, occurrence->second.steps_[ref.step_], stepSpec(*job, ref.step_), ref};
}

static void sortByUrgency(Cell &cell, TimePoint now)
{
    std::vector<UrgencyKey> keys;
    keys.reserve(cell.readySteps_.size());
    for (const StepRef &ref : cell.readySteps_) {
        const auto context = findContext(cell, ref);
        if (!context) {
            continue;
        }
        if (context->step_.waiting_ == 0) {
            context->step_.inReadySteps_ = false;
            continue;
        }
        keys.push_back(urgencyOf(cell, context->job_, ref, now));
    }
    std::sort(keys.begin(), keys.end());
    cell.stepsExamined_ += cell.readySteps_.size();
    cell.readySteps_.clear();
    for (const UrgencyKey &key : keys) {
        cell.readySteps_.push_back(key.ref_);
    }
}

// True when runners are reserved for the gang and nothing is to be asked about them yet.
static bool hasRoomWithoutQuery(const Cell &cell, const StepRef &ref, TimePoint now)
{
    const GangRoom *room = findRoom(cell, ref);
    return room != nullptr && now < room->renewAt_ && !room->learnsMore_;
}

void placeWaiting(Cell &cell, CellTime now, CellActions &actions)
{
    if (cell.superseded_) {
        return;
    }
    sortByUrgency(cell, now.steady_);
    updateGangRooms(cell, now, actions);
    FreeCapacityIndex freeCapacity(cell, now.steady_);
    const std::vector<StepRef> refs = cell.readySteps_;
    for (const StepRef &ref : refs) {
        auto context = findContext(cell, ref);
        if (!context || !context->job_.stored_) {
            continue;
        }
        if (learnsAhead(cell, context->job_, ref, now.steady_)) {
            if (now.steady_ >= context->step_.learnNotBefore_) {
                queuePolicyQuery(cell, context->job_, ref.occurrence_, ref.step_, now.steady_);
            }
            continue;
        }
        if (context->job_.recovered_ && !cell.allTasksKnown_) {
            continue;
        }
        if (!cell.gangRooms_.rooms_.empty()) {
            context->access_ = roomAccessOf(cell, context->job_, ref, now.steady_);
        }
        const PlaceResult result = context->spec_.gang_ ? placeGang(cell, freeCapacity, *context, now, actions)
                                                        : placeTasks(cell, freeCapacity, *context, now, actions);
        if (result == PlaceResult::RunnersMissing && context->job_.policy_.policyQueries_
            && !hasRoomWithoutQuery(cell, ref, now.steady_)) {
            queuePolicyQuery(cell, context->job_, ref.occurrence_, ref.step_, now.steady_);
        }
    }
}

} // namespace mimosapier::detail
