"""The log of one replica: a snapshot of what is committed, the recent committed entries, and what is pending.

The rules of this file:
- Entries lie in the order of their sequence without gaps; along a log versions only grow. Two logs that have
  one version in common are the same up to it (as in Raft: an entry is accepted only behind the one that its
  leader has before it).
- What is committed is never taken back; what is pending may be replaced by another leader's.
- Both lists are bounded: who needs an entry that is no longer kept takes a snapshot.

May know: entries and versions. May not know: replicas, gateways, time.
"""

from __future__ import annotations

import hashlib
from bisect import bisect_right
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from itertools import islice

import msgspec

from .terms import ENTRIES_MOST, NOTHING, Cursor, Entry, Version

Snapshot = dict[str, dict[str, Entry]]  # by service and key


class Log:
    """`committed` and `last` are versions of the newest committed entry and of the newest at all."""

    def __init__(self, recent: int) -> None:
        self.committed = self.last = NOTHING
        self.snapshot: Snapshot = {}
        self.pending: deque[Entry] = deque()
        self._recent: deque[Entry] = deque()  # the committed entries behind `_base`
        self._recent_most, self._base = recent, NOTHING
        self._sorted: list[str] | None = None  # services in order, made anew after one came or went
        self._keys: dict[str, list[str]] = {}  # likewise by service

    def __len__(self) -> int:
        """Keys that have a value."""
        return sum(map(len, self.snapshot.values()))

    def holds(self, version: Version) -> bool:
        """Whether this log has that version, as far back as it is kept."""
        if version.sequence > self.committed.sequence:
            place = version.sequence - self.committed.sequence - 1
            return place < len(self.pending) and self.pending[place].version == version
        behind = self.committed.sequence - version.sequence
        if behind < len(self._recent):
            return self._recent[-1 - behind].version == version
        return version == self._base

    def after(self, version: Version) -> list[Entry] | None:
        """All entries behind this version, pending ones too; None where they are no longer kept."""
        if version.sequence >= self.committed.sequence:
            return list(islice(self.pending, version.sequence - self.committed.sequence, None))
        recent = self.committed_after(version)
        return [*recent, *self.pending] if recent is not None else None

    def committed_after(self, version: Version) -> list[Entry] | None:
        """The committed entries behind this version; None where they are no longer kept."""
        behind = self.committed.sequence - version.sequence
        if behind > len(self._recent):
            return None
        return [self._recent[-place] for place in range(behind, 0, -1)]

    def append(self, entry: Entry) -> None:
        """Behind the last; raises `ValueError` for one that does not follow it."""
        if entry.version.sequence != self.last.sequence + 1 or entry.version <= self.last:
            raise ValueError(f"{entry.version} does not follow {self.last}")
        self.pending.append(entry)
        self.last = entry.version

    def accept(self, previous: Version, entries: Iterable[Entry]) -> bool:
        """A leader's entries behind `previous`; False where this log does not have that. What is pending
        here and differs gives way."""
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
        """What is newly committed, in order; nothing beyond the last entry."""
        made = []
        while self.pending and self.pending[0].version.sequence <= upto.sequence:
            entry = self.pending.popleft()
            self._apply(entry)
            made.append(entry)
        return made

    def _apply(self, entry: Entry) -> None:
        self.committed = entry.version
        self._recent.append(entry)
        if len(self._recent) > self._recent_most:
            self._base = self._recent.popleft().version
        if not entry.service:
            return
        keys = self.snapshot.setdefault(entry.service, {})
        if entry.value is None:
            if keys.pop(entry.key, None) is not None:
                self._keys.pop(entry.service, None)
            if not keys:
                del self.snapshot[entry.service]
                self._sorted = None
            return
        if not keys:
            self._sorted = None
        if entry.key not in keys:
            self._keys.pop(entry.service, None)
        keys[entry.key] = entry

    def install(self, snapshot: Snapshot, version: Version) -> None:
        """What was committed elsewhere up to this version. Entries that are pending here and lie behind it
        stay; where this log does not have the version, all gives way."""
        if self.holds(version):
            self.commit(version)
            return
        self.snapshot = {service: dict(keys) for service, keys in snapshot.items()}
        self.committed = self.last = self._base = version
        self.pending.clear()
        self._recent.clear()
        self._sorted, self._keys = None, {}

    # Snapshots in pieces.

    def piece(self, cursor: Cursor, wanted: Callable[[str], bool]) -> tuple[tuple[Entry, ...], bool]:
        """Entries behind the cursor that fit one datagram, and whether nothing follows them."""
        made, size = list[Entry](), 0
        for entry in self._behind(cursor, wanted):
            size += entry.size
            if made and size > ENTRIES_MOST:
                return tuple(made), False
            made.append(entry)
        return tuple(made), True

    def _behind(self, cursor: Cursor, wanted: Callable[[str], bool]) -> Iterator[Entry]:
        if self._sorted is None:
            self._sorted = sorted(self.snapshot)
        start = bisect_right(self._sorted, cursor.service)
        if cursor.service in self.snapshot and wanted(cursor.service):
            yield from self._of(cursor.service, cursor.key)
        for service in islice(self._sorted, start, None):
            if wanted(service):
                yield from self._of(service, None)

    def _of(self, service: str, behind: str | None) -> Iterator[Entry]:
        keys = self._keys.get(service)
        if keys is None:
            keys = self._keys[service] = sorted(self.snapshot[service])
        start = bisect_right(keys, behind) if behind is not None else 0
        held = self.snapshot[service]
        return (held[key] for key in islice(keys, start, None))


def fingerprint(snapshot: Snapshot) -> str:
    """The same for the same values in all processes."""
    entries = [snapshot[service][key] for service in sorted(snapshot) for key in sorted(snapshot[service])]
    return hashlib.blake2b(msgspec.msgpack.encode(entries), digest_size=8).hexdigest()


def fitting(entries: Iterable[Entry]) -> tuple[tuple[Entry, ...], bool]:
    """Those from the first on that fit one datagram, and whether others follow."""
    made, size = list[Entry](), 0
    for entry in entries:
        size += entry.size
        if made and size > ENTRIES_MOST:
            return tuple(made), True
        made.append(entry)
    return tuple(made), False
