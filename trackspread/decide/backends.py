"""Defines the endpoint list as service discovery provides it: entries, their health and updates.

All types are immutable and contain no decisions.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class EndpointUpdateKind(IntEnum):
    """Enumerates what an update of the endpoint list can hold.

    An update holds changes, a complete list, a complete list from the cache, or nothing because discovery
    could not be reached.
    """

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class Health(IntEnum):
    """Enumerates the states of a backend in the endpoint list."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


@dataclass(frozen=True, slots=True)
class Backend:
    """Holds one entry of the endpoint list.

    `weight` is the one that discovery gives. `started_at_ns` is 0 if the backend started long ago. `service`
    is an index into the services that the gateway carries.
    """

    id: int
    zone: int
    kind: int
    cell: int
    health: Health
    weight: float
    started_at_ns: int
    service: int = 0


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """Holds an update of the endpoint list; `version` is the list's version after the update."""

    kind: EndpointUpdateKind
    version: int
    backends: tuple[Backend, ...]
