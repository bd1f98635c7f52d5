"""Implements rendezvous hashing, which determines the gateway that owns a tenant's quota.

This module contains no decisions.
"""

from __future__ import annotations

import xxhash

SEED_MASK = 0xFFFFFFFFFFFFFFFF  # the seed of the hash has 64 bits


def owner_among(gateways: tuple[int, ...], tenant: int) -> int:
    """Returns the tenant's owner, one of `gateways`.

    A gateway that joins takes over its part of the tenants from all others; when one leaves, its part is
    spread over all others.
    """
    seed = tenant & SEED_MASK
    return max(gateways, key=lambda number: xxhash.xxh64_intdigest(number.to_bytes(8), seed))
