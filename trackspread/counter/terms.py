"""What the parts of the lease manager say to one another: figures, claims, calls, rights. Plain values.

May know: figures of the design (`docs/design/counter.md`). May not know: sockets, clocks, the module.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from math import isfinite

import xxhash

SECOND = 1_000_000_000
MILLISECOND = 1_000_000
HEARTBEAT = 400 * MILLISECOND  # ns between heartbeats in a partition: one lost call is no silence
TIMEOUT = 250 * MILLISECOND  # ns for a call's answer; a counter slower than this is as good as lost
RENEW = 800 * MILLISECOND  # ns between claims on a member that is held: what vanished is back within it
DRIFT = 0.02  # by which two clocks may run apart, as in planning
KEPT = int(2 * SECOND * (1.0 - DRIFT))  # ns that a right outlasts the answer it rests on: two lost calls
# From the last sign of life that anyone can have seen: by then whoever counted on it has let go. A reader
# sees a beat up to one beat and one call late, and so does the reader whom he stands for.
OUT = int((2 * SECOND + 2 * HEARTBEAT + 2 * TIMEOUT) * (1.0 + DRIFT))
PROVE = RENEW + 2 * TIMEOUT  # ns that a raise waits: whoever holds what vanished has written it anew by then
IDLE = 5 * SECOND  # ns without a request after which a right is given back
GUARANTEED = 0.5  # part of a ceiling that is never pooled: each gateway's at once, whatever the counter says
FLOOR = 0.25  # part of an even slice of a quota that is usable before any answer: a quota is soft
REPORT_AFTER = 0.25  # part of a quota's burst that may be asked for here before others are told
HEADROOM = 2.0  # a claim over what is asked for: bursts pass without a call
FIRST = 0.5  # part of what is free that a first claim takes: it leaves some for who comes next
TURN_MS = 2_000  # ms, of the counter's clock, after which those who can't all hold a right change places
LIFE_MS = 60_000  # ms that a name outlives the last write under it; longer than any store takes to fill here
MOST_MEMBERS = 50_000  # held at once; more would not fit a small gateway's memory (some 400 bytes each)
EPSILON = 1e-9  # rounding of shares


@dataclass(frozen=True, slots=True)
class Terms:
    """One member: `rate`, units a second, and `burst` of its quota, or else of its ceiling; `least`, the
    share that holds one request; `slots`, gateways that its requests come to; `places`, whether open attempts
    are limited, of which nothing is guaranteed."""

    rate: float
    burst: float
    least: float
    slots: tuple[int, ...]
    places: bool = False


@dataclass(frozen=True, slots=True)
class Claim:
    """What a gateway says of a member: the share of its ceiling that it holds, what it is asked for, and what
    it knows of the quota's one store.

    `incarnation`: ms of its machine's clock when it started, so that of two lives the later is known.
    `number` grows with each claim, also over a lease that was given up. `share`: of rate and burst. `want`:
    units a second. `spent`: units of the quota, since this lease began. `level`: units in the store, as
    known at `clock`, ms of the counter's."""

    incarnation: int
    number: int
    share: float
    want: float
    spent: float
    level: float
    clock: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A gateway's sign of life in one partition; `clock`: the counter's when it was sent, in ms, as its
    writer reckons: one that lay on its way for long must not pass for fresh."""

    incarnation: int
    number: int
    clock: int


_CLAIM, _HEARTBEAT = struct.Struct("<QQffdfQ"), struct.Struct("<QQQ")


def pack_claim(claim: Claim) -> bytes:
    """The claim as bytes of a field on the counter."""
    return _CLAIM.pack(
        claim.incarnation, claim.number, claim.share, claim.want, claim.spent, claim.level, claim.clock
    )


def unpack_claim(data: bytes) -> Claim | None:
    """None for anything that is no claim: a counter may be full of others' names."""
    if len(data) != _CLAIM.size:
        return None
    claim = Claim(*_CLAIM.unpack(data))
    sound = isfinite(claim.want) and isfinite(claim.level) and isfinite(claim.spent) and claim.spent >= 0.0
    return claim if sound and claim.want >= 0.0 and 0.0 <= claim.share <= 1.0 + 1e-6 else None


def pack_heartbeat(beat: Heartbeat) -> bytes:
    """The heartbeat as bytes of a field on the counter."""
    return _HEARTBEAT.pack(beat.incarnation, beat.number, beat.clock)


def unpack_heartbeat(data: bytes) -> Heartbeat | None:
    """None for anything that is no heartbeat."""
    return Heartbeat(*_HEARTBEAT.unpack(data)) if len(data) == _HEARTBEAT.size else None


@dataclass(frozen=True, slots=True)
class Call:
    """One call to the counter: write `value` under this gateway's field (None: only read), then read the
    whole name. `member` is None for the beats of a partition."""

    number: int
    partition: int
    member: int | None
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Reply:
    """`clock`: the server's, in ms. `fields`: by slot. `token`: the partition's incarnation, with beats.
    `fresh`: this gateway's field was not there before it was written now."""

    clock: int
    fields: dict[int, bytes]
    token: bytes = b""
    fresh: bool = False


@dataclass(frozen=True, slots=True)
class Grant:
    """From now on: `soft` of a quota's rate and burst, `hard` of a ceiling's, `places` of the limit on open
    attempts. `taken`: units of the quota that others spent, to be taken off once. `level`: what others know
    of the quota's store, in place of what is known here; None where that stands. `more`: the first answer is
    on its way, so that it pays to hold a request a moment."""

    member: int
    soft: float
    hard: float
    places: float
    taken: float
    level: float | None
    more: bool


def partition_of(member: int, partitions: int) -> int:
    """Which partition a member's name is in."""
    return xxhash.xxh3_64_intdigest(member.to_bytes(8, "little")) % partitions


def rank(member: int, slot: int, turn: int = 0) -> int:
    """Rendezvous rank: the lowest come first."""
    return xxhash.xxh3_64_intdigest(struct.pack("<QIQ", member & (1 << 64) - 1, slot, turn))


def even(member: int, terms: Terms, slot: int) -> float:
    """This slot's even slice. Where slices of all would not hold a request, as many have one as do."""
    if slot not in terms.slots:
        return 0.0
    count = max(1, min(len(terms.slots), int(1.0 / terms.least + EPSILON)))
    if count == len(terms.slots):
        return 1.0 / count
    order = sorted(terms.slots, key=lambda each: rank(member, each))
    return 1.0 / count if slot in order[:count] else 0.0
