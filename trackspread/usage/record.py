"""One use record: what a client was answered, in the forty bytes of a slot, exact to a billionth of a unit.

May know: layout. May not know: disks, decisions. Units are whole billionths here: sums of them are exact,
whatever their order, and nine decimals are what a client can say.
"""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import NamedTuple

NANO = 1_000_000_000
DAY_MS = 86_400_000
COUNT_MOST, NANO_MOST, ATTEMPTS_MOST = 0xFFFFFFFF, 0xFFFFFFFFFFFFFFFF, 0xFFFF
_PAYLOAD = struct.Struct("<BBHHHIIQQQ")


class Kind(IntEnum):
    """What a record stands for; never 0 or 255, which are the journal's."""

    USE = 1  # one request
    SUM = 2  # requests that were folded into one record: no room, or refusals
    LOST = 3  # requests whose members could not be told apart any more: of nobody


class Ending(IntEnum):
    """The answer that the client got; LEFT: it had gone before there was one."""

    SERVED = 1
    FAILED = 2
    REFUSED = 3
    LEFT = 4


class Use(NamedTuple):
    """`time`: Unix ms. `units`: billionths, of all `requests` together. `attempts`: begun at
    backends, second copies among them. `version`: of the plan in force."""

    kind: int
    ending: int
    cls: int
    plan: int
    attempts: int
    version: int
    requests: int
    time: int
    customer: int
    units: int


def nano(units: float) -> int:
    """Rounded once, here: a decimal of up to 15 digits comes out as it was written."""
    return round(units * NANO)


pack = _PAYLOAD.pack  # of a use's fields, in their order: one call, as each request pays for it


def unpack(payload: bytes) -> Use | None:
    """None for a kind that this program doesn't know."""
    use = Use._make(_PAYLOAD.unpack(payload))
    known = Kind.USE <= use.kind <= Kind.LOST and Ending.SERVED <= use.ending <= Ending.LEFT
    return use if known else None
