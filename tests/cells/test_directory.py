"""The directory of cells: who is sent where, how cells are split and merged, what a new leader knows."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from trackspread.cells.directory import (
    MOVES_PER_ROUND,
    PENDING_TIMEOUT_NS,
    REBUILD_NS,
    RESEND_INTERVAL_NS,
    RETIRE_DELAY_NS,
    ROUND_INTERVAL_NS,
    Directory,
    MoveRequest,
)
from trackspread.cells.messages import Cell, Placement, PlacementRequest
from trackspread.cells.topology import CellPolicy, ControlMachine, Zone
from trackspread.membership.identifiers import SECOND, ViewNumber

EPOCH = 17, 1
POLICY = CellPolicy()
MACHINES = tuple(ControlMachine(f"c{n}", f"r{n // 5}", f"z{n % 3}", (f"10.0.0.{n}", 7500)) for n in range(10))
LIVE = frozenset(machine.name for machine in MACHINES)
BY_ADDRESS = {machine.address: machine for machine in MACHINES}
ZONE = Zone("r0", "z1")


class Zoned:
    """Gateways that do as the directory says, and cells that report them, a second after another."""

    def __init__(self, directory: Directory, now: int = 0) -> None:
        self.directory, self.now = directory, now
        self.placed: dict[str, Placement] = {}
        self.moves: list[MoveRequest] = []
        self.views: Counter[str] = Counter()
        self.live = LIVE

    def ask(self, name: str, zone: Zone = ZONE, born: int = 1) -> Placement | None:
        locate = PlacementRequest(zone.region, zone.zone, ("10.9.0.1", 1), self.placed.get(name))
        placement = self.directory.place(self.now, (name, born), locate)
        if placement is not None:
            self.take(name, placement)
        return placement

    def take(self, name: str, placement: Placement) -> None:
        held = self.placed.get(name)
        assert held is None or placement.number >= held.number, "an older word never comes after a newer"
        self.placed[name] = placement

    def end(self, name: str) -> None:
        del self.placed[name]

    def report(self) -> None:
        cells = {name: entry.cell for name, entry in self.directory.entries.items()}
        for name, cell in cells.items():
            self.views[name] += 1
            members = [(g, 1) for g, placed in self.placed.items() if placed.cell.name == name]
            self.directory.record_report(self.now, cell, (1, 0, self.views[name]), members)

    def step(self, spans: int = 1, span: int = SECOND) -> None:
        for _ in range(spans):
            self.now += span
            wanted = self.directory.tick(self.now, self.live)
            self.moves += wanted
            for move in wanted:
                if move.gateway in self.placed:
                    self.take(move.gateway, move.placement)
            self.report()

    def sizes(self) -> list[int]:
        counted = Counter(placed.cell.name for placed in self.placed.values())
        return sorted(counted.values())


def zoned(count: int = 0, epoch: tuple[int, int] = EPOCH) -> Zoned:
    made = Zoned(Directory(0, epoch, POLICY, MACHINES))
    made.step(1, REBUILD_NS)
    for number in range(count):
        assert made.ask(f"g{number:03d}") is not None
    made.step()
    return made


def cell(name: str = "old", number: ViewNumber = (16, 0, 4), seeds: int = 3, closing: bool = False) -> Cell:
    return Cell(name, *ZONE, number, tuple(m.address for m in MACHINES[:seeds]), closing)


def test_gateways_fill_cells_of_their_zone_up_to_the_target_and_seeds_are_of_their_region() -> None:
    fleet = zoned(60)
    assert fleet.sizes() == [12, 24, 24]
    other = fleet.ask("elsewhere", Zone("r1", "z0"))
    assert other is not None and other.cell.location == Zone("r1", "z0")
    for placed in fleet.placed.values():
        seeds = [BY_ADDRESS[seed] for seed in placed.cell.seeds]
        assert len(seeds) == 3 and {seed.region for seed in seeds} == {placed.cell.region}
        assert len({seed.zone for seed in seeds}) == 3, "a zone's loss costs a cell one seed"
    fleet.step(100)
    assert not fleet.moves, "calm"


def test_cells_are_spread_over_the_control_machines() -> None:
    fleet = zoned(24 * 20)
    load = Counter(seed for entry in fleet.directory.entries.values() for seed in entry.cell.seeds)
    assert len(load) == 5 and sum(load.values()) == 60 and max(load.values()) <= 20


def test_a_region_with_too_few_control_machines_is_served_by_others_too() -> None:
    machines = (*MACHINES[:5], ControlMachine("far", "r2", "z9", ("10.0.1.1", 1)))
    fleet = Zoned(Directory(0, EPOCH, POLICY, machines), REBUILD_NS)
    fleet.live = frozenset(machine.name for machine in machines)
    fleet.step()
    placed = fleet.ask("g", Zone("r2", "z9"))
    assert placed is not None and placed.cell.seeds[0] == ("10.0.1.1", 1) and len(set(placed.cell.seeds)) == 3


def test_one_that_starts_anew_comes_back_to_its_cell_and_one_that_holds_a_cell_keeps_it() -> None:
    fleet = zoned(60)
    before = fleet.placed["g007"]
    assert fleet.ask("g007") == before, "the same word, with the same number"
    fleet.end("g007")
    again = fleet.ask("g007", born=2)
    assert again is not None and again.cell == before.cell and again.number > before.number


def test_a_new_leader_knows_cells_by_reports_or_by_their_gateways_and_waits_before_it_opens_any() -> None:
    fleet = Zoned(Directory(0, EPOCH, POLICY, MACHINES), 1)
    assert fleet.ask("new") is None, "where others are is not known yet"
    held = Placement((16, 0, 9), cell())
    fleet.placed["old"] = held
    assert fleet.ask("old") == held
    fleet.directory.record_report(2, cell("reported"), (3, 1, 1), [("a", 1), ("b", 1)])
    fleet.directory.record_report(2, cell("reported"), (2, 0, 9), [("a", 1)])
    assert fleet.directory.entries["reported"].count() == 2, "an older view does not count"
    fleet.now = REBUILD_NS
    placed = fleet.ask("new")
    assert placed is not None and placed.cell.name == "reported", "the fullest that has room"
    assert fleet.ask("a") is not None and fleet.placed["a"].cell.name == "reported"


@pytest.mark.parametrize(
    "wrong",
    [
        cell(number=(17, 2, 1)),
        cell(seeds=0),
        Cell("x", *ZONE, (16, 0, 1), (("10.9.9.9", 1),)),
    ],
)
def test_a_cell_of_a_later_leader_or_of_strange_seeds_is_not_taken_up(wrong: Cell) -> None:
    fleet = zoned()
    fleet.directory.record_report(fleet.now, wrong, (1, 0, 1), [("a", 1)])
    assert not fleet.directory.entries
    fleet.placed["g"] = Placement((16, 0, 1), wrong)
    assert fleet.ask("g") is not None and fleet.placed["g"].cell.name != wrong.name


def test_a_cell_that_is_too_full_is_split_and_neither_half_is_merged_again() -> None:
    fleet = zoned()
    for number in range(POLICY.max_gateways + 2):  # two leaders may each have sent some there
        fleet.placed[f"g{number:03d}"] = Placement((16, 0, number), cell())
        fleet.ask(f"g{number:03d}")
    fleet.step(12)
    assert fleet.sizes() == [15, 15]
    assert max(Counter(m.placement.number for m in fleet.moves).values()) == 1
    told = len(fleet.moves)
    fleet.step(200)
    assert len(fleet.moves) == told and fleet.sizes() == [15, 15]


def test_moves_are_paced() -> None:
    fleet = zoned()
    for number in range(40):
        fleet.placed[f"g{number:03d}"] = Placement((16, 0, number), cell())
        fleet.ask(f"g{number:03d}")
    fleet.step()
    for _ in range(8):
        before = len(fleet.moves)
        fleet.step(1, ROUND_INTERVAL_NS)
        assert len(fleet.moves) - before <= MOVES_PER_ROUND


def test_small_cells_are_merged_after_a_while_and_the_empty_one_is_given_up() -> None:
    fleet = zoned(48)
    for number in range(5, 24):
        fleet.end(f"g{number:03d}")
    for number in range(34, 48):
        fleet.end(f"g{number:03d}")
    assert fleet.sizes() == [5, 10]
    fleet.step(POLICY.merge_delay_ns // SECOND - 2)
    assert fleet.sizes() == [5, 10]
    fleet.step(2 * RETIRE_DELAY_NS // SECOND + 10)
    assert fleet.sizes() == [15] and len(fleet.directory.entries) == len(fleet.directory.retired) == 1
    assert len(fleet.moves) == 5
    (gone,) = fleet.directory.retired
    fleet.placed["late"] = Placement((17, 1, 1), cell(gone, (17, 1, 1)))
    late = fleet.ask("late")
    assert late is not None and late.cell.name != gone, "nobody brings back what was given up"


def test_a_zone_that_is_lost_has_its_cells_given_up_one_after_another_and_is_placed_anew() -> None:
    fleet = zoned(100)
    fleet.placed.clear()
    fleet.step(POLICY.empty_timeout_ns // SECOND - 2)
    assert len(fleet.directory.entries) == 5 and not fleet.directory.retired, "it may be out of reach only"
    fleet.step(12 * len(fleet.directory.entries))
    assert not fleet.directory.entries
    for number in range(100):
        fleet.ask(f"g{number:03d}")
    fleet.step()
    assert fleet.sizes() == [4, 24, 24, 24, 24]


def test_a_seed_that_stays_away_has_its_cells_replaced_and_a_region_that_is_cut_off_is_left_alone() -> None:
    fleet = zoned(48)
    fleet.live = LIVE - {m.name for m in MACHINES if m.region == "r0"}
    fleet.step(2 * POLICY.seed_loss_timeout_ns // SECOND)
    assert not fleet.moves
    fleet.live = LIVE
    fleet.step()
    gone = BY_ADDRESS[fleet.placed["g000"].cell.seeds[0]]
    with_it = {e.cell.name for e in fleet.directory.entries.values() if gone.address in e.cell.seeds}
    fleet.live = LIVE - {gone.name}
    fleet.step(POLICY.seed_loss_timeout_ns // SECOND - 2)
    assert not fleet.moves, "a restart takes less"
    fleet.step(60)
    assert fleet.sizes() == [24, 24] and not with_it & fleet.directory.entries.keys()
    assert all(gone.address not in placed.cell.seeds for placed in fleet.placed.values())
    assert len(fleet.moves) == 24 * len(with_it), "each gateway of these moved once"


def test_a_move_whose_word_is_lost_is_told_again_with_the_same_number() -> None:
    fleet = zoned(10)
    entry = next(iter(fleet.directory.entries.values()))
    entry.cell = cell(entry.cell.name, (17, 1, 400), closing=True)
    directory, now = fleet.directory, fleet.now
    assert directory.tick(now + ROUND_INTERVAL_NS, LIVE) == [], (
        "the cell that is to take them has no view yet"
    )
    fleet.report()
    now += ROUND_INTERVAL_NS
    first = directory.tick(now + ROUND_INTERVAL_NS, LIVE)
    assert len(first) == MOVES_PER_ROUND
    late = directory.tick(now + ROUND_INTERVAL_NS + RESEND_INTERVAL_NS, LIVE)
    assert {m.placement for m in first} <= {m.placement for m in late}
    told = fleet.directory.place(
        now + ROUND_INTERVAL_NS + RESEND_INTERVAL_NS,
        (first[0].gateway, 1),
        PlacementRequest(*ZONE, ("10.9.0.1", 1), fleet.placed[first[0].gateway]),
    )
    assert told == first[0].placement, "whoever asks hears the same"


def test_one_that_was_sent_and_never_came_frees_its_place() -> None:
    fleet = zoned()
    assert fleet.ask("g") is not None
    fleet.end("g")
    assert next(iter(fleet.directory.entries.values())).count() == 1
    fleet.step(PENDING_TIMEOUT_NS // SECOND + 1)
    assert next(iter(fleet.directory.entries.values())).count() == 0


def test_a_fleet_larger_than_what_is_set_is_refused() -> None:
    fleet = Zoned(Directory(0, EPOCH, POLICY._replace(max_fleet_gateways=3), MACHINES), REBUILD_NS)
    assert [fleet.ask(f"g{n}") is not None for n in range(5)] == [True, True, True, False, False]
    assert fleet.directory.rejected_requests == 2


@settings(max_examples=60, deadline=None)
@given(st.randoms(use_true_random=False))
def test_whatever_comes_and_goes_sizes_hold_and_calm_follows(rng: random.Random) -> None:
    fleet = zoned()
    zones = [ZONE, Zone("r0", "z2"), Zone("r1", "z0")]
    for turn in range(40):
        for _ in range(rng.choice([0, 1, 5, 30])):
            name = f"g{rng.randrange(200):03d}"
            if name in fleet.placed and rng.random() < 0.5:
                fleet.end(name)
            elif name not in fleet.placed:
                fleet.ask(name, zones[int(name[1:]) % 3])
        if turn == 20 and rng.random() < 0.5:
            before = fleet.directory
            fleet.directory = Directory(fleet.now, (18, 0), POLICY, MACHINES)
            for entry in before.entries.values():
                fleet.directory.record_report(fleet.now, entry.cell, entry.view_number, entry.members.items())
        fleet.step()
        assert all(size <= POLICY.max_gateways for size in fleet.sizes())
    fleet.step(1_000)
    told = len(fleet.moves)
    fleet.step(300)
    assert len(fleet.moves) == told, "nothing moves without a cause"
    for zone in zones:
        counts = sorted(e.count() for e in fleet.directory.entries.values() if e.cell.location == zone)
        assert not any(c.cell.closing for c in fleet.directory.entries.values())
        assert (
            len(counts) < 2
            or counts[0] > POLICY.min_gateways
            or counts[0] + counts[1] > POLICY.max_merged_gateways
        )
