"""Defines the limits that a tenant's lease covers, and computes the static shares of its gateways."""

from __future__ import annotations

import struct
from dataclasses import dataclass

import xxhash

from .timing import EPSILON

TENANT_MASK = (1 << 64) - 1


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """Holds one tenant's limits: rate and burst of its quota, or of its hard limit if it has no quota.

    `min_share` is the smallest share that holds one request. `gateways` get the tenant's requests.
    `limits_concurrency` says whether attempts in flight are limited; of these nothing is guaranteed.
    """

    rate_per_s: float
    burst_units: float
    min_share: float
    gateways: tuple[int, ...]
    limits_concurrency: bool = False


def partition_of(tenant: int, partitions: int) -> int:
    """Returns the partition of a tenant's key."""
    return xxhash.xxh3_64_intdigest(tenant.to_bytes(8, "little")) % partitions


def rank(tenant: int, gateway: int, turn: int = 0) -> int:
    """Returns the rendezvous rank of a gateway for a tenant; the lowest ranks come first."""
    return xxhash.xxh3_64_intdigest(struct.pack("<QIQ", tenant & TENANT_MASK, gateway, turn))


def static_share(tenant: int, terms: LeaseTerms, gateway: int) -> float:
    """Returns the gateway's static share, which is equal for all gateways of the tenant.

    If equal shares for all gateways would not hold a request, only as many gateways get a share as there are
    shares that do.
    """
    if gateway not in terms.gateways:
        return 0.0
    count = max(1, min(len(terms.gateways), int(1.0 / terms.min_share + EPSILON)))
    if count == len(terms.gateways):
        return 1.0 / count
    ranked = sorted(terms.gateways, key=lambda each: rank(tenant, each))
    return 1.0 / count if gateway in ranked[:count] else 0.0
