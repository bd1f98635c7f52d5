"""The endpoint list as service discovery gives it: entries, their health, and what one update holds.

Everything is immutable; nothing here decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class EndpointUpdateKind(IntEnum):
    """What a list event holds."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class Health(IntEnum):
    """A backend's state in the list."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


@dataclass(frozen=True, slots=True)
class Backend:
    """One entry of the list; `booted` is 0 for a long time ago."""

    id: int
    zone: int
    kind: int
    cell: int
    health: Health
    weight: float
    started_at_ns: int
    service: int = 0  # an index into those that the gateway carries


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """Discovery's word on the backends."""

    kind: EndpointUpdateKind
    version: int
    backends: tuple[Backend, ...]
