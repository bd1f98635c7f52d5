"""Fitting of a measured cost against size: which shape it has, and what it predicts at another size.

Pure arithmetic, no I/O. A fit is value = a + b * f(size), where f is one of the shapes below. The least
squares are weighted by the values, as noise of measurement grows with what is measured.
"""

import enum
import math
from collections.abc import Sequence

import msgspec

# Fewer points can't tell the shapes apart.
FEWEST_POINTS = 4
# A hold-out further off than this share of what was measured says that the fit is wrong.
HOLDOUT_LIMIT = 0.2
# The hold-out is measured at this many times the largest size fitted.
HOLDOUT_TIMES = 2.0
# Errors of shapes this close to the best one, as a share or as a multiple, count as noise.
NOISE_SHARE = 0.02
NOISE_TIMES = 1.1
# Values under this share of the largest are weighted as if they had it: a zero has no weight of its own.
LEAST_SHARE = 0.01

# Size and value.
Point = tuple[float, float]


class Shape(enum.StrEnum):
    """How a cost grows with size, the simplest first."""

    CONSTANT = "constant"
    LOG = "log"
    LINEAR = "linear"
    SQUARE = "square"

    def of(self, size: float) -> float:
        """f(size) of this shape."""
        match self:
            case Shape.CONSTANT:
                return 0.0
            case Shape.LOG:
                return math.log2(size)
            case Shape.LINEAR:
                return size
            case Shape.SQUARE:
                return size * size


class FitError(ValueError):
    """Points that can't be fitted: too few, sizes that repeat, or a number that is not finite."""


class Fit(msgspec.Struct, frozen=True):
    """value = base + slope * shape(size), in the unit of the points."""

    shape: Shape
    base: float
    slope: float
    # The leave-one-out error: a root mean square of shares of the measured values.
    error: float

    def predict(self, size: float) -> float:
        """The value at `size`."""
        return self.base + self.slope * self.shape.of(size)

    def breaks_at(self, limit: float) -> float:
        """The size at which the value reaches `limit`: infinite if it never does, 0 if it is over at once."""
        if self.slope <= 0.0 or self.shape is Shape.CONSTANT:
            return math.inf if self.base <= limit else 0.0
        reached = (limit - self.base) / self.slope
        if reached <= 0.0:
            return 0.0
        match self.shape:
            case Shape.LOG:
                return math.inf if reached > 1000.0 else 2.0**reached
            case Shape.SQUARE:
                return math.sqrt(reached)
            case _:
                return reached


class Holdout(msgspec.Struct, frozen=True):
    """What a fit predicted at a size that it did not see, and what was measured there."""

    size: float
    predicted: float
    measured: float
    # |predicted - measured| as a share of what was measured.
    error: float

    @property
    def wrong(self) -> bool:
        """Whether the fit is wrong: it missed by over a fifth."""
        return not self.error <= HOLDOUT_LIMIT


def fit(points: Sequence[Point]) -> Fit:
    """The simplest shape within noise of the one that best predicts each point from the others.

    Raises FitError for fewer than four points, sizes under 1 or twice the same, and numbers not finite.
    """
    check(points)
    fits = [fit_shape(points, shape) for shape in Shape]
    bound = max(min(found.error for found in fits) * NOISE_TIMES, NOISE_SHARE)
    return next(found for found in fits if found.error <= bound)


def fit_shape(points: Sequence[Point], shape: Shape) -> Fit:
    """The fit of one shape, with its leave-one-out error."""
    least = _least(points)
    squares = 0.0
    for index, (size, value) in enumerate(points):
        others = [point for other, point in enumerate(points) if other != index]
        base, slope = _solve(others, shape, least)
        missed = (base + slope * shape.of(size) - value) / max(abs(value), least)
        squares += missed * missed
    base, slope = _solve(points, shape, least)
    return Fit(shape=shape, base=base, slope=slope, error=math.sqrt(squares / len(points)))


def hold_out(fitted: Fit, size: float, measured: float) -> Holdout:
    """Compares what `fitted` predicts at `size` with what was `measured` there."""
    predicted = fitted.predict(size)
    missed = abs(predicted - measured)
    error = missed / abs(measured) if measured else float(missed > 0.0)
    return Holdout(size=size, predicted=predicted, measured=measured, error=error)


def check(points: Sequence[Point]) -> None:
    """Raises FitError unless `points` can be fitted."""
    if len(points) < FEWEST_POINTS:
        raise FitError(f"{len(points)} points: at least {FEWEST_POINTS} are wanted")
    sizes = [size for size, _ in points]
    if not all(math.isfinite(number) for point in points for number in point):
        raise FitError("points: finite numbers are wanted")
    if min(sizes) < 1.0:
        raise FitError(f"size {min(sizes)}: at least 1 is wanted")
    if len(set(sizes)) < len(sizes):
        raise FitError("points: each size once is wanted")


def _least(points: Sequence[Point]) -> float:
    """The value under which points are weighted alike."""
    largest = max(abs(value) for _, value in points)
    return largest * LEAST_SHARE or 1.0


def _solve(points: Sequence[Point], shape: Shape, least: float) -> tuple[float, float]:
    """Weighted least squares: base and slope; the slope of a constant is 0."""
    weights = [1.0 / max(abs(value), least) ** 2 for _, value in points]
    total = sum(weights)
    grown = [shape.of(size) for size, _ in points]
    values = [value for _, value in points]
    mean_grown = sum(map(float.__mul__, weights, map(float, grown))) / total
    mean_value = sum(map(float.__mul__, weights, map(float, values))) / total
    if shape is Shape.CONSTANT:
        return mean_value, 0.0
    spread = sum(weight * (one - mean_grown) ** 2 for weight, one in zip(weights, grown, strict=True))
    shared = sum(
        weight * (one - mean_grown) * (value - mean_value)
        for weight, one, value in zip(weights, grown, values, strict=True)
    )
    slope = shared / spread
    return mean_value - slope * mean_grown, slope
