// Tests of the worker client (exactly one result per operation, with the right status), of its decoder and of the
// instance poller.
#include "daemon/http_helper.h"

#include "daemon/instance_poller_base.h"
#include "daemon/worker_client_base.h"
#include "daemon/worker_codec_func.h"

#include <criterion/criterion.h>

#include <atomic>
#include <mutex>
#include <random>

using namespace mimosapier;
using namespace mimosapier::testing;

static const TaskId Task{JobId("school:1"), 2};

static WorkerRequest makeRequest(WorkerOp op, const std::string &address = "10.0.0.1:80")
{
    return {WorkerOpId{5}, ShardId("g/x/r"), WorkerId("w"), address, Epoch{3}, std::move(op)};
}

static const std::vector<WorkerOp> AllOps{
    WorkerHold{DaemonId("a#1"), Milliseconds(15000)}, WorkerStart{{WorkerTask{Task, {}, {}, "1", {}, true, ""}}, {}},
    WorkerPoll{{Task}, Milliseconds(15000), Milliseconds(50)}, WorkerStop{{Task}, StopMode::Checkpoint}};

static constexpr const char *GoodBody
    = R"({"leaving":true,"tasks":[{"job":"school:1","index":2,"outcome":"not-run","error":"worker-full"}]})";

static WorkerResult resultOf(const WorkerOp &op, HttpDelivery delivery, unsigned status, const std::string &body)
{
    const WorkerResult result = workerResult(makeRequest(op), {delivery, status, body, {}});
    cr_assert(result.id_ == WorkerOpId{5} && result.group_.str() == "g/x/r" && result.worker_.str() == "w");
    return result;
}

// Guards against a call that may have started a task being reported as Refused: the task could then run twice.
Test(worker, statusTellsWhetherTheCallMayHaveHadAnEffect)
{
    for (const WorkerOp &op : AllOps) {
        cr_assert(resultOf(op, HttpDelivery::NotSent, 0, "").status_ == WorkerStatus::Refused);
        cr_assert(resultOf(op, HttpDelivery::MaybeSent, 0, "").status_ == WorkerStatus::Unknown);
        cr_assert(resultOf(op, HttpDelivery::Answered, 500, "").status_ == WorkerStatus::Unknown);
        cr_assert(resultOf(op, HttpDelivery::Answered, 200, "[]").status_ == WorkerStatus::Unknown);
        cr_assert(resultOf(op, HttpDelivery::Answered, 409, "{}").status_ == WorkerStatus::Unknown);
        cr_assert(resultOf(op, HttpDelivery::Answered, 429, "").status_ == WorkerStatus::Refused);
        const WorkerResult leaving = resultOf(op, HttpDelivery::Answered, 410, R"({"leaving":true})");
        cr_assert(leaving.status_ == WorkerStatus::Refused && leaving.leaving_);
        const WorkerResult stale = resultOf(op, HttpDelivery::Answered, 409, R"({"epoch":9})");
        cr_assert(stale.status_ == WorkerStatus::StaleEpoch && stale.highestEpoch_ == Epoch{9});
        const WorkerResult good = resultOf(op, HttpDelivery::Answered, 200, GoodBody);
        cr_assert(good.status_ == WorkerStatus::Ok && good.leaving_);
        cr_assert(good.tasks_.at(0).task_ == Task && good.tasks_.at(0).error_ == ErrorKind::WorkerFull);
    }
    // An answer that omits a started task does not tell whether the task runs.
    cr_assert(resultOf(AllOps[1], HttpDelivery::Answered, 200, R"({"tasks":[]})").status_ == WorkerStatus::Unknown);
}

// Guards against calls that never end, and against an unanswered call or poll that blocks later calls.
Test(worker, hangingCallsTimeOut, .timeout = 20)
{
    std::vector<HttpResponder> openResponders;
    int starts = 0;
    const TestServer server([&](const HttpRequest &request, const HttpResponder &respond) {
        if (request.target_ == "/v1/poll" || (request.target_ == "/v1/start" && ++starts == 1)) {
            openResponders.push_back(respond);
        } else {
            respond({200, GoodBody, ""});
        }
    });
    IoThread thread;
    std::vector<WorkerResult> results;
    WorkerClientSettings settings;
    settings.timeout_ = Milliseconds(200);
    settings.maxOpenOperations_ = 4;
    settings.addressOverrides_["10.0.0.1:80"] = server.address();
    WorkerClient client(
        settings, thread, [&](WorkerResult result) { results.push_back(std::move(result)); }, nullptr);
    thread.start();
    std::promise<void> submitted;
    thread.post([&] {
        for (const std::size_t op : {2, 1, 0, 3, 0}) { // the fifth exceeds maxOpenOperations_
            client.submit(makeRequest(AllOps[op]));
        }
        submitted.set_value();
    });
    submitted.get_future().get();
    const auto count = [&] {
        std::promise<std::size_t> promise;
        thread.post([&] { promise.set_value(results.size()); });
        return promise.get_future().get();
    };
    cr_assert(waitFor([&] { return count() == 5; }));
    thread.post([&] { client.submit(makeRequest(AllOps[1])); });
    cr_assert(waitFor([&] { return count() == 6; }));
    thread.stop();
    cr_assert(results[0].status_ == WorkerStatus::Refused);
    cr_assert(results[1].status_ == WorkerStatus::Ok && results[2].status_ == WorkerStatus::Ok);
    cr_assert(results[3].status_ == WorkerStatus::Unknown && results[4].status_ == WorkerStatus::Unknown);
    cr_assert(results[5].status_ == WorkerStatus::Ok);
}

// Guards against answers that are accepted although a field has the wrong type or place, and against lost fields.
Test(worker, answersAreReadInFull)
{
    const WorkerRequest poll = makeRequest(AllOps[2]);
    const std::string report
        = R"({"job":"school:1","index":2,"team":"school","class":"c","milli_cpus":100,"memory_mb":64,"accelerators":1,)"
          R"("used_milli_cpus":50,"used_memory_mb":32,"outcome":"failed","error":"task-failed","idempotent":false,)"
          R"("result":"r","later":{"job":[1,{"index":"x"}]}})";
    WorkerResult result;
    cr_assert(decodeWorkerAnswer(
        poll, R"({"other":[{"tasks":[7]}],"tasks":[)" + report + R"(,{"job":"a:1","outcome":"done"}],"epoch":7})",
        result));
    cr_assert_eq(result.highestEpoch_.value_, 7U);
    cr_assert(!result.leaving_);
    cr_assert_eq(result.tasks_.size(), 2U);
    const WorkerTaskReport &first = result.tasks_[0];
    cr_assert(first.task_ == Task && first.team_.value_ == "school" && first.class_.value_ == "c");
    cr_assert(first.size_.milliCpus_ == 100 && first.size_.memoryMb_ == 64 && first.size_.accelerators_ == 1);
    cr_assert(first.size_.slots_ == 1 && first.used_.milliCpus_ == 50 && first.used_.memoryMb_ == 32);
    cr_assert(first.outcome_ == Outcome::Failed && first.error_ == ErrorKind::TaskFailed && !first.idempotent_);
    cr_assert_eq(first.result_, "r");
    const WorkerTaskReport &second = result.tasks_[1];
    cr_assert(second.outcome_ == Outcome::Done && second.error_ == ErrorKind::None && second.idempotent_);
    const std::string good = R"({"job":"a:1","outcome":"done")";
    for (const std::string &bad : {std::string("7"),
                                   std::string("[]"),
                                   std::string("{}"),
                                   std::string(R"({"tasks":{}})"),
                                   std::string(R"({"tasks":null})"),
                                   std::string(R"({"tasks":[7]})"),
                                   std::string(R"({"tasks":[[]]})"),
                                   std::string(R"({"tasks":[],"epoch":"7"})"),
                                   std::string(R"({"tasks":[],"epoch":-1})"),
                                   std::string(R"({"tasks":[],"leaving":1})"),
                                   std::string(R"({"tasks":[]} x)"),
                                   std::string(R"({"tasks":[{"job":"a:1"}]})"),
                                   std::string(R"({"tasks":[{"outcome":"done"}]})"),
                                   std::string(R"({"tasks":[{"job":"a:1","outcome":"accepted"}]})"),
                                   R"({"tasks":[)" + good + R"(},"x"]})",
                                   R"({"tasks":[)" + good + R"(,"index":-1}]})",
                                   R"({"tasks":[)" + good + R"(,"index":4294967296}]})",
                                   R"({"tasks":[)" + good + R"(,"milli_cpus":1.5}]})",
                                   R"({"tasks":[)" + good + R"(,"result":null}]})",
                                   R"({"tasks":[)" + good + R"(,"idempotent":{}}]})",
                                   R"({"tasks":[)" + good + R"(,"job":[]}]})",
                                   R"({"tasks":[)" + good + R"(,"memory_mb":9223372036854775808}]})"}) {
        WorkerResult refused;
        cr_expect(!decodeWorkerAnswer(poll, bad, refused), "%s", bad.c_str());
    }
}

// Guards against crashes of the decoders on corrupted answers, and against a malformed instance list that is applied in
// part.
Test(worker, decodersSurviveAnyInput)
{
    const std::string list = R"({"instances":[{"id":"e","kind":"entry"},{"id":"w","kind":"worker","region":"hobart",)"
                             R"("zone":"z","rack":"r1","address":"10.0.0.1:80","state":"leaving","slots":8}]})";
    InstanceSnapshot snapshot;
    cr_assert(decodeInstances(list, snapshot));
    cr_assert_eq(snapshot.workers_.size(), 1U);
    cr_assert(snapshot.workers_[0].group_.str() == "g/hobart/r1" && snapshot.workers_[0].leaving_);
    cr_assert(!decodeInstances(R"({"instances":[{"id":"w","kind":"worker"}]})", snapshot));
    cr_assert_eq(snapshot.workers_.size(), 1U);
    std::mt19937_64 random(4);
    for (int round = 0; round < 5'000; ++round) {
        std::string text = round % 2 == 0 ? list : GoodBody;
        text[random() % text.size()] = static_cast<char>(random());
        (void)decodeInstances(text, snapshot);
        WorkerResult result;
        (void)decodeWorkerAnswer(makeRequest(AllOps[1]), text, result);
    }
}

// Guards against events for an unchanged list, against missed changes, and against storing the entity tag of a
// malformed list: the server would then answer 304, and the list would never be read.
Test(instances, onlyChangedListsAreDelivered, .timeout = 20)
{
    std::atomic<int> version{0};
    std::atomic<int> unchanged{0};
    const TestServer server([&](const HttpRequest &request, const HttpResponder &respond) {
        const int now = version;
        const std::string tag = '"' + std::to_string(now) + '"';
        if (headerValue(request, "If-None-Match") == tag) {
            ++unchanged;
            respond({304, "", "", tag});
        } else if (now == 1) {
            respond({200, R"({"instances":[{"id":"w","kind":"worker"}]})", "", tag});
        } else {
            respond({200,
                     R"({"instances":[{"id":"w)" + std::to_string(now)
                         + R"(","kind":"worker","region":"hobart","zone":"z","rack":"r1","address":"10.0.0.1:80",)"
                         + R"("state":"live","slots":8}]})",
                     "", tag});
        }
    });
    IoThread thread;
    std::mutex mutex;
    std::vector<std::string> seen;
    InstancePoller poller(server.address(), Milliseconds(10), thread, [&](const InstanceSnapshot &snapshot) {
        const std::lock_guard lock(mutex);
        seen.push_back(snapshot.workers_.at(0).id_.value_);
    });
    const auto count = [&] {
        const std::lock_guard lock(mutex);
        return seen.size();
    };
    thread.start();
    thread.post([&] { poller.start(); });
    cr_assert(waitFor([&] { return unchanged >= 3; }));
    cr_assert_eq(count(), 1U);
    version = 1;
    const int before = unchanged;
    std::this_thread::sleep_for(Milliseconds(100));
    cr_assert(unchanged <= before + 1);
    version = 2;
    cr_assert(waitFor([&] { return count() == 2; }));
    cr_assert(waitFor([&] { return unchanged >= before + 3; }));
    thread.stop();
    cr_assert(seen == std::vector<std::string>({"w0", "w2"}));
}
