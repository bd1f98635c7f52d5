"""Cells on processes: gateways that serve, control machines, faults between; judged by their records."""

from __future__ import annotations

import asyncio
import signal
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
import uvloop

from trackspread.membership.identifiers import MS
from trackspread.testing.harness import membership_fleet
from trackspread.testing.harness.cell_fleet import CONTROL_COMMAND, CelledFleet, unsettled_cells
from trackspread.testing.standins.scenario import Scenario

from ..fakes import command

pytestmark = pytest.mark.processes

GATEWAYS, CONTROL = 6, 4
START, SETTLED = 25.0, 25.0  # s until all are in cells that are whole; a cold control tier rebuilds first
LOOK = 0.2  # s between looks at the records
KEPT = Path(tempfile.gettempdir()) / "trackspread-kept"  # ledger, logs and records of a run that failed
MOST = 150.0  # s: only a hang reaches it
TRIES = 4  # of a run whose rig lagged: such a run has no verdict

Work = Callable[[CelledFleet], Awaitable[None]]


async def settled(fleet: CelledFleet, most: float = SETTLED) -> None:
    loop = asyncio.get_running_loop()
    end = loop.time() + most
    while amiss := unsettled_cells(fleet):
        assert loop.time() < end, f"{amiss}; {[c.log_tail(2) for c in fleet.control_machines.values()]}"
        await asyncio.sleep(LOOK)


async def until(holds: Callable[[], bool], most: float = SETTLED) -> None:
    async with asyncio.timeout(most):
        while not holds():
            await asyncio.sleep(LOOK)


QUICK = (
    "-m",
    "trackspread.testing.harness.fast_control",
    "none",
)  # small cells, merged and replaced within seconds


def play(work: Work, controls: tuple[str, ...] = CONTROL_COMMAND, keys: str = "keep_s = 3.0") -> None:
    """The rules, and all records, are decided on after it; a run in which the rig lagged is played again."""

    async def once() -> bool:
        scenario = Scenario(gateways=GATEWAYS, nodes=6, load=0.15, seed=7, tolerance_ns=200 * MS)
        async with CelledFleet(scenario, CONTROL, keys, control_command=controls) as fleet:
            await settled(fleet, START)
            fleet.start_clients()
            await work(fleet)
            await fleet.settle()
            amiss = fleet.inconsistencies()
            verdict = fleet.verdict()
            if verdict.state == "void" and not amiss:
                return False
            if verdict.state == "broken" or amiss:
                membership_fleet.save_run(fleet, KEPT)
            assert amiss == []
            assert verdict.state == "kept", verdict.violations
            return True

    for _ in range(TRIES):
        if uvloop.run(asyncio.wait_for(once(), MOST)):
            return
    raise AssertionError(f"the rig lagged in each of {TRIES} runs")


def moves(fleet: CelledFleet, since: int) -> list[str]:
    return [each.name for each in fleet.records() if each.at > since and each.kind == "parted"]


def cut(fleet: CelledFleet, some: list[str], others: list[str], hole: bool) -> None:
    """What the ones say to the others."""
    for a in some:
        for b in others:
            fleet.network.path(a, b, "udp").blackhole = fleet.network.path(a, b, "tcp").blackhole = hole


def direct(fleet: CelledFleet, name: str) -> Path:
    """A control machine's file with the addresses themselves: the wire knows no stranger's questions."""
    text = fleet.fleet_table(name)
    for each in fleet.control_names:
        text = text.replace(
            "{}:{}".format(*fleet.advertised_addresses[each]), "{}:{}".format(*fleet.member_addresses[each])
        )
    (fleet.folder / "direct.toml").write_text(text)
    return fleet.folder / "direct.toml"


def names(fleet: CelledFleet) -> list[str]:
    return [gateway.name for gateway in fleet.gateways]


def test_a_leader_and_coordinators_end_and_the_operator_sees_the_cells() -> None:
    async def work(fleet: CelledFleet) -> None:
        doors = ["{}:{}".format(*fleet.control_addresses[name]) for name in names(fleet)]
        status, out = await command("fleet", "view", *doors, "--wait", "10")
        assert status == 0, out
        assert out.count("cell r.z0.") == out.count("cell r.z1.") == GATEWAYS // 2
        leader = fleet.leader()
        await fleet.control_machines[leader].kill()  # it coordinates some cell too, or its seat there is lost
        await until(lambda: fleet.leader() not in ("", leader))
        await settled(fleet)
        await fleet.stop_gateways([4])
        await settled(fleet)
        await fleet.start_gateways([4])
        await settled(fleet)
        await fleet.control_machines[leader].start()
        file = str(direct(fleet, leader))

        async def listed() -> str:
            return (await command("fleet", "cells", "--file", file))[1]

        async with asyncio.timeout(SETTLED):
            while f"2 cells, {GATEWAYS} gateways" not in await listed():
                await asyncio.sleep(LOOK)
        other = next(name for name in fleet.control_names if name not in (leader, fleet.leader()))
        assert await fleet.control_machines[other].end() == 0

    play(work)


def test_half_of_the_fleet_starts_anew_and_a_stopped_one_wakes_with_an_old_lease() -> None:
    async def work(fleet: CelledFleet) -> None:
        before = fleet.cells_by_gateway()
        await fleet.restart([0, 1, 2], 0.2)
        await settled(fleet)
        assert fleet.cells_by_gateway() == before, "all come back to the cells that they were in"
        fleet.gateways[5].pause()
        await asyncio.sleep(6.0)  # over the life of what it holds
        fleet.gateways[5].resume()
        await settled(fleet)

    play(work)


def test_two_that_believe_they_lead_and_control_machines_that_all_start_anew() -> None:
    async def work(fleet: CelledFleet) -> None:
        since = fleet.records()[-1].at
        leader = fleet.leader()
        fleet.control_machines[leader].signal(signal.SIGSTOP)
        await until(lambda: fleet.leader() not in ("", leader))
        fleet.control_machines[leader].signal(signal.SIGCONT)
        await settled(fleet)
        for control in fleet.control_machines.values():
            await control.kill()
        for control in fleet.control_machines.values():
            await control.start()
        await until(
            lambda: (
                fleet.leader() != ""
                and any(
                    each.kind == "control leads" and each.name == fleet.leader() for each in fleet.records()
                )
            )
        )
        await settled(fleet, 40.0)
        assert moves(fleet, since) == []

    play(work)


def test_cells_that_reach_no_control_machine_or_one_way_only_go_on_and_heal_without_a_move() -> None:
    async def work(fleet: CelledFleet) -> None:
        since = fleet.records()[-1].at
        cut(fleet, names(fleet), fleet.control_names, True)
        cut(fleet, fleet.control_names, names(fleet), True)
        await asyncio.sleep(6.0)
        cut(fleet, names(fleet), fleet.control_names, False)
        cut(fleet, fleet.control_names, names(fleet), False)
        await settled(fleet)
        cut(fleet, names(fleet)[:2], fleet.control_names, True)
        await asyncio.sleep(5.0)
        cut(fleet, names(fleet)[:2], fleet.control_names, False)
        await settled(fleet)
        assert moves(fleet, since) == []

    play(work)


def test_gateways_move_when_a_control_machine_is_gone_for_good_and_when_cells_are_merged() -> None:
    async def work(fleet: CelledFleet) -> None:
        since = fleet.records()[-1].at
        before = fleet.cells_by_gateway()
        assert len(set(before.values())) == 4, "two gateways and one in each zone"
        gone = next(name for name in fleet.control_names if name != fleet.leader())
        await fleet.control_machines[gone].kill()
        await until(lambda: bool(moves(fleet, since)) and unsettled_cells(fleet) == "", 60.0)
        await settled(fleet)
        # Of the cell of two in zone z0 one ends for good: what is left of it is merged with the other.
        cells = fleet.cells_by_gateway()
        in_zone = [name for name in names(fleet) if cells[name].startswith("r.z0.")]
        of_two = next(name for name in in_zone if list(cells.values()).count(cells[name]) == 2)
        await fleet.stop_gateways([int(of_two[1:])])
        left = [name for name in in_zone if name != of_two]
        await until(lambda: len({fleet.cells_by_gateway().get(name) for name in left}) == 1, 60.0)
        await settled(fleet)

    play(work, QUICK)


def test_cells_that_heal_one_after_the_other_are_not_merged_meanwhile() -> None:
    async def work(fleet: CelledFleet) -> None:
        since = fleet.records()[-1].at
        cells = fleet.cells_by_gateway()
        in_zone = [name for name in names(fleet) if cells[name].startswith("r.z0.")]
        alone = next(name for name in in_zone if list(cells.values()).count(cells[name]) == 1)
        others = [name for name in names(fleet) if name != alone]
        cut(fleet, names(fleet), fleet.control_names, True)
        cut(fleet, fleet.control_names, names(fleet), True)
        # Longer than a cell has to be small, after all of them were taken for dead.
        await until(lambda: all(not gateways_seen(fleet, cell) for cell in set(cells.values())))
        await asyncio.sleep(6.0)
        cut(fleet, [alone], fleet.control_names, False)
        cut(fleet, fleet.control_names, [alone], False)
        await until(lambda: gateways_seen(fleet, cells[alone]) == {alone})
        await asyncio.sleep(1.5)
        cut(fleet, others, fleet.control_names, False)
        cut(fleet, fleet.control_names, others, False)
        await settled(fleet)
        assert moves(fleet, since) == []

    play(work, QUICK)


def gateways_seen(fleet: CelledFleet, cell: str) -> set[str]:
    """Gateways in the newest view of a cell that its control machines hold."""
    held = [
        each
        for each in fleet.records_of_cell(cell)
        if each.kind == "view" and each.name in fleet.control_names
    ]
    members = {name for name, _ in held[-1].about["members"]} if held else set()  # type: ignore[attr-defined]
    return members - set(fleet.control_names)


def by_zone(fleet: CelledFleet) -> bool:
    """Whether each gateway is in a cell of its own zone."""
    return all(cell.startswith(f"r.z{int(name[1:]) % 2}.") for name, cell in fleet.cells_by_gateway().items())


def seeded_by(fleet: CelledFleet, control: str) -> set[str]:
    """Gateways in cells that a control machine seeds."""
    cells = {
        str(each.about["cell"])
        for each in fleet.records()
        if each.kind == "control seeds" and each.name == control
    }
    return {name for name, cell in fleet.cells_by_gateway().items() if cell in cells}


async def told(fleet: CelledFleet) -> str:
    """Why what runs here is not right, after a cut and a control machine's end; nothing where it is."""
    try:
        await settled(fleet, START)
        if not by_zone(fleet):
            return "a gateway is in a cell of another zone"
        since = fleet.records()[-1].at
        cut(fleet, names(fleet), fleet.control_names, True)
        await asyncio.sleep(8.0)
        cut(fleet, names(fleet), fleet.control_names, False)
        await settled(fleet)
        if moved := moves(fleet, since):
            return f"{moved} left their cells for a cut"
        others = [name for name in fleet.control_names if name != fleet.leader()]
        gone = max(others, key=lambda name: len(seeded_by(fleet, name)))
        left = seeded_by(fleet, gone)
        assert left, "no gateway is in a cell that this control machine seeds"
        await fleet.control_machines[gone].kill()
        # All of them: a cell that is given up too early is told by whoever is still in it.
        await until(lambda: left <= set(moves(fleet, since)) and unsettled_cells(fleet) == "")
        await settled(fleet)
    except (AssertionError, TimeoutError) as error:
        return f"not settled: {error}"
    return "; ".join(each.text for each in fleet.inconsistencies()[:2])


PLANTED = (
    "none",
    "cells-joins-first",
    "cells-kept-slots",
    "cells-gives-up",
    "cells-first-word",
    "cells-zones-mixed",
    "cells-given-up-full",
    "view-number-reused",
    "view-parent-wrong",
)


# s for which slots are granted: longer than from a cut to its heal, and from a seed's end to the moves that
# follow it, so that a gateway which moves has slots to give back.
KEEP_S = 15.0


@pytest.mark.parametrize("name", PLANTED)
def test_a_planted_fault_is_told_on_processes_and_none_where_there_is_none(name: str) -> None:
    async def once() -> str:
        scenario = Scenario(gateways=GATEWAYS, nodes=6, load=0.1, seed=7)
        runs = (
            ("-m", "trackspread.testing.harness.mutant_gateway", name)
            if name != "none"
            else ("-m", "trackspread", "run")
        )
        controls = ("-m", "trackspread.testing.harness.fast_control", name)
        async with CelledFleet(scenario, CONTROL, f"keep_s = {KEEP_S}", runs, controls) as fleet:
            return await told(fleet)

    found = uvloop.run(asyncio.wait_for(once(), MOST))
    assert bool(found) == (name != "none"), found
