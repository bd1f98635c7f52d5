"""Names that leave the process keep their spelling, whatever the code behind them is called.

Guards against a rename that also changes a name on the wire, in stored data, in settings or in metrics.
"""

from __future__ import annotations

import ast
import re
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[2]
LINES = Path(__file__).with_name("outside_names.txt").read_text().splitlines()
NAMES = [line for line in LINES if line and not line.startswith("# ")]


def code_without_prose(path: Path) -> str:
    """Returns a module's code without comments and docstrings."""
    tree = ast.parse(path.read_text())
    for node in ast.walk(tree):
        if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant):
            node.value = ast.Constant(None)
    return ast.unparse(tree)


def program_text() -> str:
    """Returns the code of the program and the keys and values of the deploy files."""
    modules = sorted((ROOT / "trackspread").rglob("*.py"))
    deploy_files = sorted((ROOT / "deploy").glob("*.toml"))
    texts = [code_without_prose(path) for path in modules]
    texts += [str(tomllib.loads(path.read_text())) for path in deploy_files]
    return "\n".join(texts)


def test_outside_names_are_listed_once() -> None:
    assert len(NAMES) > 600
    assert len(set(NAMES)) == len(NAMES)


def test_outside_names_are_in_the_program() -> None:
    text = program_text()
    missing = [name for name in NAMES if not re.search(rf"(?<!\w){re.escape(name)}(?!\w)", text)]
    assert missing == []
