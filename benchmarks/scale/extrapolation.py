"""What measurements say of a size far beyond them: not one figure, but all that they do not refute.

On a few sizes close together a logarithm and a straight line look alike, and differ by far at seventy times
the largest. So a limit counts as kept only where every shape keeps it that fits about as well as the best and
did not miss the held-out size. Where nothing grows with the size, as far as noise lets it be seen, the most
is the most that was measured. Pure arithmetic.
"""

from __future__ import annotations

from typing import NamedTuple

from .fit import Fit, Shape, fit_shape, hold_out
from .slopes import Measurement

AS_WELL_TIMES = 2.0  # the least leave-one-out error: up to so much a shape fits about as well
AS_WELL_SHARE = 0.02  # errors under this share are noise


class Range(NamedTuple):
    """Least and most at a size, by shapes that are not refuted."""

    least: float
    most: float


def extrapolate(found: Measurement, size: float) -> Range | None:
    """At `size`; None where the fit itself missed the held-out size: then nothing is known of another."""
    if found.holdout.wrong:
        return None
    values = [each.predict(size) for each in unrefuted(found)]
    return Range(max(0.0, min(values)), max(values))


def unrefuted(found: Measurement) -> list[Fit]:
    """The shapes that the measured sizes do not refute, fitted on all of them, the held-out one as well; of a
    constant, least and most that was measured."""
    points = [*found.points, (found.holdout.size, found.holdout.measured)]
    if found.shape is Shape.CONSTANT:
        measured = [value for _, value in points]
        return [Fit(Shape.CONSTANT, each, 0.0, 0.0) for each in (min(measured), max(measured))]
    fits = [fit_shape(points, shape) for shape in Shape]
    bound = max(AS_WELL_TIMES * min(each.error for each in fits), AS_WELL_SHARE)
    return [
        each
        for each in fits
        if each.shape is found.shape or (each.error <= bound and not _refuted(found, each.shape))
    ]


def _refuted(found: Measurement, shape: Shape) -> bool:
    """Whether this shape, fitted on the smaller sizes alone, missed the held-out one."""
    fitted = fit_shape(found.points, shape)
    return hold_out(fitted, found.holdout.size, found.holdout.measured).wrong
