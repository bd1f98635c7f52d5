"""Provides the clock that all parts of a running gateway use."""

from __future__ import annotations

import time


class Clock:
    """Returns the time in ns when called: Unix time at the start of the process, never going back after it.

    `base_ns` is the Unix time at which the machine's monotonic clock read 0. Two processes with the same base
    read the same time.
    """

    __slots__ = ("base_ns",)

    def __init__(self) -> None:
        self.base_ns = time.time_ns() - time.monotonic_ns()

    def __call__(self) -> int:
        return self.base_ns + time.monotonic_ns()
