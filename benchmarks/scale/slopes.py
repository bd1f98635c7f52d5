"""Reads and writes the file of measured slopes, docs/capacity/slopes.json."""

import math
import os
from pathlib import Path

import msgspec

from .fit import HOLDOUT_TIMES, Fit, FitError, Holdout, Point, Shape, check, fit, hold_out

SLOPES = Path(__file__).resolve().parents[2] / "docs" / "capacity" / "slopes.json"
# A file of slopes holds at most this many measurements.
MAX_MEASUREMENTS = 500


class SlopesError(Exception):
    """Reports an invalid file of slopes in one line: the file, the key and what is wrong."""

    def __init__(self, path: Path, key: str, problem: str) -> None:
        super().__init__(f"{path}: {key}: {problem}")


class Run(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Names the run that produced a measurement."""

    # In UTC, for example 2026-12-02T05:10Z.
    date: str
    command: str
    # The short hash of the measured commit.
    commit: str


class Measurement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Holds one cost by one factor: its points, their fit, and the hold-out at twice the largest size."""

    # Dotted and unique in the file, for example `module.backends.memory`.
    name: str
    # The things that the size counts, for example `backends`.
    factor: str
    # The unit of the values: for example `bytes`, `s`, `share of a core` or `bytes/s`.
    unit: str
    # The largest valid value, in `unit`; null if it has no limit of its own.
    limit: float | None
    points: tuple[Point, ...]
    shape: Shape
    # Base and slope: value = base + slope * shape(size).
    coefficients: tuple[float, float]
    holdout: Holdout
    run: Run
    # Whether the run is void: the machine lagged, or repeats differed by over a fifth.
    void: bool = False
    # Notes for the reader on how it was measured; may be empty.
    note: str = ""

    @property
    def fit(self) -> Fit:
        """Returns the fit in the file, which does not hold its leave-one-out error."""
        base, slope = self.coefficients
        return Fit(shape=self.shape, base=base, slope=slope, error=0.0)

    @property
    def wrong(self) -> bool:
        """Returns whether it may not be used: it is void, or its fit missed the hold-out."""
        return self.void or self.holdout.wrong


class Slopes(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Holds all measurements of a file, sorted by name."""

    measurements: tuple[Measurement, ...] = ()

    def find(self, name: str) -> Measurement | None:
        """Returns the measurement of that name, or None."""
        return next((found for found in self.measurements if found.name == name), None)

    def with_all(self, measurements: "list[Measurement]") -> "Slopes":
        """Returns the slopes with `measurements` in place of those of the same names.

        A void measurement does not replace a valid one.
        """
        merged = {found.name: found for found in self.measurements}
        for found in measurements:
            kept = merged.get(found.name)
            if kept is None or kept.void or not found.void:
                merged[found.name] = found
        return Slopes(tuple(merged[name] for name in sorted(merged)))


def measurement(
    name: str,
    factor: str,
    unit: str,
    points: list[Point],
    held_out: Point,
    run: Run,
    *,
    limit: float | None = None,
    void: bool = False,
    note: str = "",
) -> Measurement:
    """Fits `points` and compares the fit with `held_out`, measured at twice their largest size.

    Raises FitError for points that cannot be fitted and a hold-out at less than twice their largest size.
    """
    ordered = sorted((float(size), float(value)) for size, value in points)
    fitted = fit(ordered)
    size, measured = held_out
    if size < HOLDOUT_TIMES * ordered[-1][0]:
        raise FitError(f"hold-out size: must be at least twice {ordered[-1][0]}, got {size}")
    return Measurement(
        name=name,
        factor=factor,
        unit=unit,
        limit=limit,
        points=tuple(ordered),
        shape=fitted.shape,
        coefficients=(fitted.base, fitted.slope),
        holdout=hold_out(fitted, float(size), float(measured)),
        run=run,
        void=void,
        note=note,
    )


def load(path: Path = SLOPES) -> Slopes:
    """Reads a file of slopes. Raises SlopesError with the file, the key and what is wrong."""
    try:
        raw = path.read_bytes()
    except OSError as error:
        raise SlopesError(path, "file", f"must be a readable file: {error.strerror}") from error
    try:
        slopes = msgspec.json.decode(raw, type=Slopes)
    except msgspec.DecodeError as error:
        message, _, _ = str(error).partition(" - at `")
        raise SlopesError(path, _key(str(error)), message) from error
    _check(path, slopes)
    return slopes


def save(slopes: Slopes, path: Path = SLOPES) -> None:
    """Replaces the file atomically."""
    _check(path, slopes)
    path.parent.mkdir(parents=True, exist_ok=True)
    temporary = path.with_suffix(".new")
    temporary.write_bytes(msgspec.json.format(msgspec.json.encode(slopes), indent=2) + b"\n")
    os.replace(temporary, path)


def merge(measurements: list[Measurement], path: Path = SLOPES) -> Slopes:
    """Replaces the measurements of the same names in the file, which is created if there is none."""
    slopes = load(path) if path.exists() else Slopes()
    merged = slopes.with_all(measurements)
    save(merged, path)
    return merged


def _key(message: str) -> str:
    """Returns the key in a message of the decoder, for example `... - at `$.measurements[0].unit``."""
    _, found, rest = message.rpartition("`$.")
    return rest.rstrip("`") if found else "file"


def _check(path: Path, slopes: Slopes) -> None:
    if len(slopes.measurements) > MAX_MEASUREMENTS:
        raise SlopesError(
            path, "measurements", f"must be at most {MAX_MEASUREMENTS}, got {len(slopes.measurements)}"
        )
    names = [found.name for found in slopes.measurements]
    for index, found in enumerate(slopes.measurements):
        key = f"measurements[{index}]"
        if not found.name or names.count(found.name) > 1:
            raise SlopesError(path, f"{key}.name", f"must be non-empty and unique, got {found.name!r}")
        try:
            check(found.points)
        except FitError as error:
            raise SlopesError(path, f"{key}.points", str(error)) from error
        _check_fit(path, key, found)


def _check_fit(path: Path, key: str, found: Measurement) -> None:
    """Checks that coefficients and hold-out follow from the points, so that no figure is set by hand."""
    largest = max(size for size, _ in found.points)
    if found.holdout.size < HOLDOUT_TIMES * largest:
        raise SlopesError(
            path, f"{key}.holdout.size", f"must be at least twice {largest}, got {found.holdout.size}"
        )
    fitted = fit(found.points)
    if fitted.shape is not found.shape:
        raise SlopesError(
            path,
            f"{key}.shape",
            f"must be {fitted.shape.value}, which fits the points, got {found.shape.value}",
        )
    if not _close(found.coefficients, (fitted.base, fitted.slope)):
        raise SlopesError(
            path, f"{key}.coefficients", f"must be {fitted.base}, {fitted.slope}, got {found.coefficients}"
        )
    held = hold_out(fitted, found.holdout.size, found.holdout.measured)
    if not _close((found.holdout.predicted, found.holdout.error), (held.predicted, held.error)):
        raise SlopesError(path, f"{key}.holdout", f"must be {held.predicted}, {held.error}")


def _close(left: tuple[float, float], right: tuple[float, float]) -> bool:
    pairs = zip(left, right, strict=True)
    return all(math.isclose(one, other, rel_tol=1e-6, abs_tol=1e-12) for one, other in pairs)
