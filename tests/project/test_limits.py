"""Tests limits on the source code: lengths of files and lines."""

from __future__ import annotations

import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[2]


def test_decision_module_files_have_1_to_500_lines() -> None:
    policy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    lines = [sum(bool(line.strip()) for line in (ROOT / name).read_text().splitlines()) for name in policy]
    assert len(lines) > 1 and min(lines) > 0 and max(lines) <= 500


def test_no_line_is_longer_than_110_characters() -> None:
    sources = [p for part in ("trackspread", "tests", "benchmarks") for p in (ROOT / part).glob("**/*.py")]
    assert len(sources) > 5
    assert [p.name for p in sources for line in p.read_text().splitlines() if len(line) > 110] == []


def test_decision_module_names_its_interface_at_the_top() -> None:
    text = (ROOT / "trackspread" / "decide" / "broker.py").read_text()
    assert "events.py" in text[:400] and "actions.py" in text[:400]
