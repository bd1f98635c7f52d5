"""A virtual clock: what is due happens in the order of its time, and time is what it says."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

START = 1_000_000_000_000  # ns: not 0, as no clock of a machine is


class Clock:
    """`at` and `after` take calls; `run` makes them."""

    def __init__(self) -> None:
        self.now = START
        self._due: list[tuple[int, int, Callable[[], object]]] = []
        self._order = count()

    def at(self, time: int, call: Callable[[], object]) -> None:
        heappush(self._due, (max(self.now, time), next(self._order), call))

    def after(self, wait: int, call: Callable[[], object]) -> None:
        self.at(self.now + wait, call)

    def run(self, until: int) -> None:
        while self._due and self._due[0][0] <= until:
            self.now, _, call = heappop(self._due)
            call()
        self.now = until
