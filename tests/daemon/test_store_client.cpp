// Tests of the store client: exactly one result per operation, and the distinction between no effect (Unavailable) and
// a possible effect (Unknown).
#include "daemon/http_helper.h"

#include "daemon/base64_func.h"
#include "daemon/log_func.h"
#include "daemon/store_client_base.h"
#include "daemon/store_codec_func.h"
#include "http/json_func.h"

#include <criterion/criterion.h>

#include <random>

using namespace mimosapier;
using namespace mimosapier::testing;

// Store client on its own thread that records all results.
class StoreFixture
{
public:
    explicit StoreFixture(const std::string &address, std::size_t maxOpenOperations = 4096)
        : client_(
            settings(address, maxOpenOperations), thread_,
            [this](StoreResult result) { results_.push_back(std::move(result)); }, nullptr)
    {
        thread_.start();
    }
    ~StoreFixture() { thread_.stop(); }

    void submit(StoreOp op)
    {
        const StoreRequest request{StoreOpId{++last_}, StoreComponent::Limit, ShardId("p/x/0"), std::move(op)};
        thread_.post([this, request] { client_.submit(request); });
    }
    std::vector<StoreResult> results()
    {
        std::promise<std::vector<StoreResult>> promise;
        thread_.post([&] { promise.set_value(results_); });
        return promise.get_future().get();
    }
    StoreResult call(StoreOp op)
    {
        const std::size_t before = results().size();
        submit(std::move(op));
        cr_assert(waitFor([&] { return results().size() > before; }));
        const StoreResult result = results().back();
        cr_assert(result.id_ == StoreOpId{last_} && result.component_ == StoreComponent::Limit
                  && result.shard_.str() == "p/x/0");
        return result;
    }

private:
    static StoreClientSettings settings(const std::string &address, std::size_t maxOpenOperations)
    {
        StoreClientSettings settings;
        settings.address_ = address;
        settings.timeout_ = Milliseconds(150);
        settings.maxOpenOperations_ = maxOpenOperations;
        return settings;
    }

    LogScope log_{"error"};
    IoThread thread_;
    std::vector<StoreResult> results_;
    StoreClient client_;
    std::uint64_t last_ = 0;
};

static const std::vector<StoreOp> AllOps{StoreGet{"k"},
                                         StoreList{"k"},
                                         StoreCas{"k", "v", {}, {}},
                                         StoreDelete{"k", {}},
                                         StoreLeaseGrant{},
                                         StoreLeaseRenew{StoreLeaseId{1}},
                                         StoreLeaseRevoke{StoreLeaseId{1}},
                                         StoreWatch{"k", {}, Milliseconds(20)}};

// Checks that each kind of operation gets `forReads` or `forWrites` from the server at `address`.
static void checkAll(const std::string &address, StoreStatus forReads, StoreStatus forWrites)
{
    StoreFixture fixture(address);
    for (const StoreOp &op : AllOps) {
        const StoreStatus expected = changesStore(op) ? forWrites : forReads;
        const StoreStatus status = fixture.call(op).status_;
        cr_assert(status == expected, "%s: status %d", std::string(storeOpName(op)).c_str(), static_cast<int>(status));
    }
    std::this_thread::sleep_for(Milliseconds(30));
    cr_assert_eq(fixture.results().size(), AllOps.size());
}

static HttpHandler respondingWith(unsigned status, std::string body)
{
    return [status, body](const HttpRequest &, const HttpResponder &respond) { respond({status, body, ""}); };
}

// Guards against a write that may have taken effect being reported as Unavailable. Covers a refused connection,
// statuses 503 and 500, a malformed answer and no answer.
Test(store, statusTellsWhetherTheWriteMayHaveHappened, .timeout = 20)
{
    checkAll("127.0.0.1:1", StoreStatus::Unavailable, StoreStatus::Unavailable);
    checkAll(TestServer(respondingWith(503, "")).address(), StoreStatus::Unavailable, StoreStatus::Unavailable);
    const TestServer unavailable(respondingWith(503, ""));
    checkAll(unavailable.address(), StoreStatus::Unavailable, StoreStatus::Unavailable);
    const TestServer failing(respondingWith(500, ""));
    checkAll(failing.address(), StoreStatus::Unavailable, StoreStatus::Unknown);
    const TestServer malformed(respondingWith(200, "{\"ok\":1}"));
    checkAll(malformed.address(), StoreStatus::Unavailable, StoreStatus::Unknown);
    std::vector<HttpResponder> openResponders;
    const TestServer silent(
        [&openResponders](const HttpRequest &, const HttpResponder &respond) { openResponders.push_back(respond); });
    checkAll(silent.address(), StoreStatus::Unavailable, StoreStatus::Unknown);
    openResponders.clear();
}

// Store that carries out writes but answers only every second one.
class LossyStore
{
public:
    HttpHandler handler()
    {
        return [this](const HttpRequest &request, const HttpResponder &respond) {
            Json json;
            parseJson(request.body_, json);
            if (request.target_ == "/v1/get") {
                const Json entry{{"key", json["key"]}, {"value", value_}, {"revision", revision_}};
                respond({200, dumpJson({{"found", revision_ > 0}, {"entry", entry}, {"revision", revision_}}), ""});
                return;
            }
            const bool ok = json["expected"].get<std::uint64_t>() == revision_;
            if (ok) {
                value_ = json["value"].get<std::string>();
                ++revision_;
            }
            dropAnswer_ = ok ? !dropAnswer_ : dropAnswer_;
            if (ok && dropAnswer_) {
                openResponders_.push_back(respond);
                return;
            }
            const Json entry{{"key", json["key"]}, {"value", value_}, {"revision", revision_}};
            respond({200, dumpJson({{"ok", ok}, {"found", true}, {"entry", entry}, {"revision", revision_}}), ""});
        };
    }

private:
    std::string value_;
    std::uint64_t revision_ = 0;
    bool dropAnswer_ = false;
    std::vector<HttpResponder> openResponders_;
};

// Guards against a missing answer that blocks later operations, and against values that their encoding changes.
Test(store, lostAnswerIsUnknownAndCanBeReadBack, .timeout = 20)
{
    LossyStore store;
    const TestServer server(store.handler());
    StoreFixture fixture(server.address());
    const std::string binary("\x00\xff\x01", 3);
    cr_assert(fixture.call(StoreCas{"k", binary, {}, {}}).status_ == StoreStatus::Unknown);
    const StoreResult read = fixture.call(StoreGet{"k"});
    cr_assert(read.status_ == StoreStatus::Ok && read.entries_.at(0).value_ == binary);
    const StoreResult conflict = fixture.call(StoreCas{"k", "text", {}, {}});
    cr_assert(conflict.status_ == StoreStatus::Conflict && conflict.entries_.at(0).revision_ == Revision{1});
    const StoreResult written = fixture.call(StoreCas{"k", "text", Revision{1}, {}});
    cr_assert(written.status_ == StoreStatus::Ok && written.revision_ == Revision{2});
    cr_assert_eq(fixture.call(StoreGet{"k"}).entries_.at(0).value_, "text");
}

// Guards against operations that accumulate without bound while the store is silent, and against watches that block
// other operations.
Test(store, openOperationsAreBounded, .timeout = 20)
{
    std::vector<HttpResponder> openResponders;
    const TestServer server([&openResponders](const HttpRequest &request, const HttpResponder &respond) {
        if (request.target_ == "/v1/get") {
            respond({200, R"({"found":false,"revision":1})", ""});
        } else {
            openResponders.push_back(respond);
        }
    });
    StoreFixture fixture(server.address(), 11);
    for (int i = 0; i < 10; ++i) {
        fixture.submit(StoreWatch{"k", {}, Milliseconds(2000)});
    }
    cr_assert(fixture.call(StoreGet{"k"}).status_ == StoreStatus::NotFound);
    fixture.submit(StoreWatch{"k", {}, Milliseconds(2000)});
    cr_assert(fixture.call(StoreCas{"k", "v", {}, {}}).status_ == StoreStatus::Unavailable);
    cr_assert(fixture.call(StoreCas{"k", std::string(MaxStoreValueBytes + 1, 'x'), {}, {}}).status_
              == StoreStatus::Unavailable);
}

// Guards against values that encoding and decoding change, and against crashes of the decoder on corrupted answers.
Test(store, codecSurvivesAnyInput)
{
    std::mt19937_64 random(3);
    const std::string good = R"({"ok":false,"found":true,"entry":{"key":"k","value":"base64:AAE=","revision":4},)"
                             R"("entries":[{"key":"k","value":"v","revision":3}],"revision":9,"lease":2})";
    for (int round = 0; round < 5'000; ++round) {
        std::string value(random() % 40, '\0');
        for (char &byte : value) {
            byte = static_cast<char>(random() >> (round % 2 == 0 ? 57 : 56)); // half of the rounds are ASCII
        }
        std::string decoded;
        cr_assert(decodeStoreValue(encodeStoreValue(value), decoded) && decoded == value);
        std::string answer = good;
        answer[random() % answer.size()] = static_cast<char>(random());
        for (const StoreOp &op : AllOps) {
            StoreResult result;
            (void)decodeStoreAnswer(op, answer, result);
        }
    }
    std::string decoded;
    cr_assert(!decodeStoreValue("base64:AAE", decoded));
    cr_assert(!decodeStoreValue("base64:A*E=", decoded));
}
