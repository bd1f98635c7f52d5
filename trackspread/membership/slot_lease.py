"""A member's own lease: which slots it holds, until when, and by which grant.

It uses its slots only until the lease expires, and while it is in contact with a seed that knows of it
(`CONTACT_TIMEOUT_NS`). A fleet whose seeds have all restarted has therefore surely lost what was granted
before within that time, and begins without waiting for the end of grants that nobody can remember.
"""

from __future__ import annotations

from .identifiers import NO_EPOCH, Epoch
from .lease_timing import CONTACT_TIMEOUT_NS, holder_duration_ns


class SlotLease:
    """The lease of one member."""

    def __init__(self) -> None:
        self.first_epoch: Epoch | None = None  # of the coordinator that first granted anything
        self.epoch: Epoch = NO_EPOCH  # the newest that a request went to
        self.granted_by: Epoch = NO_EPOCH
        self.serial = 0
        self.granted_slots = 0
        self.granted_until_ns = 0
        self._contact_until_ns = 0

    @property
    def valid_until_ns(self) -> int:
        """When the slots can no longer be used, unless the lease is renewed or a seed answers."""
        return min(self.granted_until_ns, self._contact_until_ns)

    def usable_slots(self, now_ns: int) -> int:
        """The slots that may be used at this instant."""
        return self.granted_slots if now_ns < self.valid_until_ns else 0

    def unexpired_slots(self, now_ns: int) -> int:
        """The slots granted until now, even out of contact: what a new coordinator is to know of."""
        return self.granted_slots if now_ns < self.granted_until_ns else 0

    def extend_contact(self, sent_at_ns: int) -> None:
        """A seed that knows of this lease has answered a message sent at this time."""
        self._contact_until_ns = max(self._contact_until_ns, sent_at_ns + CONTACT_TIMEOUT_NS)

    def is_known_to(self, first_epoch: Epoch | None) -> bool:
        """Whether a seed that was first granted slots in this epoch has run since this lease was granted: a
        fleet whose seeds all restarted begins without it."""
        return first_epoch is not None and first_epoch <= self.granted_by

    def start_request(self, epoch: Epoch) -> bool:
        """A request is about to go to the coordinator of this epoch: grants of older ones no longer count.

        Returns False where the epoch is itself an older one.
        """
        if epoch < self.epoch:
            return False
        if epoch > self.epoch:
            # The slots stay until the lease expires, and the request tells the new coordinator of them.
            self.epoch = epoch
            self.serial = 0
        return True

    def accept(
        self, now_ns: int, sent_at_ns: int, epoch: Epoch, serial: int, slots: int, duration_ns: int
    ) -> bool:
        """Apply a grant, which may come late or twice; returns whether it counts."""
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
        """Hold nothing any more."""
        self.granted_slots = 0
        self.granted_until_ns = 0
