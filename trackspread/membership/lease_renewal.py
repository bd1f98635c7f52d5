"""Schedules the renewal of a member's lease and handles the answers.

The member asks the coordinator continuously to renew the lease. While the coordinator does not answer, the
member pings every seed: it may use its slots only while a seed answers that knows of the lease
(`slot_lease.py`).
"""

from __future__ import annotations

from .identifiers import OBSERVER, Epoch, ListPosition, ViewNumber
from .lease_timing import CONTACT_TIMEOUT_NS, RENEWAL_SPAN_NS
from .messages import LeaseGrant, LeaseRequest
from .slot_allocation import slots_from_bytes, slots_to_bytes
from .slot_lease import SlotLease

RENEWAL_INTERVAL_NS = RENEWAL_SPAN_NS // 5  # time between requests
# Time between requests of a member without slots; other members' leases shrink within it.
EMPTY_INTERVAL_NS = RENEWAL_INTERVAL_NS // 4


class LeaseRenewal:
    """Renews one member's lease."""

    def __init__(self, now_ns: int, position: ListPosition) -> None:
        self.lease = SlotLease()
        self._position = position
        self.answered_at_ns = now_ns  # send time of the newest request that the coordinator has answered
        self.next_at_ns = now_ns  # time of the next request
        self._seed_pings: dict[int, int] = {}  # send times in ns of pings to seeds, by sequence number

    def next_request(self, now_ns: int, epoch: Epoch, view_number: ViewNumber) -> LeaseRequest | None:
        """Returns the request to the coordinator of this epoch, or None where none is due."""
        if now_ns < self.next_at_ns:
            return None
        settled = self._position == OBSERVER or bool(self.lease.usable_slots(now_ns))
        self.next_at_ns = now_ns + (RENEWAL_INTERVAL_NS if settled else EMPTY_INTERVAL_NS)
        if not self.lease.start_request(epoch):
            return None
        first_epoch = self.lease.first_epoch in (None, epoch)
        slots = slots_to_bytes(self.lease.unexpired_slots(now_ns))
        return LeaseRequest(now_ns, epoch, self.lease.serial, slots, view_number, self._position, first_epoch)

    def needs_seed_contact(self, now_ns: int) -> bool:
        """Returns whether the coordinator does not answer while this member holds slots."""
        unanswered_ns = now_ns - self.answered_at_ns
        return unanswered_ns > 2 * RENEWAL_INTERVAL_NS and bool(self.lease.granted_slots)

    def record_seed_ping(self, now_ns: int, sequence: int) -> None:
        """Records a ping of a seed with this sequence number."""
        for old in [s for s, at_ns in self._seed_pings.items() if now_ns - at_ns > CONTACT_TIMEOUT_NS]:
            del self._seed_pings[old]
        self._seed_pings[sequence] = now_ns

    def record_seed_ack(self, sequence: int, first_epoch: Epoch | None) -> bool:
        """Returns whether this ack answers a ping of a seed; `first_epoch` is the epoch in the ack."""
        sent_at_ns = self._seed_pings.pop(sequence, None)
        if sent_at_ns is not None and self.lease.is_known_to(first_epoch):
            self.lease.extend_contact(sent_at_ns)
        return sent_at_ns is not None

    def accept(self, now_ns: int, grant: LeaseGrant) -> bool:
        """Applies a grant and returns whether it was accepted."""
        slots = slots_from_bytes(grant.slots)
        accepted = self.lease.accept(
            now_ns, grant.sent_at_ns, grant.epoch, grant.serial, slots, grant.duration_ns
        )
        if accepted:
            self.answered_at_ns = max(self.answered_at_ns, grant.sent_at_ns)
        return accepted
