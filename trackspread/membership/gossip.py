"""Selects the gossip updates that the next datagram carries.

The newest updates go first, and each is sent a bounded number of times.
"""

from __future__ import annotations

from math import ceil, log10

from .messages import GossipUpdate

# Each update is sent this many times the decimal logarithm of the fleet's size (SWIM).
TRANSMISSIONS_FACTOR = 4
# An update takes some 60 bytes: with the rest of the message, this many stay under 1,200 bytes.
MAX_UPDATES_PER_MESSAGE = 12


class GossipQueue:
    """Holds the updates that are still to be sent, at most one for each member."""

    def __init__(self) -> None:
        # The transmissions so far and the update, by the member's name.
        self._pending: dict[str, tuple[int, GossipUpdate]] = {}

    def add(self, update: GossipUpdate) -> None:
        """Queues this update in place of the member's former one."""
        self._pending[update.name] = 0, update

    def __len__(self) -> int:
        return len(self._pending)

    def next_updates(self, member_count: int) -> tuple[GossipUpdate, ...]:
        """Returns the updates that were sent least often.

        Updates that were sent often enough for a fleet of this size leave the queue.
        """
        if not self._pending:
            return ()
        max_transmissions = ceil(TRANSMISSIONS_FACTOR * log10(member_count + 1)) + 1
        chosen = sorted(self._pending.values(), key=lambda each: each[0])[:MAX_UPDATES_PER_MESSAGE]
        for transmissions, update in chosen:
            if transmissions + 1 >= max_transmissions:
                del self._pending[update.name]
            else:
                self._pending[update.name] = transmissions + 1, update
        return tuple(update for _, update in chosen)
