"""Converts costs of fleets into measurements: fitted against one factor, with the largest size held out.

The module does no I/O. `docs/CAPACITY.md` refers to the measurements by their names.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol, TypeVar

from .cells_fleet import CellsCost
from .configuration import Configured
from .configuration_fleet import ConfigurationCost
from .flat_fleet import Cost
from .lag import Lag
from .slopes import Measurement, Run, measurement

SHARE, RATE, BYTES = "share of a core", "bytes/s", "bytes"
CPU_MOST, RATE_MOST, MEMORY_MOST = 0.018, 5_000.0, 64.0 * (1 << 20)  # Of a gateway, for all control tasks.
CHANGE_MOST = 9.0  # s until a change is in force at all gateways.
DAY_S = 86_400.0


class HasLag(Protocol):
    """Is any cost that has a lag."""

    @property
    def lag(self) -> Lag: ...


C = TypeVar("C", bound=HasLag)


def _measurement(
    name: str,
    factor: str,
    unit: str,
    costs: Sequence[C],
    size: Callable[[C], float],
    value: str,
    run: Run,
    limit: float | None = None,
    note: str = "",
) -> Measurement:
    """Fits `costs`, the last of which is held out. The result is void if the lag of one of them is."""
    points = [(float(size(cost)), float(getattr(cost, value))) for cost in costs]
    void = any(cost.lag.void for cost in costs)
    worst = max(cost.lag.worst for cost in costs) * 1000
    lagged = f"loops lagged by {worst:.0f} ms at worst"
    return measurement(
        name,
        factor,
        unit,
        points[:-1],
        points[-1],
        run,
        limit=limit,
        void=void,
        note=f"{note}; {lagged}" if note else lagged,
    )


def flat(fitted: Sequence[Cost], held_out: Cost, run: Run) -> list[Measurement]:
    """Returns the measurements of the flat view by the number of gateways."""
    bytes_note = "payload of datagrams and tables at the sockets, the greater of sent and received"

    def one(name: str, unit: str, value: str, limit: float | None, note: str = "") -> Measurement:
        return _measurement(
            f"membership.flat.{name}",
            "gateways",
            unit,
            [*fitted, held_out],
            lambda cost: cost.members,
            value,
            run,
            limit,
            note,
        )

    return [
        one("cpu", SHARE, "cpu", CPU_MOST, "processes' own clocks over their hollow members"),
        one("bytes", RATE, "bytes", RATE_MOST, bytes_note),
        one("memory", BYTES, "memory", MEMORY_MOST, "resident beyond what processes hold without members"),
        one("coordinator_bytes", RATE, "coordinator_bytes", RATE_MOST, bytes_note),
    ]


def cells(costs: Sequence[CellsCost], run: Run) -> list[Measurement]:
    """Returns the measurements of gateways by their number, and of the mean control machine by cells."""
    note = f"{costs[-1].control} control machines, the mean of them"

    def gateway(name: str, unit: str, value: str, limit: float) -> Measurement:
        return _measurement(
            f"cells.gateway_{name}", "gateways", unit, costs, lambda cost: cost.gateways, value, run, limit
        )

    def control(name: str, unit: str) -> Measurement:
        return _measurement(
            f"cells.control_{name}",
            "cells",
            unit,
            costs,
            lambda cost: cost.cells,
            f"control_{name}",
            run,
            None,
            note,
        )

    return [
        gateway("cpu", SHARE, "cpu", CPU_MOST),
        gateway("bytes", RATE, "bytes", RATE_MOST),
        gateway("memory", BYTES, "memory", MEMORY_MOST),
        control("cpu", SHARE),
        control("bytes", RATE),
        control("memory", BYTES),
    ]


def _waits(found: Configured, run: Run) -> list[Measurement]:
    """Returns the longest time of a change by gateways; empty if some were not in force in time."""
    waits = zip(found.by_size, found.waits.by_size, strict=True)
    points = [(float(cost.gateways), wait) for cost, wait in waits if wait is not None]
    if len(points) < len(found.by_size):
        return []
    void = any(cost.lag.void for cost in found.by_size)
    return [
        measurement(
            "distribution.change_s",
            "gateways",
            "s",
            points[:-1],
            points[-1],
            run,
            limit=CHANGE_MOST,
            void=void,
            note=f"{found.by_size[0].rate:g} changes a second",
        )
    ]


def configuration(found: Configured, run: Run) -> list[Measurement]:
    """Returns the measurements of distributing configuration, by gateways and by changes per day.

    Costs of control machines are by the gateways of each machine. Costs by changes are those at the largest
    number of gateways.
    """
    largest = found.by_rate[-1]

    def one(
        name: str,
        factor: str,
        unit: str,
        value: str,
        costs: Sequence[ConfigurationCost],
        size: Callable[[ConfigurationCost], float],
        note: str,
    ) -> Measurement:
        return _measurement(f"distribution.{name}", factor, unit, costs, size, value, run, None, note)

    def by_gateways(name: str, unit: str, value: str) -> Measurement:
        return one(
            f"{name}_by_gateways",
            "gateways",
            unit,
            value,
            found.by_size,
            lambda cost: cost.gateways,
            f"{found.by_size[0].rate:g} changes a second",
        )

    def by_gateways_of_control(name: str, unit: str) -> Measurement:
        return one(
            f"{name}_by_gateways",
            "gateways_control",
            unit,
            name,
            found.by_size,
            lambda cost: cost.gateways / cost.control,
            f"{largest.control} control machines",
        )

    def by_changes(name: str, unit: str, value: str) -> Measurement:
        return one(
            name,
            "changes",
            unit,
            value,
            found.by_rate,
            lambda cost: cost.rate * DAY_S,
            f"{largest.gateways} gateways, {largest.control} control machines",
        )

    return [
        *_waits(found, run),
        by_gateways("gateway_cpu", SHARE, "cpu"),
        by_gateways("gateway_bytes", RATE, "bytes"),
        by_gateways_of_control("control_cpu", SHARE),
        by_gateways_of_control("control_bytes", RATE),
        by_changes("gateway_cpu", SHARE, "cpu"),
        by_changes("gateway_bytes", RATE, "bytes"),
        by_changes("control_cpu", SHARE, "control_cpu"),
        by_changes("control_bytes", RATE, "control_bytes"),
    ]
