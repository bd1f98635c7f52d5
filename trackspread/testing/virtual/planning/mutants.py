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
from ....planning.lease_holder import HELD_NS, LeaseHolder
from ....planning.placement import slot_of
from ....planning.planner import Planner
from ....planning.messages import Grant, LeaseRequest
from ....planning.timing import LEASE_NS
from . import saturated
from . import schedules
from ..patches import applied


def _no_waiting_time() -> list[Any]:
    return [patch.object(planner, "OUTSTANDING_NS", 0)]


def _any_grant_accepted() -> list[Any]:
    """A grant is taken however old it is, and under whatever epoch."""

    def mutant(self: LeaseHolder, now: int, grant: Grant) -> bool:
        self.refill(now)
        self.lease = grant.lease
        self.limit = grant.limit
        self.expires_at_ns = now + HELD_NS
        self.tokens = min(self.limit.burst_units, self.tokens + grant.tokens)
        return True

    return [patch.object(LeaseHolder, "accept", mutant)]


def _counted_from_receipt() -> list[Any]:
    real = LeaseHolder.accept

    def mutant(self: LeaseHolder, now: int, grant: Grant) -> bool:
        sequence, _, base = self._open_request
        self._open_request = sequence, now, base
        return real(self, now, grant)

    return [patch.object(LeaseHolder, "accept", mutant)]


def _used_after_lease() -> list[Any]:
    """A right goes on after its lease."""
    real = LeaseHolder.accept

    def mutant(self: LeaseHolder, now: int, grant: Grant) -> bool:
        taken = real(self, now, grant)
        self.expires_at_ns += LEASE_NS * taken
        return taken

    return [patch.object(LeaseHolder, "accept", mutant)]


def _outstanding_forgotten() -> list[Any]:
    """A grant that was not heard of counts as gone."""
    real = LeaseTable.on_request

    def mutant(self: LeaseTable, now: int, ask: LeaseRequest) -> Grant | None:
        holder = self.holders.get((ask.forwarder, ask.incarnation))
        if holder is not None:
            holder.outstanding = []
        return real(self, now, ask)

    return [patch.object(LeaseTable, "on_request", mutant)]


def _minority_elects() -> list[Any]:
    real = Election.__init__

    def mutant(self: Election, *words: Any) -> None:
        real(self, *words)
        self._majority = 1

    return [patch.object(Election, "__init__", mutant)]


def _outstanding_time_too_short() -> list[Any]:
    return [patch.object(lease_table, "OUTSTANDING_NS", LEASE_NS // 2)]


def _entire_limit_for_each() -> list[Any]:
    """Each holder gets the whole."""
    return [patch.object(LeaseTable, "_share_for", lambda self, *words: self.limit)]


def _former_table_reused() -> list[Any]:
    """A planner that owns a slot again goes on with the table that it had before others planned it."""
    real = Planner.on_request

    def mutant(self: Planner, now: int, ask: LeaseRequest) -> Grant | None:
        known, epoch = (
            self.tables.get((ask.tenant, ask.limit_index)),
            self.elections[slot_of(ask.tenant)].epoch,
        )
        if known is not None:
            known.epoch = self._epochs[slot_of(ask.tenant)] = epoch
        return real(self, now, ask)

    return [patch.object(Planner, "on_request", mutant)]


MUTANTS: dict[str, Callable[[], list[Any]]] = {
    "no-waiting-time": _no_waiting_time,
    "any-grant-accepted": _any_grant_accepted,
    "counted-from-receipt": _counted_from_receipt,
    "used-after-lease": _used_after_lease,
    "outstanding-forgotten": _outstanding_forgotten,
    "minority-elects": _minority_elects,
    "outstanding-time-too-short": _outstanding_time_too_short,
    "entire-limit-for-each": _entire_limit_for_each,
    "former-table-reused": _former_table_reused,
}


def first_detecting_seed(name: str, seeds: Iterator[int]) -> int | None:
    """The first of the seeds that has a schedule, of either kind, that shows the mutant; None if none has."""
    with applied(MUTANTS[name]()):
        return next((seed for seed in seeds if _is_detected(seed)), None)


def _is_detected(seed: int) -> bool:
    return bool(saturated.play(saturated.make(seed)).broken or schedules.play(schedules.make(seed)).broken)
