"""Membership in levels: one core each by hand, whole fleets in virtual time, and planted faults."""

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
from trackspread.testing.virtual.cells.mutants import MUTANTS, tells
from trackspread.testing.virtual.cells.schedules import play
from trackspread.testing.virtual.cells.world import CelledWorld, layout
from trackspread.testing.virtual.cells.worlds import WORLDS

MACHINES = layout(1, 4)
ZONE = Zone("r0", "z0")
BEGUN = 1_000 * SECOND
CONTROL, STRANGER = MACHINES[0].address, ("10.9.9.9", 1)


def cell(name: str = "a", number: ViewNumber = (5, 0, 1), closing: bool = False) -> Cell:
    return Cell(name, *ZONE, number, tuple(m.address for m in MACHINES[:3]), closing)


def placement(name: str = "a", count: int = 1) -> Placement:
    return Placement((5, 0, count), cell(name))


def gateway() -> Gateway:
    return Gateway(GatewaySettings("fleet", "g", 100, ("10.1.0.1", 7000), ZONE, MACHINES), BEGUN, 1)


def told(core: Gateway, what: Placement, name: str = "c0", fleet: str = "fleet") -> list[CellsAction]:
    message = CellsMessage(fleet, name, 1, PlacementNotice(core.member_id, what))
    return core.receive_cells_message(BEGUN, message, CONTROL)


def controller() -> Controller:
    return Controller(ControlSettings("fleet", "c0", 100, MACHINES), BEGUN, 1)


def led(core: Controller, body: MessageBody, epoch: tuple[int, int] = (5, 0)) -> None:
    """A leader says so."""
    core.receive_cells_message(BEGUN, CellsMessage("fleet", "c1", 1, body, epoch), MACHINES[1].address)


def asked(core: Controller, held: Placement | None, now: int = BEGUN) -> list[object]:
    """What comes of a gateway's question: bodies."""
    message = CellsMessage("fleet", "g", 100, PlacementRequest(*ZONE, ("10.1.0.1", 7000), held))
    return [
        action.message.body
        for action in core.receive_cells_message(now, message, ("10.1.0.1", 7000))
        if isinstance(action, SendCellsMessage)
    ]


def test_a_gateway_joins_moves_once_and_never_goes_back() -> None:
    core = gateway()
    assert isinstance(told(core, placement("a", 3))[0], CellJoined)
    first = core.member
    assert first is not None and core.member_id == ("g", 101)
    assert not told(core, placement("b", 2)) and core.member is first, "an older word"
    made = told(core, placement("b", 4))
    kinds = [type(each) for each in made if not isinstance(each, MemberAction)]
    assert kinds == [CellLeft, CellJoined] and first.has_left and first.usable_slots(BEGUN) == 0
    assert core.member is not first and core.member_id == ("g", 102), "to the cell it is another process"
    assert core.placement == placement("b", 4)
    assert all(
        each.fleet == "a"
        for each in made[: made.index(CellLeft(placement("a", 3)))]
        if isinstance(each, MemberAction)
    )


def test_a_gateway_hears_control_machines_of_its_fleet_alone() -> None:
    core = gateway()
    assert not told(core, placement(), name="g7") and not told(core, placement(), fleet="other")
    other = CellsMessage("fleet", "c0", 1, PlacementNotice(("g", 99), placement()))
    assert not core.receive_cells_message(BEGUN, other, CONTROL), "a former process of its name is meant"
    assert core.placement is None


def test_a_gateway_that_hears_nothing_asks_its_region_then_others_ever_less_often() -> None:
    far = layout(2, 4)
    core = Gateway(GatewaySettings("fleet", "g", 100, STRANGER, Zone("r1", "z0"), far), BEGUN, 3)
    core.start(BEGUN)
    at: list[tuple[int, object]] = []
    for now in range(BEGUN, BEGUN + 60 * SECOND, 50 * MS):
        at += [(now, each.address) for each in core.tick(now) if isinstance(each, SendCellsMessage)]
    near = {m.address for m in far if m.region == "r1"}
    assert {to for _, to in at[:3]} <= near and {to for _, to in at[3:]} - near
    gaps = [b[0] - a[0] for a, b in pairwise(at)]
    assert 15 <= len(at) <= 30 and min(gaps[5:]) >= 2 * SECOND and len(set(gaps[5:])) > 5, "drawn"


def test_a_gateway_without_an_answer_stays_in_its_cell() -> None:
    core = gateway()
    told(core, placement())
    for now in range(BEGUN, BEGUN + 300 * SECOND, 500 * MS):
        assert not [each for each in core.tick(now) if isinstance(each, CellLeft)]
    assert core.placement == placement()


def test_one_that_is_fenced_asks_no_more() -> None:
    core = gateway()
    told(core, placement())
    assert core.member is not None
    core.member.state.has_left = core.member.state.is_fenced = True
    assert core.is_fenced and not [
        each for each in core.tick(BEGUN + 60 * SECOND) if isinstance(each, SendCellsMessage)
    ]
    assert not told(core, placement("b", 9))


def test_a_control_machine_seeds_on_a_leaders_word_alone_and_never_again_what_was_given_up() -> None:
    core = controller()
    core.receive_cells_message(BEGUN, CellsMessage("fleet", "c1", 1, SeedCell(cell())), MACHINES[1].address)
    led(core, SeedCell(Cell("b", *ZONE, (5, 0, 1), (STRANGER,))))
    assert not core.cells, "no leader said so, or it is no seed of it"
    led(core, SeedCell(cell()))
    assert list(core.cells) == ["a"] and core.cells["a"].member.settings.fleet == "a"
    led(core, SeedCell(cell(number=(5, 0, 0))))
    assert core.cells["a"].cell.number == (5, 0, 1)
    led(core, RetireCell("a", (5, 0, 0)))
    assert core.cells, "an older word"
    led(core, RetireCell("a", (5, 0, 7)))
    led(core, SeedCell(cell()), (6, 1))
    assert not core.cells


def test_words_of_an_older_leader_are_passed_over() -> None:
    core = controller()
    led(core, SeedCell(cell()), (6, 1))
    led(core, SeedCell(cell("b")), (5, 2))
    assert list(core.cells) == ["a"]


def test_who_does_not_lead_answers_for_cells_it_seeds_and_forwards_the_rest() -> None:
    core = controller()
    assert asked(core, None) == [], "nobody is known to lead"
    led(core, SeedCell(cell()))
    assert asked(core, placement("a", 4)) == [PlacementNotice(("g", 100), placement("a", 4))]
    led(core, SeedCell(cell(number=(5, 0, 3), closing=True)))
    assert asked(core, placement("a", 4)) == [], "closing: it is the leader's to say where to"


def test_without_a_leader_a_newcomer_is_sent_to_an_open_cell_with_room_by_that_cells_number() -> None:
    core = controller()
    led(core, SeedCell(cell()))
    late = BEGUN + 2 * LEADER_TIMEOUT_NS
    assert asked(core, None, late) == [], "no view yet"
    member = core.cells["a"].member
    member.state.view = View((1, 0, 1), (0, -1, 0), (("c0", 1), ("g1", 1)))
    assert asked(core, None, late) == [PlacementNotice(("g", 100), Placement((5, 0, 1), cell()))]
    member.state.view = View((1, 0, 2), (1, 0, 1), tuple((f"g{n:02d}", 1) for n in range(1, 25)))
    assert asked(core, None, late) == [], "full"
    assert asked(core, placement("gone"), late) == [], "one with a cell stays there"


def small_cells(now: int) -> tuple[Directory, Cell, Cell]:
    """A directory that is no longer rebuilding, with a cell of one gateway and one of two."""
    directory = Directory(
        now - 60 * SECOND, (5, 0), CellPolicy(2, 3, 1, 2, merge_delay_ns=4 * SECOND), MACHINES
    )
    one, two = cell("one", (5, 0, 1)), cell("two", (5, 0, 2))
    directory.record_report(now, one, (5, 0, 1), [("g0", 1)])
    directory.record_report(now, two, (5, 0, 1), [("g1", 1), ("g2", 1)])
    return directory, one, two


def ticked(directory: Directory, begin: int, seconds: int) -> None:
    live = frozenset(machine.name for machine in MACHINES)
    for second in range(seconds + 1):
        assert directory.tick(begin + second * SECOND, live) == [], "somebody is moved"


def test_cells_are_not_merged_while_gateways_are_missed_and_come_back_one_after_the_other() -> None:
    directory, one, two = small_cells(BEGUN)
    ticked(directory, BEGUN, 1)
    # All gateways are cut off from the control machines, which miss one of them after the other.
    cut = BEGUN + 10 * SECOND
    ticked(directory, BEGUN + 2 * SECOND, 8)
    directory.record_report(cut, two, (5, 0, 2), [("g2", 1)])
    ticked(directory, cut, 3)
    for each in (two, one):
        directory.record_report(cut + 3 * SECOND, each, (5, 0, 3), [])
    ticked(directory, cut + 3 * SECOND, 20)
    healed = cut + 24 * SECOND
    directory.record_report(healed, one, (5, 0, 4), [("g0", 1)])
    ticked(directory, healed, 6)
    directory.record_report(healed + 7 * SECOND, two, (5, 0, 4), [("g1", 1)])
    ticked(directory, healed + 7 * SECOND, 3)
    directory.record_report(healed + 10 * SECOND, two, (5, 0, 5), [("g1", 1), ("g2", 1)])
    ticked(directory, healed + 11 * SECOND, 20)
    assert not any(entry.cell.closing for entry in directory.entries.values())


def test_a_small_cell_is_merged_once_neither_has_changed_for_long() -> None:
    directory, _, two = small_cells(BEGUN)
    ticked(directory, BEGUN, 1)
    directory.record_report(BEGUN + 2 * SECOND, two, (5, 0, 2), [("g1", 1)])
    ticked(directory, BEGUN + 2 * SECOND, 3)
    assert not any(entry.cell.closing for entry in directory.entries.values())
    directory.tick(BEGUN + 6 * SECOND, frozenset(machine.name for machine in MACHINES))
    assert [entry.cell.closing for entry in directory.entries.values()].count(True) == 1


def test_voters_are_odd_and_of_all_regions_in_turn() -> None:
    for machines, count in ((1, 1), (2, 1), (3, 3), (6, 5), (19, 7)):
        chosen = voters(layout(4, machines))
        assert len(set(chosen)) == len(chosen) == count
    regions = {m.address: m.region for m in layout(4, 19)}
    held = [regions[address] for address in voters(layout(4, 19))]
    assert max(held.count(region) for region in set(held)) == 2


def seeding(members: int, name: str = "gateway-{:050d}") -> SeededCell:
    member = Member(MemberSettings("a", "c0", 1, CONTROL, (CONTROL,)), BEGUN, 1)
    who = tuple((name.format(n), 1) for n in range(members))
    member.state.view = View((1, 0, 1), (0, -1, 0), (("c0", 1), *who))
    return SeededCell(cell(), member)


def test_a_report_comes_in_pages_that_fit_and_again_until_it_is_noted() -> None:
    one, rng, control = seeding(28), random.Random(1), frozenset({"c0"})
    reports = one.due_reports(BEGUN, (5, 0), control, rng)
    assert len(reports) > 1 and sum(len(r.members) for r in reports) == 28
    assert all(sum(len(name) for name, _ in r.members) <= MAX_PAGE_BYTES for r in reports)
    assert not one.due_reports(BEGUN + 500 * MS, (5, 0), control, rng)
    assert one.due_reports(BEGUN + 2 * SECOND, (5, 0), control, rng) == reports
    one.record_receipt((5, 0), ReportReceipt("a", (5, 0, 1), (1, 0, 1)))
    assert not one.due_reports(BEGUN + 5 * SECOND, (5, 0), control, rng)
    assert not one.due_reports(BEGUN + 5 * SECOND, (6, 1), control, rng), "not all cells at once"
    assert one.due_reports(BEGUN + 6 * SECOND, (6, 1), control, rng), "another leader knows nothing"
    assert seeding(0).due_reports(BEGUN, (5, 0), control, rng) == [CellReport(cell(), (1, 0, 1), ())]


def test_one_that_leads_asks_at_each_instant_whether_it_does() -> None:
    world = CelledWorld(3, 1, 3)
    world.populate(1)
    world.begin(20 * SECOND)
    leader = world.leader()
    assert leader is not None and isinstance(leader.core, Controller)
    core, now = leader.core, leader.now(world.clock.now)
    newcomer = ForwardedRequest(("new", 1), PlacementRequest(*ZONE, STRANGER))
    message = CellsMessage("fleet", "c1" if leader.name != "c1" else "c2", 1, newcomer)
    assert [a for a in core.receive_cells_message(now, message, STRANGER) if isinstance(a, SendCellsMessage)]
    assert not core.receive_cells_message(now + 3 * SECOND, message, STRANGER), "it stood still, and woke"


@pytest.mark.parametrize("world", WORLDS[1:], ids=lambda world: str(world.__name__))
@pytest.mark.parametrize("seed", [1, 2])
def test_a_hard_case(world: object, seed: int) -> None:
    world(seed)  # type: ignore[operator]


@pytest.mark.parametrize("seed", range(100, 116))
def test_one_view_a_number_one_holder_a_slot_and_one_cell_a_gateway_through_mixed_faults(seed: int) -> None:
    play(seed)


BY = {  # the world, and its seed, that brings each out
    "cells-any-word": ("seed_replaced", 1),
    "cells-first-word": ("seed_replaced", 1),
    "cells-empty-given-up": ("zone_cut_off", 1),
    "cells-joins-first": ("seed_replaced", 1),
    "cells-kept-slots": ("seed_replaced", 1),
    "cells-gives-up": ("cell_without_its_majority", 1),
    "cells-asks-without-pause": ("out_of_all_reach", 1),
    "cells-asks-together": ("region_cut_off", 1),
    "cells-leads-on": ("region_cut_off", 1),
    "cells-entry-goes-back": ("late_entries", 1),
    "cells-brought-back": ("late_entries", 1),
    "cells-not-reported": ("region_cut_off", 1),
    "cells-restart-unseen": ("cell_without_its_majority", 1),
    "cells-given-up-full": ("seed_replaced", 1),
    "cells-zones-mixed": ("region_cut_off", 1),
    "cells-never-split": ("too_many_at_once", 1),
    "cells-never-merged": ("too_many_at_once", 1),
    "cells-merges-without-pause": ("region_cut_off", 1),
    "cells-seeds-for-ever": ("seed_replaced", 1),
    "cells-cut-off-is-gone": ("region_cut_off", 2),
    "cells-former-forgotten": ("half_restarted", 1),
    "cells-opens-unasked": ("too_many_at_once", 1),
    "cells-no-local-placement": ("region_cut_off", 1),
    "cells-witness-granted": ("region_cut_off", 1),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_a_planted_fault_is_told(name: str) -> None:
    assert tells(*BY[name], name)


def test_the_cost_of_a_small_fleet_is_counted() -> None:
    line = played(24, 2, 1)
    assert (line.gateways, line.cells) == (24, 12) and 0 < line.settled_s < 20
    assert 100 < line.gateway.sent <= line.gateway.sent_most < 5_000
    assert line.control.sent_most >= line.leader.sent > line.gateway.sent


def test_a_member_that_left_one_cell_is_live_in_no_other_by_that_word() -> None:
    core = gateway()
    told(core, placement("a", 3))
    before = core.member
    told(core, placement("b", 4))
    assert before is not None and before.member_table.own_update.state == State.LEFT
    assert core.member is not None and core.member.member_table.own_update.state == State.ALIVE
