"""Defines the versions of the distributed configuration and the entries that they number.

The module holds plain values and their bounds; it decides nothing.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from ..membership.identifiers import NO_EPOCH, Epoch

MAX_NAME_CHARACTERS = 128  # of a service's name, and of a key's
MAX_VALUE_BYTES = 640  # small enough for an entry to fit one datagram always
MAX_ENTRIES_BYTES = 900  # of entries in one datagram
ENTRY_OVERHEAD_BYTES = 40  # upper bound for one entry without its names and its value
MAX_SERVICES = 4096  # that one gateway may subscribe to
SUBSCRIPTION_PART_BYTES = 900  # of services' names in one datagram


class Version(NamedTuple):
    """Orders all changes: the greater version is the newer.

    `history` identifies the log that it belongs to by the round in which that log began. `epoch` is that of
    the leader that numbered the change, and `sequence` its place in the log, from 1.
    """

    history: int
    epoch: Epoch
    sequence: int


NO_VERSION = Version(0, NO_EPOCH, 0)


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """Holds one change.

    A `value` of None deletes the key. An empty `service` changes nothing; a leader's first entry has one.
    """

    version: Version
    service: str
    key: str
    value: bytes | None

    @property
    def size(self) -> int:
        """Returns the upper bound of its bytes in a datagram."""
        value = len(self.value) if self.value is not None else 0
        return ENTRY_OVERHEAD_BYTES + len(self.service.encode()) + len(self.key.encode()) + value


class Cursor(NamedTuple):
    """Names the last entry of a snapshot's piece; pieces are in the order of service and key."""

    service: str
    key: str


START = Cursor("", "")
