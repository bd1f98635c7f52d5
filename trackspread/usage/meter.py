"""What is counted, and when: records from answers, sums of what finds no room, a clock that a month holds.

May know: records. May not know: disks, streams. Rules:

- Every answer is counted once: in a record of its own, or in a sum, or, past the bound on sums, as nobody's.
- Refusals are summed: a flood of them takes one record for each member and `REFUSALS_MS`, not one each.
- A clock set back across a month's end does not open that month again: what comes is booked on the first
  moment of the newest month that was begun. Within a month the clock is followed, back too.
"""

from __future__ import annotations

from datetime import UTC, datetime

from .record import COUNT_MOST, DAY_MS, NANO_MOST, Kind, Use

SUMS_MOST = 4096  # rows, some 300 bytes each: a megabyte and a bit, in memory
REFUSALS_MS = 10_000  # between sums of refusals

Row = tuple[int, int, int, int, int, int]  # ending, class, plan, plan's version, customer or -1, day


def month_start(ms: int) -> int:
    """The first moment of the month, UTC, in Unix ms."""
    moment = datetime.fromtimestamp(ms // 1000, UTC)
    return int(moment.replace(day=1, hour=0, minute=0, second=0).timestamp()) * 1000


class Meter:
    """`nobodys`: requests past the bound on sums, for the alarm; they are in the records as nobody's too."""

    def __init__(self) -> None:
        self.floor = 0  # ms, start of the newest month that was begun
        self.sums: dict[Row, list[int]] = {}  # count, units, attempts, time of the first
        self.nobodys = 0
        self.clamped = 0  # records whose time was held at the month's start
        self._next = 0  # ms, start of the month after: nothing to work out before it

    def begun(self, ms: int) -> None:
        """A month that records of a former life, or other word of the past, show as begun."""
        self.floor = max(self.floor, month_start(ms))

    def stamp(self, ms: int) -> int:
        """The time that a record at `ms` is booked on."""
        if ms < self.floor:
            self.clamped += 1
            return self.floor
        if ms >= self._next:
            self.floor = month_start(ms)
            self._next = month_start(self.floor + 32 * DAY_MS)  # 32 days on lies in the month after
        return ms

    def fold(self, use: Use) -> None:
        """Into a sum. Past the bound the row is nobody's: class, plan and ending are kept."""
        day = use.time // DAY_MS
        row = use.ending, use.cls, use.plan, use.version, use.customer, day
        if row not in self.sums and len(self.sums) >= SUMS_MOST:
            self.nobodys += use.requests
            row = use.ending, use.cls, use.plan, 0, -1, day
        held = self.sums.setdefault(row, [0, 0, 0, use.time])
        held[0] += use.requests
        held[1] += use.units
        held[2] += use.attempts

    def oldest(self) -> Use | None:
        """A record of the sum that is longest here, or of as much of it as one record holds. A sum is of one
        day, and keeps the time of its first request."""
        if not self.sums:
            return None
        row, (requests, units, attempts, at) = next(iter(self.sums.items()))
        ending, cls, plan, version, customer, _ = row
        kind = Kind.SUM if customer >= 0 else Kind.LOST
        return Use(
            kind,
            ending,
            cls,
            plan,
            min(attempts, 0xFFFF),
            version,
            min(requests, COUNT_MOST),
            at,
            max(0, customer),
            min(units, NANO_MOST),
        )

    def written(self, use: Use) -> None:
        """The record that `oldest` gave has a place: only now does the sum let go of it."""
        row = next(iter(self.sums))
        held = self.sums[row]
        held[0] -= use.requests
        held[1] -= use.units
        held[2] = 0
        if not held[0] and not held[1]:
            del self.sums[row]
