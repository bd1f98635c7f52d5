"""Tests the plan registry, the change of plans in service, and the `plans` command."""

from __future__ import annotations

import asyncio
import os
import random
import time
from pathlib import Path

import pytest
from hypothesis import given, seed
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
    PlanLimits,
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

# Hypothesis would derive the seed from the text of the test, so that any rewording changed the examples.
SEED = 0x845AB18C233FE94FF916C4C91EC516062D91AC57BB016EDBED736D4764F4E1A1989B0DB71CC2366FF0B57D8239324DC1
NOW = 1_000_000_000
LATE = NOW + 70_000
FULL: dict[str, PlanLimits] = {"full": PlanLimits(10.0, 20.0)}
LESS = {"full": PlanLimits(5.0, 10.0, ceiling_rate=8.0, ceiling_burst=12.0)}


def _registry(*changes: tuple[dict[str, PlanLimits], int]) -> PlanRegistry:
    registry = PlanRegistry()
    for plans, since in changes:
        registry = add_version(registry, plans, since, NOW, "")
    return registry


def test_versions_come_into_force_when_due_and_stay_recorded() -> None:
    registry = _registry((FULL, NOW + NOTICE_MS), (LESS, NOW + 60_000))
    assert in_force(registry, NOW) is None
    first, second = in_force(registry, NOW + NOTICE_MS), in_force(registry, NOW + 60_000)
    assert first is not None and second is not None and (first.number, second.number) == (1, 2)
    assert next_version(registry, NOW + NOTICE_MS) == second and next_version(registry, NOW + 60_000) is None
    assert SCHEMA.unpack(SCHEMA.pack(registry), PlanRegistry) == registry


def test_version_can_be_withdrawn_until_its_notice_time() -> None:
    registry = withdraw_version(_registry((FULL, NOW + 20_000), (LESS, NOW + 60_000)), 1, NOW)
    assert in_force(registry, NOW + 30_000) is None and len(registry.versions) == 2
    later = add_version(registry, FULL, NOW + 90_000, NOW, "again")
    assert later.versions[-1].number == 3, "numbers are not reused"
    with pytest.raises(PlanError, match="version: 1 does not exist or was withdrawn"):
        withdraw_version(registry, 1, NOW)
    with pytest.raises(PlanError, match="version: must not be in force within 5 s or already, got 2"):
        withdraw_version(registry, 2, NOW + 58_000)


@pytest.mark.parametrize(
    ("plans", "since", "line"),
    [
        (FULL, NOW + 1_000, "from: must be at least 5 s from now, because gateways read it first, got 1.0 s"),
        (FULL, NOW + 60_000, "from: must be later than the time of every version that was not withdrawn"),
        ({}, NOW + 70_000, "plans: must have at least one plan, got none"),
        ({"fulll": FULL["full"]}, LATE, "plans.fulll: must be one of the plans basic, full, got 'fulll'"),
        (
            {"full": PlanLimits(1.0, 0.0)},
            LATE,
            "plans.full: rate and burst must both be greater than 0, or both 0 for no quota, got 1 and 0",
        ),
        (
            {"full": PlanLimits(0, 0, 0, 1.0)},
            LATE,
            "plans.full: ceiling_rate and ceiling_burst must both be greater than 0, or both 0 for no hard "
            "limit, "
            "got 1 and 0",
        ),
        (
            {"full": PlanLimits(0, 0, 0, 1, 2, 3)},
            LATE,
            "plans.full.ceiling_slack: must be at most ceiling_burst (2), got 3",
        ),
    ],
)
def test_invalid_version_gives_a_one_line_error(plans: dict[str, PlanLimits], since: int, line: str) -> None:
    with pytest.raises(PlanError) as caught:
        add_version(_registry((LESS, NOW + 60_000)), plans, since, NOW, "", {"basic", "full"})
    assert str(caught.value).startswith(line)


def test_differences_are_listed_limit_by_limit() -> None:
    assert plan_differences(FULL, LESS) == [
        "full.rate: 10 -> 5",
        "full.burst: 20 -> 10",
        "full.ceiling_rate: 0 -> 8",
        "full.ceiling_burst: 0 -> 12",
    ]
    assert plan_differences(FULL, FULL) == [] and plan_differences({}, FULL) == ["full: added"]


@pytest.mark.parametrize("seed", range(100))
def test_gateways_change_versions_within_their_clock_difference(seed: int) -> None:
    """Guards against gateways that apply different versions for longer than their clocks differ.

    Each reads the registry once a second, one read in ten fails, and clocks differ by up to a second.
    """
    rng = random.Random(f"plans:{seed}")
    registry, clocks = PlanRegistry(), [rng.randint(-500, 500) for _ in range(5)]
    followers, applied = [VersionFollower() for _ in clocks], [dict[int, int]() for _ in clocks]
    for now in range(NOW, NOW + 40_000, 50):
        if rng.random() < 0.01 and next_version(registry, now) is None:
            registry = add_version(registry, FULL, now + rng.randint(NOTICE_MS, 9_000), now, "")
        for number, (follower, clock) in enumerate(zip(followers, clocks, strict=True)):
            if (now + 200 * number) % 1000 == 0 and rng.random() < 0.9:
                follower.set_registry(registry)
            if (due := follower.take_due(now + clock)) is not None and due[0] is not None:
                applied[number][due[0].number] = now
    assert registry.versions
    for version in registry.versions:
        if version.since < NOW + 39_000:
            times = [versions[version.number] for versions in applied]
            assert max(times) - min(times) <= 1_050 and min(times) >= version.since - 500


@seed(SEED)
@hypothesis_settings(derandomize=True)
@given(st.floats(-50, 50), st.floats(0.1, 100), st.floats(0.1, 100))
def test_plan_change_adds_no_tokens_and_respects_the_burst(level: float, old: float, new: float) -> None:
    """Guards against tokens that a tenant gains by a change of its plan, or that exceed the new burst."""
    level = min(level, old)
    after = rescaled_tokens(level, old, new)
    assert after <= level and after <= new * (1 + 1e-9)
    if new >= old and level >= 0:
        assert after == level, "the tokens stay if the burst rises"
    if new < old and level > 0:
        assert after / new == pytest.approx(level / old), "the filled fraction stays if the burst falls"


def test_bucket_of_a_new_quota_starts_empty() -> None:
    """Guards against tokens for a tenant whose plan had no quota before the change."""
    assert (
        rescaled_tokens(0.0, 0.0, 9.0) == 0.0
        and rescaled_tokens(7.0, 0.0, 9.0) == 0.0
        and rescaled_tokens(-1.0, 0.0, 9.0) == -1.0
    )


def test_tenant_above_its_lowered_quota_waits_for_tokens() -> None:
    """Guards against requests admitted beyond a quota that was lowered while the tenant exceeded it.

    Requests in flight are not ended; new ones are rejected until the bucket refills at the new rate.
    """
    module = Broker(settings(plans=(plan(rate_per_s=10.0, burst_units=10.0),)), 7, 0)
    module.handle(0, full_list(backend(1), backend(2), kind=EndpointUpdateKind.CACHED))
    for number in range(1, 9):
        assert any(
            isinstance(a, StartAttempt) for a in module.handle(MS * number, arrival(number, MS * number))
        )
    lowered: tuple[Plan, ...] = (plan(rate_per_s=1.0, burst_units=2.0),)
    actions = module.handle(10 * MS, PlansChanged(lowered))
    assert [type(a) for a in actions] == [LogMessage]
    assert not any(isinstance(a, Reject) for a in actions), "requests in flight are not ended"
    at = 20 * MS
    rejected = module.handle(at, arrival(20, at))
    assert [type(a) for a in rejected] == [Reject], "0.4 of 2 tokens are left"
    for number in range(1, 9):
        tried_backends = module.requests.attempts[number, 0].tried_backends
        module.handle(100 * MS, ended(number, next(iter(tried_backends)), elapsed=90 * MS))
    at = 5_000 * MS
    assert any(isinstance(a, StartAttempt) for a in module.handle(at, arrival(21, at))), (
        "the bucket refills at the new rate"
    )


def test_tenant_keeps_its_tokens_under_another_plan() -> None:
    """Guards against a full bucket for a tenant whose next request names another plan."""
    small, large = plan(rate_per_s=1.0, burst_units=2.0), plan(rate_per_s=100.0, burst_units=200.0)
    module = Broker(settings(plans=(small, large)), 7, 0)
    module.handle(0, full_list(backend(1), backend(2), kind=EndpointUpdateKind.CACHED))
    module.handle(MS, arrival(1, MS))
    account = module.quota.accounts[1]
    assert account.plan == small and account.tokens == pytest.approx(1.0)
    module.handle(2 * MS, arrival(2, 2 * MS, plan=1))
    assert account.plan == large and account.tokens < 1.2, "the bucket refills at the new rate"


def _run_plans(capsys: pytest.CaptureFixture[str], *arguments: str) -> tuple[int, str]:
    status = main(["plans", *arguments])
    captured = capsys.readouterr()
    return status, captured.out + captured.err


def test_plans_command_applies_compares_withdraws_and_shows_history(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    registry, file = str(tmp_path / "plans.json"), tmp_path / "new.toml"
    file.write_text("[plans.full]\nrate = 5\nburst = 10\n")
    assert _run_plans(capsys, "history", registry) == (0, "no versions: the platform's limits are in force\n")
    assert _run_plans(capsys, "diff", registry, str(file)) == (1, "full: added\n")
    status, output = _run_plans(capsys, "apply", registry, str(file), "--from", "+60", "--note", "winter")
    assert status == 0 and output.startswith("version 1 is in force from ")
    status, output = _run_plans(capsys, "apply", registry, str(file), "--from", "+1")
    assert status == 2 and "must be at least 5 s from now" in output
    assert output.startswith(f"trackspread: {registry}: from: ")
    assert "pending   winter" in _run_plans(capsys, "history", registry)[1]
    assert _run_plans(capsys, "withdraw", registry, "1") == (0, "version 1 is withdrawn\n")
    assert "withdrawn winter" in _run_plans(capsys, "history", registry)[1]
    file.write_text("[plans.full]\nrat = 5\n")
    status, output = _run_plans(capsys, "diff", registry, str(file))
    assert status == 2 and "unknown field `rat`" in output
    status, output = _run_plans(capsys, "apply", registry, str(file), "--from", "soon")
    assert status == 2


def test_running_gateway_applies_a_version_when_due(tmp_path: Path) -> None:
    path = tmp_path / "plans.json"
    operator = parse(f'[plans]\nbook = "{path}"\n', "own.toml")

    async def body() -> None:
        async with world(operator) as w:
            registry = w.node.parts.plan_registry
            assert registry is not None and registry.version == 0
            now = time.time_ns() // 1_000_000
            version = Version(1, now + 300, now, "", {"team": PlanLimits(1.0, 2.0)})
            path.write_bytes(SCHEMA.pack(PlanRegistry((version,))))
            await until(lambda: registry.version == 1)
            assert time.time_ns() // 1_000_000 >= version.since
            assert w.node.decision_module.quota.settings.plans[0].burst_units == 2.0
            path.write_bytes(b"broken")
            os.utime(path, ns=(1, 1))
            await asyncio.sleep(0)
            assert registry.version == 1, "an unreadable registry changes nothing"

    run(body)
