"""Records requests: each is appended to the journal, or added to a sum until the journal has free slots."""

from __future__ import annotations

from ..storage.journal import Journal
from .context import ALARM_INTERVAL_NS, LedgerContext, State
from .meter import MAX_SUMS, REJECTED_FLUSH_MS
from .record import MAX_ATTEMPTS, Ending, Kind, UsageRecord, pack

NS_PER_MS = 1_000_000
MIN_FREE_DIVISOR = 4  # sums are written early only if a quarter of a segment is free


class Recorder:
    """Counts requests and never blocks, because an append writes to memory that outlives the process.

    `journal` is the stream that is written; after a failed commit it is the former one until the next is
    declared. `recorded` counts requests with a record of their own, and `folded` those that were added to
    sums. `uncommitted_since_ns` is when the oldest uncommitted record was appended.
    """

    def __init__(self, context: LedgerContext) -> None:
        self.journal: Journal | None = None
        self.recorded = 0
        self.folded = 0
        self.uncommitted_since_ns = 0
        self._context = context
        self._has_deferred = False  # the sums contain requests that should have had a record of their own
        self._flushed_at_ns = 0
        self._journal_full_alarm_ns = -ALARM_INTERVAL_NS
        self._unattributed_alarm = False  # the alarm was raised, which happens once
        self._clamped_alarm = False  # the alarm was raised, which happens once

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
        """Records one request's final answer; `now` is the host's clock in ns, `time_ms` Unix time."""
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
        """Directs records to this stream from now on."""
        self.journal = journal
        self._has_deferred = bool(self._context.meter.sums)

    def flush_if_due(self, now: int, journal: Journal) -> None:
        """Writes the sums to the journal if the ledger closes or if they have waited long enough.

        They are also written if they contain requests that should have had a record of their own and the
        journal has enough free slots again.
        """
        context = self._context
        if not context.meter.sums:
            return
        has_waited = now - self._flushed_at_ns >= REJECTED_FLUSH_MS * NS_PER_MS
        has_capacity = self._has_deferred and journal.free_slots() > journal.slots // MIN_FREE_DIVISOR
        if context.closing or has_waited or has_capacity:
            self._flush(now)

    def raise_meter_alarms(self) -> None:
        """Raises each of the meter's alarms once; the records have the details."""
        meter, alarms = self._context.meter, self._context.alarms
        if meter.unattributed and not self._unattributed_alarm:
            self._unattributed_alarm = True
            alarms.append(
                f"use: there are {MAX_SUMS} sums of tenants and plans, the limit: further requests are "
                "recorded without their tenants"
            )
        if meter.clamped and not self._clamped_alarm:
            self._clamped_alarm = True
            alarms.append(
                "use: the clock was set back across the end of a month: records are stamped with the start "
                "of the newest month"
            )

    def _append(self, now: int, payload: bytes) -> bool:
        """Appends a record and returns whether the journal had a free slot for it."""
        journal = self.journal
        assert journal is not None
        if not journal.pending:
            self.uncommitted_since_ns = now
        if journal.append(payload):
            return True
        if now - self._journal_full_alarm_ns >= ALARM_INTERVAL_NS:
            self._journal_full_alarm_ns = now
            when_full = self._context.bounds.when_full
            self._context.alarms.append(
                f"use: the journal has no free slot (when_full = {when_full!r}): requests are summed"
            )
        return False

    def _flush(self, now: int) -> None:
        """Writes sums to the journal, oldest first, as long as it has free slots."""
        assert self.journal is not None
        meter = self._context.meter
        self._flushed_at_ns = now
        while (record := meter.oldest_sum()) is not None and self.journal.free_slots():
            if not self._append(now, pack(*record)):
                break
            meter.subtract_written(record)
        self._has_deferred = bool(meter.sums)
