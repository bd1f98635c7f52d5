"""Rendezvous hashing: which gateway owns a tenant's quota. Pure arithmetic; nothing here decides."""

from __future__ import annotations

import xxhash

SEED_MASK = 0xFFFFFFFFFFFFFFFF  # the hash's seed has 64 bits


def owner_among(gateways: tuple[int, ...], tenant: int) -> int:
    """The tenant's owner, one of `gateways`. A gateway that is added takes its part of the tenants from all
    others; one that goes leaves its part to all."""
    seed = tenant & SEED_MASK
    return max(gateways, key=lambda number: xxhash.xxh64_intdigest(number.to_bytes(8), seed))
