"""Slow members: what a member finds of others, and what others report of it.

A member reports another that answers late repeatedly to it, for as long as it does. A member that enough
others report, or whose own health is bad, says of itself that it is slow, so that nobody waits for it. Only
the member itself says so: a single observer on a bad path must not.
"""

from __future__ import annotations

from .identifiers import MS, SECOND

NEWEST_WEIGHT = 0.25  # of the newest answer in the moving average of late ones: four probes decide
SLOW_FRACTION = 0.5  # of late answers from which a member is found slow ...
RECOVERED_FRACTION = 0.15  # ... and at or under which it no longer is
REPORT_INTERVAL_NS = 1 * SECOND  # between reports while it lasts
REPORT_LIFETIME_NS = 3 * SECOND  # for which a report counts: two may be lost
REPORTERS_FRACTION = 0.3  # of the other members that have to report it ...
MIN_REPORTERS = 2  # ... and at least so many
UNHEALTHY_FROM = 5  # steps of local health at which a member finds itself slow
UNHEALTHY_ABOVE = 1  # steps of local health above which it stays slow
MIN_CHANGE_INTERVAL_NS = 500 * MS  # between changes of a member's own state


class Slowness:
    """Slowness as one member sees it; bounded by the members that it knows."""

    def __init__(self) -> None:
        self._late_fraction: dict[str, float] = {}  # by name: moving average of late answers
        self._reported_at_ns: dict[str, int] = {}  # members found slow, and when they were last notified
        self._reporters: dict[str, int] = {}  # who finds this member slow, and when it last said so
        self._is_slow = False
        self._changed_at_ns = 0

    def record_answer(self, now_ns: int, name: str, late: bool) -> bool | None:
        """Count an answer; returns what is to be reported to the member, None for nothing."""
        newest = NEWEST_WEIGHT if late else 0.0
        fraction = self._late_fraction.get(name, 0.0) * (1.0 - NEWEST_WEIGHT) + newest
        self._late_fraction[name] = fraction
        reported_at_ns = self._reported_at_ns.get(name, -REPORT_INTERVAL_NS)
        if fraction >= SLOW_FRACTION and now_ns - reported_at_ns >= REPORT_INTERVAL_NS:
            self._reported_at_ns[name] = now_ns
            return True
        if fraction <= RECOVERED_FRACTION and name in self._reported_at_ns:
            del self._reported_at_ns[name]
            return False
        return None

    def forget(self, name: str) -> None:
        """Drop all that is known of this member."""
        self._late_fraction.pop(name, None)
        self._reported_at_ns.pop(name, None)
        self._reporters.pop(name, None)

    def record_report(self, now_ns: int, reporter: str, slow: bool) -> None:
        """Another member finds this one slow, or no longer slow."""
        if slow:
            self._reporters[reporter] = now_ns
        else:
            self._reporters.pop(reporter, None)

    def is_slow(self, now_ns: int, member_count: int, health: int) -> bool:
        """Whether this member is slow, by others' reports and its own health."""
        for name in [n for n, at_ns in self._reporters.items() if now_ns - at_ns > REPORT_LIFETIME_NS]:
            del self._reporters[name]
        found = self._found_slow(member_count, health)
        if found != self._is_slow and now_ns - self._changed_at_ns >= MIN_CHANGE_INTERVAL_NS:
            self._is_slow = found
            self._changed_at_ns = now_ns
        return self._is_slow

    def _found_slow(self, member_count: int, health: int) -> bool:
        if member_count <= 1:  # nobody waits for one that is alone, and none could say that it has recovered
            return False
        wanted = max(MIN_REPORTERS, int(REPORTERS_FRACTION * (member_count - 1)))
        reported = len(self._reporters) >= wanted
        if self._is_slow:
            return reported or health > UNHEALTHY_ABOVE
        return (member_count > MIN_REPORTERS and reported) or health >= UNHEALTHY_FROM
