"""A plan's limit on attempts in flight, over all gateways together."""

from __future__ import annotations

from math import ceil

from ..tenant_account import TenantAccount
from .freshness import FRESH_NS, UNRESPONSIVE_NS
from .sharing import QuotaSharing
from .state import QuotaState

COUNTER_REPORT_NS = FRESH_NS // 4  # for which the counter's number of attempts elsewhere holds
UNINFORMED_CHANCE = 0.4  # that an attempt is free where static shares of a limit are under one
ROUNDING = 1e-9  # attempts: a product of floats may be over a whole number by this ...
LEASE_ROUNDING = 1e-6  # ... and a sum of leased parts under it by that


def attempts_elsewhere(now: int, account: TenantAccount) -> int | None:
    """As the shared counter last said; None where that is too old to hold."""
    if now - account.counter.in_flight_known_at_ns < COUNTER_REPORT_NS:
        return account.counter.in_flight_elsewhere
    return None


def has_free_static_attempt(state: QuotaState, now: int, account: TenantAccount) -> bool:
    """Whether one more attempt is inside the limit: all of it while the counter's number of attempts
    elsewhere holds, else this gateway's static share, rounded up."""
    limit = float(account.plan.concurrency_limit)
    elsewhere = attempts_elsewhere(now, account)
    if elsewhere is not None:
        return account.in_flight + elsewhere < ceil(limit - ROUNDING)
    share = state.static_shares.share_or_all(now, account)
    return account.in_flight < ceil(limit * share - ROUNDING)


def has_free_shared_attempt(sharing: QuotaSharing, now: int, account: TenantAccount) -> bool:
    """Whether one more attempt is inside the limit, with those that peers reported; a peer that is
    unresponsive is left its share."""
    reports = account.peers_in_flight.values()
    elsewhere = sum(each.attempts for each in reports if now - each.reported_at_ns < UNRESPONSIVE_NS)
    limit = account.plan.concurrency_limit * sharing.local_share(now, account)
    return account.in_flight + elsewhere < limit


def has_free_leased_attempt(now: int, account: TenantAccount) -> bool:
    """Whether one more attempt is inside the part of the limit that the host leases to this gateway."""
    limit = int(account.plan.concurrency_limit * account.lease.concurrency_share + LEASE_ROUNDING)
    return account.in_flight + (attempts_elsewhere(now, account) or 0) < limit
