"""Slow, but not dead: what a member finds of others, and what others find of it.

Each tells a member that answers late time and again so, for as long as it does; a member that enough others
tell so, or that finds itself unwell, says of itself that it is slow, so that nobody waits for it. Only the
member itself says it of itself: a single observer with a bad way to it can't.

May know: names, whether answers came late, times handed in. May not know: why, nor what hangs on it.
"""

from __future__ import annotations

from .terms import MS, SECOND

WEIGHT = 0.25  # of the newest answer in the running share of late ones: four probes tell
SLOW, WELL = 0.5, 0.15  # shares of late answers from and under which one is found slow, and well again
AGAIN = 1 * SECOND  # ns between reports of the same while it lasts
HEARD = 3 * SECOND  # ns for which a report counts: two may be lost
SHARE = 0.3  # of the fleet that has to find it slow ...
LEAST = 2  # ... and at least so many
UNWELL, RIGHT = 5, 1  # steps of local health from and down to which a member finds itself so
SETTLED = 500 * MS  # ns between changes of one's own mind


class Slowness:
    """Of one member; bounded by the members it knows."""

    def __init__(self) -> None:
        self._share: dict[str, float] = {}  # by name, of late answers
        self._found: dict[str, int] = {}  # found slow, and when that was last told
        self._reports: dict[str, int] = {}  # who finds this member slow, and when it last said so
        self._is, self._since = False, 0

    def noted(self, now: int, name: str, late: bool) -> bool | None:
        """An answer; what the member is to be told, None for nothing."""
        share = self._share.get(name, 0.0) * (1.0 - WEIGHT) + WEIGHT * late
        self._share[name] = share
        if share >= SLOW and now - self._found.get(name, -AGAIN) >= AGAIN:
            self._found[name] = now
            return True
        if share <= WELL and name in self._found:
            del self._found[name]
            return False
        return None

    def forget(self, name: str) -> None:
        self._share.pop(name, None)
        self._found.pop(name, None)
        self._reports.pop(name, None)

    def reported(self, now: int, by: str, slow: bool) -> None:
        if slow:
            self._reports[by] = now
        else:
            self._reports.pop(by, None)

    def slow(self, now: int, members: int, health: int) -> bool:
        """Whether this member is, by what others say and by its own health."""
        for name in [n for n, at in self._reports.items() if now - at > HEARD]:
            del self._reports[name]
        wanted = max(LEAST, int(SHARE * (members - 1)))
        if self._is:
            found = len(self._reports) >= wanted or health > RIGHT
        else:
            found = (members > LEAST and len(self._reports) >= wanted) or health >= UNWELL
        found = found and members > 1  # nobody waits for one that is alone, none could say it is well
        if found != self._is and now - self._since >= SETTLED:
            self._is, self._since = found, now
        return self._is
