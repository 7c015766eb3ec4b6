// Tests of the shift by past use in the trace of a job.
#include "ctl/ctl_internal.h"

#include <criterion/criterion.h>

#include <sstream>

using namespace mimosapier;

// Job aa waits while its account is shifted, and its start names a smaller shift. Job cc has not started. Job dd is of
// another account.
static const std::string PastUseTrace
    = R"({"time":"2026-01-08 12:00:00.000","level":"INFO","event":"submit","job":"00000000000000aa","account":"a","queue":"q","objective_ms":900}
{"time":"2026-01-08 12:00:00.010","level":"INFO","event":"accepted","job":"00000000000000aa"}
{"time":"2026-01-08 12:00:01.000","level":"INFO","event":"past-use","accounts":2,"top":[{"account":"a","core_s":9,"factor":0.1,"shift_ms":1500},7]}
{"time":"2026-01-08 12:00:01.200","level":"INFO","event":"submit","job":"00000000000000dd","account":"b","queue":"q","objective_ms":900}
{"time":"2026-01-08 12:00:01.500","level":"INFO","event":"start","task":"00000000000000aa.0.0.0","run":1,"runner":"r1","past_use_shift_ms":400}
{"time":"2026-01-08 12:00:02.000","level":"INFO","event":"submit","job":"00000000000000cc","account":"a","queue":"q","objective_ms":900}
{"time":"2026-01-08 12:00:11.000","level":"INFO","event":"past-use","accounts":2,"top":[{"account":"a","core_s":9,"factor":0.2,"shift_ms":1200}]}
{"time":"2026-01-08 12:00:12.000","level":"INFO","event":"past-use","accounts":0,"top":"none"}
)";

// Guards against a trace that does not say why a job waited behind others with later objectives.
Test(trace_past_use, theLargestShiftWhileTheJobWaitedIsShown)
{
    std::istringstream input(PastUseTrace);
    TraceLog log;
    readTraceLog(input, log);
    const std::vector<JobTrace> traces = traceJobs(log);
    cr_assert_eq(traces.size(), 3U);
    cr_assert_eq(traces[0].pastUseShiftMs_, 1'500);
    cr_assert_eq(traces[1].pastUseShiftMs_, 1'200, "the job that has not started");
    cr_assert_eq(traces[2].pastUseShiftMs_, 0, "the job of another account");
}
