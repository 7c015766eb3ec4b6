// Reservations of runners for waiting gangs.
//
// Designed for large gangs on a fleet that steady small work keeps almost full: all members have to fit at one moment,
// and small work would take each processor as it becomes free. This is conservative backfill with one reservation for
// each waiting gang. In the order of urgency, each gang gets the runners on which all its members fit first when the
// runs there end at their expected times. Until then, other work starts on these runners only if it is expected to end
// before the reservation is complete, or if it fits beside the members. Urgent work of a higher priority ignores
// reservations when it would otherwise miss its objective.
//
// A reservation covers all members or is not made, so gangs do not hold parts against each other. All
// reservations are planned anew at a limited rate: estimates are rough, and a runner whose runs end early may replace
// one whose runs are overdue. Runners where members fit already are the first choice, so a new plan keeps the room that
// is free already.
#include "core/cell/cell_internal.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace mimosapier::detail
{

// Shortest time between two plans. Runs of small work take about a second, so a plan misses few of their ends.
static constexpr Milliseconds PlanInterval{50};
// Shortest time between two plans after a runner was lost or an answer of the policy service has come.
static constexpr Milliseconds EarlyPlanInterval{10};
// A plan takes about this long for each runner and each run that it examines.
static constexpr std::chrono::nanoseconds PlanTimePerItem{120};
static constexpr double PlanProcessorPart = 0.05; // plans take at most this part of the daemon's processors
static constexpr std::size_t MaxPlannedGangs = 32; // the next gangs wait for the first ones to start
// Larger gangs get no reservation: the memory and time of a plan grow with the members and the runners.
static constexpr std::uint32_t MaxReservedMembers = 256;
// An overdue run is expected to run for this part of its run time so far, and at least for MinRemaining.
static constexpr int OverduePart = 8;
static constexpr Milliseconds MinRemaining{50};
static constexpr Milliseconds QueryRoundTrip{60}; // messages between the leader, a daemon and the policy service
// Tickets that are valid for this long after the reservation is complete are not renewed before.
static constexpr Milliseconds TicketReserve{200};
// Work of a higher priority ignores reservations when its slack is below this time, for a query and a start, plus a
// quarter of its estimate.
static constexpr Milliseconds UrgentSlack{350};
static constexpr int UrgentEstimatePart = 4;
// More runners are asked about until the allowed ones can hold this multiple of the members: of runners that are 80%
// full, a quarter of the capacity becomes free within a second. With 2, gangs wait a quarter longer in bench_gang_room.
static constexpr std::uint32_t KnownCapacityFactor = 4;

namespace
{

// A run that is expected to end.
struct RunRelease
{
    TimePoint at_;
    TimePoint certainAt_; // has ended by then even if it takes half as long again; TimePoint::max(): it is overdue
    Resources size_;
};

// A usable runner in a plan.
struct PlannedRunner
{
    Runner *runner_ = nullptr;
    Resources free_; // now, without what the plan has reserved
    std::vector<RunRelease> releases_; // ascending by time; without runs that do not end by themselves
};

// A member of a gang fits on a runner from this time on.
struct MemberFit
{
    TimePoint at_;
    // Of several that fit at the same time, those that are reserved for this gang are taken first, and those that are
    // reserved for others last: a new plan keeps the room that is free already.
    std::uint32_t preference_ = 0;
    std::size_t runner_ = 0; // index of the PlannedRunner

    auto operator<=>(const MemberFit &) const = default;
};

struct Plan
{
    std::map<std::string, std::vector<PlannedRunner>> runnersByService_;
    std::map<std::string, Resources> capacity_; // of the usable runners by service
    std::map<std::string, Resources> used_; // of capacity_
    std::map<std::string, Resources> reserved_; // by service
    std::vector<GangRoom> rooms_;
    std::size_t items_ = 0; // runners and runs examined; a measure of the cost
};

} // namespace

static RunRelease plannedRelease(Cell &cell, const StagedTask &task, const Placement &placement, TimePoint now)
{
    const Job *job = findJob(cell, task.job_);
    if (job == nullptr || task.step_ >= job->submitted_.steps_.size() || placement.phase_ == PlacementPhase::Stopping
        || isPresumedEnded(placement)) {
        return {now + MinRemaining, TimePoint::max(), placement.size_};
    }
    if (placement.startedAt_ == TimePoint{}) { // its start is planned
        return {now + stepSpec(*job, task.step_).estimate_, TimePoint::max(), placement.size_};
    }
    const TimePoint end = expectedEnd(cell, placement, stepSpec(*job, task.step_), *job);
    if (end == TimePoint::max()) {
        return {end, end, placement.size_};
    }
    if (end > now + MinRemaining) {
        return {end, end + (end - placement.startedAt_) / 2, placement.size_};
    }
    const Duration remaining = std::max<Duration>(MinRemaining, (now - placement.startedAt_) / OverduePart);
    return {now + remaining, TimePoint::max(), placement.size_};
}

static std::vector<PlannedRunner> &runnersOf(Cell &cell, Plan &plan, const std::string &service, TimePoint now)
{
    const auto [entry, inserted] = plan.runnersByService_.try_emplace(service);
    if (!inserted) {
        return entry->second;
    }
    for (const auto &[id, runner] : cell.runners_) {
        if (runner->record_.service_ != service || !isUsable(cell, *runner, now)) {
            continue;
        }
        PlannedRunner &planned = entry->second.emplace_back();
        planned.runner_ = runner.get();
        planned.free_ = runner->record_.capacity_ - runner->used_;
        planned.releases_.reserve(runner->tasks_.size());
        for (const auto &[task, placement] : runner->tasks_) {
            const RunRelease release = plannedRelease(cell, task, placement, now);
            if (release.at_ != TimePoint::max()) {
                planned.releases_.push_back(release);
            }
        }
        std::sort(planned.releases_.begin(), planned.releases_.end(),
                  [](const RunRelease &left, const RunRelease &right) { return left.at_ < right.at_; });
        plan.items_ += runner->tasks_.size() + 1;
        plan.capacity_[service] += runner->record_.capacity_;
        plan.used_[service] += runner->used_;
    }
    return entry->second;
}

// Time that a policy query about this many runners takes until its answer is there.
static Milliseconds queryTime(const QueuePolicy &policy, std::size_t runners)
{
    return QueryRoundTrip + Milliseconds(static_cast<std::int64_t>(std::ceil(policyQueryMs(policy, runners))));
}

static Resources multiplied(const Resources &size, std::int64_t count)
{
    return {size.milliCpus_ * count, size.memoryMb_ * count, size.accelerators_ * count, 0};
}

static std::uint32_t membersOnEmpty(const Runner &runner, const StepSpec &spec, const Resources &size)
{
    const std::uint32_t limit = spec.antiAffinity_ > 0 ? std::min(spec.antiAffinity_, spec.count_) : spec.count_;
    return std::min(limit, fittingTasks(runner.record_.capacity_, size));
}

std::uint32_t membersThatMayRun(const Runner &runner, const StepSpec &spec)
{
    return hasRequiredLabel(spec, runner) ? membersOnEmpty(runner, spec, reservedSize(spec)) : 0;
}

std::uint32_t wantedKnownMembers(const StepSpec &spec)
{
    return spec.count_ * KnownCapacityFactor;
}

namespace
{

// A gang that is to get a reservation.
struct WaitingGang
{
    const Job &job_;
    const StepState &step_;
    const StepSpec &spec_;
    StepRef ref_;
    const GangRoom *old_; // its present reservation; nullptr: none
};

} // namespace

// End of the time in which a start may use the step's ticket for the runner; empty: there is no ticket.
static TimePoint ticketUntil(const StepState &step, const Runner &runner, TimePoint now)
{
    return hasTicket(step, runner, now) ? step.verdicts_.at(runner.record_.id_).validUntil_ - TicketMargin
                                        : TimePoint{};
}

// Adds the times from which on the members fit on the runner.
static void addFits(std::vector<MemberFit> &fits, const WaitingGang &gang, const PlannedRunner &planned,
                    std::size_t index, TimePoint ticketsAt, TimePoint now)
{
    const Resources size = reservedSize(gang.spec_);
    const Runner &runner = *planned.runner_;
    const std::uint32_t limit = membersOnEmpty(runner, gang.spec_, size);
    std::uint32_t kept = 0; // members for which the runner is reserved
    if (gang.old_ != nullptr) {
        const auto member = gang.old_->members_.find(runner.record_.id_);
        kept = member == gang.old_->members_.end() ? 0 : member->second;
    }
    const bool isReservedForOther = std::any_of(
        runner.roomReservations_.begin(), runner.roomReservations_.end(), [&gang](const RoomReservation &reservation) {
            return gang.old_ == nullptr || reservation.order_ != gang.old_->order_;
        });
    const TimePoint ticketEnd
        = gang.job_.policy_.policyQueries_ ? ticketUntil(gang.step_, runner, now) : TimePoint::max();
    std::uint32_t count = 0;
    Resources free = planned.free_;
    const auto addUpTo = [&](std::uint32_t fitting, TimePoint at) {
        const TimePoint usableAt = at <= ticketEnd ? at : std::max(at, ticketsAt);
        for (; count < std::min(fitting, limit); ++count) {
            const std::uint32_t preference = count < kept ? 0 : isReservedForOther ? 2 : 1;
            fits.push_back({usableAt, preference, index});
        }
    };
    addUpTo(fittingTasks(free, size), now);
    for (const RunRelease &release : planned.releases_) {
        if (count >= limit) {
            break;
        }
        free += release.size_;
        addUpTo(fittingTasks(free, size), release.at_);
    }
}

// Upper estimate of the time of a query that renews the tickets of a gang.
static Milliseconds renewalTime(const WaitingGang &gang, std::size_t runners)
{
    const std::size_t count = gang.spec_.count_;
    return queryTime(gang.job_.policy_, std::min(count + count / 2, runners));
}

// Sets when the tickets are to be renewed, and whether a query about further runners fits in before.
static void planQueries(Cell &cell, GangRoom &room, const WaitingGang &gang, std::uint32_t knownMembers,
                        bool hasUnknown, Milliseconds cost, TimePoint now)
{
    room.renewAt_ = TimePoint::max();
    if (!gang.job_.policy_.policyQueries_) {
        return;
    }
    TimePoint validUntil = TimePoint::max();
    for (const auto &[id, members] : room.members_) {
        validUntil = std::min(validUntil, ticketUntil(gang.step_, *findRunner(cell, id), now));
    }
    if (validUntil < room.completeAt_ + TicketReserve) {
        room.renewAt_ = std::max(room.completeAt_ - cost, validUntil - cost);
    }
    room.learnsMore_ = hasUnknown && knownMembers < wantedKnownMembers(gang.spec_)
        && std::min(room.renewAt_, room.completeAt_) > now + 2 * cost;
}

// True when the resources are at most this share of the capacity in each dimension.
static bool isWithinShare(const Resources &wanted, const Resources &capacity, double share)
{
    const auto fits = [&](std::int64_t Resources::*dimension) {
        return static_cast<double>(wanted.*dimension) <= share * static_cast<double>(capacity.*dimension);
    };
    return fits(&Resources::milliCpus_) && fits(&Resources::memoryMb_) && fits(&Resources::accelerators_);
}

// Plans the reservation of a gang. Result: why none is possible; empty if it was added to the plan.
static std::string_view planRoom(Cell &cell, Plan &plan, const WaitingGang &gang, TimePoint now)
{
    const QueuePolicy &policy = gang.job_.policy_;
    std::vector<PlannedRunner> &runners = runnersOf(cell, plan, policy.service_, now);
    const Resources size = reservedSize(gang.spec_);
    const std::uint32_t count = gang.spec_.count_;
    if (count > MaxReservedMembers) {
        return "too-large";
    }
    const Resources &capacity = plan.capacity_[policy.service_];
    if (plan.used_[policy.service_].milliCpus_ < capacity.milliCpus_ / 2) {
        return "half-empty";
    }
    Resources &reserved = plan.reserved_[policy.service_];
    const Resources wanted = reserved + multiplied(size, count);
    if (!isWithinShare(wanted, capacity, cell.settings_.gangRoomShare_)) {
        return "share";
    }
    TimePoint ticketsAt = now;
    if (policy.policyQueries_) {
        if (gang.step_.verdicts_.empty()) {
            return "no-verdicts";
        }
        ticketsAt = gang.step_.queryPending_ && gang.step_.answerExpectedAt_ > now
            ? gang.step_.answerExpectedAt_
            : now + renewalTime(gang, runners.size());
    }
    std::vector<MemberFit> fits;
    fits.reserve(runners.size());
    std::uint32_t knownMembers = 0;
    bool hasUnknown = false;
    auto verdict = gang.step_.verdicts_.begin(); // in the order of the runners
    for (std::size_t i = 0; i < runners.size(); ++i) {
        const Runner &runner = *runners[i].runner_;
        if (!hasRequiredLabel(gang.spec_, runner)) {
            continue;
        }
        if (policy.policyQueries_) {
            while (verdict != gang.step_.verdicts_.end() && verdict->first < runner.record_.id_) {
                ++verdict;
            }
            const bool isKnown = verdict != gang.step_.verdicts_.end() && verdict->first == runner.record_.id_;
            hasUnknown = hasUnknown || !isKnown;
            if (!isKnown || !verdict->second.allowed_) {
                continue;
            }
        }
        knownMembers += membersOnEmpty(runner, gang.spec_, size);
        addFits(fits, gang, runners[i], i, ticketsAt, now);
        plan.items_ += runners[i].releases_.size() + 1;
    }
    if (fits.size() < count) {
        return "no-capacity";
    }
    std::sort(fits.begin(), fits.end());
    GangRoom room;
    room.step_ = gang.ref_;
    room.order_ = static_cast<std::uint32_t>(plan.rooms_.size());
    room.completeAt_ = now;
    for (std::uint32_t i = 0; i < count; ++i) {
        PlannedRunner &planned = runners[fits[i].runner_];
        ++room.members_[planned.runner_->record_.id_];
        planned.free_ -= size;
        room.completeAt_ = std::max(room.completeAt_, fits[i].at_);
    }
    // Estimates are rough: tickets for half as many members on other runners let them replace those that are late.
    for (std::size_t i = count; i < fits.size() && i < count + count / 2; ++i) {
        const RunnerId &id = runners[fits[i].runner_].runner_->record_.id_;
        if (!room.members_.contains(id)
            && std::find(room.alternates_.begin(), room.alternates_.end(), id) == room.alternates_.end()) {
            room.alternates_.push_back(id);
        }
    }
    room.reservedAt_ = gang.old_ != nullptr ? gang.old_->reservedAt_ : now;
    room.logged_ = gang.old_ != nullptr && gang.old_->logged_;
    planQueries(cell, room, gang, knownMembers, hasUnknown, renewalTime(gang, runners.size()), now);
    reserved = wanted;
    plan.rooms_.push_back(std::move(room));
    return {};
}

// Puts the planned reservations onto the runners.
static void reserveRunners(Cell &cell, Plan &plan)
{
    for (const auto &[id, runner] : cell.runners_) {
        runner->roomReservations_.clear();
    }
    for (const GangRoom &room : plan.rooms_) {
        const Job &job = *findJob(cell, room.step_.job_);
        const Resources size = reservedSize(stepSpec(job, room.step_.step_));
        for (const auto &[id, members] : room.members_) {
            findRunner(cell, id)->roomReservations_.push_back(
                {room.order_, job.policy_.priority_, room.completeAt_, multiplied(size, members), {}});
        }
    }
    for (auto &[service, runners] : plan.runnersByService_) {
        for (const PlannedRunner &planned : runners) {
            Runner &runner = *planned.runner_;
            for (RoomReservation &reservation : runner.roomReservations_) {
                reservation.spare_ = runner.record_.capacity_ - runner.used_;
                for (const RunRelease &release : planned.releases_) {
                    if (release.certainAt_ <= reservation.completeAt_) {
                        reservation.spare_ += release.size_;
                    }
                }
                for (const RoomReservation &other : runner.roomReservations_) {
                    if (other.completeAt_ <= reservation.completeAt_) {
                        reservation.spare_ -= other.reserved_;
                    }
                }
            }
        }
    }
}

static void logReserved(const Cell &cell, GangRoom &room, const Job &job, bool isAfterLoss, TimePoint now,
                        CellActions &actions)
{
    if ((room.logged_ && !isAfterLoss) || room.completeAt_ <= now) { // a gang that fits now starts at once
        return;
    }
    room.logged_ = true;
    JsonObject line = logEvent("room-reserved");
    line.text("job", jobText(job.id_)).number("step", room.step_.step_);
    line.text("cause", isAfterLoss ? "runner-left" : "waiting");
    line.number("members", stepSpec(job, room.step_.step_).count_);
    line.number("runners", static_cast<std::int64_t>(room.members_.size()));
    line.number("expected_ms", std::chrono::duration_cast<Milliseconds>(room.completeAt_ - now).count());
    line.number("wait_ms", std::chrono::duration_cast<Milliseconds>(now - job.submittedAt_).count());
    line.number("rooms", static_cast<std::int64_t>(cell.gangRooms_.rooms_.size()));
    addLogLine(actions, line);
}

static void logReleased(const GangRoom &room, std::string_view cause, TimePoint now, CellActions &actions)
{
    if (!room.logged_) {
        return;
    }
    JsonObject line = logEvent("room-released");
    line.text("job", jobText(room.step_.job_)).number("step", room.step_.step_).text("cause", cause);
    line.number("runners", static_cast<std::int64_t>(room.members_.size()));
    line.number("reserved_ms", std::chrono::duration_cast<Milliseconds>(now - room.reservedAt_).count());
    line.number("expected_ms", std::chrono::duration_cast<Milliseconds>(room.completeAt_ - now).count());
    addLogLine(actions, line);
}

const GangRoom *findRoom(const Cell &cell, const StepRef &ref)
{
    const auto &rooms = cell.gangRooms_.rooms_;
    const auto found
        = std::find_if(rooms.begin(), rooms.end(), [&ref](const GangRoom &room) { return room.step_ == ref; });
    return found == rooms.end() ? nullptr : &*found;
}

Milliseconds releaseRoom(Cell &cell, const StepRef &ref, std::string_view cause, TimePoint now, CellActions &actions)
{
    const GangRoom *found = findRoom(cell, ref);
    if (found == nullptr) {
        return Milliseconds(-1);
    }
    const GangRoom room = *found;
    for (const auto &[id, members] : room.members_) {
        Runner *runner = findRunner(cell, id);
        if (runner == nullptr) {
            continue;
        }
        const auto reservation
            = std::find_if(runner->roomReservations_.begin(), runner->roomReservations_.end(),
                           [&room](const RoomReservation &entry) { return entry.order_ == room.order_; });
        if (reservation == runner->roomReservations_.end()) {
            continue;
        }
        const RoomReservation released = *reservation;
        runner->roomReservations_.erase(reservation);
        for (RoomReservation &other : runner->roomReservations_) {
            if (released.completeAt_ <= other.completeAt_) {
                other.spare_ += released.reserved_;
            }
        }
    }
    std::erase_if(cell.gangRooms_.rooms_, [&ref](const GangRoom &entry) { return entry.step_ == ref; });
    logReleased(room, cause, now, actions);
    return std::chrono::duration_cast<Milliseconds>(now - room.reservedAt_);
}

RoomAccess roomAccessOf(const Cell &cell, const Job &job, const StepRef &ref, TimePoint now)
{
    RoomAccess access;
    access.priority_ = job.policy_.priority_;
    Placement started;
    started.startedAt_ = now;
    const StepSpec &spec = stepSpec(job, ref.step_);
    access.end_ = spec.estimate_ > Milliseconds(0) ? expectedEnd(cell, started, spec, job) : TimePoint::max();
    const GangRoom *room = spec.gang_ ? findRoom(cell, ref) : nullptr;
    if (room != nullptr) {
        access.order_ = room->order_;
    }
    return access;
}

bool mayIgnoreRooms(const Cell &cell, const Job &job, const StepRef &ref, TimePoint now)
{
    const Milliseconds estimate = job.criticalPaths_[ref.step_];
    return job.submitted_.repeatCount_ == 0 && !stepSpec(job, ref.step_).longRunning_
        && urgencyOf(cell, job, ref, now).class_ == UrgencyClass::InTime
        && job.objectiveAt_ - now - estimate < UrgentSlack + estimate / UrgentEstimatePart;
}

// True when the reservation binds a step with this access.
static bool isBinding(const RoomReservation &reservation, const RoomAccess &access)
{
    return reservation.order_ < access.order_ && access.end_ > reservation.completeAt_
        && !(access.ignoresLowerPriority_ && reservation.priority_ > access.priority_);
}

Resources freeFor(const Runner &runner, const RoomAccess &access)
{
    Resources free = runner.record_.capacity_ - runner.used_;
    free.slots_ = 0;
    for (const RoomReservation &reservation : runner.roomReservations_) {
        if (!isBinding(reservation, access)) {
            continue;
        }
        Resources spare = reservation.spare_;
        for (const RoomReservation &own : runner.roomReservations_) {
            // The reservations of less urgent gangs yield to the step.
            if (own.order_ >= access.order_ && own.completeAt_ <= reservation.completeAt_) {
                spare += own.reserved_;
            }
        }
        free.milliCpus_ = std::min(free.milliCpus_, spare.milliCpus_);
        free.memoryMb_ = std::min(free.memoryMb_, spare.memoryMb_);
        free.accelerators_ = std::min(free.accelerators_, spare.accelerators_);
    }
    return free;
}

void notePlacementInRooms(Runner &runner, const Placement &placement, const RoomAccess &access)
{
    for (RoomReservation &reservation : runner.roomReservations_) {
        if (access.end_ > reservation.completeAt_) {
            reservation.spare_ -= placement.size_;
        }
    }
}

bool wantsRoom(const Cell &cell, const Job &job, const StepRef &ref, TimePoint now)
{
    if (cell.settings_.gangRoomShare_ <= 0 || isFinal(job) || !job.stored_
        || (job.recovered_ && !cell.allTasksKnown_)) {
        return false;
    }
    const auto occurrence = job.occurrences_.find(ref.occurrence_);
    if (occurrence == job.occurrences_.end() || ref.step_ >= occurrence->second.steps_.size()) {
        return false;
    }
    const StepSpec &spec = stepSpec(job, ref.step_);
    const StepState &step = occurrence->second.steps_[ref.step_];
    return spec.gang_ && step.waiting_ > 0 && step.waiting_ == step.tasks_.size()
        && std::all_of(step.tasks_.begin(), step.tasks_.end(),
                       [now](const TaskRecord &task) { return task.notBefore_ <= now; })
        && urgencyOf(cell, job, ref, now).class_ <= UrgencyClass::Late
        && tasksWithinLimit(cell, job, spec.size_) >= spec.count_;
}

// Releases the reservations of gangs that cannot start any more.
static void releaseEnded(Cell &cell, TimePoint now, CellActions &actions)
{
    std::vector<StepRef> ended;
    for (const GangRoom &room : cell.gangRooms_.rooms_) {
        const Job *job = findJob(cell, room.step_.job_);
        if (job == nullptr || isFinal(*job) || !job->occurrences_.contains(room.step_.occurrence_)) {
            ended.push_back(room.step_);
        }
    }
    for (const StepRef &ref : ended) {
        releaseRoom(cell, ref, "job-ended", now, actions);
    }
}

void replanGangRooms(Cell &cell)
{
    GangRooms &state = cell.gangRooms_;
    state.nextAt_
        = std::min<TimePoint>(state.nextAt_, state.plannedAt_ + std::max<Duration>(EarlyPlanInterval, state.interval_));
}

// Shortest time to the next plan that keeps the plans within their part of the daemon's processors.
static Duration planInterval(const Cell &cell, const Plan &plan)
{
    constexpr double MinProcessors = 0.05;
    const double processors = std::max(cell.settings_.processorShare_, MinProcessors) * PlanProcessorPart;
    const double cost = static_cast<double>((PlanTimePerItem * static_cast<std::int64_t>(plan.items_)).count());
    return std::chrono::nanoseconds(static_cast<std::int64_t>(cost / processors));
}

// Has the reservations planned anew soon if one of their runners cannot be used any more.
static void noteLostRunners(Cell &cell, TimePoint now)
{
    GangRooms &state = cell.gangRooms_;
    if (now < state.runnersCheckedAt_ + EarlyPlanInterval) {
        return;
    }
    state.runnersCheckedAt_ = now;
    for (GangRoom &room : state.rooms_) {
        for (const auto &[id, members] : room.members_) {
            const Runner *runner = findRunner(cell, id);
            if (runner == nullptr || !isUsable(cell, *runner, now)) {
                room.hasLostRunner_ = true;
                replanGangRooms(cell);
                break;
            }
        }
    }
}

// Plans the reservations of the most urgent gangs. `causes`: why a gang has none.
static Plan planRooms(Cell &cell, std::map<StepRef, std::string_view> &causes, TimePoint now)
{
    Plan plan;
    std::size_t gangs = 0;
    for (const StepRef &ref : cell.readySteps_) {
        const Job *job = findJob(cell, ref.job_);
        if (job == nullptr || !wantsRoom(cell, *job, ref, now)) {
            continue;
        }
        if (++gangs > MaxPlannedGangs) {
            break;
        }
        const StepState &step = job->occurrences_.at(ref.occurrence_).steps_[ref.step_];
        const std::string_view cause
            = planRoom(cell, plan, {*job, step, stepSpec(*job, ref.step_), ref, findRoom(cell, ref)}, now);
        if (!cause.empty()) {
            causes[ref] = cause;
        }
    }
    return plan;
}

void updateGangRooms(Cell &cell, CellTime now, CellActions &actions)
{
    if (cell.settings_.gangRoomShare_ <= 0) {
        return;
    }
    GangRooms &state = cell.gangRooms_;
    releaseEnded(cell, now.steady_, actions);
    noteLostRunners(cell, now.steady_);
    if (now.steady_ < state.nextAt_) {
        return;
    }
    std::map<StepRef, std::string_view> causes;
    Plan plan = planRooms(cell, causes, now.steady_);
    const std::vector<GangRoom> before = std::move(state.rooms_);
    state.rooms_ = plan.rooms_;
    reserveRunners(cell, plan);
    for (GangRoom &room : state.rooms_) {
        const bool isAfterLoss = std::any_of(before.begin(), before.end(), [&room](const GangRoom &old) {
            return old.step_ == room.step_ && old.hasLostRunner_;
        });
        logReserved(cell, room, *findJob(cell, room.step_.job_), isAfterLoss, now.steady_, actions);
    }
    for (const GangRoom &old : before) {
        if (findRoom(cell, old.step_) == nullptr) {
            const auto cause = causes.find(old.step_);
            logReleased(old, cause == causes.end() ? "not-waiting" : cause->second, now.steady_, actions);
        }
    }
    state.plannedAt_ = now.steady_;
    state.interval_ = planInterval(cell, plan);
    state.nextAt_ = now.steady_ + std::max<Duration>(PlanInterval, state.interval_);
    cell.runnersExamined_ += plan.items_;
}

} // namespace mimosapier::detail
