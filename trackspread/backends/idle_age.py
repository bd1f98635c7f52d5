"""Limits how long a pooled connection may stay idle, by the resets of earlier ones; without I/O or clock."""

from __future__ import annotations

from bisect import bisect

GROUP_BOUNDS_S = tuple(0.05 * 2**i for i in range(9))  # idle times that divide connections into groups
STALE_MIN_RESETS = 3.0  # resets from which a group counts as stale
STALE_RESET_RATE = 0.15  # resets per use from which it does, if there are that many
DECAY_PER_S = 0.97  # of each count: idle times that were stale are tried again within minutes


class IdleAgeLimit:
    """Holds the time for which a connection may stay idle and is still likely to work.

    A device on the network path, or the backend itself, may drop an idle connection long before the time in
    the settings and without a notice: the next request on it ends as a reset, and may have run.
    """

    def __init__(self, max_idle_s: float) -> None:
        self.max_idle_s = max_idle_s
        self.limit_s = max_idle_s
        groups = len(GROUP_BOUNDS_S) + 1
        self._uses = [0.0] * groups
        self._resets = [0.0] * groups

    def record_use(self, idle_s: float) -> None:
        """Counts a request on a connection that had been idle for `idle_s`."""
        self._uses[bisect(GROUP_BOUNDS_S, idle_s)] += 1.0

    def record_reset(self, idle_s: float) -> None:
        """Counts a request on such a connection that ended as a reset."""
        self._resets[bisect(GROUP_BOUNDS_S, idle_s)] += 1.0
        self._update_limit()

    def decay(self) -> None:
        """Reduces the weight of earlier counts; called once a second."""
        for counts in (self._uses, self._resets):
            counts[:] = [DECAY_PER_S * count for count in counts]
        self._update_limit()

    def _update_limit(self) -> None:
        # The first group never counts as stale: a backend that resets those resets connections of any age.
        self.limit_s = self.max_idle_s
        for group in range(1, len(self._uses)):
            resets = self._resets[group]
            if resets >= STALE_MIN_RESETS and resets >= STALE_RESET_RATE * self._uses[group]:
                self.limit_s = min(self.max_idle_s, GROUP_BOUNDS_S[group - 1])
                return
