"""Keeps the commitment table: what each tenant's commitment requests, and the cap that it is granted.

A commitment begins with a tenant's first request and ends when no request has arrived for
`IDLE_COMMITMENT_NS`. Without congestion it is granted what it requests. Under congestion the queue model and
the seven cases determine how much is possible in addition to the other commitments.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from math import ceil, inf
from typing import NamedTuple

from .commitment import Commitment
from .competing_commitments import MIN_IN_FLIGHT, CompetingCommitments
from .concurrency_model import QueueModel
from .decaying_mean import SHORT_TERM, DecayingMean
from .quota import Quota
from .settings import RequestClass
from .seven_cases import seven_cases
from .tenant_account import TenantAccount
from .time_units import SECOND, TICK

# Long enough for the model to be fitted, and short compared with a burst of requests.
EVALUATION_INTERVAL_NS = 2 * SECOND
# A commitment ends after this time without requests; it is longer than the gaps of a steady tenant.
IDLE_COMMITMENT_NS = 10 * SECOND
# Evaluations in one tick. Under congestion each may look at every level of the model.
MAX_EVALUATIONS = 200
MAX_CONGESTED_EVALUATIONS = 100
MIN_REQUESTED = 2  # the fewest requests in flight that a commitment requests
PRIORITY_GAIN = 0.2  # weight of one request's priority in the moving average of its commitment
# Growth of the tolerated wait with each request, so that a class that has not been used for long stops
# bounding it.
MAX_WAIT_GROWTH = 1.01


class DueEvaluation(NamedTuple):
    """Holds when a commitment was evaluated; out of date once it has been evaluated again."""

    evaluated_at_ns: int
    tenant: int


class RequestedCapacity(NamedTuple):
    """Holds what a commitment requests: requests in flight and requests per second."""

    concurrency: int
    min_throughput_per_s: float


class CommitmentTable:
    """Holds all commitments to one service at this gateway.

    The work of a tick is bounded, whatever the number of commitments: it samples those that have requests in
    flight or recently had, and evaluates a limited number, the longest due first.
    """

    def __init__(self, model: QueueModel, quota: Quota, now: int) -> None:
        self._model = model
        self._quota = quota
        quota.on_account_removed.append(self._forget)
        self.by_tenant: dict[int, Commitment] = {}  # an entry exists as long as the tenant's account
        self.active: dict[int, Commitment] = {}  # commitments that have a cap, by tenant
        self._loaded: dict[int, Commitment] = {}  # those with a mean in flight worth counting, by tenant
        self._due: deque[DueEvaluation] = deque()  # in the order of their last evaluations
        self._sampled_at_ns = now  # the last tick, or the start
        self._competing = CompetingCommitments()  # filled at each tick, under congestion only

    def of_account(self, now: int, account: TenantAccount) -> Commitment:
        """Returns the tenant's commitment; creates one without a cap if there is none."""
        found = self.by_tenant.get(account.tenant)
        if found is None or found.account is not account:
            found = Commitment(
                account, now, -EVALUATION_INTERVAL_NS, DecayingMean(SHORT_TERM), DecayingMean(SHORT_TERM)
            )
            self.by_tenant[account.tenant] = found
        return found

    def count_arrival(
        self,
        now: int,
        commitment: Commitment,
        request_class: RequestClass,
        priority: float,
        max_wait_ns: float,
    ) -> None:
        """Counts a request of the commitment. `priority` is its priority weight per ns of service time."""
        commitment.priority += PRIORITY_GAIN * (priority - commitment.priority)
        if commitment.max_wait_ns:
            commitment.max_wait_ns = min(commitment.max_wait_ns, max_wait_ns) * MAX_WAIT_GROWTH
        else:
            commitment.max_wait_ns = max_wait_ns
        commitment.latency_objective_ns = max(
            commitment.latency_objective_ns, request_class.latency_objective_ns
        )
        if not commitment.cap:
            self.evaluate(now, commitment)

    def sample_in_flight(self, now: int, busy: Iterable[Commitment]) -> None:
        """Samples the requests in flight at a tick; `busy` holds all commitments that have any.

        The others have had none since their last sample, which counts as a sample of 0 at each tick.
        """
        for commitment in busy:
            tenant = commitment.account.tenant
            if tenant not in self._loaded and self.active.get(tenant) is commitment:
                self._add_samples_of_zero(commitment)
                self._loaded[tenant] = commitment
        self._sampled_at_ns = now
        for tenant, commitment in list(self._loaded.items()):
            commitment.mean_in_flight.add(now, commitment.in_flight)
            commitment.sampled_at_ns = now
            if not commitment.in_flight and commitment.mean_in_flight.value <= MIN_IN_FLIGHT:
                del self._loaded[tenant]

    def _add_samples_of_zero(self, commitment: Commitment) -> None:
        """Adds the samples that are missing up to the last tick, as nothing was in flight."""
        if commitment.sampled_at_ns >= self._sampled_at_ns:
            return
        commitment.mean_in_flight.add_regularly(commitment.sampled_at_ns, self._sampled_at_ns, 0.0, TICK)
        commitment.sampled_at_ns = self._sampled_at_ns

    def complete_samples(self) -> None:
        """Adds all missing samples, so that the commitments can be exported."""
        for commitment in self.active.values():
            self._add_samples_of_zero(commitment)

    def evaluate_due(self, now: int) -> None:
        """Evaluates commitments that were last evaluated `EVALUATION_INTERVAL_NS` ago, and ends idle ones."""
        is_congested = self._model.is_congested
        self._competing = CompetingCommitments(self._loaded.values() if is_congested else ())
        most = MAX_CONGESTED_EVALUATIONS if is_congested else MAX_EVALUATIONS
        due: list[Commitment] = []
        for commitment in self._take_due(now, most):
            if now - commitment.last_request_ns > IDLE_COMMITMENT_NS and not commitment.in_flight:
                commitment.cap = 0
                del self.active[commitment.account.tenant]
            else:
                due.append(commitment)
        self._evaluate_each(now, due)

    def _take_due(self, now: int, most: int) -> list[Commitment]:
        """Returns at most `most` active commitments whose evaluation is due, the longest due first."""
        taken: list[Commitment] = []
        while self._due and len(taken) < most:
            evaluated_at_ns, tenant = self._due[0]
            if now - evaluated_at_ns < EVALUATION_INTERVAL_NS:
                break
            self._due.popleft()
            commitment = self.active.get(tenant)
            if commitment is not None and commitment.evaluated_at_ns == evaluated_at_ns:
                taken.append(commitment)
        return taken

    def evaluate_all(self, now: int) -> int:
        """Evaluates all commitments and returns how many were granted less than they request."""
        evaluated = self._evaluate_each(now, self.active.values())
        return sum(each.cap < self.requested(now, each).concurrency for each in evaluated)

    def _evaluate_each(self, now: int, commitments: Iterable[Commitment]) -> list[Commitment]:
        """Evaluates these commitments in ascending order of priority, so that the lowest are cut first."""
        in_order = sorted(commitments, key=lambda each: (each.priority, each.account.tenant))
        for commitment in in_order:
            self.evaluate(now, commitment)
        return in_order

    def requested(self, now: int, commitment: Commitment) -> RequestedCapacity:
        """Returns what the commitment requests.

        Its concurrency is this gateway's share of the plan's rate over one latency objective plus the same
        share of the burst. If the plan has no rate, it is at least the plan's concurrency limit.
        """
        account = commitment.account
        demand = commitment.demand
        requests_per_unit = self._quota.local_share(now, account) / (demand.value or 1.0)
        rate_per_s = account.plan.rate_per_s * requests_per_unit
        burst = account.plan.burst_units * requests_per_unit
        concurrency = ceil(rate_per_s * commitment.latency_objective_ns / SECOND + burst)
        if not account.plan.rate_per_s:
            concurrency = max(concurrency, account.plan.concurrency_limit)
        return RequestedCapacity(max(MIN_REQUESTED, concurrency), min(rate_per_s, demand.rate_per_s(now)))

    def evaluate(self, now: int, commitment: Commitment) -> None:
        """Evaluates the commitment and grants it a cap."""
        if self.active.get(commitment.account.tenant) is not commitment:
            commitment.sampled_at_ns = self._sampled_at_ns
        commitment.evaluated_at_ns = now
        self._activate(commitment)
        requested = self.requested(now, commitment)
        commitment.min_throughput_per_s = requested.min_throughput_per_s
        if not self._model.is_congested:
            commitment.cap = requested.concurrency
            return
        in_use = ceil(commitment.mean_in_flight.value)
        commitment.cap = max(1, self._offered(commitment, max(requested.concurrency, in_use)))
        self._competing.update(commitment)

    def _activate(self, commitment: Commitment) -> None:
        self.active[commitment.account.tenant] = commitment
        self._due.append(DueEvaluation(commitment.evaluated_at_ns, commitment.account.tenant))

    def restore(self, commitment: Commitment) -> None:
        """Continues a commitment of another process, as it was last evaluated there."""
        commitment.sampled_at_ns = max(self._sampled_at_ns, commitment.mean_in_flight.updated_at_ns)
        self._activate(commitment)
        self._loaded[commitment.account.tenant] = commitment

    def _offered(self, commitment: Commitment, requested: int) -> int:
        """Returns the concurrency that the seven cases offer under congestion."""
        model = self._model
        others = self._competing.without(commitment)
        others_max_wait_ns = others.max_wait_ns if others.max_wait_ns != inf else commitment.max_wait_ns

        def wait_ns(in_flight: int) -> float:
            return model.response_time_ns(others.in_flight + in_flight) - model.delay_ns

        def is_fast(in_flight: int) -> bool:
            return wait_ns(in_flight) <= commitment.max_wait_ns

        def is_throughput_met(in_flight: int) -> bool:
            response_time_ns = model.delay_ns + wait_ns(in_flight)
            return in_flight * SECOND >= commitment.min_throughput_per_s * response_time_ns

        def preserves_others(in_flight: int) -> bool:
            wait = wait_ns(in_flight)
            return wait <= others_max_wait_ns and model.delay_ns + wait <= others.max_response_time_ns

        levels = len(model.response_times_ns)
        return seven_cases(requested, levels, is_fast, is_throughput_met, preserves_others)

    def _forget(self, tenant: int) -> None:
        """Removes the commitment of a tenant whose account is gone."""
        self.by_tenant.pop(tenant, None)
        self.active.pop(tenant, None)
        self._loaded.pop(tenant, None)
