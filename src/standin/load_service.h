// Caller load: open-loop arrivals, a load balancer's choice of entries, repeats, waiting for outcomes, cancellations.
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

struct LoadRequest
{
    LoadAccount *account_ = nullptr;
    const LoadStream *stream_ = nullptr;
    std::string id_;
    Json body_; // of POST /v1/jobs
    std::uint32_t attempt_ = 1; // number of the current or last attempt
    std::size_t sendCount_ = 0; // attempts including those that could not be sent
    std::size_t entry_ = 0; // index of the entry last used
    std::string firstRegion_; // of the entry of first contact
    bool accepted_ = false;
    bool isFinal_ = false;
    bool cancelRequested_ = false;
};

// Settings: see readPlan().
//
// POST /v1/control {"cancel_ratio":r} cancels a share of the open accepted jobs; {"team","key"} changes the key a team
// presents; {"declared_factor":f} scales the declared run times from now on. GET /v1/stats: counts by outcome.
class LoadService
{
public:
    LoadService(boost::asio::io_context &context, const Json &settings);
    bool listen();

private:
    using RequestPointer = std::shared_ptr<LoadRequest>;

    // load.cpp: arrivals, entries, control, end
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

    // load_request.cpp: the life of one request
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
    bool planValid_ = false;
    JournalFile journal_;
    HttpClient client_;
    std::mt19937_64 random_; // choices other than arrivals
    double declaredFactor_ = 1;
    double retryBudget_ = 10; // repeats that may be made now
    bool arrivalsActive_ = true;
    bool loadEnded_ = false;
    TimePoint drainEnd_;
    std::uint64_t lastRequest_ = 0;
    std::uint64_t requestCount_ = 0; // requests
    std::map<std::string, std::uint64_t> outcomes_; // of requests
    std::map<std::string, RequestPointer> openRequests_; // requests without a final outcome, by team and id
    HttpServer control_;
};

} // namespace mimosapier::standin
