"""Tracks the segments on the disk and selects those to remove.

- A segment is removed once the watermark on the disk is past it and a document with its totals is saved,
  because reconciliation needs no record that billing has. Such segments stay as long as they take no more
  than half of the limit, in case billing loses records.
- At the limit the operator's choice applies. With `fold` no segment is created, and requests are summed in
  memory until billing has accepted the records here. With `drop` the oldest segment is removed, its records
  count as lost, and the batch to billing states the hole.
- A disk that is full below the limit is treated like the limit.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Literal, NamedTuple

from ..storage.calls import (
    Call,
    FolderContents,
    Read,
    Remove,
    Replace,
    Result,
    SegmentId,
    parse_segment_name,
    segment_name,
)
from ..storage.journal import Journal
from ..storage.slots import Scan, SegmentHeader
from .control import Checkpoint, Stream
from .record import unpack
from .totals import SegmentTotals, Totals, pack, sum_name

MAX_SUM_FILES = 1024  # one per segment, each of up to about 20 kB; the oldest are removed first
FullPolicy = Literal["fold", "drop"]


class Step(NamedTuple):
    """Holds a disk call and the handler for its result."""

    call: Call
    on_success: Callable[[Result], None]


@dataclass(slots=True)
class Removal:
    """Tracks the removal of a segment: its records are read, their totals saved, and its file removed."""

    segment: SegmentId
    totals: SegmentTotals | None = None
    totals_done: bool = False  # the totals are saved, or the disk has no space for them


class SegmentStore:
    """Holds the segments in the folder.

    `saved_watermarks` are the watermarks on the disk, by epoch. `disk_full` says that the last attempt found
    no space there. `dirty` says that the checkpoint was changed here and is to be saved. `alarms` are lines
    for operators.
    """

    def __init__(self, max_segments: int, when_full: FullPolicy) -> None:
        self.saved_watermarks: dict[int, int] = {}
        self.disk_full = False
        self.dirty = False
        self.alarms: list[str] = []
        self._max_segments = max_segments
        self._when_full = when_full
        self._segments: set[SegmentId] = set()
        self._sum_files: list[str] = []
        self._leftover_files: list[str] = []  # files of streams that were never declared or have no records
        self._last_written: dict[int, int] = {}  # last slot that earlier incarnations wrote, by epoch
        self._removal: Removal | None = None

    def load(self, checkpoint: Checkpoint, found: FolderContents, undeclared: set[SegmentId]) -> None:
        """Loads the folder as earlier incarnations left it; `undeclared` segments have no stream."""
        broken = {
            segment: found.written_in_broken.get(name, 0)
            for name in found.broken
            if (segment := parse_segment_name(name)) is not None and segment.epoch in checkpoint.streams
        }
        last_slots = {
            segment: header.first - 1 + written
            for segment, (header, written) in found.segments.items()
            if written
        }
        for segment, written in broken.items():
            if written:
                last_slots[segment] = segment.number * checkpoint.streams[segment.epoch].slots + written
        self._segments = (set(found.segments) - undeclared) | set(broken)
        self._leftover_files = [segment_name(*segment) for segment in sorted(undeclared)]
        self._sum_files = [name for name in found.names if name.startswith("sum-")]
        self._last_written = {
            epoch: max([stream.acked, *(last for each, last in last_slots.items() if each.epoch == epoch)])
            for epoch, stream in checkpoint.streams.items()
        }

    def open_stream_files(self, checkpoint: Checkpoint) -> tuple[str, ...]:
        """Returns the files of streams that have no end yet."""
        return tuple(
            segment_name(*segment)
            for segment in sorted(self._segments)
            if checkpoint.streams[segment.epoch].length is None
        )

    def end_streams(self, checkpoint: Checkpoint) -> None:
        """Ends each stream that has no end with its last written slot, now that these slots are synced."""
        for epoch, stream in list(checkpoint.streams.items()):
            if stream.length is None:
                stream.length = self._last_written[epoch]
            if not stream.length:
                del checkpoint.streams[epoch]
                self._leftover_files += [segment_name(*segment) for segment in self._segments_of(epoch)]
                self._segments -= set(self._segments_of(epoch))
                continue
            # Each incarnation checks once whether billing still has all records. A stream with several parts
            # is checked from its first slot.
            stream.sealed = False
            if len(stream.parts) > 1:
                stream.acked = 0
            numbers = [segment.number for segment in self._segments_of(epoch)]
            stream.first_segment = min(numbers, default=-(-stream.length // stream.slots))
        self.saved_watermarks = {epoch: stream.acked for epoch, stream in checkpoint.streams.items()}

    def add(self, epoch: int, index: int) -> None:
        """Adds a segment that was created."""
        self._segments.add(SegmentId(epoch, index))

    def may_create(self) -> bool:
        """Returns whether another segment may be created."""
        return len(self._segments) < self._max_segments and not self.disk_full

    def next_step(self, checkpoint: Checkpoint, journal: Journal | None) -> Step | None:
        """Returns the next step that frees space, or None if none is needed.

        `journal` is the stream that is written.
        """
        if self._leftover_files:
            return self._remove_oldest(self._leftover_files)
        if len(self._sum_files) > MAX_SUM_FILES:
            return self._remove_oldest(self._sum_files)
        if self._removal is None and (segment := self._select_removable(checkpoint, journal)) is not None:
            self._removal = Removal(segment)
        return self._removal_step(checkpoint, self._removal) if self._removal is not None else None

    def _remove_oldest(self, files: list[str]) -> Step:
        def removed(_: Result) -> None:
            del files[0]

        return Step(Remove((files[0],)), removed)

    def _removal_step(self, checkpoint: Checkpoint, removal: Removal) -> Step:
        segment = removal.segment
        stream = checkpoint.streams[segment.epoch]
        if removal.totals is None:
            header = SegmentHeader(*segment, stream.slots, bytes.fromhex(stream.nonce))

            def read(scan: Result) -> None:
                assert scan is None or isinstance(scan, Scan)
                removal.totals = segment_totals(segment, stream, scan)

            return Step(Read(header, header.first, stream.last_slot(segment.number)), read)
        if not removal.totals_done:

            def saved(_: Result) -> None:
                removal.totals_done = True
                self._sum_files.append(sum_name(*segment))

            return Step(Replace(sum_name(*segment), pack(removal.totals)), saved)
        return Step(Remove((segment_name(*segment),)), lambda _: self._removed(stream, segment))

    def _removed(self, stream: Stream, segment: SegmentId) -> None:
        self._segments.discard(segment)
        stream.first_segment = max(stream.first_segment, segment.number + 1)
        self._removal = None
        self.dirty = True
        self.disk_full = False

    def step_failed(self) -> None:
        """Handles the failure of the last step's call.

        If the disk has no space for the totals, the segment is removed without them; any other step is
        retried.
        """
        removal = self._removal
        if removal is None or removal.totals is None or removal.totals_done:
            return
        if self.disk_full:
            removal.totals_done = True
            self.alarms.append(
                f"the disk has no space for the totals of {segment_name(*removal.segment)}: the segment is "
                "removed without them and can no longer be reconciled"
            )

    def _select_removable(self, checkpoint: Checkpoint, journal: Journal | None) -> SegmentId | None:
        """Returns the segment to remove, or None if none has to be or may be removed."""
        self._forget_exported(checkpoint)
        max_segments = self._max_segments
        needs_space = self.disk_full or 2 * len(self._segments) > max_segments
        if not needs_space and len(checkpoint.streams) <= max_segments:
            return None
        complete = sorted(
            segment
            for segment in self._segments
            if self._is_complete(segment, journal) and segment.epoch in checkpoint.streams
        )
        for segment in complete:
            if self._is_exported(checkpoint.streams[segment.epoch], segment):
                return segment
        if self._when_full == "drop" and complete and not self.may_create():
            self._drop(checkpoint, complete[0])
            return complete[0]
        return None

    def _forget_exported(self, checkpoint: Checkpoint) -> None:
        """Removes exported streams without segments from the checkpoint."""
        exported = [epoch for epoch, stream in checkpoint.streams.items() if stream.is_exported()]
        for epoch in exported:
            length = checkpoint.streams[epoch].length or 0
            if not self._segments_of(epoch) and self.saved_watermarks.get(epoch, -1) >= length:
                del checkpoint.streams[epoch]
                self.dirty = True

    def _is_complete(self, segment: SegmentId, journal: Journal | None) -> bool:
        """Returns whether nothing more will be written to the segment and all of it is committed."""
        if journal is None or segment.epoch != journal.epoch:
            return journal is None or segment.epoch < journal.epoch
        return segment.number < min(journal.committed // journal.slots, journal.index)

    def _segments_of(self, epoch: int) -> list[SegmentId]:
        return [segment for segment in self._segments if segment.epoch == epoch]

    def _is_exported(self, stream: Stream, segment: SegmentId) -> bool:
        """Returns whether billing has acknowledged the segment and the checkpoint on the disk says so."""
        last = stream.last_slot(segment.number)
        is_tail = stream.length is not None and last >= stream.length
        # If billing loses records, the watermark moves back in memory before it does on the disk.
        watermark = min(self.saved_watermarks.get(segment.epoch, 0), stream.acked)
        return watermark >= last and (stream.sealed or not is_tail)

    def _drop(self, checkpoint: Checkpoint, segment: SegmentId) -> None:
        """Counts the records of a segment that is removed before it is exported."""
        stream = checkpoint.streams[segment.epoch]
        lost = stream.last_slot(segment.number) - stream.acked
        if lost > 0:
            checkpoint.lost["dropped"] = checkpoint.lost.get("dropped", 0) + lost
            self.dirty = True
            self.alarms.append(
                f"the limit of segments is reached: up to {lost} records of epoch {segment.epoch} are "
                "removed before their export"
            )


def segment_totals(segment: SegmentId, stream: Stream, scan: Scan | None) -> SegmentTotals:
    """Returns the totals of one segment; `scan` is None if its file is missing."""
    totals = Totals()
    first = segment.number * stream.slots + 1
    if scan is not None:
        payloads = scan.payloads.values()
        totals.add_records(record for payload in payloads if (record := unpack(payload)) is not None)
    unreadable = len(scan.bad) if scan is not None else stream.slots
    last = first + stream.slots - 1
    return SegmentTotals(segment.epoch, first, last, unreadable, totals.stored_rows())
