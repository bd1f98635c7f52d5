"""What the components of one ledger share: its settings, its state, and each other's data."""

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
ALARM_INTERVAL_NS = 60 * SECOND  # between two alarms about the same lack of room


class State(Enum):
    """The state of a ledger.

    NEW: nothing is known of the folder. SCANNING: it is being read. REFRESHING: what earlier incarnations
    wrote is written and synced again. NO_STREAM: the checkpoint is known, a stream will be created. CREATING:
    its first segment is being created. COPYING: records that a failed commit left in doubt are committed to
    it. DECLARING: the checkpoint that names it is being saved. LIVE: records are written. CLOSED: all is
    committed and the stream has ended. STUCK: an operator has to intervene.
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


# The checkpoint is known and the export runs, whatever happens to the stream that is written.
OPENED = frozenset({State.NO_STREAM, State.CREATING, State.COPYING, State.DECLARING, State.LIVE})


@dataclass(frozen=True, slots=True)
class Bounds:
    """Sizes and times of a ledger.

    `segment_slots`: slots of one segment. `max_segments`: on the disk, 4 at least. `commit_delay_ns`: from a
    record to its commit, without the time that the disk takes. `batch_delay_ns`: for how long a batch that is
    not full waits for more records. `when_full`: what happens at `max_segments`.
    """

    segment_slots: int
    max_segments: int
    commit_delay_ns: int
    batch_delay_ns: int
    when_full: FullPolicy


@dataclass(slots=True)
class LedgerContext:
    """The shared data of one ledger.

    `highest_epoch` is the highest that a stream was ever created under, declared or not. `closing`: no more
    requests are counted. `alarms` are lines for operators, `released_areas` are to be closed; the host takes
    both.
    """

    bounds: Bounds
    names: Names
    rng: random.Random
    meter: Meter
    exporter: Exporter
    segment_store: SegmentStore
    checkpoint: CheckpointStore
    calls: DiskCalls
    alarms: list[str]
    released_areas: list[Area] = field(default_factory=list)
    state: State = State.NEW
    highest_epoch: int = 0
    closing: bool = False

    def save_checkpoint(self, now: int, on_success: OnSuccess, on_failure: OnFailure) -> Call | None:
        """The call that saves the checkpoint; None, after `on_failure`, if it can't be saved."""
        month_start_ms = self.meter.month_start_ms
        return self.checkpoint.save(now, month_start_ms, self._checkpoint_saved, on_success, on_failure)

    def _checkpoint_saved(self, watermarks: dict[int, int]) -> None:
        self.segment_store.saved_watermarks = watermarks
        self.exporter.checkpoint_saved()
