"""Defines the claims and heartbeats that gateways write to the counter, and encodes them as its fields."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from math import isfinite


@dataclass(frozen=True, slots=True)
class Claim:
    """Holds a gateway's claim on a tenant: its share of the hard limit, its demand, and the quota's tokens.

    `incarnation` is the time in ms of the gateway's clock at its start, so the later of two is known.
    `sequence` grows with each claim, also across a lease that was released. `share` is a fraction of rate and
    burst. `demand_per_s` is in units. `spent_units` is what the gateway spent of the quota since the lease
    began. `tokens` is the level of the quota's token bucket as known at `clock_ms` of the counter's clock.
    """

    incarnation: int
    sequence: int
    share: float
    demand_per_s: float
    spent_units: float
    tokens: float
    clock_ms: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Holds a gateway's heartbeat in one partition.

    `clock_ms` is the counter's clock at the time of sending, as the writer estimates it. It shows that a
    delayed heartbeat is old.
    """

    incarnation: int
    sequence: int
    clock_ms: int


MAX_SHARE = 1.0 + 1e-6  # allows for the rounding of shares, which are written as floats of four bytes
_CLAIM = struct.Struct("<QQffdfQ")
_HEARTBEAT = struct.Struct("<QQQ")


def pack_claim(claim: Claim) -> bytes:
    """Returns the claim as the bytes of a field on the counter."""
    return _CLAIM.pack(
        claim.incarnation,
        claim.sequence,
        claim.share,
        claim.demand_per_s,
        claim.spent_units,
        claim.tokens,
        claim.clock_ms,
    )


def unpack_claim(data: bytes) -> Claim | None:
    """Returns the claim in a field, or None for other bytes, as other programs may use the same server."""
    if len(data) != _CLAIM.size:
        return None
    claim = Claim(*_CLAIM.unpack(data))
    are_finite = all(map(isfinite, (claim.demand_per_s, claim.tokens, claim.spent_units)))
    if not are_finite or claim.spent_units < 0.0 or claim.demand_per_s < 0.0:
        return None
    return claim if 0.0 <= claim.share <= MAX_SHARE else None


def pack_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Returns the heartbeat as the bytes of a field on the counter."""
    return _HEARTBEAT.pack(heartbeat.incarnation, heartbeat.sequence, heartbeat.clock_ms)


def unpack_heartbeat(data: bytes) -> Heartbeat | None:
    """Returns the heartbeat in a field, or None for other bytes."""
    return Heartbeat(*_HEARTBEAT.unpack(data)) if len(data) == _HEARTBEAT.size else None
