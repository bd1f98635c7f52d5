"""Finds members that are unknown or that gossip has not reached.

It does so by contacting seeds, reconnecting to gone members and exchanging member tables.
"""

from __future__ import annotations

from math import log10

from .identifiers import MS, SECOND, Address
from .member_state import MemberState
from .messages import State
from .outbox import Outbox

SEED_INTERVAL_NS = 500 * MS  # time between exchanges with seeds while no other member is known
RECONNECT_INTERVAL_NS = 1 * SECOND  # time between attempts to reach gone members and unknown seeds
REPAIR_INTERVAL_NS = 700 * MS  # time between exchanges with members whose digest differs
ANTI_ENTROPY_INTERVAL_NS = 10 * SECOND  # time between exchanges with a random member in a fleet of ten
JITTER = (0.7, 1.3)  # random factor of the intervals, so that members do not act simultaneously


class Discovery:
    """Runs discovery at one member."""

    def __init__(self, state: MemberState, outbox: Outbox, now_ns: int) -> None:
        self._state = state
        self._outbox = outbox
        self._seed_at_ns = now_ns
        self._reconnect_at_ns = now_ns
        self._repair_at_ns = now_ns
        self.anti_entropy_at_ns = now_ns + ANTI_ENTROPY_INTERVAL_NS

    def contact_seed(self, now_ns: int) -> None:
        """Exchanges tables with a random seed."""
        settings = self._state.settings
        self._seed_at_ns = now_ns + SEED_INTERVAL_NS
        if others := [seed for seed in settings.seeds if seed != settings.address]:
            self._outbox.exchange_tables(self._state.rng.choice(others))

    def tick(self, now_ns: int) -> None:
        """Starts the exchanges that are due.

        Attempts to reach gone members never stop, as they may be behind a partition that has healed.
        """
        present = self._state.member_table.present()
        if now_ns >= self._seed_at_ns and not present:
            self.contact_seed(now_ns)
        if now_ns >= self._reconnect_at_ns:
            self._reconnect_at_ns = now_ns + self._jittered(RECONNECT_INTERVAL_NS)
            self._reconnect()
        if now_ns >= self.anti_entropy_at_ns and present:
            scale = max(1.0, log10(self._state.member_table.present_count()))
            self.anti_entropy_at_ns = now_ns + self._jittered(ANTI_ENTROPY_INTERVAL_NS * scale)
            self._outbox.exchange_tables(self._state.rng.choice(present).update.address)

    def compare_digest(self, now_ns: int, digest: int, source: Address) -> None:
        """Exchanges tables with a member whose live members differ.

        While updates are queued nothing is exchanged, as these may explain the difference.
        """
        state = self._state
        if digest != state.member_table.digest() and not state.gossip and now_ns >= self._repair_at_ns:
            self._repair_at_ns = now_ns + self._jittered(REPAIR_INTERVAL_NS)
            self._outbox.exchange_tables(source)

    def _reconnect(self) -> None:
        """Pings a random dead member, and exchanges tables with a random unknown seed."""
        state = self._state
        entries = state.member_table.by_name.values()
        if gone := [entry for entry in entries if entry.update.state == State.DEAD]:
            self._outbox.ping(state.rng.choice(gone).update, state.prober.next_sequence())
        present = state.member_table.present()
        known = {state.settings.address, *(entry.update.address for entry in present)}
        unknown = [seed for seed in state.settings.seeds if seed not in known]
        if unknown and present:
            self._outbox.exchange_tables(state.rng.choice(unknown))

    def _jittered(self, interval_ns: float) -> int:
        return int(interval_ns * self._state.rng.uniform(*JITTER))
