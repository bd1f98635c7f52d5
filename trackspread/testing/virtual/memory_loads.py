"""Simulates owners of memory in waves against the account and its stages, without sockets.

Groups of owners grow by one read at a time, as far as they may be read, and leave together. Usual owners keep
little for a short time. The checks use the owners' own sizes, not the account's.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator, Mapping
from typing import Any
from unittest.mock import patch

from ...memory.account import Holder, MemoryAccount, MemoryOwner
from ...memory.overload import MIN_SHARE_BYTES, RELIEVED_FRACTION, Overload, Stage
from ...memory.read_buffer import READ_BYTES

CAPACITIES_BYTES = (7 << 20, 20 << 20, 46 << 20)  # as of limits of 48, 64 and 96 MB
WAVES = 3
STEPS = 25  # of a wave
USUAL_OWNERS = 20
KINDS = (Holder.INPUT, Holder.BODIES, Holder.ANSWERS, Holder.BACKENDS)


class Owner:
    """Keeps memory of one kind, of which it sheds all; as with a connection, the next step frees it."""

    def __init__(self, holder: Holder, goal_bytes: int) -> None:
        self.holder = holder
        self.goal_bytes = goal_bytes
        self.size_bytes = 0
        self.is_ended = False

    def held_memory(self) -> Mapping[Holder, int]:
        """Returns what it keeps, and will keep after this step."""
        return {} if self.is_ended else {self.holder: self.size_bytes}

    def shed_memory(self) -> bool:
        """Ends."""
        self.is_ended = True
        return True


class World:
    """Holds one play; the same seed gives the same play."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(f"memory:{seed}")
        self.account = MemoryAccount(self.rng.choice(CAPACITIES_BYTES))
        self.overload = Overload(self.account)
        self.owners: list[Owner] = []
        self.usual = [Owner(Holder.INPUT, MIN_SHARE_BYTES // 2) for _ in range(USUAL_OWNERS)]
        self.violations: list[str] = []

    def play(self) -> None:
        """Plays all waves; after each of them its owners leave."""
        for _ in range(WAVES):
            clients = self.rng.choice((50, 150, 400))
            self.owners = [
                Owner(self.rng.choice(KINDS), self.rng.randrange(1 << 10, 1 << 20)) for _ in range(clients)
            ]
            for _ in range(STEPS):
                self._step()
            self._leave()

    def _step(self) -> None:
        """Reads one buffer's worth of each owner that may be read, in one turn, then follows the stages."""
        for owner in self.owners:
            if owner.is_ended:
                owner.size_bytes = 0
            elif not self.overload.is_over_share(owner):
                owner.size_bytes = min(owner.goal_bytes, owner.size_bytes + self.rng.randrange(READ_BYTES))
                self.account.update(owner)
                if self.account.used_bytes > self.account.capacity_bytes:
                    self._relieve()
        for owner in self.usual:
            owner.size_bytes = self.rng.randrange(owner.goal_bytes)
            self.account.update(owner)
        self._relieve()

    def _relieve(self) -> None:
        before = [owner for owner in self.owners if not owner.is_ended]
        self.overload.update()
        self.overload.relieve()
        rest = sum(owner.size_bytes for owner in (*self.owners, *self.usual) if not owner.is_ended)
        if rest > self.account.capacity_bytes:
            self.violations.append(f"{rest} bytes kept, capacity {self.account.capacity_bytes}")
        if any(owner.is_ended for owner in self.usual):
            self.violations.append("an owner that keeps little was ended")
        ended = [owner.size_bytes for owner in before if owner.is_ended]
        if ended and rest + min(ended) <= RELIEVED_FRACTION * self.account.capacity_bytes:
            self.violations.append(
                f"{len(ended)} owners ended, though fewer were enough: {rest} bytes are kept"
            )

    def _leave(self) -> None:
        for owner in self.owners:
            owner.size_bytes = 0
            self.account.remove(owner)
        self.account.update_tables()
        self.overload.update()
        used = sum(owner.size_bytes for owner in self.usual)
        if self.overload.stage is not Stage.NORMAL or self.account.used_bytes != used:
            self.violations.append(f"after they left: stage {self.overload.stage}, {self.account.used_bytes}")


def violations(seed: int) -> list[str]:
    """Plays a seed and returns its violations."""
    world = World(seed)
    world.play()
    return world.violations


def _nobody_ends() -> list[Any]:
    """Leaves the largest owners as they are."""
    return [patch.object(Overload, "relieve", lambda self: 0)]


def _smallest_first() -> list[Any]:
    """Ends who keeps least."""
    real = MemoryAccount.largest_first

    def mutant(self: MemoryAccount) -> Iterator[MemoryOwner]:
        yield from reversed(list(real(self)))

    return [
        patch.object(MemoryAccount, "largest_first", mutant),
        patch("trackspread.memory.overload.MIN_SHARE_BYTES", 0),
    ]


def _owners_stay() -> list[Any]:
    """Counts owners that have ended."""
    return [patch.object(MemoryAccount, "remove", lambda self, owner: None)]


def _ended_owners_counted() -> list[Any]:
    """Counts what an owner kept until its memory is freed."""
    return [patch.object(Owner, "held_memory", lambda self: {self.holder: self.size_bytes})]


MUTANTS: dict[str, Callable[[], list[Any]]] = {
    "nobody-ends": _nobody_ends,
    "smallest-first": _smallest_first,
    "owners-stay": _owners_stay,
    "ended-owners-counted": _ended_owners_counted,
}
