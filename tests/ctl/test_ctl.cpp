// Tests of mimosapierctl against prepared responses: requests sent, exit codes, and edits of bundles.
#include "core/config/config_func.h"
#include "ctl/ctl_internal.h"

#include <criterion/criterion.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

#include <unistd.h>

using namespace mimosapier;

namespace
{

// Runs a command line against prepared responses and records the requests.
struct CommandRun
{
    std::vector<std::pair<std::string, HttpRequest>> sent_; // address and request
    std::vector<HttpResult> responses_; // in order; the last one is used again
    std::istringstream in_;
    std::ostringstream out_;
    std::ostringstream err_;

    ExitCode execute(std::vector<const char *> arguments)
    {
        arguments.insert(arguments.begin(), "mimosapierctl");
        const RequestSender sender = [this](const std::string &address, const HttpRequest &request) {
            sent_.emplace_back(address, request);
            return responses_.at(std::min(sent_.size(), responses_.size()) - 1);
        };
        const CommandIo io{sender, in_, out_, err_, [] { return std::string("00112233"); }};
        return runCtl(static_cast<int>(arguments.size()), arguments.data(), io);
    }
};

} // namespace

static HttpResult httpResponse(unsigned status, const std::string &body)
{
    return {HttpDelivery::Answered, status, body, {}};
}

static const std::string BundleText
    = "regions: {r1: {}}\nteams:\n  school: {limit: 5, home_region: r1, keys: [\"" + keyHash("old") + "\"]}\n";

static HttpResult headResponse()
{
    return httpResponse(200, dumpJson({{"version", 3}, {"text", BundleText}}));
}

// Guards against a wrong exit code for an outcome; scripts rely on the codes.
Test(ctl, exitCodesFollowTheOutcome)
{
    const auto code = [](unsigned status, const std::string &outcome, const std::string &error) {
        CommandRun run;
        run.responses_ = {httpResponse(status, dumpJson({{"outcome", outcome}, {"error", error}}))};
        return run.execute({"--address", "a:1", "status", "x", "--team", "t"});
    };
    cr_expect(code(200, "done", "none") == ExitCode::Done);
    cr_expect(code(200, "failed", "task-failed") == ExitCode::Failed);
    cr_expect(code(200, "cancelled", "cancelled") == ExitCode::Failed);
    cr_expect(code(429, "not-run", "overloaded") == ExitCode::Refused);
    cr_expect(code(504, "unknown", "outcome-unknown") == ExitCode::Unknown);
    cr_expect(code(409, "not-run", "version-race") == ExitCode::Race);
    cr_expect(code(200, "accepted", "none") == ExitCode::Pending);
    CommandRun usage;
    cr_expect(usage.execute({"--address", "a:1", "submit"}) == ExitCode::Usage);
    cr_expect(usage.execute({"--help"}) == ExitCode::Done);
    cr_expect(usage.sent_.empty());
}

// Guards against a command that ends by an exception because an answer is not what a daemon sends.
Test(ctl, oddStatusAnswersEndNoCommand)
{
    const auto code = [](const char *body, const char *command) {
        CommandRun run;
        run.responses_ = {httpResponse(200, body)};
        return run.execute({"--address", "a:1", command});
    };
    for (const char *body : {"[]", "3", "x"}) {
        cr_expect(code(body, "status") == ExitCode::Unknown, "%s", body);
        cr_expect(code(body, "instances") == ExitCode::Unknown, "%s", body);
    }
    for (const char *body : {R"({"member":7,"daemon":[]})", R"({"member":{"members":[3],"shards":["x"]}})"}) {
        cr_expect(code(body, "status") == ExitCode::Done, "%s", body);
        cr_expect(code(body, "instances") == ExitCode::Done, "%s", body);
    }
}

// Guards against submitting work again that may be running already, and against failing while other addresses are
// untried.
Test(ctl, onlySafeRequestsAreSentAgain)
{
    CommandRun refused;
    refused.responses_ = {{HttpDelivery::NotSent, 0, "", {}}, httpResponse(200, R"({"outcome":"accepted"})")};
    cr_expect(refused.execute({"--address", "a:1", "--address", "b:2", "submit", "--team", "t", "--class", "c"})
              == ExitCode::Done);
    cr_expect_eq(refused.sent_.size(), 2);
    cr_expect(refused.sent_[1].first == "b:2");
    CommandRun lost;
    lost.responses_ = {{HttpDelivery::MaybeSent, 0, "", {}}};
    cr_expect(lost.execute({"--address", "a:1", "--address", "b:2", "submit", "--team", "t", "--class", "c"})
              == ExitCode::Unknown);
    cr_expect_eq(lost.sent_.size(), 1);
    cr_expect(lost.err_.str().find("wait 00112233") != std::string::npos);
}

// Guards against options of submit that do not reach the request, and against unescaped ids in the target.
Test(ctl, submitSendsAllFields)
{
    CommandRun run;
    run.responses_ = {httpResponse(200, R"({"outcome":"done","request_id":"7"})")};
    cr_assert(run.execute({"--address", "a:1", "submit", "--team", "t", "--class", "c", "--id", "7", "--tasks", "3",
                           "--milli-cpus", "250", "--deadline-ms", "900", "--once", "--payload", "p q"})
              == ExitCode::Done);
    const HttpRequest &request = run.sent_.at(0).second;
    Json body;
    cr_assert(parseJson(request.body_, body));
    cr_expect(request.method_ == "POST" && request.target_ == "/v1/jobs");
    cr_expect(body["request_id"] == "7" && body["tasks"] == 3 && body["size"]["milli_cpus"] == 250);
    cr_expect(body["deadline_ms"] == 900 && body["idempotent"] == false && body["payload"] == "p q");
    CommandRun odd;
    odd.responses_ = {httpResponse(200, R"({"outcome":"done"})")};
    odd.execute({"--address", "a:1", "explain", "a/b", "--team", "t&u"});
    cr_expect(odd.sent_.at(0).second.target_ == "/v1/explain/a%2Fb?team=t%26u");
}

// Guards against edits that change another part of the bundle, or leave a withdrawn key in it.
Test(ctl, editsDraftAChangedBundle)
{
    const auto edited = [](std::vector<const char *> arguments, const std::string &input = "") {
        CommandRun run;
        run.in_.str(input);
        run.responses_ = {headResponse(), httpResponse(200, R"({"outcome":"done","detail":"{}"})")};
        std::vector<const char *> all{"--address", "a:1", "--as", "ann"};
        all.insert(all.end(), arguments.begin(), arguments.end());
        Bundle bundle;
        std::vector<BundleProblem> problems;
        Json body;
        if (run.execute(all) == ExitCode::Done && parseJson(run.sent_.at(1).second.body_, body)) {
            cr_assert(body["author"] == "ann");
            cr_assert(!parseBundle(textField(body, "text"), bundle, problems), "%s",
                      formatProblems("", problems).c_str());
        }
        return bundle;
    };
    const TeamId school("school");
    cr_expect(edited({"key", "withdraw", "school", "--key-from-input"}, "old\n").teams_.at(school).keyHashes_.empty());
    const Bundle granted = edited({"key", "grant", "school"});
    cr_expect(granted.teams_.at(school).keyHashes_.back() == keyHash("00112233"));
    cr_expect_eq(granted.teams_.at(school).keyHashes_.size(), 2);
    cr_expect_eq(edited({"limit", "school", "9"}).teams_.at(school).limit_, 9);
    cr_expect_eq(edited({"share", "school", "2.5"}).teams_.at(school).share_, 2.5);
    cr_expect_eq(edited({"policy", "packing", "4"}).weights_.packing_, 4);
    const Bundle added = edited({"team", "add", "club", "--limit", "2", "--home-region", "r1"});
    cr_expect(added.teams_.size() == 2 && added.teams_.at(TeamId("club")).limit_ == 2);
    const Bundle removed = edited({"team", "remove", "school"});
    cr_expect(removed.teams_.empty() && removed.regions_.size() == 1);
    cr_expect(edited({"limit", "nobody", "9"}).teams_.empty());
    cr_expect(edited({"key", "withdraw", "school", "--hash", "00"}).teams_.empty());
}

// Guards against wrong burn rates, counts that are not summed over the daemons, and unescaped names in the HTML page.
Test(ctl, reportSumsDaemonsAndBurnRates)
{
    const std::string document
        = R"({"bucket_bounds_ms":[10,100],"series":[{"class":"c<b>","team":"t","objective_ms":10,"objective_ratio":0.99,)"
          R"("answer_ms_buckets":[97,2,1],"last_5_min":{"good":97,"bad":3},"last_hour":{"good":198,"bad":2}}]})";
    CommandRun run;
    run.responses_ = {httpResponse(200, document)};
    const std::string name = "mimosapierctl-report-" + std::to_string(getpid()) + ".html";
    const std::string file = std::filesystem::temp_directory_path() / name;
    cr_assert(run.execute({"--address", "a:1", "--address", "b:2", "--json", "report", "--html", file.c_str()})
              == ExitCode::Done);
    Json report;
    cr_assert(parseJson(run.out_.str(), report));
    const Json &row = report["rows"].at(0);
    cr_expect(row["good"] == 396 && row["bad"] == 4);
    cr_expect_float_eq(row["burn_5_min"].get<double>(), 3.0, 1e-9);
    cr_expect_float_eq(row["burn_1_h"].get<double>(), 1.0, 1e-9);
    cr_expect_float_eq(row["budget_left_1_h"].get<double>(), 0.0, 1e-9);
    std::ifstream stream(file);
    const std::string page(std::istreambuf_iterator<char>(stream), {});
    std::filesystem::remove(file);
    cr_expect(page.find("c&lt;b&gt;") != std::string::npos && page.find("c<b>") == std::string::npos);
    cr_expect(page.find("<svg") != std::string::npos && page.find("http") == std::string::npos);
}

// Guards against a sign-off with another base version than the draft's, which would overwrite a newer bundle, and a
// version race that is not reported to the operator.
Test(ctl, signUsesTheBaseOfTheDraft)
{
    CommandRun run;
    run.responses_ = {httpResponse(200, R"({"drafts":[{"draft":"4-ab","base_version":3,"text":"x"}]})"),
                      httpResponse(409, R"({"outcome":"not-run","error":"version-race","detail":"Version 4 by cho"})")};
    cr_expect(run.execute({"--address", "a:1", "--as", "ben", "bundle", "sign", "4-ab"}) == ExitCode::Race);
    Json body;
    cr_assert(parseJson(run.sent_.at(1).second.body_, body));
    cr_expect(body["base_version"] == 3 && body["signer"] == "ben" && body["draft"] == "4-ab");
    cr_expect(run.out_.str().find("Version 4 by cho") != std::string::npos);
}

static const std::string TraceText
    = R"(  1.0 edge-1 {"time":"2026-01-08 12:00:00.000","level":"INFO","event":"submit","job":"00000000000000aa","account":"a","queue":"q","objective_ms":900}
{"time":"2026-01-08 12:00:00.020","level":"INFO","event":"accepted","job":"00000000000000aa"}
{"time":"2026-01-08 12:00:00.030","level":"INFO","event":"policy-query","job":"00000000000000aa","step":0}
{"time":"2026-01-08 12:00:00.130","level":"INFO","event":"policy-answer","job":"00000000000000aa"}
{"time":"2026-01-08 12:00:00.140","level":"INFO","event":"start","task":"00000000000000aa.0.0.0","run":1,"runner":"r1"}
{"time":"2026-01-08 12:00:00.640","level":"INFO","event":"end","task":"00000000000000aa.0.0.0","run":1,"how":"broken"}
{"time":"2026-01-08 12:00:00.650","level":"INFO","event":"elected","epoch":2}
{"time":"2026-01-08 12:00:01.140","level":"INFO","event":"start","task":"00000000000000aa.0.0.0","run":1001,"runner":"r2"}
{"time":"2026-01-08 12:00:01.440","level":"INFO","event":"end","task":"00000000000000aa.0.0.0","run":1001,"how":"done"}
{"time":"2026-01-08 12:00:01.450","level":"INFO","event":"job-ended","job":"00000000000000aa","state":"completed","in_objective":false}
{"time":"2026-01-08 12:00:01.500","level":"INFO","event":"submit-refused","job":"00000000000000bb","account":"a","queue":"p","reason":"overloaded"}
{"time":"2026-01-08 12:00:01.510","level":"INFO","event":"submit","job":"00000000000000cc","account":"a","queue":"q","objective_ms":900}
{"time":"2026-01-08 12:00:01.520","level":"INFO","event":"accepted","job":"00000000000000cc"}
{"time":"2026-01-08 12:00:03.000","level":"WARN","event":"log-dropped","frequent":4,"rare":0}
{"time":"2026-01-08 12:00:03.100","level":"INFO","event":"sta
)";

// Guards against parts of a job's time that are counted twice or for the wrong cause.
Test(ctl, traceSplitsTheTimeOfAJob)
{
    std::istringstream input(TraceText);
    TraceLog log;
    readTraceLog(input, log);
    cr_assert(log.damagedLines_ == 1 && log.droppedLines_ == 4);
    const std::vector<JobTrace> traces = traceJobs(log);
    cr_assert_eq(traces.size(), 3);
    const std::array<std::int64_t, 6> expected{20, 100, 20, 1'000, 300, 10};
    cr_assert(traces[0].partMs_ == expected);
    cr_assert(traces[0].leaderChanges_ == 1 && traces[0].starts_ == 2 && traces[0].ends_.at("broken") == 1);
    cr_assert_eq(causeOf(traces[0]), "late: repeated runs, leader changed");
    cr_assert_eq(causeOf(traces[1]), "refused: overloaded");
    cr_assert_eq(causeOf(traces[2]), "not started: queue");
}

// Guards against a trace that needs a daemon, and against silence about lines that are missing.
Test(ctl, traceReadsLogsWithoutADaemon)
{
    CommandRun all;
    all.in_.str(TraceText);
    cr_assert(all.execute({"trace", "--log", "-"}) == ExitCode::Done);
    cr_assert(all.out_.str().find("1  not started: queue (q 1)\n") != std::string::npos, "%s", all.out_.str().c_str());
    cr_assert(all.err_.str().find("1 damaged and 4 dropped lines") != std::string::npos);
    CommandRun one;
    one.in_.str(TraceText);
    cr_assert(one.execute({"trace", "--log", "-", "00000000000000aa"}) == ExitCode::Done);
    cr_assert(one.out_.str().find("  repeats 1000 ms\n") != std::string::npos);
    CommandRun unknown;
    unknown.in_.str(TraceText);
    cr_assert(unknown.execute({"trace", "--log", "-", "00000000000000dd"}) == ExitCode::Failed);
    CommandRun missing;
    cr_assert(missing.execute({"trace", "--log", "/nonexistent/file"}) == ExitCode::Usage);
    CommandRun noAddress;
    cr_assert(noAddress.execute({"instances"}) == ExitCode::Usage);
}
