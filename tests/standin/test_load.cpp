// Guards the load generator: retries, waiting for outcomes, and the journal that the checker reads.
#include "http_fixture.h"
#include "standin/load_service.h"

#include <criterion/criterion.h>

#include <fstream>
#include <memory>
#include <vector>

using namespace mimosapier;
using namespace mimosapier::standin;

static std::vector<Json> readJournal(const std::string &path)
{
    std::vector<Json> lines;
    std::ifstream file(path);
    for (std::string text; std::getline(file, text);) {
        Json line;
        cr_assert(parseJson(text, line));
        lines.push_back(line);
    }
    return lines;
}

// Guards against retries that go to the same entry, keep the attempt number or lose the region of the first attempt.
// One entry never answers, so each request times out there and is sent to the other one.
Test(load, repeatsAndOutcomes)
{
    boost::asio::io_context context;
    std::vector<Json> received;
    std::vector<HttpResponder> unansweredRequests;
    const auto handler = [&](bool answers) {
        return [&, answers](const HttpRequest &request, const HttpResponder &respond) {
            if (request.target_ == "/readyz") {
                respondJson(respond, Json::object());
                return;
            }
            if (request.method_ == "GET") {
                respondJson(respond, {{"outcome", "done"}, {"results", Json::array()}});
                return;
            }
            Json body;
            parseJson(request.body_, body);
            received.push_back(body);
            if (!answers) {
                unansweredRequests.push_back(respond);
            } else {
                const bool second = body["attempt"] == 2;
                respondJson(respond,
                            {{"request_id", body["request_id"]}, {"outcome", second ? "accepted" : "not-run"}});
            }
        };
    };
    auto silent = std::make_unique<HttpServer>(context, HttpServerOptions{}, handler(false));
    auto answering = std::make_unique<HttpServer>(context, HttpServerOptions{}, handler(true));
    cr_assert(!silent->listen("127.0.0.1:0") && !answering->listen("127.0.0.1:0"));

    const std::string journal = "test_load_journal.jsonl";
    {
        const Json stream{{"class", "c"}, {"rate", 30}, {"timeout_ms", 100}};
        LoadService load(context,
                         {{"seconds", 0.5},
                          {"retry_ratio", 1.0},
                          {"journal", journal},
                          {"accounts", {{{"team", "a"}, {"key", "k"}, {"region", "r1"}, {"streams", {stream}}}}},
                          {"entries",
                           {{{"name", "d1"}, {"region", "r1"}, {"addresses", {{"r1", silent->address()}}}},
                            {{"name", "d2"}, {"region", "r2"}, {"addresses", {{"r1", answering->address()}}}}}}});
        cr_assert(load.listen());
        context.run();
    }
    std::size_t done = 0;
    for (const auto &line : readJournal(journal)) {
        done += line["event"] == "final" && line["outcome"] == "done" ? 1 : 0;
    }
    cr_assert(done >= 5);
    cr_assert_eq(received.size(), 2 * done);
    for (const auto &body : received) {
        cr_assert_eq(body["region"], "r1");
        cr_assert(body["attempt"] == 1 || body["attempt"] == 2);
    }
    std::remove(journal.c_str());
}
