"""Who should hold how much of a tenant's limits, by demand: max-min fair shares, and turns where few fit.

Pure arithmetic; knows nothing of who holds what, nor of time but as a turn. All gateways that read the same
claims come to the same shares; safety does not rest on that (`lease.py`).
"""

from __future__ import annotations

from collections.abc import Mapping

from .lease_terms import LeaseTerms, rank
from .timing import EPSILON, GUARANTEED_PART, HEADROOM


def desired_share(terms: LeaseTerms, demand_per_s: float, static_share: float) -> float:
    """The share of the pool that fits a gateway's demand, in units a second; of its `static_share` it has the
    guaranteed part in any case."""
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
    """Shares by gateway that sum to `budget` at most: the smallest demands first, complete; the rest alike.
    Where a share would not hold a request, only as many are served as hold one, in an order that each turn
    draws anew.
    """
    desired = {
        gateway: desired_share(terms, demand, static_shares.get(gateway, 0.0))
        for gateway, demand in demands.items()
    }
    wanted = {gateway: share for gateway, share in desired.items() if share}
    fitting = 0
    if budget >= terms.min_share - EPSILON:
        fitting = max(1, int(budget / terms.min_share + EPSILON))
    if len(wanted) > fitting:
        ranked = sorted(wanted, key=lambda gateway: rank(tenant, gateway, turn))
        wanted = {gateway: wanted[gateway] for gateway in ranked[:fitting]}
    shares: dict[int, float] = {}
    rest = budget
    smallest_first = sorted(wanted, key=lambda gateway: (wanted[gateway], gateway))
    for remaining, gateway in zip(range(len(wanted), 0, -1), smallest_first, strict=True):
        shares[gateway] = min(wanted[gateway], rest / remaining)
        rest -= shares[gateway]
    return shares
