"""Imports go one way: what serves knows nothing of what tests it, and the judge nothing of what it judges."""

from __future__ import annotations

import ast
import tomllib
from collections.abc import Sequence
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2] / "trackspread"
# From the lowest up; a package imports from those before it only.
ORDER = (
    "testing.judge",
    "call",
    "clock",
    "lag",
    "logs",
    "storage",
    "usage",
    "decide",
    "counter",
    "plans",
    "simulator",
    "config",
    "control",
    "handover",
    "framing",
    "peers",
    "lists",
    "planning",
    "membership",
    "cells",
    "distribution",
    "backends",
    "fronts",
    "node",
    "testing.standins",
    "testing.virtual",
    "testing.harness",
    "testing.mutation",
    "commands",
    "cli",
)
# Modules that still import one another in a circle, by package: this only gets shorter.
CIRCLES = {"fronts": {"client", "connections"}}
TESTING = {f"testing.{name}" for name in ("judge", "standins", "virtual", "harness", "mutation")}


def layer(parts: Sequence[str]) -> str:
    """The entry of `ORDER` that a module belongs to; `parts` of its path below the project's package."""
    depth = 2 if parts[0] == "testing" else 1
    return ".".join(parts[:depth]).removesuffix(".py")


def imported(path: Path) -> set[str]:
    """Packages and modules at the top of the project that a file imports, also inside functions."""
    package = ("trackspread", *path.relative_to(ROOT).parts[:-1])
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.level:
            base = package[: len(package) - node.level + 1]
            full = [*base, *(node.module or "").split(".")] if node.module else [*base]
            modules = [[*full, alias.name] for alias in node.names]
            found |= {layer(module[1:]) for module in modules}
    return found


def files() -> list[Path]:
    """Of the program; `testing/__init__.py` belongs to no layer and imports nothing."""
    found = (p for p in ROOT.glob("**/*.py") if p.parent != ROOT or p.stem in ORDER)
    return sorted(p for p in found if p != ROOT / "testing/__init__.py")


@pytest.mark.parametrize("path", files(), ids=lambda p: str(p.relative_to(ROOT)))
def test_a_package_imports_from_lower_ones_only(path: Path) -> None:
    own = layer(path.relative_to(ROOT).parts)
    allowed = set(ORDER[: ORDER.index(own)])
    if own not in TESTING | {"cli", "commands"}:  # the command line brings testing in for `try` alone
        allowed -= TESTING
    assert imported(path) - {own} <= allowed


def neighbours(path: Path) -> set[str]:
    """Modules of its own package that a file imports, also for types alone or inside functions."""
    found = set[str]()
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom) or not node.level:
            continue
        full = [*path.relative_to(ROOT).parts[:-1][: 1 - node.level or None], *(node.module or "").split(".")]
        steps = [step for step in full if step]
        found |= {".".join(steps), *(".".join([*steps, alias.name]) for alias in node.names)}
    return found


def circle(package: Path) -> set[str]:
    """Modules of a package that, by way of others, import themselves."""
    prefix = ".".join(package.relative_to(ROOT).parts)
    names = {f"{prefix}.{path.stem}".removeprefix("."): path for path in package.glob("*.py")}
    reached = {name: neighbours(path) & names.keys() for name, path in names.items()}
    for _ in names:  # no path is longer than there are modules
        reached = {name: to.union(*(reached[each] for each in to)) for name, to in reached.items()}
    return {name.rpartition(".")[2] for name, to in reached.items() if name in to}


def packages() -> list[Path]:
    return sorted({path.parent for path in ROOT.glob("**/*.py")})


@pytest.mark.parametrize("package", packages(), ids=lambda p: p.name)
def test_modules_of_a_package_import_one_another_in_no_circle(package: Path) -> None:
    assert circle(package) <= CIRCLES.get(package.name, set())


def test_a_circle_is_found_also_over_three_modules_and_for_types(tmp_path: Path) -> None:
    (tmp_path / "room").mkdir()
    texts = {
        "a": "from .b import x",
        "b": "if TYPE_CHECKING:\n    from . import c",
        "c": "def f():\n    from ..room.a import y",
        "d": "from .a import x",
    }
    for name, text in texts.items():
        (tmp_path / "room" / f"{name}.py").write_text(text)
    with pytest.MonkeyPatch.context() as patched:
        patched.setattr(f"{__name__}.ROOT", tmp_path)
        assert circle(tmp_path / "room") == {"a", "b", "c"}


def test_the_judge_imports_nothing_of_the_project() -> None:
    paths = list((ROOT / "testing/judge").glob("*.py"))
    assert len(paths) > 2 and all(imported(path) <= {"testing.judge"} for path in paths)


def test_the_deploy_file_names_all_that_the_running_gateway_imports() -> None:
    """Also what only an operator's own settings bring in: it runs in the same process."""
    deploy = tomllib.loads((ROOT.parent / "deploy/balancer.toml").read_text())
    named = {Path(name).parts[1].removesuffix(".py") for name in deploy["node"]}
    assert all((ROOT.parent / name).exists() for name in deploy["node"] + deploy["policy"])
    reached, new = set[str](), {"node"}
    while new:
        one = new.pop()
        reached.add(one)
        inside = [p for p in files() if layer(p.relative_to(ROOT).parts) == one]
        new |= set[str]().union(*map(imported, inside)) - reached
    assert reached <= named
    decide = {str(p.relative_to(ROOT.parent)) for p in files() if p.is_relative_to(ROOT / "decide")}
    assert "trackspread/decide/quota/facade.py" in decide
    assert decide - {"trackspread/decide/__init__.py"} <= {*deploy["node"], *deploy["policy"]}
