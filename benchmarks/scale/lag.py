"""How late an event loop is, and whether that spoils what was measured meanwhile.

A loop that came late has made its members look slow or dead: what such a span shows is the machine, not the
program. May know: times of beats. May not know: what the loop does.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

import msgspec

BEAT = 0.02  # s between looks at a loop's own lag
WORST_MOST = 0.300  # s: one period of probes; a loop that is later has missed a member's turn
LATE = 0.100  # s from which a beat is late: members count it against themselves (`membership/prober.py`)
LATE_SHARE_MOST = 0.01  # of the beats


class Lag(msgspec.Struct, frozen=True):
    """Of one loop over one span: beats, how many of them came late, the worst in s."""

    beats: int = 0
    late: int = 0
    worst: float = 0.0

    def __add__(self, other: Lag) -> Lag:
        return Lag(self.beats + other.beats, self.late + other.late, max(self.worst, other.worst))

    @property
    def void(self) -> bool:
        """Whether figures of this span say more of the machine than of the program."""
        return self.worst > WORST_MOST or self.late > LATE_SHARE_MOST * self.beats


def combined_lag(lags: Iterable[Lag]) -> Lag:
    """Of several loops, or spans: void as soon as all of them together are."""
    return sum(lags, Lag())


class LagWatch:
    """Watches the loop that runs it."""

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
            due = loop.time() + BEAT
            await asyncio.sleep(BEAT)
            self.note(loop.time() - due)

    def note(self, late: float) -> None:
        """One beat that came `late` s after it was due."""
        self._lag += Lag(1, int(late > LATE), max(0.0, late))

    def take(self) -> Lag:
        """What was seen since the last call."""
        taken, self._lag = self._lag, Lag()
        return taken
