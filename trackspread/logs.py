"""Bounds on log lines whose number others decide about."""

from __future__ import annotations

import logging
import time

LINES_MOST = 10  # lines of one logger in a span
SPAN = 10.0  # s


class Sparing(logging.Filter):
    """Lets the first lines of each span through: bad clients and spoilt answers must not buy CPU with them.

    What was left out is counted on the first line that goes through again.
    """

    def __init__(self) -> None:
        super().__init__()
        self.begin()

    def begin(self) -> None:
        """A span of its own for whatever comes next."""
        self._since = float("-inf")
        self._lines = 0

    def filter(self, record: logging.LogRecord) -> bool:
        now = time.monotonic()
        if now - self._since >= SPAN:
            left_out = max(0, self._lines - LINES_MOST)
            self._since = now
            self._lines = 0
            if left_out:
                record.msg = f"{record.msg} ({left_out} lines like it left out)"
        self._lines += 1
        return self._lines <= LINES_MOST
