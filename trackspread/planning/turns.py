"""Whose turn it is where a member's burst is too small to give each forwarder a whole request's right.

The rules of this file:
- One rotation for a member, whatever its caps: who has the quota's right and not the ceiling's can send
  nothing.
- A turn lasts while it is used, `TURN` at most. As many run at once as the smallest burst of a cap that is
  all planned holds requests: elsewhere even slices serve too, and the largest counts.
- The next are those that have waited longest, strictly: any of the longer waiting half would leave out for
  ever who always asks last. One that has not asked for a beat and a bit is not waited for.

May know: asks as they come, the planner's clock. May not know: rights; what an ended turn left out there
is the table's matter.
"""

from __future__ import annotations

from .terms import BEAT, LEASE

Who = tuple[int, int]  # a forwarder and its start
TURN = LEASE  # ns that a turn lasts at most; each change costs up to a beat of nobody's use
SILENT = 5 * BEAT // 4  # ns without an ask after which one does not wait any more: a beat, and what is late
REMEMBERED = 64 * LEASE  # ns after which it is forgotten when one last had a turn: it goes first then anyway


class Turns:
    """`wants` for every ask that needs a turn."""

    def __init__(self) -> None:
        self._least, self._most = 1 << 30, 1  # requests in the smallest burst that is all planned; in any
        self._running: dict[Who, int] = {}  # since when
        self._waiting: dict[Who, int] = {}  # when it last asked
        self._ended: dict[Who, int] = {}  # when its last turn ended

    def among(self, places: int, whole: bool) -> None:
        """One cap's places; `whole`: it has no even slices."""
        self._most = max(self._most, places)
        self._least = min(self._least, places) if whole else self._least

    @property
    def places(self) -> int:
        """Turns that run at once."""
        return min(self._least, self._most)

    def wants(self, now: int, who: Who, waits: bool, uses: bool) -> bool:
        """Whether it is this one's turn. `waits`: a request waits there; `uses`: it uses all that it gets."""
        self._expire(now)
        if who in self._running:
            if waits or uses:
                return True
            self._end(now, who)
        if not waits:
            self._waiting.pop(who, None)
            return False
        self._waiting[who] = now
        if len(self._running) >= self.places:
            return False
        ended = self._ended.get(who, 0)
        ahead = sum(self._ended.get(each, 0) < ended for each in self._waiting)
        if ahead >= self.places - len(self._running):
            return False
        del self._waiting[who]
        self._running[who] = now
        return True

    def _end(self, now: int, who: Who) -> None:
        del self._running[who]
        self._ended[who] = now

    def _expire(self, now: int) -> None:
        for who in [who for who, since in self._running.items() if now - since >= TURN]:
            self._end(now, who)
        for known, span in ((self._waiting, SILENT), (self._ended, REMEMBERED)):
            for who in [who for who, at in known.items() if now - at > span]:
                del known[who]
