"""Between the decision module and the lease manager: requests in, calls and `AllocationChanged` out.

The same object runs in a gateway and in simulation; its host sends the calls and hands the events to the
decision module, in the order given. No I/O.
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
    """A plan's limits for the lease manager; None where it has none. `largest_request_units`: of one request.

    The smallest share holds one request in every bucket, and one attempt where those in flight are
    limited."""
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
    """One gateway's client of the shared counter.

    Call `before_request` before each request, `on_shortage` for each `RequestAllocation`, `tick` when
    `due_ns` has come, `on_reply` and `on_failure` for each call."""

    def __init__(
        self, settings: Settings, partitions: int, incarnation: int, seed: int, now: int, usage: UsageCount
    ) -> None:
        """`usage`: of a tenant here, which is queried whenever a claim goes out."""
        self._settings = settings
        self._plans = settings.plans
        self.manager = LeaseManager(
            settings.gateway_index, settings.gateway_count, partitions, incarnation, seed, now, usage
        )
        self._terms: dict[tuple[int, int, int], LeaseTerms | None] = {}
        self._plan_index: dict[int, int] = {}  # by tenant

    @property
    def due_ns(self) -> int:
        """When `tick` is to be called next, ns."""
        return self.manager.due_ns

    def change_plans(self, plans: tuple[Plan, ...]) -> None:
        """Other limits: taken up with each tenant's next request."""
        self._plans = plans
        self._terms.clear()

    def before_request(
        self, now: int, tenant: int, plan: int, units: float, gateway_span: int, first_gateway: int
    ) -> list[Action]:
        """To be called, and its actions carried out, before the decision module gets the request."""
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
        """`gateway_span` gateways in a row from the first one on; 0: all of them."""
        count = self._settings.gateway_count
        if gateway_span < 1:
            return tuple(range(count))
        return tuple((first_gateway + offset) % count for offset in range(min(gateway_span, count)))

    def on_shortage(self, now: int, tenant: int) -> list[Action]:
        """The decision module has too little for a request of this tenant that it queues."""
        return self._actions(self.manager.on_shortage(now, tenant))

    def tick(self, now: int) -> list[Action]:
        """What is due at `now`, ns."""
        return self._actions(self.manager.tick(now))

    def on_reply(self, now: int, call_id: int, reply: Reply) -> list[Action]:
        """The counter's reply to a call."""
        return self._actions(self.manager.on_reply(now, call_id, reply))

    def on_failure(self, now: int, call_id: int) -> list[Action]:
        """A call had no reply, or none that can be read."""
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
