"""Measures how late an event loop is, and decides whether that makes a measurement void.

Members on a late loop look slow or dead to others: figures of such a span describe the machine, not the
program. The module knows the times of its checks; it does not know what else the loop does.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

import msgspec

CHECK_INTERVAL_S = 0.02  # Between two checks of a loop's own lag.
WORST_MOST = 0.300  # s; one probe interval: a later loop has missed a member's probe.
LATE = 0.100  # s; members count a later tick against their own health (`membership/prober.py`).
LATE_SHARE_MOST = 0.01  # Of all checks.


class Lag(msgspec.Struct, frozen=True):
    """Holds the number of checks of a loop in a span, the number of late ones and the largest lag in s."""

    beats: int = 0
    late: int = 0
    worst: float = 0.0

    def __add__(self, other: Lag) -> Lag:
        return Lag(self.beats + other.beats, self.late + other.late, max(self.worst, other.worst))

    @property
    def void(self) -> bool:
        """Returns whether figures of this span describe the machine rather than the program."""
        return self.worst > WORST_MOST or self.late > LATE_SHARE_MOST * self.beats


def combined_lag(lags: Iterable[Lag]) -> Lag:
    """Returns the sum over several loops or spans, which is void if the sum exceeds a limit."""
    return sum(lags, Lag())


class LagWatch:
    """Measures the lag of the event loop that runs it."""

    def __init__(self) -> None:
        self._lag = Lag()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._watch())

    def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()

    async def _watch(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + CHECK_INTERVAL_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.note(loop.time() - due)

    def note(self, late: float) -> None:
        """Counts one check that ran `late` seconds after it was due."""
        self._lag += Lag(1, int(late > LATE), max(0.0, late))

    def take(self) -> Lag:
        """Returns the lag since the last call."""
        taken, self._lag = self._lag, Lag()
        return taken
