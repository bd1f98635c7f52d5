"""Replicas and gateways in virtual time: hard cases by seeds, and planted faults that are told."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from trackspread.decide.time_units import MILLISECOND, SECOND
from trackspread.testing.virtual.distribution.mutants import MUTANTS, first_detection
from trackspread.testing.virtual.distribution.schedules import LONG, SHORT, leader_dies, schedule_changes
from trackspread.testing.virtual.distribution.world import World

SEEDS = range(60)


@pytest.mark.parametrize("world", SHORT, ids=lambda world: world.__name__)
def test_all_hold_the_same_and_nothing_committed_is_lost(world: Callable[[int], World]) -> None:
    for seed in SEEDS:
        world(seed)


@pytest.mark.parametrize("world", LONG, ids=lambda world: world.__name__)
def test_a_heal_and_a_restart_of_half_make_no_storm(world: Callable[[int], World]) -> None:
    for seed in range(3):
        world(seed)


def test_a_schedule_replays_by_its_seed() -> None:
    one, two = leader_dies(3), leader_dies(3)
    assert one.checker.committed == two.checker.committed and one.sent == two.sent


@pytest.mark.parametrize("name", MUTANTS)
def test_a_planted_fault_is_told(name: str) -> None:
    assert first_detection(name, SEEDS) is not None


@pytest.mark.parametrize("changing", [False, True])
def test_what_a_gateway_spends_does_not_hang_on_how_many_there_are(changing: bool) -> None:
    means = []
    for gateways in (20, 80):
        world = World(1, replicas=5, gateways=gateways, services=20)
        world.start_all()
        world.bytes.clear()
        if changing:
            schedule_changes(world, 30 * SECOND, 250 * MILLISECOND)
        world.run(30 * SECOND)
        means.append(sum(world.bytes[each.name] for each in world.gateways) / gateways / 30)
    assert means[1] < 1.1 * means[0] and means[1] < 600, means


def test_messages_grow_with_the_fleet_and_not_with_its_square() -> None:
    sent = []
    for gateways in (25, 50, 100):
        world = World(2, replicas=5, gateways=gateways)
        world.start_all()
        world.sent.clear()
        schedule_changes(world, 20 * SECOND, 500 * MILLISECOND)
        world.run(20 * SECOND)
        sent.append(sum(world.sent.values()))
    assert sent[2] - sent[1] < 2.2 * (sent[1] - sent[0]), sent
