"""Measures membership in cells: the costs of gateways and control machines by size, and faults.

The module knows fleets of cells, and the sizes and faults of the run; it does not know how the figures are
reported.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import NamedTuple

from benchmarks.common import say

from .bounds import Guard
from .cells_fleet import CellsCost, CellsFleet
from .flat_fleet import NotSettled, Outcome
from .placement import REGIONS

RACK, ZONE, CUT_REGION = 14, 2, REGIONS - 1  # The faults strike these; the rack is in the zone.
TENTH = 10


class LevelsPlan(NamedTuple):
    """Holds the sizes and faults of a run; the last size is held out. Times are in seconds."""

    control: int  # Control machines.
    each: int  # Hollow gateways in one process.
    sizes: tuple[int, ...]
    span: float  # Over which costs are measured.
    settle_most: float
    quiet_most: float
    failing: int  # Gateways of the fleet with faults; if it is the largest size, both are one fleet.
    failing_control: int
    cut: float  # For which a region is cut off.
    restarts: float  # Over which a tenth of the gateways is restarted.
    restart_groups: int


QUICK = LevelsPlan(7, 24, (24, 48, 72, 96, 192), 1.0, 20.0, 8.0, 96, 5, 2.0, 1.0, 2)
FULL = LevelsPlan(19, 48, (96, 192, 288, 576, 1_152), 8.0, 60.0, 40.0, 1_152, 19, 120.0, 40.0, 10)


class Levels(NamedTuple):
    """Holds the results up to the first failure, and the reason of the failure."""

    costs: list[CellsCost]
    outcomes: list[Outcome]
    failed: list[str]


async def costs(plan: LevelsPlan, guard: Guard, found: Levels) -> None:
    """Measures the costs of each size; in a full run the faults follow in the largest fleet.

    Each result is added to `found` at once.
    """
    processes = -(-plan.sizes[-1] // plan.each)
    async with CellsFleet(plan.control, processes, plan.each, guard) as fleet:
        try:
            for size in plan.sizes:
                found.costs.append(await _cost(size, plan, fleet))
            if plan.failing == plan.sizes[-1]:
                await _cause_faults(plan, fleet, found.outcomes)
        except NotSettled as error:
            found.failed.append(str(error))
        await fleet.end()


async def faults(plan: LevelsPlan, guard: Guard, found: Levels) -> None:
    """Causes the faults in a small fleet of its own, while costs are measured in another."""
    processes = -(-plan.failing // plan.each)
    async with CellsFleet(plan.failing_control, processes, plan.each, guard) as fleet:
        try:
            await _settle(fleet, range(plan.failing), plan.settle_most)
            await _cause_faults(plan, fleet, found.outcomes)
        except NotSettled as error:
            found.failed.append(str(error))
        await fleet.end()


async def _settle(fleet: CellsFleet, numbers: range, most: float) -> float:
    """Starts these gateways; returns the seconds until the fleet has settled. Raises `NotSettled`."""
    since = await fleet.begin(numbers)
    elapsed = await fleet.until_settled(most, since)
    if elapsed is None:
        raise NotSettled(f"cells, {len(numbers)} gateways: not settled within {most:g} s")
    return elapsed


async def _cost(size: int, plan: LevelsPlan, fleet: CellsFleet) -> CellsCost:
    elapsed = await _settle(fleet, range(size), plan.settle_most)
    cost = await fleet.cost(plan.span, plan.quiet_most)
    say(
        f"cells, {size} gateways in {cost.cells} cells, {cost.control} control machines: settled in "
        f"{elapsed:.1f} s; {cost.cpu:.4f} of a core, {cost.bytes:.0f} B/s, {cost.memory / 2**20:.2f} MB a "
        f"gateway; control machine {cost.control_cpu:.3f} of a core, {cost.control_bytes:.0f} B/s, "
        f"{cost.control_memory / 2**20:.2f} MB, the busiest {cost.busiest_cpu:.3f} and "
        f"{cost.busiest_bytes:.0f} B/s; lag {cost.lag.worst * 1000:.0f} ms"
    )
    return cost


async def _cause_faults(plan: LevelsPlan, fleet: CellsFleet, outcomes: list[Outcome]) -> None:
    """Causes one fault after the other, each in a settled fleet."""
    numbers, most = range(plan.failing), plan.settle_most

    def note(outcome: Outcome) -> None:
        outcomes.append(outcome)
        settle_text = "not settled" if outcome.settle_s is None else f"settled in {outcome.settle_s:.1f} s"
        say(
            f"cells, {outcome.fault}, {outcome.struck} of {outcome.members}: {settle_text}, busiest "
            f"{outcome.peak_bytes_s} B/s, {outcome.false_dead} live ones declared dead, "
            f"{outcome.hearsay_dead} by gossip; lag {outcome.lag.worst * 1000:.0f} ms, of the run "
            f"{outcome.run_lag.worst * 1000:.0f} ms"
        )

    async def recover() -> None:
        await fleet.begin_control(range(len(fleet.control)))
        await _settle(fleet, numbers, most)

    await fleet.before_fault()
    rack, since = fleet.in_rack(RACK), time.monotonic_ns()
    await fleet.kill(rack)
    note(await fleet.outcome("rack", len(rack), since, most))
    await recover()
    await fleet.before_fault()
    (zone, control_machines), since = fleet.in_zone(ZONE), time.monotonic_ns()
    await fleet.kill(zone)
    await fleet.kill_control(control_machines)
    note(await fleet.outcome("zone", len(zone), since, most))
    await recover()
    await fleet.before_fault()
    healed = await fleet.cut_off(CUT_REGION, plan.cut)
    note(await fleet.outcome("region", len(fleet.in_region(CUT_REGION)), healed, most))
    await fleet.before_fault()
    tenth = sorted(fleet.running)[::TENTH]
    since = await fleet.restart(tenth, plan.restarts, plan.restart_groups)
    note(await fleet.outcome("restarts", len(tenth), since, most))
    await _kill_leader(plan, fleet, note)


async def _kill_leader(plan: LevelsPlan, fleet: CellsFleet, note: Callable[[Outcome], None]) -> None:
    leader = await fleet.leader()
    if leader is None:
        raise NotSettled("cells: no control machine leads")
    await fleet.before_fault()
    since = time.monotonic_ns()
    await fleet.kill_control([leader])
    note(await fleet.outcome("control leader", 1, since, plan.settle_most))
