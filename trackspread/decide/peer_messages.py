"""Layout of the messages between gateways: bytes to plain values and back. Nothing here decides anything."""

from __future__ import annotations

import struct
from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

from .tenant_account import QUARTERS_PER_UNIT

MAX_MESSAGE_BYTES = 256  # that a peer message may have
_TOTALS_HEADER = struct.Struct("<HH")  # incarnation, age
_TOTAL = struct.Struct("<QHB")  # tenant, quarter units forwarded, attempts in flight
_QUOTA = struct.Struct("<BQBHIHH")  # kind and attempts, tenant, plan, quarter units, query, age, forwarded
_VIEW = struct.Struct("<HHHI")  # after it with a fleet view: first gateway, span, quarter tokens, owner
MAX_TOTALS = (MAX_MESSAGE_BYTES - _TOTALS_HEADER.size) // _TOTAL.size  # tenants in one message of totals
KIND_BITS = 3  # of a quota message's first byte; the others say how many attempts are in flight
MAX_IN_FLIGHT = 31
MAX_TOTAL_IN_FLIGHT = 255
MAX_U16 = 0xFFFF
HALF_OF_TOTALS = 0x8000


class QuotaMessageKind(IntEnum):
    """What a quota message says: between a gateway and a tenant's owner, or of hard limits between peers."""

    REQUEST = 1  # may these units be spent?
    SPENT = 2  # they were spent; no answer is wanted
    GRANT = 3  # yes; the units say what the bucket has
    DENY = 4  # no; likewise
    TRANSFER_REQUEST = 5  # so many units are wanted of the recipient's part of the hard limit
    TRANSFER = 6  # these are taken off the sender's part
    RELEASED = 7  # an attempt of the tenant's is over


class QuotaMessage(NamedTuple):
    """One message on a tenant's quota.

    `units`: as its kind says. `query`: number that the answer repeats; 0 for none. `age_tenths_s`: since
    the sender's start. `forwarded_quarter_units`: that the sender has forwarded for the tenant since its
    start, modulo 2^16: a running total, so that a lost message costs nothing once the next one comes.
    `first_gateway`, `gateway_span`: the tenant's requests come through so many gateways in a row from the
    first one on; a span of 0: not known. `tokens`: units in the bucket, by the last answer of owner
    `tokens_reported_by`; 0 there: none of late. `in_flight`: attempts of the tenant's that are in flight at
    the sender or requested before this; 31 and more count as 31."""

    kind: int
    tenant: int
    plan: int
    units: float
    query: int
    age_tenths_s: int
    forwarded_quarter_units: int = 0
    first_gateway: int = 0
    gateway_span: int = 0
    tokens: float = 0.0
    tokens_reported_by: int = 0
    in_flight: int = 0


class UsageTotal(NamedTuple):
    """What a gateway reports of one tenant."""

    tenant: int
    forwarded_quarter_units: int  # since its start, modulo 2^16
    in_flight: int  # attempts; 255 and more count as 255


class UsageTotals(NamedTuple):
    """What a gateway reports to all peers."""

    incarnation: int
    age_tenths_s: int  # since its start
    totals: list[UsageTotal]


def _u16(value: float) -> int:
    return min(MAX_U16, max(0, round(value)))


def pack_quota_message(message: QuotaMessage) -> bytes:
    """Units are sent in quarters; values that are out of their field's range as its bound."""
    in_flight = min(MAX_IN_FLIGHT, message.in_flight)
    packed = _QUOTA.pack(
        message.kind | in_flight << KIND_BITS,
        message.tenant,
        message.plan,
        _u16(QUARTERS_PER_UNIT * message.units),
        message.query,
        _u16(message.age_tenths_s),
        message.forwarded_quarter_units & MAX_U16,
    )
    if not message.gateway_span:
        return packed
    return packed + _VIEW.pack(
        message.first_gateway & MAX_U16,
        min(MAX_U16, message.gateway_span),
        _u16(QUARTERS_PER_UNIT * message.tokens),
        message.tokens_reported_by,
    )


def is_quota_message(data: bytes) -> bool:
    """Whether these bytes are no message of totals: those have other lengths."""
    return len(data) in (_QUOTA.size, _QUOTA.size + _VIEW.size)


def unpack_quota_message(data: bytes) -> QuotaMessage | None:
    """None for anything that is no such message."""
    if not is_quota_message(data):
        return None
    first_byte, tenant, plan, quarter_units, query, age_tenths_s, forwarded = _QUOTA.unpack_from(data)
    kind = first_byte & (1 << KIND_BITS) - 1
    if kind not in tuple(QuotaMessageKind):
        return None
    first_gateway, gateway_span, quarter_tokens, tokens_reported_by = 0, 0, 0, 0
    if len(data) > _QUOTA.size:
        first_gateway, gateway_span, quarter_tokens, tokens_reported_by = _VIEW.unpack_from(data, _QUOTA.size)
    return QuotaMessage(
        kind,
        tenant,
        plan,
        quarter_units / QUARTERS_PER_UNIT,
        query,
        age_tenths_s,
        forwarded,
        first_gateway,
        gateway_span,
        quarter_tokens / QUARTERS_PER_UNIT,
        tokens_reported_by,
        first_byte >> KIND_BITS,
    )


def total_growth(total: int, last_total: int) -> int | None:
    """Quarter units by which a running total of 16 bits grew; None where it went back, as its gateway began
    anew."""
    grown = (total - last_total) & MAX_U16
    return grown if grown < HALF_OF_TOTALS else None


def pack_usage_totals(incarnation: int, age_tenths_s: int, totals: Iterable[tuple[int, int, int]]) -> bytes:
    """Tenant, running total in quarter units and attempts in flight, for at most `MAX_TOTALS` tenants."""
    header = _TOTALS_HEADER.pack(incarnation, _u16(age_tenths_s))
    return header + b"".join(
        _TOTAL.pack(tenant, forwarded & MAX_U16, min(MAX_TOTAL_IN_FLIGHT, in_flight))
        for tenant, forwarded, in_flight in totals
    )


def unpack_usage_totals(data: bytes) -> UsageTotals | None:
    """None for anything that is no such message."""
    if len(data) < _TOTALS_HEADER.size or (len(data) - _TOTALS_HEADER.size) % _TOTAL.size:
        return None
    incarnation, age_tenths_s = _TOTALS_HEADER.unpack_from(data)
    totals = map(UsageTotal._make, _TOTAL.iter_unpack(data[_TOTALS_HEADER.size :]))
    return UsageTotals(incarnation, age_tenths_s, list(totals))
