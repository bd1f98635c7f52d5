"""Quiet days in virtual time: what was let through beyond quotas, beside a policy that sees the state late.

May know: the virtual fleet's handles, the ledger. May not know: what the module decides or why.

Both are judged on the same tries of the same run by one true store for each customer. The late-seeing policy
lets a try through if the store has its units as far as its gateway can see: what other gateways let through
in the last moments it does not know. What a try that it refuses would have led to (its client's next one) is
that of the run, not its own.
"""

from __future__ import annotations

import random
from collections import defaultdict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial

import msgspec

from ..judge.ledger import RequestSent, AttemptReceived, Entry, PlanRule
from ..standins.rating_node import SECOND
from ..standins.scenario import MILLISECOND, Scenario
from .fleet import VirtualFleet

SPAN = 20 * SECOND
LATE = 200 * MILLISECOND  # by which the late-seeing policy sees a store
RESTARTS, AWAY = 3, 400 * MILLISECOND  # of gateways, one after another, on the days that have them


class StaleStatePolicy(msgspec.Struct, frozen=True):
    """One policy on one group of tries, as parts of the worth that one who saw all would let in."""

    inside: float  # let through inside quotas
    over_price: float  # let through beyond, times its cost
    refused_with_room: float  # refused while the store was half full or more


class QuietDay(msgspec.Struct, frozen=True):
    """What came of one day; `groups`: by class and by plan, the policy and the late-seeing one."""

    policy: StaleStatePolicy
    late: StaleStatePolicy
    groups: dict[str, tuple[StaleStatePolicy, StaleStatePolicy]]

    @property
    def more(self) -> float:
        """The price over that of the late-seeing policy."""
        return self.policy.over_price - self.late.over_price


@dataclass(slots=True)
class _Store:
    """A customer's true store, with what was let through of late, and where."""

    rule: PlanRule
    level: float
    at: int = 0
    late: deque[tuple[int, str, float, bool]] = field(default_factory=deque)  # the last: inside

    def _now(self, now: int) -> float:
        return min(self.rule.burst, self.level + self.rule.rate * (now - self.at) / SECOND)

    def take(self, now: int, gateway: str, units: float) -> bool:
        """Whether the units were there; they are taken then."""
        self.level = self._now(now)
        self.at = now
        inside = self.level >= units
        self.level -= units * inside
        self.late.append((now, gateway, units, inside))
        return inside

    def roomy(self, now: int, units: float) -> bool:
        return self._now(now) >= max(units, self.rule.burst / 2)

    def seen(self, now: int, gateway: str) -> float:
        """At this gateway: without what others took in the last moments, but with all that it let through
        itself."""
        while self.late and self.late[0][0] <= now - LATE:
            self.late.popleft()
        unseen = sum(units for _, where, units, inside in self.late if inside and where != gateway)
        own = sum(units for _, where, units, inside in self.late if not inside and where == gateway)
        return self._now(now) + unseen - own


@dataclass(slots=True)
class _Sum:
    inside: float = 0.0
    beyond: float = 0.0
    room: float = 0.0

    def side(self, offered: float, cost: float) -> StaleStatePolicy:
        return StaleStatePolicy(self.inside / offered, cost * self.beyond / offered, self.room / offered)


def judged(scenario: Scenario, entries: Iterable[Entry]) -> QuietDay:
    """Raises `ValueError` on a ledger without tries."""
    entries = list(entries)
    sent: dict[str, int] = {}
    for entry in entries:
        if isinstance(entry, AttemptReceived):
            sent.setdefault(entry.request, entry.at)
    tries: dict[str, RequestSent] = {}
    for entry in entries:
        if isinstance(entry, RequestSent):
            tries.setdefault(entry.request, entry)
    points = {c.name: c.priority_weight for c in scenario.classes}
    sums: dict[tuple[str, str], _Sum] = defaultdict(_Sum)
    offered: dict[str, float] = defaultdict(float)
    stores: dict[tuple[str, int], _Store] = {}
    origins: set[str] = set()
    # A try takes its units when it has come whole to a backend; a refused one is looked at as it was asked.
    for at, each in sorted(((sent.get(r, a.at), a) for r, a in tries.items()), key=lambda pair: pair[0]):
        rule, worth = scenario.plans[each.plan], points[each.cls] * each.units
        groups = "all", f"class {each.cls}", f"plan {each.plan}"

        def store(whose: str, one: RequestSent = each, rule: PlanRule = rule) -> _Store:
            return stores.setdefault((whose, one.customer), _Store(rule, rule.burst))

        def note(
            whose: str,
            sends: bool,
            groups: tuple[str, ...] = groups,
            one: RequestSent = each,
            at: int = at,
            worth: float = worth,
        ) -> None:
            inside = sends and store(whose).take(at, one.gateway, one.units)
            room = not sends and store(whose).roomy(at, one.units)
            for group in groups:
                made = sums[whose, group]
                made.inside += worth * inside
                made.beyond += worth * (sends and not inside)
                made.room += worth * room

        if each.origin not in origins:
            origins.add(each.origin)
            if store("all-seeing").take(at, "", each.units):
                for group in groups:
                    offered[group] += worth
        note("policy", each.request in sent)
        note("late", store("late").seen(at, each.gateway) >= each.units)
    if not offered:
        raise ValueError("no try was asked")
    sides = {
        group: (
            sums["policy", group].side(worth, scenario.excess_cost),
            sums["late", group].side(worth, scenario.excess_cost),
        )
        for group, worth in offered.items()
    }
    policy, late = sides.pop("all")
    return QuietDay(policy, late, sides)


def restarts(fleet: VirtualFleet, rng: random.Random) -> None:
    """Some gateways, one after another, killed and back soon."""
    for number, position in enumerate(rng.sample(range(fleet.scenario.gateways), RESTARTS)):
        at = (number + 1) * SPAN // (RESTARTS + 2)
        fleet.clock.after(at, partial(fleet.kill, position))
        fleet.clock.after(at + AWAY, partial(fleet.start, position))


def losses(fleet: VirtualFleet, rng: random.Random) -> None:
    fleet.conditions.peer_loss = 0.1


def nothing(fleet: VirtualFleet, rng: random.Random) -> None:
    """No trouble of its own."""


TROUBLES: dict[str, Callable[[VirtualFleet, random.Random], None]] = {
    "calm": nothing,
    "lossy": losses,
    "restarts": restarts,
}
_FEW = (("familyInfo", "mailPerS", 3.0),)
_DEAF = (("limits", "peerMessages", False),)
_SMALL = {"small": PlanRule(0.5, 2.0), "big": PlanRule(4.0, 12.0)}
SCENARIOS = {
    # As ours: word of all to all, or homes where gateways are many.
    "word": Scenario(gateways=6, nodes=9, load=0.35, greedy_share=0.2),
    "homes": Scenario(gateways=24, nodes=18, load=0.35, greedy_share=0.2),
    # As others': each unit beyond costs much, quotas are small, messages few, or there are none.
    "dear, few messages": Scenario(
        gateways=12,
        nodes=9,
        load=0.3,
        greedy_share=0.2,
        plans=_SMALL,
        setting_overrides=_FEW,
        excess_cost=2.5,
    ),
    "unheard": Scenario(
        gateways=12,
        nodes=9,
        load=0.3,
        greedy_share=0.2,
        plans=_SMALL,
        setting_overrides=_DEAF,
        excess_cost=1.3,
    ),
}


def play(name: str, trouble: str, seed: int) -> QuietDay:
    """One quiet day; the same seed gives the same."""
    scenario = SCENARIOS[name].changed(seed=seed)
    fleet = VirtualFleet(scenario, seed)
    TROUBLES[trouble](fleet, random.Random(f"quiet:{seed}"))
    fleet.run(SPAN)
    return judged(scenario, fleet.ledger.entries)
