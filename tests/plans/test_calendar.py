"""Tests reservations: their admission, the limits in service, and the `reserve` command."""

from __future__ import annotations

import random
from pathlib import Path

import msgspec
import pytest

from trackspread.cli import main
from trackspread.decide.broker import Broker
from trackspread.decide.actions import StartAttempt
from trackspread.decide.backends import EndpointUpdateKind
from trackspread.decide.events import PlansChanged
from trackspread.plans.calendar import (
    MAX_SPAN_MS,
    Fleet,
    Reservation,
    admit_reservation,
    available_per_s,
    cancel_reservation,
    capacity_per_s,
    change_times,
    reserved_rates,
)
from trackspread.plans.notice import NOTICE_MS, PlanError
from trackspread.plans.registry import SCHEMA, PlanRegistry, VersionFollower
from trackspread.storage.document import Schema
from trackspread.testing.virtual.reservations import MUTANTS, first_detecting_seed, play

from ..helpers import MS, SECOND, arrival, backend, ended, full_list, plan, settings

NOW = 1_000_000_000
FLEET = Fleet(delay_ms=20.0, demand_ms=1.0, aim_ms=50.0, kept=300.0)


def test_model_gives_the_capacity_within_the_latency_objective() -> None:
    capacity = capacity_per_s(FLEET)
    assert 900 < capacity < 1000, "a queue with 1 ms per unit serves at most 1,000 units per second"
    assert capacity_per_s(msgspec.structs.replace(FLEET, aim_ms=25.0)) < capacity
    assert capacity_per_s(msgspec.structs.replace(FLEET, aim_ms=20.5)) == 0.0, "a single request takes longer"


def test_rejected_reservation_names_the_rate_that_fits() -> None:
    available = available_per_s(FLEET, (), NOW, NOW + 1)
    first = admit_reservation(FLEET, (), 7, available - 10, NOW + NOTICE_MS, NOW + 60_000, NOW, "")
    with pytest.raises(
        PlanError, match=r"at most 10 units per second, which is available over the complete span .* got 20$"
    ):
        admit_reservation(FLEET, (first,), 8, 20.0, NOW + 30_000, NOW + 90_000, NOW, "")
    second = admit_reservation(FLEET, (first,), 8, 20.0, NOW + 60_000, NOW + 90_000, NOW, "")
    assert second.number == 2 and change_times((first, second)) == [NOW + 5_000, NOW + 60_000, NOW + 90_000]


@pytest.mark.parametrize(
    ("rate", "start", "end", "line"),
    [
        (
            1.0,
            NOW,
            NOW + 9_000,
            "from: must be at least 5 s from now, because gateways read it first, got 0.0 s",
        ),
        (1.0, NOW + 9_000, NOW + 9_000, "to: must be after the start by at most 92 days, got 0 s"),
        (1.0, NOW + 9_000, NOW + 9_001 + MAX_SPAN_MS, "to: must be after the start by at most 92 days, got"),
        (0.0, NOW + 9_000, NOW + 10_000, "rate: must be greater than 0, got 0"),
        (float("nan"), NOW + 9_000, NOW + 10_000, "rate: must be greater than 0, got nan"),
    ],
)
def test_invalid_reservation_gives_a_one_line_error(rate: float, start: int, end: int, line: str) -> None:
    with pytest.raises(PlanError) as caught:
        admit_reservation(FLEET, (), 7, rate, start, end, NOW, "")
    assert str(caught.value).startswith(line)


@pytest.mark.parametrize("seed", range(100))
def test_reserved_rates_never_exceed_the_modelled_capacity(seed: int) -> None:
    """Guards against overlapping reservations that add up to more than the fleet can serve."""
    rng, reservations, rejected = random.Random(f"calendar:{seed}"), tuple[Reservation, ...](), 0
    now = NOW
    for _ in range(60):
        now += rng.randint(0, 20_000)
        start = now + rng.randint(NOTICE_MS, 90_000)
        try:
            if rng.random() < 0.25 and reservations:
                reservations = cancel_reservation(reservations, rng.choice(reservations).number, now)
            else:
                rate, end = rng.uniform(1, 500), start + rng.randint(1, 120_000)
                admitted = admit_reservation(FLEET, reservations, rng.randrange(5), rate, start, end, now, "")
                reservations = (*reservations, admitted)
        except PlanError:
            rejected += 1
        limit = capacity_per_s(FLEET) - FLEET.kept
        for time_ms in change_times(reservations):
            assert sum(reserved_rates(reservations, time_ms).values()) <= limit * (1 + 1e-9)
    assert rejected and len(reservations) > 5


def test_cancelled_reservation_frees_its_rate_from_then_on() -> None:
    reservation = admit_reservation(FLEET, (), 7, 100.0, NOW + 10_000, NOW + 60_000, NOW, "")
    early = cancel_reservation((reservation,), 1, NOW + 1)
    late = cancel_reservation((reservation,), 1, NOW + 20_000)
    assert reserved_rates(early, NOW + 15_000) == {}
    assert reserved_rates(late, NOW + 15_000) == {7: 100.0} and reserved_rates(late, NOW + 20_000) == {}
    for reservations in (early, (reservation,)):
        with pytest.raises(PlanError, match="reservation: 1 does not exist, was cancelled or has ended"):
            cancel_reservation(reservations, 1, NOW + 70_000)


def test_follower_applies_reservations_on_time_and_after_restart() -> None:
    reservation = admit_reservation(FLEET, (), 7, 100.0, NOW + 10_000, NOW + 60_000, NOW, "")
    follower = VersionFollower()
    follower.set_registry(PlanRegistry(reservations=(reservation,)))
    assert follower.take_changed_reservations(NOW) is None and follower.ms_until_next_change(NOW) == 10_000
    assert (
        follower.take_changed_reservations(NOW + 10_000) == {7: 100.0}
        and follower.ms_until_next_change(NOW + 10_000) == 50_000
    )
    assert (
        follower.take_changed_reservations(NOW + 11_000) is None
        and follower.take_changed_reservations(NOW + 60_000) == {}
    )
    restarted = VersionFollower()
    restarted.set_registry(PlanRegistry(reservations=(reservation,)))
    assert restarted.take_changed_reservations(NOW + 30_000) == {7: 100.0}


def test_registry_of_the_first_schema_is_upgraded() -> None:
    class Old(msgspec.Struct):
        versions: tuple[int, ...] = ()

    assert SCHEMA.unpack(Schema("plan-book", 1).pack(Old()), PlanRegistry) == PlanRegistry()


def _forwarded(module: Broker, tenant: int, begin: int, seconds: int, rate: int) -> int:
    """Returns how many requests of a steady rate are forwarded; each is answered at once."""
    forwarded, number = 0, begin * 1000 + tenant * 100_000_000
    for at in range(begin * SECOND, (begin + seconds) * SECOND, SECOND // rate):
        number += 1
        actions = module.handle(at, arrival(number, at, customer=tenant))
        for action in actions:
            if isinstance(action, StartAttempt):
                forwarded += 1
                module.handle(at + MS, ended(number, action.backend, elapsed=MS))
    return forwarded


def test_reservation_adds_to_its_plan_and_spares_other_tenants() -> None:
    """Guards against a reserved rate that is not served in full, or that reduces another tenant's quota."""
    plans = (plan(rate_per_s=10.0, burst_units=10.0),)
    module = Broker(settings(plans=plans, gateway_count=1, may_gossip=False), 7, 0)
    module.handle(0, full_list(backend(1), backend(2), kind=EndpointUpdateKind.CACHED))
    _forwarded(module, 1, 1, 4, 50), _forwarded(module, 2, 1, 4, 50)
    before = _forwarded(module, 1, 5, 10, 50), _forwarded(module, 2, 5, 10, 50)
    module.handle(15 * SECOND, PlansChanged(plans, ((1, 20.0, 40.0),)))
    during = _forwarded(module, 1, 15, 10, 50), _forwarded(module, 2, 15, 10, 50)
    module.handle(25 * SECOND, PlansChanged(plans))
    after = _forwarded(module, 1, 40, 10, 50)
    assert before[0] == pytest.approx(100, abs=12) and during[0] >= 0.99 * 300
    assert abs(during[1] - before[1]) <= 12 and after <= 115


def test_reserve_command_adds_lists_and_cancels(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    def run_reserve(*arguments: str) -> tuple[int, str]:
        status = main(["reserve", *arguments])
        captured = capsys.readouterr()
        return status, captured.out + captured.err

    registry, tenant = str(tmp_path / "plans.json"), "00000000b4d65521"
    span = ("--from", "+60", "--to", "+120")
    output = run_reserve("add", registry, tenant, "--rate", "5", *span)[1]
    assert "fleet: must be described first with `trackspread reserve fleet`, got nothing" in output
    output = run_reserve(
        "fleet", registry, "--delay-ms", "20", "--demand-ms", "1", "--aim-ms", "0", "--kept", "300"
    )[1]
    assert output.startswith("trackspread: reserve fleet: Expected `float` > 0.0")
    fleet = "--delay-ms", "20", "--demand-ms", "1", "--aim-ms", "50", "--kept", "300"
    status, output = run_reserve("fleet", registry, *fleet)
    assert status == 0 and "units per second within 50 ms, of which 300 are kept" in output
    status, output = run_reserve("add", registry, tenant, "--units", "600", *span, "--note", "weekend")
    assert status == 0 and output.startswith(f"reservation 1: 10 units per second for {tenant} from ")
    status, output = run_reserve("add", registry, tenant, "--rate", "5000", *span)
    assert status == 2 and "which is available over the complete span" in output
    assert "pending weekend" in run_reserve("list", registry)[1]
    assert run_reserve("cancel", registry, "1") == (0, "reservation 1 is cancelled\n")
    assert "cancelled weekend" in run_reserve("list", registry)[1]
    assert run_reserve("add", registry, "x", "--rate", "5", *span)[0] == 2


@pytest.mark.parametrize("seed", range(20))
def test_changes_under_load_neither_add_nor_remove_tokens(seed: int) -> None:
    assert play(seed) == []


@pytest.mark.parametrize("name", MUTANTS)
def test_reference_bucket_detects_every_mutant(name: str) -> None:
    assert first_detecting_seed(name, iter(range(30))) is not None
