"""Builds the report of a run, one JSON object: figures, whether limits are kept, and parts that did not run.

The module does no I/O. A figure that was not measured is null, and is named under `not_run`.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

from trackspread.testing.judge.verdict import Verdict

from .cells_fleet import CellsCost
from .configuration import Configured
from .extrapolation import extrapolate
from .flat_fleet import Cost, Outcome
from .lag import Lag
from .latency import Latency
from .measured import CHANGE_MOST, CPU_MOST, MEMORY_MOST, RATE_MOST
from .slopes import Measurement
from .virtual_cells import Played

SIZE = 7_200  # The required number of gateways.
CELL = 24  # Gateways of a cell.
CONTROL = 19  # Control machines.
MEGABYTE = float(1 << 20)

# The required limits at that size.
LIMITS: dict[str, float] = {
    "holdout_error_worst": 0.2,
    "gateway_cpu_share_at_size": CPU_MOST,
    "gateway_memory_mb_at_size": MEMORY_MOST / MEGABYTE,
    "gateway_bytes_s_at_size": RATE_MOST,
    "control_machines_at_size": CONTROL,
    "change_s_worst": CHANGE_MOST,
    "false_dead": 0,
    "added_p99_ms": 4.3,
    "processes": 200,
    "memory_gb": 12.0,
    "violations": 0,
}
MIN_HOLLOW = 1_000  # Hollow gateways of a full run.


class AtSize(msgspec.Struct, kw_only=True):
    """Holds the costs at the required size: the most that the measured sizes do not refute, or null."""

    sizes: list[int] = []
    extrapolated_times: float | None = None  # The required size over the largest measured size.
    holdout_error_worst: float | None = None
    gateway_cpu_share_at_size: float | None = None
    gateway_memory_mb_at_size: float | None = None
    gateway_bytes_s_at_size: float | None = None
    busiest_control_bytes_s_at_size: float | None = None
    control_machines_at_size: int | None = None
    settle_s_zone: float | None = None
    settle_s_region_heal: float | None = None
    false_dead: int | None = None
    failures: list[dict[str, object]] = []


class Report(AtSize, kw_only=True):
    """Is the JSON object of a run.

    Its own figures are those of `mechanism`: of cells with distributed configuration if these were measured,
    else of the flat view. `flat` always has those of the flat view.
    """

    command: str
    commit: str
    date: str
    mechanism: str = "flat"
    flat: AtSize = msgspec.field(default_factory=AtSize)
    holdout_errors: dict[str, float] = {}
    at_size_ranges: dict[str, tuple[float, float]] = {}  # By all shapes that are not refuted.
    change_s_worst: float | None = None
    change_s: dict[str, object] = {}  # By gateways, by changes per second, and in bursts.
    virtual: list[dict[str, object]] = []  # Simulations in virtual time.
    added_p99_ms: float | None = None
    added_p99_run: str = ""  # The run that measured it.
    hollow: int = 0
    processes: int = 0
    memory_gb: float = 0.0
    violations: int = 0
    requests: int = 0  # Sent to the real gateways.
    served: int = 0  # Of these requests.
    real_gateway_memory_mb: float | None = None
    void: bool = False
    void_by: list[str] = []
    lag_ms_worst: float = 0.0
    limits_kept: dict[str, bool | None] = {}
    not_run: list[str] = []
    seconds: float = 0.0


def put_sizes(report: Report, into: AtSize, sizes: Iterable[int]) -> None:
    """Adds the measured sizes, whether or not their fits hold."""
    into.sizes = sorted(sizes)
    if into.sizes:
        into.extrapolated_times = round(SIZE / into.sizes[-1], 1)
        report.hollow = max(report.hollow, into.sizes[-1])


def put_flat(report: Report, costs: Sequence[Cost], measurements: Sequence[Measurement]) -> None:
    """Adds the flat view; `measurements` is empty if too few sizes were measured."""
    put_sizes(report, report.flat, (cost.members for cost in costs))
    for cost in costs:
        put_lag(report, f"flat, {cost.members} members at rest", cost.lag)
    if not measurements:
        return
    extrapolated = _Figures(report, measurements)
    flat = report.flat
    flat.holdout_error_worst = extrapolated.worst
    flat.gateway_cpu_share_at_size = extrapolated.at("membership.flat.cpu", 4)
    flat.gateway_bytes_s_at_size = extrapolated.at("membership.flat.bytes", 0)
    flat.gateway_memory_mb_at_size = extrapolated.at("membership.flat.memory", 2, MEGABYTE)
    flat.busiest_control_bytes_s_at_size = extrapolated.at("membership.flat.coordinator_bytes", 0)
    flat.control_machines_at_size = 0  # Its coordinator is a gateway.


def put_cells(
    report: Report,
    costs: Sequence[CellsCost],
    measurements: Sequence[Measurement],
    configuration: Sequence[Measurement],
) -> None:
    """Adds the cells and the distribution of configuration, which is empty if it was not measured."""
    report.mechanism = "cells"
    put_sizes(report, report, (cost.gateways for cost in costs))
    for cost in costs:
        put_lag(report, f"cells, {cost.gateways} gateways at rest", cost.lag)
    if not measurements:
        return
    control = costs[-1].control
    extrapolated = _Figures(report, [*measurements, *configuration])
    report.holdout_error_worst = extrapolated.worst
    has_configuration = bool(configuration)
    report.gateway_cpu_share_at_size = _sum(
        extrapolated.at("cells.gateway_cpu", 5),
        extrapolated.at("distribution.gateway_cpu_by_gateways", 5) if has_configuration else 0.0,
    )
    report.gateway_bytes_s_at_size = _sum(
        extrapolated.at("cells.gateway_bytes", 0),
        extrapolated.at("distribution.gateway_bytes_by_gateways", 0) if has_configuration else 0.0,
    )
    report.gateway_memory_mb_at_size = extrapolated.at("cells.gateway_memory", 2, MEGABYTE)
    # Each machine has as many cells as it would have with 19 machines.
    cells = SIZE / CELL * control / CONTROL
    # Chance decides how many cells a machine coordinates: the ratio of the busiest to the mean is taken from
    # the largest size that was measured.
    busiest_ratio = costs[-1].busiest_bytes / costs[-1].control_bytes
    report.busiest_control_bytes_s_at_size = _sum(
        extrapolated.at("cells.control_bytes", 0, 1 / busiest_ratio, cells),
        extrapolated.at("distribution.control_bytes_by_gateways", 0, size=SIZE / CONTROL)
        if has_configuration
        else 0.0,
    )
    report.control_machines_at_size = CONTROL
    if not has_configuration:
        report.not_run.append("changes of configuration are not in the costs at size")


class _Figures:
    """Extrapolates measurements, and lists under `not_run` those whose fit missed the hold-out."""

    def __init__(self, report: Report, measurements: Sequence[Measurement]) -> None:
        self._report = report
        self._by_name = {each.name: each for each in measurements}
        errors = {each.name: round(each.holdout.error, 3) for each in measurements}
        report.holdout_errors |= errors
        self.worst = max(errors.values())

    def at(self, name: str, digits: int, unit: float = 1.0, size: float = SIZE) -> float | None:
        found = self._by_name[name]
        found_range = extrapolate(found, size)
        if found_range is None:
            self._report.not_run.append(
                f"{name} at {size:.0f}: the fit missed {found.holdout.size:.0f} by {found.holdout.error:.0%}"
            )
            return None
        least, most = round(found_range.least / unit, digits), round(found_range.most / unit, digits)
        self._report.at_size_ranges[name] = least, most
        return most


def _sum(*values: float | None) -> float | None:
    """Returns the sum, or None if one of the values is unknown."""
    known = [value for value in values if value is not None]
    return round(sum(known), 5) if len(known) == len(values) else None


def put_configuration(report: Report, found: Configured) -> None:
    """Adds the longest times until changes were in force at all gateways."""
    for cost in (*found.by_size, *found.by_rate):
        put_lag(report, f"changes, {cost.gateways} gateways, {cost.rate:g} a second", cost.lag)
    report.hollow = max(report.hollow, found.by_size[-1].gateways)
    report.change_s_worst = found.waits.worst()
    report.change_s = msgspec.to_builtins(found.waits)
    if report.change_s_worst is None:
        report.not_run.append("changes: some were not in force everywhere in time")


def put_failures(report: Report, into: AtSize, outcomes: Sequence[Outcome], settle_most: float) -> None:
    """Adds the effects of faults; a fault has no time if the fleet did not settle within `settle_most` s."""
    if not outcomes:
        return
    by_fault = {each.fault: each for each in outcomes}
    for each in outcomes:
        put_lag(report, each.fault, each.lag)
        report.hollow = max(report.hollow, each.members)
        if each.settle_s is None:
            report.not_run.append(f"{each.fault}: not settled within {settle_most:g} s")
    into.failures = [
        {
            **msgspec.to_builtins(each),
            "lag": round(each.lag.worst, 3),
            "run_lag": round(each.run_lag.worst, 3),
        }
        for each in outcomes
    ]
    into.settle_s_zone = by_fault["zone"].settle_s if "zone" in by_fault else None
    into.settle_s_region_heal = by_fault["region"].settle_s if "region" in by_fault else None
    into.false_dead = sum(each.false_dead for each in outcomes)


def put_virtual(report: Report, played: Played) -> None:
    """Adds a simulation in virtual time, which the lag of the machine does not make void."""
    report.virtual.append(msgspec.to_builtins(played))
    report.false_dead = (report.false_dead or 0) + played.false_dead
    if played.settle_s is None:
        report.not_run.append(f"virtual time, {played.job.fault}: not settled within {played.job.most:g} s")


def put_verdict(report: Report, verdict: Verdict, memory: int) -> None:
    """Adds the judge's verdict on the real gateways and the peak `memory` in bytes of the largest of them."""
    summary = verdict.summary
    report.requests, report.served = summary.requests, summary.served
    if verdict.state == "broken":  # Otherwise violations of timing may be due to the machine.
        report.violations += len(verdict.violations)
    report.real_gateway_memory_mb = round(memory / MEGABYTE, 1)
    if verdict.state == "void":
        put_void(report, f"no verdict of the judge: stand-ins lagged by {summary.max_lag_ns / 1e6:.0f} ms")


def put_latency(report: Report, found: Latency) -> None:
    """Adds the latency that a gateway adds to a request, of this run or of a stored one."""
    report.added_p99_ms = round(1000 * found.added_p99, 3)
    report.added_p99_run = f"{found.run.command}, {found.run.date}, {found.run.commit}"
    if found.void:
        put_void(report, f"added latency: the measuring loop was late by {1000 * found.lag_p99:.1f} ms")


def put_void(report: Report, why: str) -> None:
    """Marks the run as void, which it is as soon as one of its spans is."""
    report.void = True
    report.void_by.append(why)


def put_lag(report: Report, what: str, lag: Lag) -> None:
    """Adds the lag of loops in one span."""
    report.lag_ms_worst = max(report.lag_ms_worst, round(lag.worst * 1000, 1))
    if lag.void:
        put_void(report, f"{what}: {lag.late} of {lag.beats} beats late, {lag.worst * 1000:.0f} ms at worst")


def put_limits(report: Report, full: bool) -> None:
    """Adds to the report whether each limit is kept, or null if the limited figure was not measured.

    If no cells were measured, the report's own figures are first set to those of the flat view, which has
    all gateways in one view.
    """
    if report.mechanism == "flat":
        for name in AtSize.__struct_fields__:
            setattr(report, name, getattr(report.flat, name))
    kept: dict[str, bool | None] = {}
    for name, limit in LIMITS.items():
        value = getattr(report, name)
        kept[name] = None if value is None else value <= limit
    if full:
        kept["hollow"] = report.hollow >= MIN_HOLLOW
    report.limits_kept = kept
