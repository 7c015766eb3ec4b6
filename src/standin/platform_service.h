// Simulated platform of the users: its store, its runners and its policy service over HTTP, all on the thread that runs
// the io_context. Only this code and src/platform may contain the platform's own names.
#pragma once

#include "http/server_base.h"
#include "standin/kv_model.h"
#include "standin/program_func.h"
#include "standin/runner_model.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <list>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace mimosapier::standin
{

// Settings: store_address, policy_address (both "127.0.0.1:0"), runner_ip (127.0.0.1), runners (4), service ("s"),
// zone ("z"), milli_cpus (8000) and memory_mb (16384) of a runner, run_ms (50) of each task, page_items (500) in
// a page of the store's ranges, config (object, as the operator writes it).
class PlatformService
{
public:
    enum class StoreFault : std::uint8_t {
        None,
        Unavailable, // answers 503 and does not execute requests
        NoAnswer, // neither executes nor answers requests
        DropWriteAnswers, // executes transactions, then closes the connection without an answer
    };

    PlatformService(boost::asio::io_context &context, const Json &settings);
    // Binds all addresses, registers the runners in the store and starts the timer. Returns false and prints the error
    // to stderr when an address cannot be bound.
    bool listen();
    // Bound addresses, "IP:port"; valid after listen().
    [[nodiscard]] std::string storeAddress() const { return storeServer_.address(); }
    [[nodiscard]] std::string policyAddress() const { return policyServer_.address(); }

    // The functions below must be called on the thread that runs the io_context.
    void setStoreFault(StoreFault fault) { fault_ = fault; }
    // Writes the operator's configuration to the store.
    void writeConfig(const Json &config);
    // Number of started runs by task. Tests check that no task started twice or without a client's request.
    [[nodiscard]] std::map<StagedTask, std::size_t> starts() const;
    // Number of starts rejected for a missing or wrong ticket.
    [[nodiscard]] std::uint64_t rejectedTickets() const { return rejectedTickets_; }
    // Number of executed transactions, including those with a conflict.
    [[nodiscard]] std::uint64_t storeWrites() const { return storeWrites_; }

private:
    // Watch that waits for a change.
    struct Watch
    {
        KvCall call_;
        TimePoint sentAt_;
        HttpResponder respond_;
    };

    // Hold request that waits for the end of a run.
    struct Poll
    {
        RunnerCall call_;
        TimePoint waitUntil_;
        HttpResponder respond_;
    };

    // Time at which a started run ends.
    struct ScheduledEnd
    {
        TimePoint endsAt_;
        StagedTask task_;
        std::uint64_t run_ = 0;
    };

    struct RunnerEntry
    {
        RunnerModel model_;
        std::list<Poll> polls_;
        std::list<ScheduledEnd> scheduledEnds_; // ascending by time
        std::unique_ptr<HttpServer> server_;
    };

    void handleStore(const HttpRequest &request, const HttpResponder &respond);
    void answerStore(const KvCall &call, TimePoint sentAt, const HttpResponder &respond);
    void handleRunner(RunnerEntry &entry, const HttpRequest &request, const HttpResponder &respond);
    void handlePolicy(const HttpRequest &request, const HttpResponder &respond);
    void answerPolls(RunnerEntry &entry, TimePoint now);
    void endScheduledRuns(RunnerEntry &entry, TimePoint now);
    void answerWatches();
    void tick();
    [[nodiscard]] std::int64_t elapsedMs(TimePoint now) const;

    SystemClock clock_;
    TimePoint startedAt_ = clock_.now();
    Milliseconds runTime_{50}; // of every run
    Json config_;
    std::string service_;
    StoreFault fault_ = StoreFault::None;
    KvModel kv_;
    std::uint64_t lastWatchRevision_ = 0; // revision of the store at the latest check of the watches
    std::list<Watch> watches_;
    std::list<HttpResponder> unansweredRequests_; // kept open under StoreFault::NoAnswer
    std::vector<std::unique_ptr<RunnerEntry>> runners_;
    std::string runnerIp_;
    std::uint64_t rejectedTickets_ = 0; // starts without a ticket of the policy service
    std::uint64_t storeWrites_ = 0;
    bool requiresTickets_ = false; // a route of the configuration has a policy, so starts need a ticket
    std::string storeAddress_;
    std::string policyAddress_;
    boost::asio::steady_timer timer_;
    HttpServer storeServer_;
    HttpServer policyServer_;
};

} // namespace mimosapier::standin
