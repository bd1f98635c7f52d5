"""What a run found, as one JSON object: figures, limits kept or not, and what was not run.

Pure. A figure that was not measured is null, and is named under `not_run`.
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

SIZE = 7_200  # gateways that are asked for
CELL = 24  # gateways of a cell
CONTROL = 19  # machines that are set aside for control
MEGABYTE = float(1 << 20)

# What is asked for at that size.
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
HOLLOW_LEAST = 1_000  # hollow gateways of a full run


class AtSize(msgspec.Struct, kw_only=True):
    """Costs at the size asked for: the most that the measured sizes do not refute; null where no fit held."""

    sizes: list[int] = []
    extrapolated_times: float | None = None  # what is asked for over the largest size measured
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
    """The JSON object. Its own figures are those of `mechanism`: of cells, with configuration handed down,
    where these were measured, else of the flat view, which `flat` has in any case."""

    command: str
    commit: str
    date: str
    mechanism: str = "flat"
    flat: AtSize = msgspec.field(default_factory=AtSize)
    holdout_errors: dict[str, float] = {}
    at_size_ranges: dict[str, tuple[float, float]] = {}  # by all shapes that are not refuted
    change_s_worst: float | None = None
    change_s: dict[str, object] = {}  # by gateways, by changes a second, in bursts
    virtual: list[dict[str, object]] = []  # worlds in virtual time
    added_p99_ms: float | None = None
    added_p99_run: str = ""  # which run gave it
    hollow: int = 0
    processes: int = 0
    memory_gb: float = 0.0
    violations: int = 0
    requests: int = 0  # asked of the real gateways
    served: int = 0  # of these
    real_gateway_memory_mb: float | None = None
    void: bool = False
    void_by: list[str] = []
    lag_ms_worst: float = 0.0
    limits_kept: dict[str, bool | None] = {}
    not_run: list[str] = []
    seconds: float = 0.0


# What was measured.


def put_sizes(report: Report, into: AtSize, sizes: Iterable[int]) -> None:
    """Which sizes were measured, whatever comes of them."""
    into.sizes = sorted(sizes)
    if into.sizes:
        into.extrapolated_times = round(SIZE / into.sizes[-1], 1)
        report.hollow = max(report.hollow, into.sizes[-1])


def put_flat(report: Report, costs: Sequence[Cost], measurements: Sequence[Measurement]) -> None:
    """The flat view; `measurements`: none where too few sizes were measured."""
    put_sizes(report, report.flat, (cost.members for cost in costs))
    for cost in costs:
        put_lag(report, f"flat, {cost.members} members at rest", cost.lag)
    if not measurements:
        return
    there = _Figures(report, measurements)
    flat = report.flat
    flat.holdout_error_worst = there.worst
    flat.gateway_cpu_share_at_size = there.at("membership.flat.cpu", 4)
    flat.gateway_bytes_s_at_size = there.at("membership.flat.bytes", 0)
    flat.gateway_memory_mb_at_size = there.at("membership.flat.memory", 2, MEGABYTE)
    flat.busiest_control_bytes_s_at_size = there.at("membership.flat.coordinator_bytes", 0)
    flat.control_machines_at_size = 0  # its coordinator is a gateway


def put_cells(
    report: Report,
    costs: Sequence[CellsCost],
    measurements: Sequence[Measurement],
    configuration: Sequence[Measurement],
) -> None:
    """Cells, with configuration handed down (none: not measured) beside them."""
    report.mechanism = "cells"
    put_sizes(report, report, (cost.gateways for cost in costs))
    for cost in costs:
        put_lag(report, f"cells, {cost.gateways} gateways at rest", cost.lag)
    if not measurements:
        return
    control = costs[-1].control
    there = _Figures(report, [*measurements, *configuration])
    report.holdout_error_worst = there.worst
    handed = bool(configuration)
    report.gateway_cpu_share_at_size = _sum(
        there.at("cells.gateway_cpu", 5),
        there.at("distribution.gateway_cpu_by_gateways", 5) if handed else 0.0,
    )
    report.gateway_bytes_s_at_size = _sum(
        there.at("cells.gateway_bytes", 0),
        there.at("distribution.gateway_bytes_by_gateways", 0) if handed else 0.0,
    )
    report.gateway_memory_mb_at_size = there.at("cells.gateway_memory", 2, MEGABYTE)
    # Each machine has as many cells as it would have with 19 machines.
    cells = SIZE / CELL * control / CONTROL
    # Chance decides how many cells a machine coordinates: the ratio of the busiest to the mean is taken from
    # the largest size that was measured.
    above = costs[-1].busiest_bytes / costs[-1].control_bytes
    report.busiest_control_bytes_s_at_size = _sum(
        there.at("cells.control_bytes", 0, 1 / above, cells),
        there.at("distribution.control_bytes_by_gateways", 0, size=SIZE / CONTROL) if handed else 0.0,
    )
    report.control_machines_at_size = CONTROL
    if not handed:
        report.not_run.append("changes of configuration are not in the costs at size")


class _Figures:
    """What measurements say of other sizes; what a fit that missed does not say is told."""

    def __init__(self, report: Report, measurements: Sequence[Measurement]) -> None:
        self._report = report
        self._by_name = {each.name: each for each in measurements}
        errors = {each.name: round(each.holdout.error, 3) for each in measurements}
        report.holdout_errors |= errors
        self.worst = max(errors.values())

    def at(self, name: str, digits: int, unit: float = 1.0, size: float = SIZE) -> float | None:
        found = self._by_name[name]
        there = extrapolate(found, size)
        if there is None:
            self._report.not_run.append(
                f"{name} at {size:.0f}: the fit missed {found.holdout.size:.0f} by {found.holdout.error:.0%}"
            )
            return None
        least, most = round(there.least / unit, digits), round(there.most / unit, digits)
        self._report.at_size_ranges[name] = least, most
        return most


def _sum(*values: float | None) -> float | None:
    """Nothing where one of them is not known."""
    known = [value for value in values if value is not None]
    return round(sum(known), 5) if len(known) == len(values) else None


def put_configuration(report: Report, found: Configured) -> None:
    """The longest that a change took until it was in force everywhere."""
    for cost in (*found.by_size, *found.by_rate):
        put_lag(report, f"changes, {cost.gateways} gateways, {cost.rate:g} a second", cost.lag)
    report.hollow = max(report.hollow, found.by_size[-1].gateways)
    report.change_s_worst = found.waits.worst()
    report.change_s = msgspec.to_builtins(found.waits)
    if report.change_s_worst is None:
        report.not_run.append("changes: some were not in force everywhere in time")


def put_failures(report: Report, into: AtSize, outcomes: Sequence[Outcome], settle_most: float) -> None:
    """What faults did; one after which a fleet did not settle within `settle_most` s has no time."""
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
    """A world in virtual time, which no lag of the machine spoils."""
    report.virtual.append(msgspec.to_builtins(played))
    report.false_dead = (report.false_dead or 0) + played.false_dead
    if played.settle_s is None:
        report.not_run.append(f"virtual time, {played.job.fault}: not settled within {played.job.most:g} s")


def put_verdict(report: Report, verdict: Verdict, memory: int) -> None:
    """The judge's word on the real gateways; `memory`: bytes that the largest of them held at most."""
    summary = verdict.summary
    report.requests, report.served = summary.requests, summary.served
    if verdict.state == "broken":  # else what is wrong by the clock says more of the machine
        report.violations += len(verdict.violations)
    report.real_gateway_memory_mb = round(memory / MEGABYTE, 1)
    if verdict.state == "void":
        put_void(report, f"no verdict of the judge: stand-ins lagged by {summary.max_lag_ns / 1e6:.0f} ms")


def put_latency(report: Report, found: Latency) -> None:
    """What a gateway adds to a request, of this run or of one that was kept."""
    report.added_p99_ms = round(1000 * found.added_p99, 3)
    report.added_p99_run = f"{found.run.command}, {found.run.date}, {found.run.commit}"
    if found.void:
        put_void(report, f"added latency: the measuring loop was late by {1000 * found.lag_p99:.1f} ms")


# What counts.


def put_void(report: Report, why: str) -> None:
    """A run is void as soon as one of its spans is."""
    report.void = True
    report.void_by.append(why)


def put_lag(report: Report, what: str, lag: Lag) -> None:
    """How late loops were in one span."""
    report.lag_ms_worst = max(report.lag_ms_worst, round(lag.worst * 1000, 1))
    if lag.void:
        put_void(report, f"{what}: {lag.late} of {lag.beats} beats late, {lag.worst * 1000:.0f} ms at worst")


def put_limits(report: Report, full: bool) -> None:
    """Which limits what was measured keeps; null for what was not measured. Where cells were not measured the
    figures are the flat view's."""
    if report.mechanism == "flat":
        for name in AtSize.__struct_fields__:
            setattr(report, name, getattr(report.flat, name))
    kept: dict[str, bool | None] = {}
    for name, limit in LIMITS.items():
        value = getattr(report, name)
        kept[name] = None if value is None else value <= limit
    if full:
        kept["hollow"] = report.hollow >= HOLLOW_LEAST
    report.limits_kept = kept
