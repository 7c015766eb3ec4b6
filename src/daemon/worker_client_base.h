// HTTP client of the workers: carries out worker operations for the decision thread and returns one result for each. It
// does not retry. Runs on one IoThread.
#pragma once

#include "core/message/worker_type.h"
#include "http/client_base.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace mimosapier
{

class IoThread;
class Metrics;

struct WorkerClientSettings
{
    std::map<std::string, std::string> addressOverrides_; // listed "ip:port" of a worker -> "ip:port" to call instead
    Milliseconds timeout_{2000}; // per operation; a poll gets its wait in addition
    std::size_t maxConnections_ = 4; // per worker, for operations other than polls
    std::size_t maxPolls_ = 2; // per worker; one poll may still wait when a renewed holder starts the next
    std::size_t maxOpenOperations_ = 65536; // further operations get the result Refused at once
};

class WorkerClient
{
public:
    using ResultSink = std::function<void(WorkerResult)>;

    // The client runs on `thread` and calls `sink` there. `thread` and `metrics` must outlive it; `metrics` may be
    // nullptr.
    WorkerClient(WorkerClientSettings settings, IoThread &thread, ResultSink sink, Metrics *metrics);
    WorkerClient(const WorkerClient &) = delete;
    WorkerClient &operator=(const WorkerClient &) = delete;
    ~WorkerClient();

    // Starts an operation; called on the client's thread. The sink gets exactly one result, possibly before the call
    // returns.
    void submit(WorkerRequest request);

private:
    struct State;
    std::shared_ptr<State> state_;
};

// Result of an operation whose HTTP call ended with `answer`: Refused only if the operation had no effect,
// Unknown if it may have had one.
WorkerResult workerResult(const WorkerRequest &request, const HttpResult &answer);

// Result of an operation that was not sent.
WorkerResult refusedResult(const WorkerRequest &request);

} // namespace mimosapier
