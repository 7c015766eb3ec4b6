// Tests the entry: admission, routing, retries, cancellation, answers and the report.
#include "entry/entry_world.h"

#include <criterion/criterion.h>

using namespace mimosapier;
using namespace mimosapier::test;

// Guards against the admission of invalid requests, and against NotRun for a repeated request, whose first attempt may
// have run.
Test(entry, admissionErrors)
{
    EntryWorld world;
    const auto refused = [&world](const SubmitRequest &request, ErrorKind error, std::error_code authorization = {}) {
        const CallerAnswer answer = world.answer(world.submit(request, authorization));
        return answer.error_ == error && answer.outcome_ == (request.attempt_ > 1 ? Outcome::Unknown : Outcome::NotRun);
    };
    SubmitRequest request = EntryWorld::request("1", "counter");
    cr_assert(refused(request, ErrorKind::WrongKey, ErrorKind::WrongKey));
    request.attempt_ = 2;
    cr_assert(refused(request, ErrorKind::ConfigStale, ErrorKind::ConfigStale));
    request = EntryWorld::request("1", "missing");
    cr_assert(refused(request, ErrorKind::UnknownClass));
    request = EntryWorld::request("1", "counter");
    request.team_ = TeamId("missing");
    cr_assert(refused(request, ErrorKind::UnknownTeam));
    request = EntryWorld::request("a b", "counter");
    cr_assert(refused(request, ErrorKind::MalformedRequest));
    request = EntryWorld::request(std::string(65, 'a'), "counter");
    cr_assert(refused(request, ErrorKind::MalformedRequest));
    request = EntryWorld::request("1", "counter");
    request.tasks_ = 0;
    cr_assert(refused(request, ErrorKind::MalformedRequest));
    request = EntryWorld::request("1", "counter");
    request.size_.memoryMb_ = -1;
    cr_assert(refused(request, ErrorKind::MalformedRequest));
    cr_assert(world.sent_.empty());
    stopAdmitting(*world.entry_);
    cr_assert(refused(EntryWorld::request("1", "counter"), ErrorKind::ShuttingDown));
}

// Guards against requests that go to the wrong shard or without the defaults of their class.
Test(entry, routingAndDefaults)
{
    EntryWorld world;
    world.submit("1", "counter");
    const TaskOffer offer = *world.take<TaskOffer>();
    cr_assert(offer.group_ == world.candidates("1").first_);
    cr_assert(offer.job_.idempotent_ && offer.job_.priority_ == Priority::Urgent && offer.job_.size_.slots_ == 1);
    // 100 ms less than the deadline of 1000 ms, so that a refusal for lateness arrives in time.
    cr_assert(offer.remaining_ == Milliseconds(900) && !offer.mayHaveRun_);
    for (const char *workClass : {"once", "nightly"}) {
        world.submit("2", workClass);
        cr_assert(world.take<JobSubmit>()->partition_ == world.partition_);
    }
    SubmitRequest request = EntryWorld::request("3", "counter");
    request.idempotentGiven_ = true;
    request.idempotent_ = false;
    world.submit(request);
    cr_assert(!world.take<JobSubmit>()->job_.idempotent_);
}

// Guards against answers that reach the wrong caller, arrive twice or get lost when two calls ask for one job and the
// answers arrive out of order or repeatedly.
Test(entry, answersAreMatchedByCall)
{
    EntryWorld world;
    const CallId first = world.submit("1", "counter");
    const CallId same = world.submit("1", "counter", 2);
    const CallId other = world.submit("2", "counter");
    const TaskOffer offers[] = {*world.take<TaskOffer>(), *world.take<TaskOffer>(), *world.take<TaskOffer>()};
    for (const int i : {2, 1, 0, 0, 2}) {
        world.reply(offers[i], Outcome::Done);
    }
    cr_assert(world.answer(first).results_[0].result_ == "result of 1");
    cr_assert(world.answer(same).results_[0].result_ == "result of 1");
    cr_assert(world.answer(other).results_[0].result_ == "result of 2");
    cr_assert(world.answeredTwice_.empty());
    cr_assert_eq(openCallerRequests(*world.entry_), 0U);
}

// Guards against a second start of the work: the second candidate may only be looked up once the first, now
// unreachable, may have started it.
Test(entry, secondCandidateOnlyIfNothingWasSent)
{
    EntryWorld world;
    const CandidateGroups groups = world.candidates("1");
    world.group(groups.first_).reachable_ = false;
    world.submit("1", "counter");
    cr_assert(world.take<TaskOffer>()->group_ == groups.second_);

    world.group(groups.first_).reachable_ = true;
    const CallId sent = world.submit("1", "counter");
    cr_assert(world.take<TaskOffer>()->group_ == groups.first_);
    world.group(groups.first_).reachable_ = false;
    world.peerDown(world.group(groups.first_).holder_);
    const CallId repeat = world.submit("1", "counter", 2);
    world.run(Milliseconds(900));
    int lookups = 0;
    while (const auto offer = world.take<TaskOffer>()) {
        cr_assert(offer->group_ == groups.second_ && offer->lookupOnly_);
        world.reply(*offer, Outcome::NotRun, ErrorKind::UnknownJob);
        ++lookups;
    }
    cr_assert(lookups >= 2);
    world.run(Milliseconds(500));
    cr_assert(world.answer(sent).outcome_ == Outcome::Unknown);
    cr_assert(world.answer(repeat).outcome_ == Outcome::Unknown);
}

// Guards against a request that ends with a lost connection, or that is resent to the new holder without mayHaveRun_.
Test(entry, lostMessageIsResentToSameShard)
{
    EntryWorld world;
    const CandidateGroups groups = world.candidates("1");
    const CallId call = world.submit("1", "counter");
    const TaskOffer lost = *world.take<TaskOffer>();
    world.peerDown(world.group(groups.first_).holder_);
    world.group(groups.first_).holder_ = DaemonId("next#1");
    world.group(groups.first_).epoch_ = {2};
    world.run(Milliseconds(200));
    DaemonId to;
    const TaskOffer again = *world.take<TaskOffer>(&to);
    cr_assert(to == DaemonId("next#1") && again.group_ == groups.first_ && again.mayHaveRun_);
    world.reply(lost, Outcome::NotRun, ErrorKind::Overloaded); // late, from the old holder
    cr_assert(!world.answered(call));
    world.reply(again, Outcome::Done);
    cr_assert(world.answer(call).outcome_ == Outcome::Done);
}

// Guards against a request that waits for a replaced holder because the connection to it is still up.
Test(entry, requestIsResentToNewHolder)
{
    EntryWorld world;
    world.submit("1", "once");
    world.take<JobSubmit>();
    world.directory_.partitions_[0].holder_ = DaemonId("home#2");
    world.directory_.partitions_[0].epoch_ = {2};
    world.run(Milliseconds(300));
    DaemonId to;
    cr_assert(world.take<JobSubmit>(&to).has_value() && to == DaemonId("home#2"));
}

// Guards against NotRun at the deadline when a message was sent, and against Unknown when none was.
Test(entry, outcomeAtDeadline)
{
    EntryWorld world;
    for (ShardEntry &entry : world.directory_.groups_) {
        entry.reachable_ = false;
    }
    world.directory_.partitions_[0].holder_ = {};
    const CallId unsent = world.submit("1", "counter");
    const CallId unsentJob = world.submit("2", "once");
    const CallId repeat = world.submit("3", "counter", 2);
    world.run(Milliseconds(1100));
    cr_assert(world.answer(unsent).outcome_ == Outcome::NotRun);
    cr_assert(world.answer(unsentJob).outcome_ == Outcome::NotRun);
    cr_assert(world.answer(repeat).outcome_ == Outcome::Unknown);
    for (ShardEntry &entry : world.directory_.groups_) {
        entry.reachable_ = true;
    }
    const CallId sent = world.submit("4", "counter");
    const CallId elsewhere = world.submit("5", "counter");
    world.take<TaskOffer>();
    const TaskOffer offer = *world.take<TaskOffer>();
    world.group(offer.group_).reachable_ = false;
    world.reply(offer, Outcome::NotRun, ErrorKind::NotHolder); // this daemon has not started the work
    world.run(Milliseconds(1100));
    cr_assert(world.answer(sent).outcome_ == Outcome::Unknown);
    cr_assert(world.answer(elsewhere).outcome_ != Outcome::Done);
}

// Guards against a message sent after the deadline, when the daemon was paused meanwhile.
Test(entry, nothingIsSentAfterDeadline)
{
    EntryWorld world;
    world.directory_.partitions_[0].reachable_ = false;
    const CallId call = world.submit("1", "once");
    world.now_ += Milliseconds(5000);
    world.directory_.partitions_[0].reachable_ = true;
    world.run(Milliseconds(100));
    cr_assert(world.sent_.empty());
    cr_assert(world.answer(call).outcome_ == Outcome::NotRun);
}

// Guards against a submit that is not resent when its home partition changes holder, and against Unknown for an
// accepted job whose outcome does not arrive by the deadline.
Test(entry, homeHolderChangesDuringRequest)
{
    EntryWorld world;
    const CallId call = world.submit("1", "once");
    const JobSubmit first = *world.take<JobSubmit>();
    world.reply(first.replyTo_, first.job_.id_, Outcome::Unknown, ErrorKind::NotHolder);
    world.directory_.partitions_[0].holder_ = DaemonId("home#2");
    world.run(Milliseconds(200));
    DaemonId to;
    const JobSubmit second = *world.take<JobSubmit>(&to);
    cr_assert(to == DaemonId("home#2") && second.job_ == first.job_);
    world.reply(second.replyTo_, second.job_.id_, Outcome::Pending);
    const JobQuery query = *world.take<JobQuery>();
    cr_assert(!world.answered(call) && query.wait_ > Milliseconds(500));
    world.peerDown(DaemonId("home#2"));
    world.run(Milliseconds(1000));
    cr_assert(world.answer(call).outcome_ == Outcome::Pending && world.answer(call).error_ == ErrorKind::None);
}

// Guards against a retry storm after a failure: retries are limited to a tenth of the requests plus saved tokens.
Test(entry, retriesAreLimitedByBudget)
{
    EntryWorld world;
    for (int i = 0; i < 400; ++i) {
        world.submit(std::to_string(i), "nightly");
    }
    world.sent_.clear();
    for (int round = 0; round < 4; ++round) {
        world.peerDown(DaemonId("home#1"));
        world.run(Milliseconds(200));
    }
    cr_assert(world.sent_.size() <= 60, "%zu retries", world.sent_.size());
    cr_assert(world.sent_.size() >= 40);
}

// Guards against an unbounded number of open requests, and against the refusal of urgent work before batch work.
Test(entry, overloadRefusesBatchFirst)
{
    EntryWorld world;
    std::map<std::string, int> taken;
    for (int i = 0; i < 5000; ++i) {
        for (const char *workClass : {"counter", "nightly"}) {
            for (const char *team : {"school", "club", "shop"}) {
                SubmitRequest request = EntryWorld::request(std::to_string(i), workClass);
                request.team_ = TeamId(team);
                const CallId call = world.submit(request);
                taken[workClass] += world.answered(call) ? 0 : 1;
                cr_assert(!world.answered(call) || world.answer(call).error_ == ErrorKind::Overloaded);
            }
        }
    }
    cr_assert(openCallerRequests(*world.entry_) <= 4096);
    cr_assert(taken["counter"] > taken["nightly"] && taken["nightly"] > 0);
    EntryWorld batch;
    for (int i = 0; i < 4096; ++i) {
        SubmitRequest request = EntryWorld::request(std::to_string(i), "nightly");
        request.team_ = TeamId(i % 2 == 0 ? "club" : "shop");
        batch.submit(request);
    }
    cr_assert(!batch.answered(batch.submit("urgent", "counter")), "batch work must leave capacity for urgent work");
}

// Guards against a cancellation that misses jobs, sends one message per job, or ignores interactive jobs, which no home
// partition knows.
Test(entry, bulkCancellation)
{
    EntryWorld world;
    std::vector<std::string> ids;
    for (int i = 0; i < 100; ++i) {
        ids.push_back(std::to_string(i));
    }
    const CallId call = world.cancel(ids);
    const JobCancel message = *world.take<JobCancel>();
    cr_assert(world.sent_.empty() && message.jobs_.size() == 100);
    std::vector<TaskResult> results;
    for (std::uint32_t i = 0; i < 100; ++i) {
        const bool unknown = i < 3;
        results.push_back({i,
                           unknown ? Outcome::Unknown : Outcome::Cancelled,
                           unknown ? ErrorKind::UnknownJob : ErrorKind::None,
                           {},
                           {}});
    }
    world.reply(message.replyTo_, {}, Outcome::Done, ErrorKind::UnknownJob, results);
    cr_assert(!world.answered(call));
    std::size_t stops = 0;
    while (const auto stop = world.take<TaskCancel>()) {
        stops += stop->tasks_.size();
    }
    cr_assert_eq(stops, 6U); // three jobs at two candidates
    while (const auto offer = world.take<TaskOffer>()) {
        cr_assert(offer->lookupOnly_);
        const bool known = offer->job_.requestId_ == "1";
        world.reply(*offer, known ? Outcome::Cancelled : Outcome::NotRun,
                    known ? ErrorKind::Cancelled : ErrorKind::UnknownJob);
    }
    cr_assert(world.answer(call).outcome_ == Outcome::Done);
    cr_assert(world.answer(call).detail_ == "unknown: 0, 2");
    cr_assert_eq(openCallerRequests(*world.entry_), 0U);
}

// Guards against a status request that does not find interactive jobs, or that is never answered.
Test(entry, statusAsksHomeThenGroups)
{
    EntryWorld world;
    const CallId call = world.status("1", Milliseconds(1000));
    const JobQuery query = *world.take<JobQuery>();
    world.reply(query.replyTo_, query.job_, Outcome::Unknown, ErrorKind::UnknownJob);
    const TaskOffer first = *world.take<TaskOffer>();
    cr_assert(first.lookupOnly_ && first.group_ == world.candidates("1").first_);
    world.reply(first, Outcome::NotRun, ErrorKind::UnknownJob);
    world.run(Milliseconds(20));
    const TaskOffer second = *world.take<TaskOffer>();
    cr_assert(second.lookupOnly_ && second.group_ == world.candidates("1").second_);
    world.reply(second, Outcome::Running);
    world.run(Milliseconds(500));
    cr_assert(!world.answered(call) && world.sent_.empty());
    world.reply(second, Outcome::Done);
    cr_assert(world.answer(call).outcome_ == Outcome::Done);
    const CallId silent = world.status("2");
    world.run(Milliseconds(3000));
    cr_assert(world.answer(silent).outcome_ == Outcome::Unknown);
}

// Guards against a report that counts answers against the wrong objective, or whose windows do not slide.
Test(entry, reportCountsObjectives)
{
    EntryWorld world;
    const auto has
        = [&world](std::string_view text) { return entryDocument(*world.entry_).find(text) != std::string::npos; };
    for (int i = 0; i < 4; ++i) {
        world.submit(std::to_string(i), "counter");
    }
    world.reply(*world.take<TaskOffer>(), Outcome::Done);
    world.reply(*world.take<TaskOffer>(), Outcome::NotRun, ErrorKind::Overloaded);
    world.run(Milliseconds(200));
    world.reply(*world.take<TaskOffer>(), Outcome::Done); // after the objective of 100 ms
    world.reply(*world.take<TaskOffer>(), Outcome::Failed, ErrorKind::TaskFailed);
    cr_assert(has("\"last_5_min\":{\"good\":1,\"bad\":3,\"good_ratio\":0.25}"));
    world.run(std::chrono::minutes(6), Milliseconds(1000));
    cr_assert(has("\"last_5_min\":{\"good\":0,\"bad\":0}") && has("\"last_hour\":{\"good\":1,\"bad\":3"));
    world.run(std::chrono::minutes(60), Milliseconds(1000));
    cr_assert(has("\"last_hour\":{\"good\":0,\"bad\":0}"));
}
