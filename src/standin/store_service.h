// The stand-in store's HTTP interface: simulated latency and rates, faults, call counters.
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
//   down          a share `ratio` (0) of the requests is answered 503, the others are never answered
//   slow          a share `ratio` (1) of the requests takes `ms` longer
//   lose-answers  a share `ratio` (1) of the writes is carried out, then the connection is dropped
// Leases go on lapsing during faults.
class StoreService
{
public:
    StoreService(boost::asio::io_context &context, const Json &settings);
    bool listen();
    [[nodiscard]] std::string address() const { return server_.address(); }

private:
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
    TimePoint nextReadAt_; // when the next read can begin
    TimePoint nextWriteAt_; // when the next write can begin
    FaultMode mode_ = FaultMode::Ok;
    Milliseconds faultDelay_{0};
    double faultRatio_ = 0;
    std::mt19937_64 random_;
    StoreData data_;
    std::uint64_t checkedRevision_ = 0; // of the store when the watches were last checked
    std::list<Watch> watches_;
    std::list<HttpResponder> unansweredRequests_; // requests that are never answered
    std::map<std::string, std::uint64_t> callCounts_; // by kind
    std::map<std::string, std::uint64_t> callCountsByPrefix_; // by kind and first part of the key
    std::uint64_t bytesIn_ = 0;
    boost::asio::steady_timer timer_;
    HttpServer server_;
};

} // namespace mimosapier::standin
