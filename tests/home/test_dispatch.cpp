// Tests the dispatch of jobs to groups: refusals, losses, changes of holders, gangs, services and cancellations.
#include "home/home_world.h"

#include <criterion/criterion.h>

using namespace mimosapier;
using namespace mimosapier::test;

static CallId cancel(HomeWorld &world, std::vector<JobId> jobs)
{
    return world.ask(world.holder(), JobCancel{{}, {}, std::move(jobs)});
}

// Guards against a second start of a non-idempotent task. The holder crashes at each step around the write of the
// assignment and the first offer; its successor cannot know whether the offer was sent.
Test(dispatch, holderCrashAroundFirstOffer)
{
    for (int steps = 1; steps < 40; ++steps) {
        ActiveWorld world;
        const JobId id("school:1");
        world.submit(world.holder(), world.job("1", WorkMode::Journaled, false));
        for (int i = 0; i < steps; ++i) {
            world.step();
        }
        const bool accepted = !world.answers_.empty();
        world.holder().home_.reset();
        world.takeOver();
        world.run(Milliseconds(1000));
        cr_assert(world.state(id).outcome_ == expectedOutcome(id) || !accepted);
        cr_assert(world.starts(id) == (accepted ? 1 : world.starts(id)));
        cr_assert(world.starts(id) <= 1);
        int first = 0;
        for (const TaskOffer &offer : world.offers_) {
            first += offer.mayHaveRun_ || offer.lookupOnly_ ? 0 : 1;
        }
        cr_assert(first <= 1);
    }
}

// Guards against tasks that stay with a group that refused them, and against a second offer while the group remembers
// its refusal.
Test(dispatch, refusedJobGoesToAnotherGroup)
{
    ActiveWorld world;
    world.groups_[0]->refusePercent_ = 100;
    for (int i = 0; i < 20; ++i) {
        world.submit(world.holder(), world.job(std::to_string(i), WorkMode::Journaled, false));
    }
    world.run(Milliseconds(5000));
    for (int i = 0; i < 20; ++i) {
        const JobId id("school:" + std::to_string(i));
        cr_assert(world.state(id).outcome_ == expectedOutcome(id));
    }
    std::map<JobId, int> refusals;
    for (const TaskOffer &offer : world.groups_[0]->offers_) {
        cr_assert(++refusals[offer.job_.id_] == 1);
    }
}

// Guards against a job that waits without end although every group has answered that no worker can hold it.
Test(dispatch, impossibleSizeIsReported)
{
    ActiveWorld world(3);
    for (const auto &group : world.groups_) {
        group->refusePercent_ = 100;
        group->refusal_ = ErrorKind::ImpossibleSize;
    }
    world.submit(world.holder(), world.job("1"));
    world.run(Milliseconds(3000));
    const JobAnswer answer = world.state(JobId("school:1"));
    cr_assert(answer.outcome_ == Outcome::NotRun && answer.error_ == ErrorKind::ImpossibleSize);
}

// Guards against offers that are not resent to the new holder of a group, and against a resent offer without
// mayHaveRun_: the first offers are lost, then the group changes its holder.
Test(dispatch, offersAreResentToNewGroupHolder)
{
    ActiveWorld world(1, 3000);
    world.dropPercent_ = 100; // the first offers never arrive
    for (int i = 0; i < 5; ++i) {
        world.submit(world.holder(), world.job(std::to_string(i), WorkMode::Journaled, i % 2 == 0));
    }
    world.run(Milliseconds(1000));
    world.dropPercent_ = 0;
    world.groups_[0]->changeHolder(DaemonId("group0#2"), world.now_);
    world.updateDirectory();
    world.run(Milliseconds(5000));
    for (int i = 0; i < 5; ++i) {
        const JobId id("school:" + std::to_string(i));
        const Outcome outcome = world.state(id).outcome_;
        // The new holder cannot tell whether a non-idempotent task has run.
        cr_assert(outcome == (i % 2 == 0 ? expectedOutcome(id) : Outcome::Unknown));
    }
    for (const TaskOffer &offer : world.groups_[0]->offers_) {
        cr_assert(offer.mayHaveRun_);
    }
}

// Guards against an offer by a holder that cannot prove that it is the newest: its last proof is too old, and the store
// is unavailable.
Test(dispatch, noOfferWithoutHolderProof)
{
    ActiveWorld world(1, 60'000);
    world.submit(world.holder(), world.job("1", WorkMode::Journaled, false));
    world.run(Milliseconds(20'000));
    const std::size_t offers = world.offers_.size();
    world.setFault(FaultyStore::Fault::Refuses);
    world.groups_[0]->changeHolder(DaemonId("group0#2"), world.now_);
    world.updateDirectory();
    world.run(Milliseconds(3000));
    cr_assert_eq(world.offers_.size(), offers);
    world.setFault(FaultyStore::Fault::None);
    world.run(Milliseconds(3000));
    cr_assert_eq(world.offers_.size(), offers + 1);
}

// Guards against a service that is not restarted after a loss, or that keeps running after its cancellation.
Test(dispatch, serviceRunsUntilCancelled)
{
    ActiveWorld world(2, 200);
    world.submit(world.holder(), world.job("web", WorkMode::Service));
    world.groups_[0]->losePercent_ = world.groups_[1]->losePercent_ = 30;
    world.run(Milliseconds(60'000));
    const TaskId task{JobId("school:web"), 0};
    cr_assert(world.starts(task.job_) > 2);
    cr_assert(world.history_.ranTwiceAtOnce_.empty());
    cr_assert(world.state(task.job_).outcome_ == Outcome::Pending);
    world.groups_[0]->losePercent_ = world.groups_[1]->losePercent_ = 0;
    world.run(Milliseconds(60'000));
    cr_assert_eq(world.running(task.job_), 1);
    const CallId call = cancel(world, {task.job_});
    world.run(Milliseconds(3000));
    cr_assert(world.answers_.at(call).outcome_ == Outcome::Done);
    cr_assert_eq(world.running(task.job_), 0);
    cr_assert(world.state(task.job_).outcome_ == Outcome::Cancelled);
}

// Guards against a task that is restarted without limit when each run is lost, and against a second start of a lost
// non-idempotent task.
Test(dispatch, lostTasksReachFinalOutcome)
{
    ActiveWorld world;
    world.groups_[0]->losePercent_ = world.groups_[1]->losePercent_ = 100;
    world.submit(world.holder(), world.job("often"));
    world.submit(world.holder(), world.job("once", WorkMode::Journaled, false));
    world.run(std::chrono::minutes(6), Milliseconds(50));
    const JobAnswer often = world.state(JobId("school:often"));
    cr_assert(often.outcome_ == Outcome::Failed && often.error_ == ErrorKind::WorkerLost);
    cr_assert(world.starts(JobId("school:often")) <= 10);
    cr_assert(world.state(JobId("school:once")).outcome_ == Outcome::Unknown);
    cr_assert_eq(world.starts(JobId("school:once")), 1);
}

// Guards against a gang that is split over groups, or that runs on in part after the loss of a task. Groups refuse and
// lose some of the tasks.
Test(dispatch, gangIsAssignedToOneGroup)
{
    ActiveWorld world(3, 500);
    JobSpec gang = world.job("gang", WorkMode::Gang);
    gang.tasks_ = 8;
    world.groups_[0]->refusePercent_ = 50;
    world.groups_[0]->losePercent_ = world.groups_[1]->losePercent_ = world.groups_[2]->losePercent_ = 15;
    world.submit(world.holder(), gang);
    world.run(Milliseconds(90'000));
    cr_assert(isFinal(world.state(gang.id_).outcome_));
    cr_assert(world.history_.ranTwiceAtOnce_.empty());
    for (const TaskOffer &offer : world.offers_) {
        cr_assert(offer.lookupOnly_ || offer.mayHaveRun_ || offer.count_ == 8 || offer.attempt_ > 1);
    }
}

// Guards against a bulk cancellation that writes to the store for each job, misses a job, or is not continued by a new
// holder. Some jobs are cancelled before their records are durable, and the holder crashes after the write.
Test(dispatch, cancellationsAreBulkAndDurable)
{
    ActiveWorld world(2, 30'000);
    std::vector<JobId> jobs;
    for (int i = 0; i < 200; ++i) {
        world.submit(world.holder(), world.job(std::to_string(i), WorkMode::Journaled, i % 2 == 0));
        jobs.emplace_back("school:" + std::to_string(i));
    }
    world.run(Milliseconds(600));
    for (int i = 200; i < 220; ++i) { // cancelled before their records are durable
        world.submit(world.holder(), world.job(std::to_string(i)));
        jobs.emplace_back("school:" + std::to_string(i));
    }
    const std::size_t calls = world.store_.calls_;
    const CallId call = cancel(world, jobs);
    world.run(Milliseconds(400));
    world.holder().home_.reset(); // crashes after the record was written
    world.takeOver();
    world.run(Milliseconds(6000));
    cr_assert(world.store_.calls_ - calls < 40);
    for (const JobId &id : jobs) {
        cr_assert(world.state(id).outcome_ == Outcome::Cancelled);
        cr_assert_eq(world.running(id), 0);
    }
    cr_assert(!world.answers_.contains(call) || world.answers_.at(call).outcome_ != Outcome::Unknown);
}

// Guards against a second start by repeated submits of one request, before and after the job ends.
Test(dispatch, repeatedSubmitsAttachToJob)
{
    ActiveWorld world;
    const JobSpec spec = world.job("1", WorkMode::Journaled, false);
    std::vector<CallId> calls;
    for (int i = 0; i < 60; ++i) {
        calls.push_back(world.submit(world.holder(), spec));
        world.step();
    }
    world.run(Milliseconds(1000));
    for (const CallId call : calls) {
        cr_assert(world.answers_.at(call).outcome_ == Outcome::Pending
                  || world.answers_.at(call).outcome_ == expectedOutcome(spec.id_));
    }
    cr_assert_eq(world.starts(spec.id_), 1);
    cr_assert(world.answeredTwice_.empty());
}

// Guards against state that grows without limit because final jobs do not expire.
Test(dispatch, finishedJobsExpire)
{
    ActiveWorld world;
    world.submit(world.holder(), world.job("1"));
    world.run(Milliseconds(1000));
    cr_assert(world.state(JobId("school:1")).error_ != ErrorKind::UnknownJob);
    world.run(std::chrono::minutes(11), Milliseconds(500));
    cr_assert(world.state(JobId("school:1")).error_ == ErrorKind::UnknownJob);
    cr_assert(homeDocument(*world.holder().home_).find("\"total\":0") != std::string::npos);
}

// Guards against a gang whose other tasks are not stopped after the loss of one, or that is not restarted as a whole.
Test(dispatch, gangRestartsTogether)
{
    ActiveWorld world(2, 20'000);
    JobSpec gang = world.job("gang", WorkMode::Gang);
    gang.tasks_ = 4;
    world.submit(world.holder(), gang);
    world.run(Milliseconds(1000));
    FakeGroup &first = *world.groups_[world.groups_[0]->tasks_.empty() ? 1 : 0];
    const TaskId lost{gang.id_, 2};
    first.end(lost, first.tasks_.at(lost), Outcome::Failed, ErrorKind::WorkerLost, world.sender(first.holder_));
    world.run(Milliseconds(6000));
    for (std::uint32_t index = 0; index < 4; ++index) {
        cr_assert_eq(world.starts(gang.id_, index), 2);
        cr_assert_eq(world.running(gang.id_, index), 1);
    }
    cr_assert_eq(world.offers_.back().count_, 4U);
}

// Guards against a task that is moved to another group while it runs. A refusal arrives late: from the replaced holder
// of the group, or from the current one to an older offer.
Test(dispatch, lateRefusalFromReplacedGroupHolder)
{
    ActiveWorld world(2, 60'000);
    const JobId id("school:1");
    world.submit(world.holder(), world.job("1"));
    world.run(Milliseconds(1000));
    const TaskOffer offer = world.offers_.back();
    FakeGroup &group = *world.groups_[offer.group_ == world.groups_[0]->id_ ? 0 : 1];
    const DaemonId before = group.holder_;
    group.changeHolder(DaemonId("next#1"), world.now_);
    world.updateDirectory();
    const TaskResult refusal{0, Outcome::NotRun, ErrorKind::Overloaded, {}, {}};
    for (const CallId call : {offer.replyTo_.call_, CallId{offer.replyTo_.call_.value_ - 1}}) {
        const ReplyTo replyTo{ReplyComponent::Home, world.partition_, call};
        const DaemonId from = call == offer.replyTo_.call_ ? before : group.holder_;
        world.holder().inbox_.emplace_back(from, TaskAnswer{replyTo, offer.group_, id, {refusal}});
    }
    world.run(Milliseconds(3000));
    cr_assert_eq(world.starts(id), 1);
    cr_assert(world.state(id).outcome_ == Outcome::Pending);
}
