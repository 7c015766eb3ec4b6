// HTTP interfaces of many simulated workers in one process. Runs on the thread that runs the io_context.
#pragma once

#include "http/server_base.h"
#include "standin/program_func.h"
#include "standin/worker_base.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace mimosapier::standin
{

// Settings: journal (file), control_address, workers: list of {id, address, milli_cpus, memory_mb, accelerators,
// slots}.
//
// On the control address: POST /v1/control {"worker","mode":"ok|fail|refuse","leaving":bool} changes one worker;
// GET /v1/stats: number of running tasks by worker.
class WorkerService
{
public:
    WorkerService(boost::asio::io_context &context, const Json &settings);
    // Binds the addresses of all workers and the control address and starts the timer. Returns false and prints the
    // error to stderr when an address cannot be bound.
    bool listen();

private:
    // Long poll that waits for a report.
    struct Poll
    {
        std::uint64_t epoch_ = 0;
        TimePoint waitUntil_;
        HttpResponder respond_;
        std::set<TaskKey> knownTasks_; // ended tasks that are not reported again
    };

    // Worker with its server and its open polls.
    struct Entry
    {
        std::string address_;
        std::unique_ptr<SimulatedWorker> worker_;
        std::list<Poll> polls_;
        std::unique_ptr<HttpServer> server_;
    };

    void handle(Entry &entry, const HttpRequest &request, const HttpResponder &respond);
    void control(const HttpRequest &request, const HttpResponder &respond);
    void answerPolls(Entry &entry, TimePoint now);
    void tick();

    std::string journalPath_;
    std::string controlAddress_;
    JournalFile journal_;
    std::vector<std::unique_ptr<Entry>> entries_;
    boost::asio::steady_timer timer_;
    HttpServer control_;
};

} // namespace mimosapier::standin
