"""Plans with a history: the registry's rules, stores that are carried over, and what follows on sockets."""

from __future__ import annotations

import asyncio
import os
import random
import time
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from trackspread.cli import main
from trackspread.config.operator import parse
from trackspread.decide.broker import Broker
from trackspread.decide.actions import LogMessage, Reject, StartAttempt
from trackspread.decide.backends import EndpointUpdateKind
from trackspread.decide.events import PlansChanged
from trackspread.decide.settings import Plan
from trackspread.decide.tenant_account import rescaled_tokens
from trackspread.plans.notice import NOTICE_MS, PlanError
from trackspread.plans.registry import (
    SCHEMA,
    Figures,
    PlanRegistry,
    Version,
    VersionFollower,
    add_version,
    in_force,
    next_version,
    plan_differences,
    withdraw_version,
)

from ..fakes import run, until, world
from ..helpers import MS, arrival, backend, ended, full_list, plan, settings

NOW = 1_000_000_000
LATE = NOW + 70_000
FULL: dict[str, Figures] = {"full": Figures(10.0, 20.0)}
LESS = {"full": Figures(5.0, 10.0, ceiling_rate=8.0, ceiling_burst=12.0)}


def _registry(*changes: tuple[dict[str, Figures], int]) -> PlanRegistry:
    registry = PlanRegistry()
    for plans, since in changes:
        registry = add_version(registry, plans, since, NOW, "")
    return registry


def test_versions_are_in_force_from_their_moment_on_and_stay_in_the_registry() -> None:
    registry = _registry((FULL, NOW + NOTICE_MS), (LESS, NOW + 60_000))
    assert in_force(registry, NOW) is None
    first, second = in_force(registry, NOW + NOTICE_MS), in_force(registry, NOW + 60_000)
    assert first is not None and second is not None and (first.number, second.number) == (1, 2)
    assert next_version(registry, NOW + NOTICE_MS) == second and next_version(registry, NOW + 60_000) is None
    assert SCHEMA.unpack(SCHEMA.pack(registry), PlanRegistry) == registry


def test_a_version_may_be_withdrawn_until_gateways_rely_on_it() -> None:
    registry = withdraw_version(_registry((FULL, NOW + 20_000), (LESS, NOW + 60_000)), 1, NOW)
    assert in_force(registry, NOW + 30_000) is None and len(registry.versions) == 2
    later = add_version(registry, FULL, NOW + 90_000, NOW, "again")
    assert later.versions[-1].number == 3, "numbers are not used twice"
    with pytest.raises(PlanError, match="found 1, wanted one that stands"):
        withdraw_version(registry, 1, NOW)
    with pytest.raises(PlanError, match="in force within 5 s or already"):
        withdraw_version(registry, 2, NOW + 58_000)


@pytest.mark.parametrize(
    ("plans", "since", "line"),
    [
        (FULL, NOW + 1_000, "from: found a moment 1.0 s from now, wanted at least 5 s"),
        (FULL, NOW + 60_000, "from: found a moment before that of a version that stands"),
        ({}, NOW + 70_000, "plans: found none"),
        ({"fulll": FULL["full"]}, LATE, "plans.fulll: found an unknown plan, wanted one of basic, full"),
        ({"full": Figures(1.0, 0.0)}, LATE, "plans.full: found rate 1 and burst 0, wanted both over 0"),
        ({"full": Figures(0, 0, 0, 1.0)}, LATE, "plans.full: found ceiling_rate 1 and ceiling_burst 0"),
        ({"full": Figures(0, 0, 0, 1, 2, 3)}, LATE, "plans.full.ceiling_slack: found 3, wanted at most"),
    ],
)
def test_a_change_that_cannot_be_meant_is_one_line(plans: dict[str, Figures], since: int, line: str) -> None:
    with pytest.raises(PlanError) as caught:
        add_version(_registry((LESS, NOW + 60_000)), plans, since, NOW, "", {"basic", "full"})
    assert str(caught.value).startswith(line)


def test_differences_are_told_figure_by_figure() -> None:
    assert plan_differences(FULL, LESS) == [
        "full.rate: 10 -> 5",
        "full.burst: 20 -> 10",
        "full.ceiling_rate: 0 -> 8",
        "full.ceiling_burst: 0 -> 12",
    ]
    assert plan_differences(FULL, FULL) == [] and plan_differences({}, FULL) == ["full: named"]


@pytest.mark.parametrize("seed", range(100))
def test_gateways_take_a_version_up_within_what_their_clocks_differ_by(seed: int) -> None:
    """Each looks once a second, a look in ten fails, and clocks differ by up to a second."""
    rng = random.Random(f"plans:{seed}")
    registry, clocks = PlanRegistry(), [rng.randint(-500, 500) for _ in range(5)]
    followers, taken = [VersionFollower() for _ in clocks], [dict[int, int]() for _ in clocks]
    for now in range(NOW, NOW + 40_000, 50):
        if rng.random() < 0.01 and next_version(registry, now) is None:
            registry = add_version(registry, FULL, now + rng.randint(NOTICE_MS, 9_000), now, "")
        for number, (follower, clock) in enumerate(zip(followers, clocks, strict=True)):
            if (now + 200 * number) % 1000 == 0 and rng.random() < 0.9:
                follower.set_registry(registry)
            if (due := follower.take_due(now + clock)) is not None and due[0] is not None:
                taken[number][due[0].number] = now
    assert registry.versions
    for version in registry.versions:
        if version.since < NOW + 39_000:
            at = [versions[version.number] for versions in taken]
            assert max(at) - min(at) <= 1_050 and min(at) >= version.since - 500


@hypothesis_settings(derandomize=True)
@given(st.floats(-50, 50), st.floats(0.1, 100), st.floats(0.1, 100))
def test_a_change_is_never_a_gift_and_the_store_fits_its_burst(level: float, old: float, new: float) -> None:
    level = min(level, old)
    after = rescaled_tokens(level, old, new)
    assert after <= level and after <= new * (1 + 1e-9)
    if new >= old and level >= 0:
        assert after == level, "units are kept where the burst rises"
    if new < old and level > 0:
        assert after / new == pytest.approx(level / old), "the share where it falls"


def test_a_store_that_begins_to_count_begins_empty() -> None:
    assert (
        rescaled_tokens(0.0, 0.0, 9.0) == 0.0
        and rescaled_tokens(7.0, 0.0, 9.0) == 0.0
        and rescaled_tokens(-1.0, 0.0, 9.0) == -1.0
    )


def test_a_member_that_is_lowered_while_above_gets_nothing_new_until_the_store_allows_it() -> None:
    module = Broker(settings(plans=(plan(rate_per_s=10.0, burst_units=10.0),)), 7, 0)
    module.handle(0, full_list(backend(1), backend(2), kind=EndpointUpdateKind.CACHED))
    for number in range(1, 9):
        assert any(
            isinstance(a, StartAttempt) for a in module.handle(MS * number, arrival(number, MS * number))
        )
    lowered: tuple[Plan, ...] = (plan(rate_per_s=1.0, burst_units=2.0),)
    told = module.handle(10 * MS, PlansChanged(lowered))
    assert [type(a) for a in told] == [LogMessage]
    assert not any(isinstance(a, Reject) for a in told), "what is in flight is left to end"
    at = 20 * MS
    refused = module.handle(at, arrival(20, at))
    assert [type(a) for a in refused] == [Reject], "0.4 units are left of 2"
    for number in range(1, 9):
        tried = module.requests.attempts[number, 0].tried_backends
        module.handle(100 * MS, ended(number, next(iter(tried)), elapsed=90 * MS))
    at = 5_000 * MS
    assert any(isinstance(a, StartAttempt) for a in module.handle(at, arrival(21, at))), (
        "it fills by the new rate"
    )


def test_a_member_that_asks_under_another_plan_takes_its_store_along() -> None:
    small, large = plan(rate_per_s=1.0, burst_units=2.0), plan(rate_per_s=100.0, burst_units=200.0)
    module = Broker(settings(plans=(small, large)), 7, 0)
    module.handle(0, full_list(backend(1), backend(2), kind=EndpointUpdateKind.CACHED))
    module.handle(MS, arrival(1, MS))
    account = module.quota.accounts[1]
    assert account.plan == small and account.tokens == pytest.approx(1.0)
    module.handle(2 * MS, arrival(2, 2 * MS, plan=1))
    assert account.plan == large and account.tokens < 1.2, "no gift: it fills by the new rate"


def _words(capsys: pytest.CaptureFixture[str], *words: str) -> tuple[int, str]:
    status = main(["plans", *words])
    caught = capsys.readouterr()
    return status, caught.out + caught.err


def test_an_operator_applies_compares_withdraws_and_reads_the_history(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    registry, file = str(tmp_path / "plans.json"), tmp_path / "new.toml"
    file.write_text("[plans.full]\nrate = 5\nburst = 10\n")
    assert _words(capsys, "history", registry) == (0, "no versions: the platform's figures hold\n")
    assert _words(capsys, "diff", registry, str(file)) == (1, "full: named\n")
    status, told = _words(capsys, "apply", registry, str(file), "--from", "+60", "--note", "winter")
    assert status == 0 and told.startswith("version 1 is in force from ")
    status, told = _words(capsys, "apply", registry, str(file), "--from", "+1")
    assert status == 2 and "wanted at least 5 s" in told
    assert told.startswith(f"trackspread: {registry}: from: ")
    assert "to come   winter" in _words(capsys, "history", registry)[1]
    assert _words(capsys, "withdraw", registry, "1") == (0, "version 1 is withdrawn\n")
    assert "withdrawn winter" in _words(capsys, "history", registry)[1]
    file.write_text("[plans.full]\nrat = 5\n")
    status, told = _words(capsys, "diff", registry, str(file))
    assert status == 2 and "unknown field `rat`" in told
    status, told = _words(capsys, "apply", registry, str(file), "--from", "soon")
    assert status == 2


def test_a_running_gateway_takes_up_a_version_at_its_moment(tmp_path: Path) -> None:
    path = tmp_path / "plans.json"
    operator = parse(f'[plans]\nbook = "{path}"\n', "own.toml")

    async def body() -> None:
        async with world(operator) as made:
            registry = made.node.parts.plan_registry
            assert registry is not None and registry.version == 0
            now = time.time_ns() // 1_000_000
            version = Version(1, now + 300, now, "", {"team": Figures(1.0, 2.0)})
            path.write_bytes(SCHEMA.pack(PlanRegistry((version,))))
            await until(lambda: registry.version == 1)
            assert time.time_ns() // 1_000_000 >= version.since
            assert made.node.decision_module.quota.settings.plans[0].burst_units == 2.0
            path.write_bytes(b"broken")
            os.utime(path, ns=(1, 1))
            await asyncio.sleep(0)
            assert registry.version == 1, "a registry that can't be read changes nothing"

    run(body)
