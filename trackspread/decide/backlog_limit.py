"""Limits the requests in flight of clients that send at full speed, so that others are not rejected for them.

A client is backlogged if it has more commands waiting than its connection may have in flight. All such
clients together have a limit of their own, which grows only while it is used and the backends are not
congested. Under congestion it is a part of the concurrency limit. The rest is left to the others, whatever
the priorities of both: priorities compare requests, not how many of them a client sends.
"""

from __future__ import annotations

from .concurrency_model import QueueModel

PIPELINED_PART = 0.5  # of the connections to backends, as each attempt needs one
BACKLOGGED_PART = 0.5  # of the concurrency limit; less than requests of the lowest priority may fill
INITIAL_LIMIT = 32.0  # requests in flight, as one connection may have; nothing is known of the backends yet
MAX_LIMIT = 1024.0  # requests in flight
CHANGE_PER_TICK = 1.02  # growth while the limit is used, and decline to the initial one while it is not


class BacklogLimit:
    """Holds the limit and the attempts in flight that count towards it."""

    def __init__(self, model: QueueModel) -> None:
        self._model = model
        self._limit = INITIAL_LIMIT  # requests in flight
        self.in_flight = 0  # attempts of backlogged clients

    def update(self) -> None:
        """Adapts the limit at a tick."""
        limit = self._limit
        if limit < INITIAL_LIMIT or self.in_flight >= limit / 2:
            limit = min(MAX_LIMIT, limit * CHANGE_PER_TICK)
        else:
            limit = max(INITIAL_LIMIT, limit / CHANGE_PER_TICK)
        if self._model.concurrency_limit is not None:
            limit = min(limit, BACKLOGGED_PART * self._model.concurrency_limit)
        self._limit = max(1.0, limit)

    def is_reached(self) -> bool:
        """Returns whether a backlogged client's request must be rejected."""
        return self.in_flight >= int(self._limit)

    def window(self, busy_clients: int, connections: int, is_backlogged: bool) -> int:
        """Returns how many requests one client may have in flight, which is 1 at least.

        The `busy_clients`, which have requests in flight, share a part of the `connections` to backends
        equally, and backlogged clients also the limit.
        """
        shared = connections * PIPELINED_PART
        if is_backlogged:
            shared = min(shared, self._limit)
        return max(1, int(shared) // max(1, busy_clients))
