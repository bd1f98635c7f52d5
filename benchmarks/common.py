"""What several measurements do alike: progress on standard error, seeds in portions."""

from __future__ import annotations

import sys
from collections.abc import Iterator

CHUNK = 20  # schedules that a worker takes at once


def say(text: str) -> None:
    """Standard output is for the figures alone."""
    print(text, file=sys.stderr, flush=True)


def chunks(first: int, count: int) -> Iterator[range]:
    for start in range(first, first + count, CHUNK):
        yield range(start, min(start + CHUNK, first + count))
