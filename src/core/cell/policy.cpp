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

static constexpr std::size_t MaxRunnersPerQuery = 100;
static constexpr std::uint32_t MinRunnersPerQuery = 6; // for small steps too: the policy may not allow the first ones
// A query names more runners without a verdict until the expected number of tasks that fit on the named runners is this
// multiple of the waiting tasks.
static constexpr double UnknownRunnerFactor = 2;
static constexpr double InitialAllowedShare = 0.4; // assumed fraction of allowed runners before a queue's first answer
static constexpr double AllowedShareWeight = 0.1; // weight of the latest answer in the smoothed fraction
static constexpr double LongQueryMs = 150; // queries with a higher cost are long and use only part of the daemons
static constexpr Milliseconds AnswerMargin{2'500}; // added to the estimated cost: queues, and a round trip of 40 ms
static constexpr Milliseconds QueryRetryDelay{150}; // delay after a query without an answer
static constexpr Milliseconds PipelineLead{30}; // a query is sent this long before the estimated end of the last one
// For each daemon. A query of 12 ms takes about 100 ms with the messages between regions, so a daemon keeps the service
// busy only with several in flight; the service answers 429 when 32 wait.
static constexpr std::uint32_t MaxQueriesInFlight = 8;
// A daemon that answers none of its queries for this long gets no more than MaxQueriesUnanswered: it may be cut off.
static constexpr Milliseconds SilentQuerierAfter{400};
static constexpr std::uint32_t MaxQueriesUnanswered = 2;
// How long before recovered gangs may start the policy service is asked about them: a few queries of the largest gangs.
static constexpr Milliseconds LearnAheadTime{6'000};
static constexpr Milliseconds LearnAheadPause{200}; // after a gang has had nothing to ask
static constexpr std::size_t RenewalDaemonPart = 3; // at most one in this many daemons renews tickets of waiting gangs
// A pass ends after this many steps for which no query could be sent. When all runners are full, a long queue would
// otherwise be examined as a whole with each batch of events.
static constexpr std::size_t MaxUnsentPerPass = 64;

bool detail::hasTicket(const StepState &step, const Runner &runner, TimePoint now)
{
    const auto verdict = step.verdicts_.find(runner.record_.id_);
    return verdict != step.verdicts_.end() && verdict->second.allowed_
        && now + TicketMargin < verdict->second.validUntil_ && verdict->second.startedUnixMs_ == runner.startedUnixMs_;
}

void detail::setTicket(const StepState &step, const Runner &runner, Placement &placement)
{
    const auto verdict = step.verdicts_.find(runner.record_.id_);
    if (verdict == step.verdicts_.end() || verdict->second.ticket_.empty()) {
        return;
    }
    placement.ticket_ = verdict->second.ticket_;
    placement.ticketReceivedAt_ = verdict->second.receivedAt_;
    placement.ticketUntil_ = verdict->second.validUntil_;
}

// True when a member of the gang is expected on a runner that does not answer.
static bool waitsForLostRunner(const Cell &cell, const StepState &step)
{
    return std::any_of(step.tasks_.begin(), step.tasks_.end(), [&cell](const TaskRecord &task) {
        const auto runner = cell.runners_.find(task.runner_);
        return task.state_ == TaskState::Placed && runner != cell.runners_.end() && runner->second->failedCalls_ > 0;
    });
}

bool detail::learnsAhead(const Cell &cell, const Job &job, const StepRef &ref, TimePoint now)
{
    const StepState &step = job.occurrences_.at(ref.occurrence_).steps_[ref.step_];
    if (!job.policy_.policyQueries_ || !stepSpec(job, ref.step_).gang_ || step.waiting_ == 0) {
        return false;
    }
    if (job.recovered_ && !cell.allTasksKnown_) {
        return cell.allTasksKnownBy_ != TimePoint::max() && now + LearnAheadTime >= cell.allTasksKnownBy_;
    }
    return step.waiting_ < step.tasks_.size() && waitsForLostRunner(cell, step);
}

void detail::queuePolicyQuery(Cell &cell, Job &job, std::uint32_t occurrence, std::uint32_t step, TimePoint now)
{
    StepState &state = job.occurrences_.at(occurrence).steps_[step];
    if (!state.queryPending_ && now >= state.queryNotBefore_) {
        state.queryPending_ = true;
        cell.queryQueue_.push_back({job.id_, occurrence, step});
    }
}

// Free resources of the runner without those that queries in flight will probably use. The answers to queries that name
// the same runners let only the first of their steps start.
static Resources unclaimed(const Runner &runner, Resources free)
{
    free.milliCpus_ -= runner.queryClaims_;
    return free;
}

// What the reservations for gangs leave to the tasks that a query for the step is to let start.
static RoomAccess queryAccess(const Cell &cell, const Job &job, const StepRef &ref, TimePoint now)
{
    RoomAccess access = roomAccessOf(cell, job, ref, now);
    access.ignoresLowerPriority_ = mayIgnoreRooms(cell, job, ref, now);
    return access;
}

// Fraction of the runners that the policy service will probably allow for jobs of this queue.
static double likelyAllowedShare(const Cell &cell, const Job &job)
{
    const auto share = cell.allowedShare_.find(job.policy_.queue_);
    return share == cell.allowedShare_.end() ? InitialAllowedShare : share->second;
}

// Chooses the runners to query for the waiting tasks; empty if no answer could let them start now.
static std::vector<QueriedRunner> chooseRunners(const Cell &cell, FreeCapacityIndex &freeCapacity, const Job &job,
                                                const StepRef &ref, const StepState &step, TimePoint now)
{
    struct Entry
    {
        RunnerId id_;
        double expected_ = 0; // expected number of tasks
        bool allowed_ = false;
        bool claimed_ = false; // other queries will probably use all its free resources
        bool suspect_ = false; // placed last, so asked for last
    };
    const StepSpec &spec = stepSpec(job, ref.step_);
    const Resources size = reservedSize(spec);
    RoomAccess access = queryAccess(cell, job, ref, now);
    if (access.end_ != TimePoint::max()) { // the tasks start when the answer is there
        access.end_ += Milliseconds(static_cast<std::int64_t>(policyQueryMs(job.policy_, MinRunnersPerQuery)));
    }
    const double likely = likelyAllowedShare(cell, job);
    std::vector<Entry> entries;
    bool unknown = false;
    double ticketed = 0;
    double total = 0;
    for (const RunnerFreeCapacity &entry : freeCapacity.runnersWithFree(job.policy_.service_, size.milliCpus_)) {
        const Runner *runner = entry.runner_;
        const RunnerId &id = runner->record_.id_;
        if (!hasRequiredLabel(spec, *runner)) {
            continue;
        }
        const auto verdict = step.verdicts_.find(id);
        if (verdict != step.verdicts_.end() && !verdict->second.allowed_) {
            continue;
        }
        const Resources free = freeFor(*runner, access);
        std::uint32_t fitting = fittingTasks(free, size);
        if (spec.antiAffinity_ > 0) {
            fitting = std::min(fitting, spec.antiAffinity_);
        }
        if (fitting == 0) {
            continue;
        }
        const std::uint32_t unclaimedFit = std::min(fitting, fittingTasks(unclaimed(*runner, free), size));
        const bool allowed = verdict != step.verdicts_.end();
        const bool claimed = unclaimedFit == 0;
        const double probability = allowed ? 1 : likely;
        const double expected = static_cast<double>(claimed ? fitting : unclaimedFit) * probability;
        total += static_cast<double>(fitting) * probability;
        if (hasTicket(step, *runner, now)) {
            ticketed += expected;
            // A gang needs all its tickets at the same time, so the tickets that are still valid are renewed with the
            // others.
            if (!spec.gang_) {
                continue;
            }
        }
        unknown = unknown || !allowed;
        entries.push_back({id, expected, allowed, claimed, riskOf(*runner, now) == RunnerRisk::High});
    }
    const double wanted = spec.gang_ ? spec.count_ : std::min<double>(step.waiting_ + step.copiesWanted_, spec.count_);
    if (spec.gang_ && !unknown && total < wanted) {
        return {};
    }
    std::sort(entries.begin(), entries.end(), [](const Entry &a, const Entry &b) {
        return std::make_tuple(a.suspect_, !a.allowed_, a.claimed_, -a.expected_)
            < std::make_tuple(b.suspect_, !b.allowed_, b.claimed_, -b.expected_);
    });
    std::vector<QueriedRunner> chosen;
    double expected = 0;
    for (const Entry &entry : entries) {
        const double target = wanted * (entry.allowed_ ? 1.25 : UnknownRunnerFactor);
        if (chosen.size() >= MaxRunnersPerQuery || (expected >= target && chosen.size() >= MinRunnersPerQuery)) {
            break;
        }
        chosen.push_back(
            {entry.id_, static_cast<std::int64_t>(entry.expected_ * static_cast<double>(size.milliCpus_))});
        expected += entry.expected_;
    }
    const double used = std::min(1.0, wanted / std::max(expected, 1.0)); // part of the named room that is needed
    for (QueriedRunner &runner : chosen) {
        runner.claim_ = static_cast<std::int64_t>(static_cast<double>(runner.claim_) * used);
    }
    return chosen;
}

namespace
{

// The runners to query for a gang that may get a reservation.
struct GangQuery
{
    std::vector<QueriedRunner> runners_; // empty: no query now
    bool renewsTickets_ = false;
};

} // namespace

// Number of runners that lengthen a query by half at most.
static std::size_t cheapRunners(const QueuePolicy &policy)
{
    return policy.perRunnerMs_ <= 0 ? MaxRunnersPerQuery
                                    : static_cast<std::size_t>(policy.decideMs_ / policy.perRunnerMs_ / 2);
}

// Chooses unknown runners, also full ones, until the allowed ones can hold the gang with a reserve: verdicts are final.
static std::vector<QueriedRunner> chooseUnknownRunners(const Cell &cell, FreeCapacityIndex &freeCapacity,
                                                       const Job &job, const StepRef &ref, const StepState &step,
                                                       TimePoint now)
{
    struct Entry
    {
        std::uint32_t fitting_ = 0; // members that fit now
        std::int64_t milliCpus_ = 0; // free now
        std::uint32_t members_ = 0; // members that fit when the runner is empty
        RunnerId id_;
    };
    const StepSpec &spec = stepSpec(job, ref.step_);
    const Resources size = reservedSize(spec);
    const RoomAccess access = queryAccess(cell, job, ref, now);
    const double likely = likelyAllowedShare(cell, job);
    double expected = 0;
    std::vector<Entry> entries;
    for (const RunnerFreeCapacity &entry : freeCapacity.runnersWithFree(job.policy_.service_, INT64_MIN)) {
        const Runner &runner = *entry.runner_;
        const std::uint32_t members = membersThatMayRun(runner, spec);
        const auto verdict = step.verdicts_.find(runner.record_.id_);
        if (verdict != step.verdicts_.end()) {
            expected += verdict->second.allowed_ ? members : 0;
        } else if (members > 0) {
            const Resources free = freeFor(runner, access);
            entries.push_back(
                {std::min(fittingTasks(free, size), members), free.milliCpus_, members, runner.record_.id_});
        }
    }
    std::sort(entries.begin(), entries.end(), [](const Entry &left, const Entry &right) {
        return std::tie(left.fitting_, left.milliCpus_, left.id_)
            > std::tie(right.fitting_, right.milliCpus_, right.id_);
    });
    std::vector<QueriedRunner> chosen;
    if (expected >= wantedKnownMembers(spec)) {
        return chosen;
    }
    const std::size_t cheap = cheapRunners(job.policy_); // a small gang has more to choose from for little time
    for (const Entry &entry : entries) {
        if (chosen.size() >= MaxRunnersPerQuery || (expected >= wantedKnownMembers(spec) && chosen.size() >= cheap)) {
            break;
        }
        chosen.push_back({entry.id_});
        expected += entry.members_ * likely;
    }
    return chosen;
}

// True when another daemon may be used for renewing tickets: the others remain for first queries.
static bool mayRenewTickets(const Cell &cell)
{
    const auto renewals = std::count_if(cell.inFlightQueries_.begin(), cell.inFlightQueries_.end(),
                                        [](const auto &entry) { return entry.second.renewsTickets_; });
    return static_cast<std::size_t>(renewals) < std::max<std::size_t>(1, cell.queriers_.size() / RenewalDaemonPart);
}

// Chooses the query for a gang that may get a reservation.
static GangQuery chooseGangQuery(const Cell &cell, FreeCapacityIndex &freeCapacity, const Job &job, const StepRef &ref,
                                 const StepState &step, TimePoint now)
{
    const GangRoom *room = findRoom(cell, ref);
    if (room == nullptr) {
        GangQuery query{chooseUnknownRunners(cell, freeCapacity, job, ref, step, now), false};
        if (query.runners_.empty()) { // all are known, and the share of reservations is used up
            query.runners_ = chooseRunners(cell, freeCapacity, job, ref, step, now);
        }
        return query;
    }
    if (now >= room->renewAt_) {
        GangQuery query{{}, true};
        if (mayRenewTickets(cell)) {
            for (const auto &[id, members] : room->members_) {
                query.runners_.push_back({id});
            }
            for (const RunnerId &id : room->alternates_) {
                query.runners_.push_back({id});
            }
            query.runners_.resize(std::min(query.runners_.size(), MaxRunnersPerQuery));
        }
        return query;
    }
    if (room->learnsMore_) {
        return {chooseUnknownRunners(cell, freeCapacity, job, ref, step, now), false};
    }
    return {};
}

double detail::policyQueryMs(const QueuePolicy &policy, std::size_t runners)
{
    return policy.decideMs_ + policy.perRunnerMs_ * static_cast<double>(runners);
}

// True when the daemon has as many queries in flight as it may have now.
static bool isQuerierFull(const PolicyQuerier &querier, TimePoint now)
{
    const bool isSilent = now > std::max(querier.waitingSince_, querier.busyUntil_) + SilentQuerierAfter;
    return querier.inFlight_ >= (isSilent ? MaxQueriesUnanswered : MaxQueriesInFlight);
}

// Returns the daemon that would answer first, or nullptr if none can take the query now.
static PolicyQuerier *chooseQuerier(Cell &cell, double costMs, TimePoint now)
{
    PolicyQuerier *best = nullptr;
    const std::size_t count = cell.queriers_.size();
    // Long queries use two thirds of the daemons, so that a short query always finds daemons without a long one.
    const std::size_t longQueryDaemons = std::max<std::size_t>(1, count * 2 / 3);
    for (std::size_t i = 0; i < count; ++i) {
        PolicyQuerier &querier = cell.queriers_[i];
        if (!querier.present_ || isQuerierFull(querier, now) || querier.busyUntil_ > now + PipelineLead
            || (costMs > LongQueryMs && i >= longQueryDaemons)) {
            continue;
        }
        // Short queries prefer the daemons that long ones do not use.
        if (best == nullptr || querier.busyUntil_ < best->busyUntil_
            || (costMs <= LongQueryMs && querier.busyUntil_ <= now)) {
            best = &querier;
        }
    }
    return best;
}

static bool sendQuery(Cell &cell, FreeCapacityIndex &freeCapacity, const StepRef &ref, CellTime now,
                      CellActions &actions)
{
    Job *job = findJob(cell, ref.job_);
    if (job == nullptr || isFinal(*job) || !job->occurrences_.contains(ref.occurrence_)) {
        return true;
    }
    StepState &step = job->occurrences_.at(ref.occurrence_).steps_[ref.step_];
    if (step.waiting_ == 0 && step.copiesWanted_ == 0) {
        step.queryPending_ = false;
        return true;
    }
    // Choosing runners is wasted work when no daemon can take even the cheapest query of this queue.
    if (chooseQuerier(cell, policyQueryMs(job->policy_, 1), now.steady_) == nullptr) {
        return false;
    }
    GangQuery choice;
    if (learnsAhead(cell, *job, ref, now.steady_)) {
        choice.runners_ = chooseUnknownRunners(cell, freeCapacity, *job, ref, step, now.steady_);
        if (choice.runners_.empty()) {
            step.learnNotBefore_ = now.steady_ + LearnAheadPause;
        }
    } else if (wantsRoom(cell, *job, ref, now.steady_)) {
        choice = chooseGangQuery(cell, freeCapacity, *job, ref, step, now.steady_);
    } else {
        choice.runners_ = chooseRunners(cell, freeCapacity, *job, ref, step, now.steady_);
    }
    const std::vector<QueriedRunner> &runners = choice.runners_;
    if (runners.empty()) {
        step.queryPending_ = false;
        return true;
    }
    const double cost = policyQueryMs(job->policy_, runners.size());
    PolicyQuerier *querier = chooseQuerier(cell, cost, now.steady_);
    if (querier == nullptr) {
        return false;
    }
    const auto costTime = Milliseconds(static_cast<std::int64_t>(std::ceil(cost)));
    querier->busyUntil_ = std::max(querier->busyUntil_, now.steady_) + costTime;
    if (querier->inFlight_++ == 0) {
        querier->waitingSince_ = now.steady_;
    }
    PolicyQuery query;
    query.call_ = CallId{cell.nextCallId_++};
    query.job_ = ref.job_;
    query.occurrence_ = ref.occurrence_;
    query.step_ = ref.step_;
    for (const QueriedRunner &queried : runners) {
        query.runners_.push_back(queried.id_);
        if (Runner *runner = findRunner(cell, queried.id_)) { // a reserved one may have been removed since the plan
            runner->queryClaims_ += queried.claim_;
        }
    }
    query.timeout_ = costTime + AnswerMargin;
    step.answerExpectedAt_ = querier->busyUntil_;
    cell.inFlightQueries_[query.call_.value_] = {ref,
                                                 querier->daemon_,
                                                 runners,
                                                 now.steady_,
                                                 now.steady_ + query.timeout_ + AnswerMargin,
                                                 choice.renewsTickets_};
    JsonObject line = logEvent("policy-query");
    line.text("job", jobText(ref.job_)).number("step", ref.step_).text("asker", querier->daemon_.value_);
    line.number("runners", static_cast<std::int64_t>(runners.size())).number("cost_ms", costTime.count());
    addLogLine(actions, line);
    actions.policy_.push_back({querier->daemon_, std::move(query)});
    return true;
}

// Sorts the steps that need a query by urgency, unless the last sort of the long queue is recent. Steps that were
// queued since then wait at the end.
static void sortQueryQueue(Cell &cell, TimePoint now)
{
    if (now < cell.nextQuerySortAt_) {
        return;
    }
    cell.nextQuerySortAt_ = now + passInterval(cell.queryQueue_.size());
    cell.stepsExamined_ += cell.queryQueue_.size();
    std::vector<UrgencyKey> keys;
    keys.reserve(cell.queryQueue_.size());
    for (const StepRef &ref : cell.queryQueue_) {
        if (const Job *job = findJob(cell, ref.job_)) {
            keys.push_back(urgencyOf(cell, *job, ref, now));
        }
    }
    std::sort(keys.begin(), keys.end());
    cell.queryQueue_.clear();
    for (const UrgencyKey &key : keys) {
        cell.queryQueue_.push_back(key.ref_);
    }
}

void detail::sendPolicyQueries(Cell &cell, CellTime now, CellActions &actions)
{
    if (cell.queryQueue_.empty() || cell.superseded_) {
        return;
    }
    // Under load, few daemons are free; without one, the queue is not examined.
    if (chooseQuerier(cell, 0, now.steady_) == nullptr) {
        return;
    }
    sortQueryQueue(cell, now.steady_);
    FreeCapacityIndex freeCapacity(cell, now.steady_);
    std::vector<StepRef> &queue = cell.queryQueue_;
    std::size_t examined = 0;
    std::size_t kept = 0;
    const std::size_t inFlightBefore = cell.inFlightQueries_.size();
    for (; examined < queue.size() && chooseQuerier(cell, 0, now.steady_) != nullptr; ++examined) {
        const std::size_t sent = cell.inFlightQueries_.size() - inFlightBefore;
        if (examined - sent >= MaxUnsentPerPass) {
            break;
        }
        if (!sendQuery(cell, freeCapacity, queue[examined], now, actions)) {
            queue[kept++] = queue[examined];
        }
    }
    cell.stepsExamined_ += examined;
    queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(kept),
                queue.begin() + static_cast<std::ptrdiff_t>(examined));
}

static void endQuery(Cell &cell, const InFlightQuery &query, bool answered, TimePoint now)
{
    for (const QueriedRunner &queried : query.queriedRunners_) {
        if (Runner *runner = findRunner(cell, queried.id_)) {
            runner->queryClaims_ -= std::min(runner->queryClaims_, queried.claim_); // it may be listed anew
        }
    }
    for (PolicyQuerier &querier : cell.queriers_) {
        if (querier.daemon_ == query.querier_) {
            querier.inFlight_ -= std::min(querier.inFlight_, 1U);
            querier.waitingSince_ = answered ? now : querier.waitingSince_;
            if (querier.inFlight_ == 0) {
                querier.busyUntil_ = std::min(querier.busyUntil_, now);
            }
        }
    }
    Job *job = findJob(cell, query.step_.job_);
    if (job == nullptr || isFinal(*job) || !job->occurrences_.contains(query.step_.occurrence_)) {
        return;
    }
    StepState &step = job->occurrences_.at(query.step_.occurrence_).steps_[query.step_.step_];
    step.queryPending_ = false;
    if (!answered) {
        step.queryNotBefore_ = now + QueryRetryDelay;
    }
    cell.placementDue_ = true;
}

void detail::expirePolicyQueries(Cell &cell, CellTime now, CellActions &actions)
{
    for (auto query = cell.inFlightQueries_.begin(); query != cell.inFlightQueries_.end();) {
        const bool gone = std::none_of(cell.queriers_.begin(), cell.queriers_.end(), [&](const PolicyQuerier &querier) {
            return querier.present_ && querier.daemon_ == query->second.querier_;
        });
        if (!gone && now.steady_ < query->second.expiresAt_) {
            ++query;
            continue;
        }
        JsonObject line = logEvent("policy-lost");
        line.text("job", jobText(query->second.step_.job_)).text("asker", query->second.querier_.value_);
        addLogLine(actions, line, LogLevel::Warning);
        endQuery(cell, query->second, false, now.steady_);
        query = cell.inFlightQueries_.erase(query);
    }
}

void setPolicyQueriers(Cell &cell, std::span<const DaemonId> daemons)
{
    for (PolicyQuerier &querier : cell.queriers_) {
        querier.present_ = std::find(daemons.begin(), daemons.end(), querier.daemon_) != daemons.end();
    }
    std::erase_if(cell.queriers_,
                  [](const PolicyQuerier &querier) { return !querier.present_ && querier.inFlight_ == 0; });
    for (const DaemonId &daemon : daemons) {
        const bool known = std::any_of(cell.queriers_.begin(), cell.queriers_.end(),
                                       [&daemon](const PolicyQuerier &querier) { return querier.daemon_ == daemon; });
        if (!known) {
            cell.queriers_.push_back({daemon, {}, {}, 0, true});
        }
    }
}

void handlePolicyAnswer(Cell &cell, const DaemonId &from, const PolicyAnswer &answer, CellTime now,
                        CellActions &actions)
{
    const auto found = cell.inFlightQueries_.find(answer.call_.value_);
    if (found == cell.inFlightQueries_.end() || found->second.querier_ != from) {
        return;
    }
    const InFlightQuery query = std::move(found->second);
    cell.inFlightQueries_.erase(found);
    JsonObject line = logEvent("policy-answer");
    line.text("job", jobText(query.step_.job_)).boolean("answered", answer.answered_);
    line.number("asked", static_cast<std::int64_t>(query.queriedRunners_.size()));
    line.number("allowed", static_cast<std::int64_t>(answer.allowed_.size()));
    line.number("took_ms", std::chrono::duration_cast<Milliseconds>(now.steady_ - query.sentAt_).count());
    addLogLine(actions, line);
    endQuery(cell, query, answer.answered_, now.steady_);
    Job *job = findJob(cell, query.step_.job_);
    if (!answer.answered_ || job == nullptr || isFinal(*job) || !job->occurrences_.contains(query.step_.occurrence_)) {
        return;
    }
    StepState &step = job->occurrences_.at(query.step_.occurrence_).steps_[query.step_.step_];
    for (const QueriedRunner &queried : query.queriedRunners_) {
        step.verdicts_.try_emplace(queried.id_);
    }
    for (const PolicyTicket &ticket : answer.allowed_) {
        const Runner *runner = findRunner(cell, ticket.runner_);
        PolicyVerdict &verdict = step.verdicts_[ticket.runner_];
        verdict.allowed_ = true;
        verdict.ticket_ = ticket.ticket_;
        verdict.receivedAt_ = now.steady_;
        verdict.validUntil_ = now.steady_ + job->policy_.ticketValid_;
        verdict.startedUnixMs_ = runner != nullptr ? runner->startedUnixMs_ : 0;
    }
    if (stepSpec(*job, query.step_.step_).gang_) {
        replanGangRooms(cell); // with the new verdicts and tickets
    }
    if (!query.queriedRunners_.empty() && !query.renewsTickets_) {
        const double share
            = static_cast<double>(answer.allowed_.size()) / static_cast<double>(query.queriedRunners_.size());
        double &smoothed = cell.allowedShare_.try_emplace(job->policy_.queue_, InitialAllowedShare).first->second;
        smoothed += AllowedShareWeight * (share - smoothed);
    }
}

} // namespace mimosapier
