"""The view as it runs today, all gateways in one: its cost against their number, and failures in it.

May know: hollow processes, real gateways, which sizes and faults this run wants. May not know: how its
figures are put together.
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

SEEDS = (0, 1, 2)  # of each fleet's members, each in another region
CUT_REGION = REGIONS - 1  # the one without a seed
RACK, ZONE = 7, 5  # struck; no seed is in them
TENTH = 10
START_SPREAD = 0.5  # s over which the members of a fleet begin


class Plan(NamedTuple):
    """What a run wants of the flat view; times in s."""

    sizes: tuple[int, ...]  # that are fitted
    held_out: int  # twice the largest of them
    at_once: bool  # whether that is measured beside the others
    each: int  # members in one hollow process
    span: float  # over which a cost is measured
    settle_most: float
    quiet_most: float  # until nobody has anything to tell of the start any more
    failing: int  # hollow members of the fleet that faults strike
    processes: int  # that they are in
    real: int  # gateways beside them
    cut: float  # for which a region is cut off
    restarts: float  # over which a tenth is restarted
    restart_groups: int


QUICK = Plan((12, 24, 36, 48), 96, True, 12, 3.0, 12.0, 22.0, 60, 6, 3, 2.0, 1.0, 2)
FULL = Plan((30, 60, 90, 120), 240, False, 30, 10.0, 60.0, 90.0, 120, 5, 3, 20.0, 30.0, 10)


class Costs(NamedTuple):
    """What was measured, and what was not, with why."""

    fitted: list[Cost]
    held_out: Cost | None
    failed: list[str]


async def _cost(size: int, plan: Plan, guard: Guard) -> Cost:
    """Of a fleet of hollow members alone."""
    name = f"flat-{size}"
    async with HollowFleet(-(-size // plan.each), SEEDS, 2 * size, guard, name) as hollow:
        fleet = FlatFleet(hollow, None, guard)
        await fleet.open()
        try:
            since = await hollow.begin(range(size), START_SPREAD)
            if await fleet.until_settled(plan.settle_most, since) is None:
                raise NotSettled(f"not settled within {plan.settle_most:g} s")
            cost = await fleet.cost(plan.span, plan.quiet_most)
        finally:
            fleet.close()
    say(
        f"flat, {size} members: {cost.cpu:.4f} of a core, {cost.bytes:.0f} B/s, {cost.memory / 2**20:.2f} MB "
        f"each; coordinator {cost.coordinator_bytes:.0f} B/s; {_lags(cost)}"
    )
    return cost


def _lags(found: Cost | Outcome) -> str:
    return f"lag {found.lag.worst * 1000:.0f} ms, of the run {found.run_lag.worst * 1000:.0f} ms"


async def costs(plan: Plan, guard: Guard) -> Costs:
    """Of the sizes that are fitted, side by side, and of the one that is held out."""
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
    """One after the other on one fleet with real gateways under load in it: what each did goes into
    `outcomes` as it comes; the judge's word on what was served meanwhile, and the most bytes that a real
    gateway held."""
    numbers = range(plan.failing)
    most = 2 * (plan.failing + plan.real)
    async with HollowFleet(plan.processes, SEEDS, most, guard, "failing") as hollow:
        await hollow.begin(numbers, START_SPREAD)
        async with RealGateways(
            plan.real, hollow.seeds(), plan.failing + plan.real, most, guard, "failing"
        ) as real:
            fleet = FlatFleet(hollow, real, guard)
            await fleet.open()
            try:
                await _strike(plan, fleet, outcomes)
            finally:
                fleet.close()
            verdict = await real.verdict()
            return verdict, real.memory()


async def _strike(plan: Plan, fleet: FlatFleet, outcomes: list[Outcome]) -> None:
    hollow, most = fleet.hollow, plan.settle_most
    numbers = list(range(plan.failing))

    async def whole() -> None:
        """All run, and hold the same, before the next fault."""
        await hollow.begin(numbers)
        if await fleet.until_settled(most) is None:
            raise NotSettled(f"{plan.failing} members: not settled within {most:g} s")

    def note(outcome: Outcome) -> None:
        outcomes.append(outcome)
        took = "not settled" if outcome.settle_s is None else f"settled in {outcome.settle_s:.1f} s"
        say(
            f"flat, {outcome.fault}, {outcome.struck} of {outcome.members}: {took}, busiest "
            f"{outcome.peak_bytes_s} B/s, {outcome.false_dead} called dead by mistake, "
            f"{outcome.hearsay_dead} by hearsay; {_lags(outcome)}"
        )

    await whole()
    note(await fleet.crash("rack", of_rack(RACK, numbers), most))
    await whole()
    note(await fleet.crash("zone", of_zone(ZONE, numbers), most))
    await whole()
    struck = sum(number % REGIONS == CUT_REGION for number in numbers)
    note(await fleet.cut_off("region", CUT_REGION, struck, plan.cut, most))
    tenth = numbers[len(SEEDS) :: TENTH]
    note(await fleet.restart("restarts", tenth, plan.restarts, plan.restart_groups, most))
    leader = await fleet.coordinator()
    if leader is None:
        raise NotSettled("no hollow member coordinates")
    note(await fleet.crash("coordinator", [leader], most))
