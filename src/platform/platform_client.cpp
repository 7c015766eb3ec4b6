// HTTP client of the platform.
#include "platform/platform_client_base.h"

#include "daemon/io_thread_base.h"
#include "http/client_base.h"
#include "platform/platform_codec_func.h"

namespace mimosapier
{

// Per runner; a runner accepts 64 connections in total. One of the five waits in a hold, the others carry the starts of
// a gang.
static constexpr std::size_t RunnerConnections = 5;
static constexpr std::size_t StoreConnections
    = 24; // three watches, lease renewals, two lanes, spares for hanging calls
static constexpr std::size_t PolicyConnections = 4; // the service handles one call per instance at a time
static constexpr Milliseconds ConnectTimeout{600};

struct PlatformClient::State
{
    State(PlatformClientSettings settings, IoThread &thread, PlatformSinks sinks, const Clock &clock)
        : settings_(std::move(settings))
        , sinks_(std::move(sinks))
        , clock_(clock)
        , store_(thread.context(), options(StoreConnections, settings_))
        , runners_(thread.context(), options(RunnerConnections, settings_))
        , policy_(thread.context(), options(PolicyConnections, settings_))
    {
    }

    static HttpClientOptions options(std::size_t connections, const PlatformClientSettings &settings)
    {
        HttpClientOptions options;
        options.connectTimeout_ = ConnectTimeout;
        options.maxConnections_ = connections;
        options.budget_ = settings.responses_;
        return options;
    }

    PlatformClientSettings settings_;
    PlatformSinks sinks_;
    const Clock &clock_;
    HttpClient store_;
    HttpClient runners_;
    HttpClient policy_;
};

PlatformClient::PlatformClient(PlatformClientSettings settings, IoThread &thread, PlatformSinks sinks,
                               const Clock &clock)
    : state_(std::make_shared<State>(std::move(settings), thread, std::move(sinks), clock))
{
}

PlatformClient::~PlatformClient() = default;

void PlatformClient::submit(const KvCall &call)
{
    KvReply reply;
    reply.id_ = call.id_;
    reply.purpose_ = call.purpose_;
    reply.lane_ = call.lane_;
    reply.sentAt_ = state_->clock_.now();
    state_->store_.send(state_->settings_.storeAddress_, encodeKvCall(call), call.wait_ + call.timeout_,
                        [state = state_, call, reply](const HttpResult &result) mutable {
                            if (result.delivery_ == HttpDelivery::Answered) {
                                decodeKvReply(call, result.status_, result.body_, reply);
                            } else {
                                reply.status_
                                    = result.delivery_ == HttpDelivery::NotSent ? KvStatus::NotDone : KvStatus::Unknown;
                            }
                            state->sinks_.kv_(std::move(reply));
                        });
}

void PlatformClient::submit(const RunnerCall &call)
{
    RunnerReply reply;
    reply.id_ = call.id_;
    reply.op_ = call.op_;
    reply.runner_ = call.runner_;
    reply.task_ = call.task_;
    reply.run_ = call.run_;
    reply.sentAt_ = state_->clock_.now();
    state_->runners_.send(call.address_, encodeRunnerCall(call), call.wait_ + call.timeout_,
                          [state = state_, call, reply](const HttpResult &result) mutable {
                              if (result.delivery_ == HttpDelivery::Answered) {
                                  decodeRunnerReply(call, result.status_, result.body_, reply);
                              } else if (result.delivery_ == HttpDelivery::NotSent) {
                                  reply.status_ = RunnerStatus::NotSent;
                              }
                              state->sinks_.runner_(std::move(reply));
                          });
}

void PlatformClient::submit(const PolicyQuery &query)
{
    PolicyAnswer answer;
    answer.call_ = query.call_;
    if (state_->settings_.policyAddress_.empty()) {
        state_->sinks_.policy_(std::move(answer));
        return;
    }
    state_->policy_.send(state_->settings_.policyAddress_, encodePolicyQuery(query), query.timeout_,
                         [state = state_, answer](const HttpResult &result) mutable {
                             if (result.delivery_ == HttpDelivery::Answered) {
                                 decodePolicyAnswer(result.status_, result.body_, answer);
                             }
                             state->sinks_.policy_(std::move(answer));
                         });
}

} // namespace mimosapier
