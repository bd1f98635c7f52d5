"""Applies a plan's limit on attempts in flight, over all gateways together."""

from __future__ import annotations

from math import ceil

from ..tenant_account import TenantAccount
from .freshness import FRESH_NS, UNRESPONSIVE_NS
from .sharing import QuotaSharing
from .state import QuotaState

COUNTER_REPORT_NS = FRESH_NS // 4  # how long the counter's number of attempts elsewhere is valid
UNINFORMED_CHANCE = 0.4  # probability that an attempt is free when static shares of a limit are below one
FLOAT_TOLERANCE = 1e-9  # Attempts by which a product of floats may exceed a whole number.
LEASE_TOLERANCE = 1e-6  # Attempts by which a sum of leased parts may fall below a whole number.


def attempts_elsewhere(now: int, account: TenantAccount) -> int | None:
    """Returns the attempts at other gateways in the counter's last answer, or None if that is too old."""
    if now - account.counter.in_flight_known_at_ns < COUNTER_REPORT_NS:
        return account.counter.in_flight_elsewhere
    return None


def has_free_static_attempt(state: QuotaState, now: int, account: TenantAccount) -> bool:
    """Returns whether one more attempt is within the limit.

    While the counter's number of attempts elsewhere is valid, the whole limit applies; otherwise this
    gateway's static share of it, rounded up.
    """
    limit = float(account.plan.concurrency_limit)
    elsewhere = attempts_elsewhere(now, account)
    if elsewhere is not None:
        return account.in_flight + elsewhere < ceil(limit - FLOAT_TOLERANCE)
    share = state.static_shares.share_or_all(now, account)
    return account.in_flight < ceil(limit * share - FLOAT_TOLERANCE)


def has_free_shared_attempt(sharing: QuotaSharing, now: int, account: TenantAccount) -> bool:
    """Returns whether one more attempt is within the limit, together with those that peers reported.

    The share of an unresponsive peer is reserved for it.
    """
    reports = account.peers_in_flight.values()
    elsewhere = sum(each.attempts for each in reports if now - each.reported_at_ns < UNRESPONSIVE_NS)
    limit = account.plan.concurrency_limit * sharing.local_share(now, account)
    return account.in_flight + elsewhere < limit


def has_free_leased_attempt(now: int, account: TenantAccount) -> bool:
    """Returns whether one more attempt is within the part of the limit that is leased to this gateway."""
    limit = int(account.plan.concurrency_limit * account.lease.concurrency_share + LEASE_TOLERANCE)
    return account.in_flight + (attempts_elsewhere(now, account) or 0) < limit
