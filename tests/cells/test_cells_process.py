"""Tests cells on processes of gateways and control machines under faults, judged by their event logs."""

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

GATEWAYS, CONTROL_MACHINES = 6, 4
# Limits in s until all gateways are in settled cells; newly started control machines first rebuild the
# directory.
START, SETTLED = 25.0, 25.0
POLL_INTERVAL_S = 0.2  # time between reads of the event logs
# The folder receives the ledger, logs and event logs of a run that failed.
FAILED_RUN_FOLDER = Path(tempfile.gettempdir()) / "trackspread-kept"
TIMEOUT_S = 150.0  # only a hang reaches it
ATTEMPTS = 4  # a run in which the harness lagged has no verdict and is repeated

Work = Callable[[CelledFleet], Awaitable[None]]


async def settled(fleet: CelledFleet, timeout_s: float = SETTLED) -> None:
    """Waits until all cells are settled, and fails after `timeout_s`."""
    loop = asyncio.get_running_loop()
    end = loop.time() + timeout_s
    while fault := unsettled_cells(fleet):
        assert loop.time() < end, f"{fault}; {[c.log_tail(2) for c in fleet.control_machines.values()]}"
        await asyncio.sleep(POLL_INTERVAL_S)


async def until(holds: Callable[[], bool], timeout_s: float = SETTLED) -> None:
    """Waits until the condition holds, and raises `TimeoutError` after `timeout_s`."""
    async with asyncio.timeout(timeout_s):
        while not holds():
            await asyncio.sleep(POLL_INTERVAL_S)


# These control machines keep small cells, which they merge and replace within seconds.
FAST_CONTROL = ("-m", "trackspread.testing.harness.fast_control", "none")


def play(
    work: Work,
    control_command: tuple[str, ...] = CONTROL_COMMAND,
    fleet_settings: str = "keep_s = 3.0",
) -> None:
    """Runs `work` on a fleet and checks its ledger and event logs; repeats it if the harness lagged."""

    async def once() -> bool:
        scenario = Scenario(gateways=GATEWAYS, nodes=6, load=0.15, seed=7, tolerance_ns=200 * MS)
        async with CelledFleet(
            scenario, CONTROL_MACHINES, fleet_settings, control_command=control_command
        ) as fleet:
            await settled(fleet, START)
            fleet.start_clients()
            await work(fleet)
            await fleet.settle()
            inconsistencies = fleet.inconsistencies()
            verdict = fleet.verdict()
            if verdict.state == "void" and not inconsistencies:
                return False
            if verdict.state == "broken" or inconsistencies:
                membership_fleet.save_run(fleet, FAILED_RUN_FOLDER)
            assert inconsistencies == []
            assert verdict.state == "kept", verdict.violations
            return True

    for _ in range(ATTEMPTS):
        if uvloop.run(asyncio.wait_for(once(), TIMEOUT_S)):
            return
    raise AssertionError(f"the harness lagged in each of {ATTEMPTS} runs")


def departures(fleet: CelledFleet, since: int) -> list[str]:
    """Returns the names of gateways that have left a cell after `since` (ns)."""
    return [each.name for each in fleet.records() if each.at > since and each.kind == "parted"]


def cut(fleet: CelledFleet, some: list[str], others: list[str], blocked: bool) -> None:
    """Blocks, or unblocks, the datagrams and connections from `some` to `others`."""
    for a in some:
        for b in others:
            fleet.network.path(a, b, "udp").blackhole = fleet.network.path(a, b, "tcp").blackhole = blocked


def operators_file(fleet: CelledFleet, name: str) -> Path:
    """Writes an operator's file with the real addresses of the control machines.

    The simulated network at the advertised addresses does not pass requests of an operator.
    """
    text = fleet.fleet_table(name)
    for each in fleet.control_names:
        text = text.replace(
            "{}:{}".format(*fleet.advertised_addresses[each]), "{}:{}".format(*fleet.member_addresses[each])
        )
    (fleet.folder / "operators_file.toml").write_text(text)
    return fleet.folder / "operators_file.toml"


def names(fleet: CelledFleet) -> list[str]:
    """Returns the names of all gateways."""
    return [gateway.name for gateway in fleet.gateways]


def test_cells_settle_after_leader_and_gateway_end() -> None:
    """The operator's commands show the cells before and after, and a control machine stops with status 0."""

    async def work(fleet: CelledFleet) -> None:
        admin_addresses = ["{}:{}".format(*fleet.control_addresses[name]) for name in names(fleet)]
        status, out = await command("fleet", "view", *admin_addresses, "--wait", "10")
        assert status == 0, out
        assert out.count("cell r.z0.") == out.count("cell r.z1.") == GATEWAYS // 2
        leader = fleet.leader()
        # The killed machine is also the coordinator or another seed of some cell.
        await fleet.control_machines[leader].kill()
        await until(lambda: fleet.leader() not in ("", leader))
        await settled(fleet)
        await fleet.stop_gateways([4])
        await settled(fleet)
        await fleet.start_gateways([4])
        await settled(fleet)
        await fleet.control_machines[leader].start()
        file = str(operators_file(fleet, leader))

        async def cells_output() -> str:
            return (await command("fleet", "cells", "--file", file))[1]

        async with asyncio.timeout(SETTLED):
            while f"2 cells, {GATEWAYS} gateways" not in await cells_output():
                await asyncio.sleep(POLL_INTERVAL_S)
        other = next(name for name in fleet.control_names if name not in (leader, fleet.leader()))
        assert await fleet.control_machines[other].end() == 0

    play(work)


def test_cells_settle_after_restarts_and_a_long_pause() -> None:
    """Restarted gateways return to their cells, and a paused one resumes after its lease has expired."""

    async def work(fleet: CelledFleet) -> None:
        before = fleet.cells_by_gateway()
        await fleet.restart([0, 1, 2], 0.2)
        await settled(fleet)
        assert fleet.cells_by_gateway() == before, "all gateways return to their former cells"
        fleet.gateways[5].pause()
        await asyncio.sleep(6.0)  # longer than its lease
        fleet.gateways[5].resume()
        await settled(fleet)

    play(work)


def test_no_gateway_moves_for_stale_leader_or_control_restart() -> None:
    """A leader is paused until another leads, and then all control machines restart."""

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
        assert departures(fleet, since) == []

    play(work)


def test_no_gateway_moves_when_control_machines_are_unreachable() -> None:
    """Cells continue and heal after a partition from the control machines in both directions or in one."""

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
        assert departures(fleet, since) == []

    play(work)


def test_gateways_move_after_seed_loss_and_when_cells_merge() -> None:
    """One control machine is killed for good, and then a cell shrinks until it is merged."""

    async def work(fleet: CelledFleet) -> None:
        since = fleet.records()[-1].at
        before = fleet.cells_by_gateway()
        assert len(set(before.values())) == 4, "each zone has a cell of two gateways and a cell of one"
        gone = next(name for name in fleet.control_names if name != fleet.leader())
        await fleet.control_machines[gone].kill()
        await until(lambda: bool(departures(fleet, since)) and unsettled_cells(fleet) == "", 60.0)
        await settled(fleet)
        # One gateway of zone z0's cell of two stops for good: the rest of it is merged with the other cell.
        cells = fleet.cells_by_gateway()
        in_zone = [name for name in names(fleet) if cells[name].startswith("r.z0.")]
        stopped = next(name for name in in_zone if list(cells.values()).count(cells[name]) == 2)
        await fleet.stop_gateways([int(stopped[1:])])
        remaining = [name for name in in_zone if name != stopped]
        await until(lambda: len({fleet.cells_by_gateway().get(name) for name in remaining}) == 1, 60.0)
        await settled(fleet)

    play(work, FAST_CONTROL)


def test_cells_that_heal_one_by_one_are_not_merged() -> None:
    """After a partition, a small cell is reachable before the others, and must not be merged meanwhile."""

    async def work(fleet: CelledFleet) -> None:
        since = fleet.records()[-1].at
        cells = fleet.cells_by_gateway()
        in_zone = [name for name in names(fleet) if cells[name].startswith("r.z0.")]
        alone = next(name for name in in_zone if list(cells.values()).count(cells[name]) == 1)
        others = [name for name in names(fleet) if name != alone]
        cut(fleet, names(fleet), fleet.control_names, True)
        cut(fleet, fleet.control_names, names(fleet), True)
        # All gateways are taken for dead, and stay unreachable for longer than the merge delay.
        await until(lambda: all(not gateways_seen(fleet, cell) for cell in set(cells.values())))
        await asyncio.sleep(6.0)
        cut(fleet, [alone], fleet.control_names, False)
        cut(fleet, fleet.control_names, [alone], False)
        await until(lambda: gateways_seen(fleet, cells[alone]) == {alone})
        await asyncio.sleep(1.5)
        cut(fleet, others, fleet.control_names, False)
        cut(fleet, fleet.control_names, others, False)
        await settled(fleet)
        assert departures(fleet, since) == []

    play(work, FAST_CONTROL)


def gateways_seen(fleet: CelledFleet, cell: str) -> set[str]:
    """Returns the gateways in the newest view of a cell that a control machine has recorded."""
    views = [
        each
        for each in fleet.records_of_cell(cell)
        if each.kind == "view" and each.name in fleet.control_names
    ]
    newest = views[-1].about["members"] if views else ()
    members = {name for name, _ in newest}  # type: ignore[attr-defined]
    return members - set(fleet.control_names)


def all_in_own_zone(fleet: CelledFleet) -> bool:
    """Returns whether each gateway has joined cells of its own zone only, those that it left among them."""
    return all(
        str(record.about["cell"]).startswith(f"r.z{int(record.name[1:]) % 2}.")
        for record in fleet.records()
        if record.kind == "joined"
    )


def seeded_by(fleet: CelledFleet, control: str) -> set[str]:
    """Returns the gateways in cells that this control machine seeds."""
    cells = {
        str(each.about["cell"])
        for each in fleet.records()
        if each.kind == "control seeds" and each.name == control
    }
    return {name for name, cell in fleet.cells_by_gateway().items() if cell in cells}


async def find_fault(fleet: CelledFleet) -> str:
    """Returns which fault shows after a cut and a control machine's end, or an empty string for none."""
    try:
        await settled(fleet, START)
        if not all_in_own_zone(fleet):
            return "a gateway is in a cell of another zone"
        since = fleet.records()[-1].at
        cut(fleet, names(fleet), fleet.control_names, True)
        await asyncio.sleep(8.0)
        cut(fleet, names(fleet), fleet.control_names, False)
        await settled(fleet)
        if moved := departures(fleet, since):
            return f"{moved} left their cells for a cut"
        others = [name for name in fleet.control_names if name != fleet.leader()]
        gone = max(others, key=lambda name: len(seeded_by(fleet, name)))
        affected = seeded_by(fleet, gone)
        assert affected, "no gateway is in a cell that this control machine seeds"
        await fleet.control_machines[gone].kill()
        # All have to move, because a cell that is retired too early shows only in gateways left in it.
        await until(lambda: affected <= set(departures(fleet, since)) and unsettled_cells(fleet) == "")
        await settled(fleet)
        if not all_in_own_zone(fleet):
            return "a gateway was moved to a cell of another zone"
    except (AssertionError, TimeoutError) as error:
        return f"not settled: {error}"
    return "; ".join(each.text for each in fleet.inconsistencies()[:2])


MUTANTS = (
    "none",
    "cells-joins-before-leaving",
    "cells-slots-kept",
    "cells-leaves-without-control",
    "cells-never-moves",
    "cells-zones-mixed",
    "cells-retired-with-gateways",
    "view-number-reused",
    "view-parent-wrong",
)


# The lease duration is longer than the time from a cut to its heal, and from a seed's end to the moves that
# follow it, so that a gateway that moves has slots to release.
LEASE_S = 15.0


@pytest.mark.parametrize("name", MUTANTS)
def test_mutants_are_detected_on_processes(name: str) -> None:
    """Each mutant shows a fault, and the unchanged code shows none."""

    async def once() -> str:
        scenario = Scenario(gateways=GATEWAYS, nodes=6, load=0.1, seed=7)
        gateway_command = (
            ("-m", "trackspread.testing.harness.mutant_gateway", name)
            if name != "none"
            else ("-m", "trackspread", "run")
        )
        control_command = ("-m", "trackspread.testing.harness.fast_control", name)
        async with CelledFleet(
            scenario, CONTROL_MACHINES, f"keep_s = {LEASE_S}", gateway_command, control_command
        ) as fleet:
            return await find_fault(fleet)

    found = uvloop.run(asyncio.wait_for(once(), TIMEOUT_S))
    assert bool(found) == (name != "none"), found
