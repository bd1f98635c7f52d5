"""Admits or rejects requests by their tenants' quotas.

A request is decided at once where this gateway knows enough of the tenant's quota. Otherwise it is queued
until the quota owner, the shared counter or the host has answered.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from .actions import Action, RequestAllocation
from .commitment import Commitment
from .concurrency_model import QueueModel
from .open_request import OpenRequest
from .peer_messages import QuotaMessageKind
from .quota import FRESH_NS, UNITS_PER_ATTEMPT, Quota
from .rejection import rejection
from .request_table import RequestTable
from .retry_policy import RetryPolicy
from .settings import Settings
from .tenant_account import TenantAccount
from .time_units import TICK

ANSWER_TIMEOUT_NS = TICK // 2  # longer than a round trip between gateways, far below a latency objective
# A request is queued only if at least this much time remains before its deadline.
MIN_TIME_FOR_ANSWER_NS = 4 * TICK
FRESH_BALANCE_NS = FRESH_NS // 4  # age up to which a counter balance decides requests at once
# A correction of the counter at or below this value means that an attempt is counted though it has ended.
MISCOUNT_UNITS = -UNITS_PER_ATTEMPT / 2


class QuotaAdmission:
    """Admits requests within their tenants' quotas."""

    def __init__(
        self,
        settings: Settings,
        quota: Quota,
        model: QueueModel,
        requests: RequestTable,
        retry_policy: RetryPolicy,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self._quota = quota
        self._model = model
        self._requests = requests
        self._retry_policy = retry_policy
        self._rng = rng
        self.queued: dict[int, OpenRequest] = {}  # by the number of the query whose answer they wait for

    def decide(self, now: int, request: OpenRequest) -> list[Action]:
        """Admits or rejects a request, or queues it until an answer arrives."""
        quota = self._quota
        account = request.account
        plan = account.plan
        pays_overage = plan.overage_weight > plan.overage_cost and not self._model.is_congested
        # A request is decided by a fresh balance at once, and its use is reported afterwards.
        is_balance_fresh = quota.uses_counter and now - account.tokens_known_at_ns < FRESH_BALANCE_NS
        request.balances_before = account.balances()
        if is_balance_fresh or quota.is_local(account):
            return self._decide_locally(now, request, pays_overage, is_balance_fresh)
        return self._decide_by_query(now, request, pays_overage)

    def _decide_locally(
        self, now: int, request: OpenRequest, pays_overage: bool, reports_use: bool
    ) -> list[Action]:
        quota = self._quota
        account = request.account
        arrival = request.arrival
        has_capacity = pays_overage or quota.has_capacity(now, account, arrival.units)
        if has_capacity and quota.spend(account, arrival.units, pays_overage):
            return self.admit(now, request, reports_use) + quota.request_transfer(now, account)
        if (
            account.lease.more_expected
            and not request.queued_at_ns
            and self._has_time_for_answer(now, request)
        ):
            self._queue(now, quota.next_query(), request)
            return [RequestAllocation(arrival.tenant)]
        account.rejection_reason = quota.exceeded_limit(now, account, arrival.units)
        return [rejection(arrival, self.settings), *quota.request_transfer(now, account)]

    def _decide_by_query(self, now: int, request: OpenRequest, pays_overage: bool) -> list[Action]:
        """Asks the quota owner or the counter, and queues the request until the answer arrives."""
        quota = self._quota
        account = request.account
        plan = account.plan
        if not pays_overage and quota.is_known_spent(account, request.arrival.units):
            return [rejection(request.arrival, self.settings)]
        if not self._may_query(account):
            return self._decide_without_answer(now, request)
        if pays_overage and not plan.hard_limit_per_s:
            return self.admit(now, request, quota.counter_call_rate >= 1.0)
        has_time = self._has_time_for_answer(now, request)
        if not has_time and plan.concurrency_limit and quota.has_owner(account):
            # The owner would grant the request and count an attempt in flight that is never started.
            return self._decide_without_answer(now, request)
        number, query = quota.query(now, account, request.arrival.units, QuotaMessageKind.REQUEST)
        if not has_time:
            return [query, *self._decide_without_answer(now, request)]
        self._queue(now, number, request)
        return [query]

    def _may_query(self, account: TenantAccount) -> bool:
        quota = self._quota
        if quota.has_owner(account):
            return True
        return quota.uses_counter and self._rng.random() < quota.counter_call_rate

    @staticmethod
    def _has_time_for_answer(now: int, request: OpenRequest) -> bool:
        return request.arrival.expires_at_ns - now >= MIN_TIME_FOR_ANSWER_NS

    def _queue(self, now: int, query: int, request: OpenRequest) -> None:
        request.queued_at_ns = now
        self.queued[query] = request
        self._requests.open_requests[request.arrival.request] = request

    def _decide_without_answer(self, now: int, request: OpenRequest) -> list[Action]:
        request.balances_before = request.account.balances()
        if self._quota.spend_without_answer(now, request.account, request.arrival.units):
            return self.admit(now, request, False)
        return [rejection(request.arrival, self.settings)]

    def admit(self, now: int, request: OpenRequest, reports_use: bool) -> list[Action]:
        """Starts the first attempt of a request that is within its quota.

        `reports_use` says whether the units used are reported to the owner or the counter.
        """
        quota = self._quota
        arrival = request.arrival
        account = request.account
        attempt = self._requests.start_attempt(now, request)
        if attempt is None:
            account.refund(account.taken_since(request.balances_before))
            return [rejection(arrival, self.settings)]
        self._requests.open_requests[arrival.request] = request
        self._retry_policy.count_request()
        if reports_use or quota.has_owner(account):
            request.counted_remotely = True
        if quota.has_owners and not quota.is_local(account):
            account.count_forwarded(arrival.units)
        request.balances_taken = account.taken_since(request.balances_before)
        quota.request_started(now, request, max(0.0, request.balances_taken.hard_limit_tokens))
        if not reports_use:
            return [attempt]
        return [attempt, quota.query(now, account, arrival.units, QuotaMessageKind.SPENT)[1]]

    def handle_answer(
        self, now: int, query: int, granted: bool | None, preceding: list[Action]
    ) -> list[Action]:
        """Admits or rejects the request that waits for this query.

        `granted` is None if no answer arrived; this gateway then decides alone. `preceding` holds actions
        that are returned before those of the request.
        """
        request = self.queued.pop(query, None)
        if request is None:
            return preceding
        account = request.account
        request.counted_remotely = granted is True
        request.balances_before = account.balances()
        if self._quota.has_owner(account):
            account.pending_queries -= 1
        actions = list(preceding)
        if self._requests.open_requests.pop(request.arrival.request, None):
            if granted is None:
                actions += self._decide_without_answer(now, request)
            elif granted:
                actions += self.admit(now, request, False)
            else:
                actions.append(rejection(request.arrival, self.settings))
        return actions + self.release(now, request)

    def allocation_changed(self, now: int, tenant: int) -> list[Action]:
        """Decides the tenant's queued requests under this gateway's new allocation."""
        numbers = [number for number, request in self.queued.items() if request.account.tenant == tenant]
        waiting = [self.queued.pop(number) for number in numbers]
        open_requests = self._requests.open_requests
        still_open = [each for each in waiting if open_requests.pop(each.arrival.request, None)]
        return [action for request in still_open for action in self.decide(now, request)]

    def reject_queued(self) -> list[Action]:
        """Rejects all queued requests, because the answers to their queries now go to another process."""
        waiting = list(self.queued.values())
        self.queued.clear()
        for request in waiting:
            request.account.pending_queries = 0
        open_requests = self._requests.open_requests
        return [
            rejection(request.arrival, self.settings)
            for request in waiting
            if open_requests.pop(request.arrival.request, None)
        ]

    def resolve_overdue(self, now: int) -> list[Action]:
        """Decides queued requests whose answer did not arrive within `ANSWER_TIMEOUT_NS`."""
        overdue = [
            query for query, request in self.queued.items() if now - request.queued_at_ns >= ANSWER_TIMEOUT_NS
        ]
        return [action for query in overdue for action in self.handle_answer(now, query, None, [])]

    def correct_counter(self, now: int, commitments: Iterable[Commitment]) -> list[Action]:
        """Corrects counters that still count attempts which have ended.

        Such attempts would fill the tenant's concurrency limit for good.
        """
        quota = self._quota
        if not quota.uses_counter:
            return []
        miscounted = [
            each.account for each in commitments if each.account.counter.correction_units <= MISCOUNT_UNITS
        ]
        return [
            quota.call_counter(now, account, 0.0)
            for account in miscounted
            if self._rng.random() < quota.counter_call_rate
        ]

    def release(self, now: int, request: OpenRequest) -> list[Action]:
        """Reports to the owner or the counter that the request has no attempt in flight any more."""
        if request.attempts_in_flight or not request.counted_remotely:
            return []
        request.counted_remotely = False
        return self._quota.release(now, request.account)
