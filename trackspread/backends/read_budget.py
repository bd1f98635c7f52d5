"""Limits how much is read from all backends in one turn of the loop.

It knows sizes and turns. It knows neither sockets nor answers. Hundreds of long answers that arrive at once
would otherwise be read and forwarded in one turn, which delays every other request by tens of ms. Connections
that have to wait are read again in the order in which they began to wait; meanwhile the kernel bounds what
their backends send. Answers that one read completes never wait.
"""

from __future__ import annotations

from collections.abc import Callable

from ..memory.read_buffer import READ_BYTES
from ..memory.read_queue import PausedConnection, ReadQueue

MAX_TURN_BYTES = 512 << 10


class ReadBudget:
    """Counts what was read in the present turn, and holds the connections that wait to be read."""

    def __init__(self, call_soon: Callable[[Callable[[], object]], object]) -> None:
        """Creates it without connections; `call_soon` calls a function in the loop's next turn."""
        self._call_soon = call_soon
        self._read_bytes = 0  # in the present turn
        self._is_turn_scheduled = False
        self._queue = ReadQueue()

    @property
    def waiting(self) -> int:
        """Returns how many connections wait to be read."""
        return len(self._queue)

    def spend(self, read_bytes: int) -> None:
        """Notes what was read from a backend."""
        self._read_bytes += read_bytes
        self._schedule_turn()

    def must_wait(self, connection: PausedConnection) -> bool:
        """Returns whether a connection is not read for now; `continue_reading` is called in a later turn."""
        if self._read_bytes < MAX_TURN_BYTES:
            return False
        self._queue.add(connection)
        return True

    def remove(self, connection: PausedConnection) -> None:
        """Forgets a connection that has ended."""
        self._queue.remove(connection)

    def _schedule_turn(self) -> None:
        if not self._is_turn_scheduled:
            self._is_turn_scheduled = True
            self._call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        """Begins a new budget, and has as many connections read as it allows one read each."""
        self._is_turn_scheduled = False
        self._read_bytes = 0
        for _ in range(min(len(self._queue), MAX_TURN_BYTES // READ_BYTES)):
            self._queue.continue_first()
        if self._queue:
            self._schedule_turn()
