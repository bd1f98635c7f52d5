"""The ledger of usage records: what is counted, written, committed, exported and removed.

It has no threads, sockets or clock. The host passes in the time, performs one call to the disk and sends one
batch at a time, and passes back how each has ended. Every public method returns at once.
"""

from __future__ import annotations

import errno
import random

from ..storage.calls import Call, Result
from ..storage.journal import Journal
from ..storage.interfaces import Area
from .checkpoint import CheckpointStore
from .context import OPENED, Bounds, LedgerContext, State
from .control import Control, Names
from .disk_calls import DiskCalls
from .exporter import Exporter, Post, Stage
from .maintenance import Maintenance
from .meter import Meter
from .recorder import Recorder
from .recovery import FolderRecovery
from .segments import SegmentStore
from .stream_writer import StreamWriter

__all__ = ["OPENED", "Bounds", "State", "UsageLedger"]

PRODUCER_BITS = 128


class UsageLedger:
    """One process's ledger on one folder.

    `alarms` are lines for operators; the host takes them. `last_error` is the last error of the disk, empty
    once a call has succeeded while records are written. `count` records a request: see `Recorder.count`.
    """

    def __init__(self, bounds: Bounds, names: Names, rng: random.Random, write: bool = True) -> None:
        """`names`: of this gateway. Without `write` nothing is recorded, and what earlier incarnations left
        is exported."""
        self.alarms: list[str] = []
        self.last_error = ""
        self.meter = Meter()
        self.exporter = Exporter(bounds.batch_delay_ns, rng)
        self.segment_store = SegmentStore(bounds.max_segments, bounds.when_full)
        control = Control(f"{rng.getrandbits(PRODUCER_BITS):032x}")
        self._calls = DiskCalls()
        self._checkpoint = CheckpointStore(control, self._calls, self.alarms)
        self._context = LedgerContext(
            bounds,
            names,
            rng,
            self.meter,
            self.exporter,
            self.segment_store,
            self._checkpoint,
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
        """What the ledger is doing with its folder."""
        return self._context.state

    @property
    def control(self) -> Control:
        """The checkpoint as it is in memory."""
        return self._checkpoint.control

    @property
    def journal(self) -> Journal | None:
        """The stream that is written; after a failed commit the former one until the next is declared."""
        return self._recorder.journal

    @property
    def recorded(self) -> int:
        """Requests with a record of their own."""
        return self._recorder.recorded

    @property
    def folded(self) -> int:
        """Requests that were added to sums."""
        return self._recorder.folded

    @property
    def is_all_exported(self) -> bool:
        """Whether billing has acknowledged all that earlier incarnations left, and the disk has that."""
        is_saved = not (self.exporter.dirty or self.segment_store.dirty)
        is_idle = self.exporter.stage is Stage.IDLE and is_saved and not self._calls.in_progress
        streams = self.control.streams.values()
        return self.state in OPENED and is_idle and all(stream.is_exported() for stream in streams)

    @property
    def is_closing(self) -> bool:
        """Whether `close` was called."""
        return self._context.closing

    @property
    def is_stopped(self) -> bool:
        """Whether nothing is left to be written, or nothing can be."""
        return self.state in (State.CLOSED, State.STUCK)

    def close(self) -> None:
        """Count no more, and commit all that was counted; the next incarnation exports what is left."""
        self._context.closing = True

    def next_call(self, now: int) -> Call | None:
        """The next call to the disk, None if none is due or one is in progress; `now` is in ns.

        The host passes its result to `call_done`.
        """
        if self._calls.in_progress:
            return None
        if self.state not in OPENED:
            return self._recovery.next_call(now)
        return self._writer.next_call(now) or self._maintenance.next_call(now, self.journal)

    def call_done(self, now: int, result: Result | OSError) -> None:
        """The call in progress has ended with this result or error; `now` is in ns."""
        pending = self._calls.finish()
        if isinstance(result, OSError):
            self._disk_failed(result)
            pending.on_failure(now, result)
        else:
            pending.on_success(now, result)
            if self.last_error and self.state is State.LIVE:
                self.alarms.append("use: the disk works again")
                self.last_error = ""
        self.alarms += [f"use: {text}" for text in self.exporter.alarms + self.segment_store.alarms]
        self.exporter.alarms.clear()
        self.segment_store.alarms.clear()
        self._recorder.raise_meter_alarms()

    def next_post(self, now: int) -> Post | None:
        """The batch to send to billing now, None if none is due; `now` is in ns.

        The host passes the result to `exporter.reply_received` or `exporter.send_failed`.
        """
        return self.exporter.next_post(now) if self.state in OPENED else None

    def take_released_areas(self) -> list[Area]:
        """Areas that are no longer used since the last call; the host closes them."""
        released = self._context.released_areas
        self._context.released_areas = []
        return released

    def _disk_failed(self, error: OSError) -> None:
        reason = error.strerror or str(error)
        if reason != self.last_error:
            self.alarms.append(f"use: the disk failed: {reason}")
        self.last_error = reason
        if error.errno in (errno.ENOSPC, errno.EDQUOT):
            self.segment_store.disk_full = True
