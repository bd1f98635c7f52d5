"""Describes a fleet for tests, with its classes, plans, rating nodes and tenants.

From it come the settings of gateways, the judge's parameters and the models of stand-ins. The module uses no
I/O.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from ..judge.ledger import ClassRule, DeduplicationScope, Idempotency, PlanRule, RuleParameters
from .client_population import ClassDemand, ClientBehavior, ClientPopulation, Tenant, draw_weights
from .rating_node import SECOND, IdempotencyCache, NodeSpec, RatingNode
from .settings import class_settings, nested_settings, plan_settings

MILLISECOND = SECOND // 1000
ZONES = ("a", "b", "c")
NODES_PER_CELL = 3
CORES_PER_NODE = 2
OTHER_PLANS_SHARE = 0.3  # share of the tenants with a plan other than the first
TENANT_BITS = 33  # size of a tenant's number
LONG_BODY_BYTES = 256 << 10
LONG_BODY_PIECES = 20  # in which a slow client writes a long body
_IDEMPOTENCY = {"safe": "free", "keyed": "guarded", "unsafe": "single_shot"}  # the platform's terms


@dataclass(frozen=True, slots=True)
class ScenarioClass:
    """Describes one class of requests.

    `work_ns` is the mean work on a core of usual speed, and `share` the class's share of all requests.
    """

    name: str
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    share: float
    work_ns: int
    latency_objective_ns: int
    deadline_ns: int
    priority_weight: float


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
    """Describes a fleet of gateways and rating nodes; `load` is the demand as a share of the nodes' capacity.

    - `max_tenants`: limit on tenants; `greedy_share`: the share that requests several times its quota.
    - `deduplication_window_ns`: how long a cell's nodes remember an idempotency key.
    - `warm_up_ns`: the length of a slow start, which begins with `initial_capacity`, a share of the capacity.
      Meanwhile a node crashes if it receives more than `overload_multiple` times its capacity within
      `overload_window_ns`.
    - `drain_grace_ns`: how long a draining node may still get requests.
    - `tolerance_ns`: the largest difference of two times that the judge takes as the same.
    - `max_excess_share`: the largest permitted share of the forwarded units that is beyond quotas.
    - `plans`: most tenants have the first plan; the rest is spread evenly over the others.
    - `setting_overrides`: settings that differ from the usual ones, by section and key.
    - `excess_cost`: the cost of a unit beyond a quota, as a multiple of its priority weight.
    - `long_body_share`: the share of the requests with a body whose body has `LONG_BODY_BYTES`, and
      `long_body_write_s` the time in which its client writes it, in `LONG_BODY_PIECES`.
    """

    gateways: int = 3
    nodes: int = 9
    max_tenants: int = 1000
    load: float = 0.5
    greedy_share: float = 0.1
    seed: int = 1
    deduplication_window_ns: int = 5 * SECOND
    warm_up_ns: int = 6 * SECOND
    overload_window_ns: int = 3 * SECOND
    overload_multiple: float = 3.0
    initial_capacity: float = 0.25
    drain_grace_ns: int = SECOND
    tolerance_ns: int = 50 * MILLISECOND
    max_excess_share: float = 1.0
    behavior: ClientBehavior = field(default_factory=ClientBehavior)
    classes: tuple[ScenarioClass, ...] = CLASSES
    plans: Mapping[str, PlanRule] = field(default_factory=lambda: PLANS)
    zones: tuple[str, ...] = ZONES
    setting_overrides: tuple[tuple[str, str, Any], ...] = ()
    excess_cost: float = 1.0
    long_body_share: float = 0.0
    long_body_write_s: float = 0.0

    def node_specs(self) -> list[NodeSpec]:
        """Returns the nodes at the start of a run."""
        return [self.node_spec(number) for number in range(self.nodes)]

    def node_spec(self, number: int, generation: int = 0) -> NodeSpec:
        """Returns the node at a position, or its successor of a generation, which has a name of its own.

        Each cell has three nodes, and zones are assigned to cells in rotation.
        """
        name = f"s-{number}" + (f"-{generation}" if generation else "")
        cell = number // NODES_PER_CELL
        return NodeSpec(
            name,
            self.zones[cell % len(self.zones)] if self.zones else "",
            "m1",
            cell,
            initial_capacity=self.initial_capacity,
            warm_up_ns=self.warm_up_ns,
        )

    def service(self, spec: NodeSpec) -> str:
        """Returns the service of a node, or "" for the default one."""
        return ""

    def successor(self, spec: NodeSpec) -> NodeSpec:
        """Returns the next generation of a node at the same position."""
        number, generation = [*spec.name.split("-")[1:], "0"][:2]
        return self.node_spec(int(number), int(generation) + 1)

    def rating_node(
        self, spec: NodeSpec, caches: dict[int, IdempotencyCache], now: int, slow_start: bool
    ) -> RatingNode:
        """Returns the model of a node that starts at `now` (ns); missing caches of cells are added."""
        cache = caches.setdefault(spec.cell, IdempotencyCache())
        return RatingNode(spec, cache, now, slow_start, self.overload_window_ns, self.overload_multiple)

    def mean_work_ns(self, cls: str) -> int:
        """Returns the mean work of a class's requests in ns."""
        return next(each.work_ns for each in self.classes if each.name == cls)

    def idempotency(self, cls: str) -> Idempotency:
        """Returns whether requests of this request class are safe, keyed or unsafe to repeat."""
        return next(each.idempotency for each in self.classes if each.name == cls)

    def rule_parameters(self) -> RuleParameters:
        """Returns the parameters of the judge's rules."""
        window_ns = self.deduplication_window_ns
        rules = {
            each.name: ClassRule(each.idempotency, each.deduplication_scope, window_ns)
            for each in self.classes
        }
        return RuleParameters(
            rules,
            dict(self.plans),
            self.drain_grace_ns,
            self.overload_window_ns,
            self.overload_multiple,
            self.tolerance_ns,
            max_over_quota_share=self.max_excess_share,
        )

    def settings(self, position: int) -> dict[str, Any]:
        """Returns the platform's settings of one gateway in their nested form."""
        settings = nested_settings(
            self._class_settings(), self._plan_settings(), position, self.gateways, zones=self.zones
        )
        settings["zone"] = position % max(1, len(self.zones))
        settings["rules"].update(
            drainGrace=self.drain_grace_ns,
            fall=self.overload_window_ns,
            fallMultiple=self.overload_multiple,
            startCapacity=self.initial_capacity,
            warmUp=self.warm_up_ns,
        )
        for section, key, value in self.setting_overrides:
            settings[section][key] = value
        return settings

    def _class_settings(self) -> list[dict[str, Any]]:
        return [
            class_settings(
                each.name,
                _IDEMPOTENCY[each.idempotency],
                each.deduplication_scope,
                each.latency_objective_ns,
                each.deadline_ns,
                self.deduplication_window_ns,
                each.priority_weight,
            )
            for each in self.classes
        ]

    def _plan_settings(self) -> list[dict[str, Any]]:
        return [
            plan_settings(
                name,
                plan.rate_per_s,
                plan.burst_units,
                (plan.hard_limit_per_s, plan.hard_limit_burst_units, plan.hard_limit_slack_units),
                excess_cost=self.excess_cost,
            )
            for name, plan in self.plans.items()
        ]

    def population(self) -> ClientPopulation:
        """Draws tenants whose requests add up to the load; greedy ones use two to four times their quota."""
        rng = random.Random(f"scene:{self.seed}")
        mean_work_s = sum(each.share * each.work_ns for each in self.classes) / SECOND
        total_per_s = self.load * self.nodes * CORES_PER_NODE / mean_work_s
        tenants: list[Tenant] = []
        requests_per_s = 0.0
        while len(tenants) < self.max_tenants and requests_per_s < total_per_s:
            tenants.append(self._draw_tenant(rng))
            requests_per_s += tenants[-1].requests_per_s
        demands = tuple(
            ClassDemand(
                each.name, each.share, each.idempotency == "keyed", each.idempotency, each.deadline_ns
            )
            for each in self.classes
        )
        return ClientPopulation(tenants, demands, self.gateways, self.seed, self.behavior)

    def _draw_tenant(self, rng: random.Random) -> Tenant:
        (main_plan, *others), draw = self.plans, rng.random()
        has_other = others and draw < OTHER_PLANS_SHARE
        plan = others[int(draw / OTHER_PLANS_SHARE * len(others))] if has_other else main_plan
        gateway_count = min(self.gateways, rng.randint(2, 4))
        quota_use = rng.uniform(2.0, 4.0) if rng.random() < self.greedy_share else rng.uniform(0.2, 0.9)
        first_gateway = rng.randrange(self.gateways)
        requests_per_s = self.plans[plan].rate_per_s * quota_use
        return Tenant(
            rng.getrandbits(TENANT_BITS),
            plan,
            requests_per_s,
            gateway_count,
            first_gateway,
            draw_weights(rng, gateway_count),
        )

    def changed(self, **changes: Any) -> Scenario:
        """Returns a copy with other values of some fields."""
        return replace(self, **changes)
