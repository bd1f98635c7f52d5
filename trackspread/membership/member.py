"""Runs one member of the fleet as a state machine that turns messages and times into actions.

The host calls `start` once, `tick` every `TICK_NS`, `receive` for each valid datagram of this fleet, and
`table_snapshot` and `merge` for each exchange over a connection. It performs the returned actions in order.
All state is bounded by twice the settings' `max_members`.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from msgspec import structs

from .acceptor import Acceptor
from .actions import Action, PeerDataReceived, SendMessage
from .coordination import Coordination
from .coordinator import Coordinator
from .discovery import Discovery
from .failure_detector import FailureDetector
from .gossip import GossipQueue
from .identifiers import Address, MemberId, ViewNumber
from .lease_maintainer import LeaseMaintainer
from .lease_renewal import LeaseRenewal
from .member_state import MemberState
from .member_table import MemberTable
from .messages import (
    Ack,
    ForgetRequest,
    GossipUpdate,
    Leader,
    LeaseGrant,
    LeaseRelease,
    LeaseRequest,
    MemberMessage,
    Nack,
    PeerData,
    Ping,
    PingRequest,
    SlownessReport,
    State,
    TableSnapshot,
    View,
    ViewAnnouncement,
    Vote,
)
from .outbox import Outbox
from .prober import HELPERS, Prober
from .settings import MemberSettings
from .slot_allocation import slots_from_bytes, slots_to_bytes
from .slot_lease import SlotLease
from .update_handler import UpdateHandler

LEAVE_PINGS = 2 * HELPERS  # number of members that are notified directly when this one leaves


class Member:
    """Runs one member; `seed` determines all its random choices."""

    def __init__(self, settings: MemberSettings, now_ns: int, seed: int) -> None:
        rng = random.Random(seed)
        own_update = GossipUpdate(
            settings.name, settings.created_at_ms, 0, State.ALIVE, *settings.address, settings.version
        )
        self.settings = settings
        self.started_at_ns = now_ns
        self.renewal = LeaseRenewal(now_ns, settings.position)
        self.state = MemberState(
            settings=settings,
            rng=rng,
            member_table=MemberTable(own_update, settings.max_members),
            prober=Prober(settings.probe_interval_ns, rng),
            lease=self.renewal.lease,
        )
        acceptor = Acceptor(settings, now_ns, rng)
        self._outbox = Outbox(self.state)
        self.coordination = Coordination(self.state, self._outbox, acceptor, self.renewal)
        self._lease_maintainer = LeaseMaintainer(
            self.state, self._outbox, self.renewal, self.coordination, now_ns
        )
        self._updates = UpdateHandler(self.state, self._outbox, self.coordination, self._lease_maintainer)
        self._detector = FailureDetector(self.state, self._outbox, self._updates, self._lease_maintainer)
        self.discovery = Discovery(self.state, self._outbox, now_ns)

    @property
    def member_id(self) -> MemberId:
        """Returns the name and creation time by which the fleet knows this process."""
        return self.state.member_id

    @property
    def member_table(self) -> MemberTable:
        """Returns the table of all other members."""
        return self.state.member_table

    @property
    def gossip(self) -> GossipQueue:
        """Returns the updates that are still to be sent."""
        return self.state.gossip

    @property
    def view(self) -> View | None:
        """Returns the newest known view, or None."""
        return self.state.view

    @property
    def leader(self) -> Leader | None:
        """Returns the coordinator of the newest known epoch, or None."""
        return self.state.leader

    @property
    def lease(self) -> SlotLease:
        """Returns the slot lease of this member."""
        return self.state.lease

    @property
    def coordinator(self) -> Coordinator | None:
        """Returns the coordinator role of this member, or None while it is not the coordinator."""
        return self.coordination.coordinator

    @property
    def has_left(self) -> bool:
        """Returns whether the member has shut down or is fenced, and sends nothing any more."""
        return self.state.has_left

    @property
    def is_fenced(self) -> bool:
        """Returns whether a newer process runs under this name."""
        return self.state.is_fenced

    def view_number(self) -> ViewNumber:
        """Returns the number of the newest known view, or `NO_VIEW`."""
        return self.state.view_number()

    def usable_slots(self, now_ns: int) -> int:
        """Returns the slots of the shared limits that this member may use at this instant."""
        return 0 if self.has_left else self.lease.usable_slots(now_ns)

    def is_coordinator(self, now_ns: int) -> bool:
        """Returns whether this member is the coordinator at this instant."""
        return self.coordination.is_coordinator(now_ns)

    def start(self, now_ns: int) -> list[Action]:
        """Starts the member; the first actions find other members."""
        self._updates.own_update_changed()
        self._outbox.report("started", who=self.member_id, address=self.settings.address)
        self.discovery.contact_seed(now_ns)
        return self._outbox.take()

    def tick(self, now_ns: int) -> list[Action]:
        """Performs the work that is due."""
        if not self.has_left:
            self._detector.tick(now_ns)
            self.coordination.tick(now_ns)
            self._lease_maintainer.tick(now_ns)
            self.discovery.tick(now_ns)
        return self._outbox.take()

    def receive(self, now_ns: int, message: MemberMessage, source: Address) -> list[Action]:
        """Handles a datagram of this fleet from the address `source`."""
        if self.has_left or message.member_id == self.member_id:
            return []
        if isinstance(message.body, ForgetRequest):
            self.coordination.forget(now_ns, message.body.name, source)
        elif message.name == self.member_table.own_update.name:
            self._updates.receive_from_namesake(message.created_at_ms, source)
        else:
            self._receive_from_member(now_ns, message, source)
        return self._outbox.take()

    def table_snapshot(self) -> TableSnapshot:
        """Returns all that this member knows, to be sent to another."""
        table = self.member_table
        updates = (table.own_update, *(entry.update for entry in table.by_name.values()))
        return TableSnapshot(self.settings.fleet, *self.member_id, updates, self.view, self.leader)

    def merge(self, now_ns: int, table: TableSnapshot) -> list[Action]:
        """Merges another member's table."""
        if self.has_left or table.fleet != self.settings.fleet:
            return []
        for update in table.updates[: 2 * self.settings.max_members]:
            self._updates.apply(now_ns, update, table.name)
        if table.leader is not None:
            self.coordination.record_leader(now_ns, table.leader)
        if table.view is not None:
            self.coordination.adopt(now_ns, table.view)
        return self._outbox.take()

    def leave(self, now_ns: int) -> list[Action]:
        """Shuts down gracefully: notifies some members and the coordinator, and gives up the lease."""
        if self.has_left:
            return self._outbox.take()
        state, table = self.state, self.member_table
        table.own_update = structs.replace(table.own_update, state=State.LEFT)
        self._updates.own_update_changed()
        state.lease.give_up()
        others = table.present()
        state.rng.shuffle(others)
        for entry in others[:LEAVE_PINGS]:
            self._outbox.ping(entry.update, state.prober.next_sequence())
        if state.leader is not None:
            ping = Ping(state.prober.next_sequence(), state.leader.member_id)
            self._outbox.send(state.leader.address, ping)
        self._outbox.report("left")
        state.has_left = True
        return self._outbox.take()

    def hand_over(self) -> list[Action]:
        """Stops in favor of another process under this name.

        Only the coordinator is notified, and only that the lease is released.
        """
        if not self.has_left:
            self._lease_maintainer.release()
            self._outbox.report("made way")
            self.state.has_left = True
        return self._outbox.take()

    def send_data(self, names: Iterable[str], data: bytes) -> list[Action]:
        """Sends data to those of these members that are present, as one message that is equal for all."""
        body = PeerData(data, slots_to_bytes(self.lease.granted_slots))
        table = self.member_table
        message = MemberMessage(self.settings.fleet, *self.member_id, body, table.digest())
        entries = (table.by_name.get(name) for name in names)
        return [
            SendMessage(entry.update.address, message)
            for entry in entries
            if entry is not None and entry.is_present
        ]

    def _receive_from_member(self, now_ns: int, message: MemberMessage, source: Address) -> None:
        for update in message.updates:
            self._updates.apply(now_ns, update, message.name)
        if message.leader is not None:
            self.coordination.record_leader(now_ns, message.leader)
        if not self._receive_detection(now_ns, message, source):
            self._receive_coordination(now_ns, message, source)
        self.discovery.compare_digest(now_ns, message.digest, source)

    def _receive_detection(self, now_ns: int, message: MemberMessage, source: Address) -> bool:
        """Handles a body of failure detection or application data; returns whether it was one."""
        match message.body:
            case Ping() as ping:
                self._detector.receive_ping(ping, source)
            case Ack() as ack:
                self._detector.receive_ack(now_ns, ack)
            case Nack(sequence):
                self.state.prober.record_nack(sequence)
            case PingRequest() as request:
                self._detector.receive_ping_request(now_ns, request, source)
            case PeerData(data, slots):
                if self.member_table.is_present(message.member_id):
                    self._outbox.add(PeerDataReceived(message.name, data, slots_from_bytes(slots)))
            case SlownessReport(member_id, slow):
                if member_id == self.member_id:
                    self.state.slowness.record_report(now_ns, message.name, slow)
            case _:
                return False
        return True

    def _receive_coordination(self, now_ns: int, message: MemberMessage, source: Address) -> None:
        match message.body:
            case Vote() as vote:
                self.coordination.receive_vote(now_ns, vote)
            case LeaseRequest() as request:
                self.coordination.receive_request(now_ns, message.member_id, request, source)
            case LeaseGrant() as grant:
                self._lease_maintainer.accept(now_ns, grant)
                if grant.view_number > self.view_number():
                    self._outbox.exchange_tables(source)
            case LeaseRelease(epoch):
                self.coordination.release(now_ns, message.member_id, epoch)
            case ViewAnnouncement() as announcement:
                self.coordination.receive_announcement(now_ns, announcement, source)
