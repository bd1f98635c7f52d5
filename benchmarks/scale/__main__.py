"""The scale run: hollow gateways on real sockets beside real ones, measured, fitted and carried on to 7,200.

Progress goes to standard error; the last line of standard output is one JSON object (`docs/scale-run.md`).
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import sys
import time
from collections.abc import Awaitable
from typing import TypeVar

import msgspec
import uvloop

from benchmarks.common import say
from trackspread.judge.verdict import Verdict

from . import configuration, faults, flat, latency, report, slopes
from .bounds import Guard, OverBound
from .children import HollowFailed
from .fit import FEWEST_POINTS
from .handed import NotHanded
from .module import this_run
from .operator import NotDone
from .viewed import NotSettled, Outcome

T = TypeVar("T")
QUICK_MOST, FULL_MOST = 42.0, 720.0  # s for what runs side by side, before what it started is ended
Failed = tuple[list[Outcome], Verdict, int]


async def measure(full: bool, made: report.Report, guard: Guard) -> list[slopes.Measurement]:
    """All of it; what fails is told under `not_run`."""
    plan = flat.FULL if full else flat.QUICK
    handing = configuration.FULL if full else configuration.QUICK
    run = slopes.Run(made.date, made.command, made.commit)
    most = FULL_MOST if full else QUICK_MOST
    costs, failed, configured = await asyncio.gather(
        _tried(made, "flat: costs", flat.costs(plan, guard), most),
        _tried(made, "flat: failures", flat.failures(plan, guard), most),
        _tried(made, "changes of configuration", configuration.measure(handing, guard), most),
    )
    measurements: list[slopes.Measurement] = []
    if costs is not None:
        measurements += _put_costs(made, costs, run)
    if failed is not None:
        _put_failures(made, plan, failed)
    if configured is not None:
        measurements += _put_configuration(made, configured, run)
    await _added_latency(made, full)
    return measurements


def _put_configuration(
    made: report.Report, configured: configuration.Configured, run: slopes.Run
) -> list[slopes.Measurement]:
    measurements = report.configuration_measurements(configured, run)
    report.put_configuration(made, configured, measurements)
    _tell(measurements)
    return measurements


def _tell(measurements: list[slopes.Measurement]) -> None:
    for each in measurements:
        word = "WRONG" if each.holdout.wrong else "holds"
        say(f"{each.name}: {each.shape.value}; at {each.holdout.size:.0f} predicted "
            f"{each.holdout.predicted:.4g}, measured {each.holdout.measured:.4g} {each.unit}: the fit {word}")


async def _added_latency(made: report.Report, full: bool) -> None:
    """Measured in a full run; else that of the last run that was kept."""
    found = await latency.measure(latency.SPAN) if full else latency.load()
    if found is None:
        made.not_run.append("added latency: no run of it was kept")
        return
    report.put_latency(made, found)


def _put_costs(
    made: report.Report, costs: flat.Costs, run: slopes.Run
) -> list[slopes.Measurement]:
    measured = [*costs.fitted, *([costs.held_out] if costs.held_out is not None else [])]
    report.put_costs(made, measured)
    made.not_run += [f"flat: {text}" for text in costs.failed]
    if costs.held_out is None or len(costs.fitted) < FEWEST_POINTS:
        made.not_run.append("flat: fits: too few sizes were measured")
        return []
    measurements = report.flat_measurements(costs.fitted, costs.held_out, run)
    report.put_flat(made, measurements)
    _tell(measurements)
    return measurements


def _put_failures(made: report.Report, plan: flat.Plan, failed: Failed) -> None:
    outcomes, verdict, memory = failed
    report.put_failures(made, outcomes, plan.settle_most)
    made.hollow = max(made.hollow, plan.failing)
    made.real_gateway_memory_mb = round(memory / report.MEGABYTE, 1)
    if verdict.state == "void":
        lagged = verdict.figures.lag / 1e6
        report.put_void(made, f"no verdict of the judge: stand-ins lagged by {lagged:.0f} ms")
    made.requests, made.served = verdict.figures.tries, verdict.figures.served
    made.violations += len(verdict.violations)
    for violation in verdict.violations[:3]:
        say(f"BROKEN: {violation.rule}: {violation.text}")


async def _tried(made: report.Report, what: str, work: Awaitable[T], most: float) -> T | None:
    """What comes of it; nothing, and a line under `not_run`, where it did not come to its end in time."""
    try:
        async with asyncio.timeout(most):
            return await work
    except TimeoutError:
        made.not_run.append(f"{what}: not done within {most:g} s")
        return None
    except (NotSettled, NotHanded, NotDone, HollowFailed) as error:
        made.not_run.append(f"{what}: {error}")
        return None


def main() -> int:
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.scale", description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--quick", action="store_true", help="under 50 s; full: under 15 minutes")
    full = not parser.parse_args().quick
    began = time.monotonic()
    command = "python -m benchmarks.scale" + ("" if full else " --quick")
    run = this_run(command)
    made = report.Report(command=command, commit=run.commit, date=run.date)
    guard = Guard()
    say(f"bounds: at most {guard.processes_most} processes and {guard.memory_most >> 30} GB")
    gc.disable()  # a collection over the ledger would be a lag of the stand-ins
    try:
        measurements = uvloop.run(measure(full, made, guard))
    except OverBound as error:
        measurements = []
        made.not_run.append(f"ended early: {error}")
    made.processes, made.memory_gb = guard.most.processes, round(guard.most.memory / 2**30, 2)
    report.put_limits(made, full)
    made.seconds = round(time.monotonic() - began, 1)
    if full and not made.void:
        slopes.merge(measurements)
        faults.REPORT.write_bytes(msgspec.json.format(msgspec.json.encode(made), indent=2) + b"\n")
    if made.void:
        say("VOID: the machine lagged; these figures say more of it than of the program")
    print(msgspec.json.encode(made).decode())
    return 1 if made.violations else 0


if __name__ == "__main__":
    sys.exit(main())
