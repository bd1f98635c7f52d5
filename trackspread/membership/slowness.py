"""Detects slow members from a member's own observations and from other members' reports.

A member that repeatedly receives late answers from another reports this to it, for as long as it lasts. A
member that enough others report, or whose own health is bad, declares itself slow, so that no member waits
for it. Only the member itself declares this, because a single observer may have a bad network path.
"""

from __future__ import annotations

from .identifiers import MS, SECOND

NEWEST_WEIGHT = 0.25  # weight of the newest answer in the moving average, so that about four probes decide
SLOW_FRACTION = 0.5  # fraction of late answers from which a member counts as slow
RECOVERED_FRACTION = 0.15  # fraction of late answers up to which a slow member counts as recovered
REPORT_INTERVAL_NS = 1 * SECOND  # time between reports to a member while it is slow
REPORT_LIFETIME_NS = 3 * SECOND  # time for which a report counts, so that two may be lost
REPORTERS_FRACTION = 0.3  # fraction of the other members that have to report a member ...
MIN_REPORTERS = 2  # ... and the least number of them
UNHEALTHY_FROM = 5  # local health score at which a member declares itself slow
UNHEALTHY_ABOVE = 1  # local health score above which a slow member stays slow
MIN_CHANGE_INTERVAL_NS = 500 * MS  # time between changes of a member's own state


class Slowness:
    """Tracks slowness at one member; its size is bounded by the members that it knows."""

    def __init__(self) -> None:
        self._late_fraction: dict[str, float] = {}  # moving average of late answers, by the member's name
        self._reported_at_ns: dict[str, int] = {}  # when each slow member was last notified, by its name
        self._reporters: dict[str, int] = {}  # when each member last reported this one as slow, by its name
        self._is_slow = False
        self._changed_at_ns = 0

    def record_answer(self, now_ns: int, name: str, late: bool) -> bool | None:
        """Counts an answer and returns what to report to the member, or None for nothing."""
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
        """Drops all that is known of this member."""
        self._late_fraction.pop(name, None)
        self._reported_at_ns.pop(name, None)
        self._reporters.pop(name, None)

    def record_report(self, now_ns: int, reporter: str, slow: bool) -> None:
        """Records that another member observes this one as slow, or as no longer slow."""
        if slow:
            self._reporters[reporter] = now_ns
        else:
            self._reporters.pop(reporter, None)

    def is_slow(self, now_ns: int, member_count: int, health: int) -> bool:
        """Returns whether this member is slow, by others' reports and its own health."""
        for name in [n for n, at_ns in self._reporters.items() if now_ns - at_ns > REPORT_LIFETIME_NS]:
            del self._reporters[name]
        is_slow_now = self._meets_slow_condition(member_count, health)
        if is_slow_now != self._is_slow and now_ns - self._changed_at_ns >= MIN_CHANGE_INTERVAL_NS:
            self._is_slow = is_slow_now
            self._changed_at_ns = now_ns
        return self._is_slow

    def _meets_slow_condition(self, member_count: int, health: int) -> bool:
        # No member waits for one that is alone, and none could report its recovery.
        if member_count <= 1:
            return False
        min_reporters = max(MIN_REPORTERS, int(REPORTERS_FRACTION * (member_count - 1)))
        reported = len(self._reporters) >= min_reporters
        if self._is_slow:
            return reported or health > UNHEALTHY_ABOVE
        return (member_count > MIN_REPORTERS and reported) or health >= UNHEALTHY_FROM
