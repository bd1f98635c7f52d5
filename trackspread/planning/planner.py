"""Runs one planner, which holds the lease tables of the tenants in each slot that it owns.

It owns a slot by a majority's lease. A table is valid while its planner owns the slot without a break; under
a new epoch it is created again and learns until all that may have been granted before has expired. Without
ownership no request is answered. The module does no I/O.
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

# The delay for each rank before a planner first proposes itself for a slot.
RANK_DELAY_NS = 300 * MILLISECOND
LimitsOf = Callable[[int], tuple[TenantLimit, ...]]


class Planner:
    """Grants leases on the limits of the tenants in the slots that it owns.

    The host calls `tick` several times in a term, `on_message` for messages of planners (its own included),
    and `on_request` for forwarders' requests.
    """

    def __init__(
        self, planner: int, planners: int, limits_of: LimitsOf, min_units: float, now: int, seed: int
    ) -> None:
        """Takes in `min_units` the units of the largest request."""
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
        """Returns the messages to send, by slot."""
        return [(n, out) for n, each in enumerate(self.elections) if (out := each.tick(now))]

    def on_message(self, now: int, sender: int, slot: int, message: ElectionMessage) -> Outbox:
        """Handles a planner's message about a slot and returns the answers."""
        return self.elections[slot].on_message(now, sender, message)

    def on_request(self, now: int, request: LeaseRequest) -> Grant | None:
        """Returns the grant, or None if this planner does not own the slot or the limit does not exist."""
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
