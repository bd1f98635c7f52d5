"""Totals by tenant, day and ending: the contents of removed segments, and what is compared with billing."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from ..storage.document import Schema
from .record import DAY_MS, UsageRecord

SCHEMA = Schema("use-sum", 1)


class TotalsRow(msgspec.Struct, frozen=True, array_like=True):
    """One row as it is stored: `day` counts from 1970-01-01, `units` are billionths as a decimal string."""

    customer: int
    day: int
    ending: int
    count: int
    units: str


class SegmentTotals(msgspec.Struct, frozen=True):
    """The contents of one segment, slots `first` to `last` of a stream; `bad` slots could not be read."""

    epoch: int
    first: int
    last: int
    bad: int
    lines: tuple[TotalsRow, ...]


TotalsKey = tuple[int, int, int]  # tenant, day since 1970-01-01, ending


class Amount(NamedTuple):
    """Requests and their billionths of units."""

    requests: int
    nano_units: int


NOTHING = Amount(0, 0)


class Totals:
    """Amounts by tenant, day and ending; integers only, hence exact."""

    def __init__(self) -> None:
        self.rows: dict[TotalsKey, Amount] = {}

    def add(self, tenant: int, day: int, ending: int, requests: int, nano_units: int) -> None:
        """Add requests and billionths of units to one row."""
        key = tenant, day, ending
        amount = self.rows.get(key, NOTHING)
        self.rows[key] = Amount(amount.requests + requests, amount.nano_units + nano_units)

    def add_records(self, records: Iterable[UsageRecord]) -> Totals:
        """Add each record; returns these totals."""
        for record in records:
            day = record.time_ms // DAY_MS
            self.add(record.tenant, day, record.ending, record.requests, record.nano_units)
        return self

    def add_rows(self, rows: Iterable[TotalsRow]) -> Totals:
        """Add each stored row; returns these totals."""
        for row in rows:
            self.add(row.customer, row.day, row.ending, row.count, int(row.units))
        return self

    def stored_rows(self) -> tuple[TotalsRow, ...]:
        """All rows as they are stored, sorted."""
        return tuple(
            TotalsRow(*key, amount.requests, str(amount.nano_units))
            for key, amount in sorted(self.rows.items())
        )

    def total(self) -> Amount:
        """The amount of all rows together."""
        amounts = self.rows.values()
        requests = sum(amount.requests for amount in amounts)
        return Amount(requests, sum(amount.nano_units for amount in amounts))


def sum_name(epoch: int, index: int) -> str:
    """File name of the totals of one segment."""
    return f"sum-{epoch:08d}-{index:06d}.json"


def pack(totals: SegmentTotals) -> bytes:
    """The bytes of the stored document."""
    return SCHEMA.pack(totals)
