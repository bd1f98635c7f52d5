"""Sums usage by tenant, day and ending, for removed segments and for the comparison with billing."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from ..storage.document import Schema
from .record import DAY_MS, UsageRecord

SCHEMA = Schema("use-sum", 1)


class TotalsRow(msgspec.Struct, frozen=True, array_like=True):
    """Holds one row as it is stored; `day` counts from 1970-01-01, `units` are billionths as a string."""

    customer: int
    day: int
    ending: int
    count: int
    units: str


class SegmentTotals(msgspec.Struct, frozen=True):
    """Holds the totals of one segment, which has slots `first` to `last` of a stream.

    `bad` is the number of slots that could not be read.
    """

    epoch: int
    first: int
    last: int
    bad: int
    lines: tuple[TotalsRow, ...]


TotalsKey = tuple[int, int, int]  # tenant, day since 1970-01-01, ending


class Amount(NamedTuple):
    """Holds a number of requests and their units in billionths."""

    requests: int
    nano_units: int


ZERO_AMOUNT = Amount(0, 0)


class Totals:
    """Holds amounts by tenant, day and ending; they are integers and therefore exact."""

    def __init__(self) -> None:
        self.rows: dict[TotalsKey, Amount] = {}

    def add(self, tenant: int, day: int, ending: int, requests: int, nano_units: int) -> None:
        """Adds requests and billionths of units to one row."""
        key = tenant, day, ending
        amount = self.rows.get(key, ZERO_AMOUNT)
        self.rows[key] = Amount(amount.requests + requests, amount.nano_units + nano_units)

    def add_records(self, records: Iterable[UsageRecord]) -> Totals:
        """Adds each record and returns these totals."""
        for record in records:
            day = record.time_ms // DAY_MS
            self.add(record.tenant, day, record.ending, record.requests, record.nano_units)
        return self

    def add_rows(self, rows: Iterable[TotalsRow]) -> Totals:
        """Adds each stored row and returns these totals."""
        for row in rows:
            self.add(row.customer, row.day, row.ending, row.count, int(row.units))
        return self

    def stored_rows(self) -> tuple[TotalsRow, ...]:
        """Returns all rows as they are stored, sorted."""
        return tuple(
            TotalsRow(*key, amount.requests, str(amount.nano_units))
            for key, amount in sorted(self.rows.items())
        )

    def total(self) -> Amount:
        """Returns the amount of all rows together."""
        amounts = self.rows.values()
        requests = sum(amount.requests for amount in amounts)
        return Amount(requests, sum(amount.nano_units for amount in amounts))


def sum_name(epoch: int, index: int) -> str:
    """Returns the file name of the totals of one segment."""
    return f"sum-{epoch:08d}-{index:06d}.json"


def pack(totals: SegmentTotals) -> bytes:
    """Returns the bytes of the stored document."""
    return SCHEMA.pack(totals)
