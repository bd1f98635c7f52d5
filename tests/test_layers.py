"""Imports go one way: what serves knows nothing of what tests it, and the judge nothing of what it judges."""

from __future__ import annotations

import ast
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent / "trackspread"
# From the lowest up; a package imports from those before it only.
ORDER = ("judge", "call", "clock", "lag", "logs", "storage", "usage", "decide", "counter", "plans",
         "simulator", "config", "control", "handover", "framing", "peers", "lists", "planning", "membership",
         "distribution", "backends", "fronts", "node", "standins", "virtual", "harness", "mutation",
         "commands", "cli")
TESTBED = {"judge", "standins", "virtual", "harness", "mutation"}


def imported(path: Path) -> set[str]:
    """Packages and modules at the top of the project that a file imports, also inside functions."""
    package = ("trackspread", *path.relative_to(ROOT).parts[:-1])
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.level:
            base = package[:len(package) - node.level + 1]
            full = [*base, *(node.module or "").split(".")] if node.module else [*base]
            names = [full] if len(full) > 1 else [[*full, alias.name] for alias in node.names]
            found |= {name[1] for name in names}
    return found


def files() -> list[Path]:
    return sorted(p for p in ROOT.glob("**/*.py") if p.parent != ROOT or p.stem in ORDER)


@pytest.mark.parametrize("path", files(), ids=lambda p: str(p.relative_to(ROOT)))
def test_a_package_imports_from_lower_ones_only(path: Path) -> None:
    own = path.relative_to(ROOT).parts[0].removesuffix(".py")
    allowed = set(ORDER[:ORDER.index(own)])
    if own not in TESTBED | {"cli", "commands"}:  # the command line brings the testbed in for `try` alone
        allowed -= TESTBED
    assert imported(path) - {own} <= allowed


def test_the_judge_imports_nothing_of_the_project() -> None:
    paths = list((ROOT / "judge").glob("*.py"))
    assert len(paths) > 2 and all(imported(path) <= {"judge"} for path in paths)


def test_the_deploy_file_names_all_that_the_running_gateway_imports() -> None:
    """Also what only an operator's own settings bring in: it runs in the same process."""
    deploy = tomllib.loads((ROOT.parent / "deploy/balancer.toml").read_text())
    named = {Path(name).parts[1].removesuffix(".py") for name in deploy["node"]}
    assert all((ROOT.parent / name).exists() for name in deploy["node"] + deploy["policy"])
    reached, new = set[str](), {"node"}
    while new:
        one = new.pop()
        reached.add(one)
        inside = [p for p in files() if p.relative_to(ROOT).parts[0].removesuffix(".py") == one]
        new |= set[str]().union(*map(imported, inside)) - reached
    assert reached <= named
    decide = {str(p.relative_to(ROOT.parent)) for p in files() if p.parent.name == "decide"}
    assert decide - {"trackspread/decide/__init__.py"} <= {*deploy["node"], *deploy["policy"]}
