// Random schedules of failures, checked against the guarantees of a home partition: each job that is accepted and not
// cancelled ends with the outcome that its tasks have without failures.
#include "home/home_world.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <cstdlib>

using namespace mimosapier;
using namespace mimosapier::test;

using Fault = FaultyStore::Fault;

enum class Failure : std::uint8_t {
    None,
    StoreRefuses,
    StoreLosesRequests,
    StoreLosesAnswers,
    StoreAppliesLate,
    HolderPaused,
    HolderReplaced,
    HolderCrashes,
    OldHolderResumes,
    GroupChangesHolder,
    GroupsRefuse,
    MessagesLost,
    LongSilence, // longer than fence entries and final jobs are kept
    ManyWrites, // enough for a snapshot
    AllFaultsEnd,
    Count,
};

// A job with the submits that a schedule sent for it.
struct ScheduledJob
{
    JobSpec spec_;
    std::vector<CallId> calls_;
    bool cancelled_ = false;
};

static void injectFailure(HomeWorld &world, Failure failure)
{
    switch (failure) {
    case Failure::StoreRefuses:
        world.setFault(Fault::Refuses);
        break;
    case Failure::StoreLosesRequests:
        world.setFault(Fault::LosesRequest);
        break;
    case Failure::StoreLosesAnswers:
        world.setFault(Fault::LosesAnswer);
        break;
    case Failure::StoreAppliesLate:
        world.setFault(Fault::AppliesLate, 3);
        break;
    case Failure::HolderPaused:
        world.holder().paused_ = true;
        break;
    case Failure::HolderCrashes:
        world.holder().home_.reset();
        [[fallthrough]];
    case Failure::HolderReplaced:
        world.takeOver();
        break;
    case Failure::OldHolderResumes:
        for (const auto &daemon : world.daemons_) {
            daemon->paused_ = false;
        }
        break;
    case Failure::GroupChangesHolder: {
        FakeGroup &group = *world.groups_[world.random_() % world.groups_.size()];
        group.changeHolder(DaemonId(group.id_.value_ + "#" + std::to_string(group.epoch_.value_ + 1)), world.now_);
        world.updateDirectory();
        break;
    }
    case Failure::GroupsRefuse:
        for (const auto &group : world.groups_) {
            group->refusePercent_ = 60;
        }
        break;
    case Failure::LongSilence:
        world.jobsMayHaveExpired_ = true;
        world.run(std::chrono::minutes(11), Milliseconds(500));
        break;
    case Failure::ManyWrites:
        for (int i = 0; i < 140 && world.holder().home_; ++i) {
            world.submit(world.holder(), world.job("filler" + std::to_string(world.lastCall_)));
            world.run(Milliseconds(350), Milliseconds(50));
        }
        break;
    case Failure::MessagesLost:
        world.dropPercent_ = 30;
        break;
    default:
        world.setFault(Fault::None);
        world.dropPercent_ = 0;
        for (const auto &group : world.groups_) {
            group->refusePercent_ = 0;
        }
        break;
    }
}

static void submitRandomJobs(HomeWorld &world, std::map<JobId, ScheduledJob> &jobs)
{
    for (int i = 0; i < 4; ++i) {
        const std::string name = std::to_string(jobs.size());
        ScheduledJob job{world.job(name, WorkMode::Journaled, world.random_() % 2 == 0), {}, false};
        job.spec_.tasks_ = 1 + world.random_() % 3;
        if (!jobs.empty() && world.random_() % 3 == 0) { // repeats an earlier request
            job.spec_
                = std::next(jobs.begin(), static_cast<std::ptrdiff_t>(world.random_() % jobs.size()))->second.spec_;
        }
        // The directory of an entry may be out of date, so the previous holder may get the submit.
        HomeDaemon &daemon = *world.daemons_[world.daemons_.size() - 1
                                             - world.random_() % std::min<std::size_t>(world.daemons_.size(), 2)];
        const CallId call
            = daemon.home_ ? world.submit(daemon, job.spec_, Milliseconds(500 + world.random_() % 3000)) : CallId{};
        ScheduledJob &known = jobs.emplace(job.spec_.id_, job).first->second;
        if (call != CallId{}) {
            known.calls_.push_back(call);
        }
    }
    if (world.random_() % 8 == 0) {
        ScheduledJob &job = std::next(jobs.begin(), static_cast<std::ptrdiff_t>(world.random_() % jobs.size()))->second;
        job.cancelled_ = true;
        if (world.holder().home_) {
            world.ask(world.holder(), JobCancel{{}, {}, {job.spec_.id_}});
        }
    }
}

static void checkJob(HomeWorld &world, const ScheduledJob &job)
{
    bool accepted = false;
    bool refused = !job.calls_.empty();
    for (const CallId call : job.calls_) {
        const auto answer = world.answers_.find(call);
        accepted = accepted
            || (answer != world.answers_.end() && answer->second.outcome_ != Outcome::NotRun
                && answer->second.outcome_ != Outcome::Unknown);
        refused = refused && answer != world.answers_.end() && answer->second.outcome_ == Outcome::NotRun;
    }
    int starts = 0;
    for (std::uint32_t index = 0; index < job.spec_.tasks_; ++index) {
        const int taskStarts = world.starts(job.spec_.id_, index);
        starts += taskStarts;
        RC_ASSERT((job.spec_.idempotent_ || taskStarts <= 1));
    }
    RC_ASSERT(!refused || starts == 0);
    if (!accepted) {
        return;
    }
    const JobAnswer state = world.state(job.spec_.id_);
    if (state.error_ == ErrorKind::UnknownJob) {
        // Final jobs expire after ten minutes.
        RC_ASSERT(world.jobsMayHaveExpired_);
        return;
    }
    RC_ASSERT(isFinal(state.outcome_));
    RC_ASSERT((state.results_.size() == job.spec_.tasks_ || world.jobsMayHaveExpired_));
    const bool asExpected = state.outcome_ == expectedOutcome(job.spec_.id_);
    const bool cancelled = job.cancelled_ && state.outcome_ == Outcome::Cancelled;
    // The new holder of a group may not know the outcome of a non-idempotent task.
    const bool unknown = !job.spec_.idempotent_ && state.outcome_ == Outcome::Unknown;
    RC_ASSERT((asExpected || cancelled || unknown));
}

static void runSchedule(std::uint32_t seed, const std::vector<std::uint8_t> &failures)
{
    HomeWorld world(seed, 3);
    std::map<JobId, ScheduledJob> jobs;
    world.takeOver();
    for (const std::uint8_t failure : failures) {
        injectFailure(world, static_cast<Failure>(failure % static_cast<std::uint8_t>(Failure::Count)));
        submitRandomJobs(world, jobs);
        world.run(Milliseconds(50 + world.random_() % 1500));
    }
    injectFailure(world, Failure::AllFaultsEnd);
    injectFailure(world, Failure::OldHolderResumes);
    world.run(Milliseconds(2000));
    world.takeOver();
    world.run(Milliseconds(150'000), Milliseconds(50)); // groups remember refusals for 60 s
    RC_ASSERT(world.history_.ranTwiceAtOnce_.empty());
    RC_ASSERT(world.answeredTwice_.empty());
    for (const auto &[id, job] : jobs) {
        checkJob(world, job);
    }
}

// Guards against accepted jobs that are lost, non-idempotent tasks that start twice, tasks that run in two places at
// once, refused jobs that run, and requests that are answered twice.
Test(schedules, guaranteesHoldUnderFailures)
{
    setenv("RC_PARAMS", "seed=20261204 max_success=1000 max_size=60", 1);
    cr_assert(
        rc::check([](std::uint32_t seed, const std::vector<std::uint8_t> &failures) { runSchedule(seed, failures); }));
}
