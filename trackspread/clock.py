"""The one clock of a running gateway."""

from __future__ import annotations

import time


class Clock:
    """The time in ns: Unix time at the start of the process, and never going back from then on.

    `base_ns` is the Unix time at which the machine's own clock read 0; two processes with the same base read
    the same time.
    """

    __slots__ = ("base_ns",)

    def __init__(self) -> None:
        self.base_ns = time.time_ns() - time.monotonic_ns()

    def __call__(self) -> int:
        return self.base_ns + time.monotonic_ns()
