"""Makes saturated worlds for forwarders and planners, in which every limit applies for most of the span.

The seed selects one of three kinds:
- "calm" has no faults; quotas are checked too, and nearly all admissible requests must be forwarded, by all
  forwarders alike.
- "mended" has faults that end; afterwards admissible requests must be forwarded again.
- "wild" has clocks with the documented drift and any faults; only the limits are checked.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Literal

from ....decide.time_units import SECOND
from ....planning.limits import Limit, max_parts
from .world import REQUEST_UNITS, World, WorldSettings
from .schedules import FAULTS, PlanningSchedule, prepare

Kind = Literal["calm", "mended", "wild"]
KINDS: tuple[Kind, ...] = ("calm", "mended", "wild")
SPAN = 16 * SECOND  # many times as long as any burst here lasts
# Time until the first leases are granted: a term, an election, the wait for earlier leases, and growth.
START_NS = 5 * SECOND
FAULTS_END_NS = 9 * SECOND  # no planner is unavailable for longer than 4 s
# Time of recovery: a term, an election, the wait for earlier leases, and a heartbeat for growth.
RECOVERED_NS = 12 * SECOND
DOCUMENTED_DRIFT = 0.02  # largest relative drift of clocks that the rules allow
LIMITS = (Limit(10.0, 3.0), Limit(5.0, 10.0), Limit(20.0, 4.0), Limit(3.0, 6.0), Limit(40.0, 40.0))
FAULTS_THAT_END = (
    "kill_planner",
    "kill_all_planners",
    "pause_planner",
    "kill_forwarder",
    "pause_forwarder",
    "partition",
    "isolate_planner",
    "move_traffic",
)
MIN_FORWARDED_PART = 0.75  # of admissible requests without faults; the worst of 2,000 worlds had 0.80
MIN_RECOVERED_PART = 0.5  # the same after faults, with uneven traffic; the worst had 0.58
MIN_EVEN_PART = 0.3  # of an even share, for each forwarder where a tenant's traffic is even
# Least part where forwarders take turns. A bucket of one request that refills at r and is requested at
# a >= 3 r is full, and loses its refill, for r / (a + r) of the time. A change of turns costs up to a
# heartbeat of 1.6 s. Admissible requests are computed for each limit alone, though one limit's turn may be at
# a forwarder that has no static share of the other. The worst world had 0.45.
MIN_FORWARDED_PART_IN_TURNS = 0.25


@dataclass(frozen=True, slots=True)
class SaturatedSchedule:
    """Holds a schedule and its kind, which selects the checks."""

    kind: Kind
    schedule: PlanningSchedule

    def __str__(self) -> str:
        return f"{self.kind}, {self.schedule}"


def make(seed: int) -> SaturatedSchedule:
    """Returns the schedule of a seed."""
    rng = random.Random(f"saturated:{seed}")
    kind = KINDS[seed % len(KINDS)]
    limit = rng.choice(LIMITS)
    forwarders = rng.randint(1, 5)
    factors = [each for each in (0.3, 0.5, 1.0, 2.0, 3.0) if each * limit.burst_units >= REQUEST_UNITS]
    hard_limit_factor = rng.choice(factors)
    planned_part = rng.choice((0.2, 0.5, 0.8, 0.95))
    settings = WorldSettings(
        seed,
        forwarders,
        rng.choice((1, 3, 3, 5)),
        rng.randint(1, 2),
        limit,
        rng.randint(1, forwarders),
        rng.uniform(3.0, 20.0) * min(1.0, 20.0 / limit.rate_per_s),
        planned_part,
        hard_limit_factor,
        rng.choice((0.5, 0.9, 0.95)),
        DOCUMENTED_DRIFT if kind == "wild" else 0.01,
        kind != "wild",
        kind == "calm",
    )
    if kind == "calm":
        faults: tuple[tuple[int, str], ...] = ()
    elif kind == "mended":
        names = rng.choices(FAULTS_THAT_END, k=rng.randint(1, 3))
        faults = tuple(sorted((rng.randint(SECOND, FAULTS_END_NS - 4 * SECOND), name) for name in names))
    else:
        names = rng.choices(list(FAULTS), k=rng.randint(2, 5))
        faults = tuple(sorted((rng.randint(SECOND, 12 * SECOND), name) for name in names))
    return SaturatedSchedule(kind, PlanningSchedule(settings, faults))


def play(saturated: SaturatedSchedule) -> World:
    """Plays a schedule; the world's `violations` include too few forwarded requests."""
    settings, world = saturated.schedule.settings, prepare(saturated.schedule, "saturated fault")
    since = {"calm": START_NS, "mended": RECOVERED_NS, "wild": SPAN}[saturated.kind]
    world.run(since)
    before = [count.forwarded for count in world.counts]
    before_by = [list(each) for each in world.forwarded_by]
    world.run(SPAN - since)
    used = settings.used_forwarders
    takes_turns = any(
        max_parts(each.limit.burst_units * each.planned_part, REQUEST_UNITS, used) < used
        for each in settings.limits(0)
    )
    if saturated.kind != "wild":
        min_without_turns = MIN_FORWARDED_PART if saturated.kind == "calm" else MIN_RECOVERED_PART
        min_part = MIN_FORWARDED_PART_IN_TURNS if takes_turns else min_without_turns
        for tenant, part in enumerate(forwarded_parts(world, before, SPAN - since)):
            if part < min_part:
                world.violations.append(f"tenant {tenant}: {part:.2f} of admissible requests were forwarded")
    if saturated.kind == "calm" and not takes_turns:
        for tenant, part in enumerate(least_even_parts(world, before_by)):
            if part < MIN_EVEN_PART:
                world.violations.append(f"tenant {tenant}: a forwarder has {part:.2f} of an even share")
    return world


def admissible_per_s(world: World, tenant: int) -> float:
    """Returns the requests per second that a perfect planner could admit.

    The planned part follows the demand, and a static share serves the requests of its own forwarder.
    """
    settings, weights = world.settings, world.weights[tenant]
    requested = [settings.limit.rate_per_s * settings.load * weight / sum(weights) for weight in weights]
    admissible = sum(requested)
    for index, each in enumerate(settings.limits(tenant)):
        rate = each.limit.rate_per_s
        parts = [settings.static_parts(tenant, n)[index] for n in world.tenant_forwarders[tenant]]
        static = sum(min(r, part * rate) for r, part in zip(requested, parts, strict=True))
        admissible = min(admissible, rate * each.planned_part + static)
    return admissible


def forwarded_parts(world: World, before: list[int], span_ns: int) -> list[float]:
    """Returns the ratio of forwarded to admissible requests in a span, by tenant.

    One request is added, because requests may fall on either side of the span's ends.
    """
    return [
        (count.forwarded - earlier + 1) * SECOND / (admissible_per_s(world, tenant) * span_ns)
        for tenant, (count, earlier) in enumerate(zip(world.counts, before, strict=True))
    ]


def least_even_parts(world: World, before: list[list[int]]) -> list[float]:
    """Returns the ratio of the least forwarder's requests to an even share, by tenant."""
    parts = []
    for tenant, used in enumerate(world.tenant_forwarders):
        forwarded = [world.forwarded_by[number][tenant] - before[number][tenant] for number in used]
        parts.append((min(forwarded) + 1) * len(forwarded) / max(1, sum(forwarded)))
    return parts
