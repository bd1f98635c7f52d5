"""How a fleet's tenants used their quotas and hard limits in a run, from its ledger alone."""

from __future__ import annotations

from typing import NamedTuple

from ..judge.judge import Case, Store
from .fleet import Fleet


class Excess(NamedTuple):
    """What the worst tenant forwarded beyond a limit, as a part of what the limit allows in the run."""

    hard_limit: float
    quota: float


def excess(fleet: Fleet) -> Excess:
    """The excess over hard limits and over quotas; a limit allows its burst, and its rate over the run."""
    world = fleet.scenario.world()
    first_attempts = list(Case(world, fleet.ledger.entries).firsts())
    if not first_attempts:
        return Excess(0.0, 0.0)
    start, end = first_attempts[0][0].at, first_attempts[-1][0].at
    buckets: dict[tuple[int, bool], Store] = {}  # by tenant and whether it is the hard limit's
    excess_units: dict[tuple[int, bool], float] = {}
    for attempt, request in first_attempts:
        plan = world.plans[request.plan]
        limits = (
            (True, plan.ceiling_rate, plan.ceiling_burst),
            (False, plan.rate, plan.burst),
        )
        for is_hard_limit, rate, burst in limits:
            if not rate:
                continue
            key = request.customer, is_hard_limit
            bucket = buckets.setdefault(key, Store(rate, burst, start))
            if bucket.fill(attempt.at) >= request.units:
                bucket.level -= request.units
            else:
                excess_units[key] = excess_units.get(key, 0.0) + request.units
    span_s = (end - start) / 1e9
    parts = {
        key: units / (buckets[key].most + buckets[key].rate * span_s) for key, units in excess_units.items()
    }
    return Excess(
        max((part for (_, is_hard_limit), part in parts.items() if is_hard_limit), default=0.0),
        max((part for (_, is_hard_limit), part in parts.items() if not is_hard_limit), default=0.0),
    )


def allowed_use(fleet: Fleet, since: int) -> float:
    """Units forwarded from the ledger's entry `since` on, as a part of what exact quotas would have allowed.

    Allowed is what one token bucket for each quota would have admitted at the requests' first attempt. The
    result is at most 1.
    """
    world = fleet.scenario.world()
    entries = fleet.ledger.entries
    case = Case(world, entries)
    start = entries[since].at
    buckets: dict[int, Store] = {}
    allowed_units = 0.0
    origins: set[str] = set()
    for request in sorted(case.asked.values(), key=lambda each: each.at):
        plan = world.plans[request.plan]
        bucket = buckets.setdefault(request.customer, Store(plan.rate, plan.burst, request.at))
        if request.origin in origins:
            continue
        origins.add(request.origin)
        if bucket.fill(request.at) >= request.units:
            bucket.level -= request.units
            allowed_units += request.units * (request.at >= start)
    forwarded_units = sum(request.units for attempt, request in case.firsts() if attempt.at >= start)
    return min(1.0, forwarded_units / max(allowed_units, 1e-9))
