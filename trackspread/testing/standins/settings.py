"""Builds the platform's settings in their nested form for stand-ins, tests and benchmarks."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

SECOND = 1_000_000_000


def class_settings(
    name: str,
    idempotency: str,
    deduplication_scope: str,
    latency_objective_ns: int,
    deadline_ns: int,
    deduplication_window_ns: int,
    priority_weight: float = 3.0,
) -> dict[str, Any]:
    """Returns the settings of one class; `idempotency` is free, guarded or single_shot."""
    return {
        "name": name,
        "aim": latency_objective_ns,
        "deadline": deadline_ns,
        "points": priority_weight,
        "lateWorth": 0.0,
        "idempotency": idempotency,
        "group": deduplication_scope,
        "window": deduplication_window_ns,
    }


def plan_settings(
    name: str,
    rate_per_s: float,
    burst_units: float,
    hard_limit: tuple[float, float, float] = (0.0, 0.0, 0.0),
    price: float = 1.0,
    excess_cost: float = 1.0,
) -> dict[str, Any]:
    """Returns the settings of one plan.

    `hard_limit` has the rate (units/s), the burst (units) and the slack (units), by which the bucket may be
    overdrawn. `excess_cost` is what a unit forwarded beyond the quota costs, as a multiple of the unit's
    priority weight.
    """
    return {
        "name": name,
        "quotaRate": rate_per_s,
        "mostAtOnce": burst_units,
        "parallel": 0,
        "worthFactor": price,
        "beyondEarns": 0.0,
        "excessCost": excess_cost,
        "ceilingRate": hard_limit[0],
        "hardBurst": hard_limit[1],
        "ceilingSlack": hard_limit[2],
    }


def nested_settings(
    classes: Sequence[dict[str, Any]],
    plans: Sequence[dict[str, Any]],
    position: int,
    gateways: int,
    zones: Sequence[str] = ("a", "b"),
    kinds: Sequence[str] = ("m1", "m2"),
    report: Sequence[str] = ("util", "latency_ms", "inflight"),
) -> dict[str, Any]:
    """Returns the object that the platform sends under `settings`; times are in ns."""
    return {
        "classes": list(classes),
        "packages": list(plans),
        "zones": list(zones),
        "kinds": list(kinds),
        "zone": 0,
        "position": position,
        "replicasOfMe": gateways,
        "report": {"how": "answers", "names": list(report)},
        "limits": {
            "maxAttempts": 4,
            "secondCopies": True,
            "cancel": True,
            "probes": True,
            "peerMessages": True,
            "retryAfter": True,
            "maxRetryAfter": SECOND,
            "connectTimeout": SECOND // 4,
            "connIdle": 30 * SECOND,
        },
        "familyInfo": {"counter": False, "usePeriod": 0, "largest": 1, "mailPerS": 40.0, "truedUp": False},
        "rules": {
            "askWithin": 10 * SECOND,
            "drainGrace": SECOND,
            "fall": 3 * SECOND,
            "fallMultiple": 3.0,
            "startCapacity": 0.23,
            "warmUp": 18 * SECOND,
        },
        "prices": {"crossZone": 0.01},
        "discovery": "pushed",
    }
