// Client of the workers: carries out the operations of the decision logic, one result each.
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
    std::map<std::string, std::string> addressOverrides_; // "ip:port" of a worker -> "ip:port" to call instead
    Milliseconds timeout_{2000}; // of hold, start and stop; added to the wait of a poll
    std::size_t maxConnections_ = 4; // per worker, for operations other than polls
    std::size_t maxPolls_ = 2; // per worker; one waits while a renewed holder begins the next
    std::size_t maxOpenOperations_ = 65536; // operations without a result
};

class WorkerClient
{
public:
    using ResultSink = std::function<void(WorkerResult)>;

    // Parameters: settings, thread that serves the client, receiver of results, metrics or nullptr. All outlive it.
    WorkerClient(WorkerClientSettings settings, IoThread &thread, ResultSink sink, Metrics *metrics);
    WorkerClient(const WorkerClient &) = delete;
    WorkerClient &operator=(const WorkerClient &) = delete;
    ~WorkerClient();

    // Carries out a request; called on the client's thread. The sink gets exactly one result.
    void submit(WorkerRequest request);

private:
    struct State;
    std::shared_ptr<State> state_;
};

// Result of a call that ended with `answer`; the semantics are those of WorkerStatus.
WorkerResult workerResult(const WorkerRequest &request, const HttpResult &answer);

// Result of a call that was not made.
WorkerResult refusedResult(const WorkerRequest &request);

} // namespace mimosapier
