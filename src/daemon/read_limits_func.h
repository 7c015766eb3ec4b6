// Limits on what a daemon reads, from its settings: of clients, of the services that it calls, and of other daemons.
#pragma once

#include "core/message/event_type.h"
#include "daemon/settings_type.h"
#include "http/client_base.h"
#include "http/read_budget_base.h"
#include "http/server_base.h"

namespace mimosapier
{

struct ReadLimits
{
    HttpServerOptions clients_;
    HttpServerOptions readiness_; // server of the readiness check
    std::shared_ptr<ReadBudget> requests_; // of both servers
    std::shared_ptr<ReadBudget> responses_; // of the HTTP clients
    std::size_t peerBytes_ = 0; // of unfinished frames of all peers
    std::shared_ptr<HttpRefusalCounters> refusals_;
};

class IoThread;

// Log lines about refusals: at most one for each kind in an interval, so that refused clients cannot fill the log.
class RefusalReport
{
public:
    // Logs the new lines on `thread` at the end of each interval. The report and the counters must exist until the
    // thread has stopped.
    void start(IoThread &thread, const HttpRefusalCounters &counters);

    // Lines for the kinds that have grown since the last call.
    std::vector<LogLine> newLines(const HttpRefusalCounters &counters);

private:
    std::array<std::uint64_t, HttpRefusalCount> reported_{};
};

// Also reads the descriptor limit of the process if the settings do not give one.
ReadLimits readLimits(const Limits &limits);

} // namespace mimosapier
