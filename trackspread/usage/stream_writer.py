"""Creates, commits and ends the stream that is written.

- Each incarnation writes a stream of its own: first its first segment, then the checkpoint that names it,
  then records.
- After a failed sync the state of its records on the disk is unknown. The stream ends with what was
  committed, the rest is copied to a new stream, and one save of the checkpoint does both.
"""

from __future__ import annotations

from typing import cast

from ..storage.calls import Call, Create, Result
from ..storage.journal import Commit, Journal
from ..storage.interfaces import Area
from ..storage.slots import MARK, SegmentHeader
from .context import ALARM_INTERVAL_NS, LedgerContext, State
from .control import MAX_STREAMS, Part, Stream
from .disk_calls import RETRY_NS, Purpose
from .recorder import Recorder

NONCE_BYTES = 16
COMMIT_PENDING_DIVISOR = 2  # uncommitted records that fill half a segment are committed at once


class StreamWriter:
    """Takes the ledger from the state NO_STREAM to CLOSED."""

    def __init__(self, context: LedgerContext, recorder: Recorder, write: bool) -> None:
        """Creates a writer without a stream; without `write` it never creates one."""
        self._context = context
        self._recorder = recorder
        self._write = write
        self._new_journal: Journal | None = None  # a stream that is not declared yet

    def next_call(self, now: int) -> Call | None:
        """Returns the next call for the stream, or None if none is due; `now` is in ns."""
        match self._context.state:
            case State.NO_STREAM:
                return self._create_if_allowed(now)
            case State.COPYING:
                return self._copy(now)
            case State.DECLARING:
                return self._declare(now)
            case State.LIVE:
                return self._write_live(now)
        return None

    def _abandon_new_stream(self, now: int, _: OSError) -> None:
        """Gives up the new stream after an error; another one is created after a pause."""
        context = self._context
        context.calls.postpone(Purpose.STREAM, now + RETRY_NS)
        context.state = State.NO_STREAM
        if self._new_journal is not None:
            context.released_areas += self._new_journal.areas()
            self._new_journal = None

    def _create_if_allowed(self, now: int) -> Call | None:
        context = self._context
        if not self._write or not context.calls.may_start(Purpose.STREAM, now):
            return None
        if len(context.checkpoint_store.checkpoint.streams) < MAX_STREAMS:
            return self._create()
        context.alarms.append(
            f"use: {MAX_STREAMS} streams wait for their export, the limit: requests are summed in memory"
        )
        context.calls.postpone(Purpose.STREAM, now + ALARM_INTERVAL_NS)
        return None

    def _create(self) -> Call:
        context = self._context
        context.state = State.CREATING
        # A failed attempt may have left files, so its epoch is not reused.
        context.highest_epoch += 1
        nonce = context.rng.randbytes(NONCE_BYTES)
        header = SegmentHeader(context.highest_epoch, 0, context.bounds.segment_slots, nonce)

        def created(now: int, area: Result) -> None:
            self._new_journal = Journal(header, cast(Area, area))
            former = self._recorder.journal
            for payload in former.pending if former is not None else ():
                if payload[0] != MARK:
                    self._new_journal.append(payload)
            context.state = State.COPYING

        return context.calls.start(Create(header), created, self._abandon_new_stream)

    def _copy(self, now: int) -> Call | None:
        """Commits the records that were copied from the former stream to the new one."""
        journal = self._new_journal
        assert journal is not None
        if (commit := journal.next_commit()) is None:
            return self._declare(now)

        def copied(now: int, _: Result) -> None:
            self._context.released_areas += journal.commit_done(commit)
            self._context.state = State.DECLARING

        return self._context.calls.start(commit.call, copied, self._abandon_new_stream)

    def _declare(self, now: int) -> Call | None:
        """Saves a checkpoint that names the new stream and ends a former one that a failed commit left."""
        context, new, former = self._context, self._new_journal, self._recorder.journal
        checkpoint = context.checkpoint_store.checkpoint
        assert new is not None
        context.state = State.DECLARING
        epoch_before = checkpoint.epoch
        if former is not None:
            checkpoint.streams[former.epoch].length = former.committed
        checkpoint.epoch = new.epoch
        nonce = new.nonce.hex()
        names_index = checkpoint.names_index(context.names)
        checkpoint.streams[new.epoch] = Stream(nonce, new.slots, names_index, [Part(1, nonce)])

        def declared(now: int, _: Result) -> None:
            if former is not None:
                context.released_areas += former.areas()
            self._new_journal = None
            context.state = State.LIVE
            context.segment_store.add(new.epoch, 0)
            context.exporter.dirty = True  # the checkpoint's other area must name the stream too
            self._recorder.stream_declared(new)

        def failed(now: int, error: OSError) -> None:
            del checkpoint.streams[new.epoch]
            checkpoint.epoch = epoch_before
            if former is not None:
                checkpoint.streams[former.epoch].length = None
            self._abandon_new_stream(now, error)

        return context.save_checkpoint(now, declared, failed)

    def _write_live(self, now: int) -> Call | None:
        context, recorder, journal = self._context, self._recorder, self._recorder.journal
        assert journal is not None
        recorder.flush_if_due(now, journal)
        if self._commit_is_due(now, journal) and (commit := journal.next_commit()) is not None:
            return context.calls.start(
                commit.call, lambda now, _: self._committed(now, commit), self._commit_failed
            )
        if context.closing and not journal.pending and not context.meter.sums:
            if not journal.write_final_mark():
                return self._write_live(now)  # this commits the last mark
            return self._end(now, journal) if context.calls.may_start(Purpose.END, now) else None
        return self._extend(now, journal)

    def _commit_is_due(self, now: int, journal: Journal) -> bool:
        context = self._context
        has_waited = now - self._recorder.uncommitted_since_ns >= context.bounds.commit_delay_ns
        return context.closing or has_waited or len(journal.pending) > journal.slots // COMMIT_PENDING_DIVISOR

    def _committed(self, now: int, commit: Commit) -> None:
        journal = self._recorder.journal
        assert journal is not None
        self._context.released_areas += journal.commit_done(commit)
        self._recorder.uncommitted_since_ns = now

    def _commit_failed(self, now: int, error: OSError) -> None:
        """Stops writing to the stream; its uncommitted records are copied to a new one."""
        self._context.alarms.append("use: a commit failed: its records are written to a new stream")
        self._abandon_new_stream(now, error)

    def _extend(self, now: int, journal: Journal) -> Call | None:
        """Returns the call that creates the next segment if the stream needs one and the limit allows it."""
        context = self._context
        if (header := journal.needed_segment()) is None or not context.segment_store.may_create():
            return None
        if not context.calls.may_start(Purpose.SEGMENT, now):
            return None

        def created(now: int, area: Result) -> None:
            journal.add_segment(cast(Area, area))
            context.segment_store.add(journal.epoch, journal.index + 1)

        return context.calls.start(Create(header), created, context.calls.retry_later(Purpose.SEGMENT))

    def _end(self, now: int, journal: Journal) -> Call | None:
        """Saves the length of the stream, as all is committed and the ledger is closing."""
        context = self._context
        store = context.checkpoint_store
        store.checkpoint.streams[journal.epoch].length = journal.committed

        def ended(now: int, _: Result) -> None:
            context.state = State.CLOSED
            context.released_areas += [*journal.areas(), *store.areas]

        return context.save_checkpoint(now, ended, context.calls.retry_later(Purpose.END))
