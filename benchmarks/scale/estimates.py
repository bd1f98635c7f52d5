"""Rows of the page of capacity worked out: what a role's cost is at the size asked for, and where it breaks.

Pure: from rows, slopes and the figures of the sums to values; nothing here writes text.
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

# A hold-out this near to the size asked for is the figure itself: no fit is needed.
SAME_SIZE = 0.02


class State(Enum):
    """Whether a row has a figure, and if not, why."""

    FITTED = "by fit"
    MEASURED = "measured there"
    FURTHER = "the most that no measured size refutes"
    AT_MOST = "at most, as measured at the least size"
    NOT_MEASURED = "**not measured**"
    VOID = "**void**"
    WRONG = "**fit wrong**"


class EstimatedRow(msgspec.Struct, frozen=True):
    """One row with its figures; `value` is None where the state is one that has none."""

    row: Row
    state: State
    size: float
    found: Measurement | None = None
    value: float | None = None
    limit: float | None = None
    # The size at which the limit is reached; None where it can't be told.
    breaks_at: float | None = None
    # How far the mechanism has come.
    mechanism_status: MechanismStatus = MechanismStatus.MISSING

    @property
    def at_the_latest(self) -> bool:
        """Whether it breaks below all that was measured: `breaks_at` is then the least size."""
        return self.found is not None and self.breaks_at == self.found.points[0][0]

    @property
    def room(self) -> float | None:
        """The limit as a multiple of the value."""
        if self.value is None or self.limit is None:
            return None
        return self.limit / self.value if self.value > 0.0 else math.inf


class Total(msgspec.Struct, frozen=True):
    """What a role's rows of one kind come to; `missing`: rows of the kind without a figure; `value`
    is None where all are."""

    kind: str
    unit: str
    value: float | None
    limit: float
    missing: int


class Break(msgspec.Struct, frozen=True):
    """Something that breaks before the size asked for: at so many, of so many."""

    what: str
    at: str
    breaks_at: float
    size: float
    mechanism: str
    mend: str
    at_the_latest: bool = False

    @property
    def share(self) -> float:
        """Of the size asked for, at which it breaks."""
        return self.breaks_at / self.size


def estimate_row(
    row: Row,
    slopes: Slopes,
    figures: dict[str, float],
    here: Callable[[str], MechanismStatus] = mechanism_status,
) -> EstimatedRow:
    """The row at the size that it names; `here` tells how far a mechanism has come."""
    size, there = figures[row.at], here(row.mechanism)
    found = slopes.find(row.slope) if row.slope else None
    if found is None:
        return EstimatedRow(row, State.NOT_MEASURED, size, mechanism_status=there)
    state = _state(found, size)
    if state in (State.VOID, State.WRONG):
        return EstimatedRow(row, state, size, found, mechanism_status=there)
    times = figures[row.by] if row.by else 1.0
    limit = figures.get(row.limit) if row.by else found.limit
    breaks_at = _breaks_at(found, None if limit is None else limit / times)
    return EstimatedRow(row, state, size, found, _value(found, state, size) * times, limit, breaks_at, there)


def totals(role: Role, estimated: list[EstimatedRow], figures: dict[str, float]) -> list[Total]:
    """What the role's rows of memory, CPU and bytes come to."""
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
    """All that breaks before the size asked for, the smallest share of that size first; a slope that stands
    in several roles at one size is told once."""
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
    """What breaks by what mends it, the mend of what breaks first first."""
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
        return State.AT_MOST  # costs grow with size; below what was fitted a line may go anywhere
    if found.holdout.wrong:
        return State.WRONG
    return State.FURTHER if size > found.holdout.size else State.FITTED


def _breaks_at(found: Measurement, limit: float | None) -> float | None:
    """By the fit; where that is wrong, by the line between the two measured sizes around the limit."""
    if limit is None:
        return None
    least, there = found.points[0]
    if there >= limit:
        return least  # at the latest: below it nothing was measured
    if not found.holdout.wrong:
        reached = found.fit.breaks_at(limit)
        further = [each.breaks_at(limit) for each in unrefuted(found)]
        return reached if reached <= found.holdout.size else max(found.holdout.size, min(further))
    points = [*found.points, (found.holdout.size, found.holdout.measured)]
    for (low, under), (high, over) in pairwise(points):
        if under <= limit < over:
            return low + (high - low) * (limit - under) / (over - under)
    return None
