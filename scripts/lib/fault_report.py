"""Table of goodput and waiting time before and during faults, and of the recovery time after each fault.

scripts/faults prints the table. Its column "back s" has the seconds from the end of the fault to recovery, "never"
when there is no recovery before the load ends, or "end" when the load ends too soon after the fault to tell.
"""

from check_journals import percentile

SECOND_NS = 1_000_000_000
RECOVERED_GOODPUT_RATIO = 0.95  # of the goodput before the faults
RECOVERED_STREAK_SECONDS = 3  # consecutive seconds with recovered goodput and waiting time
RECOVERED_WAIT_FACTOR = 2  # of the median waiting time before the faults
RECOVERED_WAIT_MARGIN_MS = 50


class RequestTimeline:
    """Groups requests by the second in which their first attempt was sent."""

    def __init__(self, requests, runs):
        self.requests_by_second = {}
        for request_key, request in requests.items():
            wait_ms = None
            if runs.get(request_key):
                wait_ms = (min(run.start for run in runs[request_key]) - request.first_sent) / 1e6
            succeeded = request.final is not None and request.final["outcome"] in ("done", "cancelled")
            self.requests_by_second.setdefault(request.first_sent // SECOND_NS, []).append((succeeded, wait_ms))

    def figures_between(self, begin, end):
        """Returns (number of requests, goodput, sorted waiting times in ms) from `begin` to `end` in nanoseconds.

        Goodput is the share of requests that ended as "done" or "cancelled".
        """
        selected = [
            item for second, requests in self.requests_by_second.items()
            if begin // SECOND_NS <= second <= end // SECOND_NS
            for item in requests
        ]
        waits = sorted(wait_ms for _, wait_ms in selected if wait_ms is not None)
        return len(selected), (sum(succeeded for succeeded, _ in selected) / len(selected) if selected else 0.0), waits

    def recovery_time(self, end, baseline):
        """Returns the seconds from the end of a fault to recovery, or "never" or "end", as text.

        Recovery is the first of RECOVERED_STREAK_SECONDS consecutive seconds with goodput and median waiting time
        close to the baseline; seconds without requests count as recovered.
        """
        _, baseline_goodput, baseline_waits = baseline
        baseline_median_ms = percentile(baseline_waits, 0.5) if baseline_waits else 0.0
        second = end // SECOND_NS
        last_second = max(self.requests_by_second, default=0)
        streak_seconds = 0
        while second <= last_second:
            count, goodput, waits = self.figures_between(second * SECOND_NS, second * SECOND_NS)
            recovered = count == 0 or (
                goodput >= RECOVERED_GOODPUT_RATIO * baseline_goodput
                and bool(waits)
                and percentile(waits, 0.5) <= RECOVERED_WAIT_FACTOR * baseline_median_ms + RECOVERED_WAIT_MARGIN_MS
            )
            streak_seconds = streak_seconds + 1 if recovered else 0
            if streak_seconds == RECOVERED_STREAK_SECONDS:
                return str(max(0, second - RECOVERED_STREAK_SECONDS + 1 - end // SECOND_NS))
            second += 1
        return "never" if last_second - end // SECOND_NS >= RECOVERED_STREAK_SECONDS else "end"


def table_row(name, begin, length, figures, recovery):
    count, goodput, waits = figures
    percentiles = [percentile(waits, fraction) for fraction in (0.5, 0.99, 1)] if waits else [float("nan")] * 3
    return (
        f"{name:<26}{begin:>8}{length:>8}{count:>7}{goodput:>8.1%}"
        + "".join(f"{v:>9.1f}" for v in percentiles) + f"{recovery:>8}"
    )


def recovery_table(timeline, faults, load_begin):
    """Returns the lines of the table. Faults are (names, begin, end) in nanoseconds."""
    first_fault_begin = min((begin for _, begin, _ in faults), default=load_begin + SECOND_NS)
    baseline = timeline.figures_between(load_begin + SECOND_NS, first_fault_begin - SECOND_NS)
    lines = [
        f"{'fault':<26}{'at s':>8}{'for s':>8}{'sent':>7}{'good':>8}{'p50 ms':>9}{'p99 ms':>9}{'max ms':>9}{'back s':>8}",
        table_row("before", "0.0", f"{(first_fault_begin - load_begin) / SECOND_NS:.1f}", baseline, ""),
    ]
    for names, begin, end in faults:
        lines.append(
            table_row(names, f"{(begin - load_begin) / SECOND_NS:.1f}", f"{(end - begin) / SECOND_NS:.1f}",
                      timeline.figures_between(begin, end), timeline.recovery_time(end, baseline))
        )
    return lines
