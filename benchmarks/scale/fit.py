"""Fits a measured cost against size: finds its shape, and predicts the cost at other sizes.

The module does no I/O. A fit is value = a + b * f(size), where f is one of the shapes below. The least
squares are weighted by the values, as the noise of a measurement grows with its value.
"""

import enum
import math
from collections.abc import Sequence

import msgspec

# Fewer points can't tell the shapes apart.
FEWEST_POINTS = 4
# A fit is wrong if its prediction for the hold-out is off by more than this share of the measured value.
HOLDOUT_LIMIT = 0.2
# The hold-out is measured at this many times the largest size fitted.
HOLDOUT_TIMES = 2.0
# Differences to the error of the best shape within this share or multiple count as noise.
NOISE_SHARE = 0.02
NOISE_TIMES = 1.1
# Values under this share of the largest have the weight of that share, as the weight of zero is undefined.
LEAST_SHARE = 0.01

# A size and a value.
Point = tuple[float, float]


class Shape(enum.StrEnum):
    """Lists how a cost may grow with size, the simplest shape first."""

    CONSTANT = "constant"
    LOG = "log"
    LINEAR = "linear"
    SQUARE = "square"

    def of(self, size: float) -> float:
        """Returns f(size) of this shape."""
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
    """Reports points that cannot be fitted: too few, repeated sizes, or numbers that are not finite."""


class Fit(msgspec.Struct, frozen=True):
    """Holds a fit: value = base + slope * shape(size), in the unit of the points."""

    shape: Shape
    base: float
    slope: float
    # The leave-one-out error: a root mean square of shares of the measured values.
    error: float

    def predict(self, size: float) -> float:
        """Returns the value at `size`."""
        return self.base + self.slope * self.shape.of(size)

    def breaks_at(self, limit: float) -> float:
        """Returns the size at which the value reaches `limit`: infinite if never, 0 if always above it."""
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
    """Holds the value that a fit predicted at a size it was not fitted on, and the measured value."""

    size: float
    predicted: float
    measured: float
    # |predicted - measured| as a share of the measured value.
    error: float

    @property
    def wrong(self) -> bool:
        """Returns whether the fit is wrong: its prediction is off by over a fifth."""
        return not self.error <= HOLDOUT_LIMIT


def fit(points: Sequence[Point]) -> Fit:
    """Fits the simplest shape within noise of the one that best predicts each point from the others.

    Raises FitError for fewer than four points, sizes under 1, repeated sizes and numbers that are not finite.
    """
    check(points)
    fits = [fit_shape(points, shape) for shape in Shape]
    bound = max(min(found.error for found in fits) * NOISE_TIMES, NOISE_SHARE)
    return next(found for found in fits if found.error <= bound)


def fit_shape(points: Sequence[Point], shape: Shape) -> Fit:
    """Returns the fit of one shape, with its leave-one-out error."""
    least = _least(points)
    squares = 0.0
    for index, (size, value) in enumerate(points):
        others = [point for other, point in enumerate(points) if other != index]
        base, slope = _solve(others, shape, least)
        difference = (base + slope * shape.of(size) - value) / max(abs(value), least)
        squares += difference * difference
    base, slope = _solve(points, shape, least)
    return Fit(shape=shape, base=base, slope=slope, error=math.sqrt(squares / len(points)))


def hold_out(fitted: Fit, size: float, measured: float) -> Holdout:
    """Compares the prediction of `fitted` at `size` with the value `measured` there."""
    predicted = fitted.predict(size)
    difference = abs(predicted - measured)
    error = difference / abs(measured) if measured else float(difference > 0.0)
    return Holdout(size=size, predicted=predicted, measured=measured, error=error)


def check(points: Sequence[Point]) -> None:
    """Raises FitError unless `points` can be fitted."""
    if len(points) < FEWEST_POINTS:
        raise FitError(f"must be at least {FEWEST_POINTS} points, got {len(points)}")
    sizes = [size for size, _ in points]
    if not all(math.isfinite(number) for point in points for number in point):
        raise FitError("must be finite numbers")
    if min(sizes) < 1.0:
        raise FitError(f"size: must be at least 1, got {min(sizes)}")
    if len(set(sizes)) < len(sizes):
        raise FitError("must have each size once")


def _least(points: Sequence[Point]) -> float:
    """Returns the value under which all points have the same weight."""
    largest = max(abs(value) for _, value in points)
    return largest * LEAST_SHARE or 1.0


def _solve(points: Sequence[Point], shape: Shape, least: float) -> tuple[float, float]:
    """Returns base and slope by weighted least squares; the slope of a constant is 0."""
    weights = [1.0 / max(abs(value), least) ** 2 for _, value in points]
    total = sum(weights)
    shape_values = [shape.of(size) for size, _ in points]
    values = [value for _, value in points]
    mean_shape_value = sum(map(float.__mul__, weights, map(float, shape_values))) / total
    mean_value = sum(map(float.__mul__, weights, map(float, values))) / total
    if shape is Shape.CONSTANT:
        return mean_value, 0.0
    variance = sum(
        weight * (one - mean_shape_value) ** 2 for weight, one in zip(weights, shape_values, strict=True)
    )
    covariance = sum(
        weight * (one - mean_shape_value) * (value - mean_value)
        for weight, one, value in zip(weights, shape_values, values, strict=True)
    )
    slope = covariance / variance
    return mean_value - slope * mean_shape_value, slope
