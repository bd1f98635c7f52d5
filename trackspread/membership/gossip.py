"""Selects the gossip updates that go with the next datagram: the newest first, each a bounded number of
times."""

from __future__ import annotations

from math import ceil, log10

from .messages import GossipUpdate

# Times the decimal logarithm of the fleet's size: transmissions of each update (SWIM)
TRANSMISSIONS_FACTOR = 4
MAX_UPDATES_PER_MESSAGE = 12  # of some 60 bytes each: with the rest they stay under 1,200


class GossipQueue:
    """Updates still to be sent, at most one for each member: a new one replaces the former."""

    def __init__(self) -> None:
        # By name: transmissions so far, and the update.
        self._pending: dict[str, tuple[int, GossipUpdate]] = {}

    def add(self, update: GossipUpdate) -> None:
        """Queue this update in place of the member's former one."""
        self._pending[update.name] = 0, update

    def __len__(self) -> int:
        return len(self._pending)

    def next_updates(self, member_count: int) -> tuple[GossipUpdate, ...]:
        """The updates sent least often; those sent often enough for a fleet of this size leave the queue."""
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
