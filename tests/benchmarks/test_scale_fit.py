"""Tests the fits of cost against size, and the file that stores them."""

import json
import math
import random
from pathlib import Path

import pytest

from benchmarks.scale.fit import Fit, FitError, Shape, fit, hold_out
from benchmarks.scale.slopes import Run, Slopes, SlopesError, load, measurement, merge, save

SIZES = (25.0, 50.0, 100.0, 200.0, 400.0)
RUN = Run(date="2026-12-02T05:10Z", command="python -m benchmarks.scale", commit="abc1234")


def points_of(
    shape: Shape, base: float, slope: float, noise: float = 0.0, seed: int = 1
) -> list[tuple[float, float]]:
    """Returns points of a shape with a relative error of up to `noise` each."""
    rng = random.Random(seed)
    return [(size, (base + slope * shape.of(size)) * (1 + rng.uniform(-noise, noise))) for size in SIZES]


@pytest.mark.parametrize(
    ("shape", "slope"), [(Shape.CONSTANT, 0.0), (Shape.LOG, 3.0), (Shape.LINEAR, 0.5), (Shape.SQUARE, 0.01)]
)
def test_fit_finds_each_shape_and_predicts(shape: Shape, slope: float) -> None:
    found = fit(points_of(shape, 7.0, slope))
    assert found.shape is shape
    assert found.predict(7200) == pytest.approx(7.0 + slope * shape.of(7200))


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize(
    ("shape", "slope"), [(Shape.CONSTANT, 0.0), (Shape.LOG, 3.0), (Shape.LINEAR, 0.5), (Shape.SQUARE, 0.01)]
)
def test_one_percent_noise_does_not_hide_the_shape(shape: Shape, slope: float, seed: int) -> None:
    assert fit(points_of(shape, 7.0, slope, noise=0.01, seed=seed)).shape is shape


def test_fit_takes_the_simplest_shape_within_noise() -> None:
    noisy = [(25, 1.00), (50, 1.01), (100, 0.99), (200, 1.01)]
    assert fit(noisy).shape is Shape.CONSTANT


def test_values_of_zero_are_constant() -> None:
    found = fit([(size, 0.0) for size in SIZES])
    assert (found.shape, found.predict(7200)) == (Shape.CONSTANT, 0.0)


def test_hold_out_error_over_20_percent_is_wrong() -> None:
    line = Fit(shape=Shape.LINEAR, base=0.0, slope=1.0, error=0.0)
    assert not hold_out(line, 800, 900).wrong
    assert hold_out(line, 800, 900).error == pytest.approx(100 / 900)
    assert hold_out(line, 800, 1100).wrong
    assert hold_out(line, 800, 0.0).wrong


def test_hold_out_detects_line_that_becomes_a_square() -> None:
    found = fit([(25, 25), (50, 50), (100, 100), (200, 200)])
    assert found.shape is Shape.LINEAR
    assert hold_out(found, 400, 800).wrong


@pytest.mark.parametrize(
    ("shape", "limit", "size"),
    [
        (Shape.LINEAR, 64.0, 64.0),
        (Shape.SQUARE, 64.0, 8.0),
        (Shape.LOG, 10.0, 1024.0),
        (Shape.LINEAR, -1.0, 0.0),
        (Shape.LOG, 5000.0, math.inf),
    ],
)
def test_fit_gives_the_size_that_reaches_a_limit(shape: Shape, limit: float, size: float) -> None:
    assert Fit(shape=shape, base=0.0, slope=1.0, error=0.0).breaks_at(limit) == pytest.approx(size)


def test_flat_cost_breaks_at_once_or_never() -> None:
    flat = Fit(shape=Shape.CONSTANT, base=5.0, slope=0.0, error=0.0)
    assert (flat.breaks_at(6.0), flat.breaks_at(4.0)) == (math.inf, 0.0)
    assert Fit(shape=Shape.LINEAR, base=5.0, slope=-1.0, error=0.0).breaks_at(6.0) == math.inf


@pytest.mark.parametrize(
    ("points", "expected"),
    [
        ([(1, 1), (2, 2), (4, 4)], "at least 4"),
        ([(1, 1), (2, 2), (4, 4), (4, 5)], "each size once"),
        ([(0, 1), (2, 2), (4, 4), (8, 5)], "at least 1"),
        ([(1, 1), (2, math.nan), (4, 4), (8, 5)], "finite"),
    ],
)
def test_invalid_points_are_rejected(points: list[tuple[float, float]], expected: str) -> None:
    with pytest.raises(FitError, match=expected):
        fit(points)


def test_hold_out_needs_twice_the_largest_size() -> None:
    points = [(25.0, 25.0), (50.0, 50.0), (100.0, 100.0), (200.0, 200.0)]
    with pytest.raises(FitError, match="at least twice"):
        measurement("a", "gateways", "bytes", points, (300, 300), RUN)
    assert not measurement("a", "gateways", "bytes", points, (400, 390), RUN).wrong
    assert measurement("a", "gateways", "bytes", points, (400, 390), RUN, void=True).wrong


def test_file_is_read_back_and_merged_by_name(tmp_path: Path) -> None:
    path = tmp_path / "capacity" / "slopes.json"
    points = points_of(Shape.LINEAR, 1.0, 2.0)
    first = measurement("b", "gateways", "bytes/s", points, (800, 1600), RUN, limit=5000)
    save(Slopes((first,)), path)
    assert load(path) == Slopes((first,))
    other = measurement("a", "gateways", "s", points, (800, 1600), RUN)
    again = measurement("b", "gateways", "bytes/s", points, (800, 1500), RUN)
    assert merge([other, again], path) == load(path) == Slopes((other, again))
    assert load(path).find("b") == again
    assert load(path).find("c") is None


def test_void_measurement_does_not_replace_a_valid_one() -> None:
    points = points_of(Shape.LINEAR, 1.0, 2.0)
    counts = measurement("a", "gateways", "s", points, (800, 1600), RUN)
    void = measurement("a", "gateways", "s", points, (800, 1500), RUN, void=True)
    assert Slopes((counts,)).with_all([void]) == Slopes((counts,))
    assert Slopes((void,)).with_all([counts]) == Slopes((counts,))
    assert Slopes().with_all([void]) == Slopes((void,))


def set_key(path: Path, key: str, value: object) -> None:
    """Sets one key of the first measurement of a file."""
    document = json.loads(path.read_text())
    document["measurements"][0][key] = value
    path.write_text(json.dumps(document))


@pytest.mark.parametrize(
    ("key", "value", "expected"),
    [
        ("unit", 5, r"measurements\[0\]\.unit: Expected `str`"),
        ("shape", "square", r"measurements\[0\]\.shape: must be linear, which fits the points"),
        ("coefficients", [1.0, 1.0], r"measurements\[0\]\.coefficients"),
        ("points", [[1, 1]], r"measurements\[0\]\.points: must be at least 4 points, got 1"),
        (
            "holdout",
            {"size": 500, "predicted": 1, "measured": 1, "error": 0},
            r"holdout\.size: must be at least",
        ),
        ("holdout", {"size": 800, "predicted": 1, "measured": 1, "error": 0}, r"\.holdout: must be 1601"),
        ("wish", 1, "wish"),
    ],
)
def test_error_names_the_invalid_file_and_key(tmp_path: Path, key: str, value: object, expected: str) -> None:
    path = tmp_path / "slopes.json"
    save(
        Slopes((measurement("a", "gateways", "s", points_of(Shape.LINEAR, 1.0, 2.0), (800, 1600), RUN),)),
        path,
    )
    set_key(path, key, value)
    with pytest.raises(SlopesError, match=expected) as raised:
        load(path)
    assert str(raised.value).startswith(f"{path}: ")
    assert "\n" not in str(raised.value)


def test_error_names_missing_or_malformed_file(tmp_path: Path) -> None:
    with pytest.raises(SlopesError, match="must be a readable file"):
        load(tmp_path / "none.json")
    (tmp_path / "torn.json").write_text('{"measurements": [')
    with pytest.raises(SlopesError, match=r"torn\.json: file: "):
        load(tmp_path / "torn.json")
