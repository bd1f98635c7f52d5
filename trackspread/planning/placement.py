"""Which slot a tenant is in, and in what order forwarders try its planners. Pure functions of numbers.

Rendezvous hashing (Thaler and Ravishankar 1996): a planner that joins or leaves moves its own part alone.
"""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b

from .limits import TenantLimit, max_parts

SLOTS = 16  # of tenants, each with an owner of its own: several times the planners, so that work spreads


def _hash(*parts: int) -> int:
    return int.from_bytes(blake2b(b"/".join(b"%d" % part for part in parts), digest_size=8).digest(), "big")


def slot_of(tenant: int) -> int:
    """The slot that a tenant is in."""
    return _hash(tenant) % SLOTS


def ranked_planners(slot: int, planners: int) -> list[int]:
    """All planners, the preferred owner of the slot first."""
    return sorted(range(planners), key=lambda planner: _hash(slot, planner), reverse=True)


def static_part(
    tenant: int, forwarder: int, forwarders: Sequence[int], limit: TenantLimit, min_units: float
) -> float:
    """What of a limit lies with one of a tenant's forwarders and needs no planner, as a part of the whole.

    Even shares; but where they would not hold a request of `min_units`, some forwarders, drawn by the tenant,
    have one that does, and the others none. Over all of them the parts sum to what is not planned, at
    most."""
    unplanned = 1.0 - limit.planned_part
    count = max_parts(limit.limit.burst_units * unplanned, min_units, len(forwarders))
    if count == 0 or forwarder not in forwarders:
        return 0.0
    ranked = sorted(forwarders, key=lambda each: _hash(tenant, each), reverse=True)
    return unplanned / count if forwarder in ranked[:count] else 0.0
