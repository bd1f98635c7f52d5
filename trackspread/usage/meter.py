"""Sums requests that get no record of their own, and determines the time with which a record is stamped.

- Each request is counted once: in its own record, in a sum, or, past `MAX_SUMS`, in an unattributed sum.
- Rejected requests are always summed, so a flood of them costs one record per tenant and
  `REJECTED_FLUSH_MS`.
- A clock set back across the end of a month does not reopen the month: records are stamped with the start of
  the newest month. Within a month the clock is followed in both directions.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC, datetime
from typing import NamedTuple

from .record import DAY_MS, MAX_ATTEMPTS, MAX_NANO_UNITS, MAX_REQUESTS, Kind, UsageRecord

MAX_SUMS = 4096  # sums in memory, at about 300 bytes each
REJECTED_FLUSH_MS = 10_000  # interval between two writes of the sums to the journal
UNATTRIBUTED = -1  # stands in place of a tenant
MS_PER_S = 1000
DAYS_INTO_NEXT_MONTH = 32  # leads from the start of any month into the next one


class SumKey(NamedTuple):
    """Identifies a sum; `tenant` may be `UNATTRIBUTED`, `day` counts from 1970-01-01."""

    ending: int
    request_class: int
    plan: int
    plan_version: int
    tenant: int
    day: int


@dataclass(slots=True)
class Sum:
    """Holds requests that are counted together; `time_ms` is the time of the first."""

    requests: int
    nano_units: int
    attempts: int
    time_ms: int


def month_start(time_ms: int) -> int:
    """Returns the start of the month in UTC, in Unix milliseconds."""
    day = datetime.fromtimestamp(time_ms // MS_PER_S, UTC)
    return int(day.replace(day=1, hour=0, minute=0, second=0).timestamp()) * MS_PER_S


class Meter:
    """Holds the sums of one process and stamps its records.

    `month_start_ms` is the start of the newest month that has begun. For alarms, `unattributed` counts the
    requests past `MAX_SUMS`, and `clamped` those that were stamped with the start of the month.
    """

    def __init__(self) -> None:
        self.month_start_ms = 0
        self.sums: dict[SumKey, Sum] = {}
        self.unattributed = 0
        self.clamped = 0
        self._next_month_ms = 0  # start of the next month, before which no month has to be computed

    def stamp(self, time_ms: int) -> int:
        """Returns the time to record for a request that ended at `time_ms`."""
        if time_ms < self.month_start_ms:
            self.clamped += 1
            return self.month_start_ms
        if time_ms >= self._next_month_ms:
            self.month_start_ms = month_start(time_ms)
            self._next_month_ms = month_start(self.month_start_ms + DAYS_INTO_NEXT_MONTH * DAY_MS)
        return time_ms

    def fold(self, record: UsageRecord) -> None:
        """Adds a record to its sum.

        Past `MAX_SUMS`, a record without a sum of its own keeps only its class, plan, ending and day.
        """
        day = record.time_ms // DAY_MS
        key = SumKey(
            record.ending, record.request_class, record.plan, record.plan_version, record.tenant, day
        )
        if key not in self.sums and len(self.sums) >= MAX_SUMS:
            self.unattributed += record.requests
            key = SumKey(record.ending, record.request_class, record.plan, 0, UNATTRIBUTED, day)
        total = self.sums.setdefault(key, Sum(0, 0, 0, record.time_ms))
        total.requests += record.requests
        total.nano_units += record.nano_units
        total.attempts += record.attempts

    def oldest_sum(self) -> UsageRecord | None:
        """Returns the oldest sum, or the part of it that one record holds, or None without sums."""
        if not self.sums:
            return None
        key, total = next(iter(self.sums.items()))
        return UsageRecord(
            Kind.SUM if key.tenant >= 0 else Kind.UNATTRIBUTED,
            key.ending,
            key.request_class,
            key.plan,
            min(total.attempts, MAX_ATTEMPTS),
            key.plan_version,
            min(total.requests, MAX_REQUESTS),
            total.time_ms,
            max(0, key.tenant),
            min(total.nano_units, MAX_NANO_UNITS),
        )

    def subtract_written(self, record: UsageRecord) -> None:
        """Subtracts a record that `oldest_sum` returned from its sum, as it is in the journal now.

        Attempts beyond `MAX_ATTEMPTS` are not recorded.
        """
        key = next(iter(self.sums))
        total = self.sums[key]
        total.requests -= record.requests
        total.nano_units -= record.nano_units
        total.attempts = 0
        if not total.requests and not total.nano_units:
            del self.sums[key]
