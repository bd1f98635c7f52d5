"""Defines what the components of one ledger share: its settings, its state, and each other's data."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum

from ..storage.calls import Call
from ..storage.interfaces import Area
from .checkpoint import CheckpointStore
from .control import Names
from .disk_calls import DiskCalls, OnFailure, OnSuccess
from .exporter import Exporter
from .meter import Meter
from .segments import FullPolicy, SegmentStore

SECOND = 1_000_000_000
ALARM_INTERVAL_NS = 60 * SECOND  # interval between two alarms about the same lack of space


class State(Enum):
    """Names the state of a ledger.

    - NEW: the folder was not read yet.
    - SCANNING: the folder is being read.
    - REFRESHING: what earlier incarnations wrote is written and synced again.
    - NO_STREAM: the checkpoint is known, and a stream will be created.
    - CREATING: the stream's first segment is being created.
    - COPYING: records that a failed commit left in doubt are committed to the new stream.
    - DECLARING: the checkpoint that names the stream is being saved.
    - LIVE: records are written.
    - CLOSED: all records are committed and the stream has ended.
    - STUCK: an operator has to intervene.
    """

    NEW = "new"
    SCANNING = "scanning"
    REFRESHING = "refreshing"
    NO_STREAM = "no stream"
    CREATING = "creating"
    COPYING = "copying"
    DECLARING = "declaring"
    LIVE = "live"
    CLOSED = "closed"
    STUCK = "stuck"


# In these states the checkpoint is known and the export runs, whatever the state of the written stream is.
OPEN_STATES = frozenset({State.NO_STREAM, State.CREATING, State.COPYING, State.DECLARING, State.LIVE})


@dataclass(frozen=True, slots=True)
class Bounds:
    """Holds the sizes and times of a ledger.

    `segment_slots` is the number of slots in one segment, `max_segments` the limit of segments on the disk,
    at least 4. `commit_delay_ns` is the time from a record to the start of its commit. `batch_delay_ns` is
    how long a batch that is not full waits for more records. `when_full` is the policy at `max_segments`.
    """

    segment_slots: int
    max_segments: int
    commit_delay_ns: int
    batch_delay_ns: int
    when_full: FullPolicy


@dataclass(slots=True)
class LedgerContext:
    """Holds the shared data of one ledger.

    `highest_epoch` is the highest epoch of any created stream, declared or not. `closing` says that no more
    requests are counted. `alarms` are lines for operators, `released_areas` are areas to be closed; the host
    takes both.
    """

    bounds: Bounds
    names: Names
    rng: random.Random
    meter: Meter
    exporter: Exporter
    segment_store: SegmentStore
    checkpoint_store: CheckpointStore
    calls: DiskCalls
    alarms: list[str]
    released_areas: list[Area] = field(default_factory=list)
    state: State = State.NEW
    highest_epoch: int = 0
    closing: bool = False

    def save_checkpoint(self, now: int, on_success: OnSuccess, on_failure: OnFailure) -> Call | None:
        """Returns the call that saves the checkpoint.

        If the checkpoint is too large, calls `on_failure` and returns None.
        """
        month_start_ms = self.meter.month_start_ms
        return self.checkpoint_store.save(now, month_start_ms, self._checkpoint_saved, on_success, on_failure)

    def _checkpoint_saved(self, watermarks: dict[int, int]) -> None:
        self.segment_store.saved_watermarks = watermarks
        self.exporter.checkpoint_saved()
