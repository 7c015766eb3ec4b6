// Reads the platform's instance list at a fixed interval. The server answers 304 while the list has the entity tag of
// the last one read; the receiver is then not called.
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

// Parses the answer of GET /v1/instances. Returns false when it is malformed.
bool decodeInstances(std::string_view body, InstanceSnapshot &snapshot);

class InstancePoller
{
public:
    using SnapshotSink = std::function<void(InstanceSnapshot)>;

    // Parameters: "ip:port" of the list, interval, thread that serves the poller, receiver. Thread and receiver
    // outlive it.
    InstancePoller(std::string address, Milliseconds interval, IoThread &thread, SnapshotSink sink);
    InstancePoller(const InstancePoller &) = delete;
    InstancePoller &operator=(const InstancePoller &) = delete;
    ~InstancePoller();

    // Called on the poller's thread.
    void start();

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace mimosapier
