"""The table of members, and how gossip updates merge into it.

| update | nothing known | lesser rank known | same or greater rank known |
| --- | --- | --- | --- |
| ALIVE | recorded, passed on | recorded, passed on | ignored |
| SUSPECT | recorded, passed on; the suspicion timeout begins | likewise | ignored, but its reporter counts |
| DEAD, LEFT | recorded as gone | recorded, passed on | ignored |

A rank is (creation time, incarnation, state): the order in which updates arrive makes no difference, so that
all tables become equal once all updates have arrived everywhere. Of itself a member records nothing that
others say: it refutes a suspicion with a new incarnation.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import xxhash
from msgspec import structs

from .identifiers import SECOND, MemberId
from .messages import GossipUpdate, State
from .suspicion import MAX_CONFIRMATIONS

GONE_RETENTION_NS = 60 * SECOND  # for which a gone member is remembered: longer than an old update travels


@dataclass(slots=True)
class MemberEntry:
    """What is known of one member."""

    update: GossipUpdate
    since_ns: int  # when this state was recorded
    suspected_by: set[str] = field(default_factory=set)  # names

    @property
    def is_present(self) -> bool:
        """Alive or suspected: not known to be gone."""
        return self.update.state <= State.SUSPECT


class MemberTable:
    """All other members known here, by name, at most twice `max_members`."""

    def __init__(self, own_update: GossipUpdate, max_members: int) -> None:
        self.own_update = own_update
        self._max_members = max_members
        self.by_name: dict[str, MemberEntry] = {}
        self.rejected_updates = 0  # on members beyond the limit
        self.newer_process: GossipUpdate | None = None  # a newer process under this member's own name
        # Both are read several times a tick, and dropped with each change.
        # What of this member it was made of; digest.
        self._cached_digest: tuple[tuple[int, int], int] | None = None
        self._cached_present: tuple[MemberEntry, ...] | None = None

    def apply(self, now_ns: int, update: GossipUpdate, reporter: str) -> bool:
        """Merge an update of this reporter; returns whether it was news, which the caller passes on."""
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
        """An update on this member's own name; returns whether a new incarnation answers it."""
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
            return False  # an incarnation beyond the own one can't have been announced: it is answered
        self.own_update = structs.replace(own, incarnation=update.incarnation + 1, state=State.ALIVE)
        return True

    def _evict_gone(self) -> bool:
        """Drop the member that has been gone longest."""
        gone = [entry for entry in self.by_name.values() if not entry.is_present]
        if not gone:
            return False
        del self.by_name[min(gone, key=lambda entry: entry.since_ns).update.name]
        return True

    def remove_expired(self, now_ns: int) -> None:
        """Drop members that have been gone for `GONE_RETENTION_NS`."""
        for name, entry in list(self.by_name.items()):
            if not entry.is_present and now_ns - entry.since_ns > GONE_RETENTION_NS:
                del self.by_name[name]

    def digest(self) -> int:
        """32 bits of the live members: members that know the same have the same."""
        own = self.own_update.created_at_ms, self.own_update.state
        if self._cached_digest is None or self._cached_digest[0] != own:
            text = ";".join(f"{name}:{created_at_ms}" for name, created_at_ms in self.live())
            self._cached_digest = own, xxhash.xxh32_intdigest(text.encode())
        return self._cached_digest[1]

    def is_present(self, member_id: MemberId) -> bool:
        """Whether this very process is present, as far as is known."""
        if member_id == self.own_update.member_id:
            return True
        entry = self.by_name.get(member_id[0])
        return entry is not None and entry.is_present and entry.update.member_id == member_id

    def present(self) -> list[MemberEntry]:
        """Other members that are not known to be gone; a list of the caller's own."""
        return list(self._present_entries())

    def present_count(self) -> int:
        """How many members are present, this one included."""
        return 1 + len(self._present_entries())

    def _present_entries(self) -> tuple[MemberEntry, ...]:
        if self._cached_present is None:
            self._cached_present = tuple(entry for entry in self.by_name.values() if entry.is_present)
        return self._cached_present

    def live(self) -> tuple[MemberId, ...]:
        """All members that are present, this one included unless it has left; sorted."""
        own = () if self.own_update.state == State.LEFT else (self.own_update.member_id,)
        return tuple(sorted((*own, *(entry.update.member_id for entry in self._present_entries()))))


def _replace_update(now_ns: int, entry: MemberEntry, update: GossipUpdate) -> None:
    before = entry.update
    if (update.state, update.created_at_ms) != (before.state, before.created_at_ms):
        entry.since_ns = now_ns
    entry.update = update
    entry.suspected_by.clear()


def _add_suspecting_member(entry: MemberEntry, reporter: str) -> bool:
    """Whether this is news: a further reporter, while reporters still shorten the suspicion timeout."""
    is_new_reporter = reporter not in entry.suspected_by and len(entry.suspected_by) < 1 + MAX_CONFIRMATIONS
    entry.suspected_by.add(reporter)
    return is_new_reporter
