"""Holds the connections that wait to be read, in the order in which they began to wait.

It knows neither sockets nor why they wait; `fronts/read_ahead.py` and `backends/read_budget.py` decide that.
"""

from __future__ import annotations

from typing import Protocol


class PausedConnection(Protocol):
    """Has more input than one read yields, and is not read for now."""

    def continue_reading(self) -> None:
        """Reads from its socket again."""


class ReadQueue:
    """Holds each connection once, the one that waits longest first."""

    def __init__(self) -> None:
        self._waiting: dict[PausedConnection, None] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, connection: PausedConnection) -> None:
        """Has a connection wait until its turn."""
        self._waiting.setdefault(connection)

    def remove(self, connection: PausedConnection) -> None:
        """Forgets a connection that has ended."""
        self._waiting.pop(connection, None)

    def continue_first(self) -> None:
        """Has the connection that waits longest read on; there must be one."""
        connection = next(iter(self._waiting))
        del self._waiting[connection]
        connection.continue_reading()
