"""Whether a mechanism is in the program, and whether anything that an operator starts brings it in."""

from __future__ import annotations

import ast
from enum import Enum
from functools import cache
from pathlib import Path

PROGRAM = Path(__file__).resolve().parents[2] / "trackspread"
# What operators start: the gateway, and the command line with its groups.
STARTED = ("node", "cli", "commands")
# What the command line brings in for `trackspread try` alone.
TESTING = frozenset({"testing"})


class MechanismStatus(Enum):
    """How far a mechanism has come."""

    MISSING = "**missing**"
    CORE = "a core that nothing starts yet"
    STARTED = ""


def mechanism_status(mechanism: str) -> MechanismStatus:
    """Of the module at that path below trackspread/."""
    if not mechanism or not (PROGRAM / mechanism).exists():
        return MechanismStatus.MISSING
    package = mechanism.split("/")[0].removesuffix(".py")
    return MechanismStatus.STARTED if package in started() else MechanismStatus.CORE


@cache
def started() -> frozenset[str]:
    """The packages that are brought in by what operators start."""
    reached, new = set[str](), set(STARTED)
    while new:
        package = new.pop()
        reached.add(package)
        new |= _imported(package) - reached - TESTING
    return frozenset(reached)


def _imported(package: str) -> set[str]:
    """Packages at the top of the program that this one imports, also inside functions."""
    folder = PROGRAM / package
    files = sorted(folder.rglob("*.py")) if folder.is_dir() else [PROGRAM / f"{package}.py"]
    found = set[str]()
    for path in files:
        found |= _relative(path)
    return found


def _relative(path: Path) -> set[str]:
    here = ("trackspread", *path.relative_to(PROGRAM).parts[:-1])
    found = set[str]()
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom) or not node.level:
            continue
        base = here[: len(here) - node.level + 1]
        if node.module is not None:
            found.add((*base, *node.module.split("."))[1])
        elif len(base) > 1:
            found.add(base[1])
        else:
            found |= {alias.name for alias in node.names}
    return {name for name in found if (PROGRAM / name).is_dir() or (PROGRAM / f"{name}.py").is_file()}
