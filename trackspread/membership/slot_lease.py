"""Holds a member's own lease: its slots, their expiry, and the grant that they come from.

The member uses its slots only until the lease expires, and only while it is in contact with a seed that knows
of the lease (`CONTACT_TIMEOUT_NS`). Where all seeds of a fleet have restarted, no member therefore uses
earlier grants after that time, and the fleet starts without waiting for their expiry.
"""

from __future__ import annotations

from .identifiers import NO_EPOCH, Epoch
from .lease_timing import CONTACT_TIMEOUT_NS, holder_duration_ns


class SlotLease:
    """Holds the lease of one member."""

    def __init__(self) -> None:
        self.first_epoch: Epoch | None = None  # epoch of the coordinator that first granted slots
        self.epoch: Epoch = NO_EPOCH  # newest epoch to which a request was sent
        self.granted_by: Epoch = NO_EPOCH
        self.serial = 0
        self.granted_slots = 0
        self.granted_until_ns = 0
        self._contact_until_ns = 0

    @property
    def valid_until_ns(self) -> int:
        """Returns when the slots become unusable, unless the lease is renewed or a seed answers."""
        return min(self.granted_until_ns, self._contact_until_ns)

    def usable_slots(self, now_ns: int) -> int:
        """Returns the slots that may be used at this instant."""
        return self.granted_slots if now_ns < self.valid_until_ns else 0

    def unexpired_slots(self, now_ns: int) -> int:
        """Returns the granted slots that have not expired, even without contact to a seed.

        A new coordinator has to know of these.
        """
        return self.granted_slots if now_ns < self.granted_until_ns else 0

    def extend_contact(self, sent_at_ns: int) -> None:
        """Records that a seed that knows of this lease has answered a message sent at this time."""
        self._contact_until_ns = max(self._contact_until_ns, sent_at_ns + CONTACT_TIMEOUT_NS)

    def is_known_to(self, first_epoch: Epoch | None) -> bool:
        """Returns whether a seed first granted slots in this epoch has run since this lease was granted.

        A fleet whose seeds have all restarted starts without this lease.
        """
        return first_epoch is not None and first_epoch <= self.granted_by

    def start_request(self, epoch: Epoch) -> bool:
        """Prepares a request to this epoch's coordinator, after which grants of older epochs are rejected.

        Returns False where this epoch is itself an older one.
        """
        if epoch < self.epoch:
            return False
        if epoch > self.epoch:
            # The slots are kept until the lease expires, and the request reports them to the new coordinator.
            self.epoch = epoch
            self.serial = 0
        return True

    def accept(
        self, now_ns: int, sent_at_ns: int, epoch: Epoch, serial: int, slots: int, duration_ns: int
    ) -> bool:
        """Applies a grant, which may arrive late or twice; returns whether it was accepted."""
        if epoch != self.epoch or serial <= self.serial or sent_at_ns > now_ns:
            return False
        self.serial = serial
        self.granted_slots = slots
        self.granted_until_ns = sent_at_ns + holder_duration_ns(duration_ns)
        self.granted_by = epoch
        self.first_epoch = self.first_epoch or epoch
        self.extend_contact(sent_at_ns)
        return True

    def give_up(self) -> None:
        """Gives up all slots."""
        self.granted_slots = 0
        self.granted_until_ns = 0
