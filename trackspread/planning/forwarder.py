"""Holds a forwarder's leases and selects the planner that gets its requests for each slot.

A planner that does not answer by the next heartbeat, or declines as it does not own the slot, is replaced by
the next in rank; a planner that answers is kept. The present leases are used meanwhile. The state of a tenant
without requests is dropped once its lease has expired. The module does no I/O and knows nothing of failure
detection.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from .lease_holder import LeaseHolder
from .limits import TenantLimit
from .messages import Grant, LeaseRequest
from .placement import ranked_planners, slot_of
from .timing import LEASE_NS

# Without a request for this long a tenant's state is dropped; its lease expired long before.
FORGET_NS = 4 * LEASE_NS
StaticParts = Callable[[int], Sequence[float]]  # the static shares here, one for each of a tenant's limits
AddressedRequests = list[tuple[int, LeaseRequest]]  # each with the planner that receives it


@dataclass(slots=True)
class TenantState:
    """Holds one tenant's state at this forwarder, with a lease holder for each of its limits.

    `declines` counts those of planners since the last heartbeat. `acknowledged_cuts` are the limits whose
    reduction was acknowledged since then; one acknowledgement is enough.
    """

    holders: list[LeaseHolder]
    last_request_ns: int
    declines: int = 0
    is_answered: bool = True
    acknowledged_cuts: set[int] = field(default_factory=set)


class Forwarder:
    """Admits requests by the leases that planners grant, and requests those leases.

    The host calls `admit` for each request, `heartbeat` once in `HEARTBEAT_NS`, and `on_grant` or
    `on_decline` for each answer of a planner.
    """

    def __init__(
        self,
        number: int,
        incarnation: int,
        planners: int,
        limits_of: Callable[[int], tuple[TenantLimit, ...]],
        static_parts_of: StaticParts,
    ) -> None:
        self.number = number
        self._incarnation = incarnation
        self._planners = planners
        self._limits_of = limits_of
        self._static_parts_of = static_parts_of
        self.tenants: dict[int, TenantState] = {}
        self._planner_offsets: dict[int, int] = {}  # by slot, the rank of the planner that gets its requests

    def admit(self, now: int, tenant: int, units: float) -> bool:
        """Returns whether all limits of the tenant admit a request; if so, its units are spent."""
        state = self.tenants.get(tenant)
        if state is None:
            limits_and_parts = zip(self._limits_of(tenant), self._static_parts_of(tenant), strict=True)
            holders = [LeaseHolder(limit, part, now) for limit, part in limits_and_parts]
            state = TenantState(holders, now)
            self.tenants[tenant] = state
        state.last_request_ns = now
        # Every holder is called, as each counts the demand.
        if not all([holder.may_spend(now, units) for holder in state.holders]):
            for holder in state.holders:
                # It is set at every holder, to keep a turn that waits for another limit's lease.
                holder.waiting_units = units
            return False
        for holder in state.holders:
            holder.spend(units)
        return True

    def _planner_of(self, tenant: int) -> int:
        slot = slot_of(tenant)
        offset = self._planner_offsets.get(slot, 0) % self._planners
        return ranked_planners(slot, self._planners)[offset]

    def _try_next_planner(self, slot: int) -> None:
        self._planner_offsets[slot] = self._planner_offsets.get(slot, 0) + 1

    def _requests(self, now: int, tenant: int, state: TenantState) -> AddressedRequests:
        planner = self._planner_of(tenant)
        return [
            (planner, holder.next_request(now, self.number, self._incarnation, tenant, index))
            for index, holder in enumerate(state.holders)
        ]

    def heartbeat(self, now: int) -> AddressedRequests:
        """Returns the requests of this heartbeat and drops tenants without requests."""
        for slot in {slot_of(tenant) for tenant, state in self.tenants.items() if not state.is_answered}:
            self._try_next_planner(slot)
        requests: AddressedRequests = []
        for tenant, state in list(self.tenants.items()):
            if now - state.last_request_ns > FORGET_NS:
                del self.tenants[tenant]
                continue
            state.declines = 0
            state.is_answered = False
            state.acknowledged_cuts.clear()
            requests += self._requests(now, tenant, state)
        return requests

    def on_grant(self, now: int, grant: Grant) -> AddressedRequests:
        """Applies a grant unless it is stale; a reduced limit is acknowledged at once."""
        state = self.tenants.get(grant.tenant)
        if state is None or not 0 <= grant.limit_index < len(state.holders):
            return []
        state.is_answered = True
        holder = state.holders[grant.limit_index]
        before = holder.limit
        if not holder.accept(now, grant) or grant.limit_index in state.acknowledged_cuts:
            return []
        if grant.limit.rate_per_s >= before.rate_per_s and grant.limit.burst_units >= before.burst_units:
            return []
        state.acknowledged_cuts.add(grant.limit_index)
        request = holder.repeat_request(now, self.number, self._incarnation, grant.tenant, grant.limit_index)
        return [(self._planner_of(grant.tenant), request)]

    def on_decline(self, now: int, planner: int, tenant: int) -> AddressedRequests:
        """Tries the next planner at once where one does not own the slot, each planner once a heartbeat."""
        state = self.tenants.get(tenant)
        is_outdated = self._planner_of(tenant) != planner
        if state is None or state.is_answered or is_outdated or state.declines >= self._planners - 1:
            return []
        state.declines += 1
        self._try_next_planner(slot_of(tenant))
        return self._requests(now, tenant, state)
