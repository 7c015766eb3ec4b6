// Queries to the external policy service, which says which runners may run a step and issues tickets that expire.
//
// Designed for a service that takes hundreds of milliseconds for a query of some queues and handles one query at a time
// from each instance. Queries are sent by urgency, each through the daemon that is free first; long queries leave part
// of the daemons to short ones; a query names only runners that have free capacity now.
#include "core/cell/cell_internal.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace mimosapier
{

using namespace detail;

static constexpr std::size_t MostRunners = 100; // that a query names
static constexpr std::uint32_t FewestRunners = 6; // for small steps too: the policy may not allow the first ones
static constexpr double RoomWanted = 2; // expected capacity of the queried runners, as a multiple of the waiting tasks
static constexpr double FirstShare = 0.4; // assumed fraction of allowed runners before a queue's first answer
static constexpr double ShareWeight = 0.1; // weight of the latest answer in the smoothed fraction
static constexpr double LongQueryMs = 150; // longer queries use only part of the daemons
static constexpr Milliseconds AnswerMargin{2'500}; // added to the service time: queues, and a round trip of 40 ms
static constexpr Milliseconds RetryPause{150}; // delay after a query without an answer
static constexpr Milliseconds Pipeline{30}; // a query is sent this long before the estimated end of the last one
static constexpr std::uint32_t MostOpen = 2; // queries in flight for each daemon

bool detail::hasTicket(const StepState &step, const Runner &runner, TimePoint now)
{
    const auto verdict = step.verdicts_.find(runner.record_.id_);
    return verdict != step.verdicts_.end() && verdict->second.allowed_
        && now + TicketMargin < verdict->second.validUntil_ && verdict->second.bornUnixMs_ == runner.bornUnixMs_;
}

void detail::requestQuery(Cell &cell, Job &job, std::uint32_t occurrence, std::uint32_t step, TimePoint now)
{
    StepState &state = job.occurrences_.at(occurrence).steps_[step];
    if (!state.querying_ && now >= state.queryNotBefore_) {
        state.querying_ = true;
        cell.queries_.push_back({job.id_, occurrence, step});
    }
}

static std::uint32_t roomOn(const Runner &runner, const Resources &size)
{
    const Resources free = runner.record_.capacity_ - runner.used_;
    std::int64_t room = INT32_MAX;
    if (size.milliCpus_ > 0) {
        room = std::min(room, free.milliCpus_ / size.milliCpus_);
    }
    if (size.memoryMb_ > 0) {
        room = std::min(room, free.memoryMb_ / size.memoryMb_);
    }
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, room));
}

// Chooses the runners to query for the waiting tasks; empty if no answer could let them start now.
static std::vector<RunnerId> chooseRunners(const Cell &cell, RoomIndex &rooms, const Job &job, std::uint32_t index,
                                           const StepState &step, TimePoint now)
{
    struct Entry
    {
        RunnerId id_;
        double expected_ = 0; // expected number of tasks
        bool allowed_ = false;
    };
    const StepSpec &spec = stepSpec(job, index);
    const Resources size = reservedSize(spec);
    const auto share = cell.allowedShare_.find(job.policy_.queue_);
    const double likely = share == cell.allowedShare_.end() ? FirstShare : share->second;
    std::vector<Entry> entries;
    bool unknown = false;
    double ticketed = 0;
    double total = 0;
    for (const RunnerRoom &entry : rooms.withRoom(job.policy_.service_, size.milliCpus_)) {
        const Runner *runner = entry.runner_;
        const RunnerId &id = runner->record_.id_;
        if (!hasLabel(spec, *runner)) {
            continue;
        }
        const auto verdict = step.verdicts_.find(id);
        if (verdict != step.verdicts_.end() && !verdict->second.allowed_) {
            continue;
        }
        std::uint32_t room = roomOn(*runner, size);
        if (spec.antiAffinity_ > 0) {
            room = std::min(room, spec.antiAffinity_);
        }
        if (room == 0) {
            continue;
        }
        const bool allowed = verdict != step.verdicts_.end();
        const double expected = static_cast<double>(room) * (allowed ? 1 : likely);
        total += expected;
        if (hasTicket(step, *runner, now)) {
            ticketed += expected;
            // A gang needs all its tickets at the same time, so the tickets that are still valid are renewed with the
            // others.
            if (!spec.gang_) {
                continue;
            }
        }
        unknown = unknown || !allowed;
        entries.push_back({id, expected, allowed});
    }
    const double wanted = spec.gang_ ? spec.count_ : std::min<double>(step.waiting_, spec.count_);
    if (spec.gang_ && !unknown && total < wanted) {
        return {};
    }
    std::sort(entries.begin(), entries.end(), [](const Entry &a, const Entry &b) {
        return std::make_tuple(!a.allowed_, -a.expected_) < std::make_tuple(!b.allowed_, -b.expected_);
    });
    std::vector<RunnerId> chosen;
    double expected = 0;
    for (const Entry &entry : entries) {
        const double target = wanted * (entry.allowed_ ? 1.25 : RoomWanted);
        if (chosen.size() >= MostRunners || (expected >= target && chosen.size() >= FewestRunners)) {
            break;
        }
        chosen.push_back(entry.id_);
        expected += entry.expected_;
    }
    return chosen;
}

static double serviceMs(const QueuePolicy &policy, std::size_t runners)
{
    return policy.decideMs_ + policy.perRunnerMs_ * static_cast<double>(runners);
}

// Returns the daemon that would answer first, or nullptr if none can take the query now.
static Asker *chooseAsker(Cell &cell, double costMs, TimePoint now)
{
    Asker *best = nullptr;
    const std::size_t count = cell.askers_.size();
    // Long queries use two thirds of the daemons, so that a short query always finds daemons without a long one.
    const std::size_t longAskers = std::max<std::size_t>(1, count * 2 / 3);
    for (std::size_t i = 0; i < count; ++i) {
        Asker &asker = cell.askers_[i];
        if (!asker.present_ || asker.open_ >= MostOpen || asker.busyUntil_ > now + Pipeline
            || (costMs > LongQueryMs && i >= longAskers)) {
            continue;
        }
        // Short queries prefer the daemons that long ones do not use.
        if (best == nullptr || asker.busyUntil_ < best->busyUntil_
            || (costMs <= LongQueryMs && asker.busyUntil_ <= now)) {
            best = &asker;
        }
    }
    return best;
}

static bool sendQuery(Cell &cell, RoomIndex &rooms, const StepRef &ref, CellTime now, CellActions &actions)
{
    Job *job = findJob(cell, ref.job_);
    if (job == nullptr || isFinal(*job) || !job->occurrences_.contains(ref.occurrence_)) {
        return true;
    }
    StepState &step = job->occurrences_.at(ref.occurrence_).steps_[ref.step_];
    if (step.waiting_ == 0) {
        step.querying_ = false;
        return true;
    }
    // The lowest cost of a query of this queue. Choosing runners is wasted work when no daemon is free.
    if (chooseAsker(cell, serviceMs(job->policy_, 1), now.steady_) == nullptr) {
        return false;
    }
    const std::vector<RunnerId> runners = chooseRunners(cell, rooms, *job, ref.step_, step, now.steady_);
    if (runners.empty()) {
        step.querying_ = false;
        return true;
    }
    const double cost = serviceMs(job->policy_, runners.size());
    Asker *asker = chooseAsker(cell, cost, now.steady_);
    if (asker == nullptr) {
        return false;
    }
    const auto costTime = Milliseconds(static_cast<std::int64_t>(std::ceil(cost)));
    asker->busyUntil_ = std::max(asker->busyUntil_, now.steady_) + costTime;
    ++asker->open_;
    PolicyQuery query;
    query.call_ = CallId{cell.nextId_++};
    query.job_ = ref.job_;
    query.occurrence_ = ref.occurrence_;
    query.step_ = ref.step_;
    query.runners_ = runners;
    query.timeout_ = costTime + AnswerMargin;
    cell.openQueries_[query.call_.value_]
        = {ref, asker->daemon_, runners, now.steady_, now.steady_ + query.timeout_ + AnswerMargin};
    JsonObject line = logEvent("policy-query");
    line.text("job", jobText(ref.job_)).number("step", ref.step_).text("asker", asker->daemon_.value_);
    line.number("runners", static_cast<std::int64_t>(runners.size())).number("cost_ms", costTime.count());
    logTo(actions, line);
    actions.policy_.push_back({asker->daemon_, std::move(query)});
    return true;
}

void detail::sendQueries(Cell &cell, CellTime now, CellActions &actions)
{
    if (cell.queries_.empty() || cell.superseded_) {
        return;
    }
    // Under load, few daemons are free; without one, the queue is not examined.
    if (chooseAsker(cell, 0, now.steady_) == nullptr) {
        return;
    }
    std::vector<std::tuple<std::uint32_t, TimePoint, StepRef>> queue; // sorted by urgency
    queue.reserve(cell.queries_.size());
    for (const StepRef &ref : cell.queries_) {
        if (const Job *job = findJob(cell, ref.job_)) {
            queue.emplace_back(job->policy_.priority_, job->objectiveAt_, ref);
        }
    }
    std::sort(queue.begin(), queue.end());
    cell.queries_.clear();
    RoomIndex rooms(cell, now.steady_);
    bool daemonFree = true;
    for (const auto &[priority, objective, ref] : queue) {
        const bool sent = daemonFree && sendQuery(cell, rooms, ref, now, actions);
        if (!sent) {
            cell.queries_.push_back(ref);
            daemonFree = daemonFree && chooseAsker(cell, 0, now.steady_) != nullptr;
        }
    }
}

static void endQuery(Cell &cell, const OpenQuery &query, bool answered, TimePoint now)
{
    for (Asker &asker : cell.askers_) {
        if (asker.daemon_ == query.asker_) {
            asker.open_ -= std::min(asker.open_, 1U);
            if (asker.open_ == 0) {
                asker.busyUntil_ = std::min(asker.busyUntil_, now);
            }
        }
    }
    Job *job = findJob(cell, query.step_.job_);
    if (job == nullptr || isFinal(*job) || !job->occurrences_.contains(query.step_.occurrence_)) {
        return;
    }
    StepState &step = job->occurrences_.at(query.step_.occurrence_).steps_[query.step_.step_];
    step.querying_ = false;
    if (!answered) {
        step.queryNotBefore_ = now + RetryPause;
    }
    cell.dirtyPlacement_ = true;
}

void detail::expireQueries(Cell &cell, CellTime now, CellActions &actions)
{
    for (auto query = cell.openQueries_.begin(); query != cell.openQueries_.end();) {
        const bool gone = std::none_of(cell.askers_.begin(), cell.askers_.end(), [&](const Asker &asker) {
            return asker.present_ && asker.daemon_ == query->second.asker_;
        });
        if (!gone && now.steady_ < query->second.expiresAt_) {
            ++query;
            continue;
        }
        JsonObject line = logEvent("policy-lost");
        line.text("job", jobText(query->second.step_.job_)).text("asker", query->second.asker_.value_);
        logTo(actions, line, LogLevel::Warning);
        endQuery(cell, query->second, false, now.steady_);
        query = cell.openQueries_.erase(query);
    }
}

void setAskers(Cell &cell, std::span<const DaemonId> daemons)
{
    for (Asker &asker : cell.askers_) {
        asker.present_ = std::find(daemons.begin(), daemons.end(), asker.daemon_) != daemons.end();
    }
    std::erase_if(cell.askers_, [](const Asker &asker) { return !asker.present_ && asker.open_ == 0; });
    for (const DaemonId &daemon : daemons) {
        const bool known = std::any_of(cell.askers_.begin(), cell.askers_.end(),
                                       [&daemon](const Asker &asker) { return asker.daemon_ == daemon; });
        if (!known) {
            cell.askers_.push_back({daemon, {}, 0, true});
        }
    }
}

void handlePolicyAnswer(Cell &cell, const DaemonId &from, const PolicyAnswer &answer, CellTime now,
                        CellActions &actions)
{
    const auto found = cell.openQueries_.find(answer.call_.value_);
    if (found == cell.openQueries_.end() || found->second.asker_ != from) {
        return;
    }
    const OpenQuery query = std::move(found->second);
    cell.openQueries_.erase(found);
    JsonObject line = logEvent("policy-answer");
    line.text("job", jobText(query.step_.job_)).boolean("answered", answer.answered_);
    line.number("asked", static_cast<std::int64_t>(query.asked_.size()));
    line.number("allowed", static_cast<std::int64_t>(answer.allowed_.size()));
    line.number("took_ms", std::chrono::duration_cast<Milliseconds>(now.steady_ - query.sentAt_).count());
    logTo(actions, line);
    endQuery(cell, query, answer.answered_, now.steady_);
    Job *job = findJob(cell, query.step_.job_);
    if (!answer.answered_ || job == nullptr || isFinal(*job) || !job->occurrences_.contains(query.step_.occurrence_)) {
        return;
    }
    StepState &step = job->occurrences_.at(query.step_.occurrence_).steps_[query.step_.step_];
    for (const RunnerId &id : query.asked_) {
        step.verdicts_.try_emplace(id);
    }
    for (const PolicyTicket &ticket : answer.allowed_) {
        const Runner *runner = findRunner(cell, ticket.runner_);
        PolicyVerdict &verdict = step.verdicts_[ticket.runner_];
        verdict.allowed_ = true;
        verdict.ticket_ = ticket.ticket_;
        verdict.validUntil_ = now.steady_ + job->policy_.ticketValid_;
        verdict.bornUnixMs_ = runner != nullptr ? runner->bornUnixMs_ : 0;
    }
    if (!query.asked_.empty()) {
        const double share = static_cast<double>(answer.allowed_.size()) / static_cast<double>(query.asked_.size());
        double &smoothed = cell.allowedShare_.try_emplace(job->policy_.queue_, FirstShare).first->second;
        smoothed += ShareWeight * (share - smoothed);
    }
}

} // namespace mimosapier
