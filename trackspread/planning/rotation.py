"""Grants turns where a tenant's burst is too small to give each forwarder the lease of a complete request.

Rules:
- All limits of a tenant share one rotation: a forwarder with the quota's lease and without the hard limit's
  can forward nothing.
- A turn lasts while it is used, `TURN_NS` at most. The number of concurrent turns is the number of requests
  in the smallest burst among limits that are all planned. If none is, static shares serve too, and the
  largest burst counts.
- The forwarders that have waited longest are next, so that one that always requests last gets its turn too.
  A forwarder that has sent no request for `WAITING_NS` no longer counts as waiting.

A rotation knows requests in the order of arrival and the planner's clock; it knows nothing of leases.
"""

from __future__ import annotations

from .timing import HEARTBEAT_NS, LEASE_NS

ForwarderStart = tuple[int, int]  # a forwarder and its incarnation
TURN_NS = LEASE_NS  # the longest turn; each change of turns leaves the rate unused for up to a heartbeat
WAITING_NS = 5 * HEARTBEAT_NS // 4  # without a request before a forwarder stops waiting
# How long the end of a turn is kept: a forwarder that waited longer would be first anyway.
REMEMBERED_NS = 64 * LEASE_NS


class Rotation:
    """Holds the turns of one tenant; its tables call `has_turn` for every request that needs a turn."""

    def __init__(self) -> None:
        self._min_parts = 1 << 30  # requests in the smallest burst that is all planned
        self._max_parts = 1  # requests in the largest burst
        self._running: dict[ForwarderStart, int] = {}  # when the turn began, in nanoseconds
        self._waiting: dict[ForwarderStart, int] = {}  # when the last request came, in nanoseconds
        self._ended: dict[ForwarderStart, int] = {}  # when the last turn ended, in nanoseconds

    def add_limit(self, parts: int, is_fully_planned: bool) -> None:
        """Adds a limit by the requests that its burst holds, and whether it leaves no static shares."""
        self._max_parts = max(self._max_parts, parts)
        if is_fully_planned:
            self._min_parts = min(self._min_parts, parts)

    @property
    def concurrent_turns(self) -> int:
        """Returns the number of turns that run at the same time."""
        return min(self._min_parts, self._max_parts)

    def has_turn(self, now: int, forwarder: ForwarderStart, is_waiting: bool, uses_all: bool) -> bool:
        """Returns whether this forwarder has a turn.

        `is_waiting` means that a client's request waits there, `uses_all` that it uses all that it gets.
        """
        self._expire(now)
        if forwarder in self._running:
            if is_waiting or uses_all:
                return True
            self._end(now, forwarder)
        if not is_waiting:
            self._waiting.pop(forwarder, None)
            return False
        self._waiting[forwarder] = now
        if len(self._running) >= self.concurrent_turns:
            return False
        ended = self._ended.get(forwarder, 0)
        ahead = sum(self._ended.get(each, 0) < ended for each in self._waiting)
        if ahead >= self.concurrent_turns - len(self._running):
            return False
        del self._waiting[forwarder]
        self._running[forwarder] = now
        return True

    def _end(self, now: int, forwarder: ForwarderStart) -> None:
        del self._running[forwarder]
        self._ended[forwarder] = now

    def _expire(self, now: int) -> None:
        overdue = [forwarder for forwarder, since in self._running.items() if now - since >= TURN_NS]
        for forwarder in overdue:
            self._end(now, forwarder)
        for known, span in ((self._waiting, WAITING_NS), (self._ended, REMEMBERED_NS)):
            for forwarder in [forwarder for forwarder, at in known.items() if now - at > span]:
                del known[forwarder]
