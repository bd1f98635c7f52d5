"""Runs with few faults in virtual time: units forwarded beyond quotas, compared with a stale-state policy.

Both policies are judged on the same requests of the same run by one exact token bucket for each tenant. The
stale-state policy admits a request if the bucket has its units as far as the gateway can know: it does not
know what other gateways admitted in the last `STALENESS_NS`. What clients do after a rejection by that policy
is not simulated: their retries are those of the run.

It uses the controls of the virtual fleet and the ledger, and does not depend on what the decision module
decides.
"""

from __future__ import annotations

import random
from collections import defaultdict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from typing import Literal, NamedTuple

import msgspec

from ..judge.ledger import RequestSent, AttemptReceived, Entry, PlanRule
from ..standins.rating_node import SECOND
from ..standins.scenario import MILLISECOND, Scenario
from .fleet import VirtualFleet

SPAN = 20 * SECOND
STALENESS_NS = 200 * MILLISECOND  # of the state that the stale-state policy sees
RESTARTS, RESTART_NS = 3, 400 * MILLISECOND  # gateways that restart, one after another, and for how long
ALL_REQUESTS = "all"
PolicyName = Literal["policy", "late", "all-seeing"]


class PolicyResult(msgspec.Struct, frozen=True):
    """One policy on one group of requests, as shares of the value that a policy with perfect state admits.

    `inside`: admitted within quotas. `over_price`: admitted beyond quotas, times the cost of it.
    `rejected_with_quota_left`: rejected while the bucket was half full or more.
    """

    inside: float
    over_price: float
    rejected_with_quota_left: float


class QuotaAccuracy(msgspec.Struct, frozen=True):
    """The result of one run: the gateways' policy and the stale-state policy, over all and by group."""

    policy: PolicyResult
    stale: PolicyResult
    groups: dict[str, tuple[PolicyResult, PolicyResult]]

    @property
    def price_difference(self) -> float:
        """The price over that of the stale-state policy."""
        return self.policy.over_price - self.stale.over_price


class _Admission(NamedTuple):
    """Units that a gateway admitted, within the quota or beyond it."""

    at: int
    gateway: str
    units: float
    inside: bool


@dataclass(slots=True)
class _TenantBucket:
    """A tenant's exact token bucket, with the admissions of the last `STALENESS_NS`."""

    rule: PlanRule
    tokens: float
    updated_at: int = 0
    recent: deque[_Admission] = field(default_factory=deque)

    def _tokens_at(self, now: int) -> float:
        refilled = self.tokens + self.rule.rate_per_s * (now - self.updated_at) / SECOND
        return min(self.rule.burst_units, refilled)

    def admit(self, now: int, gateway: str, units: float) -> bool:
        """Take the units of a request if they are there; returns whether they are."""
        self.tokens = self._tokens_at(now)
        self.updated_at = now
        inside = self.tokens >= units
        self.tokens -= units * inside
        self.recent.append(_Admission(now, gateway, units, inside))
        return inside

    def has_quota_left(self, now: int, units: float) -> bool:
        """Whether the bucket is half full at least and has the units."""
        return self._tokens_at(now) >= max(units, self.rule.burst_units / 2)

    def stale_tokens(self, now: int, gateway: str) -> float:
        """The tokens as a gateway sees them: without recent admissions of others, but with all of its own."""
        while self.recent and self.recent[0].at <= now - STALENESS_NS:
            self.recent.popleft()
        unseen = sum(each.units for each in self.recent if each.inside and each.gateway != gateway)
        own = sum(each.units for each in self.recent if not each.inside and each.gateway == gateway)
        return self._tokens_at(now) + unseen - own


@dataclass(slots=True)
class _Totals:
    """Value of the requests of one policy and group."""

    inside: float = 0.0
    beyond: float = 0.0
    rejected_with_quota_left: float = 0.0

    def result(self, offered: float, over_cost: float) -> PolicyResult:
        return PolicyResult(
            self.inside / offered,
            over_cost * self.beyond / offered,
            self.rejected_with_quota_left / offered,
        )


class _Comparison:
    """Replays requests in order, each under all policies."""

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._priority_weights = {each.name: each.priority_weight for each in scenario.classes}
        self._totals: dict[tuple[PolicyName, str], _Totals] = defaultdict(_Totals)
        self._offered: dict[str, float] = defaultdict(float)  # value that perfect state admits, by group
        self._buckets: dict[tuple[PolicyName, int], _TenantBucket] = {}
        self._origins: set[str] = set()

    def add(self, at: int, sent: RequestSent, forwarded: bool) -> None:
        """A request that took effect at a time, and whether the gateways forwarded it."""
        if sent.origin not in self._origins:
            self._origins.add(sent.origin)
            if self._bucket("all-seeing", sent).admit(at, "", sent.units):
                for group in _groups(sent):
                    self._offered[group] += self._value(sent)
        self._count("policy", at, sent, forwarded)
        stale_tokens = self._bucket("late", sent).stale_tokens(at, sent.gateway)
        self._count("late", at, sent, stale_tokens >= sent.units)

    def _bucket(self, policy: PolicyName, sent: RequestSent) -> _TenantBucket:
        rule = self._scenario.plans[sent.plan]
        return self._buckets.setdefault((policy, sent.tenant), _TenantBucket(rule, rule.burst_units))

    def _value(self, sent: RequestSent) -> float:
        return self._priority_weights[sent.request_class] * sent.units

    def _count(self, policy: PolicyName, at: int, sent: RequestSent, admitted: bool) -> None:
        bucket, value = self._bucket(policy, sent), self._value(sent)
        inside = admitted and bucket.admit(at, sent.gateway, sent.units)
        has_quota_left = not admitted and bucket.has_quota_left(at, sent.units)
        for group in _groups(sent):
            totals = self._totals[policy, group]
            totals.inside += value * inside
            totals.beyond += value * (admitted and not inside)
            totals.rejected_with_quota_left += value * has_quota_left

    def result(self) -> QuotaAccuracy:
        """The comparison so far; raises `ValueError` if there was no request."""
        if not self._offered:
            raise ValueError("no request was sent")
        over_cost = self._scenario.excess_cost
        groups = {
            group: (
                self._totals["policy", group].result(offered, over_cost),
                self._totals["late", group].result(offered, over_cost),
            )
            for group, offered in self._offered.items()
        }
        policy, stale = groups.pop(ALL_REQUESTS)
        return QuotaAccuracy(policy, stale, groups)


def _groups(sent: RequestSent) -> tuple[str, ...]:
    return ALL_REQUESTS, f"class {sent.request_class}", f"plan {sent.plan}"


def compare_policies(scenario: Scenario, entries: Iterable[Entry]) -> QuotaAccuracy:
    """Compare the gateways' policy in a ledger with the stale-state policy.

    A forwarded request takes its units when a backend has received it; a rejected one is judged by the time
    when it was sent. Raises `ValueError` on a ledger without requests.
    """
    received_at: dict[str, int] = {}
    requests: dict[str, RequestSent] = {}
    for entry in entries:
        if isinstance(entry, AttemptReceived):
            received_at.setdefault(entry.request, entry.at)
        elif isinstance(entry, RequestSent):
            requests.setdefault(entry.request, entry)
    timed = [(received_at.get(request, sent.at), sent) for request, sent in requests.items()]
    comparison = _Comparison(scenario)
    for at, sent in sorted(timed, key=lambda pair: pair[0]):
        comparison.add(at, sent, sent.request in received_at)
    return comparison.result()


def restart_gateways(fleet: VirtualFleet, rng: random.Random) -> None:
    """Some gateways are killed one after another, and start again soon after."""
    for number, position in enumerate(rng.sample(range(fleet.scenario.gateways), RESTARTS)):
        killed_after = (number + 1) * SPAN // (RESTARTS + 2)
        fleet.clock.after(killed_after, partial(fleet.kill_gateway, position))
        fleet.clock.after(killed_after + RESTART_NS, partial(fleet.start_gateway, position))


def lose_peer_messages(fleet: VirtualFleet, rng: random.Random) -> None:
    """One message between gateways in ten is lost."""
    fleet.conditions.peer_loss = 0.1


def no_fault(fleet: VirtualFleet, rng: random.Random) -> None:
    """The network as it usually is."""


FAULTS: dict[str, Callable[[VirtualFleet, random.Random], None]] = {
    "calm": no_fault,
    "lossy": lose_peer_messages,
    "restarts": restart_gateways,
}
_FEW_MESSAGES = (("familyInfo", "mailPerS", 3.0),)
_NO_MESSAGES = (("limits", "peerMessages", False),)
_SMALL_PLANS = {"small": PlanRule(0.5, 2.0), "big": PlanRule(4.0, 12.0)}
SCENARIOS = {
    # All gateways send to all others, or, where there are many, to the owners of quotas.
    "word": Scenario(gateways=6, nodes=9, load=0.35, greedy_share=0.2),
    "homes": Scenario(gateways=24, nodes=18, load=0.35, greedy_share=0.2),
    # Each unit beyond a quota costs much, quotas are small, and there are few messages or none.
    "dear, few messages": Scenario(
        gateways=12,
        nodes=9,
        load=0.3,
        greedy_share=0.2,
        plans=_SMALL_PLANS,
        setting_overrides=_FEW_MESSAGES,
        excess_cost=2.5,
    ),
    "unheard": Scenario(
        gateways=12,
        nodes=9,
        load=0.3,
        greedy_share=0.2,
        plans=_SMALL_PLANS,
        setting_overrides=_NO_MESSAGES,
        excess_cost=1.3,
    ),
}


def play(name: str, fault: str, seed: int) -> QuotaAccuracy:
    """One run of a scenario with a fault; the same seed gives the same run."""
    scenario = SCENARIOS[name].changed(seed=seed)
    fleet = VirtualFleet(scenario, seed)
    FAULTS[fault](fleet, random.Random(f"quiet:{seed}"))
    fleet.run(SPAN)
    return compare_policies(scenario, fleet.ledger.entries)
