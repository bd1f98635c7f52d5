"""Keeps the requests without a final answer, and their attempts in flight."""

from __future__ import annotations

from .actions import StartAttempt
from .backlog_limit import BacklogLimit
from .commitment import Commitment
from .concurrency_model import QueueModel
from .load_balancer import LoadBalancer
from .open_request import OpenRequest
from .quota import Quota
from .retry_policy import RetryPolicy

# A response counts as lost if attempts that started this many latencies later were answered first.
LOST_AFTER_LATENCIES = 4.0


class RequestTable:
    """Holds the open requests of one service at this gateway."""

    def __init__(
        self,
        quota: Quota,
        model: QueueModel,
        load_balancer: LoadBalancer,
        retry_policy: RetryPolicy,
        backlog_limit: BacklogLimit,
    ) -> None:
        self._quota = quota
        self._model = model
        self._load_balancer = load_balancer
        self._retry_policy = retry_policy
        self._backlog_limit = backlog_limit
        self.open_requests: dict[int, OpenRequest] = {}  # by request number, including queued ones
        self.attempts: dict[tuple[int, int], OpenRequest] = {}  # by request and attempt number
        self.in_flight = 0  # attempts
        self.presumed_lost = 0  # attempts in flight whose response is presumed lost, as of the last tick

    def start_attempt(self, now: int, request: OpenRequest) -> StartAttempt | None:
        """Starts an attempt of the request, preferably at a backend that was not tried yet.

        The result is None if the deadline has passed, the attempts are used up or no backend may get one.
        """
        arrival = request.arrival
        if now >= arrival.expires_at_ns or request.attempts_started >= request.max_attempts:
            return None
        is_allowed = self._retry_policy.allowed_backends(now, request)
        class_and_plan = arrival.request_class, arrival.plan
        balancer = self._load_balancer
        state = balancer.choose(now, class_and_plan, request.tried_backends, is_allowed)
        state = state or balancer.choose(now, class_and_plan, set(), is_allowed)
        if state is None:
            return None
        balancer.attempt_started(now, state)
        request.tried_backends.add(state.backend.id)
        self.attempts[arrival.request, request.attempts_started] = request
        if not request.may_have_executed:
            request.deduplicated_from_ns = now
            request.deduplicated_by = state.backend
        request.attempts_started += 1
        request.attempts_in_flight += 1
        request.last_attempt_at_ns = now
        self.count_attempts(request, 1)
        return StartAttempt(
            arrival.request,
            state.backend.id,
            self._retry_policy.attempt_timeout_ns(now, request),
            self._retry_policy.not_after_ns(request),
        )

    def count_attempts(self, request: OpenRequest, change: int) -> None:
        """Changes the number of the request's attempts in flight."""
        self.in_flight += change
        request.commitment.in_flight += change
        if request.arrival.is_client_backlogged:
            self._backlog_limit.in_flight += change
        self._quota.count_attempts(request.account, change)

    def outstanding(self, now: int, queued: int) -> list[tuple[int, int]]:
        """Returns class and age in ns of the requests that wait for a response.

        If attempts that started much later have been answered, a response is presumed lost. Its request does
        not wait in a shared queue and is no sign of overload. Such requests are counted in `presumed_lost`
        instead. `queued` is the number of requests without an attempt.
        """
        lost_after_ns = [LOST_AFTER_LATENCIES * latency.value for latency in self._model.latency]
        newest_answered_ns = self._load_balancer.outliers.newest_answered_ns

        def is_lost(request: OpenRequest) -> bool:
            limit_ns = lost_after_ns[request.arrival.request_class]
            return limit_ns > 0.0 and newest_answered_ns - request.last_attempt_at_ns > limit_ns

        outstanding = [
            (request.arrival.request_class, now - request.last_attempt_at_ns)
            for request in self.open_requests.values()
            if request.attempts_started and not request.first_byte_after_ns and not is_lost(request)
        ]
        self.presumed_lost = len(self.open_requests) - queued - len(outstanding)
        return outstanding

    def busy_commitments(self) -> list[Commitment]:
        """Returns the commitments that have an attempt in flight, each once."""
        busy = {id(request.commitment): request.commitment for request in self.attempts.values()}
        return list(busy.values())

    def responses_expected(self) -> int:
        """Returns the number of attempts in flight whose response is not presumed lost."""
        return self.in_flight - self.presumed_lost
