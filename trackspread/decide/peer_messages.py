"""Layout of the messages between gateways: bytes to plain values and back. Nothing here decides anything."""

from __future__ import annotations

import struct
from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

MAX_MESSAGE_BYTES = 256  # bytes that a peer message may hold
_HEADER, _TOTAL, _DRAW = struct.Struct("<HH"), struct.Struct("<QHB"), struct.Struct("<BQBHIHH")
_SET = struct.Struct("<HHHI")  # behind a draw where homes may move: the customer's set, what a home told
MAX_TOTALS = (MAX_MESSAGE_BYTES - _HEADER.size) // _TOTAL.size  # customers in one message of totals
KIND_BITS = 3  # of a draw's first byte; the others tell how many attempts are out
MAX_IN_FLIGHT = 31


class QuotaMessageKind(IntEnum):
    """What a message says: between a gateway and a customer's home, or of ceilings between equals."""

    REQUEST = 1  # may these units go on?
    SPENT = 2  # they went on; no answer is wanted
    GRANT = 3  # yes; the units say what the store holds
    DENY = 4  # no; likewise
    TRANSFER_REQUEST = 5  # of the ceiling's part here so many units are wanted
    TRANSFER = 6  # these are taken off the sender's part
    RELEASED = 7  # an attempt of the customer's is over


class QuotaMessage(NamedTuple):
    """One message between a gateway and a customer's home; `age` is the sender's, in tenths of a second.

    `taken`: quarter units, modulo 2^16, that the asking gateway has sent on for the customer since its start:
    a running total, so that a lost message costs nothing once the next one comes. `spread`: gateways in a row
    from number `first` that the customer's requests come by; 0: not told. `level`: of the store, by the last
    word of home `teller`; 0: not told of late. `out`: attempts of the customer's that are out at the
    sender, or asked for before this; held at 31."""

    kind: int
    tenant: int
    plan: int
    units: float
    tag: int
    age_tenths_s: int
    forwarded_quarter_units: int = 0
    first_gateway: int = 0
    gateway_span: int = 0
    tokens: float = 0.0
    tokens_reported_by: int = 0
    in_flight: int = 0


def _u16(value: float) -> int:
    return min(0xFFFF, max(0, round(value)))


def pack_quota_message(draw: QuotaMessage) -> bytes:
    """Units travel in quarters; what does not fit is held at the bound."""
    units, age, taken = _u16(4 * draw.units), _u16(draw.age_tenths_s), draw.forwarded_quarter_units & 0xFFFF
    first = draw.kind | min(MAX_IN_FLIGHT, draw.in_flight) << KIND_BITS
    made = _DRAW.pack(first, draw.tenant, draw.plan, units, draw.tag, age, taken)
    if not draw.gateway_span:
        return made
    return made + _SET.pack(
        draw.first_gateway & 0xFFFF,
        min(0xFFFF, draw.gateway_span),
        _u16(4 * draw.tokens),
        draw.tokens_reported_by,
    )


def is_quota_message(data: bytes) -> bool:
    """Whether it can be no message of totals: those are of other lengths."""
    return len(data) in (_DRAW.size, _DRAW.size + _SET.size)


def unpack_quota_message(data: bytes) -> QuotaMessage | None:
    """None for anything that is no such message."""
    if not is_quota_message(data):
        return None
    byte, customer, plan, quarters, tag, age, taken = _DRAW.unpack_from(data)
    kind, out = byte & (1 << KIND_BITS) - 1, byte >> KIND_BITS
    first, spread, level, teller = (
        _SET.unpack_from(data, _DRAW.size) if len(data) > _DRAW.size else (0, 0, 0, 0)
    )
    made = QuotaMessage(
        kind, customer, plan, quarters / 4, tag, age, taken, first, spread, level / 4, teller, out
    )
    return made if kind in tuple(QuotaMessageKind) else None


def pack_usage_totals(incarnation: int, age: int, totals: Iterable[tuple[int, int, int]]) -> bytes:
    """Customer, running total in quarter units and open attempts, for at most `TOTALS` customers."""
    head = _HEADER.pack(incarnation, _u16(age))
    return head + b"".join(_TOTAL.pack(c, sent & 0xFFFF, min(255, out)) for c, sent, out in totals)


def unpack_usage_totals(data: bytes) -> tuple[int, int, list[tuple[int, int, int]]] | None:
    """Incarnation, age and totals; None for anything that is no such message."""
    if len(data) < _HEADER.size or (len(data) - _HEADER.size) % _TOTAL.size:
        return None
    incarnation, age = _HEADER.unpack_from(data)
    return incarnation, age, list(_TOTAL.iter_unpack(data[_HEADER.size :]))
