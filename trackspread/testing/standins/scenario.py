"""One fleet to play with: classes, plans, rating nodes, customers. Without I/O.

It comes as settings for gateways, as figures for the judge, and as models for stand-ins.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from ..judge.ledger import ClassRule, DeduplicationScope, Idempotency, PlanRule, RuleParameters
from .client_population import ClassMix, ClientPopulation, Customer, ClientBehavior, draw_weights
from .rating_node import SECOND, NodeSpec, Pod, RatingNode
from .settings import class_settings, nested_settings, plan_settings

MILLISECOND = SECOND // 1000
ZONES = ("a", "b", "c")
_IDEMPOTENCY = {"safe": "free", "keyed": "guarded", "unsafe": "single_shot"}


@dataclass(frozen=True, slots=True)
class ScenarioClass:
    """One class of request; times in ns, `work` the mean at one usual core."""

    name: str
    repeat: Idempotency
    group: DeduplicationScope
    share: float
    work: int
    aim: int
    deadline: int
    points: float


MS = MILLISECOND
CLASSES = (
    ScenarioClass("rate-lookup", "safe", "all", 0.45, 60 * MS, 800 * MS, 1500 * MS, 3),
    ScenarioClass("usage-submit", "keyed", "cell", 0.33, 90 * MS, 1000 * MS, 2500 * MS, 3),
    ScenarioClass("charge-post", "unsafe", "all", 0.22, 60 * MS, 800 * MS, 2000 * MS, 5),
)
PLANS = {
    "basic": PlanRule(1.2, 6.0),
    "full": PlanRule(6.0, 12.0, 12.0, 24.0, 2.4),
}


@dataclass(frozen=True, slots=True)
class Scenario:
    """A fleet of gateways and rating nodes; `load` is what is asked, as part of what the nodes can do.

    `greedy`: part of the customers that ask for several times their quota. `customers`: how many at most.
    `plans`: each asked for by an even part of the customers but the first, which most have. `allow`: what the
    settings say otherwise than usual, by section and key. `over_cost`: of a unit beyond a quota, in its
    worth."""

    gateways: int = 3
    nodes: int = 9
    customers: int = 1000
    load: float = 0.5
    greedy: float = 0.1
    seed: int = 1
    window: int = 5 * SECOND  # ns for which a pod remembers a key
    warm: int = 6 * SECOND
    fall_window: int = 3 * SECOND
    fall_multiple: float = 3.0
    start: float = 0.25
    grace: int = SECOND
    tolerance: int = 50 * MILLISECOND
    beyond_most: float = 1.0
    behavior: ClientBehavior = field(default_factory=ClientBehavior)
    classes: tuple[ScenarioClass, ...] = CLASSES
    plans: Mapping[str, PlanRule] = field(default_factory=lambda: PLANS)
    zones: tuple[str, ...] = ZONES
    allow: tuple[tuple[str, str, Any], ...] = ()
    over_cost: float = 1.0

    def specs(self) -> list[NodeSpec]:
        return [self.spec(number) for number in range(self.nodes)]

    def spec(self, number: int, generation: int = 0) -> NodeSpec:
        """Pods of three nodes, a zone each. A successor has a name of its own and its forerunner's place."""
        name = f"s-{number}" + (f"-{generation}" if generation else "")
        cell = number // 3
        return NodeSpec(
            name,
            self.zones[cell % len(self.zones)] if self.zones else "",
            "m1",
            cell,
            start=self.start,
            warm=self.warm,
        )

    def service(self, spec: NodeSpec) -> str:
        """Which one a node serves; the default one's name is empty."""
        return ""

    def successor(self, spec: NodeSpec) -> NodeSpec:
        """The next generation in the same place."""
        number, generation = [*spec.name.split("-")[1:], "0"][:2]
        return self.spec(int(number), int(generation) + 1)

    def node(self, spec: NodeSpec, pods: dict[int, Pod], now: int, cold: bool) -> RatingNode:
        pod = pods.setdefault(spec.cell, Pod())
        return RatingNode(spec, pod, now, cold, self.fall_window, self.fall_multiple)

    def work(self, cls: str) -> int:
        return next(c.work for c in self.classes if c.name == cls)

    def repeat(self, cls: str) -> Idempotency:
        return next(c.repeat for c in self.classes if c.name == cls)

    def world(self) -> RuleParameters:
        """The judge's figures."""
        rules = {c.name: ClassRule(c.repeat, c.group, self.window) for c in self.classes}
        return RuleParameters(
            rules,
            dict(self.plans),
            self.grace,
            self.fall_window,
            self.fall_multiple,
            self.tolerance,
            max_over_quota_share=self.beyond_most,
        )

    def settings(self, position: int) -> dict[str, Any]:
        """The platform's settings of one gateway, nested."""
        classes = [
            class_settings(c.name, _IDEMPOTENCY[c.repeat], c.group, c.aim, c.deadline, self.window, c.points)
            for c in self.classes
        ]
        plans = [
            plan_settings(
                name,
                p.rate_per_s,
                p.burst_units,
                (p.hard_limit_per_s, p.hard_limit_burst_units, p.hard_limit_slack_units),
                over_cost=self.over_cost,
            )
            for name, p in self.plans.items()
        ]
        made = nested_settings(classes, plans, position, self.gateways, zones=self.zones)
        made["zone"] = position % max(1, len(self.zones))
        made["rules"].update(
            drainGrace=self.grace,
            fall=self.fall_window,
            fallMultiple=self.fall_multiple,
            startCapacity=self.start,
            warmUp=self.warm,
        )
        for section, key, value in self.allow:
            made[section][key] = value
        return made

    def population(self) -> ClientPopulation:
        """Customers whose asking adds up to the load; the greedy ask for up to four times their quota."""
        rng = random.Random(f"scene:{self.seed}")
        mean = sum(c.share * c.work for c in self.classes) / SECOND
        total = self.load * self.nodes * 2 / mean
        made: list[Customer] = []
        asked = 0.0
        while len(made) < self.customers and asked < total:
            (usual, *others), lot = self.plans, rng.random()
            plan = others[int(lot / 0.3 * len(others))] if others and lot < 0.3 else usual
            spread = min(self.gateways, rng.randint(2, 4))
            use = rng.uniform(2.0, 4.0) if rng.random() < self.greedy else rng.uniform(0.2, 0.9)
            first = rng.randrange(self.gateways)
            rate = self.plans[plan].rate_per_s * use
            made.append(Customer(rng.getrandbits(33), plan, rate, spread, first, draw_weights(rng, spread)))
            asked += made[-1].rate
        classes = tuple(
            ClassMix(c.name, c.share, c.repeat == "keyed", c.repeat, c.deadline) for c in self.classes
        )
        return ClientPopulation(made, classes, self.gateways, self.seed, self.behavior)

    def changed(self, **changes: Any) -> Scenario:
        return replace(self, **changes)
