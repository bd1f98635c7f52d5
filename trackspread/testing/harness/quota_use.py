"""Computes tenants' use of their quotas and hard limits in a run from its ledger alone."""

from __future__ import annotations

from typing import NamedTuple

from ..judge.run_history import RunHistory
from ..judge.token_bucket import TokenBucket
from .fleet import Fleet


class Excess(NamedTuple):
    """Holds the largest excess of any tenant over each limit, as a share of the units that it allows."""

    hard_limit: float
    quota: float


def excess(fleet: Fleet) -> Excess:
    """Returns the excess over hard limits and quotas; a limit allows its burst and its rate over the run."""
    rules = fleet.scenario.rule_parameters()
    first_attempts = RunHistory(rules, fleet.ledger.entries).first_attempts()
    if not first_attempts:
        return Excess(0.0, 0.0)
    start, end = first_attempts[0][0].at, first_attempts[-1][0].at
    buckets: dict[tuple[int, bool], TokenBucket] = {}  # by tenant and whether it is the hard limit's
    excess_units: dict[tuple[int, bool], float] = {}
    for attempt, request in first_attempts:
        plan = rules.plans[request.plan]
        limits = (
            (True, plan.hard_limit_per_s, plan.hard_limit_burst_units),
            (False, plan.rate_per_s, plan.burst_units),
        )
        for is_hard_limit, rate, burst in limits:
            if not rate:
                continue
            key = request.tenant, is_hard_limit
            bucket = buckets.setdefault(key, TokenBucket(rate, burst, start))
            if bucket.refill(attempt.at) >= request.units:
                bucket.tokens -= request.units
            else:
                excess_units[key] = excess_units.get(key, 0.0) + request.units
    span_s = (end - start) / 1e9
    parts = {
        key: units / (buckets[key].burst_units + buckets[key].rate_per_s * span_s)
        for key, units in excess_units.items()
    }
    return Excess(
        max((part for (_, is_hard_limit), part in parts.items() if is_hard_limit), default=0.0),
        max((part for (_, is_hard_limit), part in parts.items() if not is_hard_limit), default=0.0),
    )


def share_of_allowed_use(fleet: Fleet, first_entry: int) -> float:
    """Returns the units forwarded from the entry with this index on, as a share of what exact quotas allow.

    Exact quotas allow the units that one token bucket for each quota would have admitted at the requests'
    first attempt. The result is at most 1.
    """
    rules = fleet.scenario.rule_parameters()
    entries = fleet.ledger.entries
    history = RunHistory(rules, entries)
    start = entries[first_entry].at
    buckets: dict[int, TokenBucket] = {}
    allowed_units = 0.0
    origins: set[str] = set()
    for request in sorted(history.requests.values(), key=lambda each: each.at):
        plan = rules.plans[request.plan]
        bucket = buckets.setdefault(
            request.tenant, TokenBucket(plan.rate_per_s, plan.burst_units, request.at)
        )
        if request.origin in origins:
            continue
        origins.add(request.origin)
        if bucket.refill(request.at) >= request.units:
            bucket.tokens -= request.units
            allowed_units += request.units * (request.at >= start)
    forwarded_units = sum(
        request.units for attempt, request in history.first_attempts() if attempt.at >= start
    )
    return min(1.0, forwarded_units / max(allowed_units, 1e-9))
