// Tests of the codec of the platform's messages: published examples decode correctly, and malformed input is rejected
// or gives the status Unknown, without a crash.
#include "platform/platform_codec_func.h"

#include "daemon/base64_func.h"

#include <criterion/criterion.h>

#include <random>

using namespace mimosapier;

static constexpr std::string_view JobBody
    = R"({"Spec":"x","Steps":[{"Count":4,"Cpu":500,"MemMb":256,"EstimateMs":900,"Affinity":"r1-3"},)"
      R"({"Count":20,"Cpu":2000,"MemMb":1024,"EstimateMs":7000,"After":[0],"Checkpointing":true,"Gang":true}]})";
static constexpr std::string_view ConfigText
    = R"({"Version":7,"Routes":[{"Name":"r","Host":"h.example","Prefix":"/p/","Kind":"unsafe","TimeoutMs":3000,)"
      R"("TargetCompletionMs":1200,"Priority":1,"Service":"s","MaxAttempts":3,"SlackFactor":2.2,)"
      R"("Advice":{"DecideMs":390.0,"PerWorkerMs":5.5,"ValidMs":1500},"Public":false}],)"
      R"("Services":[{"Name":"s","EnforcesCapacity":false}],"Limits":{},)"
      R"("Tenants":[{"Name":"t","ApiKeys":["k1","k2"],"Weight":27,"Cap":{"Cpu":1760128,"MemMb":5729015,"Gpu":0}}]})";
static constexpr std::string_view RunnerText
    = R"({"Service":"s","Address":"10.128.0.9:8080","Zone":"z","Version":"v1","Slots":8,"State":"ready",)"
      R"("Capacity":{"Cpu":16000,"MemMb":32768,"Gpu":0},"Labels":["a","r1-3"],"ClockMs":482113,"Sequence":4,)"
      R"("born":1767414076038})";
static constexpr std::string_view HoldText
    = R"({"ClockMs":482113,"born":5,"Active":[["5c0e7a21d94b36f8.0.1.17",2,"0b",41]],)"
      R"("Finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";

// Guards against a deadline of a client that overflows the daemon's clock.
Test(wire, deadlineOfAClientIsBounded)
{
    const auto remaining = [](const std::string &deadline) {
        ClientRequest request;
        cr_assert(decodeClientRequest({"GET", "/q/1", {{"X-Deadline-Ms", deadline}}, ""}, request));
        return request.remaining_;
    };
    cr_assert(remaining("1500") == Milliseconds(1'500));
    cr_assert(remaining("9223372036854775807") == Milliseconds(3'600'000));
    cr_assert(remaining("92233720368547758070") == Milliseconds(3'000));
    cr_assert(remaining("-5") == Milliseconds(3'000));
}

// Guards against fields of a job that are lost or swapped.
Test(wire, submittedJob)
{
    SubmittedJob job;
    cr_assert(decodeSubmittedJob(JobBody, job));
    cr_assert_eq(job.steps_.size(), 2);
    cr_assert_eq(job.steps_[0].affinityRack_, "r1-3");
    cr_assert_eq(job.steps_[1].size_.milliCpus_, 2'000);
    cr_assert_eq(job.steps_[1].after_.at(0), 0);
    cr_assert(job.steps_[1].gang_ && job.steps_[1].checkpointing_);
}

// Guards against accepting jobs that can never run.
Test(wire, malformedJobsAreRefused)
{
    for (const std::string_view body : {"",
                                        "[]",
                                        "{",
                                        "{}",
                                        R"({"Steps":[]})",
                                        R"({"Steps":[{}]})",
                                        R"({"Steps":[{"Count":"4"}]})",
                                        R"({"Steps":[{"Count":1,"After":[0]}]})",
                                        R"({"Steps":[{"Count":1,"After":[-1]}]})",
                                        R"({"Steps":[{"Count":1,"Cpu":-5}]})",
                                        R"({"Steps":[{"Count":1}],"Spec":5})",
                                        R"({"Steps":[{"Count":1,"Gang":1}]})",
                                        R"({"Steps":{"Count":1}})",
                                        R"({"Steps":[7]})",
                                        R"({"Steps":[{"Count":4000000000}]})",
                                        R"({"Steps":[{"Count":40000},{"Count":40000}]})",
                                        R"({"Steps":[{"Count":1000}],"RepeatCount":100,"FirstRunMs":1,"IntervalMs":1})",
                                        R"({"Steps":[{"Count":1},{"Count":1,"After":[0,0]}]})",
                                        R"({"Steps":[{"Count":1,"EstimateMs":-1}]})",
                                        R"({"Steps":[{"Count":1,"EstimateMs":9223372036854775807}]})",
                                        R"({"Steps":[{"Count":1,"TargetMs":9223372036854775807}]})"}) {
        SubmittedJob job;
        cr_assert(!decodeSubmittedJob(body, job), "%s", std::string(body).c_str());
    }
}

// Guards against a malformed configuration that is applied in part.
Test(wire, configuration)
{
    CellConfig config;
    cr_assert(decodeCellConfig(ConfigText, config));
    cr_assert_eq(config.version_, 7);
    cr_assert(config.queues_.at(0).policy_.policyQueries_);
    cr_assert_eq(config.accounts_.at(0).cap_.milliCpus_, 1'760'128);
    cr_assert(config.accounts_.at(0).keys_.contains("k2"));
    for (const std::string_view text : {"", "{}", R"({"Version":"7"})", R"({"Version":7,"Routes":[5]})",
                                        R"({"Version":7,"Tenants":[{"ApiKeys":[5]}]})", "\xff\xfe"}) {
        CellConfig other;
        cr_assert(!decodeCellConfig(text, other));
    }
}

// Guards against malformed discovery entries that are treated as runners.
Test(wire, discoveryEntriesOfOtherWriters)
{
    RunnerRecord record;
    cr_assert(decodeRunnerRecord("i-1", RunnerText, record));
    cr_assert_eq(record.rack_, "r1-3");
    cr_assert_eq(record.startedUnixMs_, 1'767'414'076'038);
    cr_assert(!record.draining_);
    for (const auto &[from, to] : std::vector<std::pair<std::string, std::string>>{
             {"\"ready\"", "\"resting\""},
             {"\"ready\"", "7"},
             {"10.128.0.9:8080", "somewhere"},
             {"\"Capacity\"", "\"Room\""},
             {"16000", "\"16000\""},
             {"[\"a\"", "[1"},
             {"\"Service\":\"s\"", "\"Service\":null"},
         }) {
        std::string text(RunnerText);
        text.replace(text.find(from), from.size(), to);
        RunnerRecord other;
        cr_assert(!decodeRunnerRecord("i-1", text, other), "%s", text.c_str());
    }
}

// Guards against a runner whose slowness after its start is not known, and against an entry that is lost, or a runner
// that is avoided for good, because of an odd value.
Test(wire, coldRunners)
{
    RunnerRecord record;
    cr_assert(decodeRunnerRecord("i-1", RunnerText, record));
    cr_assert_eq(record.coldRemaining_, Milliseconds(0), "no value: warm");
    const std::vector<std::pair<std::string, std::int64_t>> values{
        {"0", 0},        {"2500", 2'500},     {"2500.7", 2'500}, {"-5", 0},    {"null", 0},
        {"\"long\"", 0}, {"1e15", 3'600'000}, {"1e300", 0},      {"[2500]", 0}};
    for (const auto &[value, expected] : values) {
        std::string text(RunnerText);
        text.insert(1, "\"ColdRemainingMs\":" + value + ",");
        RunnerRecord cold;
        cr_assert(decodeRunnerRecord("i-1", text, cold), "%s", text.c_str());
        cr_assert_eq(cold.coldRemaining_.count(), expected, "%s", text.c_str());
    }
}

// Guards against a list of runs that is decoded in part: the missing runs would wrongly count as ended.
Test(wire, incompleteListsAreRejected)
{
    RunnerCall call;
    RunnerReply reply;
    decodeRunnerReply(call, 200, HoldText, reply);
    cr_assert(reply.status_ == RunnerStatus::Ok);
    cr_assert_eq(reply.active_.at(0).task_.index_, 17);
    cr_assert(reply.finished_.at(0).end_ == RunEnd::Done);
    for (const std::string_view body :
         {"", "{}", R"({"ClockMs":1,"Active":[]})", R"({"ClockMs":1,"Active":[["x",1,""]],"Finished":[]})",
          R"({"ClockMs":1,"Active":[["5c0e7a21d94b36f8.0.1",1,""]],"Finished":[]})",
          R"({"ClockMs":1,"Active":[],"Finished":[[1,"5c0e7a21d94b36f8.0.1.1",1,"vanished",""]]})",
          R"({"ClockMs":"1","Active":[],"Finished":[]})", R"({"ClockMs":1,"Active":{},"Finished":[]})"}) {
        RunnerReply other;
        decodeRunnerReply(call, 200, body, other);
        cr_assert(other.status_ == RunnerStatus::Unknown, "%s", std::string(body).c_str());
        cr_assert(other.active_.empty() && other.finished_.empty());
    }
}

// Guards against a refused store call that is reported as Unknown, and against an unknown outcome that is reported as a
// refusal.
Test(wire, storeStatuses)
{
    KvCall call;
    call.op_ = KvOp::Commit;
    const std::vector<std::pair<unsigned, KvStatus>> rows{
        {200, KvStatus::Ok},      {412, KvStatus::Conflict}, {404, KvStatus::NotFound}, {429, KvStatus::NotDone},
        {503, KvStatus::NotDone}, {502, KvStatus::Unknown},  {504, KvStatus::Unknown},  {500, KvStatus::Unknown}};
    for (const auto &[status, expected] : rows) {
        KvReply reply;
        decodeKvReply(call, status, R"({"Revision":3})", reply);
        cr_assert(reply.status_ == expected, "%u", status);
    }
    KvReply half;
    decodeKvReply(call, 200, R"({"Revision":)", half);
    cr_assert(half.status_ == KvStatus::Unknown, "half an answer says nothing");
    call.op_ = KvOp::Watch;
    KvReply gone;
    decodeKvReply(call, 410, "", gone);
    cr_assert(gone.status_ == KvStatus::HistoryLost);
}

// Guards against the removal of a key being decoded as an empty value.
Test(wire, watchEvents)
{
    KvCall call;
    call.op_ = KvOp::Watch;
    KvReply reply;
    decodeKvReply(call, 200,
                  R"({"events":[{"Key":"mimosapier/a","Value":"bm9kZS0x","Revision":4,"LeaseId":0},)"
                  R"({"Key":"mimosapier/b","Revision":5,"Compacted":true}],"AtRev":5})",
                  reply);
    cr_assert(reply.status_ == KvStatus::Ok);
    cr_assert_eq(reply.items_.at(0).value_, "node-1");
    cr_assert(!reply.items_.at(0).removed_);
    cr_assert_eq(reply.items_.at(1).key_, "b");
    cr_assert(reply.items_.at(1).removed_);
}

// Guards against a refusal without Retry-After, and against a refusal status for an unknown outcome.
Test(wire, answersToClients)
{
    ClientAnswer answer;
    answer.verb_ = CellVerb::Query;
    answer.state_ = StagedState::Running;
    cr_assert_eq(encodeClientAnswer(answer).body_, R"({"State":"running"})");
    answer.error_ = ErrorKind::Overloaded;
    answer.retryAfter_ = Milliseconds(1'200);
    const HttpResponse refused = encodeClientAnswer(answer);
    cr_assert_eq(refused.status_, 429);
    cr_assert_eq(refused.headers_.at(0).value_, "2");
    answer.error_ = ErrorKind::OutcomeUnknown;
    cr_assert_eq(encodeClientAnswer(answer).status_, 504);
}

// Guards against crashes of any decoder on corrupted bytes.
Test(wire, corruptedBytesNeverCrash)
{
    std::mt19937_64 random(3);
    for (const std::string_view text : {JobBody, ConfigText, RunnerText, HoldText}) {
        for (int round = 0; round < 3'000; ++round) {
            std::string bytes(text);
            for (int change = 0; change < 3; ++change) {
                bytes[random() % bytes.size()] = static_cast<char>(random());
            }
            bytes.resize(bytes.size() - random() % 4);
            SubmittedJob job;
            decodeSubmittedJob(bytes, job);
            CellConfig config;
            decodeCellConfig(bytes, config);
            RunnerRecord record;
            decodeRunnerRecord("i", bytes, record);
            RunnerReply reply;
            decodeRunnerReply(RunnerCall{}, 200, bytes, reply);
            KvReply kv;
            decodeKvReply(KvCall{}, 200, bytes, kv);
            PolicyAnswer policy;
            decodePolicyAnswer(200, bytes, policy);
        }
    }
}

// Guards against an entry of another writer that ends the process, overflows sums of capacities or is called: deep
// nesting, numbers that are too large, addresses and ids that cannot be used.
Test(wire, oddDiscoveryEntries)
{
    const std::string deep = std::string(200'000, '[') + std::string(200'000, ']');
    const auto with = [](const std::string &from, const std::string &to) {
        std::string text(RunnerText);
        return text.replace(text.find(from), from.size(), to);
    };
    std::vector<std::string> texts{deep, std::string(200'000, '['), std::string(200'000, '{'),
                                   with("482113", deep.substr(0, 300'000)), with("\"s\"", deep)};
    for (const char *number :
         {"1e300", "-1e300", "1e400", "18446744073709551615", "9223372036854775807", "99999999999999999999999999"}) {
        texts.push_back(with("16000", number));
        texts.push_back(with("32768", number));
        texts.push_back(with("1767414076038", number));
    }
    for (const char *address : {"10.128.0.9:0", "10.128.0.9:65536", "10.128.0.9:-1", "10.128.0.9:99999999999999",
                                "10.128.0.9:", "300.1.1.1:80", "host:80"}) {
        texts.push_back(with("10.128.0.9:8080", address));
    }
    for (const std::string &text : texts) {
        RunnerRecord record;
        cr_assert(!decodeRunnerRecord("i-1", text, record), "%.200s", text.c_str());
    }
    RunnerRecord nested;
    cr_assert(decodeRunnerRecord("i-1", with("482113", deep), nested), "a field that is not read may hold anything");
    for (const std::string_view id : {"", "a b", "i-1\r\nX-Other: 1", "\xff"}) {
        RunnerRecord record;
        cr_assert(!decodeRunnerRecord(id, RunnerText, record));
    }
}

// Guards against odd numbers in the other lists that other programs write: the configuration, jobs and lists of runs.
Test(wire, oddNumbersElsewhere)
{
    const auto with = [](std::string_view text, const std::string &from, const std::string &to) {
        std::string copy(text);
        return copy.replace(copy.find(from), from.size(), to);
    };
    for (const char *number : {"1e300", "1e400", "18446744073709551615"}) {
        CellConfig config;
        cr_assert(!decodeCellConfig(with(ConfigText, "1760128", number), config));
        cr_assert(!decodeCellConfig(with(ConfigText, "1200", number), config));
        SubmittedJob job;
        cr_assert(!decodeSubmittedJob(with(JobBody, "500", number), job));
        cr_assert(!decodeSubmittedJob(with(JobBody, "900", number), job));
    }
    RunnerReply reply;
    decodeRunnerReply(RunnerCall{}, 200, with(HoldText, "41", "1e300"), reply);
    cr_assert(reply.status_ == RunnerStatus::Ok);
    cr_assert_eq(reply.active_.at(0).percent_, INT32_MAX);
}

// Guards against a list of the store that is never followed again because of one item.
Test(wire, oneUnreadableItemLeavesTheOthers)
{
    KvCall call;
    call.space_ = KvSpace::Discovery;
    for (const char *list : {"items", "events"}) {
        call.op_ = list[0] == 'i' ? KvOp::Range : KvOp::Watch;
        KvReply reply;
        decodeKvReply(
            call, 200,
            std::string("{\"") + list
                + R"(":[{"Key":"servers/a","Value":"bm9kZS0x","Revision":4},)"
                  R"({"Key":"servers/b","Value":"*not base64*","Revision":5},{"Key":"servers/c","Value":7,"Revision":6},)"
                  R"({"Key":7,"Value":"","Revision":7},5,{"Key":"servers/d","Value":"","Revision":1e300},)"
                  R"({"Key":"servers/e","Value":"bm9kZS0x","Revision":8}],"AtRev":8})",
            reply);
        cr_assert(reply.status_ == KvStatus::Ok);
        cr_assert_eq(reply.items_.size(), 4);
        cr_assert_eq(reply.items_.at(0).value_, "node-1");
        cr_assert_eq(reply.items_.at(1).key_, "b");
        cr_assert(reply.items_.at(1).value_.empty() && !reply.items_.at(1).removed_);
        cr_assert_eq(reply.items_.at(3).key_, "e");
        cr_assert_eq(reply.unreadableItems_, 5);
    }
}
