"""Planning with one fault each, for the account and the saturated worlds to convict.

Each breaks one rule of `planning/` by a patch that is taken back. Generated faults are `mutation/`'s
matter; these are the ones that a reader of the rules would think of.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any
from unittest.mock import patch

from ....planning import lease_table, planner
from ....planning.lease_table import LeaseTable
from ....planning.election import Election
from ....planning.holder import KEPT, Holder
from ....planning.placement import slot
from ....planning.planner import Planner
from ....planning.terms import LEASE, Ask, Grant
from . import saturated
from . import schedules
from ..patches import held


def _no_learning() -> list[Any]:
    return [patch.object(planner, "OUT", 0)]


def _taken_whatever() -> list[Any]:
    """A grant is taken however old it is, and under whatever epoch."""

    def mutant(self: Holder, now: int, grant: Grant) -> bool:
        self.advance(now)
        self.number, self.right, self.until = grant.number, grant.right, now + KEPT
        self.level = min(self.right.burst, self.level + grant.tokens)
        return True

    return [patch.object(Holder, "granted", mutant)]


def _counted_from_receipt() -> list[Any]:
    real = Holder.granted

    def mutant(self: Holder, now: int, grant: Grant) -> bool:
        sequence, _, base = self._asked
        self._asked = sequence, now, base
        return real(self, now, grant)

    return [patch.object(Holder, "granted", mutant)]


def _lease_outlived() -> list[Any]:
    """A right goes on after its lease."""
    real = Holder.granted

    def mutant(self: Holder, now: int, grant: Grant) -> bool:
        taken = real(self, now, grant)
        self.until += LEASE * taken
        return taken

    return [patch.object(Holder, "granted", mutant)]


def _only_the_newest() -> list[Any]:
    """A grant that was not heard of counts as gone."""
    real = LeaseTable.ask

    def mutant(self: LeaseTable, now: int, ask: Ask) -> Grant | None:
        holder = self.holders.get((ask.forwarder, ask.incarnation))
        if holder is not None:
            holder.out = []
        return real(self, now, ask)

    return [patch.object(LeaseTable, "ask", mutant)]


def _minority() -> list[Any]:
    real = Election.__init__

    def mutant(self: Election, *words: Any) -> None:
        real(self, *words)
        self._majority = 1

    return [patch.object(Election, "__init__", mutant)]


def _out_too_short() -> list[Any]:
    return [patch.object(lease_table, "OUT", LEASE // 2)]


def _others_forgotten() -> list[Any]:
    """Each holder gets the whole."""
    return [patch.object(LeaseTable, "_share", lambda self, *words: self.limit)]


def _epoch_ignored() -> list[Any]:
    """A planner that owns a slot again goes on with the table that it had before others planned it."""
    real = Planner.ask

    def mutant(self: Planner, now: int, ask: Ask) -> Grant | None:
        known, epoch = self.tables.get((ask.member, ask.which)), self.elections[slot(ask.member)].epoch
        if known is not None:
            known.epoch = self._epochs[slot(ask.member)] = epoch
        return real(self, now, ask)

    return [patch.object(Planner, "ask", mutant)]


MUTANTS: dict[str, Callable[[], list[Any]]] = {
    "no-learning": _no_learning,
    "taken-whatever": _taken_whatever,
    "counted-from-receipt": _counted_from_receipt,
    "lease-outlived": _lease_outlived,
    "only-the-newest": _only_the_newest,
    "minority": _minority,
    "out-too-short": _out_too_short,
    "others-forgotten": _others_forgotten,
    "epoch-ignored": _epoch_ignored,
}


def convict(name: str, seeds: Iterator[int]) -> int | None:
    """The first of the seeds that has a schedule, of either kind, that shows the mutant; None if none has."""
    with held(MUTANTS[name]()):
        return next((seed for seed in seeds if _shows(seed)), None)


def _shows(seed: int) -> bool:
    return bool(saturated.play(saturated.make(seed)).broken or schedules.play(schedules.make(seed)).broken)
