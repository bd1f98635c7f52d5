"""Tests the directory of cells: placement, splits, merges, and what a new leader knows."""

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


class SimulatedGateways:
    """Simulates gateways that follow the directory, and seeds that report their cells every second."""

    def __init__(self, directory: Directory, now: int = 0) -> None:
        self.directory, self.now = directory, now
        self.placed: dict[str, Placement] = {}
        self.moves: list[MoveRequest] = []
        self.views: Counter[str] = Counter()
        self.live = LIVE

    def request(self, name: str, zone: Zone = ZONE, created_at_ms: int = 1) -> Placement | None:
        query = PlacementRequest(zone.region, zone.zone, ("10.9.0.1", 1), self.placed.get(name))
        placement = self.directory.place(self.now, (name, created_at_ms), query)
        if placement is not None:
            self.follow(name, placement)
        return placement

    def follow(self, name: str, placement: Placement) -> None:
        held = self.placed.get(name)
        assert held is None or placement.number >= held.number, "numbers of placements never decrease"
        self.placed[name] = placement

    def end(self, name: str) -> None:
        del self.placed[name]

    def report(self) -> None:
        cells = {name: entry.cell for name, entry in self.directory.entries.items()}
        for name, cell in cells.items():
            self.views[name] += 1
            members = [(g, 1) for g, placed in self.placed.items() if placed.cell.name == name]
            self.directory.record_report(self.now, cell, (1, 0, self.views[name]), members)

    def step(self, steps: int = 1, step_ns: int = SECOND) -> None:
        for _ in range(steps):
            self.now += step_ns
            requests = self.directory.tick(self.now, self.live)
            self.moves += requests
            for move in requests:
                if move.gateway in self.placed:
                    self.follow(move.gateway, move.placement)
            self.report()

    def sizes(self) -> list[int]:
        counts = Counter(placed.cell.name for placed in self.placed.values())
        return sorted(counts.values())


def settled_fleet(count: int = 0, epoch: tuple[int, int] = EPOCH) -> SimulatedGateways:
    """Returns `count` placed gateways and a directory that has finished rebuilding."""
    fleet = SimulatedGateways(Directory(0, epoch, POLICY, MACHINES))
    fleet.step(1, REBUILD_NS)
    for number in range(count):
        assert fleet.request(f"g{number:03d}") is not None
    fleet.step()
    return fleet


def cell(name: str = "old", number: ViewNumber = (16, 0, 4), seeds: int = 3, closing: bool = False) -> Cell:
    return Cell(name, *ZONE, number, tuple(m.address for m in MACHINES[:seeds]), closing)


def test_gateways_fill_cells_of_their_zone_up_to_target() -> None:
    """Seeds of a cell are of its region and of different zones, and nothing moves without a cause."""
    fleet = settled_fleet(60)
    assert fleet.sizes() == [12, 24, 24]
    other = fleet.request("elsewhere", Zone("r1", "z0"))
    assert other is not None and other.cell.location == Zone("r1", "z0")
    for placed in fleet.placed.values():
        seeds = [BY_ADDRESS[seed] for seed in placed.cell.seeds]
        assert len(seeds) == 3 and {seed.region for seed in seeds} == {placed.cell.region}
        assert len({seed.zone for seed in seeds}) == 3, "the loss of a zone costs a cell only one seed"
    fleet.step(100)
    assert not fleet.moves, "nothing moves without a cause"


def test_seeds_are_balanced_over_control_machines() -> None:
    fleet = settled_fleet(24 * 20)
    load = Counter(seed for entry in fleet.directory.entries.values() for seed in entry.cell.seeds)
    assert len(load) == 5 and sum(load.values()) == 60 and max(load.values()) <= 20


def test_region_with_few_control_machines_gets_seeds_of_others() -> None:
    machines = (*MACHINES[:5], ControlMachine("far", "r2", "z9", ("10.0.1.1", 1)))
    fleet = SimulatedGateways(Directory(0, EPOCH, POLICY, machines), REBUILD_NS)
    fleet.live = frozenset(machine.name for machine in machines)
    fleet.step()
    placed = fleet.request("g", Zone("r2", "z9"))
    assert placed is not None and placed.cell.seeds[0] == ("10.0.1.1", 1) and len(set(placed.cell.seeds)) == 3


def test_gateway_keeps_its_cell_and_returns_after_restart() -> None:
    fleet = settled_fleet(60)
    before = fleet.placed["g007"]
    assert fleet.request("g007") == before, "the placement is repeated with the same number"
    fleet.end("g007")
    again = fleet.request("g007", created_at_ms=2)
    assert again is not None and again.cell == before.cell and again.number > before.number


def test_new_leader_learns_cells_before_it_opens_any() -> None:
    """While a new leader rebuilds its directory, it learns cells from their seeds or gateways.

    Seeds are the control machines that report a cell; gateways name it in their placement requests.
    """
    fleet = SimulatedGateways(Directory(0, EPOCH, POLICY, MACHINES), 1)
    assert fleet.request("new") is None, "the cells of other gateways are not known yet"
    held = Placement((16, 0, 9), cell())
    fleet.placed["old"] = held
    assert fleet.request("old") == held
    fleet.directory.record_report(2, cell("reported"), (3, 1, 1), [("a", 1), ("b", 1)])
    fleet.directory.record_report(2, cell("reported"), (2, 0, 9), [("a", 1)])
    assert fleet.directory.entries["reported"].count() == 2, "a report of an older view is ignored"
    fleet.now = REBUILD_NS
    placed = fleet.request("new")
    assert placed is not None and placed.cell.name == "reported", "it is the fullest cell with capacity"
    assert fleet.request("a") is not None and fleet.placed["a"].cell.name == "reported"


@pytest.mark.parametrize(
    "invalid",
    [
        cell(number=(17, 2, 1)),
        cell(seeds=0),
        Cell("x", *ZONE, (16, 0, 1), (("10.9.9.9", 1),)),
    ],
)
def test_implausible_cell_is_not_recorded(invalid: Cell) -> None:
    """The cell has a number of a later leader, no seeds, or seeds that are no control machines."""
    fleet = settled_fleet()
    fleet.directory.record_report(fleet.now, invalid, (1, 0, 1), [("a", 1)])
    assert not fleet.directory.entries
    fleet.placed["g"] = Placement((16, 0, 1), invalid)
    assert fleet.request("g") is not None and fleet.placed["g"].cell.name != invalid.name


def test_oversized_cell_is_split_and_not_merged_again() -> None:
    fleet = settled_fleet()
    # A cell can get so large because two leaders may each have placed gateways in it.
    for number in range(POLICY.max_gateways + 2):
        fleet.placed[f"g{number:03d}"] = Placement((16, 0, number), cell())
        fleet.request(f"g{number:03d}")
    fleet.step(12)
    assert fleet.sizes() == [15, 15]
    assert max(Counter(m.placement.number for m in fleet.moves).values()) == 1
    move_count = len(fleet.moves)
    fleet.step(200)
    assert len(fleet.moves) == move_count and fleet.sizes() == [15, 15]


def test_moves_in_one_round_are_limited() -> None:
    fleet = settled_fleet()
    for number in range(40):
        fleet.placed[f"g{number:03d}"] = Placement((16, 0, number), cell())
        fleet.request(f"g{number:03d}")
    fleet.step()
    for _ in range(8):
        before = len(fleet.moves)
        fleet.step(1, ROUND_INTERVAL_NS)
        assert len(fleet.moves) - before <= MOVES_PER_ROUND


def test_small_cells_are_merged_after_a_delay() -> None:
    """The emptied cell is retired, and a gateway that still names it does not restore it."""
    fleet = settled_fleet(48)
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
    late = fleet.request("late")
    assert late is not None and late.cell.name != gone, "a retired cell is not restored"


def test_cells_of_lost_zone_are_retired_one_by_one() -> None:
    """They are kept while their gateways may only be unreachable, and returning gateways get new cells."""
    fleet = settled_fleet(100)
    fleet.placed.clear()
    fleet.step(POLICY.empty_timeout_ns // SECOND - 2)
    assert len(fleet.directory.entries) == 5 and not fleet.directory.retired, "they may be unreachable"
    fleet.step(12 * len(fleet.directory.entries))
    assert not fleet.directory.entries
    for number in range(100):
        fleet.request(f"g{number:03d}")
    fleet.step()
    assert fleet.sizes() == [4, 24, 24, 24, 24]


def test_cells_of_a_lost_seed_are_replaced() -> None:
    """Cells whose region is cut off with all its seeds are left unchanged, and a restart moves nothing."""
    fleet = settled_fleet(48)
    fleet.live = LIVE - {m.name for m in MACHINES if m.region == "r0"}
    fleet.step(2 * POLICY.seed_loss_timeout_ns // SECOND)
    assert not fleet.moves
    fleet.live = LIVE
    fleet.step()
    gone = BY_ADDRESS[fleet.placed["g000"].cell.seeds[0]]
    affected = {e.cell.name for e in fleet.directory.entries.values() if gone.address in e.cell.seeds}
    fleet.live = LIVE - {gone.name}
    fleet.step(POLICY.seed_loss_timeout_ns // SECOND - 2)
    assert not fleet.moves, "a restart takes less time"
    fleet.step(60)
    assert fleet.sizes() == [24, 24] and not affected & fleet.directory.entries.keys()
    assert all(gone.address not in placed.cell.seeds for placed in fleet.placed.values())
    assert len(fleet.moves) == 24 * len(affected), "each gateway of these cells moves once"


def test_move_is_repeated_with_the_same_number() -> None:
    """The notices of a move may be lost; a request by the gateway gets the same placement."""
    fleet = settled_fleet(10)
    entry = next(iter(fleet.directory.entries.values()))
    entry.cell = cell(entry.cell.name, (17, 1, 400), closing=True)
    directory, now = fleet.directory, fleet.now
    assert directory.tick(now + ROUND_INTERVAL_NS, LIVE) == [], "the target cell has no view yet"
    fleet.report()
    now += ROUND_INTERVAL_NS
    first = directory.tick(now + ROUND_INTERVAL_NS, LIVE)
    assert len(first) == MOVES_PER_ROUND
    repeated = directory.tick(now + ROUND_INTERVAL_NS + RESEND_INTERVAL_NS, LIVE)
    assert {m.placement for m in first} <= {m.placement for m in repeated}
    answer = fleet.directory.place(
        now + ROUND_INTERVAL_NS + RESEND_INTERVAL_NS,
        (first[0].gateway, 1),
        PlacementRequest(*ZONE, ("10.9.0.1", 1), fleet.placed[first[0].gateway]),
    )
    assert answer == first[0].placement, "a request gets the same placement"


def test_gateway_that_never_arrives_is_no_longer_counted() -> None:
    fleet = settled_fleet()
    assert fleet.request("g") is not None
    fleet.end("g")
    assert next(iter(fleet.directory.entries.values())).count() == 1
    fleet.step(PENDING_TIMEOUT_NS // SECOND + 1)
    assert next(iter(fleet.directory.entries.values())).count() == 0


def test_gateways_beyond_the_limit_of_the_fleet_are_rejected() -> None:
    policy = POLICY._replace(max_fleet_gateways=3)
    fleet = SimulatedGateways(Directory(0, EPOCH, policy, MACHINES), REBUILD_NS)
    assert [fleet.request(f"g{n}") is not None for n in range(5)] == [True, True, True, False, False]
    assert fleet.directory.rejected_requests == 2


@settings(max_examples=60, deadline=None)
@given(st.randoms(use_true_random=False))
def test_cell_sizes_stay_bounded_and_moves_stop_after_changes(rng: random.Random) -> None:
    """Gateways join and leave at random, in half of the cases with a change of the leader."""
    fleet = settled_fleet()
    zones = [ZONE, Zone("r0", "z2"), Zone("r1", "z0")]
    for turn in range(40):
        for _ in range(rng.choice([0, 1, 5, 30])):
            name = f"g{rng.randrange(200):03d}"
            if name in fleet.placed and rng.random() < 0.5:
                fleet.end(name)
            elif name not in fleet.placed:
                fleet.request(name, zones[int(name[1:]) % 3])
        if turn == 20 and rng.random() < 0.5:
            before = fleet.directory
            fleet.directory = Directory(fleet.now, (18, 0), POLICY, MACHINES)
            for entry in before.entries.values():
                fleet.directory.record_report(fleet.now, entry.cell, entry.view_number, entry.members.items())
        fleet.step()
        assert all(size <= POLICY.max_gateways for size in fleet.sizes())
    fleet.step(1_000)
    move_count = len(fleet.moves)
    fleet.step(300)
    assert len(fleet.moves) == move_count, "nothing moves without a cause"
    for zone in zones:
        counts = sorted(e.count() for e in fleet.directory.entries.values() if e.cell.location == zone)
        assert not any(c.cell.closing for c in fleet.directory.entries.values())
        assert (
            len(counts) < 2
            or counts[0] > POLICY.min_gateways
            or counts[0] + counts[1] > POLICY.max_merged_gateways
        )
