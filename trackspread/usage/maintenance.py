"""Schedules the disk calls for export and retention, which are saves, removals and reads."""

from __future__ import annotations

from ..storage.calls import Call, Read, Result
from ..storage.journal import Journal
from ..storage.slots import Scan
from .context import LedgerContext
from .disk_calls import Purpose


class Maintenance:
    """Saves the checkpoint after changes, removes segments, and reads records to export."""

    def __init__(self, context: LedgerContext) -> None:
        self._context = context

    def next_call(self, now: int, journal: Journal | None) -> Call | None:
        """Returns the next call, or None if none is due.

        `now` is in ns; `journal` is the stream that is written.
        """
        context = self._context
        is_dirty = context.exporter.dirty or context.segment_store.dirty
        if is_dirty and context.calls.may_start(Purpose.SAVE, now):
            return self._save(now)
        return self._retain(now, journal) or self._read(now, journal)

    def _save(self, now: int) -> Call | None:
        context = self._context
        context.exporter.dirty = False
        context.segment_store.dirty = False
        return context.save_checkpoint(now, lambda now, _: None, self._save_failed)

    def _save_failed(self, now: int, error: OSError) -> None:
        self._context.exporter.dirty = True
        self._context.calls.retry_later(Purpose.SAVE)(now, error)

    def _retain(self, now: int, journal: Journal | None) -> Call | None:
        context = self._context
        if not context.calls.may_start(Purpose.RETENTION, now):
            return None
        step = context.segment_store.next_step(context.checkpoint_store.checkpoint, journal)
        if step is None:
            return None
        on_success = step.on_success
        return context.calls.start(step.call, lambda now, result: on_success(result), self._retain_failed)

    def _retain_failed(self, now: int, error: OSError) -> None:
        self._context.segment_store.step_failed()
        self._context.calls.retry_later(Purpose.RETENTION)(now, error)

    def _read(self, now: int, journal: Journal | None) -> Call | None:
        context = self._context
        if not context.calls.may_start(Purpose.READ, now):
            return None
        exporter, checkpoint = context.exporter, context.checkpoint_store.checkpoint
        read = exporter.next_read(now, checkpoint, journal.committed if journal is not None else 0)
        if read is None:
            return None
        if journal is not None and (area := journal.area(read.header)) is not None:
            read = Read(read.header, read.first, read.last, area)

        def records_read(now: int, scan: Result) -> None:
            assert scan is None or isinstance(scan, Scan)
            exporter.records_read(checkpoint, scan)

        return context.calls.start(read, records_read, self._read_failed)

    def _read_failed(self, now: int, error: OSError) -> None:
        self._context.exporter.read_failed()
        self._context.calls.retry_later(Purpose.READ)(now, error)
