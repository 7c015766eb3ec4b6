// HTTP interface of many stand-in workers in one process.
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
// POST /v1/control on the control address {"worker","mode":"ok|fail|refuse","leaving":bool}; GET /v1/stats there.
class WorkerService
{
public:
    WorkerService(boost::asio::io_context &context, const Json &settings);
    bool listen();

private:
    struct Poll
    {
        std::uint64_t epoch_ = 0;
        TimePoint waitUntil_;
        HttpResponder respond_;
        std::set<TaskKey> knownTasks_; // not reported again
    };

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
