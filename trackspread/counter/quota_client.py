"""Between the decision module and the lease manager: requests and wants in, calls and `RightsChanged` out.

The same object stands in a running gateway and in virtual time; whoever hosts it sends the calls and hands
the events to the module, in the order given.

May know: the module's vocabulary, the lease manager. May not know: sockets, the module itself.
"""

from __future__ import annotations

from ..decide.events import AllocationChanged
from ..decide.settings import Plan, Settings
from .lease_manager import LeaseManager, Output, UsageCount
from .terms import GUARANTEED, Call, Grant, Reply, Terms

Action = Call | AllocationChanged


def terms_of(plan: Plan, largest: float, slots: tuple[int, ...]) -> Terms | None:
    """A plan's figures for the lease manager; None where it has no limits. `largest`: units of the largest
    request.

    The least share holds one request in every store, and one place where open attempts are limited."""
    needs = [largest / plan.burst_units] if plan.rate_per_s else []
    if plan.hard_limit_per_s:
        needs.append(largest / (plan.hard_limit_burst_units * (1.0 - GUARANTEED)))
    if plan.concurrency_limit:
        needs.append(1.0 / plan.concurrency_limit)
    if not needs:
        return None
    rate, burst = (
        (plan.rate_per_s, plan.burst_units)
        if plan.rate_per_s
        else (plan.hard_limit_per_s, plan.hard_limit_burst_units)
    )
    return Terms(rate, burst, min(1.0, max(needs)), slots, plan.concurrency_limit > 0)


class QuotaClient:
    """`before` each request, `wanted` for each `WantRights`, `tick` when `due`; `answered`, `failed`."""

    def __init__(
        self, settings: Settings, partitions: int, incarnation: int, seed: int, now: int, store: UsageCount
    ) -> None:
        """`store`: the module's `Quota.kept`, which is asked whenever a claim goes out."""
        self._settings, self._plans = settings, settings.plans
        self.manager = LeaseManager(
            settings.gateway_index, settings.gateway_count, partitions, incarnation, seed, now, store
        )
        self._terms: dict[tuple[int, int, int], Terms | None] = {}
        self._index: dict[int, int] = {}  # by customer: of its plan

    @property
    def due(self) -> int:
        """When `tick` is to be called next, ns."""
        return self.manager.due

    def replan(self, plans: tuple[Plan, ...]) -> None:
        """Other figures: taken up with each customer's next request."""
        self._plans = plans
        self._terms.clear()

    def before(
        self, now: int, customer: int, plan: int, units: float, spread: int, first: int
    ) -> list[Action]:
        """To be called, and its actions done, before the module sees the request."""
        key = plan, spread, first
        if key not in self._terms:
            n = self._settings.gateway_count
            named = tuple((first + i) % n for i in range(min(spread, n))) if spread >= 1 else tuple(range(n))
            self._terms[key] = terms_of(self._plans[plan], self._settings.largest_request_units, named)
        terms = self._terms[key]
        if terms is None:
            return []
        self._index[customer] = plan
        return self._actions(self.manager.asked(now, customer, terms, units))

    def wanted(self, now: int, customer: int) -> list[Action]:
        """The module has too little for a request of this customer that it holds."""
        return self._actions(self.manager.short(now, customer))

    def tick(self, now: int) -> list[Action]:
        """What is due at `now`, ns."""
        return self._actions(self.manager.tick(now))

    def answered(self, now: int, number: int, reply: Reply) -> list[Action]:
        """The counter's reply to call `number`."""
        return self._actions(self.manager.answered(now, number, reply))

    def failed(self, now: int, number: int) -> list[Action]:
        """Call `number` had no answer, or none that can be read."""
        return self._actions(self.manager.failed(now, number))

    def _actions(self, out: list[Output]) -> list[Action]:
        made: list[Action] = []
        for each in out:
            if not isinstance(each, Grant):
                made.append(each)
            elif each.member in self._index:
                plan = self._index[each.member]
                made.append(
                    AllocationChanged(
                        each.member,
                        plan,
                        each.soft,
                        each.hard,
                        each.places,
                        each.taken,
                        each.level,
                        each.more,
                    )
                )
                if each.member not in self.manager.leases:
                    del self._index[each.member]
        return made
