"""Measures the flat view, which has all gateways in one: its costs by size, and faults in it.

The module knows hollow processes, real gateways, and the sizes and faults of the run; it does not know how
the figures are reported.
"""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from benchmarks.common import say
from trackspread.testing.judge.verdict import Verdict

from .bounds import Guard
from .children import HollowFailed
from .flat_fleet import Cost, FlatFleet, NotSettled, Outcome
from .hollow_fleet import HollowFleet
from .placement import REGIONS, of_rack, of_zone
from .real_gateways import RealGateways

SEEDS = (0, 1, 2)  # Members of each fleet, each in another region.
CUT_REGION = REGIONS - 1  # The region without a seed.
RACK, ZONE = 7, 5  # The faults strike these; no seed is in them.
TENTH = 10
START_SPREAD_S = 0.5  # Over which the members of a fleet start.


class Plan(NamedTuple):
    """Holds the sizes and faults of a run. Times are in seconds."""

    sizes: tuple[int, ...]  # These are fitted.
    held_out: int  # Twice the largest fitted size.
    at_once: bool  # Whether the held-out size is measured at the same time as the others.
    each: int  # Members in one hollow process.
    span: float  # Over which costs are measured.
    settle_most: float
    quiet_most: float  # Until the updates of the start are gossiped.
    failing: int  # Hollow members of the fleet with faults.
    processes: int  # Hollow processes of that fleet.
    real: int  # Real gateways of that fleet.
    cut: float  # For which a region is cut off.
    restarts: float  # Over which a tenth of the members is restarted.
    restart_groups: int


QUICK = Plan((12, 24, 36, 48), 96, True, 12, 3.0, 12.0, 22.0, 60, 6, 3, 2.0, 1.0, 2)
FULL = Plan((30, 60, 90, 120), 240, False, 30, 10.0, 60.0, 90.0, 120, 5, 3, 20.0, 30.0, 10)


class Costs(NamedTuple):
    """Holds the measured costs, and the sizes that failed with the reason."""

    fitted: list[Cost]
    held_out: Cost | None
    failed: list[str]


async def _cost(size: int, plan: Plan, guard: Guard) -> Cost:
    """Measures a fleet of hollow members alone."""
    name = f"flat-{size}"
    async with HollowFleet(-(-size // plan.each), SEEDS, 2 * size, guard, name) as hollow:
        fleet = FlatFleet(hollow, None, guard)
        await fleet.open()
        try:
            since = await hollow.begin(range(size), START_SPREAD_S)
            if await fleet.until_settled(plan.settle_most, since) is None:
                raise NotSettled(f"not settled within {plan.settle_most:g} s")
            cost = await fleet.cost(plan.span, plan.quiet_most)
        finally:
            fleet.close()
    say(
        f"flat, {size} members: {cost.cpu:.4f} of a core, {cost.bytes:.0f} B/s, {cost.memory / 2**20:.2f} MB "
        f"each; coordinator {cost.coordinator_bytes:.0f} B/s; {_lag_text(cost)}"
    )
    return cost


def _lag_text(found: Cost | Outcome) -> str:
    return f"lag {found.lag.worst * 1000:.0f} ms, of the run {found.run_lag.worst * 1000:.0f} ms"


async def costs(plan: Plan, guard: Guard) -> Costs:
    """Measures the fitted sizes at the same time, and the held-out size."""
    steps = [[*plan.sizes, plan.held_out]] if plan.at_once else [[*plan.sizes], [plan.held_out]]
    found = Costs([], None, [])
    for sizes in steps:
        made = await asyncio.gather(*(_cost(size, plan, guard) for size in sizes), return_exceptions=True)
        for size, each in zip(sizes, made, strict=True):
            if isinstance(each, NotSettled | HollowFailed):
                found.failed.append(f"{size} members: {each}")
            elif isinstance(each, BaseException):
                raise each
            elif size == plan.held_out:
                found = found._replace(held_out=each)
            else:
                found.fitted.append(each)
    return found


async def failures(plan: Plan, guard: Guard, outcomes: list[Outcome]) -> tuple[Verdict, int]:
    """Causes one fault after the other in one fleet with real gateways under load.

    Each effect is appended to `outcomes` at once. Returns the judge's verdict on the service, and the peak
    memory in bytes of a real gateway.
    """
    numbers = range(plan.failing)
    most = 2 * (plan.failing + plan.real)
    async with HollowFleet(plan.processes, SEEDS, most, guard, "failing") as hollow:
        await hollow.begin(numbers, START_SPREAD_S)
        async with RealGateways(
            plan.real, hollow.seeds(), plan.failing + plan.real, most, guard, "failing"
        ) as real:
            fleet = FlatFleet(hollow, real, guard)
            await fleet.open()
            try:
                await _cause_faults(plan, fleet, outcomes)
            finally:
                fleet.close()
            verdict = await real.verdict()
            return verdict, real.memory()


async def _cause_faults(plan: Plan, fleet: FlatFleet, outcomes: list[Outcome]) -> None:
    hollow, most = fleet.hollow, plan.settle_most
    numbers = list(range(plan.failing))

    async def recover() -> None:
        """Restarts ended members and waits until all hold one view, before the next fault."""
        await hollow.begin(numbers)
        if await fleet.until_settled(most) is None:
            raise NotSettled(f"{plan.failing} members: not settled within {most:g} s")

    def note(outcome: Outcome) -> None:
        outcomes.append(outcome)
        settle_text = "not settled" if outcome.settle_s is None else f"settled in {outcome.settle_s:.1f} s"
        say(
            f"flat, {outcome.fault}, {outcome.struck} of {outcome.members}: {settle_text}, busiest "
            f"{outcome.peak_bytes_s} B/s, {outcome.false_dead} live ones declared dead, "
            f"{outcome.hearsay_dead} by gossip; {_lag_text(outcome)}"
        )

    await recover()
    note(await fleet.crash("rack", of_rack(RACK, numbers), most))
    await recover()
    note(await fleet.crash("zone", of_zone(ZONE, numbers), most))
    await recover()
    struck = sum(number % REGIONS == CUT_REGION for number in numbers)
    note(await fleet.cut_off("region", CUT_REGION, struck, plan.cut, most))
    tenth = numbers[len(SEEDS) :: TENTH]
    note(await fleet.restart("restarts", tenth, plan.restarts, plan.restart_groups, most))
    leader = await fleet.coordinator()
    if leader is None:
        raise NotSettled("no hollow member coordinates")
    note(await fleet.crash("coordinator", [leader], most))
