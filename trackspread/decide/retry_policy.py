"""Retries: whether a request may be attempted again, where (rule 2), and how long an attempt may take."""

from __future__ import annotations

from .backends import Backend
from .concurrency_model import QueueModel
from .load_balancer import BackendFilter
from .open_request import OpenRequest
from .outlier_ejection import OutlierDetector
from .settings import DeduplicationScope, Idempotency, Settings

RETRIES_PER_REQUEST = 0.1  # that the budget grows by: keeps a failing service from getting twice its load
MAX_RETRY_TOKENS = 10.0  # retries that may be saved up
TIMEOUT_RATE_FOR_TIMEOUTS = 0.05  # part of recent attempts without a response from which attempts time out
TIMEOUT_OBJECTIVE_DIVISOR = 2  # of the latency objective: the shortest timeout, leaves time for a retry
TIMEOUT_LATENCIES = 3  # recent latencies that an attempt may take at least


def _any_backend(backend: Backend) -> bool:
    return True


def _no_backend(backend: Backend) -> bool:
    return False


class RetryPolicy:
    """The retry budget, and what a request's class allows once an attempt may have executed."""

    def __init__(self, settings: Settings, model: QueueModel, outliers: OutlierDetector) -> None:
        self.settings = settings
        self._model = model
        self._outliers = outliers
        self.tokens = MAX_RETRY_TOKENS  # retries that the budget covers

    def count_request(self) -> None:
        """A request has had its first attempt."""
        self.tokens = min(MAX_RETRY_TOKENS, self.tokens + RETRIES_PER_REQUEST)

    def count_retry(self) -> None:
        """A request has had another attempt."""
        self.tokens -= 1.0

    def may_retry(self, request: OpenRequest) -> bool:
        """Whether the class and the budget allow another attempt."""
        if self.tokens < 1.0:
            return False
        return not request.may_have_executed or self._idempotency(request) is not Idempotency.NOT_IDEMPOTENT

    def may_reject(self, request: OpenRequest) -> bool:
        """Whether the client may repeat the request without harm, to any backend."""
        if not request.may_have_executed:
            return True
        request_class = self.settings.classes[request.arrival.request_class]
        if request_class.idempotency is Idempotency.WITH_KEY:
            return request_class.deduplication_scope is DeduplicationScope.ALL
        return request_class.idempotency is Idempotency.IDEMPOTENT

    def allowed_backends(self, now: int, request: OpenRequest) -> BackendFilter:
        """Rule 2: where a request with an idempotency key that may have executed may be attempted again: at
        backends that still remember the key."""
        request_class = self.settings.classes[request.arrival.request_class]
        first = request.deduplicated_by
        if not request.may_have_executed or first is None:
            return _any_backend
        if request_class.idempotency is not Idempotency.WITH_KEY:
            return _any_backend
        if now - request.deduplicated_from_ns >= request_class.deduplication_window_ns:
            return _no_backend
        match request_class.deduplication_scope:
            case DeduplicationScope.ALL:
                return _any_backend
            case DeduplicationScope.ZONE:
                return lambda backend: backend.zone == first.zone
            case DeduplicationScope.CELL:
                return lambda backend: backend.cell == first.cell

    def not_after_ns(self, request: OpenRequest) -> int:
        """Until when an attempt may be sent: the end of the window in which backends remember the idempotency
        key of a request that may have executed; 0 where there is no such bound."""
        if not request.may_have_executed or self._idempotency(request) is not Idempotency.WITH_KEY:
            return 0
        request_class = self.settings.classes[request.arrival.request_class]
        return request.deduplicated_from_ns + request_class.deduplication_window_ns

    def attempt_timeout_ns(self, now: int, request: OpenRequest) -> int:
        """Timeout of an attempt; 0 for none. It guards against responses that were lost and backends that
        hang, where some did of late and a retry is allowed; it would do harm where all are slow."""
        number = request.arrival.request_class
        request_class = self.settings.classes[number]
        if request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
            return 0
        if request.attempts_started >= request.max_attempts or self._model.is_congested:
            return 0
        if self._outliers.recent_timeout_rate(now, number) < TIMEOUT_RATE_FOR_TIMEOUTS:
            return 0
        shortest_ns = request_class.latency_objective_ns // TIMEOUT_OBJECTIVE_DIVISOR
        return max(shortest_ns, int(TIMEOUT_LATENCIES * self._model.latency[number].value))

    def _idempotency(self, request: OpenRequest) -> Idempotency:
        return self.settings.classes[request.arrival.request_class].idempotency
