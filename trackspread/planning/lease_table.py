"""Grants leases on one limit of one tenant; outstanding leases never sum to more than the limit.

Rules:
- A lease that may be in use counts as outstanding: for each holder, the greatest rate and burst of all grants
  since the newest that it is known to have, each until `OUTSTANDING_NS` after it was granted.
- Refill: the outstanding rates and the rate at which the table's own tokens refill sum to the planned rate.
- Tokens: the outstanding bursts and the table's own tokens sum to the planned burst at most. A grant's tokens
  are taken from the table's only; tokens that a holder loses with an expired lease return by the refill.
- Learning: a new table renews the leases that holders report and grants nothing else, until all that a
  planner before it granted has expired.
- Turns (`rotation.py`): where the burst is too small to give each holder the units of one complete request,
  the holders that have a turn share the rate.

A table knows its own clock and handles requests in the order of arrival; it knows nothing of other tenants.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from ..decide.time_units import SECOND
from .limits import ROUNDING, Limit, TenantLimit
from .messages import Grant, LeaseNumber, LeaseRequest
from .rotation import ForwarderStart, Rotation
from .timing import CLOCK_DRIFT, HEARTBEAT_NS, LEASE_NS

OUTSTANDING_NS = int(LEASE_NS * (1.0 + 2 * CLOCK_DRIFT))  # of a grant, on a clock that may run fast
# Fraction of an even share that every holder with demand gets, to start at once when its demand grows.
MIN_SHARE_PART = 0.1
PLAN_INTERVAL_NS = HEARTBEAT_NS // 4  # between two computations of the shares
# Factor on the rate that refills one request in a lease, so that rounding does not leave too little.
SPARE_FOR_REQUEST = 1.01
NO_LIMIT = Limit(0.0, 0.0)
IDLE_PER_S = 0.02  # units a second; with less, a holder without a waiting request gets no rate


class _Outstanding(NamedTuple):
    """Holds one grant that may still be in use."""

    lease: LeaseNumber
    limit: Limit
    until_ns: int


@dataclass(slots=True)
class _HolderState:
    """Holds the state of one forwarder's incarnation; `greatest` is its outstanding rate and burst."""

    sequence: int = -1
    demand_per_s: float = 0.0
    waiting_units: float = 0.0  # of a client's request that waits there
    last_request_ns: int = 0
    outstanding: list[_Outstanding] = field(default_factory=list)
    greatest: Limit = NO_LIMIT

    def wants_share(self) -> bool:
        return self.demand_per_s > IDLE_PER_S or self.waiting_units > 0.0


def _grant(request: LeaseRequest, lease: LeaseNumber, limit: Limit, tokens: float) -> Grant:
    return Grant(
        epoch=lease[0],
        tenant=request.tenant,
        limit_index=request.limit_index,
        sequence=request.sequence,
        base_lease=request.base_lease,
        lease=lease,
        limit=limit,
        tokens=tokens,
    )


class LeaseTable:
    """Holds the leases on one limit of one tenant under one epoch."""

    def __init__(
        self,
        tenant_limit: TenantLimit,
        min_units: float,
        epoch: int,
        now: int,
        learns_until_ns: int,
        rotation: Rotation | None = None,
    ) -> None:
        """Creates a table without tokens, as tokens that others granted before may still be spent.

        `min_units` are the units of the largest request. `rotation` is the tenant's, which all its tables
        share.
        """
        rate, burst = tenant_limit.limit
        planned_part = tenant_limit.planned_part
        self.limit = Limit(rate * planned_part / (1.0 + CLOCK_DRIFT), burst * planned_part)
        self.min_units = min_units
        self.epoch = epoch
        self.learns_until_ns = learns_until_ns
        self.tokens = 0.0
        self.refilled_at_ns = now
        self.leases_granted = 0
        self.holders: dict[ForwarderStart, _HolderState] = {}
        self._outstanding_per_s = 0.0
        self._outstanding_units = 0.0
        self._next_expiry_ns = now + OUTSTANDING_NS  # nothing expires before
        self._planned_at_ns = -PLAN_INTERVAL_NS
        self._planned_holders = 0
        self._wanting_holders = 1
        self._rotation = rotation or Rotation()
        self._is_fully_planned = planned_part >= 1.0
        self._parts = max(1, int(self.limit.burst_units / min_units + ROUNDING))  # requests in the burst
        self._min_share_per_s = 0.0
        self._fair_share_per_s = 0.0
        self._surplus_factor = 0.0

    def outstanding_limit(self) -> Limit:
        """Returns the sum of the rates and bursts that may be outstanding."""
        return Limit(self._outstanding_per_s, self._outstanding_units)

    def _set_outstanding(self, holder: _HolderState, outstanding: list[_Outstanding]) -> None:
        """Replaces a holder's list of outstanding grants and updates the sums."""
        greatest = Limit(
            max((each.limit.rate_per_s for each in outstanding), default=0.0),
            max((each.limit.burst_units for each in outstanding), default=0.0),
        )
        self._outstanding_per_s += greatest.rate_per_s - holder.greatest.rate_per_s
        self._outstanding_units += greatest.burst_units - holder.greatest.burst_units
        holder.outstanding = outstanding
        holder.greatest = greatest
        self._next_expiry_ns = min([self._next_expiry_ns, *(each.until_ns for each in outstanding)])

    def refill(self, now: int) -> None:
        """Refills the tokens, then drops expired grants.

        The order matters: the rate of an expired grant was not free to refill tokens before.
        """
        if now > self.learns_until_ns:
            span = (now - max(self.refilled_at_ns, self.learns_until_ns)) / SECOND
            self._set_tokens(self.tokens + max(0.0, self.limit.rate_per_s - self._outstanding_per_s) * span)
        self.refilled_at_ns = now
        if now >= self._next_expiry_ns:
            self._drop_expired(now)

    def _drop_expired(self, now: int) -> None:
        self._next_expiry_ns = now + OUTSTANDING_NS
        for key, holder in list(self.holders.items()):
            self._set_outstanding(holder, [each for each in holder.outstanding if each.until_ns > now])
            if not holder.outstanding:
                # It sent no request for longer than a lease lasts, so its last demand no longer counts.
                holder.demand_per_s = 0.0
                holder.waiting_units = 0.0
                self._planned_at_ns = -PLAN_INTERVAL_NS
                if now - holder.last_request_ns > 4 * OUTSTANDING_NS:
                    del self.holders[key]
        # Sums of floats drift, so they are computed again here.
        self._outstanding_per_s = sum(holder.greatest.rate_per_s for holder in self.holders.values())
        self._outstanding_units = sum(holder.greatest.burst_units for holder in self.holders.values())

    def on_request(self, now: int, request: LeaseRequest) -> Grant | None:
        """Returns the grant that answers a request, or None if a newer request was answered before."""
        self.refill(now)
        forwarder = request.forwarder, request.incarnation
        holder = self.holders.setdefault(forwarder, _HolderState())
        if request.sequence <= holder.sequence:
            return None
        holder.sequence = request.sequence
        holder.demand_per_s = request.demand_per_s
        holder.waiting_units = request.waiting_units
        holder.last_request_ns = now
        until_ns = now + OUTSTANDING_NS
        outstanding = [each for each in holder.outstanding if each.lease >= request.base_lease]
        if request.base_lease[0] < self.epoch and request.held_limit.burst_units > 0.0:
            # A lease of an earlier epoch counts as outstanding, whichever planner granted it.
            outstanding.append(_Outstanding(request.base_lease, request.held_limit, until_ns))
        self._set_outstanding(holder, outstanding)
        self.leases_granted += 1
        lease = self.epoch, self.leases_granted
        if now < self.learns_until_ns:
            renewed = _Outstanding(lease, request.held_limit, until_ns)
            self._set_outstanding(holder, [*holder.outstanding, renewed])
            return _grant(request, lease, request.held_limit, 0.0)
        self._set_tokens(self.tokens + request.returned_tokens)
        limit = self._share_for(now, holder, forwarder)
        self._set_outstanding(holder, [*holder.outstanding, _Outstanding(lease, limit, until_ns)])
        tokens = min(self.tokens, max(0.0, limit.burst_units - request.tokens))
        self._set_tokens(self.tokens - tokens)
        return _grant(request, lease, limit, tokens)

    def _set_tokens(self, tokens: float) -> None:
        self.tokens = min(tokens, max(0.0, self.limit.burst_units - self._outstanding_units))

    def _share_for(self, now: int, holder: _HolderState, forwarder: ForwarderStart) -> Limit:
        """Returns a holder's share by its demand, as far as the outstanding leases of others allow."""
        if not (holder.wants_share() and self.limit.rate_per_s):
            return NO_LIMIT
        if now - self._planned_at_ns >= PLAN_INTERVAL_NS or len(self.holders) != self._planned_holders:
            self._plan_shares(now)
        available = self._available_to(holder)
        demand = max(self._min_share_per_s, holder.demand_per_s)
        fair = min(demand, self._fair_share_per_s) * self._surplus_factor
        rate = max(0.0, min(available.rate_per_s, fair))
        burst = self.limit.burst_units * rate / self.limit.rate_per_s
        if burst < self.min_units:
            burst = self.min_units
            if available.burst_units < self.min_units * self._wanting_holders:
                self._rotation.add_limit(self._parts, self._is_fully_planned)
                rate = self.limit.rate_per_s / min(self._parts, self._rotation.concurrent_turns)
                is_waiting = holder.waiting_units > 0.0
                if not self._rotation.has_turn(now, forwarder, is_waiting, holder.demand_per_s >= rate):
                    return NO_LIMIT
                rate = max(0.0, min(available.rate_per_s, rate))
        burst = min(burst, available.burst_units)
        return Limit(rate, burst) if burst >= self.min_units else NO_LIMIT

    def _available_to(self, holder: _HolderState) -> Limit:
        """Returns the part of the limit that the other holders leave."""
        own = holder.greatest
        return Limit(
            self.limit.rate_per_s - (self._outstanding_per_s - own.rate_per_s),
            self.limit.burst_units - (self._outstanding_units - own.burst_units),
        )

    def _plan_shares(self, now: int) -> None:
        """Computes max-min fair shares, several times a heartbeat instead of for every request.

        No holder gets more than its demand while another gets less than its fair part; a rest that is left
        when all demands are met goes to all by demand.
        """
        wanting = [holder for holder in self.holders.values() if holder.wants_share()]
        self._planned_at_ns = now
        self._planned_holders = len(self.holders)
        self._wanting_holders = max(1, len(wanting))
        self._min_share_per_s = self._smallest_share()
        demands = sorted(max(self._min_share_per_s, holder.demand_per_s) for holder in wanting)
        left = self.limit.rate_per_s
        self._fair_share_per_s = self.limit.rate_per_s
        self._surplus_factor = 1.0
        for number, rate in enumerate(demands):
            part = left / (len(demands) - number)
            if rate > part:
                self._fair_share_per_s = part
                return
            left -= rate
        self._surplus_factor = self.limit.rate_per_s / max(1e-9, self.limit.rate_per_s - left)

    def _smallest_share(self) -> float:
        """Returns the units a second that every holder with demand gets.

        They suffice for one request in a lease if that takes no more than half of the rate for all holders.
        """
        limit = self.limit
        one_request = SPARE_FOR_REQUEST * limit.rate_per_s * self.min_units
        one_request /= max(self.min_units, limit.burst_units)
        smallest = MIN_SHARE_PART * limit.rate_per_s / self._wanting_holders
        if one_request * self._wanting_holders <= limit.rate_per_s / 2:
            return max(smallest, one_request)
        return max(smallest, 0.0)
