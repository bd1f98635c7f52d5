"""Implements the ledger of usage records, which counts, writes, commits, exports and removes them.

It has no threads, sockets or clock. The host passes in the time, performs one disk call and sends one batch
at a time, and passes back the result of each. Every public method returns at once.
"""

from __future__ import annotations

import errno
import random

from ..storage.calls import Call, Result
from ..storage.journal import Journal
from ..storage.interfaces import Area
from .checkpoint import CheckpointStore
from .context import OPEN_STATES, Bounds, LedgerContext, State
from .control import Checkpoint, Names
from .disk_calls import DiskCalls
from .exporter import Exporter, Post, Stage
from .maintenance import Maintenance
from .meter import Meter
from .recorder import Recorder
from .recovery import FolderRecovery
from .segments import SegmentStore
from .stream_writer import StreamWriter

__all__ = ["OPEN_STATES", "Bounds", "State", "UsageLedger"]

PRODUCER_BITS = 128


class UsageLedger:
    """Holds one process's ledger on one folder.

    `alarms` are lines for operators, which the host takes. `last_error` is the last error of the disk; it is
    emptied once a call has succeeded while records are written. `count` records a request (see
    `Recorder.count`).
    """

    def __init__(self, bounds: Bounds, names: Names, rng: random.Random, write: bool = True) -> None:
        """Creates a ledger that knows nothing of its folder yet.

        `names` are this gateway's. Without `write` nothing is recorded, and the records of earlier
        incarnations are exported.
        """
        self.alarms: list[str] = []
        self.last_error = ""
        self.meter = Meter()
        self.exporter = Exporter(bounds.batch_delay_ns, rng)
        self.segment_store = SegmentStore(bounds.max_segments, bounds.when_full)
        checkpoint = Checkpoint(f"{rng.getrandbits(PRODUCER_BITS):032x}")
        self._calls = DiskCalls()
        self._checkpoint_store = CheckpointStore(checkpoint, self._calls, self.alarms)
        self._context = LedgerContext(
            bounds,
            names,
            rng,
            self.meter,
            self.exporter,
            self.segment_store,
            self._checkpoint_store,
            self._calls,
            self.alarms,
        )
        self._recorder = Recorder(self._context)
        self.count = self._recorder.count
        self._recovery = FolderRecovery(self._context)
        self._writer = StreamWriter(self._context, self._recorder, write)
        self._maintenance = Maintenance(self._context)

    @property
    def state(self) -> State:
        """Returns the state of the ledger's work on its folder."""
        return self._context.state

    @property
    def checkpoint(self) -> Checkpoint:
        """Returns the checkpoint as it is in memory."""
        return self._checkpoint_store.checkpoint

    @property
    def journal(self) -> Journal | None:
        """Returns the stream that is written.

        After a failed commit it is the former stream until the next one is declared.
        """
        return self._recorder.journal

    @property
    def recorded(self) -> int:
        """Returns the number of requests with a record of their own."""
        return self._recorder.recorded

    @property
    def folded(self) -> int:
        """Returns the number of requests that were added to sums."""
        return self._recorder.folded

    @property
    def is_all_exported(self) -> bool:
        """Returns whether billing has acknowledged all that earlier incarnations left.

        The acknowledgement must be on the disk too.
        """
        is_saved = not (self.exporter.dirty or self.segment_store.dirty)
        is_idle = self.exporter.stage is Stage.IDLE and is_saved and not self._calls.in_progress
        streams = self.checkpoint.streams.values()
        return self.state in OPEN_STATES and is_idle and all(stream.is_exported() for stream in streams)

    @property
    def is_closing(self) -> bool:
        """Returns whether `close` was called."""
        return self._context.closing

    @property
    def is_stopped(self) -> bool:
        """Returns whether nothing is left to be written or nothing can be written."""
        return self.state in (State.CLOSED, State.STUCK)

    def close(self) -> None:
        """Stops counting and commits all that was counted; the next incarnation exports the rest."""
        self._context.closing = True

    def next_call(self, now: int) -> Call | None:
        """Returns the next disk call, or None if none is due or one is in progress.

        `now` is in ns. The host passes the call's result to `call_done`.
        """
        if self._calls.in_progress:
            return None
        if self.state not in OPEN_STATES:
            return self._recovery.next_call(now)
        return self._writer.next_call(now) or self._maintenance.next_call(now, self.journal)

    def call_done(self, now: int, result: Result | OSError) -> None:
        """Handles the result or error with which the call in progress has ended; `now` is in ns."""
        pending = self._calls.finish()
        if isinstance(result, OSError):
            self._disk_failed(result)
            pending.on_failure(now, result)
        else:
            pending.on_success(now, result)
            if self.last_error and self.state is State.LIVE:
                self.alarms.append("use: disk calls succeed again")
                self.last_error = ""
        self.alarms += [f"use: {text}" for text in self.exporter.alarms + self.segment_store.alarms]
        self.exporter.alarms.clear()
        self.segment_store.alarms.clear()
        self._recorder.raise_meter_alarms()

    def next_post(self, now: int) -> Post | None:
        """Returns the batch to send to billing now, or None if none is due; `now` is in ns.

        The host passes the result to `exporter.reply_received` or `exporter.send_failed`.
        """
        return self.exporter.next_post(now) if self.state in OPEN_STATES else None

    def take_released_areas(self) -> list[Area]:
        """Returns the areas that fell out of use since the last call; the host closes them."""
        released = self._context.released_areas
        self._context.released_areas = []
        return released

    def _disk_failed(self, error: OSError) -> None:
        reason = error.strerror or str(error)
        if reason != self.last_error:
            self.alarms.append(f"use: a disk call failed: {reason}")
        self.last_error = reason
        if error.errno in (errno.ENOSPC, errno.EDQUOT):
            self.segment_store.disk_full = True
