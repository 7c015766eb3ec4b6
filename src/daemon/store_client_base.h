// HTTP client of the store: carries out store operations for the decision thread and returns one result for each. It
// neither retries nor caches. Runs on one IoThread.
#pragma once

#include "core/message/store_type.h"
#include "http/client_base.h"

#include <functional>
#include <memory>
#include <string>

namespace mimosapier
{

class IoThread;
class Metrics;

struct StoreClientSettings
{
    std::string address_; // "ip:port"
    Milliseconds timeout_{2000}; // per operation; a watch gets its wait in addition
    std::size_t maxConnections_ = 8; // for operations other than leases and watches
    std::size_t maxLeaseConnections_ = 2;
    std::size_t maxWatches_ = 64; // each waiting watch occupies one connection
    std::size_t maxOpenOperations_ = 4096; // further operations get the result Unavailable at once
};

class StoreClient
{
public:
    using ResultSink = std::function<void(StoreResult)>;

    // The client runs on `thread` and calls `sink` there. `thread` and `metrics` must outlive it; `metrics` may be
    // nullptr.
    StoreClient(StoreClientSettings settings, IoThread &thread, ResultSink sink, Metrics *metrics);
    StoreClient(const StoreClient &) = delete;
    StoreClient &operator=(const StoreClient &) = delete;
    ~StoreClient();

    // Starts an operation; called on the client's thread. The sink gets exactly one result, possibly before the call
    // returns.
    void submit(StoreRequest request);

private:
    struct State;
    std::shared_ptr<State> state_;
};

// Result of an operation whose HTTP call ended with `answer`: Unavailable if it had no effect or only reads,
// Unknown if it may have taken effect.
StoreResult storeResult(const StoreRequest &request, const HttpResult &answer);

} // namespace mimosapier
