"""Settings like those of the pages' deployments; the figures are theirs (`../given/docs/BRIEF-wrenthread.md`, site files)."""

import copy


def category(name, objective_s, deadline_s, worth, effect):
    return {"name": name, "objective_us": int(objective_s * 1e6), "deadline_us": int(deadline_s * 1e6),
            "worth": worth, "effect": effect, "group": "all", "key_ttl_us": 5_000_000, "late_worth": 0.2}


GATE_PROD = {
    "categories": [category("plate-match", 2, 5, 3.0, "retryable"), category("space-count", 1, 2.5, 1.0, "retryable"),
                   category("exit-charge", 1.5, 5, 3.0, "fragile")],
    "extra": {"agents": 24, "bootstrap": 12, "by_zone": True, "channel_rate": 12900.0,
              "class_own_zone": [False, False, False], "cycle_us": 500_000, "ejects": 3, "first_wait": 1.0,
              "in_flight_max_us": 5_020_000, "lb_method": "wheel", "level_kind": "ratio",
              "messages_over_us": 10_000_000, "most_waiting": 25800.0, "one_owner": False, "order_price": 0.02,
              "per_message": 10.0, "reports_per_s": 600.0, "retry_default": 0, "shards": 0, "transit_us": 341_000,
              "unserved_max_us": 5_200_000, "update_cap": 30, "warm_keys": False, "worst_transit_us": 852_500,
              "writers": [False, False, True]},
    "family": "control", "kinds": ["two-core", "one-core"],
    "limits": {"conn_idle_us": 15_000_000, "connect_timeout_us": 250_000, "max_streams": 32, "may_tell": False,
               "probes": False},
    "membership_mode": "automatic", "my_number": 0,
    "penalties": {"connection": 0.02, "cross_zone": 0.08, "handshake": 0.04, "late_fail": 0.08, "waste": 0.03},
    "report": {"fields": ["queue", "latency_ms"], "how": "answers"},
    "rules": {"cold_from": 0.22, "drain_grace_us": 2_000_000, "fall_multiple": 2.5, "overload_for_us": 1_500_000,
              "warm_after_us": 18_000_000},
    "siblings": 1, "tick_us": 4000, "weight_kind": "nominal", "worth_by": "request", "zone": 0,
    "zones": ["kista", "solna", "akalla", "sundbyberg"],
}

LANDVETTER = {
    **GATE_PROD,
    "categories": [category("plate-lookup", 1.2, 3, 2.0, "retryable"), category("exit-charge", 0.75, 2.5, 6.0, "dedup")],
    "extra": {**GATE_PROD["extra"], "agents": 24, "bootstrap": 8, "by_zone": False, "channel_rate": 11000.0,
              "class_own_zone": [False, False], "lb_method": "lottery", "most_waiting": 11000.0, "per_message": 3.0,
              "reports_per_s": 1000.0, "retry_default": 1, "transit_us": 240_000, "update_cap": 12,
              "worst_transit_us": 600_000, "writers": [False, True]},
    "kinds": ["std-3core"],
    "rules": {"cold_from": 0.15, "drain_grace_us": 2_000_000, "fall_multiple": 2.5, "overload_for_us": 1_500_000,
              "warm_after_us": 16_000_000},
    "zones": ["molndal", "partille", "kungalv", "lerum"],
}

RADAR_TILES = {
    **GATE_PROD,
    "categories": [category("tile-fetch", 0.8, 2, 1.0, "retryable"), category("overlay-post", 1, 3, 2.0, "fragile")],
    "extra": {**GATE_PROD["extra"], "agents": 160, "bootstrap": 5, "channel_rate": 4500.0,
              "class_own_zone": [False, False], "cycle_us": 2_000_000, "first_wait": 0.8, "lb_method": "wheel",
              "most_waiting": 4500.0, "order_price": 0.04, "per_message": 6.0, "reports_per_s": 75.0,
              "retry_default": 1, "transit_us": 180_000, "update_cap": 20, "worst_transit_us": 450_000,
              "writers": [False, True]},
    "kinds": ["std-3c"],
    "penalties": {"connection": 0.02, "cross_zone": 0.01, "handshake": 0.02, "late_fail": 0.03, "waste": 0.03},
    "rules": {"cold_from": 0.17, "drain_grace_us": 3_000_000, "fall_multiple": 4.0, "overload_for_us": 3_000_000,
              "warm_after_us": 17_000_000},
    "weight_kind": "none",
    "zones": ["casa-1", "rabat-1"],
}


def settings(site, **extra):
    made = copy.deepcopy(site)
    made["extra"].update(extra)
    return made
