"""Timers that count only once the loop has turned to its sockets.

May know: the loop. May not know: what waits for what.

Where the process lagged (its core was another's, its machine stood still) timers that came due meanwhile may
run before the loop turns to its sockets, and what a socket brings takes further turns until it is taken in:
what had come in time, or was up in time, would be told as late. Whatever gives something up waits by one of
these; what comes in those turns cancels it, as it would have before.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

# Of the loop without a wait: in one of them it turns to its sockets, what comes of that takes two more (a
# future that is done wakes its task, the task goes on), and one is spare.
TURNS = 4


class Later:
    """One call of `give_up` after so many seconds and the turns, unless it is cancelled before."""

    __slots__ = ("_give_up", "_handle", "_loop")

    def __init__(self, loop: asyncio.AbstractEventLoop, wait: float, give_up: Callable[[], object]) -> None:
        self._loop, self._give_up = loop, give_up
        self._handle: asyncio.Handle = loop.call_later(wait, self._turn, TURNS)

    def _turn(self, left: int) -> None:
        if left:
            self._handle = self._loop.call_soon(self._turn, left - 1)
        else:
            self._give_up()

    def cancel(self) -> None:
        self._handle.cancel()

    def cancelled(self) -> bool:
        return self._handle.cancelled()
