"""Stores the checkpoint on the disk, in two areas that are written in turn.

The area that was last saved is never overwritten, so that a valid copy exists at any time.
"""

from __future__ import annotations

import errno
from collections.abc import Callable

from ..storage.calls import Call, Result, Save
from ..storage.interfaces import Area
from .control import AREA_SIZE, Checkpoint, pack
from .disk_calls import DiskCalls, OnFailure, OnSuccess

OnSaved = Callable[[dict[int, int]], None]  # gets the watermarks that were saved, by epoch


class CheckpointStore:
    """Holds the checkpoint in memory (`checkpoint`) and its areas, which are in the order of `AREAS`."""

    def __init__(self, checkpoint: Checkpoint, calls: DiskCalls, alarms: list[str]) -> None:
        """Creates a store without areas; `alarms` takes lines for operators."""
        self.checkpoint = checkpoint
        self.areas: list[Area] = []
        self._calls = calls
        self._alarms = alarms
        self._valid_area = 0  # index of the area that was last saved

    def open(self, areas: list[Area], valid_area: int) -> None:
        """Takes the areas; `valid_area` is the index of the one with the newest valid copy."""
        self.areas = areas
        self._valid_area = valid_area

    @property
    def valid_area(self) -> Area:
        """Returns the area that was last saved."""
        return self.areas[self._valid_area]

    def save(
        self, now: int, month_start_ms: int, on_saved: OnSaved, on_success: OnSuccess, on_failure: OnFailure
    ) -> Call | None:
        """Returns the call that saves the checkpoint as it is now.

        If the checkpoint is too large, calls `on_failure` and returns None. `month_start_ms` is the start of
        the newest month that has begun.
        """
        checkpoint = self.checkpoint
        target = 1 - self._valid_area
        checkpoint.generation += 1
        checkpoint.month_start_ms = max(checkpoint.month_start_ms, month_start_ms)
        watermarks = {epoch: stream.acked for epoch, stream in checkpoint.streams.items()}
        data = pack(checkpoint)
        if len(data) > AREA_SIZE:
            self._alarms.append(
                f"use: the checkpoint has {len(data)} bytes, the limit is {AREA_SIZE}: the names of classes "
                "are too long, or too many streams wait for their export"
            )
            on_failure(now, OSError(errno.EFBIG, "checkpoint too large"))
            return None

        def saved(now: int, result: Result) -> None:
            self._valid_area = target
            on_saved(watermarks)
            on_success(now, result)

        return self._calls.start(Save(self.areas[target], data), saved, on_failure)
