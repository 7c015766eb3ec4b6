"""Control cost during a run: processor time and memory of the daemons, store calls, traffic between regions."""

import os
import time

from processes import try_call

TICKS = os.sysconf("SC_CLK_TCK")


def processor_seconds(pid):
    """Processor time of a process so far; 0 when it has ended."""
    try:
        with open(f"/proc/{pid}/stat", encoding="ascii") as file:
            fields = file.read().rsplit(")", 1)[1].split()
    except OSError:
        return 0.0
    return (int(fields[11]) + int(fields[12])) / TICKS


def memory_mb(pid):
    """Resident memory of a process; 0 when it has ended."""
    try:
        with open(f"/proc/{pid}/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
    except OSError:
        return 0.0


class Usage:
    """Measures from its creation to lines()."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.started = time.monotonic()
        self.processor = {name: processor_seconds(p.process.pid) for name, p in cluster.daemons.items()}
        self.calls = self._calls()
        self.bytes = self._bytes()

    def _calls(self):
        stats = try_call(self.cluster.store, "/v1/stats")[1] or {}
        return stats.get("calls", {})

    def _bytes(self):
        """Payload bytes between daemons of different regions, and from daemons to workers elsewhere and the store."""
        links = (try_call(self.cluster.link_control, "/v1/stats")[1] or {}).get("links", {})
        total = 0
        for name, counted in links.items():
            source, target = name.split(">")
            if not source.startswith("client-") and target.split("/")[0] != source:
                total += counted["out"] + counted["back"]
        return total

    def lines(self):
        seconds = time.monotonic() - self.started
        calls = self._calls()
        rates = " ".join(f"{kind} {(count - self.calls.get(kind, 0)) / seconds:.1f}" for kind, count in calls.items())
        cores = [
            (processor_seconds(p.process.pid) - self.processor.get(name, 0)) / seconds
            for name, p in self.cluster.daemons.items()
        ]
        memory = [memory_mb(p.process.pid) for p in self.cluster.daemons.values()]
        crossing = (self._bytes() - self.bytes) / seconds / 1000
        return [
            f"store calls per second: {rates}",
            f"daemons: processor {max(cores) * 100:.1f}% of a core at most, memory {max(memory):.0f} MB at most",
            f"traffic between regions without callers: {crossing:.1f} KB/s",
        ]
