"""Ledgers of use records with one fault each, for the schedules to convict.

Each breaks one rule of `storage/` or `usage/` by a patch that is taken back.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any
from unittest.mock import patch

from ....storage import calls
from ....storage.calls import Refresh, Result, Sync
from ....storage.journal import Journal
from ....storage.interfaces import Files
from ....storage.slots import Head, Scan
from ....usage import exporter, ledger
from ....usage.batch import Reply
from ....usage.control import Control, Stream
from ....usage.exporter import Exporter, Span, Stage
from ....usage.ledger import State, UsageLedger
from ....usage.meter import Meter
from ....usage.record import Use, pack
from ....usage.segments import SegmentStore
from . import world as used
from ..patches import held
from .schedules import make, play


def _skip(kind: type) -> list[Any]:
    """One kind of call is told as done and is not."""

    def mutant(files: Files, call: calls.Call) -> Result:
        return None if isinstance(call, kind) else calls.perform(files, call)

    return [patch.object(used, "perform", mutant)]


def _ack_before_sync() -> list[Any]:
    return _skip(Sync)


def _no_refresh() -> list[Any]:
    """What a killed life left in the page cache is taken for written."""
    return _skip(Refresh)


def _places_used_again() -> list[Any]:
    """Every life writes the same stream from its first place on."""

    def mutant(epoch: int, index: int, slots: int, nonce: bytes) -> Head:
        return Head(epoch, index, slots, bytes(16))

    return [patch.object(ledger, "Head", mutant)]


def _names_used_again() -> list[Any]:
    """A life takes the number of one that was never declared, whose files are still to go."""
    real = UsageLedger._found

    def mutant(self: UsageLedger, now: int, found: Result) -> None:
        real(self, now, found)
        self._epoch = self.control.epoch

    return [patch.object(UsageLedger, "_found", mutant)]


def _gone_before_the_watermark() -> list[Any]:
    return [patch.object(SegmentStore, "_behind", lambda self, stream, at: True)]


def _not_noted() -> list[Any]:
    """A batch is sent before the disk knows of it."""
    real = Exporter.made

    def mutant(self: Exporter, control: Control, scan: Scan | None) -> None:
        real(self, control, scan)
        if self.stage is Stage.NOTING:
            self.stage = Stage.READY
            self.dirty = False

    return [patch.object(Exporter, "made", mutant)]


def _synced_again() -> list[Any]:
    """After a sync that failed the next one is believed."""

    def mutant(self: UsageLedger, now: int, error: OSError) -> None:
        return None

    return [patch.object(UsageLedger, "_doubted", mutant)]


def _good_copy_overwritten() -> list[Any]:
    real = UsageLedger._save

    def mutant(self: UsageLedger, *words: Any) -> Any:
        self._good = 1 - self._good
        return real(self, *words)

    return [patch.object(UsageLedger, "_save", mutant)]


def _doubt_forgotten() -> list[Any]:
    """What a failed sync was for is not written into the new stream."""
    real = UsageLedger._create

    def mutant(self: UsageLedger) -> Any:
        if self.journal is not None:
            self.journal.pending.clear()
        return real(self)

    return [patch.object(UsageLedger, "_create", mutant)]


def _doubt_kept() -> list[Any]:
    """The stream that a failed sync left in doubt is not ended: what is written anew counts twice."""
    real = UsageLedger._declare

    def mutant(self: UsageLedger, now: int) -> Any:
        made = real(self, now)
        if self.journal is not None and self.journal.epoch in self.control.streams:
            self.control.streams[self.journal.epoch].length = self.journal.next - 1
        return made

    return [patch.object(UsageLedger, "_declare", mutant)]


def _sum_written_twice() -> list[Any]:
    """A sum is let go of only every other time."""
    real, turns = Meter.written, iter(range(10**9))

    def mutant(self: Meter, use: Use) -> None:
        if next(turns) % 2:
            real(self, use)

    return [patch.object(Meter, "written", mutant)]


def _sum_dropped() -> list[Any]:
    """A sum is let go of before it has a place."""

    def mutant(self: UsageLedger, now: int) -> None:
        while (use := self.meter.oldest()) is not None:
            self.meter.written(use)
            self._append(now, pack(*use))

    return [patch.object(UsageLedger, "_unfold", mutant)]


def _tail_forgotten() -> list[Any]:
    """A life that was killed ends where billing had got to."""
    real = SegmentStore.ended

    def mutant(self: SegmentStore, control: Control) -> None:
        for stream in control.streams.values():
            if stream.length is None:
                stream.length = stream.acked
        real(self, control)

    return [patch.object(SegmentStore, "ended", mutant)]


def _silence_is_consent() -> list[Any]:
    """A batch without an answer counts as taken."""

    def mutant(self: Exporter, now: int, why: str, retry_in: int = 0, final: bool = False) -> None:
        self.stage = Stage.IDLE

    real = used.Life._patience

    def patience(self: used.Life, number: int) -> None:
        span = self.ledger.exporter._span
        sent = self.ledger.exporter.stage is Stage.SENT and number == self._posts
        real(self, number)
        if sent and span is not None and self.alive:
            self.ledger.control.streams[span.epoch].acked = span.last
            self.ledger.control.intent = None

    return [patch.object(Exporter, "failed", mutant), patch.object(used.Life, "_patience", patience)]


def _fenced_is_done() -> list[Any]:
    """What lies behind a seal is taken for somebody else's."""

    def mutant(self: Exporter, span: Span, stream: Stream, reply: Reply) -> None:
        stream.acked = span.last if stream.length is None else stream.length
        stream.sealed = True

    return [patch.object(Exporter, "_fenced", mutant)]


def _forks_of_their_own() -> list[Any]:
    """Copies of one folder name what lies behind a seal each for itself."""
    count = iter(range(10**9))
    return [patch.object(exporter, "forked", lambda stream, first: f"{stream}:{first}:{next(count)}")]


def _live_sealed() -> list[Any]:
    """A stream is told to be whole while it is written."""
    real = Exporter.made

    def mutant(self: Exporter, control: Control, scan: Scan | None) -> None:
        assert self._span is not None
        stream = control.streams[self._span.epoch]
        if stream.length is not None:
            return real(self, control, scan)
        stream.length = self._span.last
        try:
            return real(self, control, scan)
        finally:
            stream.length = None

    return [patch.object(Exporter, "made", mutant)]


def _sealed_unsaid() -> list[Any]:
    """A stream counts as sealed once billing has all its records, whether or not it was told the length."""
    real = Exporter.answered

    def mutant(self: Exporter, control: Control, reply: Reply) -> None:
        assert self._span is not None
        stream = control.streams[self._span.epoch]
        real(self, control, reply)
        stream.sealed |= stream.length is not None and stream.acked >= stream.length

    return [patch.object(Exporter, "answered", mutant)]


def _set_back_unseen() -> list[Any]:
    """Billing that forgot is told what comes next, and no more."""

    def mutant(self: Exporter, control: Control, span: Span, taken: int) -> None:
        control.streams[span.epoch].acked = span.last

    return [patch.object(Exporter, "_forgotten", mutant)]


def _closed_early() -> list[Any]:
    """A clean end does not wait for its last commit."""
    real = UsageLedger._live

    def mutant(self: UsageLedger, now: int) -> Any:
        if self._ending and self.state is State.LIVE and self.journal is not None:
            return self._end(now, self.journal)
        return real(self, now)

    return [patch.object(UsageLedger, "_live", mutant)]


def _places_anywhere() -> list[Any]:
    """Committed counts what was written, not what the sync was for."""
    real = Journal.synced

    def mutant(self: Journal, commit: Any) -> Any:
        return real(self, type(commit)(commit.call, self.next - 1))

    return [patch.object(Journal, "synced", mutant)]


MUTANTS: dict[str, Callable[[], list[Any]]] = {
    each.__name__.strip("_").replace("_", "-"): each
    for each in (
        _ack_before_sync,
        _no_refresh,
        _places_used_again,
        _names_used_again,
        _gone_before_the_watermark,
        _not_noted,
        _synced_again,
        _good_copy_overwritten,
        _doubt_forgotten,
        _doubt_kept,
        _sum_written_twice,
        _sum_dropped,
        _tail_forgotten,
        _silence_is_consent,
        _fenced_is_done,
        _forks_of_their_own,
        _live_sealed,
        _sealed_unsaid,
        _set_back_unseen,
        _closed_early,
        _places_anywhere,
    )
}


def convict(name: str, seeds: Iterator[int]) -> int | None:
    """The first of the seeds whose schedule shows the mutant; None if none does."""
    with held(MUTANTS[name]()):
        return next((seed for seed in seeds if _shows(seed)), None)


def _shows(seed: int) -> bool:
    try:
        return bool(play(make(seed))[0])
    except (AssertionError, KeyError, IndexError, ValueError):
        return True  # a ledger that trips over its own fault
