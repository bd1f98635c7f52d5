"""Compares the units forwarded beyond quotas with a stale-state policy, in runs with few faults.

Both policies are judged on the same requests of the same run by one exact token bucket for each tenant. The
stale-state policy admits a request if the bucket has its units as far as the gateway can know: it does not
know what other gateways admitted in the last `STALENESS_NS`. What clients do after a rejection by that policy
is not simulated: their retries are those of the run.

The module uses the controls of the virtual fleet and the ledger, and does not depend on what the decision
module decides.
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
RESTARTS, RESTART_NS = 3, 400 * MILLISECOND  # number of gateways that restart in turn, and their downtime
ALL_REQUESTS = "all"
PolicyName = Literal["policy", "late", "all-seeing"]


class PolicyResult(msgspec.Struct, frozen=True):
    """Holds the result of one policy on one group of requests.

    All fields are shares of the value that a policy with perfect state admits. `inside` was admitted within
    quotas, `over_price` is what was admitted beyond quotas times its cost, and `rejected_with_quota_left` was
    rejected while the bucket was half full or more.
    """

    inside: float
    over_price: float
    rejected_with_quota_left: float


class QuotaAccuracy(msgspec.Struct, frozen=True):
    """Holds the results of the gateways' policy and of the stale-state policy in one run.

    `groups` has both results by group of requests.
    """

    policy: PolicyResult
    stale: PolicyResult
    groups: dict[str, tuple[PolicyResult, PolicyResult]]

    @property
    def price_difference(self) -> float:
        """Returns the price of admissions beyond quotas minus that of the stale-state policy."""
        return self.policy.over_price - self.stale.over_price


class _Admission(NamedTuple):
    """Holds the units that a gateway admitted at a time, within the quota or beyond it."""

    at: int
    gateway: str
    units: float
    inside: bool


@dataclass(slots=True)
class _TenantBucket:
    """Holds a tenant's exact token bucket, and the admissions of the last `STALENESS_NS`."""

    rule: PlanRule
    tokens: float
    updated_at: int = 0
    recent: deque[_Admission] = field(default_factory=deque)

    def _tokens_at(self, now: int) -> float:
        refilled = self.tokens + self.rule.rate_per_s * (now - self.updated_at) / SECOND
        return min(self.rule.burst_units, refilled)

    def admit(self, now: int, gateway: str, units: float) -> bool:
        """Takes the units of a request if the bucket has them, and returns whether it has."""
        self.tokens = self._tokens_at(now)
        self.updated_at = now
        inside = self.tokens >= units
        self.tokens -= units * inside
        self.recent.append(_Admission(now, gateway, units, inside))
        return inside

    def has_quota_left(self, now: int, units: float) -> bool:
        """Returns whether the bucket is at least half full and has the units."""
        return self._tokens_at(now) >= max(units, self.rule.burst_units / 2)

    def stale_tokens(self, now: int, gateway: str) -> float:
        """Returns the tokens as a gateway knows them.

        Recent admissions by others are not subtracted; all of the gateway's own are.
        """
        while self.recent and self.recent[0].at <= now - STALENESS_NS:
            self.recent.popleft()
        unseen = sum(each.units for each in self.recent if each.inside and each.gateway != gateway)
        own = sum(each.units for each in self.recent if not each.inside and each.gateway == gateway)
        return self._tokens_at(now) + unseen - own


@dataclass(slots=True)
class _Totals:
    """Holds the value of the requests of one policy and group."""

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
    """Replays requests in order and judges each under all policies."""

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._priority_weights = {each.name: each.priority_weight for each in scenario.classes}
        self._totals: dict[tuple[PolicyName, str], _Totals] = defaultdict(_Totals)
        self._offered: dict[str, float] = defaultdict(float)  # value that perfect state admits, by group
        self._buckets: dict[tuple[PolicyName, int], _TenantBucket] = {}
        self._origins: set[str] = set()

    def add(self, at: int, sent: RequestSent, forwarded: bool) -> None:
        """Adds a request that took effect at a time, and whether the gateways forwarded it."""
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
        """Returns the comparison so far; raises `ValueError` if there was no request."""
        if not self._offered:
            raise ValueError("ledger: must contain at least one sent request, got none")
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
    """Compares the gateways' policy in a ledger with the stale-state policy.

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
    """Kills some gateways one after another, and starts each again soon after."""
    for number, position in enumerate(rng.sample(range(fleet.scenario.gateways), RESTARTS)):
        killed_after = (number + 1) * SPAN // (RESTARTS + 2)
        fleet.clock.after(killed_after, partial(fleet.kill_gateway, position))
        fleet.clock.after(killed_after + RESTART_NS, partial(fleet.start_gateway, position))


def lose_peer_messages(fleet: VirtualFleet, rng: random.Random) -> None:
    """Loses one in ten messages between gateways."""
    fleet.conditions.peer_loss = 0.1


def no_fault(fleet: VirtualFleet, rng: random.Random) -> None:
    """Leaves the network as it usually is."""


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
    """Runs a scenario with a fault; the same seed gives the same run."""
    scenario = SCENARIOS[name].changed(seed=seed)
    fleet = VirtualFleet(scenario, seed)
    FAULTS[fault](fleet, random.Random(f"quiet:{seed}"))
    fleet.run(SPAN)
    return compare_policies(scenario, fleet.ledger.entries)
