"""Which segments are on the disk, and which may go.

May know: the control, the names of files. May not know: why a segment is full. Rules:

- A segment goes once the watermark that is on the disk lies behind it, and a document with its sums is there:
  reconciling needs no record that billing has. Half of the share is left to such segments, should billing
  forget.
- When the share is full the operator's choice holds. `fold`: none is made, records become sums in memory
  until billing has taken what is here. `drop`: the oldest goes, its records are counted as lost, and billing
  is told of the hole.
- A disk that is full before the share is counts as a share that is full.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Literal

from ..storage.calls import (
    Call,
    FolderContents,
    Read,
    Remove,
    Replace,
    Result,
    parse_segment_name,
    segment_name,
)
from ..storage.journal import Journal
from ..storage.slots import Head, Scan
from .control import Control, Stream
from .record import unpack
from .totals import SegmentTotals, Totals, pack, sum_name

SUMS_KEPT = 1024  # documents of sums, one a segment, some 20 kB each at most; the oldest go first
Full = Literal["fold", "drop"]
At = tuple[int, int]  # epoch and index of a segment
Step = tuple[Call, Callable[[Result], None]]  # a call, and what it is for


class SegmentStore:
    """`saved`: by epoch, the watermark that is on the disk. `short`: the disk had no room of late. `dirty`:
    the control was changed here."""

    def __init__(self, most: int, full: Full) -> None:
        self.saved: dict[int, int] = {}
        self.short = False
        self.dirty = False
        self.alarms: list[str] = []
        self._most = most
        self._full = full
        self._segments: set[At] = set()
        self._sums: list[str] = []
        self._leftover: list[str] = []  # of lives that were never declared, or counted nothing
        self._filled: dict[int, int] = {}  # by epoch, the last place that a former life wrote
        self._going: At | None = None
        self._sum: SegmentTotals | None = None
        self._summed = False  # the sum of what is going is on the disk, or finds no room there

    def found(self, control: Control, found: FolderContents, strangers: set[At]) -> None:
        """What a former life left."""
        broken = {
            at: found.lengths.get(name, (0, 0))[1]
            for name in found.broken
            if (at := parse_segment_name(name)) is not None and at[0] in control.streams
        }
        filled = {at: head.first - 1 + n for at, (head, n) in found.segments.items() if n}
        filled |= {at: at[1] * control.streams[at[0]].slots + n for at, n in broken.items() if n}
        self._segments = (set(found.segments) - strangers) | set(broken)
        self._leftover = [segment_name(*at) for at in sorted(strangers)]
        self._sums = [name for name in found.names if name.startswith("sum-")]
        self._filled = {
            epoch: max([s.acked, *(last for at, last in filled.items() if at[0] == epoch)])
            for epoch, s in control.streams.items()
        }

    def unsure(self, control: Control) -> tuple[str, ...]:
        """Files of streams that were not ended in good order."""
        return tuple(
            segment_name(*at) for at in sorted(self._segments) if control.streams[at[0]].length is None
        )

    def ended(self, control: Control) -> None:
        """What was found is on the disk: streams that a former life was writing end with what it wrote."""
        for epoch, stream in list(control.streams.items()):
            if stream.length is None:
                stream.length = self._filled[epoch]
            if not stream.length:
                del control.streams[epoch]
                self._leftover += [segment_name(*at) for at in self._of(epoch)]
                self._segments -= set(self._of(epoch))
                continue
            # Billing is asked once a life whether it still has it all; of several parts, about each.
            stream.sealed = False
            stream.acked *= len(stream.parts) == 1
            here = [index for _, index in self._of(epoch)]
            stream.kept = min(here, default=-(-stream.length // stream.slots))
        self.saved = {epoch: stream.acked for epoch, stream in control.streams.items()}

    def add(self, epoch: int, index: int) -> None:
        """A segment was created."""
        self._segments.add((epoch, index))

    def room(self) -> bool:
        """Whether another segment may be created."""
        return len(self._segments) < self._most and not self.short

    def next(self, control: Control, journal: Journal | None) -> Step | None:
        """The next step towards more room, if one is wanted. `journal`: the stream that is written."""
        if self._leftover:
            return Remove((self._leftover[0],)), lambda _: self._leftover.__delitem__(0)
        if len(self._sums) > SUMS_KEPT:
            return Remove((self._sums[0],)), lambda _: self._sums.__delitem__(0)
        if self._going is None:
            self._going = self._choose(control, journal)
        if self._going is None:
            return None
        at = self._going
        if self._sum is None:
            stream = control.streams[at[0]]
            head = Head(at[0], at[1], stream.slots, bytes.fromhex(stream.nonce))
            most = min(head.last, stream.length if stream.length is not None else head.last)
            return Read(head, head.first, most), lambda scan: self._read(control, at, scan)
        if not self._summed:
            return Replace(sum_name(*at), pack(self._sum)), lambda _: self._noted(at)
        return Remove((segment_name(*at),)), lambda _: self._gone(control, at)

    def _read(self, control: Control, at: At, scan: Result) -> None:
        assert scan is None or isinstance(scan, Scan)
        self._sum = segment_totals(at, control.streams[at[0]], scan)

    def _noted(self, at: At) -> None:
        self._summed = True
        self._sums.append(sum_name(*at))

    def _gone(self, control: Control, at: At) -> None:
        self._segments.discard(at)
        stream = control.streams[at[0]]
        stream.kept = max(stream.kept, at[1] + 1)
        self._going = None
        self._sum = None
        self._summed = False
        self.dirty = True
        self.short = False

    def failed(self) -> None:
        """A disk without room for the sums still gives back the segment; the rest is tried again."""
        if self._sum is not None and not self._summed and self.short:
            self._summed = True
            self.alarms.append("no room for the sums of a segment that goes: it can't be reconciled any more")

    def _choose(self, control: Control, journal: Journal | None) -> At | None:
        for epoch in [e for e, s in control.streams.items() if s.over() and not self._of(e)]:
            if self.saved.get(epoch, -1) >= (control.streams[epoch].length or 0):
                del control.streams[epoch]
                self.dirty = True
        if not self.short and 2 * len(self._segments) <= self._most and len(control.streams) <= self._most:
            return None
        ready = sorted(at for at in self._segments if self._whole(at, journal) and at[0] in control.streams)
        behind = [at for at in ready if self._behind(control.streams[at[0]], at)]
        if behind:
            return behind[0]
        if self._full == "drop" and ready and not self.room():
            self._give_up(control, ready[0])
            return ready[0]
        return None

    def _whole(self, at: At, journal: Journal | None) -> bool:
        """Nothing will be written to it any more, and all of it is committed."""
        if journal is None or at[0] != journal.epoch:
            return journal is None or at[0] < journal.epoch
        return at[1] < min(journal.committed // journal.slots, journal.index)

    def _of(self, epoch: int) -> list[At]:
        return [at for at in self._segments if at[0] == epoch]

    def _behind(self, stream: Stream, at: At) -> bool:
        last = (at[1] + 1) * stream.slots
        end = last if stream.length is None else min(last, stream.length)
        tail = stream.length is not None and last >= stream.length
        # Billing that forgot moves the watermark back, and the disk may not know of it yet.
        return min(self.saved.get(at[0], 0), stream.acked) >= end and (stream.sealed or not tail)

    def _give_up(self, control: Control, at: At) -> None:
        stream = control.streams[at[0]]
        last = (at[1] + 1) * stream.slots
        lost = min(last, stream.length if stream.length is not None else last) - stream.acked
        if lost > 0:
            control.lost["dropped"] = control.lost.get("dropped", 0) + lost
            self.dirty = True
            self.alarms.append(f"no room: up to {lost} records of epoch {at[0]} go before billing had them")


def segment_totals(at: At, stream: Stream, scan: Scan | None) -> SegmentTotals:
    """What one segment holds, as totals."""
    totals, first = Totals(), at[1] * stream.slots + 1
    if scan is not None:
        totals.uses(use for payload in scan.payloads.values() if (use := unpack(payload)) is not None)
    bad = len(scan.bad) if scan is not None else stream.slots
    return SegmentTotals(at[0], first, first + stream.slots - 1, bad, totals.lines())
