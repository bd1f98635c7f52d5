"""Provides a virtual clock: it makes calls in the order of their times, without real time between them."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

START = 1_000_000_000_000  # ns; a monotonic clock does not start at 0


class Clock:
    """Makes scheduled calls in virtual time; `now` is the current time in ns."""

    def __init__(self) -> None:
        self.now = START
        self._scheduled: list[tuple[int, int, Callable[[], object]]] = []
        self._order = count()

    def at(self, time: int, call: Callable[[], object]) -> None:
        """Schedules a call for a time in ns, or for now if that has passed."""
        heappush(self._scheduled, (max(self.now, time), next(self._order), call))

    def after(self, wait: int, call: Callable[[], object]) -> None:
        """Schedules a call for `wait` ns from now."""
        self.at(self.now + wait, call)

    def run(self, until: int) -> None:
        """Makes all calls that are due until a time in ns, which becomes the current time."""
        while self._scheduled and self._scheduled[0][0] <= until:
            self.now, _, call = heappop(self._scheduled)
            call()
        self.now = until
