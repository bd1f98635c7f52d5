"""What a run found, as one JSON object: figures, limits kept or not, and what was not run.

Pure. A figure that was not measured is null, and is named under `not_run`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

import msgspec

from .configuration import Configured
from .extrapolation import extrapolate
from .handed import HandedCost
from .lag import Lag
from .latency import Latency
from .slopes import Measurement, Run, measurement
from .viewed import Cost, Outcome

SIZE = 7_200  # gateways that are asked for

# What is asked for at that size.
LIMITS: dict[str, float] = {
    "holdout_error_worst": 0.2,
    "gateway_cpu_share_at_size": 0.018,
    "gateway_memory_mb_at_size": 64.0,
    "gateway_bytes_s_at_size": 5_000.0,
    "control_machines_at_size": 19,
    "change_s_worst": 9.0,
    "false_dead": 0,
    "added_p99_ms": 4.3,
    "processes": 200,
    "memory_gb": 12.0,
    "violations": 0,
}
HOLLOW_LEAST = 1_000  # hollow gateways of a full run
DAY = 86_400.0  # s
MEGABYTE = float(1 << 20)


class Report(msgspec.Struct, kw_only=True):
    """The JSON object. What is carried on to 7,200 gateways ends in `_at_size`: the most that the measured
    sizes do not refute."""

    command: str
    commit: str
    date: str
    sizes: list[int] = []
    extrapolated_times: float | None = None  # what is asked for over the largest size measured
    holdout_error_worst: float | None = None
    holdout_errors: dict[str, float] = {}
    at_size_ranges: dict[str, tuple[float, float]] = {}  # by all shapes that are not refuted
    gateway_cpu_share_at_size: float | None = None
    gateway_memory_mb_at_size: float | None = None
    gateway_bytes_s_at_size: float | None = None
    busiest_control_bytes_s_at_size: float | None = None
    control_machines_at_size: int | None = None
    change_s_worst: float | None = None
    change_s: dict[str, object] = {}  # by gateways, by changes a second, in bursts
    settle_s_zone: float | None = None
    settle_s_region_heal: float | None = None
    false_dead: int | None = None
    added_p99_ms: float | None = None
    added_p99_run: str = ""  # which run gave it
    hollow: int = 0
    processes: int = 0
    memory_gb: float = 0.0
    violations: int = 0
    void: bool = False
    void_by: list[str] = []
    lag_ms_worst: float = 0.0
    mechanism: str = "flat"
    failures: list[dict[str, object]] = []
    requests: int = 0  # asked of the real gateways
    served: int = 0  # of these
    real_gateway_memory_mb: float | None = None
    limits_kept: dict[str, bool | None] = {}
    not_run: list[str] = []
    seconds: float = 0.0


def flat_measurements(fitted: Sequence[Cost], held_out: Cost, run: Run) -> list[Measurement]:
    """The costs of the flat view against the number of gateways, each fitted and held against the largest."""
    lags = [cost.lag for cost in (*fitted, held_out)]
    void = any(lag.void for lag in lags)
    worst = max(lag.worst for lag in lags) * 1000

    def one(name: str, unit: str, value: str, limit: float | None, note: str) -> Measurement:
        points = [(float(cost.members), float(getattr(cost, value))) for cost in fitted]
        held = float(held_out.members), float(getattr(held_out, value))
        return measurement(f"membership.flat.{name}", "gateways", unit, points, held, run, limit=limit,
                           void=void, note=f"{note}; loops lagged by {worst:.0f} ms at worst")

    busier = "payload of datagrams and tables at the sockets, the greater of sent and received"
    return [
        one("cpu", "share of a core", "cpu", LIMITS["gateway_cpu_share_at_size"],
            "processes' own clocks over their hollow members"),
        one("bytes", "bytes/s", "bytes", LIMITS["gateway_bytes_s_at_size"], busier),
        one("memory", "bytes", "memory", LIMITS["gateway_memory_mb_at_size"] * MEGABYTE,
            "resident in hollow processes beyond what they hold without members, by member"),
        one("coordinator_bytes", "bytes/s", "coordinator_bytes", LIMITS["gateway_bytes_s_at_size"], busier),
    ]


def put_costs(report: Report, costs: Sequence[Cost]) -> None:
    """Which sizes were measured, whatever comes of them."""
    report.sizes = sorted(cost.members for cost in costs)
    report.hollow = max([report.hollow, *report.sizes])
    if report.sizes:
        report.extrapolated_times = round(SIZE / report.sizes[-1], 1)
    for cost in costs:
        put_lag(report, f"{cost.members} members at rest", cost.lag)


def put_flat(report: Report, measurements: Iterable[Measurement]) -> None:
    """Costs at the size asked for by the fits, and how far these were off at the size that was held out."""
    found = {each.name.rpartition(".")[2]: each for each in measurements}
    report.holdout_errors |= {each.name: round(each.holdout.error, 3) for each in found.values()}
    report.gateway_cpu_share_at_size = _at_size(report, found["cpu"], 4)
    report.gateway_bytes_s_at_size = _at_size(report, found["bytes"], 0)
    report.gateway_memory_mb_at_size = _at_size(report, found["memory"], 2, MEGABYTE)
    report.busiest_control_bytes_s_at_size = _at_size(report, found["coordinator_bytes"], 0)
    report.control_machines_at_size = 0  # the flat view's coordinator is a gateway


def _at_size(report: Report, found: Measurement, digits: int, unit: float = 1.0) -> float | None:
    """The most that measurements do not refute at the size asked for; nothing by a fit that missed what was
    held out."""
    there = extrapolate(found, SIZE)
    if there is None:
        report.not_run.append(f"{found.name} at {SIZE}: the fit missed {found.holdout.size:.0f} by "
                              f"{found.holdout.error:.0%}")
        return None
    report.at_size_ranges[found.name] = (round(there.least / unit, digits), round(there.most / unit, digits))
    return round(there.most / unit, digits)


def configuration_measurements(found: Configured, run: Run) -> list[Measurement]:
    """Costs of configuration handed down: against gateways (control machines: against gateways of each), and
    against changes a day at the largest number of gateways."""
    largest = found.by_rate[-1]
    each = largest.gateways / largest.control

    def one(name: str, unit: str, value: str, costs: Sequence[HandedCost], factor: str, note: str,
            size: Callable[[HandedCost], float]) -> Measurement:
        points = [(size(cost), float(getattr(cost, value))) for cost in costs]
        void = any(cost.lag.void for cost in costs)
        return measurement(f"distribution.{name}", factor, unit, points[:-1], points[-1], run, void=void,
                           note=note)

    def by_gateways(name: str, unit: str, value: str) -> Measurement:
        rate = found.by_size[0].rate
        return one(name, unit, value, found.by_size, "gateways", f"{rate:g} changes a second",
                   lambda cost: cost.gateways)

    def by_gateways_of_control(name: str, unit: str, value: str) -> Measurement:
        return one(name, unit, value, found.by_size, "gateways_control",
                   f"{largest.control} control machines", lambda cost: cost.gateways / cost.control)

    def by_changes(name: str, unit: str, value: str) -> Measurement:
        note = f"{largest.gateways} gateways, {each:.0f} a control machine"
        return one(name, unit, value, found.by_rate, "changes", note, lambda cost: cost.rate * DAY)

    share, rate = "share of a core", "bytes/s"
    return [
        by_gateways("gateway_cpu_by_gateways", share, "cpu"),
        by_gateways("gateway_bytes_by_gateways", rate, "bytes"),
        by_gateways_of_control("control_cpu_by_gateways", share, "control_cpu"),
        by_gateways_of_control("control_bytes_by_gateways", rate, "control_bytes"),
        by_changes("gateway_cpu", share, "cpu"),
        by_changes("gateway_bytes", rate, "bytes"),
        by_changes("control_cpu", share, "control_cpu"),
        by_changes("control_bytes", rate, "control_bytes"),
    ]


def put_configuration(report: Report, found: Configured, measurements: Sequence[Measurement]) -> None:
    """What changes cost, and the longest that one took until it was in force everywhere."""
    for cost in (*found.by_size, *found.by_rate):
        put_lag(report, f"changes, {cost.gateways} gateways, {cost.rate:g} a second", cost.lag)
    report.hollow = max(report.hollow, found.by_size[-1].gateways)
    report.holdout_errors |= {each.name: round(each.holdout.error, 3) for each in measurements}
    report.change_s_worst = found.waits.worst()
    report.change_s = msgspec.to_builtins(found.waits)
    if report.change_s_worst is None:
        report.not_run.append("changes: some were not in force everywhere in time")


def put_failures(report: Report, outcomes: Sequence[Outcome], settle_most: float) -> None:
    """What faults did; one after which a fleet did not settle within `settle_most` s has no time."""
    by_fault = {each.fault: each for each in outcomes}
    for each in outcomes:
        put_lag(report, each.fault, each.lag)
    report.failures = [{**msgspec.to_builtins(each), "lag": round(each.lag.worst, 3),
                        "run_lag": round(each.run_lag.worst, 3)} for each in outcomes]
    report.settle_s_zone = by_fault["zone"].settle_s
    report.settle_s_region_heal = by_fault["region"].settle_s
    report.false_dead = sum(each.false_dead for each in outcomes)
    report.not_run += [f"{each.fault}: not settled within {settle_most:g} s"
                       for each in outcomes if each.settle_s is None]


def put_void(report: Report, why: str) -> None:
    """A run is void as soon as one of its spans is."""
    report.void = True
    report.void_by.append(why)


def put_lag(report: Report, what: str, lag: Lag) -> None:
    """How late loops were in one span."""
    report.lag_ms_worst = max(report.lag_ms_worst, round(lag.worst * 1000, 1))
    if lag.void:
        put_void(report, f"{what}: {lag.late} of {lag.beats} beats late, {lag.worst * 1000:.0f} ms at worst")


def put_latency(report: Report, found: Latency) -> None:
    """What a gateway adds to a request, of this run or of one that was kept."""
    report.added_p99_ms = round(1000 * found.added_p99, 3)
    report.added_p99_run = f"{found.run.command}, {found.run.date}, {found.run.commit}"
    if found.void:
        put_void(report, f"added latency: the measuring loop was late by {1000 * found.lag_p99:.1f} ms")


def put_limits(report: Report, full: bool) -> None:
    """Which limits what was measured keeps; null for what was not measured."""
    report.holdout_error_worst = max(report.holdout_errors.values(), default=None)
    kept: dict[str, bool | None] = {}
    for name, limit in LIMITS.items():
        value = getattr(report, name)
        kept[name] = None if value is None else value <= limit
    if full:
        kept["hollow"] = report.hollow >= HOLLOW_LEAST
    report.limits_kept = kept
