"""Timers that expire only once the loop has read its sockets.

It knows the loop. It does not know the purpose of a timer.

After the process lagged, because its core or its machine was paused, timers that came due meanwhile may run
before the loop reads its sockets, and input takes further turns until it is processed. Input that arrived in
time, or a connection that was established in time, would then count as late. Every timeout therefore uses one
of these timers, and input that is processed in those turns cancels it as usual.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

# Turns of the loop without a wait. In one it reads its sockets, the processing takes two more (a future that
# is done wakes its task, and the task continues), and one is a reserve.
SOCKET_TURNS = 4
LAG_INTERVAL_S = 0.1  # between measurements of the loop's delay


class LagMonitor:
    """Measures by how much the loop delays a timer, which is how long other input may wait for it."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._longest_s = 0.0
        self._due_at = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begins to measure."""
        self._due_at = time.monotonic() + LAG_INTERVAL_S
        self._timer = self._loop.call_later(LAG_INTERVAL_S, self._measure)

    def _measure(self) -> None:
        self._longest_s = max(self._longest_s, time.monotonic() - self._due_at)
        self.start()

    def take_longest_ms(self) -> int:
        """Returns the longest delay since the last call."""
        longest_s, self._longest_s = self._longest_s, 0.0
        return int(longest_s * 1000)

    def stop(self) -> None:
        """Ends the measurements."""
        if self._timer is not None:
            self._timer.cancel()


class LagTolerantTimer:
    """Calls `expired` once, after `delay_s` and the turns for sockets, unless it is cancelled before."""

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
        """Prevents the call of `expired`."""
        self._handle.cancel()

    def cancelled(self) -> bool:
        """Returns whether the timer was cancelled."""
        return self._handle.cancelled()
