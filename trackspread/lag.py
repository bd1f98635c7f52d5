"""Timers that expire only once the loop has read its sockets.

May know: the loop. May not know: what waits for what.

Where the process lagged (its core was taken, its machine stood still) timers that came due meanwhile may run
before the loop turns to its sockets, and what a socket brings takes further turns until it is read: what had
arrived in time, or was established in time, would be reported as late. Whatever gives something up waits by
one of these; what arrives in those turns cancels it, as it would have before.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

# Turns of the loop without a wait: in one it reads its sockets, what follows takes two more (a future that
# is done wakes its task, the task goes on), and one is spare.
SOCKET_TURNS = 4


class LagTolerantTimer:
    """One call of `expired` after `delay_s` and the turns for sockets, unless it is cancelled before."""

    __slots__ = ("_expired", "_handle", "_loop")

    def __init__(
        self, loop: asyncio.AbstractEventLoop, delay_s: float, expired: Callable[[], object]
    ) -> None:
        self._loop = loop
        self._expired = expired
        self._handle: asyncio.Handle = loop.call_later(delay_s, self._turn, SOCKET_TURNS)

    def _turn(self, turns_left: int) -> None:
        if turns_left:
            self._handle = self._loop.call_soon(self._turn, turns_left - 1)
        else:
            self._expired()

    def cancel(self) -> None:
        """Do not expire."""
        self._handle.cancel()

    def cancelled(self) -> bool:
        """Whether it was cancelled."""
        return self._handle.cancelled()
