"""Estimates each cost of a role at the required size, and the size at which it exceeds its limit.

The module computes values from rows, slopes and figures. It does no I/O and formats no text.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from enum import Enum
from itertools import pairwise

import msgspec

from .extrapolation import unrefuted
from .mechanism_status import MechanismStatus, mechanism_status
from .role_terms import Bound, Role, Row
from .roles import TOTALS
from .slopes import Measurement, Slopes

# The value measured at a hold-out this close to the required size is used without a fit.
SAME_SIZE = 0.02


class State(Enum):
    """Says how the figure of a row was found, or why it has none."""

    FITTED = "by fit"
    MEASURED = "measured there"
    FURTHER = "the most that no measured size refutes"
    AT_MOST = "at most, as measured at the least size"
    NOT_MEASURED = "**not measured**"
    VOID = "**void**"
    WRONG = "**fit wrong**"


class EstimatedRow(msgspec.Struct, frozen=True):
    """Holds one row with its figures; `value` is None if the state has none."""

    row: Row
    state: State
    size: float
    found: Measurement | None = None
    value: float | None = None
    limit: float | None = None
    # The size at which the limit is reached; None if it is unknown.
    breaks_at: float | None = None
    # Whether the mechanism is missing, implemented or in use.
    mechanism_status: MechanismStatus = MechanismStatus.MISSING

    @property
    def at_the_latest(self) -> bool:
        """Returns whether it exceeds the limit at the least measured size, which `breaks_at` then is."""
        return self.found is not None and self.breaks_at == self.found.points[0][0]

    @property
    def room(self) -> float | None:
        """Returns the limit as a multiple of the value."""
        if self.value is None or self.limit is None:
            return None
        return self.limit / self.value if self.value > 0.0 else math.inf


class Total(msgspec.Struct, frozen=True):
    """Holds the sum of a role's rows of one kind, and the number of rows without a figure, `missing`.

    `value` is None if all are without a figure.
    """

    kind: str
    unit: str
    value: float | None
    limit: float
    missing: int


class Break(msgspec.Struct, frozen=True):
    """Describes a cost or bound that exceeds its limit below the required size."""

    what: str
    at: str
    breaks_at: float
    size: float
    mechanism: str
    mend: str
    at_the_latest: bool = False

    @property
    def share(self) -> float:
        """Returns the size at which it breaks as a share of the required size."""
        return self.breaks_at / self.size


def estimate_row(
    row: Row,
    slopes: Slopes,
    figures: dict[str, float],
    here: Callable[[str], MechanismStatus] = mechanism_status,
) -> EstimatedRow:
    """Estimates a row at the size that it names; `here` returns the status of a mechanism."""
    size, status = figures[row.at], here(row.mechanism)
    found = slopes.find(row.slope) if row.slope else None
    if found is None:
        return EstimatedRow(row, State.NOT_MEASURED, size, mechanism_status=status)
    state = _state(found, size)
    if state in (State.VOID, State.WRONG):
        return EstimatedRow(row, state, size, found, mechanism_status=status)
    times = figures[row.by] if row.by else 1.0
    limit = figures.get(row.limit) if row.by else found.limit
    breaks_at = _breaks_at(found, None if limit is None else limit / times)
    return EstimatedRow(row, state, size, found, _value(found, state, size) * times, limit, breaks_at, status)


def totals(role: Role, estimated: list[EstimatedRow], figures: dict[str, float]) -> list[Total]:
    """Returns the sums of the role's rows of memory, CPU and bytes."""
    made = []
    for kind, (limit, unit) in TOTALS.items():
        parts = [each for each in estimated if each.row.what.startswith(f"{kind}:") and each.row.counted]
        if not role.added_up or not parts:
            continue
        values = [each.value for each in parts if each.value is not None]
        value = sum(values) if values else None
        made.append(Total(kind, unit, value, figures[limit], len(parts) - len(values)))
    return made


def breaks(
    estimated: list[EstimatedRow], bounds: tuple[Bound, ...], figures: dict[str, float]
) -> list[Break]:
    """Returns all that breaks below the required size, the smallest share of that size first.

    A slope that is in several roles at one size is listed once.
    """
    once = {(each.row.slope, each.row.by, each.size): each for each in reversed(estimated)}
    found = [
        Break(
            each.row.what,
            each.row.at,
            each.breaks_at,
            each.size,
            each.row.mechanism,
            each.row.mend,
            each.at_the_latest,
        )
        for each in once.values()
        if each.breaks_at is not None and each.breaks_at < each.size
    ]
    found += [
        Break(bound.what, bound.at, figures[bound.most], figures[bound.at], bound.mechanism, bound.mend)
        for bound in bounds
        if figures[bound.most] < figures[bound.at]
    ]
    return sorted(found, key=lambda each: (each.share, each.what))


def _value(found: Measurement, state: State, size: float) -> float:
    match state:
        case State.MEASURED:
            return found.holdout.measured
        case State.AT_MOST:
            return found.points[0][1]
        case State.FURTHER:
            return max(each.predict(size) for each in unrefuted(found))
        case _:
            return found.fit.predict(size)


def mends(found: list[Break]) -> list[tuple[str, list[Break]]]:
    """Groups the breaks by the mechanism that mends them, in the order of the first break of each."""
    by_mend: dict[str, list[Break]] = {}
    for each in found:
        by_mend.setdefault(each.mend, []).append(each)
    return sorted(by_mend.items(), key=lambda item: item[1][0].share)


def _state(found: Measurement, size: float) -> State:
    if found.void:
        return State.VOID
    if math.isclose(found.holdout.size, size, rel_tol=SAME_SIZE):
        return State.MEASURED
    if size < found.points[0][0]:
        return State.AT_MOST  # Costs grow with size, but a fit does not hold below its sizes.
    if found.holdout.wrong:
        return State.WRONG
    return State.FURTHER if size > found.holdout.size else State.FITTED


def _breaks_at(found: Measurement, limit: float | None) -> float | None:
    """Returns the size at which a cost reaches its limit, by the fit.

    If the fit is wrong, it interpolates between the two measured sizes around the limit.
    """
    if limit is None:
        return None
    least, least_value = found.points[0]
    if least_value >= limit:
        return least  # It is reached here or below: no smaller size was measured.
    if not found.holdout.wrong:
        reached = found.fit.breaks_at(limit)
        limits_reached = [each.breaks_at(limit) for each in unrefuted(found)]
        return reached if reached <= found.holdout.size else max(found.holdout.size, min(limits_reached))
    points = [*found.points, (found.holdout.size, found.holdout.measured)]
    for (low, under), (high, over) in pairwise(points):
        if under <= limit < over:
            return low + (high - low) * (limit - under) / (over - under)
    return None
