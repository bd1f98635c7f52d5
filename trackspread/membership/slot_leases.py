"""The coordinator's leases: slots granted for a time, each to one member at most.

- A member may hold all that was granted to it and has neither been replaced, as the member says, nor surely
  expired. Only slots that nobody else may hold are granted.
- A member counts a lease from before its request, shorter by the drift; here it counts from the grant, longer
  by the drift. So a lease that shrinks does so at once, and one that grows waits until the other is known to
  have shrunk, or has surely expired.
- A new coordinator does not know its predecessors' grants, only that none was granted twice. What members
  that send requests say they hold is known from then on; the rest may be leased to others until all of the
  predecessors' leases have surely expired, and is granted to nobody until then.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from .identifiers import Epoch, MemberId
from .lease_timing import RENEWAL_SPAN_NS, grantor_duration_ns
from .slot_allocation import ALL_SLOTS


class SlotGrant(NamedTuple):
    """Slots granted to one member, and the serial number of the grant."""

    serial: int
    slots: int


class UnexpiredGrant(NamedTuple):
    """Slots that a member may hold, until they have surely expired."""

    slots: int
    expires_at_ns: int


@dataclass(slots=True)
class MemberLeases:
    """What one member may hold: its grants by serial number."""

    grants: dict[int, UnexpiredGrant] = field(default_factory=dict)

    def possible_slots(self, now_ns: int) -> int:
        """All slots that it may hold now; expired grants are dropped."""
        for serial in [s for s, grant in self.grants.items() if grant.expires_at_ns <= now_ns]:
            del self.grants[serial]
        slots = 0
        for grant in self.grants.values():
            slots |= grant.slots
        return slots


class SlotLeases:
    """The leases that one coordinator has granted in its epoch, each for `duration_ns`."""

    def __init__(self, now_ns: int, epoch: Epoch, duration_ns: int) -> None:
        self.epoch = epoch
        self._serial = 0
        self._duration_ns = duration_ns
        self._unknown_slots = ALL_SLOTS
        self._unknown_until_ns = now_ns + grantor_duration_ns(duration_ns)
        self._declared: set[MemberId] = set()  # said what they held, while predecessors' leases may exist
        self._leases: dict[MemberId, MemberLeases] = {}

    def unknown_slots(self, now_ns: int) -> int:
        """Slots that predecessors may have granted to members that have sent no request yet."""
        if self._unknown_slots and now_ns >= self._unknown_until_ns:
            self._unknown_slots = 0
            self._declared.clear()
        return self._unknown_slots

    def all_seeds_restarted(self, now_ns: int) -> None:
        """Earlier leases end with their holders' last contact, as no seed knows of them any more."""
        self._unknown_until_ns = min(self._unknown_until_ns, now_ns + grantor_duration_ns(RENEWAL_SPAN_NS))

    def possible_slots(self, now_ns: int) -> dict[MemberId, int]:
        """What each member that has sent a request may hold."""
        return {member_id: leases.possible_slots(now_ns) for member_id, leases in self._leases.items()}

    def held_by_others(self, now_ns: int, members: tuple[MemberId, ...]) -> int:
        """Slots that others than `members` may hold; unknown ones count once all of `members` have
        declared."""
        known = set(members)
        slots = 0
        for member_id, leases in self._leases.items():
            if member_id not in known:
                slots |= leases.possible_slots(now_ns)
        if known <= self._declared:
            slots |= self.unknown_slots(now_ns)
        return slots

    def grant(self, now_ns: int, member_id: MemberId, wanted: int, serial: int, current: int) -> SlotGrant:
        """Grant as much of `wanted` as nobody else may hold.

        The member says that it holds the slots `current` by the grant `serial`; 0: of a predecessor's.
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
        taken = self._unknown_slots
        for other, other_leases in self._leases.items():
            if other != member_id:
                taken |= other_leases.possible_slots(now_ns)
        granted = wanted & ~taken
        self._serial += 1
        leases.grants[self._serial] = UnexpiredGrant(granted, expires_at_ns)
        return SlotGrant(self._serial, granted)

    def release(self, member_id: MemberId) -> None:
        """This process holds nothing any more, and will request nothing."""
        self._leases.pop(member_id, None)

    def release_name(self, now_ns: int, name: str) -> int:
        """No process of this name runs, by an operator's declaration; returns the slots that this frees."""
        slots = 0
        for member_id in [each for each in self._leases if each[0] == name]:
            slots |= self._leases.pop(member_id).possible_slots(now_ns)
        return slots

    def remove_expired(self, now_ns: int) -> None:
        """Drop members all of whose grants have expired."""
        for member_id, leases in list(self._leases.items()):
            if not leases.possible_slots(now_ns) and not leases.grants:
                del self._leases[member_id]
