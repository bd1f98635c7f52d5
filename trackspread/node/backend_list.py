"""Passes endpoint updates of service discovery to the connection pools and the decision module.

This module may depend on endpoint updates and the connection pools. It makes no decisions.
"""

from __future__ import annotations

from collections.abc import Callable

from ..backends.pools import ConnectionPools
from ..decide.backends import EndpointUpdate, EndpointUpdateKind, Health
from ..lists.source import ListUpdate


class BackendList:
    """Holds the ids of the backends that are listed now."""

    def __init__(self, pools: ConnectionPools, handle: Callable[[EndpointUpdate], None]) -> None:
        """Creates an empty list; `handle` passes updates to the decision module and may raise `ListError`."""
        self._pools = pools
        self._handle = handle
        self._listed: set[int] = set()

    def __len__(self) -> int:
        return len(self._listed)

    def __contains__(self, backend: object) -> bool:
        return backend in self._listed

    def apply(self, update: ListUpdate) -> None:
        """Applies one update; raises `ListError` if the decision module failed on it."""
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
        """Removes the backends that a complete list no longer names."""
        new_ids = {entry.id for entry in update.topology.backends}
        for backend in self._listed - new_ids:
            self._pools.update_backend(backend, None, update.is_old)
        self._listed.clear()
