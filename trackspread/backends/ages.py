"""How long a kept connection may rest; from what befell those before it. Without I/O or clock."""

from __future__ import annotations

from bisect import bisect

AGES = tuple(0.05 * 2**i for i in range(9))  # s at rest that part kept connections into groups
AGE_BREAKS, AGE_PART = 3.0, 0.15  # breaks in a group, and their part, from which it counts as stale
AGE_KEPT = 0.97  # part of a group's count that a second leaves: what was stale is tried again within minutes


class Ages:
    """How long a connection may rest and still be likely to serve.

    Something on the way, or the backend itself, may drop a connection at rest long before the time in the
    settings and tell nobody: the next request on it is answered by a reset, and may have run.
    """

    def __init__(self, most: float) -> None:
        self.most = self.limit = most
        self._tries, self._breaks = ([0.0] * (len(AGES) + 1) for _ in range(2))

    def tried(self, age: float) -> None:
        self._tries[bisect(AGES, age)] += 1.0

    def broke(self, age: float) -> None:
        self._breaks[bisect(AGES, age)] += 1.0
        self._judge()

    def decay(self) -> None:
        """Called once a second."""
        for counts in (self._tries, self._breaks):
            counts[:] = [AGE_KEPT * count for count in counts]
        self._judge()

    def _judge(self) -> None:
        # The freshest are kept come what may: a backend that breaks on those does so whatever their age.
        self.limit = self.most
        for group in range(1, len(self._tries)):
            breaks = self._breaks[group]
            if breaks >= AGE_BREAKS and breaks >= AGE_PART * self._tries[group]:
                self.limit = min(self.most, AGES[group - 1])
                return
