"""Checks rule 5 (hard limits over all gateways) and counts the use of quotas, with exact token buckets."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from typing import NamedTuple

from .ledger import AttemptReceived, PlanRule, RequestSent
from .run_history import RunHistory
from .token_bucket import SECOND, TokenBucket
from .verdict import Violation

ROUNDING_UNITS = 1e-6  # tolerance, as tokens are floats


class _HardLimitState(NamedTuple):
    """Holds a tenant's tokens after one of its requests; they may fall below 0 by the slack."""

    attempt: AttemptReceived
    sent: RequestSent
    tokens: float
    slack_units: float


def _replay_hard_limits(history: RunHistory) -> Iterator[_HardLimitState]:
    """Yields the state of the tenant's bucket after each request under a hard limit, in order of time."""
    buckets: dict[int, TokenBucket] = {}
    for attempt, sent in history.first_attempts():
        plan: PlanRule = history.rules.plans[sent.plan]
        if not plan.hard_limit_per_s:
            continue
        full = TokenBucket(plan.hard_limit_per_s, plan.hard_limit_burst_units, attempt.at)
        bucket = buckets.setdefault(sent.tenant, full)
        bucket.refill(attempt.at)
        bucket.tokens -= sent.units
        tolerance_units = plan.hard_limit_per_s * history.rules.hard_limit_tolerance_ns / SECOND
        slack_units = plan.hard_limit_slack_units + tolerance_units
        yield _HardLimitState(attempt, sent, bucket.tokens, slack_units)


def check_hard_limits(history: RunHistory) -> Iterator[Violation]:
    """Yields the violations of rule 5, one for each tenant over its hard limit and slack."""
    reported: set[int] = set()
    for attempt, sent, tokens, slack_units in _replay_hard_limits(history):
        if tokens < -slack_units - ROUNDING_UNITS and sent.tenant not in reported:
            reported.add(sent.tenant)
            text = f"tenant {sent.tenant}: {-tokens:.1f} units over the hard limit, slack {slack_units:.1f}"
            yield Violation(attempt.at, "ceilings", text, True)


def max_hard_limit_excess(history: RunHistory) -> float:
    """Returns how far any tenant's bucket fell below 0 at most, as a share of its slack."""
    states = _replay_hard_limits(history)
    return max(
        (max(0.0, -state.tokens) / state.slack_units for state in states if state.slack_units), default=0.0
    )


class _QuotaEvent(NamedTuple):
    """Holds a request that was forwarded, or rejected without an attempt."""

    at: int
    sent: RequestSent
    forwarded: bool


class QuotaUsage:
    """Counts, over all gateways, units forwarded beyond quotas and rejections while quota was left."""

    def __init__(self, history: RunHistory) -> None:
        self.forwarded_units = 0.0
        self.over_quota_units = 0.0
        self.rejected_with_quota_left = 0
        self.rejections: list[tuple[int, bool]] = []  # time, and whether quota was left
        self.forwarded_by_tenant: defaultdict[int, float] = defaultdict(float)
        self.over_quota_by_tenant: defaultdict[int, float] = defaultdict(float)
        buckets: dict[int, TokenBucket] = {}
        for event in _quota_events(history):
            plan = history.rules.plans[event.sent.plan]
            if not plan.rate_per_s:
                continue
            full = TokenBucket(plan.rate_per_s, plan.burst_units, event.at)
            bucket = buckets.setdefault(event.sent.tenant, full)
            bucket.refill(event.at)
            if event.forwarded:
                self._count_forwarded(event.sent, bucket)
            else:
                self._count_rejected(event.at, bucket)

    def _count_forwarded(self, sent: RequestSent, bucket: TokenBucket) -> None:
        self.forwarded_units += sent.units
        self.forwarded_by_tenant[sent.tenant] += sent.units
        if bucket.tokens >= sent.units:
            bucket.tokens -= sent.units
        else:
            self.over_quota_units += sent.units
            self.over_quota_by_tenant[sent.tenant] += sent.units

    def _count_rejected(self, at: int, bucket: TokenBucket) -> None:
        has_quota_left = bucket.tokens >= bucket.burst_units / 2
        self.rejected_with_quota_left += has_quota_left
        self.rejections.append((at, has_quota_left))


def _quota_events(history: RunHistory) -> list[_QuotaEvent]:
    """Returns the events in the order of their times; at equal times forwarded requests come first."""
    events = [_QuotaEvent(attempt.at, sent, True) for attempt, sent in history.first_attempts()]
    for request, replies in history.replies.items():
        sent = history.requests.get(request)
        if sent is None or not replies or replies[0].kind != "refused":
            continue
        if request not in history.attempts:
            events.append(_QuotaEvent(replies[0].at, sent, False))
    return sorted(events, key=lambda event: event.at)
