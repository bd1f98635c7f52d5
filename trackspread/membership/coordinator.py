"""What the coordinator does: it issues views in its epoch, and grants leases to the members that request
them.

- Only the owner of the seeds' election acts as coordinator, and checks at each instant whether it still is;
  two own nothing at the same time (`planning/election.py`). Its epoch is its ballot: nobody else numbers a
  view with it.
- A member is in the view that is live and requests its lease: one that the coordinator can't reach, or that
  can't reach it, holds nothing whoever else reaches it.
- A view names its parent: the newest that the coordinator knows of, its own or a predecessor's.
- The members of a view are granted the slots of their own list position, and even shares of the rest
  (`slot_allocation.py`); an observer is granted none.

| a member is | and | in the next view |
| --- | --- | --- |
| live | has sent a request within `REQUEST_TIMEOUT_NS` | yes |
| live, in the view | none to this coordinator, in office for less than `REQUEST_TIMEOUT_NS` | yes |
| live | has sent none for longer | no, until it does again |
| gone | | no |
"""

from __future__ import annotations

from typing import NamedTuple

from .identifiers import MS, NO_POSITION, NO_VIEW, OBSERVER, Epoch, ListPosition, MemberId, ViewNumber
from .lease_timing import RENEWAL_SPAN_NS
from .messages import LeaseRequest, View
from .slot_allocation import ALL_SLOTS, allocate, slots_from_bytes
from .slot_leases import SlotGrant, SlotLeases

FIRST_VIEW_DELAY_NS = 600 * MS  # from the election until the first view: members send requests within it
MIN_VIEW_INTERVAL_NS = 150 * MS  # between views: simultaneous changes make one
REQUEST_TIMEOUT_NS = int(1.2 * RENEWAL_SPAN_NS)  # without a request, after which a member is left out


class _AllocationInput(NamedTuple):
    """All that an allocation depends on, beside what members hold."""

    view_number: ViewNumber
    free_slots: int
    positions: tuple[ListPosition, ...]


class Coordinator:
    """The coordinator of one epoch, for as long as it owns the election."""

    def __init__(
        self, now_ns: int, epoch: Epoch, known_view: View | None, seed_count: int, lease_duration_ns: int
    ) -> None:
        """`known_view`: the newest view known here, at best the predecessors' last."""
        self.epoch = epoch
        self.leases = SlotLeases(now_ns, epoch, lease_duration_ns)
        self.lease_duration_ns = lease_duration_ns
        self._seed_count = seed_count
        self._restarted_seeds = set[int]()  # by index: those that no earlier epoch has granted slots
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
        """A member has a predecessor's view of this number: the first view here is to follow it."""
        if self.view is None:
            self._parent = max(self._parent, number)

    def next_view(self, now_ns: int, live: tuple[MemberId, ...]) -> View | None:
        """A new view of these live members; None where none is due."""
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
        """Grant slots to a member that requests them; `seed_index`: -1 for one that is no seed."""
        self._requested_at_ns[member_id] = now_ns
        self._positions[member_id] = request.position
        current = slots_from_bytes(request.slots)
        self.record_view_number(request.view_number)
        if seed_index >= 0 and request.first_epoch:
            self._record_restarted_seed(now_ns, seed_index)
        # Until there is a view, all members keep what they hold.
        wanted = current if self.view is None else self._allocated_slots(now_ns, member_id, self.view)
        return self.leases.grant(now_ns, member_id, wanted, request.serial, current)

    def _remove_expired(self, now_ns: int) -> None:
        for member_id, at_ns in list(self._requested_at_ns.items()):
            if now_ns - at_ns >= REQUEST_TIMEOUT_NS:
                del self._requested_at_ns[member_id]
                self._positions.pop(member_id, None)
        self.leases.remove_expired(now_ns)

    def _next_members(self, now_ns: int, live: tuple[MemberId, ...]) -> tuple[MemberId, ...]:
        before = self.view or self._known_view
        in_office_ns = now_ns - self._started_at_ns
        retained = set(before.members) if before is not None and in_office_ns < REQUEST_TIMEOUT_NS else set()
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
        """What the member is to have; allocated anew only after a change, as requests come all along."""
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
