"""The checkpoint on the disk: two areas that are written in turn.

The area that was last saved is never the one that is written, so that one valid copy is left at any time.
"""

from __future__ import annotations

import errno
from collections.abc import Callable

from ..storage.calls import Call, Result, Save
from ..storage.interfaces import Area
from .control import AREA_SIZE, Control, pack
from .disk_calls import DiskCalls, OnFailure, OnSuccess

OnSaved = Callable[[dict[int, int]], None]  # with the watermarks that were saved, by epoch


class CheckpointStore:
    """The checkpoint in memory (`control`) and its areas. `areas` are in the order of `AREAS`."""

    def __init__(self, control: Control, calls: DiskCalls, alarms: list[str]) -> None:
        """`alarms` takes lines for operators."""
        self.control = control
        self.areas: list[Area] = []
        self._calls = calls
        self._alarms = alarms
        self._valid_area = 0  # index of the one that was last saved

    def open(self, areas: list[Area], valid_area: int) -> None:
        """Take up the areas; `valid_area` is the index of the one with the newest valid copy."""
        self.areas = areas
        self._valid_area = valid_area

    @property
    def valid_area(self) -> Area:
        """The area that was last saved."""
        return self.areas[self._valid_area]

    def save(
        self, now: int, month_start_ms: int, on_saved: OnSaved, on_success: OnSuccess, on_failure: OnFailure
    ) -> Call | None:
        """The call that saves the checkpoint as it is now; None, after `on_failure`, if it is too large.

        `month_start_ms`: the start of the newest month that was begun.
        """
        control = self.control
        target = 1 - self._valid_area
        control.generation += 1
        control.month_start_ms = max(control.month_start_ms, month_start_ms)
        watermarks = {epoch: stream.acked for epoch, stream in control.streams.items()}
        data = pack(control)
        if len(data) > AREA_SIZE:
            self._alarms.append(
                f"use: the control has outgrown {AREA_SIZE} bytes: long names of classes, or "
                "too many lives that wait for their export"
            )
            on_failure(now, OSError(errno.EFBIG, "control too large"))
            return None

        def saved(now: int, result: Result) -> None:
            self._valid_area = target
            on_saved(watermarks)
            on_success(now, result)

        return self._calls.start(Save(self.areas[target], data), saved, on_failure)
