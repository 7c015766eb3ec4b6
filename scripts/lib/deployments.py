"""The deployments that the scripts run: regions, delays, workers, classes, teams and load.

They follow the two deployments of the design page.
"""

import hashlib

KEY_PREFIX = "demo-key-"


def team_key(team, generation=1):
    """Returns the API key of a team's callers; each replacement of the key has the next generation."""
    return f"{KEY_PREFIX}{team}-{generation}"


def key_hash(key):
    return hashlib.sha256(key.encode()).hexdigest()


def load_stream(class_, rate, run_ms, milli_cpus, memory_mb, **options):
    """Returns a stream of requests in the format of standin-load's settings."""
    size = {"milli_cpus": milli_cpus, "memory_mb": memory_mb, "accelerators": 0}
    return {"class": class_, "rate": rate, "run_ms": run_ms, "size": size, **options}


HOLLINGS = {
    "regions": ["ben-lomond", "mt-field", "hobart"],
    "zone_ms": 1,
    "region_ms": 20,
    "client_ms": 3,
    "worker": {"milli_cpus": 64_000, "memory_mb": 256_000, "accelerators": 0, "slots": 8},
    "weights": {"waiting": 3, "packing": 1, "crossing": 1},
    "classes": {
        "slot-confirmation": {
            "mode": "interactive", "priority": "urgent", "idempotent": True, "deadline_ms": 800,
            "objective_ms": 100, "objective_ratio": 0.99,
        },
        "season-allocation": {
            "mode": "journaled", "priority": "batch", "idempotent": True, "deadline_ms": 60_000,
            "objective_ms": 5_000, "objective_ratio": 0.95, "may": ["throttle", "checkpoint", "stop"],
        },
        "group-rebalancing": {
            "mode": "gang", "priority": "normal", "idempotent": False, "deadline_ms": 60_000,
            "objective_ms": 2_000, "objective_ratio": 0.95,
        },
        "lesson-booking": {
            "mode": "service", "priority": "normal", "idempotent": True, "deadline_ms": 60_000,
            "objective_ms": 2_000, "objective_ratio": 0.95,
        },
    },
    "teams": ["counter", "season", "school", "races", "kids", "office"],
    "large": ["counter", "season"],
    "streams": [
        load_stream("slot-confirmation", 16, 60, 500, 512),
        load_stream("season-allocation", 2, 900, 4_000, 8_000, min_tasks=1, max_tasks=6, timeout_ms=4_000,
               cancel_ratio=0.03),
        load_stream("group-rebalancing", 0.7, 700, 2_000, 4_000, min_tasks=2, max_tasks=5, timeout_ms=4_000,
               idempotent=False),
        load_stream("lesson-booking", 0.1, 0, 1_000, 2_000, timeout_ms=4_000, service=True),
    ],
}

KURA = {
    "regions": ["midlands", "rhine", "kansai"],
    "zone_ms": 0.5,
    "region_ms": 20,
    "client_ms": 1,
    "worker": {"milli_cpus": 16_000, "memory_mb": 32_000, "accelerators": 0, "slots": 8},
    "weights": {"waiting": 1, "packing": 1, "crossing": 3},
    "classes": {
        "stock-check": {
            "mode": "interactive", "priority": "urgent", "idempotent": True, "deadline_ms": 1_000,
            "objective_ms": 150, "objective_ratio": 0.99,
        },
        "allocation-run": {
            "mode": "journaled", "priority": "batch", "idempotent": False, "deadline_ms": 60_000,
            "objective_ms": 5_000, "objective_ratio": 0.95,
        },
        "paperwork": {
            "mode": "journaled", "priority": "normal", "idempotent": True, "deadline_ms": 60_000,
            "objective_ms": 2_000, "objective_ratio": 0.95, "may": ["throttle", "checkpoint", "stop"],
        },
        "kura-orders": {
            "mode": "service", "priority": "normal", "idempotent": True, "deadline_ms": 60_000,
            "objective_ms": 2_000, "objective_ratio": 0.95,
        },
    },
    "teams": ["phone", "duty", "fushimi", "nada", "saijo", "export"],
    "large": ["phone", "duty"],
    "streams": [
        load_stream("stock-check", 12, 40, 250, 256),
        load_stream("allocation-run", 1, 1_000, 2_000, 4_000, min_tasks=1, max_tasks=4, timeout_ms=4_000,
               idempotent=False, cancel_ratio=0.03),
        load_stream("paperwork", 3, 300, 500, 1_000, timeout_ms=4_000),
        load_stream("kura-orders", 0.1, 0, 1_000, 2_000, timeout_ms=4_000, service=True),
    ],
}

DEPLOYMENTS = {"hollings": HOLLINGS, "kura": KURA}

LARGE_TEAM_FACTOR = 3  # load and share of a large team, relative to a small team
SMALL_TEAM_LIMIT = 60  # running tasks
LARGE_TEAM_LIMIT = 150


def make_bundle(deployment, limits=None, keys=None, variant=0):
    """Returns the configuration bundle as an object; daemons read its JSON text as YAML.

    `limits` and `keys` override the defaults by team. `variant` makes otherwise equal bundles differ.
    """
    teams = {}
    for index, team in enumerate(deployment["teams"]):
        large = team in deployment["large"]
        teams[team] = {
            "share": LARGE_TEAM_FACTOR if large else 1,
            "limit": (limits or {}).get(team, LARGE_TEAM_LIMIT if large else SMALL_TEAM_LIMIT),
            "home_region": home_region(deployment, index),
            "on_lowered_limit": "drain",
            "keys": [key_hash(key) for key in (keys or {}).get(team, [team_key(team)])],
        }
    weights = dict(deployment["weights"])
    weights["packing"] += variant / 1000
    return {
        "regions": {region: {"partitions": 1} for region in deployment["regions"]},
        "weights": weights,
        "classes": deployment["classes"],
        "teams": teams,
    }


def home_region(deployment, index):
    regions = deployment["regions"]
    return regions[index % len(regions)]


def accounts(deployment, rate_factor=1.0):
    """Returns the accounts of standin-load's settings, one for each team, each in its team's home region."""
    result = []
    for index, team in enumerate(deployment["teams"]):
        factor = rate_factor * (LARGE_TEAM_FACTOR if team in deployment["large"] else 1)
        streams = [dict(stream, rate=stream["rate"] * factor) for stream in deployment["streams"]]
        result.append(
            {"team": team, "key": team_key(team), "region": home_region(deployment, index), "streams": streams}
        )
    return result
