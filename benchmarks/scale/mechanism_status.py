"""Finds whether a mechanism is in the program, and whether a command of an operator imports it."""

from __future__ import annotations

import ast
from enum import Enum
from functools import cache
from pathlib import Path

PROGRAM = Path(__file__).resolve().parents[2] / "trackspread"
# Operators start the gateway, and the command line with its groups.
STARTED = ("node", "cli", "commands")
# The command line imports these packages for `trackspread try` alone.
TESTING = frozenset({"testing"})


class MechanismStatus(Enum):
    """Says whether a mechanism is missing, implemented or in use."""

    MISSING = "**missing**"
    CORE = "a core that nothing starts yet"
    STARTED = ""


def mechanism_status(mechanism: str) -> MechanismStatus:
    """Returns the status of the module at the path `mechanism` below trackspread/."""
    if not mechanism or not (PROGRAM / mechanism).exists():
        return MechanismStatus.MISSING
    package = mechanism.split("/")[0].removesuffix(".py")
    return MechanismStatus.STARTED if package in started() else MechanismStatus.CORE


@cache
def started() -> frozenset[str]:
    """Returns the packages that the commands of operators import, directly or indirectly."""
    reached, pending = set[str](), set(STARTED)
    while pending:
        package = pending.pop()
        reached.add(package)
        pending |= _imported(package) - reached - TESTING
    return frozenset(reached)


def _imported(package: str) -> set[str]:
    """Returns the top-level packages of the program that this one imports, also inside functions."""
    folder = PROGRAM / package
    files = sorted(folder.rglob("*.py")) if folder.is_dir() else [PROGRAM / f"{package}.py"]
    found = set[str]()
    for path in files:
        found |= _relative_imports(path)
    return found


def _relative_imports(path: Path) -> set[str]:
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
