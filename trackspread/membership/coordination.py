"""Elects a coordinator, acts as coordinator where this member is elected, and follows views."""

from __future__ import annotations

from .acceptor import Acceptor, AddressedVote
from .coordinator import Coordinator
from .identifiers import Address, Epoch, MemberId
from .lease_renewal import LeaseRenewal
from .lease_timing import RENEWAL_SPAN_NS
from .member_state import MemberState
from .messages import (
    ForgetResponse,
    Leader,
    LeaseGrant,
    LeaseRequest,
    View,
    ViewAnnouncement,
    Vote,
)
from .outbox import Outbox
from .slot_allocation import format_slots, slots_to_bytes
from .timing import TICK_NS

# A slow seed also stands for election when it has had no grant for this time.
LEADERLESS_TIMEOUT_NS = 3 * RENEWAL_SPAN_NS
MAX_INLINE_MEMBERS = 32  # greatest number of members with which a view fits into a datagram


class Coordination:
    """Runs the election, views and grants at one member.

    `coordinator` is set while this member is the coordinator.
    """

    def __init__(self, state: MemberState, outbox: Outbox, acceptor: Acceptor, renewal: LeaseRenewal) -> None:
        self._state = state
        self._outbox = outbox
        self.acceptor = acceptor
        self._renewal = renewal
        self.coordinator: Coordinator | None = None

    def is_coordinator(self, now_ns: int) -> bool:
        """Returns whether this member is the coordinator at this instant."""
        return self.coordinator is not None and self.acceptor.is_owner(now_ns)

    def coordinates_epoch(self, now_ns: int, epoch: Epoch) -> bool:
        """Returns whether this member is the coordinator of exactly this epoch at this instant."""
        return (
            self.coordinator is not None and self.coordinator.epoch == epoch and self.is_coordinator(now_ns)
        )

    def resign(self) -> None:
        """Stops acting as coordinator."""
        self.coordinator = None

    def tick(self, now_ns: int) -> None:
        """Takes part in the election and, as its owner, issues the views that are due."""
        if self._stands_for_election(now_ns):
            self._send_votes(self.acceptor.tick(now_ns))
        epoch = self.acceptor.epoch()
        if epoch is None or not self.acceptor.is_owner(now_ns):
            if self.coordinator is not None:
                self.resign()
                self._outbox.report("leads no more")
            return
        coordinator = self.coordinator
        if coordinator is None or coordinator.epoch != epoch:
            coordinator = self._start_coordinating(now_ns, epoch)
        view = coordinator.next_view(now_ns, self._state.member_table.live())
        if view is not None:
            self._issue(now_ns, view)

    def receive_vote(self, now_ns: int, vote: Vote) -> None:
        """Handles a message of the election."""
        self._send_votes(self.acceptor.receive(now_ns, vote))

    def _stands_for_election(self, now_ns: int) -> bool:
        """Returns whether this member stands for election.

        A slow member leaves coordination to others, unless no other seed exists or no coordinator answers.
        """
        is_only_seed = len(self._state.settings.seeds) == 1
        return (
            is_only_seed
            or not self._state.member_table.own_update.slow
            or now_ns - self._renewal.answered_at_ns > LEADERLESS_TIMEOUT_NS
        )

    def _send_votes(self, votes: list[AddressedVote]) -> None:
        for address, vote in votes:
            self._outbox.send(address, vote)

    def _start_coordinating(self, now_ns: int, epoch: Epoch) -> Coordinator:
        state, settings = self._state, self._state.settings
        coordinator = Coordinator(now_ns, epoch, state.view, len(settings.seeds), settings.lease_duration_ns)
        self.coordinator = coordinator
        self.record_leader(now_ns, Leader(epoch, state.member_id, *settings.address))
        self._outbox.report("leads", epoch=epoch)
        for entry in state.member_table.present():
            self._outbox.send(entry.update.address, ViewAnnouncement(state.view_number(), None))
        return coordinator

    def _issue(self, now_ns: int, view: View) -> None:
        self._outbox.report("issued", number=view.number, parent=view.parent, members=view.members)
        self.adopt(now_ns, view)
        inline = view if len(view.members) <= MAX_INLINE_MEMBERS else None
        by_name = self._state.member_table.by_name
        for member_id in view.members:
            entry = by_name.get(member_id[0])
            if entry is not None and entry.update.member_id == member_id:
                self._outbox.send(entry.update.address, ViewAnnouncement(view.number, inline))

    def record_leader(self, now_ns: int, leader: Leader) -> None:
        """Records a coordinator, and requests a lease at once from one of a newer epoch."""
        known = self._state.leader
        if known is None or leader.epoch > known.epoch:
            self._state.leader = leader
            self.acceptor.record_round(leader.epoch[0])
            self._outbox.report("leader", epoch=leader.epoch, who=leader.member_id)
            self._renewal.next_at_ns = now_ns

    def adopt(self, now_ns: int, view: View) -> None:
        """Follows this view if it is newer; all members then renew their leases within the next tick."""
        if view.number > self._state.view_number():
            self._state.view = view
            random_delay_ns = int(self._state.rng.random() * TICK_NS)
            self._renewal.next_at_ns = min(self._renewal.next_at_ns, now_ns + random_delay_ns)
            self._outbox.report("view", number=view.number, parent=view.parent, members=view.members)

    def receive_announcement(self, now_ns: int, announcement: ViewAnnouncement, source: Address) -> None:
        """Handles the announcement of the newest view, which is fetched where it is not attached."""
        if announcement.view is not None:
            self.adopt(now_ns, announcement.view)
        elif announcement.view_number > self._state.view_number():
            self._outbox.exchange_tables(source)

    def grant_lease(self, now_ns: int, member_id: MemberId, request: LeaseRequest) -> LeaseGrant | None:
        """Returns the grant that answers a request, or None where this member is not the coordinator."""
        state = self._state
        if self.coordinator is None or not self.coordinates_epoch(now_ns, request.epoch):
            return None
        if member_id == state.member_id:
            address = state.member_table.own_update.address
        else:
            address = state.member_table.by_name[member_id[0]].update.address
        seeds = state.settings.seeds
        seed_index = seeds.index(address) if address in seeds else -1
        granted = self.coordinator.grant_lease(now_ns, member_id, seed_index, request)
        return LeaseGrant(
            request.sent_at_ns,
            request.epoch,
            granted.serial,
            slots_to_bytes(granted.slots),
            state.view_number(),
            self.coordinator.lease_duration_ns,
        )

    def receive_request(
        self, now_ns: int, member_id: MemberId, request: LeaseRequest, source: Address
    ) -> None:
        """Handles another member's request for slots."""
        if not self._state.member_table.is_present(member_id):
            if self.coordinates_epoch(now_ns, request.epoch):
                # The process or an update about it is not known here yet.
                self._outbox.exchange_tables(source)
        elif (grant := self.grant_lease(now_ns, member_id, request)) is not None:
            self._outbox.send(source, grant)

    def release(self, now_ns: int, member_id: MemberId, epoch: Epoch) -> None:
        """Releases the lease that a member gives up."""
        if self.coordinator is not None and self.coordinates_epoch(now_ns, epoch):
            self.coordinator.leases.release(member_id)

    def forget(self, now_ns: int, name: str, source: Address) -> None:
        """Frees the slots of a member at an operator's request; only the coordinator answers."""
        if self.coordinator is None or not self.is_coordinator(now_ns):
            return
        table = self._state.member_table
        present = {table.own_update.name, *(entry.update.name for entry in table.present())}
        is_running = name in present
        slots = 0 if is_running else self.coordinator.leases.release_name(now_ns, name)
        self._outbox.report("spared" if is_running else "forgot", name=name, slots=format_slots(slots))
        self._outbox.send(source, ForgetResponse(name, is_running, slots.bit_count()))
