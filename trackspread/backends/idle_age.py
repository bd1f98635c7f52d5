"""How long a pooled connection may stay idle, judged by resets of earlier ones. Without I/O or clock."""

from __future__ import annotations

from bisect import bisect

GROUP_BOUNDS_S = tuple(0.05 * 2**i for i in range(9))  # idle times that part connections into groups
STALE_MIN_RESETS = 3.0  # resets from which a group counts as stale
STALE_RESET_RATE = 0.15  # and resets per use
DECAY_PER_S = 0.97  # part of a count that a second leaves: what was stale is tried again within minutes


class IdleAgeLimit:
    """How long a connection may stay idle and still be likely to serve.

    Something on the way, or the backend itself, may drop an idle connection long before the time in the
    settings without a notice: the next request on it is answered by a reset, and may have run.
    """

    def __init__(self, max_idle_s: float) -> None:
        self.max_idle_s = max_idle_s
        self.limit_s = max_idle_s
        groups = len(GROUP_BOUNDS_S) + 1
        self._uses = [0.0] * groups
        self._resets = [0.0] * groups

    def record_use(self, idle_s: float) -> None:
        """A connection that had been idle so long got a request."""
        self._uses[bisect(GROUP_BOUNDS_S, idle_s)] += 1.0

    def record_reset(self, idle_s: float) -> None:
        """A request on such a connection was answered by a reset."""
        self._resets[bisect(GROUP_BOUNDS_S, idle_s)] += 1.0
        self._update_limit()

    def decay(self) -> None:
        """Let earlier counts weigh less; called once a second."""
        for counts in (self._uses, self._resets):
            counts[:] = [DECAY_PER_S * count for count in counts]
        self._update_limit()

    def _update_limit(self) -> None:
        # The first group never counts as stale: a backend that resets those does so whatever their age.
        self.limit_s = self.max_idle_s
        for group in range(1, len(self._uses)):
            resets = self._resets[group]
            if resets >= STALE_MIN_RESETS and resets >= STALE_RESET_RATE * self._uses[group]:
                self.limit_s = min(self.max_idle_s, GROUP_BOUNDS_S[group - 1])
                return
