"""The log of one replica: a snapshot of what is committed, the recent committed entries, and what is pending.

Rules:
- Entries lie in the order of their sequence without gaps; along a log versions only grow. Two logs that have
  one version in common are the same up to it (as in Raft: an entry is accepted only behind the one that its
  leader has before it).
- What is committed is never taken back; what is pending may be replaced by another leader's.
- Both lists are bounded: a reader of an entry that is no longer there takes a snapshot.

No I/O; knows nothing of replicas, gateways or time.
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
    """One replica's log. `committed` and `last`: versions of the newest committed entry and of the newest at
    all."""

    def __init__(self, recent: int) -> None:
        self.committed = NO_VERSION
        self.last = NO_VERSION
        self.snapshot: Snapshot = {}
        self.pending: deque[Entry] = deque()
        self._recent: deque[Entry] = deque()  # committed ones behind `_oldest_version`
        self._max_recent = recent
        self._oldest_version = NO_VERSION
        self._sorted_services: list[str] | None = None  # None: to be sorted anew
        self._sorted_keys: dict[str, list[str]] = {}  # by service, as far as they are sorted

    def __len__(self) -> int:
        """Keys that have a value."""
        return sum(map(len, self.snapshot.values()))

    def holds(self, version: Version) -> bool:
        """Whether this log has that version, as far back as it goes."""
        if version.sequence > self.committed.sequence:
            place = version.sequence - self.committed.sequence - 1
            return place < len(self.pending) and self.pending[place].version == version
        behind = self.committed.sequence - version.sequence
        if behind < len(self._recent):
            return self._recent[-1 - behind].version == version
        return version == self._oldest_version

    def entries_after(self, version: Version) -> list[Entry] | None:
        """All entries behind this version, pending ones too; None where the log does not reach back to it."""
        if version.sequence >= self.committed.sequence:
            return list(islice(self.pending, version.sequence - self.committed.sequence, None))
        recent = self.committed_after(version)
        return [*recent, *self.pending] if recent is not None else None

    def committed_after(self, version: Version) -> list[Entry] | None:
        """The committed entries behind this version; None where the log does not reach back to it."""
        behind = self.committed.sequence - version.sequence
        if behind > len(self._recent):
            return None
        return [self._recent[-place] for place in range(behind, 0, -1)]

    def append(self, entry: Entry) -> None:
        """Add a pending entry; raises `ValueError` for one that does not follow the last."""
        if entry.version.sequence != self.last.sequence + 1 or entry.version <= self.last:
            raise ValueError(f"{entry.version} does not follow {self.last}")
        self.pending.append(entry)
        self.last = entry.version

    def accept(self, previous: Version, entries: Iterable[Entry]) -> bool:
        """Take a leader's entries behind `previous`; False where this log does not have that. Pending entries
        that differ are replaced."""
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

    def commit(self, upto: Version) -> list[Entry]:
        """Commit up to a version, or to the last entry; returns what is newly committed, in order."""
        committed = []
        while self.pending and self.pending[0].version.sequence <= upto.sequence:
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
        """Take over what was committed elsewhere up to this version. Pending entries behind it stay; where
        this log does not have the version, everything is replaced."""
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

    # Snapshots in pieces.

    def next_piece(self, cursor: Cursor, wanted: Callable[[str], bool]) -> tuple[tuple[Entry, ...], bool]:
        """Entries behind the cursor that fit one datagram, and whether nothing follows them."""
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
    """A digest of all values, the same in all processes."""
    entries = [snapshot[service][key] for service in sorted(snapshot) for key in sorted(snapshot[service])]
    return hashlib.blake2b(msgspec.msgpack.encode(entries), digest_size=8).hexdigest()


def entries_that_fit(entries: Iterable[Entry]) -> tuple[tuple[Entry, ...], bool]:
    """Entries from the first on that fit one datagram, and whether others follow."""
    fitting = list[Entry]()
    size = 0
    for entry in entries:
        size += entry.size
        if fitting and size > MAX_ENTRIES_BYTES:
            return tuple(fitting), True
        fitting.append(entry)
    return tuple(fitting), False
