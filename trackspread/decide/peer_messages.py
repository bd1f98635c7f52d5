"""Encodes and decodes the messages between gateways. This module contains no decisions."""

from __future__ import annotations

import struct
from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

from .tenant_account import QUARTERS_PER_UNIT

MAX_MESSAGE_BYTES = 256  # size limit of a message to a peer
_TOTALS_HEADER = struct.Struct("<HH")  # incarnation, age
_TOTAL = struct.Struct("<QHB")  # tenant, quarter units forwarded, attempts in flight
_QUOTA = struct.Struct("<BQBHIHH")  # kind and attempts, tenant, plan, quarter units, query, age, forwarded
_VIEW = struct.Struct("<HHHI")  # Follows with a fleet view: first gateway, span, quarter tokens, owner.
MAX_TOTALS = (MAX_MESSAGE_BYTES - _TOTALS_HEADER.size) // _TOTAL.size  # tenants in one message
KIND_BITS = 3  # of a quota message's first byte; the other bits hold the attempts in flight
MAX_IN_FLIGHT = 31
MAX_TOTAL_IN_FLIGHT = 255
MAX_U16 = 0xFFFF
TOTAL_GROWTH_BOUND = 0x8000


class QuotaMessageKind(IntEnum):
    """Enumerates the kinds of quota messages, between a gateway and a tenant's owner or between peers."""

    IN_TRANSIT = 0  # reports granted units whose requests take long to arrive at a backend
    REQUEST = 1  # asks whether these units may be spent
    SPENT = 2  # reports units that were spent; no answer follows
    GRANT = 3  # grants a request; the units are those in the bucket
    DENY = 4  # denies a request; the units are those in the bucket
    TRANSFER_REQUEST = 5  # asks for units of the recipient's part of the hard limit
    TRANSFER = 6  # transfers units, which are deducted from the sender's part
    RELEASED = 7  # reports that an attempt of the tenant has ended


class QuotaMessage(NamedTuple):
    """Holds one message about a tenant's quota.

    The meaning of `units` depends on the kind. `query` is a number that the answer repeats, or 0 if there is
    no answer. `age_tenths_s` is the time since the sender's start. `forwarded_quarter_units` is what the
    sender has forwarded for the tenant since its start, modulo 2^16. As it is a running total, a lost message
    has no effect once the next one arrives.

    The tenant's requests come through `gateway_span` consecutive gateways, starting at `first_gateway`; a
    span of 0 means that this is unknown. `tokens` is the balance of the bucket in the last answer of the
    owner `tokens_reported_by`, which is 0 if there is no recent answer. `in_flight` is the number of the
    tenant's attempts that are in flight at the sender or were requested before this message; at most 31 are
    counted.
    """

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
    """Holds what a gateway reports about one tenant."""

    tenant: int
    forwarded_quarter_units: int  # since the gateway's start, modulo 2^16
    in_flight: int  # attempts; at most 255 are counted


class UsageTotals(NamedTuple):
    """Holds what a gateway reports to all peers."""

    incarnation: int
    age_tenths_s: int  # since its start
    totals: list[UsageTotal]


def _u16(value: float) -> int:
    return min(MAX_U16, max(0, round(value)))


def pack_quota_message(message: QuotaMessage) -> bytes:
    """Encodes a quota message.

    Units are sent in quarters. Values outside their field's range are sent as its bound.
    """
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
    """Returns whether these bytes have the length of a quota message; usage totals have other lengths."""
    return len(data) in (_QUOTA.size, _QUOTA.size + _VIEW.size)


def unpack_quota_message(data: bytes) -> QuotaMessage | None:
    """Decodes a quota message; returns None for anything else."""
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
    """Returns the quarter units by which a running total of 16 bits grew.

    The result is None if the total decreased, because its gateway restarted.
    """
    grown = (total - last_total) & MAX_U16
    return grown if grown < TOTAL_GROWTH_BOUND else None


def pack_usage_totals(incarnation: int, age_tenths_s: int, totals: Iterable[tuple[int, int, int]]) -> bytes:
    """Encodes number, total in quarter units and attempts in flight of at most `MAX_TOTALS` tenants."""
    header = _TOTALS_HEADER.pack(incarnation, _u16(age_tenths_s))
    return header + b"".join(
        _TOTAL.pack(tenant, forwarded & MAX_U16, min(MAX_TOTAL_IN_FLIGHT, in_flight))
        for tenant, forwarded, in_flight in totals
    )


def unpack_usage_totals(data: bytes) -> UsageTotals | None:
    """Decodes usage totals; returns None for anything else."""
    if len(data) < _TOTALS_HEADER.size or (len(data) - _TOTALS_HEADER.size) % _TOTAL.size:
        return None
    incarnation, age_tenths_s = _TOTALS_HEADER.unpack_from(data)
    totals = map(UsageTotal._make, _TOTAL.iter_unpack(data[_TOTALS_HEADER.size :]))
    return UsageTotals(incarnation, age_tenths_s, list(totals))
