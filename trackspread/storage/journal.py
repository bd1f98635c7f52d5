"""Writes one journal stream, with sequence numbers, segments allocated in advance, and group commits.

- Each process writes one new stream and never reopens an older one, so a sequence number is used only once.
- A record is in the page cache when `append` returns, so it survives the process. It survives the machine
  once it is committed; only committed records are sent to other machines.
- Records that are not committed stay in memory too. After a failed sync the content of the disk is unknown:
  the stream ends at its last committed record, and the caller writes the pending records to a new stream.
- `append` never blocks; it returns False if there is no free slot.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from .calls import Sync
from .interfaces import Area
from .slots import SegmentHeader, checksum_seed, pack_mark, pack_slot, slot_offset

MARK_EVERY = 256  # slots between marks; behind the last mark, damage looks like a torn write
ALLOCATE_AT_FREE_FRACTION = 0.5  # free fraction of the current segment at which the next one is allocated


@dataclass(frozen=True, slots=True)
class Commit:
    """Holds the disk call that commits one group of records, and the sequence number of its last slot."""

    call: Sync
    last_slot: int


class Journal:
    """Writes one stream.

    `next` is the sequence number of the next slot, `committed` that of the last slot known to be on the disk,
    and `pending` holds the payloads behind it, marks included.
    """

    def __init__(self, header: SegmentHeader, area: Area) -> None:
        self.epoch = header.epoch
        self.nonce = header.nonce
        self.slots = header.slots
        self.next = 1
        self.committed = 0
        self.pending: deque[bytes] = deque()
        self._seed = checksum_seed(header.nonce)
        self._marked = 0  # value of `committed` in the last mark
        self._head = header
        self._area = area
        self._final_mark_written = False
        self._spare: Area | None = None
        self._dirty: dict[int, Area] = {0: area}  # files that the next commit has to sync, by segment index

    def header(self, index: int) -> SegmentHeader:
        """Returns the header of this stream's segment number `index`."""
        return SegmentHeader(self.epoch, index, self.slots, self.nonce)

    @property
    def index(self) -> int:
        """Returns the number of the segment that is being written."""
        return self._head.index

    def free_slots(self) -> int:
        """Returns how many slots can be written now; pending slots never exceed the size of one segment."""
        allocated = self._free_in_segment() + (self.slots if self._spare is not None else 0)
        return min(allocated, self.slots - len(self.pending))

    def needed_segment(self) -> SegmentHeader | None:
        """Returns the header of the segment that should be allocated now, or None."""
        if self._spare is not None or self._free_in_segment() > self.slots * ALLOCATE_AT_FREE_FRACTION:
            return None
        return self.header(self.index + 1)

    def _free_in_segment(self) -> int:
        return self._head.last - self.next + 1

    def add_segment(self, area: Area) -> None:
        """Adds the file that was created for `needed_segment`."""
        self._spare = area

    def append(self, payload: bytes) -> bool:
        """Writes one record; returns False and writes nothing if there is no free slot."""
        mark_due = self.next - self._marked > MARK_EVERY and self.committed > self._marked
        if self.free_slots() < 1 + mark_due:
            return False
        if mark_due:
            self._write_mark()
        self._write_slot(payload)
        return True

    def write_final_mark(self) -> bool:
        """Ends the stream with a mark that covers all records; it is to be called while nothing is pending.

        Returns False if the mark was written just now and has to be committed. Returns True if the mark was
        written before, there are no records, or there is no free slot.
        """
        if self._final_mark_written or not self.committed or self.free_slots() < 1:
            return True
        self._final_mark_written = True
        self._write_mark()
        return False

    def _write_mark(self) -> None:
        self._marked = self.committed
        self._write_slot(pack_mark(self.committed))

    def _write_slot(self, payload: bytes) -> None:
        if self.next > self._head.last:
            assert self._spare is not None
            self._head = self.header(self.index + 1)
            self._area = self._spare
            self._spare = None
        self._area.write(slot_offset(self._head, self.next), pack_slot(payload, self._seed, self.next))
        self._dirty[self.index] = self._area
        self.pending.append(payload)
        self.next += 1

    def next_commit(self) -> Commit | None:
        """Returns the next group to commit, or None if nothing is pending.

        One group is in progress at a time.
        """
        if not self.pending:
            return None
        return Commit(Sync(tuple(self._dirty.values())), self.next - 1)

    def commit_done(self, commit: Commit) -> list[Area]:
        """Marks a group as committed and returns the full segments, which the caller closes."""
        while self.committed < commit.last_slot:
            self.committed += 1
            self.pending.popleft()
        earlier = [index for index in self._dirty if index < self.index]
        full = [index for index in earlier if self.committed >= self.header(index).last]
        return [self._dirty.pop(index) for index in full]

    def areas(self) -> list[Area]:
        """Returns all open segment files."""
        areas = list({**self._dirty, self.index: self._area}.values())
        if self._spare is not None:
            areas.append(self._spare)
        return areas

    def area(self, header: SegmentHeader) -> Area | None:
        """Returns the open file of segment `header`, or None if it is not open or of another stream."""
        if header.epoch != self.epoch:
            return None
        return self._area if header.index == self.index else self._dirty.get(header.index)
