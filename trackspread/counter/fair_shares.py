"""Computes the max-min fair shares of a tenant's limits from the gateways' demands.

Where the limits hold requests of only a few gateways, the gateways take turns. The module is pure arithmetic:
it does not know which shares are held, and sees time only as the number of a turn. All gateways that read the
same claims compute the same shares, but safety does not depend on that (see `lease.py`).
"""

from __future__ import annotations

from collections.abc import Mapping

from .lease_terms import LeaseTerms, rank
from .timing import EPSILON, GUARANTEED_PART, HEADROOM


def desired_share(terms: LeaseTerms, demand_per_s: float, static_share: float) -> float:
    """Returns the share of the pool that covers a gateway's demand, which is in units per second.

    The guaranteed part of its `static_share` belongs to the gateway in any case and needs no share of the
    pool.
    """
    if demand_per_s <= 0.0:
        return 0.0
    needed = HEADROOM * demand_per_s / terms.rate_per_s if terms.rate_per_s else 1.0
    if not terms.limits_concurrency and needed <= GUARANTEED_PART * static_share:
        return 0.0
    return min(1.0, max(terms.min_share, needed))


def fair_shares(
    tenant: int,
    terms: LeaseTerms,
    static_shares: Mapping[int, float],
    demands: Mapping[int, float],
    budget: float,
    turn: int,
) -> dict[int, float]:
    """Returns shares by gateway that sum to at most `budget`.

    The smallest demands are met completely, and the others get equal shares. If there are more gateways than
    shares that hold one request, only as many gateways as there are such shares get one; their order is drawn
    anew for each turn.
    """
    desired = {
        gateway: desired_share(terms, demand, static_shares.get(gateway, 0.0))
        for gateway, demand in demands.items()
    }
    desired = {gateway: share for gateway, share in desired.items() if share}
    max_holders = 0
    if budget >= terms.min_share - EPSILON:
        max_holders = max(1, int(budget / terms.min_share + EPSILON))
    if len(desired) > max_holders:
        ranked = sorted(desired, key=lambda gateway: rank(tenant, gateway, turn))
        desired = {gateway: desired[gateway] for gateway in ranked[:max_holders]}
    shares: dict[int, float] = {}
    remaining_budget = budget
    smallest_first = sorted(desired, key=lambda gateway: (desired[gateway], gateway))
    for remaining, gateway in zip(range(len(desired), 0, -1), smallest_first, strict=True):
        shares[gateway] = min(desired[gateway], remaining_budget / remaining)
        remaining_budget -= shares[gateway]
    return shares
