"""The endpoint list as service discovery gives it: entries, their health, and what one update holds.

Everything is immutable; nothing here decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class EndpointUpdateKind(IntEnum):
    """What an update of the endpoint list holds: changes, a complete list, one from the cache, or nothing as
    discovery could not be reached."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class Health(IntEnum):
    """A backend's state in the endpoint list."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


@dataclass(frozen=True, slots=True)
class Backend:
    """One entry of the endpoint list.

    `weight`: as discovery gives it. `started_at_ns`: 0 for a long time ago. `service`: an index into
    those that the gateway carries."""

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
    """What service discovery says of backends; `version`: of the list, with this update."""

    kind: EndpointUpdateKind
    version: int
    backends: tuple[Backend, ...]
