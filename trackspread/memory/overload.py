"""Decides what is done when memory runs short, in stages, towards the largest owners first.

It knows the account and sizes. It knows no time, sockets or requests.
"""

from __future__ import annotations

from enum import IntEnum

from .account import MemoryAccount, MemoryOwner

RESERVE_FRACTION = 0.2  # of the limit, for what is counted late and for gaps in the heap
MIN_CAPACITY_BYTES = 4 << 20
RELEASE_FRACTION = 0.9  # of a stage's threshold, below which the stage ends
MIN_SHARE_BYTES = 8 << 10  # of an owner: more than a short command
RELIEVED_FRACTION = 0.9  # of the capacity, down to which owners end


class Stage(IntEnum):
    """Enumerates what is done; each stage includes those before it."""

    NORMAL = 0
    STOP_READING = 1  # owners over their share are not read
    REJECT = 2  # their long bodies are rejected
    END = 3  # the largest owners end


THRESHOLDS = {Stage.STOP_READING: 0.7, Stage.REJECT: 0.85, Stage.END: 1.0}  # of the capacity


def capacity_bytes(limit_bytes: int, base_bytes: int, processes: int = 1) -> int:
    """Returns what a process may keep for others: its limit without a reserve and the program itself.

    Several processes of one gateway share the limit equally.
    """
    limit_of_process = limit_bytes * (1.0 - RESERVE_FRACTION) / processes
    return max(MIN_CAPACITY_BYTES, int(limit_of_process) - base_bytes)


class Overload:
    """Holds the present stage."""

    def __init__(self, account: MemoryAccount) -> None:
        self._account = account
        self.stage = Stage.NORMAL
        self.unaccounted_bytes = 0  # of the process beyond its base and the account
        self.ended = 0  # owners that gave up memory since the start

    @property
    def used_bytes(self) -> int:
        """Returns what is kept, counted or not."""
        return self._account.used_bytes + self.unaccounted_bytes

    def update(self) -> bool:
        """Follows the account; returns whether the stage has changed."""
        used = self.used_bytes / self._account.capacity_bytes
        reached = [stage for stage in THRESHOLDS if used >= self._threshold(stage)]
        before, self.stage = self.stage, max(reached, default=Stage.NORMAL)
        return self.stage is not before

    def _threshold(self, stage: Stage) -> float:
        is_in_force = stage <= self.stage
        return THRESHOLDS[stage] * (RELEASE_FRACTION if is_in_force else 1.0)

    def is_over_share(self, owner: MemoryOwner) -> bool:
        """Returns whether an owner keeps more than an equal share, while memory is short."""
        if self.stage is Stage.NORMAL:
            return False
        share_bytes = self._account.capacity_bytes / max(1, self._account.owners())
        return self._account.held_by(owner) > max(MIN_SHARE_BYTES, share_bytes)

    def must_reject(self, owner: MemoryOwner) -> bool:
        """Returns whether an owner's long input is rejected."""
        return self.stage >= Stage.REJECT and self.is_over_share(owner)

    def relieve(self) -> int:
        """Has the largest owners give up memory until the rest fits; returns their number."""
        account = self._account
        account.refresh()
        goal_bytes = account.capacity_bytes * RELIEVED_FRACTION
        if self.used_bytes < account.capacity_bytes:
            return 0
        ended = 0
        for owner in account.largest_first():
            if self.used_bytes <= goal_bytes or account.held_by(owner) < MIN_SHARE_BYTES:
                break
            if owner.shed_memory():
                ended += 1
                account.update(owner)
        self.ended += ended
        return ended
