// Client of the platform: carries out calls to the store, the runners and the policy service, one reply each.
#pragma once

#include "core/message/kv_type.h"
#include "core/message/runner_type.h"

#include <functional>
#include <memory>
#include <string>

namespace mimosapier
{

class IoThread;

struct PlatformClientSettings
{
    std::string storeAddress_; // "ip:port"
    std::string policyAddress_; // "ip:port"; empty: no policy service
};

struct PlatformSinks
{
    std::function<void(KvReply)> kv_;
    std::function<void(RunnerReply)> runner_;
    std::function<void(PolicyAnswer)> policy_;
};

class PlatformClient
{
public:
    // Parameters: settings, thread that serves the client, receivers of replies, clock. All outlive it.
    PlatformClient(PlatformClientSettings settings, IoThread &thread, PlatformSinks sinks, const Clock &clock);
    PlatformClient(const PlatformClient &) = delete;
    PlatformClient &operator=(const PlatformClient &) = delete;
    ~PlatformClient();

    // Each carries out one call; the sink gets exactly one reply on the client's thread. Called on that thread.
    void submit(const KvCall &call);
    void submit(const RunnerCall &call);
    void submit(const PolicyQuery &query);

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace mimosapier
