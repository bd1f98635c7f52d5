"""Totals by member, day and ending: what segments that went held, and what is compared with billing.

May know: records. May not know: disks.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from ..storage.document import Schema
from .record import DAY_MS, Use

SCHEMA = Schema("use-sum", 1)


class TotalsRow(msgspec.Struct, frozen=True, array_like=True):
    """`day` since 1970; `units` in billionths, as a decimal."""

    customer: int
    day: int
    ending: int
    count: int
    units: str


class SegmentTotals(msgspec.Struct, frozen=True):
    """What one segment held: places `first` to `last` of a stream; `bad` could not be read."""

    epoch: int
    first: int
    last: int
    bad: int
    lines: tuple[TotalsRow, ...]


class Totals:
    """Exact: whole numbers alone. Keys are member, day and ending."""

    def __init__(self) -> None:
        self.rows: dict[tuple[int, int, int], tuple[int, int]] = {}

    def add(self, customer: int, day: int, ending: int, count: int, units: int) -> None:
        """Add requests and billionths of units to one row."""
        held = self.rows.get((customer, day, ending), (0, 0))
        self.rows[customer, day, ending] = held[0] + count, held[1] + units

    def uses(self, uses: Iterable[Use]) -> Totals:
        """Add each record; gives these totals."""
        for use in uses:
            self.add(use.customer, use.time // DAY_MS, use.ending, use.requests, use.units)
        return self

    def lines(self) -> tuple[TotalsRow, ...]:
        """All rows, sorted."""
        return tuple(TotalsRow(*key, count, str(units)) for key, (count, units) in sorted(self.rows.items()))

    def add_rows(self, lines: Iterable[TotalsRow]) -> Totals:
        """Add each row; gives these totals."""
        for line in lines:
            self.add(line.customer, line.day, line.ending, line.count, int(line.units))
        return self

    def total(self) -> tuple[int, int]:
        """Requests and billionths of units, of all."""
        return sum(c for c, _ in self.rows.values()), sum(u for _, u in self.rows.values())


def sum_name(epoch: int, index: int) -> str:
    """File name of one segment's totals."""
    return f"sum-{epoch:08d}-{index:06d}.json"


def pack(totals: SegmentTotals) -> bytes:
    """The document's bytes."""
    return SCHEMA.pack(totals)
