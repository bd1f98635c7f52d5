"""Remembers the ids of ended requests that may have been executed and must not be executed again (rule 2).

A client whose connection broke may send its request once more under the same id, here or, during an upgrade,
at the other process.
"""

from __future__ import annotations

from collections.abc import Iterable

MAX_IDS = 8192  # half a minute of such requests at full load, and longer than any client waits


class ExecutedIds:
    """Holds the most recent ids."""

    def __init__(self) -> None:
        self._ids: dict[bytes, None] = {}  # the oldest first

    def add(self, request_id: bytes) -> None:
        """Remembers an id, in place of the oldest one if there are too many."""
        self._ids[request_id] = None
        if len(self._ids) > MAX_IDS:
            del self._ids[next(iter(self._ids))]

    def update(self, request_ids: Iterable[bytes]) -> None:
        """Remembers these ids, the oldest first."""
        for request_id in request_ids:
            self.add(request_id)

    def __contains__(self, request_id: bytes) -> bool:
        return request_id in self._ids

    def all(self) -> list[bytes]:
        """Returns all ids, the oldest first."""
        return list(self._ids)
