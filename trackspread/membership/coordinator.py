"""Issues the views of one epoch as coordinator, and grants slot leases to the members that request them.

- Only the owner of the seeds' election acts as coordinator, and it checks at each instant whether it still is
  the owner; two members never own the election at the same time (`planning/election.py`). Its epoch is its
  ballot, so that no other member numbers a view with it.
- The view contains the members that are live and request their lease. A member that can't reach the
  coordinator, or that the coordinator can't reach, holds no slots, whichever other members reach it.
- A view names its parent: the newest view that the coordinator knows of, its own or a predecessor's.
- The members of a view are granted the slots of their own list position and even shares of the rest
  (`slot_allocation.py`); an observer is granted none.

| a member is | and | in the next view |
| --- | --- | --- |
| live | it has sent a request within `REQUEST_TIMEOUT_NS` | yes |
| live, in the view | it has sent none; this coordinator has acted for less than `REQUEST_TIMEOUT_NS` | yes |
| live | it has sent no request for longer | no, until it sends one again |
| gone | | no |
"""

from __future__ import annotations

from typing import NamedTuple

from .identifiers import MS, NO_POSITION, NO_VIEW, OBSERVER, Epoch, ListPosition, MemberId, ViewNumber
from .lease_timing import RENEWAL_SPAN_NS
from .messages import LeaseRequest, View
from .slot_allocation import ALL_SLOTS, allocate, slots_from_bytes
from .slot_leases import SlotGrant, SlotLeases

FIRST_VIEW_DELAY_NS = 600 * MS  # time from the election to the first view, in which members send requests
MIN_VIEW_INTERVAL_NS = 150 * MS  # time between views, so that simultaneous changes form one view
REQUEST_TIMEOUT_NS = int(1.2 * RENEWAL_SPAN_NS)  # time without a request after which a member is left out


class _AllocationInput(NamedTuple):
    """Holds all that an allocation depends on, except the slots that members hold."""

    view_number: ViewNumber
    free_slots: int
    positions: tuple[ListPosition, ...]


class Coordinator:
    """Acts as the coordinator of one epoch, for as long as it owns the election."""

    def __init__(
        self, now_ns: int, epoch: Epoch, known_view: View | None, seed_count: int, lease_duration_ns: int
    ) -> None:
        """Starts the epoch; `known_view` is the newest view known here, ideally the predecessors' last."""
        self.epoch = epoch
        self.leases = SlotLeases(now_ns, epoch, lease_duration_ns)
        self.lease_duration_ns = lease_duration_ns
        self._seed_count = seed_count
        self._restarted_seeds = set[int]()  # indices of the seeds that no earlier epoch has granted slots
        self.view: View | None = None
        self._known_view = known_view
        self._parent: ViewNumber = known_view.number if known_view is not None else NO_VIEW
        self._started_at_ns = now_ns
        self._issued_at_ns = now_ns
        self._requested_at_ns: dict[MemberId, int] = {}
        self._positions: dict[MemberId, ListPosition] = {}
        self._allocation: dict[MemberId, int] = {}
        self._allocated_for: _AllocationInput | None = None

    def record_view_number(self, number: ViewNumber) -> None:
        """Records that a member has a predecessor's view of this number.

        The first view of this epoch has to follow the newest of these.
        """
        if self.view is None:
            self._parent = max(self._parent, number)

    def next_view(self, now_ns: int, live: tuple[MemberId, ...]) -> View | None:
        """Returns a new view of these live members, or None where none is due."""
        self._remove_expired(now_ns)
        delay_ns = MIN_VIEW_INTERVAL_NS if self.view is not None else FIRST_VIEW_DELAY_NS
        if now_ns - self._issued_at_ns < delay_ns:
            return None
        members = self._next_members(now_ns, live)
        if not members or (self.view is not None and self.view.members == members):
            return None
        count = self.view.number[2] if self.view is not None else 0
        parent = self.view.number if self.view is not None else self._parent
        self._issued_at_ns = now_ns
        self.view = View((*self.epoch, count + 1), parent, members)
        return self.view

    def grant_lease(
        self, now_ns: int, member_id: MemberId, seed_index: int, request: LeaseRequest
    ) -> SlotGrant:
        """Grants slots to a member that requests them; `seed_index` is -1 for a member that is no seed."""
        self._requested_at_ns[member_id] = now_ns
        self._positions[member_id] = request.position
        current = slots_from_bytes(request.slots)
        self.record_view_number(request.view_number)
        if seed_index >= 0 and request.first_epoch:
            self._record_restarted_seed(now_ns, seed_index)
        # Before the first view, all members keep the slots that they hold.
        target = current if self.view is None else self._allocated_slots(now_ns, member_id, self.view)
        return self.leases.grant(now_ns, member_id, target, request.serial, current)

    def _remove_expired(self, now_ns: int) -> None:
        for member_id, at_ns in list(self._requested_at_ns.items()):
            if now_ns - at_ns >= REQUEST_TIMEOUT_NS:
                del self._requested_at_ns[member_id]
                self._positions.pop(member_id, None)
        self.leases.remove_expired(now_ns)

    def _next_members(self, now_ns: int, live: tuple[MemberId, ...]) -> tuple[MemberId, ...]:
        before = self.view or self._known_view
        acting_ns = now_ns - self._started_at_ns
        retained = set(before.members) if before is not None and acting_ns < REQUEST_TIMEOUT_NS else set()
        return tuple(
            member_id for member_id in live if member_id in retained or member_id in self._requested_at_ns
        )

    def _record_restarted_seed(self, now_ns: int, seed_index: int) -> None:
        if seed_index in self._restarted_seeds:
            return
        self._restarted_seeds.add(seed_index)
        if len(self._restarted_seeds) == self._seed_count:
            self.leases.all_seeds_restarted(now_ns)

    def _allocated_slots(self, now_ns: int, member_id: MemberId, view: View) -> int:
        """Returns the slots allocated to the member.

        They are computed only after a change, because requests arrive continuously.
        """
        free = ALL_SLOTS & ~self.leases.held_by_others(now_ns, view.members)
        positions = tuple(self._positions.get(each, NO_POSITION) for each in view.members)
        allocated_for = _AllocationInput(view.number, free, positions)
        if self._allocated_for != allocated_for:
            holders = [
                each for each, position in zip(view.members, positions, strict=True) if position != OBSERVER
            ]
            self._allocated_for = allocated_for
            current = self.leases.possible_slots(now_ns)
            self._allocation = allocate(holders, self._positions, current, free)
        return self._allocation.get(member_id, 0)
