// Polls the platform's instance list over HTTP and passes each new list to the decision thread. A conditional request
// with the entity tag of the last valid list avoids parsing an unchanged one; the receiver is not called then. Runs on
// one IoThread.
#pragma once

#include "core/common/instance_type.h"
#include "http/client_base.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace mimosapier
{

class IoThread;

// Parses the answer to GET /v1/instances; rows of other kinds than "worker" are left out. Returns false and leaves
// `snapshot` unchanged if any row is malformed.
bool decodeInstances(std::string_view body, InstanceSnapshot &snapshot);

class InstancePoller
{
public:
    using SnapshotSink = std::function<void(InstanceSnapshot)>;

    // `address` is the "ip:port" of the list, `interval` the pause between an answer and the next request. The poller
    // runs on `thread`, which must outlive it, and calls `sink` there.
    InstancePoller(std::string address, Milliseconds interval, IoThread &thread, SnapshotSink sink);
    InstancePoller(const InstancePoller &) = delete;
    InstancePoller &operator=(const InstancePoller &) = delete;
    ~InstancePoller();

    // Starts to poll. Called once, on the poller's thread.
    void start();

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace mimosapier
