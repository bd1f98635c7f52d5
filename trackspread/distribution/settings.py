"""Holds the settings of replicas and of gateways' subscriptions."""

from __future__ import annotations

from typing import NamedTuple

from ..decide.time_units import MILLISECOND, SECOND
from ..membership.identifiers import Address

TICK_NS = 50 * MILLISECOND  # between two ticks of a core


class ReplicaSettings(NamedTuple):
    """Holds the settings of one replica.

    `replicas` are the addresses of all replicas, in the same order on each; `number` is the own place among
    them. `incarnation` is the wall clock at the start, in milliseconds.
    """

    number: int
    incarnation: int
    replicas: tuple[Address, ...]
    max_recent_entries: int = 8192  # committed entries cached for deltas
    max_pending_entries: int = 1024  # entries that may wait to be committed
    max_keys: int = 262_144  # keys that may have a value: four times the routes of the largest fleet
    pieces_per_s: int = 2000  # datagrams with entries that are sent to gateways

    @property
    def majority(self) -> int:
        """Returns the number of replicas that form a majority."""
        return len(self.replicas) // 2 + 1


class SubscriberSettings(NamedTuple):
    """Holds the settings of one gateway's subscription.

    `replicas` are those of its region, if any; `other_replicas` are polled when none of these answers.
    """

    replicas: tuple[Address, ...]
    services: frozenset[str] | None  # None for all services
    other_replicas: tuple[Address, ...] = ()
    period_ns: int = SECOND  # between polls
    timeout_ns: int = 400 * MILLISECOND  # until one answer has to arrive
