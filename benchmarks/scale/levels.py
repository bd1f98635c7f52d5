"""Membership in levels: what a gateway and the busiest control machine cost against their number, and faults.

May know: fleets of cells, which sizes and faults this run wants. May not know: how its figures are put
together.
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

RACK, ZONE, CUT_REGION = 14, 2, REGIONS - 1  # struck; the rack is in that zone
TENTH = 10


class LevelsPlan(NamedTuple):
    """What a run wants; the last of the sizes is held out. Times in s."""

    control: int  # machines
    each: int  # hollow gateways in one process
    sizes: tuple[int, ...]
    span: float  # over which a cost is measured
    settle_most: float
    quiet_most: float
    failing: int  # gateways that faults strike; the largest size: in that very fleet
    failing_control: int
    cut: float  # for which a region is cut off
    restarts: float  # over which a tenth is restarted
    restart_groups: int


QUICK = LevelsPlan(7, 24, (24, 48, 72, 96, 192), 1.0, 20.0, 8.0, 96, 5, 2.0, 1.0, 2)
FULL = LevelsPlan(19, 48, (96, 192, 288, 576, 1_152), 8.0, 60.0, 40.0, 1_152, 19, 120.0, 40.0, 10)


class Levels(NamedTuple):
    """What was measured, as far as it came, and why no further."""

    costs: list[CellsCost]
    outcomes: list[Outcome]
    failed: list[str]


async def costs(plan: LevelsPlan, guard: Guard, found: Levels) -> None:
    """By size; in a full run the faults follow in the largest fleet. What is measured goes into `found` as it
    comes."""
    processes = -(-plan.sizes[-1] // plan.each)
    async with CellsFleet(plan.control, processes, plan.each, guard) as fleet:
        try:
            for size in plan.sizes:
                found.costs.append(await _cost(size, plan, fleet))
            if plan.failing == plan.sizes[-1]:
                await _strike(plan, fleet, found.outcomes)
        except NotSettled as error:
            found.failed.append(str(error))
        await fleet.end()


async def faults(plan: LevelsPlan, guard: Guard, found: Levels) -> None:
    """In a small fleet of its own, beside the one whose costs are measured."""
    processes = -(-plan.failing // plan.each)
    async with CellsFleet(plan.failing_control, processes, plan.each, guard) as fleet:
        try:
            await _settle(fleet, range(plan.failing), plan.settle_most)
            await _strike(plan, fleet, found.outcomes)
        except NotSettled as error:
            found.failed.append(str(error))
        await fleet.end()


async def _settle(fleet: CellsFleet, numbers: range, most: float) -> float:
    """All of these run; s until all hold the same."""
    since = await fleet.begin(numbers)
    took = await fleet.until_settled(most, since)
    if took is None:
        raise NotSettled(f"cells, {len(numbers)} gateways: not settled within {most:g} s")
    return took


async def _cost(size: int, plan: LevelsPlan, fleet: CellsFleet) -> CellsCost:
    took = await _settle(fleet, range(size), plan.settle_most)
    cost = await fleet.cost(plan.span, plan.quiet_most)
    say(
        f"cells, {size} gateways in {cost.cells} cells, {cost.control} control machines: settled in "
        f"{took:.1f} s; {cost.cpu:.4f} of a core, {cost.bytes:.0f} B/s, {cost.memory / 2**20:.2f} MB a "
        f"gateway; control machine {cost.control_cpu:.3f} of a core, {cost.control_bytes:.0f} B/s, "
        f"{cost.control_memory / 2**20:.2f} MB, the busiest {cost.busiest_cpu:.3f} and "
        f"{cost.busiest_bytes:.0f} B/s; lag {cost.lag.worst * 1000:.0f} ms"
    )
    return cost


async def _strike(plan: LevelsPlan, fleet: CellsFleet, outcomes: list[Outcome]) -> None:
    """One fault after the other, each on a fleet that holds the same."""
    numbers, most = range(plan.failing), plan.settle_most

    def note(outcome: Outcome) -> None:
        outcomes.append(outcome)
        took = "not settled" if outcome.settle_s is None else f"settled in {outcome.settle_s:.1f} s"
        say(
            f"cells, {outcome.fault}, {outcome.struck} of {outcome.members}: {took}, busiest "
            f"{outcome.peak_bytes_s} B/s, {outcome.false_dead} called dead by mistake, "
            f"{outcome.hearsay_dead} by hearsay; lag {outcome.lag.worst * 1000:.0f} ms, of the run "
            f"{outcome.run_lag.worst * 1000:.0f} ms"
        )

    async def whole() -> None:
        await fleet.begin_control(range(len(fleet.control)))
        await _settle(fleet, numbers, most)

    await fleet.before_fault()
    rack, since = fleet.in_rack(RACK), time.monotonic_ns()
    await fleet.kill(rack)
    note(await fleet.outcome("rack", len(rack), since, most))
    await whole()
    await fleet.before_fault()
    (zone, machines), since = fleet.in_zone(ZONE), time.monotonic_ns()
    await fleet.kill(zone)
    await fleet.kill_control(machines)
    note(await fleet.outcome("zone", len(zone), since, most))
    await whole()
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
