"""Applies the results of ended attempts to backend states, the model's latencies and tenants' quotas."""

from __future__ import annotations

from dataclasses import replace

from .concurrency_model import QueueModel
from .events import NOT_EXECUTED, AttemptEnded, Outcome
from .load_balancer import LoadBalancer
from .open_request import OpenRequest
from .settings import Settings

# Width of the range of metered use in which the probability of remaining capacity falls from 1 to 0. It is a
# part of the quota, and the range is centred on a fully used quota.
METERED_RANGE = 0.5
METERED_ALL_USED = 1.01  # a fully used quota; reports count from 1 percent, as 0 means that there is none

_NEVER_SENT = (Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


def grant_probability(quota_usage: int) -> float:
    """Returns the probability that the tenant's quota has capacity left.

    `quota_usage` is the meter's report: 1 plus the percentage used.
    """
    return min(1.0, max(0.0, 0.5 + (METERED_ALL_USED - quota_usage / 100) / METERED_RANGE))


class AttemptResults:
    """Passes the results of ended attempts on to the parts of the decision module that use them."""

    def __init__(self, settings: Settings, model: QueueModel, load_balancer: LoadBalancer) -> None:
        self._are_units_settled_later = settings.units_settled_later
        self._model = model
        self._load_balancer = load_balancer

    def record(self, now: int, request: OpenRequest, event: AttemptEnded) -> None:
        """Records the result of an ended attempt of the request."""
        account = request.account
        if event.quota_usage:
            account.grant_ratio.add(now, grant_probability(event.quota_usage))
        if request.first_byte_after_ns:
            request.commitment.streaming -= 1
            event = replace(event, elapsed_ns=request.first_byte_after_ns)
        latency = self._model.latency[request.arrival.request_class]
        if event.outcome is Outcome.OK:
            latency.add(now, event.elapsed_ns)
            if self._are_units_settled_later and event.actual_units:
                account.tokens -= event.actual_units - request.arrival.units
        class_and_plan = request.arrival.request_class, request.arrival.plan
        relative_latency = event.elapsed_ns / max(1.0, latency.value)
        self._load_balancer.attempt_ended(now, event, class_and_plan, relative_latency)
        if event.outcome not in NOT_EXECUTED:
            request.may_have_executed = True
        if event.outcome not in _NEVER_SENT:
            request.reached_backend = True
