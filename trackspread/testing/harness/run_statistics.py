"""What a run shows while it goes on: counts by gateway and second, and why requests were refused.

May know: ledger entries, in the order in which they are written. May not know: the gateways' own reasons;
what is told as a reason follows from an exact count of each customer's quota. Without I/O or clock.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from ..judge.ledger import (
    ReplyReceived,
    RequestSent,
    AttemptReceived,
    ConnectionLost,
    Entry,
    ClientDisconnected,
    RuleParameters,
)
from ..judge.token_bucket import TokenBucket

KEPT = 60  # s of counts that are kept, for a line of the recent past
SECOND = 1_000_000_000


@dataclass(slots=True)
class Tallies:
    """Feed it with `take`; `seconds` has a count of each kind for each second, the oldest first."""

    rules: RuleParameters
    total: Counter[str] = field(default_factory=Counter)
    by_gateway: dict[str, Counter[str]] = field(default_factory=dict)
    refusals: Counter[str] = field(default_factory=Counter)
    seconds: deque[Counter[str]] = field(default_factory=lambda: deque(maxlen=KEPT))
    _asked: dict[str, RequestSent] = field(default_factory=dict)
    _sent: set[str] = field(default_factory=set)
    _buckets: dict[int, TokenBucket] = field(default_factory=dict)

    def take(self, entries: Sequence[Entry]) -> None:
        """The entries since the last call; they make one more second."""
        second: Counter[str] = Counter()
        for entry in entries:
            match entry:
                case RequestSent():
                    self._asked[entry.request] = entry
                    second["asked"] += 1
                case AttemptReceived():
                    self._attempted(entry)
                case ReplyReceived():
                    asked = self._asked.pop(entry.request, None)
                    if asked is not None:
                        self._answered(entry, asked, second)
                    self._sent.discard(entry.request)
                case ConnectionLost() | ClientDisconnected():
                    if (asked := self._asked.pop(entry.request, None)) is not None:
                        self._count(asked.gateway, "unanswered", second)
        self.seconds.append(second)

    def _bucket(self, asked: RequestSent, now: int) -> TokenBucket | None:
        plan = self.rules.plans[asked.plan]
        if not plan.rate_per_s:
            return None
        full = TokenBucket(plan.rate_per_s, plan.burst_units, now)
        bucket = self._buckets.setdefault(asked.tenant, full)
        bucket.refill(now)
        return bucket

    def _attempted(self, entry: AttemptReceived) -> None:
        asked = self._asked.get(entry.request)
        if asked is None or entry.request in self._sent:
            return
        self._sent.add(entry.request)
        bucket = self._bucket(asked, entry.at)
        if bucket is None or bucket.tokens >= asked.units:
            if bucket is not None:
                bucket.tokens -= asked.units
        else:
            self.total["beyond"] += 1

    def _answered(self, entry: ReplyReceived, asked: RequestSent, second: Counter[str]) -> None:
        self._count(asked.gateway, entry.kind, second)
        if entry.kind == "refused":
            self.refusals[self._why(entry, asked)] += 1

    def _why(self, entry: ReplyReceived, asked: RequestSent) -> str:
        if entry.request in self._sent:
            return "tried, and no other try was allowed"
        bucket = self._bucket(asked, entry.at)
        if bucket is not None and bucket.tokens < asked.units:
            return "its customer's quota is used up"
        if bucket is not None and bucket.tokens < bucket.burst_units / 2:
            return "the quota is nearly used up"
        return "with quota left: a cap, a slice of the ceiling, or load"

    def _count(self, gateway: str, kind: str, second: Counter[str]) -> None:
        second[kind] += 1
        self.total[kind] += 1
        self.by_gateway.setdefault(gateway, Counter())[kind] += 1
