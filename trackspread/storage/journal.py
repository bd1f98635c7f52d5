"""One stream of a journal while it is written: places in order, segments ahead of need, what is committed.

May know: slots, areas. May not know: threads, when a call is made, what a payload means. Rules:

- A stream is one life of one process and is never written again: a place is given out once, by one life.
- What was appended is in the page cache when `append` returns: it outlives the process. It outlives the
  machine from when it is committed, and only what is committed leaves this machine.
- Whatever is not committed is kept here too: where a sync failed nobody can say what is on the disk, so the
  stream ends at what was committed and the rest is written anew, into a new one.
- An append that finds no room says so; it never waits.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from .calls import Sync
from .seam import Area
from .slots import Head, pack_mark, pack_slot, place, seed_of

MARK_EVERY = 256  # slots between marks: 0.4% of the room, and damage is told from a torn end to within that
AHEAD = 0.5  # part of a segment that may be left when the next one is made


@dataclass(frozen=True, slots=True)
class Commit:
    """One group: the call that commits it, and the last place it holds."""

    call: Sync
    upto: int


class Journal:
    """The writer of one stream. `next`: the place of the next slot. `committed`: the last one on the disk."""

    def __init__(self, head: Head, area: Area) -> None:
        self.epoch = head.epoch
        self.nonce = head.nonce
        self.slots = head.slots
        self.next = 1
        self.committed = 0
        self.pending: deque[bytes] = deque()  # payloads behind `committed`, marks too
        self._seed = seed_of(head.nonce)
        self._marked = 0
        self._head = head
        self._area = area
        self._ended = False
        self._spare: Area | None = None
        self._dirty: dict[int, Area] = {0: area}  # by index: what the next commit has to sync

    def head(self, index: int) -> Head:
        return Head(self.epoch, index, self.slots, self.nonce)

    @property
    def index(self) -> int:
        """Of the segment that is written."""
        return self._head.index

    @property
    def active(self) -> tuple[int, Area]:
        return self._head.index, self._area

    def room(self) -> int:
        """Slots that can be appended now. What is not committed never fills more than a segment."""
        here = self._head.last - self.next + 1 + (self.slots if self._spare is not None else 0)
        return min(here, self.slots - len(self.pending))

    def wants(self) -> Head | None:
        """The segment that should be made now."""
        left = self._head.last - self.next + 1
        return self.head(self.index + 1) if self._spare is None and left <= self.slots * AHEAD else None

    def provide(self, area: Area) -> None:
        self._spare = area

    def append(self, payload: bytes) -> bool:
        """False where there is no room: nothing was written then."""
        mark = self.next - self._marked > MARK_EVERY and self.committed > self._marked
        if self.room() < 1 + mark:
            return False
        if mark:
            self._mark()
        self._put(payload)
        return True

    def ended(self) -> bool:
        """Whether a last mark says that all records are on the disk; the first time one is written that
        does, if there are records. To be asked when nothing is pending."""
        if self._ended or not self.committed or self.room() < 1:
            return True
        self._ended = True
        self._mark()
        return False

    def _mark(self) -> None:
        self._marked = self.committed
        self._put(pack_mark(self.committed))

    def _put(self, payload: bytes) -> None:
        if self.next > self._head.last:
            assert self._spare is not None
            self._head = self.head(self.index + 1)
            self._area = self._spare
            self._spare = None
        self._area.write(place(self._head, self.next), pack_slot(payload, self._seed, self.next))
        self._dirty[self.index] = self._area
        self.pending.append(payload)
        self.next += 1

    def commit(self) -> Commit | None:
        """The group that is to be committed next; one at a time."""
        if not self.pending:
            return None
        return Commit(Sync(tuple(self._dirty.values())), self.next - 1)

    def synced(self, commit: Commit) -> list[Area]:
        """The group is on the disk. Gives the segments that are written to their end, to be closed."""
        while self.committed < commit.upto:
            self.committed += 1
            self.pending.popleft()
        past = [index for index in self._dirty if index < self.index]
        full = [index for index in past if self.committed >= self.head(index).last]
        return [self._dirty.pop(index) for index in full]

    def areas(self) -> list[Area]:
        """All that are open."""
        open_here = {**self._dirty, self.index: self._area}
        return [*open_here.values(), *([self._spare] if self._spare is not None else [])]

    def area(self, head: Head) -> Area | None:
        """The open segment that `head` names, if it is one of this stream's."""
        if head.epoch != self.epoch:
            return None
        return self._area if head.index == self.index else self._dirty.get(head.index)
