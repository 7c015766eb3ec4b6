// Tests of the callers' protocol (parsing, refusals, rendering of answers) and of the ring.
#include "daemon/caller_codec_func.h"
#include "daemon/ring_base.h"
#include "http/json_func.h"

#include <criterion/criterion.h>

#include <random>
#include <thread>

using namespace mimosapier;

static ErrorKind parse(const std::string &method, const std::string &target, const std::string &body,
                       CallerBody &parsed)
{
    HttpRequest request;
    request.method_ = method;
    request.target_ = target;
    request.headers_ = {{"authorization", "Bearer secret"}};
    request.body_ = body;
    std::string detail;
    return errorKind(parseCallerRequest(request, parsed, detail));
}

static ErrorKind parseJob(const std::string &fields, CallerBody &parsed)
{
    return parse("POST", "/v1/jobs", R"({"request_id":"r-1","team":"school","class":"c")" + fields + "}", parsed);
}

// Guards against fields of a request that are lost or get a wrong default.
Test(callers, requestsAreParsed)
{
    CallerBody body;
    cr_assert(parseJob("", body) == ErrorKind::None);
    auto submit = std::get<SubmitRequest>(body);
    cr_assert(submit.key_ == "secret" && submit.attempt_ == 1 && submit.tasks_ == 1 && !submit.idempotentGiven_);
    cr_assert((submit.size_ == Resources{100, 64, 0, 1}));
    cr_assert(parseJob(R"(,"attempt":2,"tasks":3,"size":{"memory_mb":5},"run_ms":7,"deadline_ms":8,"idempotent":false,)"
                       R"("payload":"p","region":"hobart","queue":"q","extra":1)",
                       body)
              == ErrorKind::None);
    submit = std::get<SubmitRequest>(body);
    cr_assert((submit.attempt_ == 2 && submit.tasks_ == 3 && submit.size_ == Resources{100, 5, 0, 1}));
    cr_assert(submit.idempotentGiven_ && !submit.idempotent_ && submit.region_.str() == "hobart");
    cr_assert(parse("GET", "/v1/explain/r-1?team=a%20b&wait_ms=50", "", body) == ErrorKind::None);
    const auto status = std::get<StatusRequest>(body);
    cr_assert(status.explain_ && status.team_.str() == "a b" && status.wait_ == Milliseconds(50));
    cr_assert(parse("POST", "/v1/cancel", R"({"team":"t","request_ids":["a","b"]})", body) == ErrorKind::None);
    cr_assert(parse("POST", "/v1/admin/sign", R"({"signer":"s","draft":"d","base_version":4})", body)
              == ErrorKind::None);
    cr_assert(std::get<SignRequest>(body).base_ == BundleVersion{4});
    cr_assert(parse("GET", "/v1/admin/report", "", body) == ErrorKind::None);
}

// Guards against malformed requests that are accepted, and against crashes of the parser on corrupted bytes.
Test(callers, wrongRequestsAreRefused)
{
    CallerBody body;
    for (const char *fields :
         {R"(,"attempt":0)", R"(,"tasks":0)", R"(,"tasks":-1)", R"(,"size":1)", R"(,"size":{"milli_cpus":-1})",
          R"(,"run_ms":-1)", R"(,"idempotent":"no")", R"(,"payload":1)", R"(,"request_id":"a/b")", R"(,"team":"")",
          R"(,"deadline_ms":1e99)"}) {
        cr_assert(parseJob(fields, body) == ErrorKind::MalformedRequest, "%s", fields);
    }
    cr_assert(parse("POST", "/v1/jobs", "[]", body) == ErrorKind::MalformedRequest);
    cr_assert(parse("POST", "/v1/jobs", "{", body) == ErrorKind::MalformedRequest);
    cr_assert(parse("POST", "/v1/cancel", R"({"team":"t","request_ids":[]})", body) == ErrorKind::MalformedRequest);
    cr_assert(parse("GET", "/v1/jobs/r-1", "", body) == ErrorKind::MalformedRequest);
    cr_assert(parse("GET", "/v1/jobs/r-1?team=t&wait_ms=x", "", body) == ErrorKind::MalformedRequest);
    cr_assert(parse("GET", "/v1/nothing", "", body) == ErrorKind::UnknownPath);
    cr_assert(parse("DELETE", "/v1/jobs", "", body) == ErrorKind::UnknownPath);
    std::mt19937_64 random(5);
    for (int round = 0; round < 5'000; ++round) {
        std::string text = R"({"request_id":"r","team":"t","class":"c","size":{"milli_cpus":1},"request_ids":["a"]})";
        text[random() % text.size()] = static_cast<char>(random());
        (void)parse("POST", round % 2 == 0 ? "/v1/jobs" : "/v1/cancel", text, body);
    }
}

// Guards against a refusal that reports NotRun although an earlier attempt of the request may have run. The caller
// would then run the work a second time.
Test(callers, refusalOutcomeDependsOnAttempt)
{
    SubmitRequest submit;
    cr_assert(refusal(submit, ErrorKind::Overloaded, "").outcome_ == Outcome::NotRun);
    submit.attempt_ = 2;
    cr_assert(refusal(submit, ErrorKind::Overloaded, "").outcome_ == Outcome::Unknown);
    cr_assert(refusal(StatusRequest{}, ErrorKind::Overloaded, "").outcome_ == Outcome::Unknown);
    CallerBody body;
    cr_assert(parseJob(R"(,"attempt":3,"tasks":0)", body) == ErrorKind::MalformedRequest);
    cr_assert(refusal(body, ErrorKind::MalformedRequest, "").outcome_ == Outcome::Unknown);
}

// Guards against answers whose HTTP status or outcome name differs from the error and outcome tables.
Test(callers, answersAreRendered)
{
    CallerAnswer answer;
    answer.requestId_ = "r-1";
    answer.outcome_ = Outcome::Pending;
    answer.error_ = ErrorKind::Overloaded;
    answer.homeRegion_ = RegionId("hobart");
    answer.results_.push_back({1, Outcome::Done, ErrorKind::None, WorkerId("w"), "\xff"});
    const HttpResponse response = renderAnswer(answer);
    Json json;
    cr_assert(parseJson(response.body_, json));
    cr_assert_eq(response.status_, 429U);
    cr_assert(json["outcome"] == "accepted" && json["error"] == "overloaded" && json["home_region"] == "hobart");
    cr_assert(json["results"][0]["outcome"] == "done" && json["results"][0]["worker"] == "w");
    answer.document_ = "{}";
    cr_assert_eq(renderAnswer(answer).body_, "{}");
}

// Guards against a ring that exceeds its capacity, drops or reorders items, or does not wake its consumer.
Test(ring, fullRingRefusesAndForcedItemsStay, .timeout = 10)
{
    int wakes = 0;
    Ring<std::string> ring(2, [&wakes] { ++wakes; });
    std::string first = "a";
    std::string second = "b";
    std::string refused = "c";
    cr_assert(ring.offer(first) && ring.offer(second));
    cr_assert(!ring.offer(refused));
    cr_assert_eq(refused, "c");
    ring.putUnbounded("d");
    std::thread producer([&ring] { ring.put("e"); });
    std::vector<std::string> items;
    cr_assert(ring.take(items, 2));
    producer.join();
    cr_assert(!ring.take(items, 10));
    cr_assert(items == (std::vector<std::string>{"a", "b", "d", "e"}));
    cr_assert_geq(wakes, 1);
}
