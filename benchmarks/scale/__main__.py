"""Measures hollow and real gateways on real sockets, fits the costs and extrapolates them to 7,200 gateways.

Progress goes to standard error. The last line of standard output is one JSON object (`docs/scale-run.md`).
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import sys
import time
from collections.abc import Awaitable
from typing import NamedTuple, TypeVar

import msgspec
import uvloop

from benchmarks.common import say

from . import configuration, faults, flat, latency, levels, measured, report, slopes
from .bounds import Guard, OverBound
from .children import HollowFailed
from .configuration_fleet import ConfigurationNotReady
from .fit import FEWEST_POINTS
from .flat_fleet import NotSettled, Outcome
from .module import this_run
from .operator import NotDone
from .virtual_cells import Job, Played, WorldFailed, play_in_process

T = TypeVar("T")


NOT_MEASURED = (
    "real gateways in cells: those beside are members of the flat view",
    "costs against restarts a second and against regions",
    "memory of a gateway's and a control machine's configuration against routes",
    "changes while cells fail: configuration has a fleet of its own, whose leader is told by the run",
)


class Plan(NamedTuple):
    """Holds the parts of a run; parts that still run `most` seconds after its start are ended."""

    flat: flat.Plan
    configuration: configuration.ConfigurationPlan
    levels: levels.LevelsPlan
    worlds: tuple[Job, ...]
    at_once: bool  # Whether cells are measured at the same time as the rest, or after it.
    most: float


QUICK = Plan(
    flat.QUICK,
    configuration.QUICK,
    levels.QUICK,
    (Job("zone", 144, 0.0, 30.0), Job("region", 144, 5.0, 30.0)),
    True,
    45.0,
)
FULL = Plan(
    flat.FULL,
    configuration.FULL,
    levels.FULL,
    (Job("zone", report.SIZE, 0.0, 30.0), Job("region", report.SIZE, 20.0, 30.0)),
    False,
    780.0,
)


class ScaleRun:
    """Runs all measurements; each result is added to the report at once."""

    def __init__(self, plan: Plan, run_report: report.Report, guard: Guard) -> None:
        self._plan, self._report, self._guard = plan, run_report, guard
        self._end = asyncio.get_running_loop().time() + plan.most
        self._run = slopes.Run(run_report.date, run_report.command, run_report.commit)
        self._configured: list[slopes.Measurement] = []
        self.measurements: list[slopes.Measurement] = []

    async def play(self) -> None:
        """Runs all parts; failures are listed under `not_run`."""
        self._report.not_run += NOT_MEASURED
        worlds = asyncio.gather(*(self._world(job) for job in self._plan.worlds))
        first = [self._flat(), self._failures(), self._configuration()]
        found = levels.Levels([], [], [])
        costs = levels.costs(self._plan.levels, self._guard, found)
        if self._plan.at_once:
            faults_in_cells = levels.faults(self._plan.levels, self._guard, found)
            await asyncio.gather(
                *first, self._try("cells: costs", costs), self._try("cells: faults", faults_in_cells)
            )
        else:
            await asyncio.gather(*first)
            await self._try("cells", costs)
        self._put_cells(found)
        for played in await worlds:
            if played is not None:
                report.put_virtual(self._report, played)

    async def _try(self, what: str, work: Awaitable[T]) -> T | None:
        """Returns the result of `work`; if it fails or is late, adds a line to `not_run` and returns None."""
        try:
            async with asyncio.timeout_at(self._end):
                return await work
        except TimeoutError:
            self._report.not_run.append(f"{what}: not done {self._plan.most:g} s after the run's beginning")
        except (NotSettled, ConfigurationNotReady, NotDone, HollowFailed, WorldFailed) as error:
            self._report.not_run.append(f"{what}: {error}")
        return None

    async def _world(self, job: Job) -> Played | None:
        what = f"virtual time, {job.fault}, {job.gateways} gateways"
        played = await self._try(what, play_in_process(job, self._guard))
        if played is not None:
            say(f"{what}: settled after {played.settle_s} s, {played.false_dead} live members declared dead")
        return played

    async def _flat(self) -> None:
        costs = await self._try("flat: costs", flat.costs(self._plan.flat, self._guard))
        if costs is None:
            return
        self._report.not_run += [f"flat: {text}" for text in costs.failed]
        found = list[slopes.Measurement]()
        if costs.held_out is None or len(costs.fitted) < FEWEST_POINTS:
            self._report.not_run.append("flat: fits: too few sizes were measured")
        else:
            found = self._keep(measured.flat(costs.fitted, costs.held_out, self._run))
        all_costs = [*costs.fitted, *([costs.held_out] if costs.held_out is not None else [])]
        report.put_flat(self._report, all_costs, found)

    async def _failures(self) -> None:
        outcomes = list[Outcome]()
        result = await self._try("flat: failures", flat.failures(self._plan.flat, self._guard, outcomes))
        report.put_failures(self._report, self._report.flat, outcomes, self._plan.flat.settle_most)
        if result is None:
            return
        verdict, memory = result
        report.put_verdict(self._report, verdict, memory)
        for violation in verdict.violations[:3]:
            say(f"violation: {violation.rule}: {violation.text}")

    async def _configuration(self) -> None:
        found = await self._try(
            "changes of configuration", configuration.measure(self._plan.configuration, self._guard)
        )
        if found is not None:
            self._configured = self._keep(measured.configuration(found, self._run))
            report.put_configuration(self._report, found)

    def _put_cells(self, found: levels.Levels) -> None:
        costs, outcomes = found.costs, found.outcomes
        self._report.not_run += found.failed
        if costs:
            fits = len(costs) > FEWEST_POINTS
            measurements = self._keep(measured.cells(costs, self._run)) if fits else []
            report.put_cells(self._report, costs, measurements, self._configured)
            if not fits:
                self._report.not_run.append("cells: fits: too few sizes were measured")
        if outcomes:
            report.put_failures(self._report, self._report, outcomes, self._plan.levels.settle_most)

    def _keep(self, measurements: list[slopes.Measurement]) -> list[slopes.Measurement]:
        self.measurements += measurements
        for each in measurements:
            result = "is wrong" if each.holdout.wrong else "holds"
            held = each.holdout
            say(
                f"{each.name}: {each.shape.value}; at {held.size:.0f} predicted {held.predicted:.4g}, "
                f"measured {held.measured:.4g} {each.unit}: the fit {result}"
            )
        return measurements


async def play(full: bool, run_report: report.Report, guard: Guard) -> list[slopes.Measurement]:
    """Runs all measurements.

    The added latency is that of the last stored run. If there is no valid one, a full run measures it last,
    when nothing else runs.
    """
    run = ScaleRun(FULL if full else QUICK, run_report, guard)
    await run.play()
    found = latency.load()
    if full and (found is None or found.void):
        try:
            found = await latency.measure(latency.SPAN)
        except (OSError, RuntimeError, ExceptionGroup) as error:
            # The results of the parts before it are kept.
            run_report.not_run.append(f"added latency: {error!r}")
    if found is None:
        run_report.not_run.append("added latency: no run of it was kept")
    else:
        report.put_latency(run_report, found)
    return run.measurements


def keep(run_report: report.Report, measurements: list[slopes.Measurement]) -> None:
    """Stores slopes and report for the page of capacity; a void report does not replace a valid one."""
    slopes.merge(measurements)
    kept = faults.load()
    if kept is None or kept.void or not run_report.void:
        faults.REPORT.write_bytes(msgspec.json.format(msgspec.json.encode(run_report), indent=2) + b"\n")


def main() -> int:
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.scale", description=(__doc__ or "").partition("\n")[0]
    )
    parser.add_argument("--quick", action="store_true", help="under 50 s; full: under 15 minutes")
    full = not parser.parse_args().quick
    started = time.monotonic()
    command = "python -m benchmarks.scale" + ("" if full else " --quick")
    run = this_run(command)
    run_report = report.Report(command=command, commit=run.commit, date=run.date)
    guard = Guard()
    say(f"limits: {guard.processes_most} processes, {guard.memory_most >> 30} GB of memory")
    gc.disable()  # A collection over the ledger would delay the stand-ins.
    measurements: list[slopes.Measurement] = []
    try:
        measurements = uvloop.run(play(full, run_report, guard))
    except OverBound as error:
        run_report.not_run.append(f"ended early: {error}")
    run_report.processes, run_report.memory_gb = guard.most.processes, round(guard.most.memory / 2**30, 2)
    report.put_limits(run_report, full)
    run_report.seconds = round(time.monotonic() - started, 1)
    if full:
        keep(run_report, measurements)
    if run_report.void:
        say("void: the machine lagged; the figures describe the machine rather than the program")
    print(msgspec.json.encode(run_report).decode())
    return 1 if run_report.violations else 0


if __name__ == "__main__":
    sys.exit(main())
