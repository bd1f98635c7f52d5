"""Whose turn it is where a tenant's burst is too small to give each forwarder the lease of a complete
request.

Rules:
- One rotation for a tenant, whatever its limits: a forwarder with the quota's lease and not the hard limit's
  can forward nothing.
- A turn lasts while it is used, `TURN_NS` at most. As many run at once as the smallest burst of a limit that
  is all planned holds requests: elsewhere static shares serve too, and the largest counts.
- The next are those that have waited longest, so that a forwarder that always requests last gets its turn
  too. One that has sent no request for `WAITING_NS` is not waited for.

Knows requests as they come and the planner's clock; knows nothing of leases.
"""

from __future__ import annotations

from .timing import HEARTBEAT_NS, LEASE_NS

ForwarderStart = tuple[int, int]  # a forwarder and its incarnation
TURN_NS = LEASE_NS  # that a turn lasts at most; each change costs up to a heartbeat of use by none
WAITING_NS = 5 * HEARTBEAT_NS // 4  # without a request after which a forwarder waits no more
# After which the end of a turn is forgotten: its forwarder is first then anyway.
REMEMBERED_NS = 64 * LEASE_NS


class Rotation:
    """Call `has_turn` for every request that needs a turn."""

    def __init__(self) -> None:
        self._min_parts = 1 << 30  # requests in the smallest burst that is all planned
        self._max_parts = 1  # requests in the largest burst
        self._running: dict[ForwarderStart, int] = {}  # since when, ns
        self._waiting: dict[ForwarderStart, int] = {}  # when it last requested, ns
        self._ended: dict[ForwarderStart, int] = {}  # when its last turn ended, ns

    def add_limit(self, parts: int, is_fully_planned: bool) -> None:
        """Requests that one limit's burst holds, and whether it leaves no static shares."""
        self._max_parts = max(self._max_parts, parts)
        if is_fully_planned:
            self._min_parts = min(self._min_parts, parts)

    @property
    def concurrent_turns(self) -> int:
        """Turns that run at once."""
        return min(self._min_parts, self._max_parts)

    def has_turn(self, now: int, who: ForwarderStart, is_waiting: bool, uses_all: bool) -> bool:
        """Whether it is this forwarder's turn. `is_waiting`: a request waits there; `uses_all`: that it
        gets."""
        self._expire(now)
        if who in self._running:
            if is_waiting or uses_all:
                return True
            self._end(now, who)
        if not is_waiting:
            self._waiting.pop(who, None)
            return False
        self._waiting[who] = now
        if len(self._running) >= self.concurrent_turns:
            return False
        ended = self._ended.get(who, 0)
        ahead = sum(self._ended.get(each, 0) < ended for each in self._waiting)
        if ahead >= self.concurrent_turns - len(self._running):
            return False
        del self._waiting[who]
        self._running[who] = now
        return True

    def _end(self, now: int, who: ForwarderStart) -> None:
        del self._running[who]
        self._ended[who] = now

    def _expire(self, now: int) -> None:
        overdue = [who for who, since in self._running.items() if now - since >= TURN_NS]
        for who in overdue:
            self._end(now, who)
        for known, span in ((self._waiting, WAITING_NS), (self._ended, REMEMBERED_NS)):
            for who in [who for who, at in known.items() if now - at > span]:
                del known[who]
