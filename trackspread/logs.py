"""A limit on the rate of log lines whose number clients, backends or peers decide."""

from __future__ import annotations

import logging
import time

MAX_LINES = 10  # of one logger within an interval
INTERVAL_S = 10.0


class RateLimitFilter(logging.Filter):
    """Passes the first lines of each interval, so that invalid input can't cause unlimited logging.

    The first line of the next interval states how many were left out.
    """

    def __init__(self) -> None:
        super().__init__()
        self.reset()

    def reset(self) -> None:
        """Begins a new interval with the next line."""
        self._interval_start = float("-inf")
        self._lines = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Returns whether the line is logged; may add the number of lines left out to it."""
        now = time.monotonic()
        if now - self._interval_start >= INTERVAL_S:
            left_out = max(0, self._lines - MAX_LINES)
            self._interval_start = now
            self._lines = 0
            if left_out:
                record.msg = f"{record.msg} ({left_out} lines like it left out)"
        self._lines += 1
        return self._lines <= MAX_LINES
