"""Saturated worlds for forwarders and planners: every limit binds for most of the span, and service is owed.

Three kinds, by the seed: calm ones, in which also soft rights are held to the account and nearly all that
is due must be sent on, by all alike; ones whose faults end, after which the same holds again; and ones with
clocks at the stated drift and whatever goes wrong, in which the account alone is held to.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Literal

from ....decide.time_units import SECOND
from ....planning.limits import Limit, max_parts
from .world import UNIT, Plan, World
from .schedules import FAULTS, PlannedSchedule, begun

Kind = Literal["calm", "mended", "wild"]
KINDS: tuple[Kind, ...] = ("calm", "mended", "wild")
SPAN = 16 * SECOND  # many times what any burst here lasts
# of it until first leases are out: a silent term, an election, one lease of learning, growth
WARM = 5 * SECOND
MENDED = 9 * SECOND  # when the last fault ends: no planner is away for longer than 4 s
BACK = 12 * SECOND  # from when all is as before: a term, an election, a lease of learning, a beat to grow
DRIFT_STATED = 0.02  # the most that clocks may drift, of which the rules speak
LIMITS = (Limit(10.0, 3.0), Limit(5.0, 10.0), Limit(20.0, 4.0), Limit(3.0, 6.0), Limit(40.0, 40.0))
ENDING = (
    "kill_planner",
    "kill_all_planners",
    "pause_planner",
    "kill_forwarder",
    "pause_forwarder",
    "part",
    "part_planners",
    "move",
)
USED_LEAST = 0.75  # of what is due in a calm saturated world: 0.80 at worst of 2,000
BACK_LEAST = 0.5  # the same once faults have ended, with uneven traffic: 0.58 at worst
ALIKE = 0.3  # least part of an even share that each forwarder gets where a member's traffic is even
# Where turns are taken: a store of one request that fills at r and is asked for at a >= 3 r is full, and
# loses
# what would fill it, for r / (a + r) of the time; a change of turns costs up to a beat of 1.6 s; and what
# is due
# is reckoned for each cap alone, though a turn in one may lie where the other has no even slice. 0.45 at
# worst.
USED_IN_TURNS = 0.25


@dataclass(frozen=True, slots=True)
class Saturated:
    """A schedule and what it is held to."""

    kind: Kind
    schedule: PlannedSchedule

    def __str__(self) -> str:
        return f"{self.kind}, {self.schedule}"


def make(seed: int) -> Saturated:
    rng = random.Random(f"saturated:{seed}")
    kind = KINDS[seed % len(KINDS)]
    limit = rng.choice(LIMITS)
    forwarders = rng.randint(1, 5)
    over = rng.choice([each for each in (0.3, 0.5, 1.0, 2.0, 3.0) if each * limit.burst_units >= UNIT])
    planned = rng.choice((0.2, 0.5, 0.8, 0.95))
    plan = Plan(
        seed,
        forwarders,
        rng.choice((1, 3, 3, 5)),
        rng.randint(1, 2),
        limit,
        rng.randint(1, forwarders),
        rng.uniform(3.0, 20.0) * min(1.0, 20.0 / limit.rate_per_s),
        planned,
        over,
        rng.choice((0.5, 0.9, 0.95)),
        DRIFT_STATED if kind == "wild" else 0.01,
        kind != "wild",
        kind == "calm",
    )
    if kind == "calm":
        faults: tuple[tuple[int, str], ...] = ()
    elif kind == "mended":
        names = rng.choices(ENDING, k=rng.randint(1, 3))
        faults = tuple(sorted((rng.randint(SECOND, MENDED - 4 * SECOND), name) for name in names))
    else:
        names = rng.choices(list(FAULTS), k=rng.randint(2, 5))
        faults = tuple(sorted((rng.randint(SECOND, 12 * SECOND), name) for name in names))
    return Saturated(kind, PlannedSchedule(plan, faults))


def play(made: Saturated) -> World:
    """`broken` of what comes back also has service that was owed."""
    plan, world = made.schedule.plan, begun(made.schedule, "saturated fault")
    since = {"calm": WARM, "mended": BACK, "wild": SPAN}[made.kind]
    world.run(since)
    before = [count.sent for count in world.counts]
    spread = [list(each) for each in world.sent_by]
    world.run(SPAN - since)
    turns = any(
        max_parts(cap.limit.burst_units * cap.planned_part, UNIT, plan.used) < plan.used
        for cap in plan.caps(0)
    )
    if made.kind != "wild":
        least = USED_IN_TURNS if turns else USED_LEAST if made.kind == "calm" else BACK_LEAST
        for member, used in enumerate(shares(world, before, SPAN - since)):
            if used < least:
                world.broken.append(f"member {member}: {used:.2f} of what is due was sent on")
    if made.kind == "calm" and not turns:
        for member, least_share in enumerate(evenness(world, spread)):
            if least_share < ALIKE:
                world.broken.append(f"member {member}: a forwarder got {least_share:.2f} of an even share")
    return world


def due(world: World, member: int) -> float:
    """Requests a second that a perfect planner could let through: what is planned follows the demand; a slice
    serves what is asked where it lies."""
    plan, weights = world.plan, world.weights[member]
    asked = [plan.limit.rate_per_s * plan.asked * weight / sum(weights) for weight in weights]
    most = sum(asked)
    for which, cap in enumerate(plan.caps(member)):
        parts = [plan.parts(member, number)[which] for number in world.ways[member]]
        slices = sum(min(a, part * cap.limit.rate_per_s) for a, part in zip(asked, parts, strict=True))
        most = min(most, cap.limit.rate_per_s * cap.planned_part + slices)
    return most


def shares(world: World, before: list[int], span: int) -> list[float]:
    """By member: sent on, over what was due in the span; whole requests may lie to either side of its
    ends."""
    return [
        (count.sent - was + 1) * SECOND / (due(world, member) * span)
        for member, (count, was) in enumerate(zip(world.counts, before, strict=True))
    ]


def evenness(world: World, before: list[list[int]]) -> list[float]:
    """By member: what the least served of its forwarders sent on, over an even share."""
    found = []
    for member, ways in enumerate(world.ways):
        sent = [world.sent_by[number][member] - before[number][member] for number in ways]
        found.append((min(sent) + 1) * len(sent) / max(1, sum(sent)))
    return found
