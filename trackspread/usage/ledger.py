"""The ledger of use records: what is written, committed, exported, removed, and what happens as disks fail.

May know: the journal, the exporter, the meter, calls to the disk as values. May not know: threads, sockets,
clocks: `now` is handed in, calls and posts are handed out, and how they ended comes back. Rules:

- Serving never waits: `count` writes to memory that outlives the process, or folds into a sum.
- One call to the disk and one batch are out at a time.
- A life begins with a stream of its own: its first segment, then the control that names it, then records.
- After a sync that failed nothing is known of what it was for: the stream ends at what was committed, the
  rest is written into a new one, and one save of the control does both.
- The control lies twice; the copy that was last saved whole is never the one that is written.
- What a newer program wrote, or what can't be read, is left alone: sums are kept, an alarm says so.
"""

from __future__ import annotations

import errno
import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import cast

from ..storage.calls import Call, Create, FolderContents, InspectFolder, Read, Refresh, Result, Save
from ..storage.journal import Commit, Journal
from ..storage.interfaces import Area
from ..storage.slots import MARK, Head, Scan
from .control import AREA_SIZE, AREAS, STREAMS_MOST, Control, Names, Part, Stream, newest, pack
from .exporter import Exporter, Post, Stage
from .meter import REFUSALS_MS, SUMS_MOST, Meter
from .record import ATTEMPTS_MOST, Ending, Kind, Use
from .record import pack as pack_use
from .segments import Full, SegmentStore

SECOND = 1_000_000_000
RETRY = 2 * SECOND  # until a call that failed is made again
TOLD_AGAIN = 60 * SECOND  # between alarms that there is no room
Then = Callable[[int, Result], None]
Failed = Callable[[int, OSError], None]


class State(Enum):
    """Of the writer. FOUND: what a former life left is made sure of. ABSENT: there is no stream; one is made
    when it is time. STUCK: wants an operator."""

    NEW = "new"
    LOOKING = "looking"
    FOUND = "found"
    ABSENT = "absent"
    CREATING = "creating"
    SETTLING = "settling"
    DECLARING = "declaring"
    LIVE = "live"
    CLOSED = "closed"
    STUCK = "stuck"


# The control is known: the export goes on, whatever the writer does.
OPENED = frozenset({State.ABSENT, State.CREATING, State.SETTLING, State.DECLARING, State.LIVE})


@dataclass(frozen=True, slots=True)
class Bounds:
    """`slots`: records of one segment. `segments`: on the disk, at most; 4 at least. `commit`: ns from a
    record to its commit, without the disk's own time. `every`: ns for which a batch is filled."""

    slots: int
    segments: int
    commit: int
    every: int
    full: Full


class UsageLedger:
    """`alarms`: lines for the operators; `spent`: areas to be closed. Whoever hosts takes them from here."""

    def __init__(self, bounds: Bounds, names: Names, rng: random.Random, write: bool = True) -> None:
        """`write`: whether this life counts; without, it exports what others left and makes no stream."""
        self.bounds = bounds
        self.names = names
        self.state = State.NEW
        self.meter = Meter()
        self.exporter = Exporter(bounds.every, rng)
        self.journal: Journal | None = None
        self.control = Control(f"{rng.getrandbits(128):032x}")
        self.segment_store = SegmentStore(bounds.segments, bounds.full)
        self.alarms: list[str] = []
        self.spent: list[Area] = []
        # requests with a record of their own, and those in sums
        self.recorded = 0
        self.folded = 0
        self.trouble = ""  # the disk's last error; empty once a call went well
        self._rng = rng
        self._write = write
        self._areas: list[Area] = []  # of the control, in the order of `AREAS`
        self._good = 0  # which of them was last saved whole
        self._fresh: Journal | None = None  # a stream that is about to be declared
        self._out: tuple[Then, Failed] | None = None
        self._not_before: dict[str, int] = {}  # by purpose, when what failed is tried again
        # when the oldest uncommitted record came; when sums went
        self._since = 0
        self._unfolded = 0
        self._owed = False  # sums hold answers that would have had records of their own
        self._full_told = -TOLD_AGAIN
        self._epoch = 0  # the highest that was ever tried
        self._ending = False
        self._nobodys_told = False
        self._clamped_told = False

    # Counting.

    def count(
        self,
        now: int,
        ms: int,
        ending: Ending,
        cls: int,
        plan: int,
        version: int,
        customer: int,
        units: int,
        attempts: int,
    ) -> None:
        """One request's final answer. `now`: the host's clock, ns; `ms`: Unix time; `units`: billionths."""
        at, tries = self.meter.stamp(ms), min(attempts, ATTEMPTS_MOST)
        if ending is not Ending.REFUSED:
            if self.state is State.LIVE and self._append(
                now, pack_use(Kind.USE, ending, cls, plan, tries, version, 1, at, customer, units)
            ):
                self.recorded += 1
                return
            self._owed = True
        self.folded += 1
        self.meter.fold(Use(Kind.USE, ending, cls, plan, tries, version, 1, at, customer, units))

    def _append(self, now: int, payload: bytes) -> bool:
        journal = self.journal
        assert journal is not None
        if not journal.pending:
            self._since = now
        if journal.append(payload):
            return True
        if now - self._full_told >= TOLD_AGAIN:
            self._full_told = now
            self.alarms.append(f"use: no room for records, by choice '{self.bounds.full}': they are summed")
        return False

    def _unfold(self, now: int) -> None:
        """Sums go to the journal as far as it has room."""
        assert self.journal is not None
        self._unfolded = now
        while (use := self.meter.oldest()) is not None and self.journal.free_slots():
            if not self._append(now, pack_use(*use)):
                break
            self.meter.written(use)
        self._owed = bool(self.meter.sums)

    # Calls to the disk.

    def call(self, now: int) -> Call | None:
        """The next one, if none is out; how it ended is told to `done`."""
        if self._out is not None:
            return None
        if self.state is State.NEW:
            if not self._may("look", now):
                return None
            self.state = State.LOOKING
            return self._start(InspectFolder(AREAS, AREA_SIZE), self._found, self._not_found)
        if self.state is State.FOUND and self._may("refresh", now):
            names = self.segment_store.unsure(self.control)
            call = Refresh((self._areas[self._good],), names)
            return self._start(call, self._refreshed, self._later("refresh"))
        if self.state not in OPENED:
            return None
        return self._advance_stream(now) or self._maintain(now)

    def done(self, now: int, result: Result | OSError) -> None:
        """The end of the call that was out: what it gave, or the error."""
        assert self._out is not None
        (then, failed) = self._out
        self._out = None
        if isinstance(result, OSError):
            why = result.strerror or str(result)
            if why != self.trouble:
                self.alarms.append(f"use: the disk failed: {why}")
            self.trouble = why
            if result.errno in (errno.ENOSPC, errno.EDQUOT):
                self.segment_store.short = True
            failed(now, result)
        else:
            then(now, result)
            if self.trouble and self.state is State.LIVE:
                self.alarms.append("use: the disk works again")
                self.trouble = ""
        self.alarms += [f"use: {text}" for text in self.exporter.alarms + self.segment_store.alarms]
        self.exporter.alarms.clear()
        self.segment_store.alarms.clear()
        self._tell_meter()

    def _tell_meter(self) -> None:
        """Once each: more is in the records."""
        meter = self.meter
        if meter.nobodys and not self._nobodys_told:
            self._nobodys_told = True
            self.alarms.append(
                f"use: sums of more than {SUMS_MOST} members and plans: what is past them is "
                "recorded as nobody's"
            )
        if meter.clamped and not self._clamped_told:
            self._clamped_told = True
            self.alarms.append(
                "use: the clock was set back across a month's end: records are booked on the "
                "first moment of the month that was begun"
            )

    def _start(self, call: Call, then: Then, failed: Failed) -> Call:
        self._out = then, failed
        return call

    def _may(self, purpose: str, now: int) -> bool:
        return now >= self._not_before.get(purpose, 0)

    def _later(self, purpose: str) -> Failed:
        """What was not done is asked for again when its turn comes, not at once."""

        def failed(now: int, error: OSError) -> None:
            self._not_before[purpose] = now + RETRY

        return failed

    # The writer's: a stream for this life, and groups that are committed.

    def _absent(self, now: int, error: OSError) -> None:
        self._not_before["stream"] = now + RETRY
        self.state = State.ABSENT
        if self._fresh is not None:
            self.spent += self._fresh.areas()
            self._fresh = None

    def _advance_stream(self, now: int) -> Call | None:
        match self.state:
            case State.ABSENT if self._write and self._may("stream", now):
                if len(self.control.streams) < STREAMS_MOST:
                    return self._create()
                self.alarms.append(f"use: {STREAMS_MOST} lives wait for their export: sums are kept")
                self._not_before["stream"] = now + TOLD_AGAIN
            case State.SETTLING:
                assert self._fresh is not None
                if (commit := self._fresh.commit()) is None:
                    return self._declare(now)
                return self._start(commit.call, lambda now, _: self._settled(commit), self._absent)
            case State.DECLARING:
                return self._declare(now)
            case State.LIVE:
                return self._live(now)
        return None

    def _create(self) -> Call:
        self.state = State.CREATING
        # A try that seemed to fail may be on the disk all the same: its number is not used again.
        self._epoch += 1
        head = Head(self._epoch, 0, self.bounds.slots, self._rng.randbytes(16))

        def made(now: int, area: Result) -> None:
            self._fresh = Journal(head, cast(Area, area))
            for payload in self.journal.pending if self.journal is not None else ():
                if payload[0] != MARK:
                    self._fresh.append(payload)
            self.state = State.SETTLING

        return self._start(Create(head), made, self._absent)

    def _settled(self, commit: Commit) -> None:
        assert self._fresh is not None
        self.spent += self._fresh.synced(commit)
        self.state = State.DECLARING

    def _declare(self, now: int) -> Call | None:
        """One save ends the former stream, where it was left in doubt, and names the new one."""
        fresh, control, old = self._fresh, self.control, self.journal
        assert fresh is not None
        self.state = State.DECLARING
        before = control.epoch
        if old is not None:
            control.streams[old.epoch].length = old.committed
        control.epoch = fresh.epoch
        control.streams[fresh.epoch] = Stream(
            fresh.nonce.hex(), fresh.slots, control.names_of(self.names), [Part(1, fresh.nonce.hex())]
        )

        def declared(now: int, _: Result) -> None:
            if old is not None:
                self.spent += old.areas()
            self.journal = fresh
            self._fresh = None
            self.state = State.LIVE
            self.segment_store.add(fresh.epoch, 0)
            self.exporter.dirty = True  # the other copy, too, is to know of it
            self._owed = bool(self.meter.sums)

        def undone(now: int, error: OSError) -> None:
            del control.streams[fresh.epoch]
            control.epoch = before
            if old is not None:
                control.streams[old.epoch].length = None
            self._absent(now, error)

        return self._save(now, declared, undone)

    def _save(self, now: int, then: Then, failed: Failed) -> Call | None:
        control, at = self.control, 1 - self._good
        control.generation += 1
        control.month = max(control.month, self.meter.floor)
        watermarks = {epoch: stream.acked for epoch, stream in control.streams.items()}
        data = pack(control)
        if len(data) > AREA_SIZE:
            self.alarms.append(
                f"use: the control has outgrown {AREA_SIZE} bytes: long names of classes, or "
                "too many lives that wait for their export"
            )
            failed(now, OSError(errno.EFBIG, "control too large"))
            return None

        def saved(now: int, result: Result) -> None:
            self._good = at
            self.segment_store.saved = watermarks
            self.exporter.saved()
            then(now, result)

        return self._start(Save(self._areas[at], data), saved, failed)

    def _live(self, now: int) -> Call | None:
        journal, ending = self.journal, self._ending
        assert journal is not None
        waited = now - self._unfolded >= REFUSALS_MS * 1_000_000
        room = self._owed and journal.free_slots() > journal.slots // 4
        if self.meter.sums and (ending or waited or room):
            self._unfold(now)
        due = ending or now - self._since >= self.bounds.commit or len(journal.pending) > journal.slots // 2
        if due and (commit := journal.commit()) is not None:
            return self._start(commit.call, lambda now, _: self._committed(now, commit), self._doubted)
        if ending and not journal.pending and not self.meter.sums:
            if not journal.write_final_mark():
                return self._live(now)
            return self._end(now, journal) if self._may("end", now) else None
        if (
            (head := journal.needed_segment()) is not None
            and self.segment_store.room()
            and self._may("segment", now)
        ):
            return self._start(Create(head), self._provided, self._later("segment"))
        return None

    def _end(self, now: int, journal: Journal) -> Call | None:
        self.control.streams[journal.epoch].length = journal.committed

        def ended(now: int, _: Result) -> None:
            self.state = State.CLOSED
            self.spent += [*journal.areas(), *self._areas]

        return self._save(now, ended, self._later("end"))

    def _provided(self, now: int, area: Result) -> None:
        assert self.journal is not None
        self.journal.add_segment(cast(Area, area))
        self.segment_store.add(self.journal.epoch, self.journal.index + 1)

    def _committed(self, now: int, commit: Commit) -> None:
        assert self.journal is not None
        self.spent += self.journal.synced(commit)
        self._since = now

    def _doubted(self, now: int, error: OSError) -> None:
        """This stream is not written to any more, and a new one takes what is left of it."""
        self.alarms.append("use: a commit failed; what it was for is written anew, into a new stream")
        self._absent(now, error)

    # The control's and the export's.

    def _maintain(self, now: int) -> Call | None:
        exporter, control, journal = self.exporter, self.control, self.journal
        if (exporter.dirty or self.segment_store.dirty) and self._may("save", now):
            exporter.dirty = False
            self.segment_store.dirty = False
            return self._save(now, lambda now, _: None, self._unsaved)
        if self._may("retention", now) and (step := self.segment_store.next(control, journal)) is not None:
            call, after = step
            return self._start(call, lambda now, result: after(result), self._not_maintained)
        if not self._may("read", now):
            return None
        read = exporter.next(now, control, journal.committed if journal is not None else 0)
        if read is None:
            return None
        if journal is not None and (area := journal.area(read.head)) is not None:
            read = Read(read.head, read.first, read.last, area)

        def given(now: int, scan: Result) -> None:
            assert scan is None or isinstance(scan, Scan)
            exporter.made(control, scan)

        return self._start(read, given, self._not_read)

    def _unsaved(self, now: int, error: OSError) -> None:
        self.exporter.dirty = True
        self._later("save")(now, error)

    def _not_maintained(self, now: int, error: OSError) -> None:
        self.segment_store.failed()
        self._later("retention")(now, error)

    def _not_read(self, now: int, error: OSError) -> None:
        self.exporter.unread()
        self._later("read")(now, error)

    # The folder as a former life left it.

    def _not_found(self, now: int, error: OSError) -> None:
        self.state = State.NEW
        self._later("look")(now, error)

    def _found(self, now: int, found: Result) -> None:
        assert isinstance(found, FolderContents)
        best, at, wrong, newer = newest([area.read() for area in found.areas])
        self.alarms += [f"use: {text}" for text in wrong]
        strangers = {at for at in found.segments if best is None or at[0] not in best.streams}
        if newer or (best is None and any(found.segments[at][1] for at in strangers)):
            self.state = State.STUCK
            self.spent += found.areas
            why = (
                "a newer program wrote here"
                if newer
                else "there are records, and no control that can be read (`trackspread use repair` makes one)"
            )
            self.alarms.append(f"use: {why}: nothing is written or exported, sums are kept in memory")
            return
        self._areas = found.areas
        self._good = at
        self.state = State.FOUND
        self.alarms += [f"use: {name}: {why}" for name, why in found.broken.items()]
        if best is not None:
            self.control = best
        self.segment_store.found(self.control, found, strangers)
        # Names of lives that were never declared are not used again either: their files are still to go.
        self._epoch = max([self.control.epoch, *(epoch for epoch, _ in found.segments)])
        self.meter.floor = max(self.meter.floor, self.control.month)

    def _refreshed(self, now: int, result: Result) -> None:
        self.segment_store.ended(self.control)
        self.state = State.ABSENT

    # Billing.

    def post(self, now: int) -> Post | None:
        """The batch that may go to billing now."""
        return self.exporter.post(now) if self.state in OPENED else None

    def close(self) -> None:
        """No more is counted. All that was is committed; billing hears of it from the next life."""
        self._ending = True

    @property
    def exported(self) -> bool:
        """Billing has all that former lives left, and the disk knows it."""
        idle = self.exporter.stage is Stage.IDLE and not (self.exporter.dirty or self.segment_store.dirty)
        streams = self.control.streams.values()
        return self.state in OPENED and self._out is None and idle and all(s.over() for s in streams)

    @property
    def over(self) -> bool:
        """Nothing is left to be written, or nothing can be."""
        return self.state in (State.CLOSED, State.STUCK)
