// Load generator: open-loop arrivals, a simulated load balancer that chooses entries, retries, waiting for outcomes and
// cancellations. Writes a journal that scripts check. Runs on the thread that runs the io_context and stops the context
// at the end of the run.
#pragma once

#include "http/client_base.h"
#include "http/server_base.h"
#include "standin/load_plan.h"
#include "standin/program_func.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <random>
#include <string>

namespace mimosapier::standin
{

// State of one request.
struct LoadRequest
{
    LoadAccount *account_ = nullptr;
    const LoadStream *stream_ = nullptr;
    std::string id_;
    Json body_; // of POST /v1/jobs
    std::uint32_t attempt_ = 1; // number of the latest attempt
    std::size_t sendCount_ = 0; // sends tried, including those that failed to reach the entry
    std::size_t entry_ = 0; // index of the entry that was used last
    std::string firstRegion_; // region of the entry of the first attempt
    bool accepted_ = false; // an entry answered "accepted"
    bool isFinal_ = false; // its final outcome is recorded
    bool cancelRequested_ = false; // a cancellation is in progress or done
};

// Settings: see readPlan().
//
// POST /v1/control {"cancel_ratio":r} cancels a fraction of the open accepted jobs; {"team","key"} changes the key that
// a team sends; {"declared_factor":f} scales the declared run times of later requests. GET /v1/stats: counters and the
// readiness of the entries.
class LoadService
{
public:
    LoadService(boost::asio::io_context &context, const Json &settings);
    // Opens the journal, starts the arrivals and binds the control address. Returns false and prints the error to
    // stderr when the settings are invalid or the journal or the address cannot be opened.
    bool listen();

private:
    using RequestPointer = std::shared_ptr<LoadRequest>;

    // load.cpp: arrivals, choice of entries, control requests, end of the run
    void startArrivals(LoadAccount &account, const LoadStream &stream, std::uint64_t seed);
    void scheduleArrival(LoadAccount &account, const LoadStream &stream,
                         const std::shared_ptr<std::mt19937_64> &random);
    RequestPointer makeRequest(LoadAccount &account, const LoadStream &stream, std::mt19937_64 &random);
    std::size_t chooseEntry(const LoadRequest &request, bool avoidLast);
    [[nodiscard]] const std::string &addressOf(const LoadRequest &request) const;
    void checkReadiness();
    void control(const HttpRequest &request, const HttpResponder &respond);
    void endArrivals();
    void checkEnd();
    void runAfter(Milliseconds delay, std::function<void()> action);

    // load_request.cpp: processing of one request
    void submit(const RequestPointer &request, bool avoidLast);
    void onSubmitted(const RequestPointer &request, const std::string &entry, const HttpResult &result);
    void retry(const RequestPointer &request, bool maybeReceived);
    void awaitOutcome(const RequestPointer &request);
    void onStatus(const RequestPointer &request, const HttpResult &result);
    void cancel(const RequestPointer &request);
    void finish(const RequestPointer &request, const std::string &outcome, const std::string &error);
    [[nodiscard]] static HttpRequest httpRequest(const LoadRequest &request, const char *method, std::string target,
                                                 const Json *body);
    [[nodiscard]] Json journalLine(const char *event, const LoadRequest &request) const;

    boost::asio::io_context &context_;
    LoadPlan plan_;
    bool planValid_ = false; // result of readPlan()
    JournalFile journal_;
    HttpClient client_;
    std::mt19937_64 random_; // all random choices except those of the arrivals, which have a generator per stream
    double declaredFactor_ = 1; // set by control requests; multiplies that of the stream
    double retryBudget_ = 10; // retries that may be made now
    bool arrivalsActive_ = true;
    bool loadEnded_ = false; // callbacks of pending calls do nothing from then on
    TimePoint drainEnd_; // the run ends then at the latest
    std::uint64_t lastRequest_ = 0; // number in the latest request id
    std::uint64_t requestCount_ = 0; // requests that have arrived
    std::map<std::string, std::uint64_t> outcomes_; // number of requests by final outcome
    std::map<std::string, RequestPointer> openRequests_; // requests without a final outcome, by "team:id"
    HttpServer control_;
};

} // namespace mimosapier::standin
