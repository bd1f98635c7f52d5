"""Sums up the memory that is kept on behalf of connections, backends, peers and tenants.

It knows sizes and owners. It knows no sockets, no time, and not what an owner does with its memory.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from enum import StrEnum
from typing import Protocol


class Holder(StrEnum):
    """Enumerates what memory is kept for; the values are names of figures."""

    INPUT = "input"  # read from clients and not processed, or the begin of a command
    BODIES = "bodies"  # of long requests that are being received
    REQUESTS = "requests"  # open requests, kept for a further attempt
    ANSWERS = "answers"  # that wait for their turn, or that clients have not read
    BACKENDS = "backends"  # answers that are being received, requests that backends have not read
    CONNECTIONS = "connections"  # objects of clients' connections
    TENANTS = "tenants"  # accounts and commitments
    DISCOVERY = "discovery"  # lines of the watch
    ADMIN = "admin"  # calls of operators and their responses
    HANDOVER = "handover"  # packets of another process, and for it


class MemoryOwner(Protocol):
    """Keeps memory, and can give some of it up."""

    def held_memory(self) -> Mapping[Holder, int]:
        """Returns the bytes that it keeps at present."""

    def shed_memory(self) -> bool:
        """Gives up what it can, by a rejection or by its end; returns whether that frees memory."""


class MemoryAccount:
    """Holds how much memory each owner keeps, and the sum.

    An owner reports its size with `update` whenever that changes. Tables that cannot be shed are registered
    once and asked for their size by `refresh`.
    """

    def __init__(self, capacity_bytes: int) -> None:
        """Creates an empty account; `capacity_bytes` is what all owners and tables may keep together."""
        self.capacity_bytes = capacity_bytes
        self._sizes: dict[MemoryOwner, int] = {}
        self._owned_bytes = 0
        self._tables: list[tuple[Holder, Callable[[], int]]] = []
        self._table_bytes = 0
        self._on_over: Callable[[], object] = lambda: None

    def when_over(self, on_over: Callable[[], object]) -> None:
        """Has `on_over` called whenever an owner reports its size and the sum is over the capacity."""
        self._on_over = on_over

    @property
    def used_bytes(self) -> int:
        """Returns the sum over all owners and tables."""
        return self._owned_bytes + self._table_bytes

    def add_table(self, holder: Holder, size_bytes: Callable[[], int]) -> None:
        """Registers a table; `size_bytes` returns its present size."""
        self._tables.append((holder, size_bytes))

    def update(self, owner: MemoryOwner) -> None:
        """Notes what an owner keeps at present."""
        size = sum(owner.held_memory().values())
        self._owned_bytes += size - self._sizes.get(owner, 0)
        if size:
            self._sizes[owner] = size
        else:
            self._sizes.pop(owner, None)
        if self.used_bytes > self.capacity_bytes:
            self._on_over()

    def remove(self, owner: MemoryOwner) -> None:
        """Forgets an owner that has ended."""
        self._owned_bytes -= self._sizes.pop(owner, 0)

    def refresh(self) -> None:
        """Asks all owners and tables anew: unsent bytes shrink without an event."""
        for owner in list(self._sizes):
            self.update(owner)
        self.update_tables()

    def update_tables(self) -> None:
        """Asks the tables for their sizes."""
        self._table_bytes = sum(size_bytes() for _, size_bytes in self._tables)

    def held_by(self, owner: MemoryOwner) -> int:
        """Returns what an owner keeps, as it reported last."""
        return self._sizes.get(owner, 0)

    def owners(self) -> int:
        """Returns the number of owners that keep anything."""
        return len(self._sizes)

    def largest_first(self) -> Iterator[MemoryOwner]:
        """Yields the owners in the order of what they keep, the largest first."""
        yield from sorted(self._sizes, key=lambda owner: self._sizes[owner], reverse=True)

    def by_holder(self) -> Counter[Holder]:
        """Returns the bytes for each holder, those without any included."""
        sizes = Counter(dict.fromkeys(Holder, 0))
        for owner in self._sizes:
            sizes.update(owner.held_memory())
        for holder, size_bytes in self._tables:
            sizes[holder] += size_bytes()
        return sizes
