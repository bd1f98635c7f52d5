"""Holds a forwarder's part of one limit of a tenant: the tokens of its lease and of its static share.

Rules:
- A lease counts from when it was requested, and ends earlier by the clock drift. Its tokens expire with it.
- A grant is accepted only in answer to the open request, in place of exactly the lease that the request
  names, and only under an epoch no older than the newest seen. Late, duplicate, reordered and stale grants
  have no effect.
- The static share starts empty and needs no planner, so no request is rejected only because no planner
  answers.
- A soft limit's lease that has expired is refilled for `SOFT_EXTENSION_NS` more without a new grant.

A holder knows its own clock and accepts grants in any order; it knows nothing of other forwarders, nor which
planner granted a lease.
"""

from __future__ import annotations

from math import exp

from ..decide.time_units import MILLISECOND, SECOND
from .limits import Limit, TenantLimit
from .messages import NO_LEASE, Grant, LeaseNumber, LeaseRequest
from .timing import CLOCK_DRIFT, LEASE_NS, SOFT_EXTENSION_NS

# Time constants of the mean demand. The first smooths over a heartbeat and follows a change within two; the
# slow one is for tenants that would lose their lease between two requests.
DEMAND_MEMORY_NS = 600 * MILLISECOND
SLOW_DEMAND_MEMORY_NS = 8 * SECOND
# Units a second up to which the slow mean counts, so that a busy tenant that moves gives up its share here.
SLOW_DEMAND_UNITS = 1.0
HELD_NS = int(LEASE_NS * (1.0 - CLOCK_DRIFT))  # the duration of a lease here, on a clock that may run slow


class LeaseHolder:
    """Spends the tokens of a lease and of a static share, and requests the next lease.

    The forwarder calls `may_spend` for each request and `spend` if it is forwarded, `next_request` at each
    heartbeat, and `accept` for each grant.
    """

    def __init__(self, tenant_limit: TenantLimit, static_part: float, now: int) -> None:
        """Takes in `static_part` the fraction of the limit that is the static share here."""
        limit = tenant_limit.limit
        self.static_limit = Limit(
            limit.rate_per_s * static_part / (1.0 + CLOCK_DRIFT), limit.burst_units * static_part
        )
        self._extension_ns = SOFT_EXTENSION_NS if tenant_limit.is_soft else 0
        self.limit = Limit(0.0, 0.0)
        self.lease = NO_LEASE
        self.expires_at_ns = 0
        self.tokens = 0.0  # of the lease
        self.static_tokens = 0.0
        self.returned_tokens = 0.0  # since the last request
        self.waiting_units = 0.0  # of a request that any limit rejected since the last lease request
        self.refilled_at_ns = now
        self.epoch = 0
        self._open_request: tuple[int, int, LeaseNumber] = (-1, 0, NO_LEASE)  # sequence, time, base lease
        self._sequence = 0
        self._demand_per_s = 0.0
        self._slow_demand_per_s = 0.0
        self._requested_units = 0.0
        self._demand_measured_at_ns = now
        self._last_demand = 0.0, 0.0  # rate and waiting units of the last request

    def refill(self, now: int) -> None:
        """Refills both token buckets; the tokens of an expired lease are dropped."""
        end = self.expires_at_ns + self._extension_ns
        span = max(0, min(now, end) - self.refilled_at_ns) / SECOND
        self.tokens = min(self.limit.burst_units, self.tokens + self.limit.rate_per_s * span)
        self.static_tokens = min(
            self.static_limit.burst_units,
            self.static_tokens + self.static_limit.rate_per_s * (now - self.refilled_at_ns) / SECOND,
        )
        if now >= end and self.limit.burst_units:
            self.limit = Limit(0.0, 0.0)
            self.tokens = 0.0
            self.returned_tokens = 0.0
        self.refilled_at_ns = now

    def may_spend(self, now: int, units: float) -> bool:
        """Returns whether a request may be forwarded; its units count as demand either way."""
        self.refill(now)
        self._requested_units += units
        return self.tokens + self.static_tokens >= units

    def spend(self, units: float) -> None:
        """Spends the units of a request: the lease's tokens first, as those expire."""
        leased = min(self.tokens, units)
        self.tokens -= leased
        self.static_tokens -= units - leased

    def next_request(
        self, now: int, forwarder: int, incarnation: int, tenant: int, limit_index: int
    ) -> LeaseRequest:
        """Returns this heartbeat's request; a grant that answers an earlier one has no effect any more."""
        self.refill(now)
        span = max(1, now - self._demand_measured_at_ns)
        sample = self._requested_units * SECOND / span
        self._demand_per_s += (1.0 - exp(-span / DEMAND_MEMORY_NS)) * (sample - self._demand_per_s)
        self._slow_demand_per_s += (1.0 - exp(-span / SLOW_DEMAND_MEMORY_NS)) * (
            sample - self._slow_demand_per_s
        )
        slow = min(self._slow_demand_per_s, SLOW_DEMAND_UNITS)
        # After a rejection the demand is that of the newest sample, however little arrived before.
        urgent = sample if self.waiting_units else 0.0
        self._last_demand = max(self._demand_per_s, slow, urgent), self.waiting_units
        self._requested_units = 0.0
        self._demand_measured_at_ns = now
        self.waiting_units = 0.0
        return self._request(now, forwarder, incarnation, tenant, limit_index)

    def repeat_request(
        self, now: int, forwarder: int, incarnation: int, tenant: int, limit_index: int
    ) -> LeaseRequest:
        """Returns the last request with the present lease, so that a reduction is free for others at once."""
        self.refill(now)
        return self._request(now, forwarder, incarnation, tenant, limit_index)

    def _request(
        self, now: int, forwarder: int, incarnation: int, tenant: int, limit_index: int
    ) -> LeaseRequest:
        # The sequence follows the clock, so that it still grows when a tenant's state was dropped here and is
        # created again.
        self._sequence = max(self._sequence + 1, now)
        self._open_request = self._sequence, now, self.lease
        demand_per_s, waiting_units = self._last_demand
        request = LeaseRequest(
            forwarder=forwarder,
            incarnation=incarnation,
            sequence=self._sequence,
            tenant=tenant,
            limit_index=limit_index,
            base_lease=self.lease,
            held_limit=self.limit,
            tokens=self.tokens,
            returned_tokens=self.returned_tokens,
            demand_per_s=demand_per_s,
            waiting_units=waiting_units,
        )
        self.returned_tokens = 0.0
        return request

    def accept(self, now: int, grant: Grant) -> bool:
        """Applies a grant; returns False if it is stale and has no effect."""
        self.refill(now)
        sequence, requested_at_ns, base_lease = self._open_request
        if grant.sequence != sequence or grant.base_lease != base_lease or base_lease != self.lease:
            return False
        if grant.epoch < self.epoch or grant.lease <= self.lease or requested_at_ns + HELD_NS <= now:
            return False
        self.epoch = grant.epoch
        self.lease = grant.lease
        self.limit = grant.limit
        self.expires_at_ns = requested_at_ns + HELD_NS
        tokens = self.tokens + grant.tokens
        self.tokens = min(tokens, self.limit.burst_units)
        self.returned_tokens += tokens - self.tokens
        return True
