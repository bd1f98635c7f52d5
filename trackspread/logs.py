"""Limits the rate of log lines that clients, backends or peers cause."""

from __future__ import annotations

import logging
import time

MAX_LINES = 10  # of one logger within an interval
INTERVAL_S = 10.0


class RateLimitFilter(logging.Filter):
    """Passes the first lines of each interval, so that invalid input cannot cause unlimited logging.

    The first line of the next interval states how many were suppressed.
    """

    def __init__(self) -> None:
        super().__init__()
        self.reset()

    def reset(self) -> None:
        """Begins a new interval with the next line."""
        self._interval_start = float("-inf")
        self._lines = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Returns whether the line is logged; may add the number of suppressed lines to it."""
        now = time.monotonic()
        if now - self._interval_start >= INTERVAL_S:
            suppressed = max(0, self._lines - MAX_LINES)
            self._interval_start = now
            self._lines = 0
            if suppressed:
                record.msg = f"{record.msg} ({suppressed} similar lines suppressed)"
        self._lines += 1
        return self._lines <= MAX_LINES
