"""Decides whether a request may be retried, at which backends (rule 2), and the timeout of its attempts."""

from __future__ import annotations

from .backends import Backend
from .concurrency_model import QueueModel
from .load_balancer import BackendFilter
from .open_request import OpenRequest
from .outlier_ejection import OutlierDetector
from .settings import DeduplicationScope, Idempotency, Settings

# Growth of the budget with each request; keeps retries from doubling the load of a failing service.
RETRIES_PER_REQUEST = 0.1
MAX_RETRY_TOKENS = 10.0  # retries that may be saved up
# Attempts get a timeout if at least this part of recent attempts had no response.
TIMEOUT_RATE_FOR_TIMEOUTS = 0.05
# Part of the latency objective that the shortest timeout takes, as a divisor; it leaves time for a retry.
TIMEOUT_OBJECTIVE_DIVISOR = 2
TIMEOUT_LATENCIES = 3  # an attempt may take at least this many recent latencies


def _any_backend(backend: Backend) -> bool:
    return True


def _no_backend(backend: Backend) -> bool:
    return False


class RetryPolicy:
    """Holds the retry budget, and what a request's class allows once an attempt may have been executed."""

    def __init__(self, settings: Settings, model: QueueModel, outliers: OutlierDetector) -> None:
        self.settings = settings
        self._model = model
        self._outliers = outliers
        self.tokens = MAX_RETRY_TOKENS  # retries that the budget covers

    def count_request(self) -> None:
        """Counts the first attempt of a request."""
        self.tokens = min(MAX_RETRY_TOKENS, self.tokens + RETRIES_PER_REQUEST)

    def count_retry(self) -> None:
        """Counts a further attempt of a request."""
        self.tokens -= 1.0

    def may_retry(self, request: OpenRequest) -> bool:
        """Returns whether the class and the budget allow another attempt."""
        if self.tokens < 1.0:
            return False
        return not request.may_have_executed or self._idempotency(request) is not Idempotency.NOT_IDEMPOTENT

    def may_reject(self, request: OpenRequest) -> bool:
        """Returns whether the client may safely repeat the request, to any backend."""
        if not request.may_have_executed:
            return True
        request_class = self.settings.classes[request.arrival.request_class]
        if request_class.idempotency is Idempotency.WITH_KEY:
            return request_class.deduplication_scope is DeduplicationScope.ALL
        return request_class.idempotency is Idempotency.IDEMPOTENT

    def allowed_backends(self, now: int, request: OpenRequest) -> BackendFilter:
        """Returns a filter for the backends that may get the next attempt (rule 2).

        A request with an idempotency key that may have been executed may be retried only at backends that
        still remember the key.
        """
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
        """Returns the time until which an attempt may be sent, or 0 if there is no bound.

        The bound is the end of the window in which backends remember the idempotency key of a request that
        may have been executed.
        """
        if not request.may_have_executed or self._idempotency(request) is not Idempotency.WITH_KEY:
            return 0
        request_class = self.settings.classes[request.arrival.request_class]
        return request.deduplicated_from_ns + request_class.deduplication_window_ns

    def attempt_timeout_ns(self, now: int, request: OpenRequest) -> int:
        """Returns the timeout of an attempt, or 0 for none.

        It protects against lost responses and unresponsive backends, if some occurred recently and a retry is
        allowed. It would do harm when all backends are slow.
        """
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
