"""Goodput and waiting time during faults, and how long after a fault they are back.

"back" is the number of seconds, "never" when they are not back before the load ends, "end" when the load ends too soon
after the fault to tell.
"""

from check_journals import percentile

SECOND = 1_000_000_000
BACK_RATIO = 0.95  # share of the goodput before the faults that counts as back
BACK_SECONDS = 3  # in a row
WAIT_FACTOR = 2  # median waiting time that counts as back, relative to the one before the faults
WAIT_MARGIN_MS = 50


class Buckets:
    """Requests by the second in which their first attempt was sent."""

    def __init__(self, requests, runs):
        self.seconds = {}
        for key, request in requests.items():
            waited = None
            if runs.get(key):
                waited = (min(run.start for run in runs[key]) - request.first_sent) / 1e6
            good = request.final is not None and request.final["outcome"] in ("done", "cancelled")
            self.seconds.setdefault(request.first_sent // SECOND, []).append((good, waited))

    def between(self, begin, end):
        """(number of requests, share that ended well, sorted waiting times) of a time in nanoseconds."""
        items = [
            item for second, found in self.seconds.items() if begin // SECOND <= second <= end // SECOND
            for item in found
        ]
        waits = sorted(waited for _, waited in items if waited is not None)
        return len(items), (sum(good for good, _ in items) / len(items) if items else 0.0), waits

    def back_after(self, end, before):
        """Seconds from the end of a fault until goodput and waiting time are back, as a text."""
        _, share, waits = before
        median = percentile(waits, 0.5) if waits else 0.0
        second = end // SECOND
        last = max(self.seconds, default=0)
        in_row = 0
        while second <= last:
            count, found, times = self.between(second * SECOND, second * SECOND)
            good = count == 0 or (
                found >= BACK_RATIO * share
                and bool(times) and percentile(times, 0.5) <= WAIT_FACTOR * median + WAIT_MARGIN_MS
            )
            in_row = in_row + 1 if good else 0
            if in_row == BACK_SECONDS:
                return str(max(0, second - BACK_SECONDS + 1 - end // SECOND))
            second += 1
        return "never" if last - end // SECOND >= BACK_SECONDS else "end"


def row(name, begin, length, figures, back):
    count, share, waits = figures
    shown = [percentile(waits, part) for part in (0.5, 0.99, 1)] if waits else [float("nan")] * 3
    return f"{name:<26}{begin:>8}{length:>8}{count:>7}{share:>8.1%}" + "".join(f"{v:>9.1f}" for v in shown) + f"{back:>8}"


def table(buckets, faults, load_begin):
    """Lines about the time before the faults and about each fault: (names, begin, end) in nanoseconds."""
    first = min((begin for _, begin, _ in faults), default=load_begin + SECOND)
    before = buckets.between(load_begin + SECOND, first - SECOND)
    lines = [
        f"{'fault':<26}{'at s':>8}{'for s':>8}{'sent':>7}{'good':>8}{'p50 ms':>9}{'p99 ms':>9}{'max ms':>9}{'back s':>8}",
        row("before", "0.0", f"{(first - load_begin) / SECOND:.1f}", before, ""),
    ]
    for names, begin, end in faults:
        lines.append(
            row(names, f"{(begin - load_begin) / SECOND:.1f}", f"{(end - begin) / SECOND:.1f}",
                buckets.between(begin, end), buckets.back_after(end, before))
        )
    return lines
