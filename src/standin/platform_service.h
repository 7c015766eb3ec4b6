// Stand-in of the users' platform: its store, its runners and its policy service over HTTP, on one event loop. Apart
// from src/platform this is the only code that spells the platform's names.
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
// zone ("z"), milli_cpus (8000) and memory_mb (16384) of a runner, run_ms (50) of each task, config (object, as the
// operator writes it).
class PlatformService
{
public:
    enum class StoreFault : std::uint8_t {
        None,
        Unavailable, // 503: nothing is done
        NoAnswer, // carries nothing out and does not answer
        DropWriteAnswers, // carries writes out and does not answer them
    };

    PlatformService(boost::asio::io_context &context, const Json &settings);
    bool listen();
    [[nodiscard]] std::string storeAddress() const { return storeServer_.address(); }
    [[nodiscard]] std::string policyAddress() const { return policyServer_.address(); }

    // The functions below are called on the thread of the event loop.
    void setStoreFault(StoreFault fault) { fault_ = fault; }
    void writeConfig(const Json &config);
    // Runs that began, by task; tests check that no task began twice or without a client's request.
    [[nodiscard]] std::map<StagedTask, std::size_t> starts() const;
    [[nodiscard]] std::uint64_t rejectedTickets() const { return rejectedTickets_; }
    [[nodiscard]] std::uint64_t storeWrites() const { return storeWrites_; }

private:
    struct Watch
    {
        KvCall call_;
        TimePoint sentAt_;
        HttpResponder respond_;
    };

    struct Poll
    {
        RunnerCall call_;
        TimePoint waitUntil_;
        HttpResponder respond_;
    };

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
    Milliseconds runTime_{50};
    Json config_;
    std::string service_;
    StoreFault fault_ = StoreFault::None;
    KvModel kv_;
    std::uint64_t lastWatchRevision_ = 0; // of the store when the watches were last answered
    std::list<Watch> watches_;
    std::list<HttpResponder> unansweredRequests_; // requests that a silent store keeps
    std::vector<std::unique_ptr<RunnerEntry>> runners_;
    std::string runnerIp_;
    std::uint64_t rejectedTickets_ = 0; // starts without the ticket of the policy service
    std::uint64_t storeWrites_ = 0;
    bool requiresTickets_ = false; // the configuration has a queue with a policy
    std::string storeAddress_;
    std::string policyAddress_;
    boost::asio::steady_timer timer_;
    HttpServer storeServer_;
    HttpServer policyServer_;
};

} // namespace mimosapier::standin
