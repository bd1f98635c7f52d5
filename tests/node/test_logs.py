"""Bounds on log lines that others cause."""

from __future__ import annotations

import logging

import pytest

from trackspread.backends.connection import log as connections_log
from trackspread.backends.pools import log as pools_log
from trackspread.fronts.client import log as clients_log
from trackspread.logs import LINES_MOST, SPAN, Sparing


def test_a_flood_of_lines_is_cut_and_counted(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    clock = [1000.0]
    monkeypatch.setattr("trackspread.logs.time.monotonic", lambda: clock[0])
    log = logging.getLogger("test.flood")
    log.addFilter(Sparing())
    for number in range(500):
        log.warning("spoilt %d", number)
    assert len(caplog.messages) == LINES_MOST
    clock[0] += SPAN
    log.warning("spoilt %s", "again")
    assert caplog.messages[LINES_MOST:] == [f"spoilt again ({500 - LINES_MOST} lines like it left out)"]


def test_logs_of_clients_and_backends_are_bounded() -> None:
    for log in (connections_log, pools_log, clients_log):
        assert any(isinstance(one, Sparing) for one in log.filters)
