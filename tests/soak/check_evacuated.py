"""Checks the runners' journals against the rule that no task starts in an evacuated zone.

The rule holds from BOUND_S after the store has acknowledged the evacuation until its end; EXTENSION_S later where the store
rejected some daemons within the bound. While the store is down for all there is no bound: it is counted anew from the end of
such an outage that begins within it.
"""

import dataclasses

BOUND_S = 5.0
EXTENSION_S = 8.0
GUARDED_MIN_S = 3.0  # there are several starts a second


@dataclasses.dataclass
class Evacuation:
    zone: str
    begin: float  # acknowledgement by the store, on the clock of the journals
    end: float | None = None  # None: it was not ended


def deadline(begin, outages, rejections):
    """Returns the time from which no task may start; `outages` and `rejections` are pairs of begin and end."""
    rejected = any(start < begin + BOUND_S and end > begin for start, end in rejections)
    bound_s = BOUND_S + (EXTENSION_S if rejected else 0.0)
    until = begin + bound_s
    for start, end in sorted(outages):
        if start < until and end > begin:
            until = max(until, end + bound_s)
    return until


def check(events, zones, evacuations, outages, rejections):
    """Returns the starts that break the rule, and figures that show how much the journals can say.

    `zones` gives the zone of each runner; an end of None stands for the end of the run.
    """
    last = max((event["t"] for event in events), default=0.0)

    def closed(intervals):
        return [(begin, last if end is None else end) for begin, end in intervals]

    outages, rejections = closed(outages), closed(rejections)
    starts = [event for event in events if event["what"] == "start"]
    broken, guarded_s, elsewhere = [], 0.0, 0
    for evacuation in evacuations:
        begin = deadline(evacuation.begin, outages, rejections)
        end = last if evacuation.end is None else evacuation.end
        guarded_s += max(0.0, end - begin)
        for event in starts:
            if not begin <= event["t"] < end:
                continue
            if zones[event["runner"]] != evacuation.zone:
                elsewhere += 1
                continue
            broken.append(f"start in the evacuated zone {evacuation.zone}: {event['task']} run {event['run']} on {event['runner']} "
                          f"token {event['token']}, {event['t']:.3f}, {event['t'] - evacuation.begin:.3f} s after the "
                          f"acknowledgement and {event['t'] - begin:.3f} s after the bound")
    return broken, {"guarded_s": guarded_s, "elsewhere": elsewhere}


def missing_proof(figures, kinds):
    """Says what did not happen without which the evacuations show nothing; None if all did."""
    if "evacuate" not in figures["faults"]:
        return None
    if figures["guarded_s"] == 0 and "store-all" not in kinds:
        return "no evacuation outlasted its bound"
    if figures["guarded_s"] > GUARDED_MIN_S and figures["elsewhere"] == 0:
        return "nothing started in the other zones during an evacuation"
    return None
