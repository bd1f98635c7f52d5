"""The platform's settings in their nested form, from plain figures; for stand-ins, tests and benchmarks."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

SECOND = 1_000_000_000


def class_settings(
    name: str, idempotency: str, group: str, aim: int, deadline: int, window: int, points: float = 3.0
) -> dict[str, Any]:
    """One class; `idempotency` is free, guarded or single_shot, times in ns."""
    return {
        "name": name,
        "aim": aim,
        "deadline": deadline,
        "points": points,
        "lateWorth": 0.0,
        "idempotency": idempotency,
        "group": group,
        "window": window,
    }


def plan_settings(
    name: str,
    rate: float,
    burst: float,
    ceiling: tuple[float, float, float] = (0.0, 0.0, 0.0),
    price: float = 1.0,
    over_cost: float = 1.0,
) -> dict[str, Any]:
    """One plan; `ceiling`: rate, burst and slack, units a second and units; `over_cost`: of a unit beyond the
    quota, in its worth."""
    return {
        "name": name,
        "quotaRate": rate,
        "mostAtOnce": burst,
        "parallel": 0,
        "worthFactor": price,
        "beyondEarns": 0.0,
        "excessCost": over_cost,
        "ceilingRate": ceiling[0],
        "hardBurst": ceiling[1],
        "ceilingSlack": ceiling[2],
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
    """The object that the platform gives under `settings`; times in ns."""
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
