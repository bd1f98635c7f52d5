"""Connects the decision module to the lease manager and turns requests into calls and `AllocationChanged`.

The same object runs in a gateway and in simulation. Its host sends the calls and passes the events to the
decision module, in the order given. The module does no I/O.
"""

from __future__ import annotations

from ..decide.events import AllocationChanged
from ..decide.settings import Plan, Settings
from .lease_manager import LeaseManager, Output, UsageCount
from .calls import Call, Grant, Reply
from .lease_terms import LeaseTerms
from .timing import GUARANTEED_PART

Action = Call | AllocationChanged


def terms_of(plan: Plan, largest_request_units: float, gateways: tuple[int, ...]) -> LeaseTerms | None:
    """Returns a plan's limits for the lease manager, or None if the plan has no limits.

    `largest_request_units` is the size of the largest request. The smallest share holds one such request in
    every token bucket, and one attempt if attempts in flight are limited.
    """
    shares = []
    if plan.rate_per_s:
        shares.append(largest_request_units / plan.burst_units)
    if plan.hard_limit_per_s:
        shares.append(largest_request_units / (plan.hard_limit_burst_units * (1.0 - GUARANTEED_PART)))
    if plan.concurrency_limit:
        shares.append(1.0 / plan.concurrency_limit)
    if not shares:
        return None
    return LeaseTerms(
        rate_per_s=plan.rate_per_s or plan.hard_limit_per_s,
        burst_units=plan.burst_units if plan.rate_per_s else plan.hard_limit_burst_units,
        min_share=min(1.0, max(shares)),
        gateways=gateways,
        limits_concurrency=plan.concurrency_limit > 0,
    )


class QuotaClient:
    """Is one gateway's client of the shared counter.

    The host calls `before_request` before each request, `on_shortage` for each `RequestAllocation`, `tick` at
    `due_ns`, and `on_reply` or `on_failure` for each call.
    """

    def __init__(
        self, settings: Settings, partitions: int, incarnation: int, seed: int, now: int, usage: UsageCount
    ) -> None:
        """Creates a client without leases; `usage` returns a tenant's usage here for each claim."""
        self._settings = settings
        self._plans = settings.plans
        self.manager = LeaseManager(
            settings.gateway_index, settings.gateway_count, partitions, incarnation, seed, now, usage
        )
        self._terms: dict[tuple[int, int, int], LeaseTerms | None] = {}
        self._plan_index: dict[int, int] = {}  # by tenant

    @property
    def due_ns(self) -> int:
        """Returns the time in ns at which `tick` is to be called next."""
        return self.manager.due_ns

    def change_plans(self, plans: tuple[Plan, ...]) -> None:
        """Replaces the plans; each tenant's new limits apply from its next request on."""
        self._plans = plans
        self._terms.clear()

    def before_request(
        self, now: int, tenant: int, plan: int, units: float, gateway_span: int, first_gateway: int
    ) -> list[Action]:
        """Returns the actions to carry out before the decision module gets the request."""
        key = plan, gateway_span, first_gateway
        if key not in self._terms:
            gateways = self._gateways_of(gateway_span, first_gateway)
            largest = self._settings.largest_request_units
            self._terms[key] = terms_of(self._plans[plan], largest, gateways)
        terms = self._terms[key]
        if terms is None:
            return []
        self._plan_index[tenant] = plan
        return self._actions(self.manager.before_request(now, tenant, terms, units))

    def _gateways_of(self, gateway_span: int, first_gateway: int) -> tuple[int, ...]:
        """Returns `gateway_span` consecutive gateways from the first one on, or all gateways for 0."""
        count = self._settings.gateway_count
        if gateway_span < 1:
            return tuple(range(count))
        return tuple((first_gateway + offset) % count for offset in range(min(gateway_span, count)))

    def on_shortage(self, now: int, tenant: int) -> list[Action]:
        """Returns the actions for a request that the decision module queued for lack of tokens."""
        return self._actions(self.manager.on_shortage(now, tenant))

    def tick(self, now: int) -> list[Action]:
        """Returns the actions that are due at `now`, which is in ns."""
        return self._actions(self.manager.tick(now))

    def on_reply(self, now: int, call_id: int, reply: Reply) -> list[Action]:
        """Returns the actions that follow from the counter's reply to a call."""
        return self._actions(self.manager.on_reply(now, call_id, reply))

    def on_failure(self, now: int, call_id: int) -> list[Action]:
        """Returns the actions that follow from a call without a reply, or with one that can't be parsed."""
        return self._actions(self.manager.on_failure(now, call_id))

    def _actions(self, outputs: list[Output]) -> list[Action]:
        actions: list[Action] = []
        for output in outputs:
            if isinstance(output, Call):
                actions.append(output)
            elif output.tenant in self._plan_index:
                actions.append(self._allocation(output))
                if output.tenant not in self.manager.leases:
                    del self._plan_index[output.tenant]
        return actions

    def _allocation(self, grant: Grant) -> AllocationChanged:
        return AllocationChanged(
            tenant=grant.tenant,
            plan=self._plan_index[grant.tenant],
            quota_share=grant.quota_share,
            hard_limit_share=grant.hard_limit_share,
            concurrency_share=grant.concurrency_share,
            used_elsewhere_units=grant.spent_elsewhere_units,
            tokens=grant.tokens,
            more_expected=grant.more_expected,
        )
