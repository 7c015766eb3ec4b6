// HTTP interface of the simulated store, with configurable latency, request rates and faults, and with call counters.
// Runs on the thread that runs the io_context.
#pragma once

#include "http/server_base.h"
#include "standin/program_func.h"
#include "standin/store_base.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace mimosapier::standin
{

// Settings: address, latency_ms (2), reads_per_second (2000), writes_per_second (500), seed (1).
//
// POST /v1/fault {"mode","ms","ratio"}:
//   ok            no fault
//   down          answers a fraction `ratio` (0) of the requests with 503 and leaves the others without an answer;
//                 executes no request that arrives
//   slow          delays a fraction `ratio` (1) of the requests by `ms`
//   lose-answers  executes all writes, but closes the connection of a fraction `ratio` (1) of them without an answer
// Leases also expire during faults. GET /v1/stats: counters of calls, keys and waiting watches.
class StoreService
{
public:
    StoreService(boost::asio::io_context &context, const Json &settings);
    // Binds the configured address and starts the timer. Returns false and prints the error to stderr when that fails.
    bool listen();
    // Bound address, "IP:port"; valid after listen().
    [[nodiscard]] std::string address() const { return server_.address(); }

private:
    // Watch that waits for a change.
    struct Watch
    {
        std::string prefix_;
        std::uint64_t afterRevision_ = 0;
        TimePoint waitUntil_;
        HttpResponder respond_;
    };

    enum class FaultMode : std::uint8_t { Ok, Down, Slow, LoseAnswers };

    void handle(const HttpRequest &request, const HttpResponder &respond);
    void setFault(const Json &body, const HttpResponder &respond);
    void execute(const std::string &operation, const Json &body, const HttpResponder &respond);
    Json write(const std::string &operation, const Json &body);
    [[nodiscard]] Json listing(std::string_view prefix) const;
    [[nodiscard]] Json stats() const;
    bool drawFault(double probability);
    Milliseconds reserveSlot(bool isWrite);
    void tick();
    void checkWatches();
    void leaveUnanswered(const HttpResponder &respond);

    boost::asio::io_context &context_;
    std::string configuredAddress_;
    Milliseconds latency_{2};
    double readsPerSecond_ = 2000;
    double writesPerSecond_ = 500;
    TimePoint nextReadAt_; // first free slot for a read
    TimePoint nextWriteAt_; // first free slot for a write
    FaultMode mode_ = FaultMode::Ok;
    Milliseconds faultDelay_{0}; // of FaultMode::Slow
    double faultRatio_ = 0; // fraction of requests; its meaning depends on mode_
    std::mt19937_64 random_;
    StoreData data_;
    std::uint64_t checkedRevision_ = 0; // revision of the store at the latest check of the watches; 0: check all
    std::list<Watch> watches_;
    std::list<HttpResponder> unansweredRequests_; // kept open under FaultMode::Down
    std::map<std::string, std::uint64_t> callCounts_; // by operation
    std::map<std::string, std::uint64_t> callCountsByPrefix_; // by operation and first part of the key
    std::uint64_t bytesIn_ = 0; // sum of the request bodies
    boost::asio::steady_timer timer_;
    HttpServer server_;
};

} // namespace mimosapier::standin
