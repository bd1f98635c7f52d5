"""What the plan registry and the calendar share: the notice that a change needs, and its error."""

from __future__ import annotations

# Over twice the interval between two reads of the registry, with a clock difference of up to a second.
NOTICE_MS = 5_000


class PlanError(ValueError):
    """A rejected change; the text says what was found and what is wanted."""
