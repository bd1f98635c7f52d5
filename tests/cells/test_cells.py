"""Tests two-level membership: single cores, whole fleets in virtual time, and mutants of the code."""

from __future__ import annotations

import random
from itertools import pairwise

import pytest

from benchmarks.cells import played
from trackspread.cells.actions import CellJoined, CellLeft, CellsAction, MemberAction, SendCellsMessage
from trackspread.cells.controller import LEADER_TIMEOUT_NS, Controller, ControlSettings, voters
from trackspread.cells.directory import Directory
from trackspread.cells.gateway import Gateway, GatewaySettings
from trackspread.cells.messages import (
    Cell,
    CellReport,
    CellsMessage,
    ForwardedRequest,
    MessageBody,
    Placement,
    PlacementNotice,
    PlacementRequest,
    ReportReceipt,
    RetireCell,
    SeedCell,
)
from trackspread.cells.seeded_cell import MAX_PAGE_BYTES, SeededCell
from trackspread.cells.topology import CellPolicy, Zone
from trackspread.membership.identifiers import MS, SECOND, ViewNumber
from trackspread.membership.member import Member
from trackspread.membership.messages import State, View
from trackspread.membership.settings import MemberSettings
from trackspread.testing.virtual.cells.mutants import MUTANTS, is_detected
from trackspread.testing.virtual.cells.schedules import play
from trackspread.testing.virtual.cells.world import CellsWorld, control_machines
from trackspread.testing.virtual.cells.worlds import WORLDS
from trackspread.testing.virtual.patches import applied

MACHINES = control_machines(1, 4)
ZONE = Zone("r0", "z0")
START_NS = 1_000 * SECOND
CONTROL, UNKNOWN_ADDRESS = MACHINES[0].address, ("10.9.9.9", 1)


def cell(name: str = "a", number: ViewNumber = (5, 0, 1), closing: bool = False) -> Cell:
    return Cell(name, *ZONE, number, tuple(m.address for m in MACHINES[:3]), closing)


def placement(name: str = "a", count: int = 1) -> Placement:
    return Placement((5, 0, count), cell(name))


def gateway() -> Gateway:
    return Gateway(GatewaySettings("fleet", "g", 100, ("10.1.0.1", 7000), ZONE, MACHINES), START_NS, 1)


def notify(core: Gateway, placed: Placement, name: str = "c0", fleet: str = "fleet") -> list[CellsAction]:
    """Sends the gateway a placement from this control machine, and returns its actions."""
    message = CellsMessage(fleet, name, 1, PlacementNotice(core.member_id, placed))
    return core.receive_cells_message(START_NS, message, CONTROL)


def controller() -> Controller:
    return Controller(ControlSettings("fleet", "c0", 100, MACHINES), START_NS, 1)


def decide(core: Controller, body: MessageBody, epoch: tuple[int, int] = (5, 0)) -> None:
    """Sends a leader's decision to the control machine."""
    core.receive_cells_message(START_NS, CellsMessage("fleet", "c1", 1, body, epoch), MACHINES[1].address)


def request_placement(core: Controller, current: Placement | None, now: int = START_NS) -> list[object]:
    """Sends a gateway's request to the control machine, and returns the bodies of its messages."""
    message = CellsMessage("fleet", "g", 100, PlacementRequest(*ZONE, ("10.1.0.1", 7000), current))
    return [
        action.message.body
        for action in core.receive_cells_message(now, message, ("10.1.0.1", 7000))
        if isinstance(action, SendCellsMessage)
    ]


def test_gateway_follows_only_placements_with_greater_numbers() -> None:
    """It moves by leaving one cell, with all its slots, before it joins the other."""
    core = gateway()
    assert isinstance(notify(core, placement("a", 3))[0], CellJoined)
    first = core.member
    assert first is not None and core.member_id == ("g", 101)
    assert not notify(core, placement("b", 2)) and core.member is first, "the placement is older"
    actions = notify(core, placement("b", 4))
    kinds = [type(each) for each in actions if not isinstance(each, MemberAction)]
    assert kinds == [CellLeft, CellJoined] and first.has_left and first.usable_slots(START_NS) == 0
    assert core.member is not first and core.member_id == ("g", 102), "the cell sees another process"
    assert core.placement == placement("b", 4)
    assert all(
        each.fleet == "a"
        for each in actions[: actions.index(CellLeft(placement("a", 3)))]
        if isinstance(each, MemberAction)
    )


def test_gateway_accepts_notices_only_from_its_control_machines() -> None:
    core = gateway()
    assert not notify(core, placement(), name="g7") and not notify(core, placement(), fleet="other")
    other = CellsMessage("fleet", "c0", 1, PlacementNotice(("g", 99), placement()))
    assert not core.receive_cells_message(START_NS, other, CONTROL), "the notice is for a former process"
    assert core.placement is None


def test_unanswered_gateway_asks_other_regions_with_random_backoff() -> None:
    """It first asks the control machines of its own region, and then those of all regions."""
    machines = control_machines(2, 4)
    settings = GatewaySettings("fleet", "g", 100, UNKNOWN_ADDRESS, Zone("r1", "z0"), machines)
    core = Gateway(settings, START_NS, 3)
    core.start(START_NS)
    requests: list[tuple[int, object]] = []
    for now in range(START_NS, START_NS + 60 * SECOND, 50 * MS):
        requests += [(now, each.address) for each in core.tick(now) if isinstance(each, SendCellsMessage)]
    local = {m.address for m in machines if m.region == "r1"}
    assert {to for _, to in requests[:3]} <= local and {to for _, to in requests[3:]} - local
    gaps = [b[0] - a[0] for a, b in pairwise(requests)]
    assert 15 <= len(requests) <= 30 and min(gaps[5:]) >= 2 * SECOND and len(set(gaps[5:])) > 5, "random"


def test_unanswered_gateway_stays_in_its_cell() -> None:
    core = gateway()
    notify(core, placement())
    for now in range(START_NS, START_NS + 300 * SECOND, 500 * MS):
        assert not [each for each in core.tick(now) if isinstance(each, CellLeft)]
    assert core.placement == placement()


def test_fenced_gateway_sends_no_requests() -> None:
    core = gateway()
    notify(core, placement())
    assert core.member is not None
    core.member.state.has_left = core.member.state.is_fenced = True
    assert core.is_fenced and not [
        each for each in core.tick(START_NS + 60 * SECOND) if isinstance(each, SendCellsMessage)
    ]
    assert not notify(core, placement("b", 9))


def test_control_machine_seeds_only_by_a_leaders_decision() -> None:
    """A retired cell is never seeded again, and decisions with older numbers are ignored."""
    core = controller()
    without_epoch = CellsMessage("fleet", "c1", 1, SeedCell(cell()))
    core.receive_cells_message(START_NS, without_epoch, MACHINES[1].address)
    decide(core, SeedCell(Cell("b", *ZONE, (5, 0, 1), (UNKNOWN_ADDRESS,))))
    assert not core.cells, "no leader decided it, or this machine is no seed of the cell"
    decide(core, SeedCell(cell()))
    assert list(core.cells) == ["a"] and core.cells["a"].member.settings.fleet == "a"
    decide(core, SeedCell(cell(number=(5, 0, 0))))
    assert core.cells["a"].cell.number == (5, 0, 1)
    decide(core, RetireCell("a", (5, 0, 0)))
    assert core.cells, "the decision is older"
    decide(core, RetireCell("a", (5, 0, 7)))
    decide(core, SeedCell(cell()), (6, 1))
    assert not core.cells


def test_decisions_of_an_older_leader_are_ignored() -> None:
    core = controller()
    decide(core, SeedCell(cell()), (6, 1))
    decide(core, SeedCell(cell("b")), (5, 2))
    assert list(core.cells) == ["a"]


def test_control_machine_answers_only_for_cells_it_seeds() -> None:
    """The leader decides on other requests, and on those for a closing cell."""
    core = controller()
    assert request_placement(core, None) == [], "no leader is known"
    decide(core, SeedCell(cell()))
    assert request_placement(core, placement("a", 4)) == [PlacementNotice(("g", 100), placement("a", 4))]
    decide(core, SeedCell(cell(number=(5, 0, 3), closing=True)))
    assert request_placement(core, placement("a", 4)) == [], "the leader places gateways of a closing cell"


def test_new_gateway_is_placed_without_a_leader() -> None:
    """It is placed in an open cell with capacity by that cell's own number.

    A gateway that has a cell stays there.
    """
    core = controller()
    decide(core, SeedCell(cell()))
    late = START_NS + 2 * LEADER_TIMEOUT_NS
    assert request_placement(core, None, late) == [], "the cell has no view yet"
    member = core.cells["a"].member
    member.state.view = View((1, 0, 1), (0, -1, 0), (("c0", 1), ("g1", 1)))
    assert request_placement(core, None, late) == [PlacementNotice(("g", 100), Placement((5, 0, 1), cell()))]
    member.state.view = View((1, 0, 2), (1, 0, 1), tuple((f"g{n:02d}", 1) for n in range(1, 25)))
    assert request_placement(core, None, late) == [], "the cell is full"
    assert request_placement(core, placement("gone"), late) == [], "a gateway with a cell stays there"


def small_cells(now: int) -> tuple[Directory, Cell, Cell]:
    """Returns a directory that has finished rebuilding, with a cell of one gateway and one of two."""
    directory = Directory(
        now - 60 * SECOND, (5, 0), CellPolicy(2, 3, 1, 2, merge_delay_ns=4 * SECOND), MACHINES
    )
    one, two = cell("one", (5, 0, 1)), cell("two", (5, 0, 2))
    directory.record_report(now, one, (5, 0, 1), [("g0", 1)])
    directory.record_report(now, two, (5, 0, 1), [("g1", 1), ("g2", 1)])
    return directory, one, two


def tick_without_moves(directory: Directory, begin: int, seconds: int) -> None:
    """Runs a tick every second, and checks that no gateway is moved."""
    live = frozenset(machine.name for machine in MACHINES)
    for second in range(seconds + 1):
        assert directory.tick(begin + second * SECOND, live) == [], "a gateway is moved"


def test_cells_are_not_merged_while_gateways_disappear_and_return() -> None:
    """Gateways that are cut off disappear from the reports one by one, and return the same way."""
    directory, one, two = small_cells(START_NS)
    tick_without_moves(directory, START_NS, 1)
    # All gateways are cut off from the control machines, whose views lose them one by one.
    cut = START_NS + 10 * SECOND
    tick_without_moves(directory, START_NS + 2 * SECOND, 8)
    directory.record_report(cut, two, (5, 0, 2), [("g2", 1)])
    tick_without_moves(directory, cut, 3)
    for each in (two, one):
        directory.record_report(cut + 3 * SECOND, each, (5, 0, 3), [])
    tick_without_moves(directory, cut + 3 * SECOND, 20)
    healed = cut + 24 * SECOND
    directory.record_report(healed, one, (5, 0, 4), [("g0", 1)])
    tick_without_moves(directory, healed, 6)
    directory.record_report(healed + 7 * SECOND, two, (5, 0, 4), [("g1", 1)])
    tick_without_moves(directory, healed + 7 * SECOND, 3)
    directory.record_report(healed + 10 * SECOND, two, (5, 0, 5), [("g1", 1), ("g2", 1)])
    tick_without_moves(directory, healed + 11 * SECOND, 20)
    assert not any(entry.cell.closing for entry in directory.entries.values())


def test_small_cell_is_merged_when_neither_cell_has_changed() -> None:
    """Neither cell may have changed for the merge delay."""
    directory, _, two = small_cells(START_NS)
    tick_without_moves(directory, START_NS, 1)
    directory.record_report(START_NS + 2 * SECOND, two, (5, 0, 2), [("g1", 1)])
    tick_without_moves(directory, START_NS + 2 * SECOND, 3)
    assert not any(entry.cell.closing for entry in directory.entries.values())
    directory.tick(START_NS + 6 * SECOND, frozenset(machine.name for machine in MACHINES))
    assert [entry.cell.closing for entry in directory.entries.values()].count(True) == 1


def test_voters_are_odd_and_spread_over_all_regions() -> None:
    for machines, count in ((1, 1), (2, 1), (3, 3), (6, 5), (19, 7)):
        chosen = voters(control_machines(4, machines))
        assert len(set(chosen)) == len(chosen) == count
    regions = {m.address: m.region for m in control_machines(4, 19)}
    chosen_regions = [regions[address] for address in voters(control_machines(4, 19))]
    assert max(chosen_regions.count(region) for region in set(chosen_regions)) == 2


def seeded_cell(members: int, name: str = "gateway-{:050d}") -> SeededCell:
    """Returns a cell at its seed, with a view of so many gateways."""
    member = Member(MemberSettings("a", "c0", 1, CONTROL, (CONTROL,)), START_NS, 1)
    gateways = tuple((name.format(n), 1) for n in range(members))
    member.state.view = View((1, 0, 1), (0, -1, 0), (("c0", 1), *gateways))
    return SeededCell(cell(), member)


def test_report_is_paged_and_repeated_until_its_receipt() -> None:
    """A new leader gets all reports again, spread over time."""
    seeded, rng, control = seeded_cell(28), random.Random(1), frozenset({"c0"})
    reports = seeded.due_reports(START_NS, (5, 0), control, rng)
    assert len(reports) > 1 and sum(len(r.members) for r in reports) == 28
    assert all(sum(len(name) for name, _ in r.members) <= MAX_PAGE_BYTES for r in reports)
    assert not seeded.due_reports(START_NS + 500 * MS, (5, 0), control, rng)
    assert seeded.due_reports(START_NS + 2 * SECOND, (5, 0), control, rng) == reports
    seeded.record_receipt((5, 0), ReportReceipt("a", (5, 0, 1), (1, 0, 1)))
    assert not seeded.due_reports(START_NS + 5 * SECOND, (5, 0), control, rng)
    assert not seeded.due_reports(START_NS + 5 * SECOND, (6, 1), control, rng), "reports are spread over time"
    assert seeded.due_reports(START_NS + 6 * SECOND, (6, 1), control, rng), "a new leader knows no cells"
    assert seeded_cell(0).due_reports(START_NS, (5, 0), control, rng) == [CellReport(cell(), (1, 0, 1), ())]


def test_leader_checks_at_each_instant_whether_it_leads() -> None:
    """A leader that was paused answers no requests when it resumes."""
    world = CellsWorld(3, 1, 3)
    world.populate(1)
    world.start_all(20 * SECOND)
    leader = world.leader()
    assert leader is not None and isinstance(leader.core, Controller)
    core, now = leader.core, leader.now(world.clock.now)
    forwarded = ForwardedRequest(("new", 1), PlacementRequest(*ZONE, UNKNOWN_ADDRESS))
    message = CellsMessage("fleet", "c1" if leader.name != "c1" else "c2", 1, forwarded)
    actions = core.receive_cells_message(now, message, UNKNOWN_ADDRESS)
    assert [action for action in actions if isinstance(action, SendCellsMessage)]
    later = now + 3 * SECOND
    assert not core.receive_cells_message(later, message, UNKNOWN_ADDRESS), "it was paused meanwhile"


@pytest.mark.parametrize("world", WORLDS[1:], ids=lambda world: str(world.__name__))
@pytest.mark.parametrize("seed", [1, 2])
def test_fault_scenario_keeps_all_invariants(world: object, seed: int) -> None:
    world(seed)  # type: ignore[operator]


@pytest.mark.parametrize("seed", range(100, 116))
def test_invariants_hold_through_mixed_faults(seed: int) -> None:
    """A number names one view, a slot has one holder, and a gateway is in one cell at most."""
    play(seed)


# Each mutant is listed with the world and its seed that expose it.
EXPOSED_BY = {
    "cells-every-notice-followed": ("seed_replaced", 1),
    "cells-never-moves": ("seed_replaced", 1),
    "cells-empty-cell-retired-early": ("zone_cut_off", 1),
    "cells-joins-before-leaving": ("seed_replaced", 1),
    "cells-slots-kept": ("seed_replaced", 1),
    "cells-leaves-without-control": ("cell_without_its_majority", 1),
    "cells-requests-without-backoff": ("out_of_all_reach", 1),
    "cells-refreshes-at-once": ("region_cut_off", 1),
    "cells-leads-after-lease": ("region_cut_off", 1),
    "cells-older-entry-accepted": ("late_entries", 1),
    "cells-retired-cell-seeded": ("late_entries", 1),
    "cells-not-reported": ("region_cut_off", 1),
    "cells-restart-ignored": ("cell_without_its_majority", 1),
    "cells-retired-with-gateways": ("seed_replaced", 1),
    "cells-zones-mixed": ("region_cut_off", 1),
    "cells-never-split": ("too_many_at_once", 1),
    "cells-never-merged": ("too_many_at_once", 1),
    "cells-merges-without-delay": ("region_cut_off", 1),
    "cells-lost-seed-kept": ("seed_replaced", 1),
    "cells-unreachable-seed-replaced": ("region_cut_off", 2),
    "cells-former-cell-forgotten": ("half_restarted", 1),
    "cells-opens-before-rebuilding": ("too_many_at_once", 1),
    "cells-no-local-placement": ("region_cut_off", 1),
    "cells-seeds-granted-slots": ("region_cut_off", 1),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_mutant_is_detected(name: str) -> None:
    assert is_detected(*EXPOSED_BY[name], name)


def test_planted_mix_of_zones_lasts_when_a_gateway_asks_again() -> None:
    """Guards against a planted fault that ends by itself where a loaded machine lets gateways ask twice."""
    with applied(MUTANTS["cells-zones-mixed"]()):
        directory = Directory(START_NS - 60 * SECOND, (5, 0), CellPolicy(2, 3, 1, 2), MACHINES)
        zones = {}
        for name, zone in (("g0", "z0"), ("g1", "z1"), ("g1", "z1")):
            request = PlacementRequest("r0", zone, UNKNOWN_ADDRESS)
            placed = directory.place(START_NS, (name, 1), request)
            assert placed is not None
            zones[name] = placed.cell.zone
    assert zones == {"g0": "z0", "g1": "z0"}


def test_messages_of_a_small_fleet_are_counted() -> None:
    line = played(24, 2, 1)
    assert (line.gateways, line.cells) == (24, 12) and 0 < line.settled_s < 20
    assert 100 < line.gateway.sent <= line.gateway.sent_most < 5_000
    assert line.control.sent_most >= line.leader.sent > line.gateway.sent


def test_member_that_left_one_cell_is_alive_in_another() -> None:
    """The departure from one cell does not mark the gateway as left in its next cell."""
    core = gateway()
    notify(core, placement("a", 3))
    before = core.member
    notify(core, placement("b", 4))
    assert before is not None and before.member_table.own_update.state == State.LEFT
    assert core.member is not None and core.member.member_table.own_update.state == State.ALIVE
