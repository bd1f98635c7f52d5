"""Defines mutants of planning, which the schedules and the saturated worlds must detect.

Each breaks one rule of `planning/` by a patch that is reverted. `mutation/` generates faults; these are the
ones that a reader of the rules would think of.
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
    """Plans a slot at once, without a wait for the leases that a former planner granted."""
    return [patch.object(planner, "OUTSTANDING_NS", 0)]


def _any_grant_accepted() -> list[Any]:
    """Accepts a grant of any age and any epoch."""

    def mutant(self: LeaseHolder, now: int, grant: Grant) -> bool:
        self.refill(now)
        self.lease = grant.lease
        self.limit = grant.limit
        self.expires_at_ns = now + HELD_NS
        self.tokens = min(self.limit.burst_units, self.tokens + grant.tokens)
        return True

    return [patch.object(LeaseHolder, "accept", mutant)]


def _counted_from_receipt() -> list[Any]:
    """Counts a lease from the receipt of its grant instead of from the sending of the request."""
    real = LeaseHolder.accept

    def mutant(self: LeaseHolder, now: int, grant: Grant) -> bool:
        sequence, _, base = self._open_request
        self._open_request = sequence, now, base
        return real(self, now, grant)

    return [patch.object(LeaseHolder, "accept", mutant)]


def _used_after_lease() -> list[Any]:
    """Uses a lease after its expiry."""
    real = LeaseHolder.accept

    def mutant(self: LeaseHolder, now: int, grant: Grant) -> bool:
        is_accepted = real(self, now, grant)
        self.expires_at_ns += LEASE_NS * is_accepted
        return is_accepted

    return [patch.object(LeaseHolder, "accept", mutant)]


def _outstanding_forgotten() -> list[Any]:
    """Counts earlier grants to a holder as ended as soon as it sends a request."""
    real = LeaseTable.on_request

    def mutant(self: LeaseTable, now: int, request: LeaseRequest) -> Grant | None:
        holder = self.holders.get((request.forwarder, request.incarnation))
        if holder is not None:
            holder.outstanding = []
        return real(self, now, request)

    return [patch.object(LeaseTable, "on_request", mutant)]


def _minority_elects() -> list[Any]:
    """Elects a planner with a single vote."""
    real = Election.__init__

    def mutant(self: Election, *arguments: Any) -> None:
        real(self, *arguments)
        self._majority = 1

    return [patch.object(Election, "__init__", mutant)]


def _outstanding_time_too_short() -> list[Any]:
    """Counts a grant as ended before its holder stops using it."""
    return [patch.object(lease_table, "OUTSTANDING_NS", LEASE_NS // 2)]


def _entire_limit_for_each() -> list[Any]:
    """Grants the entire limit to each holder."""
    return [patch.object(LeaseTable, "_share_for", lambda self, *arguments: self.limit)]


def _former_table_reused() -> list[Any]:
    """Keeps a planner's former lease table when it owns a slot again that others planned meanwhile."""
    real = Planner.on_request

    def mutant(self: Planner, now: int, request: LeaseRequest) -> Grant | None:
        known, epoch = (
            self.tables.get((request.tenant, request.limit_index)),
            self.elections[slot_of(request.tenant)].epoch,
        )
        if known is not None:
            known.epoch = self._epochs[slot_of(request.tenant)] = epoch
        return real(self, now, request)

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
    """Returns the first seed with which a schedule of either kind detects the mutant, or None."""
    with applied(MUTANTS[name]()):
        return next((seed for seed in seeds if _is_detected(seed)), None)


def _is_detected(seed: int) -> bool:
    return bool(
        saturated.play(saturated.make(seed)).violations or schedules.play(schedules.make(seed)).violations
    )
