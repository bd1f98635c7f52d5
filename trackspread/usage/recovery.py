"""Recovers a usage folder: reads and checks what earlier incarnations left, and makes it durable.

A folder that a newer version of the program wrote, or whose checkpoint can't be read, is not changed. The
ledger then sums requests in memory, and an alarm reports it.
"""

from __future__ import annotations

from ..storage.calls import Call, FolderContents, InspectFolder, Refresh, Result, SegmentId
from .context import LedgerContext, State
from .control import AREA_SIZE, AREAS, NewestCopy, newest
from .disk_calls import Purpose


class FolderRecovery:
    """Takes the ledger from the state NEW to NO_STREAM, or to STUCK."""

    def __init__(self, context: LedgerContext) -> None:
        self._context = context

    def next_call(self, now: int) -> Call | None:
        """Returns the next call for the recovery, or None if none is due; `now` is in ns."""
        match self._context.state:
            case State.NEW:
                return self._scan(now)
            case State.REFRESHING:
                return self._refresh(now)
        return None

    def _scan(self, now: int) -> Call | None:
        context = self._context
        if not context.calls.may_start(Purpose.SCAN, now):
            return None
        context.state = State.SCANNING
        return context.calls.start(InspectFolder(AREAS, AREA_SIZE), self._scanned, self._scan_failed)

    def _scan_failed(self, now: int, error: OSError) -> None:
        self._context.state = State.NEW
        self._context.calls.retry_later(Purpose.SCAN)(now, error)

    def _scanned(self, now: int, found: Result) -> None:
        assert isinstance(found, FolderContents)
        context, store = self._context, self._context.checkpoint_store
        copy = newest([area.read() for area in found.areas])
        context.alarms += [f"use: {text}" for text in copy.errors]
        undeclared = {
            SegmentId(epoch, index)
            for epoch, index in found.segments
            if copy.checkpoint is None or epoch not in copy.checkpoint.streams
        }
        if reason := _stuck_reason(copy, found, undeclared):
            context.state = State.STUCK
            context.released_areas += found.areas
            context.alarms.append(
                f"use: {reason}: no record is written or exported, and requests are summed in memory"
            )
            return
        store.open(found.areas, copy.area)
        context.state = State.REFRESHING
        context.alarms += [f"use: {name}: {error}" for name, error in found.broken.items()]
        if copy.checkpoint is not None:
            store.checkpoint = copy.checkpoint
        context.segment_store.load(store.checkpoint, found, undeclared)
        # Epochs of streams that were never declared are not reused, as their files are still to be removed.
        context.highest_epoch = max([store.checkpoint.epoch, *(epoch for epoch, _ in found.segments)])
        meter = context.meter
        meter.month_start_ms = max(meter.month_start_ms, store.checkpoint.month_start_ms)

    def _refresh(self, now: int) -> Call | None:
        context, store = self._context, self._context.checkpoint_store
        if not context.calls.may_start(Purpose.REFRESH, now):
            return None
        names = context.segment_store.open_stream_files(store.checkpoint)
        call = Refresh((store.valid_area,), names)
        return context.calls.start(call, self._refreshed, context.calls.retry_later(Purpose.REFRESH))

    def _refreshed(self, now: int, _: Result) -> None:
        self._context.segment_store.end_streams(self._context.checkpoint_store.checkpoint)
        self._context.state = State.NO_STREAM


def _stuck_reason(copy: NewestCopy, found: FolderContents, undeclared: set[SegmentId]) -> str:
    """Returns why the folder must not be changed, or an empty text if it may be changed."""
    if copy.newer:
        return "a newer version of the program wrote this folder"
    has_records = any(found.segments[segment].written_slots for segment in undeclared)
    if copy.checkpoint is None and has_records:
        return "the folder has records but no readable checkpoint (`trackspread use repair` makes one)"
    return ""
