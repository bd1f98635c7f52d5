"""Settings of replicas and of gateways' subscriptions."""

from __future__ import annotations

from typing import NamedTuple

from ..decide.time_units import MILLISECOND, SECOND
from ..membership.identifiers import Address

TICK_NS = 50 * MILLISECOND  # between two ticks of a core


class ReplicaSettings(NamedTuple):
    """Settings of one replica.

    `replicas`: the addresses of all, the same in the same order everywhere; `number`: its own place among
    them; `incarnation`: wall clock at its start, ms."""

    number: int
    incarnation: int
    replicas: tuple[Address, ...]
    max_recent_entries: int = 8192  # committed entries that are cached for deltas
    max_pending_entries: int = 1024  # entries that wait to be committed, at most
    max_keys: int = 262_144  # that have a value, at most: four times the routes of the largest fleet
    pieces_per_s: int = 2000  # datagrams with entries that gateways are sent in a second

    @property
    def majority(self) -> int:
        """Replicas that decide."""
        return len(self.replicas) // 2 + 1


class SubscriberSettings(NamedTuple):
    """Settings of one gateway's subscription. `replicas`: those of its region, if any; `other_replicas`:
    polled when none of these answers."""

    replicas: tuple[Address, ...]
    services: frozenset[str] | None  # None: all
    other_replicas: tuple[Address, ...] = ()
    period_ns: int = SECOND  # between polls
    timeout_ns: int = 400 * MILLISECOND  # for one answer
