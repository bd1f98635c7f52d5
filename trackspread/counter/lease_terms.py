"""What the lease of one tenant covers, and the static shares of its gateways. Pure arithmetic."""

from __future__ import annotations

import struct
from dataclasses import dataclass

import xxhash

from .timing import EPSILON

TENANT_MASK = (1 << 64) - 1


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """One tenant's limits: rate and burst of its quota, or else of its hard limit.

    `min_share`: that holds one request. `gateways`: that its requests come to. `limits_concurrency`: whether
    attempts in flight are limited, of which nothing is guaranteed."""

    rate_per_s: float
    burst_units: float
    min_share: float
    gateways: tuple[int, ...]
    limits_concurrency: bool = False


def partition_of(tenant: int, partitions: int) -> int:
    """Which partition a tenant's key is in."""
    return xxhash.xxh3_64_intdigest(tenant.to_bytes(8, "little")) % partitions


def rank(tenant: int, gateway: int, turn: int = 0) -> int:
    """Rendezvous rank of a gateway for a tenant: the lowest come first."""
    return xxhash.xxh3_64_intdigest(struct.pack("<QIQ", tenant & TENANT_MASK, gateway, turn))


def static_share(tenant: int, terms: LeaseTerms, gateway: int) -> float:
    """The gateway's even share. Where even shares of all would not hold a request, as many have one as do."""
    if gateway not in terms.gateways:
        return 0.0
    count = max(1, min(len(terms.gateways), int(1.0 / terms.min_share + EPSILON)))
    if count == len(terms.gateways):
        return 1.0 / count
    ranked = sorted(terms.gateways, key=lambda each: rank(tenant, each))
    return 1.0 / count if gateway in ranked[:count] else 0.0
