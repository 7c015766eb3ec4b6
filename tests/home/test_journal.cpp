// Tests the journal of a home partition: answers and offers depend on durable records only, lost store answers are
// resolved, a replaced holder is fenced, and a new holder knows what the old one accepted.
#include "home/home_world.h"

#include <criterion/criterion.h>

using namespace mimosapier;
using namespace mimosapier::test;

using Fault = FaultyStore::Fault;

static std::size_t logEntries(const HomeWorld &world)
{
    std::size_t count = 0;
    for (const auto &[key, entry] : world.store_.keys_) {
        count += key.find("/snapshot") == std::string::npos ? 1 : 0;
    }
    return count;
}

// Guards against an answer or an offer before the record is durable, while the store refuses writes.
Test(journal, noAnswerOrOfferBeforeRecordIsDurable)
{
    ActiveWorld world;
    world.setFault(Fault::Refuses);
    const CallId call = world.submit(world.holder(), world.job("1"), Milliseconds(60'000));
    world.run(Milliseconds(3000));
    cr_assert(!world.answers_.contains(call));
    cr_assert(world.offers_.empty());
    world.setFault(Fault::None);
    world.run(Milliseconds(4000));
    cr_assert(world.answers_.at(call).outcome_ == Outcome::Pending);
    cr_assert(world.state(JobId("school:1")).outcome_ == expectedOutcome(JobId("school:1")));
}

// Guards against one store write per record: records of one flush interval share an entry.
Test(journal, recordsOfOneIntervalShareAnEntry)
{
    ActiveWorld world;
    const std::size_t before = logEntries(world);
    for (int i = 0; i < 50; ++i) {
        world.submit(world.holder(), world.job(std::to_string(i)));
    }
    world.run(Milliseconds(300));
    cr_assert_eq(logEntries(world), before + 1);
    cr_assert_eq(world.answers_.size(), 50U);
}

// Guards against a lost or duplicated job when the answer to a journal write is lost: the write may have taken effect,
// may take effect late, or never arrived.
Test(journal, lostWriteAnswerIsReadBack)
{
    for (const Fault fault : {Fault::LosesAnswer, Fault::AppliesLate, Fault::LosesRequest}) {
        ActiveWorld world;
        const std::size_t before = logEntries(world);
        world.setFault(fault, 1);
        const CallId call = world.submit(world.holder(), world.job("1"));
        world.run(Milliseconds(4000));
        cr_assert(world.answers_.at(call).outcome_ == Outcome::Pending);
        cr_assert_eq(world.starts(JobId("school:1")), 1);
        world.takeOver();
        cr_assert(world.state(JobId("school:1")).outcome_ == expectedOutcome(JobId("school:1")));
        cr_assert(logEntries(world) <= before + 3); // accepted, finished, fence of the new holder
    }
}

// Guards against NotRun for a job that runs later. During an outage only records that the store certainly does not hold
// are withdrawn; for others the answer is Unknown.
Test(journal, notRunDuringOutageIsFinal)
{
    for (const Fault fault : {Fault::Refuses, Fault::LosesRequest, Fault::LosesAnswer}) {
        ActiveWorld world;
        world.setFault(fault);
        const CallId call = world.submit(world.holder(), world.job("1"), Milliseconds(1000));
        world.run(Milliseconds(1100));
        const JobAnswer answer = world.answers_.at(call);
        cr_assert(answer.error_ == ErrorKind::StoreUnavailable);
        cr_assert(answer.outcome_ == (fault == Fault::Refuses ? Outcome::NotRun : Outcome::Unknown));
        world.setFault(Fault::None);
        world.run(Milliseconds(5000));
        const bool ran = world.starts(JobId("school:1")) > 0;
        cr_assert(!ran || answer.outcome_ != Outcome::NotRun);
        cr_assert(ran || fault == Fault::Refuses);
        // A late copy of the refused submit must not run either.
        const CallId copy = world.submit(world.holder(), world.job("1"));
        world.run(Milliseconds(1000));
        cr_assert(world.answers_.at(copy).outcome_ != Outcome::NotRun || !ran);
        cr_assert(fault != Fault::Refuses || world.answers_.at(copy).outcome_ == Outcome::NotRun);
    }
}

// Guards against the loss of an outcome that arrives during a store outage, and against answering it before it is
// durable.
Test(journal, acceptedJobsContinueDuringOutage)
{
    ActiveWorld world;
    world.groups_[0]->runTime_ = world.groups_[1]->runTime_ = Milliseconds(1000);
    world.submit(world.holder(), world.job("1"));
    world.run(Milliseconds(400));
    world.setFault(Fault::Refuses);
    const CallId query = world.query(world.holder(), JobId("school:1"), Milliseconds(60'000));
    world.run(Milliseconds(5000));
    cr_assert(!world.answers_.contains(query), "a final answer was sent before its record was durable");
    world.setFault(Fault::None);
    world.run(Milliseconds(4000));
    cr_assert(world.answers_.at(query).outcome_ == expectedOutcome(JobId("school:1")));
}

// Guards against a replaced holder that accepts or offers jobs after it was paused during the takeover.
Test(journal, replacedHolderIsFenced)
{
    ActiveWorld world;
    HomeDaemon &old = world.holder();
    world.submit(old, world.job("1"));
    world.step();
    old.paused_ = true;
    world.takeOver();
    world.run(Milliseconds(1000));
    const std::size_t offers = world.offers_.size();
    old.paused_ = false;
    const CallId late = world.submit(old, world.job("2"));
    world.run(Milliseconds(2000));
    cr_assert(isFenced(*old.home_));
    cr_assert(world.answers_.at(late).error_ == ErrorKind::NotHolder);
    cr_assert_eq(world.offers_.size(), offers);
    cr_assert(!isFenced(*world.holder().home_));
}

// Guards against a replaced holder that takes a create for success. It was paused for so long that the new holder has
// already deleted the fence entry under the same key.
Test(journal, replacedHolderIsFencedAfterLongPause)
{
    ActiveWorld world;
    HomeDaemon &old = world.holder();
    old.paused_ = true;
    world.takeOver();
    for (int i = 0; i < 200; ++i) {
        world.submit(world.holder(), world.job(std::to_string(i)));
        world.run(Milliseconds(600), Milliseconds(50));
    }
    world.run(std::chrono::minutes(15), Milliseconds(500));
    const std::string fence = "journal/p/hobart/0/000000000002";
    cr_assert(!world.store_.keys_.contains(fence), "the fence entry has to be deleted for this case");
    const std::size_t offers = world.offers_.size();
    old.paused_ = false;
    const CallId late = world.submit(old, world.job("late"));
    world.run(Milliseconds(3000));
    cr_assert(isFenced(*old.home_));
    cr_assert(world.answers_.at(late).error_ == ErrorKind::NotHolder);
    cr_assert_eq(world.offers_.size(), offers);
}

// Guards against a log that grows without limit, snapshot values larger than the store allows, and jobs that are
// missing after a recovery from a snapshot.
Test(journal, snapshotsBoundTheLog)
{
    ActiveWorld world;
    world.groups_[0]->runTime_ = world.groups_[1]->runTime_ = Milliseconds(200'000);
    for (int i = 0; i < 300; ++i) {
        JobSpec spec = world.job(std::to_string(i));
        spec.payload_.assign(4000, 'x'); // 1.2 MB in total, more than one store value may hold
        world.submit(world.holder(), spec);
        world.run(Milliseconds(400), Milliseconds(50));
    }
    world.run(Milliseconds(2000));
    cr_assert(logEntries(world) < 200);
    cr_assert(world.store_.largestValue_ <= 750'000, "base64 of a value has to stay below 1,000,000 bytes");
    world.takeOver();
    for (int i = 0; i < 300; ++i) {
        const JobAnswer answer = world.state(JobId("school:" + std::to_string(i)));
        cr_assert(answer.error_ != ErrorKind::UnknownJob);
    }
    world.run(Milliseconds(300'000), Milliseconds(500));
    for (int i = 0; i < 300; ++i) {
        const JobId id("school:" + std::to_string(i));
        cr_assert(world.state(id).outcome_ == expectedOutcome(id));
        cr_assert_eq(world.starts(id), 1);
    }
}

// Guards against a new holder that takes the gap of a truncated log for its end. The old holder writes a snapshot and
// deletes entries at different points of the recovery.
Test(journal, logTruncatedDuringRecovery)
{
    for (int cut = 1; cut < 12; ++cut) {
        ActiveWorld world;
        HomeDaemon &old = world.holder();
        world.groups_[0]->runTime_ = world.groups_[1]->runTime_ = Milliseconds(600'000);
        for (int i = 0; i < 125; ++i) {
            world.submit(old, world.job(std::to_string(i)));
            world.run(Milliseconds(400), Milliseconds(50));
        }
        HomeDaemon &reader = world.takeOver();
        reader.paused_ = true; // its first reads are answered, but it handles the answers later
        for (int i = 125; i < 140; ++i) {
            world.submit(old, world.job(std::to_string(i)));
            world.run(Milliseconds(400), Milliseconds(50));
            if (i % 12 == cut) {
                reader.paused_ = false;
                world.step(Milliseconds(1));
                reader.paused_ = true;
            }
        }
        reader.paused_ = false;
        world.run(Milliseconds(5000));
        for (int i = 0; i < 140; ++i) {
            const JobAnswer answer = world.state(JobId("school:" + std::to_string(i)));
            const bool refused
                = answer.error_ == ErrorKind::UnknownJob && world.starts(JobId("school:" + std::to_string(i))) == 0;
            cr_assert(answer.error_ != ErrorKind::UnknownJob || refused);
        }
        for (const auto &[call, answer] : world.answers_) {
            if (world.submittedJobs_.contains(call) && answer.outcome_ == Outcome::Pending) {
                cr_assert(world.state(world.submittedJobs_.at(call)).error_ != ErrorKind::UnknownJob);
            }
        }
    }
}

// Guards against the loss of jobs that are being written when a planned hand-over begins.
Test(journal, handOverKeepsAcceptedJobs)
{
    ActiveWorld world;
    HomeDaemon &old = world.holder();
    world.groups_[0]->runTime_ = world.groups_[1]->runTime_ = Milliseconds(2000);
    std::vector<CallId> calls;
    for (int i = 0; i < 20; ++i) {
        calls.push_back(world.submit(old, world.job(std::to_string(i))));
    }
    world.step();
    Context now = world.context(old);
    stopAccepting(*old.home_, now);
    world.performActions(old);
    const CallId refused = world.submit(old, world.job("late"));
    for (int i = 0; i < 200 && !canHandOver(*old.home_); ++i) {
        world.step();
    }
    cr_assert(canHandOver(*old.home_));
    cr_assert(world.answers_.at(refused).error_ == ErrorKind::NotHolder);
    old.home_.reset();
    world.takeOver();
    world.run(Milliseconds(4000));
    for (int i = 0; i < 20; ++i) {
        const JobId id("school:" + std::to_string(i));
        cr_assert(world.answers_.at(calls[i]).outcome_ == Outcome::Pending);
        cr_assert(world.state(id).outcome_ == expectedOutcome(id));
    }
}

// Guards against a replaced holder whose resent offer overrides a refusal. The answers to the first offer were lost,
// and the group has refused the task to the successor, which moved it to another group.
Test(journal, resentOfferDoesNotOverrideRefusal)
{
    ActiveWorld world(2, 60'000);
    HomeDaemon &old = world.holder();
    const JobId id("school:1");
    world.groups_[0]->refusePercent_ = world.groups_[1]->refusePercent_ = 100;
    world.answersLost_ = true;
    world.submit(old, world.job("1"));
    while (world.offers_.empty()) {
        world.step();
    }
    world.answersLost_ = false;
    world.groups_[0]->refusePercent_ = world.groups_[1]->refusePercent_ = 0;
    world.run(Milliseconds(24'000));
    world.submit(old, world.job("2")); // the write proves that `old` is the newest holder
    world.run(Milliseconds(2000));
    world.takeOver();
    world.run(Milliseconds(10'000)); // the old holder resends its offer 30 s after the first
    cr_assert(world.starts(id) == 1 && world.history_.ranTwiceAtOnce_.empty());
}

// Guards against a second run through the first offer of a replaced holder. It is paused between the write of the
// assignment and its answer; meanwhile the successor runs the task and the groups change holders.
Test(journal, lateFirstOfferSetsMayHaveRun)
{
    ActiveWorld world;
    HomeDaemon &old = world.holder();
    const JobId id("school:1");
    world.submit(old, world.job("1", WorkMode::Journaled, false));
    while (old.results_.empty()) {
        world.step();
    }
    old.paused_ = true;
    world.takeOver();
    world.run(Milliseconds(1000));
    cr_assert(world.state(id).outcome_ == expectedOutcome(id));
    for (const auto &group : world.groups_) {
        group->changeHolder(DaemonId(group->id_.value_ + "#2"), world.now_);
    }
    world.updateDirectory();
    old.paused_ = false;
    world.run(Milliseconds(5000));
    cr_assert_eq(world.starts(id), 1);
    cr_assert(world.state(id).outcome_ == expectedOutcome(id));
}

// Guards against a second run of a non-idempotent request that is submitted again after its job has expired.
Test(journal, lateResubmitDoesNotRunAgain)
{
    ActiveWorld world;
    const JobSpec spec = world.job("1", WorkMode::Journaled, false);
    world.submit(world.holder(), spec);
    for (int i = 0; i < 150; ++i) {
        world.run(Milliseconds(6000), Milliseconds(100));
        world.submit(world.holder(), world.job("other" + std::to_string(i))); // enough entries for a snapshot
    }
    world.takeOver();
    const CallId call = world.submit(world.holder(), spec);
    world.run(Milliseconds(2000));
    cr_assert(world.answers_.at(call).outcome_ == expectedOutcome(spec.id_));
    cr_assert_eq(world.starts(spec.id_), 1);
}
