"""One planner: for each slot that it owns by a majority's lease, the lease tables of the slot's members.

A table lives as long as its planner owns the slot without a break; under a new epoch it starts anew and
learns until all that may have been granted before has run out. Without ownership nothing is answered.

May know: its own clock, words of planners, asks. May not know: sockets, who is alive.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from .lease_table import OUT, LeaseTable
from .election import Election, Out, ElectionMessage
from .placement import SLOTS, ranked, slot
from .terms import Ask, Cap, Grant
from .turns import Turns

BEHIND = 300_000_000  # ns by which each next in rank waits before it first tries for a slot
CapsOf = Callable[[int], tuple[Cap, ...]]


class Planner:
    """`tick` several times in a term, `heard` for words of planners (its own too), `ask` for forwarders'."""

    def __init__(self, me: int, planners: int, caps_of: CapsOf, least: float, now: int, seed: int) -> None:
        rng = random.Random(f"planner:{seed}")
        self.me, self._caps_of, self._least = me, caps_of, least
        self.elections = [
            Election(me, planners, now + BEHIND * ranked(number, planners).index(me), rng)
            for number in range(SLOTS)
        ]
        self._learns_until = [0] * SLOTS
        self._epochs = [0] * SLOTS
        self.tables: dict[tuple[int, int], LeaseTable] = {}
        self._turns: dict[int, Turns] = {}  # by member

    def tick(self, now: int) -> list[tuple[int, Out]]:
        """By slot, what to send."""
        return [(n, out) for n, each in enumerate(self.elections) if (out := each.tick(now))]

    def heard(self, now: int, sender: int, number: int, word: ElectionMessage) -> Out:
        return self.elections[number].heard(now, sender, word)

    def ask(self, now: int, ask: Ask) -> Grant | None:
        """The grant, or None from one that may not speak for the member."""
        number = slot(ask.member)
        election = self.elections[number]
        if ask.base[0] > election.epoch:
            election.newer(ask.base[0])
        if not election.owns(now):
            return None
        if self._epochs[number] != election.epoch:
            self._epochs[number], self._learns_until[number] = election.epoch, now + OUT
        caps, key = self._caps_of(ask.member), (ask.member, ask.which)
        if not 0 <= ask.which < len(caps):
            return None
        table = self.tables.get(key)
        if table is None or table.epoch != election.epoch:
            until, turns = self._learns_until[number], self._turns.setdefault(ask.member, Turns())
            table = self.tables[key] = LeaseTable(
                caps[ask.which], self._least, election.epoch, now, until, turns
            )
        return table.ask(now, ask)
