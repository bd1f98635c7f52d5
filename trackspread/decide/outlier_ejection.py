"""Outlier ejection: what ended attempts say of a backend, and for how long it then gets none.

A backend may reject one plan or leave one class unanswered, and serve the rest: such faults are remembered by
class and plan, and make it the last choice for the like, while failures eject it for all.
"""

from __future__ import annotations

from .backend_state import BackendState, ClassAndPlan
from .decaying_mean import LONG_TERM, DecayingMean, inherited
from .events import AttemptEnded, ClassesChanged, Outcome
from .settings import Settings
from .time_units import SECOND

FIRST_EJECTION_NS = SECOND // 2  # doubles with each further ejection, up to the longest
LONGEST_EJECTION_NS = 8 * SECOND
FAILURES_TO_EJECT = 2  # consecutive ones: one may be chance; a failed connection ejects at once
RESPONSE_MEMORY_NS = 3 * LONG_TERM  # for which a backend's last response to a class counts
MAX_RELATIVE_LATENCY = 8.0  # counted of one attempt, in usual latencies: one outlier must not hide the rest
PRIOR_WEIGHT = 3.0  # answered attempts that the timeout rate begins with

_NO_FAULT = (Outcome.CANCELLED, Outcome.NOT_SENT, Outcome.REJECTED)


class OutlierDetector:
    """Failures, timeouts and rejections of late."""

    def __init__(self, settings: Settings) -> None:
        # Part of the attempts that got no response, by class.
        self.timeout_rate = [DecayingMean(LONG_TERM) for _ in settings.classes]
        self.newest_answered_ns = 0  # start of the newest attempt that was answered

    def change_classes(self, event: ClassesChanged) -> None:
        """Rates go with the class that inherits them, or are forgotten."""
        self.timeout_rate = inherited(self.timeout_rate, event.predecessors, lambda: DecayingMean(LONG_TERM))

    def recent_timeout_rate(self, now: int, request_class: int) -> float:
        """Part of the class's recent attempts that got no response, at any backend."""
        return self.timeout_rate[request_class].blend(now, 0.0, PRIOR_WEIGHT)

    def attempt_ended(
        self,
        now: int,
        state: BackendState,
        event: AttemptEnded,
        class_and_plan: ClassAndPlan,
        relative_latency: float,
    ) -> None:
        """Learn from how an attempt ended. `relative_latency`: its latency divided by the class's mean."""
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
    """How likely the backend rejects a request of this class and plan, or leaves it unanswered: its own last
    response where that is recent, else the rate over all backends."""
    if now < state.rejecting_until_ns.get(class_and_plan, 0):
        return 1.0
    last = state.last_response.get(class_and_plan[0])
    if last is None:
        return recent_timeout_rate
    responded_at_ns, unanswered = last
    return unanswered if now - responded_at_ns < RESPONSE_MEMORY_NS else recent_timeout_rate
