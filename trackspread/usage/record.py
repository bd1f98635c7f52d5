"""One usage record: what a client was answered, in the forty bytes of a journal slot.

Units are integers of a billionth each, so that sums are exact in any order; a client can state nine decimals.
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
    """What a record stands for; 0 and 255 are reserved by the journal."""

    USE = 1  # one request
    SUM = 2  # several requests: rejected ones, or ones that found no room in the journal
    UNATTRIBUTED = 3  # several requests whose tenants are not known


class Ending(IntEnum):
    """The final answer to a request; LEFT: the client disconnected before it."""

    SERVED = 1
    FAILED = 2
    REFUSED = 3
    LEFT = 4


class UsageRecord(NamedTuple):
    """One request, or a sum of requests that are alike; the fields are in the order of the bytes.

    `request_class` and `plan` are indexes into the stream's `Names`. `attempts` counts those begun at
    backends, hedged ones too. `plan_version` is the one in force. `nano_units` are of all requests together.
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
    """Units as billionths; a decimal number of up to 15 digits is converted exactly."""
    return round(units * NANO_PER_UNIT)


# Takes the fields of a `UsageRecord` in their order: no record is built for each request on the hot path.
pack = _PAYLOAD.pack


def unpack(payload: bytes) -> UsageRecord | None:
    """The record in a slot's payload, None if its kind or ending is unknown to this version."""
    record = UsageRecord._make(_PAYLOAD.unpack(payload))
    known = Kind.USE <= record.kind <= Kind.UNATTRIBUTED and Ending.SERVED <= record.ending <= Ending.LEFT
    return record if known else None
