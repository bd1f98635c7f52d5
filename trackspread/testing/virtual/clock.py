"""A virtual clock: calls are made in the order of their times, and no real time passes between them."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

START = 1_000_000_000_000  # ns; a monotonic clock does not start at 0


class Clock:
    """Schedules calls by virtual time; `now` is the current time in ns."""

    def __init__(self) -> None:
        self.now = START
        self._scheduled: list[tuple[int, int, Callable[[], object]]] = []
        self._order = count()

    def at(self, time: int, call: Callable[[], object]) -> None:
        """Schedule a call for a time (ns); for now if that has passed."""
        heappush(self._scheduled, (max(self.now, time), next(self._order), call))

    def after(self, wait: int, call: Callable[[], object]) -> None:
        """Schedule a call for `wait` ns from now."""
        self.at(self.now + wait, call)

    def run(self, until: int) -> None:
        """Make all calls that are due until a time (ns), which becomes the current time."""
        while self._scheduled and self._scheduled[0][0] <= until:
            self.now, _, call = heappop(self._scheduled)
            call()
        self.now = until
