"""Holds the log of one replica: a snapshot of committed values, recent committed entries, pending entries.

Rules:
- Entries are in the order of their sequence without gaps, and versions only grow along a log. Two logs that
  have one version in common are the same up to it (as in Raft: an entry is accepted only after the one that
  precedes it in its leader's log).
- Committed entries are never taken back; pending entries may be replaced by those of another leader.
- Both lists are bounded: a reader of an entry that is no longer in them takes a snapshot.

The module does no I/O and knows nothing of replicas, gateways or time.
"""

from __future__ import annotations

import hashlib
from bisect import bisect_right
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from itertools import islice

import msgspec

from .versions import MAX_ENTRIES_BYTES, NO_VERSION, Cursor, Entry, Version

Snapshot = dict[str, dict[str, Entry]]  # by service and key


class Log:
    """Holds one replica's log.

    `committed` is the version of the newest committed entry, `last` that of the newest entry, committed or
    pending.
    """

    def __init__(self, recent: int) -> None:
        self.committed = NO_VERSION
        self.last = NO_VERSION
        self.snapshot: Snapshot = {}
        self.pending: deque[Entry] = deque()
        self._recent: deque[Entry] = deque()  # the committed entries after `_oldest_version`
        self._max_recent = recent
        self._oldest_version = NO_VERSION
        self._sorted_services: list[str] | None = None  # None while they have to be sorted again
        self._sorted_keys: dict[str, list[str]] = {}  # by service, where they are sorted already

    def __len__(self) -> int:
        """Returns the number of keys that have a value."""
        return sum(map(len, self.snapshot.values()))

    def holds(self, version: Version) -> bool:
        """Returns whether this log has that version, as far back as the log reaches."""
        if version.sequence > self.committed.sequence:
            place = version.sequence - self.committed.sequence - 1
            return place < len(self.pending) and self.pending[place].version == version
        behind = self.committed.sequence - version.sequence
        if behind < len(self._recent):
            return self._recent[-1 - behind].version == version
        return version == self._oldest_version

    def entries_after(self, version: Version) -> list[Entry] | None:
        """Returns all entries after this version, committed and pending.

        None is returned if the log does not reach back to the version.
        """
        if version.sequence >= self.committed.sequence:
            return list(islice(self.pending, version.sequence - self.committed.sequence, None))
        recent = self.committed_after(version)
        return [*recent, *self.pending] if recent is not None else None

    def committed_after(self, version: Version) -> list[Entry] | None:
        """Returns the committed entries after this version, or None if the log does not reach back to it."""
        behind = self.committed.sequence - version.sequence
        if behind > len(self._recent):
            return None
        return [self._recent[-place] for place in range(behind, 0, -1)]

    def append(self, entry: Entry) -> None:
        """Appends a pending entry; raises `ValueError` for one that does not follow the last."""
        if entry.version.sequence != self.last.sequence + 1 or entry.version <= self.last:
            raise ValueError(f"{entry.version} does not follow {self.last}")
        self.pending.append(entry)
        self.last = entry.version

    def accept(self, previous: Version, entries: Iterable[Entry]) -> bool:
        """Accepts a leader's entries after `previous`; returns False if this log does not have `previous`.

        Pending entries that differ are replaced.
        """
        if not self.holds(previous):
            return False
        for entry in entries:
            if entry.version.sequence <= self.committed.sequence or self.holds(entry.version):
                continue
            while self.last.sequence >= entry.version.sequence:
                self.pending.pop()
                self.last = self.pending[-1].version if self.pending else self.committed
            self.append(entry)
        return True

    def commit(self, up_to: Version) -> list[Entry]:
        """Commits up to a version, or to the last entry; returns the newly committed entries in order."""
        committed = []
        while self.pending and self.pending[0].version.sequence <= up_to.sequence:
            entry = self.pending.popleft()
            self._apply(entry)
            committed.append(entry)
        return committed

    def _apply(self, entry: Entry) -> None:
        self.committed = entry.version
        self._recent.append(entry)
        if len(self._recent) > self._max_recent:
            self._oldest_version = self._recent.popleft().version
        if not entry.service:
            return
        keys = self.snapshot.setdefault(entry.service, {})
        if entry.value is None:
            if keys.pop(entry.key, None) is not None:
                self._sorted_keys.pop(entry.service, None)
            if not keys:
                del self.snapshot[entry.service]
                self._sorted_services = None
            return
        if not keys:
            self._sorted_services = None
        if entry.key not in keys:
            self._sorted_keys.pop(entry.service, None)
        keys[entry.key] = entry

    def install(self, snapshot: Snapshot, version: Version) -> None:
        """Installs a snapshot of what another replica had committed up to this version.

        Pending entries after the version stay; if this log does not have the version, the snapshot replaces
        everything.
        """
        if self.holds(version):
            self.commit(version)
            return
        self.snapshot = {service: dict(keys) for service, keys in snapshot.items()}
        self.committed = version
        self.last = version
        self._oldest_version = version
        self.pending.clear()
        self._recent.clear()
        self._sorted_services = None
        self._sorted_keys = {}

    def next_piece(self, cursor: Cursor, wanted: Callable[[str], bool]) -> tuple[tuple[Entry, ...], bool]:
        """Returns the entries after the cursor that fit one datagram, and whether nothing follows them."""
        entries = list[Entry]()
        size = 0
        for entry in self._entries_after_cursor(cursor, wanted):
            size += entry.size
            if entries and size > MAX_ENTRIES_BYTES:
                return tuple(entries), False
            entries.append(entry)
        return tuple(entries), True

    def _entries_after_cursor(self, cursor: Cursor, wanted: Callable[[str], bool]) -> Iterator[Entry]:
        if self._sorted_services is None:
            self._sorted_services = sorted(self.snapshot)
        start = bisect_right(self._sorted_services, cursor.service)
        if cursor.service in self.snapshot and wanted(cursor.service):
            yield from self._entries_of(cursor.service, cursor.key)
        for service in islice(self._sorted_services, start, None):
            if wanted(service):
                yield from self._entries_of(service, None)

    def _entries_of(self, service: str, behind: str | None) -> Iterator[Entry]:
        keys = self._sorted_keys.get(service)
        if keys is None:
            keys = self._sorted_keys[service] = sorted(self.snapshot[service])
        start = bisect_right(keys, behind) if behind is not None else 0
        held = self.snapshot[service]
        return (held[key] for key in islice(keys, start, None))


def fingerprint(snapshot: Snapshot) -> str:
    """Returns a digest of all values, which is the same in all processes."""
    entries = [snapshot[service][key] for service in sorted(snapshot) for key in sorted(snapshot[service])]
    return hashlib.blake2b(msgspec.msgpack.encode(entries), digest_size=8).hexdigest()


def entries_that_fit(entries: Iterable[Entry]) -> tuple[tuple[Entry, ...], bool]:
    """Returns the entries, from the first on, that fit one datagram, and whether others follow."""
    fitting = list[Entry]()
    size = 0
    for entry in entries:
        size += entry.size
        if fitting and size > MAX_ENTRIES_BYTES:
            return tuple(fitting), True
        fitting.append(entry)
    return tuple(fitting), False
