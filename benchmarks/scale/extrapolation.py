"""Extrapolates measurements to a size far beyond them: to the range of all shapes that they do not refute.

On a few sizes close together, a logarithm and a straight line look alike, but differ by far at seventy times
the largest size. A limit therefore counts as kept only if it is kept by every shape that fits about as well
as the best one and did not miss the held-out size. If the cost does not grow with the size beyond noise, its
most is the largest measured value. The module does no I/O.
"""

from __future__ import annotations

from typing import NamedTuple

from .fit import Fit, Shape, fit_shape, hold_out
from .slopes import Measurement

MAX_ERROR_RATIO = 2.0  # To the least leave-one-out error; up to it a shape fits about as well.
NOISE_SHARE = 0.02  # Errors under this share are noise.


class Range(NamedTuple):
    """Holds the least and the most at a size over the shapes that are not refuted."""

    least: float
    most: float


def extrapolate(found: Measurement, size: float) -> Range | None:
    """Returns the range at `size`, or None if the fit missed the held-out size and so is unusable."""
    if found.holdout.wrong:
        return None
    values = [each.predict(size) for each in unrefuted(found)]
    return Range(max(0.0, min(values)), max(values))


def unrefuted(found: Measurement) -> list[Fit]:
    """Returns the fits of all shapes that are not refuted, on all sizes including the held-out one.

    For a constant it returns the least and the largest measured value.
    """
    points = [*found.points, (found.holdout.size, found.holdout.measured)]
    if found.shape is Shape.CONSTANT:
        measured = [value for _, value in points]
        return [Fit(Shape.CONSTANT, each, 0.0, 0.0) for each in (min(measured), max(measured))]
    fits = [fit_shape(points, shape) for shape in Shape]
    bound = max(MAX_ERROR_RATIO * min(each.error for each in fits), NOISE_SHARE)
    return [
        each
        for each in fits
        if each.shape is found.shape or (each.error <= bound and not _refuted(found, each.shape))
    ]


def _refuted(found: Measurement, shape: Shape) -> bool:
    """Returns whether this shape, fitted on the smaller sizes alone, missed the held-out one."""
    fitted = fit_shape(found.points, shape)
    return hold_out(fitted, found.holdout.size, found.holdout.measured).wrong
