"""Measures the control cost of a run: processor time and memory of daemons, store calls, traffic between regions.

Used by scripts/demo and scripts/capacity.
"""

import os
import time

from processes import try_http_call

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def processor_seconds(pid):
    """Returns the processor time of a process (user and system), or 0 after its exit."""
    try:
        with open(f"/proc/{pid}/stat", encoding="ascii") as file:
            fields = file.read().rsplit(")", 1)[1].split()
    except OSError:
        return 0.0
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def memory_mb(pid):
    """Returns the resident memory of a process, or 0 after its exit."""
    try:
        with open(f"/proc/{pid}/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
    except OSError:
        return 0.0


class UsageMeter:
    """Measures the cost from its creation to report_lines()."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.start_time = time.monotonic()
        self.processor_before = {name: processor_seconds(p.popen.pid) for name, p in cluster.daemons.items()}
        self.calls_before = self._store_calls()
        self.bytes_before = self._cross_region_bytes()

    def _store_calls(self):
        stats = try_http_call(self.cluster.store, "/v1/stats")[1] or {}
        return stats.get("calls", {})

    def _cross_region_bytes(self):
        """Returns the payload bytes of daemons to and from daemons, workers, store and instance list elsewhere."""
        links = (try_http_call(self.cluster.link_control, "/v1/stats")[1] or {}).get("links", {})
        total = 0
        for name, traffic in links.items():
            source, target = name.split(">")
            if not source.startswith("client-") and target.split("/")[0] != source:
                total += traffic["out"] + traffic["back"]
        return total

    def report_lines(self):
        seconds = time.monotonic() - self.start_time
        calls = self._store_calls()
        rates = " ".join(
            f"{kind} {(count - self.calls_before.get(kind, 0)) / seconds:.1f}" for kind, count in calls.items()
        )
        cores = [
            (processor_seconds(p.popen.pid) - self.processor_before.get(name, 0)) / seconds
            for name, p in self.cluster.daemons.items()
        ]
        memory = [memory_mb(p.popen.pid) for p in self.cluster.daemons.values()]
        cross_region_rate = (self._cross_region_bytes() - self.bytes_before) / seconds / 1000
        return [
            f"store calls per second: {rates}",
            f"daemons: processor {max(cores) * 100:.1f}% of a core at most, memory {max(memory):.0f} MB at most",
            f"traffic between regions, excluding callers: {cross_region_rate:.1f} KB/s",
        ]
