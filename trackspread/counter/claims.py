"""Claims and heartbeats: what gateways write to the counter, as values and as bytes of its fields."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from math import isfinite


@dataclass(frozen=True, slots=True)
class Claim:
    """What a gateway says of a tenant: the share of its hard limit that it holds, its demand, and what it
    knows of the quota's one token bucket.

    `incarnation`: ms of its machine's clock when it started, so that of two the later is known. `sequence`
    grows with each claim, also over a lease that was given up. `share`: of rate and burst. `demand_per_s`:
    units. `spent_units`: of the quota, since this lease began. `tokens`: in the bucket, as known at
    `clock_ms` of the counter's clock."""

    incarnation: int
    sequence: int
    share: float
    demand_per_s: float
    spent_units: float
    tokens: float
    clock_ms: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A gateway's sign of life in one partition; `clock_ms`: the counter's when it was sent, as its writer
    reckons: one that was delayed on its way must not pass for fresh."""

    incarnation: int
    sequence: int
    clock_ms: int


MAX_SHARE = 1.0 + 1e-6  # shares are written as floats of four bytes
_CLAIM = struct.Struct("<QQffdfQ")
_HEARTBEAT = struct.Struct("<QQQ")


def pack_claim(claim: Claim) -> bytes:
    """The claim as bytes of a field on the counter."""
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
    """None for anything that is no claim: others may use the same server."""
    if len(data) != _CLAIM.size:
        return None
    claim = Claim(*_CLAIM.unpack(data))
    are_finite = all(map(isfinite, (claim.demand_per_s, claim.tokens, claim.spent_units)))
    if not are_finite or claim.spent_units < 0.0 or claim.demand_per_s < 0.0:
        return None
    return claim if 0.0 <= claim.share <= MAX_SHARE else None


def pack_heartbeat(heartbeat: Heartbeat) -> bytes:
    """The heartbeat as bytes of a field on the counter."""
    return _HEARTBEAT.pack(heartbeat.incarnation, heartbeat.sequence, heartbeat.clock_ms)


def unpack_heartbeat(data: bytes) -> Heartbeat | None:
    """None for anything that is no heartbeat."""
    return Heartbeat(*_HEARTBEAT.unpack(data)) if len(data) == _HEARTBEAT.size else None
