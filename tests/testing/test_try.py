"""Tests the display and the arguments of `trackspread try`, and complete runs of it."""

from __future__ import annotations

import os
import pty
import subprocess
import sys
from collections import Counter
from pathlib import Path
from typing import Any

import pytest

from trackspread.cli import main
from trackspread.config.addresses import ConfigError
from trackspread.testing.harness.screen import GatewayRow, NodeRow, Snapshot, bars, draw, one_line
from trackspread.testing.harness.run_statistics import RunStatistics
from trackspread.testing.harness.trial import plan_kills
from trackspread.testing.judge.ledger import (
    ReplyReceived,
    RequestSent,
    AttemptReceived,
    ClassRule,
    ConnectionLost,
    Entry,
    PlanRule,
    RuleParameters,
)
from trackspread.testing.standins.scenario import Scenario

pytestmark = pytest.mark.processes

ROOT = Path(__file__).parents[2]
S = 1_000_000_000
COMMAND = (sys.executable, "-m", "trackspread", "try", "--seconds", "4", "--kill", "n1@1", "--kill", "s-2@1")


def test_kills_are_parsed_and_errors_name_valid_values() -> None:
    assert plan_kills(["s-2", "n1@2.5"], Scenario(), 9.0) == [(2.5, "n1"), (3.0, "s-2")]
    for word in ("n3", "s-9", "x", "n1@", "n1@10"):
        with pytest.raises(ConfigError, match=f"--kill: must be .+, got '{word}'$"):
            plan_kills([word], Scenario(), 9.0)


def test_too_short_run_is_an_error_of_one_line(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["try", "--seconds", "0.5"]) == 2
    assert capsys.readouterr().err == "trackspread: --seconds: must be 3 to 3600, got 0.5\n"


def test_screen_shows_all_parts_within_its_width() -> None:
    counts = Counter(asked=9, served=5, refused=3, failed=1)
    rows = [GatewayRow("n0", True, counts), GatewayRow("n1", False, Counter())]
    states = ("ready", "cold", "DOWN", "silent")
    nodes = [NodeRow(f"s-{i}-1", state, 0.5, 64) for i, state in enumerate(states)]
    snapshot = Snapshot(3.0, 20.0, rows, nodes, counts, Counter({"why": 3}), [counts] * 60, ("1.0 s  gone",))
    lines = draw(snapshot, True)
    text = "\n".join(lines)
    assert max(map(len, lines)) <= 100
    assert all(word in text for word in ("n1", "DOWN", "s-3-1", "silent", "why", "gone", "q quit", "served"))
    assert "1/2 gateways, 2/4 nodes" in one_line(snapshot) and "\n" not in one_line(snapshot)
    assert bars([0, 4, 8], 8) == " ▄█" and bars([1], 0) == " "
    assert draw(Snapshot(0.0, 3.0, [], [], Counter(), Counter(), ()), False)


def test_statistics_count_by_gateway_and_reason_of_rejection() -> None:
    plans = {"p": PlanRule(1.0, 2.0), "free": PlanRule(0.0, 0.0)}
    rules = RuleParameters({"look": ClassRule("safe", "all", S)}, plans, S, S, 3.0)
    statistics = RunStatistics(rules)

    def one(request: str, sent: bool, kind: Any, plan: str = "p") -> list[Entry]:
        made: list[Entry] = [RequestSent(0, request, request, "n0", "look", plan, 1, 1.0, S)]
        made += [AttemptReceived(0, 0, request, "s", "n0", 1)] * sent
        return [*made, ReplyReceived(0, request, kind)] if kind else [*made, ConnectionLost(0, request)]

    statistics.add_second([*one("a", False, "refused"), *one("b", True, "served")])
    statistics.add_second(
        [
            *one("c", True, "refused"),
            *one("d", False, "refused"),
            *one("e", True, "served"),
            *one("f", True, ""),
            *one("g", False, "refused", "free"),
        ]
    )
    assert statistics.by_gateway["n0"] == Counter(refused=4, served=2, unanswered=1)
    assert sorted(statistics.rejections.values()) == [1, 1, 2] and len(statistics.rejections) == 3
    assert statistics.rejections["the tenant's quota is used up"] == 1 and statistics.total["beyond"] == 2
    assert [second["asked"] for second in statistics.by_second] == [2, 5]


def test_pipe_gets_a_line_a_second_and_the_verdict() -> None:
    done = subprocess.run(COMMAND, cwd=ROOT, capture_output=True, text=True, timeout=120, check=False)
    assert done.returncode == 0, done.stdout + done.stderr
    output = done.stdout
    assert "gateway n1 is killed" in output and "node s-2 is killed" in output and "\x1b" not in output
    assert "the five rules were kept" in output or "no verdict" in output
    assert sum(" gateways, " in line for line in output.splitlines()) >= 3


def test_terminal_shows_the_screen_and_accepts_keys() -> None:
    terminal, child_terminal = pty.openpty()
    command = [*COMMAND[:4], "--seconds", "60"]
    with subprocess.Popen(
        command, cwd=ROOT, stdin=child_terminal, stdout=child_terminal, stderr=child_terminal
    ) as process:
        os.close(child_terminal)
        output = b""

        def read_until(word: bytes) -> None:
            nonlocal output
            while word not in output:
                output += os.read(terminal, 1 << 16)

        read_until(b"q quit")
        os.write(terminal, b"g")
        read_until(b"is killed")
        os.write(terminal, b"q")
        while b"rules were" not in output and b"no verdict" not in output:
            output += os.read(terminal, 1 << 16)
        assert process.wait(60) == 0, output[-600:].decode()
    os.close(terminal)
