"""Defines the usage record, which holds the answer to a client in the forty bytes of a journal slot.

Units are stored as integers of a billionth each, so that sums are exact in any order; a client can state nine
decimals.
"""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import NamedTuple

NANO_PER_UNIT = 1_000_000_000
DAY_MS = 86_400_000
MAX_REQUESTS = 0xFFFFFFFF
MAX_NANO_UNITS = 0xFFFFFFFFFFFFFFFF
MAX_ATTEMPTS = 0xFFFF
_PAYLOAD = struct.Struct("<BBHHHIIQQQ")


class Kind(IntEnum):
    """Names what a record stands for; the journal reserves 0 and 255."""

    USE = 1  # one request
    SUM = 2  # several requests that were rejected or found no free slot in the journal
    UNATTRIBUTED = 3  # several requests whose tenants are not known


class Ending(IntEnum):
    """Names the final answer to a request; LEFT means that the client disconnected before it."""

    SERVED = 1
    FAILED = 2
    REFUSED = 3
    LEFT = 4


class UsageRecord(NamedTuple):
    """Holds one request, or a sum of requests of the same kind; the fields are in the order of the bytes.

    `request_class` and `plan` are indexes into the stream's `Names`. `attempts` counts the attempts that were
    started at backends, hedged ones included. `plan_version` is the one in force. `nano_units` is the sum of
    all requests.
    """

    kind: int
    ending: int
    request_class: int
    plan: int
    attempts: int
    plan_version: int
    requests: int
    time_ms: int
    tenant: int
    nano_units: int


def to_nano_units(units: float) -> int:
    """Returns units as billionths; a decimal number of up to 15 digits is converted exactly."""
    return round(units * NANO_PER_UNIT)


# `pack` takes the fields of a `UsageRecord` in order, so that the hot path builds no record for each request.
pack = _PAYLOAD.pack


def unpack(payload: bytes) -> UsageRecord | None:
    """Returns the record in a slot's payload, or None if its kind or ending is unknown to this version."""
    record = UsageRecord._make(_PAYLOAD.unpack(payload))
    known = Kind.USE <= record.kind <= Kind.UNATTRIBUTED and Ending.SERVED <= record.ending <= Ending.LEFT
    return record if known else None
