// Admission: decides whether a submitted job is accepted or refused at once, and when its client may come back.
//
// Designed for bursts, for accounts that submit many times their share, and for a leader that has just taken over a
// backlog. Two estimates of the wait are made, and the longer one counts: the work that waits against the capacity of
// the runners, and the jobs that wait against the rate at which jobs of their queue start. The second one shows what no
// capacity tells of: the policy service, the store or the leader's own processor. A job that could start only after its
// objective is certainly missed is refused while that is cheap; its client can come back when the queue is shorter.
#include "core/cell/cell_internal.h"

#include <algorithm>
#include <cmath>

namespace mimosapier::detail
{

static constexpr Milliseconds MinAcceptTime{60}; // a submit is refused when its client waits for less than this
static constexpr Milliseconds LoadRetryAfter{1'000}; // the smallest value of Retry-After, which has whole seconds
// Retry-After while all runners of a service are in evacuated zones. An evacuation lasts longer, but its end is not
// known.
static constexpr Milliseconds EvacuatedRetryAfter{2'000};
// Tasks of all jobs that have not ended. The leader keeps about 250 B for each, and a small instance has 120 MB.
static constexpr std::uint64_t MaxOpenTasks = 150'000;
// Waiting work may delay a new job by this multiple of its objective. A job has a fifth of its value up to three
// objectives, but the estimates of work are rough, and a client that is refused early can retry after the burst.
static constexpr double MaxWaitObjectives = 1.5;
// Size of an account's token bucket, in seconds of its share: a larger burst counts as beyond the share.
static constexpr double ShareBurstSeconds = 2;
// The client of a refused submission repeats it, so an account far beyond its share sends several times as many
// submissions as jobs. A repetition within the share again takes a token only above this part of the bucket: the tokens
// go to first submissions, which can still be served in time.
static constexpr double RepetitionReserve = 0.5;
static constexpr Milliseconds RefusedKept{10'000}; // clients repeat a submission within their deadline of a few seconds
static constexpr std::size_t MaxRefused = 50'000; // memory: about 100 B each
// Submissions beyond the share are accepted while the work ahead takes less time than this.
static constexpr Milliseconds IdleWait{250};
// Limit of the waiting work beyond the shares, as the time that the whole capacity needs for it. More work could wait
// indefinitely while other accounts keep submitting.
static constexpr Milliseconds MaxBeyondShareWait{1'000};
// Weight of a start in the start rate of its queue: falls to 1/e in this time, which is shorter than most bursts.
static constexpr std::chrono::duration<double> StartRateDecay{2};
// The start rate of a new leader is used from this time after its recovery on.
static constexpr Milliseconds MinStartRateAge{500};
// With fewer waiting jobs of its queue, a job is not refused because of the start rate: the rate of a few jobs is
// noise.
static constexpr std::size_t MinJobsForStartRate = 16;
static constexpr Milliseconds MaxQueueWait{30'000}; // estimate when nothing of the queue starts

std::uint64_t countOpenTasks(const Job &job)
{
    std::uint64_t tasks = 0;
    for (const StepSpec &spec : job.submitted_.steps_) {
        tasks += spec.count_;
    }
    return tasks * std::clamp<std::uint64_t>(job.submitted_.repeatCount_, 1, MaxUnfinishedOccurrences);
}

void countAllOpenTasks(Cell &cell)
{
    cell.openTasks_ = 0;
    for (const auto &[id, job] : cell.jobs_) {
        cell.openTasks_ += isFinal(*job) ? 0 : countOpenTasks(*job);
    }
}

// Returns the reason why a job can never run; empty if there is none.
static std::string_view infeasibilityReason(const Cell &cell, const Job &job)
{
    for (std::size_t i = 0; i < job.submitted_.steps_.size(); ++i) {
        const StepSpec &spec = job.submitted_.steps_[i];
        const auto account = cell.accounts_.find(job.account_);
        if (account != cell.accounts_.end()) {
            const Resources &cap = account->second.config_.cap_;
            if ((cap.milliCpus_ > 0 && spec.size_.milliCpus_ > cap.milliCpus_)
                || (cap.memoryMb_ > 0 && spec.size_.memoryMb_ > cap.memoryMb_)
                || (cap.accelerators_ > 0 && spec.size_.accelerators_ > cap.accelerators_)) {
                return "task-above-account-limit";
            }
        }
    }
    return {};
}

// Processor time of a job's tasks, in milli-CPU milliseconds, without long-running and fill tasks.
static double workOf(const Job &job)
{
    double work = 0;
    for (const StepSpec &spec : job.submitted_.steps_) {
        if (!spec.longRunning_ && !spec.fill_) {
            work += static_cast<double>(spec.count_) * static_cast<double>(spec.size_.milliCpus_)
                * static_cast<double>(spec.estimate_.count());
        }
    }
    return work;
}

static double capacityOf(Cell &cell, const std::string &service)
{
    if (cell.capacityStale_) {
        cell.capacityStale_ = false;
        cell.serviceCapacity_.clear();
        for (const auto &[id, runner] : cell.runners_) {
            if (runner->inDiscovery_ && !runner->record_.draining_ && !isEvacuated(cell, *runner)) {
                cell.serviceCapacity_[runner->record_.service_]
                    += static_cast<double>(runner->record_.capacity_.milliCpus_);
            }
        }
    }
    const auto found = cell.serviceCapacity_.find(service);
    return found == cell.serviceCapacity_.end() ? 0 : found->second;
}

static void addWaitingJob(WaitingJobs &jobs, const Job &job)
{
    ++jobs.count_;
    jobs.oldestAt_ = std::min(jobs.oldestAt_, job.submittedAt_);
}

void addWaitingWork(Cell &cell, const Job &job, TimePoint now)
{
    const double work = workOf(job);
    if (job.beyondShare_) {
        cell.waitingWork_.beyondShare_[job.policy_.service_] += work;
        if (now < job.valueEndsAt_) {
            addWaitingJob(cell.waitingWork_.jobsBeyondShare_[job.policy_.queue_], job);
        }
    } else if (now < job.valueEndsAt_) {
        cell.waitingWork_.withinShare_[{job.policy_.service_, job.policy_.priority_}] += work;
        addWaitingJob(cell.waitingWork_.jobsWithinShare_[job.policy_.queue_], job);
    }
}

// Sums up the work that has not started. The sums are reused for a short time, in which only accepted jobs are added.
static void refreshWaitingWork(Cell &cell, TimePoint now)
{
    // Jobs that started since the last refresh still count as waiting: at the target load 60 of some thousand jobs.
    constexpr Milliseconds Refresh{20};
    if (now < cell.waitingWork_.countedAt_ + Refresh) {
        return;
    }
    cell.waitingWork_ = {now, {}, {}, {}, {}};
    for (const StagedJobId id : cell.unstartedJobs_) {
        const Job *job = findJob(cell, id);
        if (job != nullptr && !isFinal(*job) && !job->started_) {
            addWaitingWork(cell, *job, now);
        }
    }
}

// Time that the runners of a service need for an amount of work; 0 if the service has no runners.
static Milliseconds processingTime(Cell &cell, double work, const std::string &service)
{
    // Gangs and tickets leave about a quarter of the capacity unused.
    constexpr double UsableShare = 0.75;
    const double capacity = capacityOf(cell, service);
    return capacity <= 0 ? Milliseconds(0) : Milliseconds(static_cast<std::int64_t>(work / (capacity * UsableShare)));
}

// Estimated wait of a job until the runners have taken the work that precedes it.
static Milliseconds capacityWait(Cell &cell, const Job &job, TimePoint now)
{
    refreshWaitingWork(cell, now);
    const std::string &service = job.policy_.service_;
    const auto &withinShare = cell.waitingWork_.withinShare_;
    double ahead = 0;
    for (auto sum = withinShare.lower_bound({service, 0});
         sum != withinShare.end() && sum->first <= std::pair(service, job.policy_.priority_); ++sum) {
        ahead += sum->second;
    }
    return processingTime(cell, ahead, service);
}

static double decayedStarts(const StartRate &rate, TimePoint now)
{
    return rate.starts_ * std::exp(-std::chrono::duration<double>(now - rate.countedAt_) / StartRateDecay);
}

void countFirstStart(Cell &cell, const std::string &queue, TimePoint now)
{
    StartRate &rate = cell.startRates_[queue];
    rate.starts_ = decayedStarts(rate, now) + 1;
    rate.countedAt_ = now;
}

static WaitingJobs waitingJobs(const std::map<std::string, WaitingJobs> &byQueue, const Job &job)
{
    const auto found = byQueue.find(job.policy_.queue_);
    return found == byQueue.end() ? WaitingJobs{} : found->second;
}

// Estimated wait of a job until it starts: the waiting jobs of its queue at the queue's present start rate. It contains
// the waits for the store, the policy service and the leader's processor. 0 when too little is known.
static Milliseconds queueWait(Cell &cell, const Job &job, TimePoint now)
{
    refreshWaitingWork(cell, now);
    WaitingJobs ahead = waitingJobs(cell.waitingWork_.jobsWithinShare_, job);
    if (job.beyondShare_) { // work within the shares comes first, see urgency.cpp
        const WaitingJobs beyond = waitingJobs(cell.waitingWork_.jobsBeyondShare_, job);
        ahead = {ahead.count_ + beyond.count_, std::min(ahead.oldestAt_, beyond.oldestAt_)};
    }
    // At the start of a burst the start rate is that of the time before. As long as nothing has waited for long, it
    // does not show that the jobs will wait.
    const bool waited = ahead.count_ > 0 && now - ahead.oldestAt_ >= IdleWait;
    if (!cell.allTasksKnown_ || now < cell.allTasksKnownAt_ + MinStartRateAge || ahead.count_ < MinJobsForStartRate
        || !waited) {
        return Milliseconds(0);
    }
    const auto rate = cell.startRates_.find(job.policy_.queue_);
    const std::chrono::duration<double> age = now - cell.allTasksKnownAt_;
    // Only starts of this leadership are counted: a young rate is scaled up to the whole decay time.
    const double weight = StartRateDecay.count() * (1 - std::exp(-age / StartRateDecay));
    const double startsPerSecond = rate == cell.startRates_.end() ? 0 : decayedStarts(rate->second, now) / weight;
    constexpr double MillisPerSecond = 1'000;
    const double waitMs = static_cast<double>(ahead.count_) * MillisPerSecond / std::max(startsPerSecond, 1e-3);
    return Milliseconds(static_cast<std::int64_t>(std::min(waitMs, static_cast<double>(MaxQueueWait.count()))));
}

// True when jobs of the queue beyond the shares wait so long that a further one would miss its objective. Work beyond
// the shares comes after all other work, of any priority, so the capacity alone does not tell how long it waits.
static bool isBeyondShareStalled(Cell &cell, const Job &job, Milliseconds slack, TimePoint now)
{
    refreshWaitingWork(cell, now);
    const WaitingJobs waiting = waitingJobs(cell.waitingWork_.jobsBeyondShare_, job);
    return waiting.count_ > 0 && now - waiting.oldestAt_ > std::max(IdleWait, slack / 2);
}

// Time that the waiting work beyond the accounts' shares would take. This work is placed after all other work.
static Milliseconds beyondShareWait(Cell &cell, const Job &job, TimePoint now)
{
    refreshWaitingWork(cell, now);
    const auto beyondShare = cell.waitingWork_.beyondShare_.find(job.policy_.service_);
    return beyondShare == cell.waitingWork_.beyondShare_.end()
        ? Milliseconds(0)
        : processingTime(cell, beyondShare->second, job.policy_.service_);
}

// Takes one submission from the account's token bucket unless fewer than `reserve` of the bucket, as a fraction, are
// left. Result: whether one was taken.
static bool takeToken(Account &account, double reserve, TimePoint now)
{
    const double bucketSize = std::max(1.0, account.config_.weight_ * ShareBurstSeconds);
    const double seconds = std::chrono::duration<double>(now - account.refilledAt_).count();
    account.tokens_ = account.refilledAt_ == TimePoint{}
        ? bucketSize
        : std::min(bucketSize, account.tokens_ + seconds * account.config_.weight_);
    account.refilledAt_ = now;
    if (account.tokens_ < std::max(1.0, bucketSize * reserve)) {
        return false;
    }
    account.tokens_ -= 1;
    return true;
}

bool isBeyondShare(Cell &cell, const Job &job, TimePoint now)
{
    const auto found = cell.accounts_.find(job.account_);
    if (found == cell.accounts_.end() || found->second.config_.weight_ <= 0) {
        return false;
    }
    const auto refused = cell.refused_.find(job.id_);
    if (refused == cell.refused_.end()) {
        return !takeToken(found->second, 0, now);
    }
    return refused->second.beyondShare_ && !takeToken(found->second, RepetitionReserve, now);
}

void noteRefusedSubmission(Cell &cell, const Job &job, TimePoint now)
{
    const auto [entry, inserted] = cell.refused_.try_emplace(job.id_, RefusedSubmission{job.beyondShare_, now});
    entry->second.beyondShare_ = job.beyondShare_;
    if (inserted) {
        cell.refusedQueue_.emplace_back(now, job.id_);
    }
}

void removeRefusedSubmissions(Cell &cell, TimePoint now)
{
    auto &queue = cell.refusedQueue_;
    while (!queue.empty() && (now > queue.front().first + RefusedKept || queue.size() > MaxRefused)) {
        const auto found = cell.refused_.find(queue.front().second);
        if (found != cell.refused_.end() && found->second.refusedAt_ == queue.front().first) {
            cell.refused_.erase(found);
        }
        queue.pop_front();
    }
}

std::optional<CellReply> checkSubmit(Cell &cell, const CellRequest &request, const Job &job, TimePoint now,
                                     std::string_view &reason)
{
    CellReply refusal{request.call_, CellOutcome::Refused, {}, 0, LoadRetryAfter};
    if (cell.leaving_ || cell.superseded_) {
        reason = "leader-leaving";
        refusal.outcome_ = CellOutcome::Unavailable;
        return refusal;
    }
    if (cell.storeUnavailable_) {
        reason = "store-unavailable";
        refusal.outcome_ = CellOutcome::Unavailable;
        refusal.retryAfter_ = StoreRetryAfter;
        return refusal;
    }
    if (request.remaining_ < MinAcceptTime) {
        reason = "deadline-too-short";
        return refusal;
    }
    reason = infeasibilityReason(cell, job);
    if (!reason.empty()) {
        return refusal;
    }
    if (isServiceEvacuated(cell, job.policy_.service_)) {
        reason = "zones-evacuated";
        refusal.retryAfter_ = EvacuatedRetryAfter;
        return refusal;
    }
    if (cell.openTasks_ + countOpenTasks(job) > MaxOpenTasks) {
        reason = "too-many-tasks";
        return refusal;
    }
    const Milliseconds objective = objectiveOf(job);
    // The measured wait is exact enough to tell whether the job can still start in time.
    const Milliseconds maxQueueWait = std::max(IdleWait, objective - certainWork(job));
    const Milliseconds forCapacity = capacityWait(cell, job, now);
    const Milliseconds forQueue = queueWait(cell, job, now);
    if (job.beyondShare_
        && (forCapacity > IdleWait || forQueue > maxQueueWait || isBeyondShareStalled(cell, job, maxQueueWait, now)
            || beyondShareWait(cell, job, now) > MaxBeyondShareWait)) {
        reason = "beyond-share";
        refusal.retryAfter_ = std::max(LoadRetryAfter, std::max(forCapacity, forQueue));
        return refusal;
    }
    const auto maxCapacityWait
        = Milliseconds(static_cast<std::int64_t>(static_cast<double>(objective.count()) * MaxWaitObjectives));
    const Milliseconds excess = std::max(forCapacity - maxCapacityWait, forQueue - maxQueueWait);
    if (excess > Milliseconds(0) && job.submitted_.repeatCount_ == 0) {
        reason = "overloaded";
        refusal.retryAfter_ = std::max(LoadRetryAfter, excess);
        return refusal;
    }
    return std::nullopt;
}

} // namespace mimosapier::detail
