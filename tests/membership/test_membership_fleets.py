"""The view of the fleet: whole fleets in virtual time, and planted faults."""

from __future__ import annotations

import pytest

from trackspread.membership.actions import SendMessage
from trackspread.membership.identifiers import OBSERVER, SECOND
from trackspread.membership.lease_renewal import EMPTY_INTERVAL_NS
from trackspread.membership.messages import Ack, ForgetRequest, ForgetResponse
from trackspread.membership.slot_allocation import ALL_SLOTS, SLOT_COUNT, slots_of
from trackspread.testing.virtual.membership.mutants import MUTANTS, WORLDS, convict
from trackspread.testing.virtual.membership.schedules import make, play
from trackspread.testing.virtual.membership.world import KEEP, World

from .test_membership import message, settled, word


def test_a_fleet_that_starts_at_once_settles_and_one_that_joins_has_its_part_within_a_second() -> None:
    world = settled(12)
    world.start(world.add(12))
    assert world.until_settled(2 * SECOND) < SECOND
    assert world.rights() == ALL_SLOTS


def test_forty_join_at_once() -> None:
    world = settled(4)
    for number in range(4, 44):
        world.start(world.add(number))
    assert world.until_settled(4 * SECOND) <= 2 * SECOND


def test_one_that_leaves_gives_its_part_back_at_once_and_one_that_dies_after_its_grant_has_ended() -> None:
    world = settled(6)
    world.leave(world.processes["n5"])
    assert world.until_settled(SECOND) < SECOND
    world.kill(world.processes["n4"])
    assert KEEP < world.until_settled(4 * SECOND) < 4 * SECOND


def test_in_halves_the_one_with_most_seeds_goes_on_and_the_other_knows_that_it_is_cut_off() -> None:
    world = settled(12)
    with_seeds, without = [f"n{n}" for n in range(6)], [f"n{n}" for n in range(6, 12)]
    ways = world.partition(with_seeds, without)
    world.until_settled(6 * SECOND, with_seeds)
    world.run_until(world.elapsed_ns + 4 * SECOND)
    cores = [world.processes[name].core for name in without]
    assert all(c is not None and c.usable_slots(world.clock.now) == 0 for c in cores), (
        "nothing that is shared"
    )
    assert all(
        c is not None and set(c.member_table.live()) == {d.member_id for d in cores if d} for c in cores
    )
    world.heal(ways)
    assert world.until_settled(5 * SECOND) <= 5 * SECOND


def test_a_part_outlasts_a_cut_that_is_shorter_than_it_is_kept_for_where_a_seed_is_at_hand() -> None:
    world = World(1, 12, settings={"lease_duration_ns": 8 * SECOND})
    assert world.begin(6 * SECOND) < 6 * SECOND, "all seeds started anew: nobody waits for the end"
    with_one, with_two = [f"n{n}" for n in (0, 3, 4, 5)], [f"n{n}" for n in (1, 2, 6, 7, 8)]
    with_none = [f"n{n}" for n in (9, 10, 11)]
    ways = [
        way
        for a, b in ((with_one, with_two), (with_one, with_none), (with_two, with_none))
        for way in world.partition(a, b)
    ]

    def held_by(names: list[str]) -> set[float]:
        """Twelfths of the whole that each of these holds."""
        cores = [core for name in names if (core := world.processes[name].core)]
        return {round(12 * core.usable_slots(world.clock.now).bit_count() / SLOT_COUNT, 1) for core in cores}

    world.run_until(world.elapsed_ns + 5 * SECOND)
    assert held_by(with_one) == held_by(with_two) == {1.0} and held_by(with_none) == {0.0}
    world.run_until(world.elapsed_ns + 6 * SECOND)
    assert held_by(with_one) == {0.0} and held_by(with_two) == {2.4}
    world.heal(ways)
    assert world.until_settled(5 * SECOND) <= 5 * SECOND


def test_one_that_let_go_out_of_reach_of_seeds_has_its_slots_again_from_another_coordinator() -> None:
    world = World(1, 6, settings={"lease_duration_ns": 60 * SECOND})
    world.begin(6 * SECOND)
    leads = next(
        p.name for p in world.processes.values() if p.core and p.core.is_coordinator(p.now(world.clock.now))
    )
    without = ["n5"]
    most = [name for name in world.processes if name not in (leads, *without)]
    pieces = ([leads], most), ([leads], without), (most, without)
    ways = [way for a, b in pieces for way in world.partition(a, b)]
    world.run_until(world.elapsed_ns + 6 * SECOND)
    lapsed = world.processes["n5"].core
    assert lapsed is not None and lapsed.usable_slots(world.clock.now) == 0
    world.heal(ways)
    assert world.until_settled(5 * SECOND) <= 5 * SECOND


def test_one_joins_while_what_a_dead_coordinator_knew_is_still_out() -> None:
    world = World(1, 5, settings={"lease_duration_ns": 20 * SECOND})
    world.begin(6 * SECOND)
    leading = next(
        p for p in world.processes.values() if p.core and p.core.is_coordinator(p.now(world.clock.now))
    )
    world.kill(leading)
    world.run_until(world.elapsed_ns + 4 * SECOND)
    added = world.add(5)
    world.start(added)
    world.run_until(world.elapsed_ns + SECOND)
    dead = slots_of((int(leading.name[1:]), 5))
    assert added.core is not None
    assert added.core.usable_slots(world.clock.now).bit_count() == (ALL_SLOTS ^ dead).bit_count() // 5
    world.run_until(world.elapsed_ns + 3 * SECOND)
    assert world.rights() == ALL_SLOTS ^ dead, "the dead one's slots are kept"


def test_one_that_an_operator_calls_gone_has_its_slots_used_at_once_and_one_that_runs_keeps_its() -> None:
    world = World(1, 5, settings={"lease_duration_ns": 60 * SECOND})
    world.begin(6 * SECOND)
    leads = next(
        p.core for p in world.processes.values() if p.core and p.core.is_coordinator(p.now(world.clock.now))
    )
    name = next(n for n in ("n3", "n4"))

    def word(name: str) -> list[object]:
        told = message(fleet="fleet", name="", created_at_ms=0, body=ForgetRequest(name))
        said = leads.receive(world.clock.now, told, ("10.9.9.9", 1))
        return [action.message.body for action in said if isinstance(action, SendMessage)]

    assert word(name) == [ForgetResponse(name, True, 0)]
    world.kill(world.processes[name])
    world.run_until(world.elapsed_ns + 5 * SECOND)
    assert world.rights() == ALL_SLOTS ^ slots_of((int(name[1:]), 5))
    assert word(name) == [ForgetResponse(name, False, slots_of((int(name[1:]), 5)).bit_count())]
    assert word("nobody") == [ForgetResponse("nobody", False, 0)]
    assert world.until_settled(2 * SECOND) < 2 * SECOND
    other = next(p.core for p in world.processes.values() if p.core and p.core is not leads)
    told = message(fleet="fleet", name="", created_at_ms=0, body=ForgetRequest(name))
    assert other.receive(world.clock.now, told, ("10.9.9.9", 1)) == [], "only the coordinator answers"


def test_in_three_pieces_without_a_majority_of_seeds_no_view_is_made() -> None:
    world = settled(9)
    pieces = [[f"n{n}" for n in range(9) if n % 3 == p] for p in range(3)]
    ways = [way for p in range(3) for q in range(p) for way in world.partition(pieces[p], pieces[q])]
    world.run_until(world.elapsed_ns + 4 * SECOND)
    before = len(world.issued)
    world.run_until(world.elapsed_ns + 6 * SECOND)
    assert len(world.issued) == before and world.rights() == 0
    world.heal(ways)
    world.until_settled(6 * SECOND)


def test_witnesses_elect_and_coordinate_and_hold_nothing() -> None:
    world = World(1, 7)
    for name in ("n0", "n1", "n2"):
        world.places[name] = OBSERVER
    for process in world.processes.values():
        world.start(process)
    world.run_until(6 * SECOND)
    parts = {name: p.core.usable_slots(world.clock.now) for name, p in world.processes.items() if p.core}
    assert [bool(parts[f"n{n}"]) for n in range(7)] == [False] * 3 + [True] * 4
    assert world.rights() == ALL_SLOTS
    views = {p.core.view_number() for p in world.processes.values() if p.core}
    assert len(views) == 1 and len(world.views[views.pop()].members) == 7
    asked = [
        p.core.renewal.next_at_ns - world.clock.now > EMPTY_INTERVAL_NS
        for p in world.processes.values()
        if p.core
    ]
    assert any(asked[:3]), "who wants nothing does not ask as one that lacks its part"


def test_a_fleet_of_two_and_one_of_one() -> None:
    for count in (1, 2):
        world = settled(count, seeds=1)
        assert world.rights() == ALL_SLOTS


def test_a_process_whose_clock_went_back_takes_its_name_again() -> None:
    world = settled(5)
    process = world.processes["n4"]
    core = process.core
    assert core is not None
    world.kill(process)
    world.start(process)
    fresh = process.core
    assert fresh is not None
    # As a clock that was put back would have it.
    fresh.member_table.own_update = word("n4", core.member_table.own_update.created_at_ms - 10_000)
    world.until_settled(6 * SECOND)


def test_of_two_under_one_name_the_older_is_fenced_off() -> None:
    WORLDS[1](3)


@pytest.mark.parametrize("seed", [*range(2000, 2030), 7_002_994, 7_009_131])
def test_rights_and_views_hold_through_mixed_faults_and_all_settles_after_them(seed: int) -> None:
    play(make(seed))


FEW = {"view-serials-ignored": 21, "view-predecessor-forgotten": 30}  # and a seed that brings it out


@pytest.mark.parametrize("name", [name for name in MUTANTS if name not in FEW])
def test_a_planted_fault_is_told(name: str) -> None:
    assert convict(name, range(1, 6)) is not None


@pytest.mark.parametrize("name, seed", FEW.items())
def test_a_planted_fault_that_few_worlds_bring_out_is_told_by_one_that_does(name: str, seed: int) -> None:
    assert convict(name, [seed]) == seed


def test_the_worlds_that_tell_them_are_whole_without_a_fault() -> None:
    for seed in (1, 2, 30, 35, 49):
        for world in WORLDS:
            world(seed)


def test_an_ack_to_nobody_is_passed_over() -> None:
    world = settled(3)
    core, other = world.processes["n1"].core, world.processes["n2"].core
    assert core is not None and other is not None
    digest = core.member_table.digest()
    said = message(fleet="fleet", name="n2", created_at_ms=other.member_id[1], body=Ack(99), digest=digest)
    assert core.receive(world.clock.now, said, other.settings.address) == []
