// Client of the platform's store: carries out the operations of the decision logic, one result each.
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
    Milliseconds timeout_{2000}; // of an operation; added to the wait of a watch
    std::size_t maxConnections_ = 8; // for operations other than those on leases and watches
    std::size_t maxLeaseConnections_ = 2;
    std::size_t maxWatches_ = 64; // each watch has a connection of its own while it waits
    std::size_t maxOpenOperations_ = 4096; // operations without a result
};

class StoreClient
{
public:
    using ResultSink = std::function<void(StoreResult)>;

    // Parameters: settings, thread that serves the client, receiver of results, metrics or nullptr. All outlive it.
    StoreClient(StoreClientSettings settings, IoThread &thread, ResultSink sink, Metrics *metrics);
    StoreClient(const StoreClient &) = delete;
    StoreClient &operator=(const StoreClient &) = delete;
    ~StoreClient();

    // Carries out a request; called on the client's thread. The sink gets exactly one result.
    void submit(StoreRequest request);

private:
    struct State;
    std::shared_ptr<State> state_;
};

// Result of a call that ended with `answer`; the semantics are those of StoreStatus.
StoreResult storeResult(const StoreRequest &request, const HttpResult &answer);

} // namespace mimosapier
