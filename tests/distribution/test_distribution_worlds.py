"""Tests replicas and gateways in virtual time under seeded faults, and with mutants that must be detected."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from trackspread.decide.time_units import MILLISECOND, SECOND
from trackspread.testing.virtual.distribution.mutants import MUTANTS, first_detection
from trackspread.testing.virtual.distribution.schedules import LONG, SHORT, leader_dies, schedule_changes
from trackspread.testing.virtual.distribution.world import World

SEEDS = range(60)


@pytest.mark.parametrize("world", SHORT, ids=lambda world: world.__name__)
def test_gateways_agree_and_committed_changes_survive(world: Callable[[int], World]) -> None:
    for seed in SEEDS:
        world(seed)


@pytest.mark.parametrize("world", LONG, ids=lambda world: world.__name__)
def test_recovery_causes_no_overload(world: Callable[[int], World]) -> None:
    """The end of a partition and the restart of half of the gateways cause no burst of messages."""
    for seed in range(3):
        world(seed)


def test_schedule_replays_by_its_seed() -> None:
    one, two = leader_dies(3), leader_dies(3)
    assert one.checker.committed == two.checker.committed and one.sent == two.sent


@pytest.mark.parametrize("name", MUTANTS)
def test_every_mutant_is_detected(name: str) -> None:
    assert first_detection(name, SEEDS) is not None


@pytest.mark.parametrize("has_changes", [False, True])
def test_bytes_per_gateway_do_not_grow_with_the_fleet(has_changes: bool) -> None:
    mean_bytes_per_s = []
    for gateways in (20, 80):
        world = World(1, replicas=5, gateways=gateways, services=20)
        world.start_all()
        world.bytes.clear()
        if has_changes:
            schedule_changes(world, 30 * SECOND, 250 * MILLISECOND)
        world.run(30 * SECOND)
        mean_bytes_per_s.append(sum(world.bytes[each.name] for each in world.gateways) / gateways / 30)
    assert mean_bytes_per_s[1] < 1.1 * mean_bytes_per_s[0] and mean_bytes_per_s[1] < 600, mean_bytes_per_s


def test_messages_grow_linearly_with_the_fleet() -> None:
    sent = []
    for gateways in (25, 50, 100):
        world = World(2, replicas=5, gateways=gateways)
        world.start_all()
        world.sent.clear()
        schedule_changes(world, 20 * SECOND, 500 * MILLISECOND)
        world.run(20 * SECOND)
        sent.append(sum(world.sent.values()))
    assert sent[2] - sent[1] < 2.2 * (sent[1] - sent[0]), sent
