// HTTP client of the platform: carries out calls to the store, the runners and the policy service for the decision
// thread and returns one reply for each. It does not retry. Runs on one IoThread.
#pragma once

#include "core/message/kv_type.h"
#include "core/message/runner_type.h"

#include <functional>
#include <memory>
#include <string>

namespace mimosapier
{

class IoThread;
class ReadBudget;

struct PlatformClientSettings
{
    std::string storeAddress_; // "ip:port"
    std::string policyAddress_; // "ip:port"; empty: no policy service, and each query gets an answer without result
    std::shared_ptr<ReadBudget> responses_{}; // of the bytes of unfinished responses; null: no common limit
};

// Receivers of the replies. Called on the client's thread.
struct PlatformSinks
{
    std::function<void(KvReply)> kv_;
    std::function<void(RunnerReply)> runner_;
    std::function<void(PolicyAnswer)> policy_;
};

class PlatformClient
{
public:
    // The client runs on `thread`. `thread` and `clock` must outlive it.
    PlatformClient(PlatformClientSettings settings, IoThread &thread, PlatformSinks sinks, const Clock &clock);
    PlatformClient(const PlatformClient &) = delete;
    PlatformClient &operator=(const PlatformClient &) = delete;
    ~PlatformClient();

    // Each starts one call and must be called on the client's thread. The matching sink gets exactly one reply, for a
    // policy query possibly before submit() returns.
    void submit(const KvCall &call);
    void submit(const RunnerCall &call);
    void submit(const PolicyQuery &query);

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace mimosapier
