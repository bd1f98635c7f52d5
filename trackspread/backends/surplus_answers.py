"""Counts bytes of backends that belong to no request, by when they came.

A second copy of an answer, or noise behind it, may be taken for the answer to the next request on the same
connection. The counts show whether such bytes come while a connection rests, or close to its next use.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum


class SurplusAge(StrEnum):
    """Enumerates when surplus bytes were seen; the values are names in `/stats`."""

    WITH_ANSWER = "with_answer"
    RESTING = "resting"  # before the connection could be used again
    IDLE = "idle"  # later, before its next use
    AT_REUSE = "at_reuse"  # unread, when the connection was to be used
    WRITING = "writing"  # while a request was being written


class SurplusAnswers:
    """Holds the counts of one gateway."""

    def __init__(self) -> None:
        """Creates it without any."""
        self.counts: Counter[SurplusAge] = Counter()

    def record(self, age: SurplusAge) -> None:
        """Counts bytes that were seen once."""
        self.counts[age] += 1
