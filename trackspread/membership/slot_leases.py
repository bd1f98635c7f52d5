"""Holds the coordinator's leases: slots granted for a limited time, each to one member at most.

- A member may hold all slots that were granted to it, until the member reports a later grant or the grant has
  certainly expired. Only slots that no other member may hold are granted.
- A member counts a lease from before its request, shortened by the drift; the coordinator counts it from the
  grant, lengthened by the drift. A lease therefore shrinks at once, and it grows only when the other lease is
  known to have shrunk or has certainly expired.
- A new coordinator does not know its predecessors' grants, only that no slot was granted twice. It learns
  which slots are held from the requests of members; the rest may be leased to other members until all of the
  predecessors' leases have certainly expired, and is granted to no member until then.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from .identifiers import Epoch, MemberId
from .lease_timing import RENEWAL_SPAN_NS, grantor_duration_ns
from .slot_allocation import ALL_SLOTS


class SlotGrant(NamedTuple):
    """Holds the slots granted to one member, and the serial number of the grant."""

    serial: int
    slots: int


class UnexpiredGrant(NamedTuple):
    """Holds slots that a member may hold until they have certainly expired."""

    slots: int
    expires_at_ns: int


@dataclass(slots=True)
class MemberLeases:
    """Holds the unexpired grants of one member, by serial number."""

    grants: dict[int, UnexpiredGrant] = field(default_factory=dict)

    def possible_slots(self, now_ns: int) -> int:
        """Returns all slots that the member may hold now, and drops expired grants."""
        for serial in [s for s, grant in self.grants.items() if grant.expires_at_ns <= now_ns]:
            del self.grants[serial]
        slots = 0
        for grant in self.grants.values():
            slots |= grant.slots
        return slots


class SlotLeases:
    """Holds the leases that one coordinator has granted in its epoch, each for `duration_ns`."""

    def __init__(self, now_ns: int, epoch: Epoch, duration_ns: int) -> None:
        self.epoch = epoch
        self._serial = 0
        self._duration_ns = duration_ns
        self._unknown_slots = ALL_SLOTS
        self._unknown_until_ns = now_ns + grantor_duration_ns(duration_ns)
        # Members that have reported the slots they hold while predecessors' leases may exist.
        self._declared: set[MemberId] = set()
        self._leases: dict[MemberId, MemberLeases] = {}

    def unknown_slots(self, now_ns: int) -> int:
        """Returns slots that predecessors may have granted to members that have sent no request yet."""
        if self._unknown_slots and now_ns >= self._unknown_until_ns:
            self._unknown_slots = 0
            self._declared.clear()
        return self._unknown_slots

    def all_seeds_restarted(self, now_ns: int) -> None:
        """Shortens the wait for predecessors' leases after a restart of all seeds.

        Such leases end with their holders' last contact, because no seed knows of them any more.
        """
        self._unknown_until_ns = min(self._unknown_until_ns, now_ns + grantor_duration_ns(RENEWAL_SPAN_NS))

    def possible_slots(self, now_ns: int) -> dict[MemberId, int]:
        """Returns the slots that each member that has sent a request may hold."""
        return {member_id: leases.possible_slots(now_ns) for member_id, leases in self._leases.items()}

    def held_by_others(self, now_ns: int, members: tuple[MemberId, ...]) -> int:
        """Returns slots that others than `members` may hold.

        Unknown slots are included once all of `members` have reported the slots that they hold.
        """
        known = set(members)
        slots = 0
        for member_id, leases in self._leases.items():
            if member_id not in known:
                slots |= leases.possible_slots(now_ns)
        if known <= self._declared:
            slots |= self.unknown_slots(now_ns)
        return slots

    def grant(self, now_ns: int, member_id: MemberId, target: int, serial: int, current: int) -> SlotGrant:
        """Grants those of the `target` slots that no other member may hold.

        The member reports that it holds the slots `current` by the grant `serial`; where `serial` is 0, by a
        predecessor's grant.
        """
        expires_at_ns = now_ns + grantor_duration_ns(self._duration_ns)
        leases = self._leases.get(member_id)
        if leases is None:
            leases = self._leases[member_id] = MemberLeases()
            if not serial and current:
                leases.grants[0] = UnexpiredGrant(current, expires_at_ns)
        if self.unknown_slots(now_ns) and member_id not in self._declared:
            self._declared.add(member_id)
            self._unknown_slots &= ~current
        for old in [s for s in leases.grants if s < serial]:
            del leases.grants[old]
        unavailable = self._unknown_slots
        for other, other_leases in self._leases.items():
            if other != member_id:
                unavailable |= other_leases.possible_slots(now_ns)
        granted = target & ~unavailable
        self._serial += 1
        leases.grants[self._serial] = UnexpiredGrant(granted, expires_at_ns)
        return SlotGrant(self._serial, granted)

    def release(self, member_id: MemberId) -> None:
        """Releases the slots of a process that will send no more requests."""
        self._leases.pop(member_id, None)

    def release_name(self, now_ns: int, name: str) -> int:
        """Releases all slots of a name that an operator declares gone; returns the freed slots."""
        slots = 0
        for member_id in [each for each in self._leases if each[0] == name]:
            slots |= self._leases.pop(member_id).possible_slots(now_ns)
        return slots

    def remove_expired(self, now_ns: int) -> None:
        """Drops members whose grants have all expired."""
        for member_id, leases in list(self._leases.items()):
            if not leases.possible_slots(now_ns) and not leases.grants:
                del self._leases[member_id]
