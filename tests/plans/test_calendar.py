"""Allowance reserved ahead: what the model admits, what is honoured, and what others keep."""

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


def test_the_model_says_what_the_fleet_gives_within_the_aim() -> None:
    whole = capacity_per_s(FLEET)
    assert 900 < whole < 1000, "a queue of 1 ms a unit gives 1,000 a second at most"
    assert capacity_per_s(msgspec.structs.replace(FLEET, aim_ms=25.0)) < whole
    assert capacity_per_s(msgspec.structs.replace(FLEET, aim_ms=20.5)) == 0.0, "one alone is later than that"


def test_what_does_not_fit_is_refused_with_what_would() -> None:
    fits = available_per_s(FLEET, (), NOW, NOW + 1)
    made = admit_reservation(FLEET, (), 7, fits - 10, NOW + NOTICE_MS, NOW + 60_000, NOW, "")
    with pytest.raises(PlanError, match="found 20 units a second, of which 10 would fit over the whole span"):
        admit_reservation(FLEET, (made,), 8, 20.0, NOW + 30_000, NOW + 90_000, NOW, "")
    after = admit_reservation(FLEET, (made,), 8, 20.0, NOW + 60_000, NOW + 90_000, NOW, "")
    assert after.number == 2 and change_times((made, after)) == [NOW + 5_000, NOW + 60_000, NOW + 90_000]


@pytest.mark.parametrize(
    ("rate", "start", "end", "line"),
    [
        (1.0, NOW, NOW + 9_000, "from: found a moment 0.0 s from now, wanted at least 5 s"),
        (1.0, NOW + 9_000, NOW + 9_000, "to: found a span of 0 s"),
        (1.0, NOW + 9_000, NOW + 9_001 + MAX_SPAN_MS, "to: found a span of"),
        (0.0, NOW + 9_000, NOW + 10_000, "rate: found 0, wanted more than 0"),
        (float("nan"), NOW + 9_000, NOW + 10_000, "rate: found nan, wanted more than 0"),
    ],
)
def test_a_reservation_that_cannot_be_meant_is_one_line(rate: float, start: int, end: int, line: str) -> None:
    with pytest.raises(PlanError) as caught:
        admit_reservation(FLEET, (), 7, rate, start, end, NOW, "")
    assert str(caught.value).startswith(line)


@pytest.mark.parametrize("seed", range(100))
def test_at_no_moment_is_more_reserved_than_the_model_allows(seed: int) -> None:
    rng, held, refused = random.Random(f"calendar:{seed}"), tuple[Reservation, ...](), 0
    now = NOW
    for _ in range(60):
        now += rng.randint(0, 20_000)
        start = now + rng.randint(NOTICE_MS, 90_000)
        try:
            if rng.random() < 0.25 and held:
                held = cancel_reservation(held, rng.choice(held).number, now)
            else:
                rate, end = rng.uniform(1, 500), start + rng.randint(1, 120_000)
                held = (*held, admit_reservation(FLEET, held, rng.randrange(5), rate, start, end, now, ""))
        except PlanError:
            refused += 1
        limit = capacity_per_s(FLEET) - FLEET.kept
        for moment in change_times(held):
            assert sum(reserved_rates(held, moment).values()) <= limit * (1 + 1e-9)
    assert refused and len(held) > 5


def test_a_cancelled_one_gives_its_rate_back_from_then_on() -> None:
    made = admit_reservation(FLEET, (), 7, 100.0, NOW + 10_000, NOW + 60_000, NOW, "")
    early, late = cancel_reservation((made,), 1, NOW + 1), cancel_reservation((made,), 1, NOW + 20_000)
    assert reserved_rates(early, NOW + 15_000) == {}
    assert reserved_rates(late, NOW + 15_000) == {7: 100.0} and reserved_rates(late, NOW + 20_000) == {}
    for again in (early, (made,)):
        with pytest.raises(PlanError, match="wanted one that stands and is not over"):
            cancel_reservation(again, 1, NOW + 70_000)


def test_uptake_begins_and_ends_a_reservation_at_its_moments_and_after_a_restart() -> None:
    made = admit_reservation(FLEET, (), 7, 100.0, NOW + 10_000, NOW + 60_000, NOW, "")
    follower = VersionFollower()
    follower.set_registry(PlanRegistry(reservations=(made,)))
    assert follower.take_changed_reservations(NOW) is None and follower.ms_until_next_change(NOW) == 10_000
    assert (
        follower.take_changed_reservations(NOW + 10_000) == {7: 100.0}
        and follower.ms_until_next_change(NOW + 10_000) == 50_000
    )
    assert (
        follower.take_changed_reservations(NOW + 11_000) is None
        and follower.take_changed_reservations(NOW + 60_000) == {}
    )
    fresh = VersionFollower()
    fresh.set_registry(PlanRegistry(reservations=(made,)))
    assert fresh.take_changed_reservations(NOW + 30_000) == {7: 100.0}


def test_a_registry_of_the_first_schema_is_upgraded() -> None:
    class Old(msgspec.Struct):
        versions: tuple[int, ...] = ()

    assert SCHEMA.unpack(Schema("plan-book", 1).pack(Old()), PlanRegistry) == PlanRegistry()


def _sent(module: Broker, customer: int, begin: int, seconds: int, rate: int) -> int:
    """Requests sent on at a steady rate, each answered at once."""
    sent, number = 0, begin * 1000 + customer * 100_000_000
    for at in range(begin * SECOND, (begin + seconds) * SECOND, SECOND // rate):
        number += 1
        actions = module.handle(at, arrival(number, at, customer=customer))
        for action in actions:
            if isinstance(action, StartAttempt):
                sent += 1
                module.handle(at + MS, ended(number, action.backend, elapsed=MS))
    return sent


def test_a_reservation_is_honoured_on_top_of_the_plan_and_others_keep_theirs() -> None:
    plans = (plan(rate_per_s=10.0, burst_units=10.0),)
    module = Broker(settings(plans=plans, gateway_count=1, may_gossip=False), 7, 0)
    module.handle(0, full_list(backend(1), backend(2), kind=EndpointUpdateKind.CACHED))
    _sent(module, 1, 1, 4, 50), _sent(module, 2, 1, 4, 50)
    calm = _sent(module, 1, 5, 10, 50), _sent(module, 2, 5, 10, 50)
    module.handle(15 * SECOND, PlansChanged(plans, ((1, 20.0, 40.0),)))
    held = _sent(module, 1, 15, 10, 50), _sent(module, 2, 15, 10, 50)
    module.handle(25 * SECOND, PlansChanged(plans))
    after = _sent(module, 1, 40, 10, 50)
    assert calm[0] == pytest.approx(100, abs=12) and held[0] >= 0.99 * 300
    assert abs(held[1] - calm[1]) <= 12 and after <= 115


def test_an_operator_reserves_lists_and_cancels(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    def words(*given: str) -> tuple[int, str]:
        status = main(["reserve", *given])
        caught = capsys.readouterr()
        return status, caught.out + caught.err

    book, member = str(tmp_path / "plans.json"), "00000000b4d65521"
    span = ("--from", "+60", "--to", "+120")
    assert "fleet: found nothing, wanted its figures" in words("add", book, member, "--rate", "5", *span)[1]
    told = words("fleet", book, "--delay-ms", "20", "--demand-ms", "1", "--aim-ms", "0", "--kept", "300")[1]
    assert told.startswith("trackspread: reserve fleet: Expected `float` > 0.0")
    figures = "--delay-ms", "20", "--demand-ms", "1", "--aim-ms", "50", "--kept", "300"
    status, told = words("fleet", book, *figures)
    assert status == 0 and "units a second within 50 ms, 300 of them kept" in told
    status, told = words("add", book, member, "--units", "600", *span, "--note", "weekend")
    assert status == 0 and told.startswith(f"reservation 1: 10 units a second for {member} from ")
    status, told = words("add", book, member, "--rate", "5000", *span)
    assert status == 2 and "would fit over the whole span" in told
    assert "to come weekend" in words("list", book)[1]
    assert words("cancel", book, "1") == (0, "reservation 1 is given back\n")
    assert "given back weekend" in words("list", book)[1]
    assert words("add", book, "x", "--rate", "5", *span)[0] == 2


@pytest.mark.parametrize("seed", range(20))
def test_changes_under_load_are_never_a_gift_and_take_nothing_away(seed: int) -> None:
    assert play(seed) == []


@pytest.mark.parametrize("name", MUTANTS)
def test_a_store_worked_out_apart_convicts_every_mutant(name: str) -> None:
    assert first_detecting_seed(name, iter(range(30))) is not None
