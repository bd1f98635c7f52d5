"""Tests forwarders and planners under seeded schedules: outstanding leases never exceed the limit."""

from __future__ import annotations

import pytest

from trackspread.decide.time_units import SECOND
from trackspread.testing.virtual.planning import saturated
from trackspread.testing.virtual.planning.world import Plan, World
from trackspread.testing.virtual.planning.mutants import MUTANTS, convict
from trackspread.testing.virtual.planning.schedules import FAULTS, LARGE, make, play

SEEDS = range(300, 340)


@pytest.mark.parametrize("seed", SEEDS)
def test_limit_holds_at_every_step_of_a_schedule(seed: int) -> None:
    schedule = make(seed)
    world = play(schedule)
    assert world.broken == [], str(schedule)
    assert all(count.asked > 0 and count.excess == 0.0 for count in world.counts)


@pytest.mark.parametrize("seed", range(40))
def test_saturated_fleets_keep_the_limit_and_serve_their_share(seed: int) -> None:
    schedule = saturated.make(seed)
    assert saturated.play(schedule).broken == [], str(schedule)


def test_saturated_schedules_cover_hard_limits_quotas_and_turns() -> None:
    plans = [saturated.make(seed).schedule.plan for seed in range(60)]
    assert {plan.over < 1.0 for plan in plans} == {True, False}
    assert all(plan.asked >= 1.4 * min(1.0, plan.over) for plan in plans)
    assert any(
        limit.limit.burst_units * limit.planned_part < plan.used for plan in plans for limit in plan.caps(0)
    )


def test_schedules_cover_every_fault_and_the_full_size() -> None:
    schedules = [make(seed) for seed in range(LARGE)]
    assert {name for each in schedules for _, name in each.faults} == set(FAULTS)
    assert (
        max(each.plan.forwarders for each in schedules) == 40
        and max(each.plan.planners for each in schedules) == 5
    )


@pytest.mark.parametrize("name", MUTANTS)
def test_invariant_detects_every_mutant(name: str) -> None:
    assert convict(name, iter(range(30))) is not None


def test_fleet_without_faults_forwards_nearly_the_full_limit() -> None:
    world = World(Plan(1, asked=0.8))
    world.run(5 * SECOND)
    before = [(c.asked, c.sent) for c in world.counts]
    world.run(20 * SECOND)
    for count, (asked, sent) in zip(world.counts, before, strict=True):
        assert (count.sent - sent) / (count.asked - asked) > 0.9


def test_same_seed_gives_the_same_run() -> None:
    first, second = (play(make(SEEDS[2])) for _ in range(2))
    assert [c.by_second for c in first.counts] == [c.by_second for c in second.counts]
