"""Tests in virtual time that the rules hold under seeded schedules and the judge detects every mutant."""

from __future__ import annotations

from itertools import count
from unittest.mock import patch

import pytest

from trackspread.decide.quota import owner_grants
from trackspread.testing.judge.judge import judge
from trackspread.testing.standins.rating_node import SECOND
from trackspread.testing.standins.scenario import Scenario
from trackspread.testing.virtual.clock import START, Clock
from trackspread.testing.virtual.fleet import VirtualFleet
from trackspread.testing.virtual.mutants import MUTANTS, first_detecting_seed
from trackspread.testing.virtual.schedules import CALM, FAULTS, make, play

SEEDS = range(100, 148)
FIRST_SEEDS = {
    "warming-up-overloaded": 51,
    "window-ignored": 4,
}  # first seeds whose schedules expose the fault


@pytest.mark.parametrize("seed", SEEDS)
def test_rules_hold_under_a_seeded_schedule(seed: int) -> None:
    schedule = make(seed)
    verdict, _ = play(schedule)
    assert verdict.state == "kept", f"{schedule}: {verdict.violations[:3]}"
    assert verdict.summary.served > 0 and verdict.summary.unanswered < verdict.summary.requests


def test_schedules_include_every_fault_and_calm_runs() -> None:
    made = [make(seed) for seed in range(200)]
    assert {name for each in made for _, name in each.faults} == set(FAULTS)
    assert sum(not each.faults for each in made) == 200 // CALM


def test_same_seed_gives_same_ledger() -> None:
    first, second = (play(make(SEEDS[3]))[1].ledger.entries for _ in range(2))
    assert first == second and len(first) > 100


@pytest.mark.parametrize("name", MUTANTS)
def test_every_mutant_breaks_its_rule(name: str) -> None:
    assert first_detecting_seed(name, iter(range(FIRST_SEEDS.get(name, 0), 100))) is not None


def test_planted_mutant_is_removed_afterwards() -> None:
    before = play(make(2))[0]
    assert before.state == "kept"
    assert first_detecting_seed("execution-forgotten", count(2)) == 2
    assert play(make(2))[0] == before


def test_clock_keeps_order_and_never_goes_back() -> None:
    clock, seen = Clock(), []
    clock.after(5, lambda: seen.append((clock.now, "c")))
    clock.after(3, lambda: seen.append((clock.now, "a")))
    clock.after(3, lambda: clock.at(0, lambda: seen.append((clock.now, "b"))))
    clock.run(START + 4)
    assert clock.now == START + 4 and [name for _, name in seen] == ["a", "b"]
    clock.run(START + 9)
    assert seen == [(START + 3, "a"), (START + 3, "b"), (START + 5, "c")]


@pytest.mark.parametrize("loss", [0.02, 0.5])
def test_quota_owners_settle_units_forwarded_without_a_grant(loss: float) -> None:
    """Guards against a quota owner that keeps granting all of a quota that other gateways spend too."""

    def over_quota_share(seed: int) -> float:
        scenario = Scenario(gateways=8, nodes=12, load=0.35, greedy_share=0.3, seed=seed)
        fleet = VirtualFleet(scenario, seed)
        fleet.conditions.peer_loss = loss
        fleet.run(8 * SECOND)
        return judge(scenario.rule_parameters(), fleet.ledger.entries).summary.over_quota_share

    seeds = range(1, 5)
    settled = sum(map(over_quota_share, seeds)) / len(seeds)
    with patch.object(owner_grants, "settle_grants", lambda *words: None):
        unsettled = sum(map(over_quota_share, seeds)) / len(seeds)
    assert settled < 0.1 and settled < 0.7 * unsettled
