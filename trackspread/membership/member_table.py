"""Holds the table of members and merges gossip updates into it.

| update | member unknown | update of lesser rank known | update of same or greater rank known |
| --- | --- | --- | --- |
| ALIVE | recorded, forwarded | recorded, forwarded | ignored |
| SUSPECT | recorded, forwarded; the suspicion timeout starts | likewise | ignored, but its reporter counts |
| DEAD, LEFT | recorded as gone | recorded, forwarded | ignored |

A rank is (creation time, incarnation, state). The order in which updates arrive makes no difference, so that
all tables become equal once all updates have arrived everywhere. A member does not record what others report
about itself: it refutes a suspicion with a new incarnation.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import xxhash
from msgspec import structs

from .identifiers import SECOND, MemberId
from .messages import GossipUpdate, State
from .suspicion import MAX_CONFIRMATIONS

# Time for which a gone member stays in the table, which is longer than an old update is in circulation.
GONE_RETENTION_NS = 60 * SECOND


@dataclass(slots=True)
class MemberEntry:
    """Holds what is known of one member."""

    update: GossipUpdate
    since_ns: int  # time at which this state was recorded
    suspected_by: set[str] = field(default_factory=set)  # names of the members that suspect it

    @property
    def is_present(self) -> bool:
        """Returns whether the member is alive or suspected, and so not known to be gone."""
        return self.update.state <= State.SUSPECT


class MemberTable:
    """Holds all other known members by name, at most twice `max_members`."""

    def __init__(self, own_update: GossipUpdate, max_members: int) -> None:
        self.own_update = own_update
        self._max_members = max_members
        self.by_name: dict[str, MemberEntry] = {}
        self.rejected_updates = 0  # updates about members beyond the limit
        self.newer_process: GossipUpdate | None = None  # a newer process under this member's own name
        # Both caches are read several times a tick, and cleared at each change. The digest is stored with the
        # (creation time, state) of this member from which it was computed.
        self._cached_digest: tuple[tuple[int, int], int] | None = None
        self._cached_present: tuple[MemberEntry, ...] | None = None

    def apply(self, now_ns: int, update: GossipUpdate, reporter: str) -> bool:
        """Merges an update of this reporter; returns whether it changed the table and has to be forwarded."""
        if update.name == self.own_update.name:
            return self._refute(update)
        entry = self.by_name.get(update.name)
        if entry is None:
            if len(self.by_name) >= 2 * self._max_members and not self._evict_gone():
                self.rejected_updates += 1
                return False
            entry = self.by_name[update.name] = MemberEntry(update, now_ns)
        elif update.rank > entry.update.rank:
            _replace_update(now_ns, entry, update)
        elif update.rank == entry.update.rank and update.state == State.SUSPECT:
            return _add_suspecting_member(entry, reporter)
        else:
            return False
        self._cached_digest = None
        self._cached_present = None
        if update.state == State.SUSPECT:
            entry.suspected_by.add(reporter)
        return True

    def _refute(self, update: GossipUpdate) -> bool:
        """Handles an update about this member's own name; returns whether a new incarnation answers it."""
        own = self.own_update
        if update.created_at_ms > own.created_at_ms:
            self.newer_process = update
            return False
        if update.created_at_ms < own.created_at_ms:
            return False
        if update.state != State.ALIVE and (update.incarnation, update.state) >= (own.incarnation, 0):
            if own.state == State.LEFT:
                return False
        elif update.incarnation <= own.incarnation:
            # This member never announced an incarnation beyond its own: such an update is answered below.
            return False
        self.own_update = structs.replace(own, incarnation=update.incarnation + 1, state=State.ALIVE)
        return True

    def _evict_gone(self) -> bool:
        """Drops the member that has been gone longest; returns whether there was one."""
        gone = [entry for entry in self.by_name.values() if not entry.is_present]
        if not gone:
            return False
        del self.by_name[min(gone, key=lambda entry: entry.since_ns).update.name]
        return True

    def remove_expired(self, now_ns: int) -> None:
        """Drops members that have been gone for `GONE_RETENTION_NS`."""
        for name, entry in list(self.by_name.items()):
            if not entry.is_present and now_ns - entry.since_ns > GONE_RETENTION_NS:
                del self.by_name[name]

    def digest(self) -> int:
        """Returns a 32-bit digest of the live members, which is equal at members that agree on them."""
        own = self.own_update.created_at_ms, self.own_update.state
        if self._cached_digest is None or self._cached_digest[0] != own:
            text = ";".join(f"{name}:{created_at_ms}" for name, created_at_ms in self.live())
            self._cached_digest = own, xxhash.xxh32_intdigest(text.encode())
        return self._cached_digest[1]

    def is_present(self, member_id: MemberId) -> bool:
        """Returns whether exactly this process is present, as far as is known."""
        if member_id == self.own_update.member_id:
            return True
        entry = self.by_name.get(member_id[0])
        return entry is not None and entry.is_present and entry.update.member_id == member_id

    def present(self) -> list[MemberEntry]:
        """Returns the other members that are not known to be gone, as a new list."""
        return list(self._present_entries())

    def present_count(self) -> int:
        """Returns the number of present members, this one included."""
        return 1 + len(self._present_entries())

    def _present_entries(self) -> tuple[MemberEntry, ...]:
        if self._cached_present is None:
            self._cached_present = tuple(entry for entry in self.by_name.values() if entry.is_present)
        return self._cached_present

    def live(self) -> tuple[MemberId, ...]:
        """Returns all present members sorted, including this one unless it has left."""
        own = () if self.own_update.state == State.LEFT else (self.own_update.member_id,)
        return tuple(sorted((*own, *(entry.update.member_id for entry in self._present_entries()))))


def _replace_update(now_ns: int, entry: MemberEntry, update: GossipUpdate) -> None:
    before = entry.update
    if (update.state, update.created_at_ms) != (before.state, before.created_at_ms):
        entry.since_ns = now_ns
    entry.update = update
    entry.suspected_by.clear()


def _add_suspecting_member(entry: MemberEntry, reporter: str) -> bool:
    """Adds a suspecting member; returns whether it is new and still shortens the suspicion timeout."""
    is_new_reporter = reporter not in entry.suspected_by and len(entry.suspected_by) < 1 + MAX_CONFIRMATIONS
    entry.suspected_by.add(reporter)
    return is_new_reporter
