"""Versions of the configuration that is distributed, and the entries that they number.

Plain values and their bounds; nothing here decides anything.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from ..membership.identifiers import NO_EPOCH, Epoch

MAX_NAME_CHARACTERS = 128  # of a service's name, and of a key's
MAX_VALUE_BYTES = 640  # so that an entry always fits one datagram
MAX_ENTRIES_BYTES = 900  # of entries in one datagram
ENTRY_OVERHEAD_BYTES = 40  # of one entry beside its names and its value, at most
MAX_SERVICES = 4096  # that one gateway may subscribe to
SUBSCRIPTION_PART_BYTES = 900  # of services' names in one datagram


class Version(NamedTuple):
    """Orders all changes: the greater is the newer.

    `history`: the log that it belongs to, by the round in which that was begun; `epoch`: of the leader that
    numbered it; `sequence`: its place in the log, from 1."""

    history: int
    epoch: Epoch
    sequence: int


NO_VERSION = Version(0, NO_EPOCH, 0)


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One change. `value` None deletes the key; an empty `service` changes nothing (a leader's first)."""

    version: Version
    service: str
    key: str
    value: bytes | None

    @property
    def size(self) -> int:
        """Bytes in a datagram, at most."""
        value = len(self.value) if self.value is not None else 0
        return ENTRY_OVERHEAD_BYTES + len(self.service.encode()) + len(self.key.encode()) + value


class Cursor(NamedTuple):
    """The last entry of a snapshot's piece; pieces go by service and key."""

    service: str
    key: str


START = Cursor("", "")
