"""Maintains a member's lease.

It asks the coordinator to renew the lease, and pings seeds for contact while the coordinator does not
answer.
"""

from __future__ import annotations

from .coordination import Coordination
from .lease_renewal import RENEWAL_INTERVAL_NS, LeaseRenewal
from .member_state import MemberState
from .messages import Ack, LeaseGrant, LeaseRelease, State
from .outbox import Outbox
from .slot_allocation import format_slots

RELEASE_COPIES = 2  # copies of a release; where all are lost, other members wait until the lease expires


class LeaseMaintainer:
    """Maintains the lease of one member."""

    def __init__(
        self,
        state: MemberState,
        outbox: Outbox,
        renewal: LeaseRenewal,
        coordination: Coordination,
        now_ns: int,
    ) -> None:
        self._state = state
        self._outbox = outbox
        self._renewal = renewal
        self._coordination = coordination
        self._contact_seeds_at_ns = now_ns

    def tick(self, now_ns: int) -> None:
        """Sends the requests that are due; a coordinator grants its own request at once."""
        state = self._state
        self._contact_seeds(now_ns)
        if state.leader is None or state.member_table.own_update.state == State.LEFT:
            return
        request = self._renewal.next_request(now_ns, state.leader.epoch, state.view_number())
        if request is None:
            return
        if state.leader.member_id != state.member_id:
            self._outbox.send(state.leader.address, request)
            return
        grant = self._coordination.grant_lease(now_ns, state.member_id, request)
        if grant is not None:
            self.accept(now_ns, grant)

    def accept(self, now_ns: int, grant: LeaseGrant) -> None:
        """Applies a grant of the coordinator."""
        if self._renewal.accept(now_ns, grant):
            self._report_lease(now_ns)

    def receive_seed_ack(self, now_ns: int, ack: Ack) -> bool:
        """Returns whether this ack answers a ping that keeps contact with a seed."""
        if not self._renewal.record_seed_ack(ack.sequence, ack.first_epoch):
            return False
        self._report_lease(now_ns)
        return True

    def release(self) -> None:
        """Gives up the lease and notifies the coordinator."""
        state = self._state
        state.lease.give_up()
        if state.leader is not None and state.leader.member_id != state.member_id:
            for _ in range(RELEASE_COPIES):
                self._outbox.send(state.leader.address, LeaseRelease(state.leader.epoch))

    def _contact_seeds(self, now_ns: int) -> None:
        """Pings the seeds, one of which may be this member, while the coordinator does not answer."""
        if now_ns < self._contact_seeds_at_ns or not self._renewal.needs_seed_contact(now_ns):
            return
        self._contact_seeds_at_ns = now_ns + RENEWAL_INTERVAL_NS
        state, seeds = self._state, self._state.settings.seeds
        if self._coordination.acceptor.seed_index >= 0:
            state.lease.extend_contact(now_ns)
            self._report_lease(now_ns)
        present = [entry.update for entry in state.member_table.present()]
        for update in [each for each in present if each.address in seeds]:
            sequence = state.prober.next_sequence()
            self._renewal.record_seed_ping(now_ns, sequence)
            self._outbox.ping(update, sequence)

    def _report_lease(self, now_ns: int) -> None:
        lease = self._state.lease
        self._outbox.report(
            "part",
            part=format_slots(lease.granted_slots),
            lasts=max(0, lease.valid_until_ns - now_ns),
            epoch=lease.epoch,
            serial=lease.serial,
        )
