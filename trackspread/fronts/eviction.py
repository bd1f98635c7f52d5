"""Chooses which connection ends when a new one comes and no more may be open.

It knows what clients hold and the order in which they were active. It knows neither sockets nor protocols.
Descriptors are limited, and a gateway may close a connection between requests. Connections that never sent
a command or are idle for long come first. Then come two groups, the larger group first: clients that were
active a moment ago and would probably send again, those idle for longest first, and clients with an
incomplete request, the one that holds the most first. So neither many idle clients end those that send
long requests, nor the other way round. A client with an accepted request is never chosen, nor one whose
incomplete request is short; where most clients are of this kind, the new connection is closed, and not one
that is in use.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from itertools import chain
from typing import Generic, Protocol, TypeVar

from ..memory.overload import MIN_SHARE_BYTES

RECENTLY_ACTIVE_S = 2.0  # after the last answer
SEARCH_INTERVAL_S = 0.02  # between two searches while clients of the former one are left


class Evictable(Protocol):
    """Has a connection that may be ended."""

    has_sent_command: bool
    idle_since: float  # time of the last answer in s, or of the connection's start

    def is_evictable(self) -> bool:
        """Returns whether it is idle, and an abort frees its descriptor at once."""

    @property
    def incomplete_bytes(self) -> int:
        """Returns how much was received of requests that are not accepted; 0 if one is accepted and open."""


Client = TypeVar("Client", bound=Evictable)


class Eviction(Generic[Client]):
    """Chooses among the clients of one process."""

    def __init__(self, time_s: Callable[[], float]) -> None:
        """Creates it; `time_s` returns the loop's time, which is in whole ms: each ms has one search."""
        self._time_s = time_s
        self._searched_at = -1.0
        self._has_new_clients = False  # since the search
        self._candidates: dict[Client, None] = {}  # of the last search, in the order in which they end

    def choose(self, clients: Iterable[Client]) -> Client | None:
        """Returns the client that ends, or None; `clients` come in the order in which they were active."""
        if self._time_s() >= self._searched_at + SEARCH_INTERVAL_S:
            self._search(clients)
        client = self._next_candidate()
        if client is None and self._is_search_due():
            self._search(clients)
            client = self._next_candidate()
        return client

    def client_added(self) -> None:
        """Has the clients searched again once none is left, as the new one may be idle."""
        self._has_new_clients = True

    def may_find(self) -> bool:
        """Returns whether `choose` would search, or knows another client."""
        return bool(self._candidates) or self._is_search_due()

    def remove(self, client: Client) -> None:
        """Forgets a client whose connection has ended."""
        self._candidates.pop(client, None)

    def _is_search_due(self) -> bool:
        return self._has_new_clients or self._searched_at != self._time_s()

    def _search(self, clients: Iterable[Client]) -> None:
        clients = list(clients)
        self._searched_at = now_s = self._time_s()
        self._has_new_clients = False
        unused, recent = _idle_clients(clients, now_s)
        large = _by_incomplete_bytes(clients)
        busy = len(clients) - len(unused) - len(recent) - len(large)
        if len(recent) < busy:
            recent = []
        groups = (large, recent) if len(large) > len(recent) else (recent, large)
        self._candidates = dict.fromkeys(chain(unused, *groups))

    def _next_candidate(self) -> Client | None:
        while self._candidates:
            client = next(iter(self._candidates))
            del self._candidates[client]
            if client.is_evictable() or client.incomplete_bytes >= MIN_SHARE_BYTES:
                return client
        return None


def _idle_clients(clients: Iterable[Client], now_s: float) -> tuple[list[Client], list[Client]]:
    """Returns the idle clients that are not in use, and those that were active a moment ago."""
    unused: list[Client] = []
    recent: list[Client] = []
    for client in clients:
        if client.is_evictable():
            is_recent = client.has_sent_command and now_s - client.idle_since < RECENTLY_ACTIVE_S
            (recent if is_recent else unused).append(client)
    return unused, recent


def _by_incomplete_bytes(clients: Iterable[Client]) -> list[Client]:
    sizes = {client: client.incomplete_bytes for client in clients}
    large = [client for client, size in sizes.items() if size >= MIN_SHARE_BYTES]
    return sorted(large, key=lambda client: sizes[client], reverse=True)
