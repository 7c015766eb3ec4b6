// Tests of the limits that follow from the settings, and of the log lines about refusals.
#include "daemon/read_limits_func.h"
#include "http/json_func.h"

#include <criterion/criterion.h>

using namespace mimosapier;

static constexpr std::size_t Megabyte = 1'048'576;

// Guards against budgets that do not follow from the memory and descriptors of an instance.
Test(readLimits, followFromTheInstance)
{
    Limits limits;
    limits.memoryMb_ = 120;
    limits.maxDescriptors_ = 3'075;
    const ReadLimits small = readLimits(limits);
    cr_assert_eq(small.requests_->limit(), 15 * Megabyte);
    cr_assert_eq(small.responses_->limit(), 20 * Megabyte);
    cr_assert_eq(small.peerBytes_, 8 * Megabyte);
    cr_assert_eq(small.clients_.maxConnections_, 1'025U);
    limits.maxDescriptors_ = 10'250;
    cr_assert_eq(readLimits(limits).clients_.maxConnections_, 2'048U);
}

// Guards against a budget that refuses a single request within the limits.
Test(readLimits, budgetHasRoomForOneRequest)
{
    Limits limits;
    limits.readBudgetBytes_ = 1;
    const ReadLimits result = readLimits(limits);
    cr_assert(result.requests_->hasRoomForOpen(limits.maxBodyBytes_ + limits.maxHeaderBytes_));
}

// Guards against clients that fill the log, and against refusals that are not logged.
Test(readLimits, refusalsAreLoggedOncePerKind)
{
    HttpRefusalCounters counters;
    RefusalReport report;
    cr_assert(report.newLines(counters).empty());
    for (int i = 0; i < 1'000; ++i) {
        counters.add(HttpRefusal::TrailerBytes);
        counters.add(HttpRefusal::Budget);
    }
    const std::vector<LogLine> lines = report.newLines(counters);
    cr_assert_eq(lines.size(), 2U);
    Json line;
    std::string limit;
    std::uint64_t count = 0;
    cr_assert(parseJson(lines.front().text_, line) && readField(line, "limit", limit)
              && readField(line, "count", count));
    cr_assert(limit == "trailer-bytes" && count == 1'000);
    cr_assert(report.newLines(counters).empty());
}
