"""Follows whether a client takes the answers that were written for it.

It knows sizes and times. It knows neither sockets nor what is done with a client that takes nothing.
"""

from __future__ import annotations


class UnreadOutput:
    """Holds since when one client has taken nothing, although bytes wait for it.

    Bytes that the kernel holds count like those of the process: a client that reads a little at a time
    empties the kernel's buffer long before the process may write again.
    """

    __slots__ = ("_least_bytes", "_since_s")

    def __init__(self) -> None:
        """Creates it for a client for which nothing waits."""
        self._since_s: float | None = None
        self._least_bytes = 0

    def follow(self, now_s: float, waiting_bytes: int) -> float:
        """Notes how many bytes wait for the client; returns for how long it has taken none of them, in s."""
        if self._since_s is None or waiting_bytes < self._least_bytes:
            self._since_s = now_s
            self._least_bytes = waiting_bytes
        return now_s - self._since_s

    def clear(self) -> None:
        """Notes that nothing waits any more."""
        self._since_s = None
