"""Defines the notice time and the error that the plan registry and the calendar share."""

from __future__ import annotations

# This is over twice the interval between two reads of the registry plus a clock difference of up to a second,
# so that every gateway has read a change before it is in force.
NOTICE_MS = 5_000


class PlanError(ValueError):
    """Reports a rejected change; the text names the key, what is valid and what was given."""
