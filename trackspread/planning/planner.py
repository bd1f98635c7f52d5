"""One planner: for each slot that it owns by a majority's lease, the lease tables of the slot's tenants.

A table lives as long as its planner owns the slot without a break; under a new epoch it starts anew and
learns until all that may have been granted before has expired. Without ownership no request is answered. No
I/O.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from ..decide.time_units import MILLISECOND
from .lease_table import LeaseTable
from .lease_table import OUTSTANDING_NS
from .election import Election, ElectionMessage
from .election import Outbox
from .placement import SLOTS
from .placement import ranked_planners, slot_of
from .limits import TenantLimit
from .messages import Grant, LeaseRequest
from .rotation import Rotation

# By which each next in rank waits before it first proposes itself for a slot.
RANK_DELAY_NS = 300 * MILLISECOND
LimitsOf = Callable[[int], tuple[TenantLimit, ...]]


class Planner:
    """Call `tick` several times in a term, `on_message` for messages of planners (its own too), `on_request`
    for forwarders' requests."""

    def __init__(
        self, planner: int, planners: int, limits_of: LimitsOf, min_units: float, now: int, seed: int
    ) -> None:
        """`min_units`: of the largest request."""
        rng = random.Random(f"planner:{seed}")
        self.planner = planner
        self._limits_of = limits_of
        self._min_units = min_units
        self.elections = [
            Election(
                planner, planners, now + RANK_DELAY_NS * ranked_planners(number, planners).index(planner), rng
            )
            for number in range(SLOTS)
        ]
        self._learns_until_ns = [0] * SLOTS
        self._epochs = [0] * SLOTS
        self.tables: dict[tuple[int, int], LeaseTable] = {}
        self._rotations: dict[int, Rotation] = {}  # by tenant

    def tick(self, now: int) -> list[tuple[int, Outbox]]:
        """Messages to send, by slot."""
        return [(n, out) for n, each in enumerate(self.elections) if (out := each.tick(now))]

    def on_message(self, now: int, sender: int, slot: int, message: ElectionMessage) -> Outbox:
        """Messages to send in answer to one of another planner on a slot."""
        return self.elections[slot].on_message(now, sender, message)

    def on_request(self, now: int, request: LeaseRequest) -> Grant | None:
        """The grant, or None where this planner does not own the tenant's slot."""
        slot = slot_of(request.tenant)
        election = self.elections[slot]
        if request.base_lease[0] > election.epoch:
            election.on_newer_epoch(request.base_lease[0])
        if not election.owns(now):
            return None
        if self._epochs[slot] != election.epoch:
            self._epochs[slot] = election.epoch
            self._learns_until_ns[slot] = now + OUTSTANDING_NS
        limits = self._limits_of(request.tenant)
        if not 0 <= request.limit_index < len(limits):
            return None
        key = request.tenant, request.limit_index
        table = self.tables.get(key)
        if table is None or table.epoch != election.epoch:
            rotation = self._rotations.setdefault(request.tenant, Rotation())
            learns_until_ns = self._learns_until_ns[slot]
            limit = limits[request.limit_index]
            table = LeaseTable(limit, self._min_units, election.epoch, now, learns_until_ns, rotation)
            self.tables[key] = table
        return table.on_request(now, request)
