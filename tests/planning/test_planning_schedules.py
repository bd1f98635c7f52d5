"""Forwarders and planners under seeded schedules: rights that are out never pass the limit."""

from __future__ import annotations

import pytest

from trackspread.decide.time_units import SECOND
from trackspread.testing.virtual.planning import saturated
from trackspread.testing.virtual.planning.world import World, WorldSettings
from trackspread.testing.virtual.planning.mutants import MUTANTS, first_detecting_seed
from trackspread.testing.virtual.planning.schedules import FAULTS, LARGE_INTERVAL, make, play

SEEDS = range(300, 340)


@pytest.mark.parametrize("seed", SEEDS)
def test_the_invariant_holds_at_every_step_of_a_seeded_schedule(seed: int) -> None:
    schedule = make(seed)
    world = play(schedule)
    assert world.violations == [], str(schedule)
    assert all(count.requested > 0 and count.excess_units == 0.0 for count in world.counts)


@pytest.mark.parametrize("seed", range(40))
def test_saturated_worlds_keep_the_account_and_serve_what_is_due(seed: int) -> None:
    made = saturated.make(seed)
    assert saturated.play(made).violations == [], str(made)


def test_saturated_worlds_bind_ceilings_and_quotas_and_both_take_turns() -> None:
    plans = [saturated.make(seed).schedule.settings for seed in range(60)]
    assert {plan.hard_limit_factor < 1.0 for plan in plans} == {True, False}
    assert all(plan.load >= 1.4 * min(1.0, plan.hard_limit_factor) for plan in plans)
    assert any(
        cap.limit.burst_units * cap.planned_part < plan.used_forwarders
        for plan in plans
        for cap in plan.limits(0)
    )


def test_schedules_bring_every_fault_and_the_full_size() -> None:
    made = [make(seed) for seed in range(LARGE_INTERVAL)]
    assert {name for each in made for _, name in each.faults} == set(FAULTS)
    assert (
        max(each.settings.forwarders for each in made) == 40
        and max(each.settings.planners for each in made) == 5
    )


@pytest.mark.parametrize("name", MUTANTS)
def test_the_invariant_convicts_every_mutant(name: str) -> None:
    assert first_detecting_seed(name, iter(range(30))) is not None


def test_a_calm_fleet_sends_on_nearly_all_that_the_limit_allows() -> None:
    world = World(WorldSettings(1, load=0.8))
    world.run(5 * SECOND)
    before = [(c.requested, c.forwarded) for c in world.counts]
    world.run(20 * SECOND)
    for count, (asked, sent) in zip(world.counts, before, strict=True):
        assert (count.forwarded - sent) / (count.requested - asked) > 0.9


def test_the_same_seed_gives_the_same_world() -> None:
    first, second = (play(make(SEEDS[2])) for _ in range(2))
    assert [c.by_second for c in first.counts] == [c.by_second for c in second.counts]
