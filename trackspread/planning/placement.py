"""Maps tenants to slots, orders the planners of a slot, and places static shares, by hashes of numbers.

With rendezvous hashing (Thaler and Ravishankar 1996) a planner that joins or leaves moves only its own part.
"""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b

from .limits import TenantLimit, max_parts

SLOTS = 16  # of tenants, each with its own owner; several times the planners, so that the load is spread


def _hash(*parts: int) -> int:
    return int.from_bytes(blake2b(b"/".join(b"%d" % part for part in parts), digest_size=8).digest(), "big")


def slot_of(tenant: int) -> int:
    """Returns the slot of a tenant."""
    return _hash(tenant) % SLOTS


def ranked_planners(slot: int, planners: int) -> list[int]:
    """Returns all planners, the preferred owner of the slot first."""
    return sorted(range(planners), key=lambda planner: _hash(slot, planner), reverse=True)


def static_part(
    tenant: int, forwarder: int, forwarders: Sequence[int], limit: TenantLimit, min_units: float
) -> float:
    """Returns the fraction of a limit that is a forwarder's static share and needs no planner.

    Shares are even. If an even share would not hold a request of `min_units`, some forwarders, selected by a
    hash with the tenant, have a share that does, and the others have none. The shares of all forwarders sum
    to the part that is not planned, at most.
    """
    unplanned = 1.0 - limit.planned_part
    count = max_parts(limit.limit.burst_units * unplanned, min_units, len(forwarders))
    if count == 0 or forwarder not in forwarders:
        return 0.0
    ranked = sorted(forwarders, key=lambda each: _hash(tenant, each), reverse=True)
    return unplanned / count if forwarder in ranked[:count] else 0.0
