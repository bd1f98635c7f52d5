"""Implements outlier ejection: detects faults from ended attempts and excludes backends for a time.

A backend may reject the requests of one plan or leave one class unanswered, and serve all others. Such faults
are recorded by class and plan and make the backend the last choice for similar requests. Failures eject it
for all requests.
"""

from __future__ import annotations

from .backend_state import BackendState, ClassAndPlan
from .decaying_mean import LONG_TERM, DecayingMean, inherited
from .events import AttemptEnded, ClassesChanged, Outcome
from .settings import Settings
from .time_units import SECOND

FIRST_EJECTION_NS = SECOND // 2  # doubles with each further ejection, up to the longest
LONGEST_EJECTION_NS = 8 * SECOND
# Consecutive failures: a single one may be chance, but a failed connection ejects at once.
FAILURES_TO_EJECT = 2
RESPONSE_MEMORY_NS = 3 * LONG_TERM  # how long a backend's last response to a class counts
# Bounds one attempt's part in a backend's slowness, in usual latencies, so that one outlier does not hide the
# rest.
MAX_RELATIVE_LATENCY = 8.0
PRIOR_WEIGHT = 3.0  # answered attempts that are assumed in addition to those seen

_NO_FAULT = (Outcome.CANCELLED, Outcome.NOT_SENT, Outcome.REJECTED)


class OutlierDetector:
    """Records recent failures, timeouts and rejections."""

    def __init__(self, settings: Settings) -> None:
        # Part of the attempts that got no response, by class.
        self.timeout_rate = [DecayingMean(LONG_TERM) for _ in settings.classes]
        self.newest_answered_ns = 0  # start of the most recently started attempt that was answered

    def change_classes(self, event: ClassesChanged) -> None:
        """Transfers the timeout rate of each class to its successor and drops that of classes without one."""
        self.timeout_rate = inherited(self.timeout_rate, event.predecessors, lambda: DecayingMean(LONG_TERM))

    def recent_timeout_rate(self, now: int, request_class: int) -> float:
        """Returns the part of the class's recent attempts that got no response, over all backends."""
        return self.timeout_rate[request_class].blend(now, 0.0, PRIOR_WEIGHT)

    def attempt_ended(
        self,
        now: int,
        state: BackendState,
        event: AttemptEnded,
        class_and_plan: ClassAndPlan,
        relative_latency: float,
    ) -> None:
        """Records how an attempt ended; `relative_latency` is its latency divided by its class's mean."""
        outcome = event.outcome
        if outcome in (Outcome.OK, Outcome.TIMEOUT):
            unanswered = 1.0 if outcome is Outcome.TIMEOUT else 0.0
            state.last_response[class_and_plan[0]] = now, unanswered
            self.timeout_rate[class_and_plan[0]].add(now, unanswered)
        elif outcome is Outcome.REJECTED:
            state.rejecting_until_ns[class_and_plan] = now + LONG_TERM
        if outcome is Outcome.OK:
            state.consecutive_failures = 0
            state.ejection_ns = FIRST_EJECTION_NS
            self.newest_answered_ns = max(self.newest_answered_ns, now - event.elapsed_ns)
            state.slowness.add(now, min(MAX_RELATIVE_LATENCY, relative_latency))
        elif outcome not in _NO_FAULT:
            state.consecutive_failures += 1
            if state.consecutive_failures >= FAILURES_TO_EJECT or outcome is Outcome.CONNECT_FAILED:
                _eject(now, state)


def _eject(now: int, state: BackendState) -> None:
    state.ejected_until_ns = now + state.ejection_ns
    state.ejection_ns = min(LONGEST_EJECTION_NS, 2 * state.ejection_ns)


def fault_probability(
    now: int, state: BackendState, class_and_plan: ClassAndPlan, recent_timeout_rate: float
) -> float:
    """Returns the probability that the backend rejects a request of this class and plan, or does not answer.

    It follows the backend's last response to the class if that is recent, otherwise the rate over all
    backends.
    """
    if now < state.rejecting_until_ns.get(class_and_plan, 0):
        return 1.0
    last = state.last_response.get(class_and_plan[0])
    if last is None:
        return recent_timeout_rate
    responded_at_ns, unanswered = last
    return unanswered if now - responded_at_ns < RESPONSE_MEMORY_NS else recent_timeout_rate
