"""The one clock of a running gateway."""

from __future__ import annotations

import time
from collections.abc import Callable


def monotonic_unix_ns() -> Callable[[], int]:
    """A clock that never goes back and reads Unix time at its start, so that `born_ms` lies on it."""
    base = time.time_ns() - time.monotonic_ns()
    return lambda: base + time.monotonic_ns()
