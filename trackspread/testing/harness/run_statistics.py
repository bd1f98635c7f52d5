"""Counts requests of a run by gateway and second, and reasons of rejections, for `trackspread try`.

The counts come from ledger entries alone, in the order in which they are written. The gateways' own reasons
are not known, so a reason follows from an exact count of each tenant's quota.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from ..judge.ledger import (
    AttemptReceived,
    ClientDisconnected,
    ConnectionLost,
    Entry,
    ReplyReceived,
    RequestSent,
    RuleParameters,
)
from ..judge.token_bucket import TokenBucket

MAX_SECONDS = 60  # limit on the seconds whose counts are kept


@dataclass(slots=True)
class RunStatistics:
    """Holds counts by kind: `asked`, `served`, `refused`, `failed`, `unanswered`; in `total` also `beyond`.

    `by_second` has the counts of each second, the oldest first. `rejections` counts reasons.
    """

    rules: RuleParameters
    total: Counter[str] = field(default_factory=Counter)
    by_gateway: dict[str, Counter[str]] = field(default_factory=dict)
    rejections: Counter[str] = field(default_factory=Counter)
    by_second: deque[Counter[str]] = field(default_factory=lambda: deque(maxlen=MAX_SECONDS))
    _open: dict[str, RequestSent] = field(default_factory=dict)
    _forwarded: set[str] = field(default_factory=set)
    _buckets: dict[int, TokenBucket] = field(default_factory=dict)  # by tenant

    def add_second(self, entries: Sequence[Entry]) -> None:
        """Adds the entries since the last call as one more second."""
        second: Counter[str] = Counter()
        for entry in entries:
            match entry:
                case RequestSent():
                    self._open[entry.request] = entry
                    second["asked"] += 1
                case AttemptReceived():
                    self._forward(entry)
                case ReplyReceived():
                    request = self._open.pop(entry.request, None)
                    if request is not None:
                        self._answer(entry, request, second)
                    self._forwarded.discard(entry.request)
                case ConnectionLost() | ClientDisconnected():
                    if (request := self._open.pop(entry.request, None)) is not None:
                        self._count(request.gateway, "unanswered", second)
        self.by_second.append(second)

    def _bucket(self, request: RequestSent, now: int) -> TokenBucket | None:
        """Returns the tenant's quota at a time in ns, or None if it has none."""
        plan = self.rules.plans[request.plan]
        if not plan.rate_per_s:
            return None
        bucket = self._buckets.setdefault(request.tenant, TokenBucket(plan.rate_per_s, plan.burst_units, now))
        bucket.refill(now)
        return bucket

    def _forward(self, entry: AttemptReceived) -> None:
        request = self._open.get(entry.request)
        if request is None or entry.request in self._forwarded:
            return
        self._forwarded.add(entry.request)
        bucket = self._bucket(request, entry.at)
        if bucket is None:
            return
        if bucket.tokens >= request.units:
            bucket.tokens -= request.units
        else:
            self.total["beyond"] += 1

    def _answer(self, entry: ReplyReceived, request: RequestSent, second: Counter[str]) -> None:
        self._count(request.gateway, entry.kind, second)
        if entry.kind == "refused":
            self.rejections[self._reason(entry, request)] += 1

    def _reason(self, entry: ReplyReceived, request: RequestSent) -> str:
        if entry.request in self._forwarded:
            return "attempted, and no retry was allowed"
        bucket = self._bucket(request, entry.at)
        if bucket is not None and bucket.tokens < request.units:
            return "the tenant's quota is used up"
        if bucket is not None and bucket.tokens < bucket.burst_units / 2:
            return "the quota is nearly used up"
        return "with quota left: a cap, a share of the hard limit, or load"

    def _count(self, gateway: str, kind: str, second: Counter[str]) -> None:
        second[kind] += 1
        self.total[kind] += 1
        self.by_gateway.setdefault(gateway, Counter())[kind] += 1
