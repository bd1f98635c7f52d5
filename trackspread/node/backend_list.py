"""The backends that service discovery lists: their addresses to the pools, the update to the decision module.

May know: endpoint updates, the connection pools. Decides nothing.
"""

from __future__ import annotations

from collections.abc import Callable

from ..backends.pools import ConnectionPools
from ..decide.backends import EndpointUpdate, EndpointUpdateKind, Health
from ..lists.source import ListUpdate


class BackendList:
    """The backends that are listed now."""

    def __init__(self, pools: ConnectionPools, handle: Callable[[EndpointUpdate], None]) -> None:
        """`handle` takes each update for the decision module, and may raise `ListError`."""
        self._pools = pools
        self._handle = handle
        self._listed: set[int] = set()

    def __len__(self) -> int:
        return len(self._listed)

    def __contains__(self, backend: object) -> bool:
        return backend in self._listed

    def apply(self, update: ListUpdate) -> None:
        """Take up one update; raises `ListError` where the decision module could not."""
        if update.topology.kind is not EndpointUpdateKind.DELTA:
            self._drop_unlisted(update)
        for entry in update.topology.backends:
            address = update.addresses[entry.id] if entry.health is Health.READY else None
            self._pools.update_backend(entry.id, address, update.is_old, entry.started_at_ns)
            if entry.health is Health.REMOVED:
                self._listed.discard(entry.id)
            else:
                self._listed.add(entry.id)
        self._handle(update.topology)

    def _drop_unlisted(self, update: ListUpdate) -> None:
        """A complete list no longer names some of those that were listed."""
        named = {entry.id for entry in update.topology.backends}
        for backend in self._listed - named:
            self._pools.update_backend(backend, None, update.is_old)
        self._listed.clear()
