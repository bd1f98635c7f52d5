"""The file of measured slopes, docs/capacity/slopes.json: its shape, and how it is read and written."""

import math
import os
from pathlib import Path

import msgspec

from .fit import HOLDOUT_TIMES, Fit, FitError, Holdout, Point, Shape, check, fit, hold_out

SLOPES = Path(__file__).resolve().parents[2] / "docs" / "capacity" / "slopes.json"
# A file of slopes holds at most this many measurements.
MOST = 500


class SlopesError(Exception):
    """A file of slopes that can't be used: the file, the key and what is wanted, in one line."""

    def __init__(self, path: Path, key: str, wanted: str) -> None:
        super().__init__(f"{path}: {key}: {wanted}")


class Run(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The run that gave a measurement."""

    # UTC, as 2026-12-02T05:10Z.
    date: str
    command: str
    # The short hash of the commit that ran.
    commit: str


class Measurement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One cost against one factor: its points, their fit, and the hold-out at twice the largest size."""

    # Dotted, unique in the file, as `module.backends.memory`.
    name: str
    # What the size counts, as `backends`.
    factor: str
    # The unit of the values, as `bytes`, `s`, `share of a core` or `bytes/s`.
    unit: str
    # The most that the value may be, in `unit`; null if nothing bounds it alone.
    limit: float | None
    points: tuple[Point, ...]
    shape: Shape
    # Base and slope: value = base + slope * shape(size).
    coefficients: tuple[float, float]
    holdout: Holdout
    run: Run
    # Whether the run does not count: the machine lagged, or repeats differed by over a fifth.
    void: bool = False
    # What a reader must know of how it was measured; may be empty.
    note: str = ""

    @property
    def fit(self) -> Fit:
        """The fit as it was written; its leave-one-out error is not kept in the file."""
        base, slope = self.coefficients
        return Fit(shape=self.shape, base=base, slope=slope, error=0.0)

    @property
    def wrong(self) -> bool:
        """Whether no figure may be worked out from it: it is void, or its fit missed the hold-out."""
        return self.void or self.holdout.wrong


class Slopes(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All measurements of a file, sorted by name."""

    measurements: tuple[Measurement, ...] = ()

    def find(self, name: str) -> Measurement | None:
        """The measurement of that name, or None."""
        return next((found for found in self.measurements if found.name == name), None)

    def with_all(self, measurements: "list[Measurement]") -> "Slopes":
        """These with `measurements` in place of those of the same names; a void one takes no place of one
        that counts."""
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

    Raises FitError for points that can't be fitted and a hold-out at less than twice their largest size.
    """
    ordered = sorted((float(size), float(value)) for size, value in points)
    fitted = fit(ordered)
    size, measured = held_out
    if size < HOLDOUT_TIMES * ordered[-1][0]:
        raise FitError(f"hold-out at {size}: at least twice {ordered[-1][0]} is wanted")
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
    """Reads a file of slopes; raises SlopesError with file, key and what is wanted."""
    try:
        raw = path.read_bytes()
    except OSError as error:
        raise SlopesError(path, "file", f"a readable file is wanted: {error.strerror}") from error
    try:
        slopes = msgspec.json.decode(raw, type=Slopes)
    except msgspec.DecodeError as error:
        message, _, _ = str(error).partition(" - at `")
        raise SlopesError(path, _key(str(error)), message) from error
    _check(path, slopes)
    return slopes


def save(slopes: Slopes, path: Path = SLOPES) -> None:
    """Writes the file anew, whole or not at all."""
    _check(path, slopes)
    path.parent.mkdir(parents=True, exist_ok=True)
    beside = path.with_suffix(".new")
    beside.write_bytes(msgspec.json.format(msgspec.json.encode(slopes), indent=2) + b"\n")
    os.replace(beside, path)


def merge(measurements: list[Measurement], path: Path = SLOPES) -> Slopes:
    """Puts `measurements` into the file, in place of those of the same names; starts it if there is none."""
    slopes = load(path) if path.exists() else Slopes()
    merged = slopes.with_all(measurements)
    save(merged, path)
    return merged


def _key(message: str) -> str:
    """The key in a message of the decoder, as in `... - at `$.measurements[0].unit``."""
    _, found, rest = message.rpartition("`$.")
    return rest.rstrip("`") if found else "file"


def _check(path: Path, slopes: Slopes) -> None:
    if len(slopes.measurements) > MOST:
        raise SlopesError(path, "measurements", f"at most {MOST} are wanted")
    names = [found.name for found in slopes.measurements]
    for index, found in enumerate(slopes.measurements):
        key = f"measurements[{index}]"
        if not found.name or names.count(found.name) > 1:
            raise SlopesError(path, f"{key}.name", f"each name once is wanted, not {found.name!r} again")
        try:
            check(found.points)
        except FitError as error:
            raise SlopesError(path, f"{key}.points", str(error)) from error
        _check_fit(path, key, found)


def _check_fit(path: Path, key: str, found: Measurement) -> None:
    """The coefficients and the hold-out are those of the points: no figure is set by hand."""
    largest = max(size for size, _ in found.points)
    if found.holdout.size < HOLDOUT_TIMES * largest:
        raise SlopesError(path, f"{key}.holdout.size", f"at least twice {largest} is wanted")
    fitted = fit(found.points)
    if fitted.shape is not found.shape:
        raise SlopesError(path, f"{key}.shape", f"{fitted.shape.value} is wanted: that fits the points")
    if not _close(found.coefficients, (fitted.base, fitted.slope)):
        raise SlopesError(path, f"{key}.coefficients", f"{fitted.base}, {fitted.slope} are wanted")
    held = hold_out(fitted, found.holdout.size, found.holdout.measured)
    if not _close((found.holdout.predicted, found.holdout.error), (held.predicted, held.error)):
        raise SlopesError(path, f"{key}.holdout", f"{held.predicted}, {held.error} are wanted")


def _close(left: tuple[float, float], right: tuple[float, float]) -> bool:
    pairs = zip(left, right, strict=True)
    return all(math.isclose(one, other, rel_tol=1e-6, abs_tol=1e-12) for one, other in pairs)
