"""Defines mutants of the ledger of usage records, which the schedules must detect.

Each is a list of patches that break one rule of `storage/` or `usage/`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from itertools import count
from typing import Any
from unittest.mock import patch

from ....storage import calls
from ....storage.calls import Refresh, Result, Sync
from ....storage.journal import Journal
from ....storage.interfaces import Files
from ....storage.slots import Scan, SegmentHeader
from ....usage import exporter, stream_writer
from ....usage.batch import Reply
from ....usage.checkpoint import CheckpointStore
from ....usage.control import Checkpoint, Stream
from ....usage.exporter import Exporter, SlotRange, Stage
from ....usage.meter import Meter
from ....usage.record import UsageRecord, pack
from ....usage.recorder import Recorder
from ....usage.recovery import FolderRecovery
from ....usage.segments import SegmentStore
from ....usage.stream_writer import StreamWriter
from ..patches import applied
from . import world as virtual_world
from .schedules import make, play


def _skip(kind: type) -> list[Any]:
    """Reports one kind of call as done without performing it."""

    def mutant(files: Files, call: calls.Call) -> Result:
        return None if isinstance(call, kind) else calls.perform(files, call)

    return [patch.object(virtual_world, "perform", mutant)]


def _committed_without_sync() -> list[Any]:
    """Counts records as committed without a sync."""
    return _skip(Sync)


def _refresh_skipped() -> list[Any]:
    """Counts data that a killed process left in the page cache as durable."""
    return _skip(Refresh)


def _nonce_reused() -> list[Any]:
    """Writes the streams of all incarnations with the same nonce."""

    def mutant(epoch: int, index: int, slots: int, nonce: bytes) -> SegmentHeader:
        return SegmentHeader(epoch, index, slots, bytes(16))

    return [patch.object(stream_writer, "SegmentHeader", mutant)]


def _epoch_reused() -> list[Any]:
    """Starts a stream with the epoch of an undeclared stream whose files are not removed yet."""
    real = FolderRecovery._scanned

    def mutant(self: FolderRecovery, now: int, found: Result) -> None:
        real(self, now, found)
        self._context.highest_epoch = self._context.checkpoint_store.checkpoint.epoch

    return [patch.object(FolderRecovery, "_scanned", mutant)]


def _removed_before_exported() -> list[Any]:
    """Removes segments before they are exported."""
    return [patch.object(SegmentStore, "_is_exported", lambda self, stream, segment: True)]


def _intent_not_saved() -> list[Any]:
    """Sends a batch before its intent is on the disk."""
    real = Exporter.records_read

    def mutant(self: Exporter, control: Checkpoint, scan: Scan | None) -> None:
        real(self, control, scan)
        if self.stage is Stage.SAVING_INTENT:
            self.stage = Stage.READY
            self.dirty = False

    return [patch.object(Exporter, "records_read", mutant)]


def _sync_after_failure_trusted() -> list[Any]:
    """Counts records as durable after a later sync although an earlier one failed."""

    def mutant(self: StreamWriter, now: int, error: OSError) -> None:
        return None

    return [patch.object(StreamWriter, "_commit_failed", mutant)]


def _valid_copy_overwritten() -> list[Any]:
    """Saves the checkpoint to the area that has the only valid copy."""
    real = CheckpointStore.save

    def mutant(self: CheckpointStore, *arguments: Any) -> Any:
        self._valid_area = 1 - self._valid_area
        return real(self, *arguments)

    return [patch.object(CheckpointStore, "save", mutant)]


def _pending_not_copied() -> list[Any]:
    """Does not copy the records of a failed sync to the new stream."""
    real = StreamWriter._create

    def mutant(self: StreamWriter) -> Any:
        journal = self._recorder.journal
        if journal is not None:
            journal.pending.clear()
        return real(self)

    return [patch.object(StreamWriter, "_create", mutant)]


def _failed_stream_not_ended() -> list[Any]:
    """Leaves the stream of a failed sync open, so that the copied records count twice."""
    real = StreamWriter._declare

    def mutant(self: StreamWriter, now: int) -> Any:
        call = real(self, now)
        journal, streams = self._recorder.journal, self._context.checkpoint_store.checkpoint.streams
        if journal is not None and journal.epoch in streams:
            streams[journal.epoch].length = journal.next - 1
        return call

    return [patch.object(StreamWriter, "_declare", mutant)]


def _sum_written_twice() -> list[Any]:
    """Removes only every second sum that was written from memory."""
    real, calls_before = Meter.subtract_written, count()

    def mutant(self: Meter, record: UsageRecord) -> None:
        if next(calls_before) % 2:
            real(self, record)

    return [patch.object(Meter, "subtract_written", mutant)]


def _sum_dropped() -> list[Any]:
    """Removes a sum from memory before it is in the journal."""

    def mutant(self: Recorder, now: int) -> None:
        meter = self._context.meter
        while (record := meter.oldest_sum()) is not None:
            meter.subtract_written(record)
            self._append(now, pack(*record))

    return [patch.object(Recorder, "_flush", mutant)]


def _tail_not_exported() -> list[Any]:
    """Ends the stream of a killed process at the watermark."""
    real = SegmentStore.end_streams

    def mutant(self: SegmentStore, control: Checkpoint) -> None:
        for stream in control.streams.values():
            if stream.length is None:
                stream.length = stream.acked
        real(self, control)

    return [patch.object(SegmentStore, "end_streams", mutant)]


def _timeout_is_acknowledgement() -> list[Any]:
    """Counts a batch without a reply as acknowledged."""

    def mutant(self: Exporter, now: int, why: str, retry_after_ns: int = 0, final: bool = False) -> None:
        self.stage = Stage.IDLE

    process = virtual_world.GatewayProcess
    real = process._reply_timeout

    def reply_timeout(self: virtual_world.GatewayProcess, number: int) -> None:
        slots = self.ledger.exporter._range
        was_sent = self.ledger.exporter.stage is Stage.SENT and number == self._posts
        real(self, number)
        if was_sent and slots is not None and self.alive:
            self.ledger.checkpoint.streams[slots.epoch].acked = slots.last
            self.ledger.checkpoint.intent = None

    return [
        patch.object(Exporter, "send_failed", mutant),
        patch.object(process, "_reply_timeout", reply_timeout),
    ]


def _fenced_not_exported() -> list[Any]:
    """Does not export records after a seal."""

    def mutant(self: Exporter, slots: SlotRange, stream: Stream, reply: Reply) -> None:
        stream.acked = slots.last if stream.length is None else stream.length
        stream.sealed = True

    return [patch.object(Exporter, "_fence", mutant)]


def _fork_names_differ() -> list[Any]:
    """Gives the stream of records after a seal a different name in each copy of a folder."""
    numbers = count()
    return [
        patch.object(
            exporter, "continuation_stream_id", lambda stream, first: f"{stream}:{first}:{next(numbers)}"
        )
    ]


def _length_sent_while_live() -> list[Any]:
    """Sends the length of a stream that is still being written."""
    real = Exporter.records_read

    def mutant(self: Exporter, control: Checkpoint, scan: Scan | None) -> None:
        assert self._range is not None
        stream = control.streams[self._range.epoch]
        if stream.length is not None:
            return real(self, control, scan)
        stream.length = self._range.last
        try:
            return real(self, control, scan)
        finally:
            stream.length = None

    return [patch.object(Exporter, "records_read", mutant)]


def _sealed_without_length() -> list[Any]:
    """Counts a stream as sealed once billing has all its records, even if the length was never sent."""
    real = Exporter.reply_received

    def mutant(self: Exporter, control: Checkpoint, reply: Reply) -> None:
        assert self._range is not None
        stream = control.streams[self._range.epoch]
        real(self, control, reply)
        stream.sealed |= stream.length is not None and stream.acked >= stream.length

    return [patch.object(Exporter, "reply_received", mutant)]


def _lost_records_not_resent() -> list[Any]:
    """Does not resend records that billing has lost."""

    def mutant(self: Exporter, control: Checkpoint, slots: SlotRange, taken: int) -> None:
        control.streams[slots.epoch].acked = slots.last

    return [patch.object(Exporter, "_rewind", mutant)]


def _closed_early() -> list[Any]:
    """Does not wait for the last commit in a graceful shutdown."""
    real = StreamWriter._write_live

    def mutant(self: StreamWriter, now: int) -> Any:
        journal = self._recorder.journal
        if self._context.closing and journal is not None:
            return self._end(now, journal)
        return real(self, now)

    return [patch.object(StreamWriter, "_write_live", mutant)]


def _unsynced_is_committed() -> list[Any]:
    """Counts all written records as committed, not only those that the sync covered."""
    real = Journal.commit_done

    def mutant(self: Journal, commit: Any) -> Any:
        return real(self, type(commit)(commit.call, self.next - 1))

    return [patch.object(Journal, "commit_done", mutant)]


MUTANTS: dict[str, Callable[[], list[Any]]] = {
    each.__name__.strip("_").replace("_", "-"): each
    for each in (
        _committed_without_sync,
        _refresh_skipped,
        _nonce_reused,
        _epoch_reused,
        _removed_before_exported,
        _intent_not_saved,
        _sync_after_failure_trusted,
        _valid_copy_overwritten,
        _pending_not_copied,
        _failed_stream_not_ended,
        _sum_written_twice,
        _sum_dropped,
        _tail_not_exported,
        _timeout_is_acknowledgement,
        _fenced_not_exported,
        _fork_names_differ,
        _length_sent_while_live,
        _sealed_without_length,
        _lost_records_not_resent,
        _closed_early,
        _unsynced_is_committed,
    )
}


def first_detecting_seed(name: str, seeds: Iterator[int]) -> int | None:
    """Returns the first seed whose schedule detects the mutant, or None if none does."""
    with applied(MUTANTS[name]()):
        return next((seed for seed in seeds if _is_detected(seed)), None)


def _is_detected(seed: int) -> bool:
    try:
        return bool(play(make(seed)).violations)
    except (AssertionError, KeyError, IndexError, ValueError):
        return True  # the fault makes the ledger itself fail
