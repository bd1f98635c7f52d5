"""What the plan registry and the calendar share: the notice that a change needs, and its error."""

from __future__ import annotations

NOTICE_MS = 5_000  # over twice the time between two looks at the registry, and clocks that differ by a second


class PlanError(ValueError):
    """A change that can't be taken; the text says what was found and what is wanted."""
