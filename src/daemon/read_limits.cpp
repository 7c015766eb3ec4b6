// Limits on what a daemon reads, see read_limits_func.h.
#include "daemon/read_limits_func.h"

#include "core/common/json_func.h"
#include "daemon/io_thread_base.h"
#include "daemon/log_func.h"

#include <sys/resource.h>

#include <algorithm>

namespace mimosapier
{

static constexpr std::uint64_t Megabyte = 1024 * 1024;
static constexpr std::uint64_t DefaultBudget = 64 * Megabyte; // where the memory of the instance is not known
// Shares of the memory. The rest is for the state of the daemon, copies of what was read, and the allocator.
static constexpr std::uint64_t RequestShare = 8;
static constexpr std::uint64_t ResponseShare = 6;
static constexpr std::uint64_t PeerShare = 16;
static constexpr std::uint64_t MinResponseBudget = 16 * Megabyte; // two responses of the longest kind
static constexpr std::uint64_t MinPeerBudget = 8 * Megabyte; // two frames of the longest kind
// A budget below this would refuse a single request at the limits: open requests may take half of it.
static constexpr std::uint64_t MinRequestsInBudget = 4;
// Part of the descriptors for clients. The largest instances call 350 runners on 5 connections each, and need the rest.
static constexpr std::uint64_t ClientDescriptorShare = 3;
static constexpr std::uint64_t MinConnections = 16;
static constexpr Milliseconds RefusalReportInterval{10'000};
static constexpr std::size_t MaxReadinessConnections = 64;
static constexpr std::size_t MaxReadinessBodyBytes = 16 * 1024;

static std::uint64_t shareOfMemory(const Limits &limits, std::uint64_t share)
{
    return limits.memoryMb_ == 0 ? DefaultBudget : limits.memoryMb_ * Megabyte / share;
}

static std::uint64_t descriptors(const Limits &limits)
{
    rlimit system{};
    if (limits.maxDescriptors_ != 0) {
        return limits.maxDescriptors_;
    }
    return getrlimit(RLIMIT_NOFILE, &system) == 0 ? system.rlim_cur : RLIM_INFINITY;
}

ReadLimits readLimits(const Limits &limits)
{
    ReadLimits result;
    const std::uint64_t budget
        = limits.readBudgetBytes_ != 0 ? limits.readBudgetBytes_ : shareOfMemory(limits, RequestShare);
    const std::uint64_t oneRequest = limits.maxBodyBytes_ + 2 * limits.maxHeaderBytes_;
    result.requests_ = std::make_shared<ReadBudget>(std::max(budget, MinRequestsInBudget * oneRequest));
    result.responses_ = std::make_shared<ReadBudget>(std::max(shareOfMemory(limits, ResponseShare), MinResponseBudget));
    result.peerBytes_ = std::max(shareOfMemory(limits, PeerShare), MinPeerBudget);
    result.refusals_ = std::make_shared<HttpRefusalCounters>();

    HttpServerOptions &clients = result.clients_;
    clients.maxStartLineBytes_ = limits.maxRequestLineBytes_;
    clients.maxHeaderBytes_ = limits.maxHeaderBytes_;
    clients.maxFields_ = limits.maxHeaderFields_;
    clients.maxTrailerBytes_ = limits.maxTrailerBytes_;
    clients.maxChunkLineBytes_ = limits.maxChunkLineBytes_;
    clients.maxChunkOverheadBytes_ = limits.maxChunkOverheadBytes_;
    clients.maxBodyBytes_ = limits.maxBodyBytes_;
    clients.maxConnections_
        = std::min(limits.maxConnections_, std::max(descriptors(limits) / ClientDescriptorShare, MinConnections));
    clients.maxOpenPerConnection_ = limits.maxPipelined_;
    clients.idleTimeout_ = Milliseconds(limits.idleMs_);
    clients.requestTimeout_ = Milliseconds(limits.requestMs_);
    clients.minBytesPerSecond_ = limits.minBytesPerS_;
    clients.writeTimeout_ = Milliseconds(limits.writeMs_);
    clients.budget_ = result.requests_;
    clients.refusals_ = result.refusals_;

    result.readiness_ = clients;
    result.readiness_.budget_ = nullptr; // clients that use the budget up must not make the daemon look unready
    result.readiness_.maxConnections_ = std::min(clients.maxConnections_, MaxReadinessConnections);
    result.readiness_.maxBodyBytes_ = std::min(clients.maxBodyBytes_, MaxReadinessBodyBytes);
    return result;
}

void RefusalReport::start(IoThread &thread, const HttpRefusalCounters &counters)
{
    thread.postAfter(RefusalReportInterval, [this, &thread, &counters] {
        const std::vector<LogLine> lines = newLines(counters);
        writeStructuredLog(lines);
        start(thread, counters);
    });
}

std::vector<LogLine> RefusalReport::newLines(const HttpRefusalCounters &counters)
{
    std::vector<LogLine> lines;
    for (std::size_t i = 0; i < HttpRefusalCount; ++i) {
        const auto kind = static_cast<HttpRefusal>(i);
        const std::uint64_t count = counters.count(kind);
        if (count > reported_.at(i)) {
            JsonObject line;
            line.text("event", "clients-refused").text("limit", httpRefusalName(kind));
            line.number("count", static_cast<std::int64_t>(count - reported_.at(i)));
            line.number("total", static_cast<std::int64_t>(count));
            lines.push_back({LogLevel::Warning, line.finish()});
            reported_.at(i) = count;
        }
    }
    return lines;
}

} // namespace mimosapier
