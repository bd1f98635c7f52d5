"""Tests forwarders and planners under seeded schedules: outstanding leases never exceed the limit."""

from __future__ import annotations

import pytest

from trackspread.decide.time_units import SECOND
from trackspread.testing.virtual.planning import saturated
from trackspread.testing.virtual.planning.world import World, WorldSettings
from trackspread.testing.virtual.planning.mutants import MUTANTS, first_detecting_seed
from trackspread.testing.virtual.planning.schedules import FAULTS, LARGE_INTERVAL, make, play

SEEDS = range(300, 340)


@pytest.mark.parametrize("seed", SEEDS)
def test_limit_holds_at_every_step_of_a_schedule(seed: int) -> None:
    schedule = make(seed)
    world = play(schedule)
    assert world.violations == [], str(schedule)
    assert all(count.requested > 0 and count.excess_units == 0.0 for count in world.counts)


@pytest.mark.parametrize("seed", range(40))
def test_saturated_fleets_keep_the_limit_and_serve_their_share(seed: int) -> None:
    schedule = saturated.make(seed)
    assert saturated.play(schedule).violations == [], str(schedule)


def test_saturated_schedules_cover_hard_limits_quotas_and_turns() -> None:
    plans = [saturated.make(seed).schedule.settings for seed in range(60)]
    assert {plan.hard_limit_factor < 1.0 for plan in plans} == {True, False}
    assert all(plan.load >= 1.4 * min(1.0, plan.hard_limit_factor) for plan in plans)
    assert any(
        limit.limit.burst_units * limit.planned_part < plan.used_forwarders
        for plan in plans
        for limit in plan.limits(0)
    )


def test_schedules_cover_every_fault_and_the_full_size() -> None:
    schedules = [make(seed) for seed in range(LARGE_INTERVAL)]
    assert {name for each in schedules for _, name in each.faults} == set(FAULTS)
    assert (
        max(each.settings.forwarders for each in schedules) == 40
        and max(each.settings.planners for each in schedules) == 5
    )


@pytest.mark.parametrize("name", MUTANTS)
def test_invariant_detects_every_mutant(name: str) -> None:
    assert first_detecting_seed(name, iter(range(30))) is not None


def test_fleet_without_faults_forwards_nearly_the_full_limit() -> None:
    world = World(WorldSettings(1, load=0.8))
    world.run(5 * SECOND)
    before = [(c.requested, c.forwarded) for c in world.counts]
    world.run(20 * SECOND)
    for count, (asked, sent) in zip(world.counts, before, strict=True):
        assert (count.forwarded - sent) / (count.requested - asked) > 0.9


def test_same_seed_gives_the_same_run() -> None:
    first, second = (play(make(SEEDS[2])) for _ in range(2))
    assert [c.by_second for c in first.counts] == [c.by_second for c in second.counts]
