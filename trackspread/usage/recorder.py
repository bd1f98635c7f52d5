"""Requests to records: each is appended to the journal, or added to a sum until the journal has room."""

from __future__ import annotations

from ..storage.journal import Journal
from .context import ALARM_INTERVAL_NS, LedgerContext, State
from .meter import MAX_SUMS, REJECTED_FLUSH_MS
from .record import MAX_ATTEMPTS, Ending, Kind, UsageRecord, pack

NS_PER_MS = 1_000_000
MIN_FREE_DIVISOR = 4  # a quarter of a segment has to be free before sums are written early


class Recorder:
    """Counts requests. Never blocks: an append writes to memory that outlives the process.

    `journal` is the stream that is written; after a failed commit it is the former one until the next is
    declared. `recorded` and `folded` count requests with a record of their own and requests in sums.
    `uncommitted_since_ns` is when the oldest uncommitted record was appended.
    """

    def __init__(self, context: LedgerContext) -> None:
        self.journal: Journal | None = None
        self.recorded = 0
        self.folded = 0
        self.uncommitted_since_ns = 0
        self._context = context
        self._has_deferred = False  # sums have requests that would have had a record of their own
        self._flushed_at_ns = 0
        self._journal_full_alarm_ns = -ALARM_INTERVAL_NS
        self._unattributed_alarm = False  # raised once
        self._clamped_alarm = False  # raised once

    def count(
        self,
        now: int,
        time_ms: int,
        ending: Ending,
        request_class: int,
        plan: int,
        plan_version: int,
        tenant: int,
        nano_units: int,
        attempts: int,
    ) -> None:
        """Record one request's final answer. `now`: the host's clock, ns; `time_ms`: Unix time."""
        context = self._context
        time_ms = context.meter.stamp(time_ms)
        attempts = min(attempts, MAX_ATTEMPTS)
        row = (Kind.USE, ending, request_class, plan, attempts, plan_version, 1, time_ms, tenant, nano_units)
        if ending is not Ending.REFUSED:
            if context.state is State.LIVE and self._append(now, pack(*row)):
                self.recorded += 1
                return
            self._has_deferred = True
        self.folded += 1
        context.meter.fold(UsageRecord(*row))

    def stream_declared(self, journal: Journal) -> None:
        """Records go to this stream from now on."""
        self.journal = journal
        self._has_deferred = bool(self._context.meter.sums)

    def flush_if_due(self, now: int, journal: Journal) -> None:
        """Write the sums to the journal if the ledger closes, if they have waited long enough, or if requests
        that would have had a record of their own find room again."""
        context = self._context
        if not context.meter.sums:
            return
        has_waited = now - self._flushed_at_ns >= REJECTED_FLUSH_MS * NS_PER_MS
        has_capacity = self._has_deferred and journal.free_slots() > journal.slots // MIN_FREE_DIVISOR
        if context.closing or has_waited or has_capacity:
            self._flush(now)

    def raise_meter_alarms(self) -> None:
        """Raise each of the meter's alarms once; the records have the details."""
        meter, alarms = self._context.meter, self._context.alarms
        if meter.unattributed and not self._unattributed_alarm:
            self._unattributed_alarm = True
            alarms.append(
                f"use: sums of more than {MAX_SUMS} members and plans: what is past them is "
                "recorded as nobody's"
            )
        if meter.clamped and not self._clamped_alarm:
            self._clamped_alarm = True
            alarms.append(
                "use: the clock was set back across a month's end: records are booked on the "
                "first moment of the month that was begun"
            )

    def _append(self, now: int, payload: bytes) -> bool:
        """Whether the journal had room for the record."""
        journal = self.journal
        assert journal is not None
        if not journal.pending:
            self.uncommitted_since_ns = now
        if journal.append(payload):
            return True
        if now - self._journal_full_alarm_ns >= ALARM_INTERVAL_NS:
            self._journal_full_alarm_ns = now
            when_full = self._context.bounds.when_full
            self._context.alarms.append(f"use: no room for records, by choice '{when_full}': they are summed")
        return False

    def _flush(self, now: int) -> None:
        """Write sums to the journal, oldest first, as far as it has room."""
        assert self.journal is not None
        meter = self._context.meter
        self._flushed_at_ns = now
        while (record := meter.oldest_sum()) is not None and self.journal.free_slots():
            if not self._append(now, pack(*record)):
                break
            meter.subtract_written(record)
        self._has_deferred = bool(meter.sums)
